"""Actions on the running system: series of signals, settings changes and worker replacements."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from tests.soaking.fleet import Fleet, Node
from tests.soaking.plan import SERVICES, Series
from tests.soaking.workers import WorkerPool

OVERLAP_PAUSE_S = (0.0, 1.2)  # between two actions that do not wait for each other
FREEZE_DURATION_S = (0.1, 3.5)
ADDRESS_REUSE_S = 2.0
PAUSE_S = (0.05, 0.6)
Action = Callable[["Actions", Series, Random], Awaitable[None]]


class Actions:
    """Runs series of actions. Once `is_running` is false, no new action starts."""

    def __init__(self, fleet: Fleet, worker_pool: WorkerPool) -> None:
        self.fleet, self.worker_pool = fleet, worker_pool
        self.is_running = True

    async def run_series(self, series: Series) -> None:
        random = series.random()
        await asyncio.sleep(series.starts_after_s)
        while self.is_running:
            await ACTIONS[series.kind](self, series, random)
            await asyncio.sleep(random.uniform(*PAUSE_S))

    async def wait_for_restart(self, series: Series, random: Random, node: Node, incarnation: object) -> None:
        """Waits until the node is ready after its restart; in an overlapping series only for a moment."""
        if series.overlaps:
            await asyncio.sleep(random.uniform(*OVERLAP_PAUSE_S))
            return
        while self.is_running and (node.incarnation is incarnation or not await node.is_ready()):
            await asyncio.sleep(0.05)

    async def signal_each(self, series: Series, random: Random, nodes: list[Node], signal: str) -> None:
        for node in random.sample(nodes, len(nodes)):
            if not self.is_running:
                return
            incarnation = node.incarnation
            node.send(signal)
            await self.wait_for_restart(series, random, node, incarnation)


async def roll_edges(actions: Actions, series: Series, random: Random) -> None:
    await actions.signal_each(series, random, actions.fleet.edges, "TERM")


async def roll_stores(actions: Actions, series: Series, random: Random) -> None:
    await actions.signal_each(series, random, actions.fleet.stores, "TERM")


async def kill_edges(actions: Actions, series: Series, random: Random) -> None:
    await actions.signal_each(series, random, actions.fleet.edges, "KILL")


async def kill_stores(actions: Actions, series: Series, random: Random) -> None:
    await actions.signal_each(series, random, actions.fleet.stores, "KILL")


async def kill_all_stores(actions: Actions, series: Series, random: Random) -> None:
    """Kills all stores at the same time; their disks survive."""
    incarnations = [node.incarnation for node in actions.fleet.stores]
    for node in actions.fleet.stores:
        node.send("KILL")
    for node, incarnation in zip(actions.fleet.stores, incarnations, strict=True):
        await actions.wait_for_restart(series, random, node, incarnation)


async def freeze(actions: Actions, series: Series, random: Random) -> None:
    node = random.choice(actions.fleet.nodes)
    node.send("STOP")
    await asyncio.sleep(random.uniform(*FREEZE_DURATION_S))
    node.send("CONT")


async def change_settings(actions: Actions, series: Series, random: Random) -> None:
    """Rewrites a settings file, with or without SIGHUP, sometimes leaving it truncated for a moment, but not
    while a process starts: a process that finds an invalid file at its start exits with code 2 by design."""
    node = random.choice(actions.fleet.nodes)
    actions.fleet.history.add_event(f"{node.name}: settings")
    if random.random() < 0.3 and await node.is_ready():
        node.write_truncated_settings()
        if random.random() < 0.5:
            send_hup(node)
        await asyncio.sleep(random.uniform(*PAUSE_S))
    node.write_settings()
    if random.random() < 0.6:
        send_hup(node)


def send_hup(node: Node) -> None:
    """Sends SIGHUP, unless the process has no handler yet: SIGHUP would end it, and it is about to read
    the file anyway."""
    if node.handles_signal("HUP"):
        node.send("HUP")


async def repeat_signals(actions: Actions, series: Series, random: Random) -> None:
    """Sends several signals to one process in quick succession, including SIGHUP during its shutdown."""
    node = random.choice(actions.fleet.nodes)
    incarnation = node.incarnation
    for name in random.choice(
        (["HUP"] * 4, ["TERM", "TERM"], ["HUP", "TERM", "HUP"], ["TERM", "HUP", "HUP"])
    ):
        if name == "HUP":
            send_hup(node)
        elif node.incarnation is incarnation:
            node.send(name)
        await asyncio.sleep(random.choice((0.0, 0.01, 0.2)))
    if incarnation is not node.incarnation or (incarnation is not None and incarnation.received("TERM")):
        await actions.wait_for_restart(series, random, node, incarnation)


async def mix_signals(actions: Actions, series: Series, random: Random) -> None:
    """Stops a process during its shutdown, ends a stopped process, or kills one during its shutdown."""
    node = random.choice(actions.fleet.nodes)
    incarnation = node.incarnation
    sequences = (["STOP", "TERM", "CONT"], ["TERM", "STOP", "CONT"], ["TERM", "KILL"], ["STOP", "KILL"])
    for name in random.choice(sequences):
        if node.incarnation is incarnation:
            node.send(name)
        await asyncio.sleep(random.uniform(*OVERLAP_PAUSE_S))
    await actions.wait_for_restart(series, random, node, incarnation)


async def replace_workers(actions: Actions, series: Series, random: Random) -> None:
    """Replaces a worker by a new one; in an overlapping series several at once."""
    for worker in random.sample(actions.worker_pool.active, 2 if series.overlaps else 1):
        replacement = actions.worker_pool.replace(worker)
        if series.overlaps:
            actions.fleet.spawn(replacement)
        else:
            await replacement
    await asyncio.sleep(actions.worker_pool.drain_s if series.overlaps else 0.0)


async def crash_workers(actions: Actions, series: Series, random: Random) -> None:
    worker = random.choice(actions.worker_pool.active)
    others = [
        other
        for other in actions.worker_pool.active
        if other.service == worker.service and other is not worker
    ]
    service = random.choice(SERVICES) if others else worker.service
    pause = ADDRESS_REUSE_S + random.uniform(*PAUSE_S)
    replacement = actions.worker_pool.crash(worker, service, pause)
    if series.overlaps and others:
        actions.fleet.spawn(replacement)
    else:
        await replacement


ACTIONS: dict[str, Action] = {
    "roll edges": roll_edges,
    "roll stores": roll_stores,
    "settings": change_settings,
    "release": replace_workers,
    "repeated signals": repeat_signals,
    "kill edges": kill_edges,
    "kill stores": kill_stores,
    "kill all stores": kill_all_stores,
    "freeze": freeze,
    "crash workers": crash_workers,
    "mixed signals": mix_signals,
}
