"""Who votes and who stands in the roster, as a model in simulated time: stores, leaders, the record, the
roster and messages.

It plays the decisions in service (`select_voters`, `PresenceTracker`, `Coordinator`, `Roster`,
`begin_retirement`). What lies under them is kept small: the record is its list of voters, changed one at a
time and agreed on by a majority; a queue is a set of messages on disks; there is a leader while there is a
majority. What goes wrong, and what must hold, is `membership_simulation`'s.
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

STEP = 50.0  # ms between two looks at everything
BEAT = 100.0  # ms between two changes of voters at most, as in the record
AGREE = (20.0, 120.0)  # ms for an entry to be agreed on
ELECTION = (50.0, 300.0)  # ms without a leader, where the old one's port refuses
ELECTION_SILENT = (500.0, 1200.0)  # the same, where it does not
LINE = (20.0, 250.0)  # ms for a line to a process that has started, or to a new leader
CATCH_UP = (300.0, 900.0)  # ms for a folder without a past to hold the record
COPIED = (100.0, 600.0)  # ms for a store's messages to be copied elsewhere after it has gone
COMPARED = (400.0, 1000.0)  # ms for an empty store to be compared with all owners
MESSAGES = 8


class SimulatedStore:
    """One machine with a disk. `folder` counts its disks: an emptied one is another."""

    def __init__(self, name: str, zone: str, tracker: PresenceTracker) -> None:
        self.name, self.zone, self.node = name, zone, f"node-{name}"
        self.life = self.folder = 0
        self.up = self.leaving = self.silent = self.gone = False  # gone: it never comes back
        self.ready_at = 0.0  # when its folder holds the record
        self.complete, self.empty = True, True
        self.joined_at, self.renewed_at = 1e12, 0.0
        self.safe = self.seen = (0, 0)  # numbers of views: its messages were safe in, it was told
        self.spares = (0, 0)  # the same as `safe`, with nothing counted on stores that leave
        self.leaving_at = 0.0
        self.doomed = False  # it will be replaced, and has not said yet that it leaves
        self.tracker = tracker
        self.coordinator: Coordinator
        self.wanted: tuple[str, ...] = ()  # while it leads: who should vote

    @property
    def incarnation(self) -> str:
        return f"{self.name}.{self.life}"


class MembershipModel:
    """Time goes on with `run`. Planted mistakes override the short methods."""

    def __init__(
        self,
        seed: int,
        stores: int = 4,
        tolerance: Tolerance | None = None,
        sync_s: float = 4.4,
        zones: int = 3,
    ) -> None:
        self.draw, self.seed = Random(f"membership {seed}"), seed
        self.tolerance = tolerance or Tolerance(1)
        self.sync_ms = sync_s * 1000.0
        self.patience, self.zones = self.patience_of(sync_s), zones
        self.now, self._order = 0.0, itertools.count()
        self._events: list[Any] = []
        self.stores: dict[str, SimulatedStore] = {}
        self.lost_until: dict[str, float] = {}  # by the machine that is lost
        self.roster = Roster()
        self.voters: dict[str, int] = {}  # as agreed: name and folder
        self.pending: dict[str, int] | None = None
        self.leader, self.term = "", 0
        self.coordinator = self.coordinator_of()
        self.view = View()
        self.messages: list[set[tuple[str, int]]] = []
        self.copy_at = 0.0  # when copies that are short are made
        self.blocked_at = 0.0  # since when whoever takes a shard over has had to wait
        self._changes: list[Callable[[], None]] = []
        self._changing, self.striking_name = False, ""
        self._change_at = self._changed_at = 0.0  # when voters could change last, and when they did
        self.story: list[str] = []
        self.counts = {"voters": 0, "losses": 0, "retired": 0, "refused": 0, "leaders": 0}
        for _ in range(stores):
            self.add(ready=True)
        seeds = sorted(self.stores)[: max(3, 2 * self.tolerance.machines + 1)]
        self.voters = {name: 0 for name in seeds}
        self.later(0.0, self.step)
        self.later(300.0, self.elect)

    # What is planted with mistakes

    def tracker_of(self) -> PresenceTracker:
        return PresenceTracker(self.patience)

    def coordinator_of(self) -> Coordinator:
        return Coordinator(1200.0, self.patience)

    def patience_of(self, sync_s: float) -> float:
        return absence_limit_ms(sync_s)

    def select(self, candidates: list[Candidate]) -> tuple[str, ...]:
        return select_voters(self.voters, candidates, self.tolerance).voters

    def may_change(self) -> bool:
        return self.pending is None

    def caught_up(self, store: SimulatedStore) -> bool:
        return store.up and self.now >= store.ready_at

    def retire_on(self, node: str) -> Callable[[], Roster]:
        """The change of the roster that an operator's call makes, when its turn comes."""
        return lambda: begin_retirement(
            self.roster, node, self.hosts(), self.candidates(self.roster.stores), self.tolerance
        )

    def may_strike(self, name: str) -> bool:
        votes = self.pending is not None or name in {*self.voters, *self.stores[self.leader].wanted}
        enough = may_complete(self.roster, name, self.candidates(()), self.tolerance)
        return enough and not votes and not self.coordinator.has_returned(name)

    def next_voters(self, wanted: tuple[str, ...]) -> dict[str, int] | None:
        """The record's part: one voter more or fewer; who comes first, unless who goes is silent."""
        voters = self.voters if self.pending is None else self.pending

        def without(gone: str) -> dict[str, int]:
            return {name: folder for name, folder in voters.items() if name != gone}

        for name, folder in voters.items():  # a folder that was lost votes no more
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

    def later(self, after: float, do: Callable[..., object], *given: Any) -> None:
        heappush(self._events, (self.now + after, next(self._order), do, given))

    def run(self, until: float) -> "MembershipModel":
        while self._events and self._events[0][0] <= until:
            self.now, _, do, given = heappop(self._events)
            do(*given)
        return self

    def check(self) -> None:
        """What must hold at each step."""

    def check_change(self, voters: dict[str, int]) -> None:
        """What must hold of a change of voters."""

    def check_retirement(self, roster: Roster) -> None:
        """What must hold of a retirement that is taken on."""

    def check_complete(self, name: str) -> None:
        """What must hold of a store that is reported as emptied."""

    def say(self, text: str) -> None:
        self.story.append(f"{self.now:.0f} {text}")

    def step(self) -> None:
        self.later(STEP, self.step)
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
            self.lead_no_more()
        self.check()

    # Who is up

    def add(self, ready: bool = False, zone: str = "") -> SimulatedStore:
        at = len(self.stores)
        store = SimulatedStore(f"s{at:02d}", zone or f"z{at % self.zones}", self.tracker_of())
        self.stores[store.name] = store
        self.start(store, ready)
        return store

    def start(self, store: SimulatedStore, ready: bool = False) -> None:
        store.life += 1
        store.coordinator = self.coordinator_of()
        self.enrol(store.coordinator)
        store.up, store.leaving = True, False
        if not ready and store.ready_at > self.now + 1e9:
            store.ready_at = self.now + self.draw.uniform(*CATCH_UP)
        store.joined_at = self.now + self.draw.uniform(*LINE)
        store.renewed_at, store.safe, store.seen = -1e12, (0, 0), (0, 0)
        store.spares = (0, 0)

    def stop(self, store: SimulatedStore, silent: bool = False) -> None:
        """Its process ends; `silent` where its machine's port does not refuse."""
        if not store.up:
            return
        store.up, store.silent = False, silent
        if not silent:
            self.later(20.0, self.refuse, store.name, store.life)

    def refuse(self, name: str, life: int) -> None:
        store = self.stores[name]
        if not store.up and store.life == life and self.leads():
            self.coordinate(self.coordinator.process_ended(self.now, name))

    def wipe(self, store: SimulatedStore) -> None:
        """Its disk is lost: the next start finds it empty."""
        for message in self.messages:
            message.discard((store.name, store.folder))
        store.folder += 1
        store.ready_at, store.complete, store.empty = 2e12, False, True

    def successor(self, zone: str = "") -> SimulatedStore:
        """A machine with an empty disk; one that takes another's place stands in its zone."""
        store = self.add(zone=zone)
        store.ready_at = self.now + self.draw.uniform(*CATCH_UP)
        self.say(f"{store.name} starts for the first time")
        return store

    def leave(self, store: SimulatedStore) -> None:
        store.leaving, store.doomed, store.leaving_at = True, False, self.now

    def end_of(self, store: SimulatedStore, silent: bool) -> None:
        store.gone = True
        self.stop(store, silent)
        self.wipe(store)

    # Judges

    def back(self, store: SimulatedStore) -> None:
        if not store.gone:
            self.start(store)
            self.lost_until[store.name] = self.now + self.sync_ms

    def loses(self, store: SimulatedStore, until: float, how: str) -> None:
        self.counts["losses"] += 1
        self.lost_until[store.name] = until
        self.say(f"{store.name}: {how}")

    # Who leads

    def is_voter_up(self, name: str, folder: int) -> bool:
        store = self.stores[name]
        return store.up and store.folder == folder and self.now >= store.ready_at

    def majority(self, voters: dict[str, int]) -> bool:
        return sum(self.is_voter_up(name, folder) for name, folder in voters.items()) * 2 > len(voters)

    def leads(self) -> bool:
        voters = self.voters if self.pending is None else self.pending
        up = self.leader and self.leader in voters and self.is_voter_up(self.leader, voters[self.leader])
        return bool(up and self.majority(voters))

    def lead_no_more(self) -> None:
        silent = self.stores[self.leader].up or self.stores[self.leader].silent
        self.leader = ""
        self.coordinator.step_down()
        self._changes.clear()
        self._changing, self.striking_name = False, ""
        self.later(self.draw.uniform(*(ELECTION_SILENT if silent else ELECTION)), self.elect)

    def elect(self) -> None:
        if self.pending is not None:  # agreed on after all, or lost with the leader
            if self.draw.random() < 0.5 and self.majority(self.pending):
                self.voters = self.pending
            self.pending = None
        able = [name for name, folder in self.voters.items() if self.is_voter_up(name, folder)]
        if self.leader or not self.majority(self.voters):
            self.later(self.draw.uniform(*ELECTION), self.elect)
            return
        self.leader, self.term = self.draw.choice(able), self.term + 1
        self.counts["leaders"] += 1
        self.say(f"{self.leader} leads")
        store = self.stores[self.leader]
        store.wanted = tuple(self.voters)
        store.tracker.become_leader(self.now)
        self._change_at = self.now
        self.coordinator = store.coordinator
        self.coordinate(self.coordinator.become_leader(self.now, self.term))
        self.enrol(self.coordinator)
        for name, other in self.stores.items():
            other.joined_at = max(other.joined_at, self.now) + self.draw.uniform(*LINE)
            if not other.up and name in self.roster.stores and self.draw.random() < 0.5:
                self.later(50.0, self.refuse, name, other.life)

    # Members under leases

    def renew(self) -> None:
        for store in self.stores.values():
            if not store.up or self.now < store.joined_at:
                continue
            if store.name not in self.coordinator.members:
                store.safe, store.spares, store.renewed_at = (0, 0), (0, 0), self.now
                request = with_status(JoinRequest, self.status(store), view=View())
                self.coordinate(self.coordinator.joined(self.now, store.name, request))
                self.later(self.draw.uniform(*COMPARED), self.compared, store.name, store.life)
            elif self.now - store.renewed_at >= RENEW_MS:
                store.renewed_at = self.now
                owners = {owner for owner in self.view.owners if owner}
                if not self.blocked_at and "" not in self.view.owners and self.safe_in_view():
                    store.safe = self.view.number
                    if self.enough_stay() or not self.somebody_leaves():
                        store.spares = self.view.number
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
        """What it says of itself to the leader."""
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
            safe_without_leaving=store.spares,
        )

    def compared(self, name: str, life: int) -> None:
        """All owners have compared it, and given it what it lacks."""
        store = self.stores[name]
        if store.up and store.life == life:
            store.complete, store.empty = True, False

    def coordinate(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case AddStore(name):
                    self._changes.append(partial(self.propose_roster, self.registering(name), name))
                case RemoveStore(name):
                    self._changes.append(partial(self.propose_roster, self.striking(name), name))
        view = self.coordinator.view
        if view.number > self.view.number:
            self.view = view
            if self.copy_at <= self.now:
                self.copy_at = self.now + self.draw.uniform(*COPIED)
                self.later(self.copy_at - self.now, self.copy)

    # Messages

    def somebody_leaves(self) -> bool:
        return any(info.leaving for info in self.view.live_stores.values())

    def enough_stay(self) -> bool:
        there = [info for info in self.view.live_stores.values() if not info.retiring]
        return sum(not info.leaving for info in there) >= 2 * self.tolerance.machines + 1

    def holders(self) -> list[SimulatedStore]:
        """Where copies count, by the view in force: on none that leaves while enough others stay."""
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
            picked = self.draw.sample(holders, self.tolerance.machines + 1)
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

    def enrol(self, coordinator: Coordinator) -> None:
        """Every process applies the record."""
        roster = self.roster
        retiring, retired = roster.retiring.values(), roster.retired.values()
        effects = coordinator.roster_changed(self.now, list(roster.stores), retiring, retired)
        if coordinator is self.coordinator:
            self.coordinate(effects)

    def hosts(self) -> dict[str, str]:
        return {info.node: name for name, info in self.view.live_stores.items()}

    def registering(self, name: str) -> Callable[[], Roster]:
        return lambda: self.roster.with_stores([name])

    def striking(self, name: str) -> Callable[[], Roster]:
        return lambda: self.roster.without(name) if self.may_strike(name) else self.roster

    def change_roster(self) -> None:
        if self._changes and not self._changing:
            self._changes.pop(0)()

    def propose_roster(self, change: Callable[[], Roster], name: str) -> None:
        """Decided when its turn comes; in force once agreed on."""
        roster = change()
        self._changing = True
        self.striking_name = name if name not in roster.stores else ""
        self.later(self.draw.uniform(*AGREE), self.roster_agreed, roster, name, self.term)

    def roster_agreed(self, roster: Roster, name: str, term: int) -> None:
        if term != self.term or not self.leads():
            return
        self._changing, self.striking_name = False, ""
        retired = roster.retired.keys() - self.roster.retired.keys()
        if retired or len(roster.stores) < len(self.roster.stores):
            self.say(f"struck off {name} {sorted(retired)}")
        self.roster = roster
        for store in self.stores.values():
            self.enrol(store.coordinator)
        self.coordinator.roster_change_ended(name)
        for node in sorted(retired):
            self.complete(roster.retired[node])

    def retire(self, name: str) -> None:
        """An operator's call."""
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
            self.say(f"{name} is to be emptied")
            self.propose_roster(lambda: roster, name)

        self._changes.append(decide)

    def complete(self, name: str) -> None:
        """It is taken away at once, with its disk; that is no loss."""
        self.check_complete(name)
        self.counts["retired"] += 1
        store = self.stores[name]
        self.stop(store, True)
        self.wipe(store)
        store.gone = True
        self.lost_until.pop(name, None)

    # Who votes, one change at a time

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
        if self.now - self._change_at < BEAT or not self.may_change():
            return
        self._change_at = self.now
        store = self.stores[self.leader]
        if self.pending is None:
            able = [one for one in self.candidates(self.voters) if one.name != self.striking_name]
            store.wanted = self.select(able)
        voters = self.next_voters(store.wanted)
        if voters is not None:
            self.check_change(voters)
            self.counts["voters"] += 1
            self._changed_at = self.now
            self.say(f"voters {sorted(voters)} from {sorted(self.voters)}, wanted {store.wanted}")
            self.pending = voters
            self.later(self.draw.uniform(*AGREE), self.voters_agreed, voters, self.term)
        filled = self.leader not in store.wanted and set(store.wanted) <= self.voters.keys()
        stays = not store.leaving or self.now - store.leaving_at >= RESIGN_AFTER_MS
        if filled and self.pending is None and (stays or self.leader in self.coordinator.retiring):
            self.lead_no_more()

    def voters_agreed(self, voters: dict[str, int], term: int) -> None:
        if term != self.term or not self.leader or self.pending is not voters:
            return
        if not self.majority(voters):
            self.later(STEP, self.voters_agreed, voters, term)
            return
        self.voters, self.pending = voters, None
