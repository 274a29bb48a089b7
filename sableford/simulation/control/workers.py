"""Workers that send heartbeats, drain, leave and return as a new incarnation."""

import asyncio
from random import Random

import orjson

from sableford.simulation.control.checker import DrainingWorker, InvariantChecker
from sableford.simulation.control.clients import ControlClient
from sableford.simulation.control.cluster import Cluster
from sableford.transport.http import HttpResponse

HEARTBEAT_MS = 1200.0  # heartbeatMs of the settings
LIFETIME_MS = 4000.0, 20_000.0
DRAIN_TIMEOUT_MS = 20_000.0  # then the worker ends even without an acknowledgement
ADDRESS_REUSE_MS = 2500.0  # until its address is used by another incarnation
CRASH_SHARE = 0.2  # of the incarnations end without draining


class Worker(ControlClient):
    """One address and the successive incarnations of a worker there."""

    def __init__(
        self, name: str, cluster: Cluster, rng: Random, checker: InvariantChecker, port: int
    ) -> None:
        super().__init__(cluster, rng)
        self.name, self._checker, self._address = name, checker, f"10.9.0.1:{port}"
        self.stopping = False
        self._call_count = self._incarnation = 0
        self._target = ""

    async def run(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        while not self.stopping:
            await self._run_incarnation()
            await asyncio.sleep(ADDRESS_REUSE_MS / 1000.0)

    async def _run_incarnation(self) -> None:
        self._incarnation += 1
        self._call_count, self._target = 0, ""
        id, deadline = f"{self.name}.{self._incarnation}", self.cluster.now() + self.rng.uniform(*LIFETIME_MS)
        while self.cluster.now() < deadline:
            await self._send_heartbeat(id, "ready")
            await asyncio.sleep(HEARTBEAT_MS / 1000.0 * self.rng.uniform(0.9, 1.1))
        if self.rng.random() >= CRASH_SHARE:
            await self._drain_and_leave(id)

    async def _drain_and_leave(self, id: str) -> None:
        draining = self._checker.draining_workers[id] = DrainingWorker(id, self.cluster.now())
        self._checker.record_event("worker_drains", worker=id)
        while self.cluster.now() - draining.started_at < DRAIN_TIMEOUT_MS:
            self.request_lost = False
            acknowledged = await self._send_heartbeat(id, "draining")
            if self.request_lost:
                draining.waiting_ms = 0.0
            if acknowledged:
                draining.drained_at = self.cluster.now()
                self._checker.record_event("worker_drained", worker=id)
                self._checker.count("drained")
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(self._checker.bounds.drain_ms / 1000.0)
        for _ in range(4):
            answer = await self._post(id, "leave", b"{}")
            if answer is not None and answer.status == 200:
                draining.left_at = self.cluster.now()
                self._checker.record_event("worker_left", worker=id)
                break
        draining.finished = True

    async def _send_heartbeat(self, id: str, phase: str) -> bool:
        """Returns whether the heartbeat was acknowledged. If not, the next one goes to another scheduler."""
        self._call_count += 1
        heartbeat = {
            "backend": "service-0",
            "address": self._address,
            "zone": "zone-0",
            "revision": "v1",
            "capacity": 4,
            "phase": phase,
            "coldLeftMs": 0,
            "callCount": self._call_count,
        }
        answer = await self._post(id, "heartbeat", orjson.dumps(heartbeat))
        if answer is None or answer.status != 200:
            self._target = ""
            return False
        self._target = orjson.loads(answer.body).get("beatTarget", "")
        return True

    async def _post(self, id: str, action: str, body: bytes) -> HttpResponse | None:
        return await self.call("POST", f"/v1/instances/{id}/{action}", body, first=self._target)
