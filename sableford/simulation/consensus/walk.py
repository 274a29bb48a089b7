"""Seeded walks of the record in simulated time: crashes, lying disks, cuts and losses, and what must hold
all along.

It owns the memory disk with its lies, and the checks. A walk stays within what `docs/fleet.md` promises,
unless it is asked not to.
"""

from collections.abc import Callable
from random import Random

import msgspec

from sableford.consensus import effects as raft_effects
from sableford.consensus.effects import Committed, LogEvent, ProposalResult
from sableford.consensus.log_files import LogFiles
from sableford.consensus.messages import Kind
from sableford.consensus.raft_node import RaftNode, put
from sableford.fleet.trial import Trial

LIES = ("torn", "flip", "flip_end", "lost", "older", "emptied")
FLUSH = (0.5, 30.0)  # ms of one flush
REST = 6000.0  # ms after all faults for the walk to end in agreement
PROPOSAL_INTERVAL = 40.0  # ms between two proposals
STEP = 250.0  # ms between two faults


class Wrong(AssertionError):
    """What must hold did not."""


class MemoryDisk:
    """Files of one folder: as they are, and as a crash of the machine leaves them."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.kept: dict[str, bytes] = {}
        self.past: list[dict[str, bytes]] = []  # as it was at each flush
        self.fails: str = ""

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def _check(self) -> None:
        if self.fails:
            raise OSError(self.fails)

    def append(self, name: str, data: bytes) -> None:
        self._check()
        self.files[name] = self.files.get(name, b"") + data

    def sync(self, name: str) -> None:
        self._check()
        self.kept[name] = self.files[name]
        self.past = [*self.past[-30:], dict(self.kept)]

    def write(self, name: str, data: bytes) -> None:
        self._check()
        self.files[name] = self.kept[name] = data
        self.past = [*self.past[-30:], dict(self.kept)]

    def note(self, name: str, data: bytes) -> None:
        self.files[name] = self.kept[name] = data

    def remove(self, name: str) -> None:
        self.files.pop(name, None)
        self.kept.pop(name, None)

    def crash(self, draw: Random, lie: str = "") -> None:
        """What was not flushed goes, or only a part of it; and a lie takes more than that."""
        files = dict(self.kept)
        logs = [name for name in files if name.startswith("log-")]
        log = max(logs, key=lambda name: int(name[4:]), default="")
        more = self.files.get(log, b"")[len(files.get(log, b"")) :]
        if log and draw.random() < 0.5:  # some of what was under way reached the disk
            files[log] += more[: draw.randrange(len(more) + 1)]
        text = files.get(log, b"")
        if lie == "torn" and len(text) > 200:
            files[log] = text[: len(text) - draw.randint(1, 60)]
        elif lie == "flip" and len(text) > 300:
            at = draw.randrange(60, len(text) - 60)
            files[log] = text[:at] + bytes([text[at] ^ 4]) + text[at + 1 :]
        elif lie == "flip_end" and len(text) > 200:
            files[log] = text[:-5] + bytes([text[-5] ^ 1]) + text[-4:]
        elif lie in ("lost", "older") and self.past:
            files = dict(self.past[max(0, len(self.past) - (3 if lie == "lost" else 20))])
        elif lie == "emptied":
            files = {}
        self.files, self.kept, self.past = dict(files), dict(files), []


class Walk:
    """One walk. `promised` keeps it to one lying folder at a time, with the others there to say so."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 1,
        loss: float = 0.05,
        lies: tuple[str, ...] = LIES,
        make: Callable[..., RaftNode] = RaftNode,
        value_bytes: int = 0,
    ) -> None:
        """`value_bytes`: by how much each value offered is longer than its number."""
        self._more = b" " * value_bytes
        self.draw, self.lies, self._make = Random(f"walk {seed}"), lies, make
        self.seed, self.loss = seed, loss
        self.trial = Trial(seed, 2.0, loss)
        self.trial.seen = self._seen
        self.voters = [f"v{at}" for at in range(voters)]
        self.names = [*self.voters, *(f"l{at}" for at in range(learners))]
        self.disks = {name: MemoryDisk() for name in self.names}
        self.stores: dict[str, LogFiles] = {}
        self.starts = 0
        self.led: dict[int, str] = {}
        self.agreed: dict[int, object] = {}
        self.acked: dict[int, int] = {}  # proposals acknowledged: index by proposal
        self.asked: dict[
            tuple[str, int], tuple[int, int | None]
        ] = {}  # proposal, or the least a read has to see
        self.proposals = self.reads = self.changes = 0
        self.story: list[str] = []
        self.lying: str = ""  # who came back from a lie and does not vote again yet
        for name in self.names:
            self.start(name)

    # Processes

    def start(self, name: str) -> None:
        self.starts += 1
        store = LogFiles(self.disks[name], name)
        found = store.open()
        self.stores[name] = store
        core = self._make(name, self.starts, self.voters, found.held, self.trial.now, self.seed)
        self.story.append(f"{self.trial.now:.0f} {name} starts: {found.said}")
        self.trial.add(core)
        if found.failed:
            self._fail(name, core, found.failed)

    def _fail(self, name: str, core: RaftNode, why: str) -> None:
        trial = self.trial
        trial.do(name, core.failed(trial.now, why))

        def again() -> None:
            if trial.cores[name] is core:
                trial.do(name, core.rewrite())

        trial.at(trial.now + 500.0, name, again)

    def crash(self, name: str, lie: str = "") -> None:
        self.story.append(f"{self.trial.now:.0f} {name} crashes, {lie or 'honest'}")
        self.trial.kill(name)
        self.disks[name].crash(self.draw, lie)
        self.asked = {key: value for key, value in self.asked.items() if key[0] != name}
        if lie:
            self.lying = name

    def _seen(self, name: str, effect: object) -> None:
        match effect:
            case raft_effects.Persist(number, writes):
                self._store(name, number, writes)
            case Committed(index, entry, _):
                if self.agreed.setdefault(index, entry) != entry:
                    raise Wrong(f"{name} settles another entry {index}: {entry} beside {self.agreed[index]}")
            case ProposalResult(number, yes, index, _):
                self._answer(name, number, yes, index)
            case LogEvent("record_leader", facts) if facts["leader"] == name:
                if self.led.setdefault(facts["term"], name) != name:
                    raise Wrong(f"{name} and {self.led[facts['term']]} both lead term {facts['term']}")
                self.changes += 1
                self.story.append(f"{self.trial.now:.0f} {name} leads term {facts['term']}")
            case LogEvent(event, facts):
                self.story.append(f"{self.trial.now:.0f} {name} {event} {facts}")
                if event == "record_standing" and facts["standing"] == "VOTING" and name == self.lying:
                    self.lying = ""

    def _store(self, name: str, number: int, writes: tuple) -> None:
        store, core = self.stores[name], self.trial.cores[name]

        def done() -> None:
            if self.trial.cores[name] is not core:
                return
            try:
                store.keep(writes)
            except OSError as problem:
                self._fail(name, core, str(problem))
                return
            self.trial.do(name, core.stored(self.trial.now, number))

        # One after the other, as one hand does it.
        free = getattr(store, "free_at", 0.0)
        store.free_at = max(free, self.trial.now) + self.draw.uniform(*FLUSH)
        self.trial.at(store.free_at, name, done)

    # Proposals and reads

    def propose(self, name: str) -> None:
        core = self.trial.cores[name]
        if name in self.trial.dead or name in self.trial.stopped:
            return
        if self.draw.random() < 0.3:
            number, effects = core.propose(self.trial.now, None)
            self.asked[name, number] = 0, max(self.acked.values(), default=0)
            self.reads += 1
        else:
            self.proposals += 1
            key = f"k{self.draw.randrange(5)}"
            number, effects = core.propose(self.trial.now, put(key, b"%d" % self.proposals + self._more))
            self.asked[name, number] = self.proposals, None
        self.trial.do(name, effects)

    def _answer(self, name: str, number: int, yes: bool, index: int) -> None:
        proposal, least = self.asked.pop((name, number), (0, None))
        if not yes:
            return
        if least is not None:
            if index < least:
                raise Wrong(f"{name} read up to {index}, and {least} was acknowledged before it asked")
        elif proposal:
            self.acked[proposal] = index

    # The walk

    def step(self) -> None:
        """One fault, or the end of some."""
        name, trial = self.draw.choice(self.names), self.trial
        dead = [one for one in self.voters if one in trial.dead]
        kind = self.draw.choice(
            ["crash", "start", "start", "stop", "go_on", "cut", "heal", "heal", "lie", "fail"]
        )
        if kind == "crash" and name not in trial.dead and len(dead) < len(self.voters):
            self.crash(name)
        elif kind == "lie" and self.lies and name in self.voters and self._may_lie(name):
            self.crash(name, self.draw.choice(self.lies))
            self.start(name)
        elif kind == "start" and name in trial.dead:
            self.start(name)
        elif kind == "stop" and name not in trial.dead and name not in trial.stopped:
            trial.stop(name)
        elif kind == "go_on" and name in trial.stopped:
            trial.go_on(name)
        elif kind == "cut":
            apart, one_way = {name, self.draw.choice(self.names)}, self.draw.random() < 0.3
            trial.cut = lambda start, end: (start in apart) != (end in apart) and (
                not one_way or start in apart
            )
        elif kind == "heal":
            trial.cut = lambda start, end: False
        elif kind == "fail" and name not in trial.dead:
            self.disks[name].fails = "" if self.disks[name].fails else "No space left on device"

    def _may_lie(self, name: str) -> bool:
        """The others live, can be reached, and none of them has lied and not come back."""
        others = [one for one in self.voters if one != name]
        up = all(one not in self.trial.dead and one not in self.trial.stopped for one in others)
        sound = all(self.trial.cores[one].standing is raft_effects.Standing.VOTING for one in others)
        cut = any(self.trial.cut(one, two) for one in self.voters for two in self.voters if one != two)
        return up and sound and not cut and not self.lying and name not in self.trial.dead

    def run(self, steps: int) -> None:
        """Raises Wrong where something does not hold; else all agree at the end."""
        next_proposal = 500.0
        self.trial.run(2500.0)
        for _ in range(steps):
            until = self.trial.now + self.draw.uniform(0.2, 2.0) * STEP
            while next_proposal < until:
                self.trial.run(max(next_proposal, self.trial.now))
                self.propose(self.draw.choice(self.names))
                next_proposal = self.trial.now + self.draw.uniform(0.3, 2.0) * PROPOSAL_INTERVAL
            self.trial.run(until)
            self.step()
        self.settle()

    def settle(self) -> None:
        self.trial.cut = lambda start, end: False
        self.trial.loss = 0.0
        for name in self.names:
            self.disks[name].fails = ""
            if name in self.trial.dead:
                self.start(name)
            elif name in self.trial.stopped:
                self.trial.go_on(name)
        self.trial.run(self.trial.now + REST)
        before = len(self.acked)
        for name in self.names:
            core = self.trial.cores[name]
            self.proposals += 1
            number, effects = core.propose(self.trial.now, put("last", name.encode()))
            self.asked[name, number] = self.proposals, None
            self.trial.do(name, effects)
        self.trial.run(self.trial.now + REST / 2.0)
        if len(self.acked) < before + len(self.names):
            raise Wrong(
                f"with all well again {len(self.acked) - before} of {len(self.names)} offers are taken"
            )
        commits = {name: self.trial.cores[name].commit for name in self.names}
        if len(set(commits.values())) > 1:
            raise Wrong(f"with all well again they stand at {commits}")
        images = {msgspec.msgpack.encode(core.state_machine.values) for core in self.trial.cores.values()}
        if len(images) > 1:
            raise Wrong("one order of entries, and different values")
        gone = [index for index in self.acked.values() if index > min(commits.values())]
        entries = {index for index, entry in self.agreed.items() if entry.kind == Kind.PUT}
        if gone or not set(self.acked.values()) <= entries:
            raise Wrong(f"acknowledged and not there: {gone or set(self.acked.values()) - entries}")
