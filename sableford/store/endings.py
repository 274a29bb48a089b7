"""The end of a message: its final state goes to enough disks, then the message is removed. No I/O."""

from sableford.store.delivery_order import DeliveryOrder
from sableford.store.final_state_replication import FinalStateReplication
from sableford.store.message_replication import CONFIRM_MS
from sableford.store.messages import CopyFinalState, Message, State, WriteFinalState
from sableford.store.protocol import FinalState
from sableford.store.queue_state import QueueState
from sableford.store.replica_placement import ReplicaPlacement

OWN_DISK_ROUNDS = 3  # of asking others in vain; then the own disk is counted on no more
MAX_WAIT_ROUNDS = 8  # others are asked less often with each round, up to so many times CONFIRM_MS
ROUND = "final state"  # the key of `Message.copied_at` for the last round


class Endings:
    """Takes messages from any state to their removal."""

    def __init__(
        self,
        state: QueueState,
        placement: ReplicaPlacement,
        order: DeliveryOrder,
        final_states: FinalStateReplication,
    ) -> None:
        self._state, self._placement, self._order, self._final_states = state, placement, order, final_states

    def finish(self, now: float, message: Message, final_state: FinalState) -> None:
        """The message has ended; it stays until that is on enough disks."""
        message.state, message.final_state = State.ENDING, final_state
        self._final_states.learn(message.ref, final_state)
        self._state.accepting.pop(message.ref, None)
        self._state.ending[message.ref] = None
        message.final_state_holders = set()
        self._state.emit(WriteFinalState(message.ref))
        self.copy(now, message)

    def copy(self, now: float, message: Message) -> None:
        """Its final state, to all who hold the message, and to as many as may be lost."""
        if message.final_state is None:
            return
        state = self._state
        targets = {name for name in message.holders if name in state.view.live_stores}
        targets -= message.final_state_holders
        counts_own_disk = message.final_state_rounds < OWN_DISK_ROUNDS
        holders = message.final_state_holders | targets | ({state.me} if counts_own_disk else set())
        holders = {name for name in holders if self._placement.counts(name)}
        targets |= set(self._placement.further_holders(message.shard, holders, lambda name: True))
        message.final_state_rounds += 1
        for name in sorted(targets):
            state.emit(CopyFinalState(name, message.ref, message.shard, message.final_state))
        message.copied_at = {ROUND: now}

    def copy_all(self, now: float) -> None:
        """Another view is in force: others may have to keep them."""
        for ref in list(self._state.ending):
            self.copy(now, self._state.messages[ref])

    def copy_due(self, now: float) -> None:
        """Those that were not confirmed in time."""
        for ref in list(self._state.ending):
            message = self._state.messages[ref]
            rounds = min(MAX_WAIT_ROUNDS, message.final_state_rounds)
            if now - message.copied_at.get(ROUND, 0.0) > CONFIRM_MS * rounds:
                self.copy(now, message)

    def written(self, now: float, message: Message) -> None:
        """The final state is on the own disk."""
        if message.state is State.ENDING:
            message.final_state_holders.add(self._state.me)
            self._check(now, message)

    def copied(self, now: float, ref: str, store: str) -> None:
        """Another store has the final state on its disk."""
        message = self._state.messages.get(ref)
        if message is not None and message.state is State.ENDING:
            message.final_state_holders.add(store)
            self._check(now, message)
        else:
            self._final_states.note_holders(ref, (store,))

    def _check(self, now: float, message: Message) -> None:
        if not self._placement.is_durable(message.final_state_holders):
            return
        self.remove(now, message)
        self._final_states.message_removed(message.ref, message.final_state_holders)
        self._order.dispatch(now)

    def learned(self, now: float, ref: str, final_state: FinalState) -> None:
        """Another store says how a message has ended: its owner, or the owner before who had it in flight."""
        self._final_states.learn(ref, final_state)
        message = self._state.messages.get(ref)
        if message is None or message.state is State.ENDING:
            return
        if self._state.owns(message):
            self.finish(now, message, final_state)
        elif not self._state.is_being_taken_over(message.shard):
            self.remove(now, message)

    def remove(self, now: float, message: Message) -> None:
        """The message is here no more."""
        self._state.messages.pop(message.ref, None)
        self._state.accepting.pop(message.ref, None)
        self._state.ending.pop(message.ref, None)
        self._order.leave_key(now, message)
