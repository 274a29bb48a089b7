"""Subsetting: the few workers this scheduler considers, a key's home workers, and which peers to notify."""

from collections.abc import Iterator
from heapq import heappop
from math import ceil

from sableford.model.effects import NotifyPeers
from sableford.model.events import RosterEntry, Standing
from sableford.model.rates import DecayingSum
from sableford.model.ring import select_members
from sableford.model.state import Txn, Worker
from sableford.policy.local_bound import hash32
from sableford.policy.scheduler_state import KEY_MEMORY, SENDERS
from sableford.policy.slow_start import SlowStart

WATCHERS = 3.0  # schedulers per worker: with more, others change its load faster than answers update it
MIN_SUBSET = 8.0  # workers: enough to leave a choice if a third of them are full or unhealthy
LOCAL_PART = 0.5  # of the subset from the own zone first; the rest balances the zones
MIN_NOTIFIED = 16.0  # schedulers notified of a worker: a message costs CPU, fewer make subsets small
POINTS = 48  # ring points of a worker of usual rating: with fewer, some got twice the keys of others
MAX_SCALE = 4.0  # a listed rating changes the number of points by at most this factor, up or down
HOME_LOAD = 0.25  # of a worker: a key with more load gets another home; the rest is for other keys
MIN_HOMES = 2  # homes of a key: the bound needs two to choose between
KEY_WEIGHT = 50.0  # txns of other keys assumed at first, so that the first key seen does not look hot
MAX_KEYS = 4096  # keys counted before counting restarts
PEER_LOAD_LIFE = 8.0  # mean runs: older peer loads have ended; the peer may have been killed
ROTATE_INTERVAL = 4000.0  # ms between replacements of a worker; several runs, so that estimates get used
ERROR_WEIGHT = 3.0  # successes assumed at first, so that a single error is not a tenth
ERROR_RATE = 0.15  # of results: far above healthy workers, below the mildest fault worth avoiding


class Subset(SlowStart):
    def _outsiders(self, pool: list[int]) -> Iterator[Worker]:
        """Yields warm workers outside the subset, from a random one on."""
        if len(self.subset) >= len(self.warm) or not pool:
            return
        start = self._randint(len(pool))
        for at in range(len(pool)):
            index = pool[(start + at) % len(pool)]
            worker, entry = self.workers.get(index), self.listed[index]
            if not (worker and worker.in_subset):
                yield worker or self._add_worker(entry)

    def _add_worker(self, entry: RosterEntry) -> Worker:
        worker = self.workers[entry.worker] = Worker(entry.worker, entry, self.kinds[entry.kind])
        return worker

    def _add_warm(self, entry: RosterEntry) -> None:
        self.warm.append(entry.worker)
        if entry.zone == self.config.zone:
            self.warm_local.append(entry.worker)

    def _failing(self, worker: Worker) -> bool:
        return worker.errors > ERROR_RATE * (worker.errors + worker.successes + ERROR_WEIGHT)

    def _homes(self, now: float, txn: Txn) -> list[Worker]:
        """Returns the first permitted workers from the key's ring position on; a hot key has more."""
        self.choices_left -= 1
        share = self.key_counts[txn.spec.key].read(now) / (self.keyed.read(now) + KEY_WEIGHT)
        count = max(MIN_HOMES, ceil(share * len(self.warm) / HOME_LOAD))
        homes: list[Worker] = []
        for index in self.ring.after(hash32(b"%d" % txn.spec.key)):
            worker = self.workers.get(index) or self._add_worker(self.listed[index])
            if self._permitted(worker, now, txn):
                homes.append(worker)
                if len(homes) == count:
                    break
        return homes

    def _place_on_ring(self, entry: RosterEntry, rating: float) -> None:
        """Places a worker on the ring with points by its rating; no other worker's keys move."""
        if entry.standing is Standing.GONE:
            self.ring.drop(entry.worker)
        elif entry.worker not in self.listed:
            rating = rating if rating > 0.0 and not self.config.live_ratings else 1.0  # 0: not given
            self.base_rating = self.base_rating or rating
            points = range(round(POINTS * min(MAX_SCALE, max(1.0 / MAX_SCALE, rating / self.base_rating))))
            self.ring.place(entry.worker, (hash32(b"%d:%d" % (entry.id_hash, at)) for at in points))

    def _count_key(self, now: float, key: int) -> None:
        if key not in self.key_counts and len(self.key_counts) >= MAX_KEYS:
            self.key_counts = {key: DecayingSum(KEY_MEMORY)}
        self.key_counts.setdefault(key, DecayingSum(KEY_MEMORY)).add(now)
        self.keyed.add(now)
        if self._update_peer_mode():
            self.turns_from = now
            self._fill_subset(now)

    def _notify(self, worker: Worker, now: float) -> None:
        if self.notifies:
            size = SENDERS if worker.index in self.cold else self._notified()
            peers = tuple(peer for peer in self._watchers(worker.hash, size) if peer != self.config.position)
            if peers:
                self.effects.append(NotifyPeers(peers, worker.index, worker.own))

    def _watchers(self, id_hash: int, size: float) -> tuple[int, ...]:
        """Returns the schedulers that watch a worker, by its hash: all compute the same, without messages."""
        key = id_hash, int(size)
        if key not in self.watchers:
            self.watchers[key] = select_members(hash32(b"%d" % id_hash), self.config.schedulers, int(size))
        return self.watchers[key]

    def _notified(self) -> float:
        return max(MIN_NOTIFIED, MIN_SUBSET * self.crowding)

    def _subset_size(self) -> float:
        return max(MIN_SUBSET, WATCHERS * len(self.warm) / self.config.schedulers)

    def _fill_subset(self, now: float) -> None:
        """Fills the subset up, from the own zone first."""
        if self.notifies:
            return self._use_notified()
        self._remove([worker for worker in self.subset if not worker.ready or worker.index in self.cold])
        target = self._subset_size()
        own = sum(worker.zone == self.config.zone for worker in self.subset)
        for pool, least in ((self.warm_local, LOCAL_PART * target - own), (self.warm, target)):
            outsiders = self._outsiders(pool)
            while len(self.subset) < target and least > 0.0 and (worker := next(outsiders, None)):
                worker.in_subset, least = True, least - 1.0
                self.subset.append(worker)

    def _use_notified(self) -> None:
        """Where schedulers notify each other, the subset is the workers that this one is notified of."""
        self._remove(self.subset)
        for index in [*self.warm, *self.cold]:
            entry = self.listed[index]
            size = SENDERS if index in self.cold else self._notified()
            if self.config.position in self._watchers(entry.id_hash, size):
                worker = self.workers.get(index) or self._add_worker(entry)
                worker.in_subset = True
                self.subset.append(worker)

    def _remove(self, removed: list[Worker]) -> None:
        for worker in removed:
            worker.in_subset = False
        self.subset = [worker for worker in self.subset if worker.in_subset]

    def _swap_in(self, worker: Worker) -> None:
        """Adds a worker in place of a random other."""
        self._remove([self.subset[self._randint(len(self.subset))]] if self.subset else [])
        worker.in_subset = True
        self.subset.append(worker)

    def _rotate(self, now: float) -> None:
        """Replaces a worker of the subset now and then, and an unhealthy one at once."""
        while self.warming and not self._is_cold(self.warming[0][0], now):
            since, index = heappop(self.warming)
            if self.cold.get(index) == since:
                del self.cold[index]
                self._add_warm(self.listed[index])
                if self.notifies:
                    self._fill_subset(now)
                    continue
                # New workers get the same chance as all; when a fleet doubled, the new half stood idle.
                if len(self.subset) > self._randint(len(self.warm)):
                    self._swap_in(self.workers.get(index) or self._add_worker(self.listed[index]))
        if self.notifies:
            if now - self.expired_at >= self.mean_run:
                self.expired_at = now
                for worker in self.subset:
                    worker.expire_peer_loads(now, PEER_LOAD_LIFE * self.mean_run)
            return
        if len(self.subset) < min(len(self.warm), self._subset_size()):
            self._fill_subset(now)
        if not 0 < len(self.subset) < len(self.warm):
            return
        bad = [worker for worker in self.subset if worker.stalled or worker.suspect or self._failing(worker)]
        if now >= self.rotate_at:
            self.rotate_at = now + ROTATE_INTERVAL * (0.5 + self._randint(1000) / 1000.0)
            bad.append(self.subset[self._randint(len(self.subset))])
        if bad:
            self._remove(bad)
            self._fill_subset(now)
