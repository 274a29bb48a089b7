"""One scheduler whose disk can be made slow from outside: `python -m tests.slow serve ...`.

SLOW_MS is how long each call on a file then takes, from the start with SLOW_AT=start, else from SIGUSR1 on.
All is done by the interpreter's own audit events, so that no line of the program has to know.
"""

import os
import signal
import sys
import time

from sableford.net.cli import main

DISK = {"open", "os.rename", "os.scandir", "os.utime", "os.remove", "os.mkdir", "os.listdir", "os.truncate"}
DELAY = float(os.environ.get("SLOW_MS", "0")) / 1000.0
slow = os.environ.get("SLOW_AT") == "start"


def hold(event: str, given: tuple) -> None:
    if slow and event in DISK and ".py" not in str(given[0]):
        time.sleep(DELAY)


def begin(*_: object) -> None:
    global slow
    slow = True


if __name__ == "__main__":
    signal.signal(signal.SIGUSR1, begin)
    sys.addaudithook(hold)
    main()
