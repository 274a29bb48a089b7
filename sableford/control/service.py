"""The control plane in one process with a disk: its replica of the record and, while it is the leader, the
coordinator.

It owns the parts and the leadership; each part has a module of its own. HTTP calls that only the leader can
answer are redirected to it.

    part                    owns
    `record_driver`         this process's replica of the record, proposals
    `configuration_keeper`  the configuration in force, proposals
    `roster_manager`        the roster, its changes
    `voter_manager`         the selection of voters
    `duty_manager`          the duties towards the platform, where the settings name one
    `member_sessions`       the links of members, waits for updates
    `coordinator`           members under leases, shard ownership, the list of workers
    `http_api`              the calls of workers and operators
"""

import asyncio
import time
from collections.abc import Awaitable, Iterable
from typing import Protocol

from sableford.common.disk import Disk
from sableford.common.log import EventLog
from sableford.common.settings import USAGE_REPORT, Settings
from sableford.consensus.raft_node import RaftNode
from sableford.control import orders
from sableford.control.configuration_keeper import ConfigurationKeeper
from sableford.control.coordinator import ALL_ROLES, Coordinator
from sableford.control.duty_manager import DutyManager
from sableford.control.effects import Effect
from sableford.control.http_api import HttpApi
from sableford.control.member_client import MemberClient
from sableford.control.member_sessions import MemberSessions
from sableford.control.order_process import ProposalOutcome
from sableford.control.presence import absence_limit_ms
from sableford.control.protocol import (
    ConfigurationVersion,
    JoinRequest,
    JoinResponse,
    RecordMessage,
    RenewRequest,
    UpdateAcknowledgement,
)
from sableford.control.record_driver import RecordDriver
from sableford.control.record_storage import RecordStorage
from sableford.control.retirement import Phase
from sableford.control.roster import Outcome, Roster
from sableford.control.roster_manager import RosterManager
from sableford.control.timing import LEASE_MS, QUORUM_FRESH_MS
from sableford.control.voter_manager import VoterManager
from sableford.control.voter_selection import Tolerance
from sableford.duties.state import DutyState
from sableford.duties.time_of_day import TimeOfDay
from sableford.duties.usage_ledger import UsageLedger
from sableford.transport.http import HttpRequest, HttpResponse
from sableford.transport.link import Link
from sableford.transport.link_pool import LinkPool
from sableford.transport.peer_server import PeerServer

TICK_MS = 40.0  # longest interval between two checks of leases
MIN_TICK_MS = 5.0  # shortest interval, where the record's next tick is due sooner


class Host(Protocol):
    """What the control plane needs from its process."""

    @property
    def me(self) -> str: ...

    @property
    def links(self) -> LinkPool: ...

    @property
    def log(self) -> EventLog: ...

    @property
    def member(self) -> MemberClient: ...

    @property
    def settings(self) -> Settings: ...


class ControlService:
    """Call `start` once the disk is open."""

    def __init__(self, host: Host, disk: Disk) -> None:
        self._host, self.me, self.links, self.log = host, host.me, host.links, host.log
        settings = host.settings
        tolerates = settings.tolerates
        tolerance = Tolerance(tolerates.machine_loss, tolerates.zones, tolerates.region_loss)
        absence_limit = absence_limit_ms(settings.rule_bounds.sync_s)
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self._is_leader = False  # and has applied everything that was committed before
        self.coordinator = Coordinator(settings.heartbeat_ms, absence_limit)
        self.coordinator.majority_is_recent = self._majority_is_recent
        self.driver = RecordDriver(
            self.me,
            self.links,
            disk,
            self.log,
            lambda: self.now(),
            self._record_applied,
            self._update_leadership,
        )
        self._configuration = ConfigurationKeeper(
            self.driver, lambda: self.unix_ms(), self._configuration_changed
        )
        self._voter_manager = VoterManager(
            self.me,
            self.driver,
            self.coordinator,
            tolerance,
            absence_limit,
            roster=lambda: self.roster,
            live_stores=lambda: host.member.view.live_stores,
            regions=lambda: host.settings.zones,
            log=self.log,
        )
        self._roster_manager = RosterManager(
            self.driver,
            self.coordinator,
            self._voter_manager,
            tolerance,
            leads=lambda: self.leads,
            now=lambda: self.now(),
            on_changed=self._roster_changed,
            log=self.log,
        )
        self.sessions = MemberSessions(
            self.coordinator,
            self._roster_manager,
            leads=lambda: self.leads,
            leader=self._other_leader,
            voters=self.driver.stable_voters,
            now=lambda: self.now(),
            log=self.log,
        )
        self._duty_manager = self._make_duty_manager(settings)
        self._http_api = HttpApi(self)
        self.links.on_refused.append(self._process_ended)
        self.links.on_up.append(self._link_up)

    def _make_duty_manager(self, settings: Settings) -> DutyManager | None:
        bounds = settings.rule_bounds
        if not settings.reports_usage:
            return None
        time_of_day = TimeOfDay(lambda: self.now(), lambda: self.unix_ms())
        manager = DutyManager(
            USAGE_REPORT,
            self.driver,
            self.coordinator,
            UsageLedger(bounds.usage_window_s * 1000.0, bounds.usage_late_s * 1000.0),
            bounds.lease_ms + LEASE_MS,
            leads=lambda: self.leads,
            now=lambda: self.now(),
            unix_ms=time_of_day.unix_ms,
            carry_out=self.carry_out,
            log=self.log,
        )
        self.sessions.on_status.append(manager.status_received)
        return manager

    def now(self) -> float:
        """ms of the loop's clock."""
        return self.loop.time() * 1000.0

    def unix_ms(self) -> float:
        """The time of day; it is used only for how long ago something was."""
        return time.time() * 1000.0

    def register(self, server: PeerServer) -> None:
        """Registers the control plane's handlers for messages of other processes."""
        server.handle(JoinRequest, self.sessions.handle_join)
        server.handle(RenewRequest, self.sessions.handle_renewal)
        server.handle(UpdateAcknowledgement, self.sessions.handle_acknowledgement)
        server.handle(RecordMessage, self.driver.handle_message)

    def start(self, storage: RecordStorage) -> None:
        """Starts this process's replica of the record, and the ticks."""
        record = self.driver.start(storage, self._host.settings.seeds)
        self._apply_values()
        # After a power failure the seeds may name none of the current voters.
        self._host.member.peers_on_disk = lambda: {*record.voters(), *self.roster.stores}
        self.loop.call_soon(self.tick)

    @property
    def record(self) -> RaftNode:
        """This process's replica of the record, once started."""
        assert self.driver.record is not None, "not started"
        return self.driver.record

    @property
    def state(self) -> orders.State:
        """The configuration in force, as far as known here."""
        return self._configuration.state

    @property
    def roster(self) -> Roster:
        """The roster in force, as far as known here."""
        return self._roster_manager.roster

    @property
    def duty_state(self) -> DutyState:
        """The state of the duty of usage reports, as far as known here."""
        return self._duty_manager.state if self._duty_manager is not None else DutyState()

    def stable_voters(self) -> dict[str, str] | None:
        """The voters, by name with the id of each one's disk; None during a change of voters."""
        return self.driver.stable_voters()

    # Time

    def tick(self) -> None:
        """Runs everything that is due, and schedules the next tick."""
        now = self.now()
        if self.driver.record is not None:
            self.driver.tick()
            self._update_leadership()
            self._voter_manager.update(now, self.leads)
            self._update_leadership()
        self.carry_out(self.coordinator.tick(now))
        if self._duty_manager is not None:
            self._duty_manager.tick()
        next_ms = min(TICK_MS, max(MIN_TICK_MS, self.driver.next_tick_in_ms()))
        self.loop.call_later(next_ms / 1000.0, self.tick)

    # Leadership

    @property
    def leads(self) -> bool:
        """Whether this process is the leader and has applied everything that was committed before."""
        return self._is_leader and self.driver.leads

    def leads_with_majority(self) -> bool:
        """Whether it is the leader, and a majority has confirmed that recently."""
        return self.leads and self.coordinator.majority_is_recent(self.now())

    def _majority_is_recent(self, now: float) -> bool:
        record = self.driver.record
        return record is not None and record.has_recent_quorum(now, QUORUM_FRESH_MS)

    def _update_leadership(self) -> None:
        """Begins or ends this process's leadership, following the record."""
        now, record = self.now(), self.driver.record
        if record is None:
            return
        is_new = not self._is_leader or self.coordinator.term != record.term
        if self.driver.leads_with_all_applied() and is_new:
            self._is_leader = True
            self._apply_values()
            self._voter_manager.become_leader(now)
            if self._duty_manager is not None:
                self._duty_manager.become_leader()
            self.carry_out(self.coordinator.become_leader(now, record.term, record.earlier_leader_until))
            self._roster_changed()
        elif self._is_leader and not record.is_leader:
            self.end_leadership()

    def end_leadership(self) -> None:
        """Ends this process's leadership."""
        self._is_leader = False
        self.carry_out(self.coordinator.step_down())
        self.sessions.end_all()

    def _other_leader(self) -> str:
        """The leader as far as known here, if that is another process; else empty."""
        record = self.driver.record
        leader = record.leader if record is not None else self._host.member.leader
        return leader if leader != self.me else ""

    def joined_leader(self, response: JoinResponse) -> None:
        """This process has joined a leader, which names the voters."""
        voters, record = response.voters, self.record
        if voters is not None and self.me in record.voters() and voters.get(self.me) != record.id:
            self.driver.carry_out(record.handle_voted_out(self.now()))

    def _link_up(self, name: str, link: Link) -> None:
        self.driver.link_up()

    def _process_ended(self, name: str) -> None:
        if self.driver.record is not None:
            self.driver.record.handle_process_ended(self.now(), name)
            self.carry_out(self.coordinator.process_ended(self.now(), name))

    # State in force

    def _record_applied(self) -> None:
        self._apply_values()
        self._voter_manager.voters_changed(self.now(), self.leads)

    def _apply_values(self) -> None:
        """Passes the record's current values to the parts."""
        values = self.record.state_machine.values
        self._configuration.apply(values)
        self._roster_manager.apply(values)
        if self._duty_manager is not None:
            self._duty_manager.apply(values)

    def _configuration_changed(self, config: ConfigurationVersion) -> None:
        self.carry_out(self.coordinator.configuration_changed(self.now(), config))

    def _roster_changed(self) -> None:
        roster = self.roster
        retiring, retired = roster.retiring.values(), roster.retired.values()
        self.carry_out(self.coordinator.roster_changed(self.now(), list(roster.stores), retiring, retired))

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carries out the coordinator's effects."""
        self.sessions.carry_out(effects)

    # For the calls of workers and operators

    def handle(self, request: HttpRequest) -> HttpResponse | Awaitable[HttpResponse]:
        """Handles an HTTP call."""
        return self._http_api.handle(request)

    def own_address(self) -> str:
        """The address of this process's HTTP API; empty if it is in no view that it knows."""
        store = self._host.member.view.live_stores.get(self.me)
        return store.control if store is not None else ""

    def leader_address(self) -> str:
        """The address of the leader's HTTP API; empty if no leader is known, or if the known one has not
        responded recently and may have been replaced."""
        record = self.driver.record
        leader = self._host.member.leader or (record.leader if record is not None else "")
        if leader == self.me or self.links.responsive_link(leader) is None:
            return ""
        store = self._host.member.view.live_stores.get(leader)
        return store.control if store is not None else ""

    async def confirm_majority(self, timeout_ms: float) -> bool:
        """Asks a majority whether this process is up to date. If so, it knows everything that was committed
        before the call."""
        result = await self.driver.propose(None, timeout_ms)
        self._apply_values()
        return result is not None and result.accepted

    async def propose(self, state: orders.State, timeout_ms: float) -> ProposalOutcome:
        """Proposes a configuration, to replace the one that it was derived from."""
        return await self._configuration.propose(state, timeout_ms)

    async def applied(
        self, update_number: int, roles: tuple[str, ...], after_old_leases: bool = False
    ) -> bool:
        """Waits, with a time-out, until all present members of those roles have applied an update. Returns
        whether they have."""
        return await self.sessions.wait_applied(update_number, roles, after_old_leases)

    async def configuration_applied(self) -> bool:
        """Waits, with a time-out, until all present members have applied the newest configuration. Returns
        whether they have."""
        return self.leads and await self.applied(self.coordinator.update_number, ALL_ROLES)

    async def confirm_state(self) -> bool:
        """Whether a majority confirms the current state within a proposal's time-out."""
        result = await self.driver.propose(None)
        return result is not None and result.accepted

    async def retire(self, node: str) -> Outcome:
        """Starts to empty a store. Raises RetirementRefusedError."""
        return await self._roster_manager.retire(node)

    def retirement_phase(self, node: str) -> Phase | None:
        """The phase of a node's retirement; None if it is not being retired."""
        return self._roster_manager.retirement_phase(node)
