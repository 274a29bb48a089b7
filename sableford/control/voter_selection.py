"""Selects the voters of the record, from the current voters and the state of the stores. No I/O.

    current voter                                 available replacement             selected
    serving, not joined or absent for a short time -                                 it keeps its vote
    leaving, retiring or gone                     yes                               the replacement
    leaving, retiring or gone                     no                                it keeps its vote
    gone or leaving                               one that is being emptied         that one, for the time
    more than needed, one of them not staying     -                                 the others
    an even number above the need, one absent     -                                 the others

The record applies the selection one voter at a time: a new voter is added once it has caught up, and then the
old one is removed. So no vote is removed before it is replaced, and the number of voters never falls below
what the settings require unless there are fewer stores.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from sableford.control.presence import KEEPS_VOTE, Presence


class Tolerance(msgspec.Struct, frozen=True):
    """The number of machines, zones or regions whose simultaneous loss must leave a majority, each taken by
    itself (`tolerates` of the settings)."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class Candidate(msgspec.Struct, frozen=True):
    """A store that is or may become a voter, as known to the leader."""

    name: str
    zone: str = ""
    region: str = ""
    presence: Presence = Presence.SERVING
    complete: bool = True


class Selection(NamedTuple):
    """`voters`: those that the record is to work towards. `bears_*`: whether the losses of that kind that
    must be tolerated leave a majority of them."""

    voters: tuple[str, ...]
    bears_machines: bool
    bears_zones: bool
    bears_regions: bool


# The order in which voters are replaced where too few stores are available: first those that serve no more.
REPLACED_FIRST = (Presence.GONE, Presence.LEAVING, Presence.RETIRING)


def select_voters(voters: Iterable[str], stores: Iterable[Candidate], tolerance: Tolerance) -> Selection:
    """`voters`: the current voters, as agreed; `stores`: all known stores, including the voters.

    >>> stores = [Candidate(name) for name in "abc"] + [Candidate("d", presence=Presence.LEAVING)]
    >>> select_voters("abd", stores, Tolerance(1)).voters
    ('a', 'b', 'c')
    >>> select_voters("bd", stores[1:], Tolerance(1)).voters
    ('b', 'c', 'd')
    """
    known = {store.name: store for store in stores}
    voting = [known.get(name, Candidate(name, presence=Presence.GONE)) for name in voters]
    keeping = [store for store in voting if store.presence in KEEPS_VOTE]
    outgoing = [store for store in voting if store.presence not in KEEPS_VOTE]
    names = {store.name for store in voting}
    spare = [
        store for store in known.values() if store.name not in names and store.presence is Presence.SERVING
    ]
    seats = seats_needed([*keeping, *spare], tolerance)
    wanted = _without_needless(keeping, seats)
    wanted = _filled(wanted, spare, seats, tolerance)
    wanted = _balanced(_without_crowded(wanted, seats, tolerance), spare, tolerance)
    # No store is available for the remaining votes: they stay where they are, or go to a store that is being
    # emptied rather than to one that is gone.
    last = outgoing + [
        store for store in known.values() if store.name not in names and store.presence is Presence.RETIRING
    ]
    last.sort(key=lambda store: (REPLACED_FIRST.index(store.presence), store.name in names, store.name))
    while len(wanted) < seats and last:
        wanted.append(last.pop())
    return Selection(tuple(sorted(store.name for store in wanted)), *_tolerated(wanted, tolerance))


def seats_needed(stores: list[Candidate], tolerance: Tolerance) -> int:
    """The number of voters: the smallest odd one of which a majority survives each loss to be tolerated. If
    no placement on these stores achieves that, as many as the loss of machines requires.

    >>> stores = [Candidate(f"{zone}{at}", zone) for zone in "pqr" for at in range(3)]
    >>> seats_needed(stores, Tolerance(2)), seats_needed(stores, Tolerance(0, 1))
    (5, 3)
    """
    least = 2 * tolerance.machines + 1
    if not (tolerance.zones or tolerance.regions):
        return least
    for seats in range(least, len(stores) + 1, 2):
        if all(_tolerated(_filled([], stores, seats, tolerance), tolerance)):
            return seats
    return least


def can_tolerate_losses(stores: list[Candidate], tolerance: Tolerance) -> bool:
    """Whether voters can be placed on these stores so that all losses to be tolerated leave a majority."""
    seats = seats_needed(stores, tolerance)
    return len(stores) >= seats and all(_tolerated(_filled([], stores, seats, tolerance), tolerance))


def _without_needless(keeping: list[Candidate], seats: int) -> list[Candidate]:
    """Drops one absent voter of an even number above the need: it only makes the majority larger."""
    absent = [store for store in keeping if store.presence is Presence.ABSENT]
    if not absent or len(keeping) <= seats or len(keeping) % 2:
        return list(keeping)
    return [store for store in keeping if store is not absent[0]]


def _without_crowded(wanted: list[Candidate], seats: int, tolerance: Tolerance) -> list[Candidate]:
    """Drops one voter of a crowded place, if more than needed vote and the rest then tolerate all losses."""
    if len(wanted) <= seats or all(_tolerated(wanted, tolerance)):
        return wanted
    fewer = [[store for store in wanted if store is not out] for out in wanted]
    return next((one for one in fewer if all(_tolerated(one, tolerance))), wanted)


def _filled(
    wanted: list[Candidate], spare: list[Candidate], seats: int, tolerance: Tolerance
) -> list[Candidate]:
    """Adds stores up to that number, each from the region and zone with the fewest voters so far."""
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
    """Swaps stores as long as that lowers the number of voters lost with zones and regions."""
    if all(_tolerated(wanted, tolerance)):
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


def _tolerated(voters: list[Candidate], tolerance: Tolerance) -> tuple[bool, bool, bool]:
    """Whether a majority is left after the loss of machines, of zones and of regions."""
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
    """The number of voters in the places with most voters, of which there are `places`."""
    counts = Counter(place_of(store) for store in voters)
    return sum(count for _, count in counts.most_common(places))
