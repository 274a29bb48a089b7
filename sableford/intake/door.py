"""Maps a host's txn and worker ids to small indices, and worker lists to roster changes.

Used by both hosts; an id may be any hashable value.
"""

from collections.abc import Hashable
from struct import Struct
from zlib import crc32

from sableford.model import Listed, Roster, Standing

MARK = 0xFFFF  # part of an id hash that messages carry: enough to distinguish some hundred workers
_WORD = Struct("<HB")


class Sheet:
    """A received worker list: facts per worker (zone, kind, cell, health, start) and ratings."""

    def __init__(self, entries: list[tuple]) -> None:
        self.facts = {wid: (*facts, since) for wid, *facts, _, since in entries}
        self.ratings = {entry[0]: entry[5] for entry in entries}


class Door:
    """Indices of txns and workers. A txn's is freed once it is closed and nothing of it is in flight."""

    def __init__(self) -> None:
        self.txn_ids: list[Hashable] = []
        self.worker_ids: list[Hashable] = []
        self._txns: dict[Hashable, int] = {}
        self._out: list[int] = []
        self._over: list[bool] = []
        self._free: list[int] = []
        self._workers: dict[Hashable, int] = {}
        self._listed: dict[Hashable, tuple] = {}
        self._marks: dict[int, int] = {}

    def take(self, rid: Hashable) -> int:
        """Assigns an index to a new txn."""
        if self._free:
            txn = self._free.pop()
            self.txn_ids[txn], self._out[txn], self._over[txn] = rid, 0, False
        else:
            txn = len(self.txn_ids)
            self.txn_ids.append(rid)
            self._out.append(0)
            self._over.append(False)
        self._txns[rid] = txn
        return txn

    def txn(self, rid: Hashable) -> int | None:
        return self._txns.get(rid)

    def posted(self, txn: int) -> None:
        self._out[txn] += 1

    def back(self, txn: int, closed: bool) -> None:
        """A posting has ended, and its txn too if `closed`."""
        self._out[txn] -= 1
        self.over(txn, closed)

    def is_over(self, txn: int) -> bool:
        return self._over[txn]

    def over(self, txn: int, closed: bool = True) -> None:
        self._over[txn] |= closed
        if self._over[txn] and not self._out[txn] and self._txns.get(self.txn_ids[txn]) == txn:
            del self._txns[self.txn_ids[txn]]
            self._free.append(txn)

    def worker(self, wid: Hashable) -> int | None:
        return self._workers.get(wid)

    def index(self, wid: Hashable) -> int:
        """Returns the worker's index, listed or not; assigns one if needed."""
        worker = self._workers.get(wid)
        if worker is None:
            worker = self._workers[wid] = len(self.worker_ids)
            self.worker_ids.append(wid)
        return worker

    def roster(self, sheet: Sheet, complete: bool) -> Roster:
        """Returns the changes of a list. Most change only ratings, which are looked up on use."""
        known = self._listed
        new = [(wid, fact) for wid, fact in sheet.facts.items() if known.get(wid) != fact]
        lines = [self._line(wid, fact, Standing(fact[3])) for wid, fact in new]
        if complete:
            omitted = [wid for wid in known if wid not in sheet.facts]
            lines += [self._line(wid, known[wid], Standing.GONE) for wid in omitted]
        ratings, ids = sheet.ratings, self.worker_ids
        return Roster(tuple(lines), lambda worker: ratings.get(ids[worker], 0.0))

    def _line(self, wid: Hashable, fact: tuple, standing: Standing) -> Listed:
        worker, mark = self.index(wid), crc32(str(wid).encode())
        if standing is Standing.GONE:
            self._listed.pop(wid, None)
        else:
            self._listed[wid] = fact
            self._marks[mark & MARK] = worker
        zone, kind, cell, _, since = fact
        return Listed(worker, zone, kind, cell, standing, since * 1000.0, mark)

    def word(self, worker: int, slots: float) -> bytes:
        """Encodes a load message to other schedulers; it has a hash, as ids are too long.

        >>> door = Door(); _ = door.roster(Sheet([("w", 0, 0, 0, 1, 1.0, 0.0)]), True)
        >>> len(door.word(0, 2.0)), door.heard(door.word(0, 2.0)), door.heard(b"?"), door.heard(b"none")
        (3, (0, 2.0), None, None)
        """
        return _WORD.pack(crc32(str(self.worker_ids[worker]).encode()) & MARK, min(255, round(slots)))

    def heard(self, word: bytes) -> tuple[int, float] | None:
        """Decodes a load message into worker and slots; None if invalid or unknown here."""
        if len(word) != _WORD.size:
            return None
        mark, slots = _WORD.unpack(word)
        worker = self._marks.get(mark)
        return None if worker is None else (worker, float(slots))
