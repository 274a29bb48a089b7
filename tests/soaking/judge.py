"""Whether what was seen keeps the rules (RULES.md). Each wrong is one line that begins with the rule."""

from collections import defaultdict
from collections.abc import Iterator

from tests.soaking.configurations import HAS_TENANTS, MAX_TRIES, expected, has_key, route_of, tenant_of_key
from tests.soaking.fleet import BOUNDS
from tests.soaking.record import Life, Record, Run, Sent, Version

APPLY_S = BOUNDS["applyMs"] / 1000.0
QUIET_S = BOUNDS["quietMs"] / 1000.0
NOT_BEFORE_S = BOUNDS["notBeforeMs"] / 1000.0
NEVER_RUN = (400, 401, 404, 408, 421, 429, 503)
OWN_ANSWERS = (404, 401, 202)  # that follow from the configuration alone
LIKELY = (202, 401, 404, 408, 429, 503, 504, 0)
STATE_ANSWERS = (200, 401, 404, 408, 503)
ENDED_BY = {0: ("TERM",), -15: ("TERM",), -9: ("KILL",)}


class Judge:
    def __init__(self, record: Record) -> None:
        self.record = record
        self.runs: dict[str, list[Run]] = defaultdict(list)
        for run in record.runs:
            self.runs[run.id].append(run)

    def wrongs(self) -> list[str]:
        checks = (
            self._answers,
            self._states,
            self._runs,
            self._ends,
            self._order,
            self._repeats,
            self._lives,
        )
        return [wrong for check in checks for wrong in check()]

    # Configurations

    def in_force(self, sent_at: float, until: float) -> list[Version]:
        """Versions by which what was sent then may be handled until then."""
        able = [one for one in self.record.versions if not one.refused and one.sent_at <= until]
        settled = [
            one.revision
            for one in able
            if one.acknowledged_at is not None and one.acknowledged_at + APPLY_S < sent_at
        ]
        return [one for one in able if one.revision >= max(settled, default=0)]

    def was_dropped(self, sent: Sent, until: float) -> bool:
        """A configuration that may have been in force by then has dropped its route."""
        first = min(one.revision for one in self.in_force(sent.sent_at, sent.answered_at))
        return any(
            route_of(one.document, sent.path) is None
            for one in self.record.versions
            if not one.refused and one.revision > first and one.sent_at <= until
        )

    # What holds

    def _answers(self) -> Iterator[str]:
        refs: dict[str, str] = {}
        for sent in self.record.sent.values():
            if sent.status not in LIKELY:
                yield f"ANSWER {sent.id} at {sent.edge}: {sent.status}"
            if sent.accepted and refs.setdefault(sent.ref, sent.id) != sent.id:
                yield f"MIXED {sent.id} and {refs[sent.ref]} are both called {sent.ref}"
            versions = self.in_force(sent.sent_at, sent.answered_at)
            allowed = {expected(one.document, sent.path, sent.key)[0] for one in versions}
            if sent.status in OWN_ANSWERS and sent.status not in allowed:
                numbers = [one.revision for one in versions]
                yield f"CONFIG {sent.id} at {sent.edge}: {sent.status}; {numbers} allow {sorted(allowed)}"
            if sent.status in NEVER_RUN and self.runs[sent.id]:
                yield f"REFUSED {sent.id}: answered {sent.status}, and it ran"

    def _states(self) -> Iterator[str]:
        """What askers were told while the message was under way or had ended."""
        for asked in self.record.asked:
            sent = self.record.sent[asked.id]
            versions = self.in_force(asked.sent_at, asked.answered_at)
            if asked.status not in STATE_ANSWERS:
                yield f"ANSWER {asked.id}: its state was answered with {asked.status}"
            if asked.status == 404 and not self.was_dropped(sent, asked.answered_at):
                yield f"LOST {asked.id}: its state was answered with 404"
            if asked.status == 401 and all(self._may_ask(one, sent) for one in versions):
                yield f"CONFIG {asked.id}: its state was answered with 401, and its key is there"
            if asked.phase == "complete" and asked.seal not in self._seals(asked.id, asked.answered_at):
                yield f"MIXED {asked.id}: complete with {asked.seal!r}, which no run had by then"
            if asked.phase == "dead_letter" and not self._has_ended(sent, asked.answered_at):
                yield f"MIXED {asked.id}: dead_letter, and it had not ended"

    def _may_ask(self, version: Version, sent: Sent) -> bool:
        """Its key is known there; a message of no tenant needs none. Whose it is, a worker was told."""
        tenants = self.record.tenants.get(sent.id, set())
        return not HAS_TENANTS or tenants == {""} or has_key(version.document, sent.key)

    def _seals(self, id: str, until: float) -> set[str]:
        return {run.seal for run in self.runs[id] if run.status == 200 and run.ended_at <= until}

    def _has_ended(self, sent: Sent, until: float) -> bool:
        ended = self.ended_at(sent.id)
        return (ended is not None and ended <= until) or self.was_dropped(sent, until)

    def _runs(self) -> Iterator[str]:
        for run in self.record.runs:
            sent = self.record.sent.get(run.id)
            if sent is None:
                continue  # told as it came
            versions = self.in_force(sent.sent_at, run.begun_at)
            routes = [route_of(one.document, sent.path) for one in versions]
            if run.service not in {one["backend"] for one in routes if one is not None}:
                numbers = [one.revision for one in versions]
                yield f"ROUTE {run.id}: run by {run.service} at {run.worker}, by none of {numbers}"
            if run.begun_at < sent.sent_at + sent.delay_ms / 1000.0 - NOT_BEFORE_S:
                yield f"EARLY {run.id}: {run.begun_at - sent.sent_at:.3f} s after it was sent"
            yield from self._tenant(sent, versions)

    def _tenant(self, sent: Sent, versions: list[Version]) -> Iterator[str]:
        allowed = {expected(one.document, sent.path, sent.key) for one in versions}
        tenants = {tenant for status, tenant in allowed if status == 202}
        if not tenants:
            yield f"ROUTE {sent.id}: run with the key {sent.key!r}, which none held"
        elif HAS_TENANTS and not self.record.tenants[sent.id] <= tenants:
            yield f"UNASKED {sent.id}: Tenant {self.record.tenants[sent.id]} where {tenants} may be"

    def ended_at(self, id: str) -> float | None:
        """When a worker's answer ended it."""
        failures = 0
        for run in sorted(self.runs[id], key=lambda run: run.ended_at):
            failures += run.status == 500
            if run.status in (200, 422) or failures >= MAX_TRIES:
                return run.ended_at
        return None

    def open(self) -> list[Sent]:
        """Accepted messages that have not ended."""
        return [
            sent
            for sent in self.record.sent.values()
            if sent.accepted and self.ended_at(sent.id) is None and not self.was_dropped(sent, float("inf"))
        ]

    def _ends(self) -> Iterator[str]:
        for sent in self.open():
            seen = [(run.worker, run.status) for run in self.runs[sent.id]]
            yield f"LOST {sent.id}: accepted at {sent.edge} as {sent.ref} and not ended; runs: {seen}"

    def _order(self) -> Iterator[str]:
        queues: dict[tuple[str, str], list[Sent]] = defaultdict(list)
        for sent in self.record.sent.values():
            if sent.order_key:
                queues[tenant_of_key(sent.key) if HAS_TENANTS else "", sent.order_key].append(sent)
        for queue in queues.values():
            for later in queue:
                for run in self.runs[later.id]:
                    yield from self._order_of(run, later, queue)

    def _order_of(self, run: Run, later: Sent, queue: list[Sent]) -> Iterator[str]:
        for earlier in queue:
            if not earlier.accepted or earlier.answered_at >= later.sent_at:
                continue
            if not self._has_ended(earlier, run.begun_at):
                yield f"ORDER {later.id} began at {run.worker} before {earlier.id} had ended"

    def _repeats(self) -> Iterator[str]:
        for id, runs in self.runs.items():
            done = [run for run in runs if run.status == 200 and run.was_read]
            for first in done:
                for again in runs:
                    if again.begun_at > first.ended_at and not self._troubled(first.begun_at, again.begun_at):
                        yield f"TWICE {id}: ran at {first.worker}, and again at {again.worker}"

    def _troubled(self, begun: float, ended: float) -> bool:
        return any(begun - QUIET_S <= at <= ended for at, _ in self.record.troubles)

    def _lives(self) -> Iterator[str]:
        for life in self.record.lives:
            if not self._ended_as_told(life):
                signals = [name for _, name in life.signals]
                yield f"FAULT {life.node} ended with {life.code} after the signals {signals}"

    def _ended_as_told(self, life: Life) -> bool:
        if life.code is None:
            return False
        if life.code == -15 and life.was_up:
            return False  # it was told to end, and did not end in order
        return life.got(*ENDED_BY.get(life.code, ()))

    def longest_end_s(self) -> float:
        """From the first SIGTERM to the end, of processes that got nothing else that holds them up."""
        longest = 0.0
        for life in self.record.lives:
            terms = [at for at, name in life.signals if name == "TERM"]
            if terms and life.ended_at and not life.got("STOP", "KILL"):
                longest = max(longest, life.ended_at - terms[0])
        return longest
