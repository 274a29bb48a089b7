"""HTTP/1.1 by httptools towards workers: one connection, one exchange at a time.

An answer counts when it is whole: by its length, by its last chunk, or, where it names neither, by an end of
the connection in order. Whatever comes beside the one answer that is waited for ends the connection.
"""

import asyncio
from typing import NamedTuple, cast

import httptools

from sableford.transport.errors import CallError, NotSentError, UnansweredError
from sableford.transport.http import BODILESS

MAX_HEAD_BYTES = (
    65_536  # bytes of an answer's head, trailers and answers before the last; a worker's are some 300
)
IDLE_S = 4.0  # how long a connection rests at a worker that does not say
IDLE_PART, IDLE_LESS_S = 0.8, 0.3  # of what it says, less some turns of a loaded loop: it may be closing then
IDLE_SHORT_S = 0.2  # where that leaves nothing: half of the time, or so much


class Response(NamedTuple):
    """A worker's whole answer. Its body was read to the end and thrown away: nobody asks for it."""

    status: int
    headers: dict[bytes, bytes]  # in small letters; those named more than once joined by commas


class ClientConnection(asyncio.Protocol):
    """One connection to a worker."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self._future: asyncio.Future[Response] | None = None
        self.closed = False
        self.used = 0
        self.idle_since = self._loop.time()
        self.idle_s = IDLE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, request: bytes) -> "asyncio.Future[Response]":
        """A future of a Response; NotSentError if nothing was written, UnansweredError if no whole answer
        came."""
        self._future = self._loop.create_future()
        if self.closed or self.transport is None or self.transport.is_closing():
            self._future.set_exception(NotSentError("the connection had ended"))
            return self._future
        self._parser = httptools.HttpResponseParser(self)
        self._begin()
        self._size = 0
        self.used += 1
        self.transport.write(request)
        return self._future

    def _waits(self) -> bool:
        return self._future is not None and not self._future.done()

    def _fail(self, problem: CallError) -> None:
        if self._future is not None and not self._future.done():
            self._future.set_exception(problem)

    # What the transport calls

    def data_received(self, data: bytes) -> None:
        if not self._waits():
            self.drop()  # bytes that nobody asked for: an answer sent later, or twice
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._failed(f"no answer in the protocol: {problem}")
            return
        if self._waits() and not self._head_whole:
            self._size += len(data)
            if self._size > MAX_HEAD_BYTES:
                self._failed("the head of an answer does not end")

    def eof_received(self) -> bool:
        """The worker writes no more: this completes an answer that names no other end."""
        if self._waits() and self._head_whole and self._until_end:
            self.closed = True
            self._done()
        return False

    def connection_lost(self, problem: Exception | None) -> None:
        self.closed = True
        self._fail(UnansweredError(f"ended: {problem}" if problem else "ended"))

    # What the parser calls

    def _begin(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._head_whole = self._until_end = False

    def on_message_begin(self) -> None:
        """Each answer has headers of its own; one behind another is nobody's, and spoils the connection."""
        if self._waits():
            self._begin()
        else:
            self.closed = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_whole or not self._waits():
            return  # a trailer, or of an answer behind the last
        name = name.lower()
        known = self._headers.get(name)
        self._headers[name] = value if known is None else known + b", " + value

    def on_headers_complete(self) -> None:
        self._head_whole = True
        coding = self._headers.get(b"transfer-encoding", b"").lower()
        status = self._parser.get_status_code()
        bodiless = status < 200 or status in BODILESS
        sized = b"content-length" in self._headers or coding.rpartition(b",")[2].strip() == b"chunked"
        self._until_end = not bodiless and not sized

    def on_message_complete(self) -> None:
        if not self._waits():
            return
        if self._parser.get_status_code() < 200:
            return  # the answer is still to come
        if not self._parser.should_keep_alive() or self._unsent_bytes():
            self.closed = True  # the worker ends it, or did not want all of the request
        self._done()

    def _unsent_bytes(self) -> int:
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def _done(self) -> None:
        self._note_idle_time()
        self.idle_since = self._loop.time()
        if self._future is not None:
            self._future.set_result(Response(self._parser.get_status_code(), self._headers))

    def _note_idle_time(self) -> None:
        said = self._headers.get(b"keep-alive", b"").lower()
        if said.startswith(b"timeout="):
            digits = said[8:].split(b",")[0].strip()
            self.idle_s = float(digits) if digits.replace(b".", b"", 1).isdigit() else self.idle_s

    # Ends

    def _failed(self, why: str) -> None:
        self._fail(UnansweredError(why))
        self.drop()

    def usable(self) -> bool:
        """Whether it may carry one more: not where its worker may be closing it at this moment."""
        rest = self._loop.time() - self.idle_since
        least = min(IDLE_SHORT_S, self.idle_s / 2.0)
        most = max(least, self.idle_s * IDLE_PART - IDLE_LESS_S)
        if self.transport is None or self.transport.is_closing() or self.closed:
            return False
        return not self._waits() and rest < most

    def drop(self) -> None:
        """At once, whatever is under way."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
