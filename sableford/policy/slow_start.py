"""Slow start: what may be sent to a worker that has just started, by all schedulers and by this one."""

from zlib import crc32

from sableford.model.state import Kind, Txn, Worker
from sableford.policy.scheduler_state import SENDERS, SchedulerState

SPAN_BURST = 1.5  # of a span's turns: what may be sent in any span by count, where no turn comes late
COLD_MARGIN = 0.45  # of the push factor: a turn may be used one span late, so two spans' turns can coincide


class SlowStart(SchedulerState):
    def _is_cold(self, since: float, now: float) -> bool:
        known = since > 0.0 or since * self.config.obligations.start_drift < 0.0
        return known and self.config.obligations.is_cold(now - since)

    def _cost(self, txn: Txn) -> float:
        """Returns the txn's cost in mean txns."""
        work = txn.spec.work or self.runs[txn.spec.scheme].mean()
        return work / self.mean_run * max(1.0, txn.spec.slots)

    def _budget(self, kind: Kind, age: float) -> int:
        """Returns the whole txns that all schedulers may have sent such a worker by that age."""
        time = COLD_MARGIN * self.config.obligations.push_factor * self.config.obligations.share_sum(age)
        return int(time * kind.slot_count() * kind.pace() / self.mean_run + 0.5)

    def _next_turn(self, index: int, kind: Kind, since: float, now: float, used: int) -> int:
        """Returns the own turn at a cold worker that is open and unused, or -1."""
        # All know its start alike: its budget since then is handed out in whole txns to the schedulers in
        # turn. When each rounded its part of every span down, two thirds of the budget went unused.
        schedulers, span = self.senders, self.config.obligations.push_span
        # A predecessor that was killed may have used its turns, so those before the start count as used.
        first = max(used + 1, self._budget(kind, max(now - span, self.turns_from) - since))
        # An override's time differs between schedulers, so the order depends on the listed start.
        place = self.config.position - crc32(b"%d" % self.roster[index].since)
        if self.notifies:
            watchers = self._watchers(self.listed[index].id_hash, SENDERS)
            if self.config.position not in watchers:
                return -1
            place = watchers.index(self.config.position)
        turn = first + (place - first) % schedulers
        return turn if turn < self._budget(kind, now - since) else -1

    def _own_budget(self, worker: Worker, now: float) -> float:
        """Returns the mean txns that this scheduler may send a cold worker in the span ending now."""
        span, age = self.config.obligations.push_span, now - worker.since
        while worker.sends and worker.sends[0][0] <= now - span:
            worker.sends.popleft()
        if now - self.turns_from < span:  # sends of another or a killed process are unknown
            return 0.0
        earned = self._budget(worker.kind, age) - self._budget(worker.kind, age - span)
        return SPAN_BURST * earned / self.senders

    def _open_turns(self, now: float) -> list[Worker]:
        """Returns the cold workers with an open turn for this scheduler, refreshed a few times per span."""
        if self.notifies:
            return []
        if now - self.turns_at >= self.config.obligations.push_span / 4.0:
            self.turn_workers, self.turns_at = [], now
            for index, since in self.cold.items():
                if self._next_turn(index, self.kinds[self.listed[index].kind], since, now, -1) >= 0:
                    self.turn_workers.append(self.workers.get(index) or self._add_worker(self.listed[index]))
        return [worker for worker in self.turn_workers if worker.ready and not worker.in_subset]
