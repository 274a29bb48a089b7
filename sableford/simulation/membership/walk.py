"""Seeded random simulations of voters and roster: losses, returns, replacements, retirements by two
operators, and further losses as soon as the previous one no longer counts.

Invariants at every step, while no more machines count as lost than `Tolerance.machines`:

    MAJORITY   a majority of the committed and of the newest voters is up and has caught up
    TAKEOVER   all but so many stores of the roster are up and complete, or soon will be: takeovers wait
    COPY       each message is on an existing disk
    ONCE       the newest voters differ from the committed ones by one
    SEATS      no serving voter is removed if fewer than required would be left
    LEFT       no retirement is accepted that leaves too few stores
    COMPLETE   a store reported as retired neither votes nor is in the roster
    END        after a quiet time all seats are filled, all retirements complete, and nothing changes
"""

from collections.abc import Iterable
from typing import Any

from sableford.control.presence import Presence
from sableford.control.roster import Roster
from sableford.control.voter_selection import Candidate, can_tolerate_losses, select_voters
from sableford.simulation.membership.model import MembershipModel, SimulatedStore

BEGUN = 4000.0  # ms: all stores have joined for the first time
TAKEOVER_WAIT = 3500.0  # ms: an election, a new leader's wait for old leases, the change of the roster
QUIET = 12_000.0  # ms at the end


class InvariantError(AssertionError):
    """An invariant was violated; the message starts with its name."""


class MembershipSimulation(MembershipModel):
    """One random simulation of `seconds`."""

    def __init__(self, seed: int, *given: Any, seconds: float = 30.0, **named: Any) -> None:
        super().__init__(seed, *given, **named)
        self.end = seconds * 1000.0

    def run_to_end(self) -> "MembershipSimulation":
        """Raises InvariantError."""
        self.schedule(BEGUN + 2000.0, self.cause_fault)
        self.run(self.end + QUIET + self.sync_ms)
        self.check_end()
        return self

    # Faults

    def lost(self) -> list[str]:
        return [name for name, until in self.lost_until.items() if until > self.now]

    def cause_fault(self) -> None:
        """Causes the next event; at times a loss just when the previous one no longer counts."""
        if self.now >= self.end:
            return
        room = self.tolerance.machines - len(self.lost())
        serving = [
            one for one in self.stores.values() if one.up and not one.leaving and one.name not in self.lost()
        ]
        kinds = ["restart", "planned", "unplanned", "kill", "power", "wipe"] if room > 0 else []
        kinds += ["retire", "retire", "add"]
        if self.tolerance.zones and not self.lost() and self.can_tolerate_zone_loss():
            kinds += ["zone", "zone", "zone"]
        if serving:
            getattr(self, f"fault_{self.random.choice(kinds)}")(self.random.choice(serving))
        until = min((at for at in self.lost_until.values() if at > self.now), default=self.now)
        gap = until - self.now + 1.0 if self.random.random() < 0.6 and until < self.now + 1e6 else 0.0
        self.schedule(gap or self.random.uniform(100.0, 6000.0), self.cause_fault)

    def fault_add(self, store: SimulatedStore) -> None:
        if sum(not one.gone for one in self.stores.values()) < 6:
            self.add_empty_store()

    def fault_retire(self, store: SimulatedStore) -> None:
        """Retires stores, at times two at once; not while a remaining store is about to be replaced."""
        if any(one.to_be_replaced for one in self.stores.values()):
            return
        names = [one.name for one in self.stores.values() if one.up and one.name in self.roster.stores]
        for name in self.random.sample(names, min(len(names), self.random.choice((1, 1, 2)))):
            self.retire(name)

    def can_tolerate_zone_loss(self) -> bool:
        """Whether the stores that stay could keep a majority without one zone: operators may have emptied a
        zone, and then no selection of voters tolerates the loss of another."""
        going = set(self.roster.retiring.values())
        stay = [
            Candidate(name, self.stores[name].zone)
            for name in self.roster.stores
            if name not in going and self.stores[name].up and not self.stores[name].leaving
        ]
        return can_tolerate_losses(stay, self.tolerance)

    def fault_zone(self, store: SimulatedStore) -> None:
        """A whole zone loses power."""
        back = self.random.uniform(300.0, 6000.0)
        for one in self.stores.values():
            if one.zone == store.zone and not one.gone:
                self.count_loss(one, 1e12, "its zone loses power")
                self.stop(one, True)
                self.schedule(back, self.restart, one)

    def fault_kill(self, store: SimulatedStore) -> None:
        self.count_loss(store, 1e12, "killed")
        self.stop(store)
        self.schedule(self.random.uniform(300.0, 1000.0), self.restart, store)

    def fault_power(self, store: SimulatedStore) -> None:
        self.count_loss(store, 1e12, "loses power")
        self.stop(store, True)
        self.schedule(self.random.uniform(300.0, 8000.0), self.restart, store)

    def fault_wipe(self, store: SimulatedStore) -> None:
        self.count_loss(store, 1e12, "loses its disk")
        self.stop(store, True)
        self.wipe(store)
        self.schedule(self.random.uniform(300.0, 3000.0), self.restart, store)

    def fault_restart(self, store: SimulatedStore) -> None:
        self.count_loss(store, 1e12, "restarts")
        self.begin_leaving(store)
        stays = self.random.uniform(150.0, 2000.0)
        self.schedule(stays, self.stop, store)
        self.schedule(stays + self.random.uniform(300.0, 1500.0), self.restart, store)

    def fault_unplanned(self, store: SimulatedStore) -> None:
        """Lost for good; an empty machine at another address replaces it."""
        self.count_loss(store, 1e12, "lost for good")
        self.remove_for_good(store, True)
        self.schedule(self.random.uniform(0.0, 3000.0), self.replace, store)

    def replace(self, store: SimulatedStore) -> None:
        self.add_empty_store(store.zone)
        self.lost_until[store.name] = self.now + self.sync_ms

    def fault_planned(self, store: SimulatedStore) -> None:
        """The replacement starts first; then the old store ends, with its disk."""
        self.count_loss(store, self.now + self.sync_ms, "to be replaced")
        self.add_empty_store(store.zone)
        store.to_be_replaced = True
        self.schedule(1000.0, self.begin_leaving, store)
        self.schedule(
            1000.0 + self.random.uniform(150.0, self.max_stay()), self.remove_for_good, store, False
        )

    def max_stay(self) -> float:
        """ms after SIGTERM for which a replaced store stays, until workers have answered; by then its
        replacement has been up long enough for the loss not to count."""
        return self.sync_ms - 1000.0

    def check_change(self, voters: dict[str, int]) -> None:
        gone = [name for name in self.voters if name not in voters]
        serve = any(self.is_voter_up(name, self.voters[name]) for name in gone)
        if serve and len(voters) < 2 * self.tolerance.machines + 1:
            raise InvariantError(f"SEATS {voters} of {self.voters}: {self.describe()}")

    def check_retirement(self, roster: Roster) -> None:
        going = roster.retiring.values()
        candidates = self.candidates(roster.stores)
        stay = [one for one in candidates if one.presence is Presence.SERVING and one.name not in going]
        if len(stay) < 2 * self.tolerance.machines + 1:
            raise InvariantError(f"LEFT {[one.name for one in stay]} stay: {self.describe()}")

    def check_complete(self, name: str) -> None:
        if name in self.voters or name in (self.pending or ()) or name in self.roster.stores:
            raise InvariantError(f"COMPLETE {name}: {self.describe()}")

    def describe(self) -> str:
        return f"seed {self.seed} at {self.now:.0f}: " + "; ".join(self.history[-14:])

    def must_tolerate(self, names: Iterable[str]) -> bool:
        """Whether the loss of these stores must be tolerated."""
        lost = list(names)
        zones = {self.stores[name].zone for name in lost}
        return len(lost) <= self.tolerance.machines or len(zones) <= self.tolerance.zones

    def check(self) -> None:
        if self.now < BEGUN or not self.must_tolerate(self.lost()):
            return
        for voters in (self.voters, self.pending or self.voters):
            if not self.majority(voters):
                raise InvariantError(f"MAJORITY of {voters}: {self.describe()}")
        if self.pending is not None and len(self.pending.items() ^ self.voters.items()) != 1:
            raise InvariantError(f"ONCE {self.voters} {self.pending}: {self.describe()}")
        away = [
            name for name in self.roster.stores if not (self.stores[name].up and self.stores[name].complete)
        ]
        self.blocked_at = 0.0 if self.must_tolerate(away) else self.blocked_at or self.now
        if self.blocked_at and self.now - self.blocked_at > TAKEOVER_WAIT:
            raise InvariantError(f"TAKEOVER {away} of {self.roster.stores}: {self.describe()}")
        for message in self.messages:
            if not any(self.stores[name].folder == folder for name, folder in message):
                raise InvariantError(f"COPY {self.describe()}")

    def check_end(self) -> None:
        serving = [name for name in self.roster.stores if self.stores[name].up]
        least = 2 * self.tolerance.machines + 1
        seats = min(least, len(serving))
        up = [name for name, folder in self.voters.items() if self.is_voter_up(name, folder)]
        if len(up) < seats or (len(serving) >= least and len(up) < len(self.voters)):
            raise InvariantError(f"END {up} of {self.voters}: {self.describe()}")
        if self.now - self._changed_at < QUIET / 2.0:
            raise InvariantError(f"END voters still change: {self.describe()}")
        if self.roster.retiring and len(serving) - len(self.roster.retiring) >= seats:
            raise InvariantError(f"END {self.roster}: {self.describe()}")
        selection = select_voters(self.voters, self.candidates(self.voters), self.tolerance)
        if self.can_tolerate_zone_loss() and not selection.bears_zones:
            raise InvariantError(f"END {self.voters} do not tolerate the loss of a zone: {self.describe()}")
