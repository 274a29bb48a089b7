"""The log: one line of JSON per event on standard output. `docs/system.md` lists the events and their fields.

This module defines the format of a line and limits the rate. A thread writes the lines (`log_writer`).
"""

import sys
import time
from typing import Any, Protocol

import orjson
import picologging

from sableford.common.log_writer import LogWriter

BURST_LINES = 400  # that may be written at once
LINES_PER_S = 100.0  # sustained
CLOSE_TIMEOUT_MS = 300.0  # for pending lines to be written at exit


class EventLog(Protocol):
    """The interface for logging events."""

    def event(self, name: str, /, **fields: Any) -> None:
        """Logs an event with its fields."""


class Sink(Protocol):
    """The destination of lines."""

    def write(self, line: bytes) -> object:
        """Writes one line, which includes its newline."""


class _SinkHandler(picologging.Handler):
    """Passes the message of each record, a line of JSON as bytes, to the sink."""

    def __init__(self, sink: Sink) -> None:
        super().__init__()
        self._sink = sink

    def emit(self, record: Any) -> None:
        self._sink.write(record.msg)


class Log:
    """Events that exceed the rate are dropped; the next event that is written contains their number."""

    def __init__(self, node: str, sink: Sink | None = None) -> None:
        self._node = node
        self._sink = sink if sink is not None else LogWriter(sys.stdout.fileno())
        self._logger = picologging.Logger("sableford", level=picologging.INFO)
        self._logger.addHandler(_SinkHandler(self._sink))
        self._tokens, self._tokens_at = float(BURST_LINES), time.monotonic()
        self._dropped = 0

    def event(self, name: str, /, **fields: Any) -> None:
        """Logs an event with its fields, as a line of JSON."""
        now = time.monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._tokens_at) * LINES_PER_S)
        self._tokens_at = now
        if self._tokens < 1.0:
            self._dropped += 1
            return
        self._tokens -= 1.0
        line = {"at": round(time.time(), 3), "node": self._node, "event": name, **fields}
        if self._dropped:
            line["dropped"], self._dropped = self._dropped, 0
        self._logger.info(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """Waits a short time for pending lines to be written."""
        if isinstance(self._sink, LogWriter):
            self._sink.close(CLOSE_TIMEOUT_MS)
