"""Machines with their disks and processes, what may be done to them, and the way of calls from outside."""

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
from sableford.simulation.control.disk import Platter, SimulatedDisk
from sableford.simulation.control.event_loop import Process, Run, SimulatedLoop
from sableford.simulation.control.network import Network
from sableford.simulation.control.platform import HOST, PORT, Platform
from sableford.simulation.control.programs import EdgeProgram, Program, StoreProgram
from sableford.transport.http import HttpRequest, HttpResponse

INNER_PORT, CONTROL_PORT = 7300, 8262
SILENCE_S = 1.0  # of an answer: then a caller goes on to another machine
LATE, LATE_S = 0.5, (1.0, 4.0)  # share of lost requests that arrive after all, and how much later
USAGE_WINDOW_S, USAGE_LATE_S = 2.0, 8.0
DUTY_LEASE_MS = 6000.0  # some windows: else no holder acts twice within it
SEEDS = 3  # addresses given in each settings file
SNAP_AFTER, SNAP_KEEP = 240, 200  # entries: few, so that a walk of hundreds of orders goes through snapshots


class SimulatedLog:
    """Each event goes to the story of the walk."""

    story: Any = None

    def __init__(self, node: str) -> None:
        self._node = node

    def event(self, name: str, /, **fields: Any) -> None:
        SimulatedLog.story.logged(self._node, name, fields)

    def close(self) -> None:
        """Nothing is kept back."""


def _record_modules_with(constant: str) -> list[ModuleType]:
    """The record's modules that read that constant; there must be one, or the walks meet no snapshot."""
    record = [module for name, module in sys.modules.items() if name.startswith("sableford.consensus.")]
    found = [module for module in record if hasattr(module, constant)]
    if not found:
        raise LookupError(f"no module of the record has {constant}")
    return found


@contextmanager
def surroundings(chance: Random, loop: SimulatedLoop, story: Any) -> Iterator[None]:
    """For the length of a play: chance from the seed, the time of day from the loop, a log that is the story,
    snapshots of few entries."""
    SimulatedLog.story = story
    with ExitStack() as patches:
        patches.enter_context(mock.patch.object(os, "urandom", lambda size: chance.randbytes(size)))
        patches.enter_context(mock.patch.object(time, "time", loop.time))
        patches.enter_context(mock.patch.object(node_runtime, "Log", SimulatedLog))
        for constant, entries in (("SNAPSHOT_ENTRIES", SNAP_AFTER), ("SNAPSHOT_KEEP_ENTRIES", SNAP_KEEP)):
            for module in _record_modules_with(constant):
                patches.enter_context(mock.patch.object(module, constant, entries))
        yield


class Machine:
    def __init__(self, host: str, node: str, zone: str, role: str, platter: Platter) -> None:
        self.host, self.node, self.zone, self.role, self.platter = host, node, zone, role, platter
        self.seeds: list[str] = []
        self.bootstrap = False
        self.process: Process | None = None
        self.program: Program | None = None
        self.disk: SimulatedDisk | None = None
        self.powered = True
        self.gone = False  # taken away for good
        self.troubles = 0  # under way on it
        self.trouble_at = -1e12  # ms, the last moment of one

    @property
    def control(self) -> str:
        return f"{self.host}:{CONTROL_PORT}"

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.state is Run.RUNNING and self.program is not None

    @property
    def leads(self) -> bool:
        return self.running and isinstance(self.program, StoreProgram) and bool(self.program.control.leads)


class Cluster:
    """`watcher` gets what programs tell; see `programs.Program`."""

    def __init__(self, loop: SimulatedLoop, chance: Random, losses: int, watcher: Any) -> None:
        self.loop, self.losses, self._watcher = loop, losses, watcher
        self._chance = Random(chance.random())
        self.network = Network(loop, Random(chance.random()))
        self.machines: dict[str, Machine] = {}
        self.lost_requests = self.lost_answers = 0.0  # shares of calls from outside
        self.platform: Platform | None = None  # where there are duties

    def now(self) -> float:
        return self.loop.time() * 1000.0

    # Machines

    def add(self, role: str, zone: str) -> Machine:
        at = len(self.machines) + 1
        host = f"10.0.{at // 250}.{at % 250 + 1}"
        platter = Platter(Random(self._chance.random()), self.network.later)
        machine = Machine(host, f"{role}-{at}", zone, role, platter)
        self.machines[host] = machine
        self.network.powered.add(host)
        return machine

    def stores(self) -> list[Machine]:
        return [one for one in self.machines.values() if one.role == "store" and not one.gone]

    def running_stores(self) -> list[Machine]:
        return [one for one in self.stores() if one.running]

    def leader(self) -> Machine | None:
        """Of several that take themselves for it, the one of the latest term."""
        leading = [one for one in self.running_stores() if one.leads]
        return max(leading, key=lambda one: one.program.control.coordinator.term, default=None)

    def seeds(self) -> list[str]:
        return [one.control for one in self.stores()][:SEEDS]

    def settings(self, machine: Machine) -> Settings:
        control = machine.control if machine.role == "store" else None
        return Settings(
            node_name=machine.node,
            bind_ip=machine.host,
            zone=machine.zone,
            port_range=(INNER_PORT, INNER_PORT + 15),
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
        """Its process, where none runs and there is power."""
        if machine.gone or not machine.powered or machine.process is not None:
            return
        machine.process = Process(machine.host)
        self.loop.call_soon(self._begin, machine, context=machine.process.context)

    def _begin(self, machine: Machine) -> None:
        settings, chance = self.settings(machine), Random(self._chance.random())
        if machine.role == "store":
            machine.disk = SimulatedDisk(machine.platter, machine.process)
            machine.program = StoreProgram(
                settings, machine.process, chance, self._watcher, machine.disk, self.platform
            )
        else:
            machine.program = EdgeProgram(settings, machine.process, chance, self._watcher)
        machine.program.runtime.spawn(machine.program.main())

    def reseed(self, machine: Machine) -> None:
        """New seeds in its settings file, read by the process that runs."""
        machine.seeds = self.seeds()
        if machine.program is not None:
            machine.program.runtime.settings = self.settings(machine)

    def terminate(self, machine: Machine) -> None:
        """SIGTERM: the process says that it is leaving."""
        if machine.running:
            self.loop.call_soon(machine.program.runtime.end, context=machine.process.context)

    def kill(self, machine: Machine) -> None:
        process = machine.process
        if process is None:
            return
        process.state = Run.DEAD
        process.held.clear()
        if machine.disk is not None:
            machine.disk.end()
        self.network.end_process(process)
        machine.process = machine.program = machine.disk = None

    def power_off(self, machine: Machine) -> None:
        machine.powered = False
        self.network.power_off(machine.host)
        self.kill(machine)

    def power_on(self, machine: Machine) -> None:
        if not machine.gone:
            machine.powered = True
            self.network.power_on(machine.host)

    def wipe(self, machine: Machine) -> None:
        """Only while no process runs on it."""
        machine.platter.kept.clear()

    def freeze(self, machine: Machine) -> Process | None:
        if machine.running:
            machine.process.state = Run.FROZEN
        return machine.process

    def thaw(self, process: Process) -> None:
        if process.state is Run.FROZEN:
            self.loop.thaw(process)

    # Calls from outside

    async def call(
        self, address: str, method: str, target: str, body: bytes, headers: tuple, on_loss: Callable[[], None]
    ) -> HttpResponse | None:
        """The answer, or none: a refusal to connect or a second of silence. `on_loss` is told where the way
        between caller and machine is at fault."""
        await asyncio.sleep(self.network.delay())
        machine = self.machines.get(address.partition(":")[0])
        request = HttpRequest(method, target.encode(), list(headers), body, True)
        lost = self._chance.random() < self.lost_requests
        if lost:
            on_loss()
            if machine is not None and self._chance.random() < LATE:
                self.network.later(self._chance.uniform(*LATE_S), self._serve, machine, request, _unheard)
        if machine is None or not machine.powered or lost:
            await asyncio.sleep(SILENCE_S)
            return None
        future = self.loop.create_future()
        lost = self._chance.random() < self.lost_answers

        def reply(answer: HttpResponse) -> None:
            if lost:
                on_loss()
            else:
                self.network.later(self.network.delay(), _give, future, answer)

        if not self._serve(machine, request, reply):
            return None
        try:
            async with asyncio.timeout(SILENCE_S):
                return await future
        except TimeoutError:
            return None

    def _serve(self, machine: Machine, request: HttpRequest, reply: Callable[[HttpResponse], None]) -> bool:
        """Whether a process is there to take it."""
        if machine.process is None or machine.program is None:
            return False
        self.loop.call_soon(machine.program.serve, request, reply, context=machine.process.context)
        return True


def _unheard(answer: HttpResponse) -> None:
    """Its caller has gone on."""


def _give(future: asyncio.Future, answer: HttpResponse) -> None:
    if not future.done():
        future.set_result(answer)
