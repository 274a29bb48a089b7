"""Accepts messages from edges. A put is acknowledged once its message is on enough disks. No I/O.

A retried put may carry a message that was accepted before and may have run. It is accepted as new only if so
many stores have answered that none of the missing ones can be the only one to know the message.
"""

from typing import Any, NamedTuple

from msgspec.structs import replace

from sableford.store.delivery_order import LOOKUP_MS, DeliveryOrder
from sableford.store.final_state_replication import FinalStateReplication
from sableford.store.message_replication import MessageReplication
from sableford.store.messages import Lookup, Message, RespondToPut, State, WriteMessage
from sableford.store.protocol import (
    ISOLATED,
    NOT_OWNER,
    OPENING,
    FinalState,
    MessageHeader,
    PutRequest,
    PutResponse,
)
from sableford.store.queue_state import QueueState
from sableford.store.replica_placement import ReplicaPlacement

MAX_PARKED = 2000  # puts per shard that wait for its takeover; more are refused
# How long puts wait for a takeover, from its start. Most takeovers are shorter. A longer one waits for absent
# stores, and an edge waits only for a limited time before the outcome of its put counts as unknown.
MAX_PARKED_MS = 400.0

KEPT = PutResponse(kept=True)
REFUSED = PutResponse(refusal=NOT_OWNER)
REFUSED_OPENING = PutResponse(refusal=OPENING)
REFUSED_MAYBE_KEPT = PutResponse(refusal=NOT_OWNER, maybe_kept=True)  # other stores may have a replica


class Put(NamedTuple):
    """A put request as it arrived. `waiter` is handed back with the response."""

    request: PutRequest
    body: bytes
    waiter: Any


class ParkedPut(NamedTuple):
    """A put that waits for the takeover of its shard, at most until `until`."""

    put: Put
    until: float


class PutLookup:
    """A query to the other stores whether they know a message. Its puts wait for it, at most to `until`."""

    def __init__(self, until: float) -> None:
        self.until = until
        self.puts: list[Put] = []
        self.asked: dict[str, str] = {}  # incarnation of each store that was asked
        self.answered: set[str] = set()

    def unanswered(self) -> set[str]:
        """Returns the stores that were asked and have not answered."""
        return self.asked.keys() - self.answered


class Acceptance:
    """Handles puts, also those parked during a takeover and retried ones that are being looked up."""

    def __init__(
        self,
        state: QueueState,
        placement: ReplicaPlacement,
        order: DeliveryOrder,
        replication: MessageReplication,
        final_states: FinalStateReplication,
    ) -> None:
        self._state, self._placement, self._order = state, placement, order
        self._replication, self._final_states = replication, final_states
        self._parked: dict[int, list[ParkedPut]] = {}  # by shard, the oldest first
        self._lookups: dict[str, PutLookup] = {}  # by ref

    def put(self, now: float, put: Put) -> None:
        """Handles a put from an edge."""
        state, request = self._state, put.request
        shard, ref = request.shard, request.ref
        if state.is_being_taken_over(shard):
            self._park(now, put)
            return
        if shard not in state.owned or not state.holds_lease(now):
            self._respond(put, REFUSED)
            return
        known = state.messages.get(ref)
        if ref in state.final_states:
            self._respond(put, KEPT)
        elif known is None and self._placement.is_isolated():
            self._respond(put, PutResponse(refusal=ISOLATED))
        elif known is not None and known.state is State.ACCEPTING:
            known.waiters.append(put.waiter)
        elif known is not None:
            self._respond(put, KEPT)
        elif request.is_retry and state.other_stores():
            self._look_up(now, put)
        else:
            self._accept(now, put)

    def _park(self, now: float, put: Put) -> None:
        """Parks a put, or refuses it if its edge can send the message to another shard instead."""
        request = put.request
        until = self._state.takeovers[request.shard].started_at + MAX_PARKED_MS
        parked = self._parked.setdefault(request.shard, [])
        may_go_elsewhere = not request.key and not request.is_retry
        if may_go_elsewhere or now > until or len(parked) >= MAX_PARKED:
            self._respond(put, REFUSED_OPENING)
        else:
            parked.append(ParkedPut(put, until))

    def _respond(self, put: Put, response: PutResponse) -> None:
        self._state.emit(RespondToPut(put.waiter, response))

    def _accept(self, now: float, put: Put) -> None:
        state, request = self._state, put.request
        header = MessageHeader(
            ref=request.ref,
            shard=request.shard,
            key=request.key,
            id=request.id,
            host=request.host,
            target=request.target,
            method=request.method,
            revision=request.revision,
            position=(state.owned[request.shard], state.next_position()),
            content_type=request.content_type,
            tenant=request.tenant,
            unordered_key=request.unordered_key,
        )
        sent_at = now - request.age_ms
        message = Message(header, put.body, sent_at + request.delay_ms, sent_at)
        message.state = State.ACCEPTING
        message.waiters.append(put.waiter)
        message.written_at = now
        state.messages[message.ref] = message
        state.accepting[message.ref] = None
        self._order.join_key(message)
        state.emit(WriteMessage(message.ref))
        self._replication.copy(now, message)

    def check(self, now: float, message: Message) -> None:
        """Accepts the message if it is on enough disks by now."""
        if message.state is not State.ACCEPTING:
            return
        if not self._placement.is_safe(message) or not self._state.holds_lease(now):
            return
        message.state = State.WAITING
        self._state.accepting.pop(message.ref, None)
        self.respond_to_waiters(message, KEPT)
        self._order.enqueue(now, message)
        self._order.dispatch(now)

    def check_all(self, now: float) -> None:
        """Checks all messages that are being accepted, and copies those that are still on too few disks."""
        for ref in list(self._state.accepting):
            message = self._state.messages[ref]
            self.check(now, message)
            if message.state is State.ACCEPTING:
                self._replication.copy(now, message)

    def respond_to_waiters(self, message: Message, response: PutResponse) -> None:
        """Responds to all puts of the message."""
        for waiter in message.waiters:
            self._state.emit(RespondToPut(waiter, response))
        message.waiters = []

    # Changes of shard ownership

    def refuse_parked(self, shard: int) -> None:
        """Refuses the parked puts of a shard that will not be served here after all."""
        for parked in self._parked.pop(shard, []):
            self._respond(parked.put, REFUSED)

    def refuse_overdue_parked(self, now: float) -> None:
        """Refuses parked puts whose shard did not open in time: too few stores said what they hold."""
        for shard, parked in list(self._parked.items()):
            while parked and now > parked[0].until:
                self._respond(parked.pop(0).put, REFUSED_OPENING)
            if not parked:
                del self._parked[shard]

    def take_parked(self, now: float, shard: int) -> None:
        """Handles the parked puts of a shard that is served here from now on."""
        for parked in self._parked.pop(shard, []):
            self.put(now, parked.put)

    def release(self, shard: int) -> None:
        """Refuses the puts under lookup of a shard that is no longer served here."""
        for ref, lookup in list(self._lookups.items()):
            if lookup.puts[0].request.shard == shard:
                del self._lookups[ref]
                for put in lookup.puts:
                    self._respond(put, REFUSED)

    # Retried puts

    def _look_up(self, now: float, put: Put) -> None:
        ref = put.request.ref
        lookup = self._lookups.setdefault(ref, PutLookup(now + LOOKUP_MS))
        lookup.puts.append(put)
        for name in sorted(lookup.unanswered()):
            self._state.emit(Lookup(name, ref))
        self._ask_stores(ref, lookup)

    def _ask_stores(self, ref: str, lookup: PutLookup) -> None:
        """Asks the stores that have not been asked in their present incarnation."""
        for name in sorted(self._state.other_stores()):
            incarnation = self._state.incarnation_of(name)
            if lookup.asked.get(name) != incarnation:
                lookup.asked[name] = incarnation
                lookup.answered.discard(name)
                self._state.emit(Lookup(name, ref))

    def ask_new_stores(self) -> None:
        """Asks stores that have come into the view about the messages under lookup."""
        for ref, lookup in self._lookups.items():
            self._ask_stores(ref, lookup)

    def lookup_answered(self, now: float, store: str, ref: str, final_state: FinalState | None) -> None:
        """Handles the answer of another store to a lookup."""
        lookup = self._lookups.get(ref)
        if lookup is None:
            return
        if store in lookup.asked:
            lookup.answered.add(store)
        if final_state is not None:
            self._final_states.learn(ref, final_state)
        if self._is_known(ref) or not lookup.unanswered():
            self._end_lookup(now, ref)

    def end_overdue_lookups(self, now: float) -> None:
        """Ends lookups whose time is over, without the answers that are missing."""
        for ref in [ref for ref, lookup in self._lookups.items() if now > lookup.until]:
            self._end_lookup(now, ref)

    def _is_known(self, ref: str) -> bool:
        return ref in self._state.final_states or ref in self._state.messages

    def _end_lookup(self, now: float, ref: str) -> None:
        """Decides on the puts of a lookup.

        If the message was accepted before, it or its final state is on enough disks that one remains after
        any tolerated loss. So if the missing answers amount to more than such a loss, the message may have
        run, and is refused rather than accepted as new.
        """
        lookup = self._lookups.pop(ref)
        is_known = self._is_known(ref)
        answered = self._complete_stores() & (lookup.answered | {self._state.me})
        for put in lookup.puts:
            if is_known or self._placement.can_open(answered):
                self.put(now, put._replace(request=replace(put.request, is_retry=False)))
            else:
                self._respond(put, REFUSED_MAYBE_KEPT)

    def _complete_stores(self) -> set[str]:
        """Returns the live stores, this one included, whose disks still hold all that they ever confirmed."""
        state = self._state
        complete = {name for name, store in state.view.live_stores.items() if store.complete}
        return complete - {state.me} | ({state.me} if state.complete else set())
