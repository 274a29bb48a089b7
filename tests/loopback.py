"""Loopback addresses of this process's own: runs beside it never meet it, and its ports stay free."""

import os


def network() -> str:
    """The first three numbers of the addresses; 1 to 249 are free for scenes.

    >>> network().startswith("127.") and network().count(".") == 2
    True
    """
    process = os.getpid()
    return f"127.{64 + process // 200 % 190}.{1 + process % 200}"
