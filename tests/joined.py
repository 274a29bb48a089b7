"""Several processes in one fleet, run by the test harness with faults in their network and disks.

The values in the replicated log are checked against the order in which console requests were answered. A
scene continues as soon as a condition holds (a leader, a recovered folder, a number of answered writes), so
that a busy machine takes longer but comes to the same result. A fault begins only after recovery from the
previous one was observed, since a log with three voters tolerates one failure at a time.
"""

import asyncio
import json
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from sableford.fleet.cli import table
from sableford.rig.disk import HUNG_SUFFIX
from sableford.rig.harness import Harness, Outcome, timeline
from sableford.rig.plan import HUNG, Fault, read_plan
from sableford.simulation.consensus.walk import Walk

# Time limits are far longer than needed, so that no request expires on a busy machine.
FLEET = """
seconds = 140
seed = 5
talk = true
[fleet]
voters = ["s0", "s1", "s2"]
[load]
rate = 30
time_left_ms = 20000
[[scheme]]
name = "lookup"
effect = "safe"
run_ms = 50
sla_ms = 20000
expiry_ms = 20000
"""
LIMIT = 150.0  # s after which a scene fails with the condition that it waits for
PAUSE = 0.02  # s between polls, and between requests
REPLACED_MS = 2000.0  # until another leader is elected: two election rounds at the longest time-out
WRITES = 20  # answered writes that show that the log makes progress


class ConsoleClient:
    """Calls the schedulers in turn, one request at a time, and records the results for one key."""

    def __init__(self, harness: Harness, name: str) -> None:
        self._harness, self._name, self.is_running = harness, name, True
        self.writes: dict[str, tuple[float, float, int]] = {}  # by value: sent, answered, log index
        self.reads: list[tuple[float, float, str]] = []

    def _now(self) -> float:
        """The clients' own clock; the harness resets its clock when the load begins."""
        return asyncio.get_running_loop().time() * 1000.0

    async def call(self, scheduler: str, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
        try:
            async with asyncio.timeout(2.5):
                reader, writer = await asyncio.open_connection(*self._harness.console_addresses[scheduler])
                head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                said = (await reader.read()).decode()
                writer.close()
        except OSError:
            return 0, ""
        head, _, text = said.partition("\r\n\r\n")
        return (int(head.split()[1]), text.rstrip("\n")) if head else (0, "")

    async def run(self) -> None:
        number = 0
        while self.is_running:
            for scheduler in self._harness.hosts:
                number += 1
                value, asked = f"{self._name}-{number}", self._now()
                if number % 3:
                    status, text = await self.call(scheduler, "POST", "/record/k", value.encode())
                    if status == 200:
                        entry = int(text.split()[1])
                        self.writes[value] = asked, self._now(), entry
                else:
                    status, text = await self.call(scheduler, "GET", "/record/k")
                    if status == 200:
                        self.reads.append((asked, self._now(), text))
                await asyncio.sleep(PAUSE)


def check_linearizable(clients: list[ConsoleClient]) -> None:
    """Checks linearizability: log order agrees with real time, and a read returns a value at least as new as
    any write or read answered before it was sent."""
    writes = {value: write for client in clients for value, write in client.writes.items()}
    by_entry = sorted(writes.values(), key=lambda write: write[2])
    latest = 0.0
    for asked, answered, entry in by_entry:
        assert answered >= latest, f"entry {entry} was answered before an earlier one was sent"
        latest = max(latest, asked)
    seen: list[tuple[float, int]] = []
    for asked, answered, value in sorted(read for client in clients for read in client.reads):
        if value not in writes:  # the response to its write was lost
            continue
        entry = writes[value][2]
        done = max([write[2] for write in writes.values() if write[1] < asked], default=0)
        read = max([other for at, other in seen if at < asked], default=0)
        assert entry >= done, f"read entry {entry} at {asked:.0f} after entry {done} was acknowledged"
        assert entry >= read, f"read entry {entry} at {asked:.0f} after {read} was read"
        assert writes[value][0] <= answered, "read before it was written"
        seen.append((answered, entry))


class Scene:
    """One run: the harness, three console clients, and conditions to wait for."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        self.clients = [ConsoleClient(harness, f"c{number}") for number in range(3)]
        self.waiting_for = "the start"

    def written(self) -> int:
        return sum(len(client.writes) for client in self.clients)

    def log(self, name: str) -> str:
        return self.harness.nodes[name].log.read_text()

    async def wait_until(self, what: str, holds: Callable[[], Awaitable[bool]]) -> None:
        self.waiting_for = what
        while not await holds():
            await asyncio.sleep(PAUSE)

    async def fleet_status(self, name: str) -> dict:
        """The fleet status from that scheduler's console; empty if it does not answer."""
        status, text = await self.clients[0].call(name, "GET", "/fleet")
        return json.loads(text) if status == 200 else {}

    async def log_status(self, name: str) -> dict:
        return (await self.fleet_status(name)).get("record", {})

    async def wait_for_leader(self, but: str = "") -> str:
        """Waits until a running scheduler other than `but` knows a leader other than `but`; returns that."""
        found = ""

        async def known() -> bool:
            nonlocal found
            for name in self.harness.hosts:
                if name != but and self.harness.nodes[name].is_running():
                    found = (await self.log_status(name)).get("leader", "")
                    if found and found != but:
                        return True
            return False

        await self.wait_until(f"a leader other than {but!r}", known)
        return found

    async def wait_for_no_leader(self, name: str) -> None:
        """Waits until that scheduler knows no leader."""

        async def none() -> bool:
            return (await self.log_status(name)).get("leader") == ""

        await self.wait_until(f"{name} to know no leader", none)

    async def wait_until_settled(self, *but: str) -> None:
        """Waits until all other schedulers hold the log and agree on the leader."""

        async def agree() -> bool:
            records = [await self.log_status(name) for name in self.harness.hosts if name not in but]
            leaders = {record.get("leader", "") for record in records}
            sound = all(record.get("standing") in ("VOTING", "LEARNER") for record in records)
            return sound and len(leaders) == 1 and leaders != {""}

        await self.wait_until(f"all but {but} to agree on a leader", agree)

    async def wait_for_writes(self, count: int = WRITES) -> None:
        """Waits for so many more answered writes."""
        least = self.written() + count

        async def enough() -> bool:
            return self.written() >= least

        await self.wait_until(f"{count} more answered writes", enough)

    async def wait_for_served(self, count: int = 30) -> None:
        """Waits until every scheduler has served so many more requests."""
        before = self._served()

        async def enough() -> bool:
            now = self._served()
            return all(now[name] >= before[name] + count for name in self.harness.hosts)

        await self.wait_until(f"{count} more requests served by each", enough)

    def _served(self) -> Counter[str]:
        history = self.harness.history
        return Counter(
            history.attempts[txn].scheduler
            for txn, answers in history.answers.items()
            if any(status == 200 for _, status, _ in answers)
        )

    async def wait_for_event(self, name: str, event: str, said: str) -> None:
        """Waits until that scheduler's log has an event that contains the text."""

        async def there() -> bool:
            return any(said in json.dumps(line) for line in events(self.log(name), event))

        await self.wait_until(f"{event} of {name} with {said!r}", there)

    async def begin_fault(self, what: str, who: str, **more: object) -> Fault:
        fault = Fault(what, self.harness.clock.now(), 1.0, who.split(), **more)
        self.harness.history.record_event(fault.at_ms, "scene", f"{what} begins: {who}")
        await self.harness.apply_fault(fault, True)
        return fault

    async def end_fault(self, fault: Fault) -> None:
        self.harness.history.record_event(
            self.harness.clock.now(), "scene", f"{fault.what} ends: {fault.who}"
        )
        await self.harness.apply_fault(fault, False)


def run_scene(text: str, play: Callable[[Scene], Awaitable[None]]) -> tuple[Scene, Outcome, dict[str, str]]:
    """Runs the harness with three clients for the duration of the scene; returns the outcome and the logs."""

    async def run(folder: str) -> tuple[Scene, Outcome, dict[str, str]]:
        harness = Harness(read_plan(text.encode()), Path(folder))
        scene = Scene(harness)
        callers = asyncio.gather(*(client.run() for client in scene.clients))
        try:
            async with asyncio.timeout(LIMIT) as limit:
                outcome = await harness.run(lambda: play(scene))
        except TimeoutError:
            if limit.expired():
                raise AssertionError(f"after {LIMIT:.0f} s still waiting for {scene.waiting_for}") from None
            raise
        finally:
            for client in scene.clients:
                client.is_running = False
            await callers
            await harness.shut_down()
        return scene, outcome, {name: scene.log(name) for name in harness.nodes}

    with tempfile.TemporaryDirectory() as folder:
        scene, outcome, logs = asyncio.run(run(folder))
        shown = "\n".join(timeline(scene.harness, outcome.wrongs[0].at)) if outcome.wrongs else ""
    assert not outcome.wrongs and not outcome.ended, (outcome.wrongs[:3], outcome.ended, shown[:4000])
    check_linearizable(scene.clients)
    return scene, outcome, logs


def events(log: str, event: str) -> list[dict]:
    lines = [json.loads(line) for line in log.splitlines() if line.startswith("{") and line.endswith("}")]
    return [line for line in lines if line["event"] == event]


def served(scene: Scene) -> float:
    """The fraction of requests that were answered in time."""
    return len(scene.harness.clients.served) / scene.harness.clients.sent_count


def shows_five_processes_keep_one_order_through_a_killed_a_stopped_and_a_cut_off_leader() -> None:
    async def play(scene: Scene) -> None:
        """Faults hit the current leader, which a plan file cannot express."""
        for what in ("kill", "stop", "cut"):
            await scene.wait_until_settled()
            await scene.wait_for_writes()
            target = await scene.wait_for_leader()
            others = [name for name in scene.harness.hosts if name != target]
            fault = await scene.begin_fault(what, target, to=others if what == "cut" else [])
            await scene.wait_for_leader(but=target)
            await scene.wait_for_writes()
            await scene.end_fault(fault)
        await scene.wait_until_settled()
        await scene.wait_for_writes(100)

    scene, _, logs = run_scene("schedulers = 5\n" + FLEET, play)
    assert scene.written() > 100 and sum(len(client.reads) for client in scene.clients) > 40, scene.written()
    assert served(scene) > 0.9, served(scene)
    assert "fleet_failed" not in "".join(logs.values()) and "module_failed" not in "".join(logs.values())


def shows_a_killed_paused_or_partitioned_leader_is_replaced_within_two_seconds() -> None:
    """In simulated time, since real processes would make it depend on the machine."""
    for seed in range(30):
        for what in ("kill", "stop", "cut"):
            simulation = Walk(seed, voters=5, learners=0, loss=0.0, disk_faults=()).simulation
            simulation.run(3000.0)
            target = next(name for name, node in simulation.nodes.items() if node.is_leader)
            if what == "cut":
                simulation.is_cut = lambda start, end, target=target: target in (start, end)
            else:
                {"kill": simulation.kill, "stop": simulation.pause}[what](target)
            begun = simulation.now
            while not any(node.is_leader for name, node in simulation.nodes.items() if name != target):
                simulation.run(simulation.now + 50.0)
                assert simulation.now - begun <= REPLACED_MS, (seed, what)


def shows_schedulers_with_an_old_empty_or_foreign_folder_rejoin_as_new_and_nothing_is_lost() -> None:
    async def play(scene: Scene) -> None:
        async def copied() -> bool:
            return all(node.older_copy.exists() for node in scene.harness.nodes.values())

        await scene.wait_until_settled()
        await scene.wait_until("a copy of each folder", copied)
        await scene.wait_for_writes()
        # All nodes know what a leader's folder held. The next leader is paused while the old one returns: a
        # leader that refills the folder before another node reports its former content would hide the fault.
        older = await scene.wait_for_leader()
        fault = await scene.begin_fault("kill", older, folder="older")
        await scene.wait_for_writes()
        still = await scene.begin_fault("stop", await scene.wait_for_leader(but=older))
        third = next(name for name in scene.harness.hosts if name not in (older, *still.who))
        await scene.wait_for_no_leader(third)
        await scene.end_fault(fault)
        await scene.wait_for_event(older, "record_standing", "REPLACED")
        await scene.end_fault(still)
        await scene.wait_until_settled()
        names["older"] = older
        for folder, name in zip(("emptied", "other"), (third, *still.who), strict=True):
            await scene.wait_for_writes()
            fault = await scene.begin_fault("kill", name, folder=folder)
            await scene.wait_for_writes()
            await scene.end_fault(fault)
            await scene.wait_for_event(name, "record_standing", "REPLACED")
            await scene.wait_until_settled()
            names[folder] = name
        await scene.wait_for_writes()

    names: dict[str, str] = {}
    scene, _, logs = run_scene("schedulers = 3\n" + FLEET, play)
    for folder, said in (("older", "heard of entry"), ("emptied", "knows another folder"), ("other", "")):
        lines = events(logs[names[folder]], "record_standing")
        stood = [line["standing"] for line in lines]
        assert "REPLACED" in stood and stood[-1] == "VOTING", (folder, stood)
        assert any(said in line["why"] for line in lines), (folder, lines)
    problems = [line["problem"] for line in events(logs[names["other"]], "record_folder")]
    others = [name for name in logs if name != names["other"]]
    assert any(f"the folder is {name}'s" in problem for name in others for problem in problems), problems
    assert scene.written() > 100


def shows_faulty_disks_lose_no_answered_write_and_delay_no_request() -> None:
    async def play(scene: Scene) -> None:
        await scene.wait_until_settled()
        torn = await scene.begin_fault("disk", "s1", how="torn")
        await scene.end_fault(torn)
        await scene.wait_until_settled()
        await scene.wait_for_writes()
        killed = await scene.begin_fault("kill", "s1")  # the torn write shows only after a crash
        await scene.wait_for_writes()
        await scene.end_fault(killed)
        await scene.wait_until_settled()
        full = await scene.begin_fault("disk", "s2", how="full")
        await scene.end_fault(full)
        await scene.wait_for_event("s2", "record_disk", "full")
        await asyncio.sleep(5.0)  # it retries once a second
        await scene.wait_until_settled("s2")
        await scene.wait_for_writes()
        once = await scene.begin_fault("disk", "s0", how="once")
        await scene.end_fault(once)
        await scene.wait_for_event("s0", "record_disk", "once")
        await scene.wait_until_settled("s2")
        await scene.wait_for_writes()

    scene, _, logs = run_scene("schedulers = 3\n" + FLEET, play)
    said = events(logs["s2"], "record_disk")
    assert len(said) < 4, said  # once, not for each attempt
    assert scene.written() > 80, scene.written()
    assert served(scene) > 0.95, served(scene)


def shows_hanging_disks_delay_no_request() -> None:
    async def play(scene: Scene) -> None:
        marks = [node.folder / HUNG for node in scene.harness.nodes.values()]

        async def two_hang() -> bool:
            return sum(mark.with_suffix(HUNG_SUFFIX).exists() for mark in marks) >= 2

        await scene.wait_until_settled()
        await scene.wait_for_writes()
        for mark in marks:
            mark.touch()
        await scene.end_fault(await scene.begin_fault("disk", "s0 s1 s2", how=HUNG))
        await scene.wait_until("two disks that hang", two_hang)
        before = scene.written()
        await scene.wait_for_served()  # a loop that waits for its disk would serve none
        assert scene.written() == before, "a write was answered that is on no disk"
        for mark in marks:
            mark.unlink()
        await scene.wait_for_writes()

    run_scene("schedulers = 3\n" + FLEET, play)


def shows_a_lost_majority_delays_no_request() -> None:
    async def play(scene: Scene) -> None:
        async def refused() -> bool:
            return (await scene.clients[0].call("s0", "POST", "/record/other", b"x"))[0] != 200

        await scene.wait_until_settled()
        await scene.wait_for_writes()
        cut = await scene.begin_fault("cut", "s0 s1 s2", to=["s0", "s1", "s2"])
        await scene.wait_until("a rejected write", refused)
        before = scene.written()
        await scene.wait_for_served()
        assert scene.written() == before, "a write was answered without a majority"
        await scene.end_fault(cut)
        await scene.wait_until_settled()
        await scene.wait_for_writes()

    run_scene("schedulers = 3\n" + FLEET, play)


def shows_the_console_of_a_learner_reports_a_dead_member_and_the_leader() -> None:
    seen: dict[str, tuple[int, str]] = {}

    async def play(scene: Scene) -> None:
        async def reported() -> bool:
            seen["s3"] = await scene.clients[0].call("s3", "GET", "/fleet")
            lines = table(json.loads(seen["s3"][1])) if seen["s3"][0] == 200 else []
            dead = any("s2" in line and "DEAD" in line for line in lines)
            return dead and any("record: LEARNER" in line and "leader s" in line for line in lines)

        await scene.wait_until_settled()
        killed = await scene.begin_fault("kill", "s2")
        await scene.wait_until("s2's death and a leader in s3's table", reported)
        seen["no key"] = await scene.clients[0].call("s3", "GET", "/record/none")
        seen["method"] = await scene.clients[0].call("s3", "POST", "/fleet")
        await scene.end_fault(killed)

    run_scene("schedulers = 4\n" + FLEET, play)
    assert seen["no key"][0] == 404 and seen["method"][0] == 405, seen
