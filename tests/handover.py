"""Plain asserts on what processes of one scheduler find of each other in their folder.

What is claimed to come is waited for until it is there; how long a busy machine takes for it is no claim.
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
    """One process's handover with the mailboxes it tells."""

    instances: ClassVar[list["Process"]] = []  # of the scene under way

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
        """Its thread has done all that it was asked, so the folder is no longer written by it."""
        await self.it._file_calls.submit("at rest", lambda: None)

    async def die(self) -> None:
        """As by a kill: nothing more is said, its thread writes nothing more, and the lock goes."""
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
    """Comes back once it holds; what never does is ended by the runner, which names the test."""
    while not holds():
        await asyncio.sleep(0.005)


def in_folder(scene: Callable) -> None:
    async def play(folder: Path) -> None:
        Process.instances.clear()
        try:
            await scene(folder)
        finally:  # a thread that still wrote would keep the folder from being removed
            for process in Process.instances:
                await process.end()

    with tempfile.TemporaryDirectory() as folder:
        tempfile.tempdir = folder
        try:
            asyncio.run(play(Path(folder)))
        finally:
            tempfile.tempdir = None


def shows_a_call_at_either_process_reaches_the_other_and_the_next_start() -> None:
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


def shows_a_call_in_the_last_moments_of_a_process_that_ends_cleanly_reaches_the_other() -> None:
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


def shows_cold_turns_pass_to_the_younger_once_it_serves_and_back_when_it_dies() -> None:
    async def scene(folder: Path) -> None:
        old = Process()
        assert old.it.owns_warm_up()
        old.serve()
        await asyncio.sleep(0)
        new = Process()
        assert not new.it.owns_warm_up()
        await asyncio.sleep(0.4)
        assert old.it.owns_warm_up() and not received(
            old.dispatcher, WarmUpOwnership
        )  # the new one does not serve yet
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


def shows_what_is_torn_stale_huge_or_of_another_version_stops_no_start_and_keeps_no_ban() -> None:
    async def scene(folder: Path) -> None:
        old = Process()
        old.serve()
        await old.call("a", True)
        await old.die()
        place = next(folder.iterdir())
        lock = next(place.glob("*.lock"))
        os.utime(lock, (time.time() - 60.0, time.time() - 60.0))
        later = Process()
        assert later.overrides == []  # the other is long dead
        await later.die()
        for at, text in enumerate(
            (  # each beside the lock of one that is dead
                b"",
                b'{"format":1,',
                b'{"format":7}',
                b"x" * 9_000_000,
                b"[]",
                b"\xff",
            )
        ):
            (place / f"{at}-1.lock").write_bytes(b"")
            (place / f"{at}-1.word").write_bytes(text)
            process = Process()
            assert process.overrides == [] and process.it.owns_warm_up(), text[:20]
            await process.die()

    in_folder(scene)


def shows_without_a_usable_folder_it_stands_alone() -> None:
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


def shows_schedulers_of_other_names_have_nothing_to_do_with_each_other() -> None:
    async def scene(folder: Path) -> None:
        one = Process()
        assert Process("n1").share == 1 and one.it.owns_warm_up()

    in_folder(scene)
