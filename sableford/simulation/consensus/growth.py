"""Simulated group of nodes under many changes, to measure the growth of logs, snapshots and messages.

The disk layout is that of `sableford.control`, and sizes are those of real messages and keys. A message takes
about `MESSAGE_MS` regardless of its size, a write `WRITE_MS`.
"""

import sys
from collections.abc import Callable, Iterable

import msgspec

from sableford.consensus.constants import STREAMS, Transport
from sableford.consensus.effects import Committed, LogEvent, Persist, ProposalResult, SnapshotInstalled
from sableford.consensus.raft_node import RaftNode, put
from sableford.control.record_storage import RecordStorage
from sableford.fleet.simulation import ClusterSimulation

WRITE_MS = 2.0  # ms of one write
MESSAGE_MS = 5.0  # ms of a message, randomized from half to one and a half
MAX_VALUE_BYTES = 1_048_576  # bytes of one value


class Member:
    """One member's disk, and the effects that its host received."""

    def __init__(self) -> None:
        self.stored: dict[bytes, bytes] = {}
        self.storage = RecordStorage([])
        self.committed: list[int] = []
        self.events: list[LogEvent] = []
        self.answers: dict[int, ProposalResult] = {}
        self.disk_full = False  # writes fail as on a full disk

    def open(self) -> None:
        self.storage = RecordStorage(list(self.stored.items()))

    def write(self, puts: Iterable[tuple[bytes, bytes | None]]) -> None:
        for key, value in puts:
            if value is None:
                self.stored.pop(key, None)
            else:
                self.stored[key] = value


class Group:
    """A simulated group of members, initially all voters."""

    def __init__(
        self,
        names: Iterable[str],
        transport: Transport = STREAMS,
        make_node: Callable[..., RaftNode] = RaftNode,
        seed: int = 1,
        loss: float = 0.0,
    ) -> None:
        self.names, self.transport, self._make_node = list(names), transport, make_node
        self.simulation = ClusterSimulation(
            seed, MESSAGE_MS, loss, lambda message: len(msgspec.json.encode(message))
        )
        self.simulation.on_effect = self._seen
        self.members: dict[str, Member] = {}
        self._incarnations = 0
        for name in self.names:
            self.start(name)

    @property
    def nodes(self) -> dict[str, RaftNode]:
        return self.simulation.nodes

    def start(self, name: str, wiped: bool = False, newcomer: bool = False) -> RaftNode:
        """Starts a process of that name, new or after `kill`. `wiped`: with an emptied folder; `newcomer`: a
        new member of an existing group."""
        self._incarnations += 1
        member = self.members.setdefault(name, Member())
        if wiped:
            member.stored.clear()
        member.open()
        node = self._make_node(
            name,
            self._incarnations,
            self.names,
            member.storage.stored_state,
            self.simulation.now,
            7,
            max_value_bytes=MAX_VALUE_BYTES,
            newcomer=wiped or newcomer,
            transport=self.transport,
        )
        if member.storage.is_new:
            member.write(member.storage.initial_write(self.names))
        node.known_members = tuple(self.members)
        for other in self.nodes.values():
            other.known_members = tuple(self.members)
        self.simulation.add(node)
        return node

    def kill(self, name: str) -> None:
        self.simulation.kill(name)

    def run(self, ms: float, until: Callable[[], bool] = lambda: False) -> bool:
        end = self.simulation.now + ms
        while self.simulation.now < end and not until():
            self.simulation.run(min(end, self.simulation.now + 5.0))
        return until()

    def leader(self) -> RaftNode | None:
        """The leader of the newest term, if its voters are committed."""
        leads = [
            node for name, node in self.nodes.items() if node.is_leader and name not in self.simulation.killed
        ]
        leader = max(leads, key=lambda node: node.term, default=None)
        return leader if leader is not None and leader.stable_voters() is not None else None

    def wait_for_leader(self) -> RaftNode:
        assert self.run(10_000.0, lambda: self.leader() is not None), "no leader was elected"
        return self.leader()

    def set_wanted_voters(self, names: Iterable[str]) -> None:
        for node in self.nodes.values():
            node.wanted_voters = tuple(names)

    def propose(self, name: str, data: bytes | None) -> int:
        number, effects = self.nodes[name].propose(self.simulation.now, data)
        self.simulation.apply(name, effects)
        return number

    def commit(self, data: bytes, within: float = 5000.0) -> bool:
        """Proposes data to the leader; whether it is committed in time."""
        name = self.wait_for_leader().name
        number = self.propose(name, data)
        answers = self.members[name].answers
        return self.run(within, lambda: number in answers) and answers[number].accepted

    def _seen(self, name: str, effect: object) -> None:
        member, node = self.members[name], self.nodes[name]
        match effect:
            case Persist():
                self.simulation.schedule(
                    self.simulation.now + WRITE_MS, name, lambda: self._complete_write(name, node, effect)
                )
            case Committed(index):
                member.committed.append(index)
            case SnapshotInstalled(index):
                member.committed.append(index)
            case LogEvent():
                member.events.append(effect)
            case ProposalResult(number):
                member.answers[number] = effect

    def _complete_write(self, name: str, node: RaftNode, store: Persist) -> None:
        if self.nodes[name] is not node:
            return
        member = self.members[name]
        if member.disk_full:
            self.simulation.apply(
                name, node.handle_disk_failure(self.simulation.now, "No space left on device")
            )
            self.simulation.schedule(
                self.simulation.now + 1000.0, name, lambda: self.simulation.apply(name, node.rewrite())
            )
            return
        member.write(member.storage.make_write(store.writes, store.number))
        member.storage.write_succeeded(store.number)
        self.simulation.apply(name, node.handle_persisted(self.simulation.now, store.number))


class Measurements(msgspec.Struct):
    """Measurements after a number of changes."""

    changes: int
    value_bytes: int
    disk_bytes: int  # of one member's log and snapshot
    entries: int  # in memory
    log_bytes: int  # of their data
    image_bytes: int  # of the snapshot, encoded
    sent_bytes: int  # by all other members, changes included, until a wiped member had caught up
    caught_up_ms: float | None  # None: not within a minute


def measure(changes: int, value_bytes: int, transport: Transport = STREAMS) -> Measurements:
    """So many changes of a value of that size, then one member loses its folder while they go on."""
    group = Group("abc", transport)
    for number in range(changes):
        assert group.commit(_value(number, value_bytes)), number
    group.run(500.0)
    leader = group.wait_for_leader()
    stored = group.members[leader.name].stored
    disk = sum(len(key) + len(value) for key, value in stored.items())
    entries, log = len(leader.entries), sum(len(entry.data) for entry in leader.entries)
    snapshot = len(msgspec.msgpack.encode(leader.snapshot)) if leader.snapshot is not None else 0
    wiped = next(name for name in group.names if name != leader.name)
    group.kill(wiped)
    group.run(200.0)
    before, began = dict(group.simulation.sent_bytes), group.simulation.now
    node = group.start(wiped, wiped=True)
    took = None
    while group.simulation.now - began < 60_000.0:
        changes += 1
        group.propose(group.wait_for_leader().name, _value(changes, value_bytes))
        # Caught up: a voter again, with all committed entries.
        group.run(500.0, lambda: _caught_up(group, node))
        if _caught_up(group, node):
            took = group.simulation.now - began
            break
    sent = sum(group.simulation.sent_bytes[name] - before[name] for name in group.names if name != wiped)
    return Measurements(changes, value_bytes, disk, entries, log, snapshot, sent, took)


def _caught_up(group: Group, node: RaftNode) -> bool:
    leader = group.leader()
    if leader is None or leader.voters().get(node.name) != node.id:
        return False
    return node.standing.name == "VOTING" and node.commit >= leader.commit


def _value(number: int, size: int) -> bytes:
    text = b"%d " % number
    return put("config", text + b"x" * (size - len(text)))


if __name__ == "__main__":
    for count in (300, 1100, 5000):
        print(msgspec.json.encode(measure(count, int(sys.argv[1]) if len(sys.argv) > 1 else 50_000)).decode())
