"""Startup check of a process: whether the others know its folder, and know no more of it than it holds.

A folder that was lost, emptied or set back may have voted or acknowledged entries that it no longer holds, so
its process votes again only under a new id.
"""

from sableford.consensus.constants import HEARTBEAT, STARTUP_QUESTION_INTERVAL, UNKNOWN
from sableford.consensus.effects import Effect, HardState, ReplaceLog, Send, Standing
from sableford.consensus.messages import StartupAnswer, StartupQuestion
from sableford.consensus.raft_state import RaftState
from sableford.consensus.state_machine import StateMachine


class Startup(RaftState):
    """Sends startup questions, answers them, and derives the standing from the answers."""

    def _send_startup_questions(self, now: float) -> list[Effect]:
        self._startup_question_at = now + STARTUP_QUESTION_INTERVAL
        effects: list[Effect] = []
        message = StartupQuestion(self.id, self.term, self.durable, self.knows_voter_ids())
        effects += [Send(name, message) for name in self._peers()]
        return effects + self._decide_standing(now)

    def _decide_standing(self, now: float) -> list[Effect]:
        """Sets the standing once enough startup answers are known."""
        voters = self._voters if self.knows_voter_ids() else self._configured_voters
        others = [name for name in voters if name != self.name]
        # Voters known with this folder's id: answers that name another id have replaced it by now.
        named = any(answer.knows_voter_ids for answer in self._startup_answers.values())
        if self.standing is Standing.NEW and not named:
            # A new log begins only if all voters are new: else entries of an existing one could be lost.
            if all(name in self._startup_answers for name in others):
                return self._set_standing(Standing.VOTING, "all voters are new")
            return []
        answers = {name for name in others if name in self._startup_answers}
        if self._majority(answers | {self.name}) and (
            len(answers) == len(others) or now >= self._startup_began_at + self._startup_answer_timeout
        ):
            if self._lost_position is not None and not self._has_recovered_lost():
                return self._set_standing(
                    Standing.INCOMPLETE, f"its disk lost entries up to {self._lost_position[1]}"
                )
            if self.standing is Standing.ASKING:
                # If all have restarted there is no leader to wait for; a leader's heartbeat comes first.
                self._election_due_at = min(
                    self._election_due_at, now + HEARTBEAT * (1.0 + 2.0 * self._random.random())
                )
                self.due = min(self.due, self._election_due_at)
            return self._set_standing(Standing.VOTING, "nobody heard more of it")
        return []

    def _has_recovered_lost(self) -> bool:
        """Whether the lost entries are durable again; only leaders since that term can have sent them."""
        return self.durable >= self._lost_position[1]

    def _handle_startup_question(self, now: float, sender: str, message: StartupQuestion) -> list[Effect]:
        if UNKNOWN in self._voters.values():
            # A newcomer that does not know the voters yet. It answers, so that others need not wait for it.
            return (
                [Send(sender, StartupAnswer(self.id, "", 0, 0, False, {}))] if message.knows_voter_ids else []
            )
        answer = self._startup_answer_for(sender)
        self._note_progress(sender, message.id, message.term, message.last)
        if self.is_leader and self._voters.get(sender) not in (message.id, "", None):
            self._note_replaced_folder(now, sender, message.id)
        return [Send(sender, answer)]

    def _startup_answer_for(self, name: str) -> StartupAnswer:
        known = self._progress.get(name, ("", 0, 0))
        if not self.knows_voter_ids():
            return StartupAnswer(self.id, *known, False, {}, self.commit)
        voters = self._voters_at(self.commit)
        return StartupAnswer(
            self.id, *known, True, voters if any(voters.values()) else self._voters, self.commit
        )

    def _note_progress(self, name: str, id: str, term: int, last: int) -> None:
        """Records the highest term and entry that a voter has reported: it must not restart with less."""
        known = self._progress.get(name, ("", 0, 0))
        if known[0] != id or (term, last) > known[1:]:
            self._progress[name] = id, term, last

    def _handle_startup_answer(self, now: float, sender: str, message: StartupAnswer) -> list[Effect]:
        if self.standing in (Standing.LEARNER, Standing.REPLACED, Standing.NO_DISK):
            return []
        self._startup_answers[sender] = message
        past = message.your_id == self.id and (message.your_term, message.your_last) > (
            self.term,
            self.durable,
        )
        # The sender heard more from this folder than it holds, or its voters do not include this id. The
        # latter counts only if the sender's commit index has reached the voters known here.
        behind = 0 <= message.commit < self._voters_index()
        other = message.knows_voter_ids and message.voters.get(self.name) != self.id and not behind
        if past or (other and self.standing in (Standing.NEW, Standing.ASKING)):
            why = f"{sender} knows another folder of this name"
            if past:
                why = (
                    f"{sender} heard of entry {message.your_last} of term {message.your_term}, it ends before"
                )
            effects = self._set_standing(Standing.REPLACED, why)
            return effects + self._reset_as_newcomer()
        return self._decide_standing(now) if self.standing in (Standing.NEW, Standing.ASKING) else []

    def _reset_as_newcomer(self) -> list[Effect]:
        """Discards all state and takes a new id, as a newcomer: its earlier votes bind nobody."""
        self.id, self._lost_position = f"{self._random.getrandbits(64):016x}", None
        self.term, self.vote, self.entries, self.first, self._term_before_first = 0, "", [], 1, 0
        self.state_machine, self.snapshot, self.commit, self._fetching = StateMachine(), None, 0, None
        self._applied_bytes, self.durable = 0, 0
        self._base_voters = dict.fromkeys(self._configured_voters, UNKNOWN)
        self._voters = dict(self._base_voters)
        self.is_leader, self.leader = False, ""
        return self._persist(ReplaceLog(self.id, HardState(0, ""), None, 1, 0, ()))

    def handle_voted_out(self, now: float) -> list[Effect]:
        """Others have committed voters without this process: it can only be added again as a newcomer."""
        if self.standing in (Standing.REPLACED, Standing.LEARNER) or self.is_leader:
            return []
        return self._set_standing(Standing.REPLACED, "it was voted out") + self._reset_as_newcomer()

    def _readmitted(self) -> list[Effect]:
        """The process was added as a voter: its id has never voted, and it holds only committed entries."""
        return self._set_standing(Standing.VOTING, "readmitted under its new id")
