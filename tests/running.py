"""Tests of the test runner: the summary of results, and the parsing of KNOWN-RED.txt."""

from tests.runner import (
    KnownRed,
    KnownRedError,
    Result,
    Test,
    read_known_red,
    run_one,
    split_exclusive,
    summarize,
)

TITLES = [f"module: test {number}" for number in range(5)]
COMMAND = "python -m tests 'test 1', seed 7"
LINE = f"module: test 1 | {COMMAND} | a lost message | 54"


def rejection_of(text: str) -> str:
    try:
        known = read_known_red(text, TITLES)
    except KnownRedError as error:
        return str(error)
    raise AssertionError(known)


def shows_known_red_lists_tests_each_with_command_symptom_and_issue() -> None:
    assert read_known_red("", TITLES) == ()
    expected = KnownRed("module: test 1", COMMAND, "a lost message", 54)
    assert read_known_red(f"\n{LINE}\n", TITLES) == (expected,)
    every = "".join(f"{title} | a command | seen | 7\n" for title in TITLES)
    assert [entry.test for entry in read_known_red(every, TITLES)] == TITLES


def shows_a_malformed_line_of_known_red_is_reported_in_one_line_with_its_number() -> None:
    for line, expected in (
        ("module: test 1", "not `test"),
        ("module: test 1 | a race in some.py | 54", "not `test"),
        ("module: test 1 | | a race | 54", "not `test"),
        (f"{LINE} | more", "not `test"),
        ("module: test 1 | a command | a race | soon", "not a number: 'soon'"),
        ("module: test 1 | a command | a race | \N{SUPERSCRIPT TWO}", "not a number"),
        ("module: test 9 | a command | a race | 54", "no test is called 'module: test 9'"),
        (f"module: test 2 | a command | {'long ' * 90} | 54", "characters, 400 at most"),
        (LINE, "listed twice"),
    ):
        message = rejection_of(f"{LINE}\n{line}")
        assert (
            message.startswith("KNOWN-RED.txt:2: ") and expected in message and "\n" not in message
        ), message


def shows_a_known_failure_is_printed_and_fails_nothing() -> None:
    known = read_known_red(LINE, TITLES)
    summary = summarize([Result(TITLES[0]), Result(TITLES[1], "AssertionError: x")], known)
    assert summary.lines == (
        "KNOWN RED module: test 1: failed: a lost message (issue 54)",
        "1 known red",
        "1 passed, 0 failed",
    )
    assert not summary.failed


def shows_a_listed_test_that_passes_is_printed_and_not_counted() -> None:
    summary = summarize([Result(TITLES[0]), Result(TITLES[1])], read_known_red(LINE, TITLES))
    assert summary.lines == (
        "KNOWN RED module: test 1: passed: a lost message (issue 54)",
        "1 known red",
        "1 passed, 0 failed",
    )
    assert not summary.failed


def shows_a_run_of_listed_tests_alone_is_no_pass() -> None:
    assert summarize([Result(TITLES[1])], read_known_red(LINE, TITLES)).failed


def shows_another_failure_beside_a_known_one_fails_the_run() -> None:
    results = [Result(TITLES[0]), Result(TITLES[1], "KeyError: 1"), Result(TITLES[2], "KeyError: 2")]
    summary = summarize(results, read_known_red(LINE, TITLES))
    assert summary.failed and summary.lines[-1] == "1 passed, 1 failed"
    assert "FAILED module: test 2\n    KeyError: 2" in summary.lines


def shows_a_run_of_no_tests_is_no_pass() -> None:
    assert summarize([], ()).failed and summarize([], ()).lines == ("0 passed, 0 failed",)


def shows_exclusive_tests_run_after_all_parallel_ones_and_none_is_omitted() -> None:
    tests = [Test(title, lambda: None, exclusive=number in (1, 3)) for number, title in enumerate(TITLES)]
    parallel, exclusive = split_exclusive(tests)
    assert [test.title for test in parallel] == [TITLES[0], TITLES[2], TITLES[4]]
    assert [test.title for test in exclusive] == [TITLES[1], TITLES[3]]


def shows_a_test_that_raises_fails_with_its_exception() -> None:
    def fail() -> None:
        raise KeyError("x")

    assert run_one(Test("a", fail)).failure == "KeyError: 'x'"
