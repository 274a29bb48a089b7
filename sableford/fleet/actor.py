"""The fleet's actor: one UDP address, the two cores behind it, and the record's folder by a hand.

It owns the socket, the timers and the order in which the disk is asked. It must never decide who is there
or what is agreed on, nor let a txn wait for either.
"""

import asyncio
import os
import socket
import traceback
from collections import deque
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple
from zlib import crc32

import msgspec

from sableford.common.serial_executor import SerialExecutor
from sableford.consensus import effects as raft_effects
from sableford.consensus import file_disk as disk
from sableford.consensus import messages as raft_messages
from sableford.consensus.effects import LogEvent, ProposalResult
from sableford.consensus.log_files import LogFiles, RecoveredFolder
from sableford.consensus.raft_node import RaftNode, put
from sableford.fleet.membership import words as member_words
from sableford.fleet.membership.core import Changed, Members, Twin
from sableford.fleet.seat import Seat
from sableford.fleet.words import Post
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.messages import (
    Clock,
    FleetStatus,
    Mailbox,
    PeerPayload,
    RecordRequest,
    SendToPeers,
    Shutdown,
)

AGAIN = 100.0  # ms between two tries at an address or a folder that another process still holds
REWRITE = 1000.0  # ms between two tries at a disk that refuses
SEEN = 250.0  # ms between two pictures for the operators' door
COUNTED = 10_000.0  # ms between two lines on words that were passed over
BUFFER = 1_048_576  # bytes of datagrams that may wait in the kernel while the loop is busy


class Told(msgspec.Struct, array_like=True, frozen=True, tag=31):
    """A word of the decision module's own, passed on as it is."""

    word: bytes


class _Datagram(NamedTuple):
    data: bytes
    source: tuple[str, int]


class _Opened(NamedTuple):
    """To itself, from the hand: the folder, or why not."""

    found: RecoveredFolder | None
    problem: str = ""


class _Stored(NamedTuple):
    number: int
    problem: str = ""


class _Ear(asyncio.DatagramProtocol):
    def __init__(self, mail: Mailbox) -> None:
        self._mail = mail

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._mail.put(_Datagram(data, addr[:2]))

    def error_received(self, problem: Exception) -> None:
        """A port that nobody listens on: the members' own probes say so soon enough."""


class Fleet:
    def __init__(
        self, seat: Seat, seed: str, clock: Clock, limits: Limits, log: Log, console: Mailbox
    ) -> None:
        self.mail = Mailbox()
        self._seat, self._clock, self._limits, self._log, self._console = seat, clock, limits, log, console
        self._seed, self._birth = crc32(seed.encode()), int.from_bytes(os.urandom(6), "little")
        self._names = list(seat.peers)
        kinds = member_words.Words | raft_messages.RaftMessage | Told
        self._post = Post(seat.name, self._birth, kinds)
        self._line: asyncio.DatagramTransport | None = None
        self._file_calls = SerialExecutor("record")
        self._store: LogFiles | None = None
        self._members: Members | None = None
        self._record: RaftNode | None = None
        self._due: deque = deque()  # stores not yet given to the hand
        self._keeping = self._opening = False
        self._disk = ""  # what is wrong with it
        self._replies: dict[int, Mailbox] = {}
        self._try_at = self._seen_at = self._counted_at = 0.0
        self._rewrite_at: float | None = None
        self._counted: dict[str, int] = {}
        self._said: str = ""

    async def run(self, desk: Mailbox) -> None:
        """Until the process ends. A failure in here ends the fleet's part alone: txns owe nothing to it."""
        try:
            await self._run(desk)
        except Exception as problem:
            self._log.event("fleet_failed", problem=repr(problem), at=_where(problem))
            if self._line is not None:
                self._line.close()
            for reply in self._replies.values():
                reply.put((False, 0, "the fleet's part has failed"))
            told = {"name": self._seat.name, "failed": repr(problem)}
            self._console.put(FleetStatus(msgspec.json.encode(told)))
        while True:
            for message in await self.mail.take():
                if isinstance(message, RecordRequest):
                    message.reply.put((False, 0, "the fleet's part has failed"))

    async def _run(self, desk: Mailbox) -> None:
        while True:
            for message in await self.mail.take(self._within()):
                now = self._clock.now()
                match message:
                    case _Datagram(data, source):
                        self._hear(now, data, source, desk)
                    case SendToPeers(peers, word):
                        self._tell(peers, word)
                    case RecordRequest():
                        self._ask(now, message)
                    case _Opened(found, problem):
                        self._begin(now, found, problem)
                    case _Stored(number, problem):
                        self._stored(now, number, problem)
                    case Shutdown() if self._members is not None:
                        self._do(self._members.leave())
            await self._tick(self._clock.now())

    def _within(self) -> float:
        now = self._clock.now()
        if self._members is None:
            return max(0.0, self._try_at - now)
        dues = [self._members.due, self._seen_at]
        if self._record is not None:
            dues.append(self._record.due)
        if self._rewrite_at is not None:
            dues.append(self._rewrite_at)
        return max(0.0, min(dues) - now)

    async def _tick(self, now: float) -> None:
        if self._members is None:
            if now >= self._try_at:
                await self._open(now)
            return
        if now >= self._members.due:
            self._do(self._members.tick(now))
        if self._record is None:
            if not self._opening and now >= self._try_at:
                self._open_folder()
        else:
            if now >= self._record.due:
                self._do(self._record.tick(now))
            if self._rewrite_at is not None and now >= self._rewrite_at:
                self._rewrite_at = None
                self._do(self._record.rewrite())
            self._members.newest = self._record.commit
            newest = max((one.newest for one in self._members.others.values()), default=0)
            self._record.handle_commit_hint(now, newest)
        if now >= self._seen_at:
            self._seen_at = now + SEEN
            self._console.put(FleetStatus(msgspec.json.encode(self.picture())))
        if now >= self._counted_at + COUNTED:
            self._counted_at = now
            counted = dict(self._post.passed_over)
            if counted != self._counted:
                self._log.event("words_passed_over", **counted)
                self._counted = counted

    # The address

    async def _open(self, now: float) -> None:
        """Another process of this scheduler may hold it until it ends: tried again and again."""
        self._try_at = now + AGAIN
        loop, place = asyncio.get_running_loop(), self._seat.peers[self._seat.name]
        try:
            self._line, _ = await loop.create_datagram_endpoint(lambda: _Ear(self.mail), local_addr=place)
        except OSError as problem:
            if self._said != "deaf":
                self._log.event("fleet_deaf", problem=repr(problem))
            self._said = "deaf"
            return
        with suppress(OSError):
            sock = self._line.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        self._said = ""
        peers = {name: "{}:{}".format(*at) for name, at in self._seat.peers.items()}
        self._members = Members(
            self._seat.name, self._birth, peers[self._seat.name], peers, self._clock.now(), self._seed
        )
        self._log.event("fleet_heard", listen=place, peers=len(peers), voters=self._seat.voters)

    def _hear(self, now: float, data: bytes, source: tuple[str, int], desk: Mailbox) -> None:
        if self._members is None or (heard := self._post.open(data, source)) is None:
            return
        sender, birth, word = heard
        match word:
            case Told(text):
                if sender in self._seat.peers and sender != self._seat.name:
                    desk.put(PeerPayload(self._names.index(sender), text))
            case _ if isinstance(word, member_words.Words):
                self._do(self._members.heard(now, sender, birth, word))
            case _:
                if self._record is not None and sender != self._seat.name:
                    self._do(self._record.heard(now, sender, birth, word))

    def _tell(self, peers: tuple[int, ...], word: bytes) -> None:
        """What today's schedulers say to each other: to those that live."""
        if self._members is None:
            return
        alive = set(self._members.alive())
        for peer in peers:
            if peer < len(self._names) and self._names[peer] in alive:
                self._send(self._names[peer], "", Told(word))

    def _send(self, to: str, place: str, word: object) -> None:
        at = self._seat.peers.get(to)
        if at is None and place:
            host, _, port = place.rpartition(":")
            at = (host, int(port)) if port.isdigit() else None
        if at is None or self._line is None or self._line.is_closing():
            return
        try:
            for data in self._post.seal(word):
                self._line.sendto(data, at)
        except ValueError as problem:
            self._log.event("word_too_long", to=to, problem=str(problem))

    # The folder

    def _open_folder(self) -> None:
        self._opening = True
        name, folder = self._seat.name, Path(self._seat.folder)

        def work() -> RecoveredFolder:
            self._store = LogFiles(disk.open_disk(folder), name)
            return self._store.open()

        def done(future: asyncio.Future) -> None:
            if not future.cancelled():
                problem = future.exception()
                self.mail.put(_Opened(None if problem else future.result(), repr(problem) if problem else ""))

        self._file_calls.submit("open", work).add_done_callback(done)

    def _begin(self, now: float, found: RecoveredFolder | None, problem: str) -> None:
        self._opening, self._try_at = False, now + REWRITE
        if found is None:
            if self._disk != problem:
                self._log.event("record_folder", folder=self._seat.folder, problem=problem)
            self._disk = problem
            return
        for said in found.said:
            self._log.event("record_folder", folder=self._seat.folder, problem=said)
        self._disk = ""
        self._record = RaftNode(self._seat.name, self._birth, self._seat.voters, found.held, now, self._seed)
        record = self._record
        self._log.event("record_opened", last=record.last, term=record.term, standing=record.standing.name)
        if found.failed:
            self._fail(now, found.failed)

    def _keep(self) -> None:
        """One call at the disk under way; all that came meanwhile goes with the next, under one flush."""
        if self._keeping or not self._due or self._store is None:
            return
        self._keeping = True
        batch, store = list(self._due), self._store
        self._due.clear()
        deeds = [deed for store_asked in batch for deed in store_asked.writes]

        def done(future: asyncio.Future) -> None:
            if not future.cancelled():
                problem = future.exception()
                self.mail.put(_Stored(batch[-1].number, str(problem) if problem else ""))

        self._file_calls.submit("keep", lambda: store.persist(deeds)).add_done_callback(done)

    def _stored(self, now: float, number: int, problem: str) -> None:
        self._keeping = False
        if problem:
            self._fail(now, problem)
        else:
            if self._disk:
                self._log.event("record_disk", problem="")
            self._disk = ""
            self._do(self._record.handle_persisted(now, number))
        self._keep()

    def _fail(self, now: float, problem: str) -> None:
        """Said once as it begins and once as it ends."""
        if not self._disk or self._rewrite_at is None:
            self._rewrite_at = now + REWRITE
        if not self._disk:  # what follows from the first failure has words of its own
            self._log.event("record_disk", problem=problem)
            self._disk = problem
        self._due.clear()
        self._do(self._record.handle_disk_failure(now, problem))

    # What the cores want done

    def _do(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case raft_effects.Persist():
                    self._due.append(effect)
                case raft_effects.Send(to, word):
                    self._send(to, "", word)
                case ProposalResult(number, yes, index, why):
                    if (reply := self._replies.pop(number, None)) is not None:
                        reply.put((yes, index, why))
                case LogEvent(event, facts):
                    self._log.event(event, **facts)
                case Changed(name, state, birth, why):
                    self._log.event("member", member=name, state=state.name, birth=birth, why=why)
                case Twin(name, births):
                    self._log.event("twins", member=name, births=births)
                case raft_effects.Committed() | raft_effects.SnapshotInstalled():
                    pass
                case _:
                    self._send(effect.to, effect.place, effect.message)
        self._keep()

    def _ask(self, now: float, message: RecordRequest) -> None:
        """A call at the door: a key's value read or set."""
        if self._record is None:
            message.reply.put((False, 0, "the folder is not open"))
            return
        data = None if message.value is None else put(message.key, message.value)
        number, effects = self._record.propose(now, data)
        self._replies[number] = message.reply if data is not None else _Reading(message, self._record)
        self._do(effects)
        asyncio.get_running_loop().call_later(self._limits.operator_call / 1000.0, self._drop, number)

    def _drop(self, number: int) -> None:
        if self._replies.pop(number, None) is not None and self._record is not None:
            self._record.drop(number)

    # For people

    def picture(self) -> dict:
        """Members and record as this process holds them; times are ms of its own clock."""
        members = [
            {"name": one.name, "state": one.state.name if one.incarnation >= 0 else "UNHEARD"}
            | {"birth": one.birth, "incarnation": one.incarnation, "since": round(one.since)}
            | {"suspected_by": sorted(one.by), "record": one.newest}
            for one in self._members.others.values()
        ]
        told = {"name": self._seat.name, "birth": self._birth, "incarnation": self._members.incarnation}
        told |= {"late": self._members.late, "now": round(self._clock.now()), "members": members}
        record = self._record
        if record is not None:
            told["record"] = {
                "standing": record.standing.name,
                "means": record.standing.value,
                "id": record.id,
                "leader": record.leader,
                "term": record.term,
                "commit": record.commit,
                "last": record.last,
                "kept": record.durable,
                "voters": record.voters(),
                "stopped": record.state_machine.stopped,
                "values": len(record.state_machine.values),
            }
        return told | {"disk": self._disk, "passed_over": dict(self._post.passed_over)}


def _where(problem: Exception) -> str:
    """The line that raised it."""
    last = traceback.extract_tb(problem.__traceback__)[-1]
    return f"{Path(last.filename).name}:{last.lineno}"


class _Reading:
    """Takes a read's answer and passes on the value that stood there by then."""

    def __init__(self, message: RecordRequest, record: RaftNode) -> None:
        self._message, self._record = message, record

    def put(self, answer: tuple[bool, int, str]) -> None:
        yes, index, why = answer
        value = self._record.state_machine.values.get(self._message.key)
        self._message.reply.put((yes, index, value.data if yes and value else why.encode() if why else None))
