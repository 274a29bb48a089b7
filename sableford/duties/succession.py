"""Choice of a duty's next holder in a fixed order of succession. No I/O.

    the holder                                 next holder
    is a live member, same incarnation         unchanged
    was refused under this epoch               the next in order, under the next epoch
    leaves or is being emptied                 the same
    is no member, or another incarnation       the same

The next holder is the first one after the current holder that is eligible and did not hold the duty recently.
The holder itself, under the next epoch, comes last. Without such a store the duty stays unassigned;
exclusions are short.
"""

from collections.abc import Collection, Iterable, Mapping
from hashlib import sha256
from typing import NamedTuple

from sableford.duties.state import DutyState


class Candidate(NamedTuple):
    """A store that is a live member. `eligible`: it neither leaves nor is being emptied."""

    host: str
    node: str
    incarnation: str
    eligible: bool = True


def succession_order(duty: str, hosts: Iterable[str]) -> list[str]:
    """The order of succession: by digest, so that duties are spread and all processes agree.

    >>> order = succession_order("a", ["x", "y", "z"])
    >>> order == succession_order("a", ["z", "y", "x"]) != succession_order("b", ["x", "y", "z"])
    True
    """
    return sorted(hosts, key=lambda host: sha256(f"{duty}\n{host}".encode()).digest())


def reason_to_change(state: DutyState, holder: Candidate | None, refused_epoch: int) -> str:
    """Why the duty must change its holder; empty if it need not. `refused_epoch`: the latest epoch that the
    platform has refused."""
    if not state.epoch:
        return "nobody has held it"
    if holder is None:
        return "no member"
    if holder.incarnation != state.incarnation:
        return "another incarnation"
    if refused_epoch >= state.epoch:
        return "refused"
    return "" if holder.eligible else "leaves"


def next_holder(
    duty: str, state: DutyState, candidates: Mapping[str, Candidate], excluded: Collection[str]
) -> Candidate | None:
    """The next holder; None if no store is eligible now. `excluded`: nodes that held the duty recently."""
    order = succession_order(duty, {*candidates, state.holder} - {""})
    start = order.index(state.holder) + 1 if state.holder else 0
    for host in order[start:] + order[:start]:
        candidate = candidates.get(host)
        if candidate is not None and candidate.eligible and candidate.node not in excluded:
            return candidate
    return None


class RecentHolders:
    """Nodes that held the duty within the last `exclusion_ms` of this process's monotonic clock. A change
    counts from the moment when this process observes it."""

    def __init__(self, exclusion_ms: float) -> None:
        self._exclusion_ms = exclusion_ms
        self._until: dict[str, float] = {}  # by node
        self._epoch = 0

    def observe(self, now: float, state: DutyState) -> None:
        """Takes note of the current state."""
        missed = state.epoch - self._epoch
        if missed > 0:
            self._epoch = state.epoch
            for node in state.previous[-missed:]:
                self._until[node] = now + self._exclusion_ms

    def excluded(self, now: float) -> set[str]:
        """Nodes that may not hold the duty again yet."""
        self._until = {node: until for node, until in self._until.items() if until > now}
        return set(self._until)
