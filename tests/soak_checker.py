"""Tests of the soak test's checker: the violations that it finds in a history with one fault."""

from copy import deepcopy
from random import Random

from tests.soaking import configurations
from tests.soaking.checker import Checker
from tests.soaking.history import History, Incarnation, Run, SentMessage, StateQuery, Version
from tests.soaking.plan import make_plan

KEY = "tenant-0.key-0"


def valid_history(*, order_key: str = "") -> History:
    """A version in force since 0; message a, sent at 10 and run at 10.2; message b, likewise at 11."""
    history = History()
    first = configurations.initial_document(Random(1))
    first["routes"] = [configurations.route(number, "alpha") for number in range(6)]
    history.versions.append(Version(first, 0.0, 1.0))
    for id, at in (("a", 10.0), ("b", 11.0)):
        path = "/r1/x" if order_key else "/r2/x"
        message = SentMessage(
            id, "edge-1", "POST", path, b"", KEY, order_key, 0.0, at, at + 0.1, 202, f"0-{id}"
        )
        history.messages[id] = message
        run = Run(id, "i-1", "alpha", at + 0.2, at + 0.3, 200, f"seal-{id}", response_read=True)
        history.runs.append(run)
        history.tenants[id] = {"tenant-0"}
    history.incarnations.append(
        Incarnation("edge-1", "edge", 0.0, [(20.0, "TERM")], 21.0, 0, was_serving=True)
    )
    return history


def broken_rules(history: History) -> set[str]:
    """The names of the violated rules."""
    return {violation.split()[0] for violation in Checker(history).violations()}


def next_version(history: History, sent_at: float, acknowledged_at: float | None) -> Version:
    document = deepcopy(history.versions[-1].document)
    document["revision"] += 1
    version = Version(document, sent_at, acknowledged_at)
    history.versions.append(version)
    return version


# Guards against violations reported for a valid history, and against plans that a seed does not determine.
def shows_a_valid_history_has_no_violations_and_a_seed_determines_the_plan() -> None:
    assert broken_rules(valid_history()) == set() and broken_rules(valid_history(order_key="k")) == set()
    assert make_plan(3) == make_plan(3)


# Guards against a missed loss: an accepted message that no worker finished.
def shows_an_unfinished_accepted_message_is_lost_unless_its_route_was_dropped() -> None:
    history = valid_history()
    history.runs.pop()
    assert broken_rules(history) == {"LOST"}
    dropping = next_version(history, 12.0, None)
    dropping.document["routes"] = dropping.document["routes"][:2]
    assert broken_rules(history) == set()
    dropping.rejected = True
    assert broken_rules(history) == {"LOST"}
    for _ in range(configurations.MAX_ATTEMPTS):
        assert broken_rules(history) == {"LOST"}
        history.runs.append(Run("b", "i-1", "alpha", 11.2, 11.3, 500))
    assert broken_rules(history) == set()


# Guards against a missed repeat after a success that the sender had read, and a false report near a fault.
def shows_a_run_after_a_read_success_is_a_violation_unless_a_fault_was_near() -> None:
    history = valid_history()
    history.runs.append(Run("a", "i-2", "alpha", 12.0, 12.1, 200, "other"))
    assert broken_rules(history) == {"TWICE"}
    history.faults.append((11.0, "SIGKILL store-1"))
    assert broken_rules(history) == set()
    history.faults[0] = (13.0, "SIGKILL store-1")
    assert broken_rules(history) == {"TWICE"}
    history.runs[0].response_read = False
    assert broken_rules(history) == set()


# Guards against a missed overtaking: a start before an earlier message with the same order key has ended.
def shows_a_start_before_an_earlier_message_of_its_order_key_has_ended_is_a_violation() -> None:
    history = valid_history(order_key="k")
    history.runs[0].ended_at = 11.25
    assert broken_rules(history) == {"ORDER"}
    history.messages["a"].responded_at = 11.05
    assert broken_rules(history) == set()
    free = valid_history()
    free.runs[0].ended_at = 11.25
    assert broken_rules(free) == set()


# Guards against a missed run of a message whose rejection promised that it never runs.
def shows_a_run_of_a_rejected_message_is_a_violation() -> None:
    for status in (503, 429):
        history = valid_history()
        history.messages["a"].status = status
        assert broken_rules(history) == {"REFUSED"}


# Guards against a missed use of an outdated version, and a false report for messages sent before a newer one.
def shows_a_response_or_a_run_under_a_version_no_longer_in_force_is_a_violation() -> None:
    history = valid_history()
    version = next_version(history, 5.0, 6.0)
    version.document["routes"] = version.document["routes"][:2]
    assert broken_rules(history) == {"CONFIG", "ROUTE"}
    version.acknowledged_at = 7.5
    assert broken_rules(history) == {"CONFIG", "ROUTE"}  # only message b
    version.acknowledged_at = 9.0
    assert broken_rules(history) == set()
    moved = valid_history()
    for route in next_version(moved, 5.0, 6.0).document["routes"]:
        route["backend"] = "beta"
    assert broken_rules(moved) == {"ROUTE"}


# Guards against a missed early run.
def shows_a_run_before_its_delay_is_a_violation() -> None:
    history = valid_history()
    history.messages["a"].delay_ms = 500.0
    assert broken_rules(history) == {"EARLY"}


# Guards against missed duplicate references, unexpected statuses and processes that exit without a signal.
def shows_duplicate_references_unexpected_statuses_and_unrequested_exits_are_violations() -> None:
    history = valid_history()
    history.messages["a"].ref = history.messages["b"].ref
    assert broken_rules(history) == {"MIXED"}
    history = valid_history()
    history.messages["a"].status = 500
    assert broken_rules(history) == {"ANSWER"}
    for code, signals in ((70, "TERM"), (-9, "TERM"), (0, "HUP"), (-1, "HUP"), (-15, "TERM"), (None, "TERM")):
        history = valid_history()
        history.incarnations[0].code, history.incarnations[0].signals = code, [(20.0, signals)]
        assert broken_rules(history) == {"FAULT"}, (code, signals)


# Guards against a missed wrong state: one that no run had caused by then.
def shows_a_state_reported_too_early_is_a_violation() -> None:
    for status, phase, seal, violations in (
        (200, "complete", "seal-a", set()),
        (200, "complete", "seal-b", {"MIXED"}),
        (200, "complete", "", {"MIXED"}),
        (200, "dead_letter", "", set()),
        (200, "pending", "", set()),
        (404, "", "", {"LOST"}),
        (503, "", "", set()),
        (500, "", "", {"ANSWER"}),
    ):
        history = valid_history()
        history.state_queries.append(StateQuery("a", 10.5, 10.6, status, phase, seal))
        assert broken_rules(history) == violations, (status, phase, seal)
    for phase, seal in (("complete", "seal-a"), ("dead_letter", "")):
        history = valid_history()
        history.state_queries.append(StateQuery("a", 10.2, 10.25, 200, phase, seal))
        assert broken_rules(history) == {"MIXED"}, phase
