"""What becomes of deliveries: a verdict on an own message decides its next state; one on a message whose
shard has gone to another store is reported to its new owner until that one knows. No I/O.
"""

from sableford.store.choice import Choice
from sableford.store.delivery_order import DeliveryOrder
from sableford.store.endings import Endings
from sableford.store.final_state_replication import FinalStateReplication
from sableford.store.messages import Message, SendDeliveryResult, State
from sableford.store.protocol import FinalState
from sableford.store.queue_state import COMPLETE, DEAD_LETTER, QueueState
from sableford.transport.verdict import Execution, Verdict

NOT_RUN_BACKOFF_MS = 15.0  # before a delivery that did not run is tried again, doubling
MAX_NOT_RUN_BACKOFF_MS = 400.0
FAILED_BACKOFF_MS = 20.0  # before one that failed is tried again, doubling
REPORT_AGAIN_MS = 80.0  # before the owner is told again how a delivery of the one before it has ended
FINAL = (Execution.DONE, Execution.IMPOSSIBLE)


class DeliveryResults:
    """Verdicts on deliveries, from here and from earlier owners."""

    def __init__(
        self,
        state: QueueState,
        choice: Choice,
        order: DeliveryOrder,
        endings: Endings,
        final_states: FinalStateReplication,
    ) -> None:
        self._state, self._choice, self._order = state, choice, order
        self._endings, self._final_states = endings, final_states
        self._unreported: dict[str, Verdict] = {}  # by ref, until the owner knows
        self._reported_at = 0.0

    def delivered(self, now: float, ref: str, worker: str, verdict: Verdict) -> None:
        """A delivery from here is over."""
        state = self._state
        self._note_worker(now, worker, verdict)
        shard = state.in_flight.pop(ref, None)
        message = state.messages.get(ref)
        if message is not None and message.state is State.IN_FLIGHT and state.owns(message):
            message.avoided_worker = "" if verdict.execution is Execution.DONE else worker
            self._apply(now, message, verdict)
        elif shard is not None:
            self._unreported[ref] = verdict
            state.in_flight[ref] = shard  # until the owner has been told
            if verdict.execution in FINAL and message is not None and ref not in state.final_states:
                self._endings.finish(now, message, self._final_state(verdict))  # known here for good
            self.report(now)
        self._order.dispatch(now)

    def _note_worker(self, now: float, worker: str, verdict: Verdict) -> None:
        known = self._choice.workers.get(worker)
        if known is None:
            return
        not_run = verdict.execution is Execution.NOT_RUN
        unreachable = not_run and not verdict.reached
        self._choice.finished(now, known, verdict.reached, unreachable, not_run)

    def _apply(self, now: float, message: Message, verdict: Verdict) -> None:
        """What a verdict means for its message."""
        if verdict.execution in FINAL:
            self._endings.finish(now, message, self._final_state(verdict))
        elif verdict.execution is Execution.FAILED:
            self._apply_failure(now, message)
        else:
            message.pauses += 1
            backoff_ms = NOT_RUN_BACKOFF_MS * 2.0 ** (message.pauses - 1)
            self._order.requeue(now, message, min(MAX_NOT_RUN_BACKOFF_MS, backoff_ms))

    def _apply_failure(self, now: float, message: Message) -> None:
        message.attempts += 1
        route = self._state.route_of(message)
        if route is not None and message.attempts >= route.max_attempts:
            why = f"failed {message.attempts} times"
            self._endings.finish(now, message, self._state.final_state(DEAD_LETTER, why))
        else:
            self._order.requeue(now, message, FAILED_BACKOFF_MS * 2.0 ** (message.attempts - 1))

    def _final_state(self, verdict: Verdict) -> FinalState:
        phase = COMPLETE if verdict.execution is Execution.DONE else DEAD_LETTER
        return self._state.final_state(phase, verdict.reason, verdict.seal)

    # Deliveries of a store that owns the shard no more

    def report(self, now: float) -> None:
        """To the owners of the messages, as the view names them."""
        state = self._state
        self._reported_at = now
        for ref, verdict in list(self._unreported.items()):
            shard = state.in_flight.get(ref, 0)
            owner = state.view.owners[shard]
            if owner and owner != state.me:
                state.emit(SendDeliveryResult(owner, ref, shard, verdict))
            elif owner == state.me and shard in state.owned:
                self.reported(ref)
                self.received(now, state.me, ref, shard, verdict)

    def report_again(self, now: float) -> None:
        """What an owner has not confirmed in time."""
        if self._unreported and now - self._reported_at > REPORT_AGAIN_MS:
            self.report(now)

    def reported(self, ref: str) -> None:
        """The owner knows."""
        if self._unreported.pop(ref, None) is not None:
            self._state.in_flight.pop(ref, None)

    def accepts(self, shard: int) -> bool:
        """Whether it is for this store to hear how deliveries of the owner before have ended."""
        return shard in self._state.owned or self._state.is_being_taken_over(shard)

    def received(self, now: float, sender: str, ref: str, shard: int, verdict: Verdict) -> None:
        """How a delivery of the owner before has ended."""
        state = self._state
        message = state.messages.get(ref)
        if ref in state.final_states:
            self._endings.learned(now, ref, state.final_states[ref])
        elif (takeover := state.takeovers.get(shard)) is not None:
            takeover.finished_deliveries.add((sender, ref))
            if verdict.execution in FINAL:
                self._final_states.learn(ref, self._final_state(verdict))
            elif message is not None:
                message.sender = ""
        elif message is None or shard not in state.owned:
            return
        elif message.state is State.IN_FLIGHT_ELSEWHERE and message.sender == sender:
            message.sender = ""
            self._apply(now, message, verdict)
            self._order.dispatch(now)
        elif message.state is State.WAITING and verdict.execution in FINAL:
            self._apply(now, message, verdict)
