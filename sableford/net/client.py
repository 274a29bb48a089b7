"""The actor of one client connection.

It reads each request completely, validates its form and answers it once on the same connection. Only the
dispatcher's replies are answered with 429 or 503. The connection is not closed over unread bytes, and a body
that will be rejected is not stored.
"""

import asyncio
import socket
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from sableford.net import wire
from sableford.net.acceptor_messages import (
    BodyReservation,
    Closed,
    Idle,
    Lingering,
    RequestComplete,
    RequestRejected,
    RequestStarted,
)
from sableford.net.http import HttpConnection, admit
from sableford.net.messages import (
    BodyGrant,
    ClientGone,
    CloseIfIdle,
    CloseIfIncomplete,
    DuplicateId,
    Fail,
    Mailbox,
    Refuse,
    Request,
    SettingsChanged,
    Settle,
    Shutdown,
)

if TYPE_CHECKING:
    from sableford.net.acceptor import Acceptor

ANSWERS = (Settle, Refuse, Fail, DuplicateId)


class InvalidRequest(Exception):
    """The request is rejected with a plain status and a reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Client:
    """One connection: idle between requests, waiting for the dispatcher while one is in flight."""

    def __init__(self, acceptor: "Acceptor", stopped_at: float) -> None:
        self.mailbox = Mailbox()
        self._acceptor, self._dispatcher = acceptor.mailbox, acceptor.dispatcher
        self._clock, self._limits = acceptor.clock, acceptor.limits
        self._settings, self._log, self._stopped_at = acceptor.settings, acceptor.log, stopped_at
        self._other_serving = acceptor.other_serving
        self._connection: HttpConnection | None = None
        self._head: h11.Request | None = None
        # Of a request with valid framing, whose body is skipped.
        self._rejection: InvalidRequest | None = None
        self._body, self._size = bytearray(), 0
        # Start of the connection, of being idle, of the current request, or of lingering.
        self._state_since = self._clock.now()
        self._opened_at = self._state_since
        self._served = False  # a txn on this connection was answered
        self._request: Request | None = None
        self._reading = self._lingering = self._closed = False
        self._close_requested = self._awaiting_body_grant = self._grace_used = False
        self._resume_at, self._discarded = 0.0, 0
        self._wants_data = asyncio.Event()

    async def run(self, sock: socket.socket) -> None:
        reader = None
        try:
            self._connection = await admit(sock, self._limits)
            reader = asyncio.create_task(self._read_loop())
            while not self._closed:
                messages = await self.mailbox.take(self._timeout())
                if not messages:
                    await self._handle_timeout()
                for message in messages:
                    if not self._closed:
                        self._handle(message)
                        await self._drain()
                # Between requests, bytes that were read but not parsed yet may belong to the next request.
                if self._close_requested and self._is_idle() and await self._nothing_unread():
                    self._closed = True
        except Exception as problem:
            self._log.event("client_failed", problem=repr(problem))
            if self._request is not None and self._connection is not None:
                self._dispatcher.put(ClientGone(self._request))
                with suppress(h11.LocalProtocolError):
                    self._respond(500, b"", ())
        finally:
            if reader is not None:
                reader.cancel()
            if self._connection is not None:
                self._connection.close()
            else:
                sock.close()
            if self._log.each_txn:
                facts = {"proved": self._served, "asked": self._close_requested, "lingering": self._lingering}
                self._log.event("closed", age=round(self._clock.now() - self._opened_at), **facts)
            self._acceptor.put(Closed(self))

    async def _read_loop(self) -> None:
        """Puts bytes into the mailbox one read at a time, the next once the last is consumed."""
        while data := await self._connection.read_chunk():
            self._wants_data.clear()
            self.mailbox.put(data)
            await self._wants_data.wait()
        self.mailbox.put(b"")

    def _resume_reading(self) -> None:
        """Allows the next read, unless enough is buffered beyond the request or discarded after the last."""
        pending = self._connection.state.trailing_data[0]
        if self._lingering:
            buffer_full = self._discarded > self._limits.max_discarded
        else:
            buffer_full = self._awaiting_body_grant or (
                pending and (self._request is not None or self._resume_at > 0.0)
            )
        if not buffer_full:
            self._wants_data.set()

    async def _drain(self) -> None:
        """Waits for a slow client to read, within the transfer limit."""
        try:
            async with asyncio.timeout(self._limits.transfer / 1000.0):
                await self._connection.writer.drain()
        except OSError:
            self._closed = True

    def _timeout(self) -> float | None:
        if self._request is not None:
            return None
        return max(0.0, (self._resume_at or self._state_since + self._state_timeout()) - self._clock.now())

    def _state_timeout(self) -> float:
        """Maximum time in the current state; before a txn was served, counted from the connection's start."""
        limits = self._limits
        if self._lingering:
            return limits.linger
        if not self._served:
            return limits.first_request
        return limits.transfer if self._reading else limits.client_idle

    async def _handle_timeout(self) -> None:
        """The state's time is over, or the pause after a rejection."""
        if self._resume_at:
            self._resume_at = 0.0
            self._advance()
        elif self._lingering:
            self._closed = True
        elif not await self._nothing_unread() and not self._grace_used:
            # Unread bytes in the kernel may be the rest of the request: they are read first.
            self._grace_used, self._state_since = True, self._state_since + self._limits.transfer_when_full
        elif self._reading:
            self._reject(408, "too slow")
            await self._drain()
        else:
            self._closed = True
        if not self._closed:
            self._resume_reading()

    async def _nothing_unread(self) -> bool:
        """Whether no bytes wait in the kernel, the reader task or the mailbox."""
        await asyncio.sleep(0)  # lets the reader task run
        return self.mailbox.empty() and not self._connection.has_unread()

    def _handle(self, message: object) -> None:
        if isinstance(message, bytes):
            self._receive(message)
        elif isinstance(message, ANSWERS):
            self._answer(message)
        elif isinstance(message, BodyGrant):
            self._awaiting_body_grant = False
            if message.granted:
                self._advance()
            else:
                self._reject(507, "no room for the body")
        elif isinstance(message, Shutdown):
            self._stopped_at, self._other_serving = message.requested_at, message.other_serving
        elif isinstance(message, SettingsChanged):
            self._settings = message.settings
        elif isinstance(message, CloseIfIdle):
            self._close_requested = True
        elif isinstance(message, CloseIfIncomplete) and self._request is None:
            if self._lingering:
                self._closed = True
            elif self._reading:
                self._reject(408, "others wait")
        if not self._closed:
            self._resume_reading()

    def _is_idle(self) -> bool:
        return self._request is None and not self._reading

    def _receive(self, data: bytes) -> None:
        if not data:
            if self._request is not None:
                self._dispatcher.put(ClientGone(self._request))
            self._request, self._closed = None, True
        elif self._lingering:
            self._discarded += len(data)
        else:
            if self._is_idle():
                self._request_started()
            self._connection.state.receive_data(data)
            if not self._resume_at and not self._awaiting_body_grant:
                self._advance()

    def _request_started(self) -> None:
        """Records that the first bytes of a request arrived."""
        self._reading = True
        # The first request's time counts from the connection's start: slow sending does not extend it.
        if self._served:
            self._state_since, self._grace_used = self._clock.now(), False
        self._acceptor.put(RequestStarted(self))

    def _advance(self) -> None:
        """Parses buffered bytes up to the end of one request."""
        state = self._connection.state
        try:
            while not (
                self._request
                or self._lingering
                or self._closed
                or self._awaiting_body_grant
                or self._resume_at
            ):
                event = state.next_event()
                if isinstance(event, h11.Request):
                    self._check_head(event)
                elif isinstance(event, h11.Data):
                    self._size += len(event.data)
                    if self._size > self._limits.max_body:
                        raise InvalidRequest(413, "the body is too long")
                    if self._rejection is None:
                        self._body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self._dispatch()
                else:
                    return
        except h11.RemoteProtocolError as problem:
            reasons = {431: "the head is too long", 501: "unknown coding"}
            self._reject(problem.error_status_hint, reasons.get(problem.error_status_hint, "can't be read"))
        except InvalidRequest as problem:
            self._reject(problem.status, problem.reason)

    def _check_head(self, head: h11.Request) -> None:
        """Validates the head before any of the body is stored."""
        if not self._reading:  # it arrived in the same read as the previous one
            self._request_started()
        self._head, self._body, self._size, self._rejection = head, bytearray(), 0, None
        names = [name for name, _ in head.headers]
        # Request smuggling: with two framing headers a second request could be hidden in the body.
        if wire.CODING in names and (wire.LENGTH in names or head.http_version < b"1.1"):
            raise InvalidRequest(400, "two lengths")
        if any(names.count(name) > 1 for name in wire.SINGLE_HEADERS):
            raise InvalidRequest(400, "a header twice")
        request_headers = dict(head.headers)
        size = int(request_headers.get(wire.LENGTH, b"0"))
        if size > self._limits.max_body:
            raise InvalidRequest(413, "the body is too long")
        try:
            self._validate(head.method, head.target.partition(b"?")[0], request_headers)
        except InvalidRequest as problem:
            self._rejection = problem
        if self._connection.state.they_are_waiting_for_100_continue:
            if self._rejection is not None:
                raise self._rejection
            self._connection.write(h11.InformationalResponse(status_code=100, headers=[]))
        max_size = self._limits.max_body if wire.CODING in names else size
        if self._rejection is None and max_size > self._limits.small_body:
            self._awaiting_body_grant = True
            self._acceptor.put(BodyReservation(self, max_size))

    def _validate(self, method: bytes, path: bytes, request_headers: dict[bytes, bytes]) -> None:
        """Raises InvalidRequest if method, path or headers are not acceptable."""
        if path == wire.READY:
            if method not in (b"GET", b"HEAD"):
                raise InvalidRequest(405, "method")
            return
        if path != wire.JOB_PATH and not path.startswith(wire.JOB_PATH + b"/"):
            raise InvalidRequest(404, "no such path")
        if method != wire.JOB_METHOD:
            raise InvalidRequest(405, "method")
        if not wire.is_valid_id(request_headers.get(wire.ID, b"")):
            raise InvalidRequest(400, "no sensible id")
        if request_headers.get(wire.SCHEME, b"").decode("latin-1") not in self._settings.accepted_schemes:
            raise InvalidRequest(400, "unknown class")
        time_left = wire.parse_time_left(request_headers.get(wire.TIME_LEFT, b""))
        if time_left is None or not 0.0 < time_left <= self._limits.max_time_left:
            raise InvalidRequest(400, "no sensible time left")

    def _dispatch(self) -> None:
        if self._rejection is not None:
            self._refuse(self._rejection.status, self._rejection.reason)
        elif self._head.target.partition(b"?")[0] == wire.READY:
            if self._log.each_txn:
                self._log.event("ready", leaving=bool(self._stopped_at))
            self._respond(503 if self._stopped_at else 200, b"", ())
        else:
            self._submit()

    def _refuse(self, status: int, reason: str) -> None:
        """Answers a plain 4xx if the framing is valid; closes connections that never send a valid request."""
        now, limits = self._clock.now(), self._limits
        self._close_requested |= not self._served and now >= self._state_since + limits.first_request
        # Clients that resend a rejected request at once used up the CPU.
        self._resume_at = now + limits.rejection_pause
        self._acceptor.put(RequestRejected(status, reason))
        self._respond(status, reason.encode(), ())

    def _submit(self) -> None:
        """Passes a complete request to the dispatcher, which owes one answer to it."""
        now, head = self._clock.now(), self._head
        request_headers = dict(head.headers)
        scheme, time_left = (
            request_headers[wire.SCHEME].decode("latin-1"),
            wire.parse_time_left(request_headers[wire.TIME_LEFT]),
        )
        forwarded = wire.forwarded_headers(head.headers.raw_items())
        request = Request(self.mailbox, head.method, head.target, forwarded, bytes(self._body))
        self._body = bytearray()
        request.id, request.scheme = request_headers[wire.ID], self._settings.schemes.index(scheme)
        request.expiry = now + time_left - self._limits.network_allowance
        if self._stopped_at and now > self._stopped_at + self._limits.accept_after_stop:
            # Clients keep using open connections: late requests must be answered before the kill.
            request.expiry = min(request.expiry, self._stopped_at + self._limits.answer_after_stop)
        request.slots, request.work = wire.parse_facts(request_headers.get(wire.FACTS, b""))
        if self._log.each_txn:
            self._log.event("took", id=request.id, scheme=scheme, left=time_left, target=head.target)
        self._request = request
        self._acceptor.put(RequestComplete(self))
        self._dispatcher.put(request)

    def _answer(self, message: Settle | Refuse | Fail | DuplicateId) -> None:
        """Sends the dispatcher's answer, if it is for the request in flight."""
        if message.request is not self._request:
            return
        self._request, self._served = None, self._served or not isinstance(message, DuplicateId)
        match message:
            case Settle(_, result):
                self._respond(wire.SETTLED, result, ())
            case Refuse(_, pause):
                retry_after = ((wire.PAUSE, b"%.3f" % (pause / 1000.0)),) if pause > 0.0 else ()
                self._respond(wire.DECLINED, b"", retry_after)
            case Fail():
                self._respond(wire.REVERSED, b"", ())
            case DuplicateId():
                self._refuse(wire.CLASH, "an id under way")
        if not self._resume_at:
            self._advance()

    def _respond(self, status: int, body: bytes, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        """Writes one response and prepares for the next request."""
        connection, headers_out = self._connection, list(headers)
        # If another process serves, the client can reconnect there at once.
        drain_time = 0.0 if self._other_serving else self._limits.serve_after_stop
        closing = self._stopped_at and self._clock.now() >= self._stopped_at + drain_time
        if closing or self._lingering or self._close_requested:
            headers_out.append((b"connection", b"close"))
        headers_out.append((b"content-length", b"%d" % len(body)))
        omit_body = self._head is not None and self._head.method == b"HEAD"
        data = () if omit_body else (h11.Data(data=body),)
        reason = HTTPStatus(status).phrase.encode()
        connection.write(
            h11.Response(status_code=status, headers=headers_out, reason=reason), *data, h11.EndOfMessage()
        )
        self._reading, self._head, self._body = False, None, bytearray()
        if self._served:
            self._state_since, self._grace_used = self._clock.now(), False
        if self._lingering:
            return
        if connection.next_cycle():
            self._acceptor.put(Idle(self, self._served))
        elif connection.state.trailing_data[0] or connection.has_unread():
            self._linger()  # a reset over unread bytes would overtake the response
        else:
            self._closed = True

    def _reject(self, status: int, reason: str) -> None:
        """Answers a request with lost framing or cut short, reads on for a moment and closes."""
        self._acceptor.put(RequestRejected(status, reason))
        self._lingering = True
        if self._connection.state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._respond(status, reason.encode(), ())
        self._linger()

    def _linger(self) -> None:
        self._lingering, self._awaiting_body_grant = True, False
        self._state_since, self._resume_at = self._clock.now(), 0.0
        self._body = bytearray()
        self._acceptor.put(Lingering(self))
        with suppress(OSError):  # the client may have disconnected
            self._connection.writer.write_eof()
