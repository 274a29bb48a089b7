"""Decides on which stores replicas are placed, and whether the replicas of a message are enough. No I/O.

What is enough follows from the losses that the deployment tolerates (`durability`) and from the view.
Replicas on a retiring store do not count. Nor do those on a leaving store, which may not return, if the other
stores suffice.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

from sableford.control.view import View
from sableford.store.durability import Tolerated, Topology, is_durable, is_loss_tolerated
from sableford.store.messages import Message
from sableford.store.queue_state import QueueState


class ReplicaPlacement:
    """Places replicas. `region_of` maps each zone to its region."""

    def __init__(self, state: QueueState, tolerated: Tolerated, region_of: Mapping[str, str]) -> None:
        self._state, self.tolerated, self._region_of = state, tolerated, region_of
        self._computed_for: View | None = None
        self._topology, self._limits = Topology({}), tolerated
        self._others_suffice = False  # whether a record can be durable without the leaving stores
        self._counted: set[str] = set()
        self._preferences: dict[tuple[int, bool], list[str]] = {}  # by shard and `near`
        self._preferences_for: tuple[object, set[str]] = (None, set())

    def _update(self) -> None:
        """Recomputes what depends on the view, once for each view."""
        view = self._state.view
        if self._computed_for is view:
            return
        self._computed_for = view
        self._state.zone_of |= view.zones | {name: store.zone for name, store in view.live_stores.items()}
        self._topology = Topology(self._state.zone_of, self._region_of)
        self._limits = self._topology.limit(self.tolerated, {*view.roster, *view.live_stores})
        stores = view.live_stores.items()
        staying = {name for name, store in stores if not store.retiring and not store.leaving}
        self._others_suffice = is_durable(staying, self._topology, self._limits)
        self._counted = {
            name
            for name, store in stores
            if not store.retiring
            and not (store.leaving and (self._others_suffice or name in view.dispensable))
        }

    def counted_stores(self) -> set[str]:
        """Returns the live stores whose replicas count."""
        self._update()
        return self._counted

    def counts(self, store: str) -> bool:
        """Whether replicas on a store count. This store also counts before any view contains it."""
        if store in self.counted_stores():
            return True
        return store == self._state.me and store not in self._state.view.live_stores

    def counts_on_leaving(self) -> bool:
        """Whether durability may depend on replicas on leaving stores, since too few others stay."""
        self._update()
        stores = self._state.view.live_stores.values()
        return any(store.leaving and not store.retiring for store in stores) and not self._others_suffice

    def is_enough(self, holders: Collection[str]) -> bool:
        """Whether replicas on exactly these stores are durable, without regard to which of them count."""
        self._update()
        return is_durable(holders, self._topology, self._limits)

    def is_durable(self, holders: Iterable[str]) -> bool:
        """Whether replicas on these stores are durable, of which only those that count are considered."""
        return self.is_enough([name for name in holders if self.counts(name)])

    def is_safe(self, message: Message) -> bool:
        """Whether a replica remains after any tolerated loss.

        Called for each message of a backlog twice a second, so it must be cheap.
        """
        replicas = len(message.holders & self.counted_stores())
        replicas += message.synced and self.counts(self._state.me)
        if replicas <= self._limits.machines:
            return False
        if not (self._limits.zones or self._limits.regions):
            return True
        return self.is_durable(message.holders | {self._state.me} if message.synced else message.holders)

    def can_open(self, answered: Iterable[str]) -> bool:
        """Whether no accepted message can be only on stores of the roster outside `answered`."""
        self._update()
        view = self._state.view
        missing = {*view.roster}.difference(answered, view.dispensable)
        return is_loss_tolerated(missing, self._topology, self._limits)

    def is_isolated(self) -> bool:
        """Whether too few other stores respond to make a message durable, so that none can be accepted."""
        state = self._state
        return not self.is_durable({state.me, *state.other_stores()} - state.unresponsive)

    # Choosing stores for replicas

    def additional_holders(
        self, shard: int, holders: Iterable[str], may_hold: Callable[[str], bool]
    ) -> list[str]:
        """Returns the stores to add to `holders` until replicas are durable, as far as there are any."""
        chosen, additional = set(holders), []
        while not self.is_enough(chosen):
            name = self._next_holder(shard, chosen, may_hold)
            if not name:
                break
            additional.append(name)
            chosen.add(name)
        return additional

    def _next_holder(self, shard: int, chosen: set[str], may_hold: Callable[[str], bool]) -> str:
        topology, limits = self._topology, self._limits
        zones = {topology.zone(name) for name in chosen}
        regions = {topology.region(name) for name in chosen}
        needs_zone, needs_region = len(zones) <= limits.zones, len(regions) <= limits.regions
        # One replica goes to another zone. Others may stay in the own zone: traffic between zones costs.
        is_elsewhere = any(zone != self._own_zone() for zone in zones)
        near = is_elsewhere and not (needs_zone or needs_region)
        for name in self._preferred(shard, near):
            if name in chosen or name not in self.counted_stores() or not may_hold(name):
                continue
            if needs_zone and limits.zones and topology.zone(name) in zones:
                continue
            if needs_region and limits.regions and topology.region(name) in regions:
                continue
            return name
        return ""

    def _own_zone(self) -> str:
        info = self._state.view.live_stores.get(self._state.me)
        return info.zone if info is not None else ""

    def _preferred(self, shard: int, near: bool) -> list[str]:
        """Returns the other stores in order of preference: responsive ones first, then by zone.

        Stores in other zones precede those in the own zone or, with `near`, follow them.
        """
        state = self._state
        if self._preferences_for != (state.view.number, state.unresponsive):
            self._preferences_for = (state.view.number, set(state.unresponsive))
            self._preferences = {}
        if (shard, near) in self._preferences:
            return self._preferences[shard, near]
        names, stores, zone = sorted(state.other_stores()), state.view.live_stores, self._own_zone()
        start = shard % max(1, len(names))
        preferred = self._preferences[shard, near] = sorted(
            names[start:] + names[:start],
            key=lambda name: (
                stores[name].retiring,
                name in state.unresponsive,
                stores[name].leaving,
                stores[name].full,
                not stores[name].complete,
                (stores[name].zone == zone) != near,
            ),
        )
        return preferred
