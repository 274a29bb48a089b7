"""One process's part in the replicated log. Raft (Ongaro, Ousterhout 2014) with pre-vote, leaders that step
down without a majority, voters changed one at a time, and learners that fetch.

A node does no I/O and has no clock: times, messages and the disk's results come in, effects go out. Nothing
is acknowledged to others before the disk has confirmed it.

`Standing` says who may vote: a process does not as long as it is unsure whether its folder is complete.
"""

import msgspec

from sableford.consensus.constants import HEARTBEAT, LATE_TICK_THRESHOLD
from sableford.consensus.effects import (
    VOTING_STANDINGS,
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
    """The host calls `tick` at `due`, `handle_message` for each message, `handle_persisted` or
    `handle_disk_failure` after a write."""

    def tick(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if self._rewrite_due:
            self._rewrite_due = False
            effects += self._persist(self._replace_log())
        if now - self._last_tick > LATE_TICK_THRESHOLD + HEARTBEAT and not self.is_leader:
            # This process was stalled.
            self._election_due_at = max(self._election_due_at, self._election_deadline(now))
        self._last_tick = now
        if self.standing in (Standing.NEW, Standing.ASKING) and now >= self._startup_question_at:
            effects += self._send_startup_questions(now)
        if self.standing in (Standing.REPLACED, Standing.LEARNER) and self._is_voter(self.name, self.id):
            effects += self._readmitted()
        if self.is_leader:
            effects += self._lead_tick(now)
        elif (
            self.standing in VOTING_STANDINGS
            and now >= self._election_due_at
            and self._is_voter(self.name, self.id)
        ):
            effects += self._start_election(now)
        elif not self._is_voter(self.name, self.id) or self._fetching is not None or self._leaderless(now):
            effects += self._fetch_if_due(now)
        self._expire_snapshot_cache(now)
        effects += self._retry_proposals(now)
        waits = not self.is_leader and self._is_voter(self.name, self.id)
        self.due = min(now + HEARTBEAT, max(now + 1.0, self._election_due_at)) if waits else now + HEARTBEAT
        return effects

    def handle_connected(self, now: float) -> None:
        """A connection to another process was opened: startup questions are sent again at once."""
        if self.standing in (Standing.NEW, Standing.ASKING):
            self._startup_question_at = self.due = now

    # Messages

    def handle_message(self, now: float, sender: str, incarnation: int, message: RaftMessage) -> list[Effect]:
        """Handles a message from another process."""
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
    """The data of an entry that sets or removes a key (see `Put`)."""
    return msgspec.msgpack.encode(Put(key, value, after))
