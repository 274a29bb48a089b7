"""The leader's list of workers: their calls, and the updates that stores must have applied before a call is
acknowledged. No I/O.

call                         list                      to be applied by all stores before the acknowledgement
ready                        the worker's entry        nothing
draining                     its entry, permanently    this leader's update about it
draining, sent again         unchanged                 the same update
leave, first or sent again   none, permanently         this leader's update about it
silence                      none, it may come back    -

A repeated call changes nothing, but waits all the same: the update of the first one may still be on its way
to the stores. A new leader sends the update again that an earlier one may have sent.
"""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from sableford.control.effects import Effect, LogEvent
from sableford.control.workers import DRAINING, Departure, Worker, WorkerTable

MISSED_HEARTBEATS = 3.2  # heartbeat intervals without a call after which a worker is removed


class WorkerListed(NamedTuple):
    """A worker was added, or its entry has changed."""

    worker: Worker


class WorkerRemoved(NamedTuple):
    """A worker was removed from the list. `left`: it will not be back."""

    id: str
    left: bool


WorkerChange = WorkerListed | WorkerRemoved
Broadcast = Callable[[WorkerChange], tuple[int, list[Effect]]]


class WorkerRegistry:
    """`broadcast` sends a change to all stores, and returns the update's number and the effects. Times are ms
    of the leader's clock."""

    def __init__(self, heartbeat_ms: float, broadcast: Broadcast) -> None:
        self.table = WorkerTable()
        self._timeout_ms = heartbeat_ms * MISSED_HEARTBEATS
        self._broadcast = broadcast
        self._expires_at: dict[str, float] = {}
        self._departure_updates: dict[tuple[str, Departure], int] = {}

    def become_leader(self, now: float) -> None:
        """This process becomes leader; workers get a whole time-out to call it."""
        self._departure_updates = {}
        self._expires_at = {id: now + self._timeout_ms for id in self.table.entries}

    def heartbeat(self, now: float, entry: Worker) -> tuple[int, list[Effect]]:
        """Handles a heartbeat. Returns the update to be applied before it is acknowledged, 0 for none, and
        the effects."""
        id, drains = entry.id, entry.phase == DRAINING
        if self.table.departure(now, id) is Departure.LEFT:
            return self.left(now, id) if drains else (0, [])
        known = self.table.entries.get(id)
        effects = self._remove_others_at(now, entry.address) if known is None else []
        if known is None or entry.count >= known.count:
            self._expires_at[id] = now + self._timeout_ms
        worker = self.table.put(now, entry)
        assert worker is not None, "only one that has left is not listed"
        is_unsent = drains and (id, Departure.DRAINING) not in self._departure_updates
        if known is None or is_unsent or not _is_same_entry(known, worker):
            effects += self._broadcast_worker(worker)
        return self._departure_updates[id, Departure.DRAINING] if drains else 0, effects

    def left(self, now: float, id: str) -> tuple[int, list[Effect]]:
        """Handles a worker's last call. Returns the update to be applied before it is acknowledged, and the
        effects."""
        update = self._departure_updates.get((id, Departure.LEFT))
        effects = self._remove(now, id, "left", left=True) if update is None else []
        return self._departure_updates[id, Departure.LEFT], effects

    def tick(self, now: float) -> list[Effect]:
        """Removes workers whose heartbeats have stopped."""
        effects: list[Effect] = []
        for id in [id for id, expires_at in self._expires_at.items() if now > expires_at]:
            effects += self._remove(now, id, "silent")
        known = self.table.departures(now)
        self._departure_updates = {key: n for key, n in self._departure_updates.items() if key[0] in known}
        return effects

    def learn(self, now: float, departed: dict[str, int]) -> list[Effect]:
        """Takes the departures that a store reports; an earlier leader may have acknowledged them."""
        effects: list[Effect] = []
        for id, value in departed.items():
            departure = Departure(min(value, Departure.LEFT))
            was_listed = id in self.table.entries
            if not self.table.depart(now, id, departure) or not was_listed:
                continue
            if departure is Departure.LEFT:
                effects += self._remove(now, id, "had left", left=True)
            else:
                effects += self._broadcast_worker(self.table.entries[id])
        return effects

    def _remove_others_at(self, now: float, address: str) -> list[Effect]:
        """Removes the worker that was listed at the address: only one process can have it, so that one has
        ended."""
        effects: list[Effect] = []
        for id in [entry.id for entry in self.table.entries.values() if entry.address == address]:
            effects += self._remove(now, id, "its address has another incarnation", left=True)
        return effects

    def _broadcast_worker(self, worker: Worker) -> list[Effect]:
        number, effects = self._broadcast(WorkerListed(worker))
        if worker.phase == DRAINING:
            self._departure_updates.setdefault((worker.id, Departure.DRAINING), number)
        fields = {"worker": worker.id, "phase": worker.phase, "backend": worker.backend, "n": number}
        return [*effects, LogEvent("worker", fields)]

    def _remove(self, now: float, id: str, why: str, left: bool = False) -> list[Effect]:
        self.table.remove(now, id, left)
        self._expires_at.pop(id, None)
        number, effects = self._broadcast(WorkerRemoved(id, left))
        if left:
            self._departure_updates[id, Departure.LEFT] = number
        return [*effects, LogEvent("worker_gone", {"worker": id, "why": why, "n": number})]


def _is_same_entry(one: Worker, other: Worker) -> bool:
    """Whether two entries are equal, apart from the fields that change with each call."""
    return msgspec.structs.replace(one, slow_start_ms=other.slow_start_ms, count=other.count) == other
