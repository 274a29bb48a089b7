"""Replicates the messages of owned shards to other stores, also after replicas were lost. No I/O."""

from sableford.store.messages import NEVER, CopyMessage, Message, State
from sableford.store.queue_state import QueueState
from sableford.store.replica_placement import ReplicaPlacement

MAX_RECOPYING = 64  # accepted messages being copied again at the same time: about 200 kB in flight
RECOPY_TIMEOUT_MS = 2000.0  # after which a copy in progress is no longer waited for
CONFIRM_MS = 60.0  # for a store to confirm a replica; then another store is asked as well
RETRY_MS = CONFIRM_MS * 5.0  # until the same store is asked again


class MessageReplication:
    """Copies messages: `copy` at once, `copy_later` in turn, since there may be many."""

    def __init__(self, state: QueueState, placement: ReplicaPlacement) -> None:
        self._state, self._placement = state, placement
        self._waiting: dict[str, None] = {}  # refs of accepted messages to copy again, in order
        self._in_progress: dict[str, float] = {}  # those that are being copied, with the time since when

    def copy(self, now: float, message: Message) -> None:
        """Copies the message to as many additional stores as it needs."""
        # A local disk that does not finish in time no longer counts, like a store that does not answer.
        counts_local_disk = message.synced or now - message.written_at < CONFIRM_MS
        asked = {name for name, at in message.copied_at.items() if now - at < CONFIRM_MS}
        holders = message.holders | asked | ({self._state.me} if counts_local_disk else set())
        holders = {name for name in holders if self._placement.counts(name)}

        def may_hold(name: str) -> bool:
            return now - message.copied_at.get(name, NEVER) >= RETRY_MS

        for name in self._placement.additional_holders(message.shard, holders, may_hold):
            message.copied_at[name] = now
            self._state.emit(CopyMessage(name, message.ref, self._state.owned[message.shard]))

    def copy_later(self, message: Message) -> None:
        """Schedules a copy of an accepted message that is on too few disks."""
        self._waiting[message.ref] = None

    def copy_waiting(self, now: float) -> None:
        """Starts scheduled copies, as many as may be in progress."""
        for ref in [ref for ref, at in self._in_progress.items() if now - at > RECOPY_TIMEOUT_MS]:
            del self._in_progress[ref]
        while self._waiting and len(self._in_progress) < MAX_RECOPYING:
            ref = next(iter(self._waiting))
            del self._waiting[ref]
            message = self._state.messages.get(ref)
            if message is None or not self._needs_copy(message) or ref in self._in_progress:
                continue
            before = self._state.effects_so_far()
            self.copy(now, message)
            if self._state.effects_so_far() > before:
                self._in_progress[ref] = now

    def _needs_copy(self, message: Message) -> bool:
        if not self._state.owns(message) or self._placement.is_safe(message):
            return False
        return message.state not in (State.ACCEPTING, State.ENDING)

    def answered(self, now: float, message: Message | None, ref: str, store: str, accepted: bool) -> bool:
        """Handles a response to a copy. Returns whether a replica of an owned message was added."""
        self._in_progress.pop(ref, None)
        if message is None or not self._state.owns(message):
            return False
        accepted = accepted and self._state.is_live(store)
        if accepted:
            message.holders.add(store)
        elif message.state is not State.ENDING:
            message.copied_at[store] = now - CONFIRM_MS
            self.copy(now, message)
        return accepted
