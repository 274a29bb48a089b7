"""The queue and the coordinator in simulated time: stores, a leader, an edge, clients and workers, with
faults drawn from a seed. What clients and workers saw is the judge.

`Simulation(seed).play()` raises Wrong with the story of the message. No sockets, no files, no sleeping.
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
from sableford.simulation.stores.leader import LeaderSide
from sableford.simulation.stores.model import DOC, FAULTS, Seen, SimulatedStore, Wrong
from sableford.simulation.stores.store_lives import StoreLives
from sableford.simulation.stores.traffic import Traffic
from sableford.store.queue import Queue

__all__ = ["DOC", "FAULTS", "Simulation", "Wrong"]


class Simulation(LeaderSide, StoreLives, Effects, Traffic, Faults):
    """One walk of `seconds` with `faults` drawn in its middle; then quiet, so that all must have ended."""

    def __init__(
        self,
        seed: int,
        faults: int = 4,
        kinds: tuple[str, ...] = FAULTS,
        stores: int = 4,
        seconds: float = 14.0,
        make: Callable[..., Queue] = Queue,
        per_s: float = 30.0,
        delay_ms: float = 1500.0,
        places: str = "",
        zones: int = 0,
        doc: dict | None = None,
    ) -> None:
        self.draw, self.seed, self._make = Random(f"queue {seed}"), seed, make
        self.now, self._events, self._count = 0.0, [], itertools.count()
        self.zones = zones  # whole zones that may be lost at once; `places` has a letter for each store's
        names = [f"s{at}" for at in range(len(places) or stores)]
        self.stores = {
            name: SimulatedStore(name, f"z{places[at] if places else at}") for at, name in enumerate(names)
        }
        self.coordinator = Coordinator(1200.0)
        self.doc = doc or DOC
        self.coordinator.config = ConfigurationVersion(1, self.doc)
        self.roster: list[str] = []
        self.term, self.core_up = 0, False
        self.cut: set[frozenset[str]] = set()
        self.edge_view = View()
        self.workers = {
            f"w{at}": Worker(f"w{at}", "a", f"10.9.0.{at}:80", "z0", 2, "ready", 0.0) for at in range(4)
        }
        self.busy = dict.fromkeys(self.workers, 0)
        self.seen: dict[str, list[Seen]] = {}
        self.accepted: dict[str, float] = {}
        self.sent: dict[str, float] = {}
        self.keys: dict[str, str] = {}
        self.questions = Random(f"questions {seed}")  # chance of its own: faults are drawn as without it
        self.told_ended: set[str] = set()  # by an answer to a client
        self.due: dict[str, float] = {}  # by the first name: when its delay is over
        self.ended: dict[str, float] = {}
        self.done_at: dict[str, float] = {}  # a success whose answer was read
        self.first: dict[str, str] = {}  # under another name: the name that it was put under first
        self.refused: set[str] = set()  # answered that it never runs
        self.started: set[str] = set()
        self.fails: dict[str, int] = {}
        self.seals: dict[str, set[str]] = {}
        self.trouble: list[tuple[float, float]] = []
        self.lost_until = 0.0  # until then a machine counts as lost
        self.dark: set[str] = set()  # without power
        self.moves = self.destroyed = 0
        self.seconds, self.plan = seconds * 1000.0, (faults, kinds)
        self._per_s, self._delay_ms = per_s, delay_ms  # of a fifth of those without a key, at most

    def play(self) -> "Simulation":
        """The whole walk. Raises Wrong."""
        for name in self.stores:
            self.start(name, True)
        self.core(True)
        self._core_tick()
        self._tell_figures()
        self.later(600.0, self._client, 0)
        many, kinds = self.plan
        for _ in range(many):
            self.later(self.draw.uniform(1500.0, self.seconds), self._fault, self.draw.choice(kinds))
        until = self.seconds + 12_000.0
        while self._events and self.now < until:
            self.now, _, do, given = heappop(self._events)
            do(*given)
        self.judge()
        return self
