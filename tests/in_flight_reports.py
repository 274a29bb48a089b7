"""What a store counts of the deliveries that others have in flight, and what it logs if none may start."""

from sableford.control.view import SHARDS, StoreInfo, View
from sableford.simulation.stores import DOC
from sableford.store.messages import Effect, LogEvent
from sableford.store.protocol import PutRequest
from sableford.store.queue import Queue
from sableford.store.stalled_backends import STALL_MS
from sableford.store.worker_selection import WorkerEntry, WorkerSelector
from sableford.transport.routes import RoutingTable

PUT = PutRequest(
    ref="00-a",
    shard=0,
    key="",
    id="a",
    host="h",
    target="/b",
    method="POST",
    delay_ms=0.0,
    age_ms=0.0,
    revision=1,
)
WORKER = WorkerEntry("w", "a", "10.0.0.9", 80, "z0", 1, True)


def view(count: int, **incarnations: str) -> View:
    """Returns a view of these stores, in which s0 owns all shards."""
    stores = {name: StoreInfo(incarnation, f"z{name}") for name, incarnation in incarnations.items()}
    owners, epochs = [["s0"] * SHARDS, [incarnations["s0"]] * SHARDS], [(1, 1)] * SHARDS
    return View((1, count), *owners, epochs, stores, roster=sorted(stores))


def queue_of_s0() -> Queue:
    """Returns the queue of s0, which holds a lease on shard 0, beside one worker with one slot."""
    queue = Queue("s0", "b0", 0, RoutingTable(1, DOC), WorkerSelector("z0", "s0"), 600.0, True)
    queue.selector.put(0.0, WORKER, 0.0)
    queue.state.lease = 1e9
    return queue


def logged(effects: list[Effect]) -> list[LogEvent]:
    return [effect for effect in effects if isinstance(effect, LogEvent)]


def shows_a_backend_whose_workers_all_count_as_full_is_logged_once_with_who_is_counted() -> None:
    # review/1: messages waited beside idle workers, and no log said whom the store took to be there.
    queue = queue_of_s0()
    queue.apply_view(0.0, view(1, s0="b0"))
    queue.state.owned = {0: (1, 1)}
    queue.selector.update_reported_counts(0.0, "s1", {"w": 1})
    queue.put(0.0, PUT, b"x", "edge")
    queue.message_written(0.0, "00-a")
    assert not logged(queue.repair(0.0)) and not logged(queue.repair(STALL_MS - 1.0))
    (stalled,) = logged(queue.repair(STALL_MS))
    assert stalled.event == "backend_stalled" and stalled.fields["waiting"] == 1
    assert stalled.fields["workers"]["w"]["reported"] == {"s1": 1}
    assert not logged(queue.repair(STALL_MS + 500.0))
    queue.selector.update_reported_counts(STALL_MS + 600.0, "s1", {"w": 0})
    queue.tick(STALL_MS + 700.0, 0.0)
    (resumed,) = logged(queue.repair(STALL_MS + 1000.0))
    assert resumed.event == "backend_resumed"
