"""The durable queue of one store: accepts, orders, delivers and ends messages, and takes shards over.

It does no I/O: events come in as method calls, and each returns the effects to carry out, in order.

    state      event                                  next state  effects
    -          put, of an owned shard                 ACCEPTING   WriteMessage, CopyMessage to other stores
    ACCEPTING  on enough disks, lease valid           WAITING     RespondToPut: kept
    WAITING    due, first of its key, worker free     IN_FLIGHT   Deliver
    IN_FLIGHT  done, impossible, failed too often     ENDING      WriteFinalState, CopyFinalState
    IN_FLIGHT  failed, not run, unknown               WAITING     after a backoff
    ENDING     its final state is on enough disks     removed     the next of its key
    any        a new view names another owner         REPLICA     SendDeliveryResult once a delivery has ended
    REPLICA    a new view makes this store the owner  WAITING     after Pull and AskFinalStates of others

`Queue` connects the parts. Each has a module of its own; `queue_state` lists which part changes which table.
"""

from collections.abc import Iterable, Mapping
from typing import Any, ClassVar, NamedTuple

from sableford.control.view import View, ViewNumber
from sableford.store.acceptance import Acceptance, Put
from sableford.store.delivery_order import DeliveryOrder
from sableford.store.delivery_results import DeliveryResults
from sableford.store.durability import Tolerated
from sableford.store.final_state_replication import FinalStateReplication
from sableford.store.message_finalization import MessageFinalization
from sableford.store.message_replication import MessageReplication
from sableford.store.messages import NEVER, Effect, Message, State, replica_of
from sableford.store.protocol import (
    CopyRequest,
    FinalState,
    LookupResponse,
    MessageState,
    PulledMessage,
    PullRequest,
    PullResponse,
    PutRequest,
)
from sableford.store.queue_state import QueueState
from sableford.store.rate_limits import RateLimits
from sableford.store.replica_comparison import ReplicaComparison
from sableford.store.replica_placement import ReplicaPlacement
from sableford.store.shard_takeover import ShardTakeover
from sableford.store.stalled_backends import StalledBackends
from sableford.store.worker_selection import WorkerSelector
from sableford.transport.routes import RoutingTable
from sableford.transport.verdict import Verdict


class QueueParts(NamedTuple):
    """The classes of the parts; tests replace them to inject faults."""

    state: type[QueueState] = QueueState
    placement: type[ReplicaPlacement] = ReplicaPlacement
    order: type[DeliveryOrder] = DeliveryOrder
    replication: type[MessageReplication] = MessageReplication
    final_states: type[FinalStateReplication] = FinalStateReplication
    finalization: type[MessageFinalization] = MessageFinalization
    results: type[DeliveryResults] = DeliveryResults
    takeover: type[ShardTakeover] = ShardTakeover


class Queue:
    """The queue of one store.

    The host may read `state`. It sets `lease`, `unresponsive` and `full` there and, at the start, what the
    disk holds.
    """

    parts: ClassVar[QueueParts] = QueueParts()

    def __init__(
        self,
        name: str,
        incarnation: str,
        machine_loss: int,
        table: RoutingTable,
        selector: WorkerSelector,
        status_s: float,
        complete: bool,
        zone_loss: int = 0,
        ceiling: tuple[float, float] = (5.0, 1.1),
        region_loss: int = 0,
        region_of: Mapping[str, str] | None = None,
        sync_ms: float = 4000.0,
    ) -> None:
        """Creates an empty queue.

        `machine_loss`, `zone_loss`, `region_loss`: how many disks, whole zones or whole regions may be lost
        at once; another may be lost `sync_ms` later. `status_s`: how long clients may ask for a final state.
        `complete`: the local disk still holds all that it ever confirmed. `ceiling`: a window (s) and the
        factor by which calls to a backend may exceed its rate within it.
        """
        parts = self.parts
        self.selector = selector
        self.state = state = parts.state(name, incarnation, table, complete)
        tolerated = Tolerated(machine_loss, zone_loss, region_loss)
        self._rate_limits = RateLimits(*ceiling)
        self._placement = placement = parts.placement(state, tolerated, region_of or {})
        self._order = order = parts.order(state, selector, self._rate_limits)
        self._replication = replication = parts.replication(state, placement)
        self._final_states = final_states = parts.final_states(state, placement, status_s, sync_ms)
        self._finalization = finalization = parts.finalization(state, placement, order, final_states)
        self._acceptance = acceptance = Acceptance(state, placement, order, replication, final_states)
        self._results = parts.results(state, selector, order, finalization, final_states)
        self._comparison = comparison = ReplicaComparison(state, acceptance)
        self._takeover = parts.takeover(
            state, placement, selector, order, replication, final_states, finalization, acceptance, comparison
        )
        self._stalled_backends = StalledBackends(state, selector, order)
        order.finish = finalization.finish
        final_states.on_learned = finalization.learned

    # Time, configuration and view

    def tick(self, now: float, unix: float) -> list[Effect]:
        """Does what is due. Must be called several times within the shortest backoff or time-out."""
        self.state.unix = unix
        self._order.take_due(now)
        self._acceptance.check_all(now)
        self._finalization.copy_due(now)
        self._acceptance.end_overdue_lookups(now)
        self._acceptance.refuse_overdue_parked(now)
        self._results.report_again(now)
        self._takeover.ask_all(now)
        self._replication.copy_waiting(now)
        self._final_states.copy_batch(now)
        self._order.dispatch(now)
        return self.state.take_effects()

    def repair(self, now: float) -> list[Effect]:
        """Resumes what was not replicated or reported. Called from time to time."""
        self._results.report(now)
        if self._is_retiring():
            self._results.drop_unconfirmed(now)
        self._comparison.compare_again()
        for message in self.state.messages.values():
            if self._lacks_replicas(message):
                self._replication.copy_later(message)
        self._replication.copy_waiting(now)
        self._final_states.retry_under_replicated()
        self._stalled_backends.check(now)
        return self.state.take_effects()

    def _lacks_replicas(self, message: Message) -> bool:
        is_accepted = message.state not in (State.ACCEPTING, State.ENDING)
        return self.state.owns(message) and is_accepted and not self._placement.is_safe(message)

    def configure(self, now: float, table: RoutingTable) -> list[Effect]:
        """Applies a version of the configuration."""
        self.state.table = table
        self.selector.set_fixed_endpoints(now, table)
        self._update_rate_limits(now)
        self._order.enqueue_without_routes(now)
        self._order.dispatch(now)
        return self.state.take_effects()

    def apply_view(self, now: float, view: View) -> list[Effect]:
        """Applies a newer view."""
        self.state.view = view
        self._update_rate_limits(now)
        self._takeover.apply_view(now, view)
        self._results.report(now)
        self._order.dispatch(now)
        return self.state.take_effects()

    def _update_rate_limits(self, now: float) -> None:
        self._rate_limits.update(now, len(self.state.view.live_stores), self.state.table)

    # Incoming messages

    def put(self, now: float, request: PutRequest, body: bytes, waiter: Any) -> list[Effect]:
        """Handles a put from an edge. `waiter` is handed back with the response."""
        self._acceptance.put(now, Put(request, body, waiter))
        return self.state.take_effects()

    def message_written(self, now: float, ref: str, problem: str = "") -> list[Effect]:
        """Handles that the local disk has the message or, with a `problem`, refuses it."""
        message = self.state.messages.get(ref)
        if message is not None and problem:
            message.written_at = NEVER  # rely on other disks
        elif message is not None:
            message.synced = True
            self._acceptance.check(now, message)
        return self.state.take_effects()

    def message_copied(self, now: float, ref: str, store: str, accepted: bool) -> list[Effect]:
        """Handles the response of another store to a copy of the message."""
        message = self.state.messages.get(ref)
        is_replicated = self._replication.answered(now, message, ref, store, accepted)
        if message is not None and self.state.owns(message):
            if is_replicated:
                self._acceptance.check(now, message)
            self._replication.copy_waiting(now)
        return self.state.take_effects()

    def lookup_answered(
        self, now: float, store: str, ref: str, response: LookupResponse | None
    ) -> list[Effect]:
        """Handles the answer of another store to a lookup. None, for no answer, leaves it to time out."""
        if response is None:
            return self.state.take_effects()
        if response.final_state is not None and ref in self.state.messages:
            self._finalization.learned(now, ref, response.final_state)
        else:
            self._acceptance.lookup_answered(now, store, ref, response.final_state)
        return self.state.take_effects()

    # Deliveries

    def may_send(self, now: float, ref: str, worker: str) -> bool:
        """Whether a delivery may still be sent, once the body is read and the connection is open."""
        return self._order.may_send(now, ref, worker)

    def delivered(self, now: float, ref: str, worker: str, verdict: Verdict) -> list[Effect]:
        """Handles the end of a delivery that was sent from here."""
        self._results.delivered(now, ref, worker, verdict)
        return self.state.take_effects()

    def delivery_reported(
        self, now: float, sender: str, ref: str, shard: int, verdict: Verdict
    ) -> list[Effect]:
        """Handles the result of a delivery that the previous owner sent."""
        self._results.received(now, sender, ref, shard, verdict)
        return self.state.take_effects()

    def accepts_results(self, shard: int) -> bool:
        """Whether results of the previous owner's deliveries in this shard are for this store."""
        return self._results.accepts(shard)

    def result_reported(self, ref: str) -> None:
        """Handles that the owner has confirmed the result of a delivery from here."""
        self._results.reported(ref)

    # Final states

    def final_state_written(self, now: float, ref: str, problem: str = "") -> list[Effect]:
        """Handles that the local disk has the final state or, with a `problem`, refuses it."""
        message = self.state.messages.get(ref)
        if not problem:
            self._final_states.written(ref)
        if message is not None and problem:
            message.written_at = NEVER
        elif message is not None:
            self._finalization.written(now, message)
        return self.state.take_effects()

    def final_state_copied(self, now: float, ref: str, store: str, accepted: bool) -> list[Effect]:
        """Handles the response of another store to a copy of a final state."""
        if accepted:
            self._finalization.copied(now, ref, store)
        return self.state.take_effects()

    def final_states_copied(self, now: float, store: str, refs: list[str], accepted: bool) -> list[Effect]:
        """Handles the response of another store to copies of final states."""
        self._final_states.copied(now, store, refs, accepted)
        return self.state.take_effects()

    def final_state_learned(self, now: float, ref: str, final_state: FinalState) -> list[Effect]:
        """Handles a final state from another store."""
        self._finalization.learned(now, ref, final_state)
        return self.state.take_effects()

    def final_states_listed(
        self, now: float, store: str, number: int, refs: list[str] | None, is_last: bool
    ) -> list[Effect]:
        """Handles one page of a listing; `refs` is None if the store did not answer."""
        self._final_states.listed(store, number, refs, is_last)
        return self.state.take_effects()

    def final_states_answered(
        self, now: float, store: str, number: int, known: dict[str, FinalState] | None
    ) -> list[Effect]:
        """Handles the final states that were asked for; `known` is None if the store did not answer."""
        if self._final_states.is_listing(store, number):
            self._final_states.unknown_answered(now, store, known)
        else:
            self._takeover.final_states_answered(now, store, number, known)
        return self.state.take_effects()

    def expire_final_states(self, unix: float) -> list[str]:
        """Removes final states past their retention, and returns their refs for removal from the disk."""
        return self._final_states.expire(unix)

    # Replicas for other owners, and takeovers

    def replica_offered(self, now: float, request: CopyRequest, body: bytes | None) -> bool:
        """Handles an offered replica. Returns whether to keep it; one from a previous owner is refused."""
        state, ref = self.state, request.ref
        if request.epoch < state.view.epochs[request.shard]:
            return False
        if ref not in state.final_states and ref not in state.messages:
            state.messages[ref] = replica_of(now, request, body)
        return True

    def replica_written(self, ref: str) -> None:
        """Handles that a replica is on the local disk; its body need not stay in memory."""
        message = self.state.messages.get(ref)
        if message is not None:
            message.synced = True
            if message.state is State.REPLICA:
                message.body = None

    def drop_allowed(self, now: float, ref: str, epoch: ViewNumber) -> bool:
        """Drops a message that its owner does not know, if that is safe. Returns whether it was dropped."""
        state, message = self.state, self.state.messages.get(ref)
        if message is None or state.owns(message) or state.is_being_taken_over(message.shard):
            return False
        if epoch != state.view.epochs[message.shard] or message.state is State.ENDING:
            return False
        if message.position[0] > epoch:  # accepted by a later owner than the sender
            return False
        self._finalization.remove(now, message)
        return True

    def message_pulled(self, now: float, pulled: PulledMessage, body: bytes | None) -> list[Effect]:
        """Handles a message that another store holds and this one did not."""
        self._takeover.message_pulled(now, pulled, body)
        return self.state.take_effects()

    def pull_answered(
        self, now: float, store: str, number: int, response: PullResponse | None
    ) -> list[Effect]:
        """Handles the response to a pull, which follows its messages; None if the store did not answer."""
        self._takeover.pull_answered(now, store, number, response)
        return self.state.take_effects()

    # Requests of other processes

    def answer_pull(self, request: PullRequest) -> tuple[PullResponse, list[Message]]:
        """Returns what this store holds of the shards: the response, and the messages to send before it."""
        state, wanted, known = self.state, set(request.shards), set(request.known)
        held = [
            message
            for message in state.messages.values()
            if message.shard in wanted and message.ref not in state.final_states
        ]
        response = PullResponse(
            complete=state.complete,
            refs=[message.ref for message in held if message.synced],
            in_flight=[message.ref for message in held if message.ref in state.in_flight],
            attempts={message.ref: message.attempts for message in held if message.attempts},
            shards=request.shards,
        )
        if not request.with_messages:
            return response, []
        return response, [message for message in held if message.ref not in known]

    def final_states_of(self, refs: Iterable[str]) -> dict[str, FinalState]:
        """Returns the known final states of these messages."""
        return {ref: self.state.final_states[ref] for ref in refs if ref in self.state.final_states}

    def list_final_states(self, shards: Iterable[int], after: str, limit: int) -> tuple[list[str], bool]:
        """Returns a page of the refs on the local disk, in order, and whether it is the last."""
        return self._final_states.page(shards, after, limit)

    def status(self, ref: str) -> MessageState | None:
        """Returns what is known here about a message; None if nothing is."""
        return self.state.status(ref)

    # Reports to the leader

    def is_busy(self) -> bool:
        """Whether work that was begun here has not finished, or its result is not known to the owner."""
        state = self.state
        return bool(state.owned or state.takeovers or state.in_flight or state.ending)

    def is_safe(self) -> bool:
        """Whether all messages and final states of the owned shards are durable under the view in force.

        If this store is being emptied, all work that was begun here must have ended as well.
        """
        state = self.state
        if state.takeovers or not self._final_states.is_safe():
            return False
        # A store that is being emptied is removed once it is safe, and then no store waits for its results.
        if self._is_retiring() and (state.ending or state.in_flight):
            return False
        return not any(
            state.owns(message)
            and message.state is not State.ACCEPTING
            and not self._placement.is_safe(message)
            for message in state.messages.values()
        )

    def _is_retiring(self) -> bool:
        own = self.state.view.live_stores.get(self.state.me)
        return own is not None and own.retiring

    def counts_on_leaving(self) -> bool:
        """Whether durability may depend on replicas on stores that are leaving."""
        return self._placement.counts_on_leaving()

    def audits(self) -> dict[str, str]:
        """Returns the incarnations of the stores that were compared with all shards owned here."""
        return self._comparison.audits()
