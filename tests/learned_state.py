"""Plain asserts on what a new module inherits."""

import msgspec

from sableford.intake.scheduler_settings import SchedulerSettings
from sableford.learned_state import LearnedState, export_state, restore_state
from tests.decision_scenes import START, Play

SETTINGS = SchedulerSettings(None, ("quote",), ("here",), ("box",), (), 5000.0, 250.0, frozenset({"quote"}))


def scene() -> Play:
    play = Play()
    play.scheme("quote", "repeatable", "sla=300", "expiry=900")
    play.step("0 roster A; B since=-90000".split())
    return play


def old() -> Play:
    play = scene()
    for step in ("0 take t1-t2 quote", "5 start t1.0 t2.0", "50 end t1.0 settled 0 6", "60 take t3-t5 quote"):
        play.step(step.split())
    return play


def shows_a_new_process_knows_the_slots_and_runs_that_the_old_one_learned() -> None:
    exported = msgspec.json.decode(
        msgspec.json.encode(export_state(old().core, ["A", "B"], SETTINGS)), type=LearnedState
    )
    new, fresh = scene(), scene()
    restore_state(new.core, exported, {"A": 0, "B": 1}.get, SETTINGS, START + 100.0)
    for play in (new, fresh):
        play.step("100 take t1-t12 quote".split())
    posts = [sum(effect.startswith("post") for effect in play.told) for play in (new, fresh)]
    assert posts[1] == 4 and posts[0] >= 8, posts  # else two slots a worker, till reports tell more
    assert new.core.runs[0].mean() < fresh.core.runs[0].mean()


def shows_of_a_worker_started_since_and_of_senseless_figures_nothing_is_taken() -> None:
    exported = export_state(old().core, ["A", "B"], SETTINGS)
    assert exported.workers
    for figures in exported.workers.values():
        figures["since"] = START
    exported.kinds["box"]["slots"] = -4.0
    exported.schemes["quote"]["touched"] = START + 1e9
    exported.kinds["other"], exported.workers["Z"] = {}, {}
    new = scene()
    before = new.core.runs[0].mean()
    restore_state(new.core, exported, {"A": 0, "B": 1}.get, SETTINGS, START + 100.0)
    assert new.core.runs[0].mean() == before and new.core.kinds[0].slots == 0.0
    assert all(worker.others < 0.0 for worker in new.core.workers.values())
