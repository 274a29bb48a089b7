"""Tests of the handover between processes of one scheduler through their shared directory.

Expected events are waited for without a time limit, so that a busy machine does not fail a test.
"""

import asyncio
import io
import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import ClassVar

from sableford.net.handover import Handover
from sableford.net.limits import divide_resources
from sableford.net.log import Log
from sableford.net.messages import (
    Clock,
    Mailbox,
    OperatorOverride,
    OtherProcessServing,
    OverrideRequest,
    ProcessCount,
    Shutdown,
    WarmUpOwnership,
)

LIMITS = divide_resources(200, 96, 5000.0, 250.0)


class Process:
    """One process's handover actor, with the mailboxes it sends to."""

    instances: ClassVar[list["Process"]] = []  # of the current scene

    def __init__(self, name: str = "n0") -> None:
        Process.instances.append(self)
        log = Log("n0", sink=io.BytesIO())
        self.it = Handover(name, "127.0.0.1:1", Clock(asyncio.get_running_loop()), LIMITS, log)
        self.overrides, self.share, _ = self.it.start()
        self.dispatcher, self.acceptor, self.config_reloader = Mailbox(), Mailbox(), Mailbox()
        self.task: asyncio.Task | None = None

    def serve(self) -> None:
        self.task = asyncio.create_task(self.it.run(self.dispatcher, self.acceptor, self.config_reloader))

    async def call(self, worker: str, out: bool) -> None:
        reply = Mailbox()
        self.it.mailbox.put(OverrideRequest(OperatorOverride(worker, out, time.time() * 1000.0), reply))
        await reply.take()

    async def at_rest(self) -> None:
        """Waits until its thread is done, so that it writes no more files."""
        await self.it._file_calls.submit("at rest", lambda: None)

    async def die(self) -> None:
        """Simulates a kill: no more messages, no more writes, and the lock is released."""
        if self.task:
            self.task.cancel()
        await self.at_rest()
        os.close(self.it._directory.lock)

    async def end(self) -> None:
        if self.task:
            self.task.cancel()
        await self.at_rest()


def received(mailbox: Mailbox, kind: type) -> list:
    return [message for message in mailbox._waiting if isinstance(message, kind)]


async def until(holds: Callable[[], bool]) -> None:
    """Waits until the condition holds; the test runner times out if it never does."""
    while not holds():
        await asyncio.sleep(0.005)


def in_folder(scene: Callable) -> None:
    async def play(folder: Path) -> None:
        Process.instances.clear()
        try:
            await scene(folder)
        finally:  # a writing thread would prevent the removal of the folder
            for process in Process.instances:
                await process.end()

    with tempfile.TemporaryDirectory() as folder:
        tempfile.tempdir = folder
        try:
            asyncio.run(play(Path(folder)))
        finally:
            tempfile.tempdir = None


def shows_an_override_at_either_process_reaches_the_other_and_the_next_start() -> None:
    async def scene(folder: Path) -> None:
        old = Process()
        old.serve()
        await old.call("a", True)
        new = Process()
        assert [override.worker for override in new.overrides] == ["a"] and new.share == 2
        new.serve()
        await new.call("a", False)
        await new.call("b", True)
        called = {("a", False), ("b", True)}
        await until(
            lambda: {
                (override.worker, override.out) for override in received(old.dispatcher, OperatorOverride)
            }
            >= called
        )
        await old.die()
        await new.die()
        assert {(override.worker, override.out) for override in Process().overrides} == {
            ("a", False),
            ("b", True),
        }

    in_folder(scene)


def shows_an_override_in_the_last_moments_of_a_clean_end_reaches_the_other_process() -> None:
    async def scene(folder: Path) -> None:
        old = Process()
        old.serve()
        new = Process()
        new.serve()
        await old.call("a", True)
        await old.it.close()
        await old.die()
        await until(lambda: received(new.dispatcher, OperatorOverride))
        await until(lambda: received(new.config_reloader, ProcessCount) == [ProcessCount(1)])
        assert [
            (override.worker, override.out) for override in received(new.dispatcher, OperatorOverride)
        ] == [("a", True)]
        assert [path.suffix for path in next(folder.iterdir()).glob(f"{old.it._token}*")] == []

    in_folder(scene)


def shows_warm_up_ownership_passes_to_the_newer_process_once_it_serves_and_back_when_it_dies() -> None:
    async def scene(folder: Path) -> None:
        old = Process()
        assert old.it.owns_warm_up()
        old.serve()
        await asyncio.sleep(0)
        new = Process()
        assert not new.it.owns_warm_up()
        await asyncio.sleep(0.4)
        # The new process does not serve yet.
        assert old.it.owns_warm_up() and not received(old.dispatcher, WarmUpOwnership)
        new.serve()
        held = []
        while not held or held[-1] != (False, True):
            held.append((old.it.owns_warm_up(), new.it.owns_warm_up()))
            await asyncio.sleep(0.005)
        assert (True, True) not in held, held
        assert (
            received(old.acceptor, OtherProcessServing)[-1].serves
            and received(old.config_reloader, ProcessCount)[-1].processes == 2
        )
        await new.die()
        await until(lambda: old.it.owns_warm_up())
        assert received(old.config_reloader, ProcessCount)[-1].processes == 1
        old.it.mailbox.put(Shutdown())
        await until(lambda: received(old.acceptor, Shutdown))
        assert received(old.acceptor, Shutdown) == [Shutdown()]
        await old.die()

    in_folder(scene)


def shows_an_invalid_stale_or_oversized_state_neither_prevents_a_start_nor_keeps_an_override() -> None:
    async def scene(folder: Path) -> None:
        old = Process()
        old.serve()
        await old.call("a", True)
        await old.die()
        directory = next(folder.iterdir())
        lock = next(directory.glob("*.lock"))
        os.utime(lock, (time.time() - 60.0, time.time() - 60.0))
        restarted = Process()
        assert restarted.overrides == []  # the other process died long ago
        await restarted.die()
        for index, content in enumerate(
            (  # each with the lock file of a dead process
                b"",
                b'{"format":1,',
                b'{"format":7}',
                b"x" * 9_000_000,
                b"[]",
                b"\xff",
            )
        ):
            (directory / f"{index}-1.lock").write_bytes(b"")
            (directory / f"{index}-1.word").write_bytes(content)
            process = Process()
            assert process.overrides == [] and process.it.owns_warm_up(), content[:20]
            await process.die()

    in_folder(scene)


def shows_a_process_without_a_usable_folder_works_alone() -> None:
    async def scene(folder: Path) -> None:
        tempfile.tempdir = str(folder / "none")
        process = Process()
        process.serve()
        await process.call("a", True)
        assert (
            process.it.owns_warm_up()
            and process.share == 1
            and received(process.dispatcher, OperatorOverride)
        )

    in_folder(scene)


def shows_schedulers_of_different_names_do_not_share_state() -> None:
    async def scene(folder: Path) -> None:
        one = Process()
        assert Process("n1").share == 1 and one.it.owns_warm_up()

    in_folder(scene)
