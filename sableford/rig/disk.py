"""A disk with injected faults, which the rig's launcher puts in place of the real one.

The loss in `lost` and `torn` shows only after the process was killed; the other faults show while it runs.
"""

import errno
import time
from pathlib import Path
from random import Random

from sableford.consensus.file_disk import RealDisk
from sableford.rig.plan import HUNG

SLOW_FLUSH_S = 5.0
HUNG_SUFFIX = ".now"
HUNG_POLL_S = 0.02  # how often a hung flush checks whether to go on
FAILING_FLUSH = 3  # of the fault `once`
LOST_APPENDS = 4  # appends that the fault `lost` holds back


class FaultyDisk(RealDisk):
    """RealDisk with one fault.

    lost: the data of the last flushes is missing although they succeeded.
    torn: only part of the last flush is on the disk.
    flipped: one bit of a log differs when it is read.
    eio: appending fails.
    full: appending and writing fail.
    once: one flush fails.
    slow: each flush takes SLOW_FLUSH_S.
    hung: flushes block until the file `hung` beside the folder is removed; the file `hung.now` appears as
        soon as one blocks.
    """

    def __init__(self, fault: str, seed: int, folder: Path) -> None:
        super().__init__(folder)
        self._hung_file = folder.parent / HUNG
        self._fault, self._random, self._flushes = fault, Random(f"{fault} {seed}"), 0
        self._unwritten: list[tuple[str, bytes]] = []  # acknowledged, not yet on the disk

    def read(self, name: str) -> bytes:
        data = super().read(name)
        if self._fault == "flipped" and name.startswith("log-") and len(data) > 400:
            offset = self._random.randrange(200, len(data) - 20)
            data = data[:offset] + bytes([data[offset] ^ 16]) + data[offset + 1 :]
        return data

    def append(self, name: str, data: bytes) -> None:
        if self._fault in ("eio", "full"):
            raise OSError(errno.EIO if self._fault == "eio" else errno.ENOSPC, f"{self._fault}, by the rig")
        if self._fault in ("lost", "torn"):
            self._unwritten.append((name, data))
        else:
            super().append(name, data)

    def sync(self, name: str) -> None:
        self._flushes += 1
        if self._fault == "slow":
            time.sleep(SLOW_FLUSH_S)
        while self._fault == HUNG and self._hung_file.exists():
            self._hung_file.with_suffix(HUNG_SUFFIX).touch()
            time.sleep(HUNG_POLL_S)
        if self._fault == "once" and self._flushes == FAILING_FLUSH:
            raise OSError(errno.EIO, "once, by the rig")
        while len(self._unwritten) > (LOST_APPENDS if self._fault == "lost" else 1):
            super().append(*self._unwritten.pop(0))
        if self._fault == "torn" and self._unwritten:
            name, data = self._unwritten[0]
            half = data[: len(data) // 2]
            self._unwritten[0] = name, data[len(half) :]
            super().append(name, half)
        elif not self._unwritten:
            super().sync(name)

    def write(self, name: str, data: bytes) -> None:
        if self._fault == "full":
            raise OSError(errno.ENOSPC, "full, by the rig")
        self._unwritten = [entry for entry in self._unwritten if entry[0] != name]
        super().write(name, data)

    def remove(self, name: str) -> None:
        self._unwritten = [entry for entry in self._unwritten if entry[0] != name]
        super().remove(name)
