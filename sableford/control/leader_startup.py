"""What a new leader waits for before it moves a shard, and the view that it begins with. No I/O.

Views are held in the memory of the processes that have applied them, and never on disk. A new leader begins
with the newest view that its members report, once no store can act under a lease of an earlier leader. That
need not be the newest view ever made: if all processes that had applied a newer one were killed, the newest
one left may come from a store that was partitioned for long, whose shards others have served since. So a
store keeps its shards only if its lease ran without a break until it joined. Otherwise it gets them again
under an epoch of the new leader, and first asks the other stores what they hold.

    owner of a shard in the newest view              the shard under the new leader
    a member with an unbroken lease                  still owned, under the old epoch
    a member whose lease expired before it joined    unowned, until all stores have applied that
    not a member, or another incarnation             unowned, may be assigned at once
"""

from collections.abc import Mapping
from typing import NamedTuple

from msgspec.structs import replace

from sableford.control.members import Member
from sableford.control.timing import JOIN_TRANSIT_MS, JOIN_WAIT_MS, LEASE_MS, QUORUM_FRESH_MS
from sableford.control.view import View


class FirstView(NamedTuple):
    """The view that a new leader begins with. `is_recent`: a member with an unbroken lease had applied
    it, so that what it says about absent stores is no older than one lease."""

    view: View
    is_recent: bool


class LeaderStartup:
    """From the election until the new leader's first view. Times are ms of the leader's clock."""

    def __init__(self, now: float, last_majority_at: float | None = None) -> None:
        """Starts when this process becomes leader. `last_majority_at`: when an earlier leader could last get
        the answer of a majority; None if that is not known."""
        self.old_leases_ended = False  # no store can act under a lease of an earlier leader
        earlier = now if last_majority_at is None else last_majority_at
        self._earlier_leader_until = earlier + QUORUM_FRESH_MS  # until when it could grant leases
        self._old_leases_until = max(now + JOIN_WAIT_MS, self._earlier_leader_until + LEASE_MS)
        self._ended: set[str] = set()  # stores proven to have ended since this process became leader
        self._newest_view: View | None = None  # the newest that a member has applied
        self._recent_witness = ""  # a member with an unbroken lease that had applied it

    def lease_is_unbroken(self, now: float, lease_left_ms: float) -> bool:
        """Whether a lease with that time left when the member asked to join outlasts every earlier leader:
        only a leader that sees the lease expire gives its shards to others."""
        return lease_left_ms > 0.0 and now + lease_left_ms - JOIN_TRANSIT_MS >= self._earlier_leader_until

    def joined(self, name: str, member: Member, view: View) -> None:
        """A process has become a member; it has applied that view."""
        self._ended.discard(name)
        newest = self._newest_view
        if newest is None or view.number > newest.number:
            self._newest_view, self._recent_witness = view, ""
        if member.lease_is_unbroken and self._newest_view is not None:
            self._recent_witness = name if view.number == self._newest_view.number else self._recent_witness

    def process_ended(self, name: str) -> None:
        """The process of that name is proven to have ended."""
        self._ended.add(name)

    def may_assign(self, now: float, roster: list[str], members: Mapping[str, Member]) -> bool:
        """Whether no store of the roster can act under a lease of an earlier leader."""
        if not roster:
            return False
        is_missing = any(name not in members and name not in self._ended for name in roster)
        return not is_missing or now >= self._old_leases_until

    def first_view(self, own_view: View, members: Mapping[str, Member]) -> FirstView:
        """The newest view that is known, without the shards whose owner's lease broke. `own_view`: the newest
        that this process has applied itself."""
        newest, is_recent = self._newest_view, bool(self._recent_witness)
        if newest is None or newest.number < own_view.number:
            newest, is_recent = own_view, False
        return FirstView(_without_lapsed_owners(newest, members), is_recent)


def _without_lapsed_owners(view: View, members: Mapping[str, Member]) -> View:
    """Makes shards of members whose lease broke unowned: others may have served them since."""
    owners, incarnations = list(view.owners), list(view.incarnations)
    for shard, owner in enumerate(owners):
        member = members.get(owner)
        if member is None or member.incarnation != incarnations[shard] or member.lease_is_unbroken:
            continue
        owners[shard] = incarnations[shard] = ""
    return replace(view, owners=owners, incarnations=incarnations)
