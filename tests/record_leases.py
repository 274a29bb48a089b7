"""How long a new leader has to wait for what earlier leaders granted: walks of the record in simulated time.

A leader grants leases only while a majority has answered what it sent in the last 300 ms. Whoever is elected
next knows from its voters when that can have been the last time (`earlier_leader_until`).
"""

from sableford.consensus.effects import LogEvent, Persist, StoredState
from sableford.consensus.raft_node import RaftNode
from sableford.control.timing import QUORUM_FRESH_MS
from sableford.simulation.consensus.walk import Walk, Wrong

SEEDS = range(50)
HUNTED = range(90, 300)  # a planted mistake shows in 1 of 100 walks; the first of them is soon met here


class LeaseWalk(Walk):
    """Notes at each event which leaders could grant a lease, and what each new leader believes of them."""

    def __init__(self, seed: int, make: type[RaftNode] = RaftNode) -> None:
        self.last_grant: dict[int, float] = {}  # by term
        self.believed: dict[int, float] = {}  # by term: no earlier leader grants anything after that
        super().__init__(seed, lies=(), make=make)

    def _seen(self, name: str, effect: object) -> None:
        super()._seen(name, effect)
        match effect:
            case LogEvent("record_leader", facts) if facts["leader"] == name:
                core = self.trial.cores[name]
                self.believed[core.term] = core.earlier_leader_until + QUORUM_FRESH_MS
        self._look()

    def propose(self, name: str) -> None:
        """Seldom: who was cut off may then be elected though it has answered no leader for long."""
        if self.draw.random() < 0.02:
            super().propose(name)

    def step(self) -> None:
        """A leader goes, or is cut off from one other, more often than anything else happens."""
        leaders = [
            name for name, core in self.trial.cores.items() if core.leads and name not in self.trial.dead
        ]
        kind = self.draw.random()
        if leaders and kind < 0.25:
            self.crash(leaders[0])
        elif leaders and kind < 0.5:
            pair = {leaders[0], self.draw.choice(self.voters)}
            self.trial.cut = lambda start, end: start != end and {start, end} == pair
        elif leaders and kind < 0.6:
            self.trial.do(leaders[0], self.trial.cores[leaders[0]].resign(self.trial.now))
        else:
            super().step()

    def _look(self) -> None:
        for name, core in self.trial.cores.items():
            running = name not in self.trial.dead and name not in self.trial.stopped
            if running and core.fresh(self.trial.now, QUORUM_FRESH_MS):
                self.last_grant[core.term] = self.trial.now
        for term, until in self.believed.items():
            for earlier, at in self.last_grant.items():
                if earlier < term and at > until:
                    raise Wrong(
                        f"term {earlier} granted at {at:.0f}, term {term} takes {until:.0f} for the last"
                    )


class AsksNobody(RaftNode):
    """Takes the time since it answered a leader itself for that of all who elected it."""

    def _become_leader(self, now):
        self._support_ended_at = {name: -1e12 for name in self._votes}
        return super()._become_leader(now)


def shows_no_earlier_leader_grants_a_lease_later_than_a_new_one_takes_for_the_last() -> None:
    elections = 0
    for seed in SEEDS:
        walk = LeaseWalk(seed)
        walk.run(40)
        elections += len(walk.believed)
    assert elections > 3 * len(SEEDS), elections


def shows_a_new_leader_that_asks_nobody_how_long_it_was_quiet_is_found() -> None:
    for seed in HUNTED:
        try:
            LeaseWalk(seed, AsksNobody).run(40)
        except Wrong as problem:
            assert "granted at" in str(problem), problem
            return
    raise AssertionError(f"not found in {len(HUNTED)} seeds")


def shows_a_leader_that_resigns_counts_as_quiet_from_then_on_only() -> None:
    core = RaftNode("a", 1, ["a"], StoredState("id"), 0.0, 1)
    now = 0.0
    while not core.leads:
        now += 10.0
        for effect in core.tick(now):
            if isinstance(effect, Persist):
                core.stored(now, effect.number)
    assert core._unsupported_ms(now + 700.0) == 0.0
    core.resign(now + 700.0)
    assert core._unsupported_ms(now + 900.0) == 200.0
