"""The operators' console: an HTTP endpoint on a second address that answers each call with a line of text.

It answers without waiting for the dispatcher, and leaves it to the scheduler what an override changes.
"""

import asyncio
import socket
from contextlib import suppress
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import unquote

import h11

from sableford.net.http import HttpConnection, admit
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.messages import (
    Clock,
    FleetStatus,
    KnownWorkers,
    Mailbox,
    OperatorOverride,
    OverrideRequest,
    RecordRequest,
    Shutdown,
)

GET, POST = (b"GET", b"HEAD"), (b"POST",)
HEALTH, WORKERS, FLEET, RECORD = "healthcheck", "workers", "fleet", "record"
# Last path segment of a call on a worker: whether the worker is out of service afterwards.
ACTIONS = {"maint": True, "ready": False}


class Reply(NamedTuple):
    status: int
    text: str
    override: tuple[str, bool] | None = None
    record_call: tuple[str, bool] | None = None  # key of the record, and whether to set it


NO_PATH, NO_METHOD = Reply(404, "no such path"), Reply(405, "not by this method")
TOO_LARGE, UNREADABLE = Reply(413, "too large"), Reply(400, "can't be read")
NO_FLEET = Reply(404, "this scheduler is not in a fleet")
SERVING, LEAVING = Reply(200, "takes clients"), Reply(503, "leaving")


def route(
    method: bytes, target: bytes, known: frozenset[str], leaving: bool, fleet: bytes | None = None
) -> Reply:
    """The reply to one call. A worker id in the path may be percent-encoded or as in the list.

    `fleet` is the fleet's status as JSON, None without a fleet.

    >>> route(b"POST", b"/workers/a%2Fb/maint", frozenset({"a/b"}), False).override
    ('a/b', True)
    >>> route(b"POST", b"/workers/w/ready?x=1", frozenset({"w"}), False)[:2]
    (200, 'w may serve')
    """
    path = target.partition(b"?")[0].decode("latin-1")
    match path.split("/"):
        case ["", name] if name == HEALTH:
            return NO_METHOD if method not in GET else LEAVING if leaving else SERVING
        case ["", first, raw, action] if first == WORKERS and action in ACTIONS:
            if method not in POST:
                return NO_METHOD
            worker = next((name for name in (unquote(raw), raw) if name in known), None)
            if worker is None:
                return Reply(404, "no such worker")
            out = ACTIONS[action]
            return Reply(200, f"{worker} {'is out' if out else 'may serve'}", (worker, out))
        case ["", name] if name == FLEET:
            return (
                NO_FLEET if fleet is None else NO_METHOD if method not in GET else Reply(200, fleet.decode())
            )
        case ["", first, raw] if first == RECORD and raw:
            return NO_FLEET if fleet is None else Reply(200, "", record_call=(unquote(raw), method in POST))
    return NO_PATH


class Console:
    """Actor that serves operators; at the connection limit the oldest unanswered one is closed."""

    def __init__(
        self,
        mailbox: Mailbox,
        handover: Mailbox,
        clock: Clock,
        limits: Limits,
        log: Log,
        fleet: Mailbox | None = None,
    ) -> None:
        self.mailbox = mailbox
        self._fleet, self._fleet_status = fleet, b"{}" if fleet is not None else None
        self._handover, self._clock, self._limits, self._log = handover, clock, limits, log
        self._listener: socket.socket | None = None
        self._known: frozenset[str] = frozenset()
        self._leaving = False
        self._callers: dict[asyncio.Task, None] = {}  # oldest first

    def open(self, listener: socket.socket) -> None:
        self._listener = listener

    async def run(self) -> None:
        acceptor = asyncio.create_task(self._accept()) if self._listener is not None else None
        try:
            while True:
                for message in await self.mailbox.take():
                    match message:
                        case KnownWorkers(workers):
                            self._known = workers
                        case FleetStatus(text):
                            self._fleet_status = text
                        case Shutdown():
                            self._leaving = True
        finally:
            for task in (acceptor, *self._callers):
                if task is not None:
                    task.cancel()
            if self._listener is not None:
                self._listener.close()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self._listener)
            except OSError as problem:  # out of descriptors
                self._log.event("accept_failed", problem=repr(problem))
                await asyncio.sleep(0.05)
                continue
            # Silent callers must not block new ones: the oldest is closed, never the newest.
            if len(self._callers) >= self._limits.operators:
                oldest = next(iter(self._callers))
                del self._callers[oldest]
                oldest.cancel()
                await asyncio.wait([oldest])
            sock.setblocking(False)
            task = asyncio.create_task(self._serve(sock))
            self._callers[task] = None
            task.add_done_callback(lambda done: self._callers.pop(done, None))

    async def _serve(self, sock: socket.socket) -> None:
        """Serves one caller from accept to close."""
        connection = None
        try:
            async with asyncio.timeout(self._limits.operator_call / 1000.0):
                connection = await admit(sock, self._limits)
                if (call := await self._read_call(connection)) is not None:
                    await self._answer(connection, *call)
                # Closing with unread bytes would send a reset that overtakes the answer.
                discarded = 0
                while (data := await connection.read_chunk()) and discarded < self._limits.max_discarded:
                    discarded += len(data)
        except (OSError, h11.ProtocolError):  # too slow or disconnected
            pass
        except Exception as problem:
            self._log.event("caller_failed", problem=repr(problem))
        finally:
            if connection is not None:
                connection.close()
            else:
                sock.close()

    async def _read_call(self, connection: HttpConnection) -> tuple[Reply, bool, bytes] | None:
        """Reads one call; returns its reply, whether to omit the body, and the call's body.

        None if the caller disconnects without a complete call.
        """
        head, body = None, bytearray()
        try:
            while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
                if isinstance(event, h11.ConnectionClosed):
                    return None
                if isinstance(event, h11.Request):
                    head = event
                    if connection.state.they_are_waiting_for_100_continue:
                        connection.write(h11.InformationalResponse(status_code=100, headers=[]))
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > self._limits.operator_body:
                        return TOO_LARGE, False, b""
        except h11.RemoteProtocolError as problem:
            return (TOO_LARGE if problem.error_status_hint == 431 else UNREADABLE), False, b""
        reply = route(head.method, head.target, self._known, self._leaving, self._fleet_status)
        return reply, head.method == b"HEAD", bytes(body)

    async def _access_record(self, key: str, value: bytes | None) -> Reply:
        """Reads or sets a key of the record. A refusal is final; after a time-out it may yet be agreed on."""
        written = Mailbox()
        self._fleet.put(RecordRequest(key, value, written))
        answer = await written.take(self._limits.record_agreement)
        if not answer:
            return Reply(503, "not agreed on in time; it may be yet")
        accepted, index, found = answer[0]
        if not accepted:
            return Reply(409, f"no: {found}")
        if value is not None:
            return Reply(200, f"entry {index}")
        return (
            Reply(200, found.decode("utf-8", "replace")) if found is not None else Reply(404, "no such key")
        )

    async def _answer(self, connection: HttpConnection, reply: Reply, omit_body: bool, value: bytes) -> None:
        if reply.record_call is not None:
            key, is_write = reply.record_call
            reply = await self._access_record(key, value if is_write else None)
        text = reply.text
        # The override is written before the call succeeds, so that a kill right after it loses nothing.
        if reply.override is not None:
            written = Mailbox()
            self._handover.put_first(
                OverrideRequest(OperatorOverride(*reply.override, self._clock.now()), written)
            )
            # It is in force in this process already; the caller learns that it is not on disk.
            if await written.take(self._limits.override_write) != [True]:
                text += "; not written yet, another process or a restart does not know"
        body = text.encode() + b"\n"
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
        ]
        reason = HTTPStatus(reply.status).phrase.encode()
        answer = h11.Response(status_code=reply.status, headers=headers, reason=reason)
        connection.write(answer, *(() if omit_body else (h11.Data(data=body),)), h11.EndOfMessage())
        with suppress(OSError):
            await connection.writer.drain()
            connection.writer.write_eof()
