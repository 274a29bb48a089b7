"""Maps a host's txn and worker ids to small indices, and worker lists to roster changes.

Used by both hosts; an id may be any hashable value.
"""

from collections.abc import Hashable
from struct import Struct
from zlib import crc32

from sableford.model import Roster, RosterEntry, Standing

HASH_MASK = 0xFFFF  # part of an id hash that messages carry: enough to distinguish some hundred workers
_MESSAGE = Struct("<HB")


class WorkerList:
    """A received worker list: facts per worker (zone, kind, cell, health, start) and ratings."""

    def __init__(self, entries: list[tuple]) -> None:
        self.facts = {worker_id: (*facts, since) for worker_id, *facts, _, since in entries}
        self.ratings = {entry[0]: entry[5] for entry in entries}


class IndexTable:
    """Indices of txns and workers. A txn's is freed once it is closed and nothing of it is in flight."""

    def __init__(self) -> None:
        self.txn_ids: list[Hashable] = []
        self.worker_ids: list[Hashable] = []
        self._txns: dict[Hashable, int] = {}
        self._in_flight: list[int] = []
        self._closed: list[bool] = []
        self._free: list[int] = []
        self._workers: dict[Hashable, int] = {}
        self._listed: dict[Hashable, tuple] = {}
        self._by_hash: dict[int, int] = {}

    def add_txn(self, txn_id: Hashable) -> int:
        """Assigns an index to a new txn."""
        if self._free:
            txn = self._free.pop()
            self.txn_ids[txn], self._in_flight[txn], self._closed[txn] = txn_id, 0, False
        else:
            txn = len(self.txn_ids)
            self.txn_ids.append(txn_id)
            self._in_flight.append(0)
            self._closed.append(False)
        self._txns[txn_id] = txn
        return txn

    def find_txn(self, txn_id: Hashable) -> int | None:
        return self._txns.get(txn_id)

    def posting_sent(self, txn: int) -> None:
        self._in_flight[txn] += 1

    def posting_ended(self, txn: int, closed: bool) -> None:
        """A posting has ended, and its txn too if `closed`."""
        self._in_flight[txn] -= 1
        self.close_txn(txn, closed)

    def is_closed(self, txn: int) -> bool:
        return self._closed[txn]

    def close_txn(self, txn: int, closed: bool = True) -> None:
        self._closed[txn] |= closed
        if self._closed[txn] and not self._in_flight[txn] and self._txns.get(self.txn_ids[txn]) == txn:
            del self._txns[self.txn_ids[txn]]
            self._free.append(txn)

    def find_worker(self, worker_id: Hashable) -> int | None:
        return self._workers.get(worker_id)

    def worker_index(self, worker_id: Hashable) -> int:
        """Returns the worker's index, listed or not; assigns one if needed."""
        worker = self._workers.get(worker_id)
        if worker is None:
            worker = self._workers[worker_id] = len(self.worker_ids)
            self.worker_ids.append(worker_id)
        return worker

    def roster_update(self, worker_list: WorkerList, complete: bool) -> Roster:
        """Returns the changes of a list. Most change only ratings, which are looked up on use."""
        known = self._listed
        new = [
            (worker_id, fact) for worker_id, fact in worker_list.facts.items() if known.get(worker_id) != fact
        ]
        entries = [self._entry(worker_id, fact, Standing(fact[3])) for worker_id, fact in new]
        if complete:
            omitted = [worker_id for worker_id in known if worker_id not in worker_list.facts]
            entries += [self._entry(worker_id, known[worker_id], Standing.GONE) for worker_id in omitted]
        ratings, ids = worker_list.ratings, self.worker_ids
        return Roster(tuple(entries), lambda worker: ratings.get(ids[worker], 0.0))

    def _entry(self, worker_id: Hashable, fact: tuple, standing: Standing) -> RosterEntry:
        worker, id_hash = self.worker_index(worker_id), crc32(str(worker_id).encode())
        if standing is Standing.GONE:
            self._listed.pop(worker_id, None)
        else:
            self._listed[worker_id] = fact
            self._by_hash[id_hash & HASH_MASK] = worker
        zone, kind, cell, _, since = fact
        return RosterEntry(worker, zone, kind, cell, standing, since * 1000.0, id_hash)

    def encode_load(self, worker: int, slots: float) -> bytes:
        """Encodes a load message to other schedulers; it has a hash, as ids are too long.

        >>> table = IndexTable(); _ = table.roster_update(WorkerList([("w", 0, 0, 0, 1, 1.0, 0.0)]), True)
        >>> message = table.encode_load(0, 2.0)
        >>> len(message), table.decode_load(message), table.decode_load(b"?"), table.decode_load(b"none")
        (3, (0, 2.0), None, None)
        """
        return _MESSAGE.pack(crc32(str(self.worker_ids[worker]).encode()) & HASH_MASK, min(255, round(slots)))

    def decode_load(self, message: bytes) -> tuple[int, float] | None:
        """Decodes a load message into worker and slots; None if invalid or unknown here."""
        if len(message) != _MESSAGE.size:
            return None
        id_hash, slots = _MESSAGE.unpack(message)
        worker = self._by_hash.get(id_hash)
        return None if worker is None else (worker, float(slots))
