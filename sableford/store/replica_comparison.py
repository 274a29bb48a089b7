"""Compares what other stores hold of the owned shards with what is known here. No I/O.

A store that has come into the view may hold replicas of messages that have ended, and may lack others. The
owner asks it once for all shards, again after a failure, and for shards that it took over since.

    another store holds             known here              action
    a replica                       its final state         the final state is copied there
    a replica                       the message             it counts as a holder
    a replica                       nothing                 it may drop the replica
"""

from typing import NamedTuple

from sableford.control.view import ViewNumber, shard_of_ref
from sableford.store.acceptance import Acceptance
from sableford.store.messages import CopyFinalState, DropReplica, Pull
from sableford.store.protocol import PullResponse
from sableford.store.queue_state import QueueState


class Comparison(NamedTuple):
    """A comparison in progress: the round of its pull, and what was asked of which incarnation."""

    number: int
    incarnation: str
    epochs: dict[int, ViewNumber]  # of the shards that are compared


class ReplicaComparison:
    """Compares stores that have returned."""

    def __init__(self, state: QueueState, acceptance: Acceptance) -> None:
        self._state, self._acceptance = state, acceptance
        self._comparing: dict[str, Comparison] = {}  # in progress, by store
        self._compared: dict[str, tuple[str, set[int]]] = {}  # by store: incarnation and shards

    def compare_again(self) -> None:
        """Starts comparisons with the stores that were not compared with all shards owned here."""
        for name in sorted(self._state.other_stores()):
            incarnation, shards = self._compared.get(name, ("", set()))
            is_same = incarnation == self._state.incarnation_of(name)
            if not is_same or not self._state.owned.keys() <= shards:
                self.compare(name)

    def compare(self, name: str) -> None:
        """Asks the present incarnation of a store what it holds of the owned shards."""
        state, in_progress = self._state, self._comparing.get(name)
        incarnation = state.incarnation_of(name)
        if not state.owned or (in_progress is not None and in_progress.incarnation == incarnation):
            return
        comparison = Comparison(state.next_round(), incarnation, dict(state.owned))
        self._comparing[name] = comparison
        state.emit(Pull(name, comparison.number, sorted(comparison.epochs), [], False))

    def is_comparing(self, store: str, number: int) -> bool:
        """Whether that round belongs to the comparison in progress of this store."""
        comparison = self._comparing.get(store)
        return comparison is not None and comparison.number == number

    def answered(self, now: float, store: str, response: PullResponse | None) -> None:
        """Handles the response to the comparison in progress; None if the store did not answer."""
        comparison = self._comparing.pop(store)
        if response is None or comparison.incarnation != self._state.incarnation_of(store):
            return
        # If a shard has changed its owner since the request, unknown messages in it may be the new owner's.
        owned = self._state.owned
        still_owned = {shard for shard, epoch in comparison.epochs.items() if owned.get(shard) == epoch}
        for ref in sorted(response.refs):
            shard = shard_of_ref(ref)
            if shard is not None and shard in still_owned:
                self._compare_message(now, store, ref, shard)
        self.record(store, comparison.incarnation, still_owned)

    def _compare_message(self, now: float, store: str, ref: str, shard: int) -> None:
        """Compares a message that another store holds with what is known here."""
        state = self._state
        message = state.messages.get(ref)
        if ref in state.final_states:
            state.emit(CopyFinalState(store, ref, shard, state.final_states[ref]))
        elif message is not None and state.owns(message):
            message.holders.add(store)
            self._acceptance.check(now, message)
        elif message is None and state.holds_lease(now):  # else another owner may have accepted it
            state.emit(DropReplica(store, ref, state.owned[shard]))

    def record(self, store: str, incarnation: str, shards: set[int]) -> None:
        """Records that this incarnation of a store was compared with these shards."""
        if incarnation != self._state.incarnation_of(store):
            return
        before, known = self._compared.get(store, ("", set()))
        self._compared[store] = (incarnation, (known if before == incarnation else set()) | shards)

    def audits(self) -> dict[str, str]:
        """Returns the incarnations of the stores that were compared with all shards owned here.

        Valid as a report only while everything owned is durable.
        """
        stores = self._state.view.live_stores
        return {
            name: incarnation
            for name, (incarnation, shards) in self._compared.items()
            if name in stores
            and stores[name].incarnation == incarnation
            and self._state.owned.keys() <= shards
        }
