"""The roster: the stores whose replicas count, those being emptied, and those that have been retired. No I/O.

It is one value in the record, changed by compare-and-set. Each change is a function of the roster, so that it
can be applied again to the roster in force whenever another change came first.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec


class Roster(msgspec.Struct, frozen=True):
    """`stores` are internal host addresses; `retiring` and `retired` map a node's name to its host."""

    stores: tuple[str, ...] = ()
    retiring: dict[str, str] = {}
    retired: dict[str, str] = {}

    def dump(self) -> bytes:
        """The value in the record, as every version since 0.3 writes and reads it."""
        return msgspec.json.encode(self)

    @classmethod
    def load(cls, text: bytes) -> "Roster":
        return msgspec.json.decode(text, type=cls)

    def with_stores(self, names: Iterable[str]) -> "Roster":
        """The roster with these stores added.

        >>> Roster(("b",)).with_stores(["a", "b"]).stores
        ('a', 'b')
        """
        return msgspec.structs.replace(self, stores=tuple(sorted({*self.stores, *names})))

    def without(self, name: str) -> "Roster":
        """The roster with a store removed; if its node was being emptied, it is retired now.

        >>> Roster(("a", "b"), {"node-a": "a"}).without("a")
        Roster(stores=('b',), retiring={}, retired={'node-a': 'a'})
        """
        emptied = {node: host for node, host in self.retiring.items() if host == name}
        return Roster(
            tuple(store for store in self.stores if store != name),
            {node: host for node, host in self.retiring.items() if host != name},
            self.retired | emptied,
        )

    def with_retiring(self, node: str, host: str) -> "Roster":
        """The roster with a node being emptied. A retired node of the same name was another machine."""
        earlier = {name: at for name, at in self.retired.items() if name != node}
        return Roster(self.stores, self.retiring | {node: host}, earlier)


class Outcome(Enum):
    """The result of a change of the roster."""

    IN_FORCE = "committed, or there was nothing to change"
    UNCLEAR = "proposed, and not known whether it is committed"
    NOT_LEADING = "not proposed: another process is the leader"
