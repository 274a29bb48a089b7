"""`python -m tests.soaking --seeds 1-50`: prints one line per seed; exit code 1 if any failed."""

import argparse
import os
import shutil
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

from tests.soaking.plan import DEFAULT_SECONDS, make_plan
from tests.soaking.scenario import run_scenario

MAX_PROCESSES = 200
PROCESS_BYTES = 80 * 1024 * 1024  # generous estimate of the memory that one process needs


def parse_seeds(text: str) -> Iterator[int]:
    """
    >>> list(parse_seeds("1-3,7"))
    [1, 2, 3, 7]
    """
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def max_processes() -> int:
    """As many processes as fit into half of this machine's memory, but at most MAX_PROCESSES."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return min(MAX_PROCESSES, memory // 2 // PROCESS_BYTES)


def main() -> int:
    parser = argparse.ArgumentParser("python -m tests.soaking", description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="For example 1-50 or 3,7,20-25.")
    parser.add_argument("--processes", type=int, default=0, help="Of the system; 0: a few, by the seed.")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="Of traffic in each scenario.")
    parser.add_argument("--logs", type=Path, help="Folder for the logs, with a subfolder for each seed.")
    options = parser.parse_args()
    if options.processes > max_processes():
        parser.error(f"--processes: this machine has memory for {max_processes()}")
    failed = 0
    for seed in parse_seeds(options.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = run_scenario(make_plan(seed, options.seconds, options.processes), folder)
        print(result.summary(), flush=True)
        failed += bool(result.violations)
        if options.logs is not None:
            log_folder = options.logs / str(seed)
            shutil.rmtree(log_folder, ignore_errors=True)
            shutil.copytree(folder, log_folder, ignore=shutil.ignore_patterns("store-?"))
        shutil.rmtree(folder)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
