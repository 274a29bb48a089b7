"""Connections to workers: one actor for each, which keeps its lines and carries postings on them.

It owns what became of a posting and whether it can have run; doubt means that it may have. It must never send
a posting twice, choose a worker, or stop waiting unasked.
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
    """One worker as this scheduler sees it."""

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
        self._dispatcher, self._clock, self._limits, self._settings, self._log = (
            dispatcher,
            clock,
            limits,
            settings,
            log,
        )
        self._endpoint, self._quota = WorkerEndpoint(("", 0), 0.0, False), 1
        self._idle: list[tuple[float, HttpConnection]] = []  # idle, the last used at the end
        self._waiting: deque[asyncio.Future[HttpConnection | None]] = (
            deque()
        )  # of errands that wait for a line
        self._in_use = 0
        self._max_idle, self._max_idle_set_at = (
            limits.worker_idle,
            clock.now(),
        )  # how long a line may rest and be used again
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
        """An errand, which waits for its turn within the posting's own time."""
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
        """A posting called off in the batch that brought it took no step: its end was told to nobody."""
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
        # What waits for a line at a worker that drains was sent to it seconds after the drain was told.
        for slot in () if message.ready else self._waiting:
            if not slot.done():
                slot.set_exception(_NotSent())

    def _set_quota(self, message: ConnectionQuota) -> None:
        self._quota = message.connections

    def _reload(self, message: ConfigReloaded) -> None:
        self._limits, self._settings = message.limits, message.settings

    def _idle_limit(self) -> float:
        """How long a line may rest and be used again; less for a while where some proved dead."""
        growth = 2.0 ** ((self._clock.now() - self._max_idle_set_at) / self._limits.stale_recovery)
        return min(self._limits.worker_idle, self._max_idle * growth)

    def _shorten_idle(self, message: StaleConnection) -> None:
        """Lines that rested so long were dead: a posting written to one may have run, and is lost or late."""
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
        """Close what has been idle long enough, before the worker does, and what the worker has closed."""
        oldest_allowed = self._clock.now() - self._idle_limit()
        while self._idle and self._idle[0][0] <= oldest_allowed:
            self._idle.pop(0)[1].abort()

    def _take_idle(self) -> HttpConnection | None:
        """A kept line that is still up, the last used first; none where one has to be opened."""
        while self._idle:
            idle_since, connection = self._idle.pop()
            if connection.usable() and self._clock.now() - idle_since < self._idle_limit():
                return connection
            connection.abort()
        return None

    async def _send_posting(self, command: SendPosting, slot: asyncio.Future) -> None:
        """One posting from its opening to its end, which is told exactly once."""
        request, posting, deadline = command
        endpoint, outcome, connection = self._endpoint, NOT_CONNECTED, None
        try:
            async with asyncio.timeout_at(self._clock.on_loop(deadline)):
                connection = await slot
                if self._clock.now() >= deadline:  # nothing leaves for a txn past its time
                    raise TimeoutError
                if connection is not None and not connection.usable():  # since its turn was given out
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
        # Told with the connection still open, the next posting was a second copy beside this one.
        if outcome in CLOSES_CONNECTION:
            connection = _abort(connection)
        self._dispatcher.put(PostingEnded(request, posting, *outcome))
        # The line is given back in its own time: the end has been told.
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
        except OSError:  # a time-out of the connection is one too
            return None

    def _host(self) -> bytes:
        host, port = self._endpoint.address
        return b"%s:%d" % (host.encode(), port)

    async def _exchange(
        self, command: SendPosting, connection: HttpConnection
    ) -> tuple[Ending, tuple[float, ...], bytes]:
        """Send the posting and hear it out."""
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
            # Nothing came back but a reset, at once: the line was dead as it was taken up.
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
        # What bad clients sent counted as its worker's fault, and took sound workers out.
        invalid_request = 400 <= answer.status_code < 500
        return Ending.FULL if not_run else Ending.UNFIT if invalid_request else Ending.ERROR, load, b""

    async def _read_events(
        self, command: SendPosting, connection: HttpConnection
    ) -> tuple[Ending, tuple[float, ...], bytes]:
        """The lines of a job's stream, up to a last one; a stream without one broke."""
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
        """What one line tells: the end, or none where the stream goes on."""
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
        """Read the message's end; whether the line can carry another."""
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
        """One probe."""
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
    """The worker drains or has left before the errand's turn came."""


class _Released(NamedTuple):
    """To the worker from its own errand: over, and the line that can carry another, if any."""

    key: tuple[Request, int] | None
    slot: asyncio.Future
    connection: HttpConnection | None
    endpoint: WorkerEndpoint  # where the line leads to


def _has_result(slot: asyncio.Future) -> bool:
    return slot.done() and not slot.cancelled() and slot.exception() is None


def _assigned_connection(slot: asyncio.Future) -> HttpConnection | None:
    """The line given to a turn, also where its errand was called off before it could take it."""
    return slot.result() if _has_result(slot) else None


def _abort(connection: HttpConnection | None) -> None:
    if connection is not None:
        connection.abort()
