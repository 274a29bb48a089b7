"""What a scheduler is told at start: its name and addresses, its limits, the first list, the settings.

It owns reading that file, at start and again when asked, and saying in one line what is wrong with it. It
must never guess a missing field, nor put half of a file into force.
"""

import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from sableford.intake.charter import Charter, read_charter
from sableford.net import wire
from sableford.net.limits import Limits, granted
from sableford.net.log import Log
from sableford.net.mail import Mailbox, Renew, Share


class Berth(NamedTuple):
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    console: tuple[str, int] | None  # the operators' door, if any
    seed: str
    known: bytes
    charter: Charter
    limits: Limits
    granted: tuple[int, float]  # sockets and memory, of all processes of this scheduler together
    filed: tuple[tuple[str, int] | None, ...]  # where to listen, discovery and the console by the file alone

    def decided(self) -> Charter:
        """The settings without those that are limits: the module has them for life."""
        return self.charter._replace(idle=0.0, connect=0.0)

    def shared(self, processes: int) -> Limits:
        """What one process has of what is granted to all of them."""
        sockets, memory = (size / processes for size in self.granted)
        idle, connect = self.charter.idle, self.charter.connect
        return granted(int(sockets), memory, idle, connect, self.console is not None)


class _Granted(msgspec.Struct):
    sockets: int
    memory_mb: float


class _Text(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    seed: str
    limits: _Granted
    known: msgspec.Raw
    settings: msgspec.Raw
    console: str = ""


class Reread(NamedTuple):
    """To the keeper: read the file again."""


class Keeper:
    """The file's actor: reads it again when asked, and tells the others what is new in it."""

    def __init__(self, path: str, log: Log, processes: int = 1) -> None:
        self.mail = Mailbox()
        self._path, self._log, self._processes = path, log, processes

    async def run(self, berth: Berth, others: tuple[Mailbox, ...]) -> None:
        """A file as a whole or not at all. Asked twice at once it reads once."""
        now, filed, last = Renew(berth.limits, berth.discovery), berth.filed, berth
        while True:
            messages = await self.mail.take()
            for message in messages:
                if isinstance(message, Share):
                    self._processes = message.processes
                    now = now._replace(limits=last.shared(self._processes))
                    for mail in others:
                        mail.put(now)
            if not any(isinstance(message, Reread) for message in messages):
                continue
            try:
                read = read_berth(self._path)
            except ValueError as problem:
                self._log.say("reload_refused", problem=str(problem))
                continue
            # By the file alone: the variables name what was true at start.
            moved = read.filed[1] != filed[1]
            told = Renew(read.shared(self._processes), read.filed[1] if moved else now.discovery)
            fixed = [
                field
                for field, differs in (
                    ("name", read.name != berth.name),
                    ("listen", read.filed[0] != berth.filed[0]),
                    ("console", read.filed[2] != berth.filed[2]),
                    ("settings", read.decided() != berth.decided()),
                )
                if differs
            ]
            self._log.say("reloaded", discovery=told.discovery, lines=told.limits.lines, restart_for=fixed)
            if told != now:
                for mail in others:
                    mail.put(told)
            now, filed, last = told, read.filed, read


def read_berth(path: str) -> Berth:
    """Read the file; ValueError names the file and the field."""
    try:
        text = msgspec.json.decode(Path(path).read_bytes(), type=_Text)
    except OSError as problem:
        raise ValueError(f"{path}: {problem.strerror}") from problem
    except msgspec.MsgspecError as problem:
        raise ValueError(f"{path}: {problem}") from problem
    try:
        charter = read_charter(text.settings)
    except ValueError as problem:
        raise ValueError(f"{path}: {problem}") from problem
    try:
        wire.listing(text.known, charter)
    except msgspec.MsgspecError as problem:
        raise ValueError(f"{path}: known: {problem}") from problem
    places, filed = [], []
    for field, told in (("listen", text.listen), ("discovery", text.discovery), ("console", text.console)):
        for found, where in ((filed, told), (places, os.environ.get(f"BALANCER_{field.upper()}", told))):
            try:
                found.append(wire.address(where) if where or field != "console" else None)
            except ValueError as problem:
                raise ValueError(f"{path}: {field}: {problem}") from problem
    listen, discovery, console = places
    size = text.limits.sockets, text.limits.memory_mb
    limits = granted(*size, charter.idle, charter.connect, console is not None)
    known = bytes(text.known)
    return Berth(text.name, listen, discovery, console, text.seed, known, charter, limits, size, tuple(filed))
