"""Deterministic simulation of the message queue and the coordinator in virtual time: stores, a leader, an
edge, clients and workers, with faults drawn from a seed. It is checked by what clients and workers observe.

`Simulation(seed).play()` raises RuleViolation with the history of the message concerned. It uses no sockets,
files or real time.
"""

import itertools
from collections.abc import Callable
from heapq import heappop
from random import Random

from sableford.control.coordinator import Coordinator
from sableford.control.protocol import ConfigurationVersion
from sableford.control.view import View
from sableford.control.workers import Worker
from sableford.simulation.stores.effects import Effects
from sableford.simulation.stores.faults import Faults
from sableford.simulation.stores.in_flight_exchange import InFlightExchange
from sableford.simulation.stores.leader import SimulatedLeader
from sableford.simulation.stores.model import (
    DOC,
    FAULTS,
    REPORTS_ARRIVE_MS,
    RESTART_MS,
    ROSTER_CHANGE_MS,
    RUN_MS,
    HistoryEvent,
    RuleViolation,
    SimulatedStore,
)
from sableford.simulation.stores.store_lifecycle import StoreLifecycle
from sableford.simulation.stores.traffic import Traffic
from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerSelector

__all__ = ["DOC", "FAULTS", "RuleViolation", "Simulation"]


class Simulation(SimulatedLeader, StoreLifecycle, Effects, InFlightExchange, Traffic, Faults):
    """One run: `faults` faults during `seconds`, then a period without, after which all messages must have
    ended.

    `zone_letters` has one letter per store, which names its zone. `zones` is how many whole zones may be lost
    at once. `run_ms`, `restart_ms`, `removal_ms`: the least and most that a worker takes for a message, a
    machine until its next process starts, and the record until a store is removed from the roster.
    """

    def __init__(
        self,
        seed: int,
        faults: int = 4,
        kinds: tuple[str, ...] = FAULTS,
        stores: int = 4,
        seconds: float = 14.0,
        queue_factory: Callable[..., Queue] = Queue,
        coordinator_factory: Callable[..., Coordinator] = Coordinator,
        selector_factory: Callable[[str, str], WorkerSelector] = WorkerSelector,
        messages_per_s: float = 30.0,
        delay_ms: float = 1500.0,
        zone_letters: str = "",
        zones: int = 0,
        run_ms: tuple[float, float] = RUN_MS,
        restart_ms: tuple[float, float] = RESTART_MS,
        removal_ms: tuple[float, float] = ROSTER_CHANGE_MS,
        doc: dict | None = None,
    ) -> None:
        super().__init__()
        self.rng, self.seed, self._queue_factory = Random(f"queue {seed}"), seed, queue_factory
        self._selector_factory = selector_factory
        self.now, self._events, self._sequence = 0.0, [], itertools.count()
        self.zones, self.run_ms = zones, run_ms
        self.restart_ms, self.removal_ms = restart_ms, removal_ms
        names = [f"s{at}" for at in range(len(zone_letters) or stores)]
        self.stores = {
            name: SimulatedStore(name, f"z{zone_letters[at] if zone_letters else at}")
            for at, name in enumerate(names)
        }
        self.coordinator = coordinator_factory(1200.0)
        self.doc = doc or DOC
        self.coordinator.config = ConfigurationVersion(1, self.doc)
        self.roster: list[str] = []
        self.term, self.leader_up = 0, False
        self.cut: set[frozenset[str]] = set()
        self.edge_view = View()
        self.workers = {
            f"w{at}": Worker(f"w{at}", "a", f"10.9.0.{at}:80", "z0", 2, "ready", 0.0) for at in range(4)
        }
        self.busy = dict.fromkeys(self.workers, 0)
        self.history: dict[str, list[HistoryEvent]] = {}
        self.accepted: dict[str, float] = {}
        self.sent: dict[str, float] = {}
        self.keys: dict[str, str] = {}
        # A separate generator, so that status polls do not change which faults are drawn.
        self.status_rng = Random(f"questions {seed}")
        # Separate ones, too: how long machines take to restart, and removals from the roster to be agreed on.
        self.restart_rng, self.removal_rng = Random(f"restarts {seed}"), Random(f"removals {seed}")
        self.reported_final: set[str] = set()  # messages that a client was told have ended
        self.due_at: dict[str, float] = {}  # by the original reference: when its delay ends
        self.ended: dict[str, float] = {}
        self.succeeded_at: dict[str, float] = {}  # successes whose response reached the store
        self.original_refs: dict[str, str] = {}  # by reference: the one under which it was put first
        self.rejected: set[str] = set()  # clients were told that these never run
        self.started: set[str] = set()
        self.failures: dict[str, int] = {}
        self.seals: dict[str, set[str]] = {}
        self.disruptions: list[tuple[float, float]] = []
        self.lost_until = 0.0  # until then a machine counts as lost
        self.unpowered: set[str] = set()  # stores without power
        self.to_restart: list[str] = []  # stores that a rolling restart has not reached yet
        self.view_changes = self.disk_losses = 0
        self.seconds, self.fault_plan = seconds * 1000.0, (faults, kinds)
        # The delay is a maximum, for a fifth of the messages without a key.
        self._messages_per_s, self._delay_ms = messages_per_s, delay_ms

    def play(self) -> "Simulation":
        """Runs the simulation. Raises RuleViolation."""
        for name in self.stores:
            self.start(name, True)
        self.set_leader_up(True)
        self._leader_tick()
        self._report_in_flight()
        self.later(600.0, self._client, 0)
        count, kinds = self.fault_plan
        for _ in range(count):
            self.later(self.rng.uniform(1500.0, self.seconds), self._inject_fault, self.rng.choice(kinds))
        end = self.seconds + 12_000.0
        self._run_until(end)
        self.check_final_state()
        self._run_until(end + REPORTS_ARRIVE_MS)
        self.check_in_flight_counts()
        return self

    def _run_until(self, end: float) -> None:
        while self._events and self.now < end:
            self.now, _, callback, args = heappop(self._events)
            callback(*args)
