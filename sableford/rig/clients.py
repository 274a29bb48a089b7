"""Stub clients and the load balancer in front of the schedulers; records every attempt and answer.

The retry policy of the clients is defined here, and which responses count as final.
"""

import asyncio
from random import Random

from sableford.rig.clock import RunClock
from sableford.rig.history import Attempt, History
from sableford.rig.http_parser import HttpParser
from sableford.rig.links import Links, StubConnection
from sableford.rig.plan import Plan, Request

SCHEDULER_PORT = 8000
DEFAULT_PAUSE_MS = 200.0  # before a retry, if the answer has no Retry-After
AVOID_MS = 1000.0  # how long the balancer avoids a scheduler that refused a connection
MAX_IDLE_S = 4.0  # connections that were idle for longer are not reused
MAX_PAUSE_MS = 5000.0


class ClientConnection(StubConnection):
    """Connection from a client to a scheduler; one request at a time."""

    def __init__(self, links: Links, scheduler: str) -> None:
        super().__init__(links, "clients", scheduler)
        self._parser = HttpParser()
        self.answer: asyncio.Future | None = None
        self.open, self.idle_since = True, 0.0

    def connection_lost(self, problem: Exception | None) -> None:
        super().connection_lost(problem)
        self.on_data(None)

    def on_data(self, data: bytes | None) -> None:
        if data is None:
            self.open = False
            self._set_answer(None)
            self.abort()
            return
        self._parser.feed(data)
        try:
            if (message := self._parser.next_message()) is not None:
                self._set_answer(message)
        except (ValueError, IndexError):
            self.on_data(None)

    def _set_answer(self, message: tuple | None) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(message)


class Clients:
    """The clients and their load balancer. Open loop: each request is sent when it is due."""

    def __init__(
        self, plan: Plan, links: Links, history: History, clock: RunClock, hosts: dict[str, str]
    ) -> None:
        self.plan, self.links, self.history, self.clock = plan, links, history, clock
        self.hosts = hosts  # scheduler name -> host
        self._idle: dict[str, list[ClientConnection]] = {name: [] for name in hosts}
        self._avoided_until: dict[str, float] = {}
        self._random = Random(f"front {plan.seed}")
        self.served: dict[int, tuple[float, float]] = {}  # request number -> (due, served at)
        self.refusals: list[float] = []
        self.late = 0.0  # how late the rig itself sent a request, at most; ms
        self.sent_count = 0  # requests sent so far
        self._stopped = False
        self._tasks: set[asyncio.Task] = set()

    async def run(self, requests: list[Request]) -> None:
        for request in requests:
            wait = request.due - self.clock.now()
            if wait > 0.0:
                await asyncio.sleep(wait / 1000.0)
            if self._stopped:
                return
            self.sent_count += 1
            self.late = max(self.late, self.clock.now() - request.due)
            task = asyncio.create_task(self._send_request(request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Sends no further requests."""
        self._stopped = True

    async def wait_for_answers(self) -> None:
        """Waits for the answers of all requests, up to the longest expiry, and cancels the rest."""
        limit = max(scheme.expiry_ms for scheme in self.plan.scheme) + MAX_PAUSE_MS
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit / 1000.0)
        for task in self._tasks:
            task.cancel()

    def _choose_scheduler(self) -> str:
        now = self.clock.now()
        reachable = [name for name in self.hosts if self._avoided_until.get(name, -1.0) < now]
        return self._random.choice(reachable or list(self.hosts))

    async def _send_request(self, request: Request) -> None:
        for attempt_number in range(1 + self.plan.load.retries):
            status, pause = await self._send_attempt(request, attempt_number)
            if status == 200:
                self.served[request.number] = request.due, self.clock.now()
                return
            if status in (429, 503):
                self.refusals.append(self.clock.now())
            elif status:  # failed: it may have run, so a retry isn't safe
                return
            await asyncio.sleep(min(MAX_PAUSE_MS, pause) / 1000.0)

    async def _connect(self, scheduler: str) -> ClientConnection | None:
        idle = self._idle[scheduler]
        while idle:
            connection = idle.pop()
            if connection.open and asyncio.get_running_loop().time() - connection.idle_since < MAX_IDLE_S:
                return connection
            connection.abort()
        try:
            async with asyncio.timeout(1.0):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(self.links, scheduler), self.hosts[scheduler], SCHEDULER_PORT
                )
            return connection
        except OSError:
            self._avoided_until[scheduler] = self.clock.now() + AVOID_MS
            return None

    async def _send_attempt(self, request: Request, attempt_number: int) -> tuple[int, float]:
        """Returns the status, 0 for no answer, and the pause in ms before the next attempt."""
        scheduler, scheme = self._choose_scheduler(), self.plan.scheme[request.scheme]
        if (connection := await self._connect(scheduler)) is None:
            return 0, 0.0
        time_left = min(self.plan.load.time_left_ms, scheme.expiry_ms)
        attempt = Attempt(
            f"r{request.number}.{attempt_number}",
            request.number,
            scheduler,
            request.scheme,
            self.clock.now(),
            time_left,
        )
        self.history.record_attempt(attempt)
        head = f"POST /api HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {attempt.id}\r\n"
        head += f"X-Service-Class: {scheme.name}\r\nX-Time-Left: {time_left:.0f}m\r\n"
        head += "X-Repeat: 1\r\n" if attempt_number else ""
        connection.answer = asyncio.get_running_loop().create_future()
        connection.send(f"{head}Content-Length: 2\r\n\r\nhi".encode())
        try:
            async with asyncio.timeout(time_left / 1000.0 + 1.0):
                message = await connection.answer
        except TimeoutError:
            connection.abort()
            return 0, DEFAULT_PAUSE_MS
        if message is None:
            self.history.closed_unanswered[attempt.id] = self.clock.now()
            return 0, DEFAULT_PAUSE_MS
        start_line, headers, body = message
        try:
            status, pause = (
                int(start_line.split()[1]),
                float(headers.get(b"retry-after", DEFAULT_PAUSE_MS / 1000.0)) * 1000.0,
            )
        except (ValueError, IndexError):  # corrupted by an injected fault
            connection.abort()
            return 0, DEFAULT_PAUSE_MS
        self.history.record_answer(attempt.id, self.clock.now(), status, body)
        if headers.get(b"connection", b"").lower() == b"close":
            connection.abort()
        else:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle[scheduler].append(connection)
        return status, pause
