"""A store whose disk is full."""

import asyncio
import tempfile
from pathlib import Path

from msgspec.structs import replace

from sableford.common.disk import Disk, DiskFullError
from sableford.control.view import SHARDS, StoreInfo, View
from sableford.simulation.stores import DOC, Simulation
from sableford.store.messages import CopyFinalStates, ListFinalStates
from sableford.store.protocol import FinalState, PullResponse
from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerSelector
from sableford.transport.routes import RoutingTable


def shards_of_a_full_store(ignored: bool = False) -> list[int]:
    """Returns how many shards a store owns before its disk is full, while it is, and one second after."""
    walk = Simulation(5, 0, stores=4)
    if ignored:
        renewed = walk.coordinator.renewed
        walk.coordinator.renewed = lambda now, name, request: renewed(now, name, replace(request, full=False))
    store, owned = walk.stores["s1"], []

    def fills() -> None:
        store.full_until = 7000.0

    for at in (3900.0, 5000.0, 8500.0):
        walk.later(at, lambda: owned.append(len(store.queue.state.owned)))
    walk.later(4000.0, fills)
    walk.play()
    return owned


def shows_a_store_whose_disk_is_full_hands_its_shards_over_until_there_is_room() -> None:
    assert shards_of_a_full_store() == [SHARDS // 4, 0, SHARDS // 4]
    assert shards_of_a_full_store(ignored=True)[1] == SHARDS // 4


def shows_a_disk_that_was_full_takes_more_once_its_messages_have_ended() -> None:
    """The file never shrinks, so the limit applies to the data in it."""

    async def fill(place: str) -> list[bool]:
        disk = Disk(Path(place), 16)
        disk.open()

        async def add(many: range) -> list[BaseException | None]:
            puts = [disk.write([(b"m%06d" % at, bytes(3500))], adds_data=True) for at in many]
            return [one if isinstance(one, BaseException) else None for one in await gather(puts)]

        refused = [problem for problem in await add(range(6000)) if problem is not None]
        assert refused and all(isinstance(problem, DiskFullError) for problem in refused) and disk.full
        await disk.write([(b"e1", b"end")])  # final states are still accepted
        await disk.write([(b"m%06d" % at, None) for at in range(2000)])
        after = await add(range(6000, 6100))
        disk.close()
        return [problem is None for problem in after] + [not disk.full]

    async def gather(puts: list) -> list:
        return await asyncio.gather(*puts, return_exceptions=True)

    with tempfile.TemporaryDirectory() as place:
        assert all(asyncio.run(fill(place)))


def shows_final_states_that_a_full_store_refused_are_offered_again_a_second_later() -> None:
    queue = Queue("s0", "b0", 1, RoutingTable(1, DOC), WorkerSelector("z0", "s0"), 600.0, True)
    queue.state.lease = 1e9
    live_stores = {"s0": StoreInfo("b0", "z0"), "s1": StoreInfo("b1", "z1")}
    owners, incarnations, epochs = ["s0"] * SHARDS, ["b0"] * SHARDS, [(1, 1)] * SHARDS
    queue.state.final_states["00-a"] = FinalState("complete", "seal", "", 0.0)
    pulls = queue.apply_view(0.0, View((1, 1), owners, incarnations, epochs, live_stores))
    effects = queue.pull_answered(0.0, "s1", pulls[0].round, PullResponse(True, [], [], {}))
    listings = [one for one in effects + queue.tick(50.0, 0.0) if isinstance(one, ListFinalStates)]
    assert not queue.is_safe()
    queue.final_states_listed(60.0, "s1", listings[0].round, [], True)
    offered = []
    for now in range(100, 1600, 15):
        effects = queue.tick(float(now), 0.0) + queue.repair(float(now))
        for one in effects:
            if isinstance(one, CopyFinalStates):
                offered.append(now)
                queue.final_states_copied(float(now), "s1", one.refs, len(offered) > 1)
    assert len(offered) == 2 and offered[1] - offered[0] >= 1000, offered
    assert queue.is_safe()
