"""The record on disk: its entries, snapshot and votes as keys of the machine's one lmdb file.

A write is one commit, whole or not at all, but one that fails may be followed by others that succeed. So
what stands in the file is known for sure only of writes whose success was told (`kept`); whatever else may
stand there is removed by the next whole writing, and is never read back as part of the log.
"""

import os
from asyncio import Future
from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from sableford.common.disk import Puts
from sableford.consensus.effects import AppendToLog, HardState, Persist, ReplaceLog, StoredState, TruncateLog
from sableford.consensus.messages import Entry
from sableford.consensus.state_machine import Snapshot

META, ENTRY, IMAGE = b"rm", b"re", b"ri"


class _Meta(msgspec.Struct):
    id: str
    term: int = 0
    vote: str = ""
    first: int = 1
    before: int = 0
    lost: tuple[int, int] | None = None
    names: tuple[str, ...] = ()  # who voted first


def _entry_key(index: int) -> bytes:
    return ENTRY + index.to_bytes(8, "big")


class RecordStorage:
    """Turns what the record wants stored into writes; it knows which entries the file may hold."""

    def __init__(self, found: Iterable[tuple[bytes, bytes]]) -> None:
        self._meta = _Meta(os.urandom(8).hex())
        image: Snapshot | None = None
        entries: dict[int, Entry] = {}
        self.fresh = True
        for key, value in found:
            if key == META:
                self._meta, self.fresh = msgspec.msgpack.decode(value, type=_Meta), False
            elif key == IMAGE:
                image = msgspec.msgpack.decode(value, type=Snapshot)
            elif key.startswith(ENTRY):
                entries[int.from_bytes(key[2:], "big")] = msgspec.msgpack.decode(value, type=Entry)
        self._write_number = 0
        self._in_file = dict.fromkeys(entries, 0)  # entries that may be: by index, the write that put it
        self._removals: deque[tuple[int, list[int]]] = deque()  # by write, until it is known to be done
        self.held = self._read(image, entries)
        self._spoilt = len(self.held.entries) < len(entries) or self.held.lost != self._meta.lost

    def _read(self, image: Snapshot | None, entries: dict[int, Entry]) -> StoredState:
        """The log as far as it goes without a gap. What stands behind one counts as lost."""
        meta, lost = self._meta, self._meta.lost
        kept: list[Entry] = []
        while (entry := entries.get(meta.first + len(kept))) is not None:
            kept.append(entry)
        behind = [index for index in entries if index >= meta.first + len(kept)]
        if behind:
            term = max(meta.term, *(entries[index].term for index in behind))
            lost = max(lost or (0, 0), (term, max(behind)))
        return StoredState(meta.id, meta.term, meta.vote, image, meta.first, meta.before, tuple(kept), lost)

    @property
    def names(self) -> tuple[str, ...]:
        """Who voted first, as the first start of this folder was told."""
        return self._meta.names

    def begin(self, names: Iterable[str]) -> Puts:
        """What a new folder begins with."""
        self._meta.names = tuple(names)
        return [(META, msgspec.msgpack.encode(self._meta))]

    def puts(self, deeds: Iterable[object], number: int = 0) -> Puts:
        """The write that stores them, and its number for `kept`; numbers grow."""
        self._write_number = number
        out = self._repair()
        for deed in deeds:
            match deed:
                case HardState(term, vote):
                    self._meta.term, self._meta.vote = term, vote
                    out.append((META, msgspec.msgpack.encode(self._meta)))
                case AppendToLog(index, entry):
                    out.append(self._add(index, entry))
                case TruncateLog(index):
                    out += self._remove([at for at in self._in_file if at > index])
                case ReplaceLog(id, meta, image, first, before, entries, lost):
                    out += self._remove(list(self._in_file))
                    self._meta = _Meta(id, meta.term, meta.vote, first, before, lost, self._meta.names)
                    out.append((META, msgspec.msgpack.encode(self._meta)))
                    out.append((IMAGE, None if image is None else msgspec.msgpack.encode(image)))
                    out += [self._add(at, one) for at, one in enumerate(entries, first)]
        return out

    def _repair(self) -> Puts:
        """Before the first write: out with what was read as no part of the log."""
        if not self._spoilt:
            return []
        self._spoilt, held, meta = False, self.held, self._meta
        meta.lost = held.lost
        log = range(held.first, held.first + len(held.entries))
        stray = self._remove([at for at in self._in_file if at not in log])
        return [(META, msgspec.msgpack.encode(meta)), *stray]

    def _add(self, index: int, entry: Entry) -> tuple[bytes, bytes]:
        self._in_file[index] = self._write_number
        return _entry_key(index), msgspec.msgpack.encode(entry)

    def _remove(self, indexes: list[int]) -> Puts:
        """They may still be in the file until this write is known to be done."""
        self._removals.append((self._write_number, indexes))
        return [(_entry_key(at), None) for at in sorted(indexes)]

    def kept(self, number: int) -> None:
        """The write of that number is on disk; one before it, of which this was not said, may have failed."""
        while self._removals and self._removals[0][0] <= number:
            write, indexes = self._removals.popleft()
            if write == number:
                for at in indexes:
                    if self._in_file.get(at, number) < number:
                        del self._in_file[at]


class RecordWriter:
    """One write of the record under way; what comes meanwhile goes with the next. After one that failed only
    a whole writing is taken: others would stand in the file without what came before them."""

    def __init__(
        self,
        storage: RecordStorage,
        write: Callable[[Puts], "Future[bool]"],
        done: Callable[[int, BaseException | None], None],
    ) -> None:
        """`done` is told the last number of each write, and what went wrong."""
        self._storage, self._write, self._done = storage, write, done
        self._waiting: list[Persist] = []
        self._under_way = self._broken = False

    def keep(self, store: Persist) -> None:
        if self._broken and not any(isinstance(deed, ReplaceLog) for deed in store.writes):
            return
        self._waiting.append(store)
        self._next()

    def _next(self) -> None:
        if self._under_way or not self._waiting:
            return
        number = self._waiting[-1].number
        deeds = [deed for store in self._waiting for deed in store.writes]
        self._waiting, self._under_way = [], True
        self._write(self._storage.puts(deeds, number)).add_done_callback(
            lambda future: self._ended(number, future.exception())
        )

    def _ended(self, number: int, problem: BaseException | None) -> None:
        self._under_way, self._broken = False, problem is not None
        if problem is None:
            self._storage.kept(number)
        else:
            self._waiting = []
        self._done(number, problem)
        self._next()
