"""Fault injection: faults drawn from the seed, aimed at the leader or at the time just after an
acknowledgement. No more machines are lost at once than `tolerates` allows, unless the run is configured to
exceed it.

A machine counts as lost during its fault and for `syncS` after it.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any

from sableford.simulation.control import platform
from sableford.simulation.control.checker import InvariantChecker
from sableford.simulation.control.clients import RetirementClient
from sableford.simulation.control.cluster import Cluster, Machine

AFTER_ACK_MS = 400.0  # at most, from an acknowledgement to the fault that it triggers
SHORT_FAULT_MS = 200.0, 3000.0
LONG_FAULT_MS = 8000.0, 22_000.0
LONG_SHARE, ESCALATION_SHARE = 0.35, 0.3  # shares of faults that last long, and that end in another fault
DISK_LOSS_KINDS = {"wipe", "replace"}  # more of these than tolerated may lose acknowledged data
MAX_STORES = 7


class Faults:
    def __init__(
        self, cluster: Cluster, rng: Random, checker: InvariantChecker, exceed: bool, kinds: tuple = ()
    ) -> None:
        self.cluster, self.rng, self._checker, self.exceed = cluster, rng, checker, exceed
        self.stopping = False
        self.injected: dict[str, int] = {}
        self._bounds = checker.bounds
        self._last_disruption_at = -1e12  # ms: when a fault last disturbed the core
        self._slow_faults = 0  # slow or failing disks: meanwhile the core is not settled
        self._acknowledged = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._retiring: Machine | None = None
        checker.on_acknowledged.append(self._acknowledged.set)
        self._kinds: dict[str, Callable[..., Coroutine]] = {
            "kill": self._kill,
            "power": self._power,
            "wipe": self._wipe,
            "freeze": self._freeze,
            "slow_disk": self._slow_disk,
            "stall": self._stall,
            "full": self._full,
            "cut": self._cut,
            "cut_some": self._cut_some,
            "reset": self._reset,
            "terminate": self._terminate,
            "replace": self._replace,
            "power_all": self._power_all,
            "kill_all": self._kill_all,
            "retire": self._retire,
            "seeds": self._seeds,
            "edge": self._edge,
        }
        if cluster.platform is not None:
            self._kinds |= {
                "platform": self._platform,
                "platform_cut": self._platform_cut,
                "kill_holder": self._kill_holder,
                "freeze_holder": self._freeze_holder,
            }
        self._allowed = [kind for kind in kinds or self._kinds if not (exceed and kind in DISK_LOSS_KINDS)]

    # State of the core, as the checks regard it

    def settled(self) -> bool:
        stores = self.cluster.stores()
        up = [one for one in stores if one.running]
        quiet = self.cluster.now() - self._last_disruption_at >= self._bounds.quiet_ms
        return quiet and not self._slow_faults and len(up) * 2 > len(stores)

    def lost(self) -> list[Machine]:
        now, sync_ms = self.cluster.now(), self._bounds.sync_s * 1000.0
        return [
            one for one in self.cluster.stores() if one.active_faults or now - one.last_fault_at < sync_ms
        ]

    def _remaining_losses(self) -> int:
        """Returns how many more machines may be lost now."""
        return 99 if self.exceed else self.cluster.losses - len(self.lost())

    @contextmanager
    def _active_fault(self, machine: Machine, what: str, slow: bool = False) -> Iterator[None]:
        self._checker.record_event("fault", what=what, machine=machine.node, leads=machine.is_leader)
        machine.active_faults += 1
        self._slow_faults += slow
        self._record_disruption(machine)
        try:
            yield
        finally:
            machine.active_faults -= 1
            self._slow_faults -= slow
            self._record_disruption(machine)
            self._checker.record_event("fault_over", what=what, machine=machine.node)

    def _record_disruption(self, machine: Machine | None) -> None:
        self._last_disruption_at = self.cluster.now()
        if machine is not None:
            machine.last_fault_at = self.cluster.now()

    async def _sleep(self, least_ms: float, most_ms: float) -> None:
        await asyncio.sleep(self.rng.uniform(least_ms, most_ms) / 1000.0)

    async def _wait_fault_duration(self) -> None:
        """Waits for the duration of a fault."""
        await self._sleep(*(LONG_FAULT_MS if self.rng.random() < LONG_SHARE else SHORT_FAULT_MS))

    async def _wait_and_maybe_escalate(self, machine: Machine) -> None:
        """Waits likewise; sometimes the process is killed or the machine loses power at the end."""
        await self._wait_fault_duration()
        if self.rng.random() >= ESCALATION_SHARE:
            return
        power = self.rng.random() < 0.5
        self._checker.record_event("fault_worse", machine=machine.node, power=power)
        (self.cluster.power_off if power else self.cluster.kill)(machine)
        await self._sleep(300.0, 2000.0)
        self._restore(machine)

    # Choosing faults

    async def run(self) -> None:
        while not self.stopping:
            await self._wait_for_next_fault()
            if self.stopping:
                break
            kind = self.rng.choice(self._allowed)
            machine = self._choose_target()
            if machine is None:
                continue
            self.injected[kind] = self.injected.get(kind, 0) + 1
            self._tasks.append(asyncio.get_running_loop().create_task(self._kinds[kind](machine)))
        for task in self._tasks:
            await task

    async def _wait_for_next_fault(self) -> None:
        """Waits until another machine may be lost, sometimes for longer, and often for an acknowledgement."""
        await self._sleep(0.0, 300.0)
        while self._remaining_losses() <= 0 and not self.stopping:
            await asyncio.sleep(0.05)
        if self.rng.random() < 0.3:
            await self._sleep(0.0, 5000.0)
        if self.rng.random() < 0.5:
            self._acknowledged.clear()
            try:
                async with asyncio.timeout(6.0):
                    await self._acknowledged.wait()
                await self._sleep(0.0, AFTER_ACK_MS)
            except TimeoutError:
                pass

    def _choose_target(self) -> Machine | None:
        lost = self.lost()
        able = [one for one in self.cluster.running_stores() if one not in lost]
        leader = self.cluster.leader()
        if leader in able and self.rng.random() < 0.5:
            return leader
        return self.rng.choice(able) if able else None

    # Faults of one machine

    async def _kill(self, machine: Machine) -> None:
        if self._remaining_losses() < 1:
            return
        with self._active_fault(machine, "kill"):
            for _ in range(self.rng.choice((1, 1, 1, 2, 3))):
                self.cluster.kill(machine)
                await self._sleep(300.0, 2000.0)
                self.cluster.start(machine)
                await self._sleep(0.0, 500.0)

    async def _terminate(self, machine: Machine) -> None:
        if self._remaining_losses() < 1:
            return
        with self._active_fault(machine, "terminate"):
            self.cluster.terminate(machine)
            await self._sleep(500.0, 3000.0)
            self.cluster.kill(machine)
            await self._sleep(300.0, 2000.0)
            self.cluster.start(machine)

    async def _power(self, machine: Machine) -> None:
        if self._remaining_losses() < 1:
            return
        with self._active_fault(machine, "power"):
            self.cluster.power_off(machine)
            await self._wait_fault_duration()
            self._restore(machine)

    async def _wipe(self, machine: Machine) -> None:
        if self._remaining_losses() < 1:
            return
        with self._active_fault(machine, "wipe"):
            self.cluster.power_off(machine)
            self.cluster.wipe(machine)
            await self._wait_fault_duration()
            machine.seeds = self.cluster.seeds()
            self._restore(machine)

    def _restore(self, machine: Machine) -> None:
        self.cluster.power_on(machine)
        self.cluster.start(machine)

    async def _freeze(self, machine: Machine) -> None:
        if self._remaining_losses() < 1:
            return
        with self._active_fault(machine, "freeze"):
            process = self.cluster.freeze(machine)
            await self._wait_and_maybe_escalate(machine)
            self.cluster.thaw(process)

    async def _slow_disk(self, machine: Machine) -> None:
        if self._remaining_losses() < 1:
            return
        with self._active_fault(machine, "slow disk", slow=True):
            machine.device.slowness = self.rng.choice((5.0, 20.0, 100.0))
            await self._wait_and_maybe_escalate(machine)
            machine.device.slowness = 1.0

    async def _stall(self, machine: Machine) -> None:
        if self._remaining_losses() < 1:
            return
        with self._active_fault(machine, "stalled disk", slow=True):
            machine.device.stalled = True
            await self._wait_and_maybe_escalate(machine)
            machine.device.stalled = False

    async def _full(self, machine: Machine) -> None:
        if self._remaining_losses() < 1:
            return
        with self._active_fault(machine, "full disk", slow=True):
            machine.device.full = True
            await self._wait_and_maybe_escalate(machine)
            machine.device.full = False

    # Network faults

    async def _cut(self, machine: Machine) -> None:
        """Cuts it off from all others, in one direction or both."""
        others = [one for one in self.cluster.machines.values() if one is not machine]
        await self._cut_links(machine, others, "cut")

    async def _cut_some(self, machine: Machine) -> None:
        others = [one for one in self.cluster.stores() if one is not machine]
        some = self.rng.sample(others, self.rng.randint(1, len(others)))
        await self._cut_links(machine, some, "cut from some")

    async def _cut_links(self, machine: Machine, others: list[Machine], what: str) -> None:
        if self._remaining_losses() < 1:
            return
        direction = self.rng.choice(("both", "in", "out"))
        pairs = [(machine.host, one.host) for one in others] if direction != "in" else []
        pairs += [(one.host, machine.host) for one in others] if direction != "out" else []
        names = ",".join(one.node for one in others)
        with self._active_fault(machine, f"{what} ({direction}: {names})"):
            for pair in pairs:
                self.cluster.network.cut(*pair)
            await self._wait_and_maybe_escalate(machine)
            for pair in pairs:
                self.cluster.network.heal(*pair)

    async def _reset(self, machine: Machine) -> None:
        """Resets connections of a machine, which does not count as lost."""
        self._checker.record_event("fault", what="reset", machine=machine.node)
        self._record_disruption(None)
        others = [one.host for one in self.cluster.machines.values() if one is not machine]
        for other in self.rng.sample(others, self.rng.randint(1, len(others))):
            self.cluster.network.reset(machine.host, other)

    async def _edge(self, machine: Machine) -> None:
        """Kills or freezes an edge, which does not count as a lost machine."""
        edges = [one for one in self.cluster.machines.values() if one.role == "edge" and one.running]
        if not edges:
            return
        edge = self.rng.choice(edges)
        self._checker.record_event("fault", what="edge", machine=edge.node)
        if self.rng.random() < 0.5:
            self.cluster.kill(edge)
            await self._sleep(300.0, 2000.0)
            self.cluster.start(edge)
            return
        process = self.cluster.freeze(edge)
        await self._wait_fault_duration()
        self.cluster.thaw(process)

    # The platform and the holder of the duty

    async def _platform(self, machine: Machine) -> None:
        """Makes the platform slow, busy, silent or lossy for a while."""
        simulated = self.cluster.platform
        if simulated.mode != "up":
            return
        simulated.mode = self.rng.choice(("slow", "busy", "silent", "lossy"))
        self._checker.record_event("fault", what=f"platform {simulated.mode}")
        await self._wait_fault_duration()
        simulated.mode = "up"

    async def _platform_cut(self, machine: Machine) -> None:
        """Cuts one machine off from the platform, in one direction or both. It does not count as lost."""
        machine = self._holder() or machine
        pairs = [(machine.host, platform.HOST), (platform.HOST, machine.host)]
        pairs = self.rng.choice((pairs, pairs[:1], pairs[1:]))
        self._checker.record_event("fault", what="platform cut", machine=machine.node, pairs=pairs)
        for pair in pairs:
            self.cluster.network.cut(*pair)
        await self._sleep(*SHORT_FAULT_MS)
        for pair in pairs:
            self.cluster.network.heal(*pair)

    def _holder(self) -> Machine | None:
        """Returns the holder of the duty, as known to the leader."""
        leader = self.cluster.leader()
        if leader is None:
            return None
        holder = self.cluster.machines.get(leader.program.control.duty_state.holder)
        return holder if holder in self.cluster.running_stores() else None

    async def _kill_holder(self, machine: Machine) -> None:
        """Kills the holder and sometimes its successors, as far as their loss is tolerated.

        The holder is at times also the leader.
        """
        for _ in range(self.rng.choice((1, 1, 2, 3))):
            holder = self._holder()
            if holder is not None and holder not in self.lost():
                await self._kill(holder)

    async def _freeze_holder(self, machine: Machine) -> None:
        """Freezes the holder, often beyond the end of its lease, and thaws it."""
        holder = self._holder()
        if holder is None or holder in self.lost() or self._remaining_losses() < 1:
            return
        with self._active_fault(holder, "freeze holder"):
            process = self.cluster.freeze(holder)
            await self._sleep(500.0, 9000.0)
            self.cluster.thaw(process)

    # Faults of all stores at once

    async def _power_all(self, machine: Machine) -> None:
        await self._fail_all("power of all", self.cluster.power_off, self._restore)

    async def _kill_all(self, machine: Machine) -> None:
        await self._fail_all("kill all", self.cluster.kill, self.cluster.start)

    async def _fail_all(
        self, what: str, stop: Callable[[Machine], None], start: Callable[[Machine], Any]
    ) -> None:
        if self.lost() or self._retiring is not None:
            return
        self._checker.record_event("fault", what=what)
        stores = self.cluster.stores()
        wiped = self.rng.sample(stores, self.rng.randint(0, 0 if self.exceed else self.cluster.losses))
        for one in stores:
            one.active_faults += 1
            self._record_disruption(one)
            stop(one)
        if stop == self.cluster.power_off and self.rng.random() < 0.5:
            for one in wiped:
                self._checker.record_event("fault", what="wiped", machine=one.node)
                self.cluster.wipe(one)
        await self._sleep(300.0, 4000.0)
        self.rng.shuffle(stores)
        for one in stores:
            start(one)
            one.active_faults -= 1
            self._record_disruption(one)
            await self._sleep(0.0, 800.0)

    # Machines that are added and removed permanently

    def _add_store(self, zone: str) -> Machine:
        machine = self.cluster.add("store", zone)
        machine.seeds = [seed for seed in self.cluster.seeds() if seed != machine.control]
        self.cluster.start(machine)
        self._record_disruption(machine)
        self._checker.record_event("machine_came", machine=machine.node, host=machine.host)
        return machine

    async def _replace(self, machine: Machine) -> None:
        """Removes a machine with its disk and adds another one at a new address."""
        if self._remaining_losses() < 1 or machine is self._retiring:
            return
        with self._active_fault(machine, "replaced"):
            self.cluster.power_off(machine)
            self.cluster.wipe(machine)
            await self._wait_fault_duration()
            machine.removed = True
            successor = self._add_store(machine.zone)
        successor.last_fault_at = self.cluster.now()

    async def _retire(self, machine: Machine) -> None:
        """Empties a store and removes it, as planned; sometimes another one is added first."""
        stores = self.cluster.stores()
        if self._retiring is not None or self.lost():
            return
        self._retiring = machine
        try:
            if len(stores) < MAX_STORES and (
                len(stores) <= 2 * self.cluster.losses + 1 or self.rng.random() < 0.5
            ):
                self._add_store(machine.zone)
                await self._sleep(500.0, 6000.0)
            if machine.removed:
                return
            self._checker.record_event("retire", machine=machine.node, host=machine.host)
            client = RetirementClient(self.cluster, self.rng)
            outcome = await client.retire(machine.node)
            self._checker.record_event("retired", machine=machine.node, came_to=outcome)
            self._checker.count(f"retire {outcome}")
            if outcome == "complete":
                self.cluster.power_off(machine)
                machine.removed = True
                self._record_disruption(None)
        finally:
            self._retiring = None

    async def _seeds(self, machine: Machine) -> None:
        for one in self.cluster.machines.values():
            if not one.removed:
                self.cluster.update_seeds(one)

    # End of fault injection

    def heal(self) -> None:
        """Ends all faults and starts every machine that was not removed."""
        if self.cluster.platform is not None:
            self.cluster.platform.mode = "up"
        self.cluster.network.heal_all()
        for machine in self.cluster.machines.values():
            if machine.removed:
                continue
            machine.device.slowness, machine.device.stalled, machine.device.full = 1.0, False, False
            if machine.process is not None:
                self.cluster.thaw(machine.process)
            self.cluster.power_on(machine)
            self.cluster.start(machine)
        self._slow_faults = 0
        self._record_disruption(None)
