"""Proposals and reads: said again until a leader answers (Ongaro's dissertation, chapter 6)."""

from sableford.consensus.constants import FORGOTTEN, MAX_PROPOSALS, MOVED, PROPOSAL_RETRY
from sableford.consensus.effects import Effect, ProposalResult, Send
from sableford.consensus.messages import Entry, Kind, ProposeRequest, ProposeResponse
from sableford.consensus.raft_state import PendingProposal, PendingRead, RaftState


class Proposals(RaftState):
    """Proposals of this process, and those that a leader takes."""

    def propose(self, now: float, data: bytes | None, kind: int = Kind.PUT) -> tuple[int, list[Effect]]:
        """Something for the record, or a read where there is no data; it goes on until it is answered or
        `drop`ped. The number is the answer's."""
        # Reads have numbers of their own: the window of those remembered is for what stands in the log.
        if data is None:
            self._next_read -= 1
            number = self._next_read
        else:
            self._next_proposal += 1
            number = self._next_proposal
        if data is not None and len(data) > self._most + 512:
            return number, [ProposalResult(number, False, 0, f"{len(data)} bytes are too many")]
        if len(self._proposals) >= MAX_PROPOSALS:
            return number, [ProposalResult(number, False, 0, "too many offers under way")]
        self._proposals[number] = PendingProposal(kind, data)
        return number, self._retry_proposals(now)

    def drop(self, number: int) -> None:
        """Nobody waits for it any more; it may stand in the record all the same."""
        self._proposals.pop(number, None)

    def _retry_proposals(self, now: float) -> list[Effect]:
        out: list[Effect] = []
        for number, one in list(self._proposals.items()):
            if one.need or now - one.said_at < PROPOSAL_RETRY or not self.leader:
                continue
            one.said_at = now
            message = ProposeRequest(number, one.kind, one.data)
            out += (
                self._handle_propose_request(now, self.name, self.incarnation, message)
                if self.leads
                else [Send(self.leader, message)]
            )
        return out

    def _handle_propose_request(
        self, now: float, sender: str, incarnation: int, message: ProposeRequest
    ) -> list[Effect]:
        if not self.leads:
            return []  # said again to whoever leads by then
        if message.data is None:
            return self._handle_read(now, PendingRead(self._round + 1, sender, incarnation, message.number))
        author = f"{sender}#{incarnation}"
        if (known := self.state_machine.known(author, message.number)) is not None:
            index, held = known
            why = "" if held else MOVED if index else FORGOTTEN
            return self._respond(sender, ProposeResponse(incarnation, message.number, held, index, why))
        if (author, message.number) in self._taken:
            return []
        self._taken[author, message.number] = self.last + 1
        out = self._append_own(Entry(self.term, message.kind, author, message.number, message.data))
        for name, one in self._followers.items():
            if one.next == self.last:  # else it is behind and fed by its answers
                out += self._send_entries(name, one)
        return out

    def _handle_read(self, now: float, read: PendingRead) -> list[Effect]:
        """A round of heartbeats that begins after it was asked; while one is out for others it waits for the
        next, so that many reads cost no more rounds than a few."""
        if any(read[1:] == other[1:] for other in self._reads):  # said again
            return []
        under_way = any(other.round <= self._round for other in self._reads)
        self._reads.append(read)
        return [] if under_way else self._send_heartbeats(now)

    def _answer_reads(self) -> list[Effect]:
        """Those whose round a majority has answered: where the asker may read from."""
        # Before an entry of its own term is agreed on, a leader may not know how far it went before.
        if not self._reads or self.term_at(self.commit) != self.term:
            return []
        rounds = {name: one.round for name, one in self._followers.items()} | {self.name: self._round}
        out: list[Effect] = []
        for read in list(self._reads):
            if self._majority(name for name, heard in rounds.items() if heard >= read.round):
                self._reads.remove(read)
                out += self._respond(
                    read.asker, ProposeResponse(read.incarnation, read.number, True, self.commit)
                )
        if self._reads and all(read.round > self._round for read in self._reads):
            out += self._send_heartbeats(self._last_tick)
        return out

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
        if one.data is None and message.yes:
            one.need = max(message.index, 1)
            return self._finish_reads()
        del self._proposals[message.number]
        return [ProposalResult(message.number, message.yes, message.index, message.why)]

    def _finish_reads(self) -> list[Effect]:
        out: list[Effect] = []
        for number, one in list(self._proposals.items()):
            if one.need and self.state_machine.last >= one.need:
                del self._proposals[number]
                out.append(ProposalResult(number, True, self.state_machine.last, ""))
        return out
