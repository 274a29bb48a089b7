"""The operators' door: calls on a second address, each answered at once with one line of text.

It owns its listener and its callers. It must never wait for the desk before it answers, nor decide what
a call changes: that is the module's.
"""

import asyncio
import socket
from contextlib import suppress
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import unquote

import h11

from sableford.net.http import Peer, admit
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.mail import Asked, Clock, FleetSeen, Known, Leave, Mailbox, Rule, Ruling

GET, POST = (b"GET", b"HEAD"), (b"POST",)
HEALTH, WORKERS, FLEET, RECORD = "healthcheck", "workers", "fleet", "record"
DEEDS = {"maint": True, "ready": False}  # the last word of a call on a worker: whether it is out from then on


class Verdict(NamedTuple):
    status: int
    text: str
    rule: tuple[str, bool] | None = None
    ask: tuple[str, bool] | None = None  # a key of the record, and whether it is to be set


NO_PATH, NO_METHOD = Verdict(404, "no such path"), Verdict(405, "not by this method")
TOO_LARGE, UNREADABLE = Verdict(413, "too large"), Verdict(400, "can't be read")
NO_FLEET = Verdict(404, "this scheduler is not in a fleet")
UP, LEAVING = Verdict(200, "takes clients"), Verdict(503, "leaving")


def judge(
    method: bytes, target: bytes, known: frozenset[str], leaving: bool, fleet: bytes | None = None
) -> Verdict:
    """What one call gets. An id stands in the path percent-encoded, or as the list gives it. `fleet` is how
    it looks from here, none where there is none.

    >>> judge(b"POST", b"/workers/a%2Fb/maint", frozenset({"a/b"}), False).rule
    ('a/b', True)
    >>> judge(b"POST", b"/workers/w/ready?x=1", frozenset({"w"}), False)[:2]
    (200, 'w may serve')
    """
    path = target.partition(b"?")[0].decode("latin-1")
    match path.split("/"):
        case ["", name] if name == HEALTH:
            return NO_METHOD if method not in GET else LEAVING if leaving else UP
        case ["", first, raw, word] if first == WORKERS and word in DEEDS:
            if method not in POST:
                return NO_METHOD
            worker = next((name for name in (unquote(raw), raw) if name in known), None)
            if worker is None:
                return Verdict(404, "no such worker")
            out = DEEDS[word]
            return Verdict(200, f"{worker} {'is out' if out else 'may serve'}", (worker, out))
        case ["", name] if name == FLEET:
            return (
                NO_FLEET
                if fleet is None
                else NO_METHOD
                if method not in GET
                else Verdict(200, fleet.decode())
            )
        case ["", first, raw] if first == RECORD and raw:
            return NO_FLEET if fleet is None else Verdict(200, "", ask=(unquote(raw), method in POST))
    return NO_PATH


class Console:
    """Accepts callers; with too many the one that has been there longest without an answer goes."""

    def __init__(
        self,
        mail: Mailbox,
        handover: Mailbox,
        clock: Clock,
        limits: Limits,
        log: Log,
        fleet: Mailbox | None = None,
    ) -> None:
        self.mail = mail
        self._fleet, self._picture = fleet, b"{}" if fleet is not None else None
        self._handover, self._clock, self._limits, self._log = handover, clock, limits, log
        self._listener: socket.socket | None = None
        self._known: frozenset[str] = frozenset()
        self._leaving = False
        self._callers: dict[asyncio.Task, None] = {}  # the oldest first

    def open(self, listener: socket.socket) -> None:
        self._listener = listener

    async def run(self) -> None:
        acceptor = asyncio.create_task(self._accept()) if self._listener is not None else None
        try:
            while True:
                for message in await self.mail.take():
                    match message:
                        case Known(workers):
                            self._known = workers
                        case FleetSeen(text):
                            self._picture = text
                        case Leave():
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
                self._log.say("accept_failed", problem=repr(problem))
                await asyncio.sleep(0.05)
                continue
            # Callers that say nothing stood where the next one had to: the oldest makes room, never the new.
            if len(self._callers) >= self._limits.callers:
                oldest = next(iter(self._callers))
                del self._callers[oldest]
                oldest.cancel()
                await asyncio.wait([oldest])
            sock.setblocking(False)
            task = asyncio.create_task(self._serve(sock))
            self._callers[task] = None
            task.add_done_callback(lambda done: self._callers.pop(done, None))

    async def _serve(self, sock: socket.socket) -> None:
        """One caller, from its connecting to the close."""
        peer = None
        try:
            async with asyncio.timeout(self._limits.call_in / 1000.0):
                peer = await admit(sock, self._limits)
                if (heard := await self._hear(peer)) is not None:
                    await self._answer(peer, *heard)
                # Closed over bytes that lie unread, a reset would overtake the answer.
                read = 0
                while (data := await peer.more()) and read < self._limits.soak:
                    read += len(data)
        except (OSError, h11.ProtocolError):  # too slow, or gone
            pass
        except Exception as problem:
            self._log.say("caller_failed", problem=repr(problem))
        finally:
            if peer is not None:
                peer.close()
            else:
                sock.close()

    async def _hear(self, peer: Peer) -> tuple[Verdict, bool, bytes] | None:
        """One whole call's verdict, whether no body is wanted, and the call's; none where the caller ends
        without one."""
        head, body = None, bytearray()
        try:
            while not isinstance(event := await peer.event(), h11.EndOfMessage):
                if isinstance(event, h11.ConnectionClosed):
                    return None
                if isinstance(event, h11.Request):
                    head = event
                    if peer.state.they_are_waiting_for_100_continue:
                        peer.write(h11.InformationalResponse(status_code=100, headers=[]))
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > self._limits.call_size:
                        return TOO_LARGE, False, b""
        except h11.RemoteProtocolError as problem:
            return (TOO_LARGE if problem.error_status_hint == 431 else UNREADABLE), False, b""
        verdict = judge(head.method, head.target, self._known, self._leaving, self._picture)
        return verdict, head.method == b"HEAD", bytes(body)

    async def _agree(self, key: str, value: bytes | None) -> Verdict:
        """A call on the record: no is sure where it says so; nothing in time may be agreed on yet."""
        reply = Mailbox()
        self._fleet.put(Asked(key, value, reply))
        answer = await reply.take(self._limits.agreed)
        if not answer:
            return Verdict(503, "not agreed on in time; it may be yet")
        yes, index, what = answer[0]
        if not yes:
            return Verdict(409, f"no: {what}")
        if value is not None:
            return Verdict(200, f"entry {index}")
        return (
            Verdict(200, what.decode("utf-8", "replace")) if what is not None else Verdict(404, "no such key")
        )

    async def _answer(self, peer: Peer, verdict: Verdict, bare: bool, sent: bytes) -> None:
        if verdict.ask is not None:
            key, sets = verdict.ask
            verdict = await self._agree(key, sent if sets else None)
        text = verdict.text
        if verdict.rule is not None:  # written before the yes: a kill right after it ends no ban
            reply = Mailbox()
            self._handover.put_first(Ruling(Rule(*verdict.rule, self._clock.now()), reply))
            if await reply.take(self._limits.written) != [True]:  # in force here, and the caller can know
                text += "; not written yet, another process or a restart does not know"
        body = text.encode() + b"\n"
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
        ]
        reason = HTTPStatus(verdict.status).phrase.encode()
        answer = h11.Response(status_code=verdict.status, headers=headers, reason=reason)
        peer.write(answer, *(() if bare else (h11.Data(data=body),)), h11.EndOfMessage())
        with suppress(OSError):
            await peer.writer.drain()
            peer.writer.write_eof()
