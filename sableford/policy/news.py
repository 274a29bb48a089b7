"""What is told of postings and workers, and what it says of a worker's load, pace and health."""

from math import exp

from sableford.model import events
from sableford.model.events import NEVER_RAN, UNTOLD, Ended, Ending, Standing, Started
from sableford.model.state import START_WAIT, Input, Posting, Worker
from sableford.policy.choice import LAG
from sableford.policy.postings import EXCESS, Postings

FAULT_MEMORY = 10_000.0  # ms: decay of errors and of finishes beside them
LOOK_GAP = 20.0  # ms between looks on such a word where the estimate has no room: sixteen of 17 found none
IN_LINE = 0.1  # of the postings at a worker may meet a line: what keeps it busy between two finishes


class News(Postings):
    def _started(self, now: float, event: Started) -> None:
        if (posting := self._posting(event.txn, event.posting)) is None:
            return
        worker = posting.worker
        worker.measure(now)
        if not posting.started:
            posting.started = True
            self.unstarted -= 1
            if now - posting.sent <= START_WAIT:
                worker.excess.add(now, -min(worker.excess.read(now), EXCESS * IN_LINE))
                if self.txns[event.txn].moved:
                    self.landed.add(now)
            worker.running[posting.scheme] += 1
            if not self.line_shown:
                worker.show(posting.need, now)
        posting.news = worker.heard = now
        worker.doubted = False
        busy = sum(other.need for other in worker.postings.values() if other.started)
        worker.kind.slots = max(worker.kind.slots, float(int(busy)))
        self._look(worker, now)

    def _progressed(self, now: float, event: events.Progressed) -> None:
        if (posting := self._posting(event.txn, event.posting)) is not None:
            worker = posting.worker
            if posting.mute:  # measured at each progress, running times shifted, and more moves were made
                worker.measure(now)
                worker.running[posting.scheme] += 1
            posting.news = worker.heard = now
            posting.mute = worker.still = False

    def _posting(self, index: int, number: int) -> Posting | None:
        txn = self.txns.get(index)
        return txn.out.get(number) if txn else None

    def _ended(self, now: float, event: Ended) -> None:
        txn = self.txns.get(event.txn)
        posting = txn.out.pop(event.posting, None) if txn else None
        if txn is None or posting is None:
            return
        worker = posting.worker
        worker.postings.pop((event.txn, event.posting), None)
        if not worker.postings:
            worker.still = False
            del self.active[worker.index]
        self.unstarted -= not posting.started
        self.out = max(0.0, self.out - posting.need)
        worker.measure(now)
        self._judge(worker, posting, event.ending, now)
        worker.own = max(0.0, worker.own - posting.need)
        self._tell(worker, now)
        if self.line_shown or posting.started:
            worker.show(-posting.need, now)
        self._report(worker, event.load, now)
        self._look(worker, now)
        # Where workers shed what they had begun, 'full' says no more than silence.
        begun = event.ending is Ending.FULL and self.terms.duties.full_may_have_run
        never = event.ending in NEVER_RAN and not begun
        txn.origin = None if never and txn.origin is posting else txn.origin
        may = Input.LATE if event.ending is Ending.UNFIT else Input.MAY_HAVE_RUN
        came = Input.NEVER_RAN if never else may
        txn.avoid = txn.avoid if event.ending is Ending.SETTLED else worker
        self._step(now, event.txn, Input.SETTLED if event.closed else came)
        self._pump(now)

    def _judge(self, worker: Worker, posting: Posting, ending: Ending, now: float) -> None:
        """What an ending says of the worker's pace and health."""
        fade = exp((worker.judged - now) / FAULT_MEMORY)
        worker.faults, worker.sound, worker.judged = worker.faults * fade, worker.sound * fade, now
        if posting.started and not posting.mute:
            worker.running[posting.scheme] -= 1
        if ending is Ending.SETTLED:
            worker.still, worker.doubted, worker.heard = False, False, now
            worker.sound += 1.0
            if posting.started:
                worker.done += 1.0
                worker.kind.done += 1.0
                self.runs[posting.scheme].done += 1.0
        elif ending is Ending.ERROR or ending is Ending.BROKEN:
            worker.faults += 1.0
        # A line is no silence: moved out of lines, txns had put half of a busy fleet in doubt.
        elif ending is Ending.NO_CONNECTION or (ending in UNTOLD and posting.silent(now, self.mean_run)):
            self._doubt(worker, now)
        # Nothing left out there it looked idle, and was sent the next txn at once.
        elif ending is Ending.FULL or (ending is Ending.CALLED_OFF and posting.waited(now)):
            worker.others, worker.true_at = worker.kind.room(), now

    def _doubt(self, worker: Worker, now: float) -> None:
        """It gave no sign of life: a failed connection, a posting not begun, a probe without an answer."""
        if (line := self.roster.get(worker.index)) and line.standing is Standing.GONE:  # and the list agrees
            self._place(line, 0.0)
            self._list(line, now)
            return self._sort(now)
        self.doubted[worker.index], worker.doubted, worker.vouched = worker, True, False
        if not self.terms.tariff.probes:
            worker.probed = now

    def _report(self, worker: Worker, load: tuple[float, ...], now: float) -> None:
        """Renew the copy. The same figures again are the same report, and its copy goes on ageing."""
        terms, kind = self.terms, worker.kind
        if load == worker.figures or len(load) <= max(terms.free_slots, terms.handled, terms.waiting):
            return
        worker.figures = load
        if terms.free_slots >= 0:
            kind.slots = max(kind.slots, float(round(load[terms.free_slots])))
        if terms.handled >= 0:
            worker.renew(now, load[terms.handled], LAG)
        elif terms.free_slots >= 0:
            waiting = load[terms.waiting] if terms.waiting >= 0 else 0.0
            worker.renew(now, kind.slots - load[terms.free_slots] + waiting, LAG)

    def _sampled(self, now: float, event: events.Sampled) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None and not event.answered:
            self._doubt(worker, now)
        elif worker is not None:
            worker.vouched = True
            self._report(worker, event.load, now)
        self._pump(now)

    def _heard(self, now: float, event: events.Heard) -> None:
        """Another scheduler's part of what is at a worker: as good as an own send or finish."""
        peer, index, slots = event
        if index not in self.workers and index not in self.listed:
            return
        worker = self.workers.get(index) or self._meet(self.listed[index])
        more = worker.hear(now, peer, slots)
        room = self.held and more < 0.0 and worker.own + worker.theirs < worker.kind.slots
        if room and (now - self.looked_at > LOOK_GAP or self._index(worker, now, 1.0, 1.0)[1]):
            self.looked_at = now
            self._pump(now)
