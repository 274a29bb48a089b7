"""Event log: one JSON object per line on standard output.

Events of single transactions are logged only with --each-txn.
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
        with suppress(OSError):  # a closed log must not stop the service
            self._sink.write(orjson.dumps(line, default=_plain, option=orjson.OPT_APPEND_NEWLINE))
            self._sink.flush()


def _plain(value: object) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else repr(value)
