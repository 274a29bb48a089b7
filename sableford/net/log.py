"""The log: one JSON line an event on standard output, by orjson.

It owns the form of a line. It must never be called for each txn unless that was asked for at start.
"""

import sys
import time
from contextlib import suppress
from typing import BinaryIO

import orjson

from sableford.common.log_writer import LogWriter


class Log:
    def __init__(
        self, name: str, each_txn: bool = False, sink: BinaryIO | LogWriter = sys.stdout.buffer
    ) -> None:
        self._name, self.each_txn, self._sink = name, each_txn, sink

    def event(self, event: str, **facts: object) -> None:
        line = {"at": round(time.time(), 3), "node": self._name, "event": event, **facts}
        with suppress(OSError):  # nobody reads the log: no reason to stop serving
            self._sink.write(orjson.dumps(line, default=_plain, option=orjson.OPT_APPEND_NEWLINE))
            self._sink.flush()


def _plain(value: object) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else repr(value)
