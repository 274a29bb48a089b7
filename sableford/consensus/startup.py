"""What a process that has just started asks the others: whether its folder is the one they know.

A folder that was lost, emptied or set back may have voted or acknowledged what it no longer holds, so
its process votes again only under a new id.
"""

from sableford.consensus.constants import HEARTBEAT, STARTUP_QUESTION_INTERVAL, UNKNOWN
from sableford.consensus.effects import Effect, HardState, ReplaceLog, Send, Standing
from sableford.consensus.messages import StartupAnswer, StartupQuestion
from sableford.consensus.raft_state import RaftState
from sableford.consensus.state_machine import StateMachine


class Startup(RaftState):
    """Startup questions, and the standing that follows from their answers."""

    def _ask_about_past(self, now: float) -> list[Effect]:
        self._startup_question_at = now + STARTUP_QUESTION_INTERVAL
        out: list[Effect] = []
        message = StartupQuestion(self.id, self.term, self.durable, self.knows_voter_ids())
        out += [Send(name, message) for name in self._peers()]
        return out + self._decide_standing(now)

    def _decide_standing(self, now: float) -> list[Effect]:
        """What the answers to a startup question come to."""
        voters = self._voters if self.knows_voter_ids() else self._names
        others = [name for name in voters if name != self.name]
        named = any(
            answer.knows_voter_ids for answer in self._startup_answers.values()
        )  # with this folder, or it were a stranger
        if self.standing is Standing.NEW and not named:
            # A record that all are new to begins with all of them, or another one's past would be lost.
            if all(name in self._startup_answers for name in others):
                return self._set_standing(Standing.VOTING, "all voters are new")
            return []
        answers = {name for name in others if name in self._startup_answers}
        if self._majority(answers | {self.name}) and (
            len(answers) == len(others) or now >= self._startup_began_at + self._startup_answer_timeout
        ):
            if self._lost is not None and not self._has_regained():
                return self._set_standing(Standing.INCOMPLETE, f"its disk lost entries up to {self._lost[1]}")
            if self.standing is Standing.ASKING:
                # Where all began anew no leader will be heard; where one leads, its next beat comes sooner.
                self._due_at = min(self._due_at, now + HEARTBEAT * (1.0 + 2.0 * self._random.random()))
                self.due = min(self.due, self._due_at)
            return self._set_standing(Standing.VOTING, "nobody heard more of it")
        return []

    def _has_regained(self) -> bool:
        """Leaders of that term or later alone have filled it up again: earlier ones are not heeded."""
        return self.durable >= self._lost[1]

    def _handle_startup_question(self, now: float, sender: str, message: StartupQuestion) -> list[Effect]:
        if UNKNOWN in self._voters.values():
            # A newcomer that has not read yet who votes. Others need not wait for what it has lost.
            return (
                [Send(sender, StartupAnswer(self.id, "", 0, 0, False, {}))] if message.knows_voter_ids else []
            )
        answer = self._known_past_of(sender)
        self._note_progress(sender, message.id, message.term, message.last)
        if self.leads and self._voters.get(sender) not in (message.id, "", None):
            self._note_other_disk(now, sender, message.id)
        return [Send(sender, answer)]

    def _known_past_of(self, name: str) -> StartupAnswer:
        known = self._progress.get(name, ("", 0, 0))
        if not self.knows_voter_ids():
            return StartupAnswer(self.id, *known, False, {}, self.commit)
        voters = self._voters_at(self.commit)
        return StartupAnswer(
            self.id, *known, True, voters if any(voters.values()) else self._voters, self.commit
        )

    def _note_progress(self, name: str, id: str, term: int, last: int) -> None:
        """The furthest that a voter said its folder was: what it may not fall behind when it starts again."""
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
        # Others had more from this folder than it holds, or have agreed on voters without it: if they know
        # what it knows, and are not behind it themselves.
        behind = 0 <= message.agreed < self._voters_index()
        other = message.knows_voter_ids and message.voters.get(self.name) != self.id and not behind
        if past or (other and self.standing in (Standing.NEW, Standing.ASKING)):
            why = f"{sender} knows another folder of this name"
            if past:
                why = (
                    f"{sender} heard of entry {message.your_last} of term {message.your_term}, it ends before"
                )
            out = self._set_standing(Standing.REPLACED, why)
            return out + self._start_over()
        return self._decide_standing(now) if self.standing in (Standing.NEW, Standing.ASKING) else []

    def _start_over(self) -> list[Effect]:
        """As a newcomer of another id, without a past: what it has voted on binds nobody any more."""
        self.id, self._lost = f"{self._random.getrandbits(64):016x}", None
        self.term, self.vote, self.entries, self.first, self._before = 0, "", [], 1, 0
        self.state_machine, self.snapshot, self.commit, self._fetching = StateMachine(), None, 0, None
        self._applied_bytes, self.durable = 0, 0
        self._based = dict.fromkeys(self._names, UNKNOWN)
        self._voters = dict(self._based)
        self.leads, self.leader = False, ""
        return self._persist(ReplaceLog(self.id, HardState(0, ""), None, 1, 0, ()))

    def outvoted(self, now: float) -> list[Effect]:
        """Others have agreed on voters without this one: it comes back as a newcomer, if at all."""
        if self.standing in (Standing.REPLACED, Standing.LEARNER) or self.leads:
            return []
        return self._set_standing(Standing.REPLACED, "it was voted out") + self._start_over()

    def _voter_again(self) -> list[Effect]:
        """Readmitted: under this id it has never voted, and what it holds is what was agreed on."""
        return self._set_standing(Standing.VOTING, "readmitted under its new id")
