"""The whole system in real processes under a few seeds; `python -m tests.soaking` plays many by hand."""

import tempfile
from pathlib import Path

from tests.soaking.plan import draw
from tests.soaking.scene import play

SECONDS = 8.0  # of traffic


def played(seed: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        result = play(draw(seed, SECONDS), Path(folder))
    assert not result.wrongs, (result.line(), result.wrongs[:10])


def seeds_with(*kinds: str) -> int:
    """The first seed whose scene has a series of each kind."""
    number = 1
    while not set(kinds) <= {one.kind for one in draw(number, SECONDS).series}:
        number += 1
    return number


# A request lost, or a message run twice, as edges, stores and workers are replaced while they serve.
def shows_planned_work_on_edges_and_stores_loses_and_repeats_nothing() -> None:
    played(seeds_with("roll edges", "roll stores"))


# A process that a signal or a settings file ends, or a lost message, where signals meet each other.
def shows_signals_settings_and_kills_that_overlap_lose_no_accepted_message() -> None:
    played(seeds_with("mixed signals", "settings"))


# What only a majority of disks knew is gone once all stores were killed at once.
def shows_all_stores_killed_at_once_lose_nothing_that_was_accepted() -> None:
    played(seeds_with("kill all stores"))
