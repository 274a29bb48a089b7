"""What the old and the new process of one scheduler owe each other, by files in a folder of their own.

It owns the folder, its own lock and word there, and the calls by hand as they hold over all processes. It
must never take what another process wrote for more than a claim, nor let a bad file stop a start.
"""

import fcntl
import os
import stat
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from zlib import crc32

import msgspec

from sableford.net import pact
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.mail import Beside, Clock, Kept, Leave, Mailbox, Rule, Ruling, Share, Turn
from sableford.net.pact import Other, Stage, Word


class Handover:
    """One process's side. Without a folder it stands alone, and says so once."""

    def __init__(self, name: str, place: str | None, clock: Clock, limits: Limits, log: Log) -> None:
        self.mail = Mailbox()
        self._clock, self._limits, self._log = clock, limits, log
        self._folder: Path | None = None
        self._lock = -1
        self._born = clock.now()
        self._token = f"{self._born:.0f}-{os.urandom(4).hex()}"
        self._rules: dict[str, Rule] = {}
        self._read: dict[str, tuple[tuple, Word | None]] = {}  # by token: which file, and what it said
        self._others: list[Other] = []
        self._stage, self._holds, self._beside, self._share = Stage.STARTING, False, False, 1
        self._kept: Kept | None = None
        self._beat_at = 0.0
        if place is not None:
            try:
                self._settle(f"sableford-{crc32(f'{name} {place}'.encode()):08x}")
            except OSError as problem:
                self._folder = None
                log.say("handover_off", problem=repr(problem))

    def _settle(self, name: str) -> None:
        folder = Path(tempfile.gettempdir(), name)
        folder.mkdir(mode=0o700, exist_ok=True)
        found = folder.lstat()
        if not stat.S_ISDIR(found.st_mode) or found.st_uid != os.geteuid():
            raise PermissionError(f"{folder} is another's")
        # Locked before it has its name: seen without a lock it would pass for a dead one's.
        unnamed = folder / f"{self._token}.new"
        self._lock = os.open(unnamed, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        unnamed.rename(folder / f"{self._token}.lock")
        self._folder = folder

    # The files

    def _write(self) -> None:
        """The own word, whole or not at all."""
        if self._folder is None:
            return
        rules = pact.kept(self._rules, self._clock.now())
        word = Word(pact.FORMAT, self._born, self._stage, self._holds, rules)
        if self._kept is not None:
            word.listing, word.legacy = msgspec.Raw(self._kept.listing), self._kept.legacy
        try:
            unnamed = self._folder / f"{self._token}.part"
            unnamed.write_bytes(msgspec.json.encode(word))
            unnamed.rename(self._folder / f"{self._token}.word")
        except OSError as problem:
            self._log.say("handover_failed", problem=repr(problem))

    def _look(self) -> tuple[list[Other], list[Word]]:
        """Who else lives, and the words of those that died just now, whose files are removed."""
        living, left = [], []
        if self._folder is None:
            return living, left
        try:
            names = [entry.name for entry in os.scandir(self._folder)]
        except OSError:
            return living, left
        locks = sorted(name for name in names if name.endswith(".lock"))
        for token in (name.removesuffix(".lock") for name in locks):
            if token == self._token:
                continue
            if (beat := self._dead(token)) is None:
                living.append(Other(token, self._word(token)))
                continue
            word = self._word(token)
            if word is not None and time.time() * 1000.0 - beat < self._limits.remembered:
                left.append(word)
            self._remove(token)
        for token in self._read.keys() - {other.token for other in living}:
            del self._read[token]
        return living, left

    def _dead(self, token: str) -> float | None:
        """When one that is dead gave its last sign; none for one that lives."""
        try:
            file = os.open(self._folder / f"{token}.lock", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return 0.0
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return os.fstat(file).st_mtime * 1000.0
        except OSError:
            return None
        finally:
            os.close(file)

    def _word(self, token: str) -> Word | None:
        path = self._folder / f"{token}.word"
        try:
            found = path.stat()
            which = (found.st_ino, found.st_mtime_ns, found.st_size)
            if self._read.get(token, ((), None))[0] != which:
                text = path.read_bytes() if found.st_size <= pact.MOST_WORD else b""
                self._read[token] = which, pact.read_word(text)
        except OSError:  # not written yet
            return None
        return self._read[token][1]

    def _remove(self, token: str) -> None:
        for ending in ("word", "part", "new", "lock"):
            with suppress(OSError):
                (self._folder / f"{token}.{ending}").unlink()

    # What follows

    def begin(self) -> tuple[list[Rule], int, Kept | None]:
        """Before anything is served: the calls in force, how many processes share, what another knows."""
        self._others, left = self._look()
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
                    case Ruling(rule, reply):
                        self._call(rule, desk)
                        reply.put(message)
                    case Kept():
                        self._kept = message
                        self._write()
                    case Leave():
                        self._stage = Stage.LEAVING
                        self._tend(desk, gate, keeper)
                        self._write()
                        gate.put(Leave(beside=self._beside))
            self._tend(desk, gate, keeper)

    def _period(self) -> float | None:
        if self._folder is None:
            return None
        return self._limits.glance if self._others else self._limits.lookout

    def _call(self, rule: Rule, desk: Mailbox) -> None:
        if (rule := pact.called(self._rules, rule)) is None:
            return
        self._rules[rule.worker] = rule
        self._log.say("by_hand", worker=rule.worker, out=rule.out)
        self._write()
        desk.put_first(rule)

    def _tend(self, desk: Mailbox, gate: Mailbox, keeper: Mailbox) -> None:
        """Look at the others, and do what follows."""
        if self._folder is None:
            return
        now, before = self._clock.now(), len(self._others)
        if now - self._beat_at >= self._limits.beat:
            self._beat_at = now
            with suppress(OSError):
                os.utime(self._lock)
        self._others, left = self._look()
        for word in (*(other.word for other in self._others), *left):
            for rule in pact.merged(self._rules, word, now) if word is not None else ():
                self._rules[rule.worker] = rule
                self._log.say("by_hand", worker=rule.worker, out=rule.out, told_by="another process")
                desk.put_first(rule)
        if len(self._others) != before:
            self._log.say("beside", others=len(self._others))
            keeper.put(Share(1 + len(self._others)))
        beside = pact.stands_beside(self._others)
        if beside != self._beside:
            self._beside = beside
            gate.put(Beside(beside))
        holds = pact.holds(self._stage, self._born, self._token, self._holds, self._others)
        if holds != self._holds:
            self._holds = holds
            # Given up before it is written, taken after all others were seen without it.
            desk.put_first(Turn(holds))
            self._log.say("cold_turns", ours=holds)
            self._write()

    def close(self) -> None:
        """At a clean end; alone the word stays, for the next start."""
        if self._folder is not None and self._others:
            self._remove(self._token)
