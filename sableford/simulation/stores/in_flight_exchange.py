"""The links between stores that carry in-flight counts, as `StoreServer` uses them.

A link delivers in order. One that is cut ends with all that is on its way; the next one begins with all
counts of the sender, also if no view of the sender shows the receiver.
"""

from collections import deque
from collections.abc import Callable

from sableford.simulation.stores.model import SimulatedStore
from sableford.simulation.stores.network import Network
from sableford.store.in_flight_reports import StoreIncarnation

REPORT_MS = 40.0  # between two reports, as in `sableford.store.server`

Handle = Callable[[SimulatedStore], None]
Ends = tuple[str, str, str, str]  # name and incarnation of the sender, then of the receiver


class InFlightExchange(Network):
    """Reports of in-flight counts between the simulated stores."""

    def __init__(self) -> None:
        self._open_links: dict[Ends, deque[Handle]] = {}  # with what is on its way

    def _report_in_flight(self) -> None:
        """Connects stores, and reports what has changed, as each store does from time to time."""
        self.later(REPORT_MS, self._report_in_flight)
        for store in list(self.stores.values()):
            if not store.alive or store.frozen_until > self.now:
                continue
            for other in self.stores:
                self._connect(store, other)
            selector, peers = store.selector, store.queue.state.view.live_stores.keys() - {store.name}
            changed, selector.changed = selector.changed, set()
            stale, selector.stale = selector.stale, set()
            for other in sorted(peers):
                if changed:
                    self._report_counts(store, other, changed)
                if stale:
                    self._query_counts(store, other, stale)

    def _exchange_in_flight_counts(self, store: SimulatedStore, to: str) -> None:
        """As `EffectExecutor` does when another store comes into the view."""
        self._report_counts(store, to, None)
        self._query_counts(store, to, set(store.selector.workers))

    def _ends(self, store: SimulatedStore, to: str) -> Ends:
        return store.name, store.incarnation, to, self.stores[to].incarnation

    def _connect(self, store: SimulatedStore, to: str) -> None:
        """Opens the link if there is none, and reports all counts on it."""
        ends = self._ends(store, to)
        if to != store.name and ends not in self._open_links and self._may_connect(store.name, to):
            self._open_links[ends] = deque()
            self._report_counts(store, to, None)

    def _report_counts(self, store: SimulatedStore, to: str, ids: set[str] | None) -> None:
        reporter = StoreIncarnation(store.name, store.incarnation)
        counts = store.selector.own_counts(ids)
        self._send_on_link(
            store, to, lambda other: other.selector.update_reported_counts(self.now, reporter, counts)
        )

    def _query_counts(self, store: SimulatedStore, to: str, ids: set[str]) -> None:
        self._send_on_link(store, to, lambda other: self._report_counts(other, store.name, ids))

    def _send_on_link(self, store: SimulatedStore, to: str, handle: Handle) -> None:
        if to not in self.stores:
            return
        ends = self._ends(store, to)
        if (sent := self._open_links.get(ends)) is not None:
            sent.append(handle)
            self.later(self._delay(), self._receive_from_link, ends)

    def _receive_from_link(self, ends: Ends) -> None:
        sender, _, to, incarnation = ends
        if ends not in self._open_links:
            return
        if not self._is_running(to, incarnation) or not self._is_reachable(sender, to):
            del self._open_links[ends]
            return
        store = self.stores[to]
        if store.frozen_until > self.now:
            self.later(store.frozen_until - self.now + 0.1, self._receive_from_link, ends)
        elif sent := self._open_links[ends]:
            sent.popleft()(store)
