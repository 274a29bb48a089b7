"""How long a store may be away before others take its place, and in which state each store is. No I/O.

A machine that is lost stops counting as lost `sync_s` after it is back or after its successor started; from
then on another one may be lost. Its vote, its copies and its line of the roster must have moved by then.
"""

from collections.abc import Iterable
from enum import Enum

from sableford.control.timing import LEASE_MS
from sableford.control.view import StoreInfo

ABSENT_PART = 0.4  # of sync_s: longer than a planned restart takes; half of sync_s stays for the moves
JOIN_MS = 500.0  # ms for members to find a new leader: their renewals and lines take half of that
RESIGN_AFTER = 1000.0  # ms that a leader leads on while it leaves: most end sooner, and then nobody waits
MOVE_MS = 800.0  # ms to agree on a voter and another, to copy what was on the lost disk, and to strike it off


class Presence(Enum):
    """Why a store keeps its seat among the voters, or is to hand it on."""

    SERVING = "a member under a lease"
    UNHEARD = "not heard of since this lead began"
    ABSENT = "was here, has been away for less than the patience"
    LEAVING = "its process ends: it may come back or be gone for good, nobody can say which"
    RETIRING = "is to be emptied"
    GONE = "away for longer than the patience, or after it said that it leaves"


KEEPS_SEAT = frozenset({Presence.SERVING, Presence.UNHEARD, Presence.ABSENT})


def patience_ms(sync_s: float) -> float:
    """How long a store may be away, after its lease has run out, before others do without it.

    >>> patience_ms(4.4), patience_ms(2.0), patience_ms(1.0)
    (1760.0, 200.0, 0.0)
    """
    sync_ms = sync_s * 1000.0
    return max(0.0, min(ABSENT_PART * sync_ms, sync_ms - LEASE_MS - MOVE_MS))


class PresenceTracker:
    """Since when each voter has been away, as one leader sees it. Times are ms of its own clock.

    state          input                           next state
    -              this lead begins                UNHEARD
    any            a member, nothing else          SERVING
    any            a member that leaves / retires  LEAVING / RETIRING
    SERVING        no member                       ABSENT
    LEAVING        no member                       GONE
    UNHEARD        it had said that it leaves      GONE
    UNHEARD        away for `patience`             GONE, once members had time to join
    ABSENT         away for `patience`             GONE
    """

    def __init__(self, patience: float) -> None:
        self.patience = patience
        self._since: dict[str, float] = {}  # not there, by the views of others or the own leases
        self._began = 0.0  # this lead
        self._heard: set[str] = set()  # in this lead
        self._announced: set[str] = set()  # said that they leave when last heard, by any leader's view

    def begin(self, now: float) -> None:
        """This process leads from now on."""
        self._began, self._heard = now, set()

    def observe(self, now: float, live_stores: dict[str, StoreInfo], known: Iterable[str]) -> None:
        """Another leader's view. `known`: names that anyone may ask about; others are forgotten."""
        known = {*known, *live_stores}
        for name, store_info in live_stores.items():
            self._since.pop(name, None)
            if store_info.leaving:
                self._announced.add(name)
            else:
                self._announced.discard(name)
        self._announced &= known
        self._since = {name: self._since.get(name, now) for name in known if name not in live_stores}

    def of(
        self, now: float, name: str, member: bool, leaving: bool = False, retiring: bool = False
    ) -> Presence:
        """The state of one store: `member` and `leaving` by its lease, `retiring` by the roster."""
        if member:
            self._since.pop(name, None)
            self._heard.add(name)
            if leaving:
                self._announced.add(name)
            else:
                self._announced.discard(name)
            if retiring:
                return Presence.RETIRING
            return Presence.LEAVING if leaving else Presence.SERVING
        since = self._since.setdefault(name, now)
        late = now - since >= self.patience and (name in self._heard or now - self._began >= JOIN_MS)
        if retiring or late or name in self._announced:
            return Presence.GONE
        return Presence.ABSENT if name in self._heard else Presence.UNHEARD
