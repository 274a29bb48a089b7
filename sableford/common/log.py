"""The log: one JSON line an event on standard output. Events and their fields stand in `docs/system.md`.

It owns the form of a line and how many there may be. Lines are written by a thread (`log_writer`).
"""

import sys
import time
from typing import Any, Protocol

import orjson
import picologging

from sableford.common.log_writer import LogWriter

BURST_LINES = 400  # that a process may write at once
LINES_PER_S = 100.0  # beyond that
CLOSE_TIMEOUT_MS = 300.0  # for what was written to go out at the end


class EventLog(Protocol):
    """Where events are written."""

    def event(self, name: str, /, **fields: Any) -> None:
        """One event with its fields."""


class Sink(Protocol):
    """Where lines go."""

    def write(self, line: bytes) -> object:
        """One line, with its end."""


class _SinkHandler(picologging.Handler):
    """Hands each record's text, a line of JSON as bytes, to the sink."""

    def __init__(self, sink: Sink) -> None:
        super().__init__()
        self._sink = sink

    def emit(self, record: Any) -> None:
        self._sink.write(record.msg)


class Log:
    """Events that exceed the rate are counted, and the count is written with the next one that goes out."""

    def __init__(self, node: str, sink: Sink | None = None) -> None:
        self._node = node
        self._sink = sink if sink is not None else LogWriter(sys.stdout.fileno())
        self._logger = picologging.Logger("sableford", level=picologging.INFO)
        self._logger.addHandler(_SinkHandler(self._sink))
        self._allowance, self._allowance_at = float(BURST_LINES), time.monotonic()
        self._dropped = 0

    def event(self, name: str, /, **fields: Any) -> None:
        """One event with its fields, as a line of JSON."""
        now = time.monotonic()
        self._allowance = min(BURST_LINES, self._allowance + (now - self._allowance_at) * LINES_PER_S)
        self._allowance_at = now
        if self._allowance < 1.0:
            self._dropped += 1
            return
        self._allowance -= 1.0
        line = {"at": round(time.time(), 3), "node": self._node, "event": name, **fields}
        if self._dropped:
            line["dropped"], self._dropped = self._dropped, 0
        self._logger.info(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """What was written goes out, where somebody reads it."""
        if isinstance(self._sink, LogWriter):
            self._sink.close(CLOSE_TIMEOUT_MS)
