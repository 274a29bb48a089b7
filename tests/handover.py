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
from sableford.net.limits import granted
from sableford.net.log import Log
from sableford.net.mail import Beside, Clock, Leave, Mailbox, Rule, Ruling, Share, Turn

LIMITS = granted(200, 96, 5000.0, 250.0)


class Side:
    """One process's handover with the mailboxes it tells."""

    open: ClassVar[list["Side"]] = []  # of the scene under way

    def __init__(self, name: str = "n0") -> None:
        Side.open.append(self)
        log = Log("n0", sink=io.BytesIO())
        self.it = Handover(name, "127.0.0.1:1", Clock(asyncio.get_running_loop()), LIMITS, log)
        self.rules, self.share, _ = self.it.begin()
        self.desk, self.gate, self.keeper = Mailbox(), Mailbox(), Mailbox()
        self.task: asyncio.Task | None = None

    def serve(self) -> None:
        self.task = asyncio.create_task(self.it.run(self.desk, self.gate, self.keeper))

    async def call(self, worker: str, out: bool) -> None:
        reply = Mailbox()
        self.it.mail.put(Ruling(Rule(worker, out, time.time() * 1000.0), reply))
        await reply.take()

    async def at_rest(self) -> None:
        """Its thread has done all that it was asked, so the folder is no longer written by it."""
        await self.it._file_calls.submit("at rest", lambda: None)

    async def die(self) -> None:
        """As by a kill: nothing more is said, its thread writes nothing more, and the lock goes."""
        if self.task:
            self.task.cancel()
        await self.at_rest()
        os.close(self.it._folder.lock)

    async def end(self) -> None:
        if self.task:
            self.task.cancel()
        await self.at_rest()


def told(mail: Mailbox, kind: type) -> list:
    return [message for message in mail._waiting if isinstance(message, kind)]


async def until(holds: Callable[[], bool]) -> None:
    """Comes back once it holds; what never does is ended by the runner, which names the test."""
    while not holds():
        await asyncio.sleep(0.005)


def in_folder(scene: Callable) -> None:
    async def play(folder: Path) -> None:
        Side.open.clear()
        try:
            await scene(folder)
        finally:  # a thread that still wrote would keep the folder from being removed
            for side in Side.open:
                await side.end()

    with tempfile.TemporaryDirectory() as folder:
        tempfile.tempdir = folder
        try:
            asyncio.run(play(Path(folder)))
        finally:
            tempfile.tempdir = None


def shows_a_call_at_either_process_reaches_the_other_and_the_next_start() -> None:
    async def scene(folder: Path) -> None:
        old = Side()
        old.serve()
        await old.call("a", True)
        new = Side()
        assert [rule.worker for rule in new.rules] == ["a"] and new.share == 2
        new.serve()
        await new.call("a", False)
        await new.call("b", True)
        called = {("a", False), ("b", True)}
        await until(lambda: {(rule.worker, rule.out) for rule in told(old.desk, Rule)} >= called)
        await old.die()
        await new.die()
        assert {(rule.worker, rule.out) for rule in Side().rules} == {("a", False), ("b", True)}

    in_folder(scene)


def shows_a_call_in_the_last_moments_of_a_process_that_ends_cleanly_reaches_the_other() -> None:
    async def scene(folder: Path) -> None:
        old = Side()
        old.serve()
        new = Side()
        new.serve()
        await old.call("a", True)
        await old.it.close()
        await old.die()
        await until(lambda: told(new.desk, Rule))
        await until(lambda: told(new.keeper, Share) == [Share(1)])
        assert [(rule.worker, rule.out) for rule in told(new.desk, Rule)] == [("a", True)]
        assert [path.suffix for path in next(folder.iterdir()).glob(f"{old.it._token}*")] == []

    in_folder(scene)


def shows_cold_turns_pass_to_the_younger_once_it_serves_and_back_when_it_dies() -> None:
    async def scene(folder: Path) -> None:
        old = Side()
        assert old.it.holds()
        old.serve()
        await asyncio.sleep(0)
        new = Side()
        assert not new.it.holds()
        await asyncio.sleep(0.4)
        assert old.it.holds() and not told(old.desk, Turn)  # the new one does not serve yet
        new.serve()
        held = []
        while not held or held[-1] != (False, True):
            held.append((old.it.holds(), new.it.holds()))
            await asyncio.sleep(0.005)
        assert (True, True) not in held, held
        assert told(old.gate, Beside)[-1].serves and told(old.keeper, Share)[-1].processes == 2
        await new.die()
        await until(lambda: old.it.holds())
        assert told(old.keeper, Share)[-1].processes == 1
        old.it.mail.put(Leave())
        await until(lambda: told(old.gate, Leave))
        assert told(old.gate, Leave) == [Leave()]
        await old.die()

    in_folder(scene)


def shows_what_is_torn_stale_huge_or_of_another_version_stops_no_start_and_keeps_no_ban() -> None:
    async def scene(folder: Path) -> None:
        old = Side()
        old.serve()
        await old.call("a", True)
        await old.die()
        place = next(folder.iterdir())
        lock = next(place.glob("*.lock"))
        os.utime(lock, (time.time() - 60.0, time.time() - 60.0))
        later = Side()
        assert later.rules == []  # the other is long dead
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
            side = Side()
            assert side.rules == [] and side.it.holds(), text[:20]
            await side.die()

    in_folder(scene)


def shows_without_a_usable_folder_it_stands_alone() -> None:
    async def scene(folder: Path) -> None:
        tempfile.tempdir = str(folder / "none")
        side = Side()
        side.serve()
        await side.call("a", True)
        assert side.it.holds() and side.share == 1 and told(side.desk, Rule)

    in_folder(scene)


def shows_schedulers_of_other_names_have_nothing_to_do_with_each_other() -> None:
    async def scene(folder: Path) -> None:
        one = Side()
        assert Side("n1").share == 1 and one.it.holds()

    in_folder(scene)
