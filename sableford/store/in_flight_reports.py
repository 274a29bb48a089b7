"""What other stores report of their deliveries in flight at a worker, and whose reports count. No I/O.

Reports come on links that live as long as the processes do, so one may arrive before the view that admits its
sender or after the view that removes it. Only an incarnation that the present view shows counts.

    event                                                       reports of an incarnation
    it reports, and the view shows it                           replaced, count
    it reports, and the view does not show it                   replaced, kept without counting
    a view shows it                                             count
    a view does not show it; its store is absent                kept without counting, until it returns
    a view shows another incarnation, or its store is removed   discarded
"""

from typing import NamedTuple

from sableford.control.view import View


class StoreIncarnation(NamedTuple):
    """One run of a store's process."""

    store: str
    incarnation: str


class Reporters(NamedTuple):
    """The incarnations whose reports count, and the stores that are absent and may return."""

    live: frozenset[StoreIncarnation] = frozenset()
    absent: frozenset[str] = frozenset()

    @classmethod
    def of_view(cls, view: View) -> "Reporters":
        """Returns the reporters under a view."""
        live = {StoreIncarnation(name, one.incarnation) for name, one in view.live_stores.items()}
        return cls(frozenset(live), frozenset(view.roster) - view.live_stores.keys())

    def keeps(self, reporter: StoreIncarnation) -> bool:
        """Whether reports of this incarnation are kept."""
        return reporter in self.live or reporter.store in self.absent


class ReportedCounts:
    """The reported deliveries in flight at one worker.

    `total` is the sum of the reports that count. Before the first of them it is `assumed`, as long as no
    store that the assumption may rest on leaves the view.
    """

    __slots__ = ("_assumed", "_by_reporter", "total")

    def __init__(self, assumed: int = 0) -> None:
        self.total = self._assumed = assumed
        self._by_reporter: dict[StoreIncarnation, int] = {}

    def record(self, reporter: StoreIncarnation, count: int, is_live: bool) -> None:
        """Replaces the report of an incarnation."""
        previous = self._by_reporter.get(reporter, 0)
        self._by_reporter[reporter] = count
        if is_live:
            self.total += count - previous - self._assumed
            self._assumed = 0

    def apply(self, reporters: Reporters, any_left: bool) -> None:
        """Counts and keeps the reports that count and are kept from now on. `any_left`: since the reporters
        before some are not live any more."""
        self._by_reporter = {one: count for one, count in self._by_reporter.items() if reporters.keeps(one)}
        counted = self.counted(reporters)
        if counted or any_left:
            self._assumed = 0
        self.total = self._assumed + sum(counted.values())

    def counted(self, reporters: Reporters) -> dict[str, int]:
        """Returns the reports that count, by store."""
        return {one.store: count for one, count in self._by_reporter.items() if one in reporters.live}
