"""Which stores of the roster hold no needed replica, and which may be removed from it. No I/O.

A store is removed once it has been away for long enough, or is emptied, and every shard owner has reported
that all its messages are fully replicated without that store. The evidence is kept from the moment it first
holds, and published in the view: if another store is lost afterwards, the next owners of its shards can
report nothing until they have opened them, and opening a shard waits for the stores of the roster.

    state of a store in the views     no new replica counts    no replica on it is needed
    leaving                           from that view on        once owners report `safe_without_leaving`
                                                               for that view
    absent, or to be emptied          from that view on        once owners report `safe` for that view
    back                              -                        -

Every process follows the views, so that the next leader continues from the same state. A process that may
have missed a view relies only on what the view itself says, since the store may have been back in between.
"""

from collections.abc import Iterable

from sableford.control.view import NO_VIEW, View, ViewNumber


class Departures:
    """`absent_ms`: how long a store may be away, including the time during which it was leaving."""

    def __init__(self, absent_ms: float) -> None:
        self.absent_ms = absent_ms
        self._number: ViewNumber = (0, 0)
        self._leaving_since: dict[str, float] = {}  # stores that announced leaving and have not come back
        self._absent_since: dict[str, float] = {}  # absent stores; includes the time they were leaving
        self._leaving_view: dict[str, ViewNumber] = {}  # the first view in which the store is leaving
        self._excluded_view: dict[
            str, ViewNumber
        ] = {}  # the first view in which it is absent or to be emptied
        self._dispensable: set[str] = set()

    def observe_view(self, now: float, view: View, roster: Iterable[str], made: bool = False) -> None:
        """Takes the view in force. `made`: this process built it from the view that it observed last."""
        term, count = self._number
        if not made and view.number not in ((term, count), (term, count + 1)):
            self.discard_evidence()
        if not made:
            self._dispensable |= {*view.dispensable}
        self._number = view.number
        for name, info in view.live_stores.items():
            self._observe_live_store(now, name, info.leaving, info.retiring)
        for name in roster:
            if name not in view.live_stores:
                self._absent_since.setdefault(name, self._leaving_since.get(name, now))
                if view.number != NO_VIEW:  # no owner can have reported what is safe under NO_VIEW
                    self._excluded_view.setdefault(name, view.number)
        self._forget_others({*view.live_stores, *roster})

    def _observe_live_store(self, now: float, name: str, leaving: bool, retiring: bool) -> None:
        self._absent_since.pop(name, None)
        if leaving:
            self._leaving_since.setdefault(name, now)
        else:
            self._leaving_since.pop(name, None)
        if leaving:
            self._leaving_view.setdefault(name, self._number)
        else:
            self._leaving_view.pop(name, None)
        if retiring:
            self._excluded_view.setdefault(name, self._number)
        else:
            self._excluded_view.pop(name, None)
        if name not in self._leaving_view and name not in self._excluded_view:
            self._dispensable.discard(name)

    def _forget_others(self, known: set[str]) -> None:
        for table in (self._leaving_since, self._absent_since, self._leaving_view, self._excluded_view):
            for name in table.keys() - known:
                del table[name]
        self._dispensable &= known

    def discard_evidence(self) -> None:
        """Drops evidence that may be out of date: an absent store may have come back and left again since."""
        self._leaving_view, self._excluded_view, self._dispensable = {}, {}, set()

    @property
    def dispensable(self) -> list[str]:
        """Stores on whose disks no replica is needed."""
        return sorted(self._dispensable)

    def observe_safe_views(self, safe: ViewNumber, safe_without_leaving: ViewNumber) -> None:
        """Takes what all owners have reported: the newest view under which the messages of all shards were
        fully replicated, and the same without counting replicas on stores that are leaving."""
        self._dispensable |= {name for name, number in self._excluded_view.items() if safe >= number}
        self._dispensable |= {
            name for name, number in self._leaving_view.items() if safe_without_leaving >= number
        }

    def removable(self, now: float, emptied: dict[str, ViewNumber | None]) -> list[str]:
        """Stores to remove from the roster. `emptied`: stores that are being emptied, with the newest view
        under which each had handed over what it held; None for a store that is absent."""
        found = []
        for name in sorted(self._excluded_view):
            if name not in self._dispensable:
                continue
            handed_over = emptied.get(name)
            if handed_over is not None:
                ready = handed_over >= self._excluded_view[name]
            else:
                ready = name in self._absent_since and now - self._absent_since[name] >= self.absent_ms
            if ready:
                found.append(name)
        return found
