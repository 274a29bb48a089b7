"""Decides how many copies are enough, and which losses leave at least one. Pure functions; no I/O.

The setting `tolerates` names what may be lost at the same time: a number of machines, of whole zones, or of
whole regions. A record is durable if no tolerated loss includes all of its copies. Together this means: if
every accepted record is durable and the missing stores are a tolerated loss, then at least one copy of each
record is on a store that is not missing.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple


class Tolerated(NamedTuple):
    """The setting `tolerates`: how many machines, or zones, or regions may be lost at once."""

    machines: int
    zones: int = 0
    regions: int = 0


class Topology(NamedTuple):
    """The zone of each store on the roster, where known, and the region of each zone."""

    zones: Mapping[str, str]
    regions: Mapping[str, str] = {}

    def zone(self, store: str) -> str:
        """Returns the zone of a store. A store of unknown zone counts as a zone of its own."""
        return self.zones.get(store) or f"?{store}"

    def region(self, store: str) -> str:
        """Returns the region of a store. A zone of unknown region counts as a region of its own."""
        zone = self.zone(store)
        return self.regions.get(zone) or f"?{zone}"

    def limit(self, tolerated: Tolerated, roster: Collection[str]) -> Tolerated:
        """Limits `tolerated` to what can be survived: the only zone or region cannot be lost."""
        zones = {self.zones[store] for store in roster if self.zones.get(store)}
        regions = {self.regions[zone] for zone in zones if self.regions.get(zone)}
        return Tolerated(
            tolerated.machines,
            min(tolerated.zones, max(0, len(zones) - 1)),
            min(tolerated.regions, max(0, len(regions) - 1)),
        )


def is_durable(holders: Collection[str], topology: Topology, limits: Tolerated) -> bool:
    """Whether any loss within `limits` leaves at least one of these copies.

    >>> places = Topology({"a": "z1", "b": "z1", "c": "z2"})
    >>> is_durable("ab", places, Tolerated(1)), is_durable("ab", places, Tolerated(1, 1))
    (True, False)
    """
    if len(holders) <= limits.machines:
        return False
    if limits.zones and len({topology.zone(store) for store in holders}) <= limits.zones:
        return False
    return not limits.regions or len({topology.region(store) for store in holders}) > limits.regions


def is_loss_tolerated(missing: Collection[str], topology: Topology, limits: Tolerated) -> bool:
    """Whether these missing stores are within `limits`: each durable record has a copy on another store.

    >>> places = Topology({"a": "z1", "b": "z1", "c": "z2"})
    >>> is_loss_tolerated("ab", places, Tolerated(1)), is_loss_tolerated("ab", places, Tolerated(1, 1))
    (False, True)
    """
    if len(missing) <= limits.machines:
        return True
    if len({topology.zone(store) for store in missing}) <= limits.zones:
        return True
    return len({topology.region(store) for store in missing}) <= limits.regions
