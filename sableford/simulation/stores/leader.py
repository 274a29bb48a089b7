"""The leader's side: the coordinator that is in service, its members' leases, and news down their lines."""

import msgspec

from sableford.control.effects import AddStore, RemoveStore, SendUpdate, WaitEnded
from sableford.control.protocol import JoinRequest, MemberStatus, RenewRequest, Update, with_status
from sableford.control.timing import LEASE_MS, RENEW_MS
from sableford.control.view import View
from sableford.control.workers import Worker, WorkerTable
from sableford.simulation.stores.model import SimulatedStore
from sableford.simulation.stores.network import Network
from sableford.store.worker_selection import WorkerEntry


class LeaderSide(Network):
    def _renew(self, name: str, incarnation: str) -> None:
        if not self._up(name, incarnation):
            return
        store = self.stores[name]
        self.later(RENEW_MS if store.joined else 60.0, self._renew, name, incarnation)
        if store.frozen > self.now or not self.core_up or not self._reach(name, "core"):
            store.joined = store.joined and self.core_up and store.frozen > self.now
            return
        status, view = self._status(store), store.queue.state.view
        sent, term = self.now, self.term
        if store.joined and store.term == term:
            self.later(self._way(), self._renewed, name, incarnation, status, sent)
            return
        store.has_lapsed = store.has_lapsed or sent >= store.queue.state.lease
        store.has_current_view = False
        left = 0.0 if store.has_lapsed else store.queue.state.lease - sent
        self.later(self._way(), self._join, name, status, view, left, sent, term)

    def _status(self, store: SimulatedStore) -> MemberStatus:
        queue = store.queue
        number, is_safe = queue.state.view.number, queue.is_safe()
        is_full = queue.state.full = store.full > self.now
        return MemberStatus(
            incarnation=store.incarnation,
            role="store",
            zone=store.zone,
            node=store.name,
            leaving=store.leaving,
            complete=queue.state.complete,
            empty=store.empty,
            full=is_full,
            audits=queue.audits() if is_safe else {},
            safe=number if is_safe else (0, 0),
            safe_without_leaving=number if is_safe and not queue.counts_on_leaving() else (0, 0),
        )

    def _renewed(self, name: str, incarnation: str, status: MemberStatus, sent: float) -> None:
        store = self.stores[name]
        request = with_status(RenewRequest, status, update_number=0, term=self.term)
        if self.core_up and self.coordinator.renewed(self.now, name, request):
            self._coordinate(self.coordinator.tick(self.now))
            self.later(self._way(), self._extend, name, incarnation, sent)
        else:
            store.joined = False

    def _join(
        self, name: str, status: MemberStatus, view: View, lease_left_ms: float, sent: float, term: int
    ) -> None:
        incarnation = status.incarnation
        if not self.core_up or term != self.term or not self._up(name, incarnation):
            return
        store = self.stores[name]
        store.joined, store.term, store.view_number = True, term, -1
        self.later(self._way(), self._extend, name, incarnation, sent)
        request = with_status(JoinRequest, status, view=view, lease_left_ms=lease_left_ms)
        self._coordinate(self.coordinator.joined(self.now, name, request))

    def _extend(self, name: str, incarnation: str, sent: float) -> None:
        store = self.stores[name]
        if self._up(name, incarnation) and store.frozen <= self.now:
            store.granted = max(store.granted, sent + LEASE_MS)
            self._put_lease_in_force(store)

    def _put_lease_in_force(self, store: SimulatedStore) -> None:
        """As `MemberClient` does: after a lapse only with a view that came since the join."""
        if store.has_lapsed and not store.has_current_view:
            return
        store.has_lapsed = False
        store.queue.state.lease = max(store.queue.state.lease, store.granted)

    def _coordinate(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case SendUpdate(to, update):
                    incarnation = self.stores[to].incarnation
                    self.later(self._way(), self._update, to, incarnation, update, self.term)
                case AddStore(name):
                    self.later(8.0, self._enrol, name, True)
                case RemoveStore(name):
                    self.later(8.0, self._enrol, name, False)
                case WaitEnded():
                    pass

    def _enrol(self, name: str, stands: bool) -> None:
        coordinator = self.coordinator
        self.roster = sorted({*self.roster, name} if stands else {*self.roster} - {name})
        if not stands and name in coordinator.retiring:  # emptied: it is taken away at once, with its disk
            coordinator.retiring.discard(name)
            coordinator.retired.add(name)
            self.end(name)
        if self.core_up:
            coordinator.roster_change_ended(name)
            self._coordinate(
                coordinator.roster_changed(
                    self.now, self.roster, set(coordinator.retiring), set(coordinator.retired)
                )
            )

    def _update(self, name: str, incarnation: str, update: Update, term: int) -> None:
        store = self.stores[name]
        if not self._up(name, incarnation) or term != self.term or not self._reach(name, "core"):
            return
        if store.frozen > self.now:
            after = store.frozen - self.now + 0.1
            self.later(after, self._update, name, incarnation, update, term)
            return
        if not update.snapshot and update.previous != store.view_number:
            store.joined = False
            return
        store.view_number = update.number
        for worker in [*(update.workers or ()), *([update.worker] if update.worker else ())]:
            host, port = worker.address.split(":")
            entry = WorkerEntry(
                worker.id, worker.backend, host, int(port), worker.zone, worker.capacity, True
            )
            store.choice.put(self.now, entry, 0.0)
        if (view := update.view) is not None:
            if view.number > store.queue.state.view.number:
                self.moves += 1
                self.act(store, store.queue.apply_view(self.now, view))
                store.kept_zones = dict(store.queue.state.zone_of)
            if view.number > self.edge_view.number:
                self.edge_view = view
            store.has_current_view = True
            self._put_lease_in_force(store)
        self.later(self._way(), self._ack, name, incarnation, update.number, term)

    def _ack(self, name: str, incarnation: str, number: int, term: int) -> None:
        if self.core_up and term == self.term and self._reach(name, "core"):
            self._coordinate(self.coordinator.acknowledged(self.now, name, incarnation, number))

    def core(self, up: bool) -> None:
        """The leader goes, or another one takes the lead."""
        self.core_up = up
        for store in self.stores.values():
            store.joined = False
        if up:
            self.term += 1
            # Who leads next has what it was told as a member, or less.
            self.coordinator.step_down()
            self.coordinator.registry.table = WorkerTable()
            self._coordinate(self.coordinator.become_leader(self.now, self.term))
            coordinator = self.coordinator
            self._coordinate(
                coordinator.roster_changed(
                    self.now, self.roster, set(coordinator.retiring), set(coordinator.retired)
                )
            )
            for name, store in self.stores.items():
                if not store.alive:
                    self.later(50.0, self._refuse, name)

    def _core_tick(self) -> None:
        self.later(40.0, self._core_tick)
        if self.core_up:
            for at, worker in enumerate(self.workers.values()):
                if (int(self.now) // 40 + at) % 30 == 0:
                    self._beat(worker)
            self._coordinate(self.coordinator.tick(self.now))

    def _beat(self, worker: Worker) -> None:
        entry = msgspec.structs.replace(worker, revision="v", count=int(self.now))
        self._coordinate(self.coordinator.worker_heartbeat(self.now, entry)[1])
