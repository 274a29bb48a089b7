"""Plain asserts on signals at the start and at the end of `python -m sableford.node`, each in a process."""

import json
import socket
import subprocess
import sys
from pathlib import Path

from tests.loopback import network

HOST = f"{network()}.1"
ROOT = Path(__file__).resolve().parent.parent
LOADS = """
import runpy, signal, sys

class Watch:
    def find_spec(self, name, path=None, target=None):
        if name.startswith("sableford.") and name not in ("sableford.node", "sableford.node.__main__"):
            print(name, signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
            sys.exit()

sys.meta_path.insert(0, Watch())
sys.argv = ["sableford"]
runpy.run_module("sableford.node", run_name="__main__")
"""
ENDS = """
import asyncio, os, signal, sys
from pathlib import Path
import uvloop
from sableford.common.settings import parse
from sableford.node.runtime import HANDLED_SIGNALS, Runtime

async def run():
    settings = parse(sys.argv[1], "settings")
    runtime = Runtime(settings, Path("settings"), "edge")
    await runtime.listen()
    runtime.end()
    runtime.ignore_signals()
    runtime.log.close()

with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
    runner.run(run())

print([signal.getsignal(number) is signal.SIG_IGN for number in HANDLED_SIGNALS])
"""


# A settings file that changes while a process starts ended it: SIGHUP's default is the end.
def shows_sighup_is_ignored_before_the_first_part_of_the_program_is_loaded() -> None:
    told = subprocess.run([sys.executable, "-c", LOADS], capture_output=True, text=True, cwd=ROOT)
    assert told.stdout == "sableford.node.cli True\n", told


# A second SIGTERM ended a process that was closing with -15 in place of 0: as it ends, the
# interpreter gives signals with a handler their default back, and leaves ignored ones ignored.
def shows_signals_that_come_after_the_end_leave_its_exit_code_as_it_is() -> None:
    inner = free_port()
    settings = {"nodeName": "e", "bindIp": HOST, "zone": "z", "portRange": [inner, inner]}
    words = [sys.executable, "-c", ENDS, json.dumps(settings)]
    told = subprocess.run(words, capture_output=True, text=True, cwd=ROOT)
    assert told.stdout.endswith("[True, True, True]\n"), told


def free_port() -> int:
    with socket.socket() as free:
        free.bind((HOST, 0))
        return free.getsockname()[1]
