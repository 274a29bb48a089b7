"""The list of workers as one process knows it, and the departures that it must not forget. No I/O.

known of the id       input                      next state
left                  entry, snapshot            unchanged: its incarnation has ended
draining              entry, snapshot            the entry, still draining
an entry              entry of a lower count     unchanged: a delayed call
an entry, or none     entry                      the entry
any                   removed, and it had left   no entry, left
any                   removed, it was silent     no entry; draining stays known

Within one incarnation a worker goes from ready to draining to left and never back. An acknowledged departure
must hold under every later leader, including one that was cut off when it happened. So each store remembers
departures by itself for a minute, and reports them to each leader that it joins (`departures`).
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

import msgspec

DEPARTURE_RETENTION_MS = 60_000.0  # no call is delayed for that long
READY, DRAINING = "ready", "draining"  # an entry's phase, on the wire


class Worker(msgspec.Struct):
    """An entry of the list, as it is sent to stores. `slow_start_ms` is the rest of the worker's slow start
    when the entry was sent; `count` is the number of the worker's call that it comes from."""

    id: str
    backend: str
    address: str
    zone: str
    capacity: int
    phase: str
    slow_start_ms: float = msgspec.field(name="cold_ms")
    revision: str = ""
    count: int = -1


class Departure(IntEnum):
    """How far a worker's departure has got; sent as a number."""

    DRAINING = 1
    LEFT = 2


class _KnownDeparture(NamedTuple):
    departure: Departure
    until: float


class WorkerTable:
    """Entries by worker id, and departures. Times are ms of the process's monotonic clock."""

    def __init__(self) -> None:
        self.entries: dict[str, Worker] = {}
        self._departed: dict[str, _KnownDeparture] = {}

    def departure(self, now: float, id: str) -> Departure | None:
        """The departure that is known of a worker, if any."""
        known = self._departed.get(id)
        return known.departure if known is not None and known.until > now else None

    def departures(self, now: float) -> dict[str, int]:
        """All departures that are known, to report to a new leader."""
        self._departed = {id: known for id, known in self._departed.items() if known.until > now}
        return {id: known.departure.value for id, known in self._departed.items()}

    def depart(self, now: float, id: str, departure: Departure) -> bool:
        """Notes a departure, and returns whether it was new."""
        before = self.departure(now, id)
        farthest = max(departure, before or departure)
        self._departed[id] = _KnownDeparture(farthest, now + DEPARTURE_RETENTION_MS)
        entry = self.entries.get(id)
        if entry is not None and farthest is Departure.LEFT:
            del self.entries[id]
        elif entry is not None and entry.phase != DRAINING:
            self.entries[id] = msgspec.structs.replace(entry, phase=DRAINING)
        return before is None or departure > before

    def put(self, now: float, entry: Worker) -> Worker | None:
        """Takes an entry and returns the one now listed; None if the worker has left."""
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
        """Removes an entry. `left`: its incarnation has ended; else it was silent, and may call again."""
        if left:
            self.depart(now, id, Departure.LEFT)
        self.entries.pop(id, None)

    def replace(self, now: float, entries: Iterable[Worker]) -> None:
        """Replaces all entries by these, except where they contradict what is known here."""
        before, self.entries = self.entries, {}
        for entry in entries:
            if (known := before.get(entry.id)) is not None:
                self.entries[entry.id] = known
            self.put(now, entry)
