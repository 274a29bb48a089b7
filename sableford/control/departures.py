"""Which stores of the roster others can do without: the evidence for striking them off. No I/O.

A store is struck off once it is away for long enough, or emptied, and every owner has told that all its
messages have their copies without it. The evidence is kept from when it first holds, and told with the view:
if another store is lost then, the next owners of its shards can tell nothing before they have opened them,
and they wait for the stores of the roster.

    what the views show of a store              nothing counts on it   others can do without it
    it leaves                                   from that view on      once owners `spares` that view
    it is not there, or it is to be emptied     from that view on      once owners are `safe` under that view
    it is back                                  -                      -

Every process follows the views, so that who leads next goes on from there. Where one may have missed a view,
the store may have been back in between: only what the view itself says counts then.
"""

from collections.abc import Iterable

from sableford.control.view import NO_VIEW, Number, View


class Departures:
    """`absent_ms`: how long a store may be away, the time in which it was leaving included."""

    def __init__(self, absent_ms: float) -> None:
        self.absent_ms = absent_ms
        self._number: Number = (0, 0)
        self._leaving: dict[str, float] = {}  # said that they leave and are not back, since when
        self._away: dict[
            str, float
        ] = {}  # not there, since when, the time in which they were leaving included
        self._departing: dict[str, Number] = {}  # the first view in which it leaves
        self._without: dict[str, Number] = {}  # the first view in which it is not there or is to be emptied
        self._spared: set[str] = set()

    def see(self, now: float, view: View, roster: Iterable[str], made: bool = False) -> None:
        """The view in force. `made`: by this process, from the one that it saw last."""
        term, count = self._number
        if not made and view.number not in ((term, count), (term, count + 1)):
            self.distrust()
        if not made:
            self._spared |= {*view.spared}
        self._number = view.number
        for name, info in view.live_stores.items():
            self._see_live(now, name, info.leaving, info.retiring)
        for name in roster:
            if name not in view.live_stores:
                self._away.setdefault(name, self._leaving.get(name, now))
                if view.number != NO_VIEW:  # else nobody can have told of what is safe under it
                    self._without.setdefault(name, view.number)
        self._forget_others({*view.live_stores, *roster})

    def _see_live(self, now: float, name: str, leaving: bool, retiring: bool) -> None:
        self._away.pop(name, None)
        if leaving:
            self._leaving.setdefault(name, now)
        else:
            self._leaving.pop(name, None)
        if leaving:
            self._departing.setdefault(name, self._number)
        else:
            self._departing.pop(name, None)
        if retiring:
            self._without.setdefault(name, self._number)
        else:
            self._without.pop(name, None)
        if name not in self._departing and name not in self._without:
            self._spared.discard(name)

    def _forget_others(self, known: set[str]) -> None:
        for table in (self._leaving, self._away, self._departing, self._without):
            for name in table.keys() - known:
                del table[name]
        self._spared &= known

    def distrust(self) -> None:
        """What was seen may be old: a store that was away may have been back since and gone again."""
        self._departing, self._without, self._spared = {}, {}, set()

    @property
    def spared(self) -> list[str]:
        """Those that others can do without."""
        return sorted(self._spared)

    def told(self, safe: Number, spares: Number) -> None:
        """What all owners have told: under which view the messages of all shards had their copies; and the
        same with nothing counted that is on a store which leaves."""
        self._spared |= {name for name, number in self._without.items() if safe >= number}
        self._spared |= {name for name, number in self._departing.items() if spares >= number}

    def over(self, now: float, emptied: dict[str, Number | None]) -> list[str]:
        """Stores to strike off. `emptied`: those that are to be emptied, with the newest view under which
        each had handed on what it held; None where it is not there."""
        found = []
        for name in sorted(self._without):
            if name not in self._spared:
                continue
            handed_on = emptied.get(name)
            if handed_on is not None:
                ready = handed_on >= self._without[name]
            else:
                ready = name in self._away and now - self._away[name] >= self.absent_ms
            if ready:
                found.append(name)
        return found
