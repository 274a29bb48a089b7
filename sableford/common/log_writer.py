"""Writes log lines from a separate thread, so that a slow or stalled reader of the log does not block the
process.
"""

import os
import threading
import time
from contextlib import suppress
from queue import Empty, SimpleQueue

import orjson

MAX_WAITING_BYTES = 1_048_576  # for a slow reader: some 5,000 lines, minutes of usual output
MAX_WRITE_BYTES = 65_536  # in one call: the capacity of a pipe


class LogWriter:
    """Writes to the file descriptor `file`. Lines over the limit are dropped; their number is logged as the
    event `log_gap` once there is room again."""

    def __init__(self, file: int) -> None:
        self._file = file
        self._lines: SimpleQueue[bytes] = SimpleQueue()
        # Bytes; the first is changed by the event loop only, the second by the thread only.
        self._queued_bytes = self._written_bytes = 0
        self._dropped_lines = 0
        self._thread_started = False

    def write(self, line: bytes) -> None:
        """Queues one line, which includes its newline."""
        if self._queued_bytes - self._written_bytes > MAX_WAITING_BYTES:
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            gap = {"at": round(time.time(), 3), "event": "log_gap", "lost": self._dropped_lines}
            self._dropped_lines = 0
            self._enqueue(orjson.dumps(gap, option=orjson.OPT_APPEND_NEWLINE))
        self._enqueue(line)

    def _enqueue(self, line: bytes) -> None:
        self._queued_bytes += len(line)
        self._lines.put(line)
        if not self._thread_started:
            self._thread_started = True
            threading.Thread(target=self._run, name="log", daemon=True).start()

    def flush(self) -> None:
        """Does nothing: the thread writes all lines as soon as it can."""

    def _run(self) -> None:
        while True:
            text = self._lines.get()
            with suppress(Empty):
                while len(text) < MAX_WRITE_BYTES:
                    text += self._lines.get_nowait()
            size = len(text)
            with suppress(OSError):  # the reader of the log is gone; the process goes on
                while text:
                    text = text[os.write(self._file, text) :]
            self._written_bytes += size

    def close(self, timeout_ms: float) -> None:
        """Waits until pending lines are written, for at most `timeout_ms`."""
        until = time.monotonic() + timeout_ms / 1000.0
        while self._written_bytes < self._queued_bytes and time.monotonic() < until:
            time.sleep(0.001)
