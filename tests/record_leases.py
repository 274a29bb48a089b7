"""How long a new leader has to respect leases of earlier leaders, checked in simulated walks.

A leader grants leases only while a majority has acknowledged what it sent in the last 300 ms. The next leader
learns from its voters when that can last have been the case (`earlier_leader_until`).
"""

from sableford.consensus.effects import LogEvent, Persist, StoredState
from sableford.consensus.raft_node import RaftNode
from sableford.control.timing import QUORUM_FRESH_MS
from sableford.simulation.consensus.walk import InvariantError, Walk

SEEDS = range(50)
MISTAKE_SEEDS = range(90, 300)  # the planted mistake shows in 1 of 100 walks; this range meets one early


class LeaseWalk(Walk):
    """Records at each event which leaders could grant a lease, and what each new leader assumes of them."""

    def __init__(self, seed: int, make_node: type[RaftNode] = RaftNode) -> None:
        self.last_grant: dict[int, float] = {}  # by term
        self.assumed_until: dict[int, float] = {}  # by term: no earlier leader grants anything after that
        super().__init__(seed, disk_faults=(), make_node=make_node)

    def _seen(self, name: str, effect: object) -> None:
        super()._seen(name, effect)
        match effect:
            case LogEvent("record_leader", fields) if fields["leader"] == name:
                node = self.simulation.nodes[name]
                self.assumed_until[node.term] = node.earlier_leader_until + QUORUM_FRESH_MS
        self._record_grants()

    def propose(self, name: str) -> None:
        """Rarely: then a node that was cut off may be elected although it has long responded to no leader."""
        if self.random.random() < 0.02:
            super().propose(name)

    def step(self) -> None:
        """Mostly the leader crashes, resigns or is cut off from one other node."""
        leaders = [
            name
            for name, node in self.simulation.nodes.items()
            if node.is_leader and name not in self.simulation.killed
        ]
        kind = self.random.random()
        if leaders and kind < 0.25:
            self.crash(leaders[0])
        elif leaders and kind < 0.5:
            pair = {leaders[0], self.random.choice(self.voters)}
            self.simulation.is_cut = lambda start, end: start != end and {start, end} == pair
        elif leaders and kind < 0.6:
            self.simulation.apply(leaders[0], self.simulation.nodes[leaders[0]].resign(self.simulation.now))
        else:
            super().step()

    def _record_grants(self) -> None:
        for name, node in self.simulation.nodes.items():
            running = name not in self.simulation.killed and name not in self.simulation.paused
            if running and node.has_recent_quorum(self.simulation.now, QUORUM_FRESH_MS):
                self.last_grant[node.term] = self.simulation.now
        for term, until in self.assumed_until.items():
            for earlier, at in self.last_grant.items():
                if earlier < term and at > until:
                    raise InvariantError(
                        f"term {earlier} granted at {at:.0f}, term {term} takes {until:.0f} for the last"
                    )


class IgnoresVoterReports(RaftNode):
    """Uses only its own last response to a leader, and ignores what its voters report."""

    def _become_leader(self, now):
        self._support_ended_at = {name: -1e12 for name in self._votes}
        return super()._become_leader(now)


def shows_no_earlier_leader_grants_a_lease_later_than_a_new_one_takes_for_the_last() -> None:
    elections = 0
    for seed in SEEDS:
        walk = LeaseWalk(seed)
        walk.run(40)
        elections += len(walk.assumed_until)
    assert elections > 3 * len(SEEDS), elections


def shows_a_new_leader_that_asks_nobody_how_long_it_was_quiet_is_found() -> None:
    for seed in MISTAKE_SEEDS:
        try:
            LeaseWalk(seed, IgnoresVoterReports).run(40)
        except InvariantError as problem:
            assert "granted at" in str(problem), problem
            return
    raise AssertionError(f"not found in {len(MISTAKE_SEEDS)} seeds")


def shows_a_leader_that_resigns_counts_as_quiet_from_then_on_only() -> None:
    node = RaftNode("a", 1, ["a"], StoredState("id"), 0.0, 1)
    now = 0.0
    while not node.is_leader:
        now += 10.0
        for effect in node.tick(now):
            if isinstance(effect, Persist):
                node.handle_persisted(now, effect.number)
    assert node._unsupported_ms(now + 700.0) == 0.0
    node.resign(now + 700.0)
    assert node._unsupported_ms(now + 900.0) == 200.0
