"""What a store counts: deliveries that workers began on its word, by window of the time of day and tenant.
No I/O. Times are ms of the time of day.

    input                            counts
    a delivery's request is written  + 1 in the window of that moment
    a verdict that it did not run    - 1 in the same window
    a window is long past            it is forgotten
"""

from collections.abc import Callable

import msgspec

SETTLE_MS = 1000.0  # after a window's end: most verdicts that take a delivery back come sooner
REPORT_INTERVAL_MS = 400.0  # between two reports: what a store that dies takes with it, against bytes


class UsageStatus(msgspec.Struct, frozen=True):
    """What a store tells the leader. `counts` by window and tenant are totals of this incarnation; where a
    tenant is not named, it has the total that was told before."""

    counts: dict[int, dict[str, int]] = {}
    settled: int = 0  # windows up to this one will hardly change


class UsageCounts:
    """`unix_ms` gives the time of day; windows are forgotten `retain_ms` after their end."""

    def __init__(self, window_ms: float, retain_ms: float, unix_ms: Callable[[], float]) -> None:
        self._window_ms, self._retain_ms, self._unix_ms = window_ms, retain_ms, unix_ms
        self._counts: dict[int, dict[str, int]] = {}
        self._changed: dict[int, set[str]] = {}  # tenants by window, since the last report
        self._reported_at = 0.0

    def began(self, tenant: str) -> int:
        """A delivery's request is being written; the window that it counts in."""
        window = int(self._unix_ms() // self._window_ms)
        self._add(window, tenant, 1)
        return window

    def took_back(self, tenant: str, window: int) -> None:
        """A delivery that was counted did not run."""
        if window in self._counts:
            self._add(window, tenant, -1)

    def _add(self, window: int, tenant: str, number: int) -> None:
        counts = self._counts.setdefault(window, {})
        counts[tenant] = counts.get(tenant, 0) + number
        self._changed.setdefault(window, set()).add(tenant)

    def status(self, is_join: bool) -> UsageStatus:
        """For a join all that is known; for a renewal what has changed, and at times nothing."""
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
