"""Exhaustive exploration of a small Raft model: three voters, a few elections, proposals and crashes.

The nodes are the real ones. Messages may arrive in any order or never; a disk completes its writes in order,
one at a time, and a crash loses those that are not complete. Pre-votes and startup questions are exchanged at
once, since they change no lasting state.
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
STEP_MS = 100_000.0  # ms that pass in a step, longer than every time-out
VOTERS_ENTRY = Entry(1, Kind.VOTERS, data=msgspec.msgpack.encode({name: f"id-{name}" for name in NAMES}))


class InvariantError(AssertionError):
    """An invariant was violated; the message lists the steps that led there."""


class Bounds(NamedTuple):
    """Limits of the exploration. `candidates`: who starts an election, in this order, at any time; the
    nodes are symmetric, so a few orders cover all. `slow_disks`: nodes whose disk completes a write at any
    later time; the others' do so at once."""

    candidates: str = "ac"
    proposals: int = 1
    crashes: str = ""  # nodes that crash, each once, at any time
    slow_disks: str = ""  # nodes with a slow disk
    max_states: int = 20_000
    fetches: bool = False  # deliver fetches of voters without a leader; else they are lost


class _StepsTaken(NamedTuple):
    candidates: int = 0
    proposals: int = 0
    crashes: str = ""


class _FixedRandom:
    """A fixed random source: every randomized wait takes its shortest value."""

    def random(self) -> float:
        return 0.0

    def choice(self, things: list) -> object:
        return things[0]

    def uniform(self, low: float, high: float) -> float:
        return low

    def getrandbits(self, bits: int) -> int:
        return 7


class State:
    """One state of the model; `steps` lists how it was reached."""

    def __init__(self, make_node: Callable[..., RaftNode], bounds: Bounds) -> None:
        self._make_node, self._bounds = make_node, bounds
        self.now = 0.0
        self.disks: dict[str, tuple[HardState, tuple[Entry, ...]]] = dict.fromkeys(
            NAMES, (HardState(1, ""), (VOTERS_ENTRY,))
        )
        self.pending_writes: dict[str, tuple] = dict.fromkeys(NAMES, ())  # (number, writes) not yet on disk
        self.messages: tuple = ()  # (from, to, message)
        self.committed: dict[int, Entry] = {}
        self.leaders: dict[int, str] = {}
        self.used = _StepsTaken()
        self.incarnations = 0
        self.nodes: dict[str, RaftNode] = {}
        self.steps: tuple[str, ...] = ()
        for name in NAMES:
            self.nodes[name] = self._new_node(name)
        for name in NAMES:
            self._send_startup_questions(name)

    def _new_node(self, name: str) -> RaftNode:
        hard_state, entries = self.disks[name]
        self.incarnations += 1
        held = StoredState(f"id-{name}", hard_state.term, hard_state.vote, entries=entries)
        node = self._make_node(name, self.incarnations, NAMES, held, self.now, 0)
        node._random = _FixedRandom()
        return node

    def _send_startup_questions(self, name: str) -> None:
        self.now += STEP_MS
        self.apply_effects(name, self.nodes[name].tick(self.now))

    def clone(self, step: str) -> "State":
        new = copy(self)
        new.disks, new.pending_writes = dict(self.disks), dict(self.pending_writes)
        new.committed, new.leaders = dict(self.committed), dict(self.leaders)
        new.nodes = {name: _clone_node(node) for name, node in self.nodes.items()}
        new.steps = (*self.steps, step)
        return new

    def fingerprint(self) -> tuple:
        """A key that only states with the same successors share."""
        nodes = tuple(
            (
                *(
                    node.term,
                    node.vote,
                    node.is_leader,
                    node.commit,
                    node.durable,
                    node.standing,
                    node._in_pre_vote,
                ),
                tuple(node.entries),
                tuple(sorted(node._votes.items())),
                tuple((one.next_index, one.match_index) for one in node._followers.values())
                if node.is_leader
                else (),
                tuple(number - node._persist_count for number, _ in node._held_back),
            )
            for node in self.nodes.values()
        )
        pending_writes = tuple(
            tuple(writes for _, writes in writes_of_node) for writes_of_node in self.pending_writes.values()
        )
        return nodes, pending_writes, frozenset(self.messages), tuple(self.disks.values()), self.used

    # Steps

    def apply_effects(self, name: str, effects: list) -> None:
        for effect in effects:
            match effect:
                case raft_effects.Persist(number, writes):
                    self.pending_writes[name] = (*self.pending_writes[name], (number, writes))
                    if name not in self._bounds.slow_disks:
                        self.complete_write(name)
                case raft_effects.Send(to, message):
                    self._send(name, to, message)
                case Committed(index, entry, _):
                    if self.committed.setdefault(index, entry) != entry:
                        raise InvariantError(f"two different entries committed at index {index}")
                case LogEvent("record_leader", {"leader": leader, "term": term}) if leader == name:
                    if self.leaders.setdefault(term, name) != name:
                        raise InvariantError(f"two leaders in term {term}")

    def _send(self, name: str, to: str, message: object) -> None:
        at_once = isinstance(message, StartupQuestion | StartupAnswer) or (
            isinstance(message, VoteRequest | VoteResponse) and message.is_pre_vote
        )
        if at_once:
            if to in self.nodes:
                self.apply_effects(to, self.nodes[to].handle_message(self.now, name, 0, message))
        elif not isinstance(message, FetchRequest) or self._bounds.fetches:
            if isinstance(message, AppendRequest | AppendResponse):
                # Rounds serve reads only, which are not part of the model.
                message = msgspec.structs.replace(message, round=0)
            if (name, to, message) not in self.messages:
                self.messages = (*self.messages, (name, to, message))

    def prune(self) -> None:
        """Drops messages that can no longer change any state."""
        self.messages = tuple(message for message in self.messages if self._is_relevant(*message))

    def _is_relevant(self, sender: str, to: str, message: object) -> bool:
        node = self.nodes[to]
        match message:
            case VoteRequest():
                return message.term > node.term or (message.term == node.term and node.vote in ("", sender))
            case VoteResponse():
                counts = (
                    message.granted and message.term == node.term and bool(node._votes) and not node.is_leader
                )
                return counts or message.term > node.term
            case AppendResponse():
                return message.term > node.term or (node.is_leader and message.term == node.term)
        return True

    def steps_from(self, bounds: Bounds) -> Iterator[tuple[str, Callable[["State"], None]]]:
        """All possible next steps."""
        used = self.used
        for at, (sender, to, message) in enumerate(self.messages):
            kind = type(message).__name__
            yield f"{to} receives {kind} from {sender}: {message}", lambda it, at=at: it.deliver(at)
        for name in NAMES:
            if self.pending_writes[name]:
                yield f"{name}'s disk completes a write", lambda it, name=name: it.complete_write(name)
            if (
                bounds.candidates[used.candidates : used.candidates + 1] == name
                and not self.nodes[name].is_leader
            ):
                yield f"{name} starts an election", lambda it, name=name: it.start_election(name)
            if used.proposals < bounds.proposals and self.nodes[name].is_leader:
                yield f"{name} gets a proposal", lambda it, name=name: it.propose(name)
            if name in bounds.crashes and name not in used.crashes:
                yield f"{name} crashes and restarts", lambda it, name=name: it.crash(name)

    def deliver(self, at: int) -> None:
        sender, to, message = self.messages[at]
        self.messages = self.messages[:at] + self.messages[at + 1 :]
        self.apply_effects(to, self.nodes[to].handle_message(self.now, sender, 0, message))

    def complete_write(self, name: str) -> None:
        (number, writes), *rest = self.pending_writes[name]
        self.pending_writes[name] = tuple(rest)
        hard_state, entries = self.disks[name]
        for write in writes:
            match write:
                case HardState():
                    hard_state = write
                case AppendToLog(index, entry):
                    entries = (*entries[: index - 1], entry)
                case TruncateLog(index):
                    entries = entries[:index]
                case ReplaceLog(_, hard_state, _, _, _, entries, _):
                    pass
        self.disks[name] = hard_state, entries
        self.apply_effects(name, self.nodes[name].handle_persisted(self.now, number))

    def start_election(self, name: str) -> None:
        self.used = self.used._replace(candidates=self.used.candidates + 1)
        self.now += STEP_MS
        node = self.nodes[name]
        node._last_tick, node._election_due_at = self.now, self.now
        self.apply_effects(name, node.tick(self.now))

    def propose(self, name: str) -> None:
        self.used = self.used._replace(proposals=self.used.proposals + 1)
        _, effects = self.nodes[name].propose(self.now, put("k", b"%d" % self.used.proposals))
        self.apply_effects(name, effects)

    def crash(self, name: str) -> None:
        self.used = self.used._replace(crashes="".join(sorted(self.used.crashes + name)))
        self.pending_writes[name] = ()
        self.nodes[name] = self._new_node(name)
        self._send_startup_questions(name)


def _clone_node(node: RaftNode) -> RaftNode:
    new = copy(node)
    for field, value in node.__dict__.items():
        if isinstance(value, list | dict | deque):
            new.__dict__[field] = copy(value)
    new._followers = {name: copy(one) for name, one in node._followers.items()}
    new._proposals = {number: copy(one) for number, one in node._proposals.items()}
    new.state_machine = copy(node.state_machine)
    new.state_machine.values, new.state_machine.taken = (
        dict(node.state_machine.values),
        {author: dict(taken) for author, taken in node.state_machine.taken.items()},
    )
    return new


def explore(bounds: Bounds, make_node: Callable[..., RaftNode] = RaftNode) -> tuple[int, bool]:
    """Explores breadth first; returns the number of distinct states and whether those are all. Raises
    InvariantError with the shortest sequence of steps to a violation."""
    first = State(make_node, bounds)
    if any(node.standing is not Standing.VOTING for node in first.nodes.values()):
        raise InvariantError("the voters do not all reach standing VOTING")
    seen, waiting = {first.fingerprint()}, deque([first])
    while waiting:
        state = waiting.popleft()
        for step, write in state.steps_from(bounds):
            new = state.clone(step)
            try:
                write(new)
            except AssertionError as problem:
                raise InvariantError("\n".join((str(problem), *new.steps))) from problem
            new.prune()
            fingerprint = new.fingerprint()
            if fingerprint not in seen:
                if len(seen) >= bounds.max_states:
                    return len(seen), False
                seen.add(fingerprint)
                waiting.append(new)
    return len(seen), True
