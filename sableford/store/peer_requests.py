"""Handles the requests of other processes: one handler for each type of message.

It holds no state: each request is passed to the queue, the storage or the worker selection.
"""

from collections.abc import Callable, Coroutine
from typing import Any

from sableford.control.view import shard_of_ref
from sableford.store.effect_executor import EffectExecutor
from sableford.store.in_flight_reports import StoreIncarnation
from sableford.store.message_storage import BodyReader, Clocks, MessageStorage
from sableford.store.protocol import (
    BodyRequest,
    BodyResponse,
    Confirmation,
    CopyRequest,
    DeliveryResultRequest,
    DropMessage,
    FinalState,
    FinalStatesRequest,
    FinalStatesResponse,
    InFlightCounts,
    InFlightCountsQuery,
    KeepFinalStateRequest,
    KeepFinalStatesRequest,
    ListFinalStatesRequest,
    ListFinalStatesResponse,
    LookupRequest,
    LookupResponse,
    PulledMessage,
    PullRequest,
    PutRequest,
    StatusRequest,
    StatusResponse,
)
from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerSelector
from sableford.transport.link import IncomingMessage
from sableford.transport.peer_server import PeerServer
from sableford.transport.verdict import Execution, Verdict


class PeerRequests:
    """Request handlers. `spawn` starts a background task."""

    def __init__(
        self,
        queue: Queue,
        executor: EffectExecutor,
        storage: MessageStorage,
        bodies: BodyReader,
        selector: WorkerSelector,
        now: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._queue, self._executor, self._selector = queue, executor, selector
        self._storage, self._bodies = storage, bodies
        self._now, self._spawn = now, spawn

    def register(self, server: PeerServer) -> None:
        """Registers all handlers with the server."""
        server.handle(PutRequest, self._put)
        server.handle(CopyRequest, self._copy)
        server.handle(PulledMessage, self._pulled_message)
        server.handle(KeepFinalStateRequest, self._keep_final_state)
        server.handle(KeepFinalStatesRequest, self._keep_final_states)
        server.handle(ListFinalStatesRequest, self._list_final_states)
        server.handle(DropMessage, self._drop)
        server.handle(PullRequest, lambda incoming: self._spawn(self._pull(incoming)))
        server.handle(FinalStatesRequest, self._final_states)
        server.handle(LookupRequest, self._lookup)
        server.handle(DeliveryResultRequest, self._delivery_result)
        server.handle(InFlightCounts, self._in_flight_counts)
        server.handle(InFlightCountsQuery, self._in_flight_counts_query)
        server.handle(StatusRequest, self._status)
        server.handle(BodyRequest, lambda incoming: self._spawn(self._body(incoming)))

    # Messages

    def _put(self, incoming: IncomingMessage[PutRequest]) -> None:
        self._executor.carry_out(self._queue.put(self._now(), incoming.message, incoming.body, incoming))

    def _copy(self, incoming: IncomingMessage[CopyRequest]) -> None:
        now, ref = self._now(), incoming.message.ref
        if not self._queue.replica_offered(now, incoming.message, incoming.body):
            incoming.respond(Confirmation(False))
            return
        message = self._queue.state.messages.get(ref)
        if message is None or message.synced:
            incoming.respond(Confirmation(True))
            return
        written = self._storage.write_message(message, Clocks.at(now))
        written.add_done_callback(lambda done: self._replica_written(incoming, ref, done.exception()))

    def _replica_written(
        self, incoming: IncomingMessage[CopyRequest], ref: str, problem: BaseException | None
    ) -> None:
        if problem is None:
            self._queue.replica_written(ref)
        incoming.respond(Confirmation(problem is None))

    def _pulled_message(self, incoming: IncomingMessage[PulledMessage]) -> None:
        self._executor.carry_out(self._queue.message_pulled(self._now(), incoming.message, incoming.body))

    def _drop(self, incoming: IncomingMessage[DropMessage]) -> None:
        request = incoming.message
        if self._queue.drop_allowed(self._now(), request.ref, request.epoch):
            self._storage.remove_message(request.ref)

    async def _pull(self, incoming: IncomingMessage[PullRequest]) -> None:
        response, messages = self._queue.answer_pull(incoming.message)
        for message in messages:
            body = await self._bodies.body_of(message)
            if body is not None:
                incoming.link.send(message.pulled_message(self._now()), body)
        incoming.respond(response)

    # Final states

    def _keep_final_state(self, incoming: IncomingMessage[KeepFinalStateRequest]) -> None:
        request = incoming.message
        self._keep(incoming, {request.ref: request.final_state})

    def _keep_final_states(self, incoming: IncomingMessage[KeepFinalStatesRequest]) -> None:
        unsynced = self._queue.state.unsynced_final_states
        known = self._queue.state.final_states.keys() - unsynced
        received = incoming.message.final_states
        self._keep(incoming, {ref: one for ref, one in received.items() if ref not in known})

    def _keep(self, incoming: IncomingMessage[Any], final_states: dict[str, FinalState]) -> None:
        """Writes final states, and confirms them once they are on disk."""
        if not final_states:
            incoming.respond(Confirmation(True))
            return
        for ref, final_state in final_states.items():
            self._executor.carry_out(self._queue.final_state_learned(self._now(), ref, final_state))
        written = self._storage.write_final_states(final_states)
        written.add_done_callback(
            lambda done: self._final_states_written(incoming, list(final_states), done.exception())
        )

    def _final_states_written(
        self, incoming: IncomingMessage[Any], refs: list[str], problem: BaseException | None
    ) -> None:
        self._executor.final_states_written(refs, problem)
        incoming.respond(Confirmation(problem is None))

    def _list_final_states(self, incoming: IncomingMessage[ListFinalStatesRequest]) -> None:
        request = incoming.message
        refs, is_last = self._queue.list_final_states(request.shards, request.after, request.limit)
        incoming.respond(ListFinalStatesResponse(refs, is_last))

    def _final_states(self, incoming: IncomingMessage[FinalStatesRequest]) -> None:
        known = self._queue.final_states_of(incoming.message.refs)
        incoming.respond(FinalStatesResponse(known))

    def _lookup(self, incoming: IncomingMessage[LookupRequest]) -> None:
        ref = incoming.message.ref
        incoming.respond(
            LookupResponse(self._queue.state.final_states.get(ref), ref in self._queue.state.messages)
        )

    # Deliveries

    def _delivery_result(self, incoming: IncomingMessage[DeliveryResultRequest]) -> None:
        """Confirms a result only if this store knows that it owns the shard; else it is reported again."""
        request = incoming.message
        verdict = Verdict(Execution(request.execution), request.why, request.seal, request.reached)
        accepts = self._queue.accepts_results(request.shard)
        effects = self._queue.delivery_reported(
            self._now(), incoming.sender, request.ref, request.shard, verdict
        )
        self._executor.carry_out(effects)
        incoming.respond(Confirmation(accepts))

    def _in_flight_counts(self, incoming: IncomingMessage[InFlightCounts]) -> None:
        reporter = StoreIncarnation(incoming.sender, incoming.link.incarnation)
        self._selector.update_reported_counts(self._now(), reporter, incoming.message.counts)

    def _in_flight_counts_query(self, incoming: IncomingMessage[InFlightCountsQuery]) -> None:
        self._executor.report_in_flight(incoming.sender, set(incoming.message.ids))

    # Requests of edges

    def _status(self, incoming: IncomingMessage[StatusRequest]) -> None:
        ref = incoming.message.ref
        is_owner = shard_of_ref(ref) in self._queue.state.owned and self._queue.state.holds_lease(self._now())
        incoming.respond(StatusResponse(self._queue.status(ref), ref, is_owner))

    async def _body(self, incoming: IncomingMessage[BodyRequest]) -> None:
        ref = incoming.message.ref
        message = self._queue.state.messages.get(ref)
        body = message.body if message is not None else None
        if body is None:
            body = await self._bodies.read(ref)
        incoming.respond(BodyResponse(ref, body is not None), body or b"")
