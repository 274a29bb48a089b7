"""Whether a store may be retired, that is emptied and removed, and how far that has got. No I/O.

node                                    stores left          answer
being emptied                           -                    200 rolling
emptied, and no other store of its name -                    200 complete
no store of the roster has its name     -                    404
a store of the roster                   too few              409
a store of the roster                   not yet known        503
a store of the roster                   enough               retirement begins, 200 rolling
"""

from collections.abc import Iterable
from enum import Enum

from sableford.control.presence import Presence
from sableford.control.roster import Roster
from sableford.control.voter_selection import Candidate, Tolerance, can_tolerate_losses


class Phase(Enum):
    """The phase of a retirement, as answered to the operator."""

    ROLLING = "rolling"
    COMPLETE = "complete"


class RetirementRefusedError(Exception):
    """A refused retirement, with the HTTP status and reason for the operator."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


def phase_of(roster: Roster, node: str, hosts: dict[str, str]) -> Phase | None:
    """The phase of a node's retirement; None if it is not being retired. `hosts`: the hosts of live stores by
    node name."""
    if node in roster.retiring:
        return Phase.ROLLING
    if node not in roster.retired:
        return None
    # Another machine may have taken that name since; the retirement of the first says nothing about it.
    host = hosts.get(node, roster.retired[node])
    return None if host != roster.retired[node] and host in roster.stores else Phase.COMPLETE


def may_complete(roster: Roster, host: str, stores: Iterable[Candidate], tolerance: Tolerance) -> bool:
    """Whether enough other stores serve for a store that is being emptied to be removed: one of those that
    were to stay may have been lost since. True for a store that is not being emptied."""
    going = roster.retiring.values()
    if host not in going:
        return True
    staying = [store for store in stores if store.presence is Presence.SERVING and store.name not in going]
    return len(staying) >= 2 * tolerance.machines + 1


def begin_retirement(
    roster: Roster, node: str, hosts: dict[str, str], stores: Iterable[Candidate], tolerance: Tolerance
) -> Roster:
    """The roster with `node` being emptied; unchanged if it already is or was. `stores`: as the leader sees
    them. Raises RetirementRefusedError."""
    if phase_of(roster, node, hosts) is not None:
        return roster
    host = hosts.get(node, "")
    if host not in roster.stores:
        raise RetirementRefusedError(404, "no such store")
    going = {*roster.retiring.values(), host}
    known = list(stores)
    present = [store for store in known if store.presence is Presence.SERVING]
    left = [store for store in present if store.name not in going]
    if len(left) < 2 * tolerance.machines + 1:
        if any(store.presence is Presence.NOT_JOINED for store in known):
            raise RetirementRefusedError(503, "not known yet which stores are there")
        raise RetirementRefusedError(409, f"{len(left)} would be left")
    before = left + [store for store in known if store.name == host]  # it may just be restarting
    if can_tolerate_losses(before, tolerance) and not can_tolerate_losses(left, tolerance):
        raise RetirementRefusedError(409, "those left could not bear the loss of a zone or region")
    return roster.with_retiring(node, host)
