"""Usage counts of a store: deliveries that it started at workers, by time window and tenant. No I/O. Times
are Unix time in ms.

    input                            counts
    a delivery's request is written  + 1 in the current window
    a verdict that it did not run    - 1 in the same window
    a window is long past            its counts are dropped
"""

from collections.abc import Callable

import msgspec

SETTLE_MS = 1000.0  # after a window's end: most verdicts that a delivery did not run arrive sooner
REPORT_INTERVAL_MS = 400.0  # between reports: counts lost in a crash, traded against traffic


class UsageStatus(msgspec.Struct, frozen=True):
    """Report to the leader. `counts` are totals of this incarnation by window and tenant; a tenant not listed
    has the total reported before."""

    counts: dict[int, dict[str, int]] = {}
    settled: int = 0  # counts of windows up to this one are final but for late verdicts


class UsageCounts:
    """`unix_ms` returns the time; windows are dropped `retain_ms` after their end."""

    def __init__(self, window_ms: float, retain_ms: float, unix_ms: Callable[[], float]) -> None:
        self._window_ms, self._retain_ms, self._unix_ms = window_ms, retain_ms, unix_ms
        self._counts: dict[int, dict[str, int]] = {}
        self._changed: dict[int, set[str]] = {}  # tenants by window that changed since the last report
        self._reported_at = 0.0

    def count_delivery(self, tenant: str) -> int:
        """Counts a delivery whose request is being written; returns its window."""
        window = int(self._unix_ms() // self._window_ms)
        self._add(window, tenant, 1)
        return window

    def uncount_delivery(self, tenant: str, window: int) -> None:
        """Uncounts a delivery that did not run."""
        if window in self._counts:
            self._add(window, tenant, -1)

    def _add(self, window: int, tenant: str, number: int) -> None:
        counts = self._counts.setdefault(window, {})
        counts[tenant] = counts.get(tenant, 0) + number
        self._changed.setdefault(window, set()).add(tenant)

    def status(self, is_join: bool) -> UsageStatus:
        """All counts for a join; for a renewal those that changed, or none within the report interval."""
        now = self._unix_ms()
        if not is_join and 0.0 <= now - self._reported_at < REPORT_INTERVAL_MS:
            return UsageStatus()
        self._reported_at = now
        self._forget(now)
        changed, self._changed = self._changed, {}
        counts = {
            window: {tenant: self._counts[window][tenant] for tenant in tenants}
            for window, tenants in changed.items()
            if window in self._counts
        }
        if is_join:
            counts = {window: dict(known) for window, known in self._counts.items()}
        return UsageStatus(counts, int((now - SETTLE_MS) // self._window_ms) - 1)

    def _forget(self, now: float) -> None:
        oldest = (now - self._retain_ms) // self._window_ms
        self._counts = {window: counts for window, counts in self._counts.items() if window >= oldest}
