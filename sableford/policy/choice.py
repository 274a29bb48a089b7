"""The mechanism: aged copies, the local bound, the rotation (`sableford.policy.bound`)."""

from itertools import islice
from math import exp

from sableford.model import Repeats, Scope
from sableford.model.effects import Probe
from sableford.model.state import Txn, Worker
from sableford.policy.bound import AGE_LIMIT, IMBALANCE, UNCERTAINTY, breaks, within
from sableford.policy.draw import Draw
from sableford.policy.ledger import LAST_CALL, RUN_WEIGHT

DRIFT = 0.5  # mean runs: decay of what an aged copy tells of the others' jobs; by then most of them are done
KIND_FADE = 2000.0  # ms: decay of a kind's mean past the age limit without a report; then it is tried again
DOUBT = 0.5  # jobs added to a copy too old to tell anything: a free slot known counts more than one assumed
LAG = 300.0  # ms: how old a report is when it comes; learned, it moved no deployment by more than noise
CROSSING_STEP = 0.25  # jobs added to a worker in another zone where crossing has a price
WIDEN = 3  # strangers looked at when the draw has no room; the next look takes others
FREELY = 0.75  # of its slots: filled so far by known txns a worker is no slower, so that the fastest go first
TOLD_AGE = 5.0  # age limits: what is told between two reports keeps the copy fresh for that much longer
SLACK_SLOTS = 0.5  # slots a noisy figure may be off before a worker counts as full
SLOW = 0.5  # of the fleet's pace: below it a txn started at once is late all the same
AWAITED = 10_000.0  # ms after a call back: operators look for the first txn there within some seconds
WHOLE = 2.0  # txns of its own in a span: a scheduler with fewer takes turns, rounded it would send none


class Choice(Draw):
    def _estimate(self, worker: Worker, now: float) -> float:
        """Slots in flight: own ones, and the others' by the copy, drifting to its kind's mean with age."""
        # Kinds differ: with one mean for all, many schedulers saw room only on the strongest kind at once.
        usual = worker.kind.usual
        if self.cold and worker.index in self.cold:  # full by the others, it was left idle beside full ones
            usual = min(usual, self.terms.duties.bears(now - worker.since) * worker.kind.wide)
        if self.tells and worker.others < 0.0:
            return worker.own + worker.theirs + usual
        if worker.others < 0.0:
            # While nothing is heard all schedulers see the same empty fleet, and filled it many times over.
            alike = self.out * (self.terms.schedulers - 1) / max(1, len(self.open))
            return worker.own + max(usual, min(alike, 0.5 * worker.kind.wide))
        known = worker.own + worker.theirs + worker.excess.read(now)
        if worker.doubted:  # of what gave no sign only what it says of itself counts
            return known + worker.others
        return known + usual + (worker.others - usual) * exp((worker.true_at - now) / self.drift)

    def _usual(self, now: float) -> None:
        """What is assumed of the others at each kind, and how fast copies drift to it."""
        done = sum(run.done + RUN_WEIGHT for run in self.runs)
        self.mean_run = sum(run.spent + RUN_WEIGHT * run.prior for run in self.runs) / done
        self.drift = DRIFT * self.mean_run
        heard = [kind.held_at(now, AGE_LIMIT, KIND_FADE) for kind in self.kinds.values() if kind.heard]
        for kind in self.kinds.values():
            kind.wide = kind.room()
            kind.usual = (
                kind.held_at(now, AGE_LIMIT, KIND_FADE) if kind.heard else sum(heard) / max(1, len(heard))
            )

    def _index(self, worker: Worker, now: float, need: float, size: float) -> tuple[float, bool]:
        """The load index of one worker, and whether it has room."""
        jobs = self._estimate(worker, now)
        slots = worker.kind.wide
        # Free slots of the fast kinds stood beside txns that ran late on the slow ones.
        load = max(jobs + need, FREELY * slots) if self.tells else jobs + need
        index = load * size / (slots * worker.pace) - need
        if worker.zone != self.terms.zone and self.terms.tariff.crossing:
            index += CROSSING_STEP
        index += DOUBT * (1.0 - exp((worker.true_at - now) / self.drift))
        return index, jobs + need <= slots + SLACK_SLOTS or jobs <= SLACK_SLOTS

    def _choose(self, now: float, txn: Txn) -> Worker | None:
        """The worker that takes the txn now, or none with room for it."""
        need = self._need(txn)
        self._usual(now)
        near = [*self.drawn, *self._open_turns(now)] if self.cold else self.drawn
        if txn.taken.key:
            near = self._homes(now, txn)
        sizes = [worker.kind.wide * worker.pace for worker in near]
        size = sum(sizes) / len(sizes) if sizes else 1.0
        fit = [worker for worker in near if self._allowed(worker, now, txn)]
        well = [worker for worker in fit if self._sound(worker, txn)]
        sound = [worker for worker in well if worker.pace >= SLOW]
        # A weak kind slower than half the fleet was left out whole; it serves when the others are full.
        weak = [worker for worker in well if SLOW * worker.kind.pace() <= worker.pace < SLOW]
        ranked: list[list[tuple[float, Worker]]] = [[], [], []]
        indices, full, reserve = ranked
        for worker in sound + weak or fit:
            if worker.waits:
                continue
            index, room = self._index(worker, now, need, size)
            spare = reserve if sound and worker.pace < SLOW else indices
            (spare if room else full).append((index, worker))
        # Of strangers nothing is told: they looked idle beside full copies, and lines grew on them.
        if not (indices or self.tells or txn.taken.key) and (stranger := self._widen(now, txn, size)):
            return stranger
        indices = indices or reserve
        if not indices:
            return None
        # Beside idle workers the copy that is none kept one called back by hand out of the local bound.
        if awaited := next((worker for _, worker in indices if self._awaited(worker, now)), None):
            return awaited
        if self.turn < 0:
            self.turn = self._chance(len(indices))
        self.turn += 1
        named = [pair for pair in indices if pair[1].index in self.cold] or indices
        index, worker = named[self.turn % len(named)]
        bound = IMBALANCE - UNCERTAINTY
        self._refresh(now, indices, index - bound)
        return within(indices, index, worker, bound, self._chance)

    def _awaited(self, worker: Worker, now: float) -> bool:
        """Called back by hand a moment ago and not used since."""
        ban = self.bans.get(worker.index)
        return ban is not None and not ban.out and worker.sent_at < ban.at and now - ban.at < AWAITED

    def _widen(self, now: float, txn: Txn, size: float) -> Worker | None:
        """With no room in the draw, a stranger that should have some takes the txn and one place."""
        for worker in islice(self._strangers(self.open), WIDEN):
            if worker.waits or worker.pace < SLOW or not self._sound(worker, txn):
                continue
            if self._allowed(worker, now, txn) and self._index(worker, now, self._need(txn), size)[1]:
                self._draw(worker)
                return worker
        return None

    def _refresh(self, now: float, indices: list[tuple[float, Worker]], below: float) -> None:
        """Probe the copies that break the bound, where that is allowed."""
        if not self.terms.tariff.probes:
            return
        limit = AGE_LIMIT * (TOLD_AGE if self.tells else 1.0) + LAG
        for _, worker in breaks(indices, below, lambda worker: now - worker.true_at > limit):
            # Each probing as one alone may, some hundred schedulers spent more than the traffic earned.
            mine = self.crowd <= 1.0 or self._chance(1000) * self.crowd <= 1000.0
            if mine and now - worker.probed >= AGE_LIMIT:
                worker.probed = now
                self.effects.append(Probe(worker.index))

    def _allowed(self, worker: Worker, now: float, txn: Txn) -> bool:
        """What the rules and the wire forbid, whatever else is at hand."""
        scheme = txn.scheme
        if not worker.ready or scheme.kind not in (-1, worker.kind.index):
            return False
        # What hangs answers probes: beside an own posting that it keeps silent about, that says nothing.
        if worker.doubted and not (worker.vouched and not (worker.postings and self.terms.tariff.probes)):
            return False
        if txn.origin is not None and scheme.repeats is Repeats.REFERENCED:
            first = txn.origin
            if now - first.sent > scheme.span - LAST_CALL:
                return False
            home = {Scope.ZONE: first.worker.zone, Scope.CELL: first.worker.cell}.get(scheme.scope)
            if home is not None and home != (worker.zone if scheme.scope is Scope.ZONE else worker.cell):
                return False
        if not self._is_cold(worker.since, now):
            return True
        if not self.ours:
            return False
        if (part := self._part(worker, now)) >= WHOLE:
            return sum(cost for _, cost in worker.sends) + 1.0 <= part
        return self._turn(worker.index, worker.kind, worker.since, now, worker.turn) >= 0

    def _sound(self, worker: Worker, txn: Txn) -> bool:
        """Health against the peers; a suspect takes one txn at a time, and none that must not run twice."""
        if worker is txn.avoid or not (worker.still or self._suspect(worker)):
            return worker is not txn.avoid
        again = txn.scheme.repeats is not Repeats.ONCE_ONLY
        return again and txn.posted == 0 and all(posting.mute for posting in worker.postings.values())
