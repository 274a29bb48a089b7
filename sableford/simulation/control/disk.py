"""A machine's disk: keeps what was synced; a loss of power takes the rest. It can be slow, stalled, full or
wiped. The interface is that of `sableford.common.disk.Disk`."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from random import Random

from sableford.common.disk import DiskFullError
from sableford.simulation.control.event_loop import Process

SYNC_MS = 2.0  # for one synced commit, give or take half
Puts = list[tuple[bytes, bytes | None]]


class Platter:
    """What lasts: it belongs to the machine and outlives its processes."""

    def __init__(self, chance: Random, later: Callable) -> None:
        self.chance, self.later = chance, later
        self.kept: dict[bytes, bytes] = {}
        self.slowness = 1.0  # times the usual length of a sync
        self.stalled = False
        self.full = False

    def size(self) -> int:
        """Bytes kept."""
        return sum(len(key) + len(value) for key, value in self.kept.items())

    def commit(self, batch: Iterable[Puts]) -> None:
        for puts in batch:
            for key, value in puts:
                if value is None:
                    self.kept.pop(key, None)
                else:
                    self.kept[key] = value


class SimulatedDisk:
    """A process's handle of it: writes gather and are committed together, one commit at a time."""

    def __init__(self, platter: Platter, process: Process) -> None:
        self._platter, self._process = platter, process
        self._queue: deque[tuple[Puts, asyncio.Future]] = deque()
        self._under_way: list[tuple[Puts, asyncio.Future]] = []
        self._over = False

    def load(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
        return [(key, value) for key, value in sorted(self._platter.kept.items()) if key.startswith(prefix)]

    def write(self, puts: Puts, adds_data: bool = False) -> asyncio.Future:
        future = asyncio.get_running_loop().create_future()
        self._queue.append((list(puts), future))
        if not self._under_way:
            self._begin()
        return future

    def _begin(self) -> None:
        self._under_way, self._queue = list(self._queue), deque()
        took_ms = SYNC_MS * self._platter.chance.uniform(0.5, 1.5) * self._platter.slowness
        self._platter.later(took_ms / 1000.0, self._finish)

    def _finish(self) -> None:
        if self._over:
            return
        if self._platter.stalled:
            self._platter.later(0.05, self._finish)
            return
        problem = DiskFullError("the disk's file is full") if self._platter.full else None
        if problem is None:
            self._platter.commit(puts for puts, _ in self._under_way)
        for _, future in self._under_way:
            if future.done():
                continue
            if problem is None:
                future.set_result(True)
            else:
                future.set_exception(problem)
        self._under_way = []
        if self._queue:
            self._begin()

    def end(self) -> None:
        """The process is over. A commit under way is there whole or not at all, as lmdb promises; what waited
        behind it was never begun."""
        if self._under_way and not self._platter.full and self._platter.chance.random() < 0.5:
            self._platter.commit(puts for puts, _ in self._under_way)
        self._over = True
        self._under_way = []
        self._queue.clear()
