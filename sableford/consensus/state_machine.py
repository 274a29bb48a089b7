"""The replicated state machine: a key-value store that applies each proposal at most once.

An entry of a kind that this version does not know stops it: the state after that entry would differ from that
of other processes.
"""

from typing import NamedTuple

import msgspec

from sableford.consensus.messages import Entry, Kind, Put

# Authors whose proposals are remembered, far more than processes exist; the longest idle is dropped first.
MAX_AUTHORS = 4096
NUMBERS_PER_AUTHOR = 512  # proposal numbers remembered per author: twice what it may have in flight
BYTES_PER_NUMBER = 12  # size of one remembered number in a snapshot
# Numbers remembered of all authors, some 200 kB; those of the longest idle author are dropped first.
MAX_REMEMBERED_NUMBERS = 16_384
MAX_VALUE_BYTES = 32_768  # bytes of one value: a settings file; half of what a message in one datagram holds


class Value(NamedTuple):
    data: bytes
    index: int  # of the entry that set it


class Snapshot(msgspec.Struct):
    """The state after all entries up to `last`."""

    last: int
    term: int
    voters: dict[str, str]
    values: dict[str, tuple[bytes, int]]
    taken: dict[str, dict[int, tuple[int, bool]]]


class StateMachine:
    def __init__(self) -> None:
        self.last, self.term = 0, 0
        self.values: dict[str, Value] = {}
        self.taken: dict[
            str, dict[int, tuple[int, bool]]
        ] = {}  # by author and number: index, and whether it had an effect
        self.stopped = ""  # why it applies no more entries

    def apply(self, index: int, entry: Entry) -> bool:
        """Applies the next entry and returns whether it had an effect. A repeated proposal has none.

        >>> machine, put = StateMachine(), msgspec.msgpack.encode(Put("a", b"1"))
        >>> [machine.apply(at, Entry(1, Kind.PUT, "x", 1, put)) for at in (1, 2)]
        [True, False]
        >>> machine.values, machine.apply(3, Entry(1, 99)), machine.apply(4, Entry(1, 0)), machine.last
        ({'a': Value(data=b'1', index=1)}, False, False, 2)
        """
        if self.stopped or index != self.last + 1:
            return False
        if entry.kind not in list(Kind):
            self.stopped = f"entry {index} is of kind {entry.kind}, which this version does not know"
            return False
        self.last, self.term = index, entry.term
        if entry.author and self.known(entry.author, entry.number):
            return False
        held = entry.kind != Kind.PUT or self._put(index, entry.data)
        if entry.author:
            taken = self.taken.pop(entry.author, {})
            taken[entry.number] = index, held
            if len(taken) > NUMBERS_PER_AUTHOR:
                least = max(taken) - NUMBERS_PER_AUTHOR
                taken = {number: what for number, what in taken.items() if number > least}
            self.taken[entry.author] = taken
            self._drop_idle_authors()
        return held

    def _drop_idle_authors(self) -> None:
        """Drops the longest idle authors beyond the limits; the author just applied stays."""
        pairs = (
            sum(map(len, self.taken.values()))
            if len(self.taken) > MAX_REMEMBERED_NUMBERS // NUMBERS_PER_AUTHOR
            else 0
        )
        while len(self.taken) > 1 and (len(self.taken) > MAX_AUTHORS or pairs > MAX_REMEMBERED_NUMBERS):
            pairs -= len(self.taken.pop(next(iter(self.taken))))

    def size(self) -> int:
        """The approximate size of a snapshot."""
        authors = sum(len(author) + BYTES_PER_NUMBER * len(taken) for author, taken in self.taken.items())
        return authors + sum(len(key) + len(value.data) for key, value in self.values.items())

    def known(self, author: str, number: int) -> tuple[int, bool] | None:
        """The index of an applied proposal and whether it had an effect. One older than all that is
        remembered counts as applied, at index 0."""
        taken = self.taken.get(author)
        if not taken:
            return None
        return taken.get(number, (0, False) if number <= max(taken) - NUMBERS_PER_AUTHOR else None)

    def _put(self, index: int, data: bytes) -> bool:
        try:
            put = msgspec.msgpack.decode(data, type=Put)
        except msgspec.MsgspecError:  # fails in the same way on every process
            return False
        now = self.values.get(put.key)
        if 0 <= put.after != (now.index if now else 0):
            return False
        if put.value is None:
            self.values.pop(put.key, None)
        else:
            self.values[put.key] = Value(put.value, index)
        return True

    def snapshot(self, voters: dict[str, str]) -> Snapshot:
        """A snapshot of the current state; values are shared, since they are immutable."""
        return Snapshot(
            self.last, self.term, dict(voters), dict(self.values), {a: dict(t) for a, t in self.taken.items()}
        )

    def restore(self, snapshot: Snapshot) -> None:
        self.last, self.term, self.stopped = snapshot.last, snapshot.term, ""
        self.values = {key: Value(*value) for key, value in snapshot.values.items()}
        self.taken = {
            author: {number: tuple(what) for number, what in taken.items()}
            for author, taken in snapshot.taken.items()
        }
