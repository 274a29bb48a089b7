"""Applies the verdicts of deliveries. No I/O.

A verdict on a message that this store owns decides the message's next state. A verdict on a message whose
shard has moved to another store is reported to the new owner until that one confirms it.
"""

from sableford.store.delivery_order import DeliveryOrder
from sableford.store.final_state_replication import FinalStateReplication
from sableford.store.message_finalization import MessageFinalization
from sableford.store.messages import LogEvent, Message, SendDeliveryResult, State
from sableford.store.protocol import FinalState
from sableford.store.queue_state import COMPLETE, DEAD_LETTER, QueueState
from sableford.store.worker_selection import WorkerSelector
from sableford.transport.verdict import Execution, Verdict

NOT_RUN_BACKOFF_MS = 15.0  # backoff after an attempt that did not run; doubles with each
MAX_NOT_RUN_BACKOFF_MS = 400.0
FAILED_BACKOFF_MS = 20.0  # backoff after an attempt that failed; doubles with each
REPORT_RETRY_MS = 80.0  # until an unconfirmed result is reported to the owner again
# From the deadline of a delivery until its owner must have confirmed the result: longer than a shard takes to
# change owners and the new owner waits.
CONFIRMATION_MS = 5000.0
FINAL_EXECUTIONS = (Execution.DONE, Execution.IMPOSSIBLE)


class DeliveryResults:
    """Handles the verdicts of deliveries sent from here and by previous owners."""

    def __init__(
        self,
        state: QueueState,
        selector: WorkerSelector,
        order: DeliveryOrder,
        finalization: MessageFinalization,
        final_states: FinalStateReplication,
    ) -> None:
        self._state, self._selector, self._order = state, selector, order
        self._finalization, self._final_states = finalization, final_states
        self._unreported: dict[str, Verdict] = {}  # by ref, until the owner has confirmed them
        self._reported_at = 0.0

    def delivered(self, now: float, ref: str, worker: str, verdict: Verdict) -> None:
        """Handles the end of a delivery that was sent from here."""
        state = self._state
        self._record_worker_outcome(now, worker, verdict)
        delivery = state.in_flight.pop(ref, None)
        message = state.messages.get(ref)
        if message is not None and message.state is State.IN_FLIGHT and state.owns(message):
            message.avoided_worker = "" if verdict.execution is Execution.DONE else worker
            self._apply(now, message, verdict)
        elif delivery is not None:
            self._unreported[ref] = verdict
            state.in_flight[ref] = delivery  # until the owner has confirmed it
            if (
                verdict.execution in FINAL_EXECUTIONS
                and message is not None
                and ref not in state.final_states
            ):
                self._finalization.finish(now, message, self._final_state(verdict))  # recorded here too
            self.report(now)
        self._order.dispatch(now)

    def _record_worker_outcome(self, now: float, worker: str, verdict: Verdict) -> None:
        known = self._selector.workers.get(worker)
        if known is None:
            return
        not_run = verdict.execution is Execution.NOT_RUN
        unreachable = not_run and not verdict.reached
        self._selector.delivery_finished(now, known, verdict.reached, unreachable, not_run)

    def _apply(self, now: float, message: Message, verdict: Verdict) -> None:
        """Ends the message or schedules its next attempt."""
        if verdict.execution in FINAL_EXECUTIONS:
            self._finalization.finish(now, message, self._final_state(verdict))
        elif verdict.execution is Execution.FAILED:
            self._apply_failure(now, message)
        else:
            message.not_run_attempts += 1
            backoff_ms = NOT_RUN_BACKOFF_MS * 2.0 ** (message.not_run_attempts - 1)
            self._order.requeue(now, message, min(MAX_NOT_RUN_BACKOFF_MS, backoff_ms))

    def _apply_failure(self, now: float, message: Message) -> None:
        message.attempts += 1
        route = self._state.route_of(message)
        if route is not None and message.attempts >= route.max_attempts:
            why = f"failed {message.attempts} times"
            self._finalization.finish(now, message, self._state.final_state(DEAD_LETTER, why))
        else:
            self._order.requeue(now, message, FAILED_BACKOFF_MS * 2.0 ** (message.attempts - 1))

    def _final_state(self, verdict: Verdict) -> FinalState:
        phase = COMPLETE if verdict.execution is Execution.DONE else DEAD_LETTER
        return self._state.final_state(phase, verdict.reason, verdict.seal)

    # Deliveries sent by a previous owner

    def report(self, now: float) -> None:
        """Reports all unconfirmed results to the owners that the view names."""
        state = self._state
        self._reported_at = now
        for ref, verdict in list(self._unreported.items()):
            shard = state.in_flight[ref].shard
            owner = state.view.owners[shard]
            if owner and owner != state.me:
                state.emit(SendDeliveryResult(owner, ref, shard, verdict))
            elif owner == state.me and shard in state.owned:
                self.reported(ref)
                self.received(now, state.me, ref, shard, verdict)

    def report_again(self, now: float) -> None:
        """Reports results again that were not confirmed in time."""
        if self._unreported and now - self._reported_at > REPORT_RETRY_MS:
            self.report(now)

    def reported(self, ref: str) -> None:
        """Handles the owner's confirmation."""
        if self._unreported.pop(ref, None) is not None:
            self._state.in_flight.pop(ref, None)

    def drop_unconfirmed(self, now: float) -> None:
        """Drops results that no owner has confirmed although their deliveries ended long ago."""
        state = self._state
        for ref, delivery in list(state.in_flight.items()):
            if now - delivery.until > CONFIRMATION_MS:
                self.reported(ref)
                state.in_flight.pop(ref, None)
                state.emit(LogEvent("result_unconfirmed", {"ref": ref, "shard": delivery.shard}))

    def accepts(self, shard: int) -> bool:
        """Whether results of the previous owner's deliveries in this shard are for this store."""
        return shard in self._state.owned or self._state.is_being_taken_over(shard)

    def received(self, now: float, sender: str, ref: str, shard: int, verdict: Verdict) -> None:
        """Handles the result of a delivery that the previous owner sent."""
        state = self._state
        message = state.messages.get(ref)
        if ref in state.final_states:
            self._finalization.learned(now, ref, state.final_states[ref])
        elif (takeover := state.takeovers.get(shard)) is not None:
            takeover.finished_deliveries.add((sender, ref))
            if verdict.execution in FINAL_EXECUTIONS:
                self._final_states.learn(ref, self._final_state(verdict))
            elif message is not None:
                message.sender = ""
        elif message is None or shard not in state.owned:
            return
        elif message.state is State.IN_FLIGHT_ELSEWHERE and message.sender == sender:
            message.sender = ""
            self._apply(now, message, verdict)
            self._order.dispatch(now)
        elif message.state is State.WAITING and verdict.execution in FINAL_EXECUTIONS:
            self._apply(now, message, verdict)
