"""What one scene is made of, drawn from its seed alone."""

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
    """Deeds of one kind, one after the other, beside other series."""

    kind: str
    begins_s: float
    overlaps: bool  # the next deed does not wait for the end of the one before
    seed: str

    def random(self) -> Random:
        return Random(self.seed)


@dataclass(frozen=True)
class Plan:
    seed: int
    seconds: float
    stores: int
    edges: int
    workers: int  # of each service
    clients: int
    is_planned_only: bool
    is_rough: bool  # workers fail, break off and fall silent
    series: tuple[Series, ...]
    operator_pause_s: float

    def told(self) -> str:
        """In short, for one line."""
        kinds = ", ".join(sorted(one.kind + ("*" if one.overlaps else "") for one in self.series))
        workers = "rough workers" if self.is_rough else "sound workers"
        return f"{self.stores} stores, {self.edges} edges, {workers}; {kinds}"


def draw(seed: int, seconds: float = DEFAULT_SECONDS, processes: int = 0) -> Plan:
    """`processes`: so many stores and edges together; 0: a small number of them.

    >>> draw(7) == draw(7), draw(7) == draw(8)
    (True, False)
    >>> plan = draw(1, processes=40)
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
        is_rough=random.random() < 0.6,
        series=series,
        operator_pause_s=random.choice((0.1, 0.5, 2.0, 4.0)),
    )
