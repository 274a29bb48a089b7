"""Workers that drain and leave: what was acknowledged to them holds, whoever leads next."""

import asyncio

from sableford.control.coordinator import Coordinator
from sableford.control.effects import SendUpdate
from sableford.control.member_client import MemberClient
from sableford.control.protocol import JoinRequest, RenewRequest, Update
from sableford.control.service import ControlService
from sableford.control.view import View
from sableford.control.workers import DRAINING, READY, Departure, Worker, WorkerTable
from sableford.transport.link import IncomingMessage
from tests.control_member import Scene
from tests.control_service import Peer, call, core, joins, run_core, wins_again

BEAT = {
    "backend": "b",
    "address": "10.0.0.9:80",
    "zone": "z",
    "capacity": 2,
    "coldLeftMs": 0,
    "revision": "v",
}


def line(count: int, phase: str = READY, id: str = "w") -> Worker:
    return Worker(id, "b", f"{id}:80", "z", 2, phase, 0.0, "v", count)


async def beats(control, clock, phase: str, count: int) -> int:
    said = BEAT | {"phase": phase, "callCount": count}
    return (await call(control, clock, "POST", "/v1/instances/w/heartbeat", said)).status


async def leaves(control, clock) -> int:
    return (await call(control, clock, "POST", "/v1/instances/w/leave")).status


def renews(control: ControlService, peer: Peer, applied: int) -> None:
    """The store renews its lease, and says up to which update it has applied what it was sent."""
    request = RenewRequest(
        incarnation=peer.incarnation,
        role="store",
        zone="z",
        node=peer.peer,
        update_number=applied,
        term=control.coordinator.term,
    )
    control.sessions.handle_renewal(IncomingMessage(peer, request, call_number=1))


def applies(control: ControlService, peer: Peer) -> None:
    renews(control, peer, control.coordinator.update_number)


def shows_draining_sent_again_is_acknowledged_only_once_all_stores_know() -> None:
    async def scene(last_call) -> None:
        control, clock = core()
        assert await run_core(control, clock, lambda: control.leads)
        quick, silent = (joins(control, name) for name in ("s00", "s01"))
        assert await run_core(control, clock, lambda: len(control.roster.stores) == 2)
        assert await beats(control, clock, READY, 1) == 200
        for why in ("", "its first sending is still on its way"):
            applies(control, quick)
            renews(control, silent, -1)
            assert await last_call(control, clock) == 503, why
        for peer in (quick, silent):
            applies(control, peer)
        assert await last_call(control, clock) == 200
        assert await last_call(control, clock) == 200

    asyncio.run(scene(lambda control, clock: beats(control, clock, DRAINING, 2)))
    asyncio.run(scene(leaves))


def shows_a_leader_that_has_just_won_waits_for_stores_that_may_hold_an_old_lease() -> None:
    async def scene() -> None:
        control, clock = core()
        assert await run_core(control, clock, lambda: control.leads)
        joins(control, "s00"), joins(control, "s01")
        assert await run_core(control, clock, lambda: len(control.roster.stores) == 2)
        assert await wins_again(control, clock)
        joins(control, "s00", prompt=True)
        assert await beats(control, clock, DRAINING, 1) == 503, "s01 may still act under its old lease"
        joins(control, "s01", prompt=True)
        assert await beats(control, clock, DRAINING, 1) == 200

    asyncio.run(scene())


def shows_a_leader_that_was_cut_off_learns_who_drains_and_who_left() -> None:
    coordinator = Coordinator(1200.0)
    coordinator.observe(coordinator.view, [line(3), line(7, id="v"), line(1, id="u")], 0.0)
    coordinator.become_leader(0.0, 5)
    place = {"role": "store", "zone": "z", "node": "n", "incarnation": "1", "view": View()}
    coordinator.joined(0.0, "s1", JoinRequest(**place))
    told = coordinator.joined(0.0, "s2", JoinRequest(**place, departed={"w": 1, "v": 2, "x": 2}))
    updates = [effect.update for effect in told if isinstance(effect, SendUpdate)]
    assert [update.worker.phase for update in updates if update.worker is not None] == [DRAINING]
    assert [update.removed_worker for update in updates if update.removed_worker is not None] == ["v"]
    known = {worker.id: worker.phase for worker in updates[-1].workers}
    assert known == {"w": DRAINING, "u": READY} and updates[-1].snapshot
    # Late calls, or a worker that changes its mind, turn nothing back.
    for late in (line(4), line(9), line(9, id="v"), line(1, id="x")):
        coordinator.worker_heartbeat(1.0, late)
    assert {worker.id: worker.phase for worker in coordinator.workers.values()} == known


def shows_a_store_does_not_unlearn_that_a_worker_drains_or_left() -> None:
    async def scene() -> None:
        scene = Scene()
        member: MemberClient = scene.member
        await scene.join(term=3)
        workers = [line(3), line(7, id="v"), line(1, id="u")]

        def hears(**update: object) -> None:
            member.apply_update(scene.link, Update(**update))

        hears(term=3, number=1, snapshot=True, workers=workers)
        hears(term=3, number=2, previous=1, worker=line(5, DRAINING))
        hears(term=3, number=3, previous=2, removed_worker="v", worker_left=True)
        hears(term=3, number=4, previous=3, removed_worker="u")
        await scene.join(term=4)
        assert scene.link.asked[0].departed == {"w": Departure.DRAINING, "v": Departure.LEFT}
        hears(term=4, number=0, snapshot=True, workers=workers)  # of a leader that was cut off
        phases = {id: worker.phase for id, worker in member.workers.items()}
        assert phases == {"w": DRAINING, "u": READY}, phases

    asyncio.run(scene())


def shows_a_departure_is_told_to_the_next_leader_and_forgotten_after_a_minute() -> None:
    table = WorkerTable()
    table.put(0.0, line(1, DRAINING))
    table.remove(0.0, "w", left=False)
    assert table.put(1.0, line(0)).phase == DRAINING, "silent meanwhile, it drains still"
    table.remove(2.0, "w", left=True)
    assert table.departures(3.0) == {"w": Departure.LEFT} and table.put(3.0, line(9)) is None
    assert table.departures(70_000.0) == {}
