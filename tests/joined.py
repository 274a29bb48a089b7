"""Plain asserts on several processes in one fleet, on the rig, with faults between and under them.

What the record says is held against the order in which calls at the doors were answered. A scene goes on as
soon as what it waits for is there (a leader, a folder taken up again, so many answered writes): a busy
machine takes longer over it and comes to the same verdict. Faults follow each other by what was seen, since a
record of three voters bears one loss at a time.
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

# A txn's time is far beyond what any machine needs, so that none is lost to a busy one.
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
LIMIT = 150.0  # s: a scene that hangs is ended, and says what it waited for
PAUSE = 0.02  # s between two looks or calls
REPLACED_MS = 2000.0  # for another leader: two elections of one that stood at the latest
WRITES = 20  # answered ones that show that the record goes on


class Door:
    """One caller, one call after the other at one scheduler after the other, and what it saw of one key."""

    def __init__(self, world: Harness, name: str) -> None:
        self._world, self._name, self.going = world, name, True
        self.writes: dict[str, tuple[float, float, int]] = {}  # by value: asked, answered, entry
        self.reads: list[tuple[float, float, str]] = []

    def _now(self) -> float:
        """Of the callers alone: the rig sets its own clock to nought when the load begins."""
        return asyncio.get_running_loop().time() * 1000.0

    async def call(self, scheduler: str, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
        try:
            async with asyncio.timeout(2.5):
                reader, writer = await asyncio.open_connection(*self._world.console_addresses[scheduler])
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
        while self.going:
            for scheduler in self._world.hosts:
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


def one_order(doors: list[Door]) -> None:
    """Writes stand in an order that agrees with time, and a read sees one no older than any answered before
    it."""
    writes = {value: told for door in doors for value, told in door.writes.items()}
    by_entry = sorted(writes.values(), key=lambda told: told[2])
    latest = 0.0
    for asked, answered, entry in by_entry:
        assert answered >= latest, f"entry {entry} was answered before an earlier one was asked for"
        latest = max(latest, asked)
    seen: list[tuple[float, int]] = []
    for asked, answered, value in sorted(read for door in doors for read in door.reads):
        if value not in writes:  # whose answer never came
            continue
        entry = writes[value][2]
        done = max([told[2] for told in writes.values() if told[1] < asked], default=0)
        read = max([other for at, other in seen if at < asked], default=0)
        assert entry >= done, f"read entry {entry} at {asked:.0f}, and {done} was answered before"
        assert entry >= read, f"read entry {entry} at {asked:.0f} after {read} was read"
        assert writes[value][0] <= answered, "read before it was asked for"
        seen.append((answered, entry))


class Scene:
    """One run as a test sees it: the rig, three callers at the doors, and what to wait for."""

    def __init__(self, world: Harness) -> None:
        self.world = world
        self.doors = [Door(world, f"c{number}") for number in range(3)]
        self.waits_for = "its start"

    def written(self) -> int:
        return sum(len(door.writes) for door in self.doors)

    def log(self, name: str) -> str:
        return self.world.nodes[name].log.read_text()

    async def until(self, what: str, holds: Callable[[], Awaitable[bool]]) -> None:
        self.waits_for = what
        while not await holds():
            await asyncio.sleep(PAUSE)

    async def fleet(self, name: str) -> dict:
        """What that scheduler's door says of the fleet; empty where it does not answer."""
        status, text = await self.doors[0].call(name, "GET", "/fleet")
        return json.loads(text) if status == 200 else {}

    async def record(self, name: str) -> dict:
        return (await self.fleet(name)).get("record", {})

    async def leader(self, but: str = "") -> str:
        """Whoever a live scheduler other than `but` takes for the leader, once that is not `but`."""
        found = ""

        async def known() -> bool:
            nonlocal found
            for name in self.world.hosts:
                if name != but and self.world.nodes[name].is_running():
                    found = (await self.record(name)).get("leader", "")
                    if found and found != but:
                        return True
            return False

        await self.until(f"a leader other than {but!r}", known)
        return found

    async def leaderless(self, name: str) -> None:
        """That scheduler knows of no leader."""

        async def none() -> bool:
            return (await self.record(name)).get("leader") == ""

        await self.until(f"the end of all leaders as {name} sees it", none)

    async def settled(self, *but: str) -> None:
        """Every scheduler but those holds the record, and they agree on who leads."""

        async def agree() -> bool:
            records = [await self.record(name) for name in self.world.hosts if name not in but]
            leaders = {record.get("leader", "") for record in records}
            sound = all(record.get("standing") in ("VOTING", "LEARNER") for record in records)
            return sound and len(leaders) == 1 and leaders != {""}

        await self.until(f"agreement of all but {but}", agree)

    async def writes(self, count: int = WRITES) -> None:
        """So many more writes are answered."""
        least = self.written() + count

        async def enough() -> bool:
            return self.written() >= least

        await self.until(f"{count} more answered writes", enough)

    async def served(self, count: int = 30) -> None:
        """Every scheduler has served so many more requests."""
        before = self._served()

        async def enough() -> bool:
            now = self._served()
            return all(now[name] >= before[name] + count for name in self.world.hosts)

        await self.until(f"{count} more requests served by each", enough)

    def _served(self) -> Counter[str]:
        history = self.world.history
        return Counter(
            history.attempts[txn].scheduler
            for txn, answers in history.answers.items()
            if any(status == 200 for _, status, _ in answers)
        )

    async def says(self, name: str, event: str, said: str) -> None:
        """That scheduler's log has such an event."""

        async def there() -> bool:
            return any(said in json.dumps(line) for line in events(self.log(name), event))

        await self.until(f"{event} of {name} with {said!r}", there)

    async def begin(self, what: str, who: str, **more: object) -> Fault:
        fault = Fault(what, self.world.clock.now(), 1.0, who.split(), **more)
        self.world.history.record_event(fault.at_ms, "scene", f"{what} begins: {who}")
        await self.world.apply_fault(fault, True)
        return fault

    async def end(self, fault: Fault) -> None:
        self.world.history.record_event(self.world.clock.now(), "scene", f"{fault.what} ends: {fault.who}")
        await self.world.apply_fault(fault, False)


def joined(text: str, play: Callable[[Scene], Awaitable[None]]) -> tuple[Scene, Outcome, dict[str, str]]:
    """A run with three callers that lasts as long as the scene; how it ended, and each scheduler's log."""

    async def run(folder: str) -> tuple[Scene, Outcome, dict[str, str]]:
        world = Harness(read_plan(text.encode()), Path(folder))
        scene = Scene(world)
        callers = asyncio.gather(*(door.run() for door in scene.doors))
        try:
            async with asyncio.timeout(LIMIT) as limit:
                outcome = await world.run(lambda: play(scene))
        except TimeoutError:
            if limit.expired():
                raise AssertionError(f"after {LIMIT:.0f} s still waiting for {scene.waits_for}") from None
            raise
        finally:
            for door in scene.doors:
                door.going = False
            await callers
            await world.shut_down()
        return scene, outcome, {name: scene.log(name) for name in world.nodes}

    with tempfile.TemporaryDirectory() as folder:
        scene, outcome, logs = asyncio.run(run(folder))
        told = "\n".join(timeline(scene.world, outcome.wrongs[0].at)) if outcome.wrongs else ""
    assert not outcome.wrongs and not outcome.ended, (outcome.wrongs[:3], outcome.ended, told[:4000])
    one_order(scene.doors)
    return scene, outcome, logs


def events(log: str, event: str) -> list[dict]:
    told = [json.loads(line) for line in log.splitlines() if line.startswith("{") and line.endswith("}")]
    return [line for line in told if line["event"] == event]


def served(scene: Scene) -> float:
    """The part of all requests that got their answer in time."""
    return len(scene.world.clients.served) / scene.world.clients.sent_count


def shows_five_processes_keep_one_order_through_a_killed_a_stopped_and_a_cut_off_leader() -> None:
    async def play(scene: Scene) -> None:
        """Whoever leads is hit: that can't stand in a file."""
        for what in ("kill", "stop", "cut"):
            await scene.settled()
            await scene.writes()
            hit = await scene.leader()
            others = [name for name in scene.world.hosts if name != hit]
            fault = await scene.begin(what, hit, to=others if what == "cut" else [])
            await scene.leader(but=hit)
            await scene.writes()
            await scene.end(fault)
        await scene.settled()
        await scene.writes(100)

    scene, _, logs = joined("schedulers = 5\n" + FLEET, play)
    assert scene.written() > 100 and sum(len(door.reads) for door in scene.doors) > 40, scene.written()
    assert served(scene) > 0.9, served(scene)
    assert "fleet_failed" not in "".join(logs.values()) and "module_failed" not in "".join(logs.values())


def shows_a_leader_that_dies_stands_still_or_is_cut_off_is_followed_by_another_within_two_seconds() -> None:
    """How fast that is, in simulated time: on real processes it would be a claim on the machine."""
    for seed in range(30):
        for what in ("kill", "stop", "cut"):
            trial = Walk(seed, voters=5, learners=0, loss=0.0, disk_faults=()).simulation
            trial.run(3000.0)
            hit = next(name for name, core in trial.nodes.items() if core.is_leader)
            if what == "cut":
                trial.is_cut = lambda start, end, hit=hit: hit in (start, end)
            else:
                {"kill": trial.kill, "stop": trial.pause}[what](hit)
            begun = trial.now
            while not any(core.is_leader for name, core in trial.nodes.items() if name != hit):
                trial.run(trial.now + 50.0)
                assert trial.now - begun <= REPLACED_MS, (seed, what)


def shows_folders_set_back_emptied_and_of_another_come_back_as_newcomers_and_nothing_is_lost() -> None:
    async def play(scene: Scene) -> None:
        async def copied() -> bool:
            return all(node.older_copy.exists() for node in scene.world.nodes.values())

        await scene.settled()
        await scene.until("a copy of each folder", copied)
        await scene.writes()
        # What a leader holds is known to all. The next one stands still as it comes back: a leader that fills
        # a folder up before anybody tells what it held makes it sound as well, and nothing would be shown.
        older = await scene.leader()
        fault = await scene.begin("kill", older, folder="older")
        await scene.writes()
        still = await scene.begin("stop", await scene.leader(but=older))
        third = next(name for name in scene.world.hosts if name not in (older, *still.who))
        await scene.leaderless(third)
        await scene.end(fault)
        await scene.says(older, "record_standing", "REPLACED")
        await scene.end(still)
        await scene.settled()
        names["older"] = older
        for folder, name in zip(("emptied", "other"), (third, *still.who), strict=True):
            await scene.writes()
            fault = await scene.begin("kill", name, folder=folder)
            await scene.writes()
            await scene.end(fault)
            await scene.says(name, "record_standing", "REPLACED")
            await scene.settled()
            names[folder] = name
        await scene.writes()

    names: dict[str, str] = {}
    scene, _, logs = joined("schedulers = 3\n" + FLEET, play)
    for folder, said in (("older", "heard of entry"), ("emptied", "knows another folder"), ("other", "")):
        told = events(logs[names[folder]], "record_standing")
        stood = [line["standing"] for line in told]
        assert "REPLACED" in stood and stood[-1] == "VOTING", (folder, stood)
        assert any(said in line["why"] for line in told), (folder, told)
    problems = [line["problem"] for line in events(logs[names["other"]], "record_folder")]
    others = [name for name in logs if name != names["other"]]
    assert any(f"the folder is {name}'s" in problem for name in others for problem in problems), problems
    assert scene.written() > 100


def shows_lying_disks_lose_no_answered_write_and_hold_up_no_txn() -> None:
    async def play(scene: Scene) -> None:
        await scene.settled()
        torn = await scene.begin("disk", "s1", how="torn")
        await scene.end(torn)
        await scene.settled()
        await scene.writes()
        killed = await scene.begin("kill", "s1")  # only now what was torn is
        await scene.writes()
        await scene.end(killed)
        await scene.settled()
        full = await scene.begin("disk", "s2", how="full")
        await scene.end(full)
        await scene.says("s2", "record_disk", "full")
        await asyncio.sleep(5.0)  # in which it tries again each second
        await scene.settled("s2")
        await scene.writes()
        once = await scene.begin("disk", "s0", how="once")
        await scene.end(once)
        await scene.says("s0", "record_disk", "once")
        await scene.settled("s2")
        await scene.writes()

    scene, _, logs = joined("schedulers = 3\n" + FLEET, play)
    said = events(logs["s2"], "record_disk")
    assert len(said) < 4, said  # once, not with each try
    assert scene.written() > 80, scene.written()
    assert served(scene) > 0.95, served(scene)


def shows_disks_that_hang_hold_up_no_txn() -> None:
    async def play(scene: Scene) -> None:
        marks = [node.folder / HUNG for node in scene.world.nodes.values()]

        async def two_hang() -> bool:
            return sum(mark.with_suffix(HUNG_SUFFIX).exists() for mark in marks) >= 2

        await scene.settled()
        await scene.writes()
        for mark in marks:
            mark.touch()
        await scene.end(await scene.begin("disk", "s0 s1 s2", how=HUNG))
        await scene.until("two disks that hang", two_hang)
        before = scene.written()
        await scene.served()  # a loop that waited for its disk would serve none
        assert scene.written() == before, "a write was answered that no disk has"
        for mark in marks:
            mark.unlink()
        await scene.writes()

    joined("schedulers = 3\n" + FLEET, play)


def shows_a_lost_majority_holds_up_no_txn() -> None:
    async def play(scene: Scene) -> None:
        async def refused() -> bool:
            return (await scene.doors[0].call("s0", "POST", "/record/other", b"x"))[0] != 200

        await scene.settled()
        await scene.writes()
        cut = await scene.begin("cut", "s0 s1 s2", to=["s0", "s1", "s2"])
        await scene.until("a write that is refused", refused)
        before = scene.written()
        await scene.served()
        assert scene.written() == before, "a write was answered without a majority"
        await scene.end(cut)
        await scene.settled()
        await scene.writes()

    joined("schedulers = 3\n" + FLEET, play)


def shows_the_door_tells_who_is_there_and_a_scheduler_outside_a_fleet_says_so() -> None:
    seen: dict[str, tuple[int, str]] = {}

    async def play(scene: Scene) -> None:
        async def told() -> bool:
            seen["s3"] = await scene.doors[0].call("s3", "GET", "/fleet")
            lines = table(json.loads(seen["s3"][1])) if seen["s3"][0] == 200 else []
            dead = any("s2" in line and "DEAD" in line for line in lines)
            return dead and any("record: LEARNER" in line and "leader s" in line for line in lines)

        await scene.settled()
        killed = await scene.begin("kill", "s2")
        await scene.until("s2's death and a leader in s3's table", told)
        seen["no key"] = await scene.doors[0].call("s3", "GET", "/record/none")
        seen["method"] = await scene.doors[0].call("s3", "POST", "/fleet")
        await scene.end(killed)

    joined("schedulers = 4\n" + FLEET, play)
    assert seen["no key"][0] == 404 and seen["method"][0] == 405, seen
