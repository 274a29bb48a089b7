"""A view: the live stores and the owner of each shard, under a number that only rises.

Messages are partitioned by key: a message belongs to the shard of its key. A shard has one owner at a time.
Between two owners comes a view in which it is unowned; the old owner must have acknowledged that view, or
its lease must have expired.
"""

import re
from hashlib import sha1, sha256
from zlib import crc32

import msgspec

SHARDS = 60  # divides evenly among 3, 4, 5 or 6 stores; 19 stores own at least three each

ViewNumber = tuple[int, int]  # term of the leader, count within it
NO_VIEW: ViewNumber = (0, 0)  # before all others


class StoreInfo(msgspec.Struct):
    """A live store. `complete`: its disk holds everything that it ever acknowledged."""

    incarnation: str = msgspec.field(name="birth")
    zone: str
    node: str = ""
    control: str = ""
    leaving: bool = False
    complete: bool = msgspec.field(name="whole", default=True)
    empty: bool = False  # its data folder was empty when it started
    retiring: bool = False  # being emptied: its replicas no longer count
    full: bool = False  # its disk accepts no more writes; the replicas on it count


class View(msgspec.Struct):
    number: ViewNumber = NO_VIEW
    owners: list[str] = msgspec.field(default_factory=lambda: [""] * SHARDS)
    incarnations: list[str] = msgspec.field(
        name="births", default_factory=lambda: [""] * SHARDS
    )  # of the owners
    epochs: list[ViewNumber] = msgspec.field(
        default_factory=lambda: [(0, 0)] * SHARDS
    )  # the view in which the owner got the shard
    live_stores: dict[str, StoreInfo] = msgspec.field(
        default_factory=dict, name="huts"
    )  # wire name of version 0.3
    roster: list[str] = []  # every store that may hold messages, live or not
    zones: dict[str, str] = {}  # the zone of each store of the roster, where the leader knows it
    dispensable: list[str] = msgspec.field(
        name="spared", default_factory=list
    )  # stores of the roster whose replicas are not needed until they are back

    def shards_owned_by(self, name: str, incarnation: str) -> list[int]:
        return [
            at
            for at, owner in enumerate(self.owners)
            if owner == name and self.incarnations[at] == incarnation
        ]

    def newest_epochs(self) -> dict[str, ViewNumber]:
        """For each owner the epoch of the shard that it got last."""
        newest: dict[str, ViewNumber] = {}
        for owner, epoch in zip(self.owners, self.epochs, strict=True):
            newest[owner] = max(epoch, newest.get(owner, NO_VIEW))
        return newest


TENANT_PREFIX = "t."  # follows the shard in the reference of a tenant's message
TAG_CHARACTERS = 12  # of the digest of a tenant's name that make its tag
MAX_REF_CHARACTERS = 64  # PROTOCOL.md, "Messages"
_READABLE_ID = re.compile(r"[A-Za-z0-9._-]+")


def order_key(tenant: str, key: str) -> str:
    """The key by which messages are ordered: that of the message, per tenant; empty if it has none."""
    return f"{tenant}\0{key}" if tenant and key else key


def shard_of(key: str) -> int:
    """The shard of messages with that `order_key`.

    >>> 0 <= shard_of("pump-4") < SHARDS
    True
    """
    return crc32(key.encode()) % SHARDS


def make_ref(shard: int, name: str) -> str:
    """A message's reference, which begins with its shard, so that any process can find its owner.

    >>> make_ref(7, "9c41"), shard_of_ref("07-9c41"), shard_of_ref("x"), shard_of_ref("²²-x")
    ('07-9c41', 7, None, None)
    """
    return f"{shard:02d}-{name}"


def message_ref(shard: int, tenant: str, id: str) -> str:
    """A message's reference, derived from its client's id. Ids of different tenants never collide.

    >>> message_ref(7, "", "9c41"), message_ref(7, "acme", "9c41")
    ('07-9c41', '07-t.822b33ad87c1.9c41')
    >>> message_ref(7, "", "t.x"), len(message_ref(7, "acme", "x" * 80))
    ('07-b54f72ca7e2c041b0e7e8738078cc7d64ac09635', 58)
    """
    prefix = f"{TENANT_PREFIX}{tenant_tag(tenant)}." if tenant else ""
    ref = make_ref(shard, prefix + id)
    is_plain = _READABLE_ID.fullmatch(id) is not None and len(ref) <= MAX_REF_CHARACTERS
    is_ambiguous = not tenant and id.startswith(TENANT_PREFIX)
    if is_plain and not is_ambiguous:
        return ref
    return make_ref(shard, prefix + sha1(id.encode()).hexdigest())


def tenant_tag(tenant: str) -> str:
    """The tag that stands for a tenant's name in references."""
    return sha256(tenant.encode()).hexdigest()[:TAG_CHARACTERS]


def tenant_tag_of_ref(ref: str) -> str:
    """The tag of the tenant that the message belongs to; empty if it belongs to none.

    >>> tenant_tag_of_ref(message_ref(7, "acme", "9c41")) == tenant_tag("acme"), tenant_tag_of_ref("07-9c41")
    (True, '')
    """
    _, _, name = ref.partition("-")
    if not name.startswith(TENANT_PREFIX):
        return ""
    tag, dot, _ = name.removeprefix(TENANT_PREFIX).partition(".")
    return tag if dot else ""


def shard_of_ref(ref: str) -> int | None:
    """The shard in a message's reference; None if the text is not a reference."""
    head, dash, _ = ref.partition("-")
    digits = len(head) == 2 and head.isascii() and head.isdigit()
    return int(head) if dash and digits and int(head) < SHARDS else None


def balanced_owners(owners: list[str], live_stores: list[str]) -> list[str]:
    """The target owner of each shard: evenly distributed among `live_stores`, with the fewest moves.

    >>> balanced_owners(["a", "a", "a", "b"], ["a", "b"]), balanced_owners(["a"], [])
    (['a', 'a', 'b', 'b'], [''])
    >>> balanced_owners(["a", "x", "", "b"], ["a", "b"])
    ['a', 'a', 'b', 'b']
    """
    if not live_stores:
        return [""] * len(owners)
    owned: dict[str, list[int]] = {name: [] for name in live_stores}
    free: list[int] = []
    for shard, owner in enumerate(owners):
        owned.get(owner, free).append(shard)
    base, remainder = divmod(len(owners), len(live_stores))
    # The stores that own most get one of the remainder each, so that no shard moves because of it.
    ranked = sorted(live_stores, key=lambda name: (-len(owned[name]), name))
    quota = {name: base + (rank < remainder) for rank, name in enumerate(ranked)}
    for name in ranked:
        free += owned[name][quota[name] :]
        del owned[name][quota[name] :]
    free.sort()
    for name in ranked:
        while len(owned[name]) < quota[name]:
            owned[name].append(free.pop(0))
    target = [""] * len(owners)
    for name, shards in owned.items():
        for shard in shards:
            target[shard] = name
    return target
