"""Rate limits of backends, as enforced by one of several stores. No I/O.

Each live store has a share of the rate, so that all stores together keep the limit in every window. The burst
that stores without traffic have saved up counts towards the limit.
"""

from sableford.model.rates import TokenBucket
from sableford.transport.routes import Backend, RoutingTable

ALLOWED_ARRIVALS = 5.0  # beyond the rate in a window (RULES.md, CEILING)
BURST_FRACTION = 0.8  # of the allowed excess over a rate, the part that all stores together may save up
MIN_RATE = 0.2  # a second, over all stores; a lower rate would amount to none


class RateLimits:
    """`window_s`: the length of a window; `excess`: the factor by which calls to a backend may exceed its
    rate within one."""

    def __init__(self, window_s: float, excess: float) -> None:
        self._window_s, self._excess = window_s, excess
        self._allowances: dict[str, TokenBucket] = {}
        self._updated_for = (0, -1)  # live stores, revision

    def update(self, now: float, store_count: int, table: RoutingTable) -> None:
        """Recomputes the shares after a change of the number of live stores or of the configuration."""
        stores = max(1, store_count)
        if self._updated_for == (stores, table.revision):
            return
        self._updated_for = stores, table.revision
        before, self._allowances = self._allowances, {}
        for name, backend in table.backends.items():
            if backend.rate > 0.0:
                self._allowances[name] = self._allowance(now, stores, backend, before.get(name))

    def _allowance(
        self, now: float, stores: int, backend: Backend, before: TokenBucket | None
    ) -> TokenBucket:
        allowed = backend.rate * self._window_s * (self._excess - 1.0) + ALLOWED_ARRIVALS
        burst = BURST_FRACTION * allowed
        max_burst = max(1.0, burst / stores)
        # If a burst of one for each store exceeds what may be saved up in total, the rate is lowered instead.
        rate_reduction = max(0.0, max_burst * stores - burst) / self._window_s
        rate = max(MIN_RATE, backend.rate - rate_reduction) / stores
        return TokenBucket(now, rate, max_burst, min(max_burst, before.tokens) if before is not None else 0.0)

    def allows(self, now: float, backend: str) -> bool:
        """Whether one more delivery may go to the backend now; if so, it is counted."""
        allowance = self._allowances.get(backend)
        return allowance is None or allowance.take(now)
