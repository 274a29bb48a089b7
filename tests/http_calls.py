"""The HTTP server and client on in-memory connections: each response belongs to one request, each request is
sent once, and one that was written and got no complete response may have been executed."""

import asyncio
from types import SimpleNamespace

from sableford.store.delivery import DeliveryClient
from sableford.store.worker_selection import WorkerEntry
from sableford.transport.errors import NotSentError, UnansweredError
from sableford.transport.http import ConnectionLimits, HttpRequest, HttpResponse
from sableford.transport.http_client import MAX_HEAD_BYTES, ClientConnection
from sableford.transport.http_server import HttpServer, ServerConnection
from sableford.transport.verdict import Execution, Verdict
from tests.memory_network import MemoryTransport, attached, simulated

HEAD_BOUND, BODY_BOUND = 400, 50  # bytes, of the server in these tests


def request(path: str, body: bytes = b"", *fields: str, method: str = "POST") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: h", *fields]
    if not fields:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Calls:
    """A server whose responses are set by the test, and connections to it."""

    def __init__(self) -> None:
        self.received: list[HttpRequest] = []
        self.responses: list[asyncio.Future] = []
        bounds = ConnectionLimits()
        bounds.max_head_bytes, bounds.max_body_bytes = HEAD_BOUND, BODY_BOUND
        self.server = HttpServer(self._handle, bounds)

    def _handle(self, request: HttpRequest) -> asyncio.Future:
        self.received.append(request)
        self.responses.append(asyncio.get_running_loop().create_future())
        return self._answer(self.responses[-1])

    async def _answer(self, responses: asyncio.Future) -> HttpResponse:
        return await responses

    def connect(self) -> tuple[ServerConnection, MemoryTransport]:
        connection = ServerConnection(self.server)
        return connection, attached(connection)

    async def answer(self, at: int, body: bytes, status: int = 200) -> None:
        self.responses[at].set_result(HttpResponse(status, body))
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    def paths(self) -> list[str]:
        return [request.path for request in self.received]


def shows_a_response_is_discarded_with_the_connection_of_its_request() -> None:
    """A client closes the connection while a request is in flight and another is queued."""

    async def scene(loop) -> None:
        calls = Calls()
        one, transport = calls.connect()
        one.data_received(request("/1", b"x") + request("/2", b"x"))
        await asyncio.sleep(0)
        assert calls.paths() == ["/1"]  # one at a time, in order
        transport.abort()
        await asyncio.sleep(0)
        other, other_transport = calls.connect()
        other.data_received(request("/3", b"x"))
        await asyncio.sleep(0)
        await calls.answer(0, b"first")
        assert calls.paths() == ["/1", "/3"] and not transport.written and not other_transport.written
        await calls.answer(1, b"third")
        assert other_transport.written.endswith(b"third") and other_transport.written.count(b"HTTP/1.1") == 1

    simulated(scene)


def shows_pipelined_requests_are_answered_in_order_and_a_malformed_one_last() -> None:
    async def scene(loop) -> None:
        calls = Calls()
        one, transport = calls.connect()
        one.data_received(request("/1", b"x") + request("/2", b"x") + b"nonsense\r\n\r\n")
        await asyncio.sleep(0)
        await calls.answer(0, b"first")
        assert transport.written.endswith(b"first") and calls.paths() == ["/1", "/2"]
        await calls.answer(1, b"second")
        answers = transport.written.split(b"HTTP/1.1 ")[1:]
        assert [text[:3] for text in answers] == [b"200", b"200", b"400"] and transport.closing

    simulated(scene)


def shows_a_half_closed_connection_still_gets_its_responses() -> None:
    async def scene(loop) -> None:
        calls = Calls()
        one, transport = calls.connect()
        one.data_received(request("/1", b"x") + request("/2", b"x") + b"POST /3")
        await asyncio.sleep(0)
        assert one.eof_received()
        await calls.answer(0, b"first")
        await calls.answer(1, b"second")
        assert (
            transport.written.count(b"HTTP/1.1 200") == 2 and transport.closing and len(calls.received) == 2
        )
        idle, _ = calls.connect()
        assert not idle.eof_received()

    simulated(scene)


def shows_smuggled_requests_are_not_handled() -> None:
    inner = request("/smuggled", b"x")
    length, chunks = f"Content-Length: {len(inner)}", "Transfer-Encoding: chunked"
    refused = [
        request("/1", inner, length, "Content-Length: 0"),
        request("/1", inner, length, length),
        request("/1", inner, "Content-Length: 0", chunks),
        request("/1", b"0\r\n\r\n" + inner, chunks, "Content-Length: 5"),
        request("/1", b"0\r\n\r\n" + inner, chunks, chunks),
        request("/1", b"0\r\n\r\n" + inner, "Transfer-Encoding: xchunked"),
        request("/1", b"0\r\n\r\n" + inner, "Transfer-Encoding: chunked, identity"),
        request("/1", b"0\r\n\r\n" + inner, "Transfer-Encoding : chunked"),
        request("/1", b"0\r\n\r\n" + inner, "X: y\r\n Transfer-Encoding: chunked"),
        request("/1", b"0\n\n" + inner, chunks),
        request("/1", inner, "X: y\n" + length),
        request("/1", inner, "X: y\r" + length),
        request("/1", inner, "Content-Length: +0"),
        request("/1", inner, "Content-Length: "),
        request("/1", inner, "Connection: upgrade", "Upgrade: h2c"),
        request("/1", inner, "Connection: upgrade", "Upgrade: h2c", "Content-Length: 0"),
        request("h:1", inner, method="CONNECT"),
    ]  # fmt: skip

    async def scene(loop) -> None:
        for text in refused:
            calls = Calls()
            one, transport = calls.connect()
            one.data_received(text)
            await asyncio.sleep(0)
            assert not calls.received and transport.closing, text
            assert transport.written.startswith(b"HTTP/1.1 4") and transport.written.count(b"HTTP/1.1") == 1
        # Nothing is read after a request with Connection: close.
        calls = Calls()
        one, transport = calls.connect()
        one.data_received(request("/1", b"", "Connection: close", "Content-Length: 0") + inner)
        one.data_received(inner)
        await asyncio.sleep(0)
        await calls.answer(0, b"")
        assert calls.paths() == ["/1"] and transport.closing and transport.written.count(b"HTTP/1.1") == 1
        # Trailers are ignored.
        calls = Calls()
        one, _ = calls.connect()
        one.data_received(request("/1", b"1\r\nx\r\n0\r\nOrder-Key: k\r\nAttempt-Id: i\r\n\r\n", chunks))
        await asyncio.sleep(0)
        assert calls.received[0].body == b"x" and calls.received[0].count(b"order-key") == 0
        assert calls.received[0].get(b"attempt-id") is None
        calls.responses[0].cancel()

    simulated(scene)


def shows_a_response_without_a_body_ends_after_its_head() -> None:
    """A body sent after HEAD, 204 or 304 would be parsed as the next response."""

    async def scene(loop) -> None:
        for method, status in (("HEAD", 200), ("POST", 204), ("POST", 304)):
            calls = Calls()
            one, transport = calls.connect()
            one.data_received(request("/1", method=method))
            await asyncio.sleep(0)
            await calls.answer(0, b"body", status)
            assert transport.written.endswith(b"\r\n\r\n") and b"body" not in transport.written

    simulated(scene)


def shows_a_client_that_reads_nothing_uses_little_memory_and_is_disconnected() -> None:
    async def scene(loop) -> None:
        calls = Calls()
        calls.server.handle = lambda request: calls.received.append(request) or HttpResponse(
            200, b"y" * 30_000
        )
        one, transport = calls.connect()
        transport.unread = True
        for _ in range(20):
            one.data_received(request("/1", b"x") * 5)
            if transport.paused:
                break
        assert transport.paused and len(calls.received) == 3, len(calls.received)  # then reading pauses
        one.check_timeouts(loop.time() + 14.0)
        assert not transport.closing
        one.check_timeouts(loop.time() + 16.0)
        assert transport.closing and not one.busy()
        # A client that reads again gets all responses.
        calls.received.clear()
        one, transport = calls.connect()
        transport.unread = True
        one.data_received(request("/1", b"x") * 9)
        transport.unread, transport.waiting = False, 0
        one.resume_writing()
        assert transport.written.count(b"HTTP/1.1 200") == 9 and not transport.paused
        # A client that does not read its last response is disconnected.
        one, transport = calls.connect()
        transport.close = lambda: None
        one.data_received(request("/1", b"", "Connection: close", "Content-Length: 0"))
        one.check_timeouts(loop.time() + 16.0)
        assert transport.closing

    simulated(scene)


def shows_an_endless_head_or_trailer_is_refused_early() -> None:
    async def scene(loop) -> None:
        trailer = request("/a", b"0\r\nX: ", "Transfer-Encoding: chunked")
        for begin, status in ((b"POST /a HTTP/1.1\r\nX: ", b"431"), (trailer, b"413")):
            calls = Calls()
            one, transport = calls.connect()
            one.data_received(begin)
            received = 0
            while not transport.closing:
                one.data_received(b"y" * 100)
                received += 100
                assert received < HEAD_BOUND + 8 * BODY_BOUND + 300
            assert transport.written.startswith(b"HTTP/1.1 " + status) and not calls.received
        # Many small requests and a partial one in one read do not count as one long head.
        calls = Calls()
        calls.server.handle = lambda request: HttpResponse(200)
        one, transport = calls.connect()
        one.data_received(request("/1") * 20 + b"POST /2 HTTP/1.1\r\n")
        one.data_received(b"Host: h\r\n\r\n")
        assert transport.written.count(b"HTTP/1.1 200") == 21 and not transport.closing

    simulated(scene)


# The client for workers


def answered(*fields: str, status: int = 200, body: bytes = b"") -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status} X", *fields]).encode() + b"\r\n\r\n" + body


OWN = answered("Attempt-Id: 7", "Server-Seal: s7", "Content-Length: 2", body=b"ok")


def shows_only_complete_responses_are_accepted() -> None:
    """Responses that are cut in the head, the body or a chunk, or have a missing or wrong length."""
    chunked, ended = "Transfer-Encoding: chunked", answered("Attempt-Id: 7", "Server-Seal: s7", body=b"all")

    async def scene(loop) -> None:
        async def response_to(*parts: bytes, end: Exception | None = None) -> tuple[int, dict] | Exception:
            connection = ClientConnection()
            transport = attached(connection)
            future = connection.send_request(b"POST")
            for part in parts:
                connection.data_received(part)
            if not future.done() and end is None:
                connection.eof_received()
            connection.connection_lost(end)
            assert not connection.is_reusable() and transport.written == b"POST"
            return future.exception() or future.result()

        whole = [
            (OWN,), tuple(OWN[at : at + 1] for at in range(len(OWN))), (ended,),
            (answered(chunked, "Attempt-Id: 7", body=b"2\r\nok\r\n0\r\n\r\n"),),
            (answered("Attempt-Id: 7", status=204),),
        ]  # fmt: skip
        for parts in whole:
            got = await response_to(*parts)
            assert not isinstance(got, Exception) and got.headers[b"attempt-id"] == b"7", parts
        cut = [
            OWN[:-1], OWN[:20], answered(chunked, body=b"2\r\nok\r\n"), answered(chunked, body=b"9\r\nok"),
            answered("Content-Length: 2", "Content-Length: 3", body=b"ok"), answered(status=100),
            answered("Content-Length: 2", chunked, body=b"0\r\n\r\n"), b"", b"SSH-2.0\r\n",
            answered("Connection: upgrade", "Upgrade: x", status=101),
        ]  # fmt: skip
        for part in cut:
            assert isinstance(await response_to(part), UnansweredError), part
        assert isinstance(await response_to(ended, end=ConnectionResetError()), UnansweredError)

    simulated(scene)


def shows_the_headers_of_a_response_are_only_its_own() -> None:
    """It is not mixed with those of interim responses, or with trailers."""

    async def scene(loop) -> None:
        async def head_of(text: bytes) -> dict:
            connection = ClientConnection()
            attached(connection)
            future = connection.send_request(b"POST")
            connection.data_received(text)
            return (await future).headers

        early = answered("Attempt-Id: 6", "Server-Seal: s6", status=103)
        head = await head_of(early + answered("Attempt-Id: 7", "Content-Length: 0", status=500))
        assert head[b"attempt-id"] == b"7" and b"server-seal" not in head
        text = answered("Attempt-Id: 7", "Transfer-Encoding: chunked", body=b"0\r\nServer-Seal: s\r\n\r\n")
        assert b"server-seal" not in await head_of(text)
        assert (await head_of(answered("Attempt-Id: 6", "Attempt-Id: 7", "Content-Length: 0")))[
            b"attempt-id"
        ] == b"6, 7"
        # An endless head closes the connection.
        connection = ClientConnection()
        transport = attached(connection)
        future = connection.send_request(b"POST")
        connection.data_received(b"HTTP/1.1 200 OK\r\nX: ")
        for _ in range(2 * MAX_HEAD_BYTES // 1000):
            if not transport.closing:
                connection.data_received(b"y" * 1000)
        assert transport.closing and isinstance(future.exception(), UnansweredError)

    simulated(scene)


def shows_a_connection_in_an_uncertain_state_is_not_reused() -> None:
    async def scene(loop) -> None:
        def after(*parts: bytes, waiting: int = 0) -> bool:
            connection = ClientConnection()
            transport = attached(connection)
            connection.send_request(b"POST")
            transport.waiting = waiting
            for part in parts:
                connection.data_received(part)
            return connection.is_reusable()

        assert after(OWN)
        assert not after(OWN + OWN) and not after(OWN, OWN) and not after(OWN, b"\r\nx")
        assert not after(OWN[:-1])  # the response is incomplete
        assert not after(answered("Connection: close", "Content-Length: 0"))
        assert not after(OWN, waiting=9)  # answered before the whole request was read
        # Data received while the connection is idle.
        connection = ClientConnection()
        transport = attached(connection)
        connection.data_received(OWN)
        assert not connection.is_reusable() and transport.closing
        assert (
            isinstance(connection.send_request(b"POST").exception(), NotSentError) and not transport.written
        )
        # Used for the time that the worker announces, less a margin.
        connection = ClientConnection()
        attached(connection)
        connection.send_request(b"POST")
        connection.data_received(answered("Keep-Alive: timeout=0.1", "Content-Length: 0"))
        assert connection.is_reusable()
        await asyncio.sleep(0.06)
        assert not connection.is_reusable()

    simulated(scene)


class WorkerConnection(asyncio.Protocol):
    """The worker's end of a connection; the test defines how it handles requests."""

    def __init__(self, worker: "Worker") -> None:
        self.worker = worker

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.worker.connections.append(self)
        if self.worker.aborts_connections:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        self.worker.requests.append(data)
        self.worker.handle(self)

    def connection_lost(self, problem: Exception | None) -> None:
        self.worker.lost += 1


class Worker:
    def __init__(self, loop, handle=lambda end: end.transport.write(OWN)) -> None:
        self.requests: list[bytes] = []
        self.connections: list[WorkerConnection] = []
        self.lost = 0
        self.handle, self.aborts_connections = handle, False
        loop.listeners[("w", 1)] = lambda: WorkerConnection(self)


MESSAGE = SimpleNamespace(
    header=SimpleNamespace(
        method="POST", target="/a", host="h", id="7", key="", content_type="", tenant="", unordered_key=""
    )
)  # the fields that a delivery uses
WORKER = WorkerEntry("i-7", "b", "w", 1, "z", 1, True)
LEFT_MS = 1500.0


def delivered(client: DeliveryClient, loop, left_ms: float = LEFT_MS, **more):
    return client.deliver(MESSAGE, b"x", WORKER, loop.time() * 1000.0 + left_ms, **more)


def shows_a_message_is_sent_once_per_attempt_and_its_verdict_is_proved(
    make: type = DeliveryClient,
) -> None:
    """The worker answers, resets, closes, is silent, or answers another message."""

    async def scene(loop) -> None:
        other = OWN.replace(b"Id: 7", b"Id: 6")
        cases = [
            (lambda end: end.transport.write(OWN), Execution.DONE, 0),
            (lambda end: end.transport.abort(), Execution.UNKNOWN, 1),
            (lambda end: end.transport.close(), Execution.UNKNOWN, 1),
            (lambda end: (end.transport.write(OWN[:-1]), end.transport.close()), Execution.UNKNOWN, 1),
            (lambda end: None, Execution.UNKNOWN, 1),
            (lambda end: end.transport.write(other), Execution.UNKNOWN, 1),
            (lambda end: end.transport.write(other + OWN), Execution.UNKNOWN, 1),
            (lambda end: end.transport.write(OWN + other), Execution.DONE, 1),
        ]
        for handle, ran, lost in cases:
            worker, client = Worker(loop, handle), make()
            assert (await delivered(client, loop)).execution is ran
            await asyncio.sleep(0.01)
            assert len(worker.requests) == 1 and worker.lost == lost, (ran, worker.requests, worker.lost)
        # Never reached: refused, connect time-out, closed before the first byte. No connection is leaked.
        loop.listeners.clear()
        assert (await delivered(make(), loop)).execution is Execution.NOT_RUN
        worker = Worker(loop)
        loop.dial_ms = 400.0
        assert (await delivered(make(), loop)).execution is Execution.NOT_RUN
        await asyncio.sleep(1.0)
        assert not worker.requests and worker.lost == 1
        loop.dial_ms, worker.aborts_connections = 1.0, True
        assert (await delivered(make(), loop)).execution is Execution.NOT_RUN and not worker.requests

    simulated(scene)


def shows_a_message_is_not_sent_after_its_deadline_or_without_ownership() -> None:
    async def scene(loop) -> None:
        worker, client = Worker(loop), DeliveryClient()
        loop.dial_ms = 100.0
        assert (await delivered(client, loop, 100.5)).execution is Execution.NOT_RUN and not worker.requests
        verdict = await delivered(client, loop, may_send=lambda: False)
        assert verdict.execution is Execution.NOT_RUN and verdict.reached and not worker.requests
        # The connection remains usable.
        assert (await delivered(client, loop)).execution is Execution.DONE
        assert client.dials == 1 and b"Deadline-Ms: 1500\r\n" in worker.requests[0]

    simulated(scene)


def shows_a_late_response_does_not_complete_another_delivery() -> None:
    """The worker answers the first message while the second is in flight."""

    async def scene(loop) -> None:
        worker, client = Worker(loop, lambda end: None), DeliveryClient()
        assert (await delivered(client, loop)).execution is Execution.UNKNOWN
        again = loop.create_task(delivered(client, loop))
        await asyncio.sleep(0.1)
        assert len(worker.connections) == 2 and worker.lost == 1  # on a new connection
        assert worker.connections[0].transport.closing and not again.done()
        worker.connections[1].transport.write(answered("Attempt-Id: 7", "Content-Length: 0", status=500))
        assert (await again).execution is Execution.FAILED

    simulated(scene)


def shows_faulty_deliveries_are_detected() -> None:
    class ResendsAfterFailure(DeliveryClient):
        """Sends again after a time-out or a reset."""

        async def _exchange(self, connection, *more):
            verdict = await super()._exchange(connection, *more)
            if verdict.execution is not Execution.UNKNOWN:
                return verdict
            return await super()._exchange(await self._dial(WORKER), *more)

    class ReportsNotRun(DeliveryClient):
        """Reports a broken connection as not executed."""

        async def _exchange(self, *more):
            verdict = await super()._exchange(*more)
            broke = verdict.execution is Execution.UNKNOWN and not verdict.reached
            return Verdict(Execution.NOT_RUN, verdict.reason) if broke else verdict

    class ReusesBusyConnection(DeliveryClient):
        """Reuses a connection with an outstanding response."""

        async def _exchange(self, connection, *more):
            connection.drop = lambda: None
            return await super()._exchange(connection, *more)

    for faulty in (ResendsAfterFailure, ReportsNotRun, ReusesBusyConnection):
        try:
            shows_a_message_is_sent_once_per_attempt_and_its_verdict_is_proved(faulty)
        except AssertionError:
            continue
        raise AssertionError(f"{faulty.__name__} was not detected")
