"""Carries out the effects of a queue in virtual time: disk writes and requests to other stores."""

from collections.abc import Callable
from typing import Any, NamedTuple

from msgspec.structs import replace

from sableford.simulation.stores.model import DISK_SYNC_MS, SimulatedStore
from sableford.simulation.stores.network import Network
from sableford.store.messages import (
    AskFinalStates,
    CopyFinalState,
    CopyFinalStates,
    CopyMessage,
    Deliver,
    DropReplica,
    ExchangeInFlightCounts,
    ListFinalStates,
    Lookup,
    Pull,
    RespondToPut,
    SendDeliveryResult,
    WriteFinalState,
    WriteFinalStates,
    WriteMessage,
)
from sableford.store.protocol import (
    CopyRequest,
    FinalState,
    LookupResponse,
    MessageHeader,
    PulledMessage,
    PullRequest,
    PullResponse,
)

Reply = Callable[[Any], None]


class WrittenMessage(NamedTuple):
    """A message as it is stored on a simulated disk."""

    header: MessageHeader
    body: bytes | None
    due_at: float
    sent_at: float


class PullAnswer(NamedTuple):
    """The response to a pull, and the messages that are sent before it on the same link."""

    response: PullResponse
    messages: list[tuple[PulledMessage, bytes | None]]


class Effects(Network):
    """The environment of a store's queue."""

    def apply_effects(self, store: SimulatedStore, effects: list) -> None:
        """Carries out effects in order."""
        for effect in effects:
            match effect:
                case WriteMessage(ref):
                    self._write_message(store, ref)
                case WriteFinalState(ref):
                    self._write_final_state(store, ref)
                case WriteFinalStates(refs):
                    for ref in refs:
                        self._write_final_state(store, ref)
                case DropReplica(to, ref, epoch):
                    self._transmit(store.name, to, self._drop, ref, epoch)
                case ExchangeInFlightCounts(to):
                    self._exchange_in_flight_counts(store, to)
                case RespondToPut(waiter, response):
                    self.later(self._delay(), waiter, response)
                case Deliver(ref, worker, until):
                    self._deliver(store, store.incarnation, ref, worker, until)
                case _:
                    self._call_store(store, effect)

    def _call_store(self, store: SimulatedStore, effect: Any) -> None:
        """An effect that is a call to another store."""
        name, queue = store.name, store.queue
        match effect:
            case CopyMessage(to, ref, epoch):
                if (message := queue.state.messages.get(ref)) is None:
                    return
                request, body = message.copy_request(self.now, epoch), message.body

                def copied(accepted: bool | None) -> None:
                    self.apply_effects(store, queue.message_copied(self.now, ref, to, bool(accepted)))

                self._request(name, to, lambda other, reply: self._copy(other, request, body, reply), copied)
            case CopyFinalState(to, ref, _, final_state):

                def stored(accepted: bool | None) -> None:
                    self.apply_effects(store, queue.final_state_copied(self.now, ref, to, bool(accepted)))

                self._request(
                    name,
                    to,
                    lambda other, reply: self._store_final_state(other, ref, final_state, reply),
                    stored,
                )
            case CopyFinalStates(to, refs):
                known = {
                    ref: queue.state.final_states[ref] for ref in refs if ref in queue.state.final_states
                }

                def copied_all(accepted: bool | None) -> None:
                    self.apply_effects(store, queue.final_states_copied(self.now, to, refs, bool(accepted)))

                self._request(
                    name, to, lambda other, reply: self._store_final_states(other, known, reply), copied_all
                )
            case ListFinalStates(to, number, shards, after, limit):
                self._request(
                    name,
                    to,
                    lambda other, reply: reply(other.queue.list_final_states(shards, after, limit)),
                    lambda page: self._listed(store, to, number, page),
                )
            case Pull(to, number, shards, known_refs, with_messages):
                pull = PullRequest(shards, known_refs, with_messages)
                self._request(
                    name,
                    to,
                    lambda other, reply: self._pull(other, pull, reply),
                    lambda answer: self._pulled(store, to, number, answer),
                )
            case AskFinalStates(to, number, refs):

                def answered(known: dict[str, FinalState] | None) -> None:
                    self.apply_effects(store, queue.final_states_answered(self.now, to, number, known))

                self._request(
                    name, to, lambda other, reply: reply(other.queue.final_states_of(refs)), answered
                )
            case Lookup(to, ref):

                def found(response: LookupResponse | None) -> None:
                    self.apply_effects(store, queue.lookup_answered(self.now, to, ref, response))

                self._request(name, to, lambda other, reply: reply(self._look_up(other, ref)), found)
            case SendDeliveryResult(to, ref, _, _):
                self._request(
                    name,
                    to,
                    lambda other, reply: self._delivery_result(other, name, effect, reply),
                    lambda accepted: queue.result_reported(ref) if accepted else None,
                )

    # Writes to the local disk

    def _write_message(self, store: SimulatedStore, ref: str) -> None:
        message, incarnation = store.queue.state.messages.get(ref), store.incarnation
        if message is None:
            return
        if store.stalled_until > self.now:
            self.later(store.stalled_until - self.now + 0.1, self._write_message, store, ref)
            return
        if store.full_until > self.now:
            effects = store.queue.message_written(self.now, ref, "full")
            self._when_resumed(store.name, incarnation, lambda: self.apply_effects(store, effects))
            return
        header = replace(message.header, attempts=message.attempts)
        value = WrittenMessage(header, message.body, message.due_at, message.sent_at)
        self.later(self.rng.uniform(*DISK_SYNC_MS), self._message_written, store, incarnation, ref, value)

    def _message_written(
        self, store: SimulatedStore, incarnation: str, ref: str, value: WrittenMessage
    ) -> None:
        if not self._is_running(store.name, incarnation):
            return
        store.disk["m", ref] = value
        message = store.queue.state.messages.get(ref)
        if message is not None and message.shard not in store.queue.state.owned:
            store.queue.replica_written(ref)
        self._when_resumed(
            store.name,
            incarnation,
            lambda: self.apply_effects(store, store.queue.message_written(self.now, ref)),
        )

    def _write_final_state(self, store: SimulatedStore, ref: str) -> None:
        incarnation = store.incarnation
        if store.stalled_until > self.now:
            self.later(store.stalled_until - self.now + 0.1, self._write_final_state, store, ref)
            return
        if store.full_until > self.now:
            effects = store.queue.final_state_written(self.now, ref, "full")
            self._when_resumed(store.name, incarnation, lambda: self.apply_effects(store, effects))
            return
        final_state = store.queue.state.final_states.get(ref)
        if final_state is not None:
            after = self.rng.uniform(*DISK_SYNC_MS)
            self.later(after, self._final_state_written, store, incarnation, ref, final_state)

    def _final_state_written(
        self, store: SimulatedStore, incarnation: str, ref: str, final_state: FinalState
    ) -> None:
        if not self._is_running(store.name, incarnation):
            return
        store.disk.pop(("m", ref), None)
        store.disk["e", ref] = final_state
        self._when_resumed(
            store.name,
            incarnation,
            lambda: self.apply_effects(store, store.queue.final_state_written(self.now, ref)),
        )

    # Requests handled by the other store

    def _copy(self, store: SimulatedStore, request: CopyRequest, body: bytes | None, reply: Reply) -> None:
        if not store.queue.replica_offered(self.now, request, body):
            reply(False)
            return
        ref = request.ref
        message, incarnation = store.queue.state.messages.get(ref), store.incarnation
        if store.stalled_until > self.now:
            return  # it responds once its disk does; by then the owner has asked other stores
        if message is None or message.synced:
            reply(True)
            return
        if store.full_until > self.now:
            reply(False)
            return

        def written() -> None:
            if self._is_running(store.name, incarnation):
                store.disk["m", ref] = WrittenMessage(
                    message.header, message.body or body, message.due_at, message.sent_at
                )
                store.queue.replica_written(ref)
                message.body = body
                reply(True)

        self.later(self.rng.uniform(*DISK_SYNC_MS), written)

    def _store_final_state(
        self, store: SimulatedStore, ref: str, final_state: FinalState, reply: Reply
    ) -> None:
        incarnation = store.incarnation
        self.apply_effects(store, store.queue.final_state_learned(self.now, ref, final_state))
        if store.stalled_until > self.now:
            return
        if store.full_until > self.now:
            reply(False)
            return

        def written() -> None:
            if self._is_running(store.name, incarnation):
                store.disk.pop(("m", ref), None)
                store.disk["e", ref] = final_state
                self.apply_effects(store, store.queue.final_state_written(self.now, ref))
                reply(True)

        self.later(self.rng.uniform(*DISK_SYNC_MS), written)

    def _store_final_states(
        self, store: SimulatedStore, final_states: dict[str, FinalState], reply: Reply
    ) -> None:
        unwritten = set(final_states)

        def written(ref: str) -> None:
            unwritten.discard(ref)
            if not unwritten:
                reply(True)

        for ref, final_state in final_states.items():
            self._store_final_state(store, ref, final_state, lambda accepted, ref=ref: written(ref))

    def _listed(self, store: SimulatedStore, to: str, number: int, page: tuple | None) -> None:
        refs, is_last = page or (None, True)
        self.apply_effects(store, store.queue.final_states_listed(self.now, to, number, refs, is_last))

    def _drop(self, store: SimulatedStore, ref: str, epoch: tuple) -> None:
        if store.queue.drop_allowed(self.now, ref, epoch):
            store.disk.pop(("m", ref), None)

    def _pull(self, store: SimulatedStore, request: PullRequest, reply: Reply) -> None:
        response, messages = store.queue.answer_pull(request)
        sent = [(one.pulled_message(self.now), one.body or store.disk["m", one.ref].body) for one in messages]
        reply(PullAnswer(response, sent))

    def _pulled(self, store: SimulatedStore, to: str, number: int, answer: PullAnswer | None) -> None:
        for message, body in answer.messages if answer is not None else ():
            self.apply_effects(store, store.queue.message_pulled(self.now, message, body))
        response = answer.response if answer is not None else None
        self.apply_effects(store, store.queue.pull_answered(self.now, to, number, response))

    def _look_up(self, store: SimulatedStore, ref: str) -> LookupResponse:
        return LookupResponse(store.queue.state.final_states.get(ref))

    def _delivery_result(
        self, store: SimulatedStore, sender: str, result: SendDeliveryResult, reply: Reply
    ) -> None:
        accepts = store.queue.accepts_results(result.shard)
        self.apply_effects(
            store,
            store.queue.delivery_reported(self.now, sender, result.ref, result.shard, result.verdict),
        )
        reply(accepts)
