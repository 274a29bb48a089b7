"""The log: one JSON line an event on standard output. Events and their fields stand in `docs/system.md`."""

import sys
import time
from typing import Any

import orjson
import picologging

BURST = 400  # lines a process may write at once; then so many a second
RATE = 100.0


class _Lines(picologging.Formatter):
    def format(self, record: Any) -> str:
        return record.msg


class Log:
    """`say(event, **fields)`. What exceeds the rate is counted and said with the next line that goes out."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._logger = picologging.Logger("sableford", level=picologging.INFO)
        handler = picologging.StreamHandler(sys.stdout)
        handler.setFormatter(_Lines())
        self._logger.addHandler(handler)
        self._left, self._at, self._dropped = float(BURST), time.monotonic(), 0

    def say(self, event: str, **fields: Any) -> None:
        now = time.monotonic()
        self._left = min(BURST, self._left + (now - self._at) * RATE)
        self._at = now
        if self._left < 1.0:
            self._dropped += 1
            return
        self._left -= 1.0
        line = {"at": round(time.time(), 3), "node": self._node, "event": event, **fields}
        if self._dropped:
            line["dropped"], self._dropped = self._dropped, 0
        self._logger.info(orjson.dumps(line, default=str).decode())
        sys.stdout.flush()
