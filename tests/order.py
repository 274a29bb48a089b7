"""One store's queue under orders drawn by hypothesis: puts with and without keys, disks that take their time,
workers that succeed, fail, turn away or say nothing, and losses of power at any moment."""

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
from sableford.store.choice import Choice, WorkerEntry
from sableford.store.delivery_order import DeliveryOrder
from sableford.store.endings import Endings
from sableford.store.messages import Deliver, Message, RespondToPut, WriteFinalState, WriteMessage
from sableford.store.protocol import PutRequest
from sableford.store.queue import Queue, QueueParts
from sableford.store.replica_placement import ReplicaPlacement
from sableford.transport.routes import RoutingTable
from sableford.transport.verdict import Execution, Verdict

KEYS = ["", "k1", "k2"]
ENDINGS = [Execution.DONE, Execution.FAILED, Execution.IMPOSSIBLE, Execution.NOT_RUN, Execution.UNKNOWN]


class OneStore(RuleBasedStateMachine):
    """The oracle is what was promised: what it answered `kept`, and which of that has ended."""

    make: type[Queue] = Queue

    def __init__(self) -> None:
        super().__init__()
        self.now, self.lives, self.count = 0.0, 0, 0
        self.disk: dict[tuple[str, str], tuple] = {}
        self.writes: list[tuple[str, str]] = []
        self.accepted: list[str] = []
        self.keys: dict[str, str] = {}
        self.in_flight: dict[str, str] = {}
        self.done: set[str] = set()  # succeeded, and the answer was read
        self.failed: dict[str, int] = {}
        self.begin()

    def begin(self) -> None:
        """A runtime: whole folder, alone in its roster, all shards its own."""
        self.lives += 1
        incarnation = f"b{self.lives}"
        choice = Choice("z", incarnation)
        self.queue = self.make("s", incarnation, 0, RoutingTable(1, DOC), choice, 600.0, True)
        for at in range(2):
            choice.put(self.now, WorkerEntry(f"w{at}", "a", "10.0.0.1", 80, "z", 2, True), 0.0)
        for (what, ref), value in self.disk.items():
            if what == "e":
                self.queue.state.final_states[ref] = value
        for ref, (header, due_at, sent_at) in [
            (ref, one) for (what, ref), one in self.disk.items() if what == "m"
        ]:
            if ref not in self.queue.state.final_states:
                message = self.queue.state.messages[ref] = Message(header, b"x", due_at, sent_at)
                message.synced = True
        self.queue.state.lease = 1e12
        number = (self.lives, 1)
        view = View(
            number,
            ["s"] * SHARDS,
            [incarnation] * SHARDS,
            [number] * SHARDS,
            {"s": StoreInfo(incarnation, "z")},
            ["s"],
        )
        self.do(self.queue.apply_view(self.now, view))

    def do(self, effects: list) -> None:
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
                        open_ = [
                            one
                            for one in before
                            if self.keys[one] == key and one not in self.queue.state.final_states
                        ]
                        assert not open_, f"{ref} starts before {open_}"
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
        self.do(self.queue.put(self.now, request, b"x", ref))

    @precondition(lambda self: self.writes)
    @rule(most=st.integers(1, 4))
    def sync(self, most: int) -> None:
        written, self.writes = self.writes[:most], self.writes[most:]
        for what, ref in written:
            message = self.queue.state.messages.get(ref)
            if message is None:
                continue
            if what == "m":
                header = replace(message.header, attempts=message.attempts)
                self.disk["m", ref] = (header, message.due_at, message.sent_at)
                self.do(self.queue.message_written(self.now, ref))
            else:
                self.disk.pop(("m", ref), None)
                self.disk["e", ref] = message.final_state
                self.do(self.queue.final_state_written(self.now, ref))

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), ran=st.sampled_from(ENDINGS))
    def over(self, data, ran: Execution) -> None:
        ref = data.draw(st.sampled_from(sorted(self.in_flight)))
        worker = self.in_flight.pop(ref)
        if ran is Execution.DONE:
            self.done.add(ref)
        if ran is Execution.FAILED:
            self.failed[ref] = self.failed.get(ref, 0) + 1
        self.do(
            self.queue.delivered(
                self.now, ref, worker, Verdict(ran, "", "seal" if ran is Execution.DONE else "")
            )
        )

    @rule(ms=st.sampled_from([1.0, 20.0, 500.0]))
    def wait(self, ms: float) -> None:
        self.now += ms
        self.do(self.queue.tick(self.now, self.now))

    @rule()
    def power(self) -> None:
        """What was not synced is gone, and so is what was known of deliveries: a success may run again."""
        self.writes, self.in_flight = [], {}
        kept = {ref for what, ref in self.disk if what == "e"}
        self.done &= kept
        self.failed = {ref: count for ref, count in self.failed.items() if ref in kept}
        self.begin()

    @invariant()
    def nothing_accepted_is_lost(self) -> None:
        for ref in self.accepted:
            assert ref in self.queue.state.messages or ref in self.queue.state.final_states, ref
            end = self.queue.state.final_states.get(ref)
            if end is not None and end.phase == "dead_letter" and end.why.startswith("failed"):
                assert self.failed.get(ref, 0) >= 3 or ("e", ref) in self.disk, ref


class SendsOutOfTurn(DeliveryOrder):
    """Sends whatever is due, whose turn it is or not."""

    def is_first_of_key(self, message):
        return True


class NeedsNoDisk(ReplicaPlacement):
    """Says kept before any disk has it."""

    def is_safe(self, message):
        return True


class NeverEnds(Endings):
    """Takes no end for one."""

    def finish(self, now, message, final_state):
        self._order.requeue(now, message, 0.0)


def with_parts(**parts: type) -> type[Queue]:
    """A queue with mistaken parts."""
    return type("Mistaken", (Queue,), {"parts": QueueParts(**parts)})


def played(queue: type[Queue]) -> None:
    machine = type("OneStore", (OneStore,), {"make": queue})
    steps = settings(
        max_examples=60,
        stateful_step_count=60,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=steps)


def shows_a_store_keeps_its_word_whatever_comes_when() -> None:
    played(Queue)


def shows_a_store_that_does_not_keep_its_word_is_found_out() -> None:
    for part, mistaken in (
        ("order", SendsOutOfTurn),
        ("placement", NeedsNoDisk),
        ("endings", NeverEnds),
    ):
        try:
            with redirect_stdout(StringIO()):
                played(with_parts(**{part: mistaken}))
        except AssertionError:
            continue
        raise AssertionError(f"not found: {mistaken.__doc__}")
