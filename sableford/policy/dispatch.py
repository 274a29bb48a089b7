"""Accepts txns, dispatches them, and supervises the postings in flight."""

from sableford.model import Repeats, events
from sableford.model.effects import FetchRoster, Post, Probe
from sableford.model.events import TxnArrived
from sableford.model.state import Input, Posting, Rank, State, Txn, TxnQueue, Worker
from sableford.policy.local_bound import AGE_LIMIT
from sableford.policy.scheduler_state import EXPIRY_MARGIN, MAX_WAIT_PART
from sableford.policy.worker_selection import WorkerSelection

TRIAL_GAP = 500.0  # ms between trial txns at a suspect, where probes are not allowed
QUEUED_EXCESS = 1.0  # jobs added to a worker's estimate for each posting that was queued there
MOVE_WEIGHT = 6.0  # successful moves assumed at first, so that one failure decides nothing
SUCCESS = 0.55  # of the moves must start at once: fewer mean that all queues are full
HUNG = 3.0  # mean runs without a start, where queues are known beforehand: the worker hangs
STALL_GAPS = 1.5  # progress intervals without an update before a running posting counts as stalled
STALL_SLACK = 300.0  # ms on top, for pauses and network delay
MEDIAN_RUN = 0.5  # of the mean run: the median of the heavy-tailed runs measured
LATE = 1.0  # mean runs: a txn not begun by the SLA time of such a run is called off; most are late then


class Dispatch(WorkerSelection):
    def _txnarrived(self, now: float, event: TxnArrived) -> None:
        scheme = self.config.schemes[event.scheme]
        typical = event.work or MEDIAN_RUN * self.runs[event.scheme].mean()
        max_wait = scheme.sla + max(0.0, scheme.stretch - 1.0) * typical
        limit = min(now + max_wait, event.expiry - EXPIRY_MARGIN)
        rank = Rank.BEYOND if self._beyond_share(now, event.account) else Rank.SHARE
        txn = self.txns[event.txn] = Txn(event, self.config, limit, rank)
        # Clients retry the others at once, and where a call-off stops nothing, each ran several times.
        if self.config.start_known and scheme.repeats is Repeats.ONCE_ONLY:
            txn.start_by = now + scheme.sla + max(0.0, scheme.stretch - 1.0) * LATE * typical / MEDIAN_RUN
        # Where misses are counted, a decline within the SLA time is none; a later start is one.
        elif self.config.punctual and scheme.repeats is Repeats.REPEATABLE:
            txn.start_by = limit
        if event.key:
            self._count_key(now, event.key)
        wait = self._queue(txn).wait(now)
        if wait > MAX_WAIT_PART * max_wait and not self._hold_tardy(now, txn):
            self._step(now, event.txn, Input.LATE)
        else:
            self._enqueue(event.txn, txn)
            self._dispatch(now)

    def _dispatch(self, now: float) -> None:
        """Sends held txns while workers have room, highest earnings per running time first."""
        self._expire(now)
        if not self.held:
            return
        full: set[tuple[Repeats, int, float, int]] = set()
        for queue in sorted((queue for both in self.queues for queue in both), key=self._value, reverse=True):
            at = 0
            while at < len(queue.entries) and self.choices_left > 0:
                _, index = queue.entries[at]
                txn = self.txns[index]
                # Without this, full workers cost nine scans of the subset for each finish.
                signature = (txn.scheme.repeats, txn.scheme.kind, self._need(txn), txn.spec.key)
                worker = self._choose(now, txn) if signature not in full else None
                if worker is None:
                    if not txn.posted:
                        full.add(signature)
                    at = at + 1 if txn.spec.key else len(queue.entries)
                    continue
                queue.entries.pop(at)
                self.held -= 1
                self.selected = worker
                self._step(now, index, Input.ROOM)

    def _value(self, queue: TxnQueue) -> float:
        """Earnings per running millisecond; less beyond a tenant's share and past the SLA time."""
        scheme = self.config.schemes[queue.scheme]
        part = (1.0, self.config.limits.overage, scheme.tardy)[queue.rank]
        return scheme.earnings * part / (1.0 if self.config.by_work else queue.run.mean())

    def _post(self, now: float, index: int, txn: Txn) -> None:
        worker, need = self.selected, self._need(txn)
        posting = Posting(worker, txn.spec.scheme, need, now)
        worker.postings[index, txn.posted] = txn.in_flight[txn.posted] = posting
        self.active[worker.index], worker.sent_at, worker.probe_ok = worker, now, False
        self.unstarted, self.in_use = self.unstarted + 1, self.in_use + need
        if txn.moved:
            self.moves.add(now)
        txn.posted += 1
        txn.origin = txn.origin or posting
        worker.own += need
        self._notify(worker, now)
        if self.queue_known:
            worker.change_known(need, now)
        if self._is_cold(worker.since, now):
            worker.sends.append((now, self._cost(txn)))
            turn = max(
                worker.turn, self._next_turn(worker.index, worker.kind, worker.since, now, worker.turn)
            )
            # A txn that costs more than the mean uses up the following own turns.
            worker.debt = max(0.0, worker.debt + self._cost(txn) - 1.0)
            worker.turn = turn + int(worker.debt) * self.senders
            worker.debt %= 1.0
        self._queue(txn).flow.add(now)
        self.effects.append(Post(index, worker.index, txn.spec.expiry))

    def _clientleft(self, now: float, event: events.ClientLeft) -> None:
        txn = self.txns.get(event.txn)
        if txn is not None:
            if txn.state is State.HELD:
                self._dequeue(event.txn, txn)
            self._step(now, event.txn, Input.CLIENT_LEFT)

    def _check_queue(self, worker: Worker, now: float) -> None:
        """An own posting not begun within a round trip is queued: the worker has no room."""
        worker.has_queue = False
        for posting in worker.postings.values() if self.config.start_known else ():
            if posting.overdue(now):
                worker.has_queue = True
                if not (posting.queued or self.notifies or worker.index in self.cold):
                    posting.queued = True
                    worker.excess.add(now, QUEUED_EXCESS)

    def _probe_suspects(self, now: float) -> None:
        """Tests whether suspects are back: by a probe or, where not allowed, by one txn."""
        probes = self.config.limits.probes
        for index, worker in list(self.suspects.items()):
            if not worker.suspect or index not in self.listed:
                worker.suspect = False
                del self.suspects[index]
            elif worker.ready and now - worker.probed_at >= (AGE_LIMIT if probes else TRIAL_GAP):
                worker.probed_at, worker.probe_ok = now, worker.probe_ok or not probes
                if probes:
                    self.effects.append(Probe(index))

    def _woken(self, now: float, event: events.Woken) -> None:
        if self.fetch_at and now >= self.fetch_at:
            self.fetch_at = 0.0
            self.effects.append(FetchRoster(once=self.config.ask_within > 0.0))
        max_silence = self.config.progress and self.config.progress * STALL_GAPS + STALL_SLACK
        late: list[int] = []
        for worker in self.active.values():  # active ones only: the whole subset took two fifths of the CPU
            worker.measure(now)
            self._check_queue(worker, now)
            for (index, _), posting in worker.postings.items():
                if posting.started and 0.0 < max_silence < now - posting.seen_at and not posting.silent:
                    # Counting a hung posting as running made its worker, kind and scheme look slow.
                    posting.silent = True
                    worker.running[posting.scheme] -= 1
                # Else queues of txns too late to earn anything grew until none was in time.
                elif not posting.started and now > self.txns[index].start_by and not posting.called_off:
                    late.append(index)
            # Updates of other postings there clear it: one lost answer excluded a worker until the expiry.
            silent = any(posting.silent for posting in worker.postings.values())
            worker.stalled = silent and now - worker.last_seen > max_silence
        self._rotate(now)
        self._probe_suspects(now)
        if self.config.limits.call_off:
            for index in late:
                self._step(now, index, Input.LATE)
            for worker in list(self.active.values()):
                self._move_postings(worker, now)
        self._dispatch(now)

    def _move_postings(self, worker: Worker, now: float) -> None:
        """Calls off queued and stalled postings that may be retried where another worker has room."""
        # Where a call-off stops nothing, moves between queues made each txn run several times.
        futile = self.good_moves.read(now) + MOVE_WEIGHT < SUCCESS * (self.moves.read(now) + MOVE_WEIGHT)
        for (index, _), posting in list(worker.postings.items()):
            txn = self.txns[index]
            scheme = txn.scheme
            # The queue of a worker that operators took out is lost at its restart, so it is always moved.
            stuck = worker.index in self.overrides and self.overrides[worker.index].out
            movable = posting.silent if posting.started else stuck or (not futile and posting.overdue(now))
            # Where a call-off stops nothing, each txn moved out of a queue ran twice, and queues grew.
            movable = movable and (not self.notifies or stuck or now - posting.seen_at > HUNG * self.mean_run)
            left = txn.postings - (not posting.started) - txn.posted
            retryable = txn.state is State.SENT and not posting.called_off and left > 0 and now < txn.limit
            if not (movable and retryable) or scheme.repeats is Repeats.ONCE_ONLY or self.choices_left <= 0:
                continue
            before, txn.avoid = txn.avoid, worker
            other = self._choose(now, txn)
            txn.avoid = before
            if other is not None and other is not worker:
                self._step(now, index, Input.STALLED)
