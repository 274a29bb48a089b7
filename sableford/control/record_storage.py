"""The replicated record on disk: its entries, snapshot and votes as keys of the process's one LMDB file.

Each write is one atomic commit, but one that fails may be followed by others that succeed. So the file's
content is known only for writes that were reported to have succeeded (`write_succeeded`). Anything else that
may be in the file is removed by the next full rewrite, and is never read back as part of the log.
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
    names: tuple[str, ...] = ()  # the initial voters


def _entry_key(index: int) -> bytes:
    return ENTRY + index.to_bytes(8, "big")


class RecordStorage:
    """Turns storage effects of the record into writes, and tracks which entries the file may hold."""

    def __init__(self, found: Iterable[tuple[bytes, bytes]]) -> None:
        self._meta = _Meta(os.urandom(8).hex())
        image: Snapshot | None = None
        entries: dict[int, Entry] = {}
        self.is_new = True
        for key, value in found:
            if key == META:
                self._meta, self.is_new = msgspec.msgpack.decode(value, type=_Meta), False
            elif key == IMAGE:
                image = msgspec.msgpack.decode(value, type=Snapshot)
            elif key.startswith(ENTRY):
                entries[int.from_bytes(key[2:], "big")] = msgspec.msgpack.decode(value, type=Entry)
        self._write_number = 0
        # By index of each entry that the file may hold: the number of the write that put it there.
        self._in_file = dict.fromkeys(entries, 0)
        self._removals: deque[tuple[int, list[int]]] = deque()  # by write, until known to have succeeded
        self.stored_state = self._read(image, entries)
        self._needs_cleanup = (
            len(self.stored_state.entries) < len(entries) or self.stored_state.lost != self._meta.lost
        )

    def _read(self, image: Snapshot | None, entries: dict[int, Entry]) -> StoredState:
        """Reads the log up to its first gap. Entries after a gap count as lost."""
        meta, lost = self._meta, self._meta.lost
        log: list[Entry] = []
        while (entry := entries.get(meta.first + len(log))) is not None:
            log.append(entry)
        after_gap = [index for index in entries if index >= meta.first + len(log)]
        if after_gap:
            term = max(meta.term, *(entries[index].term for index in after_gap))
            lost = max(lost or (0, 0), (term, max(after_gap)))
        return StoredState(meta.id, meta.term, meta.vote, image, meta.first, meta.before, tuple(log), lost)

    @property
    def initial_voters(self) -> tuple[str, ...]:
        """The initial voters, as given when this data folder was first started."""
        return self._meta.names

    def initial_write(self, names: Iterable[str]) -> Puts:
        """The first write to a new data folder."""
        self._meta.names = tuple(names)
        return [(META, msgspec.msgpack.encode(self._meta))]

    def make_write(self, writes: Iterable[object], number: int = 0) -> Puts:
        """Turns the record's storage effects into one write. Numbers rise; see `write_succeeded`."""
        self._write_number = number
        out = self._cleanup()
        for write in writes:
            match write:
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

    def _cleanup(self) -> Puts:
        """Before the first write: removes the entries that were read but are not part of the log."""
        if not self._needs_cleanup:
            return []
        self._needs_cleanup, held, meta = False, self.stored_state, self._meta
        meta.lost = held.lost
        log = range(held.first, held.first + len(held.entries))
        stray = self._remove([at for at in self._in_file if at not in log])
        return [(META, msgspec.msgpack.encode(meta)), *stray]

    def _add(self, index: int, entry: Entry) -> tuple[bytes, bytes]:
        self._in_file[index] = self._write_number
        return _entry_key(index), msgspec.msgpack.encode(entry)

    def _remove(self, indexes: list[int]) -> Puts:
        """Removes entries; they may still be in the file until this write is known to have succeeded."""
        self._removals.append((self._write_number, indexes))
        return [(_entry_key(at), None) for at in sorted(indexes)]

    def write_succeeded(self, number: int) -> None:
        """The write of that number is on disk. An earlier one that was not confirmed may have failed."""
        while self._removals and self._removals[0][0] <= number:
            write, indexes = self._removals.popleft()
            if write == number:
                for at in indexes:
                    if self._in_file.get(at, number) < number:
                        del self._in_file[at]


class RecordWriter:
    """Writes the record's storage effects, one write at a time; effects that arrive meanwhile are batched
    into the next one. After a failed write only a full rewrite is accepted: anything else would be in the
    file without what precedes it."""

    def __init__(
        self,
        storage: RecordStorage,
        write: Callable[[Puts], "Future[bool]"],
        done: Callable[[int, BaseException | None], None],
    ) -> None:
        """`done` is called with the last number of each write, and with the exception if it failed."""
        self._storage, self._write, self._done = storage, write, done
        self._pending: list[Persist] = []
        self._in_flight = self._has_failed = False

    def persist(self, effect: Persist) -> None:
        """Queues an effect and writes it as soon as the write in flight has ended."""
        if self._has_failed and not any(isinstance(write, ReplaceLog) for write in effect.writes):
            return
        self._pending.append(effect)
        self._write_pending()

    def _write_pending(self) -> None:
        if self._in_flight or not self._pending:
            return
        number = self._pending[-1].number
        writes = [write for effect in self._pending for write in effect.writes]
        self._pending, self._in_flight = [], True
        self._write(self._storage.make_write(writes, number)).add_done_callback(
            lambda future: self._write_ended(number, future.exception())
        )

    def _write_ended(self, number: int, problem: BaseException | None) -> None:
        self._in_flight, self._has_failed = False, problem is not None
        if problem is None:
            self._storage.write_succeeded(number)
        else:
            self._pending = []
        self._done(number, problem)
        self._write_pending()
