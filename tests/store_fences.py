"""What a store may still do after it lost a shard or its lease, or after another store restarted."""

from contextlib import suppress

from sableford.control.coordinator import Coordinator
from sableford.control.view import SHARDS, StoreInfo, View
from sableford.simulation.stores import DOC, RuleViolation, Simulation
from sableford.store.delivery_results import CONFIRMATION_MS
from sableford.store.messages import Deliver, DropReplica, Effect, LogEvent, Pull, State
from sableford.store.protocol import MessageState, PullResponse
from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerEntry, WorkerSelector
from sableford.transport.routes import RoutingTable
from sableford.transport.verdict import Execution, Verdict
from tests.store_losses import first_fault
from tests.store_scenes import PUT

KNOWS = PullResponse(True, ["00-a"], [], {})


def view(count: int, owner: str, incarnation: str = "b1") -> View:
    """Returns a view in which one store owns all shards, since this view."""
    incarnations = {"s0": "b0", "s1": incarnation}
    stores = {name: StoreInfo(incarnation, f"z{name}") for name, incarnation in incarnations.items()}
    return View((1, count), [owner] * SHARDS, [incarnations[owner]] * SHARDS, [(1, count)] * SHARDS, stores)


def take_over(queue: Queue, now: float, count: int) -> list[Effect]:
    """Makes s0 the owner, to which s1 answers what it holds."""
    asked = [effect for effect in queue.apply_view(now, view(count, "s0")) if isinstance(effect, Pull)]
    effects = [effect for pull in asked for effect in queue.pull_answered(now, "s1", pull.round, KNOWS)]
    queries = [effect for effect in effects if type(effect).__name__ == "AskFinalStates"]
    return effects + [
        effect for one in queries for effect in queue.final_states_answered(now, "s1", one.round, {})
    ]


def queue_with_delivery_in_flight() -> Queue:
    """Returns the queue of s0, which owns all shards and has one delivery in flight."""
    queue = Queue("s0", "b0", 1, RoutingTable(1, DOC), WorkerSelector("z0", "s0"), 600.0, True)
    queue.selector.put(0.0, WorkerEntry("w", "a", "10.0.0.9", 80, "z0", 2, True), 0.0)
    queue.state.lease = 1e9
    take_over(queue, 0.0, 1)
    queue.put(0.0, PUT, b"x", "edge")
    queue.message_written(0.0, "00-a")
    sent = queue.message_copied(0.0, "00-a", "s1", True)
    assert [effect.ref for effect in sent if isinstance(effect, Deliver)] == ["00-a"]
    return queue


def shows_a_message_in_flight_is_not_sent_again_when_its_shard_returns_to_the_sender() -> None:
    queue = queue_with_delivery_in_flight()
    queue.apply_view(10.0, view(2, "s1"))
    effects = take_over(queue, 20.0, 3)
    for now in range(30, 900, 15):
        effects += queue.tick(float(now), 0.0)
    assert not [effect for effect in effects if isinstance(effect, Deliver)]
    assert queue.state.messages["00-a"].state is State.IN_FLIGHT_ELSEWHERE
    queue.delivered(900.0, "00-a", "w", Verdict(Execution.DONE, "", "seal"))
    assert queue.status("00-a") == MessageState("complete", "seal")


def shows_a_store_confirms_results_only_for_shards_that_it_owns() -> None:
    queue = queue_with_delivery_in_flight()
    assert queue.accepts_results(0)
    queue.apply_view(10.0, view(2, "s1"))
    assert not queue.accepts_results(0)


def emptied_with_delivery_in_flight() -> Queue:
    """Returns the queue of s0, which is being emptied and has a delivery in flight; s1 owns its shard."""
    queue = queue_with_delivery_in_flight()
    retiring = view(2, "s1")
    retiring.live_stores["s0"].retiring = True
    queue.apply_view(10.0, retiring)
    return queue


def shows_a_store_that_is_emptied_is_not_safe_before_its_deliveries_have_ended_and_are_known() -> None:
    # TWICE: it was removed while its deliveries went on, and owners, taking it for gone, sent them again.
    queue = emptied_with_delivery_in_flight()
    assert not queue.is_safe()
    queue.delivered(900.0, "00-a", "w", Verdict(Execution.FAILED, "failed"))
    assert not queue.is_safe(), "the owner does not know the result"
    queue.result_reported("00-a")
    assert queue.is_safe()


def shows_a_store_that_is_emptied_waits_for_an_owner_s_confirmation_only_so_long() -> None:
    # Stalled retirement: an owner that never confirms a result would keep the store from being removed.
    queue = emptied_with_delivery_in_flight()
    deadline = queue.state.in_flight["00-a"].until
    queue.delivered(900.0, "00-a", "w", Verdict(Execution.FAILED, "failed"))
    queue.repair(deadline + CONFIRMATION_MS)
    assert not queue.is_safe()
    effects = queue.repair(deadline + CONFIRMATION_MS + 1.0)
    assert [one.event for one in effects if isinstance(one, LogEvent)] == ["result_unconfirmed"]
    assert queue.is_safe() and not queue.is_busy()


class RetiresWithDeliveries(Queue):
    """Reports that all it holds is safe while its deliveries go on."""

    def is_safe(self):
        in_flight, self.state.in_flight = self.state.in_flight, {}
        try:
            return super().is_safe()
        finally:
            self.state.in_flight = in_flight


# Runs that outlast a retirement, at workers that are nearly full: a second delivery waits for a place.
EMPTIED = {"faults": 4, "kinds": ("retire",), "stores": 7, "seconds": 14.0}
EMPTIED |= {"messages_per_s": 12.0, "run_ms": (300.0, 900.0)}


def shows_stores_that_are_emptied_under_long_runs_run_nothing_twice() -> None:
    assert first_fault(Queue, range(10), **EMPTIED) == ("", -1)


def shows_the_simulation_detects_a_store_that_is_emptied_and_removed_with_deliveries_in_flight() -> None:
    rule, _ = first_fault(RetiresWithDeliveries, range(30), **EMPTIED)
    assert rule in ("TWICE", "ORDER"), rule


class GivesShardsToStoresBeingRemoved(Coordinator):
    """Gives shards to a store that comes back although its removal may still be agreed on."""

    @property
    def _removing(self):
        return set()

    @_removing.setter
    def _removing(self, names): ...


# Restarts that take as long as a store may be away, and removals that are agreed on late.
SLOW_RESTARTS = {"faults": 4, "kinds": ("rolling",), "stores": 5, "seconds": 18.0, "messages_per_s": 14.0}
SLOW_RESTARTS |= {"run_ms": (200.0, 800.0), "restart_ms": (1190.0, 1400.0), "removal_ms": (50.0, 600.0)}
# The same for longer, with removals that are mostly agreed on after the store has come back.
LATE_REMOVALS = SLOW_RESTARTS | {"faults": 8, "seconds": 30.0, "removal_ms": (300.0, 900.0)}


def shows_stores_that_return_as_they_are_removed_run_nothing_twice_and_lose_nothing() -> None:
    assert first_fault(Queue, range(5, 11), **SLOW_RESTARTS) == ("", -1)
    assert first_fault(Queue, range(5, 11), **LATE_REMOVALS) == ("", -1)


def shows_the_simulation_detects_shards_that_are_given_to_a_store_being_removed() -> None:
    rule, _ = first_fault(
        Queue, range(5, 30), coordinator_factory=GivesShardsToStoresBeingRemoved, **LATE_REMOVALS
    )
    assert rule in ("TWICE", "ORDER") or rule.startswith("LOST"), rule


def shows_a_store_without_a_lease_lets_no_store_drop_a_replica() -> None:
    queue = queue_with_delivery_in_flight()
    compared = PullResponse(True, ["00-unknown"], [], {})
    back = view(1, "s0", "b2")
    back.number = (1, 2)  # s0 owns all as before; s1 has returned and is compared
    pulls = [one for one in queue.apply_view(10.0, back) if isinstance(one, Pull)]
    again = queue.pull_answered(20.0, "s1", pulls[0].round, compared)
    assert [effect.ref for effect in again if isinstance(effect, DropReplica)] == ["00-unknown"]
    queue._comparison.compare("s1")
    queue.state.lease = 100.0
    late = queue.pull_answered(2000.0, "s1", 0, compared)
    assert not [effect for effect in late if isinstance(effect, DropReplica)]


def shows_an_answer_of_a_previous_incarnation_is_ignored() -> None:
    """An owner that was paused reads the answer of a store that lost its disk and restarted meanwhile."""
    walk = Simulation(1, 0, stores=4)
    owner, got = walk.stores["s0"], []

    def ask() -> None:
        walk._request("s0", "s1", lambda other, reply: reply(True), got.append)
        restarted = {name: StoreInfo("later", "z") for name in walk.stores}
        owner.queue.state.view = View(owner.queue.state.view.number, live_stores=restarted)

    walk.later(3000.0, ask)
    walk.later(3010.0, setattr, walk, "_events", [])
    with suppress(RuleViolation):  # the run is cut short
        walk.play()
    assert got == [None]


LONGER = {"routes": [route | {"deadlineMs": 4000} for route in DOC["routes"]], "backends": DOC["backends"]}
HANGS = {"faults": 12, "kinds": ("hang",), "stores": 4, "seconds": 14.0, "delay_ms": 6000.0}
HANGS |= {"doc": LONGER, "messages_per_s": 60.0}  # deliveries that may last longer than a lease


class SendsAfterLoading(Queue):
    """Does not check its lease again after a message's body was read."""

    def may_send(self, now, ref, worker):
        return True


def shows_the_lease_is_checked_again_after_a_body_was_read() -> None:
    for seed in range(3):
        Simulation(seed, **HANGS).play()
    rules = set()
    for seed in range(10):
        try:
            Simulation(seed, queue_factory=SendsAfterLoading, **HANGS).play()
        except RuleViolation as violation:
            rules.add(str(violation).split(" in walk")[0])
            break
    assert rules & {"FENCE", "ORDER", "TWICE"}, rules
