"""The list of workers as one process knows it, and what it may not unlearn. No I/O.

known of the id       input                      next state
left                  entry, snapshot            as it was: its incarnation has ended
draining              entry, snapshot            the entry, draining still
an entry              entry of a lower count     as it was: a late call
an entry, or none     entry                      the entry
any                   removed, and it had left   no entry, left
any                   removed, it was silent     no entry; draining stays known

Within one incarnation a worker goes from ready to draining to left and never back. What has been acknowledged
of that must hold whoever leads next, and a leader may have been cut off when it was told. So every store
holds to what it knows by itself, for a minute, and tells a leader that it joins (`departures`).
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

import msgspec

REMEMBERED_MS = 60_000.0  # ms that a departure is known: a late call is never so late
READY, DRAINING = "ready", "draining"  # an entry's phase, on the wire


class Worker(msgspec.Struct):
    """An entry of the list, as stores get it. `cold_ms` counts from when it was sent; `count` is the number
    of the worker's call that it comes from."""

    id: str
    backend: str
    address: str
    zone: str
    capacity: int
    phase: str
    cold_ms: float
    revision: str = ""
    count: int = -1


class Departure(IntEnum):
    """How far a worker has gone; on the wire as a number."""

    DRAINING = 1
    LEFT = 2


class _KnownDeparture(NamedTuple):
    departure: Departure
    until: float


class WorkerTable:
    """Entries by the workers' ids, and departures. Times are ms of the owner's steady clock."""

    def __init__(self) -> None:
        self.entries: dict[str, Worker] = {}
        self._departed: dict[str, _KnownDeparture] = {}

    def departure(self, now: float, id: str) -> Departure | None:
        """How far a worker is known to have gone."""
        known = self._departed.get(id)
        return known.departure if known is not None and known.until > now else None

    def departures(self, now: float) -> dict[str, int]:
        """All that are known, for a leader that may know less."""
        self._departed = {id: known for id, known in self._departed.items() if known.until > now}
        return {id: known.departure.value for id, known in self._departed.items()}

    def depart(self, now: float, id: str, departure: Departure) -> bool:
        """Whether that was new."""
        before = self.departure(now, id)
        farthest = max(departure, before or departure)
        self._departed[id] = _KnownDeparture(farthest, now + REMEMBERED_MS)
        entry = self.entries.get(id)
        if entry is not None and farthest is Departure.LEFT:
            del self.entries[id]
        elif entry is not None and entry.phase != DRAINING:
            self.entries[id] = msgspec.structs.replace(entry, phase=DRAINING)
        return before is None or departure > before

    def put(self, now: float, entry: Worker) -> Worker | None:
        """The entry as it stands after it; none where the worker has left."""
        departure = self.departure(now, entry.id)
        if departure is Departure.LEFT:
            return None
        if entry.phase == DRAINING or departure is Departure.DRAINING:
            self.depart(now, entry.id, Departure.DRAINING)
            entry = msgspec.structs.replace(entry, phase=DRAINING)
        known = self.entries.get(entry.id)
        if known is not None and 0 <= entry.count < known.count:  # a leader of version 0.3 sends no count
            entry = msgspec.structs.replace(known, phase=DRAINING if entry.phase == DRAINING else known.phase)
        self.entries[entry.id] = entry
        return entry

    def remove(self, now: float, id: str, left: bool) -> None:
        """`left`: its incarnation has ended; else it was silent, and may call again."""
        if left:
            self.depart(now, id, Departure.LEFT)
        self.entries.pop(id, None)

    def replace(self, now: float, entries: Iterable[Worker]) -> None:
        """Just these entries from now on, as far as they agree with what is known here."""
        before, self.entries = self.entries, {}
        for entry in entries:
            if (known := before.get(entry.id)) is not None:
                self.entries[entry.id] = known
            self.put(now, entry)
