"""How much a worker that has just started may be sent, by all schedulers together and by this one."""

from zlib import crc32

from sableford.model.state import Kind, Txn, Worker
from sableford.policy.ledger import TAKERS, Ledger

STEADY = 1.5  # of a span's turns: what may be sent in any span by count, where no turn comes late
COLD_MARGIN = 0.45  # of the push factor: a turn may be taken a span late, so twice as many can meet in one


class Cold(Ledger):
    def _is_cold(self, since: float, now: float) -> bool:
        known = since > 0.0 or since * self.terms.duties.start_drift < 0.0
        return known and self.terms.duties.is_cold(now - since)

    def _cost(self, txn: Txn) -> float:
        """In mean txns."""
        work = txn.taken.work or self.runs[txn.taken.scheme].mean()
        return work / self.mean_run * max(1.0, txn.taken.slots)

    def _earned(self, kind: Kind, age: float) -> int:
        """Whole txns, over all schedulers, that a worker of this kind may be sent by that age."""
        time = COLD_MARGIN * self.terms.duties.push_factor * self.terms.duties.borne(age)
        return int(time * kind.room() * kind.pace() / self.mean_run + 0.5)

    def _turn(self, index: int, kind: Kind, since: float, now: float, taken: int) -> int:
        """The own turn at a cold worker that is open and not taken yet, or -1."""
        # Its start is told to all alike: what it has earned since is given out in whole txns, to one
        # scheduler after the other. Rounded down in every span by itself, two thirds of it stood idle.
        schedulers, span = self.takers, self.terms.duties.push_span
        # What a scheduler killed just now sent is not known here: its turns from before have passed.
        least = max(taken + 1, self._earned(kind, max(now - span, self.turns_from) - since))
        # Called back by hand it is cold from a time of each scheduler's own: the order hangs on the list.
        place = self.terms.position - crc32(b"%d" % self.roster[index].since)
        if self.tells:
            party = self._party(self.listed[index].mark, TAKERS)
            if self.terms.position not in party:
                return -1
            place = party.index(self.terms.position)
        turn = least + (place - least) % schedulers
        return turn if turn < self._earned(kind, now - since) else -1

    def _part(self, worker: Worker, now: float) -> float:
        """Mean txns that this scheduler alone may send a cold worker in the span that ends now."""
        span, age = self.terms.duties.push_span, now - worker.since
        while worker.sends and worker.sends[0][0] <= now - span:
            worker.sends.popleft()
        if now - self.turns_from < span:  # what another process or a killed one sent is not known
            return 0.0
        earned = self._earned(worker.kind, age) - self._earned(worker.kind, age - span)
        return STEADY * earned / self.takers

    def _open_turns(self, now: float) -> list[Worker]:
        """Cold workers at which this scheduler may have a turn now; looked for a few times in a span."""
        if self.tells:
            return []
        if now - self.turns_at >= self.terms.duties.push_span / 4.0:
            self.turns, self.turns_at = [], now
            for index, since in self.cold.items():
                if self._turn(index, self.kinds[self.listed[index].kind], since, now, -1) >= 0:
                    self.turns.append(self.workers.get(index) or self._meet(self.listed[index]))
        return [worker for worker in self.turns if worker.ready and not worker.drawn]
