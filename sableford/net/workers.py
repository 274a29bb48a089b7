"""Connections to workers: one actor per worker, with a pool of connections that postings are sent on.

It determines the outcome of a posting; if it is unknown whether the txn ran, it counts as possibly run. A
posting is sent once at most, its worker is chosen elsewhere, and only the dispatcher or the deadline ends it.
"""

import asyncio
from collections import deque
from typing import NamedTuple

import h11
import msgspec

from sableford.intake.scheduler_settings import SchedulerSettings
from sableford.model import Ending
from sableford.net import wire
from sableford.net.http import HttpConnection, dial
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.messages import (
    CancelPosting,
    Clock,
    ConfigReloaded,
    ConnectionQuota,
    Mailbox,
    PostingEnded,
    PostingProgressed,
    PostingStarted,
    ProbeResult,
    Request,
    SendPosting,
    SendProbe,
    StaleConnection,
    WorkerEndpoint,
)

NOT_CONNECTED = (Ending.NO_CONNECTION, (), b"")
MAY_HAVE_RUN = (Ending.BROKEN, (), b"")
TIMED_OUT = (Ending.TIMED_OUT, (), b"")
CALLED_OFF = (Ending.CALLED_OFF, (), b"")
NOT_SENT = (Ending.NOT_SENT, (), b"")
CLOSES_CONNECTION = (NOT_CONNECTED, MAY_HAVE_RUN, TIMED_OUT, CALLED_OFF)


class Worker:
    """The actor of one worker."""

    def __init__(
        self,
        name: str,
        dispatcher: Mailbox,
        clock: Clock,
        limits: Limits,
        settings: SchedulerSettings,
        log: Log,
    ) -> None:
        self.name, self.mailbox = name, Mailbox()
        self._dispatcher, self._clock, self._log = dispatcher, clock, log
        self._limits, self._settings = limits, settings
        self._endpoint, self._quota = WorkerEndpoint(("", 0), 0.0, False), 1
        self._idle: list[tuple[float, HttpConnection]] = []  # most recently used last
        # Slots of operations that wait for a connection.
        self._waiting: deque[asyncio.Future[HttpConnection | None]] = deque()
        self._in_use = 0
        # How long a connection may be idle and still be reused.
        self._max_idle, self._max_idle_set_at = limits.worker_idle, clock.now()
        self._operations: dict[tuple[Request, int] | None, asyncio.Task] = {}
        self._handlers = {
            SendPosting: self._start,
            SendProbe: self._start,
            CancelPosting: self._cancel,
            WorkerEndpoint: self._update_endpoint,
            ConnectionQuota: self._set_quota,
            ConfigReloaded: self._reload,
            StaleConnection: self._shorten_idle,
            _Released: self._release,
        }

    async def run(self) -> None:
        while True:
            within = self._idle[0][0] + self._idle_limit() - self._clock.now() if self._idle else None
            for message in await self.mailbox.take(within):
                self._handlers[type(message)](message)
            self._close_expired()
            while self._waiting and self._in_use < self._quota:
                if not (slot := self._waiting.popleft()).done():
                    self._in_use += 1
                    slot.set_result(self._take_idle())

    def _start(self, message: SendPosting | SendProbe) -> None:
        """Starts a posting or a probe, which waits for a connection within its own deadline."""
        key = (message.request, message.posting) if isinstance(message, SendPosting) else None
        if key in self._operations:  # one probe at a time
            return
        slot = asyncio.get_running_loop().create_future()
        self._waiting.append(slot)
        work = self._probe(slot) if key is None else self._send_posting(message, slot)
        self._operations[key] = task = asyncio.create_task(work)
        task.add_done_callback(lambda task: self._cancelled_before_start(task, key, slot))

    def _cancelled_before_start(
        self, task: asyncio.Task, key: tuple[Request, int] | None, slot: asyncio.Future
    ) -> None:
        """Reports the end of a posting cancelled in the same batch that brought it, whose task never ran."""
        if task.cancelled():
            slot.cancel()
            self._dispatcher.put(
                PostingEnded(*key, Ending.CALLED_OFF) if key else ProbeResult(self.name, False, ())
            )
            self.mailbox.put(_Released(key, slot, _abort(_assigned_connection(slot)), self._endpoint))

    def _cancel(self, message: CancelPosting) -> None:
        if (task := self._operations.get((message.request, message.posting))) is not None:
            task.cancel()

    def _update_endpoint(self, message: WorkerEndpoint) -> None:
        if not message.same_process(self._endpoint):
            for _, connection in self._idle:
                connection.abort()
            self._idle.clear()
        self._endpoint = message
        # Postings that waited for a connection were sent seconds after the worker began to drain.
        for slot in () if message.ready else self._waiting:
            if not slot.done():
                slot.set_exception(_NotSent())

    def _set_quota(self, message: ConnectionQuota) -> None:
        self._quota = message.connections

    def _reload(self, message: ConfigReloaded) -> None:
        self._limits, self._settings = message.limits, message.settings

    def _idle_limit(self) -> float:
        """Maximum idle time of a reusable connection; shorter for a while after some proved dead."""
        growth = 2.0 ** ((self._clock.now() - self._max_idle_set_at) / self._limits.stale_recovery)
        return min(self._limits.worker_idle, self._max_idle * growth)

    def _shorten_idle(self, message: StaleConnection) -> None:
        """Reduces the idle limit: a posting sent on a dead connection may have run, and is lost or late."""
        self._max_idle = min(self._idle_limit(), max(self._limits.min_stale_idle, message.idle_ms / 2.0))
        self._max_idle_set_at = self._clock.now()

    def _release(self, message: "_Released") -> None:
        self._operations.pop(message.key, None)
        self._in_use -= _has_result(message.slot)
        if message.connection is not None:
            if message.endpoint.same_process(self._endpoint) and len(self._idle) + self._in_use < self._quota:
                self._idle.append((self._clock.now(), message.connection))
                message.connection.mark_idle()
            else:
                message.connection.abort()

    def _close_expired(self) -> None:
        """Closes connections that were idle for too long, before the worker does."""
        oldest_allowed = self._clock.now() - self._idle_limit()
        while self._idle and self._idle[0][0] <= oldest_allowed:
            self._idle.pop(0)[1].abort()

    def _take_idle(self) -> HttpConnection | None:
        """The most recently used idle connection that is still open, or None."""
        while self._idle:
            idle_since, connection = self._idle.pop()
            if connection.usable() and self._clock.now() - idle_since < self._idle_limit():
                return connection
            connection.abort()
        return None

    async def _send_posting(self, command: SendPosting, slot: asyncio.Future) -> None:
        """Runs one posting; its end is reported exactly once."""
        request, posting, deadline = command
        endpoint, outcome, connection = self._endpoint, NOT_CONNECTED, None
        try:
            async with asyncio.timeout_at(self._clock.on_loop(deadline)):
                connection = await slot
                if self._clock.now() >= deadline:  # nothing is sent after the txn's deadline
                    raise TimeoutError
                if connection is not None and not connection.usable():  # closed since it was assigned
                    connection = _abort(connection)
                endpoint, connection = self._endpoint, connection or await self._connect()
                if connection is not None:
                    outcome = await self._exchange(command, connection)
        except TimeoutError:
            outcome = TIMED_OUT
        except asyncio.CancelledError:
            outcome = CALLED_OFF
        except _NotSent:
            outcome = NOT_SENT
        except Exception as problem:
            self._log.event("posting_broke", worker=self.name, problem=repr(problem))
            outcome = MAY_HAVE_RUN
        connection = connection or _assigned_connection(slot)
        # If the end were reported with the connection open, the next posting could run beside this one.
        if outcome in CLOSES_CONNECTION:
            connection = _abort(connection)
        self._dispatcher.put(PostingEnded(request, posting, *outcome))
        # The end is reported already; the connection is returned when its response is complete.
        reusable = None
        try:
            reusable = (
                connection
                if connection is not None and await self._finish_response(connection)
                else _abort(connection)
            )
        except asyncio.CancelledError:
            reusable = _abort(connection)
        finally:
            self.mailbox.put(_Released((request, posting), slot, reusable, endpoint))

    async def _connect(self) -> HttpConnection | None:
        try:
            async with asyncio.timeout(self._limits.connect / 1000.0):
                return await dial(self._endpoint.address, self._limits)
        except OSError:  # TimeoutError is an OSError
            return None

    def _host(self) -> bytes:
        host, port = self._endpoint.address
        return b"%s:%d" % (host.encode(), port)

    async def _exchange(
        self, command: SendPosting, connection: HttpConnection
    ) -> tuple[Ending, tuple[float, ...], bytes]:
        """Sends the posting and reads its response."""
        request = command.request
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[
                (b"host", self._host()),
                *request.headers,
                (wire.TIME_LEFT, wire.format_time_left(command.deadline - self._clock.now())),
                (b"content-length", b"%d" % len(request.body)),
            ],
        )
        idle_ms = connection.idle_ms()
        if self._log.each_txn:
            self._log.event("line", id=request.id, worker=self.name, idle=idle_ms, used=connection.uses)
        written_at = self._clock.now()
        connection.write(head, h11.Data(data=request.body), h11.EndOfMessage())
        if not await connection.flushed():
            return NOT_CONNECTED
        try:
            while isinstance(answer := await connection.next_event(), h11.InformationalResponse):
                pass
        except h11.RemoteProtocolError:
            # An immediate reset without a response: the connection was dead when it was reused.
            if (
                idle_ms > self._limits.min_stale_idle
                and self._clock.now() - written_at < self._limits.transfer_when_full
            ):
                self._dispatcher.put(StaleConnection(idle_ms))
            return MAY_HAVE_RUN
        try:
            if not isinstance(answer, h11.Response):
                return MAY_HAVE_RUN
            if answer.status_code == 200:
                return await self._read_events(command, connection)
        except h11.RemoteProtocolError:
            return MAY_HAVE_RUN
        headers = dict(answer.headers)
        load = wire.select_figures(
            wire.parse_figures(headers.get(wire.LOAD, b"")), self._settings.load_columns
        )
        not_run = answer.status_code in (503, 504) and headers.get(wire.NOT_RUN) == b"1"
        # A 4xx must not count as the worker's fault: invalid requests took sound workers out.
        invalid_request = 400 <= answer.status_code < 500
        return Ending.FULL if not_run else Ending.UNFIT if invalid_request else Ending.ERROR, load, b""

    async def _read_events(
        self, command: SendPosting, connection: HttpConnection
    ) -> tuple[Ending, tuple[float, ...], bytes]:
        """Reads the job's event stream up to a final event; a stream without one may have run."""
        buffer = bytearray()
        while isinstance(event := await connection.next_event(), h11.Data):
            buffer += event.data
            while (end := buffer.find(b"\n")) >= 0:
                text, buffer = bytes(buffer[:end]), buffer[end + 1 :]
                if (outcome := self._parse_event(command, text)) is not None:
                    return outcome
            if len(buffer) > self._limits.max_event_line:
                return MAY_HAVE_RUN
        return (buffer and self._parse_event(command, bytes(buffer))) or MAY_HAVE_RUN

    def _parse_event(
        self, command: SendPosting, text: bytes
    ) -> tuple[Ending, tuple[float, ...], bytes] | None:
        """The outcome if this event is final, else None."""
        if not text.strip():
            return None
        try:
            event = wire.decode_event(text)
            body = event.body()
        except msgspec.MsgspecError:
            return MAY_HAVE_RUN
        if event.id.encode() != command.request.id:
            return MAY_HAVE_RUN
        match event.state:
            case wire.STARTED:
                self._dispatcher.put(PostingStarted(command.request, command.posting))
                return None
            case wire.RUNNING:
                self._dispatcher.put(PostingProgressed(command.request, command.posting, event.share))
                return None
            case wire.DONE if body is not None:
                return Ending.SETTLED, event.figures(self._settings.load_columns), body
            case wire.FAILED:
                return Ending.ERROR, event.figures(self._settings.load_columns), b""
            case wire.RETURNED:
                return Ending.FULL, event.figures(self._settings.load_columns), b""
            case wire.LOST:
                return Ending.BROKEN, event.figures(self._settings.load_columns), b""
        return MAY_HAVE_RUN

    async def _finish_response(self, connection: HttpConnection) -> bool:
        """Reads the end of the response; returns whether the connection can be reused."""
        if connection.state.our_state is not h11.DONE:
            return False
        try:
            async with asyncio.timeout(self._limits.stream_end / 1000.0):
                while connection.state.their_state is h11.SEND_BODY:
                    await connection.next_event()
        except (TimeoutError, h11.RemoteProtocolError):
            return False
        return connection.next_cycle()

    async def _probe(self, slot: asyncio.Future) -> None:
        """Runs one probe."""
        endpoint, load, answered, connection, reusable = self._endpoint, (), False, None, None
        path = wire.LOAD_PATH if self._settings.load_columns else wire.HEALTH
        try:
            async with asyncio.timeout(self._limits.probe / 1000.0):
                connection = await slot
                endpoint, connection = self._endpoint, connection or await self._connect()
                if connection is not None:
                    headers = [(b"host", self._host())]
                    connection.write(
                        h11.Request(method=b"GET", target=path, headers=headers), h11.EndOfMessage()
                    )
                    answer, body = await connection.next_event(), b""
                    while (
                        isinstance(event := await connection.next_event(), h11.Data)
                        and len(body) < self._limits.max_body
                    ):
                        body += bytes(event.data)
                    answered = isinstance(answer, h11.Response) and answer.status_code == 200
                    load = wire.parse_report(body, self._settings.load_columns)
                    reusable = connection if connection.next_cycle() else _abort(connection)
        except (OSError, h11.ProtocolError, _NotSent):
            reusable = _abort(connection or _assigned_connection(slot))
        except Exception as problem:
            self._log.event("probe_broke", worker=self.name, problem=repr(problem))
            reusable = _abort(connection or _assigned_connection(slot))
        finally:
            self._dispatcher.put(ProbeResult(self.name, answered, load))
            self.mailbox.put(_Released(None, slot, reusable, endpoint))


class _NotSent(Exception):
    """The worker began to drain or left before a connection was available."""


class _Released(NamedTuple):
    """From a finished operation to its worker's actor, with the connection if it can be reused."""

    key: tuple[Request, int] | None
    slot: asyncio.Future
    connection: HttpConnection | None
    endpoint: WorkerEndpoint  # the connection's destination


def _has_result(slot: asyncio.Future) -> bool:
    return slot.done() and not slot.cancelled() and slot.exception() is None


def _assigned_connection(slot: asyncio.Future) -> HttpConnection | None:
    """The connection assigned to a slot, even if its operation was cancelled before taking it."""
    return slot.result() if _has_result(slot) else None


def _abort(connection: HttpConnection | None) -> None:
    if connection is not None:
        connection.abort()
