"""Signals at the start and at the end of `python -m sableford.node`, each test in a separate process."""

import json
import socket
import subprocess
import sys
from pathlib import Path

from tests.loopback import network

HOST = f"{network()}.1"
ROOT = Path(__file__).resolve().parent.parent
PRINT_FIRST_IMPORT = """
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
RUN_AND_END = """
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


# A SIGHUP for a changed settings file, sent while the process starts, ended it by its default action.
def shows_sighup_is_ignored_before_the_first_module_is_imported() -> None:
    result = subprocess.run(
        [sys.executable, "-c", PRINT_FIRST_IMPORT], capture_output=True, text=True, cwd=ROOT
    )
    assert result.stdout == "sableford.node.cli True\n", result


# A second SIGTERM ended a closing process with -15 instead of 0: on exit the interpreter resets signals with
# a handler to their default action, but leaves ignored ones ignored.
def shows_signals_after_the_shutdown_do_not_change_the_exit_code() -> None:
    port = free_port()
    settings = {"nodeName": "e", "bindIp": HOST, "zone": "z", "portRange": [port, port]}
    command = [sys.executable, "-c", RUN_AND_END, json.dumps(settings)]
    result = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    assert result.stdout.endswith("[True, True, True]\n"), result


def free_port() -> int:
    with socket.socket() as free:
        free.bind((HOST, 0))
        return free.getsockname()[1]
