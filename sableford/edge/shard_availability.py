"""Tracks which shards accept no messages, so that an edge does not hold requests for them. No I/O.

Shards that one store has owned since the same view were taken over together and open together. They form one
group, and an observation of one of them holds for all.

    input                                   state of the group
    the owner refused                       CLOSED since the first time; skipped for SKIP_MS
    there was no reachable owner            CLOSED since the first time
    a put was stored                        open
    a view added or removed stores          open
    no request for it for FORGET_MS         open

A group that changes its owner is closed for at most a lease and a takeover, and requests that wait for it are
accepted afterwards. A group that is closed for longer has too few stores left, and opens only when they are
back: requests for it are refused at once, except for one each SKIP_MS, which checks whether it has opened.
"""

from typing import NamedTuple

from sableford.control.timing import LEASE_MS
from sableford.control.view import View, ViewNumber

SKIP_MS = 150.0  # between two puts to a closed group
TAKEOVER_MS = 300.0  # for the next owner to fetch the state from the other stores
FORGET_MS = 2000.0  # after the last put; then the observation is outdated


class ShardGroup(NamedTuple):
    """Shards that have had the same owner (or none) since the same view."""

    owner: str
    epoch: ViewNumber


class Closure(NamedTuple):
    """How long a group has been closed. Times: ms of the monotonic clock; `refused_at`: the last refusal."""

    since: float
    observed_at: float
    refused_at: float | None = None


class ShardAvailability:
    """The recent results of puts, by shard group."""

    def __init__(self) -> None:
        self._groups = _groups_of(View())  # by shard
        self._closures: dict[ShardGroup, Closure] = {}
        self._incarnations: dict[str, str] = {}

    def view_changed(self, view: View) -> None:
        """Applies a new view. If stores were added, they may be the ones that were missing."""
        self._groups = _groups_of(view)
        incarnations = {name: store.incarnation for name, store in view.live_stores.items()}
        if incarnations != self._incarnations:
            self._incarnations = incarnations
            self._closures.clear()

    def group_of(self, shard: int) -> ShardGroup:
        """The group of a shard under the present view. A put is an observation of the group at its start."""
        return self._groups[shard]

    def refused(self, now: float, shard: int) -> None:
        """The owner of the shard refused a put."""
        self._closures[self._groups[shard]] = self._closure(now, shard)._replace(
            observed_at=now, refused_at=now
        )

    def unreachable(self, now: float, shard: int) -> None:
        """The shard has no owner that can be reached."""
        self._closures[self._groups[shard]] = self._closure(now, shard)._replace(observed_at=now)

    def _closure(self, now: float, shard: int) -> Closure:
        closure = self._closures.get(self._groups[shard])
        if closure is None or now - closure.observed_at > FORGET_MS:
            return Closure(now, now)
        return closure

    def accepted(self, shard: int) -> None:
        """The owner of the shard has stored a put."""
        self._closures.pop(self._groups[shard], None)

    def is_skipped(self, now: float, shard: int) -> bool:
        """Whether the owner has refused so recently that nothing should be sent to it now."""
        refused_at = self._closure(now, shard).refused_at
        return refused_at is not None and now - refused_at < SKIP_MS

    def is_closed_for_long(self, now: float, shard: int) -> bool:
        """Whether it has been closed for longer than any change of owner takes."""
        return now - self._closure(now, shard).since > LEASE_MS + TAKEOVER_MS


def _groups_of(view: View) -> list[ShardGroup]:
    return [ShardGroup(*one) for one in zip(view.owners, view.epochs, strict=True)]
