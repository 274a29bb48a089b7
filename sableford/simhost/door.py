"""The door of one instance: wire ids become small indices, lists become changes."""

from sableford.model import Listed, Roster, Standing


class Door:
    """Indices of one instance's txns and workers. A txn's is freed once it is over and nothing is out."""

    def __init__(self) -> None:
        self.txn_ids: list[int] = []
        self.worker_ids: list[int] = []
        self._txns: dict[int, int] = {}
        self._out: list[int] = []
        self._over: list[bool] = []
        self._free: list[int] = []
        self._workers: dict[int, int] = {}
        self._listed: dict[int, Listed] = {}

    def take(self, rid: int) -> int:
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

    def txn(self, rid: int) -> int | None:
        return self._txns.get(rid)

    def posted(self, txn: int) -> None:
        self._out[txn] += 1

    def back(self, txn: int, closed: bool) -> None:
        """One posting is over, and the txn too where `closed`."""
        self._out[txn] -= 1
        self.over(txn, closed)

    def over(self, txn: int, closed: bool = True) -> None:
        self._over[txn] |= closed
        if self._over[txn] and not self._out[txn] and self._txns.get(self.txn_ids[txn]) == txn:
            del self._txns[self.txn_ids[txn]]
            self._free.append(txn)

    def worker(self, wid: int) -> int | None:
        return self._workers.get(wid)

    def roster(self, entries: list[tuple], complete: bool) -> Roster:
        """Wire entries (id, zone, kind, cell, health, rating, start) as changed lines."""
        lines = []
        for wid, zone, kind, cell, health, rating, since in entries:
            worker = self._workers.get(wid)
            if worker is None:
                worker = self._workers[wid] = len(self.worker_ids)
                self.worker_ids.append(wid)
            lines.append(Listed(worker, zone, kind, cell, Standing(health), rating, since * 1000.0))
        if complete:
            named = {line.worker for line in lines}
            omitted = [line for worker, line in self._listed.items() if worker not in named]
            lines += [line._replace(standing=Standing.GONE) for line in omitted]
        for line in lines:
            if line.standing is Standing.GONE:
                self._listed.pop(line.worker, None)
            else:
                self._listed[line.worker] = line
        return Roster(tuple(lines))
