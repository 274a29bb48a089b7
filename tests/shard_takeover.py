"""Takeovers of shards while stores come into the view, step by step and in simulated time."""

from typing import TypeVar

from sableford.control.view import SHARDS, StoreInfo, View
from sableford.simulation.stores import DOC
from sableford.store.messages import AskFinalStates, Deliver, Effect, LogEvent, Message, Pull, State
from sableford.store.protocol import FinalState, MessageHeader, PulledMessage, PullResponse, header_fields
from sableford.store.queue import Queue
from sableford.store.shard_takeover import LATE_ANSWER_MS, ShardTakeover
from sableford.store.worker_selection import WorkerEntry, WorkerSelector
from sableford.transport.routes import RoutingTable
from tests.order import with_parts
from tests.store_losses import first_fault

EffectType = TypeVar("EffectType")
ENDED = FinalState("complete", "seal", "", 0.0)
HELD, RETURNED = "00-held", "00-returned"  # a replica at the new owner, and one at the store that comes back


def header(ref: str) -> MessageHeader:
    return MessageHeader(
        ref=ref,
        shard=0,
        key="",
        id=ref,
        host="h",
        target="/b",
        method="POST",
        revision=1,
        position=((1, 0), 1),
    )


def view(count: int, *live: str) -> View:
    """Returns a view in which s0 owns all shards since the first one, with these stores live."""
    return View(
        (1, count),
        ["s0"] * SHARDS,
        ["b0"] * SHARDS,
        [(1, 1)] * SHARDS,
        {name: StoreInfo(name.replace("s", "b"), f"z{name}") for name in live},
        ["s0", "s1", "s2"],
    )


class TakeoverScene:
    """The queue of s0, which takes all shards over and holds a replica; s2 is away unless it is `live`."""

    def __init__(self, *live: str) -> None:
        self.queue = Queue("s0", "b0", 1, RoutingTable(1, DOC), WorkerSelector("z0", "s0"), 600.0, True)
        self.queue.selector.put(0.0, WorkerEntry("w", "a", "10.0.0.9", 80, "z0", 2, True), 0.0)
        self.queue.state.lease = 1e9
        replica = self.queue.state.messages[HELD] = Message(header(HELD), b"x", 0.0, 0.0)
        replica.synced = True
        self.effects: list[Effect] = []
        self.add(self.queue.apply_view(0.0, view(1, *(live or ("s0", "s1")))))

    def add(self, effects: list[Effect]) -> None:
        self.effects += effects

    def of_type(self, kind: type[EffectType]) -> list[EffectType]:
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def delivered(self) -> list[str]:
        return [effect.ref for effect in self.of_type(Deliver)]

    def events(self) -> list[str]:
        return [effect.event for effect in self.of_type(LogEvent)]

    def answer_pull(self, now: float, store: str, *brought: str, complete: bool = True) -> None:
        number = next(pull.round for pull in reversed(self.of_type(Pull)) if pull.to == store)
        for ref in brought:
            pulled = PulledMessage(**header_fields(header(ref)), due_in_ms=0.0, age_ms=0.0)
            self.add(self.queue.message_pulled(now, pulled, b"x"))
        self.add(self.queue.pull_answered(now, store, number, PullResponse(complete, list(brought), [], {})))

    def questions(self, store: str) -> list[AskFinalStates]:
        return [effect for effect in self.of_type(AskFinalStates) if effect.to == store]

    def answer_question(self, now: float, store: str, known: dict[str, FinalState] | None) -> None:
        number = self.questions(store)[-1].round
        self.add(self.queue.final_states_answered(now, store, number, known))

    def let_s2_return(self, complete: bool = True) -> None:
        """s2 comes into the view while s1 is being asked, and brings a message; `complete`: with its disk."""
        self.answer_pull(5.0, "s1")
        self.add(self.queue.apply_view(10.0, view(2, "s0", "s1", "s2")))
        self.answer_question(12.0, "s1", {})
        self.answer_pull(15.0, "s2", RETURNED, complete=complete)


def shows_a_message_that_ended_while_a_store_was_away_does_not_run_again_when_it_returns() -> None:
    # TWICE: a store that returned during a takeover brought a message whose final state nobody was asked for.
    scene = TakeoverScene()
    scene.let_s2_return()
    assert not scene.delivered()
    assert [set(one.refs) for one in scene.questions("s1")] == [{HELD}, {RETURNED}]
    assert [set(one.refs) for one in scene.questions("s2")] == [{HELD, RETURNED}]
    scene.answer_question(20.0, "s1", {RETURNED: ENDED})
    assert not scene.delivered(), "s2 may know how the other message ended"
    scene.answer_question(25.0, "s2", {})
    scene.add(scene.queue.tick(1000.0, 0.0))
    assert scene.delivered() == [HELD]
    assert scene.queue.state.messages[RETURNED].state is State.ENDING
    assert scene.events() == ["final_states_asked_again", "shards_open"]


def shows_the_answer_to_an_earlier_question_is_not_taken_for_that_to_a_later_one() -> None:
    # TWICE: an answer about fewer messages, to a question asked before, would end the wait for the rest.
    scene = TakeoverScene()
    scene.answer_pull(5.0, "s1")
    first = scene.questions("s1")[0]
    scene.add(scene.queue.apply_view(10.0, view(2, "s0", "s2")))
    scene.answer_pull(15.0, "s2", RETURNED)
    scene.add(scene.queue.apply_view(20.0, view(3, "s0", "s1", "s2")))
    scene.answer_pull(25.0, "s1")
    scene.answer_question(30.0, "s2", {})
    scene.add(scene.queue.final_states_answered(35.0, "s1", first.round, {}))
    assert not scene.delivered()
    scene.answer_question(40.0, "s1", {RETURNED: ENDED})
    assert scene.delivered() == [HELD]


def shows_a_late_answer_is_waited_for_no_longer_than_its_time_out() -> None:
    # Silent keys: a store that answers no more would keep the shards closed for as long as it is in the view.
    scene = TakeoverScene()
    scene.let_s2_return()
    scene.answer_question(20.0, "s1", {RETURNED: ENDED})
    for now in range(35, int(15.0 + LATE_ANSWER_MS), 15):
        scene.answer_question(float(now), "s2", None)
        scene.add(scene.queue.tick(float(now), 0.0))
    assert not scene.queue.state.owned
    scene.add(scene.queue.tick(15.5 + LATE_ANSWER_MS, 0.0))
    assert len(scene.queue.state.owned) == SHARDS and scene.delivered() == [HELD]
    assert scene.events() == ["final_states_asked_again", "final_states_unanswered", "shards_open"]


def tick_past_the_time_out(scene: TakeoverScene) -> None:
    for now in range(30, int(3 * LATE_ANSWER_MS), 15):
        scene.add(scene.queue.tick(float(now), 0.0))


def shows_a_first_answer_is_waited_for_even_where_the_other_stores_suffice() -> None:
    # TWICE: the previous owner, slow to answer, alone knows a final state that is not on enough disks yet.
    scene = TakeoverScene("s0", "s1", "s2")
    scene.answer_pull(5.0, "s1")
    scene.answer_pull(6.0, "s2")
    scene.answer_question(10.0, "s2", {})
    tick_past_the_time_out(scene)
    assert not scene.queue.state.owned and not scene.delivered()


def shows_a_late_answer_is_waited_for_without_end_where_the_other_stores_do_not_suffice() -> None:
    # TWICE: s2 has lost its disk, so that s1 alone may know how the message ended.
    scene = TakeoverScene()
    scene.let_s2_return(complete=False)
    scene.answer_question(20.0, "s2", {})
    tick_past_the_time_out(scene)
    assert not scene.queue.state.owned and not scene.delivered()
    assert "final_states_unanswered" not in scene.events()


class AsksForFinalStatesOnce(ShardTakeover):
    """Asks for final states once, and opens with what is pulled after that unasked."""

    def _ask_final_states(self, now, takeover):
        if not takeover.has_asked:
            super()._ask_final_states(now, takeover)


AsksOnce = with_parts(takeover=AsksForFinalStatesOnce)
ROLLING = {"faults": 5, "kinds": ("rolling",), "stores": 5, "seconds": 16.0}
ROLLING |= {"messages_per_s": 120.0, "delay_ms": 4000.0}


def shows_stores_restarted_in_turn_run_nothing_twice() -> None:
    assert first_fault(Queue, range(2, 5), **ROLLING) == ("", -1)


def shows_the_simulation_detects_final_states_that_are_asked_for_only_once() -> None:
    rule, _ = first_fault(AsksOnce, range(2, 12), **ROLLING)
    assert rule in ("TWICE", "ORDER"), rule
