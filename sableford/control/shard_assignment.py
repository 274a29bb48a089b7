"""Decides which store owns each shard in the next view. No I/O.

Before a shard changes owners, a view leaves it unowned. It is assigned to the next owner once no store can
act on it any more: the old owner has acknowledged that view, or is gone.
"""

from typing import NamedTuple

from sableford.control.members import Member
from sableford.control.view import SHARDS, View, ViewNumber


class Release(NamedTuple):
    """The store that must acknowledge an update before a shard may be assigned again; all stores if `store`
    is empty."""

    store: str
    update_number: int


class ShardAssignment(NamedTuple):
    """The owners of all shards, their incarnations and epochs. `changed`: they differ from the last view."""

    owners: list[str]
    incarnations: list[str]
    epochs: list[ViewNumber]
    changed: bool


class ShardAssigner:
    """Tracks which releases are awaited."""

    def __init__(self) -> None:
        self._awaited: dict[int, Release] = {}  # by shard

    def begin(self, view: View | None, next_update: int) -> None:
        """A new leader begins with this view. The old owner of a shard that was being moved may not know yet:
        all stores must have applied the view before the shard is assigned."""
        owners = view.owners if view is not None else []
        self._awaited = {shard: Release("", next_update) for shard, owner in enumerate(owners) if not owner}

    def assign(
        self,
        view: View,
        term: int,
        number: ViewNumber,
        targets: list[str],
        stores: dict[str, Member],
        next_update: int,
    ) -> ShardAssignment:
        """The assignment in view `number`, one step towards `targets`. `stores`: all stores that are members,
        including one that was removed from the roster just as it came back and may still act on a shard."""
        owners, incarnations, epochs = list(view.owners), list(view.incarnations), list(view.epochs)
        changed = view.number[0] != term
        for shard in range(SHARDS):
            owner, target = owners[shard], targets[shard]
            if owner:
                is_live = owner in stores and stores[owner].incarnation == incarnations[shard]
                if is_live and owner == target:
                    continue
                owners[shard] = incarnations[shard] = ""
                changed = True
                if is_live:
                    self._awaited[shard] = Release(owner, next_update)
                    continue
            if not target or self._is_held(shard, stores):
                continue
            self._awaited.pop(shard, None)
            owners[shard], incarnations[shard] = target, stores[target].incarnation
            epochs[shard] = number
            changed = True
        return ShardAssignment(owners, incarnations, epochs, changed)

    def _is_held(self, shard: int, stores: dict[str, Member]) -> bool:
        """Whether a store may still act on a shard that the last view leaves unowned."""
        release = self._awaited.get(shard)
        if release is None:
            return False
        if release.store:
            store = stores.get(release.store)
            return store is not None and store.acknowledged < release.update_number
        return any(store.acknowledged < release.update_number for store in stores.values())
