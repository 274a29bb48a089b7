"""HTTP/1.1 by httptools for callers from outside.

`HttpServer` is a listening address whose handler gives an answer or an awaitable of one. The requests of one
connection are answered in their order, one at a time; an answer belongs to the connection its request came on
and is thrown away with it. What can't be read for certain is refused and ends the connection, so that nothing
behind it is taken for a request.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable
from typing import cast

import httptools

from sableford.transport.http import Answer, Bounds, Handler, Request, answer_bytes

SWEEP_S = 0.5  # between two looks for connections that have idled or dawdle
MAX_QUEUED = 16  # requests of one connection read ahead; then it is read no further
MAX_CHUNK_OVERHEAD = 8  # bytes sent for one of the body: more than chunks of one byte each take


WHITE_SPACE = b" \t"  # around a value, and no part of it (RFC 9110, section 5.5)


class RequestRefusedError(Exception):
    """A request that is not read any further; its argument is the status."""


class HttpServer:
    """A listening address and its open connections."""

    def __init__(self, handle: Handler, bounds: Bounds) -> None:
        self.handle, self.bounds = handle, bounds
        self.open: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """From now on callers are served."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerConnection(self), *address, backlog=1024)
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)

    def shut(self) -> None:
        """No new connections; those that wait for nothing end, the others once they are answered."""
        if self._server is not None:
            self._server.close()
        self.bounds.closing = True
        for connection in list(self.open):
            connection.end_if_idle()

    def busy(self) -> int:
        """How many connections owe an answer."""
        return sum(connection.busy() for connection in self.open)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)
        now = loop.time()
        for connection in list(self.open):
            connection.look(now)


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    transport: asyncio.Transport  # from `connection_made` on

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self._parser = httptools.HttpRequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Request] = deque()
        self._waiting_bytes = 0  # of their bodies
        self._begun = 0  # requests that have begun to come
        self._task: asyncio.Task[None] | None = None  # answers the request whose turn it is
        self._since = self._loop.time()  # nothing under way, or the head begun, since then
        self._reading = False  # a request has begun to come
        self._read_all = False  # no further request is taken from this connection
        self._refusal = 0  # status for what can't be read, once all before it is answered
        self._closed = False
        self._writable = True  # the caller takes what is written
        self._begin()

    def _begin(self) -> None:
        self._url, self._size = b"", 0
        self._head: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._length = self._came = 0  # of its body; in all, behind the data that it began in
        self._head_whole = False
        self._refuse_with = 0

    # What the transport calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.open.add(self)

    def connection_lost(self, problem: Exception | None) -> None:
        self._closed = True
        self._waiting.clear()
        self.server.open.discard(self)

    def eof_received(self) -> bool:
        """The caller sends no more; what it sent whole is still answered."""
        self._read_all = True
        self._reading = False
        return self.busy()

    def pause_writing(self) -> None:
        self._writable, self._since = False, self._loop.time()

    def resume_writing(self) -> None:
        self._writable = True
        if self._task is None:
            self._next()

    def data_received(self, data: bytes) -> None:
        if self._closed or self._read_all:
            return
        if not self._reading:
            self._reading, self._since = True, self._loop.time()
        began = self._begun
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            own = isinstance(problem, httptools.HttpParserCallbackError)
            self._refuse(self._refuse_with or (500 if own else 400))
        else:
            self._count(len(data), began)
        if self._full() and not self.transport.is_closing():
            self.transport.pause_reading()

    def _count(self, size: int, began: int) -> None:
        """The parser keeps a header or trailer to itself until it is whole, however long that gets."""
        if not self._reading or self._begun != began:
            return  # what this data began is no longer than the data
        self._came += size
        bounds = self.server.bounds
        if not self._head_whole and self._came > bounds.head:
            self._refuse(431)
        elif self._came > bounds.head + MAX_CHUNK_OVERHEAD * bounds.body:
            self._refuse(413)

    def _full(self) -> bool:
        return len(self._waiting) > MAX_QUEUED or self._waiting_bytes > self.server.bounds.body

    # What the parser calls

    def on_message_begin(self) -> None:
        self._begin()
        self._begun += 1
        self._reading, self._since = True, self._loop.time()

    def on_url(self, part: bytes) -> None:
        self._url += part
        self._grow(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow(len(name) + len(value) + 4)
        if not self._head_whole:  # a trailer says nothing of its request
            self._head.append((name.lower(), value.strip(WHITE_SPACE)))

    def _grow(self, size: int) -> None:
        self._size += size
        if self._size > self.server.bounds.head:
            self._stop(431)

    def _stop(self, status: int) -> None:
        self._refuse_with = status
        raise RequestRefusedError(status)

    def on_headers_complete(self) -> None:
        self._head_whole = True
        if self._parser.should_upgrade():
            self._stop(400)  # what follows is of another protocol, and this request would be run before it
        continues = False
        for name, value in self._head:
            if name == b"content-length" and int(value) > self.server.bounds.body:
                self._stop(413)
            # Codings before the chunks would be taken off nowhere (RFC 9112, section 6.1).
            if name == b"transfer-encoding" and value.lower() != b"chunked":
                self._stop(400)
            continues = continues or (name == b"expect" and value.lower() == b"100-continue")
        if continues and not (self._waiting or self._task or self._closed):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        self._length += len(part)
        if self._length > self.server.bounds.body:
            self._stop(413)
        self._body.append(part)

    def on_message_complete(self) -> None:
        method = self._parser.get_method().decode("latin-1")
        keep = self._parser.should_keep_alive()
        body = b"".join(self._body)
        self._waiting.append(Request(method, self._url, self._head, body, keep))
        self._waiting_bytes += len(body)
        self._reading = False
        if not keep:
            self._read_all = True
        if self._task is None:
            self._next()

    # Answers, in turn

    def _refuse(self, status: int) -> None:
        """What can't be read any further: answered once all before it is."""
        self._read_all, self._reading, self._refusal = True, False, status
        if self._task is None:
            self._next()

    def _next(self) -> None:
        """Answers what waits, as far as that goes at once."""
        while self._waiting and self._writable and not self._closed:
            request = self._waiting.popleft()
            self._waiting_bytes -= len(request.body)
            try:
                answer = self.server.handle(request)
            except Exception as problem:
                self._failed(problem)
                return
            if not isinstance(answer, Answer):
                self._task = self._loop.create_task(self._await(answer, request))
                return
            if not self._write(answer, request.keep, request.method):
                return
        if not self._closed and not self._waiting:
            self._rest()

    def _rest(self) -> None:
        """All that came whole is answered."""
        if self._refusal:
            self._write(Answer(self._refusal), False)
        elif self._read_all:
            self._close()
        elif not self.transport.is_closing():
            self._since = self._loop.time()
            self.transport.resume_reading()

    async def _await(self, answer: Awaitable[Answer], request: Request) -> None:
        try:
            got = await answer
        except Exception as problem:
            self._task = None
            self._failed(problem)
            return
        self._task = None
        if self._write(got, request.keep, request.method):
            self._next()

    def _failed(self, problem: Exception) -> None:
        """The program's own fault: nothing is promised, and it is said."""
        self._loop.call_exception_handler({"message": "a request failed", "exception": problem})
        self._write(Answer(500), False)

    def _write(self, answer: Answer, keep: bool, method: str = "") -> bool:
        """Whether the connection goes on."""
        keep = keep and not self.server.bounds.closing
        if self._closed or self.transport.is_closing():
            return False
        self.transport.write(answer_bytes(answer, keep, method))
        if not keep:
            self._close()
        return keep

    def _close(self) -> None:
        self._closed, self._since = True, self._loop.time()
        self._waiting.clear()
        self.transport.close()

    # Ends

    def busy(self) -> bool:
        """Whether an answer is owed, or a request is coming."""
        owes = self._task is not None or bool(self._waiting) or bool(self._refusal)
        return not self._closed and (owes or self._reading)

    def end_if_idle(self) -> None:
        """Ends unless an answer is owed."""
        if not self.busy():
            self._close()

    def look(self, now: float) -> None:
        """Ends what idles, and who takes no answers; a request that comes too slowly is told so."""
        waited = (now - self._since) * 1000.0
        bounds = self.server.bounds
        if self._closed or not self._writable:
            if waited > bounds.idle_ms:  # what was written is not taken
                self._close()
                self.transport.abort()
            return
        if self._task is not None or self._waiting:
            return
        if self._reading and waited > bounds.head_ms:
            self._refuse(408)
        elif not self._reading and waited > bounds.idle_ms:
            self.end_if_idle()
