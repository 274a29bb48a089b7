"""The lives of stores: a start from what the disk kept, ends, and what happens from time to time."""

from sableford.control.view import View
from sableford.simulation.stores.model import MACHINE_LOSS
from sableford.simulation.stores.network import Network
from sableford.store.messages import Message
from sableford.store.shutdown import may_exit
from sableford.store.worker_selection import WorkerSelector
from sableford.transport.routes import RoutingTable


class StoreLives(Network):
    def start(self, name: str, bootstrap: bool = False) -> None:
        store = self.stores[name]
        store.alive, store.leaving, store.joined = True, False, False
        self.dark.discard(name)
        store.incarnation, store.up_at = f"{name}.{next(self._count)}", self.now
        store.granted, store.has_lapsed, store.has_current_view = 0.0, True, False
        store.choice = WorkerSelector(store.zone, store.incarnation)
        whole, store.empty = store.mark == "whole" or (bootstrap and not store.mark), not store.kept
        store.mark = "whole" if whole else "lost"
        queue = store.queue = self._make(
            name,
            store.incarnation,
            MACHINE_LOSS,
            RoutingTable(1, self.doc),
            store.choice,
            600.0,
            whole,
            self.zones,
        )
        queue.state.zone_of = dict(store.kept_zones)
        queue.state.view = View(zones=dict(store.kept_zones))
        for (what, ref), value in store.kept.items():
            if what == "e":
                queue.state.final_states[ref] = value
        for (what, ref), value in store.kept.items():
            if what == "m" and ref not in queue.state.final_states:
                message = Message(*value)
                message.synced = True
                queue.state.messages[ref] = message
        self._renew(name, store.incarnation)
        self._tick(name, store.incarnation)

    def end(self, name: str) -> None:
        self.stores[name].alive = False
        self.later(self.draw.uniform(1.0, 80.0), self._refuse, name)

    def _refuse(self, name: str) -> None:
        if (
            not self.stores[name].alive
            and self.core_up
            and name not in self.dark
            and self._reach(name, "core")
        ):
            self._coordinate(self.coordinator.process_ended(self.now, name))

    def _tick(self, name: str, incarnation: str) -> None:
        if not self._up(name, incarnation):
            return
        store = self.stores[name]
        self.later(15.0, self._tick, name, incarnation)
        if store.frozen <= self.now:
            store.queue.state.unresponsive = {
                other for other in self.stores if not self.stores[other].alive or not self._reach(name, other)
            }
            self.act(store, store.queue.tick(self.now, self.now))
            if self.draw.random() < 0.03:
                self.act(store, store.queue.repair(self.now))
            if store.leaving and may_exit(store.queue):
                self._killed(name, incarnation)
