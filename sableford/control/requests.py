"""Parses and validates the requests of workers and operators. No I/O.

Each call's path, headers and body give one typed request, or InvalidRequestError with one line that names the
field. PROTOCOL.md defines the formats ("Which workers there are", "The operator").
"""

import math
import re
from enum import Enum
from typing import Annotated, Any, NamedTuple

import msgspec
import orjson

from sableford.control.configuration import MAX_PORT, MAX_REVISION, InvalidRequestError, check_depth

# The worker's id is sent in a header of deliveries, so it must not contain anything that ends a header line.
IDENTIFIER = re.compile(r"[!-~]{1,128}")
HOST = re.compile(r"[0-9A-Za-z._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]")
DIGITS = re.compile(r"[0-9]{1,20}")  # as many as the largest 64-bit number has: earlier versions accepted it
MAX_COUNT = 2**63 - 1  # of a worker's calls: fits a signed 64-bit number everywhere
MAX_CAPACITY = 1_000_000  # concurrent messages: far above any worker's, and sums of it can't overflow
MAX_SLOW_START_MS = 1e9  # some twelve days: the longest slow start that a worker may announce

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class Phase(Enum):
    """The phase that a worker reports. Within one incarnation it never goes back from draining to ready."""

    READY = "ready"
    DRAINING = "draining"


class Heartbeat(msgspec.Struct, rename="camel", frozen=True):
    """The body of a worker's heartbeat."""

    backend: Name
    address: Name
    zone: Annotated[str, msgspec.Meta(max_length=256)]
    capacity: Annotated[int, msgspec.Meta(ge=0, le=MAX_CAPACITY)]
    phase: Phase
    call_count: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
    revision: Annotated[str, msgspec.Meta(max_length=256)] | None = None
    slow_start_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_SLOW_START_MS)] = msgspec.field(
        name="coldLeftMs", default=0.0
    )


class Retirement(msgspec.Struct, rename="camel", frozen=True):
    """The body of an operator's order to empty a store."""

    within_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_SLOW_START_MS)] | None = None


class OrderKind(Enum):
    """How an order changes the configuration."""

    REPLACE = "replace"
    AMEND = "amend"


class ConfigurationOrder(NamedTuple):
    """An operator's order as received. `base`: the version that it is based on."""

    kind: OrderKind
    base: int
    body: dict[str, Any]


def worker_id(text: str) -> str:
    """The id in a call's path. Raises InvalidRequestError.

    >>> worker_id("i-7f3a91c2")
    'i-7f3a91c2'
    >>> try:
    ...     worker_id("a\\r\\nHost: b")
    ... except InvalidRequestError as problem:
    ...     print(problem)
    the worker's id: 1 to 128 visible ASCII characters are wanted
    """
    if not IDENTIFIER.fullmatch(text):
        raise InvalidRequestError("the worker's id: 1 to 128 visible ASCII characters are wanted")
    return text


def heartbeat(body: bytes) -> Heartbeat:
    """The body of a worker's heartbeat. Raises InvalidRequestError.

    >>> heartbeat(b'{"backend":"a","address":"b:","zone":"","capacity":1,"phase":"ready","callCount":1}')
    Traceback (most recent call last):
    ...
    sableford.control.configuration.InvalidRequestError: address: 'b:' is not a host and a port
    """
    given: Heartbeat = _decoded(body, Heartbeat)
    if not math.isfinite(given.slow_start_left_ms):
        raise InvalidRequestError("coldLeftMs: a number is wanted")
    host, _, port = given.address.rpartition(":")
    if not (HOST.fullmatch(host) and DIGITS.fullmatch(port) and 0 < int(port) <= MAX_PORT):
        raise InvalidRequestError(f"address: {given.address[:80]!r} is not a host and a port")
    return given


def retirement(body: bytes) -> Retirement:
    """The body of an order to empty a store; an empty one gives no time. Raises InvalidRequestError."""
    given = _decoded(body, Retirement) if body.strip() else Retirement()
    if given.within_s is not None and not math.isfinite(given.within_s):
        raise InvalidRequestError("withinS: a number is wanted")
    return given


def configuration_order(kind: OrderKind, bases: list[str], body: bytes) -> ConfigurationOrder:
    """The order of a configuration call. `bases`: the values of all Base-Version headers. Raises
    InvalidRequestError."""
    try:
        given = orjson.loads(body)
    except orjson.JSONDecodeError as problem:
        raise InvalidRequestError(f"the body: no JSON: {problem}") from None
    if not isinstance(given, dict):
        raise InvalidRequestError("the body: an object is wanted")
    check_depth(given)
    return ConfigurationOrder(kind, _base_version(bases), given)


def _base_version(bases: list[str]) -> int:
    if len(bases) != 1:
        raise InvalidRequestError("Base-Version: one such header is wanted")
    text = bases[0].strip(" \t")
    if not DIGITS.fullmatch(text):
        raise InvalidRequestError(f"Base-Version: a number from 0 to {MAX_REVISION} is wanted")
    return int(text)


def _decoded(body: bytes, form: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=form, strict=False)
    except msgspec.ValidationError as problem:
        text, _, place = str(problem).partition(" - at `$.")
        raise InvalidRequestError(f"{place.rstrip('`')}: {text}" if place else text) from None
    except (msgspec.DecodeError, RecursionError) as problem:
        raise InvalidRequestError(f"the body: no JSON: {problem}") from None
