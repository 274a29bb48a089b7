"""Keeps how messages ended on enough disks, for as long as it is asked for. No I/O.

The owner of a shard answers for the final states of its messages. It knows by name which stores have each of
them on disk: from those it told, and by listing what the others hold when it takes a shard over or another
incarnation of a store appears. What is on too few disks that count is copied again, a portion at a time;
until then `is_safe` is false, so that no store is removed from the roster while a final state needs it.

    input                                          what becomes of it
    a final state is on enough disks               its message is removed; the holders are noted
    a shard is ours, another incarnation of store  list what it holds of the own shards, page by page
    listed, a final state unknown here             asked for, kept on the own disk, noted
    a store is away for some time                  what it held is copied to others
    a store is leaving or retiring                 at once, where enough others stay
    a final state is older than it must be         forgotten
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

PATIENCE_PART = 0.2  # of `syncS` a store may be away before what it held is copied: most restarts take less
COPY_PART = 0.25  # of `syncS` in which all that is short then goes out
PORTION_INTERVAL_MS = 40.0  # between two requests to copy
MIN_PORTION, MAX_PORTION = 50, 500  # final states: at most 12,500 a second, some megabyte
REFUSED_RETRY_MS = 1000.0  # before a store that kept none of a portion is asked again
PAGE = 4000  # refs in one answer that lists them: some 90 kB, and some 4 ms to gather them
MIN_KEPT_S = 30.0  # final states are kept longer than they are asked for by this

Learned = Callable[[float, str, FinalState], None]


class Listing(NamedTuple):
    """One store's final states of the own shards, as far as it has listed them."""

    number: int  # of this asking: an answer to another one is passed over
    incarnation: str
    epochs: dict[int, ViewNumber]  # of the shards that are asked about
    seen: set[str]
    after: str = ""
    is_last: bool = False  # this page


class FinalStateReplication:
    """`on_learned(now, ref, final_state)` is told of those that a listing brought."""

    def __init__(
        self, state: QueueState, placement: ReplicaPlacement, status_s: float, sync_ms: float
    ) -> None:
        self._state, self._placement = state, placement
        self._status_s, self._sync_ms = status_s, sync_ms
        self._patience_ms = PATIENCE_PART * sync_ms
        self.on_learned: Learned = lambda now, ref, final_state: self.learn(ref, final_state)
        self._holders = FinalStateHolders()
        self._listings: dict[str, Listing] = {}  # under way, by store
        self._listed: dict[str, tuple[str, dict[int, ViewNumber]]] = {}  # by store: incarnation and shards
        self._all_listed_at: float | None = None  # when it was last known what all others hold
        self._absent: dict[str, float] = {}  # stores of the roster that are not live, since when
        self._short: list[str] = []  # refs that are to be copied, the last one first
        self._is_short = False  # by the last count
        self._must_count = True
        self._counted_with: frozenset[str] = frozenset()
        self._portion, self._portion_at = MIN_PORTION, 0.0
        self._copying: set[str] = set()  # stores that have a portion to keep
        self._refused_at: dict[str, float] = {}  # stores that kept none of a portion

    # What is known

    def learn(self, ref: str, final_state: FinalState) -> None:
        """How a message has ended; the first word on it holds."""
        state = self._state
        if ref not in state.final_states:
            state.final_states[ref] = final_state
            state.unsynced_final_states.add(ref)
        if shard_of_ref(ref) in state.owned and ref not in self._holders and ref not in state.messages:
            self._adopt(ref)

    def written(self, ref: str) -> None:
        """It is on the own disk."""
        self._state.unsynced_final_states.discard(ref)
        self._holders.add(ref, self._state.me)

    def adopt(self, shards: Iterable[int]) -> None:
        """These shards are served from here: their final states are ours to keep."""
        prefixes = _prefixes(shards)
        for ref in self._state.final_states:
            if ref[:2] in prefixes and ref not in self._holders and ref not in self._state.messages:
                self._adopt(ref)

    def _adopt(self, ref: str) -> None:
        is_on_disk = ref not in self._state.unsynced_final_states
        self._holders.put(ref, frozenset((self._state.me,)) if is_on_disk else frozenset())
        self._must_count = True

    def release(self, shards: Iterable[int]) -> None:
        """These shards are another store's."""
        prefixes = _prefixes(shards)
        self._holders.drop([ref for ref in self._holders if ref[:2] in prefixes])
        self._must_count = True

    def note_holders(self, ref: str, stores: Iterable[str]) -> None:
        """These stores have it on disk."""
        for store in stores:
            self._holders.add(ref, store)
            if (listing := self._listings.get(store)) is not None:
                listing.seen.add(ref)  # its page may have been written before

    def message_removed(self, ref: str, holders: Iterable[str]) -> None:
        """The message is done with; its final state, if it is of an own shard, is kept from here on."""
        if shard_of_ref(ref) in self._state.owned:
            self._holders.put(ref, frozenset(holders))
            self.note_holders(ref, holders)

    def expire(self, unix: float) -> list[str]:
        """Those that nobody asks for any more; they go from the disk too."""
        # A replica that a store away for long brings back may run until its retention is over.
        routes = self._state.table.doc.get("routes", [])
        retentions = [float(route.get("retentionS") or 0) for route in routes]
        kept_s = max([self._status_s, *retentions]) + MIN_KEPT_S
        oldest = unix - kept_s * 1000.0
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

    # Listing what others hold

    def page(self, shards: Iterable[int], after: str, limit: int) -> tuple[list[str], bool]:
        """The refs of those that are on this disk, in order, and whether there are no more."""
        prefixes, unsynced = _prefixes(shards), self._state.unsynced_final_states
        refs = sorted(
            ref
            for ref in self._state.final_states
            if ref > after and ref[:2] in prefixes and ref not in unsynced
        )
        return refs[:limit], len(refs) <= limit

    def _list_unknown(self) -> bool:
        """Asks each store what it holds of the own shards, where that is not known; whether all is known."""
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
            self._state.emit(ListFinalStates(name, number, sorted(missing), "", PAGE))
        return is_known

    def _is_listed(self, name: str, shard: int) -> bool:
        incarnation, epochs = self._listed.get(name, ("", {}))
        info = self._state.view.live_stores.get(name)
        is_same = info is not None and incarnation == info.incarnation
        return is_same and epochs.get(shard) == self._state.owned[shard]

    def listed(self, store: str, number: int, refs: list[str] | None, is_last: bool) -> None:
        """One page of what another store holds; None where it did not answer."""
        listing = self._listings.get(store)
        if listing is None or listing.number != number:
            return
        if refs is None:
            del self._listings[store]  # begun anew with the next look
            return
        listing.seen.update(refs)
        unknown = []
        for ref in refs:
            if not self._is_still_ours(listing, ref):
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

    def _is_still_ours(self, listing: Listing, ref: str) -> bool:
        shard = shard_of_ref(ref)
        if shard is None or shard not in listing.epochs:
            return False
        return self._state.owned.get(shard) == listing.epochs[shard]

    def _next_page(self, store: str) -> None:
        listing = self._listings[store]
        if not listing.is_last:
            shards = sorted(listing.epochs)
            self._state.emit(ListFinalStates(store, listing.number, shards, listing.after, PAGE))
            return
        del self._listings[store]
        for ref in list(self._holders):
            if ref not in listing.seen and self._is_still_ours(listing, ref):
                self._holders.remove(ref, store)
        incarnation, epochs = self._listed.get(store, ("", {}))
        known = epochs if incarnation == listing.incarnation else {}
        self._listed[store] = (listing.incarnation, known | listing.epochs)
        self._must_count = True

    def is_listing(self, store: str, number: int) -> bool:
        """Whether that round of questions is one of a listing."""
        listing = self._listings.get(store)
        return listing is not None and listing.number == number

    def unknown_answered(self, now: float, store: str, known: dict[str, FinalState] | None) -> None:
        """The final states of a page that were not known here; None where the store did not answer."""
        if known is None:
            del self._listings[store]
            return
        listing, kept = self._listings[store], []
        for ref, final_state in known.items():
            if ref in self._state.final_states or not self._is_still_ours(listing, ref):
                continue
            self.on_learned(now, ref, final_state)
            self._holders.add(ref, store)
            kept.append(ref)
        if kept:
            self._state.emit(WriteFinalStates(kept))
        self._next_page(store)

    # Copying anew

    def observe_absent(self, now: float, view: View) -> None:
        """Another view is in force."""
        away = {name for name in view.roster if name not in view.live_stores}
        self._absent = {name: self._absent.get(name, now) for name in sorted(away)}

    def _expected(self, now: float) -> frozenset[str]:
        """Stores whose final states need no copy yet: those that count, and those likely to be back."""
        me = self._state.me
        away = {name for name, since in self._absent.items() if now - since < self._patience_ms}
        own = {me} if self._placement.counts(me) else set()
        return frozenset(away | self._placement.counted_stores() | own)

    def copy_portion(self, now: float) -> None:
        """A portion of what is on too few disks."""
        if now - self._portion_at < PORTION_INTERVAL_MS or not self._state.holds_lease(now):
            return
        self._portion_at = now
        all_listed = self._list_unknown()
        if all_listed or self._all_listed_at is None:
            self._all_listed_at = now
        if not all_listed and now - self._all_listed_at < self._patience_ms:
            return  # others may have what seems to be here only
        expected = self._expected(now)
        if self._must_count or expected != self._counted_with:
            self._count(expected)
        self._send_portion(now, expected)

    def _count(self, expected: frozenset[str]) -> None:
        self._must_count, self._counted_with = False, expected
        self._short = self.short_of_copies(expected)
        self._is_short = bool(self._short)
        portions = COPY_PART * self._sync_ms / PORTION_INTERVAL_MS
        self._portion = int(min(MAX_PORTION, max(MIN_PORTION, len(self._short) / portions)))

    def _send_portion(self, now: float, expected: frozenset[str]) -> None:
        state, for_own_disk = self._state, []
        for_others: dict[str, list[str]] = {}

        def may_hold(name: str) -> bool:
            is_refusing = now - self._refused_at.get(name, NEVER) < REFUSED_RETRY_MS
            return name not in self._copying and not is_refusing

        for _ in range(min(self._portion, len(self._short))):
            ref = self._short.pop()
            shard = shard_of_ref(ref)
            if ref not in self._holders or ref not in state.final_states or shard is None:
                continue
            holders = self._holders.of(ref)
            holders_to_be = set(holders & expected)
            if state.me not in holders and not state.full:
                for_own_disk.append(ref)
                holders_to_be.add(state.me)
            for name in self._placement.further_holders(shard, holders_to_be, may_hold):
                for_others.setdefault(name, []).append(ref)
        if for_own_disk:
            state.emit(WriteFinalStates(for_own_disk))
        for name, refs in sorted(for_others.items()):
            self._copying.add(name)
            state.emit(CopyFinalStates(name, refs))

    def short_of_copies(self, expected: frozenset[str]) -> list[str]:
        """Those that are on too few of the stores that are expected to have them."""
        enough = {holders: self._placement.is_enough(holders & expected) for holders in self._holders.sets()}
        if all(enough.values()):
            return []
        return [ref for ref in self._holders if not enough[self._holders.of(ref)]]

    def copied(self, now: float, store: str, refs: list[str], accepted: bool) -> None:
        """Another store has a portion on disk, or has not."""
        self._copying.discard(store)
        if not accepted:
            self._refused_at[store] = now
            return
        for ref in refs:
            self.note_holders(ref, (store,))
        if not self._short:
            self._must_count = True  # what is short still comes again

    def retry_short(self) -> None:
        """What could not be copied when it was its turn comes again."""
        self._must_count = self._must_count or self._is_short

    def is_safe(self) -> bool:
        """Whether every final state of the own shards is known here and on enough disks that count."""
        for name in self._state.other_stores():
            if any(not self._is_listed(name, shard) for shard in self._state.owned):
                return False
        return all(self._placement.is_durable(holders) for holders in self._holders.sets())


def _prefixes(shards: Iterable[int]) -> set[str]:
    """With which the refs of these shards begin."""
    return {f"{shard:02d}" for shard in shards}
