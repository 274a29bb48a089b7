"""Accepts client connections, and closes some of them at the connection limit and at shutdown.

It decides which connections are closed at the limit, and in which order they end with the process. What
clients send is read by their own actors.
"""

import asyncio
import socket
from collections import Counter

from sableford.intake.scheduler_settings import SchedulerSettings
from sableford.net.acceptor_messages import (
    BodyReservation,
    Closed,
    Idle,
    Lingering,
    RequestComplete,
    RequestRejected,
    RequestStarted,
)
from sableford.net.client import Client
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.messages import (
    BodyGrant,
    Clock,
    CloseIfIdle,
    CloseIfIncomplete,
    ConfigReloaded,
    Mailbox,
    OtherProcessServing,
    SettingsChanged,
    Shutdown,
)


class Acceptor:
    """Actor that accepts connections within the limit and closes the listener at shutdown."""

    def __init__(
        self,
        listener: socket.socket,
        dispatcher: Mailbox,
        clock: Clock,
        limits: Limits,
        settings: SchedulerSettings,
        log: Log,
    ) -> None:
        self.mailbox, self.dispatcher, self.clock = Mailbox(), dispatcher, clock
        self.limits, self.settings, self.log = limits, settings, log
        self._listener = listener
        self._clients: dict[Client, asyncio.Task] = {}
        # Clients by state, with the time they entered it; the oldest come first.
        self._without_request: dict[Client, float] = {}  # connected, sent nothing
        self._reading: dict[Client, float] = {}  # a request is incomplete
        self._unserved_idle: dict[Client, float] = {}  # answered, but without a txn so far
        self._idle: dict[Client, float] = {}  # between two txns
        self._lingering: dict[Client, float] = {}  # last response sent
        self._ending: set[Client] = set()  # asked to close
        self._reserved_bytes: dict[Client, int] = {}  # bytes granted
        self._rejections: Counter[str] = Counter()
        self._reported_at = 0.0
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._stopped_at, self._accepting, self.other_serving = 0.0, True, False

    async def run(self) -> None:
        """Runs until shutdown is requested and the last client is answered."""
        accept_task = asyncio.create_task(self._accept())
        while self._accepting or self._clients or not self.mailbox.empty():
            for message in await self.mailbox.take(self._next_timeout()):
                self._handle(message)
            self._make_room()
            self._report_rejections()
            if self._accepting and self._stopped_for(
                0.0 if self.other_serving else self.limits.accept_after_stop
            ):
                accept_task.cancel()
                await asyncio.wait([accept_task])
                self._close()
            if self._stopped_for(self._drain_time()):
                for group in (self._without_request, self._unserved_idle, self._idle):
                    for client in group:
                        client.mailbox.put(CloseIfIdle())
                    group.clear()

    def _drain_time(self) -> float:
        """How long open connections are still served; without another process, until peers are back."""
        return self.limits.drain_with_other if self.other_serving else self.limits.serve_after_stop

    def _stopped_for(self, duration: float) -> bool:
        """Whether shutdown was requested at least `duration` ms ago."""
        return self._stopped_at > 0.0 and self.clock.now() >= self._stopped_at + duration

    def _next_timeout(self) -> float | None:
        now, due = self.clock.now(), []
        if self._stopped_at and self._accepting:
            due.append(
                max(
                    self.limits.transfer_when_full / 4.0,
                    self._stopped_at + self.limits.accept_after_stop - now,
                )
            )
        elif self._stopped_at and not self._stopped_for(self._drain_time()):
            due.append(self._stopped_at + self._drain_time() - now)
        if not self._has_room.is_set():
            due.append(self.limits.transfer_when_full / 4.0)
        if self._rejections:
            due.append(self._reported_at + self.limits.report_interval - now)
        return max(0.0, min(due)) if due else None

    def _handle(self, message: object) -> None:
        now = self.clock.now()
        match message:
            case socket.socket():
                client = Client(self, self._stopped_at)
                self._clients[client] = asyncio.create_task(client.run(message))
                self._without_request[client] = now
            case RequestStarted(client):
                self._set_group(client, self._reading)
            case RequestComplete(client):
                self._set_group(client, None)
            case Idle(client, served):
                self._set_group(client, self._idle if served else self._unserved_idle)
                self._reserved_bytes.pop(client, None)
            case Lingering(client):
                self._set_group(client, self._lingering)
                self._reserved_bytes.pop(client, None)
            case Closed(client):
                self._set_group(client, None)
                self._ending.discard(client)
                self._reserved_bytes.pop(client, None)
                self._clients.pop(client, None)
            case BodyReservation(client, size):
                is_granted = sum(self._reserved_bytes.values()) + size <= self.limits.total_bodies
                if is_granted:
                    self._reserved_bytes[client] = size
                client.mailbox.put(BodyGrant(is_granted))
            case RequestRejected(status, reason):
                self._rejections[f"{status} {reason}"] += 1
            case ConfigReloaded(limits, _, settings):
                self.limits = limits
                if settings != self.settings:
                    self.settings = settings
                    for client in self._clients:
                        client.mailbox.put(SettingsChanged(settings))
            case OtherProcessServing(serves):
                self.other_serving = serves
                self._notify_shutdown()
            case Shutdown(_, other_serving) if not self._stopped_at:
                self.log.event("leaving", connections=len(self._clients), beside=other_serving)
                self._stopped_at, self.other_serving = now, other_serving
                self._notify_shutdown()

    def _notify_shutdown(self) -> None:
        for client in self._clients if self._stopped_at else ():
            client.mailbox.put(Shutdown(self._stopped_at, self.other_serving))

    def _set_group(self, client: Client, new_group: dict[Client, float] | None) -> None:
        for group in (self._without_request, self._reading, self._unserved_idle, self._idle, self._lingering):
            group.pop(client, None)
        if new_group is not None:
            new_group[client] = self.clock.now()

    def _make_room(self) -> None:
        """Closes connections at the limit; beyond that, new ones wait in the backlog.

        Lingering connections already have their answer. Usual clients send at once, so connections that sent
        no txn for a while or an incomplete request are closed before those idle between two txns. If enough
        connections of the former kinds exist but none is old enough yet, they are waited for.
        """
        if len(self._clients) < self.limits.clients:
            self._has_room.set()
        else:
            self._has_room.clear()
        # Closing takes time: without subtracting those that are closing, each message closed more.
        excess = len(self._clients) - len(self._ending) + 1 - self.limits.clients
        overdue = self.clock.now() - self.limits.transfer_when_full
        for group, command, not_after in (
            (self._lingering, CloseIfIncomplete(), overdue),
            (self._unserved_idle, CloseIfIdle(), overdue),
            (self._without_request, CloseIfIdle(), overdue),
            (self._reading, CloseIfIncomplete(), overdue),
            (self._idle, CloseIfIdle(), float("inf")),
        ):
            if group is self._idle:
                excess -= (
                    len(self._lingering)
                    + len(self._unserved_idle)
                    + len(self._without_request)
                    + len(self._reading)
                )
            for client in [client for client, since in group.items() if since <= not_after][: max(0, excess)]:
                del group[client]
                self._ending.add(client)
                client.mailbox.put(command)
                excess -= 1

    def _report_rejections(self) -> None:
        """Logs rejections as counts: one line each was the largest cost of a flood of bad requests."""
        if self._rejections and (
            self._stopped_at or self.clock.now() - self._reported_at >= self.limits.report_interval
        ):
            self.log.event("bad_requests", number=self._rejections.total(), why=dict(self._rejections))
            self._rejections.clear()
            self._reported_at = self.clock.now()

    async def _accept(self) -> None:
        loop, accepted = asyncio.get_running_loop(), 0
        while True:
            await self._has_room.wait()
            try:
                sock, _ = await loop.sock_accept(self._listener)
            except OSError as problem:  # out of descriptors: open connections go on and free some
                self.log.event("accept_failed", problem=repr(problem))
                await asyncio.sleep(0.05)
                continue
            self._register(sock)
            accepted += 1
            if accepted % 16 == 0:
                await asyncio.sleep(0)

    def _register(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.mailbox.put(sock)
        if len(self._clients) + 16 >= self.limits.clients:
            self._has_room.clear()

    def _close(self) -> None:
        """Accepts the backlog, then closes the listener; if out of descriptors, this is tried again later."""
        while True:
            try:
                self._register(self._listener.accept()[0])
            except BlockingIOError:
                break
            except OSError:  # closing now would reset connections that wait for a descriptor
                return
        self._listener.close()
        self._accepting = False
