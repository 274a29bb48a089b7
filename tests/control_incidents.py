"""Incidents of the control plane in virtual time: the real control service, replicated log, links and members
run on simulated machines. Each scene reproduces an incident that users had."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import AbstractContextManager
from random import Random
from unittest import mock

import orjson

from sableford.control.order_process import OrderProcess, ProposalOutcome, Respond
from sableford.control.orders import State
from sableford.control.service import ControlService
from sableford.control.timing import QUORUM_FRESH_MS
from sableford.simulation.control.checker import Order
from sableford.simulation.control.clients import canonical, document
from sableford.simulation.control.cluster import Machine, patched_environment
from sableford.simulation.control.simulation import ControlSimulation, SimulationConfig
from sableford.transport.http import HttpResponse

CUT_S = 20.0


class Incident(ControlSimulation):
    """Starts three stores and an edge, then runs a scene without other clients or faults."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, SimulationConfig(stores=3, losses=1, edges=1, operators=0, workers=0))
        self.revision, self._sent = 0, 0

    def run(self, scene: Callable[["Incident"], Coroutine]) -> None:
        try:
            with patched_environment(Random(f"entropy {self.seed}"), self.loop, self.checker):
                self._play_scene(scene)
        finally:
            self.loop.close()
        if self.checker.violation is not None:
            raise AssertionError(f"{self.checker.violation}")

    def _play_scene(self, scene: Callable[["Incident"], Coroutine]) -> None:
        asyncio._set_running_loop(self.loop)
        try:
            self._set_up()
        finally:
            asyncio._set_running_loop(None)
        self.cluster.request_loss = self.cluster.response_loss = 0.0
        self.checker.settled = lambda: False  # the scene itself checks time limits
        self._run_until(12.0, self._has_started)
        task = self._spawn(scene(self))
        self._run_until(120.0, task.done)
        assert self.checker.violation is not None or task.done(), "the scene did not end within 120 s"
        if task.done():
            task.result()

    async def call(
        self, at: Machine, method: str, target: str, body: bytes = b"", **headers: str
    ) -> HttpResponse:
        """Calls one machine. The status is 0 without a response within a second."""
        encoded = tuple((name.replace("_", "-").encode(), text.encode()) for name, text in headers.items())
        response = await self.cluster.call(at.control, method, target, body, encoded, lambda: None)
        return response if response is not None else HttpResponse(0)

    async def order(self, at: Machine, base: int, body: bytes) -> int:
        return (await self.call(at, "POST", "/v1/config/replace", body, base_version=str(base))).status

    def body(self) -> bytes:
        """Returns the body of an order for the next revision, which no other caller sends."""
        self._sent += 1
        tag, revision = f"order-{self._sent}", self.revision + 1
        body = canonical(document(revision, tag, self.rng))
        self.checker.order_sent(
            Order("", tag, "replace", self.revision, revision, body, body, self.cluster.now())
        )
        return body

    async def conclusive_answer(self, machines: list[Machine], base: int, body: bytes) -> int:
        """Sends an order to one machine after the other until it gets a conclusive answer."""
        for attempt in range(60):
            status = await self.order(machines[attempt % len(machines)], base, body)
            if status == 200 or 400 <= status < 500:
                return status
            await asyncio.sleep(0.1)
        raise AssertionError("no conclusive answer")

    async def change(self, machines: list[Machine]) -> None:
        """Brings the next revision in force."""
        body = self.body()
        assert await self.conclusive_answer(machines, self.revision, body) == 200
        self.revision += 1

    def others(self, machine: Machine) -> list[Machine]:
        return [one for one in self.cluster.machines.values() if one is not machine]

    def cut_off(self, machine: Machine) -> None:
        for other in self.others(machine):
            self.cluster.network.cut(machine.host, other.host)
            self.cluster.network.cut(other.host, machine.host)


class _CutOff:
    """Clients that reach only a machine that is cut off, while others reach the rest."""

    def __init__(self, incident: Incident, cut: Machine) -> None:
        self.incident, self.cut, self.cut_at = incident, cut, incident.cluster.now()
        self.answers: Counter[int] = Counter()

    def elapsed_ms(self) -> float:
        """Returns the ms since the cut."""
        return self.incident.cluster.now() - self.cut_at

    async def reads(self) -> None:
        while self.elapsed_ms() < CUT_S * 1000.0:
            known = self.incident.revision
            read = await self.incident.call(self.cut, "GET", "/v1/config/read")
            assert read.status in (0, 200, 307, 503), read
            if read.status == 200:
                assert (
                    orjson.loads(read.body)["revision"] >= known
                ), "the isolated machine returned an old revision"
            await asyncio.sleep(0.04)

    async def orders(self) -> None:
        while self.elapsed_ms() < (CUT_S - 5.0) * 1000.0:
            status = await self.incident.order(self.cut, self.incident.revision, self.incident.body())
            assert status in (0, 307, 503, 504), f"the isolated machine answered an order with {status}"
            self.answers[status] += 1
            await asyncio.sleep(0.2)

    async def heartbeats(self) -> None:
        while self.elapsed_ms() < CUT_S * 1000.0:
            sent_at = self.elapsed_ms()
            heartbeat = {"backend": "b", "address": "10.9.0.1:9000", "zone": "z", "capacity": 1}
            heartbeat |= {"phase": "ready", "callCount": int(sent_at)}
            body = orjson.dumps(heartbeat)
            response = await self.incident.call(self.cut, "POST", "/v1/instances/w/heartbeat", body)
            assert (
                response.status != 200 or sent_at < 1.5 * QUORUM_FRESH_MS
            ), "the isolated machine acknowledged a heartbeat"
            await asyncio.sleep(0.1)

    async def changes(self, rest: list[Machine]) -> None:
        while self.elapsed_ms() < CUT_S * 1000.0:
            await self.incident.change(rest)
            await asyncio.sleep(0.1)


async def _cut_off_for_twenty_seconds(incident: Incident) -> None:
    cluster, stores = incident.cluster, incident.cluster.stores()
    await incident.change(stores)
    cut = cluster.leader()
    rest = [store for store in stores if store is not cut]
    incident.cut_off(cut)
    callers = _CutOff(incident, cut)
    await asyncio.gather(callers.reads(), callers.orders(), callers.heartbeats(), callers.changes(rest))
    assert incident.revision > 10 and callers.answers[503] > 2, (incident.revision, callers.answers)
    cluster.network.heal_all()
    await asyncio.sleep(3.0)
    for store in stores:
        read = await incident.call(store, "GET", "/v1/config/read")
        if read.status == 200:
            assert orjson.loads(read.body)["revision"] == incident.revision
    assert all(one.program.member.config.revision == incident.revision for one in stores)


def shows_a_control_machine_cut_off_for_twenty_seconds_serves_and_confirms_nothing() -> None:
    for seed in range(2):
        Incident(seed).run(_cut_off_for_twenty_seconds)


async def _answer_lost_as_the_leader_dies(incident: Incident) -> None:
    cluster, stores = incident.cluster, incident.cluster.stores()
    await incident.change(stores)
    leader = cluster.leader()
    base, body = incident.revision, incident.body()
    call = incident._spawn(incident.order(leader, base, body))
    while leader.program.control.state.revision == base:
        await asyncio.sleep(0.001)
    cluster.kill(leader)  # the order is in force, but was not answered
    assert await call == 0
    rest = [store for store in stores if store is not leader]
    assert await incident.conclusive_answer(rest, base, body) == 200
    incident.revision += 1
    for _ in range(80):
        await incident.change(rest)
    assert (
        await incident.conclusive_answer(rest, base, body) == 200
    ), "not acknowledged after eighty later orders"
    cluster.start(leader)
    await asyncio.sleep(3.0)
    assert await incident.conclusive_answer(rest, base, body) == 200


def shows_an_order_whose_answer_was_lost_is_acknowledged_again_by_the_next_leader() -> None:
    for seed in range(2):
        Incident(seed).run(_answer_lost_as_the_leader_dies)


async def _four_operators_under_one_number(incident: Incident) -> None:
    cluster, stores = incident.cluster, incident.cluster.stores()
    record = cluster.leader().program.control.record
    before = record.state_machine.last
    for _ in range(8):
        base = incident.revision
        bodies = [incident.body() for _ in range(4)]
        # Each order is sent twice at once, as after a connection reset: eight calls in flight.
        machines = [cluster.leader(), *stores]
        calls = [incident.conclusive_answer(machines, base, body) for body in bodies for _ in range(2)]
        answers = await asyncio.gather(*calls)
        outcomes = list(zip(answers[::2], answers[1::2], strict=True))
        assert sorted(outcomes) == [(200, 200), (412, 412), (412, 412), (412, 412)], outcomes
        incident.revision += 1
        accepted = bodies[outcomes.index((200, 200))]
        read = await incident.call(cluster.leader(), "GET", "/v1/config/read")
        assert canonical(orjson.loads(read.body)) == accepted
    assert record.state_machine.last - before < 2 * 8, "rejected orders were written to the log"


def shows_one_of_four_orders_for_one_revision_is_acknowledged_both_times_it_is_sent() -> None:
    for seed in range(2):
        Incident(seed).run(_four_operators_under_one_number)


async def _always(self, timeout_ms: float = 0.0) -> bool:
    return True


def _refused_at_once(self, outcome: ProposalOutcome, revision: int):
    if outcome is ProposalOutcome.SUPERSEDED:
        return Respond(412, {"reason": "another came first"})
    return _proposal_ended(self, outcome, revision)


_proposal_ended = OrderProcess.proposal_ended

PLANTED: list[tuple[AbstractContextManager, Callable]] = [
    (mock.patch.object(ControlService, "confirm_majority", _always), _cut_off_for_twenty_seconds),
    (
        mock.patch.object(ControlService, "leads_with_majority", lambda self: self.leads),
        _cut_off_for_twenty_seconds,
    ),
    (mock.patch.object(State, "revision_of", lambda self, order_id: None), _answer_lost_as_the_leader_dies),
    (
        mock.patch.object(State, "recent", property(lambda self: self[2][-32:])),
        _answer_lost_as_the_leader_dies,
    ),
    (mock.patch.object(OrderProcess, "proposal_ended", _refused_at_once), _four_operators_under_one_number),
]


def shows_planted_mistakes_of_the_control_calls_are_found() -> None:
    for mistake, scene in PLANTED:
        with mistake:
            try:
                Incident(0).run(scene)
            except AssertionError:
                continue
        raise AssertionError(f"not found: {mistake.attribute} in {scene.__name__}")
