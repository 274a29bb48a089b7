"""Walks over a range of seeds: `python -m sableford.simulation.control --seeds 0:500 --jobs 4`."""

import argparse
import os
import sys
import time
from collections import Counter
from multiprocessing import Pool

from sableford.simulation.control.judges import Finding
from sableford.simulation.control.walk import ControlSimulation, Shape

STORY_LINES = 60  # of a finding that are printed without --story


def one(given: tuple[int, Shape]) -> tuple[int, str, list[str], dict[str, int]]:
    """Seed, finding, its story, counts."""
    seed, shape = given
    try:
        return seed, "", [], ControlSimulation(seed, shape).play()
    except Finding as finding:
        return seed, str(finding), finding.story, {}
    except Exception as problem:
        return seed, f"simulation failed: {problem!r}", [], {}


def shape_of(given: argparse.Namespace, seed: int) -> Shape:
    """Drawn from the seed where no number of stores is given."""
    shape = Shape.drawn(seed, given.seconds)
    fields = ("stores", "losses", "edges", "operators", "workers", "pace_ms")
    told = {name: value for name in fields if (value := getattr(given, name)) is not None}
    kinds = tuple(given.kinds.split(",")) if given.kinds else ()
    return shape._replace(**told, exceed=given.exceed, kinds=kinds, duties=given.duties)


def arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="sableford.simulation.control")
    parser.add_argument("--seeds", default="0:100", help="first:end")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    for name in ("stores", "losses", "edges", "operators", "workers"):
        parser.add_argument(f"--{name}", type=int)
    parser.add_argument("--pace-ms", type=float)
    parser.add_argument("--kinds", default="", help="faults that may come, with commas")
    parser.add_argument("--exceed", action="store_true", help="more losses than are tolerated: safety alone")
    parser.add_argument("--duties", action="store_true", help="with a platform that usage is reported to")
    parser.add_argument("--story", action="store_true", help="the whole story of a finding")
    return parser.parse_args()


def main() -> int:
    given = arguments()
    first, _, end = given.seeds.partition(":")
    work = [(seed, shape_of(given, seed)) for seed in range(int(first), int(end))]
    began, counts, findings = time.monotonic(), Counter(), []
    with Pool(given.jobs) as pool:
        for seed, finding, story, counted in pool.imap_unordered(one, work):
            counts.update(counted)
            if finding:
                findings.append(seed)
                lines = story if given.story else story[-STORY_LINES:]
                print(f"seed {seed}: {finding}", *lines, sep="\n  " if given.story else "\n    ", flush=True)
    print(f"{len(work)} walks, {len(findings)} with findings {sorted(findings)[:50]}")
    print(f"{time.monotonic() - began:.0f} s, {given.jobs} at once, {os.cpu_count()} cores")
    print(", ".join(f"{what}: {count}" for what, count in sorted(counts.items())))
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
