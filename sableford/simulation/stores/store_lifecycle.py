"""The lifecycle of stores: start from the contents of the disk, end, and periodic work."""

from sableford.control.view import View
from sableford.simulation.stores.model import MACHINE_LOSS
from sableford.simulation.stores.network import Network
from sableford.store.messages import Message
from sableford.store.shutdown import may_exit
from sableford.transport.routes import RoutingTable


class StoreLifecycle(Network):
    def start(self, name: str, bootstrap: bool = False) -> None:
        store = self.stores[name]
        store.alive, store.leaving, store.joined = True, False, False
        self.unpowered.discard(name)
        store.incarnation, store.started_at = f"{name}.{next(self._sequence)}", self.now
        store.granted_until, store.has_lapsed, store.has_current_view = 0.0, True, False
        store.selector = self._selector_factory(store.zone, store.incarnation)
        complete, store.empty = (
            store.completeness == "whole" or (bootstrap and not store.completeness),
            not store.disk,
        )
        store.completeness = "whole" if complete else "lost"
        queue = store.queue = self._queue_factory(
            name,
            store.incarnation,
            MACHINE_LOSS,
            RoutingTable(1, self.doc),
            store.selector,
            600.0,
            complete,
            self.zones,
        )
        queue.state.zone_of = dict(store.stored_zones)
        queue.state.view = View(zones=dict(store.stored_zones))
        for (what, ref), value in store.disk.items():
            if what == "e":
                queue.state.final_states[ref] = value
        for (what, ref), value in store.disk.items():
            if what == "m" and ref not in queue.state.final_states:
                message = Message(*value)
                message.synced = True
                queue.state.messages[ref] = message
        self._renew(name, store.incarnation)
        self._tick(name, store.incarnation)

    def end(self, name: str) -> None:
        self.stores[name].alive = False
        self.later(self.rng.uniform(1.0, 80.0), self._report_process_end, name)

    def _report_process_end(self, name: str) -> None:
        if (
            not self.stores[name].alive
            and self.leader_up
            and name not in self.unpowered
            and self._is_reachable(name, "core")
        ):
            self._coordinate(self.coordinator.process_ended(self.now, name))

    def _tick(self, name: str, incarnation: str) -> None:
        if not self._is_running(name, incarnation):
            return
        store = self.stores[name]
        self.later(15.0, self._tick, name, incarnation)
        if store.frozen_until <= self.now:
            store.queue.state.unresponsive = {
                other
                for other in self.stores
                if not self.stores[other].alive or not self._is_reachable(name, other)
            }
            self.apply_effects(store, store.queue.tick(self.now, self.now))
            if self.rng.random() < 0.03:
                self.apply_effects(store, store.queue.repair(self.now))
            if store.leaving and may_exit(store.queue):
                self._process_exited(name, incarnation)
