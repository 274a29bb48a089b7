"""Fleet actor: connects membership and the replicated log to a UDP socket, timers and the log's folder.

Disk calls run on a separate thread, one at a time, so that requests never wait for them. All decisions are
made by `Membership` and `RaftNode`.
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
from sableford.fleet.config import FleetConfig
from sableford.fleet.datagrams import DatagramCodec
from sableford.fleet.membership.core import DuplicateName, Membership, StateChanged
from sableford.fleet.membership.messages import MembershipMessage
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

BIND_RETRY_MS = 100.0  # between attempts to bind an address that another process still holds
DISK_RETRY_MS = 1000.0  # between attempts to open the folder, or to write to a disk that failed
STATUS_INTERVAL_MS = 250.0  # between two status reports for the operators' console
DISCARD_LOG_INTERVAL_MS = 10_000.0  # between two log events on discarded datagrams
RECEIVE_BUFFER_BYTES = 1_048_576  # holds datagrams that arrive while the event loop is busy


class PolicyMessage(msgspec.Struct, array_like=True, frozen=True, tag=31):
    """A message of the scheduling policy, passed on unchanged."""

    message: bytes


class _Datagram(NamedTuple):
    data: bytes
    source: tuple[str, int]


class _FolderOpened(NamedTuple):
    """Result of opening the folder: its content, or the error."""

    recovered: RecoveredFolder | None
    problem: str = ""


class _WriteFinished(NamedTuple):
    """Result of a write: the number of the last Persist effect in it, and the error if it failed."""

    number: int
    problem: str = ""


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, mail: Mailbox) -> None:
        self._mailbox = mail

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._mailbox.put(_Datagram(data, addr[:2]))

    def error_received(self, problem: Exception) -> None:
        """Ignores unreachable ports: the failure detector finds members that do not answer."""


class FleetActor:
    """This scheduler's membership of the fleet and its replica of the log."""

    def __init__(
        self, config: FleetConfig, seed: str, clock: Clock, limits: Limits, log: Log, console: Mailbox
    ) -> None:
        self.mail = Mailbox()
        self._config, self._clock, self._limits = config, clock, limits
        self._log, self._console = log, console
        self._seed, self._process_id = crc32(seed.encode()), int.from_bytes(os.urandom(6), "little")
        self._peer_names = list(config.peers)
        message_types = MembershipMessage | raft_messages.RaftMessage | PolicyMessage
        self._codec = DatagramCodec(config.name, self._process_id, message_types)
        self._transport: asyncio.DatagramTransport | None = None
        self._file_calls = SerialExecutor("record")
        self._log_files: LogFiles | None = None
        self._membership: Membership | None = None
        self._raft: RaftNode | None = None
        self._unwritten: deque = deque()  # Persist effects not yet submitted
        self._writing = self._opening = False
        self._disk_error = ""  # the disk's current error
        self._pending_replies: dict[int, Mailbox] = {}
        self._retry_at = self._status_at = self._discard_log_at = 0.0
        self._rewrite_at: float | None = None
        self._logged_discards: dict[str, int] = {}
        self._bind_error: str = ""

    async def run(self, scheduler_mailbox: Mailbox) -> None:
        """Runs until the process ends. After an error only the fleet stops; requests are still served."""
        try:
            await self._run(scheduler_mailbox)
        except Exception as problem:
            self._log.event("fleet_failed", problem=repr(problem), at=_raised_at(problem))
            if self._transport is not None:
                self._transport.close()
            for reply in self._pending_replies.values():
                reply.put((False, 0, "the fleet's part has failed"))
            status = {"name": self._config.name, "failed": repr(problem)}
            self._console.put(FleetStatus(msgspec.json.encode(status)))
        while True:
            for message in await self.mail.take():
                if isinstance(message, RecordRequest):
                    message.reply.put((False, 0, "the fleet's part has failed"))

    async def _run(self, scheduler_mailbox: Mailbox) -> None:
        while True:
            for message in await self.mail.take(self._timeout_ms()):
                now = self._clock.now()
                match message:
                    case _Datagram(data, source):
                        self._receive(now, data, source, scheduler_mailbox)
                    case SendToPeers(peers, body):
                        self._send_policy_message(peers, body)
                    case RecordRequest():
                        self._handle_request(now, message)
                    case _FolderOpened(recovered, problem):
                        self._handle_opened(now, recovered, problem)
                    case _WriteFinished(number, problem):
                        self._handle_written(now, number, problem)
                    case Shutdown() if self._membership is not None:
                        self._apply(self._membership.leave())
            await self._tick(self._clock.now())

    def _timeout_ms(self) -> float:
        now = self._clock.now()
        if self._membership is None:
            return max(0.0, self._retry_at - now)
        times = [self._membership.due, self._status_at]
        if self._raft is not None:
            times.append(self._raft.due)
        if self._rewrite_at is not None:
            times.append(self._rewrite_at)
        return max(0.0, min(times) - now)

    async def _tick(self, now: float) -> None:
        if self._membership is None:
            if now >= self._retry_at:
                await self._bind(now)
            return
        if now >= self._membership.due:
            self._apply(self._membership.tick(now))
        if self._raft is None:
            if not self._opening and now >= self._retry_at:
                self._open_folder()
        else:
            if now >= self._raft.due:
                self._apply(self._raft.tick(now))
            if self._rewrite_at is not None and now >= self._rewrite_at:
                self._rewrite_at = None
                self._apply(self._raft.rewrite())
            self._membership.commit = self._raft.commit
            newest_commit = max((member.commit for member in self._membership.others.values()), default=0)
            self._raft.handle_commit_hint(now, newest_commit)
        if now >= self._status_at:
            self._status_at = now + STATUS_INTERVAL_MS
            self._console.put(FleetStatus(msgspec.json.encode(self.status())))
        if now >= self._discard_log_at + DISCARD_LOG_INTERVAL_MS:
            self._discard_log_at = now
            discards = dict(self._codec.discarded)
            if discards != self._logged_discards:
                self._log.event("words_passed_over", **discards)
                self._logged_discards = discards

    # Socket

    async def _bind(self, now: float) -> None:
        """Binds the address; retried while an earlier process of this scheduler still holds it."""
        self._retry_at = now + BIND_RETRY_MS
        loop, address = asyncio.get_running_loop(), self._config.peers[self._config.name]
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _Receiver(self.mail), local_addr=address
            )
        except OSError as problem:
            if self._bind_error != "deaf":
                self._log.event("fleet_deaf", problem=repr(problem))
            self._bind_error = "deaf"
            return
        with suppress(OSError):
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._bind_error = ""
        config = self._config
        peers = {name: "{}:{}".format(*at) for name, at in config.peers.items()}
        self._membership = Membership(
            config.name, self._process_id, peers[config.name], peers, self._clock.now(), self._seed
        )
        self._log.event("fleet_heard", listen=address, peers=len(peers), voters=self._config.voters)

    def _receive(self, now: float, data: bytes, source: tuple[str, int], scheduler_mailbox: Mailbox) -> None:
        if self._membership is None or (received := self._codec.decode(data, source)) is None:
            return
        sender, process_id, message = received
        match message:
            case PolicyMessage(body):
                if sender in self._config.peers and sender != self._config.name:
                    scheduler_mailbox.put(PeerPayload(self._peer_names.index(sender), body))
            case _ if isinstance(message, MembershipMessage):
                self._apply(self._membership.handle_message(now, sender, process_id, message))
            case _:
                if self._raft is not None and sender != self._config.name:
                    self._apply(self._raft.handle_message(now, sender, process_id, message))

    def _send_policy_message(self, peers: tuple[int, ...], body: bytes) -> None:
        """Sends a message of the scheduling policy to those peers that are alive."""
        if self._membership is None:
            return
        alive = set(self._membership.alive())
        for peer in peers:
            if peer < len(self._peer_names) and self._peer_names[peer] in alive:
                self._send(self._peer_names[peer], "", PolicyMessage(body))

    def _send(self, to: str, address: str, message: object) -> None:
        at = self._config.peers.get(to)
        if at is None and address:
            host, _, port = address.rpartition(":")
            at = (host, int(port)) if port.isdigit() else None
        if at is None or self._transport is None or self._transport.is_closing():
            return
        try:
            for data in self._codec.encode(message):
                self._transport.sendto(data, at)
        except ValueError as problem:
            self._log.event("word_too_long", to=to, problem=str(problem))

    # Disk

    def _open_folder(self) -> None:
        self._opening = True
        name, folder = self._config.name, Path(self._config.folder)

        def work() -> RecoveredFolder:
            self._log_files = LogFiles(disk.open_disk(folder), name)
            return self._log_files.open()

        def done(future: asyncio.Future) -> None:
            if not future.cancelled():
                problem = future.exception()
                self.mail.put(
                    _FolderOpened(None if problem else future.result(), repr(problem) if problem else "")
                )

        self._file_calls.submit("open", work).add_done_callback(done)

    def _handle_opened(self, now: float, recovered: RecoveredFolder | None, problem: str) -> None:
        self._opening, self._retry_at = False, now + DISK_RETRY_MS
        if recovered is None:
            if self._disk_error != problem:
                self._log.event("record_folder", folder=self._config.folder, problem=problem)
            self._disk_error = problem
            return
        for finding in recovered.said:
            self._log.event("record_folder", folder=self._config.folder, problem=finding)
        self._disk_error = ""
        self._raft = RaftNode(
            self._config.name, self._process_id, self._config.voters, recovered.held, now, self._seed
        )
        raft = self._raft
        self._log.event("record_opened", last=raft.last, term=raft.term, standing=raft.standing.name)
        if recovered.failed:
            self._handle_disk_failure(now, recovered.failed)

    def _write_next(self) -> None:
        """Starts the next write unless one is in progress; effects that arrive meanwhile share one flush."""
        if self._writing or not self._unwritten or self._log_files is None:
            return
        self._writing = True
        batch, log_files = list(self._unwritten), self._log_files
        self._unwritten.clear()
        writes = [write for effect in batch for write in effect.writes]

        def done(future: asyncio.Future) -> None:
            if not future.cancelled():
                problem = future.exception()
                self.mail.put(_WriteFinished(batch[-1].number, str(problem) if problem else ""))

        self._file_calls.submit("keep", lambda: log_files.persist(writes)).add_done_callback(done)

    def _handle_written(self, now: float, number: int, problem: str) -> None:
        self._writing = False
        if problem:
            self._handle_disk_failure(now, problem)
        else:
            if self._disk_error:
                self._log.event("record_disk", problem="")
            self._disk_error = ""
            self._apply(self._raft.handle_persisted(now, number))
        self._write_next()

    def _handle_disk_failure(self, now: float, problem: str) -> None:
        """Handles a disk failure, which is logged once when it begins and once when it ends."""
        if not self._disk_error or self._rewrite_at is None:
            self._rewrite_at = now + DISK_RETRY_MS
        if not self._disk_error:  # consequences of the first failure have log events of their own
            self._log.event("record_disk", problem=problem)
            self._disk_error = problem
        self._unwritten.clear()
        self._apply(self._raft.handle_disk_failure(now, problem))

    # Effects

    def _apply(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case raft_effects.Persist():
                    self._unwritten.append(effect)
                case raft_effects.Send(to, message):
                    self._send(to, "", message)
                case ProposalResult(number, yes, index, why):
                    if (reply := self._pending_replies.pop(number, None)) is not None:
                        reply.put((yes, index, why))
                case LogEvent(event, facts):
                    self._log.event(event, **facts)
                case StateChanged(name, state, process_id, why):
                    self._log.event("member", member=name, state=state.name, birth=process_id, why=why)
                case DuplicateName(name, process_ids):
                    self._log.event("twins", member=name, births=process_ids)
                case raft_effects.Committed() | raft_effects.SnapshotInstalled():
                    pass
                case _:
                    self._send(effect.to, effect.address, effect.message)
        self._write_next()

    def _handle_request(self, now: float, message: RecordRequest) -> None:
        """Handles a console request that reads or sets the value of a key."""
        if self._raft is None:
            message.reply.put((False, 0, "the folder is not open"))
            return
        data = None if message.value is None else put(message.key, message.value)
        number, effects = self._raft.propose(now, data)
        self._pending_replies[number] = message.reply if data is not None else _ReadReply(message, self._raft)
        self._apply(effects)
        asyncio.get_running_loop().call_later(
            self._limits.operator_call / 1000.0, self._expire_request, number
        )

    def _expire_request(self, number: int) -> None:
        if self._pending_replies.pop(number, None) is not None and self._raft is not None:
            self._raft.drop(number)

    # Status

    def status(self) -> dict:
        """Members and replicated log as this process sees them; times are ms of its own clock."""
        members = [
            {"name": member.name, "state": member.state.name if member.incarnation >= 0 else "UNHEARD"}
            | {"birth": member.process_id, "incarnation": member.incarnation, "since": round(member.since)}
            | {"suspected_by": sorted(member.suspected_by), "record": member.commit}
            for member in self._membership.others.values()
        ]
        status = {
            "name": self._config.name,
            "birth": self._process_id,
            "incarnation": self._membership.incarnation,
        }
        status |= {"late": self._membership.health_score, "now": round(self._clock.now()), "members": members}
        raft = self._raft
        if raft is not None:
            status["record"] = {
                "standing": raft.standing.name,
                "means": raft.standing.value,
                "id": raft.id,
                "leader": raft.leader,
                "term": raft.term,
                "commit": raft.commit,
                "last": raft.last,
                "kept": raft.durable,
                "voters": raft.voters(),
                "stopped": raft.state_machine.stopped,
                "values": len(raft.state_machine.values),
            }
        return status | {"disk": self._disk_error, "passed_over": dict(self._codec.discarded)}


def _raised_at(problem: Exception) -> str:
    """File and line that raised the exception."""
    last = traceback.extract_tb(problem.__traceback__)[-1]
    return f"{Path(last.filename).name}:{last.lineno}"


class _ReadReply:
    """Reply mailbox of a read: adds the value of the key when the read has been confirmed."""

    def __init__(self, message: RecordRequest, raft: RaftNode) -> None:
        self._message, self._raft = message, raft

    def put(self, answer: tuple[bool, int, str]) -> None:
        yes, index, why = answer
        value = self._raft.state_machine.values.get(self._message.key)
        self._message.reply.put((yes, index, value.data if yes and value else why.encode() if why else None))
