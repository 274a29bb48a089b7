"""One connection from a client, an actor of its own.

It owns that a request is read whole, checked for form and answered once on the connection it came on. It must
never answer 429 or 503 of its own accord, which are words of the desk, nor close over bytes that lie unread,
nor store what it is going to refuse.
"""

import asyncio
import socket
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from sableford.net import wire
from sableford.net.gate_messages import Busy, Closed, Lingering, Resting, Turned, Want, Whole
from sableford.net.http import Peer, admit
from sableford.net.mail import (
    Amend,
    Clash,
    Cut,
    Fail,
    Gone,
    Leave,
    Mailbox,
    Refuse,
    Request,
    Room,
    Settle,
    Shut,
)

if TYPE_CHECKING:
    from sableford.net.gate import Gate

ANSWERS = (Settle, Refuse, Fail, Clash)


class Malformed(Exception):
    """The request can't be taken: a plain status and why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class Client:
    """One connection. Between requests it rests; with one taken it waits for the desk's answer."""

    def __init__(self, gate: "Gate", left_at: float) -> None:
        self.mail = Mailbox()
        self._gate, self._desk, self._clock, self._limits = gate.mail, gate.desk, gate.clock, gate.limits
        self._charter, self._log, self._left_at = gate.charter, gate.log, left_at
        self._beside = gate.beside
        self._peer: Peer | None = None
        self._head: h11.Request | None = None
        self._fault: Malformed | None = None  # of a request whose framing is sound: it is read past
        self._body, self._size = bytearray(), 0
        self._since = self._clock.now()  # of the opening, the rest, a request's first byte, or the lingering
        self._opened = self._since
        self._proved = False  # a txn that came on it was answered
        self._taken: Request | None = None
        self._reading = self._lingering = self._asked = self._over = self._waits = self._graced = False
        self._resume_at, self._soaked = 0.0, 0
        self._hungry = asyncio.Event()

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
            if self._log.each_txn:
                facts = {"proved": self._proved, "asked": self._asked, "lingering": self._lingering}
                self._log.say("closed", age=round(self._clock.now() - self._opened), **facts)
            self._gate.put(Closed(self))

    async def _feed(self) -> None:
        """Bytes go into the mailbox one read at a time, the next when the last was used up."""
        while data := await self._peer.more():
            self._hungry.clear()
            self.mail.put(data)
            await self._hungry.wait()
        self.mail.put(b"")

    def _feed_on(self) -> None:
        """Read on: past a whole request as much as one read holds, after the last word its limit."""
        pending = self._peer.state.trailing_data[0]
        if self._lingering:
            enough = self._soaked > self._limits.soak
        else:
            enough = self._waits or (pending and (self._taken is not None or self._resume_at > 0.0))
        if not enough:
            self._hungry.set()

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
        return max(0.0, (self._resume_at or self._since + self._span()) - self._clock.now())

    def _span(self) -> float:
        """How long it may stay as it is; until something was served, from the connection's start on."""
        limits = self._limits
        if self._lingering:
            return limits.linger
        if not self._proved:
            return limits.opening
        return limits.slow if self._reading else limits.idle

    async def _tire(self) -> None:
        """Nothing came for too long, or the pause after a refusal is over."""
        if self._resume_at:
            self._resume_at = 0.0
            self._advance()
        elif self._lingering:
            self._over = True
        elif not await self._quiet() and not self._graced:
            # What lay in the kernel as the time was up may be the rest of the request: it is read first.
            self._graced, self._since = True, self._since + self._limits.hurry
        elif self._reading:
            self._reject(408, "too slow")
            await self._drain()
        else:
            self._over = True
        if not self._over:
            self._feed_on()

    async def _quiet(self) -> bool:
        """Whether nothing has come: in the kernel, with the feeder, or in the mailbox."""
        await asyncio.sleep(0)  # the feeder's turn
        return self.mail.empty() and not self._peer.unread()

    def _hear(self, message: object) -> None:
        if isinstance(message, bytes):
            self._bytes(message)
        elif isinstance(message, ANSWERS):
            self._answer(message)
        elif isinstance(message, Room):
            self._waits = False
            if message.granted:
                self._advance()
            else:
                self._reject(507, "no room for the body")
        elif isinstance(message, Leave):
            self._left_at, self._beside = message.at, message.beside
        elif isinstance(message, Amend):
            self._charter = message.charter
        elif isinstance(message, Shut):
            self._asked = True
        elif isinstance(message, Cut) and self._taken is None:
            if self._lingering:
                self._over = True
            elif self._reading:
                self._reject(408, "others wait")
        if not self._over:
            self._feed_on()

    def _resting(self) -> bool:
        return self._taken is None and not self._reading

    def _bytes(self, data: bytes) -> None:
        if not data:
            if self._taken is not None:
                self._desk.put(Gone(self._taken))
            self._taken, self._over = None, True
        elif self._lingering:
            self._soaked += len(data)
        else:
            if self._resting():
                self._begin()
            self._peer.state.receive_data(data)
            if not self._resume_at and not self._waits:
                self._advance()

    def _begin(self) -> None:
        """A request has begun to come."""
        self._reading = True
        if (
            self._proved
        ):  # the first one's time counts from the connection's start: dripping stretches nothing
            self._since, self._graced = self._clock.now(), False
        self._gate.put(Busy(self))

    def _advance(self) -> None:
        """Read on to the end of one request."""
        state = self._peer.state
        try:
            while not (self._taken or self._lingering or self._over or self._waits or self._resume_at):
                event = state.next_event()
                if isinstance(event, h11.Request):
                    self._open(event)
                elif isinstance(event, h11.Data):
                    self._size += len(event.data)
                    if self._size > self._limits.body:
                        raise Malformed(413, "the body is too long")
                    if self._fault is None:
                        self._body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self._dispatch()
                else:
                    return
        except h11.RemoteProtocolError as problem:
            told = {431: "the head is too long", 501: "unknown coding"}
            self._reject(problem.error_status_hint, told.get(problem.error_status_hint, "can't be read"))
        except Malformed as problem:
            self._reject(problem.status, problem.why)

    def _open(self, head: h11.Request) -> None:
        """All that the head alone tells, before any of the body is stored."""
        if not self._reading:  # it came in one read with the one before
            self._begin()
        self._head, self._body, self._size, self._fault = head, bytearray(), 0, None
        names = [name for name, _ in head.headers]
        # Both say where the body ends: by one of them a whole other request stood inside it, and went on.
        if wire.CODING in names and (wire.LENGTH in names or head.http_version < b"1.1"):
            raise Malformed(400, "two lengths")
        if any(names.count(name) > 1 for name in wire.ONCE):
            raise Malformed(400, "a header twice")
        told = dict(head.headers)
        size = int(told.get(wire.LENGTH, b"0"))
        if size > self._limits.body:
            raise Malformed(413, "the body is too long")
        try:
            self._check(head.method, head.target.partition(b"?")[0], told)
        except Malformed as problem:
            self._fault = problem
        if self._peer.state.they_are_waiting_for_100_continue:
            if self._fault is not None:
                raise self._fault
            self._peer.write(h11.InformationalResponse(status_code=100, headers=[]))
        most = self._limits.body if wire.CODING in names else size
        if self._fault is None and most > self._limits.small:
            self._waits = True
            self._gate.put(Want(self, most))

    def _check(self, method: bytes, path: bytes, told: dict[bytes, bytes]) -> None:
        """Whether a request of this form can be taken at all."""
        if path == wire.READY:
            if method not in (b"GET", b"HEAD"):
                raise Malformed(405, "method")
            return
        if path != wire.JOB_PATH and not path.startswith(wire.JOB_PATH + b"/"):
            raise Malformed(404, "no such path")
        if method != wire.JOB_METHOD:
            raise Malformed(405, "method")
        if not wire.sensible_id(told.get(wire.ID, b"")):
            raise Malformed(400, "no sensible id")
        if told.get(wire.SCHEME, b"").decode("latin-1") not in self._charter.accepted_schemes:
            raise Malformed(400, "unknown class")
        left = wire.time_left(told.get(wire.TIME_LEFT, b""))
        if left is None or not 0.0 < left <= self._limits.longest:
            raise Malformed(400, "no sensible time left")

    def _dispatch(self) -> None:
        if self._fault is not None:
            self._turn_away(self._fault.status, self._fault.why)
        elif self._head.target.partition(b"?")[0] == wire.READY:
            if self._log.each_txn:
                self._log.say("ready", leaving=bool(self._left_at))
            self._respond(503 if self._left_at else 200, b"", ())
        else:
            self._take()

    def _turn_away(self, status: int, why: str) -> None:
        """A plain 4xx where the framing is sound; who sends nothing else is closed after the opening."""
        now, limits = self._clock.now(), self._limits
        self._asked |= not self._proved and now >= self._since + limits.opening
        # Those who send the same again at once took the core from all others.
        self._resume_at = now + limits.pause
        self._gate.put(Turned(status, why))
        self._respond(status, why.encode(), ())

    def _take(self) -> None:
        """A whole request: from here on one answer is owed."""
        now, head = self._clock.now(), self._head
        told = dict(head.headers)
        scheme, left = told[wire.SCHEME].decode("latin-1"), wire.time_left(told[wire.TIME_LEFT])
        pass_on = wire.passed_on(head.headers.raw_items())
        request = Request(self.mail, head.method, head.target, pass_on, bytes(self._body))
        self._body = bytearray()
        request.id, request.scheme = told[wire.ID], self._charter.schemes.index(scheme)
        request.expiry = now + left - self._limits.way
        if self._left_at and now > self._left_at + self._limits.leave:
            # On kept connections clients go on while they may: what comes late is answered before the kill.
            request.expiry = min(request.expiry, self._left_at + self._limits.last_word)
        request.slots, request.work = wire.facts(told.get(wire.FACTS, b""))
        if self._log.each_txn:
            self._log.say("took", id=request.id, scheme=scheme, left=left, target=head.target)
        self._taken = request
        self._gate.put(Whole(self))
        self._desk.put(request)

    def _answer(self, message: Settle | Refuse | Fail | Clash) -> None:
        """The desk's word on what was taken, and on nothing else that came on this connection."""
        if message.request is not self._taken:
            return
        self._taken, self._proved = None, self._proved or not isinstance(message, Clash)
        match message:
            case Settle(_, result):
                self._respond(wire.SETTLED, result, ())
            case Refuse(_, pause):
                advice = ((wire.PAUSE, b"%.3f" % (pause / 1000.0)),) if pause > 0.0 else ()
                self._respond(wire.DECLINED, b"", advice)
            case Fail():
                self._respond(wire.REVERSED, b"", ())
            case Clash():
                self._turn_away(wire.CLASH, "an id under way")
        if not self._resume_at:
            self._advance()

    def _respond(self, status: int, body: bytes, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        """Write one whole answer, and be ready for the next request."""
        peer, more = self._peer, list(headers)
        # With another process serving, the client's next connection comes up there at once.
        stay = 0.0 if self._beside else self._limits.stay
        leaving = self._left_at and self._clock.now() >= self._left_at + stay
        if leaving or self._lingering or self._asked:
            more.append((b"connection", b"close"))
        more.append((b"content-length", b"%d" % len(body)))
        bare = self._head is not None and self._head.method == b"HEAD"
        data = () if bare else (h11.Data(data=body),)
        reason = HTTPStatus(status).phrase.encode()
        peer.write(h11.Response(status_code=status, headers=more, reason=reason), *data, h11.EndOfMessage())
        self._reading, self._head, self._body = False, None, bytearray()
        if self._proved:
            self._since, self._graced = self._clock.now(), False
        if self._lingering:
            return
        if peer.next_cycle():
            self._gate.put(Resting(self, self._proved))
        elif peer.state.trailing_data[0] or peer.unread():
            self._linger()  # a reset over what lies there would overtake the answer
        else:
            self._over = True

    def _reject(self, status: int, why: str) -> None:
        """The framing is lost or the request cut short: answer, then read on a little and close."""
        self._gate.put(Turned(status, why))
        self._lingering = True
        if self._peer.state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._respond(status, why.encode(), ())
        self._linger()

    def _linger(self) -> None:
        self._lingering, self._since, self._resume_at, self._waits = True, self._clock.now(), 0.0, False
        self._body = bytearray()
        self._gate.put(Lingering(self))
        with suppress(OSError):  # it may be gone already
            self._peer.writer.write_eof()
