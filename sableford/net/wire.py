"""The wire protocol: headers, paths, fields and states, with parsers and formatters. No I/O, no state."""

import re
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from sableford.intake.index_table import WorkerList
from sableford.intake.scheduler_settings import SchedulerSettings

ID, SCHEME, TIME_LEFT, FACTS = b"x-correlation-id", b"x-service-class", b"x-time-left", b"x-facts"
LENGTH, CODING = b"content-length", b"transfer-encoding"
# If one of these came twice, parsers could disagree on which one counts.
SINGLE_HEADERS = (ID, SCHEME, TIME_LEFT, FACTS, b"host")
LOAD, NOT_RUN = b"x-backend-load", b"x-unprocessed"
READY, HEALTH, LOAD_PATH, LIST = b"/ready", b"/health", b"/status/load", "/v1/endpoints"
JOB_METHOD, JOB_PATH = b"POST", b"/api"
SETTLED, DECLINED, REVERSED, CLASH = 200, 503, 502, 409
PAUSE = b"retry-after"
STARTED, RUNNING, DONE, FAILED, RETURNED, LOST = "started", "running", "done", "failed", "returned", "lost"
PHASE_STANDINGS = {"left": 0, "active": 1, "leaving": 2}
# Hop-by-hop headers, and those that are written anew; all others are forwarded unchanged.
_HOP_BY_HOP = (
    b"host connection keep-alive transfer-encoding content-length te trailer upgrade expect proxy-connection"
)
NOT_FORWARDED = frozenset((*_HOP_BY_HOP.split(), TIME_LEFT))
# Names of load figures in the settings, and their alternatives in reports.
FIGURES = {
    "concurrent": "inflight",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "depth": "queue",
    "load_share": "util",
    "err_ps": "eps",
}
_VALID_ID = re.compile(rb"[\x21-\x7e]{1,256}")
_PRINTABLE = re.compile(rb"[\t\x20-\x7e]*")
MAX_WORK_S = 1e5  # s: a larger value of a txn is ignored
MAX_SLOTS = 1e6  # a larger value of a txn is ignored
_TIME_LEFT = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])")


def parse_time_left(text: bytes) -> float | None:
    """Milliseconds.

    >>> parse_time_left(b"480m"), parse_time_left(b"1500u"), parse_time_left(b"soon")
    (480.0, 1.5, None)
    """
    found = _TIME_LEFT.fullmatch(text.strip())
    return float(found[1]) * (1.0 if found[2] == b"m" else 0.001) if found else None


def is_valid_id(text: bytes) -> bool:
    return _VALID_ID.fullmatch(text) is not None


def parse_facts(text: bytes) -> tuple[float, float]:
    """The slots that a txn states it needs, and its work in ms; invalid values count as not stated.

    >>> parse_facts(b"slots=2,expected_s=0.25"), parse_facts(b"slots=-2,expected_s=-1")
    ((2.0, 250.0), (1.0, 0.0))
    >>> parse_facts(b"slots=nan,x"), parse_facts(b"")
    ((1.0, 0.0), (1.0, 0.0))
    """
    found = parse_figures(text)
    slots, work = found.get("slots", 1.0), found.get("expected_s", 0.0)
    return slots if 0.0 < slots <= MAX_SLOTS else 1.0, work * 1000.0 if 0.0 < work <= MAX_WORK_S else 0.0


def forwarded_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Headers to forward to a worker: without hop-by-hop ones and values that a strict parser rejects.

    >>> given = [(b"Connection", b"X-Hop"), (b"x-hop", b"1"), (b"X-Odd", b"\\xe9"), (b"Accept", b"*/*")]
    >>> forwarded_headers(given)
    [(b'Accept', b'*/*')]
    """
    given = list(headers)
    named = {
        option.strip().lower()
        for name, value in given
        if name.lower() == b"connection"
        for option in value.split(b",")
    }
    dropped = NOT_FORWARDED | (named - {ID})
    return [pair for pair in given if pair[0].lower() not in dropped and _PRINTABLE.fullmatch(pair[1])]


def format_time_left(milliseconds: float) -> bytes:
    return b"%dm" % max(1, int(milliseconds))


def parse_figures(text: bytes) -> dict[str, float]:
    """Parses `name=value,name=value`; entries that are not numbers are skipped.

    >>> parse_figures(b"queue=2,x0= 3.5,x1=many, =4")
    {'queue': 2.0, 'x0': 3.5}
    """
    found = {}
    for pair in text.decode("latin-1").split(","):
        name, _, value = pair.partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name.strip() and number - number == 0.0:
            found[name.strip()] = number
    return found


def select_figures(found: dict[str, Any], figures: tuple[str, ...]) -> tuple[float, ...]:
    """The figures in the settings' order; empty if one is missing or invalid.

    >>> select_figures({"queue": 2, "x0": 1.0}, ("depth", "x0"))
    (2.0, 1.0)
    >>> select_figures({"queue": 2}, ("depth", "x0"))
    ()
    """
    values = [found.get(name, found.get(FIGURES.get(name, name))) for name in figures]
    if any(not isinstance(value, int | float) or value - value != 0 for value in values):
        return ()
    return tuple(float(value) for value in values)


def parse_report(text: bytes, figures: tuple[str, ...]) -> tuple[float, ...]:
    """Parses a load report from a response body, JSON or `name=value`.

    >>> [parse_report(text, ("depth",)) for text in (b'{"queue":1}', b"queue=1", b"fine")]
    [(1.0,), (1.0,), ()]
    """
    try:
        found = (
            msgspec.json.decode(text, type=dict[str, Any])
            if text.lstrip()[:1] == b"{"
            else parse_figures(text)
        )
    except msgspec.MsgspecError:
        return ()
    return select_figures(found, figures)


class JobEvent(msgspec.Struct):
    """One line of a worker's stream."""

    id: str
    state: str
    share: float = 0.0
    result: msgspec.Raw = msgspec.Raw()
    load: msgspec.Raw = msgspec.Raw()

    def body(self) -> bytes | None:
        """The response body for the client; a result that is no string is forwarded as JSON."""
        raw = bytes(self.result)
        if not raw:
            return None
        return msgspec.json.decode(raw, type=str).encode() if raw.startswith(b'"') else raw

    def figures(self, names: tuple[str, ...]) -> tuple[float, ...]:
        try:
            return (
                select_figures(msgspec.json.decode(self.load, type=dict[str, Any]), names)
                if bytes(self.load)
                else ()
            )
        except msgspec.MsgspecError:
            return ()


decode_event = msgspec.json.Decoder(JobEvent).decode


class _Member(msgspec.Struct):
    id: str
    host_port: str
    locality: str
    flavor: str
    phase: str
    cell: int = 0
    size: float = 0.0
    up_since_ms: float = 0.0


class _Listing(msgspec.Struct):
    revision: int
    complete: bool
    members: list[msgspec.Raw]


class Listing(NamedTuple):
    revision: int
    complete: bool
    worker_list: WorkerList
    addresses: dict[str, tuple[str, int]]
    invalid: tuple[str, ...]  # why entries were skipped


_listing = msgspec.json.Decoder(_Listing).decode
_member = msgspec.json.Decoder(_Member).decode


def parse_address(text: str) -> tuple[str, int]:
    """
    >>> parse_address("10.0.0.4:8000")
    ('10.0.0.4', 8000)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address")
    return host.strip("[]"), int(port)


def encode_listing(entries: Iterable[tuple], endpoints: dict, settings: SchedulerSettings) -> bytes:
    """Encodes a worker list in discovery's format, from list entries and the workers' endpoints."""
    phases = {standing: phase for phase, standing in PHASE_STANDINGS.items()}
    members = [
        {
            "id": worker,
            "host_port": "{}:{}".format(*endpoints[worker].address),
            "locality": settings.zones[zone],
            "flavor": settings.kinds[kind],
            "phase": phases[standing],
            "cell": cell,
            "size": rating,
            "up_since_ms": since * 1000.0,
        }
        for worker, zone, kind, cell, standing, rating, since in entries
    ]
    return msgspec.json.encode({"revision": 0, "complete": True, "members": members})


def decode_listing(text: bytes, settings: SchedulerSettings) -> Listing:
    """Decodes discovery's worker list; invalid entries are skipped."""
    given = _listing(text)
    entries, addresses, invalid = [], {}, []
    for raw in given.members:
        try:
            member = _member(raw)
            zone, kind = settings.zones.index(member.locality), settings.kinds.index(member.flavor)
            standing = PHASE_STANDINGS[member.phase]
            addresses[member.id] = parse_address(member.host_port)
        except (msgspec.MsgspecError, ValueError, KeyError) as problem:
            invalid.append(f"{type(problem).__name__}: {problem}")
            continue
        entries.append(
            (member.id, zone, kind, member.cell, standing, member.size, member.up_since_ms / 1000.0)
        )
    return Listing(given.revision, given.complete, WorkerList(entries), addresses, tuple(invalid))
