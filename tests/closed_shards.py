"""Shards that no store can open: puts to them wait no longer than is useful."""

import asyncio

from msgspec.structs import replace

from sableford.control.timing import LEASE_MS
from sableford.control.view import SHARDS, StoreInfo, View
from sableford.edge.gateway import RETRY_MS
from sableford.edge.shard_availability import FORGET_MS, SKIP_MS, TAKEOVER_MS, ShardAvailability
from sableford.simulation.stores import DOC
from sableford.store.acceptance import MAX_PARKED_MS, REFUSED_OPENING
from sableford.store.messages import RespondToPut
from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerSelector
from sableford.transport.routes import RoutingTable
from tests.edge_gateway import ScriptedStore, make_edge, send
from tests.memory_network import simulated
from tests.store_fences import PUT

LONG_MS = LEASE_MS + TAKEOVER_MS


def queue_in_partition() -> Queue:
    """s0 owns all shards; two of the four stores of the roster are on the other side of a partition."""
    queue = Queue("s0", "b0", 1, RoutingTable(1, DOC), WorkerSelector("z0", "s0"), 600.0, True)
    queue.state.lease = 1e9
    live_stores = {name: StoreInfo(f"b{name[1]}", f"z{name}") for name in ("s0", "s1")}
    roster = [f"s{at}" for at in range(4)]
    view = View((1, 1), ["s0"] * SHARDS, ["b0"] * SHARDS, [(1, 1)] * SHARDS, live_stores, roster)
    queue.apply_view(0.0, view)
    assert queue.state.is_being_taken_over(0)
    return queue


def responses(effects: list) -> list[RespondToPut]:
    return [effect for effect in effects if isinstance(effect, RespondToPut)]


def shows_a_put_without_a_key_does_not_wait_for_a_takeover() -> None:
    assert responses(queue_in_partition().put(0.0, PUT, b"x", "edge")) == [
        RespondToPut("edge", REFUSED_OPENING)
    ]


def shows_a_put_with_a_key_is_definitely_refused_if_its_shard_does_not_open() -> None:
    """The same holds for a retry of a put that may have been stored, which can go to no other shard."""
    for put in (replace(PUT, key="k"), replace(PUT, is_retry=True)):
        queue = queue_in_partition()
        assert not responses(queue.put(100.0, put, b"x", "edge"))
        assert not responses(queue.tick(MAX_PARKED_MS, 0.0))
        assert responses(queue.tick(MAX_PARKED_MS + 1.0, 0.0)) == [RespondToPut("edge", REFUSED_OPENING)]
        assert not responses(queue.tick(MAX_PARKED_MS + 2.0, 0.0))
        # From then on the shard waits for missing stores, and puts are refused at once.
        assert responses(queue.put(MAX_PARKED_MS + 3.0, put, b"x", "edge")) == [
            RespondToPut("edge", REFUSED_OPENING)
        ]
        assert not queue.state.messages


def two_owners() -> View:
    """s0 owns the even shards, s1 the odd ones; the last ten moved to s1 later, in one view."""
    owners = ["s0" if shard % 2 == 0 and shard < SHARDS - 10 else "s1" for shard in range(SHARDS)]
    epochs = [(1, 1)] * (SHARDS - 10) + [(1, 2)] * 10
    return View((1, 2), owners, [""] * SHARDS, epochs, {name: StoreInfo("b", "z") for name in ("s0", "s1")})


def availability() -> ShardAvailability:
    shards = ShardAvailability()
    shards.view_changed(two_owners())
    return shards


def shows_a_shard_is_closed_for_long_only_past_a_lease_and_a_takeover() -> None:
    for record in (ShardAvailability.refused, ShardAvailability.unreachable):
        shards = availability()
        for now in range(0, int(LONG_MS) + 1, 100):
            assert not shards.is_closed_for_long(float(now), 7)
            record(shards, float(now), 7)
        later = LONG_MS + 1.0
        assert [shards.is_closed_for_long(later, at) for at in (7, 9, 8, 59)] == [True, True, False, False]
        shards.accepted(9)
        record(shards, LONG_MS + 200.0, 7)
        assert not shards.is_closed_for_long(LONG_MS + 201.0, 7)


def shows_an_owner_that_refused_is_asked_again_after_a_while() -> None:
    shards = availability()
    shards.unreachable(0.0, 7)
    assert not shards.is_skipped(0.0, 7)
    shards.refused(0.0, 7)
    assert shards.is_skipped(SKIP_MS - 1.0, 7) and not shards.is_skipped(SKIP_MS, 7)


def shows_observations_of_a_shard_expire() -> None:
    came_back = {"s0": StoreInfo("b", "z"), "s1": StoreInfo("c", "z")}
    for forget in (
        lambda shards: shards.view_changed(replace(two_owners(), live_stores=came_back)),
        lambda shards: shards.view_changed(replace(two_owners(), epochs=[(1, 3)] * SHARDS)),
        lambda shards: shards.refused(LONG_MS + FORGET_MS + 2.0, 7),
    ):
        shards = availability()
        for now in (0.0, LONG_MS):
            shards.refused(now, 7)
        assert shards.is_closed_for_long(LONG_MS + 1.0, 7)
        forget(shards)
        assert not shards.is_closed_for_long(LONG_MS + FORGET_MS + 3.0, 7)


def shows_an_edge_sends_a_put_without_a_key_to_an_open_shard_at_once() -> None:
    """All shards of s0 are being taken over; s1 serves its own."""

    async def scene() -> tuple[int, float]:
        stores = {"s0": ScriptedStore(*[{"no": "opening"}] * 99), "s1": ScriptedStore(*[{"kept": True}] * 99)}
        edge, loop = make_edge(stores), asyncio.get_running_loop()
        started_at = loop.time()
        for number in range(20):
            fields = (b"attempt-id", b"%d" % number), (b"deadline-ms", b"4000")
            assert (await send(edge, "/b/1", *fields)).status == 202
        return len(stores["s0"].puts), loop.time() - started_at

    puts, seconds = simulated(lambda loop: scene())
    assert puts <= 30 and seconds < RETRY_MS / 1000.0, (puts, seconds)


def shows_an_edge_refuses_at_once_a_put_whose_shard_stays_closed() -> None:
    async def scene() -> list[float]:
        stores = {"s0": ScriptedStore(*[{"no": "opening"}] * 999)}
        edge, loop, waits = make_edge(stores), asyncio.get_running_loop(), []
        for number in range(8):
            started_at = loop.time()
            fields = (b"attempt-id", b"%d" % number), (b"order-key", b"k"), (b"deadline-ms", b"1500")
            answer = await send(edge, "/a/1", *fields)
            assert answer.status == 503 and "Retry-After" in dict(answer.headers)
            waits.append((loop.time() - started_at) * 1000.0)
        return waits

    waits = simulated(lambda loop: scene())
    # Held while the shard may be changing its owner; after that the edge only probes the owner.
    assert min(waits[:2]) > 100.0 and max(waits[3:]) < 10.0, waits
