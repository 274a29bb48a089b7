"""Runs a scheduler with a simulated slow disk: `python -m tests.slow serve ...`.

Each file operation takes SLOW_MS, from the start with SLOW_AT=start, otherwise from SIGUSR1 on. The delay is
added in an audit hook, so that the program needs no change.
"""

import os
import signal
import sys
import time

from sableford.net.cli import main

DISK_EVENTS = {
    "open",
    "os.rename",
    "os.scandir",
    "os.utime",
    "os.remove",
    "os.mkdir",
    "os.listdir",
    "os.truncate",
}
DELAY_S = float(os.environ.get("SLOW_MS", "0")) / 1000.0
is_slow = os.environ.get("SLOW_AT") == "start"


def delay_disk_call(event: str, arguments: tuple) -> None:
    if is_slow and event in DISK_EVENTS and ".py" not in str(arguments[0]):
        time.sleep(DELAY_S)


def start_delays(*_: object) -> None:
    global is_slow
    is_slow = True


if __name__ == "__main__":
    signal.signal(signal.SIGUSR1, start_delays)
    sys.addaudithook(delay_disk_call)
    main()
