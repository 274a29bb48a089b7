"""Soak tests of the whole system in real processes, for a few seeds; `python -m tests.soaking` runs many."""

import tempfile
from pathlib import Path

from tests.soaking.plan import make_plan
from tests.soaking.scenario import run_scenario

TRAFFIC_S = 8.0


def run_seed(seed: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        result = run_scenario(make_plan(seed, TRAFFIC_S), Path(folder))
    assert not result.violations, (result.summary(), result.violations[:10])


def first_seed_with(*kinds: str) -> int:
    """The first seed whose scenario has a series of each kind."""
    number = 1
    while not set(kinds) <= {series.kind for series in make_plan(number, TRAFFIC_S).series}:
        number += 1
    return number


# Guards against lost requests and repeated runs when edges and stores are restarted under traffic.
def shows_planned_restarts_of_edges_and_stores_lose_and_repeat_nothing() -> None:
    run_seed(first_seed_with("roll edges", "roll stores"))


# Guards against overlapping signals that lose messages, or a signal or settings file that ends a process.
def shows_signals_settings_and_kills_that_overlap_lose_no_accepted_message() -> None:
    run_seed(first_seed_with("mixed signals", "settings"))


# Guards against the loss of data that is only on a majority of disks, when all stores are killed at once.
def shows_all_stores_killed_at_once_lose_nothing_that_was_accepted() -> None:
    run_seed(first_seed_with("kill all stores"))
