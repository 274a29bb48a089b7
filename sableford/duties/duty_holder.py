"""Makes the calls of a duty that this store holds: one at a time, in order, within the platform's rate."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from sableford.common.log import EventLog
from sableford.duties.holding import Call, Holding
from sableford.duties.messages import DutyNotice, DutyReport
from sableford.duties.platform_client import CallOutcome, Verdict

RATE_PART = 0.5  # of the platform's rate: a holder that was followed may have spent the rest
BACKOFF_MS, MAX_BACKOFF_MS = 100.0, 1600.0  # before a call that did not succeed is made again, doubling
TIMEOUT_MS, MAX_TIMEOUT_MS = 2000.0, 8000.0  # of a call, doubling: a slow platform is waited for
LOOK_AGAIN_MS = 50.0  # while this store has the duty and holds no lease


class Client(Protocol):
    """The way to the platform."""

    async def post(self, call: Call, timeout_ms: float, may_send: Callable[[], bool]) -> CallOutcome:
        """One call."""


class DutyHolder:
    """`holds_lease` and `leaving` are looked at just before each call; `on_refused` is told at once."""

    def __init__(
        self,
        duty: str,
        holding: Holding,
        client: Client,
        rate_per_s: float,
        holds_lease: Callable[[], bool],
        leaving: Callable[[], bool],
        on_refused: Callable[[], object],
        log: EventLog,
    ) -> None:
        self.duty, self._holding, self._client = duty, holding, client
        self._spacing_ms = 1000.0 / (rate_per_s * RATE_PART)
        self._holds_lease, self._leaving = holds_lease, leaving
        self._on_refused, self._log = on_refused, log
        self._wake = asyncio.Event()
        self._failures = 0  # in a row

    def heard(self, notices: Iterable[DutyNotice]) -> None:
        """What the leader tells of duties."""
        for notice in notices:
            if notice.duty == self.duty:
                self._holding.heard(notice)
                self._wake.set()

    def reports(self) -> dict[str, DutyReport]:
        """For the leader."""
        report = self._holding.report()
        return {self.duty: report} if report is not None else {}

    async def run(self) -> None:
        """For the life of the process."""
        while True:
            await asyncio.sleep(await self._step() / 1000.0)

    async def _step(self) -> float:
        """What is next; how many ms to wait after it."""
        call = self._holding.next_call()
        if call is None:
            self._failures = 0
            self._wake.clear()
            await self._wake.wait()
            return 0.0
        if not self._may_send(call):
            return LOOK_AGAIN_MS
        timeout_ms = min(MAX_TIMEOUT_MS, TIMEOUT_MS * 2.0**self._failures)
        outcome = await self._client.post(call, timeout_ms, lambda: self._may_send(call))
        return self._ended(call, outcome)

    def _may_send(self, call: Call) -> bool:
        return self._holding.may_send(call, self._holds_lease(), self._leaving())

    def _ended(self, call: Call, outcome: CallOutcome) -> float:
        fields = {"duty": self.duty, "window": call.window, "epoch": call.epoch}
        if outcome.verdict is Verdict.ACCEPTED:
            self._holding.accepted(call)
            self._failures = 0
            self._log.event("usage_reported", **fields, status=outcome.status)
            return self._spacing_ms
        if outcome.verdict is Verdict.REFUSED:
            self._holding.refused(call)
            self._log.event("usage_refused", **fields)
            self._on_refused()
            return self._spacing_ms
        if outcome.verdict is Verdict.NOT_SENT:
            return LOOK_AGAIN_MS
        self._failures = min(self._failures + 1, 10)
        self._log.event("usage_failed", **fields, status=outcome.status, why=outcome.why)
        backoff_ms = min(MAX_BACKOFF_MS, BACKOFF_MS * 2.0 ** (self._failures - 1))
        return max(self._spacing_ms, backoff_ms)
