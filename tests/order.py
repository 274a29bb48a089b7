"""The queue of one store under random event sequences (hypothesis): puts with and without keys, delayed disk
writes, deliveries with every outcome, and power loss at any moment."""

from contextlib import redirect_stdout
from io import StringIO

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from msgspec.structs import replace

from sableford.control.view import SHARDS, StoreInfo, View, shard_of
from sableford.simulation.stores import DOC
from sableford.store.delivery_order import DeliveryOrder
from sableford.store.message_finalization import MessageFinalization
from sableford.store.messages import Deliver, Message, RespondToPut, WriteFinalState, WriteMessage
from sableford.store.protocol import PutRequest
from sableford.store.queue import Queue, QueueParts
from sableford.store.replica_placement import ReplicaPlacement
from sableford.store.worker_selection import WorkerEntry, WorkerSelector
from sableford.transport.routes import RoutingTable
from sableford.transport.verdict import Execution, Verdict

KEYS = ["", "k1", "k2"]
EXECUTIONS = [Execution.DONE, Execution.FAILED, Execution.IMPOSSIBLE, Execution.NOT_RUN, Execution.UNKNOWN]


class OneStore(RuleBasedStateMachine):
    """Checks the queue against what it acknowledged: accepted messages, and which of them have ended."""

    queue_type: type[Queue] = Queue

    def __init__(self) -> None:
        super().__init__()
        self.now, self.starts, self.count = 0.0, 0, 0
        self.disk: dict[tuple[str, str], tuple] = {}
        self.writes: list[tuple[str, str]] = []
        self.accepted: list[str] = []
        self.keys: dict[str, str] = {}
        self.in_flight: dict[str, str] = {}
        self.done: set[str] = set()  # succeeded, and the response was read
        self.failed: dict[str, int] = {}
        self.start()

    def start(self) -> None:
        """Starts the store: its disk is complete, it is alone on the roster and owns all shards."""
        self.starts += 1
        incarnation = f"b{self.starts}"
        selector = WorkerSelector("z", incarnation)
        self.queue = self.queue_type("s", incarnation, 0, RoutingTable(1, DOC), selector, 600.0, True)
        for at in range(2):
            selector.put(self.now, WorkerEntry(f"w{at}", "a", "10.0.0.1", 80, "z", 2, True), 0.0)
        for (kind, ref), value in self.disk.items():
            if kind == "e":
                self.queue.state.final_states[ref] = value
        for ref, (header, due_at, sent_at) in [
            (ref, one) for (kind, ref), one in self.disk.items() if kind == "m"
        ]:
            if ref not in self.queue.state.final_states:
                message = self.queue.state.messages[ref] = Message(header, b"x", due_at, sent_at)
                message.synced = True
        self.queue.state.lease = 1e12
        number = (self.starts, 1)
        view = View(
            number,
            ["s"] * SHARDS,
            [incarnation] * SHARDS,
            [number] * SHARDS,
            {"s": StoreInfo(incarnation, "z")},
            ["s"],
        )
        self.carry_out(self.queue.apply_view(self.now, view))

    def carry_out(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case WriteMessage(ref):
                    self.writes.append(("m", ref))
                case WriteFinalState(ref):
                    self.writes.append(("e", ref))
                case RespondToPut(ref, response) if response.kept and ref not in self.accepted:
                    self.accepted.append(ref)
                case Deliver(ref, worker, _):
                    assert ref not in self.in_flight and ref in self.accepted, ref
                    assert ref not in self.done, f"{ref} runs again after its success was read"
                    if key := self.keys[ref]:
                        before = self.accepted[: self.accepted.index(ref)]
                        unfinished = [
                            one
                            for one in before
                            if self.keys[one] == key and one not in self.queue.state.final_states
                        ]
                        assert not unfinished, f"{ref} starts before {unfinished}"
                    self.in_flight[ref] = worker

    @rule(key=st.sampled_from(KEYS), again=st.booleans())
    def put(self, key: str, again: bool) -> None:
        if not (again and self.keys):
            self.count += 1
        shard = shard_of(key) if key else self.count % SHARDS
        ref = list(self.keys)[-1] if again and self.keys else f"{shard:02d}-{self.count}"
        key = self.keys.setdefault(ref, key)
        request = PutRequest(
            ref=ref,
            shard=int(ref[:2]),
            key=key,
            id=ref,
            host="h",
            method="POST",
            target="/a" if key else "/b",
            delay_ms=0.0,
            age_ms=0.0,
            revision=1,
            is_retry=again,
        )
        self.carry_out(self.queue.put(self.now, request, b"x", ref))

    @precondition(lambda self: self.writes)
    @rule(limit=st.integers(1, 4))
    def sync(self, limit: int) -> None:
        written, self.writes = self.writes[:limit], self.writes[limit:]
        for kind, ref in written:
            message = self.queue.state.messages.get(ref)
            if message is None:
                continue
            if kind == "m":
                header = replace(message.header, attempts=message.attempts)
                self.disk["m", ref] = (header, message.due_at, message.sent_at)
                self.carry_out(self.queue.message_written(self.now, ref))
            else:
                self.disk.pop(("m", ref), None)
                self.disk["e", ref] = message.final_state
                self.carry_out(self.queue.final_state_written(self.now, ref))

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), execution=st.sampled_from(EXECUTIONS))
    def outcome_arrives(self, data, execution: Execution) -> None:
        ref = data.draw(st.sampled_from(sorted(self.in_flight)))
        worker = self.in_flight.pop(ref)
        if execution is Execution.DONE:
            self.done.add(ref)
        if execution is Execution.FAILED:
            self.failed[ref] = self.failed.get(ref, 0) + 1
        self.carry_out(
            self.queue.delivered(
                self.now, ref, worker, Verdict(execution, "", "seal" if execution is Execution.DONE else "")
            )
        )

    @rule(ms=st.sampled_from([1.0, 20.0, 500.0]))
    def wait(self, ms: float) -> None:
        self.now += ms
        self.carry_out(self.queue.tick(self.now, self.now))

    @rule()
    def power_loss(self) -> None:
        """Loses unsynced writes and the results of deliveries, so a message that succeeded may run again."""
        self.writes, self.in_flight = [], {}
        on_disk = {ref for kind, ref in self.disk if kind == "e"}
        self.done &= on_disk
        self.failed = {ref: count for ref, count in self.failed.items() if ref in on_disk}
        self.start()

    @invariant()
    def nothing_accepted_is_lost(self) -> None:
        for ref in self.accepted:
            assert ref in self.queue.state.messages or ref in self.queue.state.final_states, ref
            final_state = self.queue.state.final_states.get(ref)
            if (
                final_state is not None
                and final_state.phase == "dead_letter"
                and final_state.why.startswith("failed")
            ):
                assert self.failed.get(ref, 0) >= 3 or ("e", ref) in self.disk, ref


class SendsOutOfTurn(DeliveryOrder):
    """Delivers any due message, without regard to the order of its key."""

    def is_first_of_key(self, message):
        return True


class NeedsNoDisk(ReplicaPlacement):
    """Acknowledges a message before any disk has it."""

    def is_safe(self, message):
        return True


class NeverEnds(MessageFinalization):
    """Delivers a message again instead of ending it."""

    def finish(self, now, message, final_state):
        self._order.requeue(now, message, 0.0)


def with_parts(**parts: type) -> type[Queue]:
    """Returns a queue class with some parts replaced, to inject faults."""
    return type("FaultyQueue", (Queue,), {"parts": QueueParts(**parts)})


def run_machine(queue: type[Queue]) -> None:
    machine = type("OneStore", (OneStore,), {"queue_type": queue})
    config = settings(
        max_examples=200,
        stateful_step_count=60,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=config)


def shows_a_store_keeps_its_guarantees_under_any_sequence_of_events() -> None:
    run_machine(Queue)


def shows_a_store_that_breaks_a_guarantee_is_detected() -> None:
    for part, faulty in (
        ("order", SendsOutOfTurn),
        ("placement", NeedsNoDisk),
        ("finalization", NeverEnds),
    ):
        try:
            with redirect_stdout(StringIO()):
                run_machine(with_parts(**{part: faulty}))
        except AssertionError:
            continue
        raise AssertionError(f"not detected: {faulty.__doc__}")
