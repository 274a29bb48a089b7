"""Writes log lines by a thread of its own, so that whoever reads the log slowly, or not at all, holds up
nobody.
"""

import os
import threading
import time
from contextlib import suppress
from queue import Empty, SimpleQueue

import orjson

MAX_WAITING_BYTES = 1_048_576  # for a slow reader: some 5,000 lines, minutes of what is usual
MAX_WRITE_BYTES = 65_536  # in one call: what a pipe holds


class LogWriter:
    """`file`: a file descriptor. What is over the bound is left out and counted in the log itself, as
    `log_gap`, once there is room again."""

    def __init__(self, file: int) -> None:
        self._file = file
        self._lines: SimpleQueue[bytes] = SimpleQueue()
        self._put = self._written = 0  # bytes; the first is the loop's, the second the thread's
        self._lost = 0
        self._begun = False

    def write(self, line: bytes) -> None:
        """One line, with its end."""
        if self._put - self._written > MAX_WAITING_BYTES:
            self._lost += 1
            return
        if self._lost:
            gap = {"at": round(time.time(), 3), "event": "log_gap", "lost": self._lost}
            self._lost = 0
            self._pass(orjson.dumps(gap, option=orjson.OPT_APPEND_NEWLINE))
        self._pass(line)

    def _pass(self, line: bytes) -> None:
        self._put += len(line)
        self._lines.put(line)
        if not self._begun:
            self._begun = True
            threading.Thread(target=self._run, name="log", daemon=True).start()

    def flush(self) -> None:
        """Nothing is kept back."""

    def _run(self) -> None:
        while True:
            text = self._lines.get()
            with suppress(Empty):
                while len(text) < MAX_WRITE_BYTES:
                    text += self._lines.get_nowait()
            size = len(text)
            with suppress(OSError):  # nobody reads the log: no reason to stop serving
                while text:
                    text = text[os.write(self._file, text) :]
            self._written += size

    def close(self, timeout_ms: float) -> None:
        """What was written goes out, where somebody reads it within so many ms."""
        until = time.monotonic() + timeout_ms / 1000.0
        while self._written < self._put and time.monotonic() < until:
            time.sleep(0.001)
