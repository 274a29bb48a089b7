"""Usage counts of all stores at the leader, and which window may be sealed. No I/O.

input                                    next state
a store's join or renewal                its totals by window and tenant replace the former ones
all present stores have settled a window it may be sealed, unless absent stores may have counts
late, and most of them have              it may be sealed nevertheless
a window is sealed                       its counts are dropped and ignored from then on
"""

from collections.abc import Collection

from sableford.duties.usage_counts import UsageStatus

LATE_FRACTION = 0.4  # of usageLateS after a window's end: the rest is left for a holder that fails


class UsageLedger:
    """Counts at one leader, by incarnation of a store; counts of a process that ended are kept."""

    def __init__(self, window_ms: float, late_ms: float) -> None:
        self._window_ms, self._late_ms = window_ms, late_ms
        self._counts: dict[int, dict[str, dict[str, int]]] = {}  # by window, store, tenant
        self._settled: dict[str, int] = {}  # by store
        self._sealed_until = 0

    def clear(self) -> None:
        """Starts anew, as another leader takes over."""
        self._counts, self._settled = {}, {}

    def add_report(self, store: str, status: UsageStatus) -> None:
        """Applies the report of a store."""
        for window, counts in status.counts.items():
            if window > self._sealed_until:
                self._counts.setdefault(window, {}).setdefault(store, {}).update(counts)
        if status.settled:
            self._settled[store] = status.settled

    def mark_sealed(self, until: int) -> None:
        """Drops the counts of windows up to `until`, which are sealed."""
        if until == self._sealed_until:
            return
        self._sealed_until = until
        self._counts = {window: counts for window, counts in self._counts.items() if window > until}

    def window_at(self, unix_ms: float) -> int:
        """The window that contains the time."""
        return int(unix_ms // self._window_ms)

    def start_of(self, window: int) -> float:
        """Unix time in ms at which the window begins."""
        return window * self._window_ms

    def may_seal(
        self, window: int, unix_ms: float, present: Collection[str], absent_may_have_counted: bool = False
    ) -> bool:
        """Whether the window need not wait for more stores. `absent_may_have_counted`: absent stores may
        have counts in the window. A leader whose clock is ahead seals nothing before most stores report
        that the window is over."""
        settled = sum(self._settled.get(store, 0) >= window for store in present)
        if present and settled == len(present) and not absent_may_have_counted:
            return True
        is_late = unix_ms >= self.start_of(window + 1) + self._late_ms * LATE_FRACTION
        return is_late and settled * 2 > len(present)

    def totals(self, window: int) -> dict[str, int]:
        """The sums over all stores, by tenant."""
        sums: dict[str, int] = {}
        for counts in self._counts.get(window, {}).values():
            for tenant, count in counts.items():
                sums[tenant] = sums.get(tenant, 0) + count
        return sums
