"""A few members' records over a long day in simulated time: how their logs, snapshots and messages grow.

It owns simulated members whose disks are as `sableford.control` lays them out, and the measuring. Bytes
are those of real messages and keys; a message takes about `WAY` whatever its length, a write `SYNC`.
"""

import sys
from collections.abc import Callable, Iterable

import msgspec

from sableford.consensus.constants import STREAMS, Transport
from sableford.consensus.effects import Committed, LogEvent, Persist, ProposalResult, SnapshotInstalled
from sableford.consensus.raft_node import RaftNode, put
from sableford.control.record_storage import RecordStorage
from sableford.fleet.trial import Trial

SYNC = 2.0  # ms of one write
WAY = 5.0  # ms of a message, half as much to half as much again
MOST = 1_048_576  # bytes of one value


class Member:
    """One member's disk, and what its host saw of its record."""

    def __init__(self) -> None:
        self.file: dict[bytes, bytes] = {}
        self.storage = RecordStorage([])
        self.settled: list[int] = []
        self.said: list[LogEvent] = []
        self.answers: dict[int, ProposalResult] = {}
        self.full = False  # its disk refuses

    def open(self) -> None:
        self.storage = RecordStorage(list(self.file.items()))

    def write(self, puts: Iterable[tuple[bytes, bytes | None]]) -> None:
        for key, value in puts:
            if value is None:
                self.file.pop(key, None)
            else:
                self.file[key] = value


class Group:
    """Members by name; all vote at first."""

    def __init__(
        self,
        names: Iterable[str],
        transport: Transport = STREAMS,
        make: Callable[..., RaftNode] = RaftNode,
        seed: int = 1,
        loss: float = 0.0,
    ) -> None:
        self.names, self.transport, self._make = list(names), transport, make
        self.trial = Trial(seed, WAY, loss, lambda message: len(msgspec.json.encode(message)))
        self.trial.seen = self._seen
        self.members: dict[str, Member] = {}
        self._births = 0
        for name in self.names:
            self.start(name)

    @property
    def cores(self) -> dict[str, RaftNode]:
        return self.trial.cores

    def start(self, name: str, wiped: bool = False, newcomer: bool = False) -> RaftNode:
        """A process of that name: new, or after `kill`; `wiped` with an empty folder, `newcomer` the first of
        its name."""
        self._births += 1
        member = self.members.setdefault(name, Member())
        if wiped:
            member.file.clear()
        member.open()
        core = self._make(
            name,
            self._births,
            self.names,
            member.storage.stored_state,
            self.trial.now,
            7,
            most=MOST,
            newcomer=wiped or newcomer,
            transport=self.transport,
        )
        if member.storage.is_new:
            member.write(member.storage.initial_write(self.names))
        core.around = tuple(self.members)
        for other in self.cores.values():
            other.around = tuple(self.members)
        self.trial.add(core)
        return core

    def kill(self, name: str) -> None:
        self.trial.kill(name)

    def run(self, ms: float, until: Callable[[], bool] = lambda: False) -> bool:
        end = self.trial.now + ms
        while self.trial.now < end and not until():
            self.trial.run(min(end, self.trial.now + 5.0))
        return until()

    def leader(self) -> RaftNode | None:
        """The one that leads the newest term, its voters agreed on."""
        leads = [core for name, core in self.cores.items() if core.leads and name not in self.trial.dead]
        leader = max(leads, key=lambda core: core.term, default=None)
        return leader if leader is not None and leader.stable_voters() is not None else None

    def led(self) -> RaftNode:
        assert self.run(10_000.0, lambda: self.leader() is not None), "nobody leads"
        return self.leader()

    def want(self, names: Iterable[str]) -> None:
        for core in self.cores.values():
            core.wanted = tuple(names)

    def propose(self, name: str, data: bytes | None) -> int:
        number, effects = self.cores[name].propose(self.trial.now, data)
        self.trial.do(name, effects)
        return number

    def agreed(self, data: bytes, within: float = 5000.0) -> bool:
        """Whether something offered to the leader is agreed on in time."""
        name = self.led().name
        number = self.propose(name, data)
        answers = self.members[name].answers
        return self.run(within, lambda: number in answers) and answers[number].yes

    def _seen(self, name: str, effect: object) -> None:
        member, core = self.members[name], self.cores[name]
        match effect:
            case Persist():
                self.trial.at(self.trial.now + SYNC, name, lambda: self._store(name, core, effect))
            case Committed(index):
                member.settled.append(index)
            case SnapshotInstalled(index):
                member.settled.append(index)
            case LogEvent():
                member.said.append(effect)
            case ProposalResult(number):
                member.answers[number] = effect

    def _store(self, name: str, core: RaftNode, store: Persist) -> None:
        if self.cores[name] is not core:
            return
        member = self.members[name]
        if member.full:
            self.trial.do(name, core.failed(self.trial.now, "No space left on device"))
            self.trial.at(self.trial.now + 1000.0, name, lambda: self.trial.do(name, core.rewrite()))
            return
        member.write(member.storage.make_write(store.writes, store.number))
        member.storage.write_succeeded(store.number)
        self.trial.do(name, core.stored(self.trial.now, store.number))


class Figures(msgspec.Struct):
    """What a day of so many changes comes to."""

    changes: int
    value_bytes: int
    disk_bytes: int  # of one member's record
    entries: int  # kept in memory
    log_bytes: int  # of their data
    image_bytes: int  # of the snapshot, encoded
    sent_bytes: int  # by all others, changes included, until a member that lost its folder had caught up
    caught_up_ms: float | None  # none: not within a minute


def measure(changes: int, value_bytes: int, transport: Transport = STREAMS) -> Figures:
    """So many changes of a value of that size, then one member loses its folder while they go on."""
    group = Group("abc", transport)
    for number in range(changes):
        assert group.agreed(_value(number, value_bytes)), number
    group.run(500.0)
    leader = group.led()
    file = group.members[leader.name].file
    disk = sum(len(key) + len(value) for key, value in file.items())
    entries, log = len(leader.entries), sum(len(entry.data) for entry in leader.entries)
    snapshot = len(msgspec.msgpack.encode(leader.snapshot)) if leader.snapshot is not None else 0
    wiped = next(name for name in group.names if name != leader.name)
    group.kill(wiped)
    group.run(200.0)
    before, began = dict(group.trial.bytes), group.trial.now
    core = group.start(wiped, wiped=True)
    took = None
    while group.trial.now - began < 60_000.0:
        changes += 1
        group.propose(group.led().name, _value(changes, value_bytes))
        # A voter again, with all that is agreed on.
        group.run(500.0, lambda: _caught_up(group, core))
        if _caught_up(group, core):
            took = group.trial.now - began
            break
    sent = sum(group.trial.bytes[name] - before[name] for name in group.names if name != wiped)
    return Figures(changes, value_bytes, disk, entries, log, snapshot, sent, took)


def _caught_up(group: Group, core: RaftNode) -> bool:
    leader = group.leader()
    if leader is None or leader.voters().get(core.name) != core.id:
        return False
    return core.standing.name == "VOTING" and core.commit >= leader.commit


def _value(number: int, size: int) -> bytes:
    text = b"%d " % number
    return put("config", text + b"x" * (size - len(text)))


if __name__ == "__main__":
    for count in (300, 1100, 5000):
        print(msgspec.json.encode(measure(count, int(sys.argv[1]) if len(sys.argv) > 1 else 50_000)).decode())
