"""Stand-in workers in this process. Each speaks the worker's side of the wire, and notes what it ran."""

import asyncio
import hashlib
import json
from contextlib import suppress
from random import Random

from tests.loopback import network
from tests.soaking.connection import request_bytes
from tests.soaking.fleet import Fleet
from tests.soaking.record import Record, Run, now

HOST_NUMBER = 240
CAPACITY, QUEUE = 4, 4
BEAT_S = 0.6
BEAT_TIMEOUT_S = 1.0
RUN_S = (0.002, 0.06)
SLOW_RUN_S = 0.8
SILENT_S = 4.0  # past any attempt's deadline
POISON = ("always-500", "always-422")


def digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


class Stand:
    """One life of one worker: an instance at an address."""

    def __init__(self, crew: "Crew", instance: str, service: str) -> None:
        self.crew, self.instance, self.service = crew, instance, service
        self.phase, self.calls, self.running, self.waiting = "ready", 0, 0, 0
        self.port = 0
        self.is_up = True
        self._server: asyncio.Server | None = None
        self._slots = asyncio.Semaphore(CAPACITY)
        self._lines: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None

    async def start(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, self.crew.host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = self.crew.fleet.spawn(self._beat())

    async def _call(self, what: str, said: dict) -> bool:
        request = request_bytes(
            "POST",
            f"/v1/instances/{self.instance}/{what}",
            {"Host": "x", "Content-Type": "application/json"},
            json.dumps(said).encode(),
        )
        answer = await self.crew.fleet.control(request, self.crew.random, BEAT_TIMEOUT_S)
        return answer is not None and answer.status == 200

    async def beat(self) -> bool:
        self.calls += 1
        said = {"backend": self.service, "address": f"{self.crew.host}:{self.port}", "zone": "zone-0"}
        said |= {"revision": "v1", "capacity": CAPACITY, "phase": self.phase, "coldLeftMs": 0}
        return await self._call("heartbeat", said | {"callCount": self.calls})

    async def _beat(self) -> None:
        while self.is_up:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def drain(self) -> None:
        """A planned end: said, waited for, and only then gone."""
        self.phase = "draining"
        self.crew.record.event(f"{self.instance} of {self.service} drains")
        while not await self.beat():
            await asyncio.sleep(0.1)
        await asyncio.sleep(self.crew.drain_s)
        while not await self._call("leave", {}):
            await asyncio.sleep(0.1)
        while self.running:
            await asyncio.sleep(0.05)
        self.close()

    def crash(self) -> None:
        self.crew.record.trouble(f"{self.instance} crashes")
        self.crew.record.event(f"{self.instance} of {self.service} crashes")
        self.close()

    def close(self) -> None:
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for line in self._lines:
            line.transport.abort()

    # The wire

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._lines.add(writer)
        last: Run | None = None
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while self.is_up:
                head = await reader.readuntil(b"\r\n\r\n")
                if last is not None:
                    last.was_read = True  # its connection is used again
                last = await self._request(head, reader, writer)
        self._lines.discard(writer)
        writer.close()

    async def _request(self, head: bytes, reader, writer) -> Run | None:
        """The run that was answered whole, with a success."""
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        fields: dict[str, str] = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        method, target, _ = first.split(" ")
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        if method == "GET":
            self._answer(writer, 200, "", {"Instance-Id": self.instance})
            return None
        id = fields.get("attempt-id", "")
        named = fields.get("target-instance", self.instance)
        if named != self.instance or not self.is_up:
            self._answer(writer, 421, id, {"Not-Run": "1"})
            return None
        self.crew.judge_arrival(self, method, target, body, fields)
        way = self.crew.way(id)
        if self.waiting >= QUEUE or way == "turned away":
            self._answer(writer, 503, id, {"Not-Run": "1"})
            return None
        return await self._run(id, way, reader, writer)

    async def _run(self, id: str, way: str, reader, writer) -> Run | None:
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            try:
                return await self._work(id, way, writer)
            finally:
                self.running -= 1

    async def _work(self, id: str, way: str, writer) -> Run | None:
        run = Run(id, self.instance, self.service, now())
        self.crew.record.runs.append(run)
        await asyncio.sleep(SLOW_RUN_S if way == "slow" else self.crew.random.uniform(*RUN_S))
        if way == "dropped":
            writer.transport.abort()
            return None
        if way == "silent":
            await asyncio.sleep(SILENT_S)
            return None
        if way == "cut short":
            writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-".encode())
            writer.close()
            return None
        run.ended_at = now()
        run.status = {"always-500": 500, "always-422": 422, "failed": 500}.get(way, 200)
        fields = {}
        if run.status == 200:
            run.seal = f"{self.instance}.{id}.{len(self.crew.record.runs)}"
            fields["Server-Seal"] = run.seal
        self._answer(writer, run.status, id, fields)
        return run if run.status == 200 else None

    def _answer(self, writer, status: int, id: str, fields: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {id}", "Content-Length: 0"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


class Crew:
    """All workers of a scene. `is_sound`: from now on nothing goes wrong at any of them."""

    def __init__(self, fleet: Fleet, record: Record, seed: int, is_rough: bool, drain_s: float) -> None:
        self.fleet, self.record, self.seed, self.drain_s = fleet, record, seed, drain_s
        self.random = Random(f"crew {seed}")
        self.host = f"{network()}.{HOST_NUMBER}"
        self.is_rough, self.is_sound = is_rough, False
        self.up: list[Stand] = []
        self._lives = 0
        self._arrivals: dict[str, int] = {}

    async def start(self, service: str, port: int = 0) -> Stand:
        self._lives += 1
        stand = Stand(self, f"i-{self._lives}", service)
        await stand.start(port)
        self.up.append(stand)
        self.record.event(f"{stand.instance} of {service} starts at {stand.port}")
        return stand

    async def replace(self, stand: Stand) -> None:
        """By a new one that is there before the old one drains."""
        self.up.remove(stand)
        await self.start(stand.service)
        await stand.drain()

    async def crash(self, stand: Stand, service: str, pause_s: float) -> None:
        """Its address is another's some time later, perhaps of another service."""
        self.up.remove(stand)
        stand.crash()
        await asyncio.sleep(pause_s)
        await self.start(service, stand.port)

    def way(self, id: str) -> str:
        """What becomes of this arrival, from the seed, the message and its number alone."""
        number = self._arrivals[id] = self._arrivals.get(id, 0) + 1
        for poison in POISON:
            if f".{poison}." in id:
                return poison
        random = Random(f"{self.seed} {id} {number}")
        if self.is_sound:
            return "done"
        drawn = random.random()
        ways = [("failed", 0.05), ("turned away", 0.04), ("slow", 0.03)]
        if self.is_rough:
            ways += [("dropped", 0.03), ("cut short", 0.02), ("silent", 0.01)]
        for way, share in ways:
            if drawn < share:
                return way
            drawn -= share
        return "done"

    def judge_arrival(self, stand: Stand, method: str, target: str, body: bytes, fields: dict) -> None:
        """What must hold of each request that comes to a worker, at once."""
        id = fields.get("attempt-id", "")
        sent = self.record.sent.get(id)
        if sent is None:
            self.record.problem(f"UNASKED {stand.instance} got {id!r}, which nobody sent")
            return
        if (method, target, digest(body)) != (sent.method, sent.path, digest(sent.body)):
            self.record.problem(f"UNASKED {id} came changed: {method} {target} {len(body)} bytes")
        if fields.get("order-key", "") != sent.order_key:
            self.record.problem(f"UNASKED {id} came with Order-Key {fields.get('order-key')!r}")
        if "authorization" in fields or (sent.key and any(sent.key in value for value in fields.values())):
            self.record.problem(f"UNASKED {id}: its key came to {stand.instance}")
        self.record.tenants.setdefault(id, set()).add(fields.get("tenant", ""))
