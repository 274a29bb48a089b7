"""Membership changes, one voter at a time (Ongaro's dissertation, chapter 4).

When one voter replaces another, the order is chosen so that no step tolerates fewer failures than before:

    voter to remove     first        why
    responds            add          3 to 4 voters: 3 of 4 are a majority, 1 failure is tolerated; removing
                                     first would leave 2 of 2, which tolerate none
    is silent           remove       3 to 2, then 3 voters: a failure of the newcomer in between blocks
                                     nothing; adding first would need 3 of 4 with one gone, so all three
                                     others, the newcomer included, would have to run
    lost its folder     remove       as silent; a name can stand for one folder only

A newcomer is caught up once it holds all that was committed when the last heartbeats were sent, or when its
last round of fetches began, if that took no longer than an election timeout. A leader changes voters only
after an entry of its own term was committed (Ongaro, raft-dev, 2015), and one change at a time.
"""

import msgspec

from sableford.consensus.constants import FETCH_INTERVAL, SILENCE_TIMEOUT
from sableford.consensus.effects import AppendToLog, Effect, LogEvent, Send
from sableford.consensus.messages import Entry, Kind
from sableford.consensus.raft_state import Follower, RaftState, learner


class VoterChanges(RaftState):
    """The voters, and the leader's changes towards those that are wanted."""

    def _voters_entry(self, voters: dict[str, str]) -> Entry:
        return Entry(self.term, Kind.VOTERS, data=msgspec.msgpack.encode(voters))

    def _append_own(self, entry: Entry) -> list[Effect]:
        self.entries.append(entry)
        if entry.kind == Kind.VOTERS:
            self._set_voters()
        return self._persist(AppendToLog(self.last, entry))

    def _set_voters(self) -> None:
        self._voters = self._latest_voters()
        if self.is_leader:
            for name in sorted(self._voters.keys() - self._followers.keys() - {self.name}):
                self._followers[name] = Follower(self.last, self._last_tick)
            for name in sorted(self._followers.keys() - self._voters.keys()):
                del self._followers[name]

    def _note_replaced_folder(self, now: float, name: str, id: str) -> None:
        """A process of that name has another folder than the one that votes: it is a learner."""
        known = self._learners.get(name)
        if known is None or known.id != id:
            known = learner(id, now, self.commit)
        self._learners[name] = known._replace(last_fetch_at=now)

    def _is_silent(self, now: float, name: str) -> bool:
        follower = self._followers.get(name)
        return follower is not None and now - follower.last_response_at >= SILENCE_TIMEOUT

    def _wanted_learners(self, now: float, within: float) -> dict[str, str]:
        """Ids of learners that are to become voters and were heard within that time."""
        return {
            name: learner.id
            for name, learner in sorted(self._learners.items())
            if name in self.wanted_voters
            and self._voters.get(name) != learner.id
            and now - learner.last_fetch_at <= within
        }

    def _change_voters(self, now: float) -> list[Effect]:
        """Makes the next change towards `wanted_voters` if one is possible, in the order given at the top."""
        if self.term_at(self.commit) != self.term or self.stable_voters() is None:
            return []
        size = len(self._voters)
        lost = [name for name in self._wanted_learners(now, FETCH_INTERVAL * 4) if name in self._voters]
        for name in lost:
            if size > 2 and self._is_silent(now, name):
                return self._remove_voter(name)
        newcomers = {
            name: id
            for name, id in self._wanted_learners(now, FETCH_INTERVAL).items()
            if name not in self._voters and self._learners[name].caught_up
        }
        outgoing = self._outgoing_voters(now)
        if outgoing and newcomers and size > 2 and self._is_silent(now, outgoing[0]):
            return self._remove_voter(outgoing[0])
        unconfirmed = [name for name in outgoing if self._followers[name].acked_round <= self._outgoing[name]]
        if not all(self._is_silent(now, name) for name in unconfirmed):
            return []  # not known yet whether they respond
        for name, id in newcomers.items():
            return self._add_voter(name, id)
        # Without a newcomer only if the remaining voters tolerate as many failures as the wanted ones.
        wanted_are_voters = self._voters.keys() >= set(self.wanted_voters)
        if outgoing and wanted_are_voters and (size - 2) // 2 >= (len(self.wanted_voters) - 1) // 2:
            return self._remove_voter(outgoing[0])
        return []

    def _outgoing_voters(self, now: float) -> list[str]:
        """Voters to remove, silent ones first; and updates the round in which each was first seen so."""
        outgoing = [
            name for name in sorted(self._voters) if name not in self.wanted_voters and name != self.name
        ]
        self._outgoing = {name: self._outgoing.get(name, self._round) for name in outgoing}
        return sorted(outgoing, key=lambda name: not self._is_silent(now, name))

    def _add_voter(self, name: str, id: str) -> list[Effect]:
        event = LogEvent("record_voter", {"voter": name, "id": id, "in": True})
        return [event, *self._append_own(self._voters_entry({**self._voters, name: id}))]

    def _remove_voter(self, name: str) -> list[Effect]:
        remaining = {other: id for other, id in self._voters.items() if other != name}
        event = LogEvent("record_voter", {"voter": name, "id": self._voters[name], "in": False})
        return [event, *self._append_own(self._voters_entry(remaining))]

    def _send_learner_heartbeats(self) -> list[Effect]:
        """Heartbeats to future voters, which makes them fetch from the leader."""
        learners = [name for name in self.wanted_voters if name not in self._voters and name != self.name]
        return [Send(name, self._append_request(name, self.last, ())) for name in learners]
