"""Who should vote in the record: a function of who votes now and of the stores that are there. No I/O.

    who votes now                                 a store that may take the seat    wanted
    serving, unheard or absent for a short time   -                                 it keeps its seat
    leaving, retiring or gone                     yes                               the other store
    leaving, retiring or gone                     no                                it keeps its seat
    gone or leaving                               one that is being emptied         that one, meanwhile
    more than are needed, one of them on its way  -                                 the others
    an even number above the need, one absent     -                                 the others

The record carries it out one voter at a time: who comes is added once it has caught up, then who goes is
taken out. A seat is thus never given up before it is filled, and the number of voters never falls below what
the settings ask for unless there are fewer stores.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from sableford.control.presence import KEEPS_SEAT, Presence


class Tolerance(msgspec.Struct, frozen=True):
    """What may be lost at once, each for itself, with a majority left (`tolerates` of the settings)."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class Candidate(msgspec.Struct, frozen=True):
    """A store that votes or may: what the leader knows of it."""

    name: str
    zone: str = ""
    region: str = ""
    presence: Presence = Presence.SERVING
    complete: bool = True


class Selection(NamedTuple):
    """`voters` is what the record is to work towards; the rest says which losses leave a majority of them."""

    voters: tuple[str, ...]
    bears_machines: bool
    bears_zones: bool
    bears_regions: bool


# Who gives its seat up first where there are too few others: who is gone before who still serves.
GIVES_UP = (Presence.GONE, Presence.LEAVING, Presence.RETIRING)


def select_voters(voters: Iterable[str], stores: Iterable[Candidate], tolerance: Tolerance) -> Selection:
    """`voters`: who votes now, as agreed; `stores`: all that are known, voters among them.

    >>> stores = [Candidate(name) for name in "abc"] + [Candidate("d", presence=Presence.LEAVING)]
    >>> select_voters("abd", stores, Tolerance(1)).voters
    ('a', 'b', 'c')
    >>> select_voters("bd", stores[1:], Tolerance(1)).voters
    ('b', 'c', 'd')
    """
    known = {store.name: store for store in stores}
    voting = [known.get(name, Candidate(name, presence=Presence.GONE)) for name in voters]
    keeping = [store for store in voting if store.presence in KEEPS_SEAT]
    outgoing = [store for store in voting if store.presence not in KEEPS_SEAT]
    names = {store.name for store in voting}
    spare = [
        store for store in known.values() if store.name not in names and store.presence is Presence.SERVING
    ]
    seats = seats_needed([*keeping, *spare], tolerance)
    wanted = _without_needless(keeping, seats)
    wanted = _filled(wanted, spare, seats, tolerance)
    wanted = _balanced(_without_crowded(wanted, seats, tolerance), spare, tolerance)
    # Nobody is there to take these seats: they stay with those who have them, or go to one that is being
    # emptied rather than to one that is gone.
    last = outgoing + [
        store for store in known.values() if store.name not in names and store.presence is Presence.RETIRING
    ]
    last.sort(key=lambda store: (GIVES_UP.index(store.presence), store.name in names, store.name))
    while len(wanted) < seats and last:
        wanted.append(last.pop())
    return Selection(tuple(sorted(store.name for store in wanted)), *_borne(wanted, tolerance))


def seats_needed(stores: list[Candidate], tolerance: Tolerance) -> int:
    """How many must vote: the least odd number of which a majority outlives each loss that is to be borne; if
    these stores can't be placed so, as many as the loss of machines takes.

    >>> stores = [Candidate(f"{zone}{at}", zone) for zone in "pqr" for at in range(3)]
    >>> seats_needed(stores, Tolerance(2)), seats_needed(stores, Tolerance(0, 1))
    (5, 3)
    """
    least = 2 * tolerance.machines + 1
    if not (tolerance.zones or tolerance.regions):
        return least
    for seats in range(least, len(stores) + 1, 2):
        if all(_borne(_filled([], stores, seats, tolerance), tolerance)):
            return seats
    return least


def bearable(stores: list[Candidate], tolerance: Tolerance) -> bool:
    """Whether voters can be placed on these stores so that all that is to be borne leaves a majority."""
    seats = seats_needed(stores, tolerance)
    return len(stores) >= seats and all(_borne(_filled([], stores, seats, tolerance), tolerance))


def _without_needless(keeping: list[Candidate], seats: int) -> list[Candidate]:
    """Of an even number of voters above the need one that is away only makes the majority larger."""
    absent = [store for store in keeping if store.presence is Presence.ABSENT]
    if not absent or len(keeping) <= seats or len(keeping) % 2:
        return list(keeping)
    return [store for store in keeping if store is not absent[0]]


def _without_crowded(wanted: list[Candidate], seats: int, tolerance: Tolerance) -> list[Candidate]:
    """Of more voters than are needed one too many in a place, where the others then bear its loss."""
    if len(wanted) <= seats or all(_borne(wanted, tolerance)):
        return wanted
    fewer = [[store for store in wanted if store is not out] for out in wanted]
    return next((one for one in fewer if all(_borne(one, tolerance))), wanted)


def _filled(
    wanted: list[Candidate], spare: list[Candidate], seats: int, tolerance: Tolerance
) -> list[Candidate]:
    """With further stores up to that number, each from where the fewest vote so far."""
    wanted, rest = list(wanted), [store for store in spare if store not in wanted]
    while len(wanted) < seats and rest:
        zones = Counter(store.zone for store in wanted)
        regions = Counter(store.region for store in wanted) if tolerance.regions else Counter()
        best = min(
            rest,
            key=lambda store: (regions[store.region], zones[store.zone], not store.complete, store.name),
        )
        rest.remove(best)
        wanted.append(best)
    return wanted


def _balanced(wanted: list[Candidate], spare: list[Candidate], tolerance: Tolerance) -> list[Candidate]:
    """With stores exchanged as long as fewer voters can then be lost with zones and regions."""
    if all(_borne(wanted, tolerance)):
        return wanted
    wanted, rest = list(wanted), [store for store in spare if store not in wanted]
    while True:
        worst = _lost_with_places(wanted, tolerance)
        swaps = [
            (
                _lost_with_places([*(one for one in wanted if one is not out), into], tolerance),
                out.name,
                into.name,
            )
            for out in wanted
            for into in rest
        ]
        best = min(swaps, default=(worst, "", ""))
        if best[0] >= worst:
            return wanted
        into = next(store for store in rest if store.name == best[2])
        wanted = [store for store in wanted if store.name != best[1]] + [into]
        rest.remove(into)


def _borne(voters: list[Candidate], tolerance: Tolerance) -> tuple[bool, bool, bool]:
    """Whether a majority is left after the loss of machines, of zones, of regions."""
    lost = (
        tolerance.machines,
        _largest(voters, tolerance.zones, lambda store: store.zone),
        _largest(voters, tolerance.regions, lambda store: store.region),
    )
    machines, zones, regions = (2 * (len(voters) - most) > len(voters) for most in lost)
    return machines, zones, regions


def _lost_with_places(voters: list[Candidate], tolerance: Tolerance) -> int:
    zones = _largest(voters, tolerance.zones, lambda store: store.zone)
    return max(zones, _largest(voters, tolerance.regions, lambda store: store.region))


def _largest(voters: list[Candidate], places: int, place_of: Callable[[Candidate], str]) -> int:
    """Of how many voters the fullest of so many places have."""
    counts = Counter(place_of(store) for store in voters)
    return sum(count for _, count in counts.most_common(places))
