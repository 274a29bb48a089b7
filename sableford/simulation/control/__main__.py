"""Simulates a range of seeds: `python -m sableford.simulation.control --seeds 0:500 --jobs 4`."""

import argparse
import os
import sys
import time
from collections import Counter
from multiprocessing import Pool

from sableford.simulation.control.checker import Violation
from sableford.simulation.control.simulation import ControlSimulation, SimulationConfig

TRACE_LINES = 60  # events printed for each violation unless --story is given


def run_seed(arguments: tuple[int, SimulationConfig]) -> tuple[int, str, list[str], dict[str, int]]:
    """Returns the seed, the violation or "", the events before it, and the counts of the run."""
    seed, config = arguments
    try:
        return seed, "", [], ControlSimulation(seed, config).play()
    except Violation as violation:
        return seed, str(violation), violation.trace, {}
    except Exception as error:
        return seed, f"simulation failed: {error!r}", [], {}


def config_of(given: argparse.Namespace, seed: int) -> SimulationConfig:
    """Derives the parameters that are not on the command line from the seed."""
    config = SimulationConfig.from_seed(seed, given.seconds)
    fields = ("stores", "losses", "edges", "operators", "workers", "pace_ms")
    overrides = {name: value for name in fields if (value := getattr(given, name)) is not None}
    kinds = tuple(given.kinds.split(",")) if given.kinds else ()
    return config._replace(**overrides, exceed=given.exceed, kinds=kinds, duties=given.duties)


def arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="sableford.simulation.control")
    parser.add_argument("--seeds", default="0:100", help="range of seeds, as first:end (end excluded)")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    for name in ("stores", "losses", "edges", "operators", "workers"):
        parser.add_argument(f"--{name}", type=int)
    parser.add_argument("--pace-ms", type=float)
    parser.add_argument(
        "--kinds", default="", help="kinds of faults to inject, separated by commas (default: all)"
    )
    parser.add_argument(
        "--exceed", action="store_true", help="lose more machines than tolerated, and check only safety"
    )
    parser.add_argument("--duties", action="store_true", help="add a platform that receives usage reports")
    parser.add_argument("--story", action="store_true", help="print all recorded events before a violation")
    return parser.parse_args()


def main() -> int:
    given = arguments()
    first, _, end = given.seeds.partition(":")
    runs = [(seed, config_of(given, seed)) for seed in range(int(first), int(end))]
    started_at, counts, failed_seeds = time.monotonic(), Counter(), []
    with Pool(given.jobs) as pool:
        for seed, violation, trace, run_counts in pool.imap_unordered(run_seed, runs):
            counts.update(run_counts)
            if violation:
                failed_seeds.append(seed)
                lines = trace if given.story else trace[-TRACE_LINES:]
                print(
                    f"seed {seed}: {violation}", *lines, sep="\n  " if given.story else "\n    ", flush=True
                )
    print(f"{len(runs)} walks, {len(failed_seeds)} with findings {sorted(failed_seeds)[:50]}")
    print(f"{time.monotonic() - started_at:.0f} s, {given.jobs} at once, {os.cpu_count()} cores")
    print(", ".join(f"{name}: {count}" for name, count in sorted(counts.items())))
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
