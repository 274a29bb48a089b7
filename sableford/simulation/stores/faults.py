"""Trouble: what is done to machines and lines, and when the next may come.

A machine counts as lost while it is down, frozen or cut off, and for SYNC_MS after its return or after its
successor's start. One at a time is borne: another fault comes only once the last counts no more, and then
often at once. What is planned is no loss.
"""

from sableford.control.view import View
from sableford.simulation.stores.model import GRACE_MS, SYNC_MS, SimulatedStore
from sableford.simulation.stores.network import Network

PURSUIT = 0.5  # of the faults are followed by another within PURSUIT_MS of the moment they count no more
PURSUIT_MS = 60.0
PURSUIT_REPLACED = 0.9  # of the stores that were replaced: another is lost as they go
EARLY = 0.3  # of the planned replacements begin before their successor counts as whole
PLANNED = ("term", "planned", "retire")
DESTROYED = ("wipe", "replace", "gone", "planned", "zone_wipe", "overlap")


class Faults(Network):
    def _fault(self, kind: str) -> None:
        if self.lost_until > self.now:
            return
        alive = sorted(one.name for one in self.stores.values() if one.alive)
        if not alive:
            return
        name = self.draw.choice(alive)
        store, down = self.stores[name], self.draw.uniform(300.0, 3000.0)
        if store.leaving:
            return  # a machine that is being taken away is let go
        if self._planned(kind, store):
            return
        self.destroyed += kind in DESTROYED
        self.trouble.append((self.now, self.now + down))
        self._count_lost(self.now + down)
        self._unplanned(kind, store, down)

    def _count_lost(self, back_at: float) -> None:
        """The machine counts as lost until SYNC_MS after that; another may be lost right then."""
        self.lost_until = max(self.lost_until, back_at + SYNC_MS)
        if self.draw.random() < PURSUIT and self.lost_until < self.seconds:
            after = self.lost_until - self.now
            self._pursue(after)

    def _pursue(self, after: float) -> None:
        kinds = [kind for kind in self.plan[1] if kind not in PLANNED] or list(self.plan[1])
        self.later(after + self.draw.uniform(0.1, PURSUIT_MS), self._fault, self.draw.choice(kinds))

    def _planned(self, kind: str, store: SimulatedStore) -> bool:
        """Restarts, retirements and replacements in order."""
        match kind:
            case "term":
                self._terminate(store)
            case "planned":
                self._replace_in_order(store)
            case "retire":
                left = [
                    one
                    for one in self.stores.values()
                    if one.alive and one.name not in self.coordinator.retiring
                ]
                if len(left) > 3 and store in left:
                    self.coordinator.retiring.add(store.name)
                    self._enrol(store.name, True)
            case _:
                return False
        return True

    def _terminate(self, store: SimulatedStore) -> None:
        if any(one.leaving and (one.alive or not one.replaced) for one in self.stores.values()):
            self.later(200.0, self._terminate, store)  # in turn
            return
        store.leaving = True
        self.later(GRACE_MS, self._killed, store.name, store.incarnation)

    def _replace_in_order(self, store: SimulatedStore) -> None:
        """The successor comes first; once the old one has ended it is gone for good."""
        if any(one.replaced and one.alive for one in self.stores.values()):
            return
        self.destroyed += 1
        store.replaced = True
        self.start(self._new_store(store.zone))
        if self.draw.random() < EARLY:
            self._count_lost(self.now)
            wait = self.draw.uniform(300.0, 2500.0)
        else:
            wait = SYNC_MS + self.draw.uniform(0.0, 500.0)
        self.later(wait, self._terminate, store)

    def _unplanned(self, kind: str, store: SimulatedStore, down: float) -> None:
        name = store.name
        match kind:
            case "kill" | "power" | "wipe":
                if kind == "power":
                    store.alive = False  # nobody refuses: leases alone tell
                    self.dark.add(name)
                else:
                    self.end(name)
                if kind == "wipe":
                    self._wipe(store)
                self.later(down, self._start_again, name)
            case "zone" | "zone_wipe":
                self._lose_zone(store.zone, down, kind == "zone_wipe")
            case "blackout":
                self._lose_all_power(store.zone, down)
            case "cut":
                pairs = {
                    frozenset((name, other)) for other in [*self.stores, "core", "edge"] if other != name
                }
                if self.draw.random() < 0.5:
                    pairs.discard(frozenset((name, "edge")))
                self.cut |= pairs
                self.later(down, self.cut.difference_update, pairs)
            case "hang":  # it is cut off, and its disk, with all bytes, answers only after its lease is over
                store.stalled = self.now + down
                for message in store.queue.state.messages.values():
                    message.body = None if message.synced else message.body
                alone = {frozenset((name, other)) for other in [*self.stores, "core"] if other != name}
                self.cut |= alone
                self.later(down + 200.0, self.cut.difference_update, alone)
            case "freeze":
                store.frozen = self.now + down
            case "stall":
                store.stalled = self.now + down
            case "full":
                store.full = self.now + down
            case "replace":
                self.end(name)
                self.later(down, self.start, self._new_store(store.zone))
            case "gone":  # with its disk, and nobody comes in its place
                if sum(one.alive for one in self.stores.values()) > 3:
                    self.end(name)
            case "overlap":
                self._lose_a_disk_and_cut_another(store, down)
            case "split":
                self._cut_in_halves(down)
            case "kill_all":
                self._kill_all_but("")
            case "relieve":
                self._cut_off_and_kill_the_others(name, down)
            case "core":
                self.core(False)
                self.later(down * 0.5, self.core, True)

    def _wipe(self, store: SimulatedStore) -> None:
        store.kept, store.mark, store.kept_zones = {}, "lost", {}

    def _lose_zone(self, zone: str, down: float, wiped: bool) -> None:
        """A whole zone loses power, with its disks or without."""
        for store in [one for one in self.stores.values() if one.zone == zone and one.alive]:
            store.alive = False
            self.dark.add(store.name)
            if wiped:
                self._wipe(store)
            self.later(down, self._start_again, store.name)

    def _lose_all_power(self, zone: str, down: float) -> None:
        """All lose power; those of one zone stay away for longer. No leader's memory outlives it."""
        for store in [one for one in self.stores.values() if one.alive]:
            store.alive = False
            self.dark.add(store.name)
            self.later(down * (0.9 if store.zone == zone else 0.2), self._start_again, store.name)
        self._forget_leader()
        self.later(down * 0.2, self.core, True)

    def _cut_off_and_kill_the_others(self, name: str, down: float) -> None:
        """A store hears no other while these go on without it; as it hears them again they are killed. Their
        memory goes, the leader's too: what the store that was away knows is the oldest of all."""
        pairs = {frozenset((name, other)) for other in [*self.stores, "core"] if other != name}
        self.cut |= pairs
        self.later(down, self.cut.difference_update, pairs)
        self.later(down, self._kill_all_but, name)

    def _lose_a_disk_and_cut_another(self, store: SimulatedStore, down: float) -> None:
        """Two are lost at once, of which one with its disk: service may rest, nothing may be lost."""
        self.end(store.name)
        self._wipe(store)
        self.later(self.draw.uniform(100.0, 1000.0), self._start_again, store.name)
        others = [one.name for one in self.stores.values() if one.alive and one is not store]
        other = self.draw.choice(sorted(others))
        pairs = {frozenset((other, one)) for one in [*self.stores, "core"] if one != other}
        if self.draw.random() < 0.5:
            pairs.add(frozenset((other, "edge")))
        after = self.draw.uniform(0.0, 600.0)
        self.later(after, self.cut.update, pairs)
        self.later(after + down, self.cut.difference_update, pairs)

    def _cut_in_halves(self, down: float) -> None:
        """Half of the stores hear nothing of the others, nor of the leader; edges reach all of them."""
        names = sorted(self.stores)
        away = set(self.draw.sample(names, len(names) // 2))
        pairs = {frozenset((one, other)) for one in away for other in [*names, "core"] if other not in away}
        self.cut |= pairs
        self.later(down, self.cut.difference_update, pairs)

    def _kill_all_but(self, name: str) -> None:
        self._forget_leader()
        for store in [one for one in self.stores.values() if one.alive and one.name != name]:
            self.end(store.name)
            self.later(self.draw.uniform(50.0, 400.0), self._start_again, store.name)
        self.later(self.draw.uniform(100.0, 700.0), self.core, True)

    def _forget_leader(self) -> None:
        self.core(False)
        self.coordinator.view, self.coordinator._zones = View(), {}

    def _new_store(self, zone: str) -> str:
        """A machine that is to be started, at an address of its own, with an empty disk."""
        name = f"r{len(self.stores)}"
        self.stores[name] = SimulatedStore(name, zone)
        return name

    def _killed(self, name: str, incarnation: str) -> None:
        """It has ended by itself, or its grace is over."""
        if self._up(name, incarnation):
            self.end(name)
            if not self.stores[name].replaced:
                self.later(800.0, self._start_again, name)
            elif self.draw.random() < PURSUIT_REPLACED:  # no loss, once its successor counts
                self._pursue(0.0)

    def _start_again(self, name: str) -> None:
        store = self.stores[name]
        if not store.alive:
            self.start(name)
