"""Sends the reports of a duty that this store holds: one at a time, in order, within the rate limit."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from sableford.common.log import EventLog
from sableford.duties.assignment import Call, DutyAssignment
from sableford.duties.messages import DutyNotice, DutyReport
from sableford.duties.platform_client import CallOutcome, Verdict

RATE_FRACTION = 0.5  # of the platform's rate limit: a previous holder may use the rest
BACKOFF_MS, MAX_BACKOFF_MS = 100.0, 1600.0  # before a failed call is retried, doubling
TIMEOUT_MS, MAX_TIMEOUT_MS = 2000.0, 8000.0  # of a call, doubling, so that a slow platform can answer
RECHECK_MS = 50.0  # while this store holds the duty but no lease


class Client(Protocol):
    """Connection to the platform."""

    async def post(self, call: Call, timeout_ms: float, may_send: Callable[[], bool]) -> CallOutcome:
        """Makes one call."""


class DutyHolder:
    """`holds_lease` and `leaving` are checked immediately before each call; `on_refused` is called when the
    platform refuses one."""

    def __init__(
        self,
        duty: str,
        assignment: DutyAssignment,
        client: Client,
        rate_per_s: float,
        holds_lease: Callable[[], bool],
        leaving: Callable[[], bool],
        on_refused: Callable[[], object],
        log: EventLog,
    ) -> None:
        self.duty, self._assignment, self._client = duty, assignment, client
        self._spacing_ms = 1000.0 / (rate_per_s * RATE_FRACTION)
        self._holds_lease, self._leaving = holds_lease, leaving
        self._on_refused, self._log = on_refused, log
        self._wake = asyncio.Event()
        self._failures = 0  # consecutive

    def handle_notices(self, notices: Iterable[DutyNotice]) -> None:
        """Applies notices from the leader."""
        for notice in notices:
            if notice.duty == self.duty:
                self._assignment.apply_notice(notice)
                self._wake.set()

    def reports(self) -> dict[str, DutyReport]:
        """Returns the reports to the leader, by duty."""
        report = self._assignment.report()
        return {self.duty: report} if report is not None else {}

    async def run(self) -> None:
        """Runs until the process ends."""
        while True:
            await asyncio.sleep(await self._step() / 1000.0)

    async def _step(self) -> float:
        """Makes the next call; returns the ms to wait after it."""
        call = self._assignment.next_call()
        if call is None:
            self._failures = 0
            self._wake.clear()
            await self._wake.wait()
            return 0.0
        if not self._may_send(call):
            return RECHECK_MS
        timeout_ms = min(MAX_TIMEOUT_MS, TIMEOUT_MS * 2.0**self._failures)
        outcome = await self._client.post(call, timeout_ms, lambda: self._may_send(call))
        return self._handle_outcome(call, outcome)

    def _may_send(self, call: Call) -> bool:
        return self._assignment.may_send(call, self._holds_lease(), self._leaving())

    def _handle_outcome(self, call: Call, outcome: CallOutcome) -> float:
        fields = {"duty": self.duty, "window": call.window, "epoch": call.epoch}
        if outcome.verdict is Verdict.ACCEPTED:
            self._assignment.mark_accepted(call)
            self._failures = 0
            self._log.event("usage_reported", **fields, status=outcome.status)
            return self._spacing_ms
        if outcome.verdict is Verdict.REFUSED:
            self._assignment.mark_refused(call)
            self._log.event("usage_refused", **fields)
            self._on_refused()
            return self._spacing_ms
        if outcome.verdict is Verdict.NOT_SENT:
            return RECHECK_MS
        self._failures = min(self._failures + 1, 10)
        self._log.event("usage_failed", **fields, status=outcome.status, why=outcome.why)
        backoff_ms = min(MAX_BACKOFF_MS, BACKOFF_MS * 2.0 ** (self._failures - 1))
        return max(self._spacing_ms, backoff_ms)
