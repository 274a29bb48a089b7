"""Replicated log after hundreds of changes, in simulated time: size limits, catching up, and leadership."""

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


def is_caught_up(group: Group, node: RaftNode) -> bool:
    return node.commit >= group.wait_for_leader().commit


# Size limits


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
    # The latest authors are remembered: twice the numbers that all voters may have in flight.
    assert machine.known("s1#299", 199) == (index, True) and machine.known("s1#250", 1)


def shows_reads_do_not_push_an_order_out_of_what_is_remembered() -> None:
    """Reads used proposal numbers, so a proposal that waited during a thousand reads counted as applied."""
    group = Group("abc")
    leader = group.wait_for_leader()
    group.simulation.is_cut = lambda start, end: start == leader.name
    number = group.propose(leader.name, put("k", b"1"))
    for _ in range(100):
        for _ in range(10):
            group.propose(leader.name, None)
        for waiting in list(leader._proposals):
            if waiting != number:
                leader.drop(waiting)
    group.simulation.is_cut = lambda start, end: False
    group.run(3000.0)
    assert group.members[leader.name].answers[number].accepted
    assert group.propose(leader.name, put("k", b"2")) == number + 1


# Catching up


class ServesNewestOnly(RaftNode):
    """The earlier behaviour: only the newest snapshot is served, so a half-finished transfer starts over."""

    def _send_snapshot(self, now, sender, message):
        self._snapshot_cache.clear()
        return super()._send_snapshot(now, sender, message)


def completes_snapshot(make: type[RaftNode]) -> bool:
    """Whether a learner completes a snapshot of 400 kB while a new one is made in every third round."""
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
            for answer in server.handle_message(now, "b", 1, fetch):
                learner.handle_message(now, "a", 1, answer.message)
        if learner.commit:
            return True
    return False


def shows_a_snapshot_that_was_begun_is_served_to_its_end_while_newer_ones_are_made() -> None:
    assert completes_snapshot(RaftNode)
    assert not completes_snapshot(ServesNewestOnly)


def shows_a_voter_behind_a_short_log_fetches_the_snapshot() -> None:
    """A voter fewer than a thousand entries behind stayed behind when the leader's log began after them."""
    group = Group("abc")
    leader = group.wait_for_leader()
    late = next(name for name in group.names if name != leader.name)
    group.kill(late)
    for number in range(60):
        assert group.commit(value(number))
    # The next entry is not in the leader's log.
    assert group.wait_for_leader().first > group.nodes[late].last + 1
    node = group.start(late)
    assert group.run(2000.0, lambda: node.commit >= leader.commit), (node.commit, leader.commit)
    assert node.snapshot is not None and node.standing is Standing.VOTING


def voter(held: StoredState) -> RaftNode:
    """One of three voters, without a leader so far."""
    node = RaftNode("b", 1, ["a", "b", "c"], held, 0.0, 1)
    node._base_voters = node._voters = {"a": "id-a", "b": held.id, "c": "id-c"}
    node.standing = Standing.VOTING
    return node


def fetches(effects: list) -> list[FetchRequest]:
    return [one.message for one in effects if isinstance(one, Send) and isinstance(one.message, FetchRequest)]


def shows_a_voter_whose_last_entry_is_not_the_one_before_the_leaders_log_fetches_the_snapshot() -> None:
    """The voter's last entry has the right index but is an earlier leader's; the committed one is only in a
    snapshot."""
    entries = tuple(Entry(1, Kind.NOTHING) for _ in range(12))
    for first, prev, behind in ((14, 13, True), (13, 12, True), (12, 12, False)):
        node = voter(StoredState("id-b", 2, entries=entries))
        effects = node.handle_message(
            1.0, "a", 1, AppendRequest("id-a", 3, prev, 2, 80, 1, 80, (), first, "id-b")
        )
        assert bool(fetches(effects)) is behind, first


def shows_a_replaced_voter_goes_on_from_a_snapshot_that_nobody_has_any_more() -> None:
    """The voter kept requesting the rest of the snapshot and ignored entries."""
    node = voter(StoredState("id-b", 2))
    # From a leader that does not count it as a voter.
    heartbeat = AppendRequest("id-a", 3, 80, 3, 80, 1, 80, (), 1)
    assert fetches(node.handle_message(1.0, "a", 1, heartbeat)) == [FetchRequest("id-b", 0)]
    node.handle_message(2.0, "a", 1, SnapshotChunk(40, 0, 90_000, b"x" * 900, 14_400))
    for turn in range(1, 100):
        now = 100.0 * turn
        asked = [
            one.to
            for one in [*node.handle_message(now, "a", 1, heartbeat), *node.tick(now)]
            if isinstance(one, Send)
        ]
        for to in asked if turn > 10 else ():
            node.handle_message(now, to, 1, FetchResponse(3, 1, 2, (Entry(1, 0), Entry(1, 0)), "a", 2))
    assert node.commit == 2 and node._fetching is None


def shows_a_fetched_snapshot_is_told_to_its_host_and_serves_a_read_that_waited() -> None:
    group = Group("abc")
    leader = group.wait_for_leader()
    late = next(name for name in group.names if name != leader.name)
    group.kill(late)
    for number in range(60):
        assert group.commit(value(number))
    leader._compact(0, 0)  # no entries after it, which would be committed later
    node = group.start(late)
    effects = []
    seen = group.simulation.on_effect
    group.simulation.on_effect = lambda name, effect: (effects.append((name, effect)), seen(name, effect))
    node._handle_snapshot_chunk = lambda now, sender, message: []  # the snapshot is delayed
    assert group.run(2000.0, lambda: node.leader != "")
    number = group.propose(late, None)
    assert group.run(2000.0, lambda: node._proposals[number].read_index > 0)
    del node._handle_snapshot_chunk
    assert group.run(2000.0, lambda: number in group.members[late].answers)
    assert any(name == late and isinstance(effect, SnapshotInstalled) for name, effect in effects)
    assert node.state_machine.values["config"].data.startswith(b"59 ")


def bytes_in_flight(leader: RaftNode, name: str) -> int:
    one = leader._followers[name]
    return sum(
        len(leader.entry_at(index).data)
        for index in range(max(one.match_index + 1, leader.first), one.next_index)
    )


def shows_a_follower_far_behind_is_sent_no_more_at_once_than_its_way_carries() -> None:
    """Each response let eight more messages out: 25 MB of large entries queued up and the link was closed."""
    group = Group("abc")
    leader = group.wait_for_leader()
    late = next(name for name in group.names if name != leader.name)
    group.simulation.is_cut = lambda start, end: late in (start, end)
    for number in range(3):
        assert group.commit(value(number, 600_000))
    group.run(1000.0)
    before = group.simulation.sent_bytes[leader.name]
    group.run(5000.0)
    # A follower that does not respond gets only heartbeats.
    assert group.simulation.sent_bytes[leader.name] - before < 100_000, (
        group.simulation.sent_bytes[leader.name] - before
    )
    assert leader.first <= group.nodes[late].last + 1  # the leader's log still holds all that it lacks
    group.simulation.is_cut = lambda start, end: False
    most = 0
    for _ in range(400):
        group.run(5.0)
        most = max(most, bytes_in_flight(leader, late))
    assert most <= STREAMS.window_bytes and group.nodes[late].commit == leader.commit, most


def shows_a_learner_fetches_on_as_soon_as_the_last_piece_has_come() -> None:
    """A megabyte came in windows of 14 kB, one per 100 ms: 7 s, longer than an order may take."""
    for transport, most in ((STREAMS, 1000.0), (DATAGRAMS, 3000.0)):
        group = Group("abc", transport)
        for number in range(12):
            assert group.commit(value(number, 30_000 if transport is DATAGRAMS else 1_000_000))
        for node in group.nodes.values():
            node._compact(0, 0)
        group.run(500.0)
        group.names.append("d")
        node = group.start("d", newcomer=True)
        leader = group.wait_for_leader()
        assert group.run(most, lambda group=group, node=node: is_caught_up(group, node)), (
            node.commit,
            leader.commit,
        )


# Leadership after many changes


def shows_after_a_long_day_only_a_member_with_the_newest_state_leads() -> None:
    """Members are restarted, wiped and set back in turn, and the leader resigns while each comes back."""
    group = Group("abc")
    leader = group.wait_for_leader()
    old = {name: dict(group.members[name].stored) for name in group.names}
    newest = -1
    for number in range(120):
        newest = number
        assert group.commit(value(number))
    for turn in range(6):
        leader = group.wait_for_leader()
        back = next(name for name in sorted(group.names) if name != leader.name)
        group.kill(back)
        newest += 1
        assert group.commit(value(newest))
        if turn % 3 == 1:
            group.members[back].stored = dict(old[back])  # an old copy of its disk
        node = group.start(back, wiped=turn % 3 == 2)
        group.run(20.0 * turn)
        group.nodes[leader.name].resign(group.simulation.now)
        led = group.wait_for_leader()
        number = group.propose(led.name, None)
        assert group.run(5000.0, lambda led=led, number=number: number in group.members[led.name].answers)
        assert led.state_machine.values["config"].data.startswith(b"%d " % newest), (turn, led.name)
        assert group.run(
            10_000.0,
            lambda node=node: group.wait_for_leader().voters().get(node.name) == node.id
            and is_caught_up(group, node),
        )


def shows_walks_over_long_values_and_short_logs_lose_nothing() -> None:
    snapshots = 0
    for seed in range(300, 316):
        walk = Walk(seed, voters=3 if seed % 3 else 5, value_bytes=12_000)
        walk.run(30)
        snapshots += sum(node.snapshot is not None for node in walk.simulation.nodes.values())
    assert snapshots > 20, snapshots
