"""Membership changes of the replicated log, in simulated time: failures that each step tolerates, and walks
in which voters are replaced at random."""

from sableford.consensus.constants import ELECTION_TIMEOUT
from sableford.consensus.effects import Persist, Standing
from sableford.consensus.messages import FetchRequest, FetchResponse, Kind
from sableford.consensus.raft_node import RaftNode, put
from sableford.consensus.raft_state import learner
from sableford.simulation.consensus.growth import Group
from sableford.simulation.consensus.walk import Walk
from tests.record_growth import is_caught_up, value

# Voters


def tolerated_failures(leader: RaftNode, group: Group) -> int:
    """How many more failures the voters tolerate: running voters less a majority."""
    voters = leader.voters()
    live = [name for name in voters if name not in group.simulation.killed]
    return len(live) - (len(voters) // 2 + 1)


def replaced(living: bool, lose_newcomer: bool = False) -> tuple[Group, list[int], list[list[str]]]:
    """Replaces one of three voters by a fourth member: failures tolerated with each set of voters."""
    group = Group("abc")
    group.wait_for_leader()
    group.commit(value(0))
    leader = group.wait_for_leader()
    gone = next(name for name in "abc" if name != leader.name)
    if not living:
        group.kill(gone)
        group.run(500.0)
    group.names.append("d")
    group.start("d", newcomer=True)
    group.run(1000.0)
    tolerated, sets = [tolerated_failures(leader, group)], [sorted(leader.voters())]
    group.set_wanted_voters(sorted({*"abcd"} - {gone}))
    for _ in range(1000):
        group.run(5.0)
        if sorted(leader.voters()) != sets[-1]:
            sets.append(sorted(leader.voters()))
            tolerated.append(tolerated_failures(leader, group))
            if lose_newcomer and len(sets) == 2:
                group.kill("d")
    return group, tolerated, sets


def shows_no_step_of_a_replacement_bears_fewer_losses_than_before() -> None:
    group, tolerated, sets = replaced(living=True)
    assert [len(one) for one in sets] == [3, 4, 3] and "d" in sets[-1], sets
    assert min(tolerated) == tolerated[0] == 1, tolerated
    group, tolerated, sets = replaced(living=False)
    assert [len(one) for one in sets] == [3, 2, 3] and tolerated == [0, 0, 1], (sets, tolerated)


def shows_a_newcomer_lost_while_it_takes_a_dead_voters_place_stops_nothing() -> None:
    group, _, sets = replaced(living=False, lose_newcomer=True)
    assert group.commit(value(1)), sets
    group, _, sets = replaced(living=True, lose_newcomer=True)
    assert group.commit(value(1)), sets


def shows_a_newcomer_counts_for_the_entry_that_names_it() -> None:
    """If the leaving voter dies once the leader's log names the newcomer, entries must still be committed:
    the newcomer used to accept entries only after it had applied the one that names it."""
    group = Group("abc")
    leader = group.wait_for_leader()
    group.commit(value(0))
    gone = next(name for name in "abc" if name != leader.name)
    group.names.append("d")
    group.start("d", newcomer=True)
    group.run(1000.0)
    group.set_wanted_voters(sorted({*"abcd"} - {gone}))
    assert group.run(2000.0, lambda: "d" in leader.voters())
    group.kill(gone)
    assert group.commit(value(1))
    assert group.run(
        2000.0, lambda: set(group.wait_for_leader().wanted_voters) == set(group.wait_for_leader().voters())
    )


def shows_a_newcomer_is_added_only_with_all_that_was_agreed_on() -> None:
    group = Group("abc")
    leader = group.wait_for_leader()
    for number in range(40):
        assert group.commit(put(f"k{number}", b"v"))
    leader.wanted_voters = ("a", "b", "c", "d")
    for have, joins in ((0, False), (leader.commit - 1, False), (leader.commit, True)):
        group.simulation.apply(
            leader.name,
            leader.handle_message(group.simulation.now, "d", 1, FetchRequest("folder of d", have)),
        )
        group.run(250.0)
        assert ("d" in leader.voters()) is joins, have


def shows_a_newcomer_is_added_while_entries_are_agreed_on_all_the_time() -> None:
    """Each fetch, one per heartbeat, brought all entries, but by the next heartbeat there were more. The
    newcomer counted as caught up only once no entry came between two fetches: after up to a minute."""
    group = Group("abc")
    leader, has = group.wait_for_leader(), 0
    group.run(300.0)
    leader.wanted_voters = ("a", "b", "c", "d")
    for number in range(6):
        fetch = FetchRequest("folder of d", has)
        has = leader.commit
        group.simulation.apply(leader.name, leader.handle_message(group.simulation.now, "d", 1, fetch))
        for more in range(3):
            assert group.commit(put(f"k{number}-{more}", b"v"))
        group.run(100.0)
        if "d" in leader.voters():
            break
    assert number <= 2, number


def shows_a_newcomer_that_falls_behind_is_not_caught_up() -> None:
    """Each of its rounds takes longer than an election."""
    one, now = learner("folder", 0.0, 100), 0.0
    for at in range(1, 20):
        now += ELECTION_TIMEOUT + 1.0
        one = one.fetched(now, at * 100, at * 100 + 50, (at + 1) * 100)
        assert not one.caught_up
    quick = one.fetched(now + 100.0, one.round_end, one.round_end + 50, one.round_end + 80)
    assert quick.caught_up
    behind = (quick.round_end - 1, quick.round_end + 90, quick.round_end + 99)
    assert quick.fetched(now + 200.0, *behind).caught_up
    assert not quick.fetched(now + 101.0 + ELECTION_TIMEOUT, *behind).caught_up


def shows_a_removed_voter_learns_of_it_and_goes_on_reading() -> None:
    """A removed voter used to start elections for ever among voters that ignored it, with outdated state."""
    group, _, _ = replaced(living=True)
    gone = next(name for name in "abc" if name not in group.wait_for_leader().voters())
    assert group.commit(value(7))
    node = group.nodes[gone]
    assert group.run(3000.0, lambda: node.state_machine.values["config"].data.startswith(b"7 "))
    assert gone not in node.voters()


def shows_a_replaced_voter_that_restarts_keeps_what_it_holds_and_votes_no_more() -> None:
    """At the first answer from another process that had just started it discarded its state, and by the
    configured names took itself for a voter with an empty log."""
    group, _, _ = replaced(living=True)
    gone = next(name for name in "abc" if name not in group.wait_for_leader().voters())
    assert group.run(5000.0, lambda: gone not in group.nodes[gone].voters())
    group.kill(gone)
    node = group.start(gone)
    last = node.last
    assert node.standing is Standing.LEARNER and last > 0
    group.simulation.apply(gone, node.handle_message(group.simulation.now, "d", 1, FetchResponse(0, 1, 0)))
    for _ in range(400):
        group.run(5.0)
        assert node.standing is Standing.LEARNER and node.last >= last
    assert is_caught_up(group, node)


def shows_voters_replaced_one_after_the_other_under_changes_never_lose_one() -> None:
    group = Group("abc")
    group.wait_for_leader()
    for turn, new in enumerate("defgh"):
        leader = group.wait_for_leader()
        gone = sorted(name for name in leader.voters() if name != leader.name)[0]
        if turn % 2:
            group.kill(gone)
            group.run(500.0)
        group.names.append(new)
        group.start(new, newcomer=True)
        group.set_wanted_voters(sorted({*leader.voters(), new} - {gone}))
        for number in range(8):
            assert group.commit(value(turn * 100 + number))
        assert group.run(3000.0, lambda new=new: new in (group.wait_for_leader().stable_voters() or {}))
        assert group.run(3000.0, lambda: len(group.wait_for_leader().voters()) == 3)
        if not turn % 2:
            group.kill(gone)
    assert group.wait_for_leader().state_machine.values["config"].data.startswith(b"407 ")


def shows_a_restarted_voter_is_not_made_a_stranger_by_a_member_that_is_behind() -> None:
    """A new voter restarted and asked a member that had been stopped since before it was added. That member
    knew other voters, and the new voter discarded its folder; two such voters lost the majority."""
    group = Group("abc")
    leader = group.wait_for_leader()
    asleep, gone = (name for name in "abc" if name != leader.name)
    group.names += ["d", "e"]
    for new in "de":
        group.start(new, newcomer=True)
    group.set_wanted_voters(sorted({leader.name, gone, "d"}))
    assert group.run(5000.0, lambda: set(leader.voters()) == {leader.name, gone, "d"})
    assert group.run(5000.0, lambda: asleep not in group.nodes[asleep].voters())
    group.simulation.pause(asleep)
    group.kill(gone)
    group.set_wanted_voters(sorted({leader.name, "d", "e"}))
    assert group.run(5000.0, lambda: set(leader.voters()) == {leader.name, "d", "e"})
    assert group.commit(value(1)) and group.run(500.0, lambda: is_caught_up(group, group.nodes["e"]))
    group.kill("e")
    # The leader can't tell it the voters.
    group.simulation.is_cut = lambda start, end: leader.name in (start, end)
    group.simulation.resume(asleep)
    id = group.nodes["e"].id
    node = group.start("e")
    group.run(3000.0)
    assert node.standing is Standing.VOTING and node.id == id
    assert group.commit(value(2))


def shows_many_reads_at_once_cost_few_rounds_and_no_writes() -> None:
    """Each read caused a heartbeat round of its own, and each heartbeat a write at each follower: hundreds of
    reads in flight filled the disk queues faster than they drained, and nothing was committed any more."""
    group = Group("abc")
    leader = group.wait_for_leader()
    assert group.commit(value(0))
    seen, stores = group.simulation.on_effect, []
    group.simulation.on_effect = lambda name, effect: (
        stores.append(effect) if isinstance(effect, Persist) else None,
        seen(name, effect),
    )
    rounds = leader._round
    numbers = [group.propose(leader.name, None) for _ in range(100)]
    number = group.propose(leader.name, value(1))
    answers = group.members[leader.name].answers
    assert group.run(500.0, lambda: all(one in answers for one in [*numbers, number]))
    assert leader._round - rounds <= 6 and len(stores) == 3, (leader._round - rounds, len(stores))


# Random replacement of voters


class ReplacingWalk(Walk):
    """A walk in which the wanted voters change again and again."""

    def step(self) -> None:
        if self.random.random() < 0.4:
            wanted = tuple(self.random.sample(self.names, len(self.voters)))
            for node in self.simulation.nodes.values():
                node.wanted_voters = wanted
        super().step()

    def start(self, name: str) -> None:
        super().start(name)
        self.simulation.nodes[name].known_members = tuple(self.names)
        self.simulation.nodes[name].wanted_voters = next(iter(self.simulation.nodes.values())).wanted_voters


class ChangesBeforeCommit(RaftNode):
    """Changes voters again before the previous change is committed."""

    def stable_voters(self):
        return dict(self._voters)


class DropsAcknowledged(RaftNode):
    """Drops entries that it has acknowledged as a joining voter when it fetches committed ones."""

    def _append_fetched(self, message):
        del self.entries[max(0, self.commit + 1 - self.first) :]
        return super()._append_fetched(message)


def shows_walks_in_which_voters_are_replaced_lose_nothing_and_end_in_agreement() -> None:
    changes = 0
    for seed in range(400, 440):
        walk = ReplacingWalk(seed, voters=3 if seed % 3 else 5, learners=3, disk_faults=())
        walk.run(40)
        changes += sum(entry.kind == Kind.VOTERS for entry in walk.committed.values())
    assert changes > 200, changes


def shows_planted_mistakes_in_changing_voters_are_found() -> None:
    for make in (ChangesBeforeCommit, DropsAcknowledged):
        for seed in range(400, 520):
            try:
                ReplacingWalk(
                    seed, voters=3 if seed % 3 else 5, learners=3, disk_faults=(), make_node=make
                ).run(40)
            except AssertionError:  # raised by the walk, or by the node itself
                break
        else:
            raise AssertionError(f"{make.__name__} was not found")
