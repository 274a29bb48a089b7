"""`python -m tests.soaking --seeds 1-50`: one line a seed, exit code 1 where one failed."""

import argparse
import os
import shutil
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

from tests.soaking.plan import DEFAULT_SECONDS, draw
from tests.soaking.scene import play

MOST_PROCESSES = 200
PROCESS_BYTES = 80 * 1024 * 1024  # what one takes, generously


def seeds(text: str) -> Iterator[int]:
    """
    >>> list(seeds("1-3,7"))
    [1, 2, 3, 7]
    """
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def most_processes() -> int:
    """What this machine bears: under half of its memory."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return min(MOST_PROCESSES, memory // 2 // PROCESS_BYTES)


def main() -> int:
    parser = argparse.ArgumentParser("python -m tests.soaking", description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="As in 1-50 or 3,7,20-25.")
    parser.add_argument("--processes", type=int, default=0, help="Of the system; 0: a few, by the seed.")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="Of traffic in each scene.")
    parser.add_argument("--logs", type=Path, help="Logs of each seed are kept in its own folder there.")
    given = parser.parse_args()
    if given.processes > most_processes():
        parser.error(f"--processes: this machine bears {most_processes()}")
    failed = 0
    for seed in seeds(given.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = play(draw(seed, given.seconds, given.processes), folder)
        print(result.line(), flush=True)
        failed += bool(result.wrongs)
        if given.logs is not None:
            kept = given.logs / str(seed)
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept, ignore=shutil.ignore_patterns("store-?"))
        shutil.rmtree(folder)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
