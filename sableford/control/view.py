"""A view: who the members are and whose each shard is, under one number that only rises.

Duties are cut by key: a message's shard is its key's. A shard has one owner at a time; it changes hands by
way of a view in which it is nobody's, which the old owner has acknowledged or outlived its lease under.
"""

import re
from hashlib import sha1, sha256
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


TENANT_MARK = "t."  # begins the rest of a reference behind its shard, where the message is a tenant's
TAG_CHARACTERS = 12  # of the digest of a tenant's name
MAX_REF_CHARACTERS = 64  # PROTOCOL.md, "Messages"
_READABLE_ID = re.compile(r"[A-Za-z0-9._-]+")


def order_key(tenant: str, key: str) -> str:
    """By what messages are kept in order: their key, among those of their tenant; empty where no order is
    wanted."""
    return f"{tenant}\0{key}" if tenant and key else key


def shard_of(key: str) -> int:
    """Whose shard messages of one `order_key` are.

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


def message_ref(shard: int, tenant: str, id: str) -> str:
    """A message's name from its client's id. Ids of different tenants never come to the same name.

    >>> message_ref(7, "", "9c41"), message_ref(7, "acme", "9c41")
    ('07-9c41', '07-t.822b33ad87c1.9c41')
    >>> message_ref(7, "", "t.x"), len(message_ref(7, "acme", "x" * 80))
    ('07-b54f72ca7e2c041b0e7e8738078cc7d64ac09635', 58)
    """
    mark = f"{TENANT_MARK}{tenant_tag(tenant)}." if tenant else ""
    ref = ref_of(shard, mark + id)
    is_plain = _READABLE_ID.fullmatch(id) is not None and len(ref) <= MAX_REF_CHARACTERS
    is_ambiguous = not tenant and id.startswith(TENANT_MARK)
    if is_plain and not is_ambiguous:
        return ref
    return ref_of(shard, mark + sha1(id.encode()).hexdigest())


def tenant_tag(tenant: str) -> str:
    """What stands in references for a tenant's name."""
    return sha256(tenant.encode()).hexdigest()[:TAG_CHARACTERS]


def tag_in(ref: str) -> str:
    """The tag of the tenant whose message it is; empty where it is nobody's.

    >>> tag_in(message_ref(7, "acme", "9c41")) == tenant_tag("acme"), tag_in("07-9c41")
    (True, '')
    """
    _, _, name = ref.partition("-")
    if not name.startswith(TENANT_MARK):
        return ""
    tag, dot, _ = name.removeprefix(TENANT_MARK).partition(".")
    return tag if dot else ""


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
