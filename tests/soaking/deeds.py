"""What is done to the system while it serves: series of signals, settings and workers, some overlapping."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from tests.soaking.fleet import Fleet, Node
from tests.soaking.plan import SERVICES, Series
from tests.soaking.workers import Crew

OVERLAP_S = (0.0, 1.2)  # between two deeds that do not wait for each other
FREEZE_S = (0.1, 3.5)
ADDRESS_REUSE_S = 2.0
PAUSE_S = (0.05, 0.6)
Deed = Callable[["Deeds", Series, Random], Awaitable[None]]


class Deeds:
    """`is_going` is false once no new deed is to begin."""

    def __init__(self, fleet: Fleet, crew: Crew) -> None:
        self.fleet, self.crew = fleet, crew
        self.is_going = True

    async def play(self, series: Series) -> None:
        random = series.random()
        await asyncio.sleep(series.begins_s)
        while self.is_going:
            await KINDS[series.kind](self, series, random)
            await asyncio.sleep(random.uniform(*PAUSE_S))

    async def between(self, series: Series, random: Random, node: Node, life: object) -> None:
        """Until the node is there again in a new life, or for a moment."""
        if series.overlaps:
            await asyncio.sleep(random.uniform(*OVERLAP_S))
            return
        while self.is_going and (node.life is life or not await node.is_ready()):
            await asyncio.sleep(0.05)

    async def roll(self, series: Series, random: Random, nodes: list[Node], signal: str) -> None:
        for node in random.sample(nodes, len(nodes)):
            if not self.is_going:
                return
            life = node.life
            node.send(signal)
            await self.between(series, random, node, life)


async def roll_edges(deeds: Deeds, series: Series, random: Random) -> None:
    await deeds.roll(series, random, deeds.fleet.edges, "TERM")


async def roll_stores(deeds: Deeds, series: Series, random: Random) -> None:
    await deeds.roll(series, random, deeds.fleet.stores, "TERM")


async def kill_edges(deeds: Deeds, series: Series, random: Random) -> None:
    await deeds.roll(series, random, deeds.fleet.edges, "KILL")


async def kill_stores(deeds: Deeds, series: Series, random: Random) -> None:
    await deeds.roll(series, random, deeds.fleet.stores, "KILL")


async def kill_all_stores(deeds: Deeds, series: Series, random: Random) -> None:
    """Every one at once; their disks stay."""
    lives = [node.life for node in deeds.fleet.stores]
    for node in deeds.fleet.stores:
        node.send("KILL")
    for node, life in zip(deeds.fleet.stores, lives, strict=True):
        await deeds.between(series, random, node, life)


async def freeze(deeds: Deeds, series: Series, random: Random) -> None:
    node = random.choice(deeds.fleet.nodes)
    node.send("STOP")
    await asyncio.sleep(random.uniform(*FREEZE_S))
    node.send("CONT")


async def change_settings(deeds: Deeds, series: Series, random: Random) -> None:
    """With a signal and without; some half written for a moment, though not while a process starts: one that
    finds no sound file then ends with 2, as it says it does."""
    node = random.choice(deeds.fleet.nodes)
    deeds.fleet.record.event(f"{node.name}: settings")
    if random.random() < 0.3 and await node.is_ready():
        node.spoil_settings()
        if random.random() < 0.5:
            hang_up(node)
        await asyncio.sleep(random.uniform(*PAUSE_S))
    node.write_settings()
    if random.random() < 0.6:
        hang_up(node)


def hang_up(node: Node) -> None:
    """A process that is only just starting is told nothing: it reads the file anyway."""
    if node.hears("HUP"):
        node.send("HUP")


async def repeat_signals(deeds: Deeds, series: Series, random: Random) -> None:
    """Several to one process, one right after the other, and SIGHUP also while it ends."""
    node = random.choice(deeds.fleet.nodes)
    life = node.life
    for name in random.choice(
        (["HUP"] * 4, ["TERM", "TERM"], ["HUP", "TERM", "HUP"], ["TERM", "HUP", "HUP"])
    ):
        if name == "HUP":
            hang_up(node)
        elif node.life is life:
            node.send(name)
        await asyncio.sleep(random.choice((0.0, 0.01, 0.2)))
    if life is not node.life or (life is not None and life.got("TERM")):
        await deeds.between(series, random, node, life)


async def mix_signals(deeds: Deeds, series: Series, random: Random) -> None:
    """An end that is frozen, a freeze that is ended, a kill in the middle of an end."""
    node = random.choice(deeds.fleet.nodes)
    life = node.life
    ways = (["STOP", "TERM", "CONT"], ["TERM", "STOP", "CONT"], ["TERM", "KILL"], ["STOP", "KILL"])
    for name in random.choice(ways):
        if node.life is life:
            node.send(name)
        await asyncio.sleep(random.uniform(*OVERLAP_S))
    await deeds.between(series, random, node, life)


async def release(deeds: Deeds, series: Series, random: Random) -> None:
    """A worker is replaced by another; with overlap several at once."""
    for stand in random.sample(deeds.crew.up, 2 if series.overlaps else 1):
        work = deeds.crew.replace(stand)
        if series.overlaps:
            deeds.fleet.spawn(work)
        else:
            await work
    await asyncio.sleep(deeds.crew.drain_s if series.overlaps else 0.0)


async def crash_workers(deeds: Deeds, series: Series, random: Random) -> None:
    stand = random.choice(deeds.crew.up)
    others = [one for one in deeds.crew.up if one.service == stand.service and one is not stand]
    service = random.choice(SERVICES) if others else stand.service
    pause = ADDRESS_REUSE_S + random.uniform(*PAUSE_S)
    work = deeds.crew.crash(stand, service, pause)
    if series.overlaps and others:
        deeds.fleet.spawn(work)
    else:
        await work


KINDS: dict[str, Deed] = {
    "roll edges": roll_edges,
    "roll stores": roll_stores,
    "settings": change_settings,
    "release": release,
    "repeated signals": repeat_signals,
    "kill edges": kill_edges,
    "kill stores": kill_stores,
    "kill all stores": kill_all_stores,
    "freeze": freeze,
    "crash workers": crash_workers,
    "mixed signals": mix_signals,
}
