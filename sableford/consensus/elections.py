"""Leader election: pre-vote, votes, terms, becoming leader and stepping down (Ongaro, Ousterhout 2014,
section 5.2; Ongaro's dissertation, section 9.6).
"""

from sableford.consensus.constants import ELECTION_TIMEOUT, HEARTBEAT, LEADERLESS_FETCH_DELAY
from sableford.consensus.effects import VOTING_STANDINGS, Effect, HardState, LogEvent, OwnVoteDurable, Send
from sableford.consensus.messages import Entry, Kind, VoteRequest, VoteResponse
from sableford.consensus.raft_state import Follower, RaftState


class Elections(RaftState):
    """Starts elections, answers vote requests and changes between leader and follower."""

    def handle_process_ended(self, now: float, name: str) -> None:
        """The process of that name is known to have ended: if it led, an election starts soon."""
        if name == self.leader and not self.is_leader:
            self.leader, self._leader_heard_at = "", -1e12
            self._election_due_at = min(self._election_due_at, now + HEARTBEAT * self._random.random())
            self.due = min(self.due, self._election_due_at)

    def _leaderless(self, now: float) -> bool:
        """Whether there has been no leader for so long that others may have committed entries without it."""
        return not self.leader and now - self._leader_heard_at >= LEADERLESS_FETCH_DELAY

    def _start_election(self, now: float) -> list[Effect]:
        """Starts with a pre-vote, so that a candidate that cannot win does not raise anybody's term."""
        self._election_due_at = self._election_deadline(now)
        if not self.knows_voter_ids() and len(self._startup_answers) + 1 < len(self._configured_voters):
            return []  # the first leader has to record all voters' ids
        self._in_pre_vote, self._votes, self.leader = True, {self.name: True}, ""
        message = VoteRequest(self.id, self.term + 1, self.last, self.term_at(self.last), True)
        return self._request_votes(message) or self._count_votes(now)

    def _request_votes(self, message: VoteRequest) -> list[Effect]:
        return [Send(name, message) for name in self._voters if name != self.name]

    def _handle_vote_request(self, now: float, sender: str, message: VoteRequest) -> list[Effect]:
        if self.standing not in VOTING_STANDINGS or not self._is_voter(sender, message.id):
            return []
        if not self._is_voter(self.name, self.id):
            return []
        # While a leader is heard, votes are refused: otherwise a candidate that can send but not receive
        # would depose it again and again.
        has_leader = self.is_leader or (
            self.leader and now - self._leader_heard_at < ELECTION_TIMEOUT - HEARTBEAT
        )
        is_up_to_date = (message.last_term, message.last) >= (self.term_at(self.last), self.last)
        if message.is_pre_vote:
            granted = message.term > self.term and is_up_to_date and not has_leader
            return [
                Send(sender, VoteResponse(self.id, message.term if granted else self.term, granted, True))
            ]
        effects: list[Effect] = []
        if has_leader and message.term > self.term:
            return [Send(sender, VoteResponse(self.id, self.term, False, False))]
        if message.term > self.term:
            effects += self._become_follower(now, message.term, "")
        # A candidate persists a term before it requests votes in it, so its folder holds at least that.
        self._note_progress(sender, message.id, message.term, 0)
        granted = message.term == self.term and is_up_to_date and self.vote in ("", sender)
        if granted:
            self.vote = sender
            self._election_due_at = self._election_deadline(now)
        answer = Send(sender, VoteResponse(self.id, self.term, granted, False, self._unsupported_ms(now)))
        return (
            effects + self._persist(HardState(self.term, self.vote), then=[answer])
            if granted
            else [*effects, answer]
        )

    def _handle_vote_response(self, now: float, sender: str, message: VoteResponse) -> list[Effect]:
        if not self._is_voter(sender, message.id):
            return []
        if message.granted and not message.is_pre_vote:
            self._note_progress(sender, message.id, message.term, 0)
            self._support_ended_at[sender] = now - message.unsupported_ms
        if message.term > self.term + (message.is_pre_vote and message.granted):
            return self._become_follower(now, message.term, "")
        if self.is_leader or not self._votes or message.is_pre_vote != self._in_pre_vote:
            return []
        if message.term != self.term + message.is_pre_vote and message.granted:
            return []
        self._votes[sender] = message.granted
        return self._count_votes(now)

    def _unsupported_ms(self, now: float) -> float:
        """Milliseconds for which no leader can have counted on a response of this process."""
        return 0.0 if self.is_leader else max(0.0, now - self._last_support_at)

    def _count_votes(self, now: float) -> list[Effect]:
        if not self._majority(name for name, granted in self._votes.items() if granted):
            return []
        if self._in_pre_vote:
            self._in_pre_vote = False
            self.term, self.vote = self.term + 1, self.name
            self._votes, self._support_ended_at = {}, {}
            self._election_due_at = self._election_deadline(now)
            message = VoteRequest(self.id, self.term, self.last, self.term_at(self.last), False)
            # The own vote must be durable before it counts and before votes are requested.
            return self._persist(
                HardState(self.term, self.name),
                then=[*self._request_votes(message), OwnVoteDurable(self.term)],
            )
        return self._become_leader(now)

    def _become_leader(self, now: float) -> list[Effect]:
        # Each majority that an earlier leader counted on shares a member with the one that elected this
        # leader, so the voters' reports bound the time at which that can have been.
        voted = [
            self._support_ended_at.get(name, now)
            for name, granted in self._votes.items()
            if granted and name != self.name
        ]
        self.earlier_leader_until = max([self._last_support_at, *voted])
        self.is_leader, self.leader, self._votes = True, self.name, {}
        self._followers = {name: Follower(self.last, now) for name in self._voters if name != self.name}
        self._outgoing.clear()
        self._uncommitted_proposals.clear()
        self._pending_reads.clear()
        effects: list[Effect] = [LogEvent("record_leader", {"leader": self.name, "term": self.term})]
        effects += self._append_own(Entry(self.term, Kind.NOTHING))
        if not self.knows_voter_ids():
            ids = {name: answer.id for name, answer in self._startup_answers.items()} | {self.name: self.id}
            effects += self._append_own(self._voters_entry({name: ids[name] for name in self._voters}))
        self._next_heartbeat_at = now
        return effects + self._send_heartbeats(now)

    def _become_follower(self, now: float, term: int, leader: str) -> list[Effect]:
        """Adopts a later term, or the leader of this one, and steps down if it was the leader."""
        effects: list[Effect] = []
        if self.is_leader:
            self._last_support_at = now
            effects.append(LogEvent("record_leads_no_more", {"term": self.term, "newer": term}))
            self._forget_pending_requests()
        if leader and leader != self.leader:
            effects.append(LogEvent("record_leader", {"leader": leader, "term": term}))
        self.is_leader, self.leader, self._votes = False, leader, {}
        if term > self.term:
            self.term, self.vote = term, ""
            effects += self._persist(HardState(term, ""))
        self._election_due_at = self._election_deadline(now)
        return effects

    def resign(self, now: float) -> list[Effect]:
        """Steps down and waits longer than usual before its own next election, so that another may win."""
        if not self.is_leader:
            return []
        self._last_support_at = now
        self.is_leader, self.leader = False, ""
        self._election_due_at = now + ELECTION_TIMEOUT * 4.0
        event = LogEvent("record_leads_no_more", {"term": self.term, "why": "it resigns"})
        self._forget_pending_requests()
        return [event]

    def _forget_pending_requests(self) -> None:
        """Forgets pending requests of a former leader: their senders retry with the next one."""
        self._pending_reads.clear()
        self._uncommitted_proposals.clear()
