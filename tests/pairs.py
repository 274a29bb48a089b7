"""Mixed versions: stores of the previous version and of this one in one simulated deployment.

That version is read from the repository's history; without that the test is not run. What the two exchange is
encoded as on the wire and decoded from it, as between processes.
"""

import importlib
import io
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterator, MutableMapping
from pathlib import Path
from types import ModuleType
from typing import Any, NamedTuple

import msgspec

from sableford.control.view import View, ViewNumber
from sableford.simulation.stores import Simulation
from sableford.store import messages, worker_selection
from sableford.store.messages import Message, State
from sableford.store.protocol import (
    CopyRequest,
    FinalState,
    MessageHeader,
    MessageState,
    PulledMessage,
    PullResponse,
    PutResponse,
)
from sableford.store.queue import Queue
from sableford.transport import routes
from sableford.transport.verdict import Execution, Verdict

PREVIOUS_COMMIT = "863ec06101c9455979cb737f54ec6ce3914f12af"  # updated with each merge to the main branch
STATES = {
    "COPY": State.REPLICA,
    "TAKING": State.ACCEPTING,
    "WAITING": State.WAITING,
    "OUT": State.IN_FLIGHT,
    "AWAY": State.IN_FLIGHT_ELSEWHERE,
    "ENDING": State.ENDING,
}


class PreviousModules(NamedTuple):
    """The modules of the previous version that a queue consists of."""

    queue: ModuleType
    messages: ModuleType
    verdict: ModuleType
    view: ModuleType


def load_previous(folder: str) -> PreviousModules | None:
    """Loads the previous version; None without history."""
    root = Path(__file__).parent.parent
    got = subprocess.run(
        ["git", "archive", PREVIOUS_COMMIT, "sableford"], cwd=root, capture_output=True, check=False
    )
    if got.returncode:
        return None
    with tarfile.open(fileobj=io.BytesIO(got.stdout)) as tar:
        tar.extractall(folder, filter="data")
    mine = {name: sys.modules.pop(name) for name in list(sys.modules) if name.split(".")[0] == "sableford"}
    sys.path.insert(0, folder)
    try:
        names = ("store.queue", "store.messages", "transport.verdict", "control.view")
        return PreviousModules(*(importlib.import_module(f"sableford.{name}") for name in names))
    finally:
        sys.path.remove(folder)
        for name in [name for name in sys.modules if name.split(".")[0] == "sableford"]:
            del sys.modules[name]
        sys.modules.update(mine)


def wire(value: Any) -> Any:
    """Returns a value as on the wire: maps and lists, under the names on the wire."""
    return msgspec.to_builtins(value)


class OlderMessage:
    """A message of the older queue, with the attributes of this version."""

    def __init__(self, older: Any) -> None:
        self.older = older

    ref = property(lambda self: self.older.ref)
    shard = property(lambda self: self.older.shard)
    due_at = property(lambda self: self.older.due)
    sent_at = property(lambda self: self.older.born)
    attempts = property(lambda self: self.older.tries)
    synced = property(lambda self: self.older.synced)
    state = property(lambda self: STATES[self.older.state.name])
    header = property(lambda self: msgspec.convert(self.older.head, MessageHeader))

    @property
    def body(self) -> bytes | None:
        return self.older.body

    @body.setter
    def body(self, body: bytes | None) -> None:
        self.older.body = body

    def copy_request(self, now: float, epoch: ViewNumber) -> CopyRequest:
        head = self.older.head | self.older.times(now) | {"epoch": epoch, "tries": self.older.tries}
        return msgspec.convert(head, CopyRequest)

    def pulled_message(self, now: float) -> PulledMessage:
        return msgspec.convert(self.older.head | self.older.times(now), PulledMessage)


class Converted(MutableMapping):
    """A table of the older queue, with the values converted to and from those of this version."""

    def __init__(self, table: dict, newer: Any, older: Any) -> None:
        self._table, self._newer, self._older = table, newer, older

    def __getitem__(self, ref: str) -> Any:
        return self._newer(self._table[ref])

    def __setitem__(self, ref: str, value: Any) -> None:
        self._table[ref] = self._older(value)

    def __delitem__(self, ref: str) -> None:
        del self._table[ref]

    def __iter__(self) -> Iterator[str]:
        return iter(self._table)

    def __len__(self) -> int:
        return len(self._table)


class Renamed:
    """An attribute that has another name in the older queue."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __get__(self, owner: Any, kind: type) -> Any:
        return getattr(owner.older, self._name)

    def __set__(self, owner: Any, value: Any) -> None:
        setattr(owner.older, self._name, value)


class Alias:
    """An older name of an attribute."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __get__(self, owner: Any, kind: type) -> Any:
        return getattr(owner, self._name)

    def __set__(self, owner: Any, value: Any) -> None:
        setattr(owner, self._name, value)


class OlderQueue:
    """The previous queue under the names and types of this version."""

    modules: PreviousModules

    def __init__(self, *given: Any) -> None:
        self.older = self.modules.queue.Queue(*given)
        self._view = View()
        self.messages = Converted(self.older.held, OlderMessage, self._older_message)
        self.final_states = Converted(self.older.ends, lambda end: FinalState(*end), self._older_final_state)

    state = property(lambda self: self)
    me, incarnation, complete = Renamed("me"), Renamed("birth"), Renamed("whole")
    owned, unresponsive, lease = Renamed("owned"), Renamed("quiet"), Renamed("lease")
    zone_of, full = Renamed("zone_of"), Renamed("full")

    def _older_message(self, message: Message) -> Any:
        older = self.modules.messages.Message(
            wire(message.header), message.body, message.due_at, message.sent_at
        )
        older.synced = message.synced
        return older

    def _older_final_state(self, final_state: FinalState) -> Any:
        return self.modules.messages.End(*wire(final_state))

    def _older_verdict(self, verdict: Verdict) -> Any:
        module = self.modules.verdict
        return module.Verdict(module.Ran(verdict.execution.value), *verdict[1:])

    def _effects(self, effects: list) -> list:
        return [self._effect(type(one).__name__, one) for one in effects]

    def _effect(self, name: str, older: Any) -> Any:
        match name:
            case "Keep":
                kind = messages.WriteMessage if older.what == "m" else messages.WriteFinalState
                return kind(older.ref)
            case "TellEnd":
                return messages.CopyFinalState(older.to, older.ref, older.shard, FinalState(*older.end))
            case "Reply":
                return messages.RespondToPut(older.waiter, msgspec.convert(older.word, PutResponse))
            case "Late":
                verdict = Verdict(Execution(older.verdict.ran.value), *older.verdict[1:])
                return messages.SendDeliveryResult(older.to, older.ref, older.shard, verdict)
        same = {
            "KeepEnds": messages.WriteFinalStates,
            "Copy": messages.CopyMessage,
            "Drop": messages.DropReplica,
            "Fill": messages.CopyFinalStates,
            "ListEnds": messages.ListFinalStates,
            "Deliver": messages.Deliver,
            "Pull": messages.Pull,
            "Settle": messages.AskFinalStates,
            "Seek": messages.Lookup,
            "Said": messages.LogEvent,
        }
        return same[name](*older)

    # The view

    @property
    def view(self) -> View:
        return self._view

    @view.setter
    def view(self, view: View) -> None:
        self._view = view
        self.older.view = msgspec.convert(wire(view), self.modules.view.View)

    def apply_view(self, now: float, view: View) -> list:
        self._view = view
        self.selector.apply_view(view)  # the older queue only tells which stores are gone
        return self._effects(self.older.see(now, msgspec.convert(wire(view), self.modules.view.View)))

    # Events

    def put(self, now, request, body, waiter):
        return self._effects(self.older.put(now, wire(request), body, waiter))

    def message_written(self, now, ref, problem=""):
        return self._effects(self.older.kept(now, "m", ref, problem))

    def final_state_written(self, now, ref, problem=""):
        return self._effects(self.older.kept(now, "e", ref, problem))

    def message_copied(self, now, ref, store, accepted):
        return self._effects(self.older.copied(now, ref, store, accepted))

    def final_state_copied(self, now, ref, store, accepted):
        return self._effects(self.older.end_copied(now, ref, store, accepted))

    def final_states_copied(self, now, store, refs, accepted):
        return self._effects(self.older.filled(now, store, refs, accepted))

    def final_state_learned(self, now, ref, final_state):
        return self._effects(self.older.end_told(now, ref, self._older_final_state(final_state)))

    def final_states_answered(self, now, store, number, known):
        return self._effects(self.older.settled(now, store, number, wire(known)))

    def final_states_listed(self, now, store, number, refs, is_last):
        return self._effects(self.older.ends_listed(now, store, number, refs, is_last))

    def message_pulled(self, now, pulled, body):
        return self._effects(self.older.part(now, wire(pulled), body))

    def pull_answered(self, now, store, number, response):
        return self._effects(self.older.pulled(now, store, number, wire(response)))

    def lookup_answered(self, now, store, ref, response):
        return self._effects(self.older.sought(now, store, ref, wire(response)))

    def delivery_reported(self, now, sender, ref, shard, verdict):
        return self._effects(self.older.late(now, sender, ref, shard, self._older_verdict(verdict)))

    def delivered(self, now, ref, worker, verdict):
        return self._effects(self.older.delivered(now, ref, worker, self._older_verdict(verdict)))

    def tick(self, now, unix):
        return self._effects(self.older.tick(now, unix))

    def repair(self, now):
        return self._effects(self.older.repair(now))

    # Queries

    def replica_offered(self, now, request, body):
        return self.older.copy(now, "", wire(request), body)

    def answer_pull(self, request):
        answer, found = self.older.pulled_by(0.0, request.shards, request.known, request.with_messages)
        response = msgspec.convert(answer | {"shards": request.shards}, PullResponse)
        return response, [OlderMessage(one) for one in found]

    def final_states_of(self, refs):
        return msgspec.convert(self.older.settled_by(refs), dict[str, FinalState])

    def status(self, ref):
        state = self.older.status(ref)
        return msgspec.convert(state, MessageState) if state is not None else None

    def __getattr__(self, name: str) -> Any:
        return getattr(self.older, OLDER_NAMES.get(name, name))


OLDER_NAMES = {
    "replica_written": "copy_kept",
    "drop_allowed": "dropped",
    "result_reported": "told_late",
    "accepts_results": "takes_late",
    "list_final_states": "ends_of",
    "incarnation_of": "life",
    "holds_lease": "holds",
    "is_busy": "busy",
    "is_safe": "safe",
    "selector": "choice",
}

# The older queue is given objects of this version, whose attributes have other names.
OLDER_ROUTE_NAMES = {"start_ms": "start_target_ms", "tries": "max_attempts"}
OLDER_BACKEND_NAMES = {"conns": "max_connections"}
OLDER_SELECTOR_NAMES = {
    "fix": "set_fixed_endpoints",
    "keep": "retain",
    "drop": "remove",
    "sent": "delivery_started",
    "finished": "delivery_finished",
}
OLDER_WORKER_NAMES = {
    "line": "entry",
    "own": "own_in_flight",
    "theirs": "others_in_flight",
    "heard_at": "reported_at",
    "asked_at": "refresh_requested_at",
    "doubt_until": "ejected_until",
    "failures": "consecutive_failures",
    "cold_until": "warming_up_until",
    "cut_at": "window_reduced_at",
    "full": "is_full",
    "jobs": "in_flight",
}


def shows_stores_of_the_previous_version_beside_new_ones_break_no_rule() -> None:
    with tempfile.TemporaryDirectory() as folder:
        if (found := load_previous(folder)) is None:
            print("no history: the previous version is not run")
            return
        before = type("Before", (OlderQueue,), {"modules": found})
        for kind, names in (
            (worker_selection.WorkerSelector, OLDER_SELECTOR_NAMES),
            (worker_selection.Worker, OLDER_WORKER_NAMES),
            (routes.Route, OLDER_ROUTE_NAMES),
            (routes.Backend, OLDER_BACKEND_NAMES),
        ):
            for older, newer in names.items():
                setattr(kind, older, Alias(newer))
        worker_selection.WorkerSelector.forget = lambda selector, store: None
        accepted = 0
        for seed in range(12):
            # Each store starts as one of the two versions, and as the other after each restart.
            starts: dict[str, int] = {}

            def make(me, *given, starts=starts, seed=seed):
                starts[me] = starts.get(me, seed) + 1
                return (before if (starts[me] + int(me[1:])) % 2 else Queue)(me, *given)

            walk = Simulation(500 + seed, queue_factory=make).play()
            accepted += len(walk.accepted)
        assert accepted > 3000, accepted
