"""A view: who the members are and whose each shard is, under one number that only rises.

Duties are cut by key: a message's shard is its key's. A shard has one owner at a time; it changes hands by
way of a view in which it is nobody's, which the old owner has acknowledged or outlived its lease under.
"""

from zlib import crc32

import msgspec

SHARDS = 60  # parts that duties are cut into: divides evenly among 3, 4, 5 or 6 stores, three each among 19

Number = tuple[int, int]  # term of the leader, count within it
NO_VIEW: Number = (0, 0)  # before all others


class StoreInfo(msgspec.Struct):
    """A live store. `complete`: its disk holds all that it ever said to hold."""

    incarnation: str = msgspec.field(name="birth")
    zone: str
    node: str = ""
    control: str = ""
    leaving: bool = False
    complete: bool = msgspec.field(name="whole", default=True)
    empty: bool = False  # its folder held nothing when it started
    retiring: bool = False  # what it holds counts no more
    full: bool = False  # its disk takes nothing more; what it holds counts


class View(msgspec.Struct):
    number: Number = NO_VIEW
    owners: list[str] = msgspec.field(default_factory=lambda: [""] * SHARDS)
    incarnations: list[str] = msgspec.field(
        name="births", default_factory=lambda: [""] * SHARDS
    )  # of the owners
    epochs: list[Number] = msgspec.field(default_factory=lambda: [(0, 0)] * SHARDS)  # since when it is its
    live_stores: dict[str, StoreInfo] = msgspec.field(
        default_factory=dict, name="huts"
    )  # wire name of version 0.3
    roster: list[str] = []  # every store that may hold messages, live or not
    zones: dict[str, str] = {}  # the zone of each store of the roster, where the leader knows it
    spared: list[str] = []  # of the roster: those on whose disks nothing is needed, till they are back

    def owned(self, name: str, incarnation: str) -> list[int]:
        return [
            at
            for at, owner in enumerate(self.owners)
            if owner == name and self.incarnations[at] == incarnation
        ]

    def newest_epochs(self) -> dict[str, Number]:
        """Since when each owner has had the last of its shards."""
        newest: dict[str, Number] = {}
        for owner, epoch in zip(self.owners, self.epochs, strict=True):
            newest[owner] = max(epoch, newest.get(owner, NO_VIEW))
        return newest


def shard_of(key: str) -> int:
    """
    >>> 0 <= shard_of("pump-4") < SHARDS
    True
    """
    return crc32(key.encode()) % SHARDS


def ref_of(shard: int, name: str) -> str:
    """A message's name in the system: whoever is asked for it knows at once whom to ask.

    >>> ref_of(7, "9c41"), shard_in("07-9c41"), shard_in("x"), shard_in("²²-x")
    ('07-9c41', 7, None, None)
    """
    return f"{shard:02d}-{name}"


def shard_in(ref: str) -> int | None:
    head, dash, _ = ref.partition("-")
    digits = len(head) == 2 and head.isascii() and head.isdigit()
    return int(head) if dash and digits and int(head) < SHARDS else None


def shares(owners: list[str], live_stores: list[str]) -> list[str]:
    """Whose each shard should be: as now where that may stay, evenly, with the fewest moves.

    >>> shares(["a", "a", "a", "b"], ["a", "b"]), shares(["a", "x", "", "b"], ["a", "b"]), shares(["a"], [])
    (['a', 'a', 'b', 'b'], ['a', 'a', 'b', 'b'], [''])
    """
    if not live_stores:
        return [""] * len(owners)
    has: dict[str, list[int]] = {name: [] for name in live_stores}
    free: list[int] = []
    for at, owner in enumerate(owners):
        has.get(owner, free).append(at)
    least, more = divmod(len(owners), len(live_stores))
    # Who has most keeps the larger parts, so that nothing moves for the remainder's sake.
    ranked = sorted(live_stores, key=lambda name: (-len(has[name]), name))
    most = {name: least + (place < more) for place, name in enumerate(ranked)}
    for name in ranked:
        free += has[name][most[name] :]
        del has[name][most[name] :]
    free.sort()
    for name in ranked:
        while len(has[name]) < most[name]:
            has[name].append(free.pop(0))
    target = [""] * len(owners)
    for name, owned in has.items():
        for at in owned:
            target[at] = name
    return target
