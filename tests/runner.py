"""Runs tests in several processes and summarizes the results, with known failures reported separately.

Tests of pure functions run in a few processes in parallel. Tests that start processes or use sockets run one
after another once the rest is done, so that they do not slow each other down.
"""

import faulthandler
import multiprocessing
import os
import re
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from pathlib import Path

import msgspec

TEST_TIMEOUT_S = 180.0  # per test; three times the limit of a scenario with several processes
WORKERS = 4  # parallel processes; the number of cores of a small CI machine
MAX_ENTRY_CHARACTERS = 400  # per line of KNOWN-RED.txt
KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


class Test(msgspec.Struct, frozen=True):
    title: str
    check: Callable[[], None]
    exclusive: bool = False  # no other test runs beside it


class Result(msgspec.Struct, frozen=True):
    title: str
    failure: str = ""  # what failed; empty if the test passed
    seconds: float = 0.0


class KnownRed(msgspec.Struct, frozen=True):
    """A test that fails because of a real fault that is not fixed yet; one line of KNOWN-RED.txt."""

    test: str  # its title, as the runner prints it
    command: str  # command that reproduces the failure, with its seed
    seen: str  # what failed
    issue: int


class KnownRedError(ValueError):
    """KNOWN-RED.txt is malformed; the message names the line and the error."""


class Summary(msgspec.Struct, frozen=True):
    """The printed lines, the totals last, and whether the run failed."""

    lines: tuple[str, ...]
    failed: bool


def read_known_red(text: str, titles: Iterable[str]) -> tuple[KnownRed, ...]:
    """Lines of the form `test | command and seed | seen | issue`. Blank lines are ignored; comments
    are not supported.

    >>> read_known_red("a: b | python -m tests 'a: b', seed 7 | a lost message | 54", ["a: b"])
    (KnownRed(test='a: b', command="python -m tests 'a: b', seed 7", seen='a lost message', issue=54),)
    >>> read_known_red("a: b | x | 54", ["a: b"])
    Traceback (most recent call last):
    tests.runner.KnownRedError: KNOWN-RED.txt:1: not `test | command and seed | seen | issue`: 'a: b | x | 54'
    """
    known: list[KnownRed] = []
    names = set(titles)
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip():
            known.append(_known_red(f"KNOWN-RED.txt:{number}", line, names, known))
    return tuple(known)


def _known_red(location: str, line: str, titles: set[str], earlier: list[KnownRed]) -> KnownRed:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 4 or not all(parts):
        form = "`test | command and seed | seen | issue`"
        raise KnownRedError(f"{location}: not {form}: {line.strip()!r}")
    if len(line) > MAX_ENTRY_CHARACTERS:
        raise KnownRedError(f"{location}: {len(line)} characters, {MAX_ENTRY_CHARACTERS} at most")
    test, command, seen, issue = parts
    if not re.fullmatch(r"[0-9]{1,9}", issue):
        raise KnownRedError(f"{location}: the issue is not a number: {issue!r}")
    if test not in titles:
        raise KnownRedError(f"{location}: no test is called {test!r}")
    if any(entry.test == test for entry in earlier):
        raise KnownRedError(f"{location}: listed twice: {test!r}")
    return KnownRed(test, command, seen, int(issue))


def summarize(results: Sequence[Result], known: Sequence[KnownRed]) -> Summary:
    """Summarizes a run. A listed test is printed with its outcome but not counted as passed or failed: a
    flaky one may pass, and is removed from the list only by its fix."""
    known_by_title = {entry.test: entry for entry in known}
    lines: list[str] = []
    passed = failed = 0
    for result in results:
        entry = known_by_title.get(result.title)
        if entry is not None:
            outcome = "failed" if result.failure else "passed"
            lines.append(f"KNOWN RED {entry.test}: {outcome}: {entry.seen} (issue {entry.issue})")
        elif result.failure:
            failed += 1
            lines.append(f"FAILED {result.title}\n    {result.failure}")
        else:
            passed += 1
    if known:
        lines.append(f"{sum(result.title in known_by_title for result in results)} known red")
    lines.append(f"{passed} passed, {failed} failed")
    return Summary(tuple(lines), failed > 0 or passed == 0)


def run_one(test: Test) -> Result:
    faulthandler.dump_traceback_later(TEST_TIMEOUT_S, exit=True)  # exceeds every test's own time-out
    started = time.monotonic()
    try:
        test.check()
        failure = ""
    except Exception as error:
        failure = f"{type(error).__name__}: {error}"
    finally:
        faulthandler.cancel_dump_traceback_later()
    return Result(test.title, failure, time.monotonic() - started)


_tests: Sequence[Test] = ()  # inherited by the forked processes: checks can't be pickled


def _run_numbered(number: int) -> Result:
    return run_one(_tests[number])


def split_exclusive(tests: Sequence[Test]) -> tuple[list[Test], list[Test]]:
    """The tests that may run in parallel, and those that must run alone; the order is kept in both."""
    return [test for test in tests if not test.exclusive], [test for test in tests if test.exclusive]


def run_all(tests: Sequence[Test], workers: int = WORKERS) -> Iterator[Result]:
    """Yields each test's result, in the order of `split_exclusive`. Raises BrokenProcessPool if a test
    ended its process or was terminated after TEST_TIMEOUT_S. Must not be called from within a test: a forked
    process inherits the faulthandler timer of `run_one`, which then never ends."""
    global _tests
    _tests, exclusive = split_exclusive(tests)
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(min(workers, os.cpu_count() or 1), mp_context=fork) as pool:
        yield from pool.map(_run_numbered, range(len(_tests)))
    yield from map(run_one, exclusive)


def main(tests: Sequence[Test], words: Sequence[str] = (), slowest: int = 0) -> int:
    """Runs the tests; returns exit code 1 if something failed, or 2, without running any test, if
    KNOWN-RED.txt is malformed. `words`: only tests with one of them in their title. `slowest`: the number of
    slowest tests to print with their duration."""
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    try:
        known = read_known_red(text, [test.title for test in tests])
    except KnownRedError as error:
        print(error)
        return 2
    selected = [test for test in tests if not words or any(word in test.title for word in words)]
    try:
        results = list(run_all(selected))
    except BrokenProcessPool:
        print(f"FAILED: a test ended its process, or took over {TEST_TIMEOUT_S:.0f} s (see its stack above)")
        return 1
    for result in sorted(results, key=lambda result: -result.seconds)[:slowest]:
        print(f"{result.seconds:8.2f} s  {result.title}")
    summary = summarize(results, known)
    print("\n".join(summary.lines))
    return 1 if summary.failed else 0
