"""Workers that say how they are, drain, leave and come again as another life."""

import asyncio
from random import Random

import orjson

from sableford.simulation.control.cluster import Cluster
from sableford.simulation.control.judges import Judges, Leaving
from sableford.simulation.control.operators import Caller
from sableford.transport.http import HttpResponse

BEAT_MS = 1200.0  # heartbeatMs of the settings
LIFE_MS = 4000.0, 20_000.0
DRAIN_TRIES_MS = 20_000.0  # without an acknowledgement it ends all the same
REUSE_MS = 2500.0  # before its address is another's
CRASHES = 0.2  # of all lives end without a word


class Worker(Caller):
    """One address, and the lives of processes there."""

    def __init__(self, name: str, cluster: Cluster, chance: Random, judges: Judges, port: int) -> None:
        super().__init__(cluster, chance)
        self.name, self._judges, self._address = name, judges, f"10.9.0.1:{port}"
        self.stopping = False
        self._calls = self._life = 0
        self._target = ""

    async def run(self) -> None:
        await asyncio.sleep(self.chance.uniform(0.0, 3.0))
        while not self.stopping:
            await self._live()
            await asyncio.sleep(REUSE_MS / 1000.0)

    async def _live(self) -> None:
        self._life += 1
        self._calls, self._target = 0, ""
        id, until = f"{self.name}.{self._life}", self.cluster.now() + self.chance.uniform(*LIFE_MS)
        while self.cluster.now() < until:
            await self._beat(id, "ready")
            await asyncio.sleep(BEAT_MS / 1000.0 * self.chance.uniform(0.9, 1.1))
        if self.chance.random() >= CRASHES:
            await self._end_in_order(id)

    async def _end_in_order(self, id: str) -> None:
        leaving = self._judges.leaving[id] = Leaving(id, self.cluster.now())
        self._judges.tell("worker_drains", worker=id)
        while self.cluster.now() - leaving.began < DRAIN_TRIES_MS:
            self.harmed = False
            acknowledged = await self._beat(id, "draining")
            if self.harmed:
                leaving.waited = 0.0
            if acknowledged:
                leaving.drained = self.cluster.now()
                self._judges.tell("worker_drained", worker=id)
                self._judges.count("drained")
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(self._judges.bounds.drain_ms / 1000.0)
        for _ in range(4):
            answer = await self._post(id, "leave", b"{}")
            if answer is not None and answer.status == 200:
                leaving.left = self.cluster.now()
                self._judges.tell("worker_left", worker=id)
                break
        leaving.over = True

    async def _beat(self, id: str, phase: str) -> bool:
        """Whether it was acknowledged; else the next try is at another scheduler."""
        self._calls += 1
        said = {
            "backend": "service-0",
            "address": self._address,
            "zone": "zone-0",
            "revision": "v1",
            "capacity": 4,
            "phase": phase,
            "coldLeftMs": 0,
            "callCount": self._calls,
        }
        answer = await self._post(id, "heartbeat", orjson.dumps(said))
        if answer is None or answer.status != 200:
            self._target = ""
            return False
        self._target = orjson.loads(answer.body).get("beatTarget", "")
        return True

    async def _post(self, id: str, leaf: str, body: bytes) -> HttpResponse | None:
        return await self.call("POST", f"/v1/instances/{id}/{leaf}", body, first=self._target)
