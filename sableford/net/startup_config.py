"""The scheduler's configuration file: name, addresses, limits, first worker list and settings.

The file is read at start and on reload. A missing field is an error, reported in one line, and a file is
applied as a whole or not at all.
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
from sableford.net.limits import Limits, divide_resources
from sableford.net.log import Log
from sableford.net.messages import ConfigReloaded, Mailbox, ProcessCount


class StartupConfig(NamedTuple):
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    console: tuple[str, int] | None  # address for operators, if any
    seed: str
    known: bytes
    settings: SchedulerSettings
    limits: Limits
    resources: tuple[int, float]  # sockets and memory of all processes of this scheduler
    # Addresses to listen on, of discovery and of the console as in the file, without environment variables.
    file_addresses: tuple[tuple[str, int] | None, ...]
    keys: frozenset[str]  # path of every key in the file
    peers: tuple[tuple[str, int], ...] = ()  # all schedulers by position; empty if peer messages are off
    fleet: FleetConfig | None = None  # place in the fleet; None if switched off

    def limits_per_process(self, processes: int) -> Limits:
        """The limits of one of `processes` processes that divide the resources."""
        sockets, memory = (size / processes for size in self.resources)
        idle, connect = self.settings.idle_timeout, self.settings.connect_timeout
        return divide_resources(int(sockets), memory, idle, connect, self.console is not None)


class _Resources(msgspec.Struct):
    sockets: int
    memory_mb: float


class _ConfigFile(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    seed: str
    limits: _Resources
    known: msgspec.Raw
    settings: msgspec.Raw
    console: str = ""
    peers: list[str] = []
    fleet: msgspec.Raw = msgspec.Raw(b"null")


class ReloadConfig(NamedTuple):
    """To ConfigReloader: read the file again."""


class _ConfigLoaded(NamedTuple):
    """Internal: the file's content, or why it is invalid."""

    outcome: StartupConfig | ValueError


class ConfigReloader:
    """Actor that reads the file again on request and sends the changes to the other actors."""

    def __init__(
        self, path: str, log: Log, processes: int = 1, talk: bool = False, fleet: bool = False
    ) -> None:
        self.mailbox, self._file_calls = Mailbox(), SerialExecutor("file")
        self._talk, self._fleet = talk, fleet
        self._path, self._log, self._processes = path, log, processes

    async def run(self, config: StartupConfig, others: tuple[Mailbox, ...]) -> None:
        """Applies a file as a whole or not at all; of several reads that are done, the last counts."""
        current, last = ConfigReloaded(config.limits, config.discovery, config.settings, config.peers), config
        while True:
            loaded: StartupConfig | ValueError | None = None
            for message in await self.mailbox.take():
                match message:
                    case ProcessCount(processes):
                        self._processes = processes
                        current = current._replace(limits=last.limits_per_process(self._processes))
                        for mailbox in others:
                            mailbox.put(current)
                    case ReloadConfig():
                        self._load()
                    case _ConfigLoaded(outcome):
                        loaded = outcome
            if loaded is None:
                continue
            try:
                if isinstance(loaded, ValueError):
                    raise loaded
                # A file truncated by an editor or a template can be valid but lack keys.
                if missing := min(last.keys - loaded.keys, default=""):
                    raise ValueError(f"{self._path}: {missing}: missing, the file in force has it")
            except ValueError as problem:
                self._log.event("reload_refused", problem=str(problem))
                continue
            # Compares the file's own values: environment variables reflect the state at start.
            discovery_changed = loaded.file_addresses[1] != last.file_addresses[1]
            settings = merge_settings(current.settings, loaded.settings)
            discovery = loaded.file_addresses[1] if discovery_changed else current.discovery
            update = ConfigReloaded(
                loaded.limits_per_process(self._processes), discovery, settings, loaded.peers
            )
            needs_restart = [
                field
                for field, differs in (
                    ("name", loaded.name != config.name),
                    ("listen", loaded.file_addresses[0] != config.file_addresses[0]),
                    ("console", loaded.file_addresses[2] != config.file_addresses[2]),
                    ("fleet", loaded.fleet != config.fleet),
                    ("registry_mode", loaded.settings.config.ask_within != settings.config.ask_within),
                )
                if differs
            ]
            schemes = sorted(settings.accepted_schemes)
            facts = {
                "discovery": update.discovery,
                "lines": update.limits.worker_connections,
                "schemes": schemes,
            }
            self._log.event(
                "reloaded", **facts, settings=settings != current.settings, restart_for=needs_restart
            )
            if update != current:
                for mailbox in others:
                    mailbox.put(update)
            current, last = update, loaded

    def _load(self) -> None:
        """Reads the file in a thread, so that a slow disk blocks no actor."""
        future = self._file_calls.submit("file", lambda: read_config(self._path, self._talk, self._fleet))

        def done(loaded: asyncio.Future) -> None:
            if not loaded.cancelled():
                self.mailbox.put(
                    _ConfigLoaded(
                        loaded.result() if loaded.exception() is None else _as_value_error(loaded.exception())
                    )
                )

        future.add_done_callback(done)


def _as_value_error(problem: BaseException) -> ValueError:
    return problem if isinstance(problem, ValueError) else ValueError(repr(problem))


def read_config(path: str, talk: bool = False, fleet: bool = False) -> StartupConfig:
    """Reads the file; a ValueError names the file and the field.

    `talk` enables messages to peers, `fleet` the fleet.
    """
    try:
        whole = Path(path).read_bytes()
        text = msgspec.json.decode(whole, type=_ConfigFile)
    except OSError as problem:
        raise ValueError(f"{path}: {problem.strerror}") from problem
    except msgspec.MsgspecError as problem:
        raise ValueError(f"{path}: {problem}") from problem
    try:
        settings = parse_settings(text.settings)
    except ValueError as problem:
        raise ValueError(f"{path}: {problem}") from problem
    try:
        peers = _peer_addresses(text.peers, settings) if settings.config.notify_peers else ()
    except ValueError as problem:
        raise ValueError(f"{path}: peers: {problem}") from problem
    peers = peers if talk else ()
    try:
        fleet_seat = read_fleet_config(bytes(text.fleet), text.name) if fleet else None
    except ValueError as problem:
        raise ValueError(f"{path}: {problem}") from problem
    # In a fleet, peer messages travel over the fleet's transport, if the settings allow them.
    notify_peers = bool(peers) or (
        fleet_seat is not None
        and settings.config.notify_peers
        and len(fleet_seat.peers) == settings.config.schedulers
    )
    settings = settings._replace(config=settings.config._replace(notify_peers=notify_peers))
    try:
        wire.decode_listing(text.known, settings)
    except msgspec.MsgspecError as problem:
        raise ValueError(f"{path}: known: {problem}") from problem
    addresses, file_addresses = [], []
    for field, given in (("listen", text.listen), ("discovery", text.discovery), ("console", text.console)):
        for found, address in (
            (file_addresses, given),
            (addresses, os.environ.get(f"BALANCER_{field.upper()}", given)),
        ):
            try:
                found.append(wire.parse_address(address) if address or field != "console" else None)
            except ValueError as problem:
                raise ValueError(f"{path}: {field}: {problem}") from problem
    listen, discovery, console = addresses
    size = text.limits.sockets, text.limits.memory_mb
    limits = divide_resources(*size, settings.idle_timeout, settings.connect_timeout, console is not None)
    known = bytes(text.known)
    keys = frozenset(_key_paths(msgspec.json.decode(whole) | {"known": None}, ""))
    return StartupConfig(
        *(text.name, listen, discovery, console, text.seed, known, settings, limits, size),
        *(tuple(file_addresses), keys, peers, fleet_seat),
    )


def _peer_addresses(given: list[str], settings: SchedulerSettings) -> tuple[tuple[str, int], ...]:
    """The schedulers' addresses by position; an empty list means that they do not know each other."""
    addresses, scheduler_config = tuple(map(wire.parse_address, given)), settings.config
    if addresses and len(addresses) != scheduler_config.schedulers:
        raise ValueError(f"{len(addresses)} addresses for {scheduler_config.schedulers} instances")
    for host, _ in addresses:
        try:  # a host name would be resolved for each message, blocking the loop
            ipaddress.ip_address(host)
        except ValueError as problem:
            raise ValueError(f"{host!r} is not an IP address") from problem
    if len(set(addresses)) < len(addresses):
        raise ValueError("an address twice")
    if addresses and not 0 <= scheduler_config.position < len(addresses):
        raise ValueError(f"none for position {scheduler_config.position}")
    return addresses


def _key_paths(value: object, prefix: str) -> Iterator[str]:
    """The path of every key; for a list, the keys that all its entries have.

    >>> sorted(_key_paths({"a": {"b": 1}, "c": [{"d": 1, "e": 2}, {"d": 3}], "f": []}, ""))
    ['a', 'a.b', 'c', 'c[].d', 'f']
    """
    if isinstance(value, dict):
        for key, child in value.items():
            yield prefix + key
            yield from _key_paths(child, f"{prefix}{key}.")
    elif isinstance(value, list) and value:
        each = [set(_key_paths(child, f"{prefix.removesuffix('.')}[].")) for child in value]
        yield from set.intersection(*each)
