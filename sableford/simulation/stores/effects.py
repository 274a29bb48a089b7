"""What a queue asks for, done in simulated time: its disk, and requests to other stores."""

from collections.abc import Callable
from typing import Any, NamedTuple

from msgspec.structs import replace

from sableford.simulation.stores.model import SYNC, SimulatedStore
from sableford.simulation.stores.network import Network
from sableford.store.messages import (
    AskFinalStates,
    CopyFinalState,
    CopyFinalStates,
    CopyMessage,
    Deliver,
    DropReplica,
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
    """A message as a simulated disk holds it."""

    header: MessageHeader
    body: bytes | None
    due_at: float
    sent_at: float


class PullAnswer(NamedTuple):
    """The messages come on the same link, before the response."""

    response: PullResponse
    messages: list[tuple[PulledMessage, bytes | None]]


class Effects(Network):
    """The world around one store's queue."""

    def act(self, store: SimulatedStore, effects: list) -> None:
        """Carries them out in their order."""
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
                    self._to(store.name, to, self._drop, ref, epoch)
                case RespondToPut(waiter, response):
                    self.later(self._way(), waiter, response)
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
                    self.act(store, queue.message_copied(self.now, ref, to, bool(accepted)))

                self._ask(name, to, lambda other, reply: self._copy(other, request, body, reply), copied)
            case CopyFinalState(to, ref, _, final_state):

                def kept(accepted: bool | None) -> None:
                    self.act(store, queue.final_state_copied(self.now, ref, to, bool(accepted)))

                self._ask(
                    name,
                    to,
                    lambda other, reply: self._keep_final_state(other, ref, final_state, reply),
                    kept,
                )
            case CopyFinalStates(to, refs):
                known = {
                    ref: queue.state.final_states[ref] for ref in refs if ref in queue.state.final_states
                }

                def filled(accepted: bool | None) -> None:
                    self.act(store, queue.final_states_copied(self.now, to, refs, bool(accepted)))

                self._ask(name, to, lambda other, reply: self._keep_final_states(other, known, reply), filled)
            case ListFinalStates(to, number, shards, after, limit):
                self._ask(
                    name,
                    to,
                    lambda other, reply: reply(other.queue.list_final_states(shards, after, limit)),
                    lambda page: self._listed(store, to, number, page),
                )
            case Pull(to, number, shards, known_refs, with_messages):
                pull = PullRequest(shards, known_refs, with_messages)
                self._ask(
                    name,
                    to,
                    lambda other, reply: self._pull(other, pull, reply),
                    lambda answer: self._pulled(store, to, number, answer),
                )
            case AskFinalStates(to, number, refs):

                def answered(known: dict[str, FinalState] | None) -> None:
                    self.act(store, queue.final_states_answered(self.now, to, number, known))

                self._ask(name, to, lambda other, reply: reply(other.queue.final_states_of(refs)), answered)
            case Lookup(to, ref):

                def found(response: LookupResponse | None) -> None:
                    self.act(store, queue.lookup_answered(self.now, to, ref, response))

                self._ask(name, to, lambda other, reply: reply(self._look_up(other, ref)), found)
            case SendDeliveryResult(to, ref, _, _):
                self._ask(
                    name,
                    to,
                    lambda other, reply: self._delivery_result(other, name, effect, reply),
                    lambda accepted: queue.result_reported(ref) if accepted else None,
                )

    # The own disk

    def _write_message(self, store: SimulatedStore, ref: str) -> None:
        message, incarnation = store.queue.state.messages.get(ref), store.incarnation
        if message is None:
            return
        if store.stalled > self.now:
            self.later(store.stalled - self.now + 0.1, self._write_message, store, ref)
            return
        if store.full > self.now:
            refused = store.queue.message_written(self.now, ref, "full")
            self._when_awake(store.name, incarnation, lambda: self.act(store, refused))
            return
        header = replace(message.header, attempts=message.attempts)
        value = WrittenMessage(header, message.body, message.due_at, message.sent_at)
        self.later(self.draw.uniform(*SYNC), self._message_written, store, incarnation, ref, value)

    def _message_written(
        self, store: SimulatedStore, incarnation: str, ref: str, value: WrittenMessage
    ) -> None:
        if not self._up(store.name, incarnation):
            return
        store.kept["m", ref] = value
        message = store.queue.state.messages.get(ref)
        if message is not None and message.shard not in store.queue.state.owned:
            store.queue.replica_written(ref)
        self._when_awake(
            store.name,
            incarnation,
            lambda: self.act(store, store.queue.message_written(self.now, ref)),
        )

    def _write_final_state(self, store: SimulatedStore, ref: str) -> None:
        incarnation = store.incarnation
        if store.stalled > self.now:
            self.later(store.stalled - self.now + 0.1, self._write_final_state, store, ref)
            return
        if store.full > self.now:
            refused = store.queue.final_state_written(self.now, ref, "full")
            self._when_awake(store.name, incarnation, lambda: self.act(store, refused))
            return
        final_state = store.queue.state.final_states.get(ref)
        if final_state is not None:
            after = self.draw.uniform(*SYNC)
            self.later(after, self._final_state_written, store, incarnation, ref, final_state)

    def _final_state_written(
        self, store: SimulatedStore, incarnation: str, ref: str, final_state: FinalState
    ) -> None:
        if not self._up(store.name, incarnation):
            return
        store.kept.pop(("m", ref), None)
        store.kept["e", ref] = final_state
        self._when_awake(
            store.name,
            incarnation,
            lambda: self.act(store, store.queue.final_state_written(self.now, ref)),
        )

    # Requests at the other store

    def _copy(self, store: SimulatedStore, request: CopyRequest, body: bytes | None, reply: Reply) -> None:
        if not store.queue.replica_offered(self.now, request, body):
            reply(False)
            return
        ref = request.ref
        message, incarnation = store.queue.state.messages.get(ref), store.incarnation
        if store.stalled > self.now:
            return  # it answers once its disk does; by then others have been asked
        if message is None or message.synced:
            reply(True)
            return
        if store.full > self.now:
            reply(False)
            return

        def written() -> None:
            if self._up(store.name, incarnation):
                store.kept["m", ref] = WrittenMessage(
                    message.header, message.body or body, message.due_at, message.sent_at
                )
                store.queue.replica_written(ref)
                message.body = body
                reply(True)

        self.later(self.draw.uniform(*SYNC), written)

    def _keep_final_state(
        self, store: SimulatedStore, ref: str, final_state: FinalState, reply: Reply
    ) -> None:
        incarnation = store.incarnation
        self.act(store, store.queue.final_state_learned(self.now, ref, final_state))
        if store.stalled > self.now:
            return
        if store.full > self.now:
            reply(False)
            return

        def written() -> None:
            if self._up(store.name, incarnation):
                store.kept.pop(("m", ref), None)
                store.kept["e", ref] = final_state
                self.act(store, store.queue.final_state_written(self.now, ref))
                reply(True)

        self.later(self.draw.uniform(*SYNC), written)

    def _keep_final_states(
        self, store: SimulatedStore, final_states: dict[str, FinalState], reply: Reply
    ) -> None:
        waits = set(final_states)

        def written(ref: str) -> None:
            waits.discard(ref)
            if not waits:
                reply(True)

        for ref, final_state in final_states.items():
            self._keep_final_state(store, ref, final_state, lambda yes, ref=ref: written(ref))

    def _listed(self, store: SimulatedStore, to: str, number: int, page: tuple | None) -> None:
        refs, is_last = page or (None, True)
        self.act(store, store.queue.final_states_listed(self.now, to, number, refs, is_last))

    def _drop(self, store: SimulatedStore, ref: str, epoch: tuple) -> None:
        if store.queue.drop_allowed(self.now, ref, epoch):
            store.kept.pop(("m", ref), None)

    def _pull(self, store: SimulatedStore, request: PullRequest, reply: Reply) -> None:
        response, messages = store.queue.answer_pull(request)
        sent = [(one.pulled_message(self.now), one.body or store.kept["m", one.ref].body) for one in messages]
        reply(PullAnswer(response, sent))

    def _pulled(self, store: SimulatedStore, to: str, number: int, answer: PullAnswer | None) -> None:
        for message, body in answer.messages if answer is not None else ():
            self.act(store, store.queue.message_pulled(self.now, message, body))
        response = answer.response if answer is not None else None
        self.act(store, store.queue.pull_answered(self.now, to, number, response))

    def _look_up(self, store: SimulatedStore, ref: str) -> LookupResponse:
        return LookupResponse(store.queue.state.final_states.get(ref))

    def _delivery_result(
        self, store: SimulatedStore, sender: str, result: SendDeliveryResult, reply: Reply
    ) -> None:
        accepts = store.queue.accepts_results(result.shard)
        self.act(
            store,
            store.queue.delivery_reported(self.now, sender, result.ref, result.shard, result.verdict),
        )
        reply(accepts)
