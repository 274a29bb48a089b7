"""Loopback addresses derived from the process id, so that concurrent test runs don't share ports."""

import os


def network() -> str:
    """Returns the first three octets; tests may use 1 to 249 as the last one.

    >>> network().startswith("127.") and network().count(".") == 2
    True
    """
    process = os.getpid()
    return f"127.{64 + process // 200 % 190}.{1 + process % 200}"
