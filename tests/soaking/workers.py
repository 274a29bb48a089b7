"""Stand-in workers in this process. They implement the worker's protocol and records their runs."""

import asyncio
import hashlib
import json
from contextlib import suppress
from random import Random

from tests.loopback import network
from tests.soaking.connection import request_bytes
from tests.soaking.fleet import Fleet
from tests.soaking.history import History, Run, now

HOST_NUMBER = 240
CAPACITY, QUEUE_LIMIT = 4, 4
HEARTBEAT_INTERVAL_S = 0.6
HEARTBEAT_TIMEOUT_S = 1.0
RUN_S = (0.002, 0.06)
SLOW_RUN_S = 0.8
SILENCE_S = 4.0  # longer than any attempt's deadline
POISON = ("always-500", "always-422")


def digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


class WorkerInstance:
    """One worker instance at an address, from its start to its end."""

    def __init__(self, worker_pool: "WorkerPool", instance: str, service: str) -> None:
        self.worker_pool, self.instance, self.service = worker_pool, instance, service
        self.phase, self.calls, self.running, self.waiting = "ready", 0, 0, 0
        self.port = 0
        self.is_up = True
        self._server: asyncio.Server | None = None
        self._slots = asyncio.Semaphore(CAPACITY)
        self._connections: set[asyncio.StreamWriter] = set()
        self._heartbeat_task: asyncio.Task | None = None

    async def start(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, self.worker_pool.host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeat_task = self.worker_pool.fleet.spawn(self._heartbeat_loop())

    async def _post(self, operation: str, body: dict) -> bool:
        request = request_bytes(
            "POST",
            f"/v1/instances/{self.instance}/{operation}",
            {"Host": "x", "Content-Type": "application/json"},
            json.dumps(body).encode(),
        )
        response = await self.worker_pool.fleet.control_request(
            request, self.worker_pool.random, HEARTBEAT_TIMEOUT_S
        )
        return response is not None and response.status == 200

    async def send_heartbeat(self) -> bool:
        self.calls += 1
        body = {"backend": self.service, "address": f"{self.worker_pool.host}:{self.port}", "zone": "zone-0"}
        body |= {"revision": "v1", "capacity": CAPACITY, "phase": self.phase, "coldLeftMs": 0}
        return await self._post("heartbeat", body | {"callCount": self.calls})

    async def _heartbeat_loop(self) -> None:
        while self.is_up:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def drain(self) -> None:
        """Planned shutdown: announces it, waits for the drain time, leaves, closes after the last run."""
        self.phase = "draining"
        self.worker_pool.history.add_event(f"{self.instance} of {self.service} drains")
        while not await self.send_heartbeat():
            await asyncio.sleep(0.1)
        await asyncio.sleep(self.worker_pool.drain_s)
        while not await self._post("leave", {}):
            await asyncio.sleep(0.1)
        while self.running:
            await asyncio.sleep(0.05)
        self.close()

    def crash(self) -> None:
        self.worker_pool.history.add_fault(f"{self.instance} crashes")
        self.worker_pool.history.add_event(f"{self.instance} of {self.service} crashes")
        self.close()

    def close(self) -> None:
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for line in self._connections:
            line.transport.abort()

    # HTTP server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        last_run: Run | None = None
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while self.is_up:
                head = await reader.readuntil(b"\r\n\r\n")
                if last_run is not None:
                    last_run.response_read = True  # the sender reuses the connection
                last_run = await self._handle_request(head, reader, writer)
        self._connections.discard(writer)
        writer.close()

    async def _handle_request(self, head: bytes, reader, writer) -> Run | None:
        """Handles one request; returns the run if it got a complete success response."""
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers: dict[str, str] = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        method, target, _ = first.split(" ")
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if method == "GET":
            self._respond(writer, 200, "", {"Instance-Id": self.instance})
            return None
        id = headers.get("attempt-id", "")
        target_instance = headers.get("target-instance", self.instance)
        if target_instance != self.instance or not self.is_up:
            self._respond(writer, 421, id, {"Not-Run": "1"})
            return None
        self.worker_pool.check_request(self, method, target, body, headers)
        outcome = self.worker_pool.outcome(id)
        if self.waiting >= QUEUE_LIMIT or outcome == "rejected":
            self._respond(writer, 503, id, {"Not-Run": "1"})
            return None
        return await self._run(id, outcome, reader, writer)

    async def _run(self, id: str, outcome: str, reader, writer) -> Run | None:
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            try:
                return await self._execute(id, outcome, writer)
            finally:
                self.running -= 1

    async def _execute(self, id: str, outcome: str, writer) -> Run | None:
        run = Run(id, self.instance, self.service, now())
        self.worker_pool.history.runs.append(run)
        await asyncio.sleep(SLOW_RUN_S if outcome == "slow" else self.worker_pool.random.uniform(*RUN_S))
        if outcome == "connection dropped":
            writer.transport.abort()
            return None
        if outcome == "no response":
            await asyncio.sleep(SILENCE_S)
            return None
        if outcome == "truncated response":
            writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-".encode())
            writer.close()
            return None
        run.ended_at = now()
        run.status = {"always-500": 500, "always-422": 422, "failed": 500}.get(outcome, 200)
        headers = {}
        if run.status == 200:
            run.seal = f"{self.instance}.{id}.{len(self.worker_pool.history.runs)}"
            headers["Server-Seal"] = run.seal
        self._respond(writer, run.status, id, headers)
        return run if run.status == 200 else None

    def _respond(self, writer, status: int, id: str, headers: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {id}", "Content-Length: 0"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


class WorkerPool:
    """All workers of a scenario. `faults_disabled`: no worker injects random faults any more."""

    def __init__(
        self, fleet: Fleet, history: History, seed: int, has_faulty_workers: bool, drain_s: float
    ) -> None:
        self.fleet, self.history, self.seed, self.drain_s = fleet, history, seed, drain_s
        self.random = Random(f"crew {seed}")  # kept: another text would change the draws
        self.host = f"{network()}.{HOST_NUMBER}"
        self.has_faulty_workers, self.faults_disabled = has_faulty_workers, False
        self.active: list[WorkerInstance] = []
        self._instances_started = 0
        self._arrivals: dict[str, int] = {}

    async def start(self, service: str, port: int = 0) -> WorkerInstance:
        self._instances_started += 1
        worker = WorkerInstance(self, f"i-{self._instances_started}", service)
        await worker.start(port)
        self.active.append(worker)
        self.history.add_event(f"{worker.instance} of {service} starts at {worker.port}")
        return worker

    async def replace(self, worker: WorkerInstance) -> None:
        """Starts a new worker before the old one drains."""
        self.active.remove(worker)
        await self.start(worker.service)
        await worker.drain()

    async def crash(self, worker: WorkerInstance, service: str, pause_s: float) -> None:
        """Crashes a worker; after a pause another worker, perhaps of another service, reuses its address."""
        self.active.remove(worker)
        worker.crash()
        await asyncio.sleep(pause_s)
        await self.start(service, worker.port)

    def outcome(self, id: str) -> str:
        """The outcome of this arrival, determined by the seed, the message id and the arrival's number."""
        number = self._arrivals[id] = self._arrivals.get(id, 0) + 1
        for poison in POISON:
            if f".{poison}." in id:
                return poison
        random = Random(f"{self.seed} {id} {number}")
        if self.faults_disabled:
            return "done"
        sample = random.random()
        outcomes = [("failed", 0.05), ("rejected", 0.04), ("slow", 0.03)]
        if self.has_faulty_workers:
            outcomes += [("connection dropped", 0.03), ("truncated response", 0.02), ("no response", 0.01)]
        for outcome, share in outcomes:
            if sample < share:
                return outcome
            sample -= share
        return "done"

    def check_request(
        self, worker: WorkerInstance, method: str, target: str, body: bytes, headers: dict
    ) -> None:
        """Checks each request on its arrival at a worker: known message, unchanged content, no API key."""
        id = headers.get("attempt-id", "")
        message = self.history.messages.get(id)
        if message is None:
            self.history.add_violation(f"UNASKED {worker.instance} received {id!r}, which no client sent")
            return
        if (method, target, digest(body)) != (message.method, message.path, digest(message.body)):
            self.history.add_violation(f"UNASKED {id} arrived changed: {method} {target} {len(body)} bytes")
        if headers.get("order-key", "") != message.order_key:
            self.history.add_violation(f"UNASKED {id} arrived with Order-Key {headers.get('order-key')!r}")
        if "authorization" in headers or (
            message.key and any(message.key in value for value in headers.values())
        ):
            self.history.add_violation(f"UNASKED {id}: its API key reached {worker.instance}")
        self.history.tenants.setdefault(id, set()).add(headers.get("tenant", ""))
