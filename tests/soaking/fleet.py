"""The processes of the system under soak: what the platform does to them, and what it sees of them."""

import asyncio
import json
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from random import Random

from examples.system import start_child
from tests.loopback import network
from tests.soaking.connection import call, request_bytes
from tests.soaking.record import Life, Record, now

INNER, CONTROL, PUBLIC, READY = 7300, 7401, 8080, 8081
INNER_PORTS = 16
RESTART_S = 0.2  # after a process's end, until the platform starts it again
LOOK_S = 0.05  # between two looks at something that is waited for
READY_TIMEOUT_S = 2.0
BOUNDS = {"applyMs": 3000, "graceS": 6, "drainMs": 3000, "quietMs": 4000, "notBeforeMs": 100, "syncS": 4.6}
ZONES = 3
SIGNALS = {
    "TERM": signal.SIGTERM,
    "KILL": signal.SIGKILL,
    "HUP": signal.SIGHUP,
    "STOP": signal.SIGSTOP,
    "CONT": signal.SIGCONT,
}


class Node:
    """One machine with its one process, life after life."""

    def __init__(self, fleet: "Fleet", name: str, role: str, host: str, zone: str) -> None:
        self.fleet, self.name, self.role, self.host, self.zone = fleet, name, role, host, zone
        self.file, self.log = fleet.folder / f"{name}.yaml", fleet.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.life: Life | None = None
        self.is_wanted = True  # it is started again after its end
        self.is_stopped = False
        self.is_first = True
        self.settings_changes = 0

    # Settings

    def settings(self) -> dict:
        edge = self.role == "edge"
        at = {"publicHttp": f"{self.host}:{PUBLIC}", "readyProbe": f"{self.host}:{READY}"}
        stores = self.fleet.store_hosts
        first = self.settings_changes % len(stores)
        seeds = [*stores[first:], *stores[:first]][:3] if not self.is_first else stores[:3]
        return {
            "nodeName": self.name,
            "bindIp": self.host,
            "zone": self.zone,
            "serves": ["edge"] if edge else ["storage", "control_plane"],
            "portRange": [INNER, INNER + INNER_PORTS - 1],
            "bindAddrs": at if edge else {"controlRpc": f"{self.host}:{CONTROL}"},
            "seedNodes": [f"{host}:{CONTROL}" for host in seeds],
            "bootstrap": self.is_first,
            "limits": {"memoryMb": 300, "diskMb": 64, "cpuShare": 1.0 - 0.01 * (self.settings_changes % 50)},
            "dataDir": None if edge else str(self.fleet.folder / self.name),
            "tolerates": {"machineLoss": 1},
            "ruleBounds": BOUNDS,
            "unknownField": self.settings_changes,
        }

    def write_settings(self) -> None:
        """As a whole: a process that is only just starting finds the file before or after the change."""
        self.settings_changes += 1
        whole = self.file.with_suffix(".new")
        whole.write_text(json.dumps(self.settings()))
        whole.replace(self.file)

    def spoil_settings(self) -> None:
        """Half written, as an editor may leave it for a moment."""
        text = json.dumps(self.settings())
        self.file.write_text(text[: len(text) // 2])

    # Life

    async def start(self) -> None:
        self.write_settings()
        self.is_first = False
        self.life = Life(self.name, self.role, now())
        self.fleet.record.lives.append(self.life)
        self.fleet.record.event(f"{self.name} starts")
        with self.log.open("ab") as log:
            words = [sys.executable, "-m", "sableford.node", self.role, "--settings", str(self.file)]
            self.process = await start_child(words, log.fileno())
        self.fleet.spawn(self._watch(self.process, self.life))

    async def _watch(self, process: asyncio.subprocess.Process, life: Life) -> None:
        code = await process.wait()
        life.was_up = f'"pid":{process.pid}}}'.encode() in self.log.read_bytes()
        life.code, life.ended_at = code, now()
        self.process, self.is_stopped = None, False
        self.fleet.record.event(f"{self.name} ended with {life.code}")
        if self.is_wanted:
            await asyncio.sleep(RESTART_S)
            if self.is_wanted:
                await self.start()

    def send(self, name: str) -> None:
        if self.process is None or self.process.returncode is not None or self.life is None:
            return
        self.life.signals.append((now(), name))
        self.fleet.record.event(f"{self.name} gets SIG{name}")
        if name in ("KILL", "STOP"):
            self.fleet.record.trouble(f"SIG{name} {self.name}")
        elif name == "CONT" and self.is_stopped:
            self.fleet.record.trouble(f"SIGCONT {self.name}")
        self.is_stopped = name == "STOP" or (self.is_stopped and name != "CONT")
        # Not by `send_signal`, which reaps a child that has just ended before its watcher reads how.
        with suppress(ProcessLookupError):
            os.kill(self.process.pid, SIGNALS[name])

    def hears(self, name: str) -> bool:
        """Whether the process catches or ignores the signal by now, as the kernel shows it."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text() if self.process else ""
        except OSError:
            return False
        masks = [
            int(line.split()[1], 16) for line in lines.splitlines() if line[:7] in ("SigIgn:", "SigCgt:")
        ]
        return any(mask >> (SIGNALS[name] - 1) & 1 for mask in masks)

    async def is_ready(self) -> bool:
        """An edge that takes clients; a store that answers callers."""
        if self.process is None:
            return False
        port, path = (READY, "/v1/readiness") if self.role == "edge" else (CONTROL, "/v1/config/read")
        request = request_bytes("GET", path, {"Host": "x", "Connection": "close"})
        answer = await call((self.host, port), request, READY_TIMEOUT_S)
        return answer is not None and answer.status in (200, 307)

    async def until_ready(self) -> None:
        while not await self.is_ready():
            await asyncio.sleep(LOOK_S)

    async def until_gone(self, life: Life | None) -> None:
        while life is not None and life.code is None:
            await asyncio.sleep(LOOK_S)


class Fleet:
    """All nodes of a scene, under addresses of this process's own."""

    def __init__(self, folder: Path, record: Record, stores: int, edges: int) -> None:
        self.folder, self.record = folder, record
        self.tasks: set[asyncio.Task] = set()
        net = network()
        self.store_hosts = [f"{net}.{at + 1}" for at in range(stores)]
        self.stores = [
            Node(self, f"store-{at + 1}", "store", host, f"zone-{at % ZONES}")
            for at, host in enumerate(self.store_hosts)
        ]
        self.edges = [
            Node(self, f"edge-{at + 1}", "edge", f"{net}.{20 + at}", f"zone-{at % ZONES}")
            for at in range(edges)
        ]

    @property
    def nodes(self) -> list[Node]:
        return [*self.stores, *self.edges]

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.record.problem(f"the soak itself: {task.exception()!r}")

    async def start(self) -> None:
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def control(self, request: bytes, random: Random, seconds: float):
        """A call of the operator or a worker: any store, two redirects. None without a clear answer."""
        host = random.choice(self.store_hosts)
        for _ in range(3):
            answer = await call((host, CONTROL), request, seconds)
            if answer is None or answer.status != 307:
                return answer
            host = answer.fields["location"].removeprefix("http://").partition(":")[0]
        return None

    async def calm(self) -> None:
        """Nothing is stopped, every settings file is whole, every process is up."""
        for node in self.nodes:
            node.write_settings()
            if node.is_stopped:
                node.send("CONT")
        await asyncio.gather(*(node.until_ready() for node in self.nodes))

    async def end(self, limit_s: float) -> None:
        """SIGTERM to all; what does not end by itself in time is a problem."""
        for node in self.nodes:
            node.is_wanted = False
            node.send("TERM")
        waits = asyncio.gather(*(node.until_gone(node.life) for node in self.nodes))
        try:
            async with asyncio.timeout(limit_s):
                await waits
        except TimeoutError:
            left = [node.name for node in self.nodes if node.process is not None]
            self.record.problem(f"no end {limit_s:.0f} s after SIGTERM: {', '.join(left)}")

    async def close(self) -> None:
        """Whatever happened: no process stays."""
        for node in self.nodes:
            node.is_wanted = False
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
