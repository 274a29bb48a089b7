"""Changes of the roster, each agreed on in the record: stores that are added, removed, or to be emptied on an
operator's order.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from sableford.common.log import EventLog
from sableford.consensus.raft_node import put
from sableford.control.coordinator import Coordinator
from sableford.control.record_driver import RecordDriver
from sableford.control.retirement import Phase, begin_retirement, may_complete, phase_of
from sableford.control.roster import Outcome, Roster
from sableford.control.voter_manager import VoterManager
from sableford.control.voter_selection import Tolerance

ROSTER_KEY = "roster"  # of the record's values
REMOVE_RETRY_MS = 100.0  # before the removal of a store that can't be removed yet is tried again
CHANGE_RETRY_MS = 20.0  # before a change that was not applied is tried again


class RosterManager:
    """`leads`: whether this process is the leader; `on_changed` is called when a new roster is in force."""

    def __init__(
        self,
        driver: RecordDriver,
        coordinator: Coordinator,
        voters: VoterManager,
        tolerance: Tolerance,
        leads: Callable[[], bool],
        now: Callable[[], float],
        on_changed: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._driver, self._coordinator, self._tolerance = driver, coordinator, tolerance
        self._voters = voters
        self._leads, self._now, self._on_changed, self._log = leads, now, on_changed, log
        self._loop = asyncio.get_running_loop()
        self.roster = Roster()
        self._index = 0  # of the record's entry that set it
        self._change_lock = asyncio.Lock()
        self._newcomers: set[str] = set()  # stores to be added, all with one change
        self._tasks: set[asyncio.Task[None]] = set()

    def apply(self, values: dict[str, Any]) -> None:
        """Takes the record's current values."""
        value = values.get(ROSTER_KEY)
        if value is not None and value.index != self._index:
            self._index, self.roster = value.index, Roster.load(value.data)
            self._on_changed()

    def add_store(self, name: str) -> None:
        """Adds a store; stores that are added meanwhile go into the same change."""
        if not self._newcomers:
            self._spawn(self._add_newcomers())
        self._newcomers.add(name)

    def remove_store(self, name: str) -> None:
        """Removes a store once it is no longer a voter."""
        self._spawn(self._remove_store(name))

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change(self, change: Callable[[Roster], Roster]) -> Outcome:
        """`change` is applied to the roster in force when its turn comes, and again if another change came
        first."""
        # One at a time: nineteen at once, all based on the same index, produced hundreds of failed entries.
        async with self._change_lock:
            while self._leads():
                wanted, index = change(self.roster), self._index
                if wanted == self.roster:
                    return Outcome.IN_FORCE
                result = await self._driver.propose(put(ROSTER_KEY, wanted.dump(), index))
                if result is None:
                    return Outcome.UNCLEAR
                if self._index == index:
                    await asyncio.sleep(CHANGE_RETRY_MS / 1000.0)
        return Outcome.NOT_LEADING

    async def _add_newcomers(self) -> None:
        """Adds all stores that have come by the time that this change has its turn."""
        names: set[str] = set()

        def change(roster: Roster) -> Roster:
            nonlocal names
            names, self._newcomers = names | self._newcomers, set()
            return roster.with_stores(names)

        await self._change(change)
        if not self._leads():
            self._newcomers.clear()  # the next leader asks for them again
        for name in names:
            self._coordinator.roster_change_ended(name)
        self._on_changed()

    async def _remove_store(self, name: str) -> None:
        """Removes a store, and completes its retirement if it was being emptied, once it is not a voter."""
        must_wait = is_removed = False

        def change(roster: Roster) -> Roster:
            nonlocal must_wait, is_removed
            must_wait = self._is_voter(name) or not self._may_complete(roster, name)
            if must_wait or name not in roster.stores or self._coordinator.has_returned(name):
                return roster
            is_removed, self._voters.excluded = True, name
            return roster.without(name)

        try:
            outcome = await self._change(change)
        finally:
            self._voters.excluded = ""
        if is_removed and outcome is Outcome.IN_FORCE:
            self._log.event("store_done_without", store=name)
        if self._coordinator.has_returned(name):
            self._log.event("store_returned", store=name, removed=is_removed)
        if must_wait:
            await asyncio.sleep(REMOVE_RETRY_MS / 1000.0)
        self._coordinator.roster_change_ended(name)
        self._on_changed()

    def _is_voter(self, name: str) -> bool:
        """Whether it is a voter, is to become one, or that is not known."""
        voters = self._driver.stable_voters()
        record = self._driver.record
        return voters is None or record is None or name in {*voters, *record.wanted_voters}

    def _may_complete(self, roster: Roster, name: str) -> bool:
        return may_complete(roster, name, self._voters.candidates(self._now()), self._tolerance)

    # Retirement

    async def retire(self, node: str) -> Outcome:
        """Starts to empty a store: its replicas no longer count, and it loses its shards and its vote. Raises
        RetirementRefusedError."""

        def change(roster: Roster) -> Roster:
            # Decided when the change has its turn: the second of two concurrent ones counts the first's store
            # as gone.
            present = self._voters.candidates(self._now())
            return begin_retirement(roster, node, self._hosts(), present, self._tolerance)

        return await self._change(change)

    def retirement_phase(self, node: str) -> Phase | None:
        """The phase of a node's retirement; None if it is not being retired."""
        return phase_of(self.roster, node, self._hosts())

    def _hosts(self) -> dict[str, str]:
        """Hosts of live stores by node name; of two of one name, one that is not leaving takes precedence."""
        live_stores = self._coordinator.view.live_stores
        ranked = sorted(live_stores, key=lambda name: (not live_stores[name].leaving, name))
        return {live_stores[name].node: name for name in ranked}
