"""Changes of the roster, each agreed on in the record: stores that come, that are done without, that an
operator wants emptied.
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
REMOVE_RETRY_MS = 100.0  # before a store that still votes is looked at again
CHANGE_RETRY_MS = 20.0  # before a change that another one preceded is tried again


class RosterManager:
    """`leads` says whether this process leads; `on_changed` is called when another roster is in force."""

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
        self._newcomers: set[str] = set()  # stores that are to be added, all with one change
        self._tasks: set[asyncio.Task[None]] = set()

    def apply(self, values: dict[str, Any]) -> None:
        """What the record's values are now."""
        value = values.get(ROSTER_KEY)
        if value is not None and value.index != self._index:
            self._index, self.roster = value.index, Roster.load(value.data)
            self._on_changed()

    def add_store(self, name: str) -> None:
        """The store is to be added; those that come meanwhile enter with the same change."""
        if not self._newcomers:
            self._spawn(self._add_newcomers())
        self._newcomers.add(name)

    def remove_store(self, name: str) -> None:
        """The store is to be removed, once it votes no more."""
        self._spawn(self._remove_store(name))

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change(self, change: Callable[[Roster], Roster]) -> Outcome:
        """`change` is decided on the roster in force when its turn comes, and anew if another came first."""
        # One at a time: nineteen at once, each after the same index, came to hundreds of entries in vain.
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
        """Whoever has come until it is this change's turn."""
        names: set[str] = set()

        def change(roster: Roster) -> Roster:
            nonlocal names
            names, self._newcomers = names | self._newcomers, set()
            return roster.with_stores(names)

        await self._change(change)
        if not self._leads():
            self._newcomers.clear()  # whoever leads next asks for them
        for name in names:
            self._coordinator.roster_change_ended(name)
        self._on_changed()

    async def _remove_store(self, name: str) -> None:
        """One that was to be emptied is, once it votes no more either."""
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
        if must_wait:
            await asyncio.sleep(REMOVE_RETRY_MS / 1000.0)
        self._coordinator.roster_change_ended(name)
        self._on_changed()

    def _is_voter(self, name: str) -> bool:
        """Whether it votes, is to, or nobody can say."""
        voters = self._driver.stable_voters()
        record = self._driver.record
        return voters is None or record is None or name in {*voters, *record.wanted_voters}

    def _may_complete(self, roster: Roster, name: str) -> bool:
        return may_complete(roster, name, self._voters.candidates(self._now()), self._tolerance)

    # Retirement

    async def retire(self, node: str) -> Outcome:
        """A store is to be emptied: it keeps nothing that counts, owns nothing, votes no more. Raises
        RetirementRefusedError."""

        def change(roster: Roster) -> Roster:
            # Decided at its turn: of two at once the second counts the first as gone.
            present = self._voters.candidates(self._now())
            return begin_retirement(roster, node, self._hosts(), present, self._tolerance)

        return await self._change(change)

    def retirement_phase(self, node: str) -> Phase | None:
        """How far the retirement of a node is; None where it is not being emptied."""
        return phase_of(self.roster, node, self._hosts())

    def _hosts(self) -> dict[str, str]:
        """Of live stores by their nodes' names; one that stays before one that leaves."""
        live_stores = self._coordinator.view.live_stores
        ranked = sorted(live_stores, key=lambda name: (not live_stores[name].leaving, name))
        return {live_stores[name].node: name for name in ranked}
