"""The durable queue of one store, without I/O: what is accepted, when it may go, what has ended, and how a
shard is taken over. Events come in by method, effects go out in order.

    state      input                                  next state  effects
    -          put, of an own shard                   ACCEPTING   WriteMessage, CopyMessage to other stores
    ACCEPTING  on enough disks, lease valid           WAITING     RespondToPut: kept
    WAITING    due, first of its key, worker free     IN_FLIGHT   Deliver
    IN_FLIGHT  done, impossible, failed too often     ENDING      WriteFinalState, CopyFinalState
    IN_FLIGHT  failed, not run, unknown               WAITING     after a backoff
    ENDING     its final state is on enough disks     gone        the next of its key
    any        the shard is another's by a new view   REPLICA     SendDeliveryResult once a delivery has ended
    REPLICA    the shard is ours by a new view        WAITING     after Pull and AskFinalStates of others

`Queue` puts the parts together; each has a module of its own, and `queue_state` says who changes which table.
"""

from collections.abc import Iterable, Mapping
from typing import Any, ClassVar, NamedTuple

from sableford.control.view import View, ViewNumber
from sableford.store.acceptance import Acceptance, Put
from sableford.store.choice import Choice
from sableford.store.delivery_order import DeliveryOrder
from sableford.store.delivery_results import DeliveryResults
from sableford.store.durability import Tolerated
from sableford.store.endings import Endings
from sableford.store.final_state_replication import FinalStateReplication
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
from sableford.store.replica_placement import ReplicaPlacement
from sableford.store.shard_takeover import ShardTakeover
from sableford.transport.routes import RoutingTable
from sableford.transport.verdict import Verdict


class QueueParts(NamedTuple):
    """The types of the parts; tests put others in place to plant a mistake."""

    state: type[QueueState] = QueueState
    placement: type[ReplicaPlacement] = ReplicaPlacement
    order: type[DeliveryOrder] = DeliveryOrder
    replication: type[MessageReplication] = MessageReplication
    final_states: type[FinalStateReplication] = FinalStateReplication
    endings: type[Endings] = Endings
    results: type[DeliveryResults] = DeliveryResults
    takeover: type[ShardTakeover] = ShardTakeover


class Queue:
    """One store's queue. `state` is to be read by its host, which sets `lease`, `unresponsive`, `full` and,
    at the start, what the disk held."""

    parts: ClassVar[QueueParts] = QueueParts()

    def __init__(
        self,
        name: str,
        incarnation: str,
        machine_loss: int,
        table: RoutingTable,
        choice: Choice,
        status_s: float,
        complete: bool,
        zone_loss: int = 0,
        ceiling: tuple[float, float] = (5.0, 1.1),
        region_loss: int = 0,
        region_of: Mapping[str, str] | None = None,
        sync_ms: float = 4000.0,
    ) -> None:
        """`machine_loss`, `zone_loss` and `region_loss`: how many disks, whole zones or whole regions may go
        at once; after `sync_ms` another may. `status_s`: how long a message's final state is asked for.
        `complete`: the own disk holds all that it ever said to hold. `ceiling`: the window (s) in which a
        service may be called so much (a factor) above its rate."""
        parts = self.parts
        self.choice = choice
        self.state = state = parts.state(name, incarnation, table, complete)
        tolerated = Tolerated(machine_loss, zone_loss, region_loss)
        self._rate_limits = RateLimits(*ceiling)
        self._placement = placement = parts.placement(state, tolerated, region_of or {})
        self._order = order = parts.order(state, choice, self._rate_limits)
        self._replication = replication = parts.replication(state, placement)
        self._final_states = final_states = parts.final_states(state, placement, status_s, sync_ms)
        self._endings = endings = parts.endings(state, placement, order, final_states)
        self._acceptance = acceptance = Acceptance(state, placement, order, replication, final_states)
        self._results = parts.results(state, choice, order, endings, final_states)
        self._takeover = parts.takeover(
            state, placement, choice, order, replication, final_states, endings, acceptance
        )
        order.finish = endings.finish
        final_states.on_learned = endings.learned

    # Time, and what holds for all

    def tick(self, now: float, unix: float) -> list[Effect]:
        """What is due. Called some times for each ms that a backoff or a time-out may last."""
        self.state.unix = unix
        self._order.take_due(now)
        self._acceptance.check_all(now)
        self._endings.copy_due(now)
        self._acceptance.end_overdue_lookups(now)
        self._acceptance.refuse_overdue_parked(now)
        self._results.report_again(now)
        self._takeover.ask_all(now)
        self._replication.copy_waiting(now)
        self._final_states.copy_portion(now)
        self._order.dispatch(now)
        return self.state.take_effects()

    def repair(self, now: float) -> list[Effect]:
        """What is still short or untold, now and then."""
        self._results.report(now)
        self._takeover.compare_again()
        for message in self.state.messages.values():
            if self._lacks_replicas(message):
                self._replication.copy_later(message)
        self._replication.copy_waiting(now)
        self._final_states.retry_short()
        return self.state.take_effects()

    def _lacks_replicas(self, message: Message) -> bool:
        is_accepted = message.state not in (State.ACCEPTING, State.ENDING)
        return self.state.owns(message) and is_accepted and not self._placement.is_safe(message)

    def configure(self, now: float, table: RoutingTable) -> list[Effect]:
        """Another version of the configuration is in force."""
        self.state.table = table
        self.choice.fix(now, table)
        self._update_rate_limits(now)
        self._order.enqueue_without_routes(now)
        self._order.dispatch(now)
        return self.state.take_effects()

    def apply_view(self, now: float, view: View) -> list[Effect]:
        """The newest view, at once in force here."""
        self.state.view = view
        self._update_rate_limits(now)
        self._takeover.apply_view(now, view)
        self._results.report(now)
        self._order.dispatch(now)
        return self.state.take_effects()

    def _update_rate_limits(self, now: float) -> None:
        self._rate_limits.update(now, len(self.state.view.live_stores), self.state.table)

    # Messages that come in

    def put(self, now: float, request: PutRequest, body: bytes, waiter: Any) -> list[Effect]:
        """A message from an edge. `waiter` comes back with the response."""
        self._acceptance.put(now, Put(request, body, waiter))
        return self.state.take_effects()

    def message_written(self, now: float, ref: str, problem: str = "") -> list[Effect]:
        """The own disk has the message, or refuses it."""
        message = self.state.messages.get(ref)
        if message is not None and problem:
            message.written_at = NEVER  # other disks must do
        elif message is not None:
            message.synced = True
            self._acceptance.check(now, message)
        return self.state.take_effects()

    def message_copied(self, now: float, ref: str, store: str, accepted: bool) -> list[Effect]:
        """Another store has a replica on its disk, or has not."""
        message = self.state.messages.get(ref)
        is_kept = self._replication.answered(now, message, ref, store, accepted)
        if message is not None and self.state.owns(message):
            if is_kept:
                self._acceptance.check(now, message)
            self._replication.copy_waiting(now)
        return self.state.take_effects()

    def lookup_answered(
        self, now: float, store: str, ref: str, response: LookupResponse | None
    ) -> list[Effect]:
        """What another store knows of a message that may have come before. None, where it did not answer,
        says nothing: the time for it runs out."""
        if response is None:
            return self.state.take_effects()
        if response.final_state is not None and ref in self.state.messages:
            self._endings.learned(now, ref, response.final_state)
        else:
            self._acceptance.lookup_answered(now, store, ref, response.final_state)
        return self.state.take_effects()

    # Deliveries

    def may_send(self, now: float, ref: str, worker: str) -> bool:
        """Whether a delivery is still this store's to begin, once its bytes are read and its worker
        dialled."""
        return self._order.may_send(now, ref, worker)

    def delivered(self, now: float, ref: str, worker: str, verdict: Verdict) -> list[Effect]:
        """A delivery from here is over."""
        self._results.delivered(now, ref, worker, verdict)
        return self.state.take_effects()

    def delivery_reported(
        self, now: float, sender: str, ref: str, shard: int, verdict: Verdict
    ) -> list[Effect]:
        """How a delivery of the owner before has ended."""
        self._results.received(now, sender, ref, shard, verdict)
        return self.state.take_effects()

    def accepts_results(self, shard: int) -> bool:
        """Whether it is for this store to hear how deliveries of the owner before have ended."""
        return self._results.accepts(shard)

    def result_reported(self, ref: str) -> None:
        """The owner knows how a delivery from here has ended."""
        self._results.reported(ref)

    # Final states

    def final_state_written(self, now: float, ref: str, problem: str = "") -> list[Effect]:
        """The own disk has the final state, or refuses it."""
        message = self.state.messages.get(ref)
        if not problem:
            self._final_states.written(ref)
        if message is not None and problem:
            message.written_at = NEVER
        elif message is not None:
            self._endings.written(now, message)
        return self.state.take_effects()

    def final_state_copied(self, now: float, ref: str, store: str, accepted: bool) -> list[Effect]:
        """Another store has the final state on its disk, or has not."""
        if accepted:
            self._endings.copied(now, ref, store)
        return self.state.take_effects()

    def final_states_copied(self, now: float, store: str, refs: list[str], accepted: bool) -> list[Effect]:
        """Another store has these final states on its disk, or has not."""
        self._final_states.copied(now, store, refs, accepted)
        return self.state.take_effects()

    def final_state_learned(self, now: float, ref: str, final_state: FinalState) -> list[Effect]:
        """Another store says how a message has ended."""
        self._endings.learned(now, ref, final_state)
        return self.state.take_effects()

    def final_states_listed(
        self, now: float, store: str, number: int, refs: list[str] | None, is_last: bool
    ) -> list[Effect]:
        """One page of what another store holds; None where it did not answer."""
        self._final_states.listed(store, number, refs, is_last)
        return self.state.take_effects()

    def final_states_answered(
        self, now: float, store: str, number: int, known: dict[str, FinalState] | None
    ) -> list[Effect]:
        """Which of the messages that were asked about have ended; None where the store did not answer."""
        if self._final_states.is_listing(store, number):
            self._final_states.unknown_answered(now, store, known)
        else:
            self._takeover.final_states_answered(now, store, number, known)
        return self.state.take_effects()

    def expire_final_states(self, unix: float) -> list[str]:
        """Those that nobody asks for any more; they go from the disk too."""
        return self._final_states.expire(unix)

    # Replicas for others, and shards that change hands

    def replica_offered(self, now: float, request: CopyRequest, body: bytes | None) -> bool:
        """Whether it is to be kept: not from an owner of the past."""
        state, ref = self.state, request.ref
        if request.epoch < state.view.epochs[request.shard]:
            return False
        if ref not in state.final_states and ref not in state.messages:
            state.messages[ref] = replica_of(now, request, body)
        return True

    def replica_written(self, ref: str) -> None:
        """The own disk has another's message; its bytes need not stay in memory."""
        message = self.state.messages.get(ref)
        if message is not None:
            message.synced = True
            if message.state is State.REPLICA:
                message.body = None

    def drop_allowed(self, now: float, ref: str, epoch: ViewNumber) -> bool:
        """Whether it is to go from the disk: its shard's owner knows nothing of it."""
        state, message = self.state, self.state.messages.get(ref)
        if message is None or state.owns(message) or state.is_being_taken_over(message.shard):
            return False
        if epoch != state.view.epochs[message.shard] or message.state is State.ENDING:
            return False
        if message.position[0] > epoch:  # accepted under a later owner than the one who asks
            return False
        self._endings.remove(now, message)
        return True

    def message_pulled(self, now: float, pulled: PulledMessage, body: bytes | None) -> list[Effect]:
        """A message that another store holds and this one did not."""
        self._takeover.message_pulled(now, pulled, body)
        return self.state.take_effects()

    def pull_answered(
        self, now: float, store: str, number: int, response: PullResponse | None
    ) -> list[Effect]:
        """Another store's answer, its messages having come before it; None where it did not answer."""
        self._takeover.pull_answered(now, store, number, response)
        return self.state.take_effects()

    # What others ask

    def answer_pull(self, request: PullRequest) -> tuple[PullResponse, list[Message]]:
        """What this store holds of the shards: the answer, and the messages that go with it."""
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
        """Those that are known of these messages."""
        return {ref: self.state.final_states[ref] for ref in refs if ref in self.state.final_states}

    def list_final_states(self, shards: Iterable[int], after: str, limit: int) -> tuple[list[str], bool]:
        """The refs of those that are on this disk, in order, and whether there are no more."""
        return self._final_states.page(shards, after, limit)

    def status(self, ref: str) -> MessageState | None:
        """What is known here of a message; None where nothing is."""
        return self.state.status(ref)

    # What the leader is told

    def is_busy(self) -> bool:
        """Whether anything begun here has not ended, or its end is not known to the owner."""
        state = self.state
        return bool(state.owned or state.takeovers or state.in_flight or state.ending)

    def is_safe(self) -> bool:
        """Whether all messages and final states of the own shards have their replicas, by the view in
        force."""
        state = self.state
        own = state.view.live_stores.get(state.me)
        is_retiring = own is not None and own.retiring
        if state.takeovers or (is_retiring and state.ending) or not self._final_states.is_safe():
            return False
        return not any(
            state.owns(message)
            and message.state is not State.ACCEPTING
            and not self._placement.is_safe(message)
            for message in state.messages.values()
        )

    def counts_on_leaving(self) -> bool:
        """Whether what is safe may be so only by replicas on stores that leave."""
        return self._placement.counts_on_leaving()

    def audits(self) -> dict[str, str]:
        """Stores whose disks agree with what is owned here, by their incarnation."""
        return self._takeover.audits()
