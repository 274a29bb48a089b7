"""How long a store may be absent before others replace it, and the state of each store. No I/O.

A lost machine stops counting as lost `sync_s` after it is back or after its successor started; from then on
another machine may fail. Its vote, its replicas and its entry of the roster must have moved by then.
"""

from collections.abc import Iterable
from enum import Enum

from sableford.control.timing import LEASE_MS
from sableford.control.view import StoreInfo

ABSENT_FRACTION = 0.4  # of sync_s: longer than a planned restart; half of sync_s is left for the moves
JOIN_MS = 500.0  # for members to find a new leader: their renewals and connections take half of that
# How long a leader that is shutting down goes on leading: most exit sooner, and then nobody waits.
RESIGN_AFTER_MS = 1000.0
# To agree on replacing a voter, to copy what was on the lost disk, and to remove it from the roster.
MOVE_MS = 800.0


class Presence(Enum):
    """The state of a store, which decides whether it keeps its vote."""

    SERVING = "a member under a lease"
    NOT_JOINED = "has not joined this leader yet"
    ABSENT = "had joined, absent for less than the limit"
    LEAVING = "shutting down: a restart or for good, which can't be known"
    RETIRING = "being emptied"
    GONE = "absent for longer than the limit, or after announcing that it leaves"


KEEPS_VOTE = frozenset({Presence.SERVING, Presence.NOT_JOINED, Presence.ABSENT})


def absence_limit_ms(sync_s: float) -> float:
    """How long a store may be absent after its lease has expired before it is replaced.

    >>> absence_limit_ms(4.4), absence_limit_ms(2.0), absence_limit_ms(1.0)
    (1760.0, 200.0, 0.0)
    """
    sync_ms = sync_s * 1000.0
    return max(0.0, min(ABSENT_FRACTION * sync_ms, sync_ms - LEASE_MS - MOVE_MS))


class PresenceTracker:
    """Tracks since when each voter has been absent, as one leader sees it. Times are ms of its own clock.

    state          input                             next state
    -              this process becomes leader       NOT_JOINED
    any            a member                          SERVING
    any            a leaving / retiring member       LEAVING / RETIRING
    SERVING        not a member                      ABSENT
    LEAVING        not a member                      GONE
    NOT_JOINED        had announced that it leaves      GONE
    NOT_JOINED        absent for `absence_limit_ms`             GONE, once members had time to join
    ABSENT         absent for `absence_limit_ms`             GONE
    """

    def __init__(self, absence_limit_ms: float) -> None:
        self.absence_limit_ms = absence_limit_ms
        self._absent_since: dict[str, float] = {}  # by other leaders' views or by this leader's leases
        self._leading_since = 0.0
        self._joined: set[str] = set()  # members since this process became leader
        self._leaving: set[str] = set()  # had announced that they leave when last seen, in any leader's view

    def become_leader(self, now: float) -> None:
        """This process becomes leader."""
        self._leading_since, self._joined = now, set()

    def observe(self, now: float, live_stores: dict[str, StoreInfo], known: Iterable[str]) -> None:
        """Takes another leader's view. `known`: names that may be asked about; all others are forgotten."""
        known = {*known, *live_stores}
        for name, store_info in live_stores.items():
            self._absent_since.pop(name, None)
            if store_info.leaving:
                self._leaving.add(name)
            else:
                self._leaving.discard(name)
        self._leaving &= known
        self._absent_since = {
            name: self._absent_since.get(name, now) for name in known if name not in live_stores
        }

    def presence_of(
        self, now: float, name: str, member: bool, leaving: bool = False, retiring: bool = False
    ) -> Presence:
        """The state of one store. `member` and `leaving` come from its lease, `retiring` from the roster."""
        if member:
            self._absent_since.pop(name, None)
            self._joined.add(name)
            if leaving:
                self._leaving.add(name)
            else:
                self._leaving.discard(name)
            if retiring:
                return Presence.RETIRING
            return Presence.LEAVING if leaving else Presence.SERVING
        since = self._absent_since.setdefault(name, now)
        is_overdue = now - since >= self.absence_limit_ms and (
            name in self._joined or now - self._leading_since >= JOIN_MS
        )
        if retiring or is_overdue or name in self._leaving:
            return Presence.GONE
        return Presence.ABSENT if name in self._joined else Presence.NOT_JOINED
