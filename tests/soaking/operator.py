"""The operator, who sends one configuration change after another; sometimes two at once on the same base
version, sometimes an invalid one. A call without a definite response is retried unchanged."""

import asyncio
import json
from random import Random

from tests.soaking import configurations
from tests.soaking.configurations import Change, ChangeGenerator
from tests.soaking.connection import request_bytes
from tests.soaking.fleet import Fleet
from tests.soaking.history import History, Version, now

CALL_TIMEOUT_S = 6.0
RETRY_INTERVAL_S = 0.2
RACE_SHARE, INVALID_SHARE = 0.15, 0.15
REJECTED_STATUSES = (400, 409, 412, 413, 422)


class Operator:
    def __init__(self, fleet: Fleet, history: History, seed: int, pause_s: float) -> None:
        self.fleet, self.history, self.pause_s = fleet, history, pause_s
        self.random = Random(f"operator {seed}")
        self.change_generator = ChangeGenerator(self.random)
        self.newest: Version | None = None
        self.is_running = True

    async def send_initial(self) -> None:
        document = configurations.initial_document(self.random)
        await self._send(Change("first", document, None), 0)

    async def run(self) -> None:
        while self.is_running:
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
            await self._send(self.change_generator.change(base), base["revision"])

    async def _race(self, base: dict) -> None:
        changes = [self.change_generator.change(base), self.change_generator.change(base)]
        if changes[0].document == changes[1].document:
            return
        changes[1].document["revision"] = changes[0].document["revision"] + 1
        if changes[1].amendment is not None:
            changes[1].amendment["revision"] = changes[1].document["revision"]
        versions = await asyncio.gather(*(self._send(change, base["revision"]) for change in changes))
        if all(version.acknowledged_at is not None for version in versions):
            numbers = [version.revision for version in versions]
            self.history.add_violation(
                f"CONFIG two concurrent changes on {base['revision']} were both acknowledged: {numbers}"
            )

    async def _send_invalid(self, base: dict) -> None:
        document = self.change_generator.invalid_document(base)
        status = await self._retry_until_definite("replace", document, base["revision"])
        if status == 200:
            self.history.add_violation(f"CONFIG an invalid configuration was acknowledged: {document}")

    async def _send(self, change: Change, base: int) -> Version:
        version = Version(change.document, now())
        self.history.versions.append(version)
        call, body = "replace", change.document
        if change.amendment is not None:
            call, body = "amend", change.amendment
        status = await self._retry_until_definite(call, body, base)
        self.history.add_event(f"version {version.revision} on {base} ({change.kind}, {call}): {status}")
        if status == 200:
            version.acknowledged_at = now()
            if self.newest is None or version.revision > self.newest.revision:
                self.newest = version
        else:
            version.rejected = True
            if status != 412:
                self.history.add_violation(f"CONFIG a valid configuration was rejected with {status}")
        return version

    async def _retry_until_definite(self, call: str, body: dict, base: int) -> int:
        headers = {"Host": "x", "Base-Version": str(base), "Content-Type": "application/json"}
        request = request_bytes("POST", f"/v1/config/{call}", headers, json.dumps(body).encode())
        while True:
            response = await self.fleet.control_request(request, self.random, CALL_TIMEOUT_S)
            if response is not None and (response.status == 200 or response.status in REJECTED_STATUSES):
                return response.status
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def send_final(self) -> None:
        """Sends the last version, and checks that it is read back."""
        assert self.newest is not None
        base = self.newest.document
        await self._send(Change("final", configurations.final_document(base), None), base["revision"])
        request = request_bytes("GET", "/v1/config/read", {"Host": "x"})
        while True:
            response = await self.fleet.control_request(request, self.random, CALL_TIMEOUT_S)
            if response is not None and response.status == 200:
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        read = configurations.normalized(json.loads(response.body))
        if read != configurations.normalized(self.newest.document):
            self.history.add_violation(
                f"CONFIG read back: {read['revision']}, and {self.newest.revision} is the newest acknowledged"
            )
