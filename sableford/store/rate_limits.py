"""Rates that services bear no more than, as one of several stores keeps to them. No I/O.

Each live store has its share, so that all together keep under the rate in every window; what is saved up by
stores that had nothing to send counts into that.
"""

from sableford.model.rates import TokenBucket
from sableford.transport.routes import Backend, RoutingTable

ALLOWED_ARRIVALS = 5.0  # beyond a rate in a window (RULES.md, CEILING)
BURST_PART = 0.8  # of what is allowed beyond a rate is saved up by all stores together
MIN_RATE = 0.2  # a second, over all stores: less would be none


class RateLimits:
    """`window_s`: the length of a window; `excess`: how far above its rate, as a factor, a service may be
    called in one."""

    def __init__(self, window_s: float, excess: float) -> None:
        self._window_s, self._excess = window_s, excess
        self._allowances: dict[str, TokenBucket] = {}
        self._made_for = (0, -1)  # live stores, revision

    def update(self, now: float, store_count: int, table: RoutingTable) -> None:
        """Shares follow the number of live stores and the configuration."""
        stores = max(1, store_count)
        if self._made_for == (stores, table.revision):
            return
        self._made_for = stores, table.revision
        before, self._allowances = self._allowances, {}
        for name, backend in table.backends.items():
            if backend.rate > 0.0:
                self._allowances[name] = self._allowance(now, stores, backend, before.get(name))

    def _allowance(
        self, now: float, stores: int, backend: Backend, before: TokenBucket | None
    ) -> TokenBucket:
        allowed = backend.rate * self._window_s * (self._excess - 1.0) + ALLOWED_ARRIVALS
        burst = BURST_PART * allowed
        most = max(1.0, burst / stores)
        # Where even one for each is more than may be saved up, the rate gives the rest.
        over = max(0.0, most * stores - burst) / self._window_s
        rate = max(MIN_RATE, backend.rate - over) / stores
        return TokenBucket(now, rate, most, min(most, before.tokens) if before is not None else 0.0)

    def allows(self, now: float, backend: str) -> bool:
        """Whether one more delivery may go to the service now; it counts as gone."""
        allowance = self._allowances.get(backend)
        return allowance is None or allowance.take(now)
