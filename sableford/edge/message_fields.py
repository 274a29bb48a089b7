"""What a client's request says of its message, read strictly: no field may have two readings. No I/O."""

import re
from typing import NamedTuple

from sableford.transport.http import Request
from sableford.transport.routes import Route

# Digits of ASCII, with a fraction or a small exponent as programs print them: no sign, "inf", "nan" or "1_0".
NUMBER = re.compile(r"[0-9]{1,10}(\.[0-9]{0,20})?([eE][+-]?[0-9]{1,2})?")
MAX_MS = 1e9  # eleven days: longer than anything is kept
AT_MOST_ONCE = (
    b"host",
    b"attempt-id",
    b"order-key",
    b"delay-ms",
    b"deadline-ms",
    b"content-type",
    b"authorization",
)


class FieldError(ValueError):
    """A request that can't be taken for what it says in a field; the text names it."""


class MessageFields(NamedTuple):
    """What a client says of its message, beside the message."""

    id: str
    host: str
    key: str  # empty where its route keeps no order, or it names none
    content_type: str
    delay_ms: float
    patience_ms: float  # how long its client waits for the answer
    tenant: str = ""  # whose key it sent; empty where none was wanted


def check_single_fields(request: Request) -> None:
    """Raises FieldError for a field that is given more than once and has one reading only."""
    for name in AT_MOST_ONCE:
        if request.count(name) > 1:
            raise FieldError(f"{name.decode().title()} is given more than once")


def host_of(request: Request) -> str:
    """The request's host. Raises FieldError."""
    check_single_fields(request)
    host = request.get(b"host")
    if not host:
        raise FieldError("a Host is wanted")
    return host


def fields_of(request: Request, route: Route, tenant: str = "") -> MessageFields:
    """All fields of a message that a tenant sends. Raises FieldError."""
    id = request.get(b"attempt-id")
    if not id:
        raise FieldError("an Attempt-Id is wanted")
    return MessageFields(
        id,
        host_of(request),
        (request.get(b"order-key") or "") if route.fifo else "",
        request.get(b"content-type") or "",
        milliseconds(request, b"delay-ms", 0.0),
        milliseconds(request, b"deadline-ms", route.deadline_ms),
        tenant,
    )


def milliseconds(request: Request, name: bytes, otherwise: float) -> float:
    """The number in a field; `otherwise` where there is none. Raises FieldError.

    >>> milliseconds(Request("POST", b"/", [(b"delay-ms", b"1500.5")], b"", True), b"delay-ms", 0.0)
    1500.5
    """
    text = (request.get(name) or "").strip(" \t")
    if not text:
        return otherwise
    value = float(text) if NUMBER.fullmatch(text) else MAX_MS
    if value >= MAX_MS:
        raise FieldError(f"{name.decode().title()} is not a number of ms: {text!r}")
    return value
