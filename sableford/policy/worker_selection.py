"""Selects a worker by aged load estimates and the local bound (`sableford.policy.local_bound`)."""

from itertools import islice
from math import exp

from sableford.model import Repeats, Scope
from sableford.model.effects import Probe
from sableford.model.state import Txn, Worker
from sableford.policy.local_bound import AGE_LIMIT, IMBALANCE, UNCERTAINTY, pick_within, violations
from sableford.policy.scheduler_state import EXPIRY_MARGIN, RUN_WEIGHT
from sableford.policy.subset import Subset

DECAY_RUNS = 0.5  # mean runs: decay of others' jobs in an ageing estimate; most have finished by then
KIND_TAU = 2000.0  # ms: decay of a kind's mean load once reports are missing, so that it is tried again
STALE_PENALTY = 0.5  # jobs added to a fully aged estimate: a slot known to be free beats an assumed one
REPORT_LAG = 300.0  # ms: age of a report on arrival
ZONE_PENALTY = 0.25  # jobs added to a worker in another zone where cross-zone traffic costs money
OUTSIDERS = 3  # workers outside a full subset tried for one txn; the next try takes others
FREE_FILL = 0.75  # of its slots: a worker filled to this with known txns is no slower; the fastest fill first
PEER_AGES = 5.0  # age limits: peer updates between two reports keep an estimate fresh for that much longer
SLACK_SLOTS = 0.5  # slots by which a noisy estimate may be off before a worker counts as full
SLOW_PACE = 0.5  # of the fleet's pace: below it a txn is late even if it starts at once
RETURN_AGE = 10_000.0  # ms after operators return a worker: they expect its first txn within seconds
MIN_BUDGET = 2.0  # own txns in a span: with fewer, a scheduler takes turns, as rounding would leave it none


class WorkerSelection(Subset):
    def _estimate(self, worker: Worker, now: float) -> float:
        """Slots in use: own ones, and others' by the last report, decaying to the kind's mean with age."""
        # With one mean for all kinds, many schedulers at once saw room only on the strongest kind.
        typical = worker.kind.typical
        if self.cold and worker.index in self.cold:  # assumed as full as the others, it was left idle
            typical = min(typical, self.config.obligations.share(now - worker.since) * worker.kind.capacity)
        if self.notifies and worker.others < 0.0:
            return worker.own + worker.peer_total + typical
        if worker.others < 0.0:
            # Without reports all schedulers see the same empty fleet and filled it many times over.
            assumed = self.in_use * (self.config.schedulers - 1) / max(1, len(self.warm))
            return worker.own + max(typical, min(assumed, 0.5 * worker.kind.capacity))
        known = worker.own + worker.peer_total + worker.excess.read(now)
        if worker.suspect:  # a suspect counts by its last report only
            return known + worker.others
        return known + typical + (worker.others - typical) * exp((worker.as_of - now) / self.decay_time)

    def _update_typical(self, now: float) -> None:
        """Updates the load assumed at each kind, and how fast estimates decay to it."""
        done = sum(run.done + RUN_WEIGHT for run in self.runs)
        self.mean_run = sum(run.spent + RUN_WEIGHT * run.prior for run in self.runs) / done
        self.decay_time = DECAY_RUNS * self.mean_run
        means = [kind.mean_load(now, AGE_LIMIT, KIND_TAU) for kind in self.kinds.values() if kind.reports]
        for kind in self.kinds.values():
            kind.capacity = kind.slot_count()
            kind.typical = (
                kind.mean_load(now, AGE_LIMIT, KIND_TAU) if kind.reports else sum(means) / max(1, len(means))
            )

    def _index(self, worker: Worker, now: float, need: float, size: float) -> tuple[float, bool]:
        """The load index of one worker, and whether it has room."""
        jobs = self._estimate(worker, now)
        slots = worker.kind.capacity
        # Otherwise fast kinds kept free slots while txns ran late on slow ones.
        load = max(jobs + need, FREE_FILL * slots) if self.notifies else jobs + need
        index = load * size / (slots * worker.pace) - need
        if worker.zone != self.config.zone and self.config.limits.crossing:
            index += ZONE_PENALTY
        index += STALE_PENALTY * (1.0 - exp((worker.as_of - now) / self.decay_time))
        return index, jobs + need <= slots + SLACK_SLOTS or jobs <= SLACK_SLOTS

    def _choose(self, now: float, txn: Txn) -> Worker | None:
        """Returns the worker that gets the txn now, or None if none has room."""
        need = self._need(txn)
        self._update_typical(now)
        candidates = [*self.subset, *self._open_turns(now)] if self.cold else self.subset
        if txn.spec.key:
            candidates = self._homes(now, txn)
        sizes = [worker.kind.capacity * worker.pace for worker in candidates]
        size = sum(sizes) / len(sizes) if sizes else 1.0
        fit = [worker for worker in candidates if self._permitted(worker, now, txn)]
        healthy = [worker for worker in fit if self._healthy(worker, txn)]
        sound = [worker for worker in healthy if worker.pace >= SLOW_PACE]
        # A kind slower than half the fleet is used when the others are full; it was once left out entirely.
        weak = [worker for worker in healthy if SLOW_PACE * worker.kind.pace() <= worker.pace < SLOW_PACE]
        ranked: list[list[tuple[float, Worker]]] = [[], [], []]
        free, full, reserve = ranked
        for worker in sound + weak or fit:
            if worker.has_queue:
                continue
            index, room = self._index(worker, now, need, size)
            spare = reserve if sound and worker.pace < SLOW_PACE else free
            (spare if room else full).append((index, worker))
        # No peer updates come from workers outside the subset: they looked idle, and queues grew on them.
        if not (free or self.notifies or txn.spec.key) and (outsider := self._add_outsider(now, txn, size)):
            return outsider
        free = free or reserve
        if not free:
            return None
        # A returned worker has no report yet, which kept it outside the local bound beside idle workers.
        if returned := next((worker for _, worker in free if self._returned(worker, now)), None):
            return returned
        if self.rotation < 0:
            self.rotation = self._randint(len(free))
        self.rotation += 1
        proposed = [pair for pair in free if pair[1].index in self.cold] or free
        index, worker = proposed[self.rotation % len(proposed)]
        bound = IMBALANCE - UNCERTAINTY
        self._refresh(now, free, index - bound)
        return pick_within(free, index, worker, bound, self._randint)

    def _returned(self, worker: Worker, now: float) -> bool:
        """Whether operators returned it a moment ago and it has not been used since."""
        rule = self.overrides.get(worker.index)
        return rule is not None and not rule.out and worker.sent_at < rule.at and now - rule.at < RETURN_AGE

    def _add_outsider(self, now: float, txn: Txn, size: float) -> Worker | None:
        """If the subset has no room, swaps in a worker that should have some and returns it."""
        for worker in islice(self._outsiders(self.warm), OUTSIDERS):
            if worker.has_queue or worker.pace < SLOW_PACE or not self._healthy(worker, txn):
                continue
            if self._permitted(worker, now, txn) and self._index(worker, now, self._need(txn), size)[1]:
                self._swap_in(worker)
                return worker
        return None

    def _refresh(self, now: float, free: list[tuple[float, Worker]], below: float) -> None:
        """Probes the workers whose estimates break the bound, where probes are allowed."""
        if not self.config.limits.probes:
            return
        limit = AGE_LIMIT * (PEER_AGES if self.notifies else 1.0) + REPORT_LAG
        for _, worker in violations(free, below, lambda worker: now - worker.as_of > limit):
            # Probing at the rate of a lone scheduler, hundreds of them cost more than the traffic earned.
            may_probe = self.crowding <= 1.0 or self._randint(1000) * self.crowding <= 1000.0
            if may_probe and now - worker.probed_at >= AGE_LIMIT:
                worker.probed_at = now
                self.effects.append(Probe(worker.index))

    def _permitted(self, worker: Worker, now: float, txn: Txn) -> bool:
        """Whether rules and protocol permit this worker for the txn, whatever the alternatives."""
        scheme = txn.scheme
        if not worker.ready or scheme.kind not in (-1, worker.kind.index):
            return False
        # A hung worker may answer probes, so an answer proves nothing beside an own posting without updates.
        if worker.suspect and not (worker.probe_ok and not (worker.postings and self.config.limits.probes)):
            return False
        if txn.origin is not None and scheme.repeats is Repeats.REFERENCED:
            first = txn.origin
            if now - first.sent > scheme.span - EXPIRY_MARGIN:
                return False
            group = {Scope.ZONE: first.worker.zone, Scope.CELL: first.worker.cell}.get(scheme.scope)
            if group is not None and group != (worker.zone if scheme.scope is Scope.ZONE else worker.cell):
                return False
        if not self._is_cold(worker.since, now):
            return True
        if not self.takes_turns:
            return False
        if (part := self._own_budget(worker, now)) >= MIN_BUDGET:
            return sum(cost for _, cost in worker.sends) + 1.0 <= part
        return self._next_turn(worker.index, worker.kind, worker.since, now, worker.turn) >= 0

    def _healthy(self, worker: Worker, txn: Txn) -> bool:
        """Whether it is healthy; a failing one gets one txn at a time, and none that must not run twice."""
        if worker is txn.avoid or not (worker.stalled or self._failing(worker)):
            return worker is not txn.avoid
        again = txn.scheme.repeats is not Repeats.ONCE_ONLY
        return again and txn.posted == 0 and all(posting.silent for posting in worker.postings.values())
