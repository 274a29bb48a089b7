"""The simulated leader: the active coordinator, the leases of its members, and the updates sent to them."""

import msgspec

from sableford.control.effects import AddStore, RemoveStore, SendUpdate, WaitEnded
from sableford.control.protocol import JoinRequest, MemberStatus, RenewRequest, Update, with_status
from sableford.control.timing import LEASE_MS, RENEW_MS
from sableford.control.view import View
from sableford.control.workers import Worker, WorkerTable
from sableford.simulation.stores.model import RETIRED_ENDS_MS, ROSTER_CHANGE_MS, SimulatedStore
from sableford.simulation.stores.network import Network
from sableford.store.worker_selection import WorkerEntry


class SimulatedLeader(Network):
    def _renew(self, name: str, incarnation: str) -> None:
        if not self._is_running(name, incarnation):
            return
        store = self.stores[name]
        self.later(RENEW_MS if store.joined else 60.0, self._renew, name, incarnation)
        if store.frozen_until > self.now or not self.leader_up or not self._is_reachable(name, "core"):
            store.joined = store.joined and self.leader_up and store.frozen_until > self.now
            return
        if store.joined and store.term == self.term:
            self._send_renewal(store)
            return
        status, view = self._status(store), store.queue.state.view
        sent, term = self.now, self.term
        store.has_lapsed = store.has_lapsed or sent >= store.queue.state.lease
        store.has_current_view = False
        lease_left_ms = 0.0 if store.has_lapsed else store.queue.state.lease - sent
        self.later(self._delay(), self._join, name, status, view, lease_left_ms, sent, term)

    def _send_renewal(self, store: SimulatedStore) -> None:
        status = self._status(store)
        self.later(self._delay(), self._renewed, store.name, store.incarnation, status, self.now)

    def _status(self, store: SimulatedStore) -> MemberStatus:
        queue = store.queue
        number, is_safe = queue.state.view.number, queue.is_safe()
        is_full = queue.state.full = store.full_until > self.now
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
        if self.leader_up and self.coordinator.renewed(self.now, name, request):
            self._coordinate(self.coordinator.tick(self.now))
            self.later(self._delay(), self._extend_lease, name, incarnation, sent)
        else:
            store.joined = False

    def _join(
        self, name: str, status: MemberStatus, view: View, lease_left_ms: float, sent: float, term: int
    ) -> None:
        incarnation = status.incarnation
        if not self.leader_up or term != self.term or not self._is_running(name, incarnation):
            return
        store = self.stores[name]
        store.joined, store.term, store.view_number = True, term, -1
        self.later(self._delay(), self._extend_lease, name, incarnation, sent)
        request = with_status(JoinRequest, status, view=view, lease_left_ms=lease_left_ms)
        self._coordinate(self.coordinator.joined(self.now, name, request))

    def _extend_lease(self, name: str, incarnation: str, sent: float) -> None:
        store = self.stores[name]
        if self._is_running(name, incarnation) and store.frozen_until <= self.now:
            store.granted_until = max(store.granted_until, sent + LEASE_MS)
            self._put_lease_in_force(store)

    def _put_lease_in_force(self, store: SimulatedStore) -> None:
        """As `MemberClient` does: after the lease has lapsed, it applies again only with a view received
        since the join."""
        if store.has_lapsed and not store.has_current_view:
            return
        store.has_lapsed = False
        store.queue.state.lease = max(store.queue.state.lease, store.granted_until)

    def _coordinate(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case SendUpdate(to, update):
                    incarnation = self.stores[to].incarnation
                    self.later(self._delay(), self._update, to, incarnation, update, self.term)
                case AddStore(name):
                    self.later(ROSTER_CHANGE_MS[0], self._change_roster, name, True)
                case RemoveStore(name):
                    self.later(self.removal_rng.uniform(*self.removal_ms), self._change_roster, name, False)
                case WaitEnded():
                    pass

    def _change_roster(self, name: str, is_member: bool) -> None:
        coordinator = self.coordinator
        self.roster = sorted({*self.roster, name} if is_member else {*self.roster} - {name})
        if not is_member and name in coordinator.retiring:
            coordinator.retiring.discard(name)
            coordinator.retired.add(name)
            # Its machine is taken away, with its disk, once the operator has seen that it is emptied.
            self.later(self.removal_rng.uniform(*RETIRED_ENDS_MS), self.end, name)
        if self.leader_up:
            coordinator.roster_change_ended(name)
            self._coordinate(
                coordinator.roster_changed(
                    self.now, self.roster, set(coordinator.retiring), set(coordinator.retired)
                )
            )

    def _update(self, name: str, incarnation: str, update: Update, term: int) -> None:
        store = self.stores[name]
        if (
            not self._is_running(name, incarnation)
            or term != self.term
            or not self._is_reachable(name, "core")
        ):
            return
        if store.frozen_until > self.now:
            after = store.frozen_until - self.now + 0.1
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
            store.selector.put(self.now, entry, 0.0)
        if (view := update.view) is not None:
            if view.number > store.queue.state.view.number:
                self.view_changes += 1
                self.apply_effects(store, store.queue.apply_view(self.now, view))
                store.stored_zones = dict(store.queue.state.zone_of)
            if view.number > self.edge_view.number:
                self.edge_view = view
            store.has_current_view = True
            self._put_lease_in_force(store)
        self.later(self._delay(), self._ack, name, incarnation, update.number, term)

    def _ack(self, name: str, incarnation: str, number: int, term: int) -> None:
        if self.leader_up and term == self.term and self._is_reachable(name, "core"):
            self._coordinate(self.coordinator.acknowledged(self.now, name, incarnation, number))

    def set_leader_up(self, up: bool) -> None:
        """The leader fails, or another one is elected."""
        self.leader_up = up
        for store in self.stores.values():
            store.joined = False
        if up:
            self.term += 1
            # The next leader knows at most what it received as a member.
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
                    self.later(50.0, self._report_process_end, name)

    def _leader_tick(self) -> None:
        self.later(40.0, self._leader_tick)
        if self.leader_up:
            for at, worker in enumerate(self.workers.values()):
                if (int(self.now) // 40 + at) % 30 == 0:
                    self._send_heartbeat(worker)
            self._coordinate(self.coordinator.tick(self.now))

    def _send_heartbeat(self, worker: Worker) -> None:
        entry = msgspec.structs.replace(worker, revision="v", count=int(self.now))
        self._coordinate(self.coordinator.worker_heartbeat(self.now, entry)[1])
