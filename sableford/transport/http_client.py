"""HTTP/1.1 client for workers, based on httptools: one exchange at a time per connection.

A response is complete by its length, its last chunk or, if it has neither, an orderly end of the connection.
Any data besides the one expected response closes the connection.
"""

import asyncio
from typing import NamedTuple, cast

import httptools

from sableford.transport.errors import CallError, NotSentError, UnansweredError
from sableford.transport.http import BODILESS

MAX_HEAD_BYTES = 65_536  # of the head, trailers and interim responses; those of a worker have some 300
IDLE_TIMEOUT_S = 4.0  # keep-alive time of a worker that does not announce one
# A connection is reused for this part of the announced time, less a few iterations of a loaded event loop:
# later the worker may be closing it.
IDLE_FRACTION, IDLE_MARGIN_S = 0.8, 0.3
MIN_IDLE_S = 0.2  # lower limit of that time, or half of the announced time if that is shorter


class Response(NamedTuple):
    """A complete response. Its body was read and discarded: it is not used."""

    status: int
    headers: dict[bytes, bytes]  # lower-case names; repeated headers are joined by commas


class ClientConnection(asyncio.Protocol):
    """One connection to a worker."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self._future: asyncio.Future[Response] | None = None
        self.closed = False
        self.request_count = 0
        self.idle_since = self._loop.time()
        self.idle_s = IDLE_TIMEOUT_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send_request(self, request: bytes) -> "asyncio.Future[Response]":
        """Sends a request and returns a future of its Response.

        The future fails with NotSentError if nothing was written, and with UnansweredError if no complete
        response was received."""
        self._future = self._loop.create_future()
        if self.closed or self.transport is None or self.transport.is_closing():
            self._future.set_exception(NotSentError("the connection is closed"))
            return self._future
        self._parser = httptools.HttpResponseParser(self)
        self._reset()
        self._head_bytes = 0
        self.request_count += 1
        self.transport.write(request)
        return self._future

    def _is_waiting(self) -> bool:
        return self._future is not None and not self._future.done()

    def _fail(self, problem: CallError) -> None:
        if self._future is not None and not self._future.done():
            self._future.set_exception(problem)

    # Callbacks of the transport

    def data_received(self, data: bytes) -> None:
        if not self._is_waiting():
            self.drop()  # unexpected data: a late or repeated response
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._abort(f"invalid HTTP response: {problem}")
            return
        if self._is_waiting() and not self._head_complete:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._abort(f"the head of the response exceeds {MAX_HEAD_BYTES} bytes")

    def eof_received(self) -> bool:
        """The worker has closed its side: this completes a response without a length."""
        if self._is_waiting() and self._head_complete and self._ends_at_eof:
            self.closed = True
            self._finish()
        return False

    def connection_lost(self, problem: Exception | None) -> None:
        self.closed = True
        self._fail(UnansweredError(f"connection lost: {problem}" if problem else "connection lost"))

    # Callbacks of the parser

    def _reset(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._head_complete = self._ends_at_eof = False

    def on_message_begin(self) -> None:
        """Starts with empty headers. A response after the expected one makes the connection unusable."""
        if self._is_waiting():
            self._reset()
        else:
            self.closed = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_complete or not self._is_waiting():
            return  # a trailer, or part of an unexpected response
        name = name.lower()
        previous = self._headers.get(name)
        self._headers[name] = value if previous is None else previous + b", " + value

    def on_headers_complete(self) -> None:
        self._head_complete = True
        transfer_encoding = self._headers.get(b"transfer-encoding", b"").lower()
        status = self._parser.get_status_code()
        bodiless = status < 200 or status in BODILESS
        has_length = (
            b"content-length" in self._headers or transfer_encoding.rpartition(b",")[2].strip() == b"chunked"
        )
        self._ends_at_eof = not bodiless and not has_length

    def on_message_complete(self) -> None:
        if not self._is_waiting():
            return
        if self._parser.get_status_code() < 200:
            return  # an interim response
        if not self._parser.should_keep_alive() or self._unsent_bytes():
            self.closed = True  # the worker closes it, or has not read the whole request
        self._finish()

    def _unsent_bytes(self) -> int:
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def _finish(self) -> None:
        self._read_keep_alive()
        self.idle_since = self._loop.time()
        if self._future is not None:
            self._future.set_result(Response(self._parser.get_status_code(), self._headers))

    def _read_keep_alive(self) -> None:
        keep_alive = self._headers.get(b"keep-alive", b"").lower()
        if keep_alive.startswith(b"timeout="):
            digits = keep_alive[8:].split(b",")[0].strip()
            self.idle_s = float(digits) if digits.replace(b".", b"", 1).isdigit() else self.idle_s

    # Closing

    def _abort(self, reason: str) -> None:
        self._fail(UnansweredError(reason))
        self.drop()

    def is_reusable(self) -> bool:
        """Whether another request may be sent: not if the worker may be closing the connection."""
        idle_for_s = self._loop.time() - self.idle_since
        min_idle_s = min(MIN_IDLE_S, self.idle_s / 2.0)
        max_idle_s = max(min_idle_s, self.idle_s * IDLE_FRACTION - IDLE_MARGIN_S)
        if self.transport is None or self.transport.is_closing() or self.closed:
            return False
        return not self._is_waiting() and idle_for_s < max_idle_s

    def drop(self) -> None:
        """Closes the connection at once, even during an exchange."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
