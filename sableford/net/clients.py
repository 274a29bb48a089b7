"""Connections from clients: the gate that accepts them and one actor for each.

It owns that a request is read whole, checked for form and answered once on the connection it came on. It must
never answer 429 or 503 of its own accord, which are words of the desk, nor close over bytes that lie unread.
"""

import asyncio
import socket
from contextlib import suppress
from http import HTTPStatus
from typing import NamedTuple

import h11

from sableford.intake.charter import Charter
from sableford.net import wire
from sableford.net.http import Peer, admit
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.mail import (
    Clash,
    Clock,
    Cut,
    Fail,
    Gone,
    Leave,
    Mailbox,
    Refuse,
    Renew,
    Request,
    Settle,
    Shut,
)

ANSWERS = (Settle, Refuse, Fail, Clash)


class Malformed(Exception):
    """The request can't be taken: a plain status and why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Client:
    """One connection. Between requests it rests; with one taken it waits for the desk's answer."""

    def __init__(self, gate: "Gate", leaving: bool) -> None:
        self.mail = Mailbox()
        self._gate, self._desk, self._clock, self._limits = gate.mail, gate.desk, gate.clock, gate.limits
        self._charter, self._log, self._leaving = gate.charter, gate.log, leaving
        self._peer: Peer | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._since = self._clock.now()  # of the rest, the request's first byte, or the lingering
        self._taken: Request | None = None
        self._reading = self._lingering = self._asked = self._over = False
        self._hungry = asyncio.Event()
        self._hungry.set()

    async def run(self, sock: socket.socket) -> None:
        feeder = None
        try:
            self._peer = await admit(sock, self._limits)
            feeder = asyncio.create_task(self._feed())
            while not self._over:
                messages = await self.mail.take(self._patience())
                if not messages:
                    await self._tire()
                for message in messages:
                    if not self._over:
                        self._hear(message)
                        await self._drain()
                # Asked to close between two requests, it closed over one that was read but not yet looked at.
                if self._asked and self._resting() and await self._quiet():
                    self._over = True
        except Exception as problem:
            self._log.say("client_failed", problem=repr(problem))
            if self._taken is not None and self._peer is not None:
                self._desk.put(Gone(self._taken))
                with suppress(h11.LocalProtocolError):
                    self._respond(500, b"", ())
        finally:
            if feeder is not None:
                feeder.cancel()
            if self._peer is not None:
                self._peer.close()
            else:
                sock.close()
            self._gate.put(Closed(self))

    async def _feed(self) -> None:
        """Bytes go into the mailbox as they come; past a whole request only as much as one read holds."""
        while data := await self._peer.more():
            self.mail.put(data)
            if self._peer.state.trailing_data[0] and self._taken is not None:
                self._hungry.clear()
            await self._hungry.wait()
        self.mail.put(b"")

    async def _drain(self) -> None:
        """A slow reader is waited for, within its limit."""
        try:
            async with asyncio.timeout(self._limits.slow / 1000.0):
                await self._peer.writer.drain()
        except OSError:
            self._over = True

    def _patience(self) -> float | None:
        if self._taken is not None:
            return None
        limits = self._limits
        span = limits.linger if self._lingering else limits.slow if self._reading else limits.idle
        return max(0.0, self._since + span - self._clock.now())

    async def _tire(self) -> None:
        """Nothing came for too long."""
        if self._reading and not self._lingering:
            self._reject(408, "the request took too long")
            await self._drain()
        elif self._lingering or await self._quiet():
            self._over = True

    async def _quiet(self) -> bool:
        """Whether nothing has come: in the kernel, with the feeder, or in the mailbox."""
        await asyncio.sleep(0)  # the feeder's turn
        return self.mail.empty() and not self._peer.unread()

    def _hear(self, message: object) -> None:
        if isinstance(message, bytes):
            self._bytes(message)
        elif isinstance(message, ANSWERS):
            self._answer(message)
        elif isinstance(message, Leave):
            self._leaving = True
        elif isinstance(message, Shut):
            self._asked = True
        elif isinstance(message, Cut) and self._reading and self._taken is None and not self._lingering:
            self._reject(408, "others wait")

    def _resting(self) -> bool:
        return self._taken is None and not self._reading

    def _bytes(self, data: bytes) -> None:
        if not data and self._taken is not None:
            self._desk.put(Gone(self._taken))
            self._taken, self._over = None, True
        elif not data:
            self._over = True
        elif not self._lingering:
            if self._resting():
                self._reading, self._since = True, self._clock.now()
                self._gate.put(Busy(self))
            self._peer.state.receive_data(data)
            self._advance()

    def _advance(self) -> None:
        """Read on to the end of one request."""
        state = self._peer.state
        try:
            while self._taken is None and not self._lingering and not self._over:
                event = state.next_event()
                if isinstance(event, h11.Request):
                    self._head, self._body = event, bytearray()
                    self._one_reading(event)
                    if int(dict(event.headers).get(b"content-length", b"0")) > self._limits.body:
                        raise Malformed(413, "the body is too long")
                    if state.they_are_waiting_for_100_continue:
                        self._peer.write(h11.InformationalResponse(status_code=100, headers=[]))
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > self._limits.body:
                        raise Malformed(413, "the body is too long")
                elif isinstance(event, h11.EndOfMessage):
                    self._dispatch()
                else:
                    return
        except h11.RemoteProtocolError as problem:
            self._reject(problem.error_status_hint, str(problem))
        except Malformed as problem:
            self._reject(problem.status, str(problem))

    def _one_reading(self, head: h11.Request) -> None:
        """The head has one meaning to every reader, or goes no further."""
        names = [name for name, _ in head.headers]
        # Both say where the body ends: by one of them a whole other request stood inside it, and went on.
        if wire.CODING in names and (wire.LENGTH in names or head.http_version < b"1.1"):
            raise Malformed(400, "two lengths")
        if any(names.count(name) > 1 for name in wire.ONCE):
            raise Malformed(400, "a header twice")

    def _dispatch(self) -> None:
        path = self._head.target.partition(b"?")[0]
        try:
            if path == wire.READY:
                if self._head.method not in (b"GET", b"HEAD"):
                    raise Malformed(405, "method")
                self._respond(503 if self._leaving else 200, b"", ())
            elif path != wire.JOB_PATH and not path.startswith(wire.JOB_PATH + b"/"):
                raise Malformed(404, "no such path")
            elif self._head.method != wire.JOB_METHOD:
                raise Malformed(405, "method")
            else:
                self._take()
        except Malformed as problem:
            self._log.say("bad_request", status=problem.status, why=str(problem))
            self._respond(problem.status, str(problem).encode(), ())

    def _take(self) -> None:
        """A whole request: from here on one answer is owed."""
        now, head = self._clock.now(), self._head
        told = dict(head.headers)
        if not (name := told.get(wire.ID, b"")) or len(name) > 256:
            raise Malformed(400, "no sensible id")
        scheme = told.get(wire.SCHEME, b"").decode("latin-1")
        if scheme not in self._charter.schemes:
            raise Malformed(400, "unknown class")
        if (left := wire.time_left(told.get(wire.TIME_LEFT, b""))) is None:
            raise Malformed(400, "no sensible time left")
        pass_on = [pair for pair in head.headers.raw_items() if pair[0].lower() not in wire.OWN_HEADERS]
        request = Request(self.mail, head.method, head.target, pass_on, bytes(self._body))
        facts = wire.pairs(told.get(wire.FACTS, b""))
        request.id, request.scheme = name, self._charter.schemes.index(scheme)
        request.expiry = now + left - self._limits.way
        request.slots, request.memory = facts.get("slots", 1.0) or 1.0, facts.get("mem_needed", 0.0)
        if self._log.each_txn:
            self._log.say("took", id=name, scheme=scheme, left=left, facts=facts, target=head.target)
        self._taken = request
        self._gate.put(Whole(self))
        self._desk.put(request)

    def _answer(self, message: Settle | Refuse | Fail | Clash) -> None:
        """The desk's word on what was taken, and on nothing else that came on this connection."""
        if message.request is not self._taken:
            return
        self._taken = None
        match message:
            case Settle(_, result):
                self._respond(wire.SETTLED, result, ())
            case Refuse(_, pause):
                advice = ((wire.PAUSE, b"%.3f" % (pause / 1000.0)),) if pause > 0.0 else ()
                self._respond(wire.DECLINED, b"", advice)
            case Fail():
                self._respond(wire.REVERSED, b"", ())
            case Clash():
                self._respond(wire.CLASH, b"", ())
        self._hungry.set()
        self._advance()

    def _respond(self, status: int, body: bytes, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        """Write one whole answer, and be ready for the next request."""
        peer, more = self._peer, list(headers)
        if self._leaving or self._lingering or self._asked:
            more.append((b"connection", b"close"))
        more.append((b"content-length", b"%d" % len(body)))
        bare = self._head is not None and self._head.method == b"HEAD"
        data = () if bare else (h11.Data(data=body),)
        reason = HTTPStatus(status).phrase.encode()
        peer.write(h11.Response(status_code=status, headers=more, reason=reason), *data, h11.EndOfMessage())
        self._reading, self._since, self._head = False, self._clock.now(), None
        if self._lingering:
            return
        if peer.next_cycle():
            if peer.state.trailing_data[0]:
                self._reading = True
            else:
                self._gate.put(Resting(self))
        else:
            self._over = True

    def _reject(self, status: int, why: str) -> None:
        """The framing is lost or the request cut short: answer, then read on a little and close."""
        self._log.say("bad_request", status=status, why=why)
        self._lingering, self._since = True, self._clock.now()
        if self._peer.state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._respond(status, why.encode(), ())
        self._peer.writer.write_eof()


class Gate:
    """Accepts connections within the limit, and closes the door at the end."""

    def __init__(
        self, listener: socket.socket, desk: Mailbox, clock: Clock, limits: Limits, charter: Charter, log: Log
    ) -> None:
        self.mail, self.desk, self.clock = Mailbox(), desk, clock
        self.limits, self.charter, self.log = limits, charter, log
        self._listener = listener
        self._clients: dict[Client, asyncio.Task] = {}
        self._resting: dict[Client, None] = {}
        self._reading: dict[Client, float] = {}  # with a request that has begun to come, since when
        self._space = asyncio.Event()
        self._space.set()
        self._shut_at = 0.0

    async def run(self) -> None:
        """Until asked to leave and the last client has its answer."""
        acceptor = asyncio.create_task(self._accept())
        while not (self._shut_at and acceptor.done() and self.mail.empty()) or self._clients:
            leaving = self._shut_at > 0.0 and not acceptor.done()
            within = max(0.0, self._shut_at - self.clock.now()) if leaving else None
            if not self._space.is_set() and self._reading:
                within = min(within or self.limits.hurry, self.limits.hurry)
            for message in await self.mail.take(within):
                self._hear(message)
            self._make_room()
            if self._shut_at and self.clock.now() >= self._shut_at and not acceptor.done():
                acceptor.cancel()
                await asyncio.wait([acceptor])
                self._close()

    def _hear(self, message: object) -> None:
        match message:
            case socket.socket():
                client = Client(self, leaving=self._shut_at > 0.0)
                self._clients[client] = asyncio.create_task(client.run(message))
                self._resting[client] = None
                self._shut(client)
            case Busy(client):
                self._resting.pop(client, None)
                self._reading[client] = self.clock.now()
            case Whole(client):
                self._reading.pop(client, None)
            case Resting(client):
                self._reading.pop(client, None)
                self._resting[client] = None
                self._shut(client)
            case Closed(client):
                self._resting.pop(client, None)
                self._reading.pop(client, None)
                self._clients.pop(client, None)
            case Renew(limits, _):
                self.limits = limits
            case Leave() if not self._shut_at:
                self.log.say("leaving", connections=len(self._clients))
                self._shut_at = self.clock.now() + self.limits.leave
                for client in self._clients:
                    client.mail.put(Leave())

    def _make_room(self) -> None:
        """At the limit idle connections go first, then slow senders; then new ones wait in the backlog.

        A whole request in the backlog counts as taken: behind slow senders it waited past its time.
        """
        over = len(self._clients) + 1 - self.limits.clients
        if over <= 0:
            self._space.set()
            return
        self._space.clear()
        for client in list(self._resting)[:over]:
            del self._resting[client]
            client.mail.put(Shut())
            over -= 1
        late = self.clock.now() - self.limits.hurry
        for client in [client for client, since in self._reading.items() if since <= late][:over]:
            del self._reading[client]
            client.mail.put(Cut())

    def _shut(self, client: Client) -> None:
        """Past the time to leave nothing more is awaited on a resting connection."""
        if self._shut_at and self.clock.now() >= self._shut_at:
            client.mail.put(Shut())

    async def _accept(self) -> None:
        loop, accepted = asyncio.get_running_loop(), 0
        while True:
            await self._space.wait()
            try:
                sock, _ = await loop.sock_accept(self._listener)
            except OSError as problem:  # out of descriptors: what is open goes on, and frees some
                self.log.say("accept_failed", problem=repr(problem))
                await asyncio.sleep(0.05)
                continue
            self._admit(sock)
            accepted += 1
            if accepted % 16 == 0:
                await asyncio.sleep(0)

    def _admit(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.mail.put(sock)
        if len(self._clients) + 16 >= self.limits.clients:
            self._space.clear()

    def _close(self) -> None:
        """Take what still lies in the accept queue, then close the door."""
        while True:
            try:
                self._admit(self._listener.accept()[0])
            except OSError:
                break
        self._listener.close()
        for client in self._resting:
            client.mail.put(Shut())


# To the gate from a client. None is a kind of another: a closed one taken for a resting one was never let go.


class Resting(NamedTuple):
    client: Client


class Busy(NamedTuple):
    """A request has begun to come."""

    client: Client


class Whole(NamedTuple):
    """A request has come whole."""

    client: Client


class Closed(NamedTuple):
    """The connection is gone."""

    client: Client
