"""The record's decisions: who leads, what is agreed, who may vote. Raft as published (Ongaro, Ousterhout
2014) with pre-vote, leaders that step down without a majority, voters changed one at a time, learners that
fetch.

It owns what one process holds of the record. It has no clock, disk or socket: times, words and the disk's
answers come in, effects go out. What a disk has not said to be stored is never spoken of to others.

Who may vote stands in `STANDING`; a process that is unsure of its own past does not.
"""

import msgspec

from sableford.consensus.constants import HEARTBEAT, LATE_TICK
from sableford.consensus.effects import (
    VOTES,
    Effect,
    Standing,
)
from sableford.consensus.elections import Elections
from sableford.consensus.messages import (
    AppendRequest,
    AppendResponse,
    FetchRequest,
    FetchResponse,
    ProposeRequest,
    ProposeResponse,
    Put,
    RaftMessage,
    SnapshotChunk,
    StartupAnswer,
    StartupQuestion,
    VoteRequest,
    VoteResponse,
)
from sableford.consensus.proposals import Proposals
from sableford.consensus.replication import Replication
from sableford.consensus.snapshots import Snapshots
from sableford.consensus.startup import Startup
from sableford.consensus.voter_changes import VoterChanges


class RaftNode(Startup, Elections, Replication, VoterChanges, Snapshots, Proposals):
    """One process's side. `tick` at `due`, `heard` for each word, `stored` and `failed` from the disk."""

    # Time

    def tick(self, now: float) -> list[Effect]:
        out: list[Effect] = []
        if self._whole_due:
            self._whole_due = False
            out += self._persist(self._replace_log())
        if now - self._last_tick > LATE_TICK + HEARTBEAT and not self.leads:
            self._due_at = max(self._due_at, self._election_deadline(now))  # it stood still itself
        self._last_tick = now
        if self.standing in (Standing.NEW, Standing.ASKING) and now >= self._startup_question_at:
            out += self._ask_about_past(now)
        if self.standing in (Standing.REPLACED, Standing.LEARNER) and self._is_voter(self.name, self.id):
            out += self._voter_again()
        if self.leads:
            out += self._lead_tick(now)
        elif self.standing in VOTES and now >= self._due_at and self._is_voter(self.name, self.id):
            out += self._start_election(now)
        elif not self._is_voter(self.name, self.id) or self._fetching is not None or self._leaderless(now):
            out += self._fetch_if_due(now)
        self._forget_served(now)
        out += self._retry_proposals(now)
        waits = not self.leads and self._is_voter(self.name, self.id)
        self.due = min(now + HEARTBEAT, max(now + 1.0, self._due_at)) if waits else now + HEARTBEAT
        return out

    def met(self, now: float) -> None:
        """A way to another process is open: what waits for its answer asks now."""
        if self.standing in (Standing.NEW, Standing.ASKING):
            self._startup_question_at = self.due = now

    # Messages

    def heard(self, now: float, sender: str, incarnation: int, message: RaftMessage) -> list[Effect]:
        """A word from another process of the fleet."""
        match message:
            case StartupQuestion():
                return self._handle_startup_question(now, sender, message)
            case StartupAnswer():
                return self._handle_startup_answer(now, sender, message)
            case VoteRequest():
                return self._handle_vote_request(now, sender, message)
            case VoteResponse():
                return self._handle_vote_response(now, sender, message)
            case AppendRequest():
                return self._handle_append_request(now, sender, message)
            case AppendResponse():
                return self._handle_append_response(now, sender, message)
            case FetchRequest():
                return self._handle_fetch_request(now, sender, message)
            case FetchResponse():
                return self._handle_fetch_response(now, sender, message)
            case SnapshotChunk():
                return self._handle_snapshot_chunk(now, sender, message)
            case ProposeRequest():
                return self._handle_propose_request(now, sender, incarnation, message)
            case ProposeResponse():
                return self._handle_propose_response(now, message)
        return []


def put(key: str, value: bytes | None, after: int = -1) -> bytes:
    """The data of an entry that sets a key."""
    return msgspec.msgpack.encode(Put(key, value, after))
