"""Tracks which stores have each final state of the owned shards on disk."""

from collections.abc import Iterable, Iterator


class FinalStateHolders:
    """Maps refs to sets of stores. Equal sets share one object, since there are few sets and many refs."""

    def __init__(self) -> None:
        self._holders: dict[str, frozenset[str]] = {}
        self._shared_sets: dict[frozenset[str], frozenset[str]] = {}

    def __contains__(self, ref: str) -> bool:
        return ref in self._holders

    def __iter__(self) -> Iterator[str]:
        return iter(self._holders)

    def of(self, ref: str) -> frozenset[str]:
        """Returns the stores that have the final state."""
        return self._holders[ref]

    def put(self, ref: str, holders: frozenset[str]) -> None:
        """Records that exactly these stores have the final state."""
        self._holders[ref] = self._shared_sets.setdefault(holders, holders)

    def add(self, ref: str, store: str) -> None:
        """Records one more store, if the final state is tracked, that is, of an owned shard."""
        if ref in self._holders and store not in self._holders[ref]:
            self.put(ref, self._holders[ref] | {store})

    def remove(self, ref: str, store: str) -> None:
        """Records that a store does not have the final state."""
        if store in self._holders.get(ref, ()):
            self.put(ref, self._holders[ref] - {store})

    def drop(self, refs: Iterable[str]) -> None:
        """Stops tracking these final states."""
        for ref in refs:
            self._holders.pop(ref, None)

    def sets(self) -> set[frozenset[str]]:
        """Returns the distinct sets of stores."""
        return set(self._holders.values())
