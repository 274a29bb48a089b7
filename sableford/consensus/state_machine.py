"""What the entries add up to: keys with values, and whose proposals have been taken.

It owns the state after each entry. An entry of a kind that this version does not know stops it: whatever
came after would stand on something else than at the others.
"""

from typing import NamedTuple

import msgspec

from sableford.consensus.messages import Entry, Kind, Put

AUTHORS = 4096  # whose last proposals are remembered, the oldest going first: far more than schedulers
WINDOW = 512  # numbers of one author remembered: twice what it may have under way at once
PAIR_BYTES = 12  # of one number that is remembered, in a snapshot
TAKEN_PAIRS = 16_384  # numbers of all authors remembered, the longest idle author's going first: some 200 kB
MOST_VALUE = 32_768  # bytes of one value: one settings file; half of what one datagram's word holds


class Value(NamedTuple):
    data: bytes
    index: int  # of the entry that set it


class Snapshot(msgspec.Struct):
    """A snapshot: all that entries up to `last` add up to."""

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
        ] = {}  # by author and number: index, whether it held
        self.stopped = ""  # why it goes no further

    def apply(self, index: int, entry: Entry) -> bool:
        """One more entry; whether it had its effect. A proposal taken already has none again.

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
            if len(taken) > WINDOW:
                least = max(taken) - WINDOW
                taken = {number: what for number, what in taken.items() if number > least}
            self.taken[entry.author] = taken
            self._forget()
        return held

    def _forget(self) -> None:
        """Authors idle for the longest, past the bounds; the one that was just taken from stays."""
        pairs = sum(map(len, self.taken.values())) if len(self.taken) > TAKEN_PAIRS // WINDOW else 0
        while len(self.taken) > 1 and (len(self.taken) > AUTHORS or pairs > TAKEN_PAIRS):
            pairs -= len(self.taken.pop(next(iter(self.taken))))

    def size(self) -> int:
        """About how many bytes its snapshot takes."""
        authors = sum(len(author) + PAIR_BYTES * len(taken) for author, taken in self.taken.items())
        return authors + sum(len(key) + len(value.data) for key, value in self.values.items())

    def known(self, author: str, number: int) -> tuple[int, bool] | None:
        """Where a proposal stands and whether it held; one before all that is remembered counts as taken."""
        taken = self.taken.get(author)
        if not taken:
            return None
        return taken.get(number, (0, False) if number <= max(taken) - WINDOW else None)

    def _put(self, index: int, data: bytes) -> bool:
        try:
            put = msgspec.msgpack.decode(data, type=Put)
        except msgspec.MsgspecError:  # the same at everyone
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
        """As it stands; the values themselves are shared, since none is ever changed."""
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
