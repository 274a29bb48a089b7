"""Which shards an edge has lately found to take nothing, so that it holds no request for them. No I/O.

Shards that one store owns since one view were taken over together and open together: they are one group, and
what is seen of one of them holds for all.

    input                                   state of the group
    its owner refused                       CLOSED since the first time; passed over for PASS_OVER_MS
    it had no owner that could be asked     CLOSED since the first time
    a put was kept                          open
    stores came or went by a view           open
    nobody wanted it for FORGET_MS          open

A group that changes hands is closed for a lease and a takeover at most: what waits for it meanwhile is taken
then. One that is closed for longer has too few stores left, and only their return opens it: a request for it
is refused at once, but for one in PASS_OVER_MS that finds out whether its owner has opened it.
"""

from typing import NamedTuple

from sableford.control.timing import LEASE_MS
from sableford.control.view import Number, View

PASS_OVER_MS = 150.0  # between two looks at a closed group
TAKEOVER_MS = 300.0  # for the next owner to learn what others hold
FORGET_MS = 2000.0  # without a look: nothing is known any more


class ShardGroup(NamedTuple):
    """Shards that one store, or nobody, owns since one view."""

    owner: str
    epoch: Number


class Closure(NamedTuple):
    """Times are ms of this process's steady clock. `refused_at`: when its owner last refused, if it did."""

    since: float
    seen_at: float
    refused_at: float | None = None


class ShardAvailability:
    """What puts have come to, by group."""

    def __init__(self) -> None:
        self._groups = _groups_of(View())  # by shard
        self._closures: dict[ShardGroup, Closure] = {}
        self._incarnations: dict[str, str] = {}

    def view_changed(self, view: View) -> None:
        """Another view is in force. Stores that have come may be those that were missing."""
        self._groups = _groups_of(view)
        incarnations = {name: store.incarnation for name, store in view.live_stores.items()}
        if incarnations != self._incarnations:
            self._incarnations = incarnations
            self._closures.clear()

    def refused(self, now: float, shard: int) -> None:
        """Its owner took nothing."""
        self._closures[self._groups[shard]] = self._closure(now, shard)._replace(seen_at=now, refused_at=now)

    def unreachable(self, now: float, shard: int) -> None:
        """It has no owner that could be asked."""
        self._closures[self._groups[shard]] = self._closure(now, shard)._replace(seen_at=now)

    def _closure(self, now: float, shard: int) -> Closure:
        closure = self._closures.get(self._groups[shard])
        if closure is None or now - closure.seen_at > FORGET_MS:
            return Closure(now, now)
        return closure

    def accepted(self, shard: int) -> None:
        """Its owner has kept what was put there."""
        self._closures.pop(self._groups[shard], None)

    def is_passed_over(self, now: float, shard: int) -> bool:
        """Whether its owner has refused so lately that nothing is to be put there now."""
        refused_at = self._closure(now, shard).refused_at
        return refused_at is not None and now - refused_at < PASS_OVER_MS

    def is_closed_for_long(self, now: float, shard: int) -> bool:
        """Whether it takes longer than any change of owner."""
        return now - self._closure(now, shard).since > LEASE_MS + TAKEOVER_MS


def _groups_of(view: View) -> list[ShardGroup]:
    return [ShardGroup(*one) for one in zip(view.owners, view.epochs, strict=True)]
