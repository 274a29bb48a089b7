"""The record's state at one process, what can be read from it, and its way to the disk.

What the disk has not confirmed is never told to others.
"""

from collections import deque
from collections.abc import Iterable
from math import inf
from random import Random
from typing import NamedTuple

import msgspec

from sableford.consensus.constants import (
    DATAGRAMS,
    EARLY_PIECES,
    ELECTION_TIMEOUT,
    ENTRY_OVERHEAD,
    STARTUP_ANSWER_TIMEOUT,
    UNKNOWN,
    Transport,
)
from sableford.consensus.effects import (
    Effect,
    HardState,
    LogEvent,
    OwnVoteCounts,
    Persist,
    Persisted,
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
from sableford.consensus.state_machine import MOST_VALUE, Snapshot, StateMachine


def entry_size(entry: Entry) -> int:
    """About how many bytes it takes in a message or on disk."""
    return len(entry.data) + ENTRY_OVERHEAD


class Follower:
    __slots__ = ("back_at", "fetched_at", "heard", "match", "next", "round", "said_to")

    def __init__(self, last: int, now: float) -> None:
        self.back_at = -1e12  # when it was last fed anew from where it said
        self.next, self.match, self.round, self.heard = last + 1, 0, 0, now
        self.fetched_at = -1e12  # when it fetched last
        self.said_to = -1e12  # when the newest word went out that it has answered


class FetchedSnapshot:
    """A snapshot under way to this process, from one that serves it."""

    __slots__ = ("_early", "asked_at", "data", "last", "size", "source")

    def __init__(self, source: str, last: int, size: int) -> None:
        self.source, self.last, self.size, self.data = source, last, size, bytearray()
        self.asked_at = 0  # the byte from which it was asked for last
        self._early: dict[int, bytes] = {}  # pieces that came before one that they follow on

    def take(self, at: int, data: bytes) -> None:
        """One piece; those of other answers too."""
        if at > len(self.data) and len(self._early) < EARLY_PIECES:
            self._early[at] = data
        if at != len(self.data):
            return
        self.data += data
        while (follows := self._early.pop(len(self.data), None)) is not None:
            self.data += follows


class PendingRead(NamedTuple):
    """A read that a leader was asked for: answered once a majority has answered that round."""

    round: int
    asker: str
    incarnation: int
    number: int


class Learner(NamedTuple):
    """What a leader knows of one that fetches. Its progress is measured in rounds (Ongaro's dissertation,
    4.2.1): a round ends once it holds all that was agreed on when the round began."""

    id: str
    caught_up: bool
    heard: float
    goal: int = 0  # the last index of this round
    began: float = 0.0  # this round

    def fetched(self, now: float, have: int, round_commit: int, commit: int) -> "Learner":
        """It holds all up to `have`. `round_commit`: agreed on when the last heartbeats went out; `commit`:
        agreed on now. While entries are agreed on all the time it holds no more than the last round's."""
        is_quick = now - self.began <= ELECTION_TIMEOUT
        if have < round_commit and have < self.goal:
            return self._replace(caught_up=self.caught_up and is_quick, heard=now)
        caught_up = have >= round_commit or is_quick
        return Learner(self.id, caught_up, now, commit, now)


def learner(id: str, now: float, commit: int) -> Learner:
    """One that fetches for the first time."""
    return Learner(id, False, now, commit, now)


def _without_gap(held: StoredState) -> StoredState:
    """Entries that do not follow on the snapshot can't be applied: they count as lost."""
    image_last, image_term = (held.snapshot.last, held.snapshot.term) if held.snapshot is not None else (0, 0)
    if held.first <= image_last + 1:
        return held
    last = held.first + len(held.entries) - 1
    lost = max(held.lost or (0, 0), (held.term, last))
    return held._replace(first=image_last + 1, before=image_term, entries=(), lost=lost)


class PendingProposal:
    __slots__ = ("data", "kind", "need", "said_at")

    def __init__(self, kind: int, data: bytes | None) -> None:
        self.kind, self.data, self.said_at = kind, data, -1e12
        self.need = 0  # of a read: the entry that has to be in force here


class RaftState:
    def __init__(
        self,
        name: str,
        incarnation: int,
        voters: Iterable[str],
        held: StoredState,
        now: float,
        seed: int,
        most: int = MOST_VALUE,
        newcomer: bool = False,
        startup_answer_timeout: float = STARTUP_ANSWER_TIMEOUT,
        transport: Transport = DATAGRAMS,
    ) -> None:
        """`voters`: the names that the file gives; their ids are agreed on when all meet for the first
        time. `most` bytes of one value: what the way between the processes carries. `newcomer`: its folder
        is empty, others began long ago; it votes once they have voted it in. `startup_answer_timeout`:
        ms that every voter's answer to the startup question is waited for; then a majority's is enough.
        `transport`: how much goes at once between the processes."""
        self._transport = transport
        self.name, self.incarnation, self.id, self._most = name, incarnation, held.id, most
        self._random = Random(f"record {name} {incarnation} {seed}")
        self._names = tuple(voters)
        self.state_machine = StateMachine()
        self.term, self.vote = held.term, held.vote
        whole = _without_gap(held)
        self._whole_due = whole is not held  # the disk holds what was passed over
        held = whole
        self.first = held.first  # the index of the first entry kept
        self._before = held.before  # the term of the entry before it
        self.entries: list[Entry] = list(held.entries)
        self.snapshot: Snapshot | None = held.snapshot
        self._applied_bytes = 0  # of entries applied since the snapshot
        self._based: dict[str, str] = dict.fromkeys(self._names, "")  # voters by the snapshot or the file
        if held.snapshot is not None:
            self._adopt_snapshot(held.snapshot)
        self.wanted = tuple(voters)  # who should vote, as its host sees it; a leader works towards that
        self.around: tuple[str, ...] = ()  # others who hold the record, as its host sees it
        if newcomer and held.snapshot is None and not self.entries:
            self._based = dict.fromkeys(self._names, UNKNOWN)
        self.commit = self.state_machine.last
        self.durable = self.last
        self._lost = held.lost
        if self._lost is not None and self._lost[0] >= self.term:
            # It may have voted in that term: for whom is lost, so it does so no more.
            self.term, self.vote = self._lost[0], "?"
        self.standing = self._was = Standing.LEARNER  # and the one before its disk failed
        knows_voter_ids = any(self._latest_voters().values())
        if newcomer and UNKNOWN in self._based.values():
            self.standing = Standing.REPLACED
        elif name in (self._latest_voters() if knows_voter_ids else self._names):
            self.standing = Standing.ASKING if knows_voter_ids else Standing.NEW
        self.leader = ""
        self.leads = False
        self._voters = self._latest_voters()
        self._progress: dict[str, tuple[str, int, int]] = {}  # the furthest that was heard of each voter
        self._startup_answers: dict[str, StartupAnswer] = {}
        self._startup_began_at, self._startup_question_at, self._startup_answer_timeout = (
            now,
            now,
            startup_answer_timeout,
        )
        self._votes: dict[str, bool] = {}  # who said what in the election under way
        self._pre = False
        self._followers: dict[str, Follower] = {}
        self._round = self._beat_at = 0
        self._round_at: dict[int, float] = {}  # when the last rounds went out
        self._reads: list[PendingRead] = []
        self._learners: dict[str, Learner] = {}
        self._round_commit = 0  # what was agreed on when the last heartbeats went out
        self._outgoing: dict[str, int] = {}  # voters that are to go: the round in which that was seen first
        self._waiting: deque[tuple[int, list[Effect]]] = deque()  # until the disk has said so
        self._stores = 0
        self._rewritten = inf  # the number of the store that makes a disk that failed good again
        self._proposals: dict[int, PendingProposal] = {}
        self._next_proposal = self._next_read = 0
        self._taken: dict[tuple[str, int], int] = {}  # of a leader: proposals under way, their index
        self._pull_at = now
        self._source, self._unanswered = "", 0  # whom it asked last, how often since that one answered
        self._asked_after = 0  # the entry after which it asked last
        self._invited_at = self._invited_fetch_at = -inf  # by a leader that it does not vote for
        self._early: dict[int, FetchResponse] = {}  # answers that came before one that they follow on
        self._fetching: FetchedSnapshot | None = None
        self._served_snapshots: dict[int, tuple[bytes, float]] = {}  # by last: encoded, when last fetched
        self._due_at = self._election_deadline(now)
        self._last_tick = now
        self._led_at = now  # when the leader was heard last
        self._supported_at = now  # until when a leader may have counted on this process's answers
        self._support: dict[str, float] = {}  # the same of those who have voted for this one
        self.earlier_leader_until = now  # of a leader: when the one before it could last count a majority
        self.due = now

    @property
    def birth(self) -> int:
        """The incarnation, under the name that it has in the fleet's datagrams."""
        return self.incarnation

    @property
    def last(self) -> int:
        return self.first + len(self.entries) - 1

    def at(self, index: int) -> Entry | None:
        return self.entries[index - self.first] if self.first <= index <= self.last else None

    def term_at(self, index: int) -> int:
        """Of an entry that is kept or just before the first; -1 of any other."""
        if index == self.first - 1:
            return self._before
        entry = self.at(index)
        return entry.term if entry else -1

    def voters(self) -> dict[str, str]:
        return self._voters

    def stable_voters(self) -> dict[str, str] | None:
        """Who votes, agreed on; none while that is changing."""
        if not self.knows_voter_ids() or any(
            entry.kind == Kind.VOTERS for entry in self.entries[max(0, self.commit + 1 - self.first) :]
        ):
            return None
        return dict(self._voters)

    def _peers(self) -> list[str]:
        """Others who may hold the record."""
        known = dict.fromkeys([*self._names, *self._voters, *self.around])
        return [name for name in known if name != self.name]

    def knows_voter_ids(self) -> bool:
        return any(self._voters.values())

    def _latest_voters(self) -> dict[str, str]:
        """By the last entry that says so, agreed on or not."""
        return self._voters_at(self.last)

    def _voters_at(self, index: int) -> dict[str, str]:
        """By the entries up to that one, as far as they are kept."""
        for at in range(min(index, self.last), self.first - 1, -1):
            if self.at(at).kind == Kind.VOTERS:
                return msgspec.msgpack.decode(self.at(at).data, type=dict[str, str])
        return dict(self._based)

    def _voters_index(self) -> int:
        """The entry that named the voters, or one after it."""
        for index in range(self.last, self.first - 1, -1):
            if self.at(index).kind == Kind.VOTERS:
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

    # The disk

    def _persist(self, *writes: object, then: list[Effect] | None = None) -> list[Effect]:
        """To the disk; `then` once it is there, and after all that was to be kept before."""
        self._stores += 1
        self._waiting.append((self._stores, [Persisted(self.last, self.term_at(self.last)), *(then or [])]))
        return [Persist(self._stores, writes)]

    def _after_persisted(self, then: list[Effect]) -> list[Effect]:
        """Nothing more to the disk; `then` once all is there that was to be kept before."""
        if not self._waiting:
            return then
        number, before = self._waiting.pop()
        self._waiting.append((number, [*before, *then]))
        return []

    def stored(self, now: float, number: int) -> list[Effect]:
        """All up to that one is on disk."""
        if self.standing is Standing.NO_DISK and not self._rewritten <= number:
            return []  # a write after the one that failed: on a disk that lacks what came before it
        out: list[Effect] = []
        while self._waiting and self._waiting[0][0] <= number:
            for effect in self._waiting.popleft()[1]:
                match effect:
                    case Persisted(last, term):
                        if self.term_at(last) == term:  # else it was cut meanwhile
                            self.durable = last
                    case OwnVoteCounts(term):
                        if term == self.term and not self.leads and not self._pre:
                            self._votes[self.name] = True
                            out += self._count_votes(now)
                    case Send(_, VoteResponse(term=term) | AppendResponse(term=term)) if term != self.term:
                        pass  # to the old leader it would count for entries that may be cut by now
                    case _:
                        out.append(effect)
        if self.standing is Standing.NO_DISK:
            # What it holds in memory was never in doubt; only a new process has to ask how far it was.
            out += self._set_standing(self._was, "its disk takes it again")
            if self.standing in (Standing.NEW, Standing.ASKING):
                self._startup_answers.clear()
                self._startup_began_at = self._startup_question_at = now
        if self.standing is Standing.INCOMPLETE and self._has_regained():
            self._lost = None
            out += self._persist(self._replace_log()) + self._set_standing(
                Standing.VOTING, "it has fetched what it lost"
            )
        if self.leads:
            out += self._advance_commit()
        return out

    def failed(self, now: float, why: str) -> list[Effect]:
        """The disk refused: nothing that was under way may be spoken of. Reading goes on."""
        if self.standing is not Standing.NO_DISK:
            self._was = self.standing
        out = self._set_standing(Standing.NO_DISK, why)
        self._waiting.clear()
        self._votes = {}
        self._rewritten = inf
        if self.leads:
            self._supported_at = now
            self.leads, self.leader = False, ""
            out += self._refuse_all("the leader's disk failed")
        return out

    def rewrite(self) -> list[Effect]:
        """Everything that is held, for a disk that failed: nothing of what it took before is trusted. One at
        a time, and as short as it can be said: the disk may be full."""
        if self.standing is not Standing.NO_DISK or self._rewritten < inf:
            return []
        self._rewritten = self._stores + 1
        if self.state_machine.last > (self.snapshot.last if self.snapshot else 0):
            return self._compact(0, 0)
        return self._persist(self._replace_log())

    def _replace_log(self) -> ReplaceLog:
        meta = HardState(self.term, self.vote)
        return ReplaceLog(
            self.id, meta, self.snapshot, self.first, self._before, tuple(self.entries), self._lost
        )
