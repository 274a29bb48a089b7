"""Runs this process's replica of the record: its messages, its disk, and the proposals made here.

The consensus code (`sableford.consensus`) does no I/O; this module carries out its effects.
"""

import asyncio
import os
from collections.abc import Callable, Iterable
from typing import NamedTuple
from zlib import crc32

import msgspec

from sableford.common.disk import Disk
from sableford.common.log import EventLog
from sableford.consensus import effects as raft_effects
from sableford.consensus import messages as raft_messages
from sableford.consensus.constants import STREAMS
from sableford.consensus.raft_node import RaftNode
from sableford.control.protocol import RecordMessage
from sableford.control.record_storage import RecordStorage, RecordWriter
from sableford.transport.link import IncomingMessage, Link
from sableford.transport.link_pool import LinkPool

STARTUP_ANSWER_TIMEOUT_MS = 400.0  # for all voters to answer a starting one: a running one takes a few ms
PROPOSAL_TIMEOUT_MS = 3000.0  # for a majority to agree on an entry; its caller asks again
REWRITE_AFTER_S = 1.0  # after a failed write, until everything is written again
MAX_VALUE_BYTES = 1_048_576  # smaller than the largest configuration that a request may carry

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(raft_messages.RaftMessage).decode


class ProposalResult(NamedTuple):
    """The result of a proposal: whether it is in force, its position in the log, and if not, why."""

    accepted: bool
    position: int
    why: str


class RecordDriver:
    """`on_applied` is called when the record's values may have changed, `on_event` after anything that may
    change the leader. Times are ms of `now`."""

    def __init__(
        self,
        name: str,
        links: LinkPool,
        disk: Disk,
        log: EventLog,
        now: Callable[[], float],
        on_applied: Callable[[], None],
        on_event: Callable[[], None],
    ) -> None:
        self._name, self._links, self._disk, self._log, self._now = name, links, disk, log, now
        self._on_applied, self._on_event = on_applied, on_event
        self._loop = asyncio.get_running_loop()
        self.record: RaftNode | None = None
        self._writer: RecordWriter | None = None
        self._incarnation = int.from_bytes(os.urandom(6), "little")
        self._proposals: dict[int, asyncio.Future[ProposalResult]] = {}
        self._incoming_links: dict[str, Link] = {}  # by sender: the link of its last record message

    def start(self, storage: RecordStorage, seeds: Iterable[str]) -> RaftNode:
        """Every store holds a replica of the record. The voters are agreed on in it; at first the seeds."""
        self._writer = RecordWriter(storage, self._disk.write, self._stored)
        is_newcomer = not storage.initial_voters
        names = storage.initial_voters or sorted({*seeds} - {self._name})
        self.record = RaftNode(
            self._name,
            self._incarnation,
            names,
            storage.stored_state,
            self._now(),
            crc32(self._name.encode()),
            max_value_bytes=MAX_VALUE_BYTES,
            newcomer=is_newcomer,
            startup_answer_timeout=STARTUP_ANSWER_TIMEOUT_MS,
            transport=STREAMS,
        )
        return self.record

    @property
    def leads(self) -> bool:
        """Whether this replica is the leader of its term."""
        return self.record is not None and self.record.is_leader

    def leads_with_all_applied(self) -> bool:
        """Whether it is the leader and has applied everything that was committed before."""
        record = self.record
        return (
            record is not None
            and record.is_leader
            and record.term_at(record.commit) == record.term
            and record.state_machine.last >= record.commit
        )

    def stable_voters(self) -> dict[str, str] | None:
        """The voters, by name with the id of each one's disk; None during a change of voters."""
        return self.record.stable_voters() if self.record is not None else None

    def next_tick_in_ms(self) -> float:
        """The time until the record's next tick."""
        return self.record.due - self._now() if self.record is not None else float("inf")

    def tick(self) -> None:
        """Runs the record's timers that are due."""
        if self.record is not None and self._now() >= self.record.due:
            self.carry_out(self.record.tick(self._now()))

    def link_up(self) -> None:
        """A link to another process is open: requests that wait for its answer are sent now."""
        if self.record is not None:
            self.record.handle_connected(self._now())
            self.tick()

    def handle_message(self, incoming: IncomingMessage[RecordMessage]) -> None:
        """Takes a message of another replica."""
        if self.record is None:
            return
        try:
            message = _decode(incoming.body)
        except msgspec.MsgspecError:
            self._log.event("record_message_unreadable", sender=incoming.sender)
            return
        sender = incoming.message.sender
        self._incoming_links[sender] = incoming.link
        self.carry_out(self.record.handle_message(self._now(), sender, incoming.message.incarnation, message))
        self._on_event()

    async def propose(
        self, data: bytes | None, timeout_ms: float = PROPOSAL_TIMEOUT_MS
    ) -> ProposalResult | None:
        """Proposes an entry or, with no data, asks a majority to confirm the current state. None if the
        result is not known."""
        assert self.record is not None, "not started"
        number, effects = self.record.propose(self._now(), data)
        future = self._proposals[number] = self._loop.create_future()
        self.carry_out(effects)
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                result: ProposalResult = await future
                return result
        except TimeoutError:
            self.record.drop(number)
            return None
        finally:
            self._proposals.pop(number, None)

    def carry_out(self, effects: Iterable[raft_effects.Effect]) -> None:
        """Carries out the record's effects, in order."""
        for effect in effects:
            match effect:
                case raft_effects.Send(to, message):
                    self._send(to, message)
                case raft_effects.Persist():
                    assert self._writer is not None, "not started"
                    self._writer.persist(effect)
                case raft_effects.ProposalResult(number, accepted, index, why):
                    future = self._proposals.pop(number, None)
                    if future is not None and not future.done():
                        future.set_result(ProposalResult(accepted, index, why))
                case raft_effects.Committed() | raft_effects.SnapshotInstalled():
                    self._on_applied()
                case raft_effects.LogEvent(event, fields):
                    self._log.event(event, **fields)

    def _send(self, to: str, message: raft_messages.RaftMessage) -> None:
        # A store that lost its disk knows few others; it answers on the link that a message came on.
        link = self._links.link(to) or self._incoming_links.get(to)
        if link is not None:
            link.send(RecordMessage(self._name, self._incarnation), _encode(message))

    def _stored(self, number: int, problem: BaseException | None) -> None:
        assert self.record is not None, "not started"
        if problem is None:
            self.carry_out(self.record.handle_persisted(self._now(), number))
        else:
            self.carry_out(self.record.handle_disk_failure(self._now(), repr(problem)))
            self._loop.call_later(REWRITE_AFTER_S, self._rewrite)
        self._on_event()

    def _rewrite(self) -> None:
        assert self.record is not None, "not started"
        self.carry_out(self.record.rewrite())
