"""Handover between the old and the new process of one scheduler, through files in a shared directory.

It publishes this process's state and merges operator overrides across processes. Files of other processes are
validated, an invalid one never prevents a start, and nothing waits for the disk once the process serves.
"""

import asyncio
import os
from typing import Any, NamedTuple
from zlib import crc32

import msgspec

from sableford.common.serial_executor import SerialExecutor
from sableford.net import handover_state
from sableford.net.handover_state import OtherProcess, ProcessState, Stage
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.messages import (
    Clock,
    HandoverSnapshot,
    Mailbox,
    OperatorOverride,
    OtherProcessServing,
    OverrideRequest,
    ProcessCount,
    Shutdown,
    WarmUpOwnership,
)
from sableford.net.state_directory import StateDirectory


class _Polled(NamedTuple):
    """Internal: the poll requested at `requested_at` is done."""

    requested_at: float
    others: list[OtherProcess]
    dead_states: list[ProcessState]


class _Written(NamedTuple):
    """Internal: the write of this process's state requested at `requested_at` is done."""

    requested_at: float
    problem: str


class Handover:
    """Actor of one process. Without a usable directory it works alone, and logs that once."""

    def __init__(self, name: str, group_address: str | None, clock: Clock, limits: Limits, log: Log) -> None:
        self.mailbox = Mailbox()
        self._clock, self._limits, self._log = clock, limits, log
        self._directory: StateDirectory | None = None
        self._file_calls = SerialExecutor("handover")
        self._started_at = clock.now()
        self._token = f"{self._started_at:.0f}-{os.urandom(4).hex()}"
        self._overrides: dict[str, OperatorOverride] = {}
        self._others: list[OtherProcess] = []
        self._stage, self._processes = Stage.STARTING, 1
        self._owns_warm_up = self._other_serving = False
        self._snapshot: HandoverSnapshot | None = None
        self._next_poll_at = 0.0  # due time of the next poll, if none is running
        self._polling = self._write_failed = self._slow = False
        self._stopping_since: float | None = None  # shutdown requested, acceptor not informed yet
        if group_address is not None:
            try:
                directory_name = f"sableford-{crc32(f'{name} {group_address}'.encode()):08x}"
                self._directory = StateDirectory(directory_name, self._token, limits.dead_state_valid)
            except OSError as problem:
                log.event("handover_off", problem=repr(problem))

    def start(self) -> tuple[list[OperatorOverride], int, HandoverSnapshot | None]:
        """Returns the overrides in force, the number of processes, and another process's state.

        Called before anything is served, and the only place that waits for the disk: serving before the
        overrides of another process are read would break them.
        """
        dead_states: list[ProcessState] = []
        if self._directory is not None:
            self._others, dead_states = self._directory.poll(self._limits.heartbeat)
        now = self._clock.now()
        states = [
            state for state in (*(other.state for other in self._others), *dead_states) if state is not None
        ]
        for state in states:
            for override in handover_state.newer_overrides(self._overrides, state, now):
                self._overrides[override.worker] = override
        # A process that is alone owns the warm-up at once, whatever a dead process claimed.
        self._owns_warm_up, self._processes = not self._others, 1 + len(self._others)
        newest = max(states, key=lambda state: state.started_at, default=None)
        self._snapshot = (
            HandoverSnapshot(bytes(newest.listing), newest.learned) if newest is not None else None
        )
        self._write()
        return list(self._overrides.values()), self._processes, self._snapshot

    def enabled(self) -> bool:
        return self._directory is not None

    def owns_warm_up(self) -> bool:
        return self._owns_warm_up

    async def run(self, dispatcher: Mailbox, acceptor: Mailbox, config_reloader: Mailbox) -> None:
        if self._stage is Stage.STARTING:
            self._stage = Stage.SERVING
        self._write()
        while True:
            for message in await self.mailbox.take(self._next_timeout()):
                match message:
                    case OverrideRequest():
                        self._apply_request(message, dispatcher)
                    case HandoverSnapshot():
                        self._snapshot = message
                        self._write()
                    case Shutdown() if self._stopping_since is None and self._stage is not Stage.LEAVING:
                        self._stage = Stage.LEAVING
                        self._stopping_since = self._clock.now()
                        self._write()
                        self._poll()
                    case _Polled(requested_at, others, dead_states):
                        self._polling = False
                        self._update_others(others, dead_states, dispatcher, acceptor, config_reloader)
                        if self._stopping_since is not None and requested_at >= self._stopping_since:
                            self._stop_acceptor(acceptor)
                    case _Written(requested_at, problem):
                        self._report_disk(requested_at, problem)
            now = self._clock.now()
            # If the disk does not answer, the last poll's result is used.
            if self._stopping_since is not None and now >= self._stopping_since + self._limits.shutdown_poll:
                self._stop_acceptor(acceptor)
            if not self._polling and now >= self._next_poll_at:
                self._poll()

    def _next_timeout(self) -> float | None:
        """Time until the next action that needs no message."""
        due = [] if self._directory is None or self._polling else [self._next_poll_at]
        if self._stopping_since is not None:
            due.append(self._stopping_since + self._limits.shutdown_poll)
        return max(0.0, min(due) - self._clock.now()) if due else None

    # Disk access, in a thread

    def _poll(self) -> None:
        if self._directory is None:
            if self._stopping_since is not None:  # no other process
                self.mailbox.put(_Polled(self._stopping_since, [], []))
            return
        self._polling, requested_at = True, self._clock.now()
        directory, heartbeat = self._directory, self._limits.heartbeat
        future = self._file_calls.submit("look", lambda: directory.poll(heartbeat))

        def polled(done: asyncio.Future[Any]) -> None:
            if not done.cancelled():
                seen = done.result() if done.exception() is None else (self._others, [])
                self.mailbox.put(_Polled(requested_at, *seen))

        future.add_done_callback(polled)

    def _write(self, reply: Mailbox | None = None) -> None:
        """Writes this process's current state. Writes requested while one is running are combined."""
        if self._directory is None:
            if reply is not None:
                reply.put(True)
            return
        overrides = handover_state.overrides_to_write(self._overrides, self._clock.now())
        state = ProcessState(
            handover_state.FORMAT, self._started_at, self._stage, self._owns_warm_up, overrides
        )
        if self._snapshot is not None:
            state.listing, state.learned = msgspec.Raw(self._snapshot.listing), self._snapshot.learned
        directory, requested_at = self._directory, self._clock.now()
        future = self._file_calls.submit("write", lambda: directory.write(state))

        def written(done: asyncio.Future[Any]) -> None:
            if not done.cancelled():
                problem = done.exception()
                if reply is not None:
                    reply.put(problem is None)
                self.mailbox.put(_Written(requested_at, "" if problem is None else repr(problem)))

        future.add_done_callback(written)

    def _report_disk(self, requested_at: float, problem: str) -> None:
        """Logs when writes begin to fail or to be slow, and when that ends."""
        if bool(problem) != self._write_failed:
            self._write_failed = bool(problem)
            self._log.event("handover_failed" if problem else "handover_written", problem=problem)
        took = self._clock.now() - requested_at
        if (took > self._limits.heartbeat) != self._slow:
            self._slow = not self._slow
            self._log.event("handover_slow", slow=self._slow, took=round(took))

    # Reactions

    def _stop_acceptor(self, acceptor: Mailbox) -> None:
        self._stopping_since = None
        acceptor.put(Shutdown(other_serving=self._other_serving))

    def _apply_request(self, message: OverrideRequest, dispatcher: Mailbox) -> None:
        """Applies an override at once; the caller is informed once it is written."""
        if (override := handover_state.override_change(self._overrides, message.override)) is None:
            message.reply.put(True)
            return
        self._overrides[override.worker] = override
        self._log.event("by_hand", worker=override.worker, out=override.out)
        dispatcher.put_first(override)
        self._write(message.reply)

    def _update_others(
        self,
        others: list[OtherProcess],
        dead_states: list[ProcessState],
        dispatcher: Mailbox,
        acceptor: Mailbox,
        config_reloader: Mailbox,
    ) -> None:
        """Applies what was read from the other processes."""
        now, before = self._clock.now(), len(self._others)
        self._others = others
        self._next_poll_at = now + (self._limits.poll_with_others if others else self._limits.poll_alone)
        for state in (*(other.state for other in others), *dead_states):
            for override in (
                handover_state.newer_overrides(self._overrides, state, now) if state is not None else ()
            ):
                self._overrides[override.worker] = override
                self._log.event(
                    "by_hand", worker=override.worker, out=override.out, told_by="another process"
                )
                dispatcher.put_first(override)
        if len(others) != before:
            self._log.event("beside", others=len(others))
            config_reloader.put(ProcessCount(1 + len(others)))
        other_serving = handover_state.other_serves(others)
        if other_serving != self._other_serving:
            self._other_serving = other_serving
            acceptor.put(OtherProcessServing(other_serving))
        owns_warm_up = handover_state.owns_warm_up(
            self._stage, self._started_at, self._token, self._owns_warm_up, others
        )
        if owns_warm_up != self._owns_warm_up:
            self._owns_warm_up = owns_warm_up
            # Ownership is given up before that is written, and taken after no other process claims it.
            dispatcher.put_first(WarmUpOwnership(owns_warm_up))
            self._log.event("cold_turns", ours=owns_warm_up)
            self._write()

    async def close(self) -> None:
        """Waits for the last state to be written at a clean end.

        The file stays: a live process reads it once the lock is released, then removes it. Removing it here
        lost overrides made in the last moments.
        """
        if self._directory is not None:
            await asyncio.wait(
                [self._file_calls.submit("close", lambda: None)], timeout=self._limits.shutdown_poll / 1000.0
            )
