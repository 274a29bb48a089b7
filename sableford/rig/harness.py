"""One run of a plan: starts the stubs and the schedulers, injects the faults and evaluates the outcome.

Addresses are assigned here. All processes and servers that a run started are stopped at its end.
"""

import asyncio
import os
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import msgspec

from sableford.rig import plan as planned
from sableford.rig.clients import SCHEDULER_PORT, Clients
from sableford.rig.clock import RunClock
from sableford.rig.discovery import DiscoveryConnection, DiscoveryStub
from sableford.rig.history import History, Violation
from sableford.rig.links import Links, relay_packets
from sableford.rig.nodes import COPY_INTERVAL_S, Node
from sableford.rig.plan import Fault, Plan
from sableford.rig.workers import Worker, WorkerConnection

CONSOLE_PORT, PEER_PORT, DISCOVERY_PORT, FLEET_PORT = 9901, 7000, 8500, 7100
MAX_LATE_MS = 400.0  # a run in which the rig itself was later than this is void
DRAIN_GRACE_MS = 750.0  # rule 3: how long after the notice a draining worker may still get new txns


class Span(NamedTuple):
    """Rates per second between two points of a run. The fields are keys of `rig run --json`."""

    start: float
    end: float
    due: float
    served: float
    in_time: float
    refused: float
    postings: float
    probes: float


class Outcome(NamedTuple):
    """The result of a run. The fields are keys of `rig run --json`."""

    wrongs: list[Violation]
    ended: dict[str, list[int]]  # exit codes of processes that ended unexpectedly
    spans: list[Span]
    postings: float  # per request
    most_pushed: float  # highest load of a worker that was warming up, as a multiple of its capacity
    late: float  # how late the rig itself sent a request, at most; ms

    def sound(self) -> bool:
        return not self.wrongs and not self.ended and self.late <= MAX_LATE_MS


def scheduler_settings(plan: Plan, position: int) -> dict:
    worker_plan = plan.workers
    settings = {
        "instances": plan.schedulers,
        "position": position,
        "zones": [f"z{at}" for at in range(worker_plan.zones)],
        "zone": position % worker_plan.zones,
        "skus": ["box"],
        "schemes": [
            {"name": scheme.name, "effect": scheme.effect, "earnings": scheme.earnings}
            | {"sla_time_s": scheme.sla_ms / 1000.0, "expiry_s": scheme.expiry_ms / 1000.0}
            | {"dedup_scope": "all", "memory_span_s": 10.0}
            for scheme in plan.scheme
        ],
        "limits": {"most_postings": 6, "may_cancel": True, "probes": True, "retry_after": True}
        | {"max_retry_after_s": 2.0, "conn_idle_s": 5.0, "connect_timeout_s": 0.25, "peers": plan.talk},
        "obligations": {
            "overload_factor": worker_plan.overload_factor,
            "fall_s": worker_plan.fall_ms / 1000.0,
        }
        | {"start_capacity": worker_plan.start_capacity, "warm_within_s": worker_plan.warm_ms / 1000.0},
        "load_info": {"columns": ["depth", "x0"], "via": "inline"},
        "specifics": {"report_x0": "free slots", "tells_start": True, "progress_s": 0.0},
    }
    for key, value in plan.settings.items():
        settings[key] = settings[key] | value if isinstance(value, dict) and key in settings else value
    return settings


class Harness:
    """The stubs, schedulers and links of one run, and their addresses."""

    def __init__(self, plan: Plan, root: Path) -> None:
        self.plan, self.root = plan, root
        self.links = Links(plan.seed)
        self.clock = RunClock()
        self.faults = planned.schedule(plan)
        effects = [scheme.effect for scheme in plan.scheme]
        self.history = History(effects, DRAIN_GRACE_MS)
        # Loopback addresses derived from the process id, so that concurrent runs don't share any.
        self._net = f"127.{64 + os.getpid() // 200 % 190}.{1 + os.getpid() % 200}"
        self.hosts = {name: f"{self._net}.{at + 1}" for at, name in enumerate(planned.schedulers(plan))}
        self.console_addresses = {name: (host, CONSOLE_PORT) for name, host in self.hosts.items()}
        self.workers = {
            name: Worker(name, plan, self.links, self.history, self.clock) for name in planned.workers(plan)
        }
        self._servers: list = []
        self._worker_servers: dict[str, list[asyncio.Server]] = {name: [] for name in self.workers}
        self._worker_ports: dict[tuple[str, str], int] = {}
        self.discovery = DiscoveryStub(plan, self.links, self.history, self.clock, self._members)
        self.nodes: dict[str, Node] = {}
        self.clients = Clients(plan, self.links, self.history, self.clock, self.hosts)
        self._tasks: set[asyncio.Task] = set()
        self._probes: list[tuple[float, int]] = []

    # Start

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        names = list(self.hosts)
        for at, worker in enumerate(self.workers.values()):
            for number, scheduler in enumerate(names):
                self._worker_ports[worker.name, scheduler] = 10_000 + 100 * at + number
            await self._listen(worker)
        for scheduler, host in self.hosts.items():
            self._servers.append(
                await loop.create_server(
                    lambda s=scheduler: DiscoveryConnection(self.discovery, s), host, DISCOVERY_PORT
                )
            )
        peer_addresses = (
            await self._relay_between_schedulers(PEER_PORT) if self.plan.talk and not self.plan.fleet else {}
        )
        fleet_addresses = await self._relay_between_schedulers(FLEET_PORT) if self.plan.fleet else {}
        for at, name in enumerate(names):
            host = self.hosts[name]
            config = {
                "name": name,
                "listen": f"{host}:{SCHEDULER_PORT}",
                "discovery": f"{host}:{DISCOVERY_PORT}",
            }
            config |= {"console": f"{host}:{CONSOLE_PORT}", "seed": f"{self.plan.seed}-{at}"}
            config |= {
                "limits": {"sockets": 512, "memory_mb": 160},
                "settings": scheduler_settings(self.plan, at),
            }
            if peer_addresses:
                config["peers"] = [f"{h}:{p}" for h, p in (peer_addresses[name, other] for other in names)]
            if fleet_addresses:
                peers = {other: "{}:{}".format(*fleet_addresses[name, other]) for other in names}
                config["fleet"] = self.plan.fleet | {
                    "peers": peers,
                    "folder": str(self.root / name / "folder" / "fleet"),
                }
            self.nodes[name] = Node(name, self.root, config, self.history, self.clock)
        await asyncio.gather(
            *(node.start(self.discovery.full_list(node.name)) for node in self.nodes.values())
        )

    async def _relay_between_schedulers(self, port: int) -> dict[tuple[str, str], tuple[str, int]]:
        """Addresses by (from, to): a scheduler reaches itself directly, any other through a relay."""
        names = list(self.hosts)
        real = {name: (host, port) for name, host in self.hosts.items()}
        at = {(name, name): real[name] for name in names}
        for one, name in enumerate(names):
            for two, other in enumerate(names):
                if one != two:
                    at[name, other] = (f"{self._net}.{200 + one}", port + 200 + two)
        for one, name in enumerate(names):
            for other in names[one + 1 :]:
                self._servers += await relay_packets(self.links, name, other, real, at)
        return at

    async def _listen(self, worker: Worker) -> None:
        loop = asyncio.get_running_loop()
        for scheduler in self.hosts:
            port = self._worker_ports[worker.name, scheduler]
            self._worker_servers[worker.name].append(
                await loop.create_server(
                    lambda s=scheduler: WorkerConnection(worker, s), f"{self._net}.250", port
                )
            )

    def _members(self, scheduler: str) -> list[dict]:
        return [
            {
                "id": name,
                "host_port": f"{self._net}.250:{self._worker_ports[name, scheduler]}",
                "flavor": "box",
            }
            | {"locality": f"z{at % self.plan.workers.zones}", "cell": 0, "size": 1.0}
            | {"phase": "leaving" if worker.leaving else "active", "up_since_ms": worker.up_since}
            for at, (name, worker) in enumerate(self.workers.items())
            if not worker.dead
        ]

    # Faults

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_faults(self) -> None:
        """Begins and ends each fault at its time."""
        transitions = sorted(
            [(fault.at_ms, at, True) for at, fault in enumerate(self.faults)]
            + [(fault.at_ms + fault.for_ms, at, False) for at, fault in enumerate(self.faults)]
        )
        for when, at, begins in transitions:
            await asyncio.sleep(max(0.0, when - self.clock.now()) / 1000.0)
            fault = self.faults[at]
            self.history.record_event(
                self.clock.now(), "rig", f"{fault.what} {'begins' if begins else 'ends'}: {fault.who}"
            )
            self._spawn(self.apply_fault(fault, begins))

    async def apply_fault(self, fault: Fault, begins: bool) -> None:
        """Begins or ends a fault now. A scheduler that is restarted takes clients when this returns."""
        target = planned.KINDS[fault.what][0]
        if target == planned.WORKER:
            for name in fault.who or self.workers:
                await self._on_worker(fault, self.workers[name], begins)
        elif target == planned.SCHEDULER:
            transitions = [
                self._on_scheduler(fault, self.nodes[name], begins) for name in fault.who or self.nodes
            ]
            await asyncio.gather(*transitions)
        elif target == planned.LINK:
            self._on_link(fault, begins)
        elif target == planned.DISCOVERY:
            names = set(fault.who or self.nodes)
            self.discovery.silent = self.discovery.silent | names if begins else self.discovery.silent - names
            if not begins:
                self.discovery.bump_revision()

    async def _on_worker(self, fault: Fault, worker: Worker, begins: bool) -> None:
        match fault.what:
            case "hang":
                worker.set_hung(begins)
            case "slow":
                worker.slow_factor = fault.size if begins else 1.0
            case "fail":
                worker.fail_ratio = fault.size if begins else 0.0
            case "drain":
                worker.leaving = begins
                await self._announce_change()
            case "die":
                if begins:
                    worker.die()
                    for server in self._worker_servers[worker.name]:
                        server.close()
                    self._worker_servers[worker.name].clear()
                elif not worker.overloaded:
                    worker.restart(time.time() * 1000.0)
                    await self._listen(worker)
                await self._announce_change()

    async def _announce_change(self) -> None:
        await asyncio.sleep(self.plan.workers.told_ms / 1000.0)
        self.discovery.bump_revision()

    async def _on_scheduler(self, fault: Fault, node: Node, begins: bool) -> None:
        if fault.what == "stop":
            node.suspend_faults += 1 if begins else -1
            if node.suspend_faults == begins:
                node.suspend() if begins else node.resume()
            return
        node.down_faults += 1 if begins else -1
        if begins:
            await (node.terminate() if fault.what == "term" and not node.suspend_faults else node.kill())
            return
        if node.down_faults:
            return
        others = [other for other in self.nodes.values() if other is not node]
        await asyncio.to_thread(node.replace_folder, fault.folder, others[0] if others else None)
        if fault.what == "clock":
            node.injected_faults = node.injected_faults | {"clock_ms": fault.size}
        if fault.what == "disk":
            node.injected_faults = node.injected_faults | {"disk": fault.how, "seed": self.plan.seed}
        try:
            await node.start(self.discovery.full_list(node.name))
        except TimeoutError:
            self.history.record_event(self.clock.now(), node.name, "did not come up")

    def _on_link(self, fault: Fault, begins: bool) -> None:
        names = [*self.nodes, *self.workers, "clients", "list"]
        for one in fault.who or names:
            for two in fault.to or [name for name in names if name not in fault.who]:
                if one == two:
                    continue
                if "clients" in (one, two) and begins:
                    self.history.client_link_faults.append((fault.at_ms, fault.at_ms + fault.for_ms + 2000.0))
                change = {"cut": "blocked", "oneway": "blocked"}.get(fault.what, fault.what)
                value = (fault.size or 1.0) if begins else 0.0
                for start, end in ((one, two),) if fault.what == "oneway" else ((one, two), (two, one)):
                    self.links.direction(start, end).set_faults(**{change: value})

    # Run

    async def run(self, scene: Callable[[], Awaitable[None]] | None = None) -> Outcome:
        """Runs the plan's load and faults to their end. With a `scene` the load stops when the scene returns,
        at the latest after the plan's seconds, so that a test can wait for events instead of times."""
        try:
            await self.start()
            self.clock.origin = asyncio.get_running_loop().time()
            for records in (self.history.sendable, self.history.unavailable):  # from before the load
                records.clear()
            for node in self.nodes.values():
                for name in self.workers:
                    self.history.record_sendable(node.name, name, 0.0, True)
            faults = asyncio.create_task(self._run_faults())
            sampler = asyncio.create_task(self._sample())
            load = asyncio.create_task(self.clients.run(planned.load(self.plan)))
            if scene is not None:
                await scene()
                self.clients.stop()
            await load
            await faults
            while self._tasks:
                await asyncio.wait(tuple(self._tasks))
            await self.clients.wait_for_answers()
            sampler.cancel()
            await asyncio.gather(*(node.terminate() for node in self.nodes.values()))
        finally:
            await self.shut_down()
        return self.outcome()

    async def _sample(self) -> None:
        copied_at = 0.0
        while True:
            await asyncio.sleep(0.1)
            self._probes.append((self.clock.now(), sum(worker.probes for worker in self.workers.values())))
            if self.clock.now() - copied_at > COPY_INTERVAL_S * 1000.0:
                copied_at = self.clock.now()
                for node in self.nodes.values():
                    if node.is_running() and not node.older_copy.exists():
                        await asyncio.to_thread(node.copy_folder)

    async def shut_down(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        for node in self.nodes.values():
            if node.is_running():
                with suppress(ProcessLookupError):
                    node.process.kill()
                await node.process.wait()
        for server in (
            *self._servers,
            *(server for servers in self._worker_servers.values() for server in servers),
        ):
            server.close()

    def outcome(self) -> Outcome:
        for node in self.nodes.values():
            if node.unavailable_since is not None:
                self.history.record_unavailable(node.name, node.unavailable_since, float("inf"), "ended")
        due = [request.due for request in planned.load(self.plan)]
        served = [at for _, at in self.clients.served.values()]
        sla = [scheme.sla_ms for scheme in self.plan.scheme]
        schemes = {request.number: request.scheme for request in planned.load(self.plan)}
        in_time = [
            at for number, (due_at, at) in self.clients.served.items() if at - due_at <= sla[schemes[number]]
        ]
        post_times = [run.at for run in self.history.posts]
        spans = []
        for start, end in planned.spans(self.plan, self.faults):
            duration_s = (end - start) / 1000.0

            def rate(times: list[float], start=start, end=end, duration_s=duration_s) -> float:
                return sum(start <= at < end for at in times) / duration_s

            counts = [count for at, count in self._probes if start <= at < end] or [0, 0]
            probes = (counts[-1] - counts[0]) / duration_s
            spans.append(
                Span(
                    start, end, *map(rate, (due, served, in_time, self.clients.refusals, post_times)), probes
                )
            )
        return Outcome(
            self.history.violations(),
            {
                node.name: node.unexpected_exit_codes
                for node in self.nodes.values()
                if node.unexpected_exit_codes
            },
            spans,
            len(post_times) / max(1, len(due)),
            max(worker.peak_overload for worker in self.workers.values()),
            self.clients.late,
        )

    def counts(self) -> Counter[str]:
        """The number of answers to clients by status."""
        return Counter(str(status) for received in self.history.answers.values() for _, status, _ in received)


def timeline(harness: Harness, around: float, span: float = 1000.0) -> list[str]:
    """Merges the logs of all schedulers with the history of the stubs, `span` ms before and after `around`.

    Log entries of a process with a clock offset keep their shifted time."""
    origin = time.time() * 1000.0 - harness.clock.now()
    lines = [(at, f"{who} {what}") for at, who, what in harness.history.events]
    lines += [(run.at, f"{run.worker} got {run.id} from {run.scheduler}") for run in harness.history.posts]
    lines += [
        (attempt.at, f"clients send {attempt.id} to {attempt.scheduler}")
        for attempt in harness.history.attempts.values()
    ]
    for txn, answers in harness.history.answers.items():
        lines += [(at, f"clients got {status} for {txn}") for at, status, _ in answers]
    for node in harness.nodes.values():
        with suppress(OSError):
            for text in node.log.read_bytes().splitlines():
                with suppress(msgspec.MsgspecError, KeyError, TypeError):
                    entry = msgspec.json.decode(text)
                    fields = " ".join(
                        f"{k}={v}" for k, v in entry.items() if k not in ("at", "node", "event")
                    )
                    lines.append(
                        (entry["at"] * 1000.0 - origin, f"{node.name} says {entry['event']} {fields}")
                    )
    near = sorted(line for line in lines if around - span <= line[0] <= around + span)
    return [f"{at:9.1f} {what}" for at, what in near if " says belief" not in what]
