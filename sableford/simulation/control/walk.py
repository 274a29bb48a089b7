"""One walk: a cluster, its callers and faults drawn from a seed, played in simulated time and judged."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from sableford.common.settings import RuleBounds
from sableford.control.protocol import ConfigurationVersion
from sableford.simulation.control.cluster import (
    DUTY_LEASE_MS,
    SNAP_AFTER,
    SNAP_KEEP,
    USAGE_LATE_S,
    USAGE_WINDOW_S,
    Cluster,
    surroundings,
)
from sableford.simulation.control.event_loop import Process, SimulatedLoop
from sableford.simulation.control.faults import Faults
from sableford.simulation.control.judges import Finding, Judges
from sableford.simulation.control.operators import Caller, Operator
from sableford.simulation.control.platform import Platform
from sableford.simulation.control.workers import Worker

BEGIN_S = 12.0  # at most, for all to come together the first time: traffic begins no sooner
STOP_S = 26.0  # at most, for faults under way to end
SETTLE_S = 16.0  # at most, for all to catch up after the last fault: quietMs, syncS and an order's time
READ_S = 8.0  # at most, for the closing calls
QUIET_WINDOWS = 3  # of usage, that are looked at in the end
STEP_S = 0.25  # between two looks at whether that is done
MOST_BYTES = 3_000_000  # of one store's disk at the end: a snapshot and as many entries as may be left
MOST_ENTRIES = 3 * (SNAP_AFTER + SNAP_KEEP)  # left on one disk


class Shape(NamedTuple):
    """What a walk is made of. `kinds`: faults that may come, all where it is empty."""

    stores: int = 3
    losses: int = 1
    edges: int = 1
    operators: int = 2
    workers: int = 2
    seconds: float = 30.0
    pace_ms: float = 600.0  # between two orders of an operator
    exceed: bool = False
    kinds: tuple[str, ...] = ()
    duties: bool = False  # a platform is there, and usage is reported to it

    @classmethod
    def drawn(cls, seed: int, seconds: float) -> "Shape":
        chance = Random(f"shape {seed}")
        losses = chance.choice((1, 1, 2))
        stores = chance.randint(2 * losses + 1, 7 if seconds > 60 else 2 * losses + 2)
        return cls(
            stores=stores,
            losses=losses,
            edges=chance.randint(0, 2),
            operators=chance.randint(2, 8 if seconds > 60 else 4),
            workers=chance.randint(1, 4),
            seconds=seconds,
            pace_ms=chance.choice((200.0, 600.0, 1500.0)),
        )


class ControlSimulation:
    def __init__(self, seed: int, shape: Shape) -> None:
        self.seed, self.shape = seed, shape
        self.chance = Random(f"control {seed}")
        self.judges = Judges(RuleBounds())
        self.judges.only_safety = shape.exceed
        self.loop = SimulatedLoop(self._raised)
        self.cluster = Cluster(self.loop, self.chance, shape.losses, self.judges)
        self.judges.cluster = self.cluster
        self.faults: Faults | None = None
        self._operators: list[Operator] = []
        self._workers: list[Worker] = []
        self._calling: list[asyncio.Task] = []  # operators at work

    def _raised(self, process: Process | None, problem: BaseException) -> None:
        where = process.host if process is not None else "the simulation itself"
        if process is None:
            raise problem
        self.judges.found("unforeseen", f"{where}: {problem!r}")

    def play(self) -> dict[str, int]:
        """What was counted. Raises Finding."""
        try:
            with surroundings(Random(f"entropy {self.seed}"), self.loop, self.judges):
                self._play()
        finally:
            self.loop.close()
        if self.judges.finding is not None:
            self.judges.finding.args = (f"{self.judges.finding.args[0]}\n    {self.replay()}",)
            raise self.judges.finding
        return self.judges.counts | {f"fault {kind}": count for kind, count in self.faults.played.items()}

    def replay(self) -> str:
        given = " ".join(
            f"--{name.replace('_', '-')} {','.join(value) if name == 'kinds' else value}"
            for name, value in self.shape._asdict().items()
            if value is not False and value != ()
        )
        given = given.replace("--exceed True", "--exceed").replace("--duties True", "--duties")
        return f"python -m sableford.simulation.control --seeds {self.seed}:{self.seed + 1} {given} --story"

    def _until(self, seconds: float, done: Callable[[], bool] = lambda: False) -> None:
        """So many seconds further, or until it is done."""
        end = self.loop.time() + seconds
        while self.judges.finding is None and self.loop.time() < end and not done():
            self.loop.run_until(min(end, self.loop.time() + STEP_S))

    def _spawn(self, work) -> asyncio.Task:
        return self.loop.create_task(work)

    def _play(self) -> None:
        asyncio._set_running_loop(self.loop)
        try:
            self._set_up()
        finally:
            asyncio._set_running_loop(None)
        self._until(BEGIN_S, self._begun)
        if self.judges.finding is None and self.cluster.leader() is None:
            self.judges.found("no leader", f"none {BEGIN_S} s after the first start")
        for machine in self.cluster.machines.values():
            machine.bootstrap = False
        if self.judges.finding is not None:
            return
        injecting = self._spawn(self.faults.run())
        self._until(self.shape.seconds)
        self.faults.stopping = True
        self._until(STOP_S, injecting.done)
        self.faults.heal()
        self.cluster.lost_requests = self.cluster.lost_answers = 0.0
        self._until(SETTLE_S, self._caught_up)
        if self.cluster.platform is not None and not self.shape.exceed:
            self._check_usage(self.cluster.platform)
        for caller in [*self._operators, *self._workers]:
            caller.stopping = True
        self._until(READ_S, lambda: all(task.done() for task in self._calling))
        if self.judges.finding is None:
            self._close()

    def _check_usage(self, platform: Platform) -> None:
        """Some windows of a quiet time."""
        self._until(USAGE_LATE_S)  # what was late has come
        first = int(self.loop.time() // USAGE_WINDOW_S) + 1
        self._until((QUIET_WINDOWS + 1) * USAGE_WINDOW_S + USAGE_LATE_S)
        if self.judges.finding is None:
            platform.check(first, first + QUIET_WINDOWS - 1)

    def _begun(self) -> bool:
        """A leader, and as many voters as the losses to be borne ask for."""
        leader = self.cluster.leader()
        if leader is None:
            return False
        voters = leader.program.control.stable_voters()
        return voters is not None and len(voters) >= 2 * self.shape.losses + 1 and self._caught_up()

    def _caught_up(self) -> bool:
        """All members hold a lease and the newest configuration."""
        there = [one for one in self.cluster.machines.values() if not one.gone]
        if self.cluster.leader() is None or any(one.program is None for one in there):
            return False
        held = {_revision_of(one.program.member.config) for one in there}
        held |= {one.program.control.state.revision for one in there if one.role == "store"}
        return len(held) == 1 and all(one.program.member.holds_lease() for one in there)

    def _set_up(self) -> None:
        shape, chance = self.shape, self.chance
        if shape.duties:
            chance_of_platform = Random(f"platform {self.seed}")
            self.cluster.platform = Platform(
                self.cluster.network, chance_of_platform, DUTY_LEASE_MS, self.judges
            )
        self.faults = Faults(self.cluster, Random(chance.random()), self.judges, shape.exceed, shape.kinds)
        self.judges.settled = self.faults.settled
        for at in range(shape.stores):
            self.cluster.add("store", f"zone-{at % 3}")
        for at in range(shape.edges):
            self.cluster.add("edge", f"zone-{at % 3}")
        for machine in self.cluster.machines.values():
            machine.seeds, machine.bootstrap = self.cluster.seeds(), True
            self.cluster.network.later(chance.uniform(0.0, 0.3), self.cluster.start, machine)
        self.cluster.lost_requests = self.cluster.lost_answers = chance.choice((0.0, 0.03, 0.1))
        for at in range(shape.operators):
            operator = Operator(f"op{at}", self.cluster, Random(chance.random()), self.judges, shape.pace_ms)
            self._operators.append(operator)
            self._calling.append(self._spawn(operator.run()))
        for at in range(shape.workers):
            worker = Worker(f"w{at}", self.cluster, Random(chance.random()), self.judges, 9000 + at)
            self._workers.append(worker)
            self._spawn(worker.run())
        self.cluster.network.later(1.0, self.judges.poll)

    # The end

    def _close(self) -> None:
        """Everyone is back: one configuration everywhere, and bounded disks."""
        reads = [self._spawn(self._read_at(one.control)) for one in self.cluster.stores()]
        self._until(READ_S, lambda: all(task.done() for task in reads))
        if self.judges.finding is not None:
            return
        self._until(SETTLE_S, self._caught_up)
        self.judges.judge_refusals()
        found = {task.result() if task.done() else None for task in reads}
        if self.shape.exceed:
            return
        if None in found or len(found) != 1:
            self.judges.found("closing read", f"the stores' answers were {found}")
            return
        self._close_members(found.pop())
        self._close_disks()

    async def _read_at(self, address: str) -> int | None:
        """What a caller reads who begins at that store."""
        caller = Caller(self.cluster, Random(0))
        for _ in range(4):
            began = self.cluster.now()
            answer = await caller.read(address)
            if answer is not None:
                self.judges.read(f"closing read at {address}", began, *answer)
                return answer[0]
            await asyncio.sleep(0.2)
        return None

    def _close_members(self, revision: int) -> None:
        for machine in self.cluster.machines.values():
            if machine.gone:
                continue
            member = machine.program.member
            has = _revision_of(member.config)
            own = machine.program.control.state.revision if machine.role == "store" else revision
            if not member.holds_lease() or has != revision or own != revision:
                told = f"has {has}, its record {own}, of {revision}, lease {member.holds_lease()}"
                self.judges.found("not caught up", f"{machine.node} ({machine.host}) {told}")

    def _close_disks(self) -> None:
        for machine in self.cluster.stores():
            kept = machine.platter.kept
            entries = sum(key.startswith(b"re") for key in kept)
            if machine.platter.size() > MOST_BYTES or entries > MOST_ENTRIES:
                self.judges.found(
                    "disk", f"{machine.node} keeps {entries} entries, {machine.platter.size()} bytes"
                )


def _revision_of(config: ConfigurationVersion | None) -> int:
    return config.revision if config is not None else 0


def play(seed: int, shape: Shape) -> Finding | dict[str, int]:
    """One walk, its finding or its counts."""
    try:
        return ControlSimulation(seed, shape).play()
    except Finding as finding:
        return finding
