"""The leader's side of a duty: which store holds it and which usage windows are sealed, both agreed on in the
record.

Stores are sent a state once it is committed. One change is proposed at a time; if it fails, the next one is
computed from the state then in force.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from sableford.common.log import EventLog
from sableford.consensus.raft_node import put
from sableford.control.coordinator import Coordinator
from sableford.control.effects import Effect
from sableford.control.protocol import MemberStatus
from sableford.control.record_driver import RecordDriver
from sableford.duties import state as duty_state
from sableford.duties.messages import DutyNotice
from sableford.duties.state import MAX_PENDING_WINDOWS, DutyState
from sableford.duties.succession import Candidate, RecentHolders, next_holder, reason_to_change
from sableford.duties.usage_counts import UsageStatus
from sableford.duties.usage_ledger import UsageLedger

KEY_PREFIX = "duty/"  # of the record's values


class DutyManager:
    """`leads`: whether this process is the leader; `carry_out` takes the coordinator's effects. Times are ms,
    `now` of the monotonic clock and `unix_ms` of the time of day."""

    def __init__(
        self,
        duty: str,
        driver: RecordDriver,
        coordinator: Coordinator,
        ledger: UsageLedger,
        bar_ms: float,
        leads: Callable[[], bool],
        now: Callable[[], float],
        unix_ms: Callable[[], float],
        carry_out: Callable[[Iterable[Effect]], object],
        log: EventLog,
    ) -> None:
        self._duty, self._key = duty, KEY_PREFIX + duty
        self._driver, self._coordinator, self._ledger = driver, coordinator, ledger
        self._leads, self._now, self._unix_ms = leads, now, unix_ms
        self._carry_out, self._log = carry_out, log
        self._recent_holders = RecentHolders(bar_ms)
        self.state = DutyState()
        self._index = 0  # of the record's entry that set it
        self._refused_epoch = 0  # the newest epoch under which the platform has refused a holder
        self._accepted_until = 0  # the platform has accepted windows up to this one, as the holder reports
        self._change: asyncio.Task[None] | None = None
        self._reason = ""  # of the change of holder that is proposed
        self._leads_since = 0.0  # ms of the time of day
        self._member_until: dict[str, float] = {}  # by store: when it was last a member, in the same time
        coordinator.duties_for = self._snapshot_for

    def apply(self, values: dict[str, Any]) -> None:
        """Takes the record's current values."""
        value = values.get(self._key)
        if value is None or value.index == self._index:
            return
        before, self._index = self.state, value.index
        self.state = DutyState.load(value.data)
        self._recent_holders.observe(self._now(), self.state)
        self._ledger.mark_sealed(self.state.sealed_until)
        if self._leads():
            self._notify_stores(before)
            self._log_change(before)

    def become_leader(self) -> None:
        """This process becomes leader; members report all their usage when they join."""
        self._ledger.clear()
        self._accepted_until = 0
        self._leads_since, self._member_until = self._unix_ms(), {}

    def status_received(self, status: MemberStatus) -> None:
        """Takes the status that a member reports with a join or a renewal."""
        if status.usage or status.usage_settled:
            self._ledger.add_report(status.incarnation, UsageStatus(status.usage, status.usage_settled))
        report = status.duties.get(self._duty)
        if report is None or report.epoch != self.state.epoch:
            return
        self._accepted_until = max(self._accepted_until, report.accepted_until)
        if report.refused:
            self._refused_epoch = max(self._refused_epoch, report.epoch)

    def tick(self) -> None:
        """Proposes the next change if one is due."""
        now = self._now()
        if self._leads():
            self._member_until.update(dict.fromkeys(self._coordinator.members, self._unix_ms()))
        is_under_way = self._change is not None and not self._change.done()
        if is_under_way or not self._leads() or not self._coordinator.knows_all_members(now):
            return
        next_state = self._next_state(now)
        if next_state != self.state:
            self._change = asyncio.get_running_loop().create_task(self._propose(next_state))

    async def _propose(self, next_state: DutyState) -> None:
        """If the proposal fails, the next tick computes the state again."""
        await self._driver.propose(put(self._key, next_state.dump(), self._index))

    # The next state

    def _next_state(self, now: float) -> DutyState:
        unix_ms = self._unix_ms()
        state = self._with_holder(now, unix_ms, self.state)
        state = self._with_sealed_windows(unix_ms, state)
        if state == self.state:
            return state
        return duty_state.bounded(duty_state.without_accepted(state, self._accepted_until)).state

    def _with_holder(self, now: float, unix_ms: float, state: DutyState) -> DutyState:
        members = self._coordinator.members
        holder = self._candidate(state.holder) if state.holder in members else None
        reason = reason_to_change(state, holder, self._refused_epoch)
        if not reason:
            return state
        candidates = {name: self._candidate(name) for name, one in members.items() if one.registered}
        chosen = next_holder(self._duty, state, candidates, self._recent_holders.excluded(now))
        if chosen is None:
            return state
        self._reason = reason
        if not state.sealed_until:
            state = duty_state.initial_state(self._ledger.window_at(unix_ms))
        return duty_state.with_holder(state, chosen.host, chosen.node, chosen.incarnation, unix_ms)

    def _candidate(self, name: str) -> Candidate:
        member = self._coordinator.members[name]
        is_able = member.registered and not member.leaving and name not in self._coordinator.retiring
        return Candidate(name, member.node, member.incarnation, is_able)

    def _with_sealed_windows(self, unix_ms: float, state: DutyState) -> DutyState:
        """Seals all windows that may be sealed, in order; the oldest are skipped if there are too many."""
        if not state.epoch:
            return state
        present = [one.incarnation for one in self._coordinator.members.values() if one.role == "store"]
        newest = self._ledger.window_at(unix_ms) - MAX_PENDING_WINDOWS
        if newest > state.sealed_until and self._may_seal(newest, unix_ms, present):
            state = duty_state.skipped_to(state, newest)
        window = state.sealed_until + 1
        while self._may_seal(window, unix_ms, present):
            state = duty_state.with_sealed_window(state, window, self._ledger.totals(window))
            window += 1
        return state

    def _may_seal(self, window: int, unix_ms: float, present: list[str]) -> bool:
        return self._ledger.may_seal(window, unix_ms, present, self._absent_may_have_counted(window))

    def _absent_may_have_counted(self, window: int) -> bool:
        """Whether an absent store of the roster may have counted usage in that window: it was a member after
        the window began, or has not joined this leader yet."""
        members, began_at = self._coordinator.members, self._ledger.start_of(window)
        return any(
            name not in members and self._member_until.get(name, self._leads_since) >= began_at
            for name in self._coordinator.roster
        )

    # Notices to stores

    def _notice(self, sealed: dict[int, dict[str, int]]) -> DutyNotice:
        state = self.state
        oldest = min(state.sealed, default=state.sealed_until + 1)
        return DutyNotice(self._duty, state.epoch, state.holder, state.incarnation, oldest, sealed)

    def _snapshot_for(self, name: str) -> list[DutyNotice] | None:
        if not self.state.epoch:
            return None
        return [self._notice(self.state.sealed if name == self.state.holder else {})]

    def _notify_stores(self, before: DutyState) -> None:
        """Notifies all stores of a new holder, and the holder alone of new windows."""
        state = self.state
        if state.epoch != before.epoch:
            stores = [name for name, one in self._coordinator.members.items() if one.role == "store"]
            notices = {name: self._snapshot_for(name) or [] for name in stores}
        else:
            new = {window: counts for window, counts in state.sealed.items() if window not in before.sealed}
            notices = {state.holder: [self._notice(new)]}
        self._carry_out(self._coordinator.send_duty_notices(notices))

    def _log_change(self, before: DutyState) -> None:
        state = self.state
        if state.epoch != before.epoch:
            self._log.event(
                "duty_holder",
                duty=self._duty,
                epoch=state.epoch,
                holder=state.node,
                birth=state.incarnation,
                before=before.node,
                why=self._reason,
                owed=len(state.sealed),
            )
        for window in sorted(state.sealed):
            if window > before.sealed_until:
                self._log_sealed(window)
        self._log_dropped(before)

    def _log_dropped(self, before: DutyState) -> None:
        """Logs dropped windows, with their counts if they were sealed: no other copy is left."""
        oldest = min(self.state.sealed, default=self.state.sealed_until + 1)
        if before.sealed_until and before.sealed_until + 1 < oldest:
            self._log.event("usage_dropped", first=before.sealed_until + 1, last=oldest - 1)
        for window, counts in before.sealed.items():
            if window not in self.state.sealed and window > self._accepted_until:
                self._log.event("usage_dropped", first=window, last=window, counts=counts)

    def _log_sealed(self, window: int) -> None:
        counts = self.state.sealed[window]
        self._log.event("usage_sealed", window=window, tenants=len(counts), total=sum(counts.values()))
