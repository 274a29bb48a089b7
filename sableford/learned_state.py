"""Exports what a scheduler has measured, and restores it into the scheduler of the next process.

Restored measurements age like the scheduler's own.
"""

from collections.abc import Callable

import msgspec

from sableford.intake.scheduler_settings import SchedulerSettings
from sableford.policy.scheduler import Scheduler

MAX_VALUE = 1e9  # limit of any value: larger ones are invalid
# Attributes by their keys in the file, which older and newer builds read.
KIND = {
    "slots": "slots",
    "size": "max_rating",
    "held": "taken_sum",
    "heard": "reports",
    "heard_at": "reported_at",
    "done": "done",
    "due": "expected",
    "touched": "updated_at",
}
RUN = {"spent": "spent", "done": "done", "touched": "updated_at"}
WORKER = {
    "true_at": "as_of",
    "done": "done",
    "due": "expected",
    "pace": "pace",
    "touched": "updated_at",
    "faults": "errors",
    "sound": "successes",
    "judged": "health_at",
}
FLOW = {"sum": "sum", "at": "at"}
TIMES = ("heard_at", "touched", "true_at", "judged", "at")  # keys of times, which can't lie in the future


class LearnedState(msgspec.Struct):
    """Measurements by name: of kinds, schemes, and workers with their start times."""

    kinds: dict[str, dict[str, float]] = {}
    schemes: dict[str, dict[str, float]] = {}
    flows: dict[str, tuple[float, float]] = {}
    workers: dict[str, dict[str, float]] = {}


def export_state(core: Scheduler, names: list[str], settings: SchedulerSettings) -> LearnedState:
    """Exports the measurements; `names` are the workers' ids by index."""
    kinds = {settings.kinds[at]: _figures(kind, KIND) for at, kind in core.kinds.items()}
    schemes = {name: _figures(core.runs[at], RUN) for at, name in enumerate(settings.schemes)}
    queues = zip(settings.schemes, core.queues[0], strict=False)
    flows = {name: (queue.flow.sum, queue.flow.at) for name, queue in queues}
    workers = {
        names[at]: _figures(worker, WORKER) | {"since": worker.since, "jobs": worker.others + worker.own}
        for at, worker in core.workers.items()
        if worker.others >= 0.0
    }
    return LearnedState(kinds, schemes, flows, workers)


def restore_state(
    core: Scheduler,
    state: LearnedState,
    index: Callable[[str], int | None],
    settings: SchedulerSettings,
    now: float,
) -> None:
    """Restores measurements into a scheduler that has its first list; skips unknown and invalid ones."""
    for at, kind in core.kinds.items():
        _put(kind, state.kinds.get(settings.kinds[at], {}), KIND, now)
    for at, name in enumerate(settings.schemes):
        _put(core.runs[at], state.schemes.get(name, {}), RUN, now)
        flow, flow_at = state.flows.get(name, (0.0, 0.0))
        _put(core.queues[0][at].flow, {"sum": flow, "at": flow_at}, FLOW, now)
    for name, figures in state.workers.items():
        known = index(name)
        if known is None or (entry := core.listed.get(known)) is None or figures.get("since") != entry.since:
            continue
        worker = core.workers.get(known) or core._add_worker(entry)
        if _put(worker, figures, WORKER, now) and 0.0 <= figures.get("jobs", -1.0) < MAX_VALUE:
            worker.others = figures["jobs"]  # the old process's own postings count as another scheduler's


def _figures(holder: object, names: dict[str, str]) -> dict[str, float]:
    return {key: round(float(getattr(holder, name)), 3) for key, name in names.items()}


def _put(holder: object, figures: dict[str, float], names: dict[str, str], now: float) -> bool:
    """Sets all of them or, if one is invalid, none."""
    if any(not 0.0 <= figures.get(key, -1.0) <= (now if key in TIMES else MAX_VALUE) for key in names):
        return False
    for key, name in names.items():
        setattr(holder, name, figures[key])
    return True
