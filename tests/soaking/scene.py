"""Plays one plan from the first start to the last end, and has it judged."""

import asyncio
import json
from dataclasses import dataclass
from pathlib import Path
from random import Random

from tests.soaking.clients import Crowd
from tests.soaking.configurations import FINAL_KEY, HAS_TENANTS, HOSTNAME, tenant_of_key
from tests.soaking.connection import Response, call, request_bytes
from tests.soaking.deeds import Deeds
from tests.soaking.fleet import BOUNDS, PUBLIC, Fleet
from tests.soaking.judge import Judge
from tests.soaking.operator import Operator
from tests.soaking.plan import SERVICES, Plan
from tests.soaking.record import Record, Sent, now
from tests.soaking.workers import Crew

HUNG_S = 150.0  # ends a scene that hangs; no claim
END_HUNG_S = 60.0
SETTLE_S = 0.5  # in which what has ended is not to run again
MOST_STATES = 60
STATE_TIMEOUT_S = 5.0
LOOK_S = 0.05
UNFORESEEN = (b'"unforeseen"', b"Traceback")


@dataclass
class Result:
    plan: Plan
    record: Record
    wrongs: list[str]
    longest_end_s: float
    seconds: float

    def line(self) -> str:
        sent = self.record.sent.values()
        counts = f"{len(sent)} requests, {sum(one.accepted for one in sent)} accepted"
        done = f"{len(self.record.runs)} runs, {len(self.record.versions)} versions"
        lives = f"{len(self.record.lives)} lives"
        verdict = f"FAILED {len(self.wrongs)}: {self.wrongs[0]}" if self.wrongs else "passed"
        ended = f"longest end {self.longest_end_s:.1f} s, {self.seconds:.0f} s in all"
        return f"seed {self.plan.seed}: {self.plan.told()}: {counts}, {done}, {lives}, {ended}: {verdict}"


class Scene:
    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder, self.record = plan, folder, Record()
        self.random = Random(f"scene {plan.seed}")
        self.fleet = Fleet(folder, self.record, plan.stores, plan.edges)
        drain_s = BOUNDS["drainMs"] / 1000.0
        self.crew = Crew(self.fleet, self.record, plan.seed, plan.is_rough, drain_s)
        self.operator = Operator(self.fleet, self.record, plan.seed, plan.operator_pause_s)
        self.crowd = Crowd(self.fleet, self.record, plan.seed, plan.clients)
        self.deeds = Deeds(self.fleet, self.crew)
        self.waits_for = "the start"

    async def play(self) -> Result:
        begun = now()
        try:
            async with asyncio.timeout(HUNG_S + self.plan.seconds + self.plan.edges):
                await self._play()
        except TimeoutError:
            self.record.problem(f"HUNG while it waited for {self.waits_for}")
        finally:
            await self.fleet.close()
            for stand in self.crew.up:
                stand.close()
        judge = Judge(self.record)
        wrongs = [*self.record.problems, *judge.wrongs(), *self._said()]
        result = Result(self.plan, self.record, wrongs, judge.longest_end_s(), now() - begun)
        lines = [result.line(), *wrongs, "", *self.record.events]
        (self.folder / "scene.txt").write_text("\n".join(lines) + "\n")
        return result

    async def _play(self) -> None:
        await self.fleet.start()
        for service in SERVICES:
            for _ in range(self.plan.workers):
                await self.crew.start(service)
        self.waits_for = "the first configuration"
        await self.operator.begin()
        self.waits_for = "all to be ready"
        await asyncio.gather(*(node.until_ready() for node in self.fleet.nodes))
        self.record.event("traffic begins")
        await self._traffic()
        await self._settle()
        await self._ask_for_states()
        self.record.event("the end")
        self.waits_for = "the end of all"
        await self.fleet.end(END_HUNG_S)

    async def _traffic(self) -> None:
        series = [self.fleet.spawn(self.deeds.play(one)) for one in self.plan.series]
        operator = self.fleet.spawn(self.operator.run())
        clients = self.fleet.spawn(self.crowd.run())
        await asyncio.sleep(self.plan.seconds)
        self.record.event("traffic ends")
        self.deeds.is_going = self.operator.is_going = self.crowd.is_going = False
        self.waits_for = "clients, operator and series to end"
        await asyncio.gather(clients, operator, *series, return_exceptions=True)

    async def _settle(self) -> None:
        """What was accepted ends, once all trouble is over."""
        self.crew.is_sound = True
        self.waits_for = "all processes to be up"
        await self.fleet.calm()
        self.waits_for = "the last configuration"
        await self.operator.finish()
        self.waits_for = "each edge to accept a message again"
        await self.crowd.accepted_everywhere()
        self.waits_for = "the end of all accepted messages"
        while Judge(self.record).open():
            await asyncio.sleep(LOOK_S * 4)
        await asyncio.sleep(SETTLE_S)

    # What became of messages, as their senders are told

    async def _ask_for_states(self) -> None:
        self.waits_for = "the states of messages"
        judge = Judge(self.record)
        able = [
            sent
            for sent in self.record.sent.values()
            if sent.accepted and not judge.was_dropped(sent, float("inf"))
        ]
        for sent in self.random.sample(able, min(MOST_STATES, len(able))):
            await self._ask_for_state(sent, judge)

    async def _ask(self, call_path: str, ref: str, key: str) -> Response | None:
        fields = {"Host": HOSTNAME, "Connection": "close"}
        if key:
            fields["Authorization"] = f"Token {key}"
        edge = self.random.choice(self.fleet.edges)
        request = request_bytes("GET", f"{call_path}{ref}", fields)
        return await call((edge.host, PUBLIC), request, STATE_TIMEOUT_S)

    async def _ask_for_state(self, sent: Sent, judge: Judge) -> None:
        """Until it has ended there too: a worker's answer may have been lost on its way."""
        seen = self.record.tenants.get(sent.id, set())
        tenant = next(iter(seen), "") if HAS_TENANTS else ""
        key = f"{tenant}.{FINAL_KEY}" if tenant else ""
        while True:
            answer = await self._ask("/v1/message/", sent.ref, key)
            if answer is not None and answer.status == 200:
                state = json.loads(answer.body)
                if state["phase"] != "pending":
                    break
            elif answer is not None and answer.status in (401, 403, 404):
                self.record.problem(f"LOST {sent.id}: its state is answered with {answer.status}")
                return
            await asyncio.sleep(LOOK_S)
        seals = {run.seal for run in judge.runs[sent.id] if run.status == 200}
        if state["phase"] == "complete" and state.get("seal") not in seals:
            self.record.problem(f"MIXED {sent.id}: complete with {state.get('seal')!r}, not one of {seals}")
        if state["phase"] == "dead_letter":
            await self._check_bytes(sent, key)
        if tenant:
            await self._check_others(sent, tenant)

    async def _check_bytes(self, sent: Sent, key: str) -> None:
        answer = await self._ask("/v1/message-body/", sent.ref, key)
        if answer is not None and answer.status == 200 and answer.body != sent.body:
            self.record.problem(f"MIXED {sent.id}: its bytes came back changed")
        elif answer is not None and answer.status in (401, 403, 404):
            self.record.problem(f"LOST {sent.id}: its bytes are answered with {answer.status}")

    async def _check_others(self, sent: Sent, tenant: str) -> None:
        """Nobody else is told, and nobody without a key."""
        names = [one["name"] for one in self.operator.newest.document["tenants"]]
        other = self.random.choice([f"{name}.{FINAL_KEY}" for name in names if name != tenant] + [""])
        assert tenant_of_key(other) != tenant
        answer = await self._ask("/v1/message/", sent.ref, other)
        if answer is not None and answer.status == 200:
            self.record.problem(f"MIXED {sent.id}: its state is told to the key {other!r}")

    def _said(self) -> list[str]:
        """What no process may say."""
        return [
            f"FAULT {node.name} said: {line[:600].decode(errors='replace')}"
            for node in self.fleet.nodes
            if node.log.exists()
            for line in node.log.read_bytes().splitlines()
            if any(word in line for word in UNFORESEEN)
        ]


def play(plan: Plan, folder: Path) -> Result:
    return asyncio.run(Scene(plan, folder).play())
