"""HTTP/1.1 requests and responses on the server side (`http_server`)."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

BODILESS = (204, 304)  # statuses whose response has no body, whatever its Content-Length (RFC 9110, 6.4.1)


class HttpResponse(NamedTuple):
    """A complete response; `content_type` is that of the body."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


class ConnectionLimits:
    """The limits of a connection. They are changed in place when the configuration changes."""

    def __init__(self) -> None:
        self.max_head_bytes, self.max_body_bytes = 16_384, 262_144  # bytes
        self.head_timeout_ms, self.idle_timeout_ms = 3000.0, 15_000.0
        self.closing = False  # each response closes its connection


class HttpRequest:
    """A complete request. `headers` have lower-case names; trailers are not included."""

    __slots__ = ("body", "headers", "keep_alive", "method", "target")

    def __init__(
        self, method: str, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes, keep_alive: bool
    ) -> None:
        self.method, self.target, self.headers = method, target, headers
        self.body, self.keep_alive = body, keep_alive

    def get(self, name: bytes) -> str | None:
        """The first value of a header, or None. `name` is lower case."""
        for header, value in self.headers:
            if header == name:
                return value.decode("latin-1")
        return None

    def count(self, name: bytes) -> int:
        """How often a header occurs."""
        return sum(header == name for header, _ in self.headers)

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


Handler = Callable[[HttpRequest], HttpResponse | Awaitable[HttpResponse]]


def encode_response(response: HttpResponse, keep_alive: bool, method: str = "GET") -> bytes:
    """Encodes a response; without its body for HEAD and for statuses that have none.

    >>> encode_response(HttpResponse(204, b"left out"), True)
    b'HTTP/1.1 204 No Content\\r\\n\\r\\n'
    """
    try:
        phrase = HTTPStatus(response.status).phrase
    except ValueError:
        phrase = "Other"
    lines = [f"HTTP/1.1 {response.status} {phrase}"]
    bodiless = response.status in BODILESS
    if not bodiless:
        lines.append(f"Content-Length: {len(response.body)}")
        if response.body:
            lines.append(f"Content-Type: {response.content_type}")
    lines += [f"{name}: {value}" for name, value in response.headers]
    if not keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
    return head if bodiless or method == "HEAD" else head + response.body
