"""Elections: pre-vote, votes, terms, and how a leader begins and ends (Ongaro, Ousterhout 2014, section 5.2;
Ongaro's dissertation, section 9.6).
"""

from sableford.consensus.constants import ELECTION_TIMEOUT, HEARTBEAT, LEADERLESS
from sableford.consensus.effects import VOTES, Effect, HardState, LogEvent, OwnVoteCounts, Send
from sableford.consensus.messages import Entry, Kind, VoteRequest, VoteResponse
from sableford.consensus.raft_state import Follower, RaftState


class Elections(RaftState):
    """Who leads."""

    def over(self, now: float, name: str) -> None:
        """Proof that the process of that name has ended: nothing is gained by waiting for it as a leader."""
        if name == self.leader and not self.leads:
            self.leader, self._led_at = "", -1e12
            self._due_at = min(self._due_at, now + HEARTBEAT * self._random.random())
            self.due = min(self.due, self._due_at)

    def _leaderless(self, now: float) -> bool:
        """Whether it may have been left behind: the others may agree on things without it."""
        return not self.leader and now - self._led_at >= LEADERLESS

    def _start_election(self, now: float) -> list[Effect]:
        """Asked first, so that nobody's term grows by one that could not win."""
        self._due_at = self._election_deadline(now)
        if not self.knows_voter_ids() and len(self._startup_answers) + 1 < len(self._names):
            return []  # who leads first names all voters' folders
        self._pre, self._votes, self.leader = True, {self.name: True}, ""
        message = VoteRequest(self.id, self.term + 1, self.last, self.term_at(self.last), True)
        return self._request_votes(message) or self._count_votes(now)

    def _request_votes(self, message: VoteRequest) -> list[Effect]:
        return [Send(name, message) for name in self._voters if name != self.name]

    def _handle_vote_request(self, now: float, sender: str, message: VoteRequest) -> list[Effect]:
        if self.standing not in VOTES or not self._is_voter(sender, message.id):
            return []
        if not self._is_voter(self.name, self.id):
            return []
        # Who hears a leader leaves it one: a candidate behind a one-way cut would unseat it for ever.
        led = self.leads or (self.leader and now - self._led_at < ELECTION_TIMEOUT - HEARTBEAT)
        new = (message.last_term, message.last) >= (self.term_at(self.last), self.last)
        if message.pre:
            yes = message.term > self.term and new and not led
            return [Send(sender, VoteResponse(self.id, message.term if yes else self.term, yes, True))]
        out: list[Effect] = []
        if led and message.term > self.term:
            return [Send(sender, VoteResponse(self.id, self.term, False, False))]
        if message.term > self.term:
            out += self._become_follower(now, message.term, "")
        # It keeps a term before it asks for votes in it.
        self._note_progress(sender, message.id, message.term, 0)
        yes = message.term == self.term and new and self.vote in ("", sender)
        if yes:
            self.vote = sender
            self._due_at = self._election_deadline(now)
        answer = Send(sender, VoteResponse(self.id, self.term, yes, False, self._unsupported_ms(now)))
        return out + self._persist(HardState(self.term, self.vote), then=[answer]) if yes else [*out, answer]

    def _handle_vote_response(self, now: float, sender: str, message: VoteResponse) -> list[Effect]:
        if not self._is_voter(sender, message.id):
            return []
        if message.yes and not message.pre:
            self._note_progress(sender, message.id, message.term, 0)
            self._support[sender] = now - message.quiet_ms
        if message.term > self.term + (message.pre and message.yes):
            return self._become_follower(now, message.term, "")
        if self.leads or not self._votes or message.pre != self._pre:
            return []
        if message.term != self.term + message.pre and message.yes:
            return []
        self._votes[sender] = message.yes
        return self._count_votes(now)

    def _unsupported_ms(self, now: float) -> float:
        """For how long no leader can have counted on an answer of this process."""
        return 0.0 if self.leads else max(0.0, now - self._supported_at)

    def _count_votes(self, now: float) -> list[Effect]:
        if not self._majority(name for name, yes in self._votes.items() if yes):
            return []
        if self._pre:
            self._pre = False
            self.term, self.vote = self.term + 1, self.name
            self._votes, self._support = {}, {}
            self._due_at = self._election_deadline(now)
            message = VoteRequest(self.id, self.term, self.last, self.term_at(self.last), False)
            # Its own vote counts once it is kept, and is asked for others' no sooner.
            return self._persist(
                HardState(self.term, self.name),
                then=[*self._request_votes(message), OwnVoteCounts(self.term)],
            )
        return self._become_leader(now)

    def _become_leader(self, now: float) -> list[Effect]:
        # Of each majority that an earlier leader counted on, one at least has elected this one.
        voted = [
            self._support.get(name, now) for name, yes in self._votes.items() if yes and name != self.name
        ]
        self.earlier_leader_until = max([self._supported_at, *voted])
        self.leads, self.leader, self._votes = True, self.name, {}
        self._followers = {name: Follower(self.last, now) for name in self._voters if name != self.name}
        self._outgoing.clear()
        self._taken.clear()
        self._reads.clear()
        out: list[Effect] = [LogEvent("record_leader", {"leader": self.name, "term": self.term})]
        out += self._append_own(Entry(self.term, Kind.NOTHING))
        if not self.knows_voter_ids():
            ids = {name: answer.id for name, answer in self._startup_answers.items()} | {self.name: self.id}
            out += self._append_own(self._voters_entry({name: ids[name] for name in self._voters}))
        self._beat_at = now
        return out + self._send_heartbeats(now)

    def _become_follower(self, now: float, term: int, leader: str) -> list[Effect]:
        """Another term, or a leader of this one."""
        out: list[Effect] = []
        if self.leads:
            self._supported_at = now
            out.append(LogEvent("record_leads_no_more", {"term": self.term, "newer": term}))
            out += self._refuse_all("another leads")
        if leader and leader != self.leader:
            out.append(LogEvent("record_leader", {"leader": leader, "term": term}))
        self.leads, self.leader, self._votes = False, leader, {}
        if term > self.term:
            self.term, self.vote = term, ""
            out += self._persist(HardState(term, ""))
        self._due_at = self._election_deadline(now)
        return out

    def resign(self, now: float) -> list[Effect]:
        """Leads no more, and leaves it to others to stand first."""
        if not self.leads:
            return []
        self._supported_at = now
        self.leads, self.leader = False, ""
        self._due_at = now + ELECTION_TIMEOUT * 4.0
        said = LogEvent("record_leads_no_more", {"term": self.term, "why": "it resigns"})
        return [said, *self._refuse_all("the leader resigned")]

    def _refuse_all(self, why: str) -> list[Effect]:
        """Led no more: askers say it again elsewhere."""
        self._reads.clear()
        self._taken.clear()
        return []
