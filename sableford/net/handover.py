"""What the old and the new process of one scheduler owe each other, by files in a folder of their own.

It owns the own word there and the calls by hand as they hold over all processes. It must never take what
another process wrote for more than a claim, let a bad file stop a start, nor wait for a disk once it serves.
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
    """To itself, from the hand: a look that was asked for at that time is done."""

    requested_at: float
    others: list[OtherProcess]
    dead_states: list[ProcessState]


class _Written(NamedTuple):
    """The same of a write of the own word."""

    requested_at: float
    problem: str


class Handover:
    """One process's side. Without a folder it stands alone, and says so once."""

    def __init__(self, name: str, group_address: str | None, clock: Clock, limits: Limits, log: Log) -> None:
        self.mailbox = Mailbox()
        self._clock, self._limits, self._log = clock, limits, log
        self._directory: StateDirectory | None = None
        self._file_calls = SerialExecutor("handover")
        self._started_at = clock.now()
        self._token = f"{self._started_at:.0f}-{os.urandom(4).hex()}"
        self._overrides: dict[str, OperatorOverride] = {}
        self._others: list[OtherProcess] = []
        self._stage, self._owns_warm_up, self._other_serving, self._processes = (
            Stage.STARTING,
            False,
            False,
            1,
        )
        self._snapshot: HandoverSnapshot | None = None
        self._next_poll_at = 0.0  # none under way: when the next is due
        self._polling = self._write_failed = self._slow = False
        self._stopping_since: float | None = None  # asked to leave then, and the gate not told yet
        if group_address is not None:
            try:
                directory_name = f"sableford-{crc32(f'{name} {group_address}'.encode()):08x}"
                self._directory = StateDirectory(directory_name, self._token, limits.dead_state_valid)
            except OSError as problem:
                log.event("handover_off", problem=repr(problem))

    def start(self) -> tuple[list[OperatorOverride], int, HandoverSnapshot | None]:
        """Before anything is served: the calls in force, how many processes share, what another knows. The
        one place that waits for the disk: to serve before another's calls are read would break them."""
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
        # Alone it waits for nobody; what the dead one took is from before.
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
            # A disk that does not answer tells nothing of another process; what was seen last counts.
            if self._stopping_since is not None and now >= self._stopping_since + self._limits.shutdown_poll:
                self._stop_acceptor(acceptor)
            if not self._polling and now >= self._next_poll_at:
                self._poll()

    def _next_timeout(self) -> float | None:
        """Until there is something to do without a message."""
        due = [] if self._directory is None or self._polling else [self._next_poll_at]
        if self._stopping_since is not None:
            due.append(self._stopping_since + self._limits.shutdown_poll)
        return max(0.0, min(due) - self._clock.now()) if due else None

    # The disk, by the hand alone

    def _poll(self) -> None:
        if self._directory is None:
            if self._stopping_since is not None:  # alone
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
        """The own word as it now stands. Words asked for while one is under way go out as one."""
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
        """Said once as it begins and once as it ends, not with each of a second's words."""
        if bool(problem) != self._write_failed:
            self._write_failed = bool(problem)
            self._log.event("handover_failed" if problem else "handover_written", problem=problem)
        took = self._clock.now() - requested_at
        if (took > self._limits.heartbeat) != self._slow:
            self._slow = not self._slow
            self._log.event("handover_slow", slow=self._slow, took=round(took))

    # What follows

    def _stop_acceptor(self, acceptor: Mailbox) -> None:
        self._stopping_since = None
        acceptor.put(Shutdown(other_serving=self._other_serving))

    def _apply_request(self, message: OverrideRequest, dispatcher: Mailbox) -> None:
        """In force here at once; the caller hears when it is written too."""
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
        """What follows from what was seen of the others."""
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
            # Given up before it is written, taken after all others were seen without it.
            dispatcher.put_first(WarmUpOwnership(owns_warm_up))
            self._log.event("cold_turns", ours=owns_warm_up)
            self._write()

    async def close(self) -> None:
        """At a clean end the last word goes out and stays: who lives reads it once the lock is let go, then
        removes it. Removed here, a call by hand of the last moments went with it."""
        if self._directory is not None:
            await asyncio.wait(
                [self._file_calls.submit("close", lambda: None)], timeout=self._limits.shutdown_poll / 1000.0
            )
