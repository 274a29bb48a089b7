"""Selects the worker for the next delivery, from one store's view of the load. No I/O.

A worker's estimated load is the number of deliveries that the other stores last reported in flight there,
plus this store's own deliveries in flight. A rotation names a candidate, which is taken if its load is within
a local bound of the lowest (`sableford.policy.local_bound`). Counts that violate it are requested again.
`docs/design.md` lists where this departs from the published algorithm, and under which conditions.
"""

from collections.abc import Sequence
from typing import NamedTuple

from sableford.control.view import View
from sableford.policy.local_bound import AGE_LIMIT, IMBALANCE, UNCERTAINTY, hash32, pick_within, violations
from sableford.store.in_flight_reports import ReportedCounts, Reporters, StoreIncarnation
from sableford.transport.routes import RoutingTable

# Jobs added for a worker in another zone: a body that crosses zones costs 2% of its worth.
CROSS_ZONE_PENALTY = 1.0
CAPACITY_SLACK = 0.5  # jobs by which a reported count may be off before a worker counts as full
WARM_UP_PENALTY = 0.5  # jobs added for a worker that is warming up: it is slower for some seconds
EJECTION_MS = 250.0  # ms until an unresponsive worker is tried again; doubles with each failure
MAX_EJECTION_MS = 2000.0
# A fixed endpoint does not report its capacity, so the number of deliveries in flight there is limited by a
# window with additive increase and multiplicative decrease: one more for each window of successes, times
# WINDOW_DECREASE for a rejection.
INITIAL_WINDOW = 4.0
WINDOW_DECREASE = 0.7
# At most one decrease in this time: requests that were sent together are rejected together.
WINDOW_DECREASE_INTERVAL_MS = 100.0
EJECTION_FAILURES = 2  # consecutive failures before ejection: one lost response says little about a worker


class WorkerEntry(NamedTuple):
    """A worker's registration: its address, zone and capacity."""

    id: str
    backend: str
    host: str
    port: int
    zone: str
    capacity: int
    ready: bool
    fixed: bool = False  # a configured endpoint that does not register; `capacity` is its connection limit


class Worker:
    """The load and health of one worker, as seen by this store."""

    __slots__ = (
        "consecutive_failures",
        "ejected_until",
        "entry",
        "own_in_flight",
        "refresh_requested_at",
        "reported",
        "reported_at",
        "warming_up_until",
        "window",
        "window_reduced_at",
    )

    def __init__(self, entry: WorkerEntry, now: float, assumed_in_flight: int = 0) -> None:
        """`assumed_in_flight`: deliveries of other stores, until these report."""
        self.entry, self.own_in_flight = entry, 0
        self.reported, self.reported_at = ReportedCounts(assumed_in_flight), now
        self.refresh_requested_at = -1e12
        self.ejected_until, self.consecutive_failures = 0.0, 0
        self.warming_up_until = 0.0
        self.window, self.window_reduced_at = INITIAL_WINDOW, -1e12

    def is_full(self) -> bool:
        if self.entry.fixed:  # the window limits only the deliveries of this store
            return self.own_in_flight + 1 > min(self.window, self.entry.capacity) + CAPACITY_SLACK
        return self.in_flight() + 1 > self.entry.capacity + CAPACITY_SLACK

    @property
    def others_in_flight(self) -> int:
        """Deliveries that other live stores have in flight here, as far as they have reported."""
        return self.reported.total

    def in_flight(self) -> int:
        return self.own_in_flight + self.others_in_flight


class WorkerSelector:
    """The workers as seen by one store. `seed` makes the random choices reproducible."""

    def __init__(self, zone: str, seed: str) -> None:
        self.zone, self._seed, self._random_draws = zone, seed, 0
        self.workers: dict[str, Worker] = {}
        self._ready_by_backend: dict[str, list[Worker]] = {}
        self._rotation = -1
        self._reporters = Reporters()
        self.changed: set[str] = set()  # workers whose in-flight count is to be reported
        self.stale: set[str] = set()  # workers whose counts are to be requested from the other stores

    def _random_below(self, bound: int) -> int:
        self._random_draws += 1
        return hash32(f"{self._seed}:{self._random_draws}".encode()) * bound >> 32

    # Registration

    def put(self, now: float, entry: WorkerEntry, warm_up_ms: float) -> None:
        """Adds a worker or updates its registration; it is warming up for `warm_up_ms`."""
        known = self.workers.get(entry.id)
        if known is not None:
            known.entry = entry
        else:
            known = self.workers[entry.id] = Worker(entry, now, self._mean_of_others(entry.backend))
            self.stale.add(entry.id)  # a wrong guess of full would persist while no store sends there
        known.warming_up_until = now + warm_up_ms
        known.ejected_until, known.consecutive_failures = 0.0, 0
        self._rebuild_index()

    def _mean_of_others(self, backend: str) -> int:
        """Returns how many deliveries of other stores the workers of a backend have on average."""
        workers = self.ready_workers(backend)
        return round(sum(one.others_in_flight for one in workers) / len(workers)) if workers else 0

    def remove(self, id: str) -> None:
        """Removes a worker, if it is known."""
        if self.workers.pop(id, None) is not None:
            self._rebuild_index()

    def retain(self, ids: set[str]) -> None:
        """Removes all registered workers but these. Fixed endpoints stay."""
        for id in [id for id, one in self.workers.items() if id not in ids and not one.entry.fixed]:
            self.remove(id)

    def set_fixed_endpoints(self, now: float, table: RoutingTable) -> None:
        """Applies the fixed endpoints of the configuration, which do not register as workers."""
        fixed = {f"@{one.name}": one for one in table.backends.values() if one.endpoint}
        for id, known in list(self.workers.items()):
            if known.entry.fixed and id not in fixed:
                self.remove(id)
        for id, one in fixed.items():
            host, _, port = str(one.endpoint).rpartition(":")
            entry = WorkerEntry(id, one.name, host, int(port), self.zone, one.max_connections, True, True)
            if id not in self.workers or self.workers[id].entry != entry:
                self.put(now, entry, 0.0)

    def _rebuild_index(self) -> None:
        self._ready_by_backend = {}
        for worker in self.workers.values():
            if worker.entry.ready:
                self._ready_by_backend.setdefault(worker.entry.backend, []).append(worker)

    def slots(self, backend: str) -> int:
        return sum(one.entry.capacity for one in self._ready_by_backend.get(backend, ()))

    def ready_workers(self, backend: str) -> Sequence[Worker]:
        """Returns the workers of a backend that take deliveries."""
        return self._ready_by_backend.get(backend, ())

    # Counts

    def own_in_flight(self, backend: str) -> int:
        """Returns how many deliveries of this store are in flight at the workers of a backend."""
        return sum(one.own_in_flight for one in self.ready_workers(backend))

    def update_reported_counts(self, now: float, reporter: StoreIncarnation, counts: dict[str, int]) -> None:
        """Records how many deliveries another store has in flight, by worker.

        They count while the view shows that incarnation of the store.
        """
        is_live = reporter in self._reporters.live
        for id, count in counts.items():
            worker = self.workers.get(id)
            if worker is None:
                continue
            worker.reported.record(reporter, count, is_live)
            if is_live:
                worker.reported_at = now

    def apply_view(self, view: View) -> None:
        """Counts the deliveries of the stores in a view. Nobody waits for those of stores that are gone."""
        before, self._reporters = self._reporters, Reporters.of_view(view)
        any_left = not before.live <= self._reporters.live
        for worker in self.workers.values():
            worker.reported.apply(self._reporters, any_left)

    def reported_counts(self, worker: Worker) -> dict[str, int]:
        """Returns how many deliveries each other store is counted with at a worker."""
        return worker.reported.counted(self._reporters)

    def own_counts(self, ids: set[str] | None = None) -> dict[str, int]:
        return {id: worker.own_in_flight for id, worker in self.workers.items() if ids is None or id in ids}

    # Selection

    def choose(self, now: float, backend: str, avoid: str = "") -> Worker | None:
        """Returns the worker for the next delivery, or None if all count as full."""
        ready = self._ready_by_backend.get(backend, ())
        eligible = [
            one
            for one in ready
            if one.ejected_until <= now
            and not (one.consecutive_failures >= EJECTION_FAILURES and one.own_in_flight)
        ]
        if avoid and len(eligible) > 1:
            eligible = [one for one in eligible if one.entry.id != avoid] or eligible
        loads = []
        for one in eligible:
            if one.is_full():
                continue
            load = float(one.own_in_flight + one.others_in_flight)
            if one.entry.zone != self.zone:
                load += CROSS_ZONE_PENALTY
            if one.warming_up_until > now:
                load += WARM_UP_PENALTY
            loads.append((load, one))
        if not loads:
            return None
        if self._rotation < 0:
            self._rotation = self._random_below(len(loads))
        self._rotation += 1
        load, candidate = loads[self._rotation % len(loads)]
        bound = IMBALANCE - UNCERTAINTY
        for lower_load, one in violations(loads, load - bound, lambda one: now - one.reported_at > AGE_LIMIT):
            del lower_load
            if now - one.refresh_requested_at >= AGE_LIMIT:
                one.refresh_requested_at = now
                self.stale.add(one.entry.id)
        return pick_within(loads, load, candidate, bound, self._random_below)

    def delivery_started(self, worker: Worker) -> None:
        """Records the start of a delivery."""
        worker.own_in_flight += 1
        self.changed.add(worker.entry.id)

    def delivery_finished(
        self, now: float, worker: Worker, responded: bool, unreachable: bool, rejected: bool = False
    ) -> None:
        """Records the end of a delivery.

        `responded`: the worker sent a response; `unreachable`: there was no connection to it; `rejected`: the
        message was not run.
        """
        worker.own_in_flight = max(0, worker.own_in_flight - 1)
        if worker.entry.fixed:
            if responded and not rejected:
                worker.window += 1.0 / worker.window
            elif now - worker.window_reduced_at > WINDOW_DECREASE_INTERVAL_MS:
                worker.window, worker.window_reduced_at = max(1.0, WINDOW_DECREASE * worker.window), now
        self.changed.add(worker.entry.id)
        if responded:
            worker.consecutive_failures, worker.ejected_until = 0, 0.0
            return
        worker.consecutive_failures += 1
        if unreachable or worker.consecutive_failures >= EJECTION_FAILURES:
            worker.ejected_until = now + min(
                MAX_EJECTION_MS, EJECTION_MS * 2.0 ** (worker.consecutive_failures - 1)
            )
