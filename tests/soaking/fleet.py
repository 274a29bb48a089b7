"""The processes of the system under test: starts, signals, restarts and observes them as a platform would."""

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
from tests.soaking.connection import request_bytes, request_once
from tests.soaking.history import History, Incarnation, now

INTERNAL_PORT, CONTROL_PORT, PUBLIC_PORT, READINESS_PORT = 7300, 7401, 8080, 8081
INTERNAL_PORT_COUNT = 16
RESTART_S = 0.2  # delay until the platform restarts a process that has ended
POLL_INTERVAL_S = 0.05  # between two checks of a condition that is waited for
READY_TIMEOUT_S = 2.0
TIME_BOUNDS = {
    "applyMs": 3000,
    "graceS": 6,
    "drainMs": 3000,
    "quietMs": 4000,
    "notBeforeMs": 100,
    "syncS": 4.6,
}
ZONES = 3
SIGNALS = {
    "TERM": signal.SIGTERM,
    "KILL": signal.SIGKILL,
    "HUP": signal.SIGHUP,
    "STOP": signal.SIGSTOP,
    "CONT": signal.SIGCONT,
}


class Node:
    """A machine with one process, which is restarted when it ends."""

    def __init__(self, fleet: "Fleet", name: str, role: str, host: str, zone: str) -> None:
        self.fleet, self.name, self.role, self.host, self.zone = fleet, name, role, host, zone
        self.settings_file, self.log_file = fleet.folder / f"{name}.yaml", fleet.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.incarnation: Incarnation | None = None
        self.restart_on_exit = True
        self.is_stopped = False
        self.is_first_start = True
        self.settings_writes = 0

    # Settings

    def settings(self) -> dict:
        edge = self.role == "edge"
        bind_addresses = {
            "publicHttp": f"{self.host}:{PUBLIC_PORT}",
            "readyProbe": f"{self.host}:{READINESS_PORT}",
        }
        stores = self.fleet.store_hosts
        first = self.settings_writes % len(stores)
        seeds = [*stores[first:], *stores[:first]][:3] if not self.is_first_start else stores[:3]
        return {
            "nodeName": self.name,
            "bindIp": self.host,
            "zone": self.zone,
            "serves": ["edge"] if edge else ["storage", "control_plane"],
            "portRange": [INTERNAL_PORT, INTERNAL_PORT + INTERNAL_PORT_COUNT - 1],
            "bindAddrs": bind_addresses if edge else {"controlRpc": f"{self.host}:{CONTROL_PORT}"},
            "seedNodes": [f"{host}:{CONTROL_PORT}" for host in seeds],
            "bootstrap": self.is_first_start,
            "limits": {"memoryMb": 300, "diskMb": 64, "cpuShare": 1.0 - 0.01 * (self.settings_writes % 50)},
            "dataDir": None if edge else str(self.fleet.folder / self.name),
            "tolerates": {"machineLoss": 1},
            "ruleBounds": TIME_BOUNDS,
            "unknownField": self.settings_writes,
        }

    def write_settings(self) -> None:
        """Replaces the file atomically: a starting process reads either the old or the new settings."""
        self.settings_writes += 1
        temporary = self.settings_file.with_suffix(".new")
        temporary.write_text(json.dumps(self.settings()))
        temporary.replace(self.settings_file)

    def write_truncated_settings(self) -> None:
        """Leaves the file half written, as an editor may do for a moment."""
        text = json.dumps(self.settings())
        self.settings_file.write_text(text[: len(text) // 2])

    # Process

    async def start(self) -> None:
        self.write_settings()
        self.is_first_start = False
        self.incarnation = Incarnation(self.name, self.role, now())
        self.fleet.history.incarnations.append(self.incarnation)
        self.fleet.history.add_event(f"{self.name} starts")
        with self.log_file.open("ab") as log_file:
            command = [
                sys.executable,
                "-m",
                "sableford.node",
                self.role,
                "--settings",
                str(self.settings_file),
            ]
            self.process = await start_child(command, log_file.fileno())
        self.fleet.spawn(self._watch(self.process, self.incarnation))

    async def _watch(self, process: asyncio.subprocess.Process, incarnation: Incarnation) -> None:
        code = await process.wait()
        incarnation.was_serving = f'"pid":{process.pid}}}'.encode() in self.log_file.read_bytes()
        incarnation.code, incarnation.ended_at = code, now()
        self.process, self.is_stopped = None, False
        self.fleet.history.add_event(f"{self.name} exited with {incarnation.code}")
        if self.restart_on_exit:
            await asyncio.sleep(RESTART_S)
            if self.restart_on_exit:
                await self.start()

    def send(self, name: str) -> None:
        if self.process is None or self.process.returncode is not None or self.incarnation is None:
            return
        self.incarnation.signals.append((now(), name))
        self.fleet.history.add_event(f"{self.name} gets SIG{name}")
        if name in ("KILL", "STOP"):
            self.fleet.history.add_fault(f"SIG{name} {self.name}")
        elif name == "CONT" and self.is_stopped:
            self.fleet.history.add_fault(f"SIGCONT {self.name}")
        self.is_stopped = name == "STOP" or (self.is_stopped and name != "CONT")
        # `send_signal` would reap a child that has just ended, before its watcher can read the exit code.
        with suppress(ProcessLookupError):
            os.kill(self.process.pid, SIGNALS[name])

    def handles_signal(self, name: str) -> bool:
        """Whether the process already catches or ignores the signal, according to /proc."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text() if self.process else ""
        except OSError:
            return False
        masks = [
            int(line.split()[1], 16) for line in lines.splitlines() if line[:7] in ("SigIgn:", "SigCgt:")
        ]
        return any(mask >> (SIGNALS[name] - 1) & 1 for mask in masks)

    async def is_ready(self) -> bool:
        """Whether an edge reports readiness, or a store answers control calls."""
        if self.process is None:
            return False
        port, path = (
            (READINESS_PORT, "/v1/readiness") if self.role == "edge" else (CONTROL_PORT, "/v1/config/read")
        )
        request = request_bytes("GET", path, {"Host": "x", "Connection": "close"})
        response = await request_once((self.host, port), request, READY_TIMEOUT_S)
        return response is not None and response.status in (200, 307)

    async def wait_until_ready(self) -> None:
        while not await self.is_ready():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_ended(self, incarnation: Incarnation | None) -> None:
        while incarnation is not None and incarnation.code is None:
            await asyncio.sleep(POLL_INTERVAL_S)


class Fleet:
    """All nodes of a scenario, on loopback addresses that belong to this process."""

    def __init__(self, folder: Path, history: History, stores: int, edges: int) -> None:
        self.folder, self.history = folder, history
        self.tasks: set[asyncio.Task] = set()
        net = network()
        self.store_hosts = [f"{net}.{index + 1}" for index in range(stores)]
        self.stores = [
            Node(self, f"store-{index + 1}", "store", host, f"zone-{index % ZONES}")
            for index, host in enumerate(self.store_hosts)
        ]
        self.edges = [
            Node(self, f"edge-{index + 1}", "edge", f"{net}.{20 + index}", f"zone-{index % ZONES}")
            for index in range(edges)
        ]

    @property
    def nodes(self) -> list[Node]:
        return [*self.stores, *self.edges]

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.history.add_violation(f"the test itself failed: {task.exception()!r}")

    async def start(self) -> None:
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def control_request(self, request: bytes, random: Random, timeout_s: float):
        """Sends a control call to a random store and follows up to two redirects; None without a definite
        response."""
        host = random.choice(self.store_hosts)
        for _ in range(3):
            response = await request_once((host, CONTROL_PORT), request, timeout_s)
            if response is None or response.status != 307:
                return response
            host = response.headers["location"].removeprefix("http://").partition(":")[0]
        return None

    async def restore(self) -> None:
        """Continues stopped processes, rewrites all settings files, waits until every process is ready."""
        for node in self.nodes:
            node.write_settings()
            if node.is_stopped:
                node.send("CONT")
        await asyncio.gather(*(node.wait_until_ready() for node in self.nodes))

    async def stop(self, limit_s: float) -> None:
        """Sends SIGTERM to all; a process that has not ended within the limit is a violation."""
        for node in self.nodes:
            node.restart_on_exit = False
            node.send("TERM")
        all_ended = asyncio.gather(*(node.wait_until_ended(node.incarnation) for node in self.nodes))
        try:
            async with asyncio.timeout(limit_s):
                await all_ended
        except TimeoutError:
            running = [node.name for node in self.nodes if node.process is not None]
            self.history.add_violation(f"still running {limit_s:.0f} s after SIGTERM: {', '.join(running)}")

    async def close(self) -> None:
        """Kills all remaining processes and cancels all tasks."""
        for node in self.nodes:
            node.restart_on_exit = False
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
