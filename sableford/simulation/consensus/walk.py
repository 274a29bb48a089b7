"""Seeded random walks of the replicated log in simulated time, with crashes, disk faults, partitions and
message loss, and the invariants that must hold throughout.

A walk keeps to the faults that `docs/fleet.md` promises to survive.
"""

from collections.abc import Callable
from random import Random

import msgspec

from sableford.consensus import effects as raft_effects
from sableford.consensus.effects import Committed, LogEvent, ProposalResult
from sableford.consensus.log_files import LogFiles
from sableford.consensus.messages import Kind
from sableford.consensus.raft_node import RaftNode, put
from sableford.fleet.simulation import ClusterSimulation

DISK_FAULTS = ("torn", "flip", "flip_end", "lost", "older", "emptied")
FLUSH_MS = (0.5, 30.0)  # ms of one flush, at least and at most
SETTLE_MS = 6000.0  # ms after the last fault within which all nodes must agree
PROPOSAL_INTERVAL_MS = 40.0  # ms between proposals
FAULT_INTERVAL_MS = 250.0  # ms between faults


class InvariantError(AssertionError):
    """An invariant was violated."""


class MemoryDisk:
    """Files of one folder: their current content, and what a crash of the machine leaves of it."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.durable: dict[str, bytes] = {}
        self.flushed: list[dict[str, bytes]] = []  # the durable files after each of the last flushes
        self.error: str = ""

    def list_names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def _check(self) -> None:
        if self.error:
            raise OSError(self.error)

    def append(self, name: str, data: bytes) -> None:
        self._check()
        self.files[name] = self.files.get(name, b"") + data

    def sync(self, name: str) -> None:
        self._check()
        self.durable[name] = self.files[name]
        self.flushed = [*self.flushed[-30:], dict(self.durable)]

    def write(self, name: str, data: bytes) -> None:
        self._check()
        self.files[name] = self.durable[name] = data
        self.flushed = [*self.flushed[-30:], dict(self.durable)]

    def write_unsynced(self, name: str, data: bytes) -> None:
        self.files[name] = self.durable[name] = data

    def remove(self, name: str) -> None:
        self.files.pop(name, None)
        self.durable.pop(name, None)

    def crash(self, random: Random, disk_fault: str = "") -> None:
        """Loses all or part of what was not flushed, and with a disk fault durable data as well."""
        files = dict(self.durable)
        logs = [name for name in files if name.startswith("log-")]
        log = max(logs, key=lambda name: int(name[4:]), default="")
        more = self.files.get(log, b"")[len(files.get(log, b"")) :]
        if log and random.random() < 0.5:  # a part of the unflushed data reached the disk
            files[log] += more[: random.randrange(len(more) + 1)]
        text = files.get(log, b"")
        if disk_fault == "torn" and len(text) > 200:
            files[log] = text[: len(text) - random.randint(1, 60)]
        elif disk_fault == "flip" and len(text) > 300:
            at = random.randrange(60, len(text) - 60)
            files[log] = text[:at] + bytes([text[at] ^ 4]) + text[at + 1 :]
        elif disk_fault == "flip_end" and len(text) > 200:
            files[log] = text[:-5] + bytes([text[-5] ^ 1]) + text[-4:]
        elif disk_fault in ("lost", "older") and self.flushed:
            files = dict(self.flushed[max(0, len(self.flushed) - (3 if disk_fault == "lost" else 20))])
        elif disk_fault == "emptied":
            files = {}
        self.files, self.durable, self.flushed = dict(files), dict(files), []


class Walk:
    """One walk. At most one voter's folder is faulty at a time, while the other voters can be reached."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 1,
        loss: float = 0.05,
        disk_faults: tuple[str, ...] = DISK_FAULTS,
        make_node: Callable[..., RaftNode] = RaftNode,
        value_bytes: int = 0,
    ) -> None:
        """`value_bytes`: padding of each proposed value."""
        self._padding = b" " * value_bytes
        self.random, self.disk_faults, self._make_node = Random(f"walk {seed}"), disk_faults, make_node
        self.seed, self.loss = seed, loss
        self.simulation = ClusterSimulation(seed, 2.0, loss)
        self.simulation.on_effect = self._seen
        self.voters = [f"v{at}" for at in range(voters)]
        self.names = [*self.voters, *(f"l{at}" for at in range(learners))]
        self.disks = {name: MemoryDisk() for name in self.names}
        self.log_files: dict[str, LogFiles] = {}
        self.starts = 0
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, object] = {}
        self.acked: dict[int, int] = {}  # proposals acknowledged: index by proposal
        # By node and number: the number of the proposal, or the least index that a read must see.
        self.pending: dict[tuple[str, int], tuple[int, int | None]] = {}
        self.proposals = self.reads = self.leader_changes = 0
        self.events: list[str] = []
        self.faulty_voter: str = ""  # the voter that had a disk fault and does not vote again yet
        for name in self.names:
            self.start(name)

    # Processes

    def start(self, name: str) -> None:
        self.starts += 1
        log_file = LogFiles(self.disks[name], name)
        found = log_file.open()
        self.log_files[name] = log_file
        node = self._make_node(name, self.starts, self.voters, found.held, self.simulation.now, self.seed)
        self.events.append(f"{self.simulation.now:.0f} {name} starts: {found.said}")
        self.simulation.add(node)
        if found.failed:
            self._fail(name, node, found.failed)

    def _fail(self, name: str, node: RaftNode, why: str) -> None:
        simulation = self.simulation
        simulation.apply(name, node.handle_disk_failure(simulation.now, why))

        def again() -> None:
            if simulation.nodes[name] is node:
                simulation.apply(name, node.rewrite())

        simulation.schedule(simulation.now + 500.0, name, again)

    def crash(self, name: str, disk_fault: str = "") -> None:
        self.events.append(f"{self.simulation.now:.0f} {name} crashes, {disk_fault or 'no disk fault'}")
        self.simulation.kill(name)
        self.disks[name].crash(self.random, disk_fault)
        self.pending = {key: value for key, value in self.pending.items() if key[0] != name}
        if disk_fault:
            self.faulty_voter = name

    def _seen(self, name: str, effect: object) -> None:
        match effect:
            case raft_effects.Persist(number, writes):
                self._persist(name, number, writes)
            case Committed(index, entry, _):
                if self.committed.setdefault(index, entry) != entry:
                    raise InvariantError(
                        f"{name} commits {entry} at index {index}, another {self.committed[index]}"
                    )
            case ProposalResult(number, yes, index, _):
                self._answer(name, number, yes, index)
            case LogEvent("record_leader", fields) if fields["leader"] == name:
                if self.leaders.setdefault(fields["term"], name) != name:
                    raise InvariantError(
                        f"{name} and {self.leaders[fields['term']]} both lead term {fields['term']}"
                    )
                self.leader_changes += 1
                self.events.append(f"{self.simulation.now:.0f} {name} leads term {fields['term']}")
            case LogEvent(event, fields):
                self.events.append(f"{self.simulation.now:.0f} {name} {event} {fields}")
                if (
                    event == "record_standing"
                    and fields["standing"] == "VOTING"
                    and name == self.faulty_voter
                ):
                    self.faulty_voter = ""

    def _persist(self, name: str, number: int, writes: tuple) -> None:
        log_file, node = self.log_files[name], self.simulation.nodes[name]

        def done() -> None:
            if self.simulation.nodes[name] is not node:
                return
            try:
                log_file.persist(writes)
            except OSError as problem:
                self._fail(name, node, str(problem))
                return
            self.simulation.apply(name, node.handle_persisted(self.simulation.now, number))

        # One after the other, as on one worker thread.
        free = getattr(log_file, "free_at", 0.0)
        log_file.free_at = max(free, self.simulation.now) + self.random.uniform(*FLUSH_MS)
        self.simulation.schedule(log_file.free_at, name, done)

    # Proposals and reads

    def propose(self, name: str) -> None:
        node = self.simulation.nodes[name]
        if name in self.simulation.killed or name in self.simulation.paused:
            return
        if self.random.random() < 0.3:
            number, effects = node.propose(self.simulation.now, None)
            self.pending[name, number] = 0, max(self.acked.values(), default=0)
            self.reads += 1
        else:
            self.proposals += 1
            key = f"k{self.random.randrange(5)}"
            number, effects = node.propose(
                self.simulation.now, put(key, b"%d" % self.proposals + self._padding)
            )
            self.pending[name, number] = self.proposals, None
        self.simulation.apply(name, effects)

    def _answer(self, name: str, number: int, yes: bool, index: int) -> None:
        proposal, least = self.pending.pop((name, number), (0, None))
        if not yes:
            return
        if least is not None:
            if index < least:
                raise InvariantError(f"{name} read at index {index}, after {least} was acknowledged")
        elif proposal:
            self.acked[proposal] = index

    # Faults

    def step(self) -> None:
        """Causes one fault, or ends some."""
        name, simulation = self.random.choice(self.names), self.simulation
        dead = [one for one in self.voters if one in simulation.killed]
        kind = self.random.choice(
            ["crash", "start", "start", "stop", "go_on", "cut", "heal", "heal", "disk_fault", "fail"]
        )
        if kind == "crash" and name not in simulation.killed and len(dead) < len(self.voters):
            self.crash(name)
        elif kind == "disk_fault" and self.disk_faults and name in self.voters and self._may_fault_disk(name):
            self.crash(name, self.random.choice(self.disk_faults))
            self.start(name)
        elif kind == "start" and name in simulation.killed:
            self.start(name)
        elif kind == "stop" and name not in simulation.killed and name not in simulation.paused:
            simulation.pause(name)
        elif kind == "go_on" and name in simulation.paused:
            simulation.resume(name)
        elif kind == "cut":
            apart, one_way = {name, self.random.choice(self.names)}, self.random.random() < 0.3
            simulation.is_cut = lambda start, end: (start in apart) != (end in apart) and (
                not one_way or start in apart
            )
        elif kind == "heal":
            simulation.is_cut = lambda start, end: False
        elif kind == "fail" and name not in simulation.killed:
            self.disks[name].error = "" if self.disks[name].error else "No space left on device"

    def _may_fault_disk(self, name: str) -> bool:
        """Whether all other voters run, can be reached and vote, and no earlier disk fault is unresolved."""
        others = [one for one in self.voters if one != name]
        up = all(one not in self.simulation.killed and one not in self.simulation.paused for one in others)
        sound = all(self.simulation.nodes[one].standing is raft_effects.Standing.VOTING for one in others)
        cut = any(
            self.simulation.is_cut(one, two) for one in self.voters for two in self.voters if one != two
        )
        return up and sound and not cut and not self.faulty_voter and name not in self.simulation.killed

    def run(self, steps: int) -> None:
        """Raises InvariantError if an invariant is violated or the nodes do not agree at the end."""
        next_proposal = 500.0
        self.simulation.run(2500.0)
        for _ in range(steps):
            until = self.simulation.now + self.random.uniform(0.2, 2.0) * FAULT_INTERVAL_MS
            while next_proposal < until:
                self.simulation.run(max(next_proposal, self.simulation.now))
                self.propose(self.random.choice(self.names))
                next_proposal = self.simulation.now + self.random.uniform(0.3, 2.0) * PROPOSAL_INTERVAL_MS
            self.simulation.run(until)
            self.step()
        self.settle()

    def settle(self) -> None:
        self.simulation.is_cut = lambda start, end: False
        self.simulation.loss = 0.0
        for name in self.names:
            self.disks[name].error = ""
            if name in self.simulation.killed:
                self.start(name)
            elif name in self.simulation.paused:
                self.simulation.resume(name)
        self.simulation.run(self.simulation.now + SETTLE_MS)
        before = len(self.acked)
        for name in self.names:
            node = self.simulation.nodes[name]
            self.proposals += 1
            number, effects = node.propose(self.simulation.now, put("last", name.encode()))
            self.pending[name, number] = self.proposals, None
            self.simulation.apply(name, effects)
        self.simulation.run(self.simulation.now + SETTLE_MS / 2.0)
        if len(self.acked) < before + len(self.names):
            raise InvariantError(
                f"after all faults {len(self.acked) - before} of {len(self.names)} proposals were committed"
            )
        commits = {name: self.simulation.nodes[name].commit for name in self.names}
        if len(set(commits.values())) > 1:
            raise InvariantError(f"after all faults the commit indexes differ: {commits}")
        images = {
            msgspec.msgpack.encode(node.state_machine.values) for node in self.simulation.nodes.values()
        }
        if len(images) > 1:
            raise InvariantError("the same entries led to different values")
        gone = [index for index in self.acked.values() if index > min(commits.values())]
        entries = {index for index, entry in self.committed.items() if entry.kind == Kind.PUT}
        if gone or not set(self.acked.values()) <= entries:
            raise InvariantError(
                f"acknowledged but not committed: {gone or set(self.acked.values()) - entries}"
            )
