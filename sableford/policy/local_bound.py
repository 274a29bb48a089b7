"""Local bound on load estimates, shared by scheduler and store. Round robin proposes a candidate, accepted
while its estimate exceeds the lowest by at most D - D_j; else a lowest one is taken at random. Estimates that
break the bound are refreshed ("Adaptive Load Balancing based on Consistency", Eq. 5, 9; `docs/design.md`)."""

from collections.abc import Callable, Iterator, Sequence
from typing import TypeVar
from zlib import crc32

IMBALANCE = 1.5  # jobs, D: two workers that differ by more leave a slot idle or make a job wait
UNCERTAINTY = 1.0  # jobs, each D_j: sent by other schedulers between two reports of one worker
AGE_LIMIT = 1000.0  # ms: older estimates break the bound; about the running time of one txn
GOLDEN = 2_654_435_761  # 2**32 divided by the golden ratio: spreads the bits of a checksum

T = TypeVar("T")


def hash32(name: bytes) -> int:
    """Hashes a name to [0, 2**32). Plain checksums of similar names are similar: without the multiplication
    most schedulers picked the same half of the workers."""
    return crc32(name) * GOLDEN % 2**32


def pick_within(
    loads: Sequence[tuple[float, T]], load: float, candidate: T, bound: float, randint: Callable[[int], int]
) -> T:
    """Returns `candidate`, of that `load`, if it is within the bound of the lowest, else a lowest one."""
    lowest = min(load for load, _ in loads)
    if load - lowest <= bound:
        return candidate
    least = [item for load, item in loads if load - lowest < 1e-9]
    return least[randint(len(least))]


def violations(
    loads: Sequence[tuple[float, T]], below: float, is_old: Callable[[T], bool]
) -> Iterator[tuple[float, T]]:
    """Yields the estimates that break the bound: far below the candidate, or too old."""
    for load, item in loads:
        if load < below or is_old(item):
            yield load, item
