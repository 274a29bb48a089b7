"""Workers that drain and leave: an acknowledged departure holds under every later leader."""

import asyncio

from sableford.control.coordinator import Coordinator
from sableford.control.effects import SendUpdate
from sableford.control.member_client import MemberClient
from sableford.control.protocol import JoinRequest, RenewRequest, Update
from sableford.control.service import ControlService
from sableford.control.view import View
from sableford.control.workers import DRAINING, READY, Departure, Worker, WorkerTable
from sableford.transport.link import IncomingMessage
from tests.control_member import MemberScene
from tests.control_service import Peer, call, join_member, reelect, run_until, start_control

HEARTBEAT = {
    "backend": "b",
    "address": "10.0.0.9:80",
    "zone": "z",
    "capacity": 2,
    "coldLeftMs": 0,
    "revision": "v",
}


def entry(count: int, phase: str = READY, id: str = "w") -> Worker:
    return Worker(id, "b", f"{id}:80", "z", 2, phase, 0.0, "v", count)


async def send_heartbeat(control, clock, phase: str, count: int) -> int:
    body = HEARTBEAT | {"phase": phase, "callCount": count}
    return (await call(control, clock, "POST", "/v1/instances/w/heartbeat", body)).status


async def send_leave(control, clock) -> int:
    return (await call(control, clock, "POST", "/v1/instances/w/leave")).status


def renew(control: ControlService, peer: Peer, applied: int) -> None:
    """The store renews its lease, and acknowledges updates up to `applied`."""
    request = RenewRequest(
        incarnation=peer.incarnation,
        role="store",
        zone="z",
        node=peer.peer,
        update_number=applied,
        term=control.coordinator.term,
    )
    control.sessions.handle_renewal(IncomingMessage(peer, request, call_number=1))


def apply_all(control: ControlService, peer: Peer) -> None:
    renew(control, peer, control.coordinator.update_number)


def shows_draining_sent_again_is_acknowledged_only_once_all_stores_know() -> None:
    async def scene(last_call) -> None:
        control, clock = start_control()
        assert await run_until(control, clock, lambda: control.leads)
        quick, silent = (join_member(control, name) for name in ("s00", "s01"))
        assert await run_until(control, clock, lambda: len(control.roster.stores) == 2)
        assert await send_heartbeat(control, clock, READY, 1) == 200
        for why in ("", "the update of the first call is still on its way"):
            apply_all(control, quick)
            renew(control, silent, -1)
            assert await last_call(control, clock) == 503, why
        for peer in (quick, silent):
            apply_all(control, peer)
        assert await last_call(control, clock) == 200
        assert await last_call(control, clock) == 200

    asyncio.run(scene(lambda control, clock: send_heartbeat(control, clock, DRAINING, 2)))
    asyncio.run(scene(send_leave))


def shows_a_leader_that_has_just_won_waits_for_stores_that_may_hold_an_old_lease() -> None:
    async def scene() -> None:
        control, clock = start_control()
        assert await run_until(control, clock, lambda: control.leads)
        join_member(control, "s00"), join_member(control, "s01")
        assert await run_until(control, clock, lambda: len(control.roster.stores) == 2)
        assert await reelect(control, clock)
        join_member(control, "s00", prompt=True)
        assert (
            await send_heartbeat(control, clock, DRAINING, 1) == 503
        ), "s01 may still act under its old lease"
        join_member(control, "s01", prompt=True)
        assert await send_heartbeat(control, clock, DRAINING, 1) == 200

    asyncio.run(scene())


def shows_a_leader_that_was_cut_off_learns_who_drains_and_who_left() -> None:
    coordinator = Coordinator(1200.0)
    coordinator.observe(coordinator.view, [entry(3), entry(7, id="v"), entry(1, id="u")], 0.0)
    coordinator.become_leader(0.0, 5)
    status = {"role": "store", "zone": "z", "node": "n", "incarnation": "1", "view": View()}
    coordinator.joined(0.0, "s1", JoinRequest(**status))
    effects = coordinator.joined(0.0, "s2", JoinRequest(**status, departed={"w": 1, "v": 2, "x": 2}))
    updates = [effect.update for effect in effects if isinstance(effect, SendUpdate)]
    assert [update.worker.phase for update in updates if update.worker is not None] == [DRAINING]
    assert [update.removed_worker for update in updates if update.removed_worker is not None] == ["v"]
    known = {worker.id: worker.phase for worker in updates[-1].workers}
    assert known == {"w": DRAINING, "u": READY} and updates[-1].snapshot
    # Delayed calls, or a worker that reports an earlier phase, revert nothing.
    for late in (entry(4), entry(9), entry(9, id="v"), entry(1, id="x")):
        coordinator.worker_heartbeat(1.0, late)
    assert {worker.id: worker.phase for worker in coordinator.workers.values()} == known


def shows_a_store_does_not_forget_that_a_worker_drains_or_left() -> None:
    async def scene() -> None:
        scene = MemberScene()
        member: MemberClient = scene.member
        await scene.join(term=3)
        workers = [entry(3), entry(7, id="v"), entry(1, id="u")]

        def receive(**update: object) -> None:
            member.apply_update(scene.link, Update(**update))

        receive(term=3, number=1, snapshot=True, workers=workers)
        receive(term=3, number=2, previous=1, worker=entry(5, DRAINING))
        receive(term=3, number=3, previous=2, removed_worker="v", worker_left=True)
        receive(term=3, number=4, previous=3, removed_worker="u")
        await scene.join(term=4)
        assert scene.link.requests[0].departed == {"w": Departure.DRAINING, "v": Departure.LEFT}
        receive(term=4, number=0, snapshot=True, workers=workers)  # from a leader that was partitioned
        phases = {id: worker.phase for id, worker in member.workers.items()}
        assert phases == {"w": DRAINING, "u": READY}, phases

    asyncio.run(scene())


def shows_a_departure_is_reported_to_the_next_leader_and_forgotten_after_a_minute() -> None:
    table = WorkerTable()
    table.put(0.0, entry(1, DRAINING))
    table.remove(0.0, "w", left=False)
    assert table.put(1.0, entry(0)).phase == DRAINING, "still draining after it was silent"
    table.remove(2.0, "w", left=True)
    assert table.departures(3.0) == {"w": Departure.LEFT} and table.put(3.0, entry(9)) is None
    assert table.departures(70_000.0) == {}
