"""The words of the protocol in one place: headers, paths, fields, states, and readers of its small forms.

It owns the spelling of what is sent and received, and must never send anything or hold any state.
"""

import re
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from sableford.intake.index_table import WorkerList
from sableford.intake.scheduler_settings import SchedulerSettings

ID, SCHEME, TIME_LEFT, FACTS = b"x-correlation-id", b"x-service-class", b"x-time-left", b"x-facts"
LENGTH, CODING = b"content-length", b"transfer-encoding"
ONCE = (ID, SCHEME, TIME_LEFT, FACTS, b"host")  # of two it would hang on the reader which one counts
LOAD, NOT_RUN = b"x-backend-load", b"x-unprocessed"
READY, HEALTH, LOAD_PATH, LIST = b"/ready", b"/health", b"/status/load", "/v1/endpoints"
JOB_METHOD, JOB_PATH = b"POST", b"/api"
SETTLED, DECLINED, REVERSED, CLASH = 200, 503, 502, 409
PAUSE = b"retry-after"
STARTED, RUNNING, DONE, FAILED, RETURNED, LOST = "started", "running", "done", "failed", "returned", "lost"
STANDINGS = {"left": 0, "active": 1, "leaving": 2}
# Of one connection alone, or written anew: all other headers go on as they came.
_OWN = (
    b"host connection keep-alive transfer-encoding content-length te trailer upgrade expect proxy-connection"
)
OWN_HEADERS = frozenset((*_OWN.split(), TIME_LEFT))
# What the settings call a report's figure, and its other name.
FIGURES = {
    "concurrent": "inflight",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "depth": "queue",
    "load_share": "util",
    "err_ps": "eps",
}
_ID = re.compile(rb"[\x21-\x7e]{1,256}")
_PLAIN = re.compile(rb"[\t\x20-\x7e]*")
MOST_WORK = 1e5  # s: a txn that says it runs longer says nothing
MOST_SLOTS = 1e6  # a txn that says it needs more says nothing
_TIME = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])")


def time_left(text: bytes) -> float | None:
    """Milliseconds.

    >>> time_left(b"480m"), time_left(b"1500u"), time_left(b"soon")
    (480.0, 1.5, None)
    """
    found = _TIME.fullmatch(text.strip())
    return float(found[1]) * (1.0 if found[2] == b"m" else 0.001) if found else None


def sensible_id(text: bytes) -> bool:
    return _ID.fullmatch(text) is not None


def facts(text: bytes) -> tuple[float, float]:
    """The slots that a txn says it needs, and its work in ms; what is senseless counts as not said.

    >>> facts(b"slots=2,expected_s=0.25"), facts(b"slots=-2,expected_s=-1"), facts(b"slots=nan,x"), facts(b"")
    ((2.0, 250.0), (1.0, 0.0), (1.0, 0.0), (1.0, 0.0))
    """
    found = pairs(text)
    slots, work = found.get("slots", 1.0), found.get("expected_s", 0.0)
    return slots if 0.0 < slots <= MOST_SLOTS else 1.0, work * 1000.0 if 0.0 < work <= MOST_WORK else 0.0


def passed_on(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """What goes on to a worker: not what is of one connection alone, nor what a strict reader can't read.

    >>> passed_on([(b"Connection", b"X-Hop"), (b"x-hop", b"1"), (b"X-Odd", b"\\xe9"), (b"Accept", b"*/*")])
    [(b'Accept', b'*/*')]
    """
    given = list(headers)
    named = {
        word.strip().lower()
        for name, value in given
        if name.lower() == b"connection"
        for word in value.split(b",")
    }
    kept = OWN_HEADERS | (named - {ID})
    return [pair for pair in given if pair[0].lower() not in kept and _PLAIN.fullmatch(pair[1])]


def left(milliseconds: float) -> bytes:
    return b"%dm" % max(1, int(milliseconds))


def pairs(text: bytes) -> dict[str, float]:
    """Figures as `name=value,name=value`; what is no figure is passed over.

    >>> pairs(b"queue=2,x0= 3.5,x1=many, =4")
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


def load(found: dict[str, Any], figures: tuple[str, ...]) -> tuple[float, ...]:
    """The report in the settings' order; one with a figure missing or senseless is none.

    >>> load({"queue": 2, "x0": 1.0}, ("depth", "x0")), load({"queue": 2}, ("depth", "x0"))
    ((2.0, 1.0), ())
    """
    values = [found.get(name, found.get(FIGURES.get(name, name))) for name in figures]
    if any(not isinstance(value, int | float) or value - value != 0 for value in values):
        return ()
    return tuple(float(value) for value in values)


def report(text: bytes, figures: tuple[str, ...]) -> tuple[float, ...]:
    """A report that is a body of its own, in either form.

    >>> report(b'{"queue":1}', ("depth",)), report(b"queue=1", ("depth",)), report(b"fine", ("depth",))
    ((1.0,), (1.0,), ())
    """
    try:
        found = msgspec.json.decode(text, type=dict[str, Any]) if text.lstrip()[:1] == b"{" else pairs(text)
    except msgspec.MsgspecError:
        return ()
    return load(found, figures)


class Word(msgspec.Struct):
    """One line of a worker's stream."""

    id: str
    state: str
    share: float = 0.0
    result: msgspec.Raw = msgspec.Raw()
    load: msgspec.Raw = msgspec.Raw()

    def body(self) -> bytes | None:
        """What the client is to get; a result that is no text goes on as it stands."""
        raw = bytes(self.result)
        if not raw:
            return None
        return msgspec.json.decode(raw, type=str).encode() if raw.startswith(b'"') else raw

    def figures(self, names: tuple[str, ...]) -> tuple[float, ...]:
        try:
            return (
                load(msgspec.json.decode(self.load, type=dict[str, Any]), names) if bytes(self.load) else ()
            )
        except msgspec.MsgspecError:
            return ()


read_word = msgspec.json.Decoder(Word).decode


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
    sheet: WorkerList
    addresses: dict[str, tuple[str, int]]
    senseless: tuple[str, ...]  # lines passed over, and why


_listing = msgspec.json.Decoder(_Listing).decode
_member = msgspec.json.Decoder(_Member).decode


def address(text: str) -> tuple[str, int]:
    """
    >>> address("10.0.0.4:8000")
    ('10.0.0.4', 8000)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address")
    return host.strip("[]"), int(port)


def listed(lines: Iterable[tuple], places: dict, charter: SchedulerSettings) -> bytes:
    """A list in discovery's words, of lines as a sheet has them and where each worker listens."""
    phases = {standing: phase for phase, standing in STANDINGS.items()}
    members = [
        {
            "id": worker,
            "host_port": "{}:{}".format(*places[worker].address),
            "locality": charter.zones[zone],
            "flavor": charter.kinds[kind],
            "phase": phases[standing],
            "cell": cell,
            "size": rating,
            "up_since_ms": since * 1000.0,
        }
        for worker, zone, kind, cell, standing, rating, since in lines
    ]
    return msgspec.json.encode({"revision": 0, "complete": True, "members": members})


def listing(text: bytes, charter: SchedulerSettings) -> Listing:
    """A list as discovery words it; a senseless line is passed over, the rest counts."""
    given = _listing(text)
    entries, addresses, senseless = [], {}, []
    for raw in given.members:
        try:
            line = _member(raw)
            zone, kind = charter.zones.index(line.locality), charter.kinds.index(line.flavor)
            standing = STANDINGS[line.phase]
            addresses[line.id] = address(line.host_port)
        except (msgspec.MsgspecError, ValueError, KeyError) as problem:
            senseless.append(f"{type(problem).__name__}: {problem}")
            continue
        entries.append((line.id, zone, kind, line.cell, standing, line.size, line.up_since_ms / 1000.0))
    return Listing(given.revision, given.complete, WorkerList(entries), addresses, tuple(senseless))
