"""Keeps the final states of messages on enough disks for as long as clients may ask for them. No I/O.

The owner of a shard is responsible for the final states of its messages. It tracks which stores have each of
them on disk: from the stores that it copied to, and by listing what the others hold when it takes a shard
over or a new incarnation of a store appears. A final state on too few disks is copied again, in batches.
Until then `is_safe` is false, so that no store is removed from the roster while a final state depends on it.

    event                                            action
    a final state is on enough disks                 its message is removed; the holders are recorded
    a shard is taken over, or a store is restarted   list what stores hold of the owned shards, page by page
    a listed final state is unknown here             request it, write it to the local disk, record the holder
    a store is absent for some time                  copy what it held to other stores
    a store is leaving or retiring                   the same at once, if enough other stores stay
    a final state is past its retention              remove it
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from sableford.control.view import View, ViewNumber, shard_of_ref
from sableford.store.final_state_holders import FinalStateHolders
from sableford.store.messages import (
    NEVER,
    AskFinalStates,
    CopyFinalStates,
    ListFinalStates,
    WriteFinalStates,
)
from sableford.store.protocol import FinalState
from sableford.store.queue_state import QueueState
from sableford.store.replica_placement import ReplicaPlacement

# Fraction of `syncS` for which a store may be absent before what it held is copied: most restarts take less.
ABSENCE_GRACE_FRACTION = 0.2
COPY_FRACTION = 0.25  # fraction of `syncS` within which everything under-replicated is then sent
BATCH_INTERVAL_MS = 40.0  # between two batches
MIN_BATCH, MAX_BATCH = 50, 500  # final states: at most 12,500 a second, about a megabyte
REFUSED_RETRY_MS = 1000.0  # until a store that refused a batch is asked again
PAGE_SIZE = 4000  # refs in one page of a listing: about 90 kB, and about 4 ms to collect
EXTRA_RETENTION_S = 30.0  # final states are kept this much longer than clients may ask for them

Learned = Callable[[float, str, FinalState], None]


class Listing(NamedTuple):
    """The progress of listing which final states of the owned shards a store has on disk."""

    number: int  # round of this listing; answers of other rounds are ignored
    incarnation: str
    epochs: dict[int, ViewNumber]  # of the shards that are listed
    seen: set[str]
    after: str = ""
    is_last: bool = False  # whether the last page has arrived


class FinalStateReplication:
    """Replicates final states. `on_learned(now, ref, final_state)` is called for those found by listing."""

    def __init__(
        self, state: QueueState, placement: ReplicaPlacement, status_s: float, sync_ms: float
    ) -> None:
        self._state, self._placement = state, placement
        self._status_s, self._sync_ms = status_s, sync_ms
        self._absence_grace_ms = ABSENCE_GRACE_FRACTION * sync_ms
        self.on_learned: Learned = lambda now, ref, final_state: self.learn(ref, final_state)
        self._holders = FinalStateHolders()
        self._listings: dict[str, Listing] = {}  # in progress, by store
        self._listed: dict[str, tuple[str, dict[int, ViewNumber]]] = {}  # by store: incarnation and shards
        self._all_listed_at: float | None = None  # when the holdings of all other stores were last known
        self._absent: dict[str, float] = {}  # stores on the roster that are not live, and since when
        self._under_replicated: list[str] = []  # refs to copy, taken from the end
        self._found_under_replicated = False  # whether the last count found any
        self._needs_recount = True
        self._counted_for: frozenset[str] = frozenset()
        self._batch_size, self._batch_sent_at = MIN_BATCH, 0.0
        self._copying: set[str] = set()  # stores with a batch in flight
        self._refused_at: dict[str, float] = {}  # when a store last refused a batch

    # Known final states

    def learn(self, ref: str, final_state: FinalState) -> None:
        """Records how a message ended; the first final state stands."""
        state = self._state
        if ref not in state.final_states:
            state.final_states[ref] = final_state
            state.unsynced_final_states.add(ref)
        if shard_of_ref(ref) in state.owned and ref not in self._holders and ref not in state.messages:
            self._adopt(ref)

    def written(self, ref: str) -> None:
        """Records that the final state is on the local disk."""
        self._state.unsynced_final_states.discard(ref)
        self._holders.add(ref, self._state.me)

    def adopt(self, shards: Iterable[int]) -> None:
        """Takes on the final states of shards that are served here from now on."""
        prefixes = _prefixes(shards)
        for ref in self._state.final_states:
            if ref[:2] in prefixes and ref not in self._holders and ref not in self._state.messages:
                self._adopt(ref)

    def _adopt(self, ref: str) -> None:
        is_on_disk = ref not in self._state.unsynced_final_states
        self._holders.put(ref, frozenset((self._state.me,)) if is_on_disk else frozenset())
        self._needs_recount = True

    def release(self, shards: Iterable[int]) -> None:
        """Stops tracking the final states of shards that another store owns now."""
        prefixes = _prefixes(shards)
        self._holders.drop([ref for ref in self._holders if ref[:2] in prefixes])
        self._needs_recount = True

    def add_holders(self, ref: str, stores: Iterable[str]) -> None:
        """Records that these stores have the final state on disk."""
        for store in stores:
            self._holders.add(ref, store)
            if (listing := self._listings.get(store)) is not None:
                listing.seen.add(ref)  # the page that would contain it may have been sent before

    def message_removed(self, ref: str, holders: Iterable[str]) -> None:
        """Tracks the final state of a message that was removed, if its shard is owned."""
        if shard_of_ref(ref) in self._state.owned:
            self._holders.put(ref, frozenset(holders))
            self.add_holders(ref, holders)

    def expire(self, unix: float) -> list[str]:
        """Removes final states past their retention, and returns their refs for removal from the disk."""
        # A store that was absent for long may bring back a replica, which may run until its retention ends.
        routes = self._state.table.doc.get("routes", [])
        retentions = [float(route.get("retentionS") or 0) for route in routes]
        retention_s = max([self._status_s, *retentions]) + EXTRA_RETENTION_S
        oldest = unix - retention_s * 1000.0
        expired = [
            ref
            for ref, final_state in self._state.final_states.items()
            if final_state.ended_at < oldest and ref not in self._state.messages
        ]
        for ref in expired:
            del self._state.final_states[ref]
        self._state.unsynced_final_states.difference_update(expired)
        self._holders.drop(expired)
        return expired

    # Listing the final states of other stores

    def page(self, shards: Iterable[int], after: str, limit: int) -> tuple[list[str], bool]:
        """Returns a page of the refs on the local disk, in order, and whether it is the last."""
        prefixes, unsynced = _prefixes(shards), self._state.unsynced_final_states
        refs = sorted(
            ref
            for ref in self._state.final_states
            if ref > after and ref[:2] in prefixes and ref not in unsynced
        )
        return refs[:limit], len(refs) <= limit

    def _list_unknown(self) -> bool:
        """Starts listings of stores whose holdings are not known. Returns whether all are known."""
        is_known = True
        for name in sorted(self._state.other_stores()):
            incarnation = self._state.incarnation_of(name)
            listing = self._listings.get(name)
            if listing is not None and listing.incarnation == incarnation:
                is_known = False
                continue
            missing = {
                shard: epoch for shard, epoch in self._state.owned.items() if not self._is_listed(name, shard)
            }
            if not missing:
                self._listings.pop(name, None)
                continue
            is_known = False
            number = self._state.next_round()
            self._listings[name] = Listing(number, incarnation, missing, set())
            self._state.emit(ListFinalStates(name, number, sorted(missing), "", PAGE_SIZE))
        return is_known

    def _is_listed(self, name: str, shard: int) -> bool:
        incarnation, epochs = self._listed.get(name, ("", {}))
        info = self._state.view.live_stores.get(name)
        is_same = info is not None and incarnation == info.incarnation
        return is_same and epochs.get(shard) == self._state.owned[shard]

    def listed(self, store: str, number: int, refs: list[str] | None, is_last: bool) -> None:
        """Handles one page of a listing; `refs` is None if the store did not answer."""
        listing = self._listings.get(store)
        if listing is None or listing.number != number:
            return
        if refs is None:
            del self._listings[store]  # started again with the next batch
            return
        listing.seen.update(refs)
        unknown = []
        for ref in refs:
            if not self._is_still_owned(listing, ref):
                continue
            if ref in self._holders:
                self._holders.add(ref, store)
            elif ref not in self._state.final_states:
                unknown.append(ref)
        after = refs[-1] if refs else listing.after
        self._listings[store] = listing._replace(after=after, is_last=is_last)
        if unknown:
            self._state.emit(AskFinalStates(store, number, unknown))
        else:
            self._next_page(store)

    def _is_still_owned(self, listing: Listing, ref: str) -> bool:
        shard = shard_of_ref(ref)
        if shard is None or shard not in listing.epochs:
            return False
        return self._state.owned.get(shard) == listing.epochs[shard]

    def _next_page(self, store: str) -> None:
        listing = self._listings[store]
        if not listing.is_last:
            shards = sorted(listing.epochs)
            self._state.emit(ListFinalStates(store, listing.number, shards, listing.after, PAGE_SIZE))
            return
        del self._listings[store]
        for ref in list(self._holders):
            if ref not in listing.seen and self._is_still_owned(listing, ref):
                self._holders.remove(ref, store)
        incarnation, epochs = self._listed.get(store, ("", {}))
        known = epochs if incarnation == listing.incarnation else {}
        self._listed[store] = (listing.incarnation, known | listing.epochs)
        self._needs_recount = True

    def is_listing(self, store: str, number: int) -> bool:
        """Whether that round belongs to the listing in progress of this store."""
        listing = self._listings.get(store)
        return listing is not None and listing.number == number

    def unknown_answered(self, now: float, store: str, known: dict[str, FinalState] | None) -> None:
        """Handles the final states of a page that were unknown here; None if the store did not answer."""
        if known is None:
            del self._listings[store]
            return
        listing, added = self._listings[store], []
        for ref, final_state in known.items():
            if ref in self._state.final_states or not self._is_still_owned(listing, ref):
                continue
            self.on_learned(now, ref, final_state)
            self._holders.add(ref, store)
            added.append(ref)
        if added:
            self._state.emit(WriteFinalStates(added))
        self._next_page(store)

    # Copying under-replicated final states

    def observe_absent(self, now: float, view: View) -> None:
        """Updates which stores are absent, after a change of the view."""
        away = {name for name in view.roster if name not in view.live_stores}
        self._absent = {name: self._absent.get(name, now) for name in sorted(away)}

    def _expected_holders(self, now: float) -> frozenset[str]:
        """Returns the stores whose copies count: counted ones, and absent ones that are likely to return."""
        me = self._state.me
        away = {name for name, since in self._absent.items() if now - since < self._absence_grace_ms}
        own = {me} if self._placement.counts(me) else set()
        return frozenset(away | self._placement.counted_stores() | own)

    def copy_batch(self, now: float) -> None:
        """Copies a batch of the final states that are on too few disks."""
        if now - self._batch_sent_at < BATCH_INTERVAL_MS or not self._state.holds_lease(now):
            return
        self._batch_sent_at = now
        all_listed = self._list_unknown()
        if all_listed or self._all_listed_at is None:
            self._all_listed_at = now
        if not all_listed and now - self._all_listed_at < self._absence_grace_ms:
            return  # other stores may have what seems to be only here
        expected = self._expected_holders(now)
        if self._needs_recount or expected != self._counted_for:
            self._count(expected)
        self._send_batch(now, expected)

    def _count(self, expected: frozenset[str]) -> None:
        self._needs_recount, self._counted_for = False, expected
        self._under_replicated = self.under_replicated(expected)
        self._found_under_replicated = bool(self._under_replicated)
        batches = COPY_FRACTION * self._sync_ms / BATCH_INTERVAL_MS
        self._batch_size = int(min(MAX_BATCH, max(MIN_BATCH, len(self._under_replicated) / batches)))

    def _send_batch(self, now: float, expected: frozenset[str]) -> None:
        state, for_local_disk = self._state, []
        for_others: dict[str, list[str]] = {}

        def may_hold(name: str) -> bool:
            has_refused = now - self._refused_at.get(name, NEVER) < REFUSED_RETRY_MS
            return name not in self._copying and not has_refused

        for _ in range(min(self._batch_size, len(self._under_replicated))):
            ref = self._under_replicated.pop()
            shard = shard_of_ref(ref)
            if ref not in self._holders or ref not in state.final_states or shard is None:
                continue
            holders = self._holders.of(ref)
            planned_holders = set(holders & expected)
            if state.me not in holders and not state.full:
                for_local_disk.append(ref)
                planned_holders.add(state.me)
            for name in self._placement.additional_holders(shard, planned_holders, may_hold):
                for_others.setdefault(name, []).append(ref)
        if for_local_disk:
            state.emit(WriteFinalStates(for_local_disk))
        for name, refs in sorted(for_others.items()):
            self._copying.add(name)
            state.emit(CopyFinalStates(name, refs))

    def under_replicated(self, expected: frozenset[str]) -> list[str]:
        """Returns the refs that are on too few of the stores whose copies count."""
        enough = {holders: self._placement.is_enough(holders & expected) for holders in self._holders.sets()}
        if all(enough.values()):
            return []
        return [ref for ref in self._holders if not enough[self._holders.of(ref)]]

    def copied(self, now: float, store: str, refs: list[str], accepted: bool) -> None:
        """Handles the response of a store to a batch."""
        self._copying.discard(store)
        if not accepted or not self._state.is_live(store):
            self._refused_at[store] = now
            return
        for ref in refs:
            self.add_holders(ref, (store,))
        if not self._under_replicated:
            self._needs_recount = True  # count again, for those that are still under-replicated

    def retry_under_replicated(self) -> None:
        """Schedules another count if the last one found final states that are under-replicated."""
        self._needs_recount = self._needs_recount or self._found_under_replicated

    def is_safe(self) -> bool:
        """Whether every final state of the owned shards is known here and on enough disks that count."""
        for name in self._state.other_stores():
            if any(not self._is_listed(name, shard) for shard in self._state.owned):
                return False
        return all(self._placement.is_durable(holders) for holders in self._holders.sets())


def _prefixes(shards: Iterable[int]) -> set[str]:
    """Returns the prefixes with which the refs of these shards begin."""
    return {f"{shard:02d}" for shard in shards}
