"""What a process that has just started asks the others: whether its folder is the one they know.

A folder that was lost, emptied or set back may have voted or acknowledged what it no longer holds, so
its process votes again only under a new id.
"""

from sableford.fleet.record.constants import HAIL_INTERVAL, HEARTBEAT, UNKNOWN
from sableford.fleet.record.effects import Effect, Meta, Send, Standing, Whole
from sableford.fleet.record.machine import Machine
from sableford.fleet.record.state import RecordState
from sableford.fleet.record.words import Hail, Hailed


class Startup(RecordState):
    """Hails, and the standing that follows from their answers."""

    def _hail(self, now: float) -> list[Effect]:
        self._hail_at = now + HAIL_INTERVAL
        out: list[Effect] = []
        word = Hail(self.id, self.term, self.durable, self.bound())
        out += [Send(name, word) for name in self._peers()]
        return out + self._weigh(now)

    def _weigh(self, now: float) -> list[Effect]:
        """What the answers to a hail come to."""
        voters = self._voters if self.bound() else self._names
        others = [name for name in voters if name != self.name]
        named = any(hail.bound for hail in self._hails.values())  # with this folder, or it were a stranger
        if self.standing is Standing.NEW and not named:
            # A record that all are new to begins with all of them, or another one's past would be lost.
            if all(name in self._hails for name in others):
                return self._stands(Standing.SOUND, "all voters are new")
            return []
        answers = {name for name in others if name in self._hails}
        if self._majority(answers | {self.name}) and (
            len(answers) == len(others) or now >= self._hail_from + self._hail_wait
        ):
            if self._lost is not None and not self._regained():
                return self._stands(Standing.MAIMED, f"its disk lost entries up to {self._lost[1]}")
            if self.standing is Standing.HAILING:
                # Where all began anew no leader will be heard; where one leads, its next beat comes sooner.
                self._due_at = min(self._due_at, now + HEARTBEAT * (1.0 + 2.0 * self._draw.random()))
                self.due = min(self.due, self._due_at)
            return self._stands(Standing.SOUND, "nobody heard more of it")
        return []

    def _regained(self) -> bool:
        """Leaders of that term or later alone have filled it up again: earlier ones are not heeded."""
        return self.durable >= self._lost[1]

    def _hailed(self, now: float, sender: str, word: Hail) -> list[Effect]:
        if UNKNOWN in self._voters.values():
            # A newcomer that has not read yet who votes. Others need not wait for what it has lost.
            return [Send(sender, Hailed(self.id, "", 0, 0, False, {}))] if word.bound else []
        answer = self._knows(sender)
        self._note(sender, word.id, word.term, word.last)
        if self.leads and self._voters.get(sender) not in (word.id, "", None):
            self._seen_folder(now, sender, word.id)
        return [Send(sender, answer)]

    def _knows(self, name: str) -> Hailed:
        known = self._stamps.get(name, ("", 0, 0))
        if not self.bound():
            return Hailed(self.id, *known, False, {}, self.commit)
        voters = self._voters_at(self.commit)
        return Hailed(self.id, *known, True, voters if any(voters.values()) else self._voters, self.commit)

    def _note(self, name: str, id: str, term: int, last: int) -> None:
        """The furthest that a voter said its folder was: what it may not fall behind when it starts again."""
        known = self._stamps.get(name, ("", 0, 0))
        if known[0] != id or (term, last) > known[1:]:
            self._stamps[name] = id, term, last

    def _weighed(self, now: float, sender: str, word: Hailed) -> list[Effect]:
        if self.standing in (Standing.LEARNER, Standing.STRANGER, Standing.NO_DISK):
            return []
        self._hails[sender] = word
        past = word.your_id == self.id and (word.your_term, word.your_last) > (self.term, self.durable)
        # Others had more from this folder than it holds, or have agreed on voters without it: if they know
        # what it knows, and are not behind it themselves.
        behind = 0 <= word.agreed < self._voters_index()
        other = word.bound and word.voters.get(self.name) != self.id and not behind
        if past or (other and self.standing in (Standing.NEW, Standing.HAILING)):
            why = f"{sender} knows another folder of this name"
            if past:
                why = f"{sender} heard of entry {word.your_last} of term {word.your_term}, it ends before"
            out = self._stands(Standing.STRANGER, why)
            return out + self._renew()
        return self._weigh(now) if self.standing in (Standing.NEW, Standing.HAILING) else []

    def _renew(self) -> list[Effect]:
        """As a newcomer of another id, without a past: what it has voted on binds nobody any more."""
        self.id, self._lost = f"{self._draw.getrandbits(64):016x}", None
        self.term, self.vote, self.entries, self.first, self._before = 0, "", [], 1, 0
        self.machine, self.image, self.commit, self._fetching = Machine(), None, 0, None
        self._applied_bytes, self.durable = 0, 0
        self._based = dict.fromkeys(self._names, UNKNOWN)
        self._voters = dict(self._based)
        self.leads, self.leader = False, ""
        return self._keep(Whole(self.id, Meta(0, ""), None, 1, 0, ()))

    def outvoted(self, now: float) -> list[Effect]:
        """Others have agreed on voters without this one: it comes back as a newcomer, if at all."""
        if self.standing in (Standing.STRANGER, Standing.LEARNER) or self.leads:
            return []
        return self._stands(Standing.STRANGER, "it was voted out") + self._renew()

    def _voter_again(self) -> list[Effect]:
        """Readmitted: under this id it has never voted, and what it holds is what was agreed on."""
        return self._stands(Standing.SOUND, "readmitted under its new id")
