"""Replicas of the own shards' messages on other stores: the first ones, and others where some were lost. No
I/O."""

from sableford.store.messages import NEVER, CopyMessage, Message, State
from sableford.store.queue_state import QueueState
from sableford.store.replica_placement import ReplicaPlacement

MAX_RECOPYING = 64  # accepted messages that are copied again at once: some 200 kB under way
RECOPY_TIMEOUT_MS = 2000.0  # after which a copy under way is waited for no more
CONFIRM_MS = 60.0  # for a store to say that it keeps a replica; then another is asked too
ASK_AGAIN_MS = CONFIRM_MS * 5.0  # before the same store is asked again


class MessageReplication:
    """`copy` at once, or `copy_later` in turn, since there may be many."""

    def __init__(self, state: QueueState, placement: ReplicaPlacement) -> None:
        self._state, self._placement = state, placement
        self._waiting: dict[str, None] = {}  # refs of accepted messages that are to be copied again, in order
        self._under_way: dict[str, float] = {}  # those of them that are being copied, since when

    def copy(self, now: float, message: Message) -> None:
        """To as many further stores as it takes."""
        # A disk that does not answer in time is passed over like a store that does not.
        own_may_come = message.synced or now - message.written_at < CONFIRM_MS
        asked = {name for name, at in message.copied_at.items() if now - at < CONFIRM_MS}
        holders = message.holders | asked | ({self._state.me} if own_may_come else set())
        holders = {name for name in holders if self._placement.counts(name)}

        def may_hold(name: str) -> bool:
            return now - message.copied_at.get(name, NEVER) >= ASK_AGAIN_MS

        for name in self._placement.further_holders(message.shard, holders, may_hold):
            message.copied_at[name] = now
            self._state.emit(CopyMessage(name, message.ref, self._state.owned[message.shard]))

    def copy_later(self, message: Message) -> None:
        """An accepted message that is on too few disks."""
        self._waiting[message.ref] = None

    def copy_waiting(self, now: float) -> None:
        """As many as may be under way."""
        for ref in [ref for ref, at in self._under_way.items() if now - at > RECOPY_TIMEOUT_MS]:
            del self._under_way[ref]
        while self._waiting and len(self._under_way) < MAX_RECOPYING:
            ref = next(iter(self._waiting))
            del self._waiting[ref]
            message = self._state.messages.get(ref)
            if message is None or not self._needs_copy(message) or ref in self._under_way:
                continue
            before = self._state.effects_so_far()
            self.copy(now, message)
            if self._state.effects_so_far() > before:
                self._under_way[ref] = now

    def _needs_copy(self, message: Message) -> bool:
        if not self._state.owns(message) or self._placement.is_safe(message):
            return False
        return message.state not in (State.ACCEPTING, State.ENDING)

    def answered(self, now: float, message: Message | None, ref: str, store: str, accepted: bool) -> bool:
        """Another store has kept a replica, or has not. Whether it has, of a message that is owned here."""
        self._under_way.pop(ref, None)
        if message is None or not self._state.owns(message):
            return False
        if accepted:
            message.holders.add(store)
        elif message.state is not State.ENDING:
            message.copied_at[store] = now - CONFIRM_MS
            self.copy(now, message)
        return accepted
