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
from sableford.net.http import Peer, dial
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.mail import (
    Allot,
    Back,
    Began,
    Carry,
    Clock,
    Look,
    Looked,
    Mailbox,
    Moved,
    Place,
    Renew,
    Request,
    Stale,
    Withdraw,
)

OPENING = (Ending.NO_CONNECTION, (), b"")
DOUBT = (Ending.BROKEN, (), b"")
OVERDUE = (Ending.TIMED_OUT, (), b"")
CALLED_OFF = (Ending.CALLED_OFF, (), b"")
UNDONE = (Ending.NOT_SENT, (), b"")
CLOSING = (OPENING, DOUBT, OVERDUE, CALLED_OFF)


class Worker:
    """One worker as this scheduler sees it."""

    def __init__(
        self, name: str, desk: Mailbox, clock: Clock, limits: Limits, charter: SchedulerSettings, log: Log
    ) -> None:
        self.name, self.mail = name, Mailbox()
        self._desk, self._clock, self._limits, self._charter, self._log = desk, clock, limits, charter, log
        self._place, self._allotted = Place(("", 0), 0.0, False), 1
        self._kept: list[tuple[float, Peer]] = []  # idle, the last used at the end
        self._turns: deque[asyncio.Future[Peer | None]] = deque()  # of errands that wait for a line
        self._using = 0
        self._span, self._span_at = limits.keep, clock.now()  # how long a line may rest and be used again
        self._errands: dict[tuple[Request, int] | None, asyncio.Task] = {}
        self._deeds = {
            Carry: self._start,
            Look: self._start,
            Withdraw: self._withdraw,
            Place: self._settle,
            Allot: self._allot,
            Renew: self._renew,
            Stale: self._mistrust,
            _Free: self._free,
        }

    async def run(self) -> None:
        while True:
            within = self._kept[0][0] + self._keep() - self._clock.now() if self._kept else None
            for message in await self.mail.take(within):
                self._deeds[type(message)](message)
            self._tend()
            while self._turns and self._using < self._allotted:
                if not (turn := self._turns.popleft()).done():
                    self._using += 1
                    turn.set_result(self._line())

    def _start(self, message: Carry | Look) -> None:
        """An errand, which waits for its turn within the posting's own time."""
        key = (message.request, message.posting) if isinstance(message, Carry) else None
        if key in self._errands:  # one probe at a time
            return
        turn = asyncio.get_running_loop().create_future()
        self._turns.append(turn)
        work = self._look(turn) if key is None else self._carry(message, turn)
        self._errands[key] = task = asyncio.create_task(work)
        task.add_done_callback(lambda task: self._unbegun(task, key, turn))

    def _unbegun(self, task: asyncio.Task, key: tuple[Request, int] | None, turn: asyncio.Future) -> None:
        """A posting called off in the batch that brought it took no step: its end was told to nobody."""
        if task.cancelled():
            turn.cancel()
            self._desk.put(Back(*key, Ending.CALLED_OFF) if key else Looked(self.name, False, ()))
            self.mail.put(_Free(key, turn, _dropped(_granted(turn)), self._place))

    def _withdraw(self, message: Withdraw) -> None:
        if (task := self._errands.get((message.request, message.posting))) is not None:
            task.cancel()

    def _settle(self, message: Place) -> None:
        if not message.same(self._place):
            for _, line in self._kept:
                line.drop()
            self._kept.clear()
        self._place = message
        # What waits for a line at a worker that drains was sent to it seconds after the drain was told.
        for turn in () if message.ready else self._turns:
            if not turn.done():
                turn.set_exception(_Undone())

    def _allot(self, message: Allot) -> None:
        self._allotted = message.lines

    def _renew(self, message: Renew) -> None:
        self._limits, self._charter = message.limits, message.charter

    def _keep(self) -> float:
        """How long a line may rest and be used again; less for a while where some proved dead."""
        grown = 2.0 ** ((self._clock.now() - self._span_at) / self._limits.trust)
        return min(self._limits.keep, self._span * grown)

    def _mistrust(self, message: Stale) -> None:
        """Lines that rested so long were dead: a posting written to one may have run, and is lost or late."""
        self._span = min(self._keep(), max(self._limits.brief, message.rested / 2.0))
        self._span_at = self._clock.now()

    def _free(self, message: "_Free") -> None:
        self._errands.pop(message.key, None)
        self._using -= _was_granted(message.turn)
        if message.line is not None:
            if message.place.same(self._place) and len(self._kept) + self._using < self._allotted:
                self._kept.append((self._clock.now(), message.line))
                message.line.rest()
            else:
                message.line.drop()

    def _tend(self) -> None:
        """Close what has been idle long enough, before the worker does, and what the worker has closed."""
        old = self._clock.now() - self._keep()
        while self._kept and self._kept[0][0] <= old:
            self._kept.pop(0)[1].drop()

    def _line(self) -> Peer | None:
        """A kept line that is still up, the last used first; none where one has to be opened."""
        while self._kept:
            since, line = self._kept.pop()
            if line.usable() and self._clock.now() - since < self._keep():
                return line
            line.drop()
        return None

    async def _carry(self, carry: Carry, turn: asyncio.Future) -> None:
        """One posting from its opening to its end, which is told exactly once."""
        request, posting, until = carry
        place, told, line = self._place, OPENING, None
        try:
            async with asyncio.timeout_at(self._clock.on_loop(until)):
                line = await turn
                if self._clock.now() >= until:  # nothing leaves for a txn past its time
                    raise TimeoutError
                if line is not None and not line.usable():  # since its turn was given out
                    line = _dropped(line)
                place, line = self._place, line or await self._open()
                if line is not None:
                    told = await self._exchange(carry, line)
        except TimeoutError:
            told = OVERDUE
        except asyncio.CancelledError:
            told = CALLED_OFF
        except _Undone:
            told = UNDONE
        except Exception as problem:
            self._log.say("posting_broke", worker=self.name, problem=repr(problem))
            told = DOUBT
        line = line or _granted(turn)
        # Told with the connection still open, the next posting was a second copy beside this one.
        if told in CLOSING:
            line = _dropped(line)
        self._desk.put(Back(request, posting, *told))
        # The line is given back in its own time: the end has been told.
        kept = None
        try:
            kept = line if line is not None and await self._ended(line) else _dropped(line)
        except asyncio.CancelledError:
            kept = _dropped(line)
        finally:
            self.mail.put(_Free((request, posting), turn, kept, place))

    async def _open(self) -> Peer | None:
        try:
            async with asyncio.timeout(self._limits.connect / 1000.0):
                return await dial(self._place.address, self._limits)
        except OSError:  # a time-out of the connection is one too
            return None

    def _host(self) -> bytes:
        host, port = self._place.address
        return b"%s:%d" % (host.encode(), port)

    async def _exchange(self, carry: Carry, line: Peer) -> tuple[Ending, tuple[float, ...], bytes]:
        """Send the posting and hear it out."""
        request = carry.request
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[
                (b"host", self._host()),
                *request.headers,
                (wire.TIME_LEFT, wire.left(carry.until - self._clock.now())),
                (b"content-length", b"%d" % len(request.body)),
            ],
        )
        rested = line.idle()
        if self._log.each_txn:
            self._log.say("line", id=request.id, worker=self.name, idle=rested, used=line.uses)
        written_at = self._clock.now()
        line.write(head, h11.Data(data=request.body), h11.EndOfMessage())
        if not await line.written():
            return OPENING
        try:
            while isinstance(answer := await line.event(), h11.InformationalResponse):
                pass
        except h11.RemoteProtocolError:
            # Nothing came back but a reset, at once: the line was dead as it was taken up.
            if rested > self._limits.brief and self._clock.now() - written_at < self._limits.hurry:
                self._desk.put(Stale(rested))
            return DOUBT
        try:
            if not isinstance(answer, h11.Response):
                return DOUBT
            if answer.status_code == 200:
                return await self._hear(carry, line)
        except h11.RemoteProtocolError:
            return DOUBT
        facts = dict(answer.headers)
        load = wire.load(wire.pairs(facts.get(wire.LOAD, b"")), self._charter.load_columns)
        unstarted = answer.status_code in (503, 504) and facts.get(wire.NOT_RUN) == b"1"
        # What bad clients sent counted as its worker's fault, and took sound workers out.
        unfit = 400 <= answer.status_code < 500
        return Ending.FULL if unstarted else Ending.UNFIT if unfit else Ending.ERROR, load, b""

    async def _hear(self, carry: Carry, line: Peer) -> tuple[Ending, tuple[float, ...], bytes]:
        """The lines of a job's stream, up to a last one; a stream without one broke."""
        buffer = bytearray()
        while isinstance(event := await line.event(), h11.Data):
            buffer += event.data
            while (end := buffer.find(b"\n")) >= 0:
                text, buffer = bytes(buffer[:end]), buffer[end + 1 :]
                if (told := self._word(carry, text)) is not None:
                    return told
            if len(buffer) > self._limits.word:
                return DOUBT
        return (buffer and self._word(carry, bytes(buffer))) or DOUBT

    def _word(self, carry: Carry, text: bytes) -> tuple[Ending, tuple[float, ...], bytes] | None:
        """What one line tells: the end, or none where the stream goes on."""
        if not text.strip():
            return None
        try:
            word = wire.read_word(text)
            body = word.body()
        except msgspec.MsgspecError:
            return DOUBT
        if word.id.encode() != carry.request.id:
            return DOUBT
        match word.state:
            case wire.STARTED:
                self._desk.put(Began(carry.request, carry.posting))
                return None
            case wire.RUNNING:
                self._desk.put(Moved(carry.request, carry.posting, word.share))
                return None
            case wire.DONE if body is not None:
                return Ending.SETTLED, word.figures(self._charter.load_columns), body
            case wire.FAILED:
                return Ending.ERROR, word.figures(self._charter.load_columns), b""
            case wire.RETURNED:
                return Ending.FULL, word.figures(self._charter.load_columns), b""
            case wire.LOST:
                return Ending.BROKEN, word.figures(self._charter.load_columns), b""
        return DOUBT

    async def _ended(self, line: Peer) -> bool:
        """Read the message's end; whether the line can carry another."""
        if line.state.our_state is not h11.DONE:
            return False
        try:
            async with asyncio.timeout(self._limits.tail / 1000.0):
                while line.state.their_state is h11.SEND_BODY:
                    await line.event()
        except (TimeoutError, h11.RemoteProtocolError):
            return False
        return line.next_cycle()

    async def _look(self, turn: asyncio.Future) -> None:
        """One probe."""
        place, load, answered, line, kept = self._place, (), False, None, None
        path = wire.LOAD_PATH if self._charter.load_columns else wire.HEALTH
        try:
            async with asyncio.timeout(self._limits.probe / 1000.0):
                line = await turn
                place, line = self._place, line or await self._open()
                if line is not None:
                    headers = [(b"host", self._host())]
                    line.write(h11.Request(method=b"GET", target=path, headers=headers), h11.EndOfMessage())
                    answer, body = await line.event(), b""
                    while isinstance(event := await line.event(), h11.Data) and len(body) < self._limits.body:
                        body += bytes(event.data)
                    answered = isinstance(answer, h11.Response) and answer.status_code == 200
                    load = wire.report(body, self._charter.load_columns)
                    kept = line if line.next_cycle() else _dropped(line)
        except (OSError, h11.ProtocolError, _Undone):
            kept = _dropped(line or _granted(turn))
        except Exception as problem:
            self._log.say("probe_broke", worker=self.name, problem=repr(problem))
            kept = _dropped(line or _granted(turn))
        finally:
            self._desk.put(Looked(self.name, answered, load))
            self.mail.put(_Free(None, turn, kept, place))


class _Undone(Exception):
    """The worker drains or has left before the errand's turn came."""


class _Free(NamedTuple):
    """To the worker from its own errand: over, and the line that can carry another, if any."""

    key: tuple[Request, int] | None
    turn: asyncio.Future
    line: Peer | None
    place: Place  # where the line leads to


def _was_granted(turn: asyncio.Future) -> bool:
    return turn.done() and not turn.cancelled() and turn.exception() is None


def _granted(turn: asyncio.Future) -> Peer | None:
    """The line given to a turn, also where its errand was called off before it could take it."""
    return turn.result() if _was_granted(turn) else None


def _dropped(line: Peer | None) -> None:
    if line is not None:
        line.drop()
