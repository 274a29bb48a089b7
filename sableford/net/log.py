"""The log: one JSON line an event on standard output, by orjson.

It owns the form of a line, and that whoever reads the log slowly, or not at all, holds up nobody. It must
never be called for each txn unless that was asked for at start.
"""

import os
import sys
import threading
import time
from contextlib import suppress
from queue import Empty, SimpleQueue
from typing import BinaryIO

import orjson

HELD = 1_048_576  # bytes that wait for a slow reader: some 5,000 lines, minutes of what is usual
AT_ONCE = 65_536  # bytes of one write: what a pipe holds


class Aside:
    """A sink whose writes are made by a thread of its own. What is over the bound is left out and counted in
    the log itself, as `log_gap`, once there is room again."""

    def __init__(self, file: int) -> None:
        self._file = file
        self._lines: SimpleQueue[bytes] = SimpleQueue()
        self._put = self._written = 0  # bytes; the first is the loop's, the second the thread's
        self._lost = 0
        self._begun = False

    def write(self, line: bytes) -> None:
        if self._put - self._written > HELD:
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
                while len(text) < AT_ONCE:
                    text += self._lines.get_nowait()
            size = len(text)
            with suppress(OSError):  # nobody reads the log: no reason to stop serving
                while text:
                    text = text[os.write(self._file, text) :]
            self._written += size

    def close(self, within: float) -> None:
        """What was said goes out, where somebody reads it within so many ms."""
        until = time.monotonic() + within / 1000.0
        while self._written < self._put and time.monotonic() < until:
            time.sleep(0.001)


class Log:
    def __init__(self, name: str, each_txn: bool = False, sink: BinaryIO | Aside = sys.stdout.buffer) -> None:
        self._name, self.each_txn, self._sink = name, each_txn, sink

    def say(self, event: str, **facts: object) -> None:
        line = {"at": round(time.time(), 3), "node": self._name, "event": event, **facts}
        with suppress(OSError):  # nobody reads the log: no reason to stop serving
            self._sink.write(orjson.dumps(line, default=_plain, option=orjson.OPT_APPEND_NEWLINE))
            self._sink.flush()


def _plain(value: object) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else repr(value)
