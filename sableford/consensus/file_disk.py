"""File access for the replicated log: the `Disk` interface, and its implementation on a real folder.

The order of writes, flushes and renames is decided here. Calls may block for as long as the disk takes and
may raise OSError, so they run on a worker thread and never on the event loop.
"""

import fcntl
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """A folder of files."""

    def list_names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, creating it if missing; durable only after `sync`."""

    def sync(self, name: str) -> None: ...

    def write(self, name: str, data: bytes) -> None:
        """Replaces a whole file atomically; durable once this returns. After a failure the name holds
        either the new or the previous content."""

    def write_unsynced(self, name: str, data: bytes) -> None:
        """Replaces a small file atomically with regard to a crash of the process; it is not flushed, so a
        crash of the machine may lose it."""

    def remove(self, name: str) -> None: ...


class RealDisk:
    def __init__(self, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._open: dict[str, int] = {}
        # Two processes of one scheduler may run at once; the kernel releases the lock however a process ends.
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise

    def list_names(self) -> list[str]:
        return sorted(
            entry.name for entry in os.scandir(self._folder) if entry.is_file() and entry.name != "lock"
        )

    def read(self, name: str) -> bytes:
        return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        if name not in self._open:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._open[name] = os.open(self._folder / name, flags, 0o600)
        while data:
            data = data[os.write(self._open[name], data) :]

    def sync(self, name: str) -> None:
        os.fsync(self._open[name])

    def write(self, name: str, data: bytes) -> None:
        self.close(name)
        part = self._folder / f"{name}.part"
        file = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            while data:
                data = data[os.write(file, data) :]
            os.fsync(file)
        finally:
            os.close(file)
        part.rename(self._folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def write_unsynced(self, name: str, data: bytes) -> None:
        part = self._folder / f"{name}.part"
        part.write_bytes(data)
        part.rename(self._folder / name)

    def remove(self, name: str) -> None:
        self.close(name)
        with suppress(FileNotFoundError):
            (self._folder / name).unlink()

    def release(self) -> None:
        """Releases the lock, so that another process may open the folder."""
        os.close(self._lock)

    def close(self, name: str) -> None:
        if (file := self._open.pop(name, None)) is not None:
            os.close(file)


# Opens the disk at startup; only the test rig's launcher replaces it.
open_disk: Callable[[Path], Disk] = RealDisk
