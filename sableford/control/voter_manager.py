"""Manages the record's voters: the leader works towards a selection, one change at a time."""

from collections.abc import Callable, Iterable, Mapping

from sableford.common.log import EventLog
from sableford.control.coordinator import Coordinator
from sableford.control.presence import RESIGN_AFTER_MS, PresenceTracker
from sableford.control.record_driver import RecordDriver
from sableford.control.roster import Roster
from sableford.control.view import StoreInfo
from sableford.control.voter_selection import Candidate, Selection, Tolerance, select_voters


class VoterManager:
    """`roster` returns the roster in force, `live_stores` those of the newest view received, `regions` the
    region of each zone."""

    def __init__(
        self,
        name: str,
        driver: RecordDriver,
        coordinator: Coordinator,
        tolerance: Tolerance,
        absence_limit_ms: float,
        roster: Callable[[], Roster],
        live_stores: Callable[[], Mapping[str, StoreInfo]],
        regions: Callable[[], Mapping[str, str]],
        log: EventLog,
    ) -> None:
        self._name, self._driver, self._coordinator, self._tolerance = name, driver, coordinator, tolerance
        self._roster, self._live_stores, self._regions, self._log = roster, live_stores, regions, log
        self._presence = PresenceTracker(absence_limit_ms)
        self._selection: Selection | None = None
        self._selected_from: dict[str, str] = {}  # the voters that the selection is based on
        self._zones: dict[str, str] = {}  # the last known zone of each store
        self._leaving_since = 0.0  # since when this process has been leader and leaving
        self.excluded = ""  # the store that is being removed from the roster: it must not become a voter

    def become_leader(self, now: float) -> None:
        """This process becomes leader."""
        self._presence.become_leader(now)

    def update(self, now: float, leads: bool) -> None:
        """Sets the voters that the record is to work towards; it changes one voter at a time."""
        record = self._driver.record
        if record is None:
            return
        live_stores = self._coordinator.view.live_stores
        record.known_members = tuple(self._live_stores())
        self._zones |= {name: store.zone for name, store in live_stores.items()}
        if not leads:
            # A leader begins with the current voters: its selection from an earlier term may be out of date.
            record.wanted_voters = tuple(record.voters())
            self._leaving_since = now
            self._presence.observe(now, live_stores, {*self._roster().stores, *record.voters()})
            return
        voters = record.stable_voters()
        if voters is not None:
            self._select(now, voters)

    def voters_changed(self, now: float, leads: bool) -> None:
        """Selects again after a change of voters: the old selection is based on other voters, and acting on
        it could make two changes undo each other for ever."""
        voters = self._driver.stable_voters()
        if leads and voters is not None and voters != self._selected_from:
            self.update(now, leads)

    def _select(self, now: float, voters: dict[str, str]) -> None:
        record = self._driver.record
        assert record is not None, "not started"
        self._selected_from = voters
        candidates = [one for one in self.candidates(now, voters) if one.name != self.excluded]
        selection = select_voters(voters, candidates, self._tolerance)
        record.wanted_voters = selection.voters
        if selection != self._selection:
            self._selection = selection
            self._log.event("voters_wanted", **selection._asdict())
        # A leader that is leaving stays leader until its replacement votes; its successor removes its vote.
        wanted = set(selection.voters)
        is_replaced = self._name in voters and self._name not in wanted and wanted <= set(voters)
        if self._is_to_resign(now) and is_replaced:
            self._driver.carry_out(record.resign(now))

    def _is_to_resign(self, now: float) -> bool:
        """Whether this leader is to resign once its replacement votes. If it is leaving, it does so only
        after a while: most exit sooner, and others notice at once that the port refuses connections."""
        member = self._coordinator.members.get(self._name)
        if member is None or not member.leaving:
            self._leaving_since = now
            return True  # it is being emptied, or other voters tolerate the loss of a zone better
        return self._name in self._coordinator.retiring or now - self._leaving_since >= RESIGN_AFTER_MS

    def candidates(self, now: float, voters: Iterable[str] = ()) -> list[Candidate]:
        """All stores that vote or are in the roster, in their current state."""
        return [self._candidate(now, name) for name in sorted({*voters, *self._roster().stores})]

    def _candidate(self, now: float, name: str) -> Candidate:
        member = self._coordinator.members.get(name)
        if member is not None and member.role == "store" and member.registered:
            is_member, leaving, complete, zone = True, member.leaving, member.complete, member.zone
        else:
            is_member, leaving, complete, zone = False, False, False, self._zones.get(name, "")
        presence = self._presence.presence_of(
            now, name, is_member, leaving, name in self._coordinator.retiring
        )
        return Candidate(name, zone, self._regions().get(zone, ""), presence, complete)
