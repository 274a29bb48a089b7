"""Which few workers this scheduler looks at: its draw, the homes of a key, who tells whom."""

from collections.abc import Iterator
from heapq import heappop
from math import ceil

from sableford.model.effects import Tell
from sableford.model.events import Listed, Standing
from sableford.model.ring import party
from sableford.model.state import Txn, Worker
from sableford.model.tally import Tally
from sableford.policy.bound import point
from sableford.policy.cold import Cold
from sableford.policy.ledger import KEY_MEMORY, TAKERS

WATCHERS = 3.0  # schedulers to a worker: with more, others move its copies faster than answers renew them
DRAW_LEAST = 8.0  # workers: enough that a third of them full or ill leaves a choice
NEAR = 0.5  # of the draw from the own zone first, where crossing has a price; the rest evens out the zones
LISTENERS = 16.0  # schedulers told of a worker: a message costs each CPU, and with fewer draws are small
POINTS = 48  # on the ring for a worker of usual rating: with fewer, some got twice the keys of others
RATED = 4.0  # times the usual points at most, a part of them at least, whatever a list says
HOME_PART = 0.25  # of a worker: a key that brings more has one home more; the rest of it is other keys'
HOMES_LEAST = 2  # homes of a key: the bound needs two to decide between
KEY_WEIGHT = 50.0  # txns of other keys taken for granted, so that the first one seen is not the hottest
KEYS_MOST = 4096  # keys counted; then counting begins anew
TOLD_LIFE = 8.0  # mean runs: what a scheduler said longer ago is over; it may have been killed since
EXCHANGE = 4000.0  # ms between exchanges of one drawn worker; some runs, so that the copies made are used
FAULT_WEIGHT = 3.0  # finishes taken for granted, so that one error alone is not a tenth
FAULTY = 0.15  # of finishes: far over what healthy workers return, under the mildest fault worth leaving for


class Draw(Cold):
    def _strangers(self, pool: list[int]) -> Iterator[Worker]:
        """Warm workers outside the draw, from a random one on."""
        if len(self.drawn) >= len(self.open) or not pool:
            return
        start = self._chance(len(pool))
        for at in range(len(pool)):
            index = pool[(start + at) % len(pool)]
            worker, line = self.workers.get(index), self.listed[index]
            if not (worker and worker.drawn):
                yield worker or self._meet(line)

    def _meet(self, line: Listed) -> Worker:
        worker = self.workers[line.worker] = Worker(line.worker, line, self.kinds[line.kind])
        return worker

    def _warm(self, line: Listed) -> None:
        self.open.append(line.worker)
        if line.zone == self.terms.zone:
            self.near.append(line.worker)

    def _suspect(self, worker: Worker) -> bool:
        return worker.faults > FAULTY * (worker.faults + worker.sound + FAULT_WEIGHT)

    def _homes(self, now: float, txn: Txn) -> list[Worker]:
        """The first workers that may take it from the key's place on the ring on; a hot key has more."""
        self.looks -= 1
        share = self.keys[txn.taken.key].read(now) / (self.asked.read(now) + KEY_WEIGHT)
        width = max(HOMES_LEAST, ceil(share * len(self.open) / HOME_PART))
        homes: list[Worker] = []
        for index in self.ring.after(point(b"%d" % txn.taken.key)):
            worker = self.workers.get(index) or self._meet(self.listed[index])
            if self._allowed(worker, now, txn):
                homes.append(worker)
                if len(homes) == width:
                    break
        return homes

    def _place(self, line: Listed, rating: float) -> None:
        """Its points on the ring, as many as its rating says: no other worker's keys move."""
        if line.standing is Standing.GONE:
            self.ring.drop(line.worker)
        elif line.worker not in self.listed:
            rating = rating if rating > 0.0 and not self.terms.live else 1.0  # 0: nothing is said
            self.size = self.size or rating
            points = range(round(POINTS * min(RATED, max(1.0 / RATED, rating / self.size))))
            self.ring.place(line.worker, (point(b"%d:%d" % (line.mark, at)) for at in points))

    def _count_key(self, now: float, key: int) -> None:
        if key not in self.keys and len(self.keys) >= KEYS_MOST:
            self.keys = {key: Tally(KEY_MEMORY)}
        self.keys.setdefault(key, Tally(KEY_MEMORY)).add(now)
        self.asked.add(now)
        if self._speaks():
            self.turns_from = now
            self._redraw(now)

    def _tell(self, worker: Worker, now: float) -> None:
        if self.tells:
            size = TAKERS if worker.index in self.cold else self._listeners()
            peers = tuple(peer for peer in self._party(worker.mark, size) if peer != self.terms.position)
            if peers:
                self.effects.append(Tell(peers, worker.index, worker.own))

    def _party(self, mark: int, size: float) -> tuple[int, ...]:
        """The schedulers that look after a worker, by its mark: known to all alike, nobody is asked."""
        drawn = mark, int(size)
        if drawn not in self.parties:
            self.parties[drawn] = party(point(b"%d" % mark), self.terms.schedulers, int(size))
        return self.parties[drawn]

    def _listeners(self) -> float:
        return max(LISTENERS, DRAW_LEAST * self.crowd)

    def _most(self) -> float:
        return max(DRAW_LEAST, WATCHERS * len(self.open) / self.terms.schedulers)

    def _redraw(self, now: float) -> None:
        """Fill the draw up, from the own zone first."""
        if self.tells:
            return self._enlist()
        self._drop_drawn([worker for worker in self.drawn if not worker.ready or worker.index in self.cold])
        most = self._most()
        own = sum(worker.zone == self.terms.zone for worker in self.drawn)
        for pool, least in ((self.near, NEAR * most - own), (self.open, most)):
            strangers = self._strangers(pool)
            while len(self.drawn) < most and least > 0.0 and (worker := next(strangers, None)):
                worker.drawn, least = True, least - 1.0
                self.drawn.append(worker)

    def _enlist(self) -> None:
        """Where schedulers speak to each other the draw is who this one hears about."""
        self._drop_drawn(self.drawn)
        for index in [*self.open, *self.cold]:
            line = self.listed[index]
            size = TAKERS if index in self.cold else self._listeners()
            if self.terms.position in self._party(line.mark, size):
                worker = self.workers.get(index) or self._meet(line)
                worker.drawn = True
                self.drawn.append(worker)

    def _drop_drawn(self, out: list[Worker]) -> None:
        for worker in out:
            worker.drawn = False
        self.drawn = [worker for worker in self.drawn if worker.drawn]

    def _draw(self, worker: Worker) -> None:
        """One worker more, for a random other."""
        self._drop_drawn([self.drawn[self._chance(len(self.drawn))]] if self.drawn else [])
        worker.drawn = True
        self.drawn.append(worker)

    def _exchange(self, now: float) -> None:
        """A stranger for one drawn worker now and then, and at once for one that stands still or errs."""
        while self.warming and not self._is_cold(self.warming[0][0], now):
            since, index = heappop(self.warming)
            if self.cold.get(index) == since:
                del self.cold[index]
                self._warm(self.listed[index])
                if self.tells:
                    self._redraw(now)
                    continue
                # A fleet that doubled stood idle beside full draws: who is new has the same chance as all.
                if len(self.drawn) > self._chance(len(self.open)):
                    self._draw(self.workers.get(index) or self._meet(self.listed[index]))
        if self.tells:
            if now - self.outdated >= self.mean_run:
                self.outdated = now
                for worker in self.drawn:
                    worker.outdate(now, TOLD_LIFE * self.mean_run)
            return
        if len(self.drawn) < min(len(self.open), self._most()):
            self._redraw(now)
        if not 0 < len(self.drawn) < len(self.open):
            return
        ill = [worker for worker in self.drawn if worker.still or worker.doubted or self._suspect(worker)]
        if now >= self.exchange_at:
            self.exchange_at = now + EXCHANGE * (0.5 + self._chance(1000) / 1000.0)
            ill.append(self.drawn[self._chance(len(self.drawn))])
        if ill:
            self._drop_drawn(ill)
            self._redraw(now)
