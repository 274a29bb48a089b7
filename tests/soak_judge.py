"""Plain asserts on the soak's judge: what it says of a scene in which one thing went wrong."""

from copy import deepcopy
from random import Random

from tests.soaking import configurations
from tests.soaking.judge import Judge
from tests.soaking.plan import draw
from tests.soaking.record import Asked, Life, Record, Run, Sent, Version

KEY = "tenant-0.key-0"


def scene(*, order_key: str = "") -> Record:
    """A version in force since 0; message a, sent at 10 and run at 10.2; message b, the same at 11."""
    record = Record()
    first = configurations.first(Random(1))
    first["routes"] = [configurations.route(number, "alpha") for number in range(6)]
    record.versions.append(Version(first, 0.0, 1.0))
    for id, at in (("a", 10.0), ("b", 11.0)):
        path = "/r1/x" if order_key else "/r2/x"
        sent = Sent(id, "edge-1", "POST", path, b"", KEY, order_key, 0.0, at, at + 0.1, 202, f"0-{id}")
        record.sent[id] = sent
        run = Run(id, "i-1", "alpha", at + 0.2, at + 0.3, 200, f"seal-{id}", was_read=True)
        record.runs.append(run)
        record.tenants[id] = {"tenant-0"}
    record.lives.append(Life("edge-1", "edge", 0.0, [(20.0, "TERM")], 21.0, 0, was_up=True))
    return record


def rules(record: Record) -> set[str]:
    """The rules that are said to be broken."""
    return {wrong.split()[0] for wrong in Judge(record).wrongs()}


def next_version(record: Record, sent_at: float, acknowledged_at: float | None) -> Version:
    document = deepcopy(record.versions[-1].document)
    document["revision"] += 1
    version = Version(document, sent_at, acknowledged_at)
    record.versions.append(version)
    return version


# A judge that finds fault with a sound scene, or two that differ though nothing was drawn anew.
def shows_a_sound_scene_keeps_all_rules_and_a_seed_draws_the_same_plan() -> None:
    assert rules(scene()) == set() and rules(scene(order_key="k")) == set()
    assert draw(3) == draw(3)


# An accepted message that no worker ended passes.
def shows_an_accepted_message_without_an_end_is_lost_unless_its_route_was_dropped() -> None:
    record = scene()
    record.runs.pop()
    assert rules(record) == {"LOST"}
    dropping = next_version(record, 12.0, None)
    dropping.document["routes"] = dropping.document["routes"][:2]
    assert rules(record) == set()
    dropping.refused = True
    assert rules(record) == {"LOST"}
    for _ in range(configurations.MAX_TRIES):
        assert rules(record) == {"LOST"}
        record.runs.append(Run("b", "i-1", "alpha", 11.2, 11.3, 500))
    assert rules(record) == set()


# A run after a success that its sender had read passes, or one in trouble does not.
def shows_a_run_after_a_read_success_is_a_wrong_outside_of_trouble() -> None:
    record = scene()
    record.runs.append(Run("a", "i-2", "alpha", 12.0, 12.1, 200, "other"))
    assert rules(record) == {"TWICE"}
    record.troubles.append((11.0, "SIGKILL store-1"))
    assert rules(record) == set()
    record.troubles[0] = (13.0, "SIGKILL store-1")
    assert rules(record) == {"TWICE"}
    record.runs[0].was_read = False
    assert rules(record) == set()


# A message that overtakes an earlier one of its key passes.
def shows_a_start_before_an_earlier_one_of_its_key_has_ended_is_a_wrong() -> None:
    record = scene(order_key="k")
    record.runs[0].ended_at = 11.25
    assert rules(record) == {"ORDER"}
    record.sent["a"].answered_at = 11.05
    assert rules(record) == set()
    free = scene()
    free.runs[0].ended_at = 11.25
    assert rules(free) == set()


# What a refusal promised never to run has run.
def shows_a_run_of_what_was_refused_is_a_wrong() -> None:
    for status in (503, 429):
        record = scene()
        record.sent["a"].status = status
        assert rules(record) == {"REFUSED"}


# An older version is used past its time, or a newer one is held against what was sent before.
def shows_an_answer_or_a_run_by_a_version_that_is_no_more_in_force_is_a_wrong() -> None:
    record = scene()
    version = next_version(record, 5.0, 6.0)
    version.document["routes"] = version.document["routes"][:2]
    assert rules(record) == {"CONFIG", "ROUTE"}
    version.acknowledged_at = 7.5
    assert rules(record) == {"CONFIG", "ROUTE"}  # b alone
    version.acknowledged_at = 9.0
    assert rules(record) == set()
    moved = scene()
    for route in next_version(moved, 5.0, 6.0).document["routes"]:
        route["backend"] = "beta"
    assert rules(moved) == {"ROUTE"}


# A run before its delay is over passes.
def shows_a_run_before_its_delay_is_a_wrong() -> None:
    record = scene()
    record.sent["a"].delay_ms = 500.0
    assert rules(record) == {"EARLY"}


# Two messages of one name, an answer that no message gets, or a process that ends by itself pass.
def shows_names_given_twice_strange_answers_and_ends_of_their_own_are_wrongs() -> None:
    record = scene()
    record.sent["a"].ref = record.sent["b"].ref
    assert rules(record) == {"MIXED"}
    record = scene()
    record.sent["a"].status = 500
    assert rules(record) == {"ANSWER"}
    for code, signals in ((70, "TERM"), (-9, "TERM"), (0, "HUP"), (-1, "HUP"), (-15, "TERM"), (None, "TERM")):
        record = scene()
        record.lives[0].code, record.lives[0].signals = code, [(20.0, signals)]
        assert rules(record) == {"FAULT"}, (code, signals)


# A state that no run had brought about by then passes.
def shows_a_state_that_was_not_yet_so_is_a_wrong() -> None:
    for status, phase, seal, wrong in (
        (200, "complete", "seal-a", set()),
        (200, "complete", "seal-b", {"MIXED"}),
        (200, "complete", "", {"MIXED"}),
        (200, "dead_letter", "", set()),
        (200, "pending", "", set()),
        (404, "", "", {"LOST"}),
        (503, "", "", set()),
        (500, "", "", {"ANSWER"}),
    ):
        record = scene()
        record.asked.append(Asked("a", 10.5, 10.6, status, phase, seal))
        assert rules(record) == wrong, (status, phase, seal)
    for phase, seal in (("complete", "seal-a"), ("dead_letter", "")):
        record = scene()
        record.asked.append(Asked("a", 10.2, 10.25, 200, phase, seal))
        assert rules(record) == {"MIXED"}, phase
