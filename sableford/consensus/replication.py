"""Log replication at the leader and its followers, and commitment (Ongaro, Ousterhout 2014, sections
5.3 and 5.4).
"""

from sableford.consensus.constants import (
    FETCH_INTERVAL,
    HEARTBEAT,
    KEY_CHANGED,
    MAX_ENTRIES_IN_FLIGHT,
    MAX_MESSAGES_IN_FLIGHT,
    MAX_REMEMBERED_ROUNDS,
    QUORUM_TIMEOUT,
    SNAPSHOT_KEEP_ENTRIES,
)
from sableford.consensus.effects import (
    ACKNOWLEDGING_STANDINGS,
    AppendToLog,
    Committed,
    Effect,
    LogEvent,
    Send,
    Standing,
    TruncateLog,
)
from sableford.consensus.messages import (
    AppendRequest,
    AppendResponse,
    Entry,
    FetchRequest,
    Kind,
    ProposeResponse,
)
from sableford.consensus.raft_state import Follower, RaftState, entry_size


class Replication(RaftState):
    """Heartbeats, append requests, acknowledgements and commits."""

    def has_recent_quorum(self, now: float, within: float) -> bool:
        """Whether it leads, and a majority has acknowledged messages sent within the last `within` ms.
        Whoever wins an election does so after the last response that an earlier leader could count."""
        recent = [
            name for name, follower in self._followers.items() if now - follower.acked_sent_at <= within
        ]
        return self.is_leader and self._majority([*recent, self.name])

    def _lead_tick(self, now: float) -> list[Effect]:
        responsive = [
            name
            for name, follower in self._followers.items()
            if now - follower.last_response_at < QUORUM_TIMEOUT
        ]
        if not self._majority([*responsive, self.name]):
            # Without a majority nothing that is proposed to it could be committed.
            effects: list[Effect] = [
                LogEvent("record_leads_no_more", {"term": self.term, "why": "no majority"})
            ]
            self._last_support_at = now
            self.is_leader, self.leader = False, ""
            self._election_due_at = self._election_deadline(now)
            self._forget_pending_requests()
            return effects
        if now < self._next_heartbeat_at:
            return []
        self._next_heartbeat_at = now + HEARTBEAT
        return self._change_voters(now) + self._send_heartbeats(now)

    def _send_heartbeats(self, now: float) -> list[Effect]:
        self._round += 1
        self._round_commit = self.commit
        self._round_sent_at[self._round] = now
        self._round_sent_at.pop(self._round - MAX_REMEMBERED_ROUNDS, None)
        effects: list[Effect] = []
        for name, follower in self._followers.items():
            effects += self._send_to_follower(now, name, follower)
        return effects + self._send_learner_heartbeats() + self._advance_commit()

    def _send_to_follower(self, now: float, name: str, follower: Follower) -> list[Effect]:
        is_silent = now - follower.last_response_at >= self._transport.resend
        if is_silent and follower.next_index <= self.last:
            follower.next_index = follower.match_index + 1  # what was sent ahead counts as lost
        # A silent follower gets no entries until it responds: they would only fill the send queue.
        return (not is_silent and self._send_entries(name, follower)) or [
            Send(name, self._append_request(name, follower.next_index - 1, ()))
        ]

    def _append_request(self, name: str, prev: int, entries: tuple[Entry, ...]) -> AppendRequest:
        prev = max(prev, self.first - 1)
        before = prev, self.term_at(prev)
        known = self.commit, self._round, self.durable, entries, self.first
        return AppendRequest(self.id, self.term, *before, *known, self._voters.get(name, ""))

    def _send_entries(
        self, name: str, follower: Follower, max_messages: int = MAX_MESSAGES_IN_FLIGHT
    ) -> list[Effect]:
        """Entries that the follower lacks, sent ahead of its responses up to the window."""
        effects: list[Effect] = []
        if follower.next_index < self.first:  # it has to fetch the snapshot
            return []
        if follower.next_index > min(self.last, follower.match_index + MAX_ENTRIES_IN_FLIGHT):
            return []
        sent = self.entries[max(0, follower.match_index + 1 - self.first) : follower.next_index - self.first]
        ahead = sum(map(entry_size, sent))
        while (
            follower.next_index <= min(self.last, follower.match_index + MAX_ENTRIES_IN_FLIGHT)
            and len(effects) < max_messages
        ):
            size, end = entry_size(self.entry_at(follower.next_index)), follower.next_index + 1
            while end <= self.last and size + entry_size(self.entry_at(end)) <= self._transport.batch_bytes:
                size += entry_size(self.entry_at(end))
                end += 1
            if ahead and ahead + size > self._transport.window_bytes:
                break
            entries = tuple(self.entries[follower.next_index - self.first : end - self.first])
            effects.append(Send(name, self._append_request(name, follower.next_index - 1, entries)))
            follower.next_index, ahead = end, ahead + size
        return effects

    def _handle_append_response(self, now: float, sender: str, message: AppendResponse) -> list[Effect]:
        if message.term > self.term and self._is_voter(sender, message.id):
            return self._become_follower(now, message.term, "")
        if not self.is_leader or message.term != self.term or sender not in self._followers:
            return []
        if not self._is_voter(sender, message.id):  # a process of that name, but not the folder that votes
            self._note_replaced_folder(now, sender, message.id)
            return []
        follower = self._followers[sender]
        follower.last_response_at, follower.acked_round = now, max(follower.acked_round, message.round)
        follower.acked_sent_at = max(follower.acked_sent_at, self._round_sent_at.get(message.round, -1e12))
        self._note_progress(sender, message.id, message.term, message.last if message.success else 0)
        if message.success:
            follower.match_index = max(follower.match_index, min(message.last, self.last))
            follower.next_index = max(follower.next_index, follower.match_index + 1)
            return self._advance_commit() + self._send_entries(sender, follower)
        follower.next_index = max(follower.match_index + 1, min(message.last + 1, follower.next_index))
        if now - follower.resent_at < HEARTBEAT / 2.0:  # one resend for all messages that it rejected
            return []
        follower.resent_at = now
        if message.last < follower.match_index:
            # It has acknowledged more: this answer shows it that its folder was set back.
            return [Send(sender, self._startup_answer_for(sender))]
        if follower.next_index < self.first and now - follower.last_fetch_at > FETCH_INTERVAL:
            # The previous version requests a snapshot only if it is far behind or has received its start.
            return self._send_snapshot(now, sender, FetchRequest(message.id, message.last))
        return self._send_entries(sender, follower, 1)

    def _advance_commit(self) -> list[Effect]:
        """Commits what is durable at a majority, if its last entry is of this term."""
        effects: list[Effect] = []
        durable = {name: follower.match_index for name, follower in self._followers.items()}
        durable[self.name] = self.durable if self.standing in ACKNOWLEDGING_STANDINGS else 0
        ranked = sorted((durable.get(name, 0) for name in self._voters), reverse=True)
        majority_index = ranked[len(ranked) // 2] if ranked else 0
        if majority_index > self.commit and self.term_at(majority_index) == self.term:
            effects += self._apply_committed(majority_index)
        return effects + self._answer_reads()

    # Follower

    def _handle_append_request(self, now: float, sender: str, message: AppendRequest) -> list[Effect]:
        if message.term < self.term:
            return [Send(sender, AppendResponse(self.id, self.term, False, self.last, message.round))]
        voter = message.voter == self.id
        if not voter and (message.first or not self._is_voter(self.name, self.id)):
            # The leader does not count it as a voter: it fetches.
            return self._handle_learner_heartbeat(now, sender)
        effects = (
            self._become_follower(now, message.term, sender)
            if (message.term, sender) != (self.term, self.leader)
            else []
        )
        self._election_due_at, self._leader_heard_at = self._election_deadline(now), now
        self._last_support_at = now
        self._note_progress(sender, message.id, message.term, message.durable)
        joins = voter and self.standing in (Standing.REPLACED, Standing.LEARNER)
        if self.standing not in ACKNOWLEDGING_STANDINGS and not joins:
            return effects  # entries that only memory holds would count as durable once the disk is back
        if message.prev > self.last or (
            message.prev >= self.first and self.term_at(message.prev) != message.prev_term
        ):
            hint = min(message.prev - 1, self.last)
            # Whether the leader's log lacks the next entry; the previous version does not send `first`.
            first = message.first or message.commit + 1 - SNAPSHOT_KEEP_ENTRIES
            if first > hint + 1 and (now >= self._next_fetch_at or self._fetch_source != sender):
                effects += self._fetch(now, sender)
            return [
                *effects,
                Send(
                    sender, AppendResponse(self.id, self.term, False, max(hint, self.commit), message.round)
                ),
            ]
        writes: list = []
        for index, entry in enumerate(message.entries, message.prev + 1):
            if index < self.first or self.term_at(index) == entry.term:
                continue
            if index <= self.last:
                if index <= self.commit:
                    raise AssertionError(f"committed entry {index} would be replaced")
                del self.entries[index - self.first :]
                writes.append(TruncateLog(index - 1))
                self.durable = min(self.durable, index - 1)
            self.entries.append(entry)
            writes.append(AppendToLog(index, entry))
        if any(isinstance(write, TruncateLog) or write.entry.kind == Kind.VOTERS for write in writes):
            self._set_voters()
        held = message.prev + len(message.entries)
        commit = min(message.commit, held)
        answer = [Send(sender, AppendResponse(self.id, self.term, True, held, message.round))]
        effects += self._persist(*writes, then=answer) if writes else self._after_persisted(answer)
        if commit > self.commit:
            effects += self._apply_committed(commit)
        return effects

    # Commitment

    def _apply_committed(self, commit: int) -> list[Effect]:
        effects: list[Effect] = []
        self.commit = commit
        while (
            self.state_machine.last < commit
            and (entry := self.entry_at(self.state_machine.last + 1)) is not None
        ):
            stopped = self.state_machine.stopped
            index = self.state_machine.last + 1
            effective = self.state_machine.apply(index, entry)
            if self.state_machine.stopped:
                if not stopped:
                    effects.append(LogEvent("record_stopped", {"why": self.state_machine.stopped}))
                break
            self._applied_bytes += entry_size(entry)
            effects.append(Committed(index, entry, effective))
            if (
                self.is_leader
                and self._uncommitted_proposals.pop((entry.author, entry.number), None) is not None
            ):
                name, _, incarnation = entry.author.rpartition("#")
                effects += self._respond(
                    name,
                    ProposeResponse(
                        int(incarnation), entry.number, effective, index, "" if effective else KEY_CHANGED
                    ),
                )
        if self._compaction_due():
            effects += self._compact()
        return effects + self._finish_reads()
