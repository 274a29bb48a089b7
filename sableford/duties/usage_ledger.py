"""What the leader knows of all stores' counts, and which window may be sealed. No I/O.

input                                    next state
a store's join or renewal                its totals by window and tenant, in place of those told before
all present stores have settled a window it may be sealed, unless others may come back with counts
late, and most of them have              it may be sealed all the same
a window is sealed                       counts of it are forgotten, and passed over from then on
"""

from collections.abc import Collection

from sableford.duties.usage_counts import UsageStatus

LATE_PART = 0.4  # of usageLateS after a window's end: the rest is for a holder that fails meanwhile


class UsageLedger:
    """Of one lead. Stores are named by their incarnations; one that has ended keeps its counts."""

    def __init__(self, window_ms: float, late_ms: float) -> None:
        self._window_ms, self._late_ms = window_ms, late_ms
        self._counts: dict[int, dict[str, dict[str, int]]] = {}  # by window, store, tenant
        self._settled: dict[str, int] = {}  # by store
        self._sealed_until = 0

    def clear(self) -> None:
        """Another lead begins."""
        self._counts, self._settled = {}, {}

    def heard(self, store: str, status: UsageStatus) -> None:
        """What a store has told."""
        for window, counts in status.counts.items():
            if window > self._sealed_until:
                self._counts.setdefault(window, {}).setdefault(store, {}).update(counts)
        if status.settled:
            self._settled[store] = status.settled

    def sealed(self, until: int) -> None:
        """Windows up to that one are sealed."""
        if until == self._sealed_until:
            return
        self._sealed_until = until
        self._counts = {window: counts for window, counts in self._counts.items() if window > until}

    def window_at(self, unix_ms: float) -> int:
        """The window that is under way."""
        return int(unix_ms // self._window_ms)

    def begins_at(self, window: int) -> float:
        """ms of the time of day."""
        return window * self._window_ms

    def may_seal(
        self, window: int, unix_ms: float, present: Collection[str], others_may_come: bool = False
    ) -> bool:
        """Whether no store is waited for any more. `others_may_come`: stores that are away may have counted
        in the window. A leader whose clock is ahead seals nothing before most stores say that the window is
        over."""
        settled = sum(self._settled.get(store, 0) >= window for store in present)
        if present and settled == len(present) and not others_may_come:
            return True
        is_late = unix_ms >= self.begins_at(window + 1) + self._late_ms * LATE_PART
        return is_late and settled * 2 > len(present)

    def totals(self, window: int) -> dict[str, int]:
        """What all stores have counted, by tenant."""
        sums: dict[str, int] = {}
        for counts in self._counts.get(window, {}).values():
            for tenant, count in counts.items():
                sums[tenant] = sums.get(tenant, 0) + count
        return sums
