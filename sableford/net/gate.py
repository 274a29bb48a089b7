"""The gate: it accepts connections from clients, and ends those that have to go.

It owns which connections go when room is short, and the order in which they end with the process. It must
never read what a client sends.
"""

import asyncio
import socket
from collections import Counter

from sableford.intake.scheduler_settings import SchedulerSettings
from sableford.net.client import Client
from sableford.net.gate_messages import Busy, Closed, Lingering, Resting, Turned, Want, Whole
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.mail import Amend, Beside, Clock, Cut, Leave, Mailbox, Renew, Room, Shut


class Gate:
    """Accepts connections within the limit, makes room in it, and closes the door at the end."""

    def __init__(
        self,
        listener: socket.socket,
        desk: Mailbox,
        clock: Clock,
        limits: Limits,
        charter: SchedulerSettings,
        log: Log,
    ) -> None:
        self.mail, self.desk, self.clock = Mailbox(), desk, clock
        self.limits, self.charter, self.log = limits, charter, log
        self._listener = listener
        self._clients: dict[Client, asyncio.Task] = {}
        # By what each has done, since when; in every one the oldest stands first.
        self._silent: dict[Client, float] = {}  # connected, nothing came
        self._reading: dict[Client, float] = {}  # a request has begun to come
        self._idlers: dict[Client, float] = {}  # answered, but brought no txn yet
        self._resting: dict[Client, float] = {}  # between two txns
        self._lingering: dict[Client, float] = {}  # has its last answer
        self._ending: set[Client] = set()  # told to close
        self._bodies: dict[Client, int] = {}  # bytes granted
        self._turned: Counter[str] = Counter()
        self._told_at = 0.0
        self._space = asyncio.Event()
        self._space.set()
        self._left_at, self._open, self.beside = 0.0, True, False

    async def run(self) -> None:
        """Until asked to leave and the last client has its answer."""
        acceptor = asyncio.create_task(self._accept())
        while self._open or self._clients or not self.mail.empty():
            for message in await self.mail.take(self._until_due()):
                self._hear(message)
            self._make_room()
            self._tell_turned()
            if self._open and self._past(0.0 if self.beside else self.limits.leave):
                acceptor.cancel()
                await asyncio.wait([acceptor])
                self._close()
            if self._past(self._stay()):
                for group in (self._silent, self._idlers, self._resting):
                    for client in group:
                        client.mail.put(Shut())
                    group.clear()

    def _stay(self) -> float:
        """How long open connections are served on: alone till the other schedulers are back."""
        return self.limits.yields if self.beside else self.limits.stay

    def _past(self, span: float) -> bool:
        """Whether it was asked to leave that long ago."""
        return self._left_at > 0.0 and self.clock.now() >= self._left_at + span

    def _until_due(self) -> float | None:
        now, due = self.clock.now(), []
        if self._left_at and self._open:
            due.append(max(self.limits.hurry / 4.0, self._left_at + self.limits.leave - now))
        elif self._left_at and not self._past(self._stay()):
            due.append(self._left_at + self._stay() - now)
        if not self._space.is_set():
            due.append(self.limits.hurry / 4.0)
        if self._turned:
            due.append(self._told_at + self.limits.count - now)
        return max(0.0, min(due)) if due else None

    def _hear(self, message: object) -> None:
        now = self.clock.now()
        match message:
            case socket.socket():
                client = Client(self, self._left_at)
                self._clients[client] = asyncio.create_task(client.run(message))
                self._silent[client] = now
            case Busy(client):
                self._move(client, self._reading)
            case Whole(client):
                self._move(client, None)
            case Resting(client, proved):
                self._move(client, self._resting if proved else self._idlers)
                self._bodies.pop(client, None)
            case Lingering(client):
                self._move(client, self._lingering)
                self._bodies.pop(client, None)
            case Closed(client):
                self._move(client, None)
                self._ending.discard(client)
                self._bodies.pop(client, None)
                self._clients.pop(client, None)
            case Want(client, size):
                granted = sum(self._bodies.values()) + size <= self.limits.bodies
                if granted:
                    self._bodies[client] = size
                client.mail.put(Room(granted))
            case Turned(status, why):
                self._turned[f"{status} {why}"] += 1
            case Renew(limits, _, charter):
                self.limits = limits
                if charter != self.charter:
                    self.charter = charter
                    for client in self._clients:
                        client.mail.put(Amend(charter))
            case Beside(serves):
                self.beside = serves
                self._tell_leave()
            case Leave(_, beside) if not self._left_at:
                self.log.say("leaving", connections=len(self._clients), beside=beside)
                self._left_at, self.beside = now, beside
                self._tell_leave()

    def _tell_leave(self) -> None:
        for client in self._clients if self._left_at else ():
            client.mail.put(Leave(self._left_at, self.beside))

    def _move(self, client: Client, to: dict[Client, float] | None) -> None:
        for group in (self._silent, self._reading, self._idlers, self._resting, self._lingering):
            group.pop(client, None)
        if to is not None:
            to[client] = self.clock.now()

    def _make_room(self) -> None:
        """At the limit what has done the least goes first; then new ones wait in the backlog.

        Those that linger have their answer. Usual clients send at once: who connected and brought no txn for
        a while, or began and did not end, goes before who rests between two txns; and where there are more
        of the first than have to go, but none for long enough, that is waited for.
        """
        if len(self._clients) < self.limits.clients:
            self._space.set()
        else:
            self._space.clear()
        # Closing takes a moment: counted anew at each message, it closed more and more.
        over = len(self._clients) - len(self._ending) + 1 - self.limits.clients
        late = self.clock.now() - self.limits.hurry
        for group, word, by in (
            (self._lingering, Cut(), late),
            (self._idlers, Shut(), late),
            (self._silent, Shut(), late),
            (self._reading, Cut(), late),
            (self._resting, Shut(), float("inf")),
        ):
            if group is self._resting:
                over -= len(self._lingering) + len(self._idlers) + len(self._silent) + len(self._reading)
            for client in [client for client, since in group.items() if since <= by][: max(0, over)]:
                del group[client]
                self._ending.add(client)
                client.mail.put(word)
                over -= 1

    def _tell_turned(self) -> None:
        """What was turned away is counted: told one by one it was the dearest part of a flood."""
        if self._turned and (self._left_at or self.clock.now() - self._told_at >= self.limits.count):
            self.log.say("bad_requests", number=self._turned.total(), why=dict(self._turned))
            self._turned.clear()
            self._told_at = self.clock.now()

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
        """Take what still lies in the accept queue, then close the door; out of descriptors, later."""
        while True:
            try:
                self._admit(self._listener.accept()[0])
            except BlockingIOError:
                break
            except OSError:  # closed over what waited for a descriptor, it lost what had been taken
                return
        self._listener.close()
        self._open = False
