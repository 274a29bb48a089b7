"""The door of one scheduler: a host's ids become small indices, lists become changes.

One copy serves both hosts. It never looks into an id: whatever can be a key of a mapping will do.
"""

from collections.abc import Hashable
from struct import Struct
from zlib import crc32

from sableford.model import Listed, Roster, Standing

MARK = 0xFFFF  # of a mark, what is said of it in a message: some hundred workers are told apart
_WORD = Struct("<HB")


class Sheet:
    """A numbered list as it came: per worker its facts (zone, kind, cell, health, start), and the ratings."""

    def __init__(self, entries: list[tuple]) -> None:
        self.facts = {wid: (*facts, since) for wid, *facts, _, since in entries}
        self.ratings = {entry[0]: entry[5] for entry in entries}


class Door:
    """Indices of one instance's txns and workers. A txn's is freed once it is over and nothing is out."""

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
        """Give a new txn its index."""
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
        """One posting is over, and the txn too where `closed`."""
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
        """The worker's index, listed or not."""
        worker = self._workers.get(wid)
        if worker is None:
            worker = self._workers[wid] = len(self.worker_ids)
            self.worker_ids.append(wid)
        return worker

    def roster(self, sheet: Sheet, complete: bool) -> Roster:
        """What a sheet changes; most say nothing but new ratings, which are read where they are used."""
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
        """What other schedulers are told of a worker; ids are too long to be said each time.

        >>> door = Door(); _ = door.roster(Sheet([("w", 0, 0, 0, 1, 1.0, 0.0)]), True)
        >>> len(door.word(0, 2.0)), door.heard(door.word(0, 2.0)), door.heard(b"?"), door.heard(b"none")
        (3, (0, 2.0), None, None)
        """
        return _WORD.pack(crc32(str(self.worker_ids[worker]).encode()) & MARK, min(255, round(slots)))

    def heard(self, word: bytes) -> tuple[int, float] | None:
        """The worker and the slots that another scheduler speaks of; none where it makes no sense here."""
        if len(word) != _WORD.size:
            return None
        mark, slots = _WORD.unpack(word)
        worker = self._marks.get(mark)
        return None if worker is None else (worker, float(slots))
