"""Which worker takes the next delivery: the design's decision, as one store makes it. No I/O.

A worker's estimate is its reported figure (what the other stores last said to have in flight there) plus
own sends less own completions. The rotation and the local bound are the module's
(`sableford.policy.local_bound`); what is asked for anew are copies that break it. Departures, each with its
condition, stand in `docs/design.md`.
"""

from typing import NamedTuple

from sableford.policy.local_bound import AGE_LIMIT, IMBALANCE, UNCERTAINTY, hash32, pick_within, violations
from sableford.transport.routes import RoutingTable

CROSSING = 1.0  # jobs added to a worker in another zone: a body that crosses costs 2% of its worth
SLACK = 0.5  # jobs that a copy may be off before a worker counts as full
COLD = 0.5  # jobs added to a worker that is cold: it is slower for some seconds
TRIAL_MS = 250.0  # ms until a worker that gave no sign is tried again, doubling with each failure
TRIAL_MOST = 2000.0
FIXED_FIRST = 4.0  # deliveries at once to a service at one address, of which nothing tells its size: one
FIXED_LESS = 0.7  # more for each window of successes, so much less where one is turned away
FIXED_REST = 100.0  # ms until it is taken for less again: what was sent together is turned away together
FAULTS = 2  # breaks in a row: one lost answer says little of a worker


class WorkerEntry(NamedTuple):
    id: str
    backend: str
    host: str
    port: int
    zone: str
    capacity: int
    ready: bool
    fixed: bool = False  # a service at one address, on no list: `capacity` is the connections it takes


class Worker:
    __slots__ = (
        "asked_at",
        "cold_until",
        "cut_at",
        "doubt_until",
        "entry",
        "failures",
        "heard_at",
        "own",
        "theirs",
        "told",
        "window",
    )

    def __init__(self, entry: WorkerEntry, now: float) -> None:
        self.entry, self.own, self.theirs = entry, 0, 0
        self.told: dict[str, int] = {}  # what each other store has in flight here
        self.heard_at = now
        self.asked_at = -1e12
        self.doubt_until, self.failures = 0.0, 0
        self.cold_until = 0.0
        self.window, self.cut_at = FIXED_FIRST, -1e12

    def full(self) -> bool:
        if self.entry.fixed:  # what others have there is not of its window
            return self.own + 1 > min(self.window, self.entry.capacity) + SLACK
        return self.jobs() + 1 > self.entry.capacity + SLACK

    def jobs(self) -> int:
        return self.own + self.theirs


class Choice:
    """The workers as one store knows them."""

    def __init__(self, zone: str, seed: str) -> None:
        self.zone, self._seed, self._draws = zone, seed, 0
        self.workers: dict[str, Worker] = {}
        self._by: dict[str, list[Worker]] = {}
        self._turn = -1
        self.changed: set[str] = set()  # workers whose own count is to be told
        self.stale: set[str] = set()  # workers whose copies are to be refreshed

    def _chance(self, ends: int) -> int:
        self._draws += 1
        return hash32(f"{self._seed}:{self._draws}".encode()) * ends >> 32

    # The list

    def put(self, now: float, entry: WorkerEntry, cold_ms: float) -> None:
        known = self.workers.get(entry.id)
        if known is not None:
            known.entry = entry
        else:
            known = self.workers[entry.id] = Worker(entry, now)
            # One not yet heard of starts at the others' mean.
            peers = self._by.get(entry.backend, ())
            known.theirs = 0 if not peers else round(sum(one.theirs for one in peers) / len(peers))
            known.told["?"] = known.theirs
            self.stale.add(entry.id)  # a guess that it is full would stand as long as nobody sends there
        known.cold_until = now + cold_ms
        known.doubt_until, known.failures = 0.0, 0
        self._sort()

    def drop(self, id: str) -> None:
        if self.workers.pop(id, None) is not None:
            self._sort()

    def keep(self, ids: set[str]) -> None:
        """Of those on the list just these are left."""
        for id in [id for id, one in self.workers.items() if id not in ids and not one.entry.fixed]:
            self.drop(id)

    def fix(self, now: float, table: RoutingTable) -> None:
        """Services at one address, by the configuration; they sit on no list."""
        fixed = {f"@{one.name}": one for one in table.backends.values() if one.endpoint}
        for id, known in list(self.workers.items()):
            if known.entry.fixed and id not in fixed:
                self.drop(id)
        for id, one in fixed.items():
            host, _, port = str(one.endpoint).rpartition(":")
            entry = WorkerEntry(id, one.name, host, int(port), self.zone, one.max_connections, True, True)
            if id not in self.workers or self.workers[id].entry != entry:
                self.put(now, entry, 0.0)

    def _sort(self) -> None:
        self._by = {}
        for worker in self.workers.values():
            if worker.entry.ready:
                self._by.setdefault(worker.entry.backend, []).append(worker)

    def slots(self, backend: str) -> int:
        return sum(one.entry.capacity for one in self._by.get(backend, ()))

    # Figures

    def told(self, now: float, store: str, counts: dict[str, int]) -> None:
        """What another store has in flight now, worker by worker."""
        for id, count in counts.items():
            worker = self.workers.get(id)
            if worker is not None:
                guess = worker.told.pop("?", 0)
                worker.theirs += count - worker.told.get(store, 0) - guess
                worker.told[store] = count
                worker.heard_at = now

    def forget(self, store: str) -> None:
        """Who is gone has nothing in flight that anyone waits for."""
        for worker in self.workers.values():
            worker.theirs -= worker.told.pop(store, 0)

    def own_counts(self, ids: set[str] | None = None) -> dict[str, int]:
        return {id: worker.own for id, worker in self.workers.items() if ids is None or id in ids}

    # The decision

    def choose(self, now: float, backend: str, avoid: str = "") -> Worker | None:
        """The worker that takes the next delivery; none where all are full by the copies."""
        pool = self._by.get(backend, ())
        fit = [one for one in pool if one.doubt_until <= now and not (one.failures >= FAULTS and one.own)]
        if avoid and len(fit) > 1:
            fit = [one for one in fit if one.entry.id != avoid] or fit
        indices = []
        for one in fit:
            if one.full():
                continue
            index = float(one.own + one.theirs)
            if one.entry.zone != self.zone:
                index += CROSSING
            if one.cold_until > now:
                index += COLD
            indices.append((index, one))
        if not indices:
            return None
        if self._turn < 0:
            self._turn = self._chance(len(indices))
        self._turn += 1
        index, named = indices[self._turn % len(indices)]
        bound = IMBALANCE - UNCERTAINTY
        for below, one in violations(indices, index - bound, lambda one: now - one.heard_at > AGE_LIMIT):
            del below
            if now - one.asked_at >= AGE_LIMIT:
                one.asked_at = now
                self.stale.add(one.entry.id)
        return pick_within(indices, index, named, bound, self._chance)

    def sent(self, worker: Worker) -> None:
        worker.own += 1
        self.changed.add(worker.entry.id)

    def finished(self, now: float, worker: Worker, answered: bool, gone: bool, turned: bool = False) -> None:
        """A delivery there is over: whether the worker has answered it, whether it was not to be reached,
        and whether it was turned away."""
        worker.own = max(0, worker.own - 1)
        if worker.entry.fixed:
            if answered and not turned:
                worker.window += 1.0 / worker.window
            elif now - worker.cut_at > FIXED_REST:
                worker.window, worker.cut_at = max(1.0, FIXED_LESS * worker.window), now
        self.changed.add(worker.entry.id)
        if answered:
            worker.failures, worker.doubt_until = 0, 0.0
            return
        worker.failures += 1
        if gone or worker.failures >= FAULTS:
            worker.doubt_until = now + min(TRIAL_MOST, TRIAL_MS * 2.0 ** (worker.failures - 1))
