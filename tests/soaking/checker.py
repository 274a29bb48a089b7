"""Checks a history against the rules (RULES.md). Each violation is a line that begins with its rule."""

from collections import defaultdict
from collections.abc import Iterator

from tests.soaking.configurations import (
    HAS_TENANTS,
    MAX_ATTEMPTS,
    expected_response,
    has_key,
    matching_route,
    tenant_of_key,
)
from tests.soaking.fleet import TIME_BOUNDS
from tests.soaking.history import History, Incarnation, Run, SentMessage, Version

APPLY_S = TIME_BOUNDS["applyMs"] / 1000.0
QUIET_S = TIME_BOUNDS["quietMs"] / 1000.0
NOT_BEFORE_S = TIME_BOUNDS["notBeforeMs"] / 1000.0
NOT_RUN_STATUSES = (400, 401, 404, 408, 421, 429, 503)
CONFIGURATION_STATUSES = (404, 401, 202)  # determined by the configuration alone
EXPECTED_STATUSES = (202, 401, 404, 408, 429, 503, 504, 0)
STATE_STATUSES = (200, 401, 404, 408, 503)
EXIT_SIGNALS = {0: ("TERM",), -15: ("TERM",), -9: ("KILL",)}


class Checker:
    def __init__(self, history: History) -> None:
        self.history = history
        self.runs: dict[str, list[Run]] = defaultdict(list)
        for run in history.runs:
            self.runs[run.id].append(run)

    def violations(self) -> list[str]:
        checks = (
            self._check_responses,
            self._check_states,
            self._check_runs,
            self._check_completion,
            self._check_order,
            self._check_duplicates,
            self._check_exits,
        )
        return [violation for check in checks for violation in check()]

    # Configurations

    def in_force(self, sent_at: float, until: float) -> list[Version]:
        """Versions that may apply to a request sent at `sent_at` and handled by `until`: those not rejected,
        from the newest revision that was acknowledged more than APPLY_S before `sent_at`."""
        candidates = [
            version for version in self.history.versions if not version.rejected and version.sent_at <= until
        ]
        applied = [
            version.revision
            for version in candidates
            if version.acknowledged_at is not None and version.acknowledged_at + APPLY_S < sent_at
        ]
        return [version for version in candidates if version.revision >= max(applied, default=0)]

    def route_was_dropped(self, message: SentMessage, until: float) -> bool:
        """Whether a configuration that may have been in force by `until` had dropped the message's route."""
        first = min(version.revision for version in self.in_force(message.sent_at, message.responded_at))
        return any(
            matching_route(version.document, message.path) is None
            for version in self.history.versions
            if not version.rejected and version.revision > first and version.sent_at <= until
        )

    # Rules

    def _check_responses(self) -> Iterator[str]:
        refs: dict[str, str] = {}
        for message in self.history.messages.values():
            if message.status not in EXPECTED_STATUSES:
                yield f"ANSWER {message.id} at {message.edge}: {message.status}"
            if message.accepted and refs.setdefault(message.ref, message.id) != message.id:
                yield f"MIXED {message.id} and {refs[message.ref]} have the same reference {message.ref}"
            versions = self.in_force(message.sent_at, message.responded_at)
            allowed = {
                expected_response(version.document, message.path, message.key)[0] for version in versions
            }
            if message.status in CONFIGURATION_STATUSES and message.status not in allowed:
                numbers = [version.revision for version in versions]
                yield (
                    f"CONFIG {message.id} at {message.edge}: "
                    f"{message.status}; {numbers} allow {sorted(allowed)}"
                )
            if message.status in NOT_RUN_STATUSES and self.runs[message.id]:
                yield f"REFUSED {message.id}: rejected with {message.status}, but it ran"

    def _check_states(self) -> Iterator[str]:
        """Checks the responses to state queries, during processing and after it."""
        for query in self.history.state_queries:
            message = self.history.messages[query.id]
            versions = self.in_force(query.sent_at, query.responded_at)
            if query.status not in STATE_STATUSES:
                yield f"ANSWER {query.id}: state query returned {query.status}"
            if query.status == 404 and not self.route_was_dropped(message, query.responded_at):
                yield f"LOST {query.id}: state query returned 404"
            if query.status == 401 and all(self._may_query(version, message) for version in versions):
                yield f"CONFIG {query.id}: state query returned 401 for a valid key"
            if query.phase == "complete" and query.seal not in self._seals(query.id, query.responded_at):
                yield f"MIXED {query.id}: complete with {query.seal!r}, which no run had returned by then"
            if query.phase == "dead_letter" and not self._is_finished(message, query.responded_at):
                yield f"MIXED {query.id}: dead_letter before its last run had ended"

    def _may_query(self, version: Version, message: SentMessage) -> bool:
        """Whether the message's key is valid in that version; a message without a tenant needs no key. Its
        tenant is the one that workers received."""
        tenants = self.history.tenants.get(message.id, set())
        return not HAS_TENANTS or tenants == {""} or has_key(version.document, message.key)

    def _seals(self, id: str, until: float) -> set[str]:
        return {run.seal for run in self.runs[id] if run.status == 200 and run.ended_at <= until}

    def _is_finished(self, message: SentMessage, until: float) -> bool:
        ended = self.ended_at(message.id)
        return (ended is not None and ended <= until) or self.route_was_dropped(message, until)

    def _check_runs(self) -> Iterator[str]:
        for run in self.history.runs:
            message = self.history.messages.get(run.id)
            if message is None:
                continue  # reported on arrival, by WorkerPool.check_request
            versions = self.in_force(message.sent_at, run.started_at)
            routes = [matching_route(version.document, message.path) for version in versions]
            if run.service not in {route["backend"] for route in routes if route is not None}:
                numbers = [version.revision for version in versions]
                yield f"ROUTE {run.id}: run by {run.service} at {run.worker}, by none of {numbers}"
            if run.started_at < message.sent_at + message.delay_ms / 1000.0 - NOT_BEFORE_S:
                yield f"EARLY {run.id}: {run.started_at - message.sent_at:.3f} s after it was sent"
            yield from self._check_tenant(message, versions)

    def _check_tenant(self, message: SentMessage, versions: list[Version]) -> Iterator[str]:
        allowed = {expected_response(version.document, message.path, message.key) for version in versions}
        tenants = {tenant for status, tenant in allowed if status == 202}
        if not tenants:
            yield f"ROUTE {message.id}: run with the key {message.key!r}, which no version in force has"
        elif HAS_TENANTS and not self.history.tenants[message.id] <= tenants:
            yield f"UNASKED {message.id}: Tenant {self.history.tenants[message.id]}, allowed: {tenants}"

    def ended_at(self, id: str) -> float | None:
        """When a worker's response finished the message; None if none did."""
        failures = 0
        for run in sorted(self.runs[id], key=lambda run: run.ended_at):
            failures += run.status == 500
            if run.status in (200, 422) or failures >= MAX_ATTEMPTS:
                return run.ended_at
        return None

    def unfinished(self) -> list[SentMessage]:
        """Accepted messages that are not finished."""
        return [
            message
            for message in self.history.messages.values()
            if message.accepted
            and self.ended_at(message.id) is None
            and not self.route_was_dropped(message, float("inf"))
        ]

    def _check_completion(self) -> Iterator[str]:
        for message in self.unfinished():
            results = [(run.worker, run.status) for run in self.runs[message.id]]
            yield (
                f"LOST {message.id}: accepted at {message.edge} as {message.ref} "
                f"and not finished; runs: {results}"
            )

    def _check_order(self) -> Iterator[str]:
        queues: dict[tuple[str, str], list[SentMessage]] = defaultdict(list)
        for message in self.history.messages.values():
            if message.order_key:
                queues[tenant_of_key(message.key) if HAS_TENANTS else "", message.order_key].append(message)
        for queue in queues.values():
            for later in queue:
                for run in self.runs[later.id]:
                    yield from self._check_order_of(run, later, queue)

    def _check_order_of(self, run: Run, later: SentMessage, queue: list[SentMessage]) -> Iterator[str]:
        for earlier in queue:
            if not earlier.accepted or earlier.responded_at >= later.sent_at:
                continue
            if not self._is_finished(earlier, run.started_at):
                yield f"ORDER {later.id} started at {run.worker} before {earlier.id} had ended"

    def _check_duplicates(self) -> Iterator[str]:
        for id, runs in self.runs.items():
            succeeded = [run for run in runs if run.status == 200 and run.response_read]
            for first in succeeded:
                for repeat in runs:
                    if repeat.started_at > first.ended_at and not self._had_fault(
                        first.started_at, repeat.started_at
                    ):
                        yield f"TWICE {id}: ran at {first.worker}, and again at {repeat.worker}"

    def _had_fault(self, started: float, ended: float) -> bool:
        return any(started - QUIET_S <= at <= ended for at, _ in self.history.faults)

    def _check_exits(self) -> Iterator[str]:
        for incarnation in self.history.incarnations:
            if not self._exit_is_expected(incarnation):
                signals = [name for _, name in incarnation.signals]
                yield f"FAULT {incarnation.node} exited with {incarnation.code} after the signals {signals}"

    def _exit_is_expected(self, incarnation: Incarnation) -> bool:
        if incarnation.code is None:
            return False
        if incarnation.code == -15 and incarnation.was_serving:
            return False  # SIGTERM ended it without an orderly shutdown, although it served
        return incarnation.received(*EXIT_SIGNALS.get(incarnation.code, ()))

    def longest_shutdown_s(self) -> float:
        """The longest time from SIGTERM to the exit, of processes that got neither SIGSTOP nor SIGKILL."""
        longest = 0.0
        for incarnation in self.history.incarnations:
            terms = [at for at, name in incarnation.signals if name == "TERM"]
            if terms and incarnation.ended_at and not incarnation.received("STOP", "KILL"):
                longest = max(longest, incarnation.ended_at - terms[0])
        return longest
