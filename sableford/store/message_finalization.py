"""Ends messages: a final state is written to enough disks, then its message is removed. No I/O."""

from sableford.store.delivery_order import DeliveryOrder
from sableford.store.final_state_replication import FinalStateReplication
from sableford.store.message_replication import CONFIRM_MS
from sableford.store.messages import CopyFinalState, Message, State, WriteFinalState
from sableford.store.protocol import FinalState
from sableford.store.queue_state import QueueState
from sableford.store.replica_placement import ReplicaPlacement

LOCAL_DISK_ROUNDS = 3  # unsuccessful rounds of copying after which the local disk is not relied on
MAX_WAIT_ROUNDS = 8  # the wait between rounds grows by CONFIRM_MS with each, up to this many
ROUND = "final state"  # key in `Message.copied_at` for the time of the last round


class MessageFinalization:
    """Takes messages from any state to their removal, once their final states are durable."""

    def __init__(
        self,
        state: QueueState,
        placement: ReplicaPlacement,
        order: DeliveryOrder,
        final_states: FinalStateReplication,
    ) -> None:
        self._state, self._placement, self._order, self._final_states = state, placement, order, final_states

    def finish(self, now: float, message: Message, final_state: FinalState) -> None:
        """Ends a message. It is kept until its final state is on enough disks."""
        message.state, message.final_state = State.ENDING, final_state
        self._final_states.learn(message.ref, final_state)
        self._state.accepting.pop(message.ref, None)
        self._state.ending[message.ref] = None
        message.final_state_holders = set()
        self._state.emit(WriteFinalState(message.ref))
        self.copy(now, message)

    def copy(self, now: float, message: Message) -> None:
        """Copies the final state to all stores that hold the message, and to more if that is too few."""
        if message.final_state is None:
            return
        state = self._state
        targets = {name for name in message.holders if name in state.view.live_stores}
        targets -= message.final_state_holders
        counts_local_disk = message.final_state_rounds < LOCAL_DISK_ROUNDS
        holders = message.final_state_holders | targets | ({state.me} if counts_local_disk else set())
        holders = {name for name in holders if self._placement.counts(name)}
        targets |= set(self._placement.additional_holders(message.shard, holders, lambda name: True))
        message.final_state_rounds += 1
        for name in sorted(targets):
            state.emit(CopyFinalState(name, message.ref, message.shard, message.final_state))
        message.copied_at = {ROUND: now}

    def copy_all(self, now: float) -> None:
        """Copies all final states that are not durable yet, after a change of the view."""
        for ref in list(self._state.ending):
            self.copy(now, self._state.messages[ref])

    def copy_due(self, now: float) -> None:
        """Copies final states again that were not confirmed in time."""
        for ref in list(self._state.ending):
            message = self._state.messages[ref]
            rounds = min(MAX_WAIT_ROUNDS, message.final_state_rounds)
            if now - message.copied_at.get(ROUND, 0.0) > CONFIRM_MS * rounds:
                self.copy(now, message)

    def written(self, now: float, message: Message) -> None:
        """Handles that the final state is on the local disk."""
        if message.state is State.ENDING:
            message.final_state_holders.add(self._state.me)
            self._check(now, message)

    def copied(self, now: float, ref: str, store: str) -> None:
        """Handles that another store has the final state on its disk."""
        if not self._state.is_live(store):
            return
        message = self._state.messages.get(ref)
        if message is not None and message.state is State.ENDING:
            message.final_state_holders.add(store)
            self._check(now, message)
        else:
            self._final_states.add_holders(ref, (store,))

    def _check(self, now: float, message: Message) -> None:
        if not self._placement.is_durable(message.final_state_holders):
            return
        self.remove(now, message)
        self._final_states.message_removed(message.ref, message.final_state_holders)
        self._order.dispatch(now)

    def learned(self, now: float, ref: str, final_state: FinalState) -> None:
        """Handles a final state from the owner, or from a previous owner that delivered the message."""
        self._final_states.learn(ref, final_state)
        message = self._state.messages.get(ref)
        if message is None or message.state is State.ENDING:
            return
        if self._state.owns(message):
            self.finish(now, message, final_state)
        elif not self._state.is_being_taken_over(message.shard):
            self.remove(now, message)

    def remove(self, now: float, message: Message) -> None:
        """Removes the message from all tables."""
        self._state.messages.pop(message.ref, None)
        self._state.accepting.pop(message.ref, None)
        self._state.ending.pop(message.ref, None)
        self._order.leave_key(now, message)
