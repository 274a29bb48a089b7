"""Plain asserts on the start of `python -m sableford.node`, in a process of its own."""

import subprocess
import sys
from pathlib import Path

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


# A settings file that changes while a process starts ended it: SIGHUP's default is the end.
def shows_sighup_is_ignored_before_the_first_part_of_the_program_is_loaded() -> None:
    told = subprocess.run([sys.executable, "-c", LOADS], capture_output=True, text=True, cwd=ROOT)
    assert told.stdout == "sableford.node.cli True\n", told
