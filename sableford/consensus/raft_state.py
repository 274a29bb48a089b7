"""State of one Raft node, queries on it, and persistence.

Messages that depend on a write are held back until the disk has confirmed it.
"""

from collections import deque
from collections.abc import Iterable
from math import inf
from random import Random
from typing import NamedTuple

import msgspec

from sableford.consensus.constants import (
    DATAGRAMS,
    ELECTION_TIMEOUT,
    ENTRY_OVERHEAD,
    MAX_EARLY_CHUNKS,
    STARTUP_ANSWER_TIMEOUT,
    UNKNOWN,
    Transport,
)
from sableford.consensus.effects import (
    Effect,
    HardState,
    LogDurable,
    LogEvent,
    OwnVoteDurable,
    Persist,
    ReplaceLog,
    Send,
    Standing,
    StoredState,
)
from sableford.consensus.messages import (
    AppendResponse,
    Entry,
    FetchResponse,
    Kind,
    StartupAnswer,
    VoteResponse,
)
from sableford.consensus.state_machine import MAX_VALUE_BYTES, Snapshot, StateMachine


def entry_size(entry: Entry) -> int:
    """The approximate size of an entry in a message or on disk."""
    return len(entry.data) + ENTRY_OVERHEAD


class Follower:
    __slots__ = (
        "acked_round",
        "acked_sent_at",
        "last_fetch_at",
        "last_response_at",
        "match_index",
        "next_index",
        "resent_at",
    )

    def __init__(self, last: int, now: float) -> None:
        self.resent_at = -1e12  # when entries were last sent again after it rejected some
        self.next_index, self.match_index, self.acked_round, self.last_response_at = last + 1, 0, 0, now
        self.last_fetch_at = -1e12  # when it last fetched
        self.acked_sent_at = -1e12  # when the newest round that it has acknowledged was sent


class SnapshotTransfer:
    """A snapshot that is being fetched from another process."""

    __slots__ = ("_early", "asked_at", "data", "last", "size", "source")

    def __init__(self, source: str, last: int, size: int) -> None:
        self.source, self.last, self.size, self.data = source, last, size, bytearray()
        self.asked_at = 0  # the byte from which it was last requested
        self._early: dict[int, bytes] = {}  # received out of order, by offset

    def take(self, at: int, data: bytes) -> None:
        """Adds a chunk, of any response to a fetch of this snapshot."""
        if at > len(self.data) and len(self._early) < MAX_EARLY_CHUNKS:
            self._early[at] = data
        if at != len(self.data):
            return
        self.data += data
        while (follows := self._early.pop(len(self.data), None)) is not None:
            self.data += follows


class PendingRead(NamedTuple):
    """A read at the leader: answered once a majority has acknowledged heartbeat round `round`."""

    round: int
    asker: str
    incarnation: int
    number: int


class Learner(NamedTuple):
    """What the leader knows of a learner. Its progress is measured in rounds (Ongaro's dissertation, 4.2.1):
    a round ends once the learner holds all that was committed when the round began."""

    id: str
    caught_up: bool
    last_fetch_at: float
    round_end: int = 0  # the index at which this round ends
    round_began_at: float = 0.0  # when this round began

    def fetched(self, now: float, have: int, round_commit: int, commit: int) -> "Learner":
        """The learner holds all entries up to `have`. `round_commit`: the commit index when the last
        heartbeats were sent; `commit`: the commit index now. Under constant commits it never holds more
        than `round_commit`."""
        is_quick = now - self.round_began_at <= ELECTION_TIMEOUT
        if have < round_commit and have < self.round_end:
            return self._replace(caught_up=self.caught_up and is_quick, last_fetch_at=now)
        caught_up = have >= round_commit or is_quick
        return Learner(self.id, caught_up, now, commit, now)


def learner(id: str, now: float, commit: int) -> Learner:
    """A learner at its first fetch."""
    return Learner(id, False, now, commit, now)


def _drop_entries_after_gap(held: StoredState) -> StoredState:
    """Entries that do not directly follow the snapshot can't be applied: they count as lost."""
    image_last, image_term = (held.snapshot.last, held.snapshot.term) if held.snapshot is not None else (0, 0)
    if held.first <= image_last + 1:
        return held
    last = held.first + len(held.entries) - 1
    lost = max(held.lost or (0, 0), (held.term, last))
    return held._replace(first=image_last + 1, before=image_term, entries=(), lost=lost)


class PendingProposal:
    __slots__ = ("data", "kind", "read_index", "sent_at")

    def __init__(self, kind: int, data: bytes | None) -> None:
        self.kind, self.data, self.sent_at = kind, data, -1e12
        self.read_index = 0  # of a read: the entry that must have been applied here


class RaftState:
    def __init__(
        self,
        name: str,
        incarnation: int,
        voters: Iterable[str],
        held: StoredState,
        now: float,
        seed: int,
        max_value_bytes: int = MAX_VALUE_BYTES,
        newcomer: bool = False,
        startup_answer_timeout: float = STARTUP_ANSWER_TIMEOUT,
        transport: Transport = DATAGRAMS,
    ) -> None:
        """`voters`: the configured names; the first leader records their ids. `max_value_bytes`: the largest
        value that the transport carries. `newcomer`: the folder is empty and the log already exists
        elsewhere; the process votes once the others have added it. `startup_answer_timeout`: ms to wait for
        all voters' answers to the startup question; then a majority is enough. `transport`: batch and window
        sizes."""
        self._transport = transport
        self.name, self.incarnation, self.id, self._max_value_bytes = (
            name,
            incarnation,
            held.id,
            max_value_bytes,
        )
        self._random = Random(f"record {name} {incarnation} {seed}")
        self._configured_voters = tuple(voters)
        self.state_machine = StateMachine()
        self.term, self.vote = held.term, held.vote
        whole = _drop_entries_after_gap(held)
        self._rewrite_due = whole is not held  # the disk still holds the dropped entries
        held = whole
        self.first = held.first  # index of the first entry in the log
        self._term_before_first = held.before  # the term of the entry before it
        self.entries: list[Entry] = list(held.entries)
        self.snapshot: Snapshot | None = held.snapshot
        self._applied_bytes = 0  # size of the entries applied since the snapshot
        # Voters by the snapshot or the configuration.
        self._base_voters: dict[str, str] = dict.fromkeys(self._configured_voters, "")
        if held.snapshot is not None:
            self._adopt_snapshot(held.snapshot)
        # Voters that the host wants; a leader changes the voters towards them.
        self.wanted_voters = tuple(voters)
        self.known_members: tuple[str, ...] = ()  # other processes that hold the log, as told by the host
        if newcomer and held.snapshot is None and not self.entries:
            self._base_voters = dict.fromkeys(self._configured_voters, UNKNOWN)
        self.commit = self.state_machine.last
        self.durable = self.last
        self._lost_position = held.lost
        if self._lost_position is not None and self._lost_position[0] >= self.term:
            # It may have voted in that term, and for whom is lost: it must not vote in it again.
            self.term, self.vote = self._lost_position[0], "?"
        self.standing = self._standing_before_failure = Standing.LEARNER
        knows_voter_ids = any(self._latest_voters().values())
        if newcomer and UNKNOWN in self._base_voters.values():
            self.standing = Standing.REPLACED
        elif name in (self._latest_voters() if knows_voter_ids else self._configured_voters):
            self.standing = Standing.ASKING if knows_voter_ids else Standing.NEW
        self.leader = ""
        self.is_leader = False
        self._voters = self._latest_voters()
        # The highest term and entry heard of each voter's folder.
        self._progress: dict[str, tuple[str, int, int]] = {}
        self._startup_answers: dict[str, StartupAnswer] = {}
        self._startup_began_at, self._startup_question_at, self._startup_answer_timeout = (
            now,
            now,
            startup_answer_timeout,
        )
        self._votes: dict[str, bool] = {}  # responses in the current election
        self._in_pre_vote = False
        self._followers: dict[str, Follower] = {}
        self._round = self._next_heartbeat_at = 0
        self._round_sent_at: dict[int, float] = {}  # send times of the last rounds
        self._pending_reads: list[PendingRead] = []
        self._learners: dict[str, Learner] = {}
        self._round_commit = 0  # commit index when the last heartbeats were sent
        self._outgoing: dict[str, int] = {}  # voters to remove: the round in which that was first seen
        # Effects held back until the numbered write is durable.
        self._held_back: deque[tuple[int, list[Effect]]] = deque()
        self._persist_count = 0
        self._recovery_number = inf  # number of the write that recovers a failed disk
        self._proposals: dict[int, PendingProposal] = {}
        self._next_proposal = self._next_read = 0
        self._uncommitted_proposals: dict[
            tuple[str, int], int
        ] = {}  # at a leader: index of each proposal that is in the log but not committed
        self._next_fetch_at = now
        # The last process fetched from, and the fetches since its last response.
        self._fetch_source, self._unanswered_fetches = "", 0
        self._requested_after = 0  # the entry after which it last requested
        self._learner_heartbeat_at = self._prompted_fetch_at = -inf
        self._early: dict[int, FetchResponse] = {}  # responses received out of order, by first index
        self._fetching: SnapshotTransfer | None = None
        self._snapshot_cache: dict[
            int, tuple[bytes, float]
        ] = {}  # by last index: encoded, and when last fetched
        self._election_due_at = self._election_deadline(now)
        self._last_tick = now
        self._leader_heard_at = now  # when the leader was last heard
        self._last_support_at = now  # until when a leader may have counted on this process's responses
        self._support_ended_at: dict[str, float] = {}  # the same, of those who have voted for this process
        # At a leader: when an earlier leader can last have counted a majority.
        self.earlier_leader_until = now
        self.due = now

    @property
    def process_id(self) -> int:
        """The incarnation, under the name that `sableford.fleet` uses."""
        return self.incarnation

    @property
    def last(self) -> int:
        return self.first + len(self.entries) - 1

    def entry_at(self, index: int) -> Entry | None:
        return self.entries[index - self.first] if self.first <= index <= self.last else None

    def term_at(self, index: int) -> int:
        """The term of an entry in the log or just before the first; -1 for any other."""
        if index == self.first - 1:
            return self._term_before_first
        entry = self.entry_at(index)
        return entry.term if entry else -1

    def voters(self) -> dict[str, str]:
        return self._voters

    def stable_voters(self) -> dict[str, str] | None:
        """The committed voters, or None while a change of them is not committed."""
        if not self.knows_voter_ids() or any(
            entry.kind == Kind.VOTERS for entry in self.entries[max(0, self.commit + 1 - self.first) :]
        ):
            return None
        return dict(self._voters)

    def _peers(self) -> list[str]:
        """Other processes that may hold the log."""
        known = dict.fromkeys([*self._configured_voters, *self._voters, *self.known_members])
        return [name for name in known if name != self.name]

    def knows_voter_ids(self) -> bool:
        return any(self._voters.values())

    def _latest_voters(self) -> dict[str, str]:
        """The voters by the last entry that sets them, committed or not."""
        return self._voters_at(self.last)

    def _voters_at(self, index: int) -> dict[str, str]:
        """The voters as of entry `index`, as far as the log goes back."""
        for at in range(min(index, self.last), self.first - 1, -1):
            if self.entry_at(at).kind == Kind.VOTERS:
                return msgspec.msgpack.decode(self.entry_at(at).data, type=dict[str, str])
        return dict(self._base_voters)

    def _voters_index(self) -> int:
        """The entry that set the voters, or a later one if it is only in the snapshot."""
        for index in range(self.last, self.first - 1, -1):
            if self.entry_at(index).kind == Kind.VOTERS:
                return index
        return self.snapshot.last if self.snapshot is not None else 0

    def _is_voter(self, name: str, id: str) -> bool:
        return name in self._voters and self._voters[name] in ("", id)

    def _majority(self, yes: Iterable[str]) -> bool:
        return len(self._voters.keys() & set(yes)) * 2 > len(self._voters)

    def _election_deadline(self, now: float) -> float:
        return now + ELECTION_TIMEOUT * (1.0 + self._random.random())

    def _set_standing(self, standing: Standing, why: str) -> list[Effect]:
        if standing is self.standing:
            return []
        self.standing = standing
        return [LogEvent("record_standing", {"standing": standing.name, "means": standing.value, "why": why})]

    # Persistence

    def _persist(self, *writes: object, then: list[Effect] | None = None) -> list[Effect]:
        """Writes to disk; `then` follows once this and all earlier writes are durable."""
        self._persist_count += 1
        self._held_back.append(
            (self._persist_count, [LogDurable(self.last, self.term_at(self.last)), *(then or [])])
        )
        return [Persist(self._persist_count, writes)]

    def _after_persisted(self, then: list[Effect]) -> list[Effect]:
        """Writes nothing; `then` follows once all earlier writes are durable."""
        if not self._held_back:
            return then
        number, before = self._held_back.pop()
        self._held_back.append((number, [*before, *then]))
        return []

    def handle_persisted(self, now: float, number: int) -> list[Effect]:
        """All writes up to `number` are durable."""
        if self.standing is Standing.NO_DISK and not self._recovery_number <= number:
            return []  # later than the failed write: the disk lacks what came before it
        effects: list[Effect] = []
        while self._held_back and self._held_back[0][0] <= number:
            for effect in self._held_back.popleft()[1]:
                match effect:
                    case LogDurable(last, term):
                        if self.term_at(last) == term:  # else it was truncated meanwhile
                            self.durable = last
                    case OwnVoteDurable(term):
                        if term == self.term and not self.is_leader and not self._in_pre_vote:
                            self._votes[self.name] = True
                            effects += self._count_votes(now)
                    case Send(_, VoteResponse(term=term) | AppendResponse(term=term)) if term != self.term:
                        pass  # the former leader would count it for entries that may be truncated by now
                    case _:
                        effects.append(effect)
        if self.standing is Standing.NO_DISK:
            # The state in memory is complete; only a new process has to ask how far its folder went.
            effects += self._set_standing(self._standing_before_failure, "its disk takes it again")
            if self.standing in (Standing.NEW, Standing.ASKING):
                self._startup_answers.clear()
                self._startup_began_at = self._startup_question_at = now
        if self.standing is Standing.INCOMPLETE and self._has_recovered_lost():
            self._lost_position = None
            effects += self._persist(self._replace_log()) + self._set_standing(
                Standing.VOTING, "it has fetched what it lost"
            )
        if self.is_leader:
            effects += self._advance_commit()
        return effects

    def handle_disk_failure(self, now: float, why: str) -> list[Effect]:
        """A write failed: effects that waited for it are dropped, and this process neither votes nor leads
        until the log was rewritten. Reading goes on."""
        if self.standing is not Standing.NO_DISK:
            self._standing_before_failure = self.standing
        effects = self._set_standing(Standing.NO_DISK, why)
        self._held_back.clear()
        self._votes = {}
        self._recovery_number = inf
        if self.is_leader:
            self._last_support_at = now
            self.is_leader, self.leader = False, ""
            self._forget_pending_requests()
        return effects

    def rewrite(self) -> list[Effect]:
        """Rewrites the whole log after a disk failure, since no earlier write can be trusted. One attempt at
        a time, and compacted as far as possible, because the disk may be full."""
        if self.standing is not Standing.NO_DISK or self._recovery_number < inf:
            return []
        self._recovery_number = self._persist_count + 1
        if self.state_machine.last > (self.snapshot.last if self.snapshot else 0):
            return self._compact(0, 0)
        return self._persist(self._replace_log())

    def _replace_log(self) -> ReplaceLog:
        hard_state = HardState(self.term, self.vote)
        return ReplaceLog(
            self.id,
            hard_state,
            self.snapshot,
            self.first,
            self._term_before_first,
            tuple(self.entries),
            self._lost_position,
        )
