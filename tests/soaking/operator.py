"""The operator: one change after the other, at times two at once on the same base, at times an invalid one.
A call without a clear answer is sent again unchanged until there is one."""

import asyncio
import json
from random import Random

from tests.soaking import configurations
from tests.soaking.configurations import Change, Drawer
from tests.soaking.connection import request_bytes
from tests.soaking.fleet import Fleet
from tests.soaking.record import Record, Version, now

CALL_TIMEOUT_S = 6.0
AGAIN_S = 0.2
RACE_SHARE, INVALID_SHARE = 0.15, 0.15
CLEAR = (400, 409, 412, 413, 422)


class Operator:
    def __init__(self, fleet: Fleet, record: Record, seed: int, pause_s: float) -> None:
        self.fleet, self.record, self.pause_s = fleet, record, pause_s
        self.random = Random(f"operator {seed}")
        self.drawer = Drawer(self.random)
        self.newest: Version | None = None
        self.is_going = True

    async def begin(self) -> None:
        document = configurations.first(self.random)
        await self._send(Change("first", document, None), 0)

    async def run(self) -> None:
        while self.is_going:
            await asyncio.sleep(self.pause_s * self.random.uniform(0.5, 2.0))
            await self._step()

    async def _step(self) -> None:
        assert self.newest is not None
        base, drawn = self.newest.document, self.random.random()
        if drawn < INVALID_SHARE:
            await self._send_invalid(base)
        elif drawn < INVALID_SHARE + RACE_SHARE:
            await self._race(base)
        else:
            await self._send(self.drawer.change(base), base["revision"])

    async def _race(self, base: dict) -> None:
        changes = [self.drawer.change(base), self.drawer.change(base)]
        if changes[0].document == changes[1].document:
            return
        changes[1].document["revision"] = changes[0].document["revision"] + 1
        if changes[1].amendment is not None:
            changes[1].amendment["revision"] = changes[1].document["revision"]
        sent = await asyncio.gather(*(self._send(one, base["revision"]) for one in changes))
        if all(one.acknowledged_at is not None for one in sent):
            numbers = [one.revision for one in sent]
            self.record.problem(f"CONFIG both of a race on {base['revision']} were acknowledged: {numbers}")

    async def _send_invalid(self, base: dict) -> None:
        document = self.drawer.invalid(base)
        status = await self._until_clear("replace", document, base["revision"])
        if status == 200:
            self.record.problem(f"CONFIG an invalid configuration was acknowledged: {document}")

    async def _send(self, change: Change, base: int) -> Version:
        version = Version(change.document, now())
        self.record.versions.append(version)
        call, body = "replace", change.document
        if change.amendment is not None:
            call, body = "amend", change.amendment
        status = await self._until_clear(call, body, base)
        self.record.event(f"version {version.revision} on {base} ({change.kind}, {call}): {status}")
        if status == 200:
            version.acknowledged_at = now()
            if self.newest is None or version.revision > self.newest.revision:
                self.newest = version
        else:
            version.refused = True
            if status != 412:
                self.record.problem(f"CONFIG a valid configuration was refused with {status}")
        return version

    async def _until_clear(self, call: str, body: dict, base: int) -> int:
        fields = {"Host": "x", "Base-Version": str(base), "Content-Type": "application/json"}
        request = request_bytes("POST", f"/v1/config/{call}", fields, json.dumps(body).encode())
        while True:
            answer = await self.fleet.control(request, self.random, CALL_TIMEOUT_S)
            if answer is not None and (answer.status == 200 or answer.status in CLEAR):
                return answer.status
            await asyncio.sleep(AGAIN_S)

    async def finish(self) -> None:
        """A last version, and the configuration that is read back."""
        assert self.newest is not None
        base = self.newest.document
        await self._send(Change("final", configurations.final(base), None), base["revision"])
        request = request_bytes("GET", "/v1/config/read", {"Host": "x"})
        while True:
            answer = await self.fleet.control(request, self.random, CALL_TIMEOUT_S)
            if answer is not None and answer.status == 200:
                break
            await asyncio.sleep(AGAIN_S)
        read = configurations.in_order(json.loads(answer.body))
        if read != configurations.in_order(self.newest.document):
            self.record.problem(
                f"CONFIG read back: {read['revision']}, and {self.newest.revision} is the newest acknowledged"
            )
