"""All orders of a small model of the record: three voters, a few elections, proposals and crashes.

It owns the model's bounds and its states. The cores are the real ones; messages may be late for ever, which
is a loss, and arrive in any order, each disk keeps what it was given in order, one call at a time, and a
crash loses what it has not. A question whether one may lead (pre-vote) and the questions of a process that
starts are exchanged at once, since neither leaves anything behind.
"""

from collections import deque
from collections.abc import Callable, Iterator
from copy import copy
from typing import NamedTuple

import msgspec

from sableford.consensus import effects as raft_effects
from sableford.consensus.effects import (
    AppendToLog,
    Committed,
    HardState,
    LogEvent,
    ReplaceLog,
    Standing,
    StoredState,
    TruncateLog,
)
from sableford.consensus.messages import (
    AppendRequest,
    AppendResponse,
    Entry,
    FetchRequest,
    Kind,
    StartupAnswer,
    StartupQuestion,
    VoteRequest,
    VoteResponse,
)
from sableford.consensus.raft_node import RaftNode, put

NAMES = ("a", "b", "c")
FAR = 100_000.0  # ms between two steps in which time passes: every wait is over
FIRST = Entry(1, Kind.VOTERS, data=msgspec.msgpack.encode({name: f"id-{name}" for name in NAMES}))


class Wrong(AssertionError):
    """What must hold did not; the message has the steps that led there."""


class Bounds(NamedTuple):
    """`stands` names who stands for leader, in this order and at any time: the names are alike, so few
    orders cover all. `slow` disks keep what they are given at any later time, others at once."""

    stands: str = "ac"
    proposals: int = 1
    crashes: str = ""  # who crashes, each once at any time
    slow: str = ""  # whose disk
    states: int = 20_000
    fetches: bool = False  # voters without a leader fetch what was agreed on; else that is late for ever


class _Used(NamedTuple):
    stands: int = 0
    proposals: int = 0
    crashes: str = ""


class _Still:
    """No chance: each wait is as long as it may be, at the least."""

    def random(self) -> float:
        return 0.0

    def choice(self, things: list) -> object:
        return things[0]

    def uniform(self, low: float, high: float) -> float:
        return low

    def getrandbits(self, bits: int) -> int:
        return 7


class State:
    """One state of the model; `steps` is how it came about."""

    def __init__(self, make: Callable[..., RaftNode], bounds: Bounds) -> None:
        self._make, self._bounds = make, bounds
        self.now = 0.0
        self.disks: dict[str, tuple[HardState, tuple[Entry, ...]]] = dict.fromkeys(
            NAMES, (HardState(1, ""), (FIRST,))
        )
        self.queues: dict[str, tuple] = dict.fromkeys(NAMES, ())  # (number, deeds) not yet on disk
        self.messages: tuple = ()  # (from, to, word)
        self.agreed: dict[int, Entry] = {}
        self.led: dict[int, str] = {}
        self.used = _Used()
        self.births = 0
        self.cores: dict[str, RaftNode] = {}
        self.steps: tuple[str, ...] = ()
        for name in NAMES:
            self.cores[name] = self._core(name)
        for name in NAMES:
            self._send_startup_questions(name)

    def _core(self, name: str) -> RaftNode:
        meta, entries = self.disks[name]
        self.births += 1
        held = StoredState(f"id-{name}", meta.term, meta.vote, entries=entries)
        core = self._make(name, self.births, NAMES, held, self.now, 0)
        core._random = _Still()
        return core

    def _send_startup_questions(self, name: str) -> None:
        self.now += FAR
        self.do(name, self.cores[name].tick(self.now))

    def clone(self, step: str) -> "State":
        new = copy(self)
        new.disks, new.queues = dict(self.disks), dict(self.queues)
        new.agreed, new.led = dict(self.agreed), dict(self.led)
        new.cores = {name: _clone(core) for name, core in self.cores.items()}
        new.steps = (*self.steps, step)
        return new

    def key(self) -> tuple:
        """What two states are alike in where they can only go on alike."""
        cores = tuple(
            (
                *(
                    core.term,
                    core.vote,
                    core.leads,
                    core.commit,
                    core.durable,
                    core.standing,
                    core._in_pre_vote,
                ),
                tuple(core.entries),
                tuple(sorted(core._votes.items())),
                tuple((one.next, one.match) for one in core._followers.values()) if core.leads else (),
                tuple(number - core._persist_count for number, _ in core._held_back),
            )
            for core in self.cores.values()
        )
        queues = tuple(tuple(writes for _, writes in queue) for queue in self.queues.values())
        return cores, queues, frozenset(self.messages), tuple(self.disks.values()), self.used

    # What happens

    def do(self, name: str, effects: list) -> None:
        for effect in effects:
            match effect:
                case raft_effects.Persist(number, writes):
                    self.queues[name] = (*self.queues[name], (number, writes))
                    if name not in self._bounds.slow:
                        self.keep(name)
                case raft_effects.Send(to, message):
                    self._send(name, to, message)
                case Committed(index, entry, _):
                    if self.agreed.setdefault(index, entry) != entry:
                        raise Wrong(f"entry {index} settled twice")
                case LogEvent("record_leader", {"leader": leader, "term": term}) if leader == name:
                    if self.led.setdefault(term, name) != name:
                        raise Wrong(f"two lead term {term}")

    def _send(self, name: str, to: str, message: object) -> None:
        at_once = isinstance(message, StartupQuestion | StartupAnswer) or (
            isinstance(message, VoteRequest | VoteResponse) and message.pre
        )
        if at_once:
            if to in self.cores:
                self.do(to, self.cores[to].heard(self.now, name, 0, message))
        elif not isinstance(message, FetchRequest) or self._bounds.fetches:
            if isinstance(
                message, AppendRequest | AppendResponse
            ):  # rounds are for reads, which are not part of the model
                message = msgspec.structs.replace(message, round=0)
            if (name, to, message) not in self.messages:
                self.messages = (*self.messages, (name, to, message))

    def prune(self) -> None:
        """Words that can change nothing any more are as good as lost."""
        self.messages = tuple(message for message in self.messages if self._matters(*message))

    def _matters(self, start: str, to: str, message: object) -> bool:
        core = self.cores[to]
        match message:
            case VoteRequest():
                return message.term > core.term or (message.term == core.term and core.vote in ("", start))
            case VoteResponse():
                counts = message.yes and message.term == core.term and bool(core._votes) and not core.leads
                return counts or message.term > core.term
            case AppendResponse():
                return message.term > core.term or (core.leads and message.term == core.term)
        return True

    def steps_from(self, bounds: Bounds) -> Iterator[tuple[str, Callable[["State"], None]]]:
        """Everything that may happen next."""
        used = self.used
        for at, (start, to, message) in enumerate(self.messages):
            kind = type(message).__name__
            yield f"{to} hears {kind} of {start}: {message}", lambda it, at=at: it.deliver(at)
        for name in NAMES:
            if self.queues[name]:
                yield f"{name}'s disk keeps", lambda it, name=name: it.keep(name)
            if bounds.stands[used.stands : used.stands + 1] == name and not self.cores[name].leads:
                yield f"{name} stands", lambda it, name=name: it.stand(name)
            if used.proposals < bounds.proposals and self.cores[name].leads:
                yield f"{name} is offered something", lambda it, name=name: it.propose(name)
            if name in bounds.crashes and name not in used.crashes:
                yield f"{name} crashes and starts", lambda it, name=name: it.crash(name)

    def deliver(self, at: int) -> None:
        start, to, message = self.messages[at]
        self.messages = self.messages[:at] + self.messages[at + 1 :]
        self.do(to, self.cores[to].heard(self.now, start, 0, message))

    def keep(self, name: str) -> None:
        (number, writes), *rest = self.queues[name]
        self.queues[name] = tuple(rest)
        meta, entries = self.disks[name]
        for write in writes:
            match write:
                case HardState():
                    meta = write
                case AppendToLog(index, entry):
                    entries = (*entries[: index - 1], entry)
                case TruncateLog(index):
                    entries = entries[:index]
                case ReplaceLog(_, meta, _, _, _, entries, _):
                    pass
        self.disks[name] = meta, entries
        self.do(name, self.cores[name].stored(self.now, number))

    def stand(self, name: str) -> None:
        self.used = self.used._replace(stands=self.used.stands + 1)
        self.now += FAR
        core = self.cores[name]
        core._last_tick, core._election_due_at = self.now, self.now
        self.do(name, core.tick(self.now))

    def propose(self, name: str) -> None:
        self.used = self.used._replace(proposals=self.used.proposals + 1)
        _, effects = self.cores[name].propose(self.now, put("k", b"%d" % self.used.proposals))
        self.do(name, effects)

    def crash(self, name: str) -> None:
        self.used = self.used._replace(crashes="".join(sorted(self.used.crashes + name)))
        self.queues[name] = ()
        self.cores[name] = self._core(name)
        self._send_startup_questions(name)


def _clone(core: RaftNode) -> RaftNode:
    new = copy(core)
    for field, value in core.__dict__.items():
        if isinstance(value, list | dict | deque):
            new.__dict__[field] = copy(value)
    new._followers = {name: copy(one) for name, one in core._followers.items()}
    new._proposals = {number: copy(one) for number, one in core._proposals.items()}
    new.state_machine = copy(core.state_machine)
    new.state_machine.values, new.state_machine.taken = (
        dict(core.state_machine.values),
        {author: dict(taken) for author, taken in core.state_machine.taken.items()},
    )
    return new


def explore(bounds: Bounds, make: Callable[..., RaftNode] = RaftNode) -> tuple[int, bool]:
    """How many different states were seen, breadth first, and whether those are all there are. Raises Wrong
    with the shortest way to a state that must not be."""
    first = State(make, bounds)
    if any(core.standing is not Standing.VOTING for core in first.cores.values()):
        raise Wrong("the voters do not come up")
    seen, waiting = {first.key()}, deque([first])
    while waiting:
        state = waiting.popleft()
        for step, write in state.steps_from(bounds):
            new = state.clone(step)
            try:
                write(new)
            except AssertionError as problem:
                raise Wrong("\n".join((str(problem), *new.steps))) from problem
            new.prune()
            key = new.key()
            if key not in seen:
                if len(seen) >= bounds.states:
                    return len(seen), False
                seen.add(key)
                waiting.append(new)
    return len(seen), True
