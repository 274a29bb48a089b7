"""Tests of examples/system.py: a start that fails, and that none of its processes outlives it."""

import re
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
FIRST = ("127.0.0.11", 7300)  # the first address that the example checks
PARENT = """
import asyncio, sys
import system

async def main():
    child = "print('child', flush=True); import time; time.sleep(900)"
    await system.start_child([sys.executable, "-c", child])
    await asyncio.sleep(900)

asyncio.run(main())
"""


def shows_started_while_an_address_is_in_use_it_names_it_in_one_line_and_exits_with_2() -> None:
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with suppress(OSError):  # already in use by another process, which serves the test as well
            holder.bind(FIRST)
            holder.listen()
        result = subprocess.run([sys.executable, EXAMPLES / "system.py"], capture_output=True, text=True)
    assert result.returncode == 2 and result.stdout == "", result
    assert re.fullmatch(
        r"examples/system\.py: 127\.0\.0\.11:7300: Address already in use\n", result.stderr
    ), result


def shows_a_child_ends_with_its_parent_however_that_one_ends() -> None:
    command = [sys.executable, "-c", PARENT]
    with subprocess.Popen(command, stdout=subprocess.PIPE, cwd=EXAMPLES) as parent:
        assert parent.stdout.readline() == b"child\n"
        parent.kill()
        assert parent.stdout.read() == b""  # end of file: all processes that held the pipe have ended
