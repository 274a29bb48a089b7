"""The leader's soft state: members under leases, which store owns each shard, and the workers. No I/O.

None of it is on disk: a new leader rebuilds it from the members that join, and moves no shard until each
store has joined, is proven to have ended, or can no longer hold a lease of an earlier leader.

    input                        next state                           effects
    joined, renewed              the member's lease is extended       a snapshot; AddStore for a new store
    lease expired, process ended not a member; its shards are unowned an update with a view
    acknowledged                 the member's last applied update     WaitEnded; the next view
    worker's heartbeat, leave,   the worker's entry                   an update; WaitEnded once all stores
    silence                                                           have applied it
    configuration changed        the configuration in force           an update; WaitEnded once all members
                                                                      have applied it
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from sableford.control.departures import Departures
from sableford.control.effects import AddStore, Effect, LogEvent, RemoveStore, SendUpdate
from sableford.control.leader_startup import LeaderStartup
from sableford.control.members import Member
from sableford.control.protocol import ConfigurationVersion, JoinRequest, RenewRequest, Update
from sableford.control.shard_assignment import ShardAssigner
from sableford.control.timing import ABSENT_MS, LEASE_MS
from sableford.control.update_waits import UpdateWaits
from sableford.control.view import NO_VIEW, StoreInfo, View, ViewNumber, balanced_owners
from sableford.control.view_flow import ViewFlow
from sableford.control.worker_registry import WorkerChange, WorkerListed, WorkerRegistry
from sableford.control.workers import Worker
from sableford.duties.messages import DutyNotice

ALL_ROLES = ("edge", "store")
STORES = ("store",)


class Coordinator:
    """Acts only while it `leads`. Names are internal host addresses; times are ms of the leader's clock."""

    def __init__(self, heartbeat_ms: float, absent_ms: float = ABSENT_MS) -> None:
        """`absent_ms`: how long a store may be absent, including the time it was leaving, before it may be
        removed from the roster."""
        self.leads = False
        # Whether a majority has answered recently, so that no other leader can have been elected meanwhile.
        self.majority_is_recent: Callable[[float], bool] = lambda now: True
        # The duty notices for a store that joins.
        self.duties_for: Callable[[str], list[DutyNotice] | None] = lambda name: None
        self.term = 0
        self.members: dict[str, Member] = {}
        self.roster: list[str] = []
        self.retiring: set[str] = set()  # stores that an operator has ordered to be emptied
        self.retired: set[str] = set()
        self.view = View()
        self.registry = WorkerRegistry(heartbeat_ms, self._broadcast_worker_change)
        self.config: ConfigurationVersion | None = None
        self.update_number = 0  # of the last update
        self._shards = ShardAssigner()
        self._start = LeaderStartup(0.0)
        self._view_flow = ViewFlow()
        self._status_changed = False
        self._waits = UpdateWaits()
        self._changing: set[str] = set()  # stores that are being added to the roster or removed
        self._removing: set[str] = set()  # those that are being removed
        self._departures = Departures(absent_ms)
        self._zones: dict[str, str] = {}  # by store, from the views of members; includes absent stores

    @property
    def workers(self) -> dict[str, Worker]:
        """The workers that are listed, by id."""
        return self.registry.table.entries

    # Leadership

    def become_leader(self, now: float, term: int, earlier_leader_until: float | None = None) -> list[Effect]:
        """`earlier_leader_until`: when an earlier leader could last receive the answer of a majority, on
        which it grants leases."""
        self.leads, self.term = True, term
        self._start = LeaderStartup(now, earlier_leader_until)
        self._view_flow = ViewFlow()
        self.members, self.update_number = {}, 0
        self._changing, self._removing = set(), set()
        self._waits = UpdateWaits()
        self._shards.begin(None, self.update_number + 1)
        self.registry.become_leader(now)
        return [LogEvent("core_leads", {"term": term})]

    def step_down(self) -> list[Effect]:
        """This process is no longer the leader; another one may be."""
        if not self.leads:
            return []
        self.leads = False
        effects = self._waits.end_all()
        self.members = {}
        return [*effects, LogEvent("core_leads_no_more", {"term": self.term})]

    def observe(self, view: View, workers: Iterable[Worker], now: float) -> None:
        """Follows what another leader has sent, in case this process leads next."""
        if not self.leads:
            self.view = view
            self._departures.observe_view(now, view, self.roster)
            self.registry.table.replace(now, workers)

    def roster_changed(
        self, now: float, roster: list[str], retiring: Iterable[str] = (), retired: Iterable[str] = ()
    ) -> list[Effect]:
        """Takes a new roster: its stores, those being emptied and those retired."""
        self.roster, self.retiring, self.retired = roster, set(retiring), set(retired)
        self._changing &= set(roster)
        self._removing &= set(roster)
        if not self.leads:
            return []
        effects: list[Effect] = []
        for name, member in self.members.items():
            member.registered = name in roster
            effects += self._add_to_roster(name, member)
        return effects + self._assign_shards(now)

    def _add_to_roster(self, name: str, member: Member) -> list[Effect]:
        """Asks for a store that is a member to be added to the roster, unless it is there already."""
        if member.role != "store" or member.registered or name in self._changing | self.retired:
            return []
        self._changing.add(name)
        return [AddStore(name)]

    # Members

    def joined(self, now: float, name: str, request: JoinRequest) -> list[Effect]:
        """A process becomes a member."""
        before = self.members.pop(name, None)  # its snapshot includes the updates sent below
        effects: list[Effect] = []
        if before is not None and before.incarnation != request.incarnation:
            effects.append(_member_gone(before, "another incarnation of it has come"))
        effects += self.registry.learn(now, request.departed)
        member = self._new_member(now, name, request, before)
        self.members[name] = member
        self._start.joined(name, member, request.view)
        self._zones |= request.view.zones
        effects += self._add_to_roster(name, member)
        member.sent = self.update_number
        effects.append(SendUpdate(name, self._snapshot(name, member)))
        fields = {"member": member.node, "birth": member.incarnation, "role": member.role}
        effects.append(LogEvent("member_joined", fields))
        return effects + self._assign_shards(now)

    def _new_member(self, now: float, name: str, request: JoinRequest, before: Member | None) -> Member:
        is_same = before is not None and before.incarnation == request.incarnation
        return Member(
            request.incarnation,
            request.role,
            request.zone,
            request.node,
            request.control,
            now + LEASE_MS,
            lease_is_unbroken=self._start.lease_is_unbroken(now, request.lease_left_ms),
            leaving=request.leaving,
            # No replica counts on a store outside the roster, so it can't be missing any.
            complete=request.complete or name not in self.roster,
            registered=name in self.roster,
            empty=request.empty,
            full=request.full,
            audits=before.audits if before is not None and is_same else {},
        )

    def _snapshot(self, name: str, member: Member) -> Update:
        is_store = member.role == "store"
        return Update(
            term=self.term,
            number=self.update_number,
            snapshot=True,
            config=self.config,
            view=self.view if self._start.old_leases_ended else None,
            workers=list(self.workers.values()) if is_store else None,
            duties=self.duties_for(name) if is_store else None,
        )

    def renewed(self, now: float, name: str, request: RenewRequest) -> bool:
        """Extends the member's lease from now on. False if it is no member any more and must join again."""
        member = self.members.get(name)
        if member is None or member.incarnation != request.incarnation:
            return False
        if now > member.lease_until or not self.majority_is_recent(now):
            return False
        member.lease_until = now + LEASE_MS
        self._status_changed |= member.update_status(request)
        return True

    def after_renewals(self, now: float) -> list[Effect]:
        """Acts on status that has changed with renewals. Most renewals change nothing, and then their cost
        must not depend on the number of members."""
        if not self._status_changed:
            return []
        self._status_changed = False
        return self.tick(now)

    def process_ended(self, now: float, name: str) -> list[Effect]:
        """The process of that name is proven to have ended: its port refuses connections."""
        if not self.leads:
            return []
        self._start.process_ended(name)
        effects = self._remove_member(name, "its port refuses") if name in self.members else []
        return effects + self._assign_shards(now)

    def _remove_member(self, name: str, why: str) -> list[Effect]:
        return [_member_gone(self.members.pop(name), why)]

    def acknowledged(self, now: float, name: str, incarnation: str, update_number: int) -> list[Effect]:
        """A member has applied all updates up to that one."""
        member = self.members.get(name)
        if member is None or member.incarnation != incarnation or update_number <= member.acknowledged:
            return []
        self._view_flow.acknowledged(member.acknowledged, update_number)
        member.acknowledged = update_number
        is_awaited = self._view_flow.is_due or "" in self.view.owners or not self._start.old_leases_ended
        return (self._assign_shards(now) if is_awaited else []) + self._end_waits(now)

    def tick(self, now: float) -> list[Effect]:
        """Expires leases, workers and waits."""
        if not self.leads:
            return []
        if not self.majority_is_recent(now):  # cut off from the others, it would expire every member
            return self._end_waits(now)
        effects: list[Effect] = []
        for name in [name for name, member in self.members.items() if now > member.lease_until]:
            effects += self._remove_member(name, "its lease ran out")
        effects += self.registry.tick(now)
        return effects + self._assign_shards(now) + self._remove_from_roster(now) + self._end_waits(now)

    def _remove_from_roster(self, now: float) -> list[Effect]:
        """Removes a store that is absent for long or being emptied, once no replica on it is needed."""
        self._departures.observe_view(now, self.view, self.roster)
        if "" in self.view.owners:
            return []
        self._departures.observe_safe_views(*self._safe_views_of_owners())
        if not self._start.old_leases_ended:
            return []
        emptied = {name: self.members[name].safe if name in self.members else None for name in self.retiring}
        for name in self._departures.removable(now, emptied):
            if name not in self._changing:
                self._changing.add(name)
                self._removing.add(name)
                return [RemoveStore(name)]
        return []

    def _safe_views_of_owners(self) -> tuple[ViewNumber, ViewNumber]:
        """The newest views under which the messages of all owners were fully replicated, counting all stores
        and not counting those that are leaving. A report from before the owner got the last of its shards
        says nothing about that shard's messages, and is ignored."""
        safe, without_leaving = [], []
        for name, since in self.view.newest_epochs().items():
            owner = self.members.get(name)
            reported = (owner.safe, owner.safe_without_leaving) if owner is not None else (NO_VIEW, NO_VIEW)
            safe.append(reported[0] if reported[0] >= since else NO_VIEW)
            without_leaving.append(reported[1] if reported[1] >= since else NO_VIEW)
        return min(safe), min(without_leaving)

    def roster_change_ended(self, name: str) -> None:
        """The attempt to add or remove the store is over; it is repeated if it failed and is still due."""
        self._changing.discard(name)
        self._removing.discard(name)

    def has_returned(self, name: str) -> bool:
        """Whether the store has come back, so that it is to stay in the roster."""
        return name in self.members and name not in self.retiring

    # Waiting for members to apply updates

    def wait(
        self, now: float, update_number: int, roles: tuple[str, ...], after_old_leases: bool = False
    ) -> tuple[int, list[Effect]]:
        """Starts a wait and returns its token. WaitEnded follows once all present members of those roles have
        applied that update and, with `after_old_leases`, no store that has not joined yet can hold a lease
        of an earlier leader."""
        names = {name for name, member in self.members.items() if member.role in roles}
        token = self._waits.add(now, update_number, names, after_old_leases)
        return token, self._end_waits(now)

    def _end_waits(self, now: float) -> list[Effect]:
        return self._waits.end(now, self.members, self._start.old_leases_ended)

    # Updates

    def _broadcast(self, roles: tuple[str, ...] = ALL_ROLES, **content: Any) -> list[Effect]:
        """Sends an update with that content (fields of `protocol.Update`) to all members of these roles."""
        self.update_number += 1
        effects: list[Effect] = []
        for name, member in self.members.items():
            if member.role not in roles:
                continue
            update = Update(term=self.term, number=self.update_number, previous=member.sent, **content)
            effects.append(SendUpdate(name, update))
            member.sent = self.update_number
        return effects

    def _broadcast_worker_change(self, change: WorkerChange) -> tuple[int, list[Effect]]:
        if isinstance(change, WorkerListed):
            effects = self._broadcast(STORES, worker=change.worker)
        else:
            effects = self._broadcast(STORES, removed_worker=change.id, worker_left=change.left)
        return self.update_number, effects

    def send_duty_notices(self, notices: Mapping[str, list[DutyNotice]]) -> list[Effect]:
        """Sends each of these stores that is a member an update with its duty notices."""
        self.update_number += 1
        effects: list[Effect] = []
        for name, content in notices.items():
            if (member := self.members.get(name)) is None:
                continue
            update = Update(term=self.term, number=self.update_number, previous=member.sent, duties=content)
            effects.append(SendUpdate(name, update))
            member.sent = self.update_number
        return effects

    def knows_all_members(self, now: float) -> bool:
        """Whether a process that is no member here is no member of any leader: a majority has answered
        recently, and no store can act under a lease of an earlier leader."""
        return self.leads and self.majority_is_recent(now) and self._start.old_leases_ended

    def configuration_changed(self, now: float, config: ConfigurationVersion) -> list[Effect]:
        """Takes the operator's configuration that is now in force, and sends it to all members."""
        if self.config is not None and self.config.revision == config.revision:
            return []
        self.config = config
        if not self.leads:
            return []
        effects = self._broadcast(config=config)
        return [*effects, LogEvent("config_told", {"revision": config.revision, "n": self.update_number})]

    # Shard ownership

    def _assign_shards(self, now: float) -> list[Effect]:
        """Makes and sends the next view if something is to change and may change now."""
        if not self.majority_is_recent(now) or not self._may_assign(now):
            return []
        self._view_flow.is_due = not self._view_flow.may_send(now)
        if self._view_flow.is_due:
            return []
        number = self._next_view_number()
        stores = {name: member for name, member in self.members.items() if member.role == "store"}
        next_update = self.update_number + 1
        assignment = self._shards.assign(
            self.view, self.term, number, self._target_owners(), stores, next_update
        )
        live_stores = self._live_stores()
        view, dispensable = self.view, self._departures.dispensable
        is_same = (
            live_stores == view.live_stores and self.roster == view.roster and dispensable == view.dispensable
        )
        if is_same and not assignment.changed:
            return []
        self.view = View(
            number,
            assignment.owners,
            assignment.incarnations,
            assignment.epochs,
            live_stores,
            list(self.roster),
            self._zones_of_roster(live_stores),
            dispensable,
        )
        self._departures.observe_view(now, self.view, self.roster, made=True)
        effects = self._broadcast(view=self.view)
        self._view_flow.sent(now, self.update_number, len(self.members))
        owners = self.view.owners
        counts = {self.members[name].node: owners.count(name) for name in live_stores}
        fields = {"number": number, "n": self.update_number, "shards": counts, "free": owners.count("")}
        return [*effects, LogEvent("view", fields)]

    def _may_assign(self, now: float) -> bool:
        """Whether shards may be assigned: once no store can act under a lease of an earlier leader. The first
        time, it adopts the newest known view."""
        if self._start.old_leases_ended:
            return True
        if not self._start.may_assign(now, self.roster, self.members):
            return False
        self._start.old_leases_ended = True
        self._adopt_first_view(now)
        return True

    def _next_view_number(self) -> ViewNumber:
        term, count = self.view.number
        return (self.term, count + 1 if term == self.term else 1)

    def _target_owners(self) -> list[str]:
        # A store that comes back as it is being removed may still leave the view, and its deliveries with it.
        stores = {name: member for name, member in self.members.items() if self._is_registered_store(member)}
        eligible = sorted(
            name
            for name, member in stores.items()
            if not member.leaving
            and name not in self.retiring
            and name not in self._removing
            and self._is_complete(name)
        )
        with_room = [name for name in eligible if not stores[name].full]
        return balanced_owners(self.view.owners, with_room or eligible)

    @staticmethod
    def _is_registered_store(member: Member) -> bool:
        return member.role == "store" and member.registered

    def _live_stores(self) -> dict[str, StoreInfo]:
        return {
            name: StoreInfo(
                member.incarnation,
                member.zone,
                member.node,
                member.control,
                member.leaving,
                self._is_complete(name),
                member.empty,
                name in self.retiring,
                member.full,
            )
            for name, member in sorted(self.members.items())
            if self._is_registered_store(member)
        }

    def _zones_of_roster(self, live_stores: dict[str, StoreInfo]) -> dict[str, str]:
        zones = self._zones | self.view.zones | {name: store.zone for name, store in live_stores.items()}
        return {name: zone for name, zone in zones.items() if name in self.roster}

    def _adopt_first_view(self, now: float) -> None:
        """Adopts the view that this leadership begins with."""
        first = self._start.first_view(self.view, self.members)
        self._shards.begin(first.view, self.update_number + 1)
        self.view = first.view
        if not first.is_recent:
            self._departures.discard_evidence()
            self.view = msgspec.structs.replace(first.view, dispensable=[])
        self._departures.observe_view(now, self.view, self.roster)

    def _is_complete(self, name: str) -> bool:
        """Whether a store's replicas count. A store that lost its disk is complete again once every owner has
        audited it and has its own messages fully replicated."""
        member = self.members[name]
        if member.complete:
            return True
        owners = {owner for owner in self.view.owners if owner}
        if "" in self.view.owners or not owners:
            # Some shards are unowned. On the very first start all are, and no store has a past to restore.
            return False
        member.complete = all(
            owner == name or self._has_audited(owner, name, member.incarnation, since)
            for owner, since in self.view.newest_epochs().items()
        )
        return member.complete

    def _has_audited(self, owner: str, name: str, incarnation: str, since: ViewNumber) -> bool:
        """Whether an owner has audited that store for all its shards. It got the last of them in view
        `since`: an older report says nothing about that shard's messages."""
        member = self.members.get(owner)
        return member is not None and member.safe >= since and member.audits.get(name) == incarnation

    # Workers

    def worker_heartbeat(self, now: float, entry: Worker) -> tuple[int, list[Effect]]:
        """Handles a worker's heartbeat. Returns the update that stores must have applied before the call is
        acknowledged, 0 for none."""
        return self.registry.heartbeat(now, entry)

    def worker_left(self, now: float, id: str) -> tuple[int, list[Effect]]:
        """Handles a worker's last call. Returns the update that stores must have applied before the call is
        acknowledged."""
        return self.registry.left(now, id)


def _member_gone(member: Member, why: str) -> LogEvent:
    fields = {"member": member.node, "birth": member.incarnation, "why": why}
    return LogEvent("member_gone", fields)
