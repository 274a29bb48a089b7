"""One simulation run: a cluster with clients and faults drawn from a seed, run in virtual time and
checked."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from sableford.common.settings import RuleBounds
from sableford.control.protocol import ConfigurationVersion
from sableford.simulation.control.checker import InvariantChecker, Violation
from sableford.simulation.control.clients import ControlClient, Operator
from sableford.simulation.control.cluster import (
    DUTY_LEASE_MS,
    SNAPSHOT_ENTRIES,
    SNAPSHOT_KEEP_ENTRIES,
    USAGE_LATE_S,
    USAGE_WINDOW_S,
    Cluster,
    patched_environment,
)
from sableford.simulation.control.event_loop import Process, SimulatedLoop
from sableford.simulation.control.faults import Faults
from sableford.simulation.control.platform import Platform
from sableford.simulation.control.workers import Worker

STARTUP_TIMEOUT_S = 12.0  # for the first formation of the cluster; faults are injected only after it
FAULTS_END_TIMEOUT_S = 26.0  # for active faults to end
CATCH_UP_TIMEOUT_S = (
    16.0  # for all members to catch up after the last fault: quietMs, syncS and the time of an order
)
FINAL_CALLS_TIMEOUT_S = 8.0  # for the calls at the end of a run
QUIET_WINDOWS = 3  # usage windows checked at the end
STEP_S = 0.25  # between two checks of the condition that a phase waits for
MAX_DISK_BYTES = 3_000_000  # on the disk of one store at the end: a snapshot and the entries that may remain
MAX_DISK_ENTRIES = 3 * (SNAPSHOT_ENTRIES + SNAPSHOT_KEEP_ENTRIES)  # log entries on one disk at the end


class SimulationConfig(NamedTuple):
    """The parameters of a run. `kinds` are the faults to inject; empty for all."""

    stores: int = 3
    losses: int = 1
    edges: int = 1
    operators: int = 2
    workers: int = 2
    seconds: float = 30.0
    pace_ms: float = 600.0  # mean time between two orders of an operator
    exceed: bool = False
    kinds: tuple[str, ...] = ()
    duties: bool = False  # with a platform that receives usage reports

    @classmethod
    def from_seed(cls, seed: int, seconds: float) -> "SimulationConfig":
        rng = Random(f"shape {seed}")
        losses = rng.choice((1, 1, 2))
        stores = rng.randint(2 * losses + 1, 7 if seconds > 60 else 2 * losses + 2)
        return cls(
            stores=stores,
            losses=losses,
            edges=rng.randint(0, 2),
            operators=rng.randint(2, 8 if seconds > 60 else 4),
            workers=rng.randint(1, 4),
            seconds=seconds,
            pace_ms=rng.choice((200.0, 600.0, 1500.0)),
        )


class ControlSimulation:
    def __init__(self, seed: int, config: SimulationConfig) -> None:
        self.seed, self.config = seed, config
        self.rng = Random(f"control {seed}")
        self.checker = InvariantChecker(RuleBounds())
        self.checker.safety_only = config.exceed
        self.loop = SimulatedLoop(self._handle_error)
        self.cluster = Cluster(self.loop, self.rng, config.losses, self.checker)
        self.checker.cluster = self.cluster
        self.faults: Faults | None = None
        self._operators: list[Operator] = []
        self._workers: list[Worker] = []
        self._operator_tasks: list[asyncio.Task] = []  # of operators

    def _handle_error(self, process: Process | None, error: BaseException) -> None:
        where = process.host if process is not None else "the simulation itself"
        if process is None:
            raise error
        self.checker.report_violation("unforeseen", f"{where}: {error!r}")

    def play(self) -> dict[str, int]:
        """Runs the simulation and returns its counts. Raises Violation."""
        try:
            with patched_environment(Random(f"entropy {self.seed}"), self.loop, self.checker):
                self._run_phases()
        finally:
            self.loop.close()
        if self.checker.violation is not None:
            self.checker.violation.args = (f"{self.checker.violation.args[0]}\n    {self.replay()}",)
            raise self.checker.violation
        return self.checker.counts | {f"fault {kind}": count for kind, count in self.faults.injected.items()}

    def replay(self) -> str:
        arguments = " ".join(
            f"--{name.replace('_', '-')} {','.join(value) if name == 'kinds' else value}"
            for name, value in self.config._asdict().items()
            if value is not False and value != ()
        )
        arguments = arguments.replace("--exceed True", "--exceed").replace("--duties True", "--duties")
        return (
            f"python -m sableford.simulation.control --seeds {self.seed}:{self.seed + 1} {arguments} --story"
        )

    def _run_until(self, seconds: float, done: Callable[[], bool] = lambda: False) -> None:
        """Advances virtual time by so many seconds, or until `done()` or a violation."""
        end = self.loop.time() + seconds
        while self.checker.violation is None and self.loop.time() < end and not done():
            self.loop.run_until(min(end, self.loop.time() + STEP_S))

    def _spawn(self, work) -> asyncio.Task:
        return self.loop.create_task(work)

    def _run_phases(self) -> None:
        asyncio._set_running_loop(self.loop)
        try:
            self._set_up()
        finally:
            asyncio._set_running_loop(None)
        self._run_until(STARTUP_TIMEOUT_S, self._has_started)
        if self.checker.violation is None and self.cluster.leader() is None:
            self.checker.report_violation("no leader", f"none {STARTUP_TIMEOUT_S} s after the first start")
        for machine in self.cluster.machines.values():
            machine.bootstrap = False
        if self.checker.violation is not None:
            return
        fault_task = self._spawn(self.faults.run())
        self._run_until(self.config.seconds)
        self.faults.stopping = True
        self._run_until(FAULTS_END_TIMEOUT_S, fault_task.done)
        self.faults.heal()
        self.cluster.request_loss = self.cluster.response_loss = 0.0
        self._run_until(CATCH_UP_TIMEOUT_S, self._caught_up)
        if self.cluster.platform is not None and not self.config.exceed:
            self._check_usage(self.cluster.platform)
        for caller in [*self._operators, *self._workers]:
            caller.stopping = True
        self._run_until(FINAL_CALLS_TIMEOUT_S, lambda: all(task.done() for task in self._operator_tasks))
        if self.checker.violation is None:
            self._check_final_state()

    def _check_usage(self, platform: Platform) -> None:
        """Checks some usage windows of a period without faults."""
        self._run_until(USAGE_LATE_S)  # late reports have arrived by then
        first = int(self.loop.time() // USAGE_WINDOW_S) + 1
        self._run_until((QUIET_WINDOWS + 1) * USAGE_WINDOW_S + USAGE_LATE_S)
        if self.checker.violation is None:
            platform.check_windows(first, first + QUIET_WINDOWS - 1)

    def _has_started(self) -> bool:
        """Whether there is a leader, with enough voters to tolerate the configured losses."""
        leader = self.cluster.leader()
        if leader is None:
            return False
        voters = leader.program.control.stable_voters()
        return voters is not None and len(voters) >= 2 * self.config.losses + 1 and self._caught_up()

    def _caught_up(self) -> bool:
        """Whether all members hold a lease and the newest configuration."""
        machines = [one for one in self.cluster.machines.values() if not one.removed]
        if self.cluster.leader() is None or any(one.program is None for one in machines):
            return False
        revisions = {_revision_of(one.program.member.config) for one in machines}
        revisions |= {one.program.control.state.revision for one in machines if one.role == "store"}
        return len(revisions) == 1 and all(one.program.member.holds_lease() for one in machines)

    def _set_up(self) -> None:
        config, rng = self.config, self.rng
        if config.duties:
            platform_rng = Random(f"platform {self.seed}")
            self.cluster.platform = Platform(self.cluster.network, platform_rng, DUTY_LEASE_MS, self.checker)
        self.faults = Faults(self.cluster, Random(rng.random()), self.checker, config.exceed, config.kinds)
        self.checker.settled = self.faults.settled
        for at in range(config.stores):
            self.cluster.add("store", f"zone-{at % 3}")
        for at in range(config.edges):
            self.cluster.add("edge", f"zone-{at % 3}")
        for machine in self.cluster.machines.values():
            machine.seeds, machine.bootstrap = self.cluster.seeds(), True
            self.cluster.network.later(rng.uniform(0.0, 0.3), self.cluster.start, machine)
        self.cluster.request_loss = self.cluster.response_loss = rng.choice((0.0, 0.03, 0.1))
        for at in range(config.operators):
            operator = Operator(f"op{at}", self.cluster, Random(rng.random()), self.checker, config.pace_ms)
            self._operators.append(operator)
            self._operator_tasks.append(self._spawn(operator.run()))
        for at in range(config.workers):
            worker = Worker(f"w{at}", self.cluster, Random(rng.random()), self.checker, 9000 + at)
            self._workers.append(worker)
            self._spawn(worker.run())
        self.cluster.network.later(1.0, self.checker.poll)

    # Final checks

    def _check_final_state(self) -> None:
        """With all machines running again, checks that all hold the same configuration and that disks are
        bounded."""
        reads = [self._spawn(self._read_at(one.control)) for one in self.cluster.stores()]
        self._run_until(FINAL_CALLS_TIMEOUT_S, lambda: all(task.done() for task in reads))
        if self.checker.violation is not None:
            return
        self._run_until(CATCH_UP_TIMEOUT_S, self._caught_up)
        self.checker.check_rejections()
        found = {task.result() if task.done() else None for task in reads}
        if self.config.exceed:
            return
        if None in found or len(found) != 1:
            self.checker.report_violation("closing read", f"the stores returned {found}")
            return
        self._check_members(found.pop())
        self._check_disks()

    async def _read_at(self, address: str) -> int | None:
        """Reads the revision in force through that store."""
        caller = ControlClient(self.cluster, Random(0))
        for _ in range(4):
            began = self.cluster.now()
            answer = await caller.read(address)
            if answer is not None:
                self.checker.config_read(f"closing read at {address}", began, *answer)
                return answer[0]
            await asyncio.sleep(0.2)
        return None

    def _check_members(self, revision: int) -> None:
        for machine in self.cluster.machines.values():
            if machine.removed:
                continue
            member = machine.program.member
            applied = _revision_of(member.config)
            own = machine.program.control.state.revision if machine.role == "store" else revision
            if not member.holds_lease() or applied != revision or own != revision:
                state = f"has {applied}, its record {own}, of {revision}, lease {member.holds_lease()}"
                self.checker.report_violation("not caught up", f"{machine.node} ({machine.host}) {state}")

    def _check_disks(self) -> None:
        for machine in self.cluster.stores():
            data = machine.device.data
            entries = sum(key.startswith(b"re") for key in data)
            if machine.device.size() > MAX_DISK_BYTES or entries > MAX_DISK_ENTRIES:
                self.checker.report_violation(
                    "disk", f"{machine.node} keeps {entries} entries, {machine.device.size()} bytes"
                )


def _revision_of(config: ConfigurationVersion | None) -> int:
    return config.revision if config is not None else 0


def play(seed: int, config: SimulationConfig) -> Violation | dict[str, int]:
    """Runs one simulation and returns its violation or its counts."""
    try:
        return ControlSimulation(seed, config).play()
    except Violation as finding:
        return finding
