"""Persistent storage: one LMDB file, written by one thread that batches queued writes into one synced commit.
On the event loop, requests are only queued and results delivered.

Each value has a CRC32C checksum. A folder that can't be read completely counts as a lost disk, never as an
empty one: the file is moved aside and the process starts as one that has lost its disk.

After a failed commit LMDB may refuse all access until its file is closed (MDB_PANIC). The file is therefore
reopened, so that a disk that was full for a while is used again once it has room.
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

# Of the disk, for the LMDB file; the rest is for pages that readers hold and for the next file.
FILE_FRACTION = 0.6
MIN_FILE_MB = 16
BYTES_PER_MB = 1_048_576
# Of the file, reserved for finishing stored messages, so that a full queue can drain.
RESERVED_FRACTION = 0.06
# Of the file, must be free before a full one accepts additions again: twice the reserve.
REOPEN_FRACTION = 0.12
PAGE_BYTES = 4096
MAX_BATCH = 400  # writes in one commit
RETRY_S = 0.1  # after a failed commit; until then writes fail without an attempt
CHECKSUM_BYTES = 4
FILES = ("data.mdb", "lock.mdb")

Puts = list[tuple[bytes, bytes | None]]  # keys with their new values; None removes the key


class DamagedError(Exception):
    """The checksum of a value does not match."""


class DiskFullError(Exception):
    """There is no room for the write; stored data is unaffected."""


class _Write(NamedTuple):
    """A queued write. `adds`: it adds data, so it may not use the reserve."""

    puts: Puts
    adds: bool
    loop: asyncio.AbstractEventLoop
    future: "asyncio.Future[bool]"


class _Read(NamedTuple):
    """A queued read."""

    key: bytes
    loop: asyncio.AbstractEventLoop
    future: "asyncio.Future[bytes | None]"


class _Result(NamedTuple):
    """The value or the exception for a future."""

    future: "asyncio.Future[Any]"
    value: Any = None
    problem: Exception | None = None


def _checksum(value: bytes) -> bytes:
    return int(google_crc32c.value(value)).to_bytes(CHECKSUM_BYTES, "big")


def _with_checksum(value: bytes) -> bytes:
    return _checksum(value) + value


def _checked(key: bytes, stored: bytes) -> bytes:
    """Returns the value without its checksum. Raises DamagedError."""
    value = bytes(stored[CHECKSUM_BYTES:])
    if _checksum(value) != bytes(stored[:CHECKSUM_BYTES]):
        raise DamagedError(f"the checksum of {key!r} does not match")
    return value


class Disk:
    """`write` and `read` return futures of the event loop that called them."""

    def __init__(self, folder: Path, disk_mb: float) -> None:
        self.folder = folder
        self._file_bytes = max(MIN_FILE_MB, int(disk_mb * FILE_FRACTION)) * BYTES_PER_MB
        self._queue: SimpleQueue[_Read | _Write | None] = SimpleQueue()  # None: stops the thread
        self._env: Any = None  # the LMDB environment
        self._failure: Exception | None = None  # of the last commit, if it failed
        self._retry_at = 0.0  # s of the monotonic clock
        self.lost = ""  # why the previous data is lost; empty if it is not
        self.full = False  # the last addition was refused for lack of room, and none has been accepted since

    def open(self) -> None:
        """Opens the file and starts the thread. Moves an unreadable file aside."""
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            self._open_file()
            for _ in self.load(b""):
                pass
        except (lmdb.Error, DamagedError) as problem:
            self.lost = f"{type(problem).__name__}: {problem}"
            self._move_aside()
            self._open_file()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def _open_file(self) -> None:
        self._env = lmdb.open(
            str(self.folder), map_size=self._file_bytes, lock=False, max_spare_txns=2, readahead=False
        )

    def _move_aside(self) -> None:
        if self._env is not None:
            self._env.close()
        for name in FILES:
            with suppress(OSError):
                (self.folder / name).replace(self.folder / f"{name}.damaged")

    def close(self) -> None:
        """Stops the thread after all queued requests and closes the file."""
        self._queue.put(None)
        self._thread.join()
        self._env.close()

    def load(self, prefix: bytes) -> Iterable[tuple[bytes, bytes]]:
        """Yields all keys with a prefix and their values; for use at start-up only. Raises DamagedError."""
        with self._env.begin() as transaction:
            cursor = transaction.cursor()
            if not cursor.set_range(prefix):
                return
            for key, stored in cursor:
                if not bytes(key).startswith(prefix):
                    return
                yield bytes(key), _checked(bytes(key), stored)

    def write(self, puts: Puts, adds_data: bool = False) -> "asyncio.Future[bool]":
        """Writes atomically and synced, in the order of calls. `adds_data`: the write adds data, and fails
        with DiskFullError rather than use the reserve."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bool] = loop.create_future()
        self._queue.put(_Write(puts, adds_data, loop, future))
        return future

    def read(self, key: bytes) -> "asyncio.Future[bytes | None]":
        """The value of a key, or None; the future fails with DamagedError if the checksum does not match."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bytes | None] = loop.create_future()
        self._queue.put(_Read(key, loop, future))
        return future

    # The thread

    def _run(self) -> None:
        while True:
            requests = [self._queue.get()]
            while len(requests) < MAX_BATCH and not self._queue.empty():
                requests.append(self._queue.get())
            writes = [request for request in requests if isinstance(request, _Write)]
            if writes:
                _post_results(writes[0].loop, self._commit(writes))
            for request in requests:
                if isinstance(request, _Read):
                    _post_results(request.loop, [self._read(request)])
            if None in requests:
                return

    def _read(self, request: _Read) -> _Result:
        try:
            with self._usable_file().begin() as transaction:
                stored = transaction.get(request.key)
            return _Result(request.future, None if stored is None else _checked(request.key, stored))
        except Exception as problem:
            return _Result(request.future, problem=problem)

    def _usable_file(self) -> Any:
        """The open file, reopened after a failed commit."""
        if self._failure is not None:
            self._env.close()
            self._open_file()
            self._failure = None
        return self._env

    def _commit(self, writes: list[_Write]) -> list[_Result]:
        """Commits the writes in one transaction; if it fails, none of them is stored."""
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
        """The bytes that may be added. Counts pages in use, not the file's size: the file never shrinks, and
        freed pages are reused."""
        stat = self._env.stat()
        used = (stat["branch_pages"] + stat["leaf_pages"] + stat["overflow_pages"]) * stat["psize"]
        reserve = REOPEN_FRACTION if self.full else RESERVED_FRACTION
        return int(self._file_bytes * (1.0 - reserve)) - int(used)


def _put_all(transaction: Any, puts: Puts) -> None:
    for key, value in puts:
        if value is None:
            transaction.delete(key)
        else:
            transaction.put(key, _with_checksum(value))


def _pages(value: bytes) -> int:
    """An upper bound of the space for a value, in bytes of whole pages."""
    return (len(value) // PAGE_BYTES + 2) * PAGE_BYTES


def _is_no_space(problem: Exception) -> bool:
    """Whether the machine's disk is full; LMDB reports it only by the text of the system error."""
    return os.strerror(errno.ENOSPC) in str(problem)


def _post_results(loop: asyncio.AbstractEventLoop, results: list[_Result]) -> None:
    with suppress(RuntimeError):  # the loop is closed
        loop.call_soon_threadsafe(_set_results, results)


def _set_results(results: list[_Result]) -> None:
    for result in results:
        if result.future.done():
            continue
        if result.problem is None:
            result.future.set_result(result.value)
        else:
            result.future.set_exception(result.problem)
