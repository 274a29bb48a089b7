"""Runs one plan from the start of the processes to their shutdown, and checks the history."""

import asyncio
import json
from dataclasses import dataclass
from pathlib import Path
from random import Random

from tests.soaking.actions import Actions
from tests.soaking.checker import Checker
from tests.soaking.clients import ClientPool
from tests.soaking.configurations import FINAL_KEY, HAS_TENANTS, HOSTNAME, tenant_of_key
from tests.soaking.connection import Response, request_bytes, request_once
from tests.soaking.fleet import PUBLIC_PORT, TIME_BOUNDS, Fleet
from tests.soaking.history import History, SentMessage, now
from tests.soaking.operator import Operator
from tests.soaking.plan import SERVICES, Plan
from tests.soaking.workers import WorkerPool

SCENARIO_TIMEOUT_S = 150.0  # ends a scenario that hangs; not a requirement on the system
SHUTDOWN_TIMEOUT_S = 60.0
SETTLE_S = 0.5  # observed after the last message has finished, to detect a repeated run
MAX_STATE_QUERIES = 60
STATE_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
UNEXPECTED_LOG_PATTERNS = (b'"unforeseen"', b"Traceback")


@dataclass
class Result:
    plan: Plan
    history: History
    violations: list[str]
    longest_shutdown_s: float
    seconds: float

    def summary(self) -> str:
        messages = self.history.messages.values()
        counts = f"{len(messages)} requests, {sum(message.accepted for message in messages)} accepted"
        done = f"{len(self.history.runs)} runs, {len(self.history.versions)} versions"
        starts = f"{len(self.history.incarnations)} process starts"
        verdict = f"FAILED {len(self.violations)}: {self.violations[0]}" if self.violations else "passed"
        ended = f"longest shutdown {self.longest_shutdown_s:.1f} s, {self.seconds:.0f} s in all"
        return f"seed {self.plan.seed}: {self.plan.summary()}: {counts}, {done}, {starts}, {ended}: {verdict}"


class Scenario:
    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder, self.history = plan, folder, History()
        self.random = Random(f"scene {plan.seed}")  # kept: another text would change the draws
        self.fleet = Fleet(folder, self.history, plan.stores, plan.edges)
        drain_s = TIME_BOUNDS["drainMs"] / 1000.0
        self.worker_pool = WorkerPool(self.fleet, self.history, plan.seed, plan.has_faulty_workers, drain_s)
        self.operator = Operator(self.fleet, self.history, plan.seed, plan.operator_pause_s)
        self.client_pool = ClientPool(self.fleet, self.history, plan.seed, plan.clients)
        self.actions = Actions(self.fleet, self.worker_pool)
        self.waiting_for = "the processes to start"

    async def run(self) -> Result:
        started = now()
        try:
            async with asyncio.timeout(SCENARIO_TIMEOUT_S + self.plan.seconds + self.plan.edges):
                await self._run()
        except TimeoutError:
            self.history.add_violation(f"HUNG while waiting for {self.waiting_for}")
        finally:
            await self.fleet.close()
            for worker in self.worker_pool.active:
                worker.close()
        checker = Checker(self.history)
        violations = [*self.history.violations, *checker.violations(), *self._log_violations()]
        result = Result(self.plan, self.history, violations, checker.longest_shutdown_s(), now() - started)
        lines = [result.summary(), *violations, "", *self.history.events]
        (self.folder / "scene.txt").write_text("\n".join(lines) + "\n")
        return result

    async def _run(self) -> None:
        await self.fleet.start()
        for service in SERVICES:
            for _ in range(self.plan.workers):
                await self.worker_pool.start(service)
        self.waiting_for = "the first configuration"
        await self.operator.send_initial()
        self.waiting_for = "all processes to be ready"
        await asyncio.gather(*(node.wait_until_ready() for node in self.fleet.nodes))
        self.history.add_event("traffic begins")
        await self._run_traffic()
        await self._settle()
        await self._query_states()
        self.history.add_event("shutdown begins")
        self.waiting_for = "all processes to exit"
        await self.fleet.stop(SHUTDOWN_TIMEOUT_S)

    async def _run_traffic(self) -> None:
        series = [self.fleet.spawn(self.actions.run_series(item)) for item in self.plan.series]
        operator = self.fleet.spawn(self.operator.run())
        clients = self.fleet.spawn(self.client_pool.run())
        await asyncio.sleep(self.plan.seconds)
        self.history.add_event("traffic ends")
        self.actions.is_running = self.operator.is_running = self.client_pool.is_running = False
        self.waiting_for = "clients, operator and series to end"
        await asyncio.gather(clients, operator, *series, return_exceptions=True)

    async def _settle(self) -> None:
        """Ends all faults, and waits until every accepted message is finished."""
        self.worker_pool.faults_disabled = True
        self.waiting_for = "all processes to be ready again"
        await self.fleet.restore()
        self.waiting_for = "the last configuration"
        await self.operator.send_final()
        self.waiting_for = "each edge to accept a message again"
        await self.client_pool.wait_until_all_edges_accept()
        self.waiting_for = "all accepted messages to finish"
        while Checker(self.history).unfinished():
            await asyncio.sleep(POLL_INTERVAL_S * 4)
        await asyncio.sleep(SETTLE_S)

    # Message states as reported to their senders

    async def _query_states(self) -> None:
        self.waiting_for = "the states of messages"
        checker = Checker(self.history)
        candidates = [
            message
            for message in self.history.messages.values()
            if message.accepted and not checker.route_was_dropped(message, float("inf"))
        ]
        for message in self.random.sample(candidates, min(MAX_STATE_QUERIES, len(candidates))):
            await self._query_state(message, checker)

    async def _get(self, path: str, ref: str, key: str) -> Response | None:
        headers = {"Host": HOSTNAME, "Connection": "close"}
        if key:
            headers["Authorization"] = f"Token {key}"
        edge = self.random.choice(self.fleet.edges)
        request = request_bytes("GET", f"{path}{ref}", headers)
        return await request_once((edge.host, PUBLIC_PORT), request, STATE_TIMEOUT_S)

    async def _query_state(self, message: SentMessage, checker: Checker) -> None:
        """Polls until the state is final: the system may learn it late, when a worker's response was lost."""
        tenants = self.history.tenants.get(message.id, set())
        tenant = next(iter(tenants), "") if HAS_TENANTS else ""
        key = f"{tenant}.{FINAL_KEY}" if tenant else ""
        while True:
            response = await self._get("/v1/message/", message.ref, key)
            if response is not None and response.status == 200:
                state = json.loads(response.body)
                if state["phase"] != "pending":
                    break
            elif response is not None and response.status in (401, 403, 404):
                self.history.add_violation(f"LOST {message.id}: state query returned {response.status}")
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        seals = {run.seal for run in checker.runs[message.id] if run.status == 200}
        if state["phase"] == "complete" and state.get("seal") not in seals:
            self.history.add_violation(
                f"MIXED {message.id}: complete with {state.get('seal')!r}, not one of {seals}"
            )
        if state["phase"] == "dead_letter":
            await self._check_body(message, key)
        if tenant:
            await self._check_other_tenants(message, tenant)

    async def _check_body(self, message: SentMessage, key: str) -> None:
        response = await self._get("/v1/message-body/", message.ref, key)
        if response is not None and response.status == 200 and response.body != message.body:
            self.history.add_violation(f"MIXED {message.id}: body read back changed")
        elif response is not None and response.status in (401, 403, 404):
            self.history.add_violation(f"LOST {message.id}: body query returned {response.status}")

    async def _check_other_tenants(self, message: SentMessage, tenant: str) -> None:
        """Checks that neither another tenant's key nor a request without a key can read the state."""
        names = [item["name"] for item in self.operator.newest.document["tenants"]]
        other = self.random.choice([f"{name}.{FINAL_KEY}" for name in names if name != tenant] + [""])
        assert tenant_of_key(other) != tenant
        response = await self._get("/v1/message/", message.ref, other)
        if response is not None and response.status == 200:
            self.history.add_violation(f"MIXED {message.id}: state readable with the key {other!r}")

    def _log_violations(self) -> list[str]:
        """Log lines that no process may write: unexpected exceptions."""
        return [
            f"FAULT {node.name} logged: {line[:600].decode(errors='replace')}"
            for node in self.fleet.nodes
            if node.log_file.exists()
            for line in node.log_file.read_bytes().splitlines()
            if any(pattern in line for pattern in UNEXPECTED_LOG_PATTERNS)
        ]


def run_scenario(plan: Plan, folder: Path) -> Result:
    return asyncio.run(Scenario(plan, folder).run())
