"""What a store takes from processes outside its view: earlier incarnations, whose disks may be lost."""

import asyncio
from types import SimpleNamespace

from sableford.control.view import SHARDS, StoreInfo, View
from sableford.simulation.stores import DOC
from sableford.store.effect_executor import EffectExecutor
from sableford.store.messages import (
    AskFinalStates,
    CopyFinalState,
    CopyMessage,
    DropReplica,
    Effect,
    LogEvent,
    Pull,
)
from sableford.store.protocol import (
    Confirmation,
    DeliveryResultRequest,
    FinalState,
    PulledMessage,
    PullResponse,
)
from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerEntry, WorkerSelector
from sableford.transport.routes import RoutingTable
from sableford.transport.verdict import Execution, Verdict
from tests.calls import frame, link_of, sent_by
from tests.memory_network import simulated
from tests.store_scenes import PUT

PULLED = PulledMessage(
    ref="00-a",
    shard=0,
    key="",
    id="a",
    host="h",
    target="/b",
    method="POST",
    revision=1,
    position=((1, 1), 1),
    due_in_ms=0.0,
    age_ms=0.0,
)
RESULT = DeliveryResultRequest("00-a", 0, "done", "", "seal", True)


def view(count: int, owner: str = "s0", **incarnations: str) -> View:
    """Returns a view of these stores, one of which owns all shards since view 1."""
    stores = {name: StoreInfo(incarnation, f"z{name}") for name, incarnation in incarnations.items()}
    owners, births, epochs = [owner] * SHARDS, [incarnations[owner]] * SHARDS, [(1, 1)] * SHARDS
    return View((1, count), owners, births, epochs, stores, roster=["s0", "s1", "s2"])


def queue_of_s0() -> Queue:
    """Returns the queue of s0, which holds a lease and has no shards yet."""
    queue = Queue("s0", "b0", 1, RoutingTable(1, DOC), WorkerSelector("z0", "s0"), 600.0, True)
    queue.selector.put(0.0, WorkerEntry("w", "a", "10.0.0.9", 80, "z0", 2, True), 0.0)
    queue.state.lease = 1e9
    return queue


def serving_queue() -> Queue:
    """Returns the queue of s0, which serves all shards and has not seen a view yet."""
    queue = queue_of_s0()
    queue.state.owned = dict.fromkeys(range(SHARDS), (1, 1))
    return queue


def queue_with_message() -> Queue:
    """Returns the queue of s0, which serves all shards, and has asked s1 to keep a replica of its message."""
    queue = serving_queue()
    queue.apply_view(0.0, view(1, s0="b0", s1="b1"))
    assert copies(queue.put(0.0, PUT, b"x", "edge")) == ["s1"]
    queue.message_written(0.0, "00-a")
    return queue


def copies(effects: list[Effect]) -> list[str]:
    """Returns the stores that are asked to keep a replica of the message, or its final state."""
    return [one.to for one in effects if isinstance(one, CopyMessage | CopyFinalState)]


def shows_a_response_counts_only_from_the_incarnation_that_the_view_shows() -> None:
    # LOST: a copy that a store confirmed before its disk was replaced would count as one on the new disk.
    async def scene(loop) -> None:
        link, transport = link_of()
        link.identify("s1", "b1")
        shown = ["b1"]
        state = SimpleNamespace(incarnation_of=lambda name: shown[-1])
        links = SimpleNamespace(link=lambda name: link)
        executor = EffectExecutor(SimpleNamespace(state=state), None, None, None, links, None, None, None)
        got: list[Confirmation | None] = []
        for at_call, at_response in (("b1", "b1"), ("b1", "b2"), ("", ""), ("b1", ""), ("b2", "b2")):
            shown.append(at_call)
            executor._call("s1", RESULT, got.append)
            shown.append(at_response)
            link.data_received(frame({"yes": True, "a": sent_by(transport)[-1]["q"]}))
            await asyncio.sleep(0.001)
        assert [one is not None for one in got] == [True, False, False, False, False]

    simulated(scene)


def shows_a_replica_confirmed_by_a_store_that_has_left_does_not_count_for_its_successor() -> None:
    # LOST: the message was taken for one on two disks, though that of s1 was replaced meanwhile.
    queue = queue_with_message()
    queue.apply_view(10.0, view(2, s0="b0"))
    queue.message_copied(11.0, "00-a", "s1", True)
    effects = queue.apply_view(2000.0, view(3, s0="b0", s1="b2"))
    assert copies(effects + queue.tick(2010.0, 0.0)) == ["s1"]


def shows_a_final_state_confirmed_by_a_store_that_has_left_does_not_count_for_its_successor() -> None:
    # LOST (no state): the same of the final state, after which the message is removed.
    queue = queue_with_message()
    queue.message_copied(1.0, "00-a", "s1", True)
    queue.delivered(5.0, "00-a", "w", Verdict(Execution.DONE, "", "seal"))
    queue.apply_view(10.0, view(2, s0="b0"))
    queue.final_state_copied(11.0, "00-a", "s1", True)
    queue.final_state_written(12.0, "00-a")
    effects = queue.apply_view(2000.0, view(3, s0="b0", s1="b2"))
    assert copies(effects) == ["s1"] and "00-a" in queue.state.messages


def shows_replicas_known_from_an_earlier_ownership_do_not_count_in_the_next() -> None:
    # LOST: what held while this store owned the shard was kept, though the disk of s1 was replaced since.
    queue = queue_with_message()
    queue.message_copied(1.0, "00-a", "s1", True)
    queue.apply_view(10.0, view(2, "s1", s0="b0", s1="b1"))
    queue.apply_view(20.0, view(3, "s1", s0="b0", s1="b2"))
    (pull,) = pulls(queue.apply_view(30.0, view(4, s0="b0", s1="b2")))
    effects = queue.pull_answered(31.0, "s1", pull.round, PullResponse(True, [], [], {}))
    (question,) = [one for one in effects if isinstance(one, AskFinalStates)]
    effects = queue.final_states_answered(32.0, "s1", question.round, {})
    assert copies(effects) == ["s1"]


def shows_a_takeover_counts_only_the_replicas_that_the_other_stores_have_now() -> None:
    # LOST: a replica that s1 has dropped since would count, as it did in the ownership before.
    queue = queue_with_message()
    queue.message_copied(1.0, "00-a", "s1", True)
    queue.apply_view(10.0, view(2, "s1", s0="b0", s1="b1"))
    (pull,) = pulls(queue.apply_view(30.0, view(3, s0="b0", s1="b1")))
    effects = queue.pull_answered(31.0, "s1", pull.round, PullResponse(True, [], [], {}))
    (question,) = [one for one in effects if isinstance(one, AskFinalStates)]
    effects = queue.final_states_answered(32.0, "s1", question.round, {})
    assert copies(effects) == ["s1"]


def shows_replicas_of_a_store_that_restarts_during_a_takeover_do_not_count() -> None:
    # LOST: what the earlier incarnation had answered was kept while the shard was not open yet.
    queue = queue_of_s0()
    (earlier,) = pulls(queue.apply_view(0.0, view(1, s0="b0", s1="b1")))
    queue.message_pulled(1.0, PULLED, b"x")
    queue.message_written(2.0, "00-a")
    queue.pull_answered(3.0, "s1", earlier.round, PullResponse(False, ["00-a"], [], {}))
    (present,) = pulls(queue.apply_view(10.0, view(2, s0="b0", s1="b2")))
    effects = queue.pull_answered(11.0, "s1", present.round, PullResponse(True, [], [], {}))
    (question,) = [one for one in effects if isinstance(one, AskFinalStates)]
    effects = queue.final_states_answered(12.0, "s1", question.round, {})
    assert copies(effects) == ["s1"]


def pulls(effects: list[Effect]) -> list[Pull]:
    return [one for one in effects if isinstance(one, Pull)]


def shows_a_comparison_of_an_earlier_incarnation_says_nothing_of_the_present_one() -> None:
    # LOST: the leader would take a store with an empty disk for one that every owner has compared.
    queue = serving_queue()
    (earlier,) = pulls(queue.apply_view(0.0, view(1, s0="b0", s1="b1")))
    effects = queue.apply_view(10.0, view(2, s0="b0", s1="b2"))
    effects += queue.pull_answered(11.0, "s1", earlier.round, PullResponse(True, ["00-a"], [], {}))
    assert queue.audits() == {} and not [one for one in effects if isinstance(one, DropReplica)]
    (present,) = pulls(effects)
    queue.pull_answered(12.0, "s1", present.round, PullResponse(False, [], [], {}))
    assert queue.audits() == {"s1": "b2"}


def shows_a_comparison_with_a_store_that_has_left_adds_no_replica() -> None:
    # LOST: a replica on a disk that may be replaced before the store is back.
    queue = serving_queue()
    (compared,) = pulls(queue.apply_view(0.0, view(1, s0="b0", s1="b1")))
    queue.put(1.0, PUT, b"x", "edge")
    queue.message_written(2.0, "00-a")
    queue.apply_view(10.0, view(2, s0="b0"))
    queue.pull_answered(11.0, "s1", compared.round, PullResponse(True, ["00-a"], [], {}))
    effects = queue.apply_view(2000.0, view(3, s0="b0", s1="b2"))
    assert copies(effects + queue.tick(2010.0, 0.0)) == ["s1"]


def shows_a_batch_confirmed_by_a_store_that_has_left_does_not_count_for_its_successor() -> None:
    # LOST (no state): copies of final states whose message is removed already.
    replication = serving_queue()._final_states
    state = replication._state
    state.final_states["00-a"] = FinalState("complete", "seal", "", 0.0)
    replication.adopt([0])
    state.view = view(1, s0="b0")
    replication.copied(11.0, "s1", ["00-a"], True)
    state.view = view(2, s0="b0", s1="b2")
    assert replication.under_replicated(frozenset({"s0", "s1"})) == ["00-a"]


def shows_a_takeover_waits_for_the_present_incarnation_after_an_earlier_one_has_answered() -> None:
    # LOST: the shards would open on the word of a disk that is gone.
    queue = queue_of_s0()
    (earlier,) = pulls(queue.apply_view(0.0, view(1, s0="b0", s1="b1")))
    (present,) = pulls(queue.apply_view(10.0, view(2, s0="b0", s1="b2")))
    effects = queue.pull_answered(11.0, "s1", earlier.round, PullResponse(True, [], [], {}))
    assert not effects and not queue.state.owned
    effects = queue.pull_answered(12.0, "s1", present.round, PullResponse(True, [], [], {}))
    assert "shards_open" in [one.event for one in effects if isinstance(one, LogEvent)]
    assert queue.audits() == {"s1": "b2"}
