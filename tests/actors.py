"""Plain asserts on single actors, for what can't be timed from outside."""

import asyncio
import io
import json
import socket
from contextlib import suppress
from types import SimpleNamespace

import h11

from sableford.intake.index_table import WorkerList
from sableford.intake.scheduler_settings import SchedulerSettings, parse_settings
from sableford.model import Ending
from sableford.net import workers
from sableford.net.client import Client
from sableford.net.console import Console
from sableford.net.dispatcher import Dispatcher
from sableford.net.handover import Handover
from sableford.net.http import HttpConnection, open_streams
from sableford.net.limits import divide_resources
from sableford.net.log import Log
from sableford.net.messages import (
    Clock,
    CloseIfIdle,
    KnownWorkers,
    Mailbox,
    PostingEnded,
    Request,
    SendPosting,
    WorkerEndpoint,
    WorkerListUpdate,
)
from sableford.net.workers import Worker
from tests.adapter import PROFILE

ASKED = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: t1\r\nX-Service-Class: quote\r\n"
ASKED += b"X-Time-Left: 900m\r\nContent-Length: 0\r\n\r\n"


def shows_a_request_read_beside_the_word_to_close_is_taken() -> None:
    async def scene() -> list:
        near, far = socket.socketpair()
        near.setblocking(False)
        settings = SchedulerSettings(None, ("quote",), (), (), (), 5000.0, 250.0, frozenset({"quote"}))
        acceptor = SimpleNamespace(
            mailbox=Mailbox(), dispatcher=Mailbox(), clock=Clock(asyncio.get_running_loop())
        )
        acceptor.other_serving = False
        acceptor.limits, acceptor.settings, acceptor.log = (
            divide_resources(100, 64, 5000.0, 250.0),
            settings,
            Log("n0"),
        )
        client = Client(acceptor, 0.0)
        client.mailbox.put(CloseIfIdle())
        client.mailbox.put(ASKED)
        task = asyncio.create_task(client.run(near))
        told = await acceptor.dispatcher.take(500.0)
        task.cancel()
        far.close()
        return told

    told = asyncio.run(scene())
    assert [type(message) for message in told] == [Request] and told[0].id == b"t1", told


def shows_a_call_by_hand_goes_before_a_desk_full_of_txns_and_binds_them_all() -> None:
    """The desk of a busy scheduler finds the call first, whatever waits."""

    async def scene() -> tuple[float, list]:
        clock, limits = Clock(asyncio.get_running_loop()), divide_resources(100, 64, 5000.0, 250.0)
        settings = parse_settings(json.dumps(PROFILE | {"zones": ["here"], "skus": ["box"]}).encode())
        settings = settings._replace(schemes=("quote",), accepted_schemes=frozenset({"quote"}))
        log = Log("n0", sink=io.BytesIO())
        dispatcher = Dispatcher(settings, "5eed", Mailbox(), clock, limits, log)
        handover = Handover("n0", None, clock, limits, log)
        listener = socket.create_server(("127.0.7.5", 0))
        listener.setblocking(False)
        console = Console(dispatcher.console, handover.mailbox, clock, limits, log)
        console.open(listener)
        places = {"A": ("127.0.7.5", 1), "B": ("127.0.7.5", 2)}
        worker_list = WorkerList([(name, 0, 0, 0, 1, 1.0, 0.0) for name in places])
        dispatcher.mailbox.put(WorkerListUpdate(worker_list, True, places))
        tasks = [asyncio.create_task(console.run()), asyncio.create_task(dispatcher.run())]
        tasks.append(asyncio.create_task(handover.run(dispatcher.mailbox, Mailbox(), Mailbox())))
        await asyncio.sleep(0.05)
        requests = [Request(Mailbox(), b"POST", b"/api", [], b"") for _ in range(3000)]
        for number, request in enumerate(requests):
            request.id, request.expiry = b"t%d" % number, clock.now() + 5000.0
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        for request in requests:
            dispatcher.mailbox.put(request)
        began = clock.now()
        writer.write(b"POST /workers/A/maint HTTP/1.1\r\nHost: x\r\n\r\n")
        said = await reader.read()
        late = clock.now() - began
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0)
        assert said.startswith(b"HTTP/1.1 200"), said
        return late, dispatcher._overrides

    late, overrides = asyncio.run(scene())
    assert late < 1000.0 and overrides["A"].out, (late, overrides)


def shows_a_call_at_the_console_may_come_split_at_any_byte() -> None:
    call = b"POST /workers/A/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nz"

    async def scene() -> None:
        clock, limits = Clock(asyncio.get_running_loop()), divide_resources(100, 64, 5000.0, 250.0)
        log = Log("n0", sink=io.BytesIO())
        handover = Handover("n0", None, clock, limits, log)
        listener = socket.create_server(("127.0.7.5", 0))
        listener.setblocking(False)
        console = Console(Mailbox(), handover.mailbox, clock, limits, log)
        console.open(listener)
        console.mailbox.put(KnownWorkers(frozenset({"A"})))
        tasks = [asyncio.create_task(console.run())]
        tasks.append(asyncio.create_task(handover.run(Mailbox(), Mailbox(), Mailbox())))
        for at in range(1, len(call)):
            reader, writer = await asyncio.open_connection(*listener.getsockname())
            writer.write(call[:at])
            await asyncio.sleep(0.002)
            writer.write(call[at:])
            said = await reader.read()
            assert said.startswith(b"HTTP/1.1 200") and said.endswith(b"A may serve\n"), (at, said)
            writer.close()
        for task in tasks:
            task.cancel()

    asyncio.run(scene())


def shows_an_answer_that_nobody_asked_for_meets_no_later_posting() -> None:
    """A worker answers one posting twice: the second answer lies on the line as the next posting takes it.
    Read as that one's, "not run" sent it to a second worker while the first ran it."""
    chunk = b'{"id":"t1","from":"w","state":"done","result":"r1"}\n'
    done = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(chunk), chunk)
    stray = b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"

    async def scene(comes: str) -> tuple[list, int]:
        loop = asyncio.get_running_loop()
        clock, limits = Clock(loop), divide_resources(100, 64, 5000.0, 250.0)
        settings = parse_settings(json.dumps(PROFILE | {"zones": ["here"], "skus": ["box"]}).encode())
        far_ends: list[socket.socket] = []

        async def dial(address, limits) -> HttpConnection:
            near, far = socket.socketpair()
            near.setblocking(False)
            far.setblocking(False)
            far_ends.append(far)
            reader, writer = await open_streams(limits, sock=near)
            return HttpConnection(reader, writer, h11.CLIENT, limits)

        workers.dial, whole = dial, workers.dial
        dispatcher = Mailbox()
        worker = Worker("w", dispatcher, clock, limits, settings, Log("n0", sink=io.BytesIO()))
        task = asyncio.create_task(worker.run())
        endings = []
        try:
            worker.mailbox.put(WorkerEndpoint(("w", 1), 0.0, True))
            for name, word in ((b"t1", chunk), (b"t2", chunk.replace(b"t1", b"t2"))):
                request = Request(Mailbox(), b"POST", b"/api", [(b"x-correlation-id", name)], b"")
                request.id = name
                worker.mailbox.put(SendPosting(request, 0, clock.now() + 60_000.0))
                await until(lambda name=name: posted(name, far_ends))
                line = posted(name, far_ends)
                line.recv(9999)
                answer = done.replace(chunk, word)
                line.sendall(answer + stray if comes == "glued" and name == b"t1" else answer)
                (back,) = [one for one in await dispatcher.take(None) if isinstance(one, PostingEnded)]
                endings.append(back.ending)
                if name == b"t1" and comes == "at rest":
                    await until(lambda: worker._idle)
                    line.sendall(stray)
                    await until(lambda: worker._idle[0][1].reader.buffered)  # it has left the kernel
                elif name == b"t1" and comes == "as it is taken":
                    await until(lambda: worker._idle)
                    take = worker._take_idle
                    worker._take_idle = lambda line=line, take=take: (take(), line.sendall(stray))[0]
        finally:
            workers.dial = whole
            task.cancel()
            for line in far_ends:
                line.close()
        return endings, len(far_ends)

    async def until(so) -> None:
        while not so():
            await asyncio.sleep(0)

    def posted(name: bytes, lines: list[socket.socket]) -> socket.socket | None:
        """The line on which a posting lies."""
        for line in lines:
            with suppress(BlockingIOError, ConnectionResetError):
                if name in line.recv(9999, socket.MSG_PEEK):
                    return line
        return None

    for comes in ("glued", "at rest", "as it is taken"):
        assert asyncio.run(scene(comes)) == ([Ending.SETTLED] * 2, 2), comes
