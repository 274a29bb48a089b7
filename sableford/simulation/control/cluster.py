"""Simulated machines with their disks and processes, the faults that they can have, and calls from
clients."""

import asyncio
import os
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from types import ModuleType
from typing import Any
from unittest import mock

from sableford.common.settings import (
    USAGE_REPORT,
    BindAddresses,
    CloudApi,
    FaultTolerance,
    RuleBounds,
    Settings,
)
from sableford.node import runtime as node_runtime
from sableford.simulation.control.disk import DiskDevice, SimulatedDisk
from sableford.simulation.control.event_loop import Process, ProcessState, SimulatedLoop
from sableford.simulation.control.network import Network
from sableford.simulation.control.platform import HOST, PORT, Platform
from sableford.simulation.control.programs import EdgeProgram, Program, StoreProgram
from sableford.transport.http import HttpRequest, HttpResponse

PEER_PORT, CONTROL_PORT = 7300, 8262
CALL_TIMEOUT_S = 1.0  # without an answer, after which a client tries another machine
LATE_SHARE, LATE_DELAY_S = 0.5, (1.0, 4.0)  # share of lost requests that arrive late, and how late
USAGE_WINDOW_S, USAGE_LATE_S = 2.0, 8.0
DUTY_LEASE_MS = 6000.0  # spans several usage windows, so that a holder acts more than once within a lease
SEED_ADDRESSES = 3  # seed addresses in each settings file
# Small, so that a run of some hundred orders takes snapshots.
SNAPSHOT_ENTRIES, SNAPSHOT_KEEP_ENTRIES = 240, 200


class SimulatedLog:
    """Adds each log event to the trace of the run."""

    checker: Any = None

    def __init__(self, node: str) -> None:
        self._node = node

    def event(self, name: str, /, **fields: Any) -> None:
        SimulatedLog.checker.log_event(self._node, name, fields)

    def close(self) -> None:
        """Nothing is buffered."""


def _record_modules_with(constant: str) -> list[ModuleType]:
    """Returns the modules of the replicated log that define that constant. Without one the patch would have
    no effect, and the simulation would never take a snapshot."""
    candidates = [module for name, module in sys.modules.items() if name.startswith("sableford.consensus.")]
    found = [module for module in candidates if hasattr(module, constant)]
    if not found:
        raise LookupError(f"no module of sableford.consensus defines {constant}")
    return found


@contextmanager
def patched_environment(rng: Random, loop: SimulatedLoop, checker: Any) -> Iterator[None]:
    """Makes a run deterministic while it lasts: random bytes come from `rng` and the time of day from `loop`,
    logs go to the trace of the checker, and snapshots hold few entries."""
    SimulatedLog.checker = checker
    with ExitStack() as patches:
        patches.enter_context(mock.patch.object(os, "urandom", lambda size: rng.randbytes(size)))
        patches.enter_context(mock.patch.object(time, "time", loop.time))
        patches.enter_context(mock.patch.object(node_runtime, "Log", SimulatedLog))
        for constant, entries in (
            ("SNAPSHOT_ENTRIES", SNAPSHOT_ENTRIES),
            ("SNAPSHOT_KEEP_ENTRIES", SNAPSHOT_KEEP_ENTRIES),
        ):
            for module in _record_modules_with(constant):
                patches.enter_context(mock.patch.object(module, constant, entries))
        yield


class Machine:
    def __init__(self, host: str, node: str, zone: str, role: str, device: DiskDevice) -> None:
        self.host, self.node, self.zone, self.role, self.device = host, node, zone, role, device
        self.seeds: list[str] = []
        self.bootstrap = False
        self.process: Process | None = None
        self.program: Program | None = None
        self.disk: SimulatedDisk | None = None
        self.powered = True
        self.removed = False  # permanently
        self.active_faults = 0  # faults in progress on it
        self.last_fault_at = -1e12  # ms: when a fault last started or ended

    @property
    def control(self) -> str:
        return f"{self.host}:{CONTROL_PORT}"

    @property
    def running(self) -> bool:
        return (
            self.process is not None
            and self.process.state is ProcessState.RUNNING
            and self.program is not None
        )

    @property
    def is_leader(self) -> bool:
        return self.running and isinstance(self.program, StoreProgram) and bool(self.program.control.leads)


class Cluster:
    """`watcher` gets the notifications of the programs; see `programs.Program`."""

    def __init__(self, loop: SimulatedLoop, rng: Random, losses: int, watcher: Any) -> None:
        self.loop, self.losses, self._watcher = loop, losses, watcher
        self._rng = Random(rng.random())
        self.network = Network(loop, Random(rng.random()))
        self.machines: dict[str, Machine] = {}
        self.request_loss = self.response_loss = 0.0  # shares of the calls of clients
        self.platform: Platform | None = None  # only in runs with duties

    def now(self) -> float:
        return self.loop.time() * 1000.0

    # Machines

    def add(self, role: str, zone: str) -> Machine:
        number = len(self.machines) + 1
        host = f"10.0.{number // 250}.{number % 250 + 1}"
        device = DiskDevice(Random(self._rng.random()), self.network.later)
        machine = Machine(host, f"{role}-{number}", zone, role, device)
        self.machines[host] = machine
        self.network.powered.add(host)
        return machine

    def stores(self) -> list[Machine]:
        return [one for one in self.machines.values() if one.role == "store" and not one.removed]

    def running_stores(self) -> list[Machine]:
        return [one for one in self.stores() if one.running]

    def leader(self) -> Machine | None:
        """The leader; if several consider themselves leader, the one of the latest term."""
        leaders = [one for one in self.running_stores() if one.is_leader]
        return max(leaders, key=lambda one: one.program.control.coordinator.term, default=None)

    def seeds(self) -> list[str]:
        return [one.control for one in self.stores()][:SEED_ADDRESSES]

    def settings(self, machine: Machine) -> Settings:
        control = machine.control if machine.role == "store" else None
        return Settings(
            node_name=machine.node,
            bind_ip=machine.host,
            zone=machine.zone,
            port_range=(PEER_PORT, PEER_PORT + 15),
            bind_addrs=BindAddresses(control_rpc=control),
            seed_nodes=machine.seeds,
            bootstrap=machine.bootstrap,
            quorum_member=machine.role == "store",
            tolerates=FaultTolerance(machine_loss=self.losses),
            rule_bounds=RuleBounds(
                lease_ms=DUTY_LEASE_MS, usage_window_s=USAGE_WINDOW_S, usage_late_s=USAGE_LATE_S
            ),
            cloud_api=CloudApi(f"{HOST}:{PORT}", [USAGE_REPORT]) if self.platform is not None else None,
        )

    def start(self, machine: Machine) -> None:
        """Starts its process if none is running and the machine has power."""
        if machine.removed or not machine.powered or machine.process is not None:
            return
        machine.process = Process(machine.host)
        self.loop.call_soon(self._start_program, machine, context=machine.process.context)

    def _start_program(self, machine: Machine) -> None:
        settings, rng = self.settings(machine), Random(self._rng.random())
        if machine.role == "store":
            machine.disk = SimulatedDisk(machine.device, machine.process)
            machine.program = StoreProgram(
                settings, machine.process, rng, self._watcher, machine.disk, self.platform
            )
        else:
            machine.program = EdgeProgram(settings, machine.process, rng, self._watcher)
        machine.program.runtime.spawn(machine.program.main())

    def update_seeds(self, machine: Machine) -> None:
        """Writes the current seeds to its settings file, which a running process reads."""
        machine.seeds = self.seeds()
        if machine.program is not None:
            machine.program.runtime.settings = self.settings(machine)

    def terminate(self, machine: Machine) -> None:
        """SIGTERM: the process announces that it is leaving."""
        if machine.running:
            self.loop.call_soon(machine.program.runtime.end, context=machine.process.context)

    def kill(self, machine: Machine) -> None:
        process = machine.process
        if process is None:
            return
        process.state = ProcessState.DEAD
        process.deferred.clear()
        if machine.disk is not None:
            machine.disk.end()
        self.network.end_process(process)
        machine.process = machine.program = machine.disk = None

    def power_off(self, machine: Machine) -> None:
        machine.powered = False
        self.network.power_off(machine.host)
        self.kill(machine)

    def power_on(self, machine: Machine) -> None:
        if not machine.removed:
            machine.powered = True
            self.network.power_on(machine.host)

    def wipe(self, machine: Machine) -> None:
        """Only while no process runs on the machine."""
        machine.device.data.clear()

    def freeze(self, machine: Machine) -> Process | None:
        if machine.running:
            machine.process.state = ProcessState.FROZEN
        return machine.process

    def thaw(self, process: Process) -> None:
        if process.state is ProcessState.FROZEN:
            self.loop.thaw(process)

    # Calls from clients

    async def call(
        self, address: str, method: str, target: str, body: bytes, headers: tuple, on_loss: Callable[[], None]
    ) -> HttpResponse | None:
        """Returns the response, or None if the connection was refused or the call timed out. `on_loss` is
        called if the network lost the request or the response."""
        await asyncio.sleep(self.network.delay())
        machine = self.machines.get(address.partition(":")[0])
        request = HttpRequest(method, target.encode(), list(headers), body, True)
        lost = self._rng.random() < self.request_loss
        if lost:
            on_loss()
            if machine is not None and self._rng.random() < LATE_SHARE:
                self.network.later(
                    self._rng.uniform(*LATE_DELAY_S), self._serve, machine, request, _discard_response
                )
        if machine is None or not machine.powered or lost:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return None
        future = self.loop.create_future()
        lost = self._rng.random() < self.response_loss

        def reply(answer: HttpResponse) -> None:
            if lost:
                on_loss()
            else:
                self.network.later(self.network.delay(), _resolve, future, answer)

        if not self._serve(machine, request, reply):
            return None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None

    def _serve(self, machine: Machine, request: HttpRequest, reply: Callable[[HttpResponse], None]) -> bool:
        """Returns whether a process is running to handle the request."""
        if machine.process is None or machine.program is None:
            return False
        self.loop.call_soon(machine.program.serve, request, reply, context=machine.process.context)
        return True


def _discard_response(answer: HttpResponse) -> None:
    """The response to a late request, whose caller has given up."""


def _resolve(future: asyncio.Future, answer: HttpResponse) -> None:
    if not future.done():
        future.set_result(answer)
