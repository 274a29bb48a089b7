"""On whose disks each final state of the own shards is."""

from collections.abc import Iterable, Iterator


class FinalStateHolders:
    """Refs with sets of stores. Equal sets are one object: there are few, and many refs."""

    def __init__(self) -> None:
        self._of: dict[str, frozenset[str]] = {}
        self._sets: dict[frozenset[str], frozenset[str]] = {}

    def __contains__(self, ref: str) -> bool:
        return ref in self._of

    def __iter__(self) -> Iterator[str]:
        return iter(self._of)

    def of(self, ref: str) -> frozenset[str]:
        """The stores that have it."""
        return self._of[ref]

    def put(self, ref: str, holders: frozenset[str]) -> None:
        """Just these stores have it."""
        self._of[ref] = self._sets.setdefault(holders, holders)

    def add(self, ref: str, store: str) -> None:
        """One more store has it, if it is of an own shard."""
        if ref in self._of and store not in self._of[ref]:
            self.put(ref, self._of[ref] | {store})

    def remove(self, ref: str, store: str) -> None:
        """One store does not have it."""
        if store in self._of.get(ref, ()):
            self.put(ref, self._of[ref] - {store})

    def drop(self, refs: Iterable[str]) -> None:
        """They are not to be kept track of."""
        for ref in refs:
            self._of.pop(ref, None)

    def sets(self) -> set[frozenset[str]]:
        """All sets of stores that some final state is on."""
        return set(self._of.values())
