"""The platform of a walk, written from the users' page (`duties/LATER.md`): it takes usage reports over HTTP,
is down, slow or loses answers as faults want it, and judges what it sees.

    rule       broken by
    contents   two accepted reports of one window whose counts differ
    token      one token sent by two holders, or two lives of one
    A, B, A    holders that act within `leaseMs` in that order; a refused call breaks nothing
    late       a call under a token that was followed long ago: its sender's lease is over
    refused    a call under a token that its sender was answered 409 for
    too many   a report with more than was counted
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import orjson

from sableford.simulation.control.event_loop import Process
from sableford.simulation.control.network import Endpoint, Network

HOST, PORT = "10.200.0.1", 8346
LATE_MS = 2000.0  # a connection that gets no acknowledgement lasts a little less
RESENT_MS = 500.0  # after a refusal: what was under way by then had not heard of it
SLOW_S = 0.5, 4.0
PLAIN_S = 0.001, 0.04
STATUS_LINES = {
    200: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    409: b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
    503: b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}


class Platform:
    """`found(judge, text)` gets what is broken, `tell` and `count` what happened."""

    def __init__(self, network: Network, chance: Random, lease_ms: float, judges: Any) -> None:
        self.network, self._chance, self._lease_ms, self._judges = network, chance, lease_ms, judges
        self.mood = "up"  # or slow, busy, silent, lossy
        self.accepted: dict[int, dict[str, int]] = {}
        self.accepted_at: dict[int, float] = {}
        self.counted: dict[int, dict[str, int]] = {}  # what stores counted, told by them as they do
        self.ran: dict[int, dict[str, int]] = {}  # of these, what is not known not to have run
        self._lives: dict[Process, int] = {}
        self._highest, self._highest_since = 0, 0.0
        self._senders: dict[int, str] = {}  # by token
        self._refused: dict[tuple[str, int], float] = {}
        self._acts: list[tuple[float, str]] = []  # of those that were not refused: when, and whose
        network.powered.add(HOST)
        process = Process(HOST)
        process.context.run(network.loop.listen, process, lambda: _Connection(self), HOST, PORT)

    def taken(self, life: str, holder: str, token: int, body: bytes) -> int:
        """A whole call has come; the status of its answer."""
        now = self._judges.now()
        if self.mood == "busy":
            return 503
        self._judges.tell("platform_call", holder=holder, token=token, body=body.decode())
        if self._senders.setdefault(token, life) != life:
            self._judges.found("token", f"{token} was sent by {self._senders[token]} and by {life}")
        if now - self._refused.get((life, token), now) > RESENT_MS:
            self._judges.found("refused", f"{life} calls under {token} again")
        if token < self._highest:
            self._refused.setdefault((life, token), now)
            self._judges.count("usage 409")
            if now - self._highest_since > LATE_MS:
                self._judges.found("late", f"{life} calls under {token}, followed by {self._highest}")
            return 409
        if token > self._highest:
            self._highest, self._highest_since = token, now
        self._act(now, holder)
        report = orjson.loads(body)
        self._report(now, report["windowNo"], report["serverCounts"])
        return 200

    def _act(self, now: float, holder: str) -> None:
        self._acts = [one for one in self._acts if now - one[0] <= self._lease_ms]
        earlier = [place for place, one in enumerate(self._acts) if one[1] == holder]
        if earlier and any(one[1] != holder for one in self._acts[earlier[0] :]):
            order = [name for _, name in self._acts] + [holder]
            self._judges.found("A, B, A", f"within {self._lease_ms:.0f} ms: {order}")
        self._acts.append((now, holder))

    def _report(self, now: float, window: int, counts: dict[str, int]) -> None:
        before = self.accepted.setdefault(window, counts)
        self.accepted_at.setdefault(window, now)
        self._judges.count("usage 200" if before is counts else "usage repeated")
        if before != counts:
            self._judges.found("contents", f"window {window}: {before}, then {counts}")
        most = self.counted.get(window, {})
        if any(count > most.get(tenant, 0) for tenant, count in counts.items()):
            self._judges.found("too many", f"window {window}: {counts} of {most}")

    def answer_after(self) -> float | None:
        """Seconds until a call's answer leaves; None for an answer that is lost."""
        if self.mood == "lossy" and self._chance.random() < 0.5:
            return None
        return self._chance.uniform(*(SLOW_S if self.mood == "slow" else PLAIN_S))

    def began(self, window: int, tenant: str) -> None:
        """A delivery began at some store."""
        for table in (self.counted, self.ran):
            counts = table.setdefault(window, {})
            counts[tenant] = counts.get(tenant, 0) + 1

    def did_not_run(self, window: int, tenant: str) -> None:
        """One turned out not to have run."""
        self.ran[window][tenant] -= 1

    def life(self, holder: str, process: Process) -> str:
        """One life of a process that calls."""
        return f"{holder}#{self._lives.setdefault(process, len(self._lives))}"

    def check(self, first: int, last: int) -> None:
        """All windows of a quiet time are accepted, with all that ran."""
        for window in range(first, last + 1):
            ran = {tenant: count for tenant, count in self.ran.get(window, {}).items() if count}
            if window not in self.accepted:
                self._judges.found("missing", f"window {window} of {first} to {last}")
            elif self.accepted[window] != ran:
                self._judges.found("off", f"window {window}: {self.accepted[window]} of {ran}")
            self._judges.count("usage window checked")


class _Connection(asyncio.Protocol):
    """One caller; one call at a time on it."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._data = b""
        self._transport: Endpoint | None = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._platform.mood == "silent" or self._transport is None:
            return
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:]) if end else {}
        if not end or len(body) < int(headers["Content-Length"]):
            return
        self._data = b""
        assert self._transport.peer is not None, "nobody called"
        holder = headers["Duty-Holder"]
        life = self._platform.life(holder, self._transport.peer.process)
        status = self._platform.taken(life, holder, int(headers["Fence-Token"]), body)
        after_s = self._platform.answer_after()
        if after_s is not None:
            self._platform.network.later(after_s, self._transport.write, STATUS_LINES[status])


class Traffic:
    """Deliveries of one store, as its counts see them: some turn out not to have run."""

    def __init__(
        self, platform: Platform, usage: Any, chance: Random, is_serving: Callable[[], bool]
    ) -> None:
        self._platform, self._usage, self._chance, self._is_serving = platform, usage, chance, is_serving

    async def run(self) -> None:
        """For the life of the process."""
        while True:
            await asyncio.sleep(self._chance.expovariate(20.0))
            if self._is_serving():
                self._deliver(self._chance.choice("abbccc"))

    def _deliver(self, tenant: str) -> None:
        window = self._usage.began(tenant)
        self._platform.began(window, tenant)
        if self._chance.random() < 0.1:
            loop = asyncio.get_running_loop()
            loop.call_later(self._chance.uniform(0.002, 0.3), self._take_back, tenant, window)

    def _take_back(self, tenant: str, window: int) -> None:
        self._usage.took_back(tenant, window)
        self._platform.did_not_run(window, tenant)
