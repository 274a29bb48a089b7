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
from sableford.net import pact
from sableford.net.folder import Folder
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.mail import Beside, Clock, Kept, Leave, Mailbox, Rule, Ruling, Share, Turn
from sableford.net.pact import Other, Stage, Word


class _Seen(NamedTuple):
    """To itself, from the hand: a look that was asked for at that time is done."""

    asked: float
    others: list[Other]
    left: list[Word]


class _Written(NamedTuple):
    """The same of a write of the own word."""

    asked: float
    problem: str


class Handover:
    """One process's side. Without a folder it stands alone, and says so once."""

    def __init__(self, name: str, place: str | None, clock: Clock, limits: Limits, log: Log) -> None:
        self.mail = Mailbox()
        self._clock, self._limits, self._log = clock, limits, log
        self._folder: Folder | None = None
        self._file_calls = SerialExecutor("handover")
        self._born = clock.now()
        self._token = f"{self._born:.0f}-{os.urandom(4).hex()}"
        self._rules: dict[str, Rule] = {}
        self._others: list[Other] = []
        self._stage, self._holds, self._beside, self._share = Stage.STARTING, False, False, 1
        self._kept: Kept | None = None
        self._look_at = 0.0  # none under way: when the next is due
        self._looking = self._failed = self._slow = False
        self._leaving: float | None = None  # asked to leave then, and the gate not told yet
        if place is not None:
            try:
                shared = f"sableford-{crc32(f'{name} {place}'.encode()):08x}"
                self._folder = Folder(shared, self._token, limits.remembered)
            except OSError as problem:
                log.say("handover_off", problem=repr(problem))

    def begin(self) -> tuple[list[Rule], int, Kept | None]:
        """Before anything is served: the calls in force, how many processes share, what another knows. The
        one place that waits for the disk: to serve before another's calls are read would break them."""
        left: list[Word] = []
        if self._folder is not None:
            self._others, left = self._folder.look(self._limits.beat)
        now = self._clock.now()
        words = [word for word in (*(other.word for other in self._others), *left) if word is not None]
        for word in words:
            for rule in pact.merged(self._rules, word, now):
                self._rules[rule.worker] = rule
        # Alone it waits for nobody; what the dead one took is from before.
        self._holds, self._share = not self._others, 1 + len(self._others)
        known = max(words, key=lambda word: word.born, default=None)
        self._kept = Kept(bytes(known.listing), known.legacy) if known is not None else None
        self._write()
        return list(self._rules.values()), self._share, self._kept

    def on(self) -> bool:
        return self._folder is not None

    def holds(self) -> bool:
        return self._holds

    async def run(self, desk: Mailbox, gate: Mailbox, keeper: Mailbox) -> None:
        if self._stage is Stage.STARTING:
            self._stage = Stage.SERVING
        self._write()
        while True:
            for message in await self.mail.take(self._period()):
                match message:
                    case Ruling():
                        self._call(message, desk)
                    case Kept():
                        self._kept = message
                        self._write()
                    case Leave() if self._leaving is None and self._stage is not Stage.LEAVING:
                        self._stage = Stage.LEAVING
                        self._leaving = self._clock.now()
                        self._write()
                        self._look()
                    case _Seen(asked, others, left):
                        self._looking = False
                        self._tend(others, left, desk, gate, keeper)
                        if self._leaving is not None and asked >= self._leaving:
                            self._leave(gate)
                    case _Written(asked, problem):
                        self._say_disk(asked, problem)
            now = self._clock.now()
            # A disk that does not answer tells nothing of another process; what was seen last counts.
            if self._leaving is not None and now >= self._leaving + self._limits.sure:
                self._leave(gate)
            if not self._looking and now >= self._look_at:
                self._look()

    def _period(self) -> float | None:
        """Until there is something to do without a message."""
        due = [] if self._folder is None or self._looking else [self._look_at]
        if self._leaving is not None:
            due.append(self._leaving + self._limits.sure)
        return max(0.0, min(due) - self._clock.now()) if due else None

    # The disk, by the hand alone

    def _look(self) -> None:
        if self._folder is None:
            if self._leaving is not None:  # alone
                self.mail.put(_Seen(self._leaving, [], []))
            return
        self._looking, asked = True, self._clock.now()
        folder, beat = self._folder, self._limits.beat
        future = self._file_calls.submit("look", lambda: folder.look(beat))

        def looked(done: asyncio.Future[Any]) -> None:
            if not done.cancelled():
                seen = done.result() if done.exception() is None else (self._others, [])
                self.mail.put(_Seen(asked, *seen))

        future.add_done_callback(looked)

    def _write(self, reply: Mailbox | None = None) -> None:
        """The own word as it now stands. Words asked for while one is under way go out as one."""
        if self._folder is None:
            if reply is not None:
                reply.put(True)
            return
        rules = pact.kept(self._rules, self._clock.now())
        word = Word(pact.FORMAT, self._born, self._stage, self._holds, rules)
        if self._kept is not None:
            word.listing, word.legacy = msgspec.Raw(self._kept.listing), self._kept.legacy
        folder, asked = self._folder, self._clock.now()
        future = self._file_calls.submit("write", lambda: folder.write(word))

        def written(done: asyncio.Future[Any]) -> None:
            if not done.cancelled():
                problem = done.exception()
                if reply is not None:
                    reply.put(problem is None)
                self.mail.put(_Written(asked, "" if problem is None else repr(problem)))

        future.add_done_callback(written)

    def _say_disk(self, asked: float, problem: str) -> None:
        """Said once as it begins and once as it ends, not with each of a second's words."""
        if bool(problem) != self._failed:
            self._failed = bool(problem)
            self._log.say("handover_failed" if problem else "handover_written", problem=problem)
        took = self._clock.now() - asked
        if (took > self._limits.beat) != self._slow:
            self._slow = not self._slow
            self._log.say("handover_slow", slow=self._slow, took=round(took))

    # What follows

    def _leave(self, gate: Mailbox) -> None:
        self._leaving = None
        gate.put(Leave(beside=self._beside))

    def _call(self, message: Ruling, desk: Mailbox) -> None:
        """In force here at once; the caller hears when it is written too."""
        if (rule := pact.called(self._rules, message.rule)) is None:
            message.reply.put(True)
            return
        self._rules[rule.worker] = rule
        self._log.say("by_hand", worker=rule.worker, out=rule.out)
        desk.put_first(rule)
        self._write(message.reply)

    def _tend(
        self, others: list[Other], left: list[Word], desk: Mailbox, gate: Mailbox, keeper: Mailbox
    ) -> None:
        """What follows from what was seen of the others."""
        now, before = self._clock.now(), len(self._others)
        self._others = others
        self._look_at = now + (self._limits.glance if others else self._limits.lookout)
        for word in (*(other.word for other in others), *left):
            for rule in pact.merged(self._rules, word, now) if word is not None else ():
                self._rules[rule.worker] = rule
                self._log.say("by_hand", worker=rule.worker, out=rule.out, told_by="another process")
                desk.put_first(rule)
        if len(others) != before:
            self._log.say("beside", others=len(others))
            keeper.put(Share(1 + len(others)))
        beside = pact.stands_beside(others)
        if beside != self._beside:
            self._beside = beside
            gate.put(Beside(beside))
        holds = pact.holds(self._stage, self._born, self._token, self._holds, others)
        if holds != self._holds:
            self._holds = holds
            # Given up before it is written, taken after all others were seen without it.
            desk.put_first(Turn(holds))
            self._log.say("cold_turns", ours=holds)
            self._write()

    async def close(self) -> None:
        """At a clean end the last word goes out and stays: who lives reads it once the lock is let go, then
        removes it. Removed here, a call by hand of the last moments went with it."""
        if self._folder is not None:
            await asyncio.wait(
                [self._file_calls.submit("close", lambda: None)], timeout=self._limits.sure / 1000.0
            )
