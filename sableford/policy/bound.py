"""The mechanism both programs share: a rotation names a candidate, which takes the work while its estimate is
within the local bound D - D_j of the lowest; else the lowest takes it, ties by chance. Copies that break
the bound are to be refreshed ("Adaptive Load Balancing based on Consistency", Eq. 5 and 9;
`docs/design.md`)."""

from collections.abc import Callable, Iterator, Sequence
from typing import TypeVar
from zlib import crc32

IMBALANCE = 1.5  # jobs, D: a slot is lost or a wait begun when two workers differ by more than about this
UNCERTAINTY = 1.0  # jobs, each D_j: what others send between two reports of one worker
AGE_LIMIT = 1000.0  # ms: older copies break the bound; about the run of one txn
MIX = 2_654_435_761  # spreads a checksum's bits: the golden part of 2**32

T = TypeVar("T")


def point(name: bytes) -> int:
    """A place from 0 to 2**32 by a name: checksums of like names are alike, and unmixed most schedulers drew
    the same half of the workers."""
    return crc32(name) * MIX % 2**32


def within(
    indices: Sequence[tuple[float, T]], index: float, named: T, bound: float, chance: Callable[[int], int]
) -> T:
    """The candidate `named`, of load `index`, while that is within the bound of the lowest; else a lowest
    one."""
    lowest = min(load for load, _ in indices)
    if index - lowest <= bound:
        return named
    least = [one for load, one in indices if load - lowest < 1e-9]
    return least[chance(len(least))]


def breaks(
    indices: Sequence[tuple[float, T]], below: float, aged: Callable[[T], bool]
) -> Iterator[tuple[float, T]]:
    """The copies that break the bound: far below the candidate, or too old."""
    for index, one in indices:
        if index < below or aged(one):
            yield index, one
