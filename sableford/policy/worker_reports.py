"""Handles updates on postings and workers, and derives a worker's load, pace and health from them."""

from math import exp

from sableford.model import events
from sableford.model.events import NEVER_RAN, SILENT, Ended, Ending, Standing, Started
from sableford.model.state import START_WAIT, Input, Posting, Worker
from sableford.policy.dispatch import QUEUED_EXCESS, Dispatch
from sableford.policy.worker_selection import REPORT_LAG

ERROR_MEMORY = 10_000.0  # ms: decay of error and success counts
DISPATCH_GAP = 20.0  # ms between dispatches on a peer load without estimated room: 16 of 17 found none
QUEUED_PART = 0.1  # of a worker's postings may queue: that keeps it busy between two finishes


class WorkerReports(Dispatch):
    def _started(self, now: float, event: Started) -> None:
        if (posting := self._posting(event.txn, event.posting)) is None:
            return
        worker = posting.worker
        worker.measure(now)
        if not posting.started:
            posting.started = True
            self.unstarted -= 1
            if now - posting.sent <= START_WAIT:
                worker.excess.add(now, -min(worker.excess.read(now), QUEUED_EXCESS * QUEUED_PART))
                if self.txns[event.txn].moved:
                    self.good_moves.add(now)
            worker.running[posting.scheme] += 1
            if not self.queue_known:
                worker.change_known(posting.need, now)
        posting.seen_at = worker.last_seen = now
        worker.suspect = False
        busy = sum(other.need for other in worker.postings.values() if other.started)
        worker.kind.slots = max(worker.kind.slots, float(int(busy)))
        self._check_queue(worker, now)

    def _progressed(self, now: float, event: events.Progressed) -> None:
        if (posting := self._posting(event.txn, event.posting)) is not None:
            worker = posting.worker
            if posting.silent:  # measuring at each progress shifted running times and caused more moves
                worker.measure(now)
                worker.running[posting.scheme] += 1
            posting.seen_at = worker.last_seen = now
            posting.silent = worker.stalled = False

    def _posting(self, index: int, number: int) -> Posting | None:
        txn = self.txns.get(index)
        return txn.in_flight.get(number) if txn else None

    def _ended(self, now: float, event: Ended) -> None:
        txn = self.txns.get(event.txn)
        posting = txn.in_flight.pop(event.posting, None) if txn else None
        if txn is None or posting is None:
            return
        worker = posting.worker
        worker.postings.pop((event.txn, event.posting), None)
        if not worker.postings:
            worker.stalled = False
            del self.active[worker.index]
        self.unstarted -= not posting.started
        self.in_use = max(0.0, self.in_use - posting.need)
        worker.measure(now)
        self._record_outcome(worker, posting, event.ending, now)
        worker.own = max(0.0, worker.own - posting.need)
        self._notify(worker, now)
        if self.queue_known or posting.started:
            worker.change_known(-posting.need, now)
        self._apply_report(worker, event.load, now)
        self._check_queue(worker, now)
        # Where workers shed begun work, 'full' proves no more than a missing answer.
        begun = event.ending is Ending.FULL and self.config.obligations.full_may_have_run
        never = event.ending in NEVER_RAN and not begun
        txn.origin = None if never and txn.origin is posting else txn.origin
        uncertain = Input.LATE if event.ending is Ending.UNFIT else Input.MAY_HAVE_RUN
        outcome = Input.NEVER_RAN if never else uncertain
        txn.avoid = txn.avoid if event.ending is Ending.SETTLED else worker
        self._step(now, event.txn, Input.SETTLED if event.closed else outcome)
        self._dispatch(now)

    def _record_outcome(self, worker: Worker, posting: Posting, ending: Ending, now: float) -> None:
        """Updates the worker's pace and health by how a posting ended."""
        fade = exp((worker.health_at - now) / ERROR_MEMORY)
        worker.errors, worker.successes, worker.health_at = worker.errors * fade, worker.successes * fade, now
        if posting.started and not posting.silent:
            worker.running[posting.scheme] -= 1
        if ending is Ending.SETTLED:
            worker.stalled, worker.suspect, worker.last_seen = False, False, now
            worker.successes += 1.0
            if posting.started:
                worker.done += 1.0
                worker.kind.done += 1.0
                self.runs[posting.scheme].done += 1.0
        elif ending is Ending.ERROR or ending is Ending.BROKEN:
            worker.errors += 1.0
        # A queue is no silence: txns moved out of queues had half of a busy fleet marked suspect.
        elif ending is Ending.NO_CONNECTION or (ending in SILENT and posting.unanswered(now, self.mean_run)):
            self._mark_suspect(worker, now)
        # With nothing left in flight there it looked idle and was sent the next txn at once.
        elif ending is Ending.FULL or (ending is Ending.CALLED_OFF and posting.overdue(now)):
            worker.others, worker.as_of = worker.kind.slot_count(), now

    def _mark_suspect(self, worker: Worker, now: float) -> None:
        """Marks it suspect: a failed connection, a posting not begun, a probe without an answer."""
        if (entry := self.roster.get(worker.index)) and entry.standing is Standing.GONE:  # the roster agrees
            self._place_on_ring(entry, 0.0)
            self._apply_entry(entry, now)
            return self._classify(now)
        self.suspects[worker.index], worker.suspect, worker.probe_ok = worker, True, False
        if not self.config.limits.probes:
            worker.probed_at = now

    def _apply_report(self, worker: Worker, load: tuple[float, ...], now: float) -> None:
        """Applies a load report. Unchanged figures are the same report, whose estimate goes on ageing."""
        config, kind = self.config, worker.kind
        if load == worker.last_report or len(load) <= max(config.free_slots, config.handled, config.waiting):
            return
        worker.last_report = load
        if config.free_slots >= 0:
            kind.slots = max(kind.slots, float(round(load[config.free_slots])))
        if config.handled >= 0:
            worker.update_load(now, load[config.handled], REPORT_LAG)
        elif config.free_slots >= 0:
            waiting = load[config.waiting] if config.waiting >= 0 else 0.0
            worker.update_load(now, kind.slots - load[config.free_slots] + waiting, REPORT_LAG)

    def _probed(self, now: float, event: events.Probed) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None and not event.answered:
            self._mark_suspect(worker, now)
        elif worker is not None:
            worker.probe_ok = True
            self._apply_report(worker, event.load, now)
        self._dispatch(now)

    def _peerupdate(self, now: float, event: events.PeerUpdate) -> None:
        """Applies another scheduler's load at a worker, like an own send or finish."""
        peer, index, slots = event
        if index not in self.workers and index not in self.listed:
            return
        worker = self.workers.get(index) or self._add_worker(self.listed[index])
        change = worker.set_peer_load(now, peer, slots)
        room = self.held and change < 0.0 and worker.own + worker.peer_total < worker.kind.slots
        if room and (now - self.peer_dispatch_at > DISPATCH_GAP or self._index(worker, now, 1.0, 1.0)[1]):
            self.peer_dispatch_at = now
            self._dispatch(now)
