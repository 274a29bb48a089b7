"""What goes wrong in a walk: faults drawn from the seed, aimed at who leads or has just acknowledged, and
never more machines lost at once than `tolerates` allows, unless a walk is to exceed it.

A machine counts as lost while its fault lasts and for `syncS` after.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any

from sableford.simulation.control import platform
from sableford.simulation.control.cluster import Cluster, Machine
from sableford.simulation.control.judges import Judges
from sableford.simulation.control.operators import Retirer

AFTER_ACK_MS = 400.0  # within which a fault that follows an acknowledgement comes
FAULTS_SHORT_MS = 200.0, 3000.0
FAULTS_LONG_MS = 8000.0, 22_000.0
LONG, WORSE = 0.35, 0.3  # shares of faults that last long, and that end in another
LOSE_DISKS = {"wipe", "replace"}  # more of these than are tolerated lose what was acknowledged
MOST_STORES = 7


class Faults:
    def __init__(
        self, cluster: Cluster, chance: Random, judges: Judges, exceed: bool, kinds: tuple = ()
    ) -> None:
        self.cluster, self.chance, self._judges, self.exceed = cluster, chance, judges, exceed
        self.stopping = False
        self.played: dict[str, int] = {}
        self._bounds = judges.bounds
        self._event_at = -1e12  # ms: of the last that unsettles the core
        self._slowed = 0  # faults under way during which the core is not settled
        self._acknowledged = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._retiring: Machine | None = None
        judges.on_acknowledged.append(self._acknowledged.set)
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
        self._allowed = [kind for kind in kinds or self._kinds if not (exceed and kind in LOSE_DISKS)]

    # The core as the rules see it

    def settled(self) -> bool:
        stores = self.cluster.stores()
        up = [one for one in stores if one.running]
        quiet = self.cluster.now() - self._event_at >= self._bounds.quiet_ms
        return quiet and not self._slowed and len(up) * 2 > len(stores)

    def lost(self) -> list[Machine]:
        now, sync_ms = self.cluster.now(), self._bounds.sync_s * 1000.0
        return [one for one in self.cluster.stores() if one.troubles or now - one.trouble_at < sync_ms]

    def _spare(self) -> int:
        """How many more machines may be lost now."""
        return 99 if self.exceed else self.cluster.losses - len(self.lost())

    @contextmanager
    def _trouble(self, machine: Machine, what: str, slow: bool = False) -> Iterator[None]:
        self._judges.tell("fault", what=what, machine=machine.node, leads=machine.leads)
        machine.troubles += 1
        self._slowed += slow
        self._mark(machine)
        try:
            yield
        finally:
            machine.troubles -= 1
            self._slowed -= slow
            self._mark(machine)
            self._judges.tell("fault_over", what=what, machine=machine.node)

    def _mark(self, machine: Machine | None) -> None:
        self._event_at = self.cluster.now()
        if machine is not None:
            machine.trouble_at = self.cluster.now()

    async def _sleep(self, least_ms: float, most_ms: float) -> None:
        await asyncio.sleep(self.chance.uniform(least_ms, most_ms) / 1000.0)

    async def _last(self) -> None:
        """The length of a fault."""
        await self._sleep(*(FAULTS_LONG_MS if self.chance.random() < LONG else FAULTS_SHORT_MS))

    async def _last_and_worse(self, machine: Machine) -> None:
        """The same, and now and then the process or the power ends too."""
        await self._last()
        if self.chance.random() >= WORSE:
            return
        power = self.chance.random() < 0.5
        self._judges.tell("fault_worse", machine=machine.node, power=power)
        (self.cluster.power_off if power else self.cluster.kill)(machine)
        await self._sleep(300.0, 2000.0)
        self._return(machine)

    # Drawing

    async def run(self) -> None:
        while not self.stopping:
            await self._next_moment()
            if self.stopping:
                break
            kind = self.chance.choice(self._allowed)
            machine = self._aim()
            if machine is None:
                continue
            self.played[kind] = self.played.get(kind, 0) + 1
            self._tasks.append(asyncio.get_running_loop().create_task(self._kinds[kind](machine)))
        for task in self._tasks:
            await task

    async def _next_moment(self) -> None:
        """Right when the last loss is made good, or some time later; often just after an acknowledgement."""
        await self._sleep(0.0, 300.0)
        while self._spare() <= 0 and not self.stopping:
            await asyncio.sleep(0.05)
        if self.chance.random() < 0.3:
            await self._sleep(0.0, 5000.0)
        if self.chance.random() < 0.5:
            self._acknowledged.clear()
            try:
                async with asyncio.timeout(6.0):
                    await self._acknowledged.wait()
                await self._sleep(0.0, AFTER_ACK_MS)
            except TimeoutError:
                pass

    def _aim(self) -> Machine | None:
        lost = self.lost()
        able = [one for one in self.cluster.running_stores() if one not in lost]
        leader = self.cluster.leader()
        if leader in able and self.chance.random() < 0.5:
            return leader
        return self.chance.choice(able) if able else None

    # One machine

    async def _kill(self, machine: Machine) -> None:
        if self._spare() < 1:
            return
        with self._trouble(machine, "kill"):
            for _ in range(self.chance.choice((1, 1, 1, 2, 3))):
                self.cluster.kill(machine)
                await self._sleep(300.0, 2000.0)
                self.cluster.start(machine)
                await self._sleep(0.0, 500.0)

    async def _terminate(self, machine: Machine) -> None:
        if self._spare() < 1:
            return
        with self._trouble(machine, "terminate"):
            self.cluster.terminate(machine)
            await self._sleep(500.0, 3000.0)
            self.cluster.kill(machine)
            await self._sleep(300.0, 2000.0)
            self.cluster.start(machine)

    async def _power(self, machine: Machine) -> None:
        if self._spare() < 1:
            return
        with self._trouble(machine, "power"):
            self.cluster.power_off(machine)
            await self._last()
            self._return(machine)

    async def _wipe(self, machine: Machine) -> None:
        if self._spare() < 1:
            return
        with self._trouble(machine, "wipe"):
            self.cluster.power_off(machine)
            self.cluster.wipe(machine)
            await self._last()
            machine.seeds = self.cluster.seeds()
            self._return(machine)

    def _return(self, machine: Machine) -> None:
        self.cluster.power_on(machine)
        self.cluster.start(machine)

    async def _freeze(self, machine: Machine) -> None:
        if self._spare() < 1:
            return
        with self._trouble(machine, "freeze"):
            process = self.cluster.freeze(machine)
            await self._last_and_worse(machine)
            self.cluster.thaw(process)

    async def _slow_disk(self, machine: Machine) -> None:
        if self._spare() < 1:
            return
        with self._trouble(machine, "slow disk", slow=True):
            machine.platter.slowness = self.chance.choice((5.0, 20.0, 100.0))
            await self._last_and_worse(machine)
            machine.platter.slowness = 1.0

    async def _stall(self, machine: Machine) -> None:
        if self._spare() < 1:
            return
        with self._trouble(machine, "stalled disk", slow=True):
            machine.platter.stalled = True
            await self._last_and_worse(machine)
            machine.platter.stalled = False

    async def _full(self, machine: Machine) -> None:
        if self._spare() < 1:
            return
        with self._trouble(machine, "full disk", slow=True):
            machine.platter.full = True
            await self._last_and_worse(machine)
            machine.platter.full = False

    # Links

    async def _cut(self, machine: Machine) -> None:
        """From all others: both ways, or one."""
        others = [one for one in self.cluster.machines.values() if one is not machine]
        await self._cut_from(machine, others, "cut")

    async def _cut_some(self, machine: Machine) -> None:
        others = [one for one in self.cluster.stores() if one is not machine]
        some = self.chance.sample(others, self.chance.randint(1, len(others)))
        await self._cut_from(machine, some, "cut from some")

    async def _cut_from(self, machine: Machine, others: list[Machine], what: str) -> None:
        if self._spare() < 1:
            return
        way = self.chance.choice(("both", "in", "out"))
        pairs = [(machine.host, one.host) for one in others] if way != "in" else []
        pairs += [(one.host, machine.host) for one in others] if way != "out" else []
        names = ",".join(one.node for one in others)
        with self._trouble(machine, f"{what} ({way}: {names})"):
            for pair in pairs:
                self.cluster.network.cut(*pair)
            await self._last_and_worse(machine)
            for pair in pairs:
                self.cluster.network.heal(*pair)

    async def _reset(self, machine: Machine) -> None:
        """No loss of a machine."""
        self._judges.tell("fault", what="reset", machine=machine.node)
        self._mark(None)
        others = [one.host for one in self.cluster.machines.values() if one is not machine]
        for other in self.chance.sample(others, self.chance.randint(1, len(others))):
            self.cluster.network.reset(machine.host, other)

    async def _edge(self, machine: Machine) -> None:
        """An edge ends, freezes or is cut off: no machine that counts."""
        edges = [one for one in self.cluster.machines.values() if one.role == "edge" and one.running]
        if not edges:
            return
        edge = self.chance.choice(edges)
        self._judges.tell("fault", what="edge", machine=edge.node)
        if self.chance.random() < 0.5:
            self.cluster.kill(edge)
            await self._sleep(300.0, 2000.0)
            self.cluster.start(edge)
            return
        process = self.cluster.freeze(edge)
        await self._last()
        self.cluster.thaw(process)

    # The platform, and who has the duty

    async def _platform(self, machine: Machine) -> None:
        """Slow, busy, silent, or its answers are lost."""
        place = self.cluster.platform
        if place.mood != "up":
            return
        place.mood = self.chance.choice(("slow", "busy", "silent", "lossy"))
        self._judges.tell("fault", what=f"platform {place.mood}")
        await self._last()
        place.mood = "up"

    async def _platform_cut(self, machine: Machine) -> None:
        """One machine is cut off from it, both ways or one; no loss of a machine."""
        machine = self._holder() or machine
        pairs = [(machine.host, platform.HOST), (platform.HOST, machine.host)]
        pairs = self.chance.choice((pairs, pairs[:1], pairs[1:]))
        self._judges.tell("fault", what="platform cut", machine=machine.node, pairs=pairs)
        for pair in pairs:
            self.cluster.network.cut(*pair)
        await self._sleep(*FAULTS_SHORT_MS)
        for pair in pairs:
            self.cluster.network.heal(*pair)

    def _holder(self) -> Machine | None:
        """Who has the duty, as the leader knows it."""
        leader = self.cluster.leader()
        if leader is None:
            return None
        holder = self.cluster.machines.get(leader.program.control.duty_state.holder)
        return holder if holder in self.cluster.running_stores() else None

    async def _kill_holder(self, machine: Machine) -> None:
        """And those who follow it, as far as their loss is borne; with the leader at times."""
        for _ in range(self.chance.choice((1, 1, 2, 3))):
            holder = self._holder()
            if holder is not None and holder not in self.lost():
                await self._kill(holder)

    async def _freeze_holder(self, machine: Machine) -> None:
        """Past its lease, and woken again."""
        holder = self._holder()
        if holder is None or holder in self.lost() or self._spare() < 1:
            return
        with self._trouble(holder, "freeze holder"):
            process = self.cluster.freeze(holder)
            await self._sleep(500.0, 9000.0)
            self.cluster.thaw(process)

    # All at once

    async def _power_all(self, machine: Machine) -> None:
        await self._all("power of all", self.cluster.power_off, self._return)

    async def _kill_all(self, machine: Machine) -> None:
        await self._all("kill all", self.cluster.kill, self.cluster.start)

    async def _all(self, what: str, end: Callable[[Machine], None], begin: Callable[[Machine], Any]) -> None:
        if self.lost() or self._retiring is not None:
            return
        self._judges.tell("fault", what=what)
        stores = self.cluster.stores()
        wiped = self.chance.sample(stores, self.chance.randint(0, 0 if self.exceed else self.cluster.losses))
        for one in stores:
            one.troubles += 1
            self._mark(one)
            end(one)
        if end == self.cluster.power_off and self.chance.random() < 0.5:
            for one in wiped:
                self._judges.tell("fault", what="wiped", machine=one.node)
                self.cluster.wipe(one)
        await self._sleep(300.0, 4000.0)
        self.chance.shuffle(stores)
        for one in stores:
            begin(one)
            one.troubles -= 1
            self._mark(one)
            await self._sleep(0.0, 800.0)

    # Machines that come and go for good

    def _come(self, zone: str) -> Machine:
        machine = self.cluster.add("store", zone)
        machine.seeds = [seed for seed in self.cluster.seeds() if seed != machine.control]
        self.cluster.start(machine)
        self._mark(machine)
        self._judges.tell("machine_came", machine=machine.node, host=machine.host)
        return machine

    async def _replace(self, machine: Machine) -> None:
        """Gone with its disk; another comes at another address."""
        if self._spare() < 1 or machine is self._retiring:
            return
        with self._trouble(machine, "replaced"):
            self.cluster.power_off(machine)
            self.cluster.wipe(machine)
            await self._last()
            machine.gone = True
            successor = self._come(machine.zone)
        successor.trouble_at = self.cluster.now()

    async def _retire(self, machine: Machine) -> None:
        """Planned: emptied, then taken away; sometimes another comes first."""
        stores = self.cluster.stores()
        if self._retiring is not None or self.lost():
            return
        self._retiring = machine
        try:
            if len(stores) < MOST_STORES and (
                len(stores) <= 2 * self.cluster.losses + 1 or self.chance.random() < 0.5
            ):
                self._come(machine.zone)
                await self._sleep(500.0, 6000.0)
            if machine.gone:
                return
            self._judges.tell("retire", machine=machine.node, host=machine.host)
            retirer = Retirer(self.cluster, self.chance)
            came_to = await retirer.retire(machine.node)
            self._judges.tell("retired", machine=machine.node, came_to=came_to)
            self._judges.count(f"retire {came_to}")
            if came_to == "complete":
                self.cluster.power_off(machine)
                machine.gone = True
                self._mark(None)
        finally:
            self._retiring = None

    async def _seeds(self, machine: Machine) -> None:
        for one in self.cluster.machines.values():
            if not one.gone:
                self.cluster.reseed(one)

    # The end

    def heal(self) -> None:
        """Whatever was under way is over: all that is not gone runs."""
        if self.cluster.platform is not None:
            self.cluster.platform.mood = "up"
        self.cluster.network.heal_all()
        for machine in self.cluster.machines.values():
            if machine.gone:
                continue
            machine.platter.slowness, machine.platter.stalled, machine.platter.full = 1.0, False, False
            if machine.process is not None:
                self.cluster.thaw(machine.process)
            self.cluster.power_on(machine)
            self.cluster.start(machine)
        self._slowed = 0
        self._mark(None)
