"""Reports backends whose messages wait although nothing of this store is in flight there. No I/O.

The log event tells why no worker is chosen: too few of them are ready, they do not respond, or the other
stores are counted as using all their capacity.
"""

from typing import Any

from sableford.store.delivery_order import DeliveryOrder
from sableford.store.messages import LogEvent
from sableford.store.queue_state import QueueState
from sableford.store.worker_selection import Worker, WorkerSelector

STALL_MS = 3000.0  # longer than a worker is ejected for


class StalledBackends:
    """Logs `backend_stalled` once for each stall, and `backend_resumed` when it is over."""

    def __init__(self, state: QueueState, selector: WorkerSelector, order: DeliveryOrder) -> None:
        self._state, self._selector, self._order = state, selector, order
        self._stalled_at: dict[str, float] = {}  # by backend
        self._logged: set[str] = set()

    def check(self, now: float) -> None:
        """Looks at all backends. Called from time to time."""
        waiting = self._order.waiting_by_backend(now) if self._state.holds_lease(now) else {}
        stalled = {name for name in waiting if not self._selector.own_in_flight(name)}
        for backend in self._stalled_at.keys() - stalled:
            self._resumed(now, backend)
        for backend in sorted(stalled):
            stalled_at = self._stalled_at.setdefault(backend, now)
            if now - stalled_at >= STALL_MS and backend not in self._logged:
                self._log(now, backend, waiting[backend])

    def _log(self, now: float, backend: str, waiting: int) -> None:
        self._logged.add(backend)
        workers = {one.entry.id: self._describe(now, one) for one in self._selector.ready_workers(backend)}
        fields = {"backend": backend, "waiting": waiting, "workers": workers}
        self._state.emit(LogEvent("backend_stalled", fields))

    def _resumed(self, now: float, backend: str) -> None:
        stalled_at = self._stalled_at.pop(backend)
        if backend in self._logged:
            self._logged.remove(backend)
            fields = {"backend": backend, "stalled_ms": round(now - stalled_at)}
            self._state.emit(LogEvent("backend_resumed", fields))

    def _describe(self, now: float, worker: Worker) -> dict[str, Any]:
        """Returns what the selection of a worker depends on."""
        reported = self._selector.reported_counts(worker)
        return {
            "capacity": worker.entry.capacity,
            "reported": {store: count for store, count in reported.items() if count},
            "others": worker.others_in_flight,
            "ejected_ms": max(0, round(worker.ejected_until - now)),
            "failures": worker.consecutive_failures,
        }
