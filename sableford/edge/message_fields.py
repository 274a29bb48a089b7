"""Parsing of the HTTP fields that describe a message. Ambiguous fields are rejected. No I/O."""

import re
from typing import NamedTuple

from sableford.transport.http import HttpRequest
from sableford.transport.routes import Route

# ASCII digits with an optional fraction and a small exponent, as programs print numbers. `float` alone would
# also accept a sign, "inf", "nan" and "1_0".
NUMBER = re.compile(r"[0-9]{1,10}(\.[0-9]{0,20})?([eE][+-]?[0-9]{1,2})?")
MAX_MS = 1e9  # eleven days, longer than any retention
SINGLE_VALUED = (
    b"host",
    b"attempt-id",
    b"order-key",
    b"delay-ms",
    b"deadline-ms",
    b"content-type",
    b"authorization",
)


class FieldError(ValueError):
    """A field of the request is missing, ambiguous or invalid; the text names it."""


class MessageFields(NamedTuple):
    """The metadata that a client sends with its message."""

    id: str
    host: str
    key: str  # empty if the route is not ordered, or the client sent none
    content_type: str
    delay_ms: float
    client_deadline_ms: float  # how long the client waits for the response
    tenant: str = ""  # the owner of the API key; empty if none was needed
    unordered_key: str = ""  # the order key of a message whose route is not ordered


def check_single_fields(request: HttpRequest) -> None:
    """Raises FieldError if a single-valued field is given more than once."""
    for name in SINGLE_VALUED:
        if request.count(name) > 1:
            raise FieldError(f"{name.decode().title()} is given more than once")


def host_of(request: HttpRequest) -> str:
    """Returns the Host of the request. Raises FieldError."""
    check_single_fields(request)
    host = request.get(b"host")
    if not host:
        raise FieldError("a Host is wanted")
    return host


def fields_of(request: HttpRequest, route: Route, tenant: str = "") -> MessageFields:
    """Parses the fields of a message that a tenant sends. Raises FieldError."""
    id = request.get(b"attempt-id")
    if not id:
        raise FieldError("an Attempt-Id is wanted")
    order_key = request.get(b"order-key") or ""
    return MessageFields(
        id,
        host_of(request),
        order_key if route.fifo else "",
        request.get(b"content-type") or "",
        milliseconds(request, b"delay-ms", 0.0),
        milliseconds(request, b"deadline-ms", route.deadline_ms),
        tenant,
        "" if route.fifo else order_key,
    )


def milliseconds(request: HttpRequest, name: bytes, default: float) -> float:
    """Parses a number of milliseconds; returns `default` if the field is missing. Raises FieldError.

    >>> milliseconds(HttpRequest("POST", b"/", [(b"delay-ms", b"1500.5")], b"", True), b"delay-ms", 0.0)
    1500.5
    """
    text = (request.get(name) or "").strip(" \t")
    if not text:
        return default
    value = float(text) if NUMBER.fullmatch(text) else MAX_MS
    if value >= MAX_MS:
        raise FieldError(f"{name.decode().title()} is not a number of ms: {text!r}")
    return value
