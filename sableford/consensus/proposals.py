"""Proposals and linearizable reads, retried until a leader responds (Ongaro's dissertation, chapter 6)."""

from sableford.consensus.constants import KEY_CHANGED, MAX_PROPOSALS, OUTCOME_FORGOTTEN, PROPOSAL_RETRY
from sableford.consensus.effects import Effect, ProposalResult, Send
from sableford.consensus.messages import Entry, Kind, ProposeRequest, ProposeResponse
from sableford.consensus.raft_state import PendingProposal, PendingRead, RaftState


class Proposals(RaftState):
    """Proposals and reads of this process, and those that it handles as the leader."""

    def propose(self, now: float, data: bytes | None, kind: int = Kind.PUT) -> tuple[int, list[Effect]]:
        """Proposes an entry, or starts a read if `data` is None. It is retried until it is answered or
        `drop`ped; the returned number is that of its `ProposalResult`."""
        # Reads have a number sequence of their own: the window of remembered numbers is for log entries.
        if data is None:
            self._next_read -= 1
            number = self._next_read
        else:
            self._next_proposal += 1
            number = self._next_proposal
        if data is not None and len(data) > self._max_value_bytes + 512:
            return number, [ProposalResult(number, False, 0, f"{len(data)} bytes are too many")]
        if len(self._proposals) >= MAX_PROPOSALS:
            return number, [ProposalResult(number, False, 0, "too many offers under way")]
        self._proposals[number] = PendingProposal(kind, data)
        return number, self._retry_proposals(now)

    def drop(self, number: int) -> None:
        """Stops retrying a proposal; it may still be committed."""
        self._proposals.pop(number, None)

    def _retry_proposals(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for number, one in list(self._proposals.items()):
            if one.read_index or now - one.sent_at < PROPOSAL_RETRY or not self.leader:
                continue
            one.sent_at = now
            message = ProposeRequest(number, one.kind, one.data)
            effects += (
                self._handle_propose_request(now, self.name, self.incarnation, message)
                if self.is_leader
                else [Send(self.leader, message)]
            )
        return effects

    def _handle_propose_request(
        self, now: float, sender: str, incarnation: int, message: ProposeRequest
    ) -> list[Effect]:
        if not self.is_leader:
            return []  # the sender retries with whoever leads by then
        if message.data is None:
            return self._handle_read(now, PendingRead(self._round + 1, sender, incarnation, message.number))
        author = f"{sender}#{incarnation}"
        if (known := self.state_machine.known(author, message.number)) is not None:
            index, effective = known
            why = "" if effective else KEY_CHANGED if index else OUTCOME_FORGOTTEN
            return self._respond(sender, ProposeResponse(incarnation, message.number, effective, index, why))
        if (author, message.number) in self._uncommitted_proposals:
            return []
        self._uncommitted_proposals[author, message.number] = self.last + 1
        effects = self._append_own(Entry(self.term, message.kind, author, message.number, message.data))
        for name, one in self._followers.items():
            if one.next_index == self.last:  # else it is behind: its responses trigger sending
                effects += self._send_entries(name, one)
        return effects

    def _handle_read(self, now: float, read: PendingRead) -> list[Effect]:
        """Queues a read for a heartbeat round that begins after it. While a round for other reads is in
        flight it waits for the next, so that many reads share a few rounds."""
        if any(read[1:] == other[1:] for other in self._pending_reads):  # a retry
            return []
        under_way = any(other.round <= self._round for other in self._pending_reads)
        self._pending_reads.append(read)
        return [] if under_way else self._send_heartbeats(now)

    def _answer_reads(self) -> list[Effect]:
        """Answers the reads whose round a majority has acknowledged, with the index to read at."""
        # Until an entry of its own term is committed, a leader may not know the full commit index.
        if not self._pending_reads or self.term_at(self.commit) != self.term:
            return []
        rounds = {name: one.acked_round for name, one in self._followers.items()} | {self.name: self._round}
        effects: list[Effect] = []
        for read in list(self._pending_reads):
            if self._majority(name for name, heard in rounds.items() if heard >= read.round):
                self._pending_reads.remove(read)
                effects += self._respond(
                    read.asker, ProposeResponse(read.incarnation, read.number, True, self.commit)
                )
        if self._pending_reads and all(read.round > self._round for read in self._pending_reads):
            effects += self._send_heartbeats(self._last_tick)
        return effects

    def _respond(self, to: str, message: ProposeResponse) -> list[Effect]:
        return (
            self._handle_propose_response(self._last_tick, message)
            if to == self.name
            else [Send(to, message)]
        )

    def _handle_propose_response(self, now: float, message: ProposeResponse) -> list[Effect]:
        one = self._proposals.get(message.number)
        if one is None or message.incarnation != self.incarnation:
            return []
        if one.data is None and message.accepted:
            one.read_index = max(message.index, 1)
            return self._finish_reads()
        del self._proposals[message.number]
        return [ProposalResult(message.number, message.accepted, message.index, message.reason)]

    def _finish_reads(self) -> list[Effect]:
        effects: list[Effect] = []
        for number, one in list(self._proposals.items()):
            if one.read_index and self.state_machine.last >= one.read_index:
                del self._proposals[number]
                effects.append(ProposalResult(number, True, self.state_machine.last, ""))
        return effects
