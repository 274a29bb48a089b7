"""The disk of a simulated machine: it keeps what was synced and loses the rest with the power. It can be
slow, stalled, full or wiped. The interface is that of `sableford.common.disk.Disk`."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from random import Random

from sableford.common.disk import DiskFullError
from sableford.simulation.control.event_loop import Process

SYNC_MS = 2.0  # for one synced commit, plus or minus 50 %
Writes = list[tuple[bytes, bytes | None]]


class DiskDevice:
    """The durable contents and the condition of a disk. It belongs to the machine and outlives its
    processes."""

    def __init__(self, rng: Random, later: Callable) -> None:
        self.rng, self.later = rng, later
        self.data: dict[bytes, bytes] = {}
        self.slowness = 1.0  # factor on the duration of a sync
        self.stalled = False
        self.full = False

    def size(self) -> int:
        """Bytes stored."""
        return sum(len(key) + len(value) for key, value in self.data.items())

    def commit(self, batch: Iterable[Writes]) -> None:
        for writes in batch:
            for key, value in writes:
                if value is None:
                    self.data.pop(key, None)
                else:
                    self.data[key] = value


class SimulatedDisk:
    """The handle of one process: writes are batched, and one batch is committed at a time."""

    def __init__(self, device: DiskDevice, process: Process) -> None:
        self._device, self._process = device, process
        self._queue: deque[tuple[Writes, asyncio.Future]] = deque()
        self._committing: list[tuple[Writes, asyncio.Future]] = []
        self._ended = False

    def load(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
        return [(key, value) for key, value in sorted(self._device.data.items()) if key.startswith(prefix)]

    def write(self, writes: Writes, adds_data: bool = False) -> asyncio.Future:
        future = asyncio.get_running_loop().create_future()
        self._queue.append((list(writes), future))
        if not self._committing:
            self._begin_commit()
        return future

    def _begin_commit(self) -> None:
        self._committing, self._queue = list(self._queue), deque()
        sync_ms = SYNC_MS * self._device.rng.uniform(0.5, 1.5) * self._device.slowness
        self._device.later(sync_ms / 1000.0, self._finish_commit)

    def _finish_commit(self) -> None:
        if self._ended:
            return
        if self._device.stalled:
            self._device.later(0.05, self._finish_commit)
            return
        error = DiskFullError("the disk's file is full") if self._device.full else None
        if error is None:
            self._device.commit(writes for writes, _ in self._committing)
        for _, future in self._committing:
            if future.done():
                continue
            if error is None:
                future.set_result(True)
            else:
                future.set_exception(error)
        self._committing = []
        if self._queue:
            self._begin_commit()

    def end(self) -> None:
        """The process has ended. A commit in flight is either complete or absent, as lmdb guarantees; queued
        writes are lost."""
        if self._committing and not self._device.full and self._device.rng.random() < 0.5:
            self._device.commit(writes for writes, _ in self._committing)
        self._ended = True
        self._committing = []
        self._queue.clear()
