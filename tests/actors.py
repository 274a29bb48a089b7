"""Tests of single actors, for event orders that cannot be forced from outside."""

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

REQUEST = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: t1\r\nX-Service-Class: quote\r\n"
REQUEST += b"X-Time-Left: 900m\r\nContent-Length: 0\r\n\r\n"


def shows_a_request_read_together_with_a_close_command_is_dispatched() -> None:
    async def scene() -> list:
        local, remote = socket.socketpair()
        local.setblocking(False)
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
        client.mailbox.put(REQUEST)
        task = asyncio.create_task(client.run(local))
        messages = await acceptor.dispatcher.take(500.0)
        task.cancel()
        remote.close()
        return messages

    messages = asyncio.run(scene())
    assert [type(message) for message in messages] == [Request] and messages[0].id == b"t1", messages


def shows_an_operator_override_overtakes_thousands_of_waiting_txns() -> None:
    """The override is handled before thousands of txns that wait for the dispatcher."""

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
        sent_at = clock.now()
        writer.write(b"POST /workers/A/maint HTTP/1.1\r\nHost: x\r\n\r\n")
        response = await reader.read()
        delay = clock.now() - sent_at
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0)
        assert response.startswith(b"HTTP/1.1 200"), response
        return delay, dispatcher._overrides

    delay, overrides = asyncio.run(scene())
    assert delay < 1000.0 and overrides["A"].out, (delay, overrides)


def shows_a_console_call_may_be_split_at_any_byte() -> None:
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
            response = await reader.read()
            assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"A may serve\n"), (
                at,
                response,
            )
            writer.close()
        for task in tasks:
            task.cancel()

    asyncio.run(scene())


def shows_an_unsolicited_response_is_not_read_as_that_of_a_later_posting() -> None:
    """A worker answers a posting twice, and the second response is unread when the connection is reused.

    Read as the next posting's response, "not run" sent that to a second worker while the first ran it.
    """
    chunk = b'{"id":"t1","from":"w","state":"done","result":"r1"}\n'
    done = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(chunk), chunk)
    unsolicited = b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"

    async def scene(arrival: str) -> tuple[list, int]:
        loop = asyncio.get_running_loop()
        clock, limits = Clock(loop), divide_resources(100, 64, 5000.0, 250.0)
        settings = parse_settings(json.dumps(PROFILE | {"zones": ["here"], "skus": ["box"]}).encode())
        remote_ends: list[socket.socket] = []

        async def dial(address, limits) -> HttpConnection:
            local, remote = socket.socketpair()
            local.setblocking(False)
            remote.setblocking(False)
            remote_ends.append(remote)
            reader, writer = await open_streams(limits, sock=local)
            return HttpConnection(reader, writer, h11.CLIENT, limits)

        workers.dial, original_dial = dial, workers.dial
        dispatcher = Mailbox()
        worker = Worker("w", dispatcher, clock, limits, settings, Log("n0", sink=io.BytesIO()))
        task = asyncio.create_task(worker.run())
        endings = []
        try:
            worker.mailbox.put(WorkerEndpoint(("w", 1), 0.0, True))
            for name, event in ((b"t1", chunk), (b"t2", chunk.replace(b"t1", b"t2"))):
                request = Request(Mailbox(), b"POST", b"/api", [(b"x-correlation-id", name)], b"")
                request.id = name
                worker.mailbox.put(SendPosting(request, 0, clock.now() + 60_000.0))
                await wait_until(lambda name=name: connection_of(name, remote_ends))
                connection = connection_of(name, remote_ends)
                connection.recv(9999)
                answer = done.replace(chunk, event)
                connection.sendall(answer + unsolicited if arrival == "glued" and name == b"t1" else answer)
                (back,) = [one for one in await dispatcher.take(None) if isinstance(one, PostingEnded)]
                endings.append(back.ending)
                if name == b"t1" and arrival == "at rest":
                    await wait_until(lambda: worker._idle)
                    connection.sendall(unsolicited)
                    await wait_until(lambda: worker._idle[0][1].reader.buffered)  # it has left the kernel
                elif name == b"t1" and arrival == "as it is taken":
                    await wait_until(lambda: worker._idle)
                    take = worker._take_idle
                    worker._take_idle = lambda connection=connection, take=take: (
                        take(),
                        connection.sendall(unsolicited),
                    )[0]
        finally:
            workers.dial = original_dial
            task.cancel()
            for connection in remote_ends:
                connection.close()
        return endings, len(remote_ends)

    async def wait_until(so) -> None:
        while not so():
            await asyncio.sleep(0)

    def connection_of(name: bytes, connections: list[socket.socket]) -> socket.socket | None:
        """The connection on which a posting was sent."""
        for connection in connections:
            with suppress(BlockingIOError, ConnectionResetError):
                if name in connection.recv(9999, socket.MSG_PEEK):
                    return connection
        return None

    for arrival in ("glued", "at rest", "as it is taken"):
        assert asyncio.run(scene(arrival)) == ([Ending.SETTLED] * 2, 2), arrival
