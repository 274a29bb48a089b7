"""Who holds a duty next: a fixed order of succession. No I/O.

    the holder                        next
    is a live member of that life     it stays
    was refused under this epoch      the next in order, under the next epoch
    leaves or is being emptied        the same
    is no member, or another life     the same

The next is the first after the holder in order that may hold it and did not hold it of late. The holder
itself, under the next epoch, comes last. Where there is none, the duty waits: nobody is barred for long.
"""

from collections.abc import Collection, Iterable, Mapping
from hashlib import sha256
from typing import NamedTuple

from sableford.duties.state import DutyState


class Candidate(NamedTuple):
    """A store that is a live member. `able`: it neither leaves nor is it being emptied."""

    host: str
    node: str
    incarnation: str
    able: bool = True


def ranked(duty: str, hosts: Iterable[str]) -> list[str]:
    """The order of succession: by a digest, so that duties are spread and each process finds the same.

    >>> ranked("a", ["x", "y", "z"]) == ranked("a", ["z", "y", "x"]) != ranked("b", ["x", "y", "z"])
    True
    """
    return sorted(hosts, key=lambda host: sha256(f"{duty}\n{host}".encode()).digest())


def reason_to_change(state: DutyState, holder: Candidate | None, refused_epoch: int) -> str:
    """Why another must hold the duty; empty where the holder stays. `refused_epoch`: the newest that a holder
    has been refused under."""
    if not state.epoch:
        return "nobody has held it"
    if holder is None:
        return "no member"
    if holder.incarnation != state.incarnation:
        return "another incarnation"
    if refused_epoch >= state.epoch:
        return "refused"
    return "" if holder.able else "leaves"


def next_holder(
    duty: str, state: DutyState, candidates: Mapping[str, Candidate], barred: Collection[str]
) -> Candidate | None:
    """None where no store may hold it now. `barred`: nodes that held it of late."""
    order = ranked(duty, {*candidates, state.holder} - {""})
    start = order.index(state.holder) + 1 if state.holder else 0
    for host in order[start:] + order[:start]:
        candidate = candidates.get(host)
        if candidate is not None and candidate.able and candidate.node not in barred:
            return candidate
    return None


class RecentHolders:
    """Nodes that held the duty within the last `bar_ms` of one process's steady clock. What changed before
    that process saw it counts as changed at that moment."""

    def __init__(self, bar_ms: float) -> None:
        self._bar_ms = bar_ms
        self._until: dict[str, float] = {}  # by node
        self._epoch = 0

    def observe(self, now: float, state: DutyState) -> None:
        """The state in force."""
        missed = state.epoch - self._epoch
        if missed > 0:
            self._epoch = state.epoch
            for node in state.previous[-missed:]:
                self._until[node] = now + self._bar_ms

    def barred(self, now: float) -> set[str]:
        """Those that are not to hold it again yet."""
        self._until = {node: until for node, until in self._until.items() if until > now}
        return set(self._until)
