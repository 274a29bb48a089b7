"""The folder of a machine with a disk: one lmdb file, written by one thread that gathers what waits into one
synced commit. Nothing here runs on the event loop but the handing over.

Each value carries a CRC32C. A folder that can't be read completely is a lost disk and never an empty one: the
file is set aside and the process starts as one whose disk was lost.

After a commit that failed lmdb may refuse everything for as long as its file stays open (MDB_PANIC), so the
file is closed and opened anew: a disk that was full for a while is used again once it takes bytes.
"""

import asyncio
import errno
import os
import threading
import time
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from queue import SimpleQueue
from typing import Any, NamedTuple

import google_crc32c
import lmdb

FILE_PART = 0.6  # of the disk may be the file; the rest is for pages that readers hold and for the next file
MIN_FILE_MB = 16
BYTES_PER_MB = 1_048_576
RESERVED_PART = 0.06  # of the file is kept for ending what is there: a full queue can still be emptied
REOPEN_PART = 0.12  # of the file must be free before a full one takes more again: twice the reserve
PAGE_BYTES = 4096
MAX_BATCH = 400  # writes in one commit
RETRY_S = 0.1  # after a commit that failed; until then writes are refused without a try
CHECKSUM_BYTES = 4
FILES = ("data.mdb", "lock.mdb")

Puts = list[tuple[bytes, bytes | None]]  # keys with their new values; None removes the key


class DamagedError(Exception):
    """A value is not what was written."""


class DiskFullError(Exception):
    """No room for more; what is there stays."""


class _Write(NamedTuple):
    """Waits for the thread. `adds`: it adds to what is kept."""

    puts: Puts
    adds: bool
    loop: asyncio.AbstractEventLoop
    future: "asyncio.Future[bool]"


class _Read(NamedTuple):
    """Waits for the thread."""

    key: bytes
    loop: asyncio.AbstractEventLoop
    future: "asyncio.Future[bytes | None]"


class _Result(NamedTuple):
    """What a future is to get: a value, or a problem."""

    future: "asyncio.Future[Any]"
    value: Any = None
    problem: Exception | None = None


def _checksum(value: bytes) -> bytes:
    return int(google_crc32c.value(value)).to_bytes(CHECKSUM_BYTES, "big")


def _with_checksum(value: bytes) -> bytes:
    return _checksum(value) + value


def _checked(key: bytes, stored: bytes) -> bytes:
    """The value without its checksum. Raises DamagedError."""
    value = bytes(stored[CHECKSUM_BYTES:])
    if _checksum(value) != bytes(stored[:CHECKSUM_BYTES]):
        raise DamagedError(f"{key!r}")
    return value


class Disk:
    """`write` and `read` give futures of the loop that called them."""

    def __init__(self, folder: Path, disk_mb: float) -> None:
        self.folder = folder
        self._file_bytes = max(MIN_FILE_MB, int(disk_mb * FILE_PART)) * BYTES_PER_MB
        self._queue: SimpleQueue[_Read | _Write | None] = SimpleQueue()  # None: the thread is to end
        self._env: Any = None  # lmdb's handle of the open file
        self._failure: Exception | None = None  # of the last commit, if it failed
        self._retry_at = 0.0  # s of the steady clock
        self.lost = ""  # why what the folder held is not to be had
        self.full = False  # it took nothing more when last asked, and has not said since that it does

    def open(self) -> None:
        """Before anything is served. Sets a folder that can't be read aside."""
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            self._open_file()
            for _ in self.load(b""):
                pass
        except (lmdb.Error, DamagedError) as problem:
            self.lost = f"{type(problem).__name__}: {problem}"
            self._set_aside()
            self._open_file()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def _open_file(self) -> None:
        self._env = lmdb.open(
            str(self.folder), map_size=self._file_bytes, lock=False, max_spare_txns=2, readahead=False
        )

    def _set_aside(self) -> None:
        if self._env is not None:
            self._env.close()
        for name in FILES:
            with suppress(OSError):
                (self.folder / name).replace(self.folder / f"{name}.damaged")

    def close(self) -> None:
        """Once nothing is asked of it any more."""
        self._queue.put(None)
        self._thread.join()
        self._env.close()

    def load(self, prefix: bytes) -> Iterable[tuple[bytes, bytes]]:
        """All under a prefix, before anything is served. Raises DamagedError."""
        with self._env.begin() as transaction:
            cursor = transaction.cursor()
            if not cursor.set_range(prefix):
                return
            for key, stored in cursor:
                if not bytes(key).startswith(prefix):
                    return
                yield bytes(key), _checked(bytes(key), stored)

    def write(self, puts: Puts, more: bool = False) -> "asyncio.Future[bool]":
        """All of it or nothing, synced, in the order of calls. `more`: it adds to what is kept, and is
        refused with DiskFullError before the room for endings is used up."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bool] = loop.create_future()
        self._queue.put(_Write(puts, more, loop, future))
        return future

    def read(self, key: bytes) -> "asyncio.Future[bytes | None]":
        """The value of a key, None where there is none; fails with DamagedError."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bytes | None] = loop.create_future()
        self._queue.put(_Read(key, loop, future))
        return future

    # The thread

    def _run(self) -> None:
        while True:
            jobs = [self._queue.get()]
            while len(jobs) < MAX_BATCH and not self._queue.empty():
                jobs.append(self._queue.get())
            writes = [job for job in jobs if isinstance(job, _Write)]
            if writes:
                _deliver(writes[0].loop, self._commit(writes))
            for job in jobs:
                if isinstance(job, _Read):
                    _deliver(job.loop, [self._read(job)])
            if None in jobs:
                return

    def _read(self, job: _Read) -> _Result:
        try:
            with self._usable_file().begin() as transaction:
                stored = transaction.get(job.key)
            return _Result(job.future, None if stored is None else _checked(job.key, stored))
        except Exception as problem:
            return _Result(job.future, problem=problem)

    def _usable_file(self) -> Any:
        """The open file; opened anew after a commit that failed."""
        if self._failure is not None:
            self._env.close()
            self._open_file()
            self._failure = None
        return self._env

    def _commit(self, writes: list[_Write]) -> list[_Result]:
        """All in one transaction; where it fails none of them is kept."""
        if self._failure is not None and time.monotonic() < self._retry_at:
            return [_Result(write.future, problem=self._failure) for write in writes]
        try:
            return self._write_all(writes)
        except lmdb.MapFullError as problem:
            self.full = True
            full = DiskFullError(str(problem))
            return [_Result(write.future, problem=full) for write in writes]
        except Exception as problem:
            self.full = self.full or _is_no_space(problem)
            self._failure, self._retry_at = problem, time.monotonic() + RETRY_S
            return [_Result(write.future, problem=problem) for write in writes]

    def _write_all(self, writes: list[_Write]) -> list[_Result]:
        results: list[_Result] = []
        with self._usable_file().begin(write=True) as transaction:
            room = self._room()
            for write in writes:
                if write.adds:
                    room -= sum(_pages(value) for _, value in write.puts if value is not None)
                if write.adds and room < 0:
                    full = DiskFullError("the disk's file is full")
                    results.append(_Result(write.future, problem=full))
                    continue
                _put_all(transaction, write.puts)
                results.append(_Result(write.future, True))
        if any(write.adds for write in writes):
            self.full = room < 0
        return results

    def _room(self) -> int:
        """Bytes that may be added. Pages count that hold something: the file itself never shrinks, and freed
        pages are used again."""
        stat = self._env.stat()
        used = (stat["branch_pages"] + stat["leaf_pages"] + stat["overflow_pages"]) * stat["psize"]
        kept_free = REOPEN_PART if self.full else RESERVED_PART
        return int(self._file_bytes * (1.0 - kept_free)) - int(used)


def _put_all(transaction: Any, puts: Puts) -> None:
    for key, value in puts:
        if value is None:
            transaction.delete(key)
        else:
            transaction.put(key, _with_checksum(value))


def _pages(value: bytes) -> int:
    """At most what a value takes of the file, in bytes of whole pages."""
    return (len(value) // PAGE_BYTES + 2) * PAGE_BYTES


def _is_no_space(problem: Exception) -> bool:
    """Whether the machine's disk has no room; lmdb tells it by the system's text only."""
    return os.strerror(errno.ENOSPC) in str(problem)


def _deliver(loop: asyncio.AbstractEventLoop, results: list[_Result]) -> None:
    with suppress(RuntimeError):  # the loop has ended
        loop.call_soon_threadsafe(_complete, results)


def _complete(results: list[_Result]) -> None:
    for result in results:
        if result.future.done():
            continue
        if result.problem is None:
            result.future.set_result(result.value)
        else:
            result.future.set_exception(result.problem)
