"""What a new leader waits for before it moves a shard, and the view that it begins with. No I/O.

A view is in the memory of those who have applied it, and on no disk. A new leader begins with the newest that
its members tell of, once no store can act under a lease of an earlier leader. That one need not be the newest
there ever was: where all who had applied a newer one were killed, what is left may be the view of a store
that was cut off for long, whose shards others have served since. So a store goes on with its shards only if
its lease ran without a break until it joined; else it gets them anew, under an epoch of this lead, and asks
the others first what they hold.

    the newest view's owner of a shard               the shard at the begin of the lead
    a member whose lease did not break               its own, under the old epoch
    a member whose lease ran out before it joined    nobody's, until all stores have applied that
    no member, or another incarnation                nobody's, free to be given away
"""

from collections.abc import Mapping
from typing import NamedTuple

from msgspec.structs import replace

from sableford.control.members import Member
from sableford.control.timing import JOIN_TRANSIT_MS, JOIN_WAIT_MS, LEASE_MS, QUORUM_FRESH_MS
from sableford.control.view import View


class FirstView(NamedTuple):
    """The view that a lead begins with. `is_vouched_for`: a member had applied it whose lease did not break,
    so that what it says of stores that are away is no older than a lease."""

    view: View
    is_vouched_for: bool


class LeadStart:
    """From the election until the first view of this lead. Times are ms of the leader's clock."""

    def __init__(self, now: float, last_majority_at: float | None = None) -> None:
        """This process leads from now on. `last_majority_at`: when a leader before it could last get an
        answer of a majority; None where that is not known."""
        self.old_leases_ended = False  # no store can act under a lease of an earlier leader
        earlier = now if last_majority_at is None else last_majority_at
        self._earlier_leader_until = earlier + QUORUM_FRESH_MS  # it could grant leases
        self._old_leases_until = max(now + JOIN_WAIT_MS, self._earlier_leader_until + LEASE_MS)
        self._ended: set[str] = set()  # stores proven to have ended since this lead began
        self._newest_view: View | None = None  # of those that members have applied
        self._voucher = ""  # a member that had applied it, whose lease did not break

    def lease_is_unbroken(self, now: float, lease_left_ms: float) -> bool:
        """Whether a lease that ran on for so long when the member asked to join outlives every leader before
        this one: only a leader under which it runs out gives its shards to others."""
        return lease_left_ms > 0.0 and now + lease_left_ms - JOIN_TRANSIT_MS >= self._earlier_leader_until

    def joined(self, name: str, member: Member, view: View) -> None:
        """A process has become a member; it has applied that view."""
        self._ended.discard(name)
        newest = self._newest_view
        if newest is None or view.number > newest.number:
            self._newest_view, self._voucher = view, ""
        if member.lease_is_unbroken and self._newest_view is not None:
            self._voucher = name if view.number == self._newest_view.number else self._voucher

    def process_ended(self, name: str) -> None:
        """Proof that the process of that name has ended."""
        self._ended.add(name)

    def may_assign(self, now: float, roster: list[str], members: Mapping[str, Member]) -> bool:
        """Whether no store of the roster can act under a lease of an earlier leader."""
        if not roster:
            return False
        is_awaited = any(name not in members and name not in self._ended for name in roster)
        return not is_awaited or now >= self._old_leases_until

    def first_view(self, own_view: View, members: Mapping[str, Member]) -> FirstView:
        """`own_view`: the newest that this process has applied itself."""
        newest, is_vouched_for = self._newest_view, bool(self._voucher)
        if newest is None or newest.number < own_view.number:
            newest, is_vouched_for = own_view, False
        return FirstView(_without_lapsed_owners(newest, members), is_vouched_for)


def _without_lapsed_owners(view: View, members: Mapping[str, Member]) -> View:
    """Shards of members whose lease broke are nobody's: others may have served them since."""
    owners, incarnations = list(view.owners), list(view.incarnations)
    for shard, owner in enumerate(owners):
        member = members.get(owner)
        if member is None or member.incarnation != incarnations[shard] or member.lease_is_unbroken:
            continue
        owners[shard] = incarnations[shard] = ""
    return replace(view, owners=owners, incarnations=incarnations)
