"""Txns coming in and going out, and looking after what is out."""

from sableford.model import Repeats, events
from sableford.model.effects import Follow, Post, Probe
from sableford.model.events import Taken
from sableford.model.state import Input, Lane, Posting, Rank, State, Txn, Worker
from sableford.policy.bound import AGE_LIMIT
from sableford.policy.choice import Choice
from sableford.policy.ledger import ADMITTED, LAST_CALL

TRIAL = 500.0  # ms between two txns at a worker that gave no sign, where it can't be probed
EXCESS = 1.0  # jobs more than its copy says, for each posting that met a line there
MOVE_WEIGHT = 6.0  # moves taken for landed, so that one in vain is not yet a finding
LANDING = 0.55  # of the moves must begin at once: with fewer all lines are full
HUNG = 3.0  # mean runs without a start, where lines are known before a txn goes into one: its worker hangs
STILL = 1.5  # progress gaps without news before a running posting counts as standing still
STILL_SLACK = 300.0  # ms on top, for pauses and the way
TYPICAL = 0.5  # of the mean run: the median of the heavy-tailed runs seen
HOPE = 1.0  # mean runs: not begun by the SLA time of such a run, a txn is called off; most are late then


class Postings(Choice):
    def _taken(self, now: float, event: Taken) -> None:
        scheme = self.terms.schemes[event.scheme]
        typical = event.work or TYPICAL * self.runs[event.scheme].mean()
        patience = scheme.sla + max(0.0, scheme.stretch - 1.0) * typical
        limit = min(now + patience, event.expiry - LAST_CALL)
        rank = Rank.BEYOND if self._beyond_share(now, event.account) else Rank.SHARE
        txn = self.txns[event.txn] = Txn(event, self.terms, limit, rank)
        # Of others the clients come back at once, and where a call-off drops nothing each ran several times.
        if self.terms.tells_start and scheme.repeats is Repeats.ONCE_ONLY:
            txn.hopeless = now + scheme.sla + max(0.0, scheme.stretch - 1.0) * HOPE * typical / TYPICAL
        # Declined inside its SLA time it is no miss where misses are counted; begun later it is one.
        elif self.terms.punctual and scheme.repeats is Repeats.REPEATABLE:
            txn.hopeless = limit
        if event.key:
            self._count_key(now, event.key)
        ahead = self._lane(txn).wait(now)
        if ahead > ADMITTED * patience and not self._tardy(now, txn):
            self._step(now, event.txn, Input.LATE)
        else:
            self._hold(event.txn, txn)
            self._pump(now)

    def _pump(self, now: float) -> None:
        """Post what is held while workers have room: first what earns most for the time it takes."""
        self._expire(now)
        if not self.held:
            return
        full: set[tuple[Repeats, int, float, int]] = set()
        for lane in sorted((lane for both in self.lanes for lane in both), key=self._earns, reverse=True):
            at = 0
            while at < len(lane.queue) and self.looks > 0:
                _, index = lane.queue[at]
                txn = self.txns[index]
                # Asked for each lane anew, full workers cost nine looks at the draw for each finish told.
                like = (txn.scheme.repeats, txn.scheme.kind, self._need(txn), txn.taken.key)
                worker = self._choose(now, txn) if like not in full else None
                if worker is None:
                    if not txn.posted:
                        full.add(like)
                    at = at + 1 if txn.taken.key else len(lane.queue)
                    continue
                lane.queue.pop(at)
                self.held -= 1
                self.chosen = worker
                self._step(now, index, Input.ROOM)

    def _earns(self, lane: Lane) -> float:
        """Earnings for each running millisecond; less beyond a tenant's share and past the SLA time."""
        scheme = self.terms.schemes[lane.scheme]
        part = (1.0, self.terms.tariff.overage, scheme.tardy)[lane.rank]
        return scheme.earnings * part / (1.0 if self.terms.by_work else lane.run.mean())

    def _post(self, now: float, index: int, txn: Txn) -> None:
        worker, need = self.chosen, self._need(txn)
        posting = Posting(worker, txn.taken.scheme, need, now)
        worker.postings[index, txn.posted] = txn.out[txn.posted] = posting
        self.active[worker.index], worker.sent_at, worker.vouched = worker, now, False
        self.unstarted, self.out = self.unstarted + 1, self.out + need
        if txn.moved:
            self.moves.add(now)
        txn.posted += 1
        txn.origin = txn.origin or posting
        worker.own += need
        self._tell(worker, now)
        if self.line_shown:
            worker.show(need, now)
        if self._is_cold(worker.since, now):
            worker.sends.append((now, self._cost(txn)))
            turn = max(worker.turn, self._turn(worker.index, worker.kind, worker.since, now, worker.turn))
            # One that costs more than a mean txn pays with the own turns that come next.
            worker.debt = max(0.0, worker.debt + self._cost(txn) - 1.0)
            worker.turn = turn + int(worker.debt) * self.takers
            worker.debt %= 1.0
        self._lane(txn).flow.add(now)
        self.effects.append(Post(index, worker.index, txn.taken.expiry))

    def _lapsed(self, now: float, event: events.Lapsed) -> None:
        txn = self.txns.get(event.txn)
        if txn is not None:
            if txn.state is State.HELD:
                self._let_go(event.txn, txn)
            self._step(now, event.txn, Input.LAPSED)

    def _look(self, worker: Worker, now: float) -> None:
        """An own posting that has not begun within a round trip waits in line: that worker has no room."""
        worker.waits = False
        for posting in worker.postings.values() if self.terms.tells_start else ():
            if posting.waited(now):
                worker.waits = True
                if not (posting.lined or self.tells or worker.index in self.cold):
                    posting.lined = True
                    worker.excess.add(now, EXCESS)

    def _ask_doubted(self, now: float) -> None:
        """A doubted worker's return is found by asking: by a probe, or where none is allowed by one txn."""
        probes = self.terms.tariff.probes
        for index, worker in list(self.doubted.items()):
            if not worker.doubted or index not in self.listed:
                worker.doubted = False
                del self.doubted[index]
            elif worker.ready and now - worker.probed >= (AGE_LIMIT if probes else TRIAL):
                worker.probed, worker.vouched = now, worker.vouched or not probes
                if probes:
                    self.effects.append(Probe(index))

    def _woken(self, now: float, event: events.Woken) -> None:
        if self.follow_at and now >= self.follow_at:
            self.follow_at = 0.0
            self.effects.append(Follow(once=self.terms.ask_within > 0.0))
        silence = self.terms.progress and self.terms.progress * STILL + STILL_SLACK
        late: list[int] = []
        for worker in self.active.values():  # measured all, the draw took two fifths of the CPU
            worker.measure(now)
            self._look(worker, now)
            for (index, _), posting in worker.postings.items():
                if posting.started and 0.0 < silence < now - posting.news and not posting.mute:
                    # Counted on, what hangs made its worker, its kind and all runs look slow.
                    posting.mute = True
                    worker.running[posting.scheme] -= 1
                # Lines of txns too late to earn anything grew until nothing in them was in time.
                elif not posting.started and now > self.txns[index].hopeless and not posting.called_off:
                    late.append(index)
            # One answer lost on the way took its worker out until the expiry: news of others there clears it.
            mute = any(posting.mute for posting in worker.postings.values())
            worker.still = mute and now - worker.heard > silence
        self._exchange(now)
        self._ask_doubted(now)
        if self.terms.tariff.call_off:
            for index in late:
                self._step(now, index, Input.LATE)
            for worker in list(self.active.values()):
                self._move(worker, now)
        self._pump(now)

    def _move(self, worker: Worker, now: float) -> None:
        """Call off what stands in line or still there, where it may go again and another has room now."""
        # Where a call-off drops nothing, moves from line to line made each txn run several times.
        vain = self.landed.read(now) + MOVE_WEIGHT < LANDING * (self.moves.read(now) + MOVE_WEIGHT)
        for (index, _), posting in list(worker.postings.items()):
            txn = self.txns[index]
            scheme = txn.scheme
            # What stands in the line of one taken out by hand is lost at its restart, moves in vain or not.
            stuck = worker.index in self.bans and self.bans[worker.index].out
            idle = posting.mute if posting.started else stuck or (not vain and posting.waited(now))
            # Where a call-off drops nothing, each txn moved out of a line ran twice, and lines grew by it.
            idle = idle and (not self.tells or stuck or now - posting.news > HUNG * self.mean_run)
            left = txn.postings - (not posting.started) - txn.posted
            free = txn.state is State.OUT and not posting.called_off and left > 0 and now < txn.limit
            if not (idle and free) or scheme.repeats is Repeats.ONCE_ONLY or self.looks <= 0:
                continue
            before, txn.avoid = txn.avoid, worker
            other = self._choose(now, txn)
            txn.avoid = before
            if other is not None and other is not worker:
                self._step(now, index, Input.STALLED)
