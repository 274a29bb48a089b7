"""Plain asserts on the record after hundreds of changes: what it keeps, who catches up and how soon, and who
may lead at the end of a long day, in simulated time."""

import msgspec

from sableford.consensus.constants import DATAGRAMS, STREAMS
from sableford.consensus.effects import Send, SnapshotInstalled, Standing, StoredState
from sableford.consensus.messages import (
    AppendRequest,
    Entry,
    FetchRequest,
    FetchResponse,
    Kind,
    SnapshotChunk,
)
from sableford.consensus.raft_node import RaftNode, put
from sableford.consensus.state_machine import MAX_REMEMBERED_NUMBERS, StateMachine
from sableford.simulation.consensus.growth import Group, measure
from sableford.simulation.consensus.walk import Walk

CONFIGURATION = 50_000  # bytes


def value(number: int, size: int = CONFIGURATION) -> bytes:
    return put("config", b"%d " % number + b"x" * size)


def level(group: Group, core: RaftNode) -> bool:
    return core.commit >= group.led().commit


# What is kept


def shows_three_hundred_changes_of_a_large_configuration_stay_small_and_a_wiped_member_catches_up() -> None:
    figures = measure(300, CONFIGURATION)
    assert figures.disk_bytes < 3_000_000 and figures.log_bytes < 2_000_000, figures
    assert figures.entries < 60 and figures.image_bytes < 2 * CONFIGURATION, figures
    assert figures.caught_up_ms is not None and figures.caught_up_ms <= 2000.0, figures
    assert figures.sent_bytes < 5_000_000, figures


def shows_hundreds_of_restarts_leave_no_more_in_a_snapshot_than_its_bound() -> None:
    machine, index = StateMachine(), 0
    for birth in range(300):
        for number in range(1, 200):
            index += 1
            machine.apply(index, Entry(1, Kind.PUT, f"s1#{birth}", number, put("k", b"v")))
    assert sum(map(len, machine.taken.values())) <= MAX_REMEMBERED_NUMBERS
    assert len(msgspec.msgpack.encode(machine.snapshot({}))) < 300_000
    # Whoever offered last is known still; twice the numbers that all voters may have under way.
    assert machine.known("s1#299", 199) == (index, True) and machine.known("s1#250", 1)


def shows_reads_do_not_push_an_order_out_of_what_is_remembered() -> None:
    """An order that waited while its process read a thousand times was answered as taken by another."""
    group = Group("abc")
    leader = group.led()
    group.trial.cut = lambda start, end: start == leader.name
    number = group.propose(leader.name, put("k", b"1"))
    for _ in range(100):
        for _ in range(10):
            group.propose(leader.name, None)
        for waiting in list(leader._proposals):
            if waiting != number:
                leader.drop(waiting)
    group.trial.cut = lambda start, end: False
    group.run(3000.0)
    assert group.members[leader.name].answers[number].yes
    assert group.propose(leader.name, put("k", b"2")) == number + 1


# Catching up


class Old(RaftNode):
    """As before: it has a snapshot only of its newest state, for whoever has fetched half of another."""

    def _send_snapshot(self, now, sender, message):
        self._snapshot_cache.clear()
        return super()._send_snapshot(now, sender, message)


def fetched(make: type[RaftNode]) -> bool:
    """Whether a learner gets on with a snapshot of 400 kB while a new one is made each third round."""
    held = StoredState("folder of a")
    server = make("a", 1, ["a"], held, 0.0, 1)
    learner = RaftNode("b", 1, ["a"], StoredState("folder of b"), 0.0, 1, newcomer=True)
    now, index = 0.0, 0

    def change() -> None:
        nonlocal index
        for _ in range(12):
            index += 1
            server.entries.append(Entry(1, Kind.PUT, "a#1", index, put(f"k{index % 400}", b"x" * 1000)))
        server._apply_committed(index)
        server._compact(0, 0)

    for _ in range(40):
        change()
    for turn in range(60):
        now += 100.0
        if turn % 3 == 0:
            change()
        asked = [one.message for one in learner.tick(now) if isinstance(one, Send)]
        for fetch in asked[:1]:
            for answer in server.heard(now, "b", 1, fetch):
                learner.heard(now, "a", 1, answer.message)
        if learner.commit:
            return True
    return False


def shows_a_snapshot_that_was_begun_is_served_to_its_end_while_newer_ones_are_made() -> None:
    assert fetched(RaftNode)
    assert not fetched(Old)


def shows_a_voter_behind_a_short_log_fetches_the_snapshot() -> None:
    """Fewer than a thousand entries behind, and the leader had none of them any more: it stayed behind."""
    group = Group("abc")
    leader = group.led()
    late = next(name for name in group.names if name != leader.name)
    group.kill(late)
    for number in range(60):
        assert group.agreed(value(number))
    assert group.led().first > group.cores[late].last + 1  # it is not in the leader's log
    core = group.start(late)
    assert group.run(2000.0, lambda: core.commit >= leader.commit), (core.commit, leader.commit)
    assert core.snapshot is not None and core.standing is Standing.VOTING


def voter(held: StoredState) -> RaftNode:
    """One of three that votes, and has heard of no leader yet."""
    core = RaftNode("b", 1, ["a", "b", "c"], held, 0.0, 1)
    core._base_voters = core._voters = {"a": "id-a", "b": held.id, "c": "id-c"}
    core.standing = Standing.VOTING
    return core


def fetches(effects: list) -> list[FetchRequest]:
    return [one.message for one in effects if isinstance(one, Send) and isinstance(one.message, FetchRequest)]


def shows_a_voter_whose_last_entry_is_not_the_one_before_the_leaders_log_fetches_the_snapshot() -> None:
    """It held an entry of that number from an earlier leader, and the right one was only in a snapshot."""
    entries = tuple(Entry(1, Kind.NOTHING) for _ in range(12))
    for first, prev, behind in ((14, 13, True), (13, 12, True), (12, 12, False)):
        core = voter(StoredState("id-b", 2, entries=entries))
        told = core.heard(1.0, "a", 1, AppendRequest("id-a", 3, prev, 2, 80, 1, 80, (), first, "id-b"))
        assert bool(fetches(told)) is behind, first


def shows_a_replaced_voter_goes_on_from_a_snapshot_that_nobody_has_any_more() -> None:
    """It went on asking for the rest of it, and heeded no entries."""
    core = voter(StoredState("id-b", 2))
    beat = AppendRequest("id-a", 3, 80, 3, 80, 1, 80, (), 1)  # of a leader that does not name it
    assert fetches(core.heard(1.0, "a", 1, beat)) == [FetchRequest("id-b", 0)]
    core.heard(2.0, "a", 1, SnapshotChunk(40, 0, 90_000, b"x" * 900, 14_400))
    for turn in range(1, 100):
        now = 100.0 * turn
        asked = [one.to for one in [*core.heard(now, "a", 1, beat), *core.tick(now)] if isinstance(one, Send)]
        for to in asked if turn > 10 else ():
            core.heard(now, to, 1, FetchResponse(3, 1, 2, (Entry(1, 0), Entry(1, 0)), "a", 2))
    assert core.commit == 2 and core._fetching is None


def shows_a_fetched_snapshot_is_told_to_its_host_and_serves_a_read_that_waited() -> None:
    group = Group("abc")
    leader = group.led()
    late = next(name for name in group.names if name != leader.name)
    group.kill(late)
    for number in range(60):
        assert group.agreed(value(number))
    leader._compact(0, 0)  # nothing stands behind it that would be settled later
    core = group.start(late)
    told = []
    seen = group.trial.seen
    group.trial.seen = lambda name, effect: (told.append((name, effect)), seen(name, effect))
    core._handle_snapshot_chunk = lambda now, sender, message: []  # the snapshot is late
    assert group.run(2000.0, lambda: core.leader != "")
    number = group.propose(late, None)
    assert group.run(2000.0, lambda: core._proposals[number].need > 0)
    del core._handle_snapshot_chunk
    assert group.run(2000.0, lambda: number in group.members[late].answers)
    assert any(name == late and isinstance(effect, SnapshotInstalled) for name, effect in told)
    assert core.state_machine.values["config"].data.startswith(b"59 ")


def in_flight(leader: RaftNode, name: str) -> int:
    one = leader._followers[name]
    return sum(len(leader.at(index).data) for index in range(max(one.match + 1, leader.first), one.next))


def shows_a_follower_far_behind_is_sent_no_more_at_once_than_its_way_carries() -> None:
    """Each answer let eight more messages out: 25 MB of large entries waited, the link was given up."""
    group = Group("abc")
    leader = group.led()
    late = next(name for name in group.names if name != leader.name)
    group.trial.cut = lambda start, end: late in (start, end)
    for number in range(3):
        assert group.agreed(value(number, 600_000))
    group.run(1000.0)
    before = group.trial.bytes[leader.name]
    group.run(5000.0)
    # To one that does not answer only heartbeats go.
    assert group.trial.bytes[leader.name] - before < 100_000, group.trial.bytes[leader.name] - before
    assert leader.first <= group.cores[late].last + 1  # all that it lacks can be sent
    group.trial.cut = lambda start, end: False
    most = 0
    for _ in range(400):
        group.run(5.0)
        most = max(most, in_flight(leader, late))
    assert most <= STREAMS.window_bytes and group.cores[late].commit == leader.commit, most


def shows_a_learner_fetches_on_as_soon_as_the_last_piece_has_come() -> None:
    """A megabyte came in windows of 14 kB, one each 100 ms: 7 s, past what an order may take."""
    for transport, most in ((STREAMS, 1000.0), (DATAGRAMS, 3000.0)):
        group = Group("abc", transport)
        for number in range(12):
            assert group.agreed(value(number, 30_000 if transport is DATAGRAMS else 1_000_000))
        for core in group.cores.values():
            core._compact(0, 0)
        group.run(500.0)
        group.names.append("d")
        core = group.start("d", newcomer=True)
        leader = group.led()
        assert group.run(most, lambda group=group, core=core: level(group, core)), (
            core.commit,
            leader.commit,
        )


# At the end of a long day


def shows_after_a_long_day_only_a_member_with_the_newest_state_leads() -> None:
    """Restarted, wiped and set back in turn, with the others' leaders lost while it comes back."""
    group = Group("abc")
    leader = group.led()
    old = {name: dict(group.members[name].file) for name in group.names}
    newest = -1
    for number in range(120):
        newest = number
        assert group.agreed(value(number))
    for turn in range(6):
        leader = group.led()
        back = next(name for name in sorted(group.names) if name != leader.name)
        group.kill(back)
        newest += 1
        assert group.agreed(value(newest))
        if turn % 3 == 1:
            group.members[back].file = dict(old[back])  # a copy of its disk from the morning
        core = group.start(back, wiped=turn % 3 == 2)
        group.run(20.0 * turn)
        group.cores[leader.name].resign(group.trial.now)
        led = group.led()
        number = group.propose(led.name, None)
        assert group.run(5000.0, lambda led=led, number=number: number in group.members[led.name].answers)
        assert led.state_machine.values["config"].data.startswith(b"%d " % newest), (turn, led.name)
        assert group.run(
            10_000.0, lambda core=core: group.led().voters().get(core.name) == core.id and level(group, core)
        )


def shows_walks_over_long_values_and_short_logs_lose_nothing() -> None:
    snapshots = 0
    for seed in range(300, 316):
        walk = Walk(seed, voters=3 if seed % 3 else 5, value_bytes=12_000)
        walk.run(30)
        snapshots += sum(core.snapshot is not None for core in walk.trial.cores.values())
    assert snapshots > 20, snapshots
