"""Fault injection: faults of machines and links, and when the next one may be injected.

A machine counts as lost while it is down, frozen or cut off, and for LOST_AFTER_RETURN_MS after its return or
after the start of its successor. One lost machine at a time is tolerated, so another fault is injected only
once the previous machine no longer counts as lost, and then often at once. Planned restarts are not losses.
"""

from sableford.control.timing import LEASE_MS
from sableford.control.view import View
from sableford.simulation.stores.model import GRACE_MS, LOST_AFTER_RETURN_MS, SimulatedStore
from sableford.simulation.stores.network import Network

# Share of faults that are followed by another within FOLLOW_UP_MS of the moment they stop counting as a loss.
FOLLOW_UP_SHARE = 0.5
FOLLOW_UP_MS = 60.0
FOLLOW_UP_REPLACED_SHARE = 0.9  # share of replaced stores at whose end another store is lost
ORPHAN_FRACTION = 0.2  # of a fault's duration for which a store without a lease goes on before it is killed
EARLY_SHARE = 0.3  # share of planned replacements that start before the successor counts as complete
TAKES_CALLS_BEFORE_JOIN_MS = 12.0  # at most, from when a restarted store takes calls until it joins
PLANNED_KINDS = ("term", "rolling", "planned", "retire")
DISK_LOSS_KINDS = ("wipe", "replace", "gone", "planned", "zone_wipe", "overlap")


class Faults(Network):
    def _inject_fault(self, kind: str) -> None:
        if self.lost_until > self.now:
            return
        alive = sorted(one.name for one in self.stores.values() if one.alive)
        if not alive:
            return
        name = self.rng.choice(alive)
        store, duration_ms = self.stores[name], self.rng.uniform(300.0, 3000.0)
        if store.leaving:
            return  # a store that is shutting down gets no fault
        if self._inject_planned(kind, store):
            return
        self.disk_losses += kind in DISK_LOSS_KINDS
        self.disruptions.append((self.now, self.now + duration_ms))
        self._count_lost(self.now + duration_ms)
        self._inject_unplanned(kind, store, duration_ms)

    def _count_lost(self, back_at: float) -> None:
        """The machine counts as lost until LOST_AFTER_RETURN_MS after `back_at`; often the next fault
        follows."""
        self.lost_until = max(self.lost_until, back_at + LOST_AFTER_RETURN_MS)
        if self.rng.random() < FOLLOW_UP_SHARE and self.lost_until < self.seconds:
            after = self.lost_until - self.now
            self._schedule_follow_up(after)

    def _schedule_follow_up(self, after: float) -> None:
        kinds = [kind for kind in self.fault_plan[1] if kind not in PLANNED_KINDS] or list(self.fault_plan[1])
        self.later(after + self.rng.uniform(0.1, FOLLOW_UP_MS), self._inject_fault, self.rng.choice(kinds))

    def _inject_planned(self, kind: str, store: SimulatedStore) -> bool:
        """Injects a planned restart, retirement or replacement. Returns whether `kind` is one."""
        match kind:
            case "term":
                self._terminate(store)
            case "rolling":
                self._restart_in_turn()
            case "planned":
                self._replace_as_planned(store)
            case "retire":
                remaining = [
                    one
                    for one in self.stores.values()
                    if one.alive and one.name not in self.coordinator.retiring
                ]
                if len(remaining) > 3 and store in remaining:
                    self.coordinator.retiring.add(store.name)
                    self._change_roster(store.name, True)
            case _:
                return False
        return True

    def _terminate(self, store: SimulatedStore) -> None:
        if any(one.leaving and (one.alive or not one.replaced) for one in self.stores.values()):
            self.later(200.0, self._terminate, store)  # one store at a time
            return
        self._shut_down(store)

    def _shut_down(self, store: SimulatedStore) -> None:
        store.leaving = True
        self.later(GRACE_MS, self._process_exited, store.name, store.incarnation)

    def _restart_in_turn(self) -> None:
        """Restarts all stores, each as soon as the one before it takes calls, just before that one joins."""
        if not self.to_restart:
            self.to_restart = sorted(one.name for one in self.stores.values() if one.alive)
            self._restart_next()

    def _restart_next(self) -> None:
        if self.to_restart:
            store = self.stores[self.to_restart.pop(0)]
            self._shut_down(store)
            self._send_renewal(store)  # as `MemberClient` does at once

    def _replace_as_planned(self, store: SimulatedStore) -> None:
        """Starts the successor first; the old store is removed permanently once it has exited."""
        if any(one.replaced and one.alive for one in self.stores.values()):
            return
        self.disk_losses += 1
        store.replaced = True
        self.start(self._new_store(store.zone))
        if self.rng.random() < EARLY_SHARE:
            self._count_lost(self.now)
            delay_ms = self.rng.uniform(300.0, 2500.0)
        else:
            delay_ms = LOST_AFTER_RETURN_MS + self.rng.uniform(0.0, 500.0)
        self.later(delay_ms, self._terminate, store)

    def _inject_unplanned(self, kind: str, store: SimulatedStore, duration_ms: float) -> None:
        name = store.name
        match kind:
            case "kill" | "power" | "wipe":
                if kind == "power":
                    store.alive = False  # no host refuses connections: only the lease shows that it is gone
                    self.unpowered.add(name)
                else:
                    self.end(name)
                if kind == "wipe":
                    self._wipe(store)
                self.later(duration_ms, self._start_again, name)
            case "zone" | "zone_wipe":
                self._lose_zone(store.zone, duration_ms, kind == "zone_wipe")
            case "blackout":
                self._lose_all_power(store.zone, duration_ms)
            case "cut":
                pairs = {
                    frozenset((name, other)) for other in [*self.stores, "core", "edge"] if other != name
                }
                if self.rng.random() < 0.5:
                    pairs.discard(frozenset((name, "edge")))
                self.cut |= pairs
                self.later(duration_ms, self.cut.difference_update, pairs)
            case "hang":
                # Cut off, and the disk, with all bodies, responds only after the lease has expired.
                store.stalled_until = self.now + duration_ms
                for message in store.queue.state.messages.values():
                    message.body = None if message.synced else message.body
                pairs = {frozenset((name, other)) for other in [*self.stores, "core"] if other != name}
                self.cut |= pairs
                self.later(duration_ms + 200.0, self.cut.difference_update, pairs)
            case "freeze":
                store.frozen_until = self.now + duration_ms
            case "stall":
                store.stalled_until = self.now + duration_ms
            case "full":
                store.full_until = self.now + duration_ms
            case "replace":
                self.end(name)
                self.later(duration_ms, self.start, self._new_store(store.zone))
            case "gone":  # lost with its disk and not replaced
                if sum(one.alive for one in self.stores.values()) > 3:
                    self.end(name)
            case "orphan":
                self._cut_off_from_leader_and_kill(store, duration_ms)
            case "overlap":
                self._lose_a_disk_and_cut_another(store, duration_ms)
            case "split":
                self._cut_in_halves(duration_ms)
            case "kill_all":
                self._kill_all_but("")
            case "relieve":
                self._cut_off_and_kill_the_others(name, duration_ms)
            case "core":
                self.set_leader_up(False)
                self.later(duration_ms * 0.5, self.set_leader_up, True)

    def _wipe(self, store: SimulatedStore) -> None:
        store.disk, store.completeness, store.stored_zones = {}, "lost", {}

    def _lose_zone(self, zone: str, duration_ms: float, wiped: bool) -> None:
        """A whole zone loses power, and its disks too if `wiped`."""
        for store in [one for one in self.stores.values() if one.zone == zone and one.alive]:
            store.alive = False
            self.unpowered.add(store.name)
            if wiped:
                self._wipe(store)
            self.later(duration_ms, self._start_again, store.name)

    def _lose_all_power(self, zone: str, duration_ms: float) -> None:
        """All stores lose power; those of one zone stay down for longer. The leader loses its memory."""
        for store in [one for one in self.stores.values() if one.alive]:
            store.alive = False
            self.unpowered.add(store.name)
            self.later(duration_ms * (0.9 if store.zone == zone else 0.2), self._start_again, store.name)
        self._forget_leader()
        self.later(duration_ms * 0.2, self.set_leader_up, True)

    def _cut_off_and_kill_the_others(self, name: str, duration_ms: float) -> None:
        """Cuts off one store while the others go on; when the cut ends, the others are killed. They and the
        leader lose their memory, so that the isolated store, whose state is the oldest, is the only one
        running."""
        pairs = {frozenset((name, other)) for other in [*self.stores, "core"] if other != name}
        self.cut |= pairs
        self.later(duration_ms, self.cut.difference_update, pairs)
        self.later(duration_ms, self._kill_all_but, name)

    def _cut_off_from_leader_and_kill(self, store: SimulatedStore, duration_ms: float) -> None:
        """Cuts a store off from the leader alone, and kills it before it can return: meanwhile it still
        reports to the other stores."""
        pair = frozenset((store.name, "core"))
        killed_after_ms = LEASE_MS + ORPHAN_FRACTION * duration_ms
        self.cut.add(pair)
        self.later(killed_after_ms, self.end, store.name)
        self.later(killed_after_ms, self.cut.discard, pair)
        self.later(LEASE_MS + duration_ms, self._start_again, store.name)
        self._count_lost(self.now + LEASE_MS + duration_ms)

    def _lose_a_disk_and_cut_another(self, store: SimulatedStore, duration_ms: float) -> None:
        """Two stores are lost at once, one of them with its disk: service may pause, but no message may be
        lost."""
        self.end(store.name)
        self._wipe(store)
        self.later(self.rng.uniform(100.0, 1000.0), self._start_again, store.name)
        others = [one.name for one in self.stores.values() if one.alive and one is not store]
        other = self.rng.choice(sorted(others))
        pairs = {frozenset((other, one)) for one in [*self.stores, "core"] if one != other}
        if self.rng.random() < 0.5:
            pairs.add(frozenset((other, "edge")))
        after = self.rng.uniform(0.0, 600.0)
        self.later(after, self.cut.update, pairs)
        self.later(after + duration_ms, self.cut.difference_update, pairs)

    def _cut_in_halves(self, duration_ms: float) -> None:
        """Cuts half of the stores off from the others and the leader; edges still reach all stores."""
        names = sorted(self.stores)
        isolated = set(self.rng.sample(names, len(names) // 2))
        pairs = {
            frozenset((one, other)) for one in isolated for other in [*names, "core"] if other not in isolated
        }
        self.cut |= pairs
        self.later(duration_ms, self.cut.difference_update, pairs)

    def _kill_all_but(self, name: str) -> None:
        self._forget_leader()
        for store in [one for one in self.stores.values() if one.alive and one.name != name]:
            self.end(store.name)
            self.later(self.rng.uniform(50.0, 400.0), self._start_again, store.name)
        self.later(self.rng.uniform(100.0, 700.0), self.set_leader_up, True)

    def _forget_leader(self) -> None:
        self.set_leader_up(False)
        self.coordinator.view, self.coordinator._zones = View(), {}

    def _new_store(self, zone: str) -> str:
        """Adds a machine with a new address and an empty disk, still to be started."""
        name = f"r{len(self.stores)}"
        self.stores[name] = SimulatedStore(name, zone)
        return name

    def _process_exited(self, name: str, incarnation: str) -> None:
        """The process has exited, or was killed at the end of its grace period."""
        if self._is_running(name, incarnation):
            self.end(name)
            if not self.stores[name].replaced:
                after_ms = self.restart_rng.uniform(*self.restart_ms)
                self.later(after_ms, self._start_again, name)
                self.later(after_ms - self._time_before_join_ms(), self._restart_next)
            elif self.rng.random() < FOLLOW_UP_REPLACED_SHARE:  # the successor counts, so this is no loss
                self._schedule_follow_up(0.0)

    def _time_before_join_ms(self) -> float:
        return self.rng.uniform(0.0, TAKES_CALLS_BEFORE_JOIN_MS) if self.to_restart else 0.0

    def _start_again(self, name: str) -> None:
        store = self.stores[name]
        if not store.alive:
            self.start(name)
