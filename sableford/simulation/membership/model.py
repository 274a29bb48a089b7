"""Model of voters and roster in simulated time: stores, leaders, the replicated log, the roster and messages.

It runs the decisions of the control plane (`select_voters`, `PresenceTracker`, `Coordinator`, `Roster`,
`begin_retirement`) on simplified foundations: the log is reduced to its voters, which change one at a time
and are committed by a majority; a queue is a set of messages on disks; there is a leader while there is a
majority. Faults and invariants are defined in `sableford.simulation.membership.walk`.
"""

import itertools
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from random import Random
from typing import Any

from sableford.control.coordinator import Coordinator
from sableford.control.effects import AddStore, RemoveStore
from sableford.control.presence import RESIGN_AFTER_MS, PresenceTracker, absence_limit_ms
from sableford.control.protocol import JoinRequest, MemberStatus, RenewRequest, with_status
from sableford.control.retirement import RetirementRefusedError, begin_retirement, may_complete
from sableford.control.roster import Roster
from sableford.control.timing import RENEW_MS
from sableford.control.view import View
from sableford.control.voter_selection import Candidate, Tolerance, select_voters

STEP = 50.0  # ms per simulation step
VOTER_CHANGE_INTERVAL = 100.0  # ms at least between two changes of voters, as in the replicated log
COMMIT = (20.0, 120.0)  # ms for an entry to be committed
ELECTION = (50.0, 300.0)  # ms without a leader if the old one's port refuses connections
SILENT_ELECTION = (500.0, 1200.0)  # the same if it does not
CONNECT = (20.0, 250.0)  # ms to connect to a process that has started, or to a new leader
CATCH_UP = (300.0, 900.0)  # ms for an empty folder to receive the log
COPY = (100.0, 600.0)  # ms to copy a store's messages elsewhere after its loss
COMPARE = (400.0, 1000.0)  # ms to compare an empty store with all owners
MESSAGES = 8


class SimulatedStore:
    """One machine with a disk. `folder` counts its disks: a wiped one counts as new."""

    def __init__(self, name: str, zone: str, tracker: PresenceTracker) -> None:
        self.name, self.zone, self.node = name, zone, f"node-{name}"
        self.starts = self.folder = 0
        self.up = self.leaving = self.silent = self.gone = False  # gone: it never returns
        self.ready_at = 0.0  # when its folder holds the log
        self.complete, self.empty = True, True
        self.joined_at, self.renewed_at = 1e12, 0.0
        # Numbers of views: the last in which its messages were safe, and the last that it observed.
        self.safe = self.seen = (0, 0)
        self.safe_without_leaving = (0, 0)  # as `safe`, with no copies counted on stores that leave
        self.leaving_at = 0.0
        self.to_be_replaced = False  # to be replaced, and has not announced leaving yet
        self.tracker = tracker
        self.coordinator: Coordinator
        self.wanted_voters: tuple[str, ...] = ()  # the wanted voters while it leads

    @property
    def incarnation(self) -> str:
        return f"{self.name}.{self.starts}"


class MembershipModel:
    """Time advances in `run`. Tests plant mistakes by overriding the short methods."""

    def __init__(
        self,
        seed: int,
        stores: int = 4,
        tolerance: Tolerance | None = None,
        sync_s: float = 4.4,
        zones: int = 3,
    ) -> None:
        self.random, self.seed = Random(f"membership {seed}"), seed
        self.tolerance = tolerance or Tolerance(1)
        self.sync_ms = sync_s * 1000.0
        self.absence_limit, self.zones = self.absence_limit_of(sync_s), zones
        self.now, self._order = 0.0, itertools.count()
        self._events: list[Any] = []
        self.stores: dict[str, SimulatedStore] = {}
        self.lost_until: dict[str, float] = {}  # until when a lost machine counts as lost
        self.roster = Roster()
        self.voters: dict[str, int] = {}  # the committed ones: name and folder
        self.pending: dict[str, int] | None = None
        self.leader, self.term = "", 0
        self.coordinator = self.coordinator_of()
        self.view = View()
        self.messages: list[set[tuple[str, int]]] = []
        self.copy_at = 0.0  # when missing copies are made
        self.blocked_at = 0.0  # since when shards cannot be taken over, 0 if they can
        self._changes: list[Callable[[], None]] = []
        self._changing, self.removing_name = False, ""
        self._considered_at = self._changed_at = 0.0  # when a change of voters was last considered, and made
        self.history: list[str] = []
        self.counts = {"voters": 0, "losses": 0, "retired": 0, "refused": 0, "leaders": 0}
        for _ in range(stores):
            self.add(ready=True)
        seeds = sorted(self.stores)[: max(3, 2 * self.tolerance.machines + 1)]
        self.voters = {name: 0 for name in seeds}
        self.schedule(0.0, self.step)
        self.schedule(300.0, self.elect)

    # Overridden to plant mistakes

    def tracker_of(self) -> PresenceTracker:
        return PresenceTracker(self.absence_limit)

    def coordinator_of(self) -> Coordinator:
        return Coordinator(1200.0, self.absence_limit)

    def absence_limit_of(self, sync_s: float) -> float:
        return absence_limit_ms(sync_s)

    def select(self, candidates: list[Candidate]) -> tuple[str, ...]:
        return select_voters(self.voters, candidates, self.tolerance).voters

    def may_change(self) -> bool:
        return self.pending is None

    def caught_up(self, store: SimulatedStore) -> bool:
        return store.up and self.now >= store.ready_at

    def retire_on(self, node: str) -> Callable[[], Roster]:
        """The change of the roster for an operator's call, decided when it is applied."""
        return lambda: begin_retirement(
            self.roster, node, self.hosts(), self.candidates(self.roster.stores), self.tolerance
        )

    def may_remove(self, name: str) -> bool:
        votes = self.pending is not None or name in {*self.voters, *self.stores[self.leader].wanted_voters}
        enough = may_complete(self.roster, name, self.candidates(()), self.tolerance)
        return enough and not votes and not self.coordinator.has_returned(name)

    def next_voters(self, wanted: tuple[str, ...]) -> dict[str, int] | None:
        """The next change of voters, by one: additions precede removals, unless the removed voter is down."""
        voters = self.voters if self.pending is None else self.pending

        def without(gone: str) -> dict[str, int]:
            return {name: folder for name, folder in voters.items() if name != gone}

        for name, folder in voters.items():  # a lost folder no longer votes
            if self.stores[name].up and self.stores[name].folder != folder and len(voters) > 1:
                return without(name)
        past = [name for name in voters if name not in wanted and name != self.leader]
        past.sort(key=lambda name: self.is_voter_up(name, voters[name]))
        comes = [name for name in wanted if name not in voters and self.caught_up(self.stores[name])]
        if past and comes and len(voters) > 2 and not self.is_voter_up(past[0], voters[past[0]]):
            return without(past[0])
        if comes:
            return {**voters, comes[0]: self.stores[comes[0]].folder}
        if past and set(wanted) <= voters.keys():
            return without(past[0])
        return None

    # Time

    def schedule(self, after: float, do: Callable[..., object], *given: Any) -> None:
        heappush(self._events, (self.now + after, next(self._order), do, given))

    def run(self, until: float) -> "MembershipModel":
        while self._events and self._events[0][0] <= until:
            self.now, _, do, given = heappop(self._events)
            do(*given)
        return self

    def check(self) -> None:
        """Checks the invariants of each step."""

    def check_change(self, voters: dict[str, int]) -> None:
        """Checks the invariants of a change of voters."""

    def check_retirement(self, roster: Roster) -> None:
        """Checks the invariants of an accepted retirement."""

    def check_complete(self, name: str) -> None:
        """Checks the invariants of a retirement reported as complete."""

    def record_event(self, text: str) -> None:
        self.history.append(f"{self.now:.0f} {text}")

    def step(self) -> None:
        self.schedule(STEP, self.step)
        for store in self.stores.values():
            if store.up and store.seen != self.view.number and store.name != self.leader:
                store.seen = self.view.number
                known = {*self.roster.stores, *self.voters}
                store.tracker.observe(self.now, self.view.live_stores, known)
                store.coordinator.observe(self.view, (), self.now)
        if self.leads():
            self.renew()
            self.coordinate(self.coordinator.tick(self.now))
            self.change_voters()
            self.change_roster()
        elif self.leader:
            self.step_down()
        self.check()

    # Processes

    def add(self, ready: bool = False, zone: str = "") -> SimulatedStore:
        at = len(self.stores)
        store = SimulatedStore(f"s{at:02d}", zone or f"z{at % self.zones}", self.tracker_of())
        self.stores[store.name] = store
        self.start(store, ready)
        return store

    def start(self, store: SimulatedStore, ready: bool = False) -> None:
        store.starts += 1
        store.coordinator = self.coordinator_of()
        self.apply_roster(store.coordinator)
        store.up, store.leaving = True, False
        if not ready and store.ready_at > self.now + 1e9:
            store.ready_at = self.now + self.random.uniform(*CATCH_UP)
        store.joined_at = self.now + self.random.uniform(*CONNECT)
        store.renewed_at, store.safe, store.seen = -1e12, (0, 0), (0, 0)
        store.safe_without_leaving = (0, 0)

    def stop(self, store: SimulatedStore, silent: bool = False) -> None:
        """Ends its process; `silent` if its machine's port does not refuse connections."""
        if not store.up:
            return
        store.up, store.silent = False, silent
        if not silent:
            self.schedule(20.0, self.report_ended, store.name, store.starts)

    def report_ended(self, name: str, starts: int) -> None:
        store = self.stores[name]
        if not store.up and store.starts == starts and self.leads():
            self.coordinate(self.coordinator.process_ended(self.now, name))

    def wipe(self, store: SimulatedStore) -> None:
        """Loses its disk: the next start finds it empty."""
        for message in self.messages:
            message.discard((store.name, store.folder))
        store.folder += 1
        store.ready_at, store.complete, store.empty = 2e12, False, True

    def add_empty_store(self, zone: str = "") -> SimulatedStore:
        """Adds a machine with an empty disk; a replacement is in the zone of the store that it replaces."""
        store = self.add(zone=zone)
        store.ready_at = self.now + self.random.uniform(*CATCH_UP)
        self.record_event(f"{store.name} starts with an empty disk")
        return store

    def begin_leaving(self, store: SimulatedStore) -> None:
        store.leaving, store.to_be_replaced, store.leaving_at = True, False, self.now

    def remove_for_good(self, store: SimulatedStore, silent: bool) -> None:
        store.gone = True
        self.stop(store, silent)
        self.wipe(store)

    # Losses

    def restart(self, store: SimulatedStore) -> None:
        if not store.gone:
            self.start(store)
            self.lost_until[store.name] = self.now + self.sync_ms

    def count_loss(self, store: SimulatedStore, until: float, how: str) -> None:
        self.counts["losses"] += 1
        self.lost_until[store.name] = until
        self.record_event(f"{store.name}: {how}")

    # Elections

    def is_voter_up(self, name: str, folder: int) -> bool:
        store = self.stores[name]
        return store.up and store.folder == folder and self.now >= store.ready_at

    def majority(self, voters: dict[str, int]) -> bool:
        return sum(self.is_voter_up(name, folder) for name, folder in voters.items()) * 2 > len(voters)

    def leads(self) -> bool:
        voters = self.voters if self.pending is None else self.pending
        up = self.leader and self.leader in voters and self.is_voter_up(self.leader, voters[self.leader])
        return bool(up and self.majority(voters))

    def step_down(self) -> None:
        silent = self.stores[self.leader].up or self.stores[self.leader].silent
        self.leader = ""
        self.coordinator.step_down()
        self._changes.clear()
        self._changing, self.removing_name = False, ""
        self.schedule(self.random.uniform(*(SILENT_ELECTION if silent else ELECTION)), self.elect)

    def elect(self) -> None:
        if self.pending is not None:  # committed after all, or lost with the leader
            if self.random.random() < 0.5 and self.majority(self.pending):
                self.voters = self.pending
            self.pending = None
        able = [name for name, folder in self.voters.items() if self.is_voter_up(name, folder)]
        if self.leader or not self.majority(self.voters):
            self.schedule(self.random.uniform(*ELECTION), self.elect)
            return
        self.leader, self.term = self.random.choice(able), self.term + 1
        self.counts["leaders"] += 1
        self.record_event(f"{self.leader} leads")
        store = self.stores[self.leader]
        store.wanted_voters = tuple(self.voters)
        store.tracker.become_leader(self.now)
        self._considered_at = self.now
        self.coordinator = store.coordinator
        self.coordinate(self.coordinator.become_leader(self.now, self.term))
        self.apply_roster(self.coordinator)
        for name, other in self.stores.items():
            other.joined_at = max(other.joined_at, self.now) + self.random.uniform(*CONNECT)
            if not other.up and name in self.roster.stores and self.random.random() < 0.5:
                self.schedule(50.0, self.report_ended, name, other.starts)

    # Membership under leases

    def renew(self) -> None:
        for store in self.stores.values():
            if not store.up or self.now < store.joined_at:
                continue
            if store.name not in self.coordinator.members:
                store.safe, store.safe_without_leaving, store.renewed_at = (0, 0), (0, 0), self.now
                request = with_status(JoinRequest, self.status(store), view=View())
                self.coordinate(self.coordinator.joined(self.now, store.name, request))
                self.schedule(self.random.uniform(*COMPARE), self.compared, store.name, store.starts)
            elif self.now - store.renewed_at >= RENEW_MS:
                store.renewed_at = self.now
                owners = {owner for owner in self.view.owners if owner}
                if not self.blocked_at and "" not in self.view.owners and self.safe_in_view():
                    store.safe = self.view.number
                    if self.enough_stay() or not self.somebody_leaves():
                        store.safe_without_leaving = self.view.number
                audits = {
                    name: other.incarnation
                    for name, other in self.stores.items()
                    if other.complete and owners
                }
                status = self.status(store, audits)
                request = with_status(RenewRequest, status, update_number=0, term=self.term)
                self.coordinator.renewed(self.now, store.name, request)
                store.complete = store.complete or self.coordinator.members[store.name].complete
            self.coordinate(
                self.coordinator.acknowledged(
                    self.now, store.name, store.incarnation, self.coordinator.update_number
                )
            )

    def status(self, store: SimulatedStore, audits: dict[str, str] | None = None) -> MemberStatus:
        """Its report to the leader."""
        return MemberStatus(
            incarnation=store.incarnation,
            role="store",
            zone=store.zone,
            node=store.node,
            leaving=store.leaving,
            complete=store.complete,
            empty=store.empty,
            audits=audits or {},
            safe=store.safe,
            safe_without_leaving=store.safe_without_leaving,
        )

    def compared(self, name: str, starts: int) -> None:
        """All owners have compared it and sent what it lacked."""
        store = self.stores[name]
        if store.up and store.starts == starts:
            store.complete, store.empty = True, False

    def coordinate(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case AddStore(name):
                    self._changes.append(partial(self.propose_roster, self.addition_of(name), name))
                case RemoveStore(name):
                    self._changes.append(partial(self.propose_roster, self.removal_of(name), name))
        view = self.coordinator.view
        if view.number > self.view.number:
            self.view = view
            if self.copy_at <= self.now:
                self.copy_at = self.now + self.random.uniform(*COPY)
                self.schedule(self.copy_at - self.now, self.copy)

    # Messages

    def somebody_leaves(self) -> bool:
        return any(info.leaving for info in self.view.live_stores.values())

    def enough_stay(self) -> bool:
        there = [info for info in self.view.live_stores.values() if not info.retiring]
        return sum(not info.leaving for info in there) >= 2 * self.tolerance.machines + 1

    def holders(self) -> list[SimulatedStore]:
        """Stores on which copies count by the current view; none that leaves while enough others stay."""
        enough = self.enough_stay()
        counted = [
            self.stores[name]
            for name, info in self.view.live_stores.items()
            if info.complete and not info.retiring and not (info.leaving and enough)
        ]
        return sorted(counted, key=lambda store: (store.leaving, store.name))

    def copy(self) -> None:
        holders = [store for store in self.holders() if store.up]
        while len(self.messages) < MESSAGES and len(holders) > self.tolerance.machines:
            picked = self.random.sample(holders, self.tolerance.machines + 1)
            self.messages.append({(store.name, store.folder) for store in picked})
        for message in self.messages:
            held = {(store.name, store.folder) for store in holders} & message
            there = any(
                self.stores[name].up and self.stores[name].folder == folder for name, folder in message
            )
            rest = [store for store in holders if (store.name, store.folder) not in message]
            while there and len(held) <= self.tolerance.machines and rest:
                store = rest.pop(0)
                held.add((store.name, store.folder))
                message.add((store.name, store.folder))

    def safe_in_view(self) -> bool:
        counted = {(store.name, store.folder) for store in self.holders()}
        return all(len(counted & message) > self.tolerance.machines for message in self.messages)

    # The roster, one change at a time

    def apply_roster(self, coordinator: Coordinator) -> None:
        """Applies the committed roster to a coordinator, as every process does."""
        roster = self.roster
        retiring, retired = roster.retiring.values(), roster.retired.values()
        effects = coordinator.roster_changed(self.now, list(roster.stores), retiring, retired)
        if coordinator is self.coordinator:
            self.coordinate(effects)

    def hosts(self) -> dict[str, str]:
        return {info.node: name for name, info in self.view.live_stores.items()}

    def addition_of(self, name: str) -> Callable[[], Roster]:
        return lambda: self.roster.with_stores([name])

    def removal_of(self, name: str) -> Callable[[], Roster]:
        return lambda: self.roster.without(name) if self.may_remove(name) else self.roster

    def change_roster(self) -> None:
        if self._changes and not self._changing:
            self._changes.pop(0)()

    def propose_roster(self, change: Callable[[], Roster], name: str) -> None:
        """Decides a change of the roster when its turn comes; it takes effect once committed."""
        roster = change()
        self._changing = True
        self.removing_name = name if name not in roster.stores else ""
        self.schedule(self.random.uniform(*COMMIT), self.roster_agreed, roster, name, self.term)

    def roster_agreed(self, roster: Roster, name: str, term: int) -> None:
        if term != self.term or not self.leads():
            return
        self._changing, self.removing_name = False, ""
        retired = roster.retired.keys() - self.roster.retired.keys()
        if retired or len(roster.stores) < len(self.roster.stores):
            self.record_event(f"{name} removed from the roster, retired {sorted(retired)}")
        self.roster = roster
        for store in self.stores.values():
            self.apply_roster(store.coordinator)
        self.coordinator.roster_change_ended(name)
        for node in sorted(retired):
            self.complete(roster.retired[node])

    def retire(self, name: str) -> None:
        """Makes an operator's call to retire a store."""
        if not self.leads():
            return
        change = self.retire_on(self.stores[name].node)

        def decide() -> None:
            try:
                roster = change()
            except RetirementRefusedError:
                self.counts["refused"] += 1
                return
            if roster != self.roster:
                self.check_retirement(roster)
            self.record_event(f"{name} begins to retire")
            self.propose_roster(lambda: roster, name)

        self._changes.append(decide)

    def complete(self, name: str) -> None:
        """Removes the retired store at once, with its disk; this does not count as a loss."""
        self.check_complete(name)
        self.counts["retired"] += 1
        store = self.stores[name]
        self.stop(store, True)
        self.wipe(store)
        store.gone = True
        self.lost_until.pop(name, None)

    # Voters, one change at a time

    def candidates(self, names: Any) -> list[Candidate]:
        found = []
        tracker, coordinator = self.stores[self.leader].tracker, self.coordinator
        for name in sorted({*names, *self.roster.stores}):
            member = coordinator.members.get(name)
            if member is not None and member.registered:
                here, leaving, complete = True, member.leaving, member.complete
            else:
                here, leaving, complete = False, False, False
            presence = tracker.presence_of(self.now, name, here, leaving, name in coordinator.retiring)
            found.append(Candidate(name, self.stores[name].zone, "", presence, complete))
        return found

    def change_voters(self) -> None:
        if self.now - self._considered_at < VOTER_CHANGE_INTERVAL or not self.may_change():
            return
        self._considered_at = self.now
        store = self.stores[self.leader]
        if self.pending is None:
            able = [one for one in self.candidates(self.voters) if one.name != self.removing_name]
            store.wanted_voters = self.select(able)
        voters = self.next_voters(store.wanted_voters)
        if voters is not None:
            self.check_change(voters)
            self.counts["voters"] += 1
            self._changed_at = self.now
            self.record_event(
                f"voters {sorted(voters)} from {sorted(self.voters)}, wanted {store.wanted_voters}"
            )
            self.pending = voters
            self.schedule(self.random.uniform(*COMMIT), self.voters_agreed, voters, self.term)
        filled = self.leader not in store.wanted_voters and set(store.wanted_voters) <= self.voters.keys()
        stays = not store.leaving or self.now - store.leaving_at >= RESIGN_AFTER_MS
        if filled and self.pending is None and (stays or self.leader in self.coordinator.retiring):
            self.step_down()

    def voters_agreed(self, voters: dict[str, int], term: int) -> None:
        if term != self.term or not self.leader or self.pending is not voters:
            return
        if not self.majority(voters):
            self.schedule(STEP, self.voters_agreed, voters, term)
            return
        self.voters, self.pending = voters, None
