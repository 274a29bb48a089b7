"""Seeded walks of who votes and who stands in the roster: losses, returns, replacements, retirements by two
operators, and one more loss as soon as the one before counts no more.

What must hold at every step, while no more machines count as lost than `Tolerance.machines`:

    MAJORITY   a majority of those who vote is up and has caught up, by the agreed and by the newest voters
    TAKEOVER   all but so many stores of the roster are up and whole, or soon will be: who takes over waits
    COPY       each message is on a disk that is there
    ONCE       the newest voters differ from the agreed ones by one
    SEATS      no voter that serves is taken out where fewer than are needed would be left
    LEFT       no retirement is taken on that leaves too few
    COMPLETE   who is reported as emptied does not vote and does not stand in the roster
    END        after a quiet time all seats are filled, all retirements are done, and nothing changes any more
"""

from collections.abc import Iterable
from typing import Any

from sableford.control.presence import Presence
from sableford.control.roster import Roster
from sableford.control.voter_selection import Candidate, can_tolerate_losses, select_voters
from sableford.simulation.membership.model import MembershipModel, SimulatedStore

BEGUN = 4000.0  # ms: all have come together for the first time
TAKEOVER_WAIT = 3500.0  # ms: an election, a new leader's wait for old leases, the change of the roster
QUIET = 12_000.0  # ms at the end


class Wrong(AssertionError):
    """What must hold did not: the rule's name comes first."""


class MembershipSimulation(MembershipModel):
    """One walk of `seconds`."""

    def __init__(self, seed: int, *given: Any, seconds: float = 30.0, **named: Any) -> None:
        super().__init__(seed, *given, **named)
        self.end = seconds * 1000.0

    def play(self) -> "MembershipSimulation":
        """Raises Wrong."""
        self.later(BEGUN + 2000.0, self.trouble)
        self.run(self.end + QUIET + self.sync_ms)
        self.check_end()
        return self

    # Trouble

    def lost(self) -> list[str]:
        return [name for name, until in self.lost_until.items() if until > self.now]

    def trouble(self) -> None:
        """The next event; a loss at times just when the one before counts no more."""
        if self.now >= self.end:
            return
        room = self.tolerance.machines - len(self.lost())
        serving = [
            one for one in self.stores.values() if one.up and not one.leaving and one.name not in self.lost()
        ]
        kinds = ["restart", "planned", "unplanned", "kill", "power", "wipe"] if room > 0 else []
        kinds += ["retire", "retire", "add"]
        if self.tolerance.zones and not self.lost() and self.zones_are_bearable():
            kinds += ["zone", "zone", "zone"]
        if serving:
            getattr(self, f"do_{self.draw.choice(kinds)}")(self.draw.choice(serving))
        until = min((at for at in self.lost_until.values() if at > self.now), default=self.now)
        gap = until - self.now + 1.0 if self.draw.random() < 0.6 and until < self.now + 1e6 else 0.0
        self.later(gap or self.draw.uniform(100.0, 6000.0), self.trouble)

    def do_add(self, store: SimulatedStore) -> None:
        if sum(not one.gone for one in self.stores.values()) < 6:
            self.successor()

    def do_retire(self, store: SimulatedStore) -> None:
        """Two operators at once, at times; not while one of those that would be left is about to go."""
        if any(one.doomed for one in self.stores.values()):
            return
        names = [one.name for one in self.stores.values() if one.up and one.name in self.roster.stores]
        for name in self.draw.sample(names, min(len(names), self.draw.choice((1, 1, 2)))):
            self.retire(name)

    def zones_are_bearable(self) -> bool:
        """Whether the stores that stay could hold a majority of any choice without one zone: operators may
        have emptied a zone, and then no selection of voters bears the loss of another."""
        going = set(self.roster.retiring.values())
        stay = [
            Candidate(name, self.stores[name].zone)
            for name in self.roster.stores
            if name not in going and self.stores[name].up and not self.stores[name].leaving
        ]
        return can_tolerate_losses(stay, self.tolerance)

    def do_zone(self, store: SimulatedStore) -> None:
        """A whole zone without power."""
        back = self.draw.uniform(300.0, 6000.0)
        for one in self.stores.values():
            if one.zone == store.zone and not one.gone:
                self.loses(one, 1e12, "its zone without power")
                self.stop(one, True)
                self.later(back, self.back, one)

    def do_kill(self, store: SimulatedStore) -> None:
        self.loses(store, 1e12, "killed")
        self.stop(store)
        self.later(self.draw.uniform(300.0, 1000.0), self.back, store)

    def do_power(self, store: SimulatedStore) -> None:
        self.loses(store, 1e12, "without power")
        self.stop(store, True)
        self.later(self.draw.uniform(300.0, 8000.0), self.back, store)

    def do_wipe(self, store: SimulatedStore) -> None:
        self.loses(store, 1e12, "loses its disk")
        self.stop(store, True)
        self.wipe(store)
        self.later(self.draw.uniform(300.0, 3000.0), self.back, store)

    def do_restart(self, store: SimulatedStore) -> None:
        self.loses(store, 1e12, "restarts")
        self.leave(store)
        stays = self.draw.uniform(150.0, 2000.0)
        self.later(stays, self.stop, store)
        self.later(stays + self.draw.uniform(300.0, 1500.0), self.back, store)

    def do_unplanned(self, store: SimulatedStore) -> None:
        """Gone for good; an empty machine at another address takes its place."""
        self.loses(store, 1e12, "gone for good")
        self.end_of(store, True)
        self.later(self.draw.uniform(0.0, 3000.0), self.replaced, store)

    def replaced(self, store: SimulatedStore) -> None:
        self.successor(store.zone)
        self.lost_until[store.name] = self.now + self.sync_ms

    def do_planned(self, store: SimulatedStore) -> None:
        """The successor starts first; then the old one ends, with its disk."""
        self.loses(store, self.now + self.sync_ms, "to be replaced")
        self.successor(store.zone)
        store.doomed = True
        self.later(1000.0, self.leave, store)
        self.later(1000.0 + self.draw.uniform(150.0, self.stays_at_most()), self.end_of, store, False)

    def stays_at_most(self) -> float:
        """ms from SIGTERM for which a store that is replaced stays, until workers have answered: by then its
        successor has been there long enough for it to count no more."""
        return self.sync_ms - 1000.0

    def check_change(self, voters: dict[str, int]) -> None:
        gone = [name for name in self.voters if name not in voters]
        serve = any(self.is_voter_up(name, self.voters[name]) for name in gone)
        if serve and len(voters) < 2 * self.tolerance.machines + 1:
            raise Wrong(f"SEATS {voters} of {self.voters}: {self.told()}")

    def check_retirement(self, roster: Roster) -> None:
        going = roster.retiring.values()
        candidates = self.candidates(roster.stores)
        stay = [one for one in candidates if one.presence is Presence.SERVING and one.name not in going]
        if len(stay) < 2 * self.tolerance.machines + 1:
            raise Wrong(f"LEFT {[one.name for one in stay]} stay: {self.told()}")

    def check_complete(self, name: str) -> None:
        if name in self.voters or name in (self.pending or ()) or name in self.roster.stores:
            raise Wrong(f"COMPLETE {name}: {self.told()}")

    def told(self) -> str:
        return f"seed {self.seed} at {self.now:.0f}: " + "; ".join(self.story[-14:])

    def borne(self, names: Iterable[str]) -> bool:
        """Whether the loss of these is one that is to be borne."""
        lost = list(names)
        zones = {self.stores[name].zone for name in lost}
        return len(lost) <= self.tolerance.machines or len(zones) <= self.tolerance.zones

    def check(self) -> None:
        if self.now < BEGUN or not self.borne(self.lost()):
            return
        for voters in (self.voters, self.pending or self.voters):
            if not self.majority(voters):
                raise Wrong(f"MAJORITY of {voters}: {self.told()}")
        if self.pending is not None and len(self.pending.items() ^ self.voters.items()) != 1:
            raise Wrong(f"ONCE {self.voters} {self.pending}: {self.told()}")
        away = [
            name for name in self.roster.stores if not (self.stores[name].up and self.stores[name].complete)
        ]
        self.blocked_at = 0.0 if self.borne(away) else self.blocked_at or self.now
        if self.blocked_at and self.now - self.blocked_at > TAKEOVER_WAIT:
            raise Wrong(f"TAKEOVER {away} of {self.roster.stores}: {self.told()}")
        for message in self.messages:
            if not any(self.stores[name].folder == folder for name, folder in message):
                raise Wrong(f"COPY {self.told()}")

    def check_end(self) -> None:
        serving = [name for name in self.roster.stores if self.stores[name].up]
        least = 2 * self.tolerance.machines + 1
        seats = min(least, len(serving))
        up = [name for name, folder in self.voters.items() if self.is_voter_up(name, folder)]
        if len(up) < seats or (len(serving) >= least and len(up) < len(self.voters)):
            raise Wrong(f"END {up} of {self.voters}: {self.told()}")
        if self.now - self._changed_at < QUIET / 2.0:
            raise Wrong(f"END voters change still: {self.told()}")
        if self.roster.retiring and len(serving) - len(self.roster.retiring) >= seats:
            raise Wrong(f"END {self.roster}: {self.told()}")
        selection = select_voters(self.voters, self.candidates(self.voters), self.tolerance)
        if self.zones_are_bearable() and not selection.bears_zones:
            raise Wrong(f"END {self.voters} do not bear the loss of a zone: {self.told()}")
