"""Generates a scenario from its seed alone."""

from dataclasses import dataclass
from random import Random

PLANNED = ("roll edges", "roll stores", "settings", "release", "repeated signals")
UNPLANNED = ("kill edges", "kill stores", "freeze", "kill all stores", "crash workers", "mixed signals")
DEFAULT_SECONDS = 12.0
SERVICES = ("alpha", "beta")
TENANTS = 4
ROUTES = 6


@dataclass(frozen=True)
class Series:
    """Actions of one kind, run one after another and concurrently with other series."""

    kind: str
    starts_after_s: float
    overlaps: bool  # an action does not wait until the previous one is complete
    seed: str

    def random(self) -> Random:
        return Random(self.seed)


@dataclass(frozen=True)
class Plan:
    seed: int
    seconds: float
    stores: int
    edges: int
    workers: int  # per service
    clients: int
    is_planned_only: bool
    has_faulty_workers: bool  # workers also drop connections, truncate responses or never respond
    series: tuple[Series, ...]
    operator_pause_s: float

    def summary(self) -> str:
        """A short description, on one line."""
        kinds = ", ".join(sorted(entry.kind + ("*" if entry.overlaps else "") for entry in self.series))
        workers = "faulty workers" if self.has_faulty_workers else "reliable workers"
        return f"{self.stores} stores, {self.edges} edges, {workers}; {kinds}"


def make_plan(seed: int, seconds: float = DEFAULT_SECONDS, processes: int = 0) -> Plan:
    """Generates the plan of a seed. `processes`: the number of stores and edges together; 0: a few.

    >>> make_plan(7) == make_plan(7), make_plan(7) == make_plan(8)
    (True, False)
    >>> plan = make_plan(1, processes=40)
    >>> plan.stores + plan.edges
    40
    """
    random = Random(f"soak {seed}")
    stores = random.choice((3, 3, 3, 5))
    edges = random.randint(1, 4)
    is_planned_only = random.random() < 0.5
    kinds = list(PLANNED if is_planned_only else PLANNED + UNPLANNED)
    chosen = random.sample(kinds, random.randint(2, 4))
    series = tuple(
        Series(kind, random.uniform(0.5, seconds * 0.5), random.random() < 0.5, f"{seed} {number} {kind}")
        for number, kind in enumerate(chosen)
    )
    if processes:
        stores = max(3, min(9, processes // 10) | 1)
        edges = processes - stores
    return Plan(
        seed=seed,
        seconds=seconds,
        stores=stores,
        edges=edges,
        workers=random.randint(2, 3) if not processes else 10,
        clients=6 if not processes else min(40, max(6, edges // 2)),
        is_planned_only=is_planned_only,
        has_faulty_workers=random.random() < 0.6,
        series=series,
        operator_pause_s=random.choice((0.1, 0.5, 2.0, 4.0)),
    )
