"""The simulated platform, as specified in `duties/LATER.md`: it accepts usage reports over HTTP, can be busy,
slow, silent or lossy, and checks the calls that it gets.

    rule       broken by
    contents   two accepted reports of one window with different counts
    token      a fencing token sent by two holders, or by two incarnations of one
    A, B, A    holders that act in this order within `leaseMs`; a call that is refused breaks no rule
    late       a call under a token that was superseded long ago: its sender's lease has expired
    refused    a call under a token for which its sender has already been answered 409
    too many   a report with higher counts than the deliveries that were counted
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import orjson

from sableford.simulation.control.event_loop import Process
from sableford.simulation.control.network import Endpoint, Network

HOST, PORT = "10.200.0.1", 8346
LATE_MS = 2000.0  # a connection without acknowledgements times out slightly earlier
RESEND_GRACE_MS = 500.0  # calls already in flight when the sender got the 409 are allowed
SLOW_RESPONSE_S = 0.5, 4.0
NORMAL_RESPONSE_S = 0.001, 0.04
STATUS_LINES = {
    200: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    409: b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
    503: b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}


class Platform:
    """Reports violations, events and counts to the checker."""

    def __init__(self, network: Network, rng: Random, lease_ms: float, checker: Any) -> None:
        self.network, self._rng, self._lease_ms, self._checker = network, rng, lease_ms, checker
        self.mode = "up"  # or slow, busy, silent, lossy
        self.accepted: dict[int, dict[str, int]] = {}
        self.accepted_at: dict[int, float] = {}
        self.counted: dict[
            int, dict[str, int]
        ] = {}  # deliveries that stores counted, reported as they count them
        self.ran: dict[int, dict[str, int]] = {}  # those of them that are not known not to have run
        self._incarnations: dict[Process, int] = {}
        self._highest, self._highest_since = 0, 0.0
        self._senders: dict[int, str] = {}  # by token
        self._refused: dict[tuple[str, int], float] = {}
        self._recent_calls: list[tuple[float, str]] = []  # calls that were not refused: time and holder
        network.powered.add(HOST)
        process = Process(HOST)
        process.context.run(network.loop.listen, process, lambda: _Connection(self), HOST, PORT)

    def receive_report(self, incarnation: str, holder: str, token: int, body: bytes) -> int:
        """Handles a complete call and returns the status of its response."""
        now = self._checker.now()
        if self.mode == "busy":
            return 503
        self._checker.record_event("platform_call", holder=holder, token=token, body=body.decode())
        if self._senders.setdefault(token, incarnation) != incarnation:
            self._checker.report_violation(
                "token", f"{token} was sent by {self._senders[token]} and by {incarnation}"
            )
        if now - self._refused.get((incarnation, token), now) > RESEND_GRACE_MS:
            self._checker.report_violation("refused", f"{incarnation} calls under {token} again")
        if token < self._highest:
            self._refused.setdefault((incarnation, token), now)
            self._checker.count("usage 409")
            if now - self._highest_since > LATE_MS:
                self._checker.report_violation(
                    "late", f"{incarnation} calls under {token}, followed by {self._highest}"
                )
            return 409
        if token > self._highest:
            self._highest, self._highest_since = token, now
        self._check_alternation(now, holder)
        report = orjson.loads(body)
        self._check_report(now, report["windowNo"], report["serverCounts"])
        return 200

    def _check_alternation(self, now: float, holder: str) -> None:
        self._recent_calls = [one for one in self._recent_calls if now - one[0] <= self._lease_ms]
        earlier = [at for at, one in enumerate(self._recent_calls) if one[1] == holder]
        if earlier and any(one[1] != holder for one in self._recent_calls[earlier[0] :]):
            order = [name for _, name in self._recent_calls] + [holder]
            self._checker.report_violation("A, B, A", f"within {self._lease_ms:.0f} ms: {order}")
        self._recent_calls.append((now, holder))

    def _check_report(self, now: float, window: int, counts: dict[str, int]) -> None:
        before = self.accepted.setdefault(window, counts)
        self.accepted_at.setdefault(window, now)
        self._checker.count("usage 200" if before is counts else "usage repeated")
        if before != counts:
            self._checker.report_violation("contents", f"window {window}: {before}, then {counts}")
        counted = self.counted.get(window, {})
        if any(count > counted.get(tenant, 0) for tenant, count in counts.items()):
            self._checker.report_violation("too many", f"window {window}: {counts} of {counted}")

    def response_delay(self) -> float | None:
        """Returns the seconds until the response is sent, or None if it is lost."""
        if self.mode == "lossy" and self._rng.random() < 0.5:
            return None
        return self._rng.uniform(*(SLOW_RESPONSE_S if self.mode == "slow" else NORMAL_RESPONSE_S))

    def delivery_started(self, window: int, tenant: str) -> None:
        """A store started a delivery."""
        for table in (self.counted, self.ran):
            counts = table.setdefault(window, {})
            counts[tenant] = counts.get(tenant, 0) + 1

    def delivery_not_run(self, window: int, tenant: str) -> None:
        """A delivery turned out not to have run."""
        self.ran[window][tenant] -= 1

    def incarnation(self, holder: str, process: Process) -> str:
        """Returns a name for this incarnation of a calling process."""
        return f"{holder}#{self._incarnations.setdefault(process, len(self._incarnations))}"

    def check_windows(self, first: int, last: int) -> None:
        """Checks that all windows of a period without faults were accepted, with all deliveries that ran."""
        for window in range(first, last + 1):
            ran = {tenant: count for tenant, count in self.ran.get(window, {}).items() if count}
            if window not in self.accepted:
                self._checker.report_violation("missing", f"window {window} of {first} to {last}")
            elif self.accepted[window] != ran:
                self._checker.report_violation("off", f"window {window}: {self.accepted[window]} of {ran}")
            self._checker.count("usage window checked")


class _Connection(asyncio.Protocol):
    """A connection of one caller, with one call at a time."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._data = b""
        self._transport: Endpoint | None = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._platform.mode == "silent" or self._transport is None:
            return
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:]) if end else {}
        if not end or len(body) < int(headers["Content-Length"]):
            return
        self._data = b""
        assert self._transport.peer is not None, "the connection has no peer"
        holder = headers["Duty-Holder"]
        incarnation = self._platform.incarnation(holder, self._transport.peer.process)
        status = self._platform.receive_report(incarnation, holder, int(headers["Fence-Token"]), body)
        after_s = self._platform.response_delay()
        if after_s is not None:
            self._platform.network.later(after_s, self._transport.write, STATUS_LINES[status])


class Traffic:
    """Generates the deliveries that one store counts; some turn out not to have run."""

    def __init__(self, platform: Platform, usage: Any, rng: Random, is_serving: Callable[[], bool]) -> None:
        self._platform, self._usage, self._rng, self._is_serving = platform, usage, rng, is_serving

    async def run(self) -> None:
        """Runs until the process ends."""
        while True:
            await asyncio.sleep(self._rng.expovariate(20.0))
            if self._is_serving():
                self._deliver(self._rng.choice("abbccc"))

    def _deliver(self, tenant: str) -> None:
        window = self._usage.count_delivery(tenant)
        self._platform.delivery_started(window, tenant)
        if self._rng.random() < 0.1:
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(0.002, 0.3), self._withdraw, tenant, window)

    def _withdraw(self, tenant: str, window: int) -> None:
        self._usage.uncount_delivery(tenant, window)
        self._platform.delivery_not_run(window, tenant)
