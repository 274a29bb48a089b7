"""History of a run as the stubs observed it, and the check of four rules against it.

It records what workers ran, what clients were answered, what each scheduler was told about the workers, and
when each process was unavailable. Nothing that a scheduler reports about itself is used, so that a faulty
scheduler can't hide a violation. Times are ms since the start of the load.

Rules: (1) each attempt gets exactly one answer, in time and with the result of a worker, and isn't sent to a
worker afterwards; (2) an unsafe txn runs at most once, and not at all if it was declined; (3) a draining
worker gets no new txns after the grace period; (4) a worker that is warming up is not overloaded.
"""

from bisect import bisect_right
from collections import defaultdict
from typing import NamedTuple

TOLERANCE_MS = 300.0  # allowance for delivery, writing the answer, and delays of a busy machine
RUNS_ONCE = "unsafe"


class Violation(NamedTuple):
    """A broken rule: when, which, and the txn or worker concerned. Fields are keys of `rig run --json`."""

    at: float
    rule: str
    about: str
    said: str


class Attempt(NamedTuple):
    """One attempt of a request; it has a txn id of its own."""

    id: str
    request: int
    scheduler: str
    scheme: int
    at: float
    time_left: float


class Run(NamedTuple):
    """A txn at a worker. `at`: when its scheduler sent it (in `posts`), or when it started (in `runs`)."""

    id: str
    worker: str
    scheduler: str
    at: float


class History:
    """What happened in a run, as recorded by the stubs."""

    def __init__(self, effects: list[str], grace: float) -> None:
        """`effects`: the effect of each scheme. `grace`: ms for which a worker may still receive new txns
        after the scheduler was told to stop sending to it."""
        self.effects, self.grace = effects, grace
        self.attempts: dict[str, Attempt] = {}
        self.answers: dict[str, list[tuple[float, int, bytes]]] = defaultdict(list)
        self.closed_unanswered: dict[str, float] = {}  # txn -> when the connection ended without an answer
        self.posts: list[Run] = []
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.results: dict[str, set[bytes]] = defaultdict(set)
        # (scheduler, worker) -> (at, whether the scheduler was told that it may send to the worker)
        self.sendable: dict[tuple[str, str], list[tuple[float, bool]]] = defaultdict(list)
        # process -> (start, end, reason)
        self.unavailable: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
        self.client_link_faults: list[tuple[float, float]] = []  # faults on links of the clients
        self.overloads: list[tuple[float, str, float]] = []  # at, worker, by which factor
        self.events: list[tuple[float, str, str]] = []  # at, subject, text

    # Recording

    def record_attempt(self, attempt: Attempt) -> None:
        self.attempts[attempt.id] = attempt

    def record_answer(self, txn: str, at: float, status: int, body: bytes) -> None:
        self.answers[txn].append((at, status, body))

    def record_post(self, run: Run) -> None:
        self.posts.append(run)

    def record_start(self, run: Run) -> None:
        self.runs[run.id].append(run)

    def record_result(self, txn: str, result: bytes) -> None:
        self.results[txn].add(result)

    def record_sendable(self, scheduler: str, worker: str, at: float, may: bool) -> None:
        self.sendable[scheduler, worker].append((at, may))

    def record_unavailable(self, process: str, start: float, end: float, reason: str) -> None:
        self.unavailable[process].append((start, end, reason))

    def record_event(self, at: float, subject: str, text: str) -> None:
        self.events.append((at, subject, text))

    # Checks

    def violations(self) -> list[Violation]:
        """All violations of the rules, ordered by time."""
        violations = [
            *self._check_answers(),
            *self._check_repeats(),
            *self._check_drains(),
            *self._check_results(),
        ]
        violations += [
            Violation(at, "4 cold", worker, f"overloaded to {factor:.1f} times its capacity")
            for at, worker, factor in self.overloads
        ]
        return sorted(violations)

    def _was_unavailable(self, process: str, start: float, end: float) -> bool:
        return any(begin <= end and start <= until for begin, until, _ in self.unavailable[process])

    def _check_answers(self) -> list[Violation]:
        violations = []
        for txn, attempt in self.attempts.items():
            answers, expiry = self.answers[txn], attempt.at + attempt.time_left
            if len(answers) > 1:
                violations.append(Violation(answers[1][0], "1 answer", txn, f"{len(answers)} answers"))
            scheduler_unavailable = self._was_unavailable(attempt.scheduler, attempt.at, expiry)
            link_fault = any(
                start <= expiry + TOLERANCE_MS and attempt.at <= end for start, end in self.client_link_faults
            )
            if scheduler_unavailable or link_fault:
                continue
            if not answers and txn in self.closed_unanswered and self.runs[txn]:
                violations.append(
                    Violation(
                        self.closed_unanswered[txn],
                        "1 answer",
                        txn,
                        "accepted, then the connection ended without an answer",
                    )
                )
            elif not answers and txn not in self.closed_unanswered:
                violations.append(Violation(expiry, "1 answer", txn, "none"))
            elif answers and answers[0][0] > expiry + TOLERANCE_MS:
                violations.append(
                    Violation(answers[0][0], "1 answer", txn, f"{answers[0][0] - expiry:.0f} ms late")
                )
        for run in self.posts:
            received = self.answers.get(run.id)
            if received and run.at > received[0][0] + TOLERANCE_MS and not self.client_link_faults:
                violations.append(
                    Violation(run.at, "1 answer", run.id, f"sent to {run.worker} after its answer")
                )
        return violations

    def _check_repeats(self) -> list[Violation]:
        violations = []
        for txn, runs in self.runs.items():
            attempt = self.attempts.get(txn)
            if attempt is None:
                violations.append(Violation(runs[0].at, "2 twice", txn, "not sent by any client"))
            elif self.effects[attempt.scheme] == RUNS_ONCE:
                if len(runs) > 1:
                    violations.append(
                        Violation(
                            runs[1].at, "2 twice", txn, f"ran at {' and '.join(r.worker for r in runs)}"
                        )
                    )
                for at, status, _ in self.answers[txn]:
                    if status in (429, 503):
                        violations.append(
                            Violation(at, "2 twice", txn, f"declined, and {runs[0].worker} ran it")
                        )
        return violations

    def _check_drains(self) -> list[Violation]:
        violations = []
        for run in self.posts:
            sendable = self.sendable.get((run.scheduler, run.worker), [])
            at = bisect_right(sendable, (run.at, True))
            if not at or sendable[at - 1][1]:
                continue
            # The grace period runs from the first of several consecutive notices to stop sending.
            since = at - 1
            while since and not sendable[since - 1][1]:
                since -= 1
            elapsed = run.at - sendable[since][0]
            if elapsed > self.grace + TOLERANCE_MS and not self._was_unavailable(
                run.scheduler, sendable[since][0], run.at
            ):
                violations.append(
                    Violation(
                        run.at, "3 drain", run.id, f"{run.worker} got it {elapsed:.0f} ms after the notice"
                    )
                )
        return violations

    def _check_results(self) -> list[Violation]:
        return [
            Violation(at, "1 answer", txn, "answered with a result that no worker returned")
            for txn, answers in self.answers.items()
            for at, status, body in answers
            if status == 200 and body not in self.results[txn]
        ]
