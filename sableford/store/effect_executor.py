"""Carries out the effects of the queue: writes to disk, calls to other stores, deliveries to workers.

The outcome of each effect is passed to the queue, and the resulting effects are carried out in turn.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

from sableford.common.log import EventLog
from sableford.control.view import ViewNumber
from sableford.duties.usage_counts import UsageCounts
from sableford.store.delivery import DeliveryClient, Destination
from sableford.store.message_storage import BodyReader, Clocks, MessageStorage
from sableford.store.messages import (
    AskFinalStates,
    CopyFinalState,
    CopyFinalStates,
    CopyMessage,
    Deliver,
    DropReplica,
    Effect,
    ExchangeInFlightCounts,
    ListFinalStates,
    LogEvent,
    Lookup,
    Message,
    Pull,
    RespondToPut,
    SendDeliveryResult,
    WriteFinalState,
    WriteFinalStates,
    WriteMessage,
)
from sableford.store.protocol import (
    Confirmation,
    DeliveryResultRequest,
    DropMessage,
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
    PullRequest,
    PullResponse,
)
from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerEntry, WorkerSelector
from sableford.transport.errors import CallError
from sableford.transport.link import Response
from sableford.transport.link_pool import LinkPool
from sableford.transport.messages import PeerRequest, PeerResponse
from sableford.transport.verdict import Execution, Verdict

CALL_TIMEOUT_MS = 1200.0  # time-out of a call; meanwhile a slow message may be asked for elsewhere
NO_LINK_RETRY_MS = 15.0  # until a call fails for which there was no link

ResponseType = TypeVar("ResponseType", bound=PeerResponse)


class EffectExecutor:
    """Carries out effects. `spawn` starts a background task; `usage`, if given, counts deliveries."""

    def __init__(
        self,
        queue: Queue,
        storage: MessageStorage,
        bodies: BodyReader,
        selector: WorkerSelector,
        links: LinkPool,
        log: EventLog,
        now: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        usage: UsageCounts | None = None,
    ) -> None:
        self._queue, self._selector, self._links = queue, selector, links
        self._storage, self._bodies = storage, bodies
        self._log, self._now, self._spawn, self._usage = log, now, spawn, usage
        self._loop = asyncio.get_running_loop()
        self.delivery_client = DeliveryClient()

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carries out all effects in order."""
        for effect in effects:
            match effect:
                case Deliver():
                    self._spawn(self._deliver(effect))
                case RespondToPut(waiter, response):
                    waiter.respond(response)
                case WriteMessage(ref):
                    self._write_message(ref)
                case WriteFinalState(ref):
                    self._write_final_state(ref)
                case WriteFinalStates(refs):
                    self._write_final_states(refs)
                case LogEvent(event, fields):
                    self._log.event(event, **fields)
                case DropReplica(to, ref, epoch):
                    if (link := self._links.link(to)) is not None:
                        link.send(DropMessage(ref, epoch))
                case ExchangeInFlightCounts(to):
                    self._exchange_in_flight_counts(to)
                case _:
                    self._call_store(effect)

    def _call_store(self, effect: Effect) -> None:
        """Carries out an effect that is a call to another store."""
        match effect:
            case CopyMessage(to, ref, epoch):
                self._copy_message(to, ref, epoch)
            case CopyFinalState():
                self._copy_final_state(effect)
            case CopyFinalStates():
                self._copy_final_states(effect)
            case ListFinalStates():
                self._list_final_states(effect)
            case Pull():
                self._pull(effect)
            case AskFinalStates():
                self._ask_final_states(effect)
            case Lookup():
                self._lookup(effect)
            case SendDeliveryResult():
                self._send_delivery_result(effect)

    def _call(
        self,
        to: str,
        request: PeerRequest[ResponseType],
        then: Callable[[ResponseType | None], None],
        body: bytes = b"",
    ) -> None:
        """Calls a store. `then` is called with the response, or with None if there is none in time.

        A response counts only from the incarnation that the view shows as it arrives: the disk of another one
        may have been lost in between, and a store outside the view may be replaced before it is back.
        """
        link = self._links.link(to)
        if link is None:
            self._loop.call_later(NO_LINK_RETRY_MS / 1000.0, then, None)
            return
        future = link.request(request, body)
        timer = self._loop.call_later(CALL_TIMEOUT_MS / 1000.0, future.cancel)

        def on_done(done: "asyncio.Future[Response[ResponseType]]") -> None:
            timer.cancel()
            failed = done.cancelled() or isinstance(done.exception(), CallError)
            is_present = self._queue.state.incarnation_of(to) == link.incarnation
            then(None if failed or not is_present else done.result().message)

        future.add_done_callback(on_done)

    # Local disk

    def _write_message(self, ref: str) -> None:
        message = self._queue.state.messages.get(ref)
        if message is None:
            return
        written = self._storage.write_message(message, Clocks.at(self._now()))
        written.add_done_callback(lambda done: self._message_written(ref, done.exception()))

    def _message_written(self, ref: str, problem: BaseException | None) -> None:
        message = self._queue.state.messages.get(ref)
        if problem is not None:
            self._log.event("disk_refused", ref=ref, problem=repr(problem))
        elif message is not None and message.shard not in self._queue.state.owned:
            self._queue.replica_written(ref)
        text = repr(problem) if problem is not None else ""
        self.carry_out(self._queue.message_written(self._now(), ref, text))

    def _write_final_state(self, ref: str) -> None:
        message = self._queue.state.messages.get(ref)
        if message is None or message.final_state is None:
            return
        written = self._storage.write_final_states({ref: message.final_state})
        written.add_done_callback(lambda done: self.final_states_written([ref], done.exception()))

    def _write_final_states(self, refs: list[str]) -> None:
        final_states = self._queue.final_states_of(refs)
        written = self._storage.write_final_states(final_states)
        written.add_done_callback(
            lambda done: self.final_states_written(list(final_states), done.exception())
        )

    def final_states_written(self, refs: list[str], problem: BaseException | None) -> None:
        """Passes the outcome of writing final states to the local disk to the queue."""
        text = repr(problem) if problem is not None else ""
        for ref in refs:
            if problem is not None:
                self._log.event("disk_refused", ref=ref, problem=text)
            self.carry_out(self._queue.final_state_written(self._now(), ref, text))

    # Other stores

    def _copy_message(self, to: str, ref: str, epoch: ViewNumber) -> None:
        message = self._queue.state.messages.get(ref)
        if message is None:
            return
        if message.body is None:
            self._spawn(self._load_and_copy(to, message, epoch))
            return
        request = message.copy_request(self._now(), epoch)
        self._call(to, request, lambda response: self._message_copied(ref, to, response), message.body)

    async def _load_and_copy(self, to: str, message: Message, epoch: ViewNumber) -> None:
        message.body = await self._bodies.body_of(message)
        if message.body is not None and message.ref in self._queue.state.messages:
            self._copy_message(to, message.ref, epoch)

    def _message_copied(self, ref: str, to: str, response: Confirmation | None) -> None:
        accepted = response is not None and response.accepted
        self.carry_out(self._queue.message_copied(self._now(), ref, to, accepted))

    def _copy_final_state(self, effect: CopyFinalState) -> None:
        def copied(response: Confirmation | None) -> None:
            accepted = response is not None and response.accepted
            self.carry_out(self._queue.final_state_copied(self._now(), effect.ref, effect.to, accepted))

        self._call(effect.to, KeepFinalStateRequest(effect.ref, effect.final_state), copied)

    def _copy_final_states(self, effect: CopyFinalStates) -> None:
        def copied(response: Confirmation | None) -> None:
            accepted = response is not None and response.accepted
            self.carry_out(self._queue.final_states_copied(self._now(), effect.to, effect.refs, accepted))

        request = KeepFinalStatesRequest(self._queue.final_states_of(effect.refs))
        self._call(effect.to, request, copied)

    def _list_final_states(self, effect: ListFinalStates) -> None:
        def listed(response: ListFinalStatesResponse | None) -> None:
            refs = response.refs if response is not None else None
            is_last = response is None or response.is_last
            self.carry_out(
                self._queue.final_states_listed(self._now(), effect.to, effect.round, refs, is_last)
            )

        request = ListFinalStatesRequest(effect.shards, effect.after, effect.limit)
        self._call(effect.to, request, listed)

    def _pull(self, effect: Pull) -> None:
        def answered(response: PullResponse | None) -> None:
            self.carry_out(self._queue.pull_answered(self._now(), effect.to, effect.round, response))

        self._call(effect.to, PullRequest(effect.shards, effect.known, effect.with_messages), answered)

    def _ask_final_states(self, effect: AskFinalStates) -> None:
        def answered(response: FinalStatesResponse | None) -> None:
            known = response.final_states if response is not None else None
            self.carry_out(self._queue.final_states_answered(self._now(), effect.to, effect.round, known))

        self._call(effect.to, FinalStatesRequest(effect.refs), answered)

    def _lookup(self, effect: Lookup) -> None:
        def answered(response: LookupResponse | None) -> None:
            self.carry_out(self._queue.lookup_answered(self._now(), effect.to, effect.ref, response))

        self._call(effect.to, LookupRequest(effect.ref), answered)

    def _send_delivery_result(self, effect: SendDeliveryResult) -> None:
        def answered(response: Confirmation | None) -> None:
            if response is not None and response.accepted:
                self._queue.result_reported(effect.ref)

        verdict = effect.verdict
        request = DeliveryResultRequest(
            effect.ref, effect.shard, verdict.execution.value, verdict.reason, verdict.seal, verdict.reached
        )
        self._call(effect.to, request, answered)

    # In-flight counts

    def report_in_flight(self, to: str, ids: set[str] | None = None) -> None:
        """Reports the in-flight counts of these workers, or of all.

        Always on the link that this store has dialled, so that a later report does not arrive first. While
        there is none nothing is reported: a new link begins with a report of all.
        """
        if (link := self._links.link(to)) is not None:
            link.send(InFlightCounts(self._selector.own_counts(ids)))

    def _exchange_in_flight_counts(self, to: str) -> None:
        self.report_in_flight(to)
        if (link := self._links.link(to)) is not None:
            link.send(InFlightCountsQuery(sorted(self._selector.workers)))

    # Deliveries

    async def _deliver(self, effect: Deliver) -> None:
        verdict = await self._attempt(effect)
        if verdict.execution in (Execution.UNKNOWN, Execution.NOT_RUN, Execution.IMPOSSIBLE):
            self._log.event(
                "delivery",
                ref=effect.ref,
                worker=effect.worker,
                ran=verdict.execution.value,
                why=verdict.reason,
            )
        self.carry_out(self._queue.delivered(self._now(), effect.ref, effect.worker, verdict))

    async def _attempt(self, effect: Deliver) -> Verdict:
        message = self._queue.state.messages.get(effect.ref)
        worker = self._selector.workers.get(effect.worker)
        if message is None or worker is None:
            return Verdict(Execution.NOT_RUN, "gone before it was sent")
        body = await self._bodies.body_of(message)
        if body is None:
            return Verdict(Execution.NOT_RUN, "its bytes can't be read")
        message.body = body
        entry = worker.entry
        counted_delivery = _CountedDelivery(self._usage, message.header.tenant)
        verdict = await self.delivery_client.deliver(
            message,
            body,
            entry,
            effect.until,
            lambda: self._is_at(entry) and self.may_send(effect),
            counted_delivery.began,
        )
        if verdict.execution is Execution.NOT_RUN:
            counted_delivery.did_not_run()
        return verdict

    def _is_at(self, dialled: WorkerEntry) -> bool:
        """Whether the worker or fixed endpoint still has the address that was dialled."""
        worker = self._selector.workers.get(dialled.id)
        return worker is not None and Destination.of(worker.entry) == Destination.of(dialled)

    def may_send(self, effect: Deliver) -> bool:
        """Whether a delivery may still be sent by this store."""
        return self._queue.may_send(self._now(), effect.ref, effect.worker)


class _CountedDelivery:
    """Counts one delivery as usage, if usage is counted and the message belongs to a tenant."""

    def __init__(self, usage: UsageCounts | None, tenant: str) -> None:
        self._usage, self._tenant = usage if tenant else None, tenant
        self._window: int | None = None

    def began(self) -> None:
        """Counts the delivery: its request is being written."""
        if self._usage is not None:
            self._window = self._usage.count_delivery(self._tenant)

    def did_not_run(self) -> None:
        """Removes the delivery from the count: its verdict proves that it did not run."""
        if self._usage is not None and self._window is not None:
            self._usage.uncount_delivery(self._tenant, self._window)
