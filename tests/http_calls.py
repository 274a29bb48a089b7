"""HTTP on both sides, in memory: each answer belongs to one request, each request is sent once, and what was
written and not answered whole may have run."""

import asyncio
from types import SimpleNamespace

from sableford.store.choice import WorkerEntry
from sableford.store.delivery import DeliveryClient
from sableford.transport.errors import NotSentError, UnansweredError
from sableford.transport.http import Answer, Bounds, Request
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
    """A server whose answers the test gives, and a connection to it."""

    def __init__(self) -> None:
        self.came: list[Request] = []
        self.due: list[asyncio.Future] = []
        bounds = Bounds()
        bounds.head, bounds.body = HEAD_BOUND, BODY_BOUND
        self.server = HttpServer(self._handle, bounds)

    def _handle(self, request: Request) -> asyncio.Future:
        self.came.append(request)
        self.due.append(asyncio.get_running_loop().create_future())
        return self._answer(self.due[-1])

    async def _answer(self, due: asyncio.Future) -> Answer:
        return await due

    def connect(self) -> tuple[ServerConnection, MemoryTransport]:
        connection = ServerConnection(self.server)
        return connection, attached(connection)

    async def answer(self, at: int, body: bytes, status: int = 200) -> None:
        self.due[at].set_result(Answer(status, body))
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    def paths(self) -> list[str]:
        return [request.path for request in self.came]


def shows_an_answer_ends_with_the_connection_whose_request_it_is() -> None:
    """A client closes while its request is under way, with another one behind it."""

    async def scene(loop) -> None:
        calls = Calls()
        one, transport = calls.connect()
        one.data_received(request("/1", b"x") + request("/2", b"x"))
        await asyncio.sleep(0)
        assert calls.paths() == ["/1"]  # one at a time, in their order
        transport.abort()
        await asyncio.sleep(0)
        other, its = calls.connect()
        other.data_received(request("/3", b"x"))
        await asyncio.sleep(0)
        await calls.answer(0, b"first")
        assert calls.paths() == ["/1", "/3"] and not transport.written and not its.written
        await calls.answer(1, b"third")
        assert its.written.endswith(b"third") and its.written.count(b"HTTP/1.1") == 1

    simulated(scene)


def shows_pipelined_requests_are_answered_in_order_and_a_bad_one_last() -> None:
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


def shows_a_caller_that_sends_no_more_still_gets_what_it_asked_for() -> None:
    async def scene(loop) -> None:
        calls = Calls()
        one, transport = calls.connect()
        one.data_received(request("/1", b"x") + request("/2", b"x") + b"POST /3")
        await asyncio.sleep(0)
        assert one.eof_received()
        await calls.answer(0, b"first")
        await calls.answer(1, b"second")
        assert transport.written.count(b"HTTP/1.1 200") == 2 and transport.closing and len(calls.came) == 2
        idle, _ = calls.connect()
        assert not idle.eof_received()

    simulated(scene)


def shows_nothing_smuggled_behind_or_inside_a_request_is_taken_for_one() -> None:
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
            assert not calls.came and transport.closing, text
            assert transport.written.startswith(b"HTTP/1.1 4") and transport.written.count(b"HTTP/1.1") == 1
        # Behind an end that was asked for nothing is read.
        calls = Calls()
        one, transport = calls.connect()
        one.data_received(request("/1", b"", "Connection: close", "Content-Length: 0") + inner)
        one.data_received(inner)
        await asyncio.sleep(0)
        await calls.answer(0, b"")
        assert calls.paths() == ["/1"] and transport.closing and transport.written.count(b"HTTP/1.1") == 1
        # What follows the last chunk says nothing of the request.
        calls = Calls()
        one, _ = calls.connect()
        one.data_received(request("/1", b"1\r\nx\r\n0\r\nOrder-Key: k\r\nAttempt-Id: i\r\n\r\n", chunks))
        await asyncio.sleep(0)
        assert calls.came[0].body == b"x" and calls.came[0].count(b"order-key") == 0
        assert calls.came[0].get(b"attempt-id") is None
        calls.due[0].cancel()

    simulated(scene)


def shows_an_answer_without_a_body_is_no_longer_than_its_head() -> None:
    """A HEAD, and a 204, by whoever gives it a body: it would be read as the next answer."""

    async def scene(loop) -> None:
        for method, status in (("HEAD", 200), ("POST", 204), ("POST", 304)):
            calls = Calls()
            one, transport = calls.connect()
            one.data_received(request("/1", method=method))
            await asyncio.sleep(0)
            await calls.answer(0, b"body", status)
            assert transport.written.endswith(b"\r\n\r\n") and b"body" not in transport.written

    simulated(scene)


def shows_a_caller_that_reads_nothing_holds_little_memory_and_is_let_go() -> None:
    async def scene(loop) -> None:
        calls = Calls()
        calls.server.handle = lambda request: calls.came.append(request) or Answer(200, b"y" * 30_000)
        one, transport = calls.connect()
        transport.unread = True
        for _ in range(20):
            one.data_received(request("/1", b"x") * 5)
            if transport.paused:
                break
        assert transport.paused and len(calls.came) == 3, len(calls.came)  # some of it, then no more
        one.look(loop.time() + 14.0)
        assert not transport.closing
        one.look(loop.time() + 16.0)
        assert transport.closing and not one.busy()
        # Another that reads again gets all.
        calls.came.clear()
        one, transport = calls.connect()
        transport.unread = True
        one.data_received(request("/1", b"x") * 9)
        transport.unread, transport.waiting = False, 0
        one.resume_writing()
        assert transport.written.count(b"HTTP/1.1 200") == 9 and not transport.paused
        # One whose last answer is not taken does not stay for ever.
        one, transport = calls.connect()
        transport.close = lambda: None
        one.data_received(request("/1", b"", "Connection: close", "Content-Length: 0"))
        one.look(loop.time() + 16.0)
        assert transport.closing

    simulated(scene)


def shows_a_head_or_trailer_without_end_is_refused_while_it_is_small() -> None:
    async def scene(loop) -> None:
        trailer = request("/a", b"0\r\nX: ", "Transfer-Encoding: chunked")
        for begin, status in ((b"POST /a HTTP/1.1\r\nX: ", b"431"), (trailer, b"413")):
            calls = Calls()
            one, transport = calls.connect()
            one.data_received(begin)
            came = 0
            while not transport.closing:
                one.data_received(b"y" * 100)
                came += 100
                assert came < HEAD_BOUND + 8 * BODY_BOUND + 300
            assert transport.written.startswith(b"HTTP/1.1 " + status) and not calls.came
        # Many small requests in one read, and a part of one more, are no long head.
        calls = Calls()
        calls.server.handle = lambda request: Answer(200)
        one, transport = calls.connect()
        one.data_received(request("/1") * 20 + b"POST /2 HTTP/1.1\r\n")
        one.data_received(b"Host: h\r\n\r\n")
        assert transport.written.count(b"HTTP/1.1 200") == 21 and not transport.closing

    simulated(scene)


# Towards a worker


def answered(*fields: str, status: int = 200, body: bytes = b"") -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status} X", *fields]).encode() + b"\r\n\r\n" + body


OWN = answered("Attempt-Id: 7", "Server-Seal: s7", "Content-Length: 2", body=b"ok")


def shows_only_a_whole_answer_counts() -> None:
    """Cut by its length, in a chunk, in its head; ended without a length; with one that is wrong."""
    chunked, ended = "Transfer-Encoding: chunked", answered("Attempt-Id: 7", "Server-Seal: s7", body=b"all")

    async def scene(loop) -> None:
        async def asked(*parts: bytes, end: Exception | None = None) -> tuple[int, dict] | Exception:
            connection = ClientConnection()
            transport = attached(connection)
            future = connection.ask(b"POST")
            for part in parts:
                connection.data_received(part)
            if not future.done() and end is None:
                connection.eof_received()
            connection.connection_lost(end)
            assert not connection.usable() and transport.written == b"POST"
            return future.exception() or future.result()

        whole = [
            (OWN,), tuple(OWN[at : at + 1] for at in range(len(OWN))), (ended,),
            (answered(chunked, "Attempt-Id: 7", body=b"2\r\nok\r\n0\r\n\r\n"),),
            (answered("Attempt-Id: 7", status=204),),
        ]  # fmt: skip
        for parts in whole:
            got = await asked(*parts)
            assert not isinstance(got, Exception) and got.headers[b"attempt-id"] == b"7", parts
        cut = [
            OWN[:-1], OWN[:20], answered(chunked, body=b"2\r\nok\r\n"), answered(chunked, body=b"9\r\nok"),
            answered("Content-Length: 2", "Content-Length: 3", body=b"ok"), answered(status=100),
            answered("Content-Length: 2", chunked, body=b"0\r\n\r\n"), b"", b"SSH-2.0\r\n",
            answered("Connection: upgrade", "Upgrade: x", status=101),
        ]  # fmt: skip
        for part in cut:
            assert isinstance(await asked(part), UnansweredError), part
        assert isinstance(await asked(ended, end=ConnectionResetError()), UnansweredError)

    simulated(scene)


def shows_an_answer_s_head_is_its_own() -> None:
    """Interim answers, trailers, and names given twice lend it nothing."""

    async def scene(loop) -> None:
        async def head_of(text: bytes) -> dict:
            connection = ClientConnection()
            attached(connection)
            future = connection.ask(b"POST")
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
        # A head without end is thrown away.
        connection = ClientConnection()
        transport = attached(connection)
        future = connection.ask(b"POST")
        connection.data_received(b"HTTP/1.1 200 OK\r\nX: ")
        for _ in range(2 * MAX_HEAD_BYTES // 1000):
            if not transport.closing:
                connection.data_received(b"y" * 1000)
        assert transport.closing and isinstance(future.exception(), UnansweredError)

    simulated(scene)


def shows_a_connection_in_doubt_carries_nothing_more() -> None:
    async def scene(loop) -> None:
        def after(*parts: bytes, waiting: int = 0) -> bool:
            connection = ClientConnection()
            transport = attached(connection)
            connection.ask(b"POST")
            transport.waiting = waiting
            for part in parts:
                connection.data_received(part)
            return connection.usable()

        assert after(OWN)
        assert not after(OWN + OWN) and not after(OWN, OWN) and not after(OWN, b"\r\nx")
        assert not after(OWN[:-1])  # it still answers
        assert not after(answered("Connection: close", "Content-Length: 0"))
        assert not after(OWN, waiting=9)  # answered before it had read the request
        # Bytes that come while it rests.
        connection = ClientConnection()
        transport = attached(connection)
        connection.data_received(OWN)
        assert not connection.usable() and transport.closing
        assert isinstance(connection.ask(b"POST").exception(), NotSentError) and not transport.written
        # For as long as its worker says, with something to spare.
        connection = ClientConnection()
        attached(connection)
        connection.ask(b"POST")
        connection.data_received(answered("Keep-Alive: timeout=0.1", "Content-Length: 0"))
        assert connection.usable()
        await asyncio.sleep(0.06)
        assert not connection.usable()

    simulated(scene)


class WorkerEnd(asyncio.Protocol):
    """A worker's end of a connection; what each request gets is the test's."""

    def __init__(self, worker: "Worker") -> None:
        self.worker = worker

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.worker.ends.append(self)
        if self.worker.shuts:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        self.worker.requests.append(data)
        self.worker.does(self)

    def connection_lost(self, problem: Exception | None) -> None:
        self.worker.lost += 1


class Worker:
    def __init__(self, loop, does=lambda end: end.transport.write(OWN)) -> None:
        self.requests: list[bytes] = []
        self.ends: list[WorkerEnd] = []
        self.lost = 0
        self.does, self.shuts = does, False
        loop.listeners[("w", 1)] = lambda: WorkerEnd(self)


MESSAGE = SimpleNamespace(
    header=SimpleNamespace(method="POST", target="/a", host="h", id="7", key="", content_type="", tenant="")
)  # what a delivery reads of it
WORKER = WorkerEntry("i-7", "b", "w", 1, "z", 1, True)
LEFT_MS = 1500.0


def delivered(client: DeliveryClient, loop, left_ms: float = LEFT_MS, **more):
    return client.deliver(MESSAGE, b"x", WORKER, loop.time() * 1000.0 + left_ms, **more)


def shows_a_message_is_sent_once_an_attempt_and_its_verdict_says_what_is_proved(
    make: type = DeliveryClient,
) -> None:
    """Whatever a worker does with it: an answer, a reset, an end, silence, another message's answer."""

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
        for does, ran, lost in cases:
            worker, client = Worker(loop, does), make()
            assert (await delivered(client, loop)).execution is ran
            await asyncio.sleep(0.01)
            assert len(worker.requests) == 1 and worker.lost == lost, (ran, worker.requests, worker.lost)
        # Never reached: refused, never connected, gone before the first byte. Nothing is left open.
        loop.listeners.clear()
        assert (await delivered(make(), loop)).execution is Execution.NOT_RUN
        worker = Worker(loop)
        loop.dial_ms = 400.0
        assert (await delivered(make(), loop)).execution is Execution.NOT_RUN
        await asyncio.sleep(1.0)
        assert not worker.requests and worker.lost == 1
        loop.dial_ms, worker.shuts = 1.0, True
        assert (await delivered(make(), loop)).execution is Execution.NOT_RUN and not worker.requests

    simulated(scene)


def shows_what_cannot_be_done_in_time_or_is_another_s_by_now_is_not_sent() -> None:
    async def scene(loop) -> None:
        worker, client = Worker(loop), DeliveryClient()
        loop.dial_ms = 100.0
        assert (await delivered(client, loop, 100.5)).execution is Execution.NOT_RUN and not worker.requests
        verdict = await delivered(client, loop, may_send=lambda: False)
        assert verdict.execution is Execution.NOT_RUN and verdict.reached and not worker.requests
        # Its connection is as good as before.
        assert (await delivered(client, loop)).execution is Execution.DONE
        assert client.dials == 1 and b"Deadline-Ms: 1500\r\n" in worker.requests[0]

    simulated(scene)


def shows_an_answer_later_than_its_deadline_meets_no_other_delivery() -> None:
    """The worker answers the first message when the second is on its way."""

    async def scene(loop) -> None:
        worker, client = Worker(loop, lambda end: None), DeliveryClient()
        assert (await delivered(client, loop)).execution is Execution.UNKNOWN
        again = loop.create_task(delivered(client, loop))
        await asyncio.sleep(0.1)
        assert len(worker.ends) == 2 and worker.lost == 1  # a connection of its own
        assert worker.ends[0].transport.closing and not again.done()
        worker.ends[1].transport.write(answered("Attempt-Id: 7", "Content-Length: 0", status=500))
        assert (await again).execution is Execution.FAILED

    simulated(scene)


def shows_planted_mistakes_of_a_delivery_are_found() -> None:
    class Insists(DeliveryClient):
        """After a silence or a reset it sends once more."""

        async def _exchange(self, connection, *more):
            verdict = await super()._exchange(connection, *more)
            if verdict.execution is not Execution.UNKNOWN:
                return verdict
            return await super()._exchange(await self._dial(WORKER), *more)

    class Sanguine(DeliveryClient):
        """What broke off has not run."""

        async def _exchange(self, *more):
            verdict = await super()._exchange(*more)
            broke = verdict.execution is Execution.UNKNOWN and not verdict.reached
            return Verdict(Execution.NOT_RUN, verdict.why) if broke else verdict

    class Thrifty(DeliveryClient):
        """A connection with an answer outstanding is kept."""

        async def _exchange(self, connection, *more):
            connection.drop = lambda: None
            return await super()._exchange(connection, *more)

    for mistake in (Insists, Sanguine, Thrifty):
        try:
            shows_a_message_is_sent_once_an_attempt_and_its_verdict_says_what_is_proved(mistake)
        except AssertionError:
            continue
        raise AssertionError(f"{mistake.__name__} was not found out")
