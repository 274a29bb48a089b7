"""A disk that lies, in place of the record's own: laid under a process by the rig's launcher, never by a
start.

It owns the lies. All but `flipped` and `eio` at reading show only once the process was killed.
"""

import errno
import time
from pathlib import Path
from random import Random

from sableford.consensus.file_disk import RealDisk
from sableford.rig.plan import HUNG

SLOW = 5.0  # s a flush takes
HANGS = ".now"
LOOK = 0.02  # s between two looks whether a hung disk is to go on
ONCE = 3  # the flush that fails
BEHIND = 4  # flushes of which nothing has reached the disk yet


class LyingDisk(RealDisk):
    """`lie`: lost (what the last flushes promised is not there), torn (of the last flush only a part),
    flipped (a bit of the log is another when it is read), eio (nothing can be appended), full (nor written
    at all), once (one flush fails), slow, hung (no flush comes back before the file `hung` beside the folder
    is removed; `hung.now` tells that one was asked for)."""

    def __init__(self, lie: str, seed: int, folder: Path) -> None:
        super().__init__(folder)
        self._hung = folder.parent / HUNG
        self._lie, self._draw, self._flushes = lie, Random(f"{lie} {seed}"), 0
        self._held: list[tuple[str, bytes]] = []  # promised, and not on the disk

    def read(self, name: str) -> bytes:
        data = super().read(name)
        if self._lie == "flipped" and name.startswith("log-") and len(data) > 400:
            at = self._draw.randrange(200, len(data) - 20)
            data = data[:at] + bytes([data[at] ^ 16]) + data[at + 1 :]
        return data

    def append(self, name: str, data: bytes) -> None:
        if self._lie in ("eio", "full"):
            raise OSError(errno.EIO if self._lie == "eio" else errno.ENOSPC, f"{self._lie}, by the rig")
        if self._lie in ("lost", "torn"):
            self._held.append((name, data))
        else:
            super().append(name, data)

    def sync(self, name: str) -> None:
        self._flushes += 1
        if self._lie == "slow":
            time.sleep(SLOW)
        while self._lie == HUNG and self._hung.exists():
            self._hung.with_suffix(HANGS).touch()
            time.sleep(LOOK)
        if self._lie == "once" and self._flushes == ONCE:
            raise OSError(errno.EIO, "once, by the rig")
        while len(self._held) > (BEHIND if self._lie == "lost" else 1):
            super().append(*self._held.pop(0))
        if self._lie == "torn" and self._held:
            name, data = self._held[0]
            half = data[: len(data) // 2]
            self._held[0] = name, data[len(half) :]
            super().append(name, half)
        elif not self._held:
            super().sync(name)

    def write(self, name: str, data: bytes) -> None:
        if self._lie == "full":
            raise OSError(errno.ENOSPC, "full, by the rig")
        self._held = [held for held in self._held if held[0] != name]
        super().write(name, data)

    def remove(self, name: str) -> None:
        self._held = [held for held in self._held if held[0] != name]
        super().remove(name)
