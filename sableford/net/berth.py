"""What a scheduler is told at start: its name and addresses, its limits, the first list, the settings.

It owns reading that file, at start and again when asked, and saying in one line what is wrong with it. It
must never guess a missing field, nor put half of a file into force.
"""

import asyncio
import ipaddress
import os
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from sableford.common.serial_executor import SerialExecutor
from sableford.fleet.config import FleetConfig, read_fleet_config
from sableford.intake.scheduler_settings import SchedulerSettings, merge_settings, parse_settings
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
    charter: SchedulerSettings
    limits: Limits
    granted: tuple[int, float]  # sockets and memory, of all processes of this scheduler together
    filed: tuple[tuple[str, int] | None, ...]  # where to listen, discovery and the console by the file alone
    keys: frozenset[str]  # every key of the file, by its path
    peers: tuple[tuple[str, int], ...] = ()  # all schedulers by position; none where they may not speak
    fleet: FleetConfig | None = None  # in the fleet; none where that is not switched on

    def shared(self, processes: int) -> Limits:
        """What one process has of what is granted to all of them."""
        sockets, memory = (size / processes for size in self.granted)
        idle, connect = self.charter.idle_timeout, self.charter.connect_timeout
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
    peers: list[str] = []
    fleet: msgspec.Raw = msgspec.Raw(b"null")


class Reread(NamedTuple):
    """To the keeper: read the file again."""


class _Read(NamedTuple):
    """To itself: what the file holds now, or what is wrong with it."""

    outcome: Berth | ValueError


class Keeper:
    """The file's actor: reads it again when asked, and tells the others what is new in it."""

    def __init__(
        self, path: str, log: Log, processes: int = 1, talk: bool = False, fleet: bool = False
    ) -> None:
        self.mail, self._talk, self._fleet, self._file_calls = Mailbox(), talk, fleet, SerialExecutor("file")
        self._path, self._log, self._processes = path, log, processes

    async def run(self, berth: Berth, others: tuple[Mailbox, ...]) -> None:
        """A file as a whole or not at all. Asked twice at once it reads once."""
        now, last = Renew(berth.limits, berth.discovery, berth.charter, berth.peers), berth
        while True:
            read: Berth | ValueError | None = None
            for message in await self.mail.take():
                match message:
                    case Share(processes):
                        self._processes = processes
                        now = now._replace(limits=last.shared(self._processes))
                        for mail in others:
                            mail.put(now)
                    case Reread():
                        self._ask()
                    case _Read(outcome):
                        read = outcome
            if read is None:
                continue
            try:
                if isinstance(read, ValueError):
                    raise read
                # Cut by an editor or a template a file can be sound, and say less than was meant.
                if lost := min(last.keys - read.keys, default=""):
                    raise ValueError(f"{self._path}: {lost}: missing, the file in force has it")
            except ValueError as problem:
                self._log.say("reload_refused", problem=str(problem))
                continue
            # By the file alone: the variables name what was true at start.
            moved = read.filed[1] != last.filed[1]
            charter = merge_settings(now.charter, read.charter)
            discovery = read.filed[1] if moved else now.discovery
            told = Renew(read.shared(self._processes), discovery, charter, read.peers)
            fixed = [
                field
                for field, differs in (
                    ("name", read.name != berth.name),
                    ("listen", read.filed[0] != berth.filed[0]),
                    ("console", read.filed[2] != berth.filed[2]),
                    ("fleet", read.fleet != berth.fleet),
                    ("registry_mode", read.charter.config.ask_within != charter.config.ask_within),
                )
                if differs
            ]
            schemes = sorted(charter.accepted_schemes)
            facts = {"discovery": told.discovery, "lines": told.limits.lines, "schemes": schemes}
            self._log.say("reloaded", **facts, settings=charter != now.charter, restart_for=fixed)
            if told != now:
                for mail in others:
                    mail.put(told)
            now, last = told, read

    def _ask(self) -> None:
        """Read by the hand: a disk that is slow over it holds up nobody."""
        future = self._file_calls.submit("file", lambda: read_berth(self._path, self._talk, self._fleet))

        def done(read: asyncio.Future) -> None:
            if not read.cancelled():
                self.mail.put(_Read(read.result() if read.exception() is None else _wrong(read.exception())))

        future.add_done_callback(done)


def _wrong(problem: BaseException) -> ValueError:
    return problem if isinstance(problem, ValueError) else ValueError(repr(problem))


def read_berth(path: str, talk: bool = False, fleet: bool = False) -> Berth:
    """Read the file; ValueError names the file and the field. Without `talk` no peers are spoken to, and
    without `fleet` there is none."""
    try:
        whole = Path(path).read_bytes()
        text = msgspec.json.decode(whole, type=_Text)
    except OSError as problem:
        raise ValueError(f"{path}: {problem.strerror}") from problem
    except msgspec.MsgspecError as problem:
        raise ValueError(f"{path}: {problem}") from problem
    try:
        charter = parse_settings(text.settings)
    except ValueError as problem:
        raise ValueError(f"{path}: {problem}") from problem
    try:
        peers = _peers(text.peers, charter) if charter.config.notify_peers else ()
    except ValueError as problem:
        raise ValueError(f"{path}: peers: {problem}") from problem
    peers = peers if talk else ()
    try:
        seat = read_fleet_config(bytes(text.fleet), text.name) if fleet else None
    except ValueError as problem:
        raise ValueError(f"{path}: {problem}") from problem
    # In a fleet the words of the decisions go with the fleet's own, where the settings allow any.
    spoken = bool(peers) or (
        seat is not None and charter.config.notify_peers and len(seat.peers) == charter.config.schedulers
    )
    charter = charter._replace(config=charter.config._replace(notify_peers=spoken))
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
    limits = granted(*size, charter.idle_timeout, charter.connect_timeout, console is not None)
    known = bytes(text.known)
    keys = frozenset(_paths(msgspec.json.decode(whole) | {"known": None}, ""))
    return Berth(
        *(text.name, listen, discovery, console, text.seed, known, charter, limits, size),
        *(tuple(filed), keys, peers, seat),
    )


def _peers(given: list[str], charter: SchedulerSettings) -> tuple[tuple[str, int], ...]:
    """The schedulers' addresses by position; none at all is a fleet whose members don't know each other."""
    places, terms = tuple(map(wire.address, given)), charter.config
    if places and len(places) != terms.schedulers:
        raise ValueError(f"{len(places)} addresses for {terms.schedulers} instances")
    for host, _ in places:
        try:  # a name would be looked up by each message sent, on the loop
            ipaddress.ip_address(host)
        except ValueError as problem:
            raise ValueError(f"{host!r} is not an IP address") from problem
    if len(set(places)) < len(places):
        raise ValueError("an address twice")
    if places and not 0 <= terms.position < len(places):
        raise ValueError(f"none for position {terms.position}")
    return places


def _paths(value: object, before: str) -> Iterator[str]:
    """The path of every key; of a list's entries those that all have.

    >>> sorted(_paths({"a": {"b": 1}, "c": [{"d": 1, "e": 2}, {"d": 3}], "f": []}, ""))
    ['a', 'a.b', 'c', 'c[].d', 'f']
    """
    if isinstance(value, dict):
        for key, inner in value.items():
            yield before + key
            yield from _paths(inner, f"{before}{key}.")
    elif isinstance(value, list) and value:
        each = [set(_paths(inner, f"{before.removesuffix('.')}[].")) for inner in value]
        yield from set.intersection(*each)
