"""HTTP/1.1 server for external clients, based on httptools.

The handler of an `HttpServer` returns a response or an awaitable of one. The requests of a connection are
handled in order, one at a time; if the connection is lost, its outstanding response is discarded. A malformed
or ambiguous request is refused and closes the connection, so that data after it is never parsed as a request
(request smuggling).
"""

import asyncio
from collections import deque
from collections.abc import Awaitable
from typing import cast

import httptools

from sableford.transport.http import ConnectionLimits, Handler, HttpRequest, HttpResponse, encode_response

SWEEP_S = 0.5  # between two checks for idle and slow connections
MAX_QUEUED = 16  # pipelined requests of a connection; with more of them reading pauses
MAX_CHUNK_OVERHEAD = 8  # bytes sent per byte of the body: more than chunks of one byte each need


WHITE_SPACE = b" \t"  # around a value; not part of it (RFC 9110, section 5.5)


class RequestRefusedError(Exception):
    """Stops the parsing of a request; the argument is the status."""


class HttpServer:
    """A listener and its open connections."""

    def __init__(self, handle: Handler, bounds: ConnectionLimits) -> None:
        self.handle, self.bounds = handle, bounds
        self.open: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Starts to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerConnection(self), *address, backlog=1024)
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)

    def stop_accepting(self) -> None:
        """Accepts no new connections. Closes idle connections now, and the others after their responses."""
        if self._server is not None:
            self._server.close()
        self.bounds.closing = True
        for connection in list(self.open):
            connection.end_if_idle()

    def busy(self) -> int:
        """The number of connections with a request in flight."""
        return sum(connection.busy() for connection in self.open)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)
        now = loop.time()
        for connection in list(self.open):
            connection.check_timeouts(now)


class ServerConnection(asyncio.Protocol):
    """One connection of a client."""

    transport: asyncio.Transport  # set by `connection_made`

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self._parser = httptools.HttpRequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._queued: deque[HttpRequest] = deque()
        self._queued_bytes = 0  # of the queued bodies
        self._requests_begun = 0  # requests whose first bytes were received
        self._task: asyncio.Task[None] | None = None  # handles the current request
        self._state_since = self._loop.time()  # start of the idle time, or of the current request
        self._receiving = False  # a request is partly received
        self._input_ended = False  # further data of this connection is ignored
        self._refusal = 0  # status for a malformed request, sent after the responses to earlier ones
        self._closed = False
        self._writable = True  # false while the send buffer is full
        self._reset()

    def _reset(self) -> None:
        self._url, self._head_bytes = b"", 0
        self._header_list: list[tuple[bytes, bytes]] = []
        self._body_parts: list[bytes] = []
        # Of the body; of all data after the read in which the request began.
        self._body_bytes = self._received_bytes = 0
        self._head_complete = False
        self._parse_refusal = 0

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.open.add(self)

    def connection_lost(self, problem: Exception | None) -> None:
        self._closed = True
        self._queued.clear()
        self.server.open.discard(self)

    def eof_received(self) -> bool:
        """The client has closed its side; complete requests are still answered."""
        self._input_ended = True
        self._receiving = False
        return self.busy()

    def pause_writing(self) -> None:
        self._writable, self._state_since = False, self._loop.time()

    def resume_writing(self) -> None:
        self._writable = True
        if self._task is None:
            self._handle_queued()

    def data_received(self, data: bytes) -> None:
        if self._closed or self._input_ended:
            return
        if not self._receiving:
            self._receiving, self._state_since = True, self._loop.time()
        begun_before = self._requests_begun
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            is_own_callback = isinstance(problem, httptools.HttpParserCallbackError)
            self._refuse(self._parse_refusal or (500 if is_own_callback else 400))
        else:
            self._check_size(len(data), begun_before)
        if self._is_queue_full() and not self.transport.is_closing():
            self.transport.pause_reading()

    def _check_size(self, size: int, begun_before: int) -> None:
        """Limits the size of incomplete headers and trailers, which the parser buffers without a limit."""
        if not self._receiving or self._requests_begun != begun_before:
            return  # a request that began in this read is no longer than the read
        self._received_bytes += size
        bounds = self.server.bounds
        if not self._head_complete and self._received_bytes > bounds.max_head_bytes:
            self._refuse(431)
        elif self._received_bytes > bounds.max_head_bytes + MAX_CHUNK_OVERHEAD * bounds.max_body_bytes:
            self._refuse(413)

    def _is_queue_full(self) -> bool:
        return len(self._queued) > MAX_QUEUED or self._queued_bytes > self.server.bounds.max_body_bytes

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        self._reset()
        self._requests_begun += 1
        self._receiving, self._state_since = True, self._loop.time()

    def on_url(self, part: bytes) -> None:
        self._url += part
        self._add_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_head_bytes(len(name) + len(value) + 4)
        if not self._head_complete:  # trailers are ignored
            self._header_list.append((name.lower(), value.strip(WHITE_SPACE)))

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.server.bounds.max_head_bytes:
            self._stop_parsing(431)

    def _stop_parsing(self, status: int) -> None:
        self._parse_refusal = status
        raise RequestRefusedError(status)

    def on_headers_complete(self) -> None:
        self._head_complete = True
        if self._parser.should_upgrade():
            # Data of another protocol would follow, and this request would be executed.
            self._stop_parsing(400)
        continues = False
        for name, value in self._header_list:
            if name == b"content-length" and int(value) > self.server.bounds.max_body_bytes:
                self._stop_parsing(413)
            # Nothing decodes other codings than chunked (RFC 9112, section 6.1).
            if name == b"transfer-encoding" and value.lower() != b"chunked":
                self._stop_parsing(400)
            continues = continues or (name == b"expect" and value.lower() == b"100-continue")
        if continues and not (self._queued or self._task or self._closed):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        self._body_bytes += len(part)
        if self._body_bytes > self.server.bounds.max_body_bytes:
            self._stop_parsing(413)
        self._body_parts.append(part)

    def on_message_complete(self) -> None:
        method = self._parser.get_method().decode("latin-1")
        keep_alive = self._parser.should_keep_alive()
        body = b"".join(self._body_parts)
        self._queued.append(HttpRequest(method, self._url, self._header_list, body, keep_alive))
        self._queued_bytes += len(body)
        self._receiving = False
        if not keep_alive:
            self._input_ended = True
        if self._task is None:
            self._handle_queued()

    # Responses, in order

    def _refuse(self, status: int) -> None:
        """Refuses the rest of the input, once all earlier requests are answered."""
        self._input_ended, self._receiving, self._refusal = True, False, status
        if self._task is None:
            self._handle_queued()

    def _handle_queued(self) -> None:
        """Handles queued requests until one of them has to be awaited."""
        while self._queued and self._writable and not self._closed:
            request = self._queued.popleft()
            self._queued_bytes -= len(request.body)
            try:
                response = self.server.handle(request)
            except Exception as problem:
                self._handler_failed(problem)
                return
            if not isinstance(response, HttpResponse):
                self._task = self._loop.create_task(self._respond_later(response, request))
                return
            if not self._write(response, request.keep_alive, request.method):
                return
        if not self._closed and not self._queued:
            self._finish_queue()

    def _finish_queue(self) -> None:
        """All complete requests are answered: sends a pending refusal, closes, or resumes reading."""
        if self._refusal:
            self._write(HttpResponse(self._refusal), False)
        elif self._input_ended:
            self._close()
        elif not self.transport.is_closing():
            self._state_since = self._loop.time()
            self.transport.resume_reading()

    async def _respond_later(self, awaitable: Awaitable[HttpResponse], request: HttpRequest) -> None:
        try:
            response = await awaitable
        except Exception as problem:
            self._task = None
            self._handler_failed(problem)
            return
        self._task = None
        if self._write(response, request.keep_alive, request.method):
            self._handle_queued()

    def _handler_failed(self, problem: Exception) -> None:
        """Logs an exception of the handler and responds with 500."""
        self._loop.call_exception_handler({"message": "a request failed", "exception": problem})
        self._write(HttpResponse(500), False)

    def _write(self, response: HttpResponse, keep_alive: bool, method: str = "") -> bool:
        """Writes a response; returns whether the connection stays open."""
        keep_alive = keep_alive and not self.server.bounds.closing
        if self._closed or self.transport.is_closing():
            return False
        self.transport.write(encode_response(response, keep_alive, method))
        if not keep_alive:
            self._close()
        return keep_alive

    def _close(self) -> None:
        self._closed, self._state_since = True, self._loop.time()
        self._queued.clear()
        self.transport.close()

    # Closing

    def busy(self) -> bool:
        """Whether a response is outstanding, or a request is partly received."""
        owes_response = self._task is not None or bool(self._queued) or bool(self._refusal)
        return not self._closed and (owes_response or self._receiving)

    def end_if_idle(self) -> None:
        """Closes the connection unless it is busy."""
        if not self.busy():
            self._close()

    def check_timeouts(self, now: float) -> None:
        """Closes an idle connection and one that reads no responses; refuses a slow request with 408."""
        elapsed_ms = (now - self._state_since) * 1000.0
        bounds = self.server.bounds
        if self._closed or not self._writable:
            if elapsed_ms > bounds.idle_timeout_ms:  # the client does not read its responses
                self._close()
                self.transport.abort()
            return
        if self._task is not None or self._queued:
            return
        if self._receiving and elapsed_ms > bounds.head_timeout_ms:
            self._refuse(408)
        elif not self._receiving and elapsed_ms > bounds.idle_timeout_ms:
            self.end_if_idle()
