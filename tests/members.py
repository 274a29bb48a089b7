"""Membership in simulated time, and the datagram format of the fleet."""

import msgspec

from sableford.fleet.datagrams import DatagramCodec
from sableford.fleet.membership.core import DuplicateName, Membership, StateChanged
from sableford.fleet.membership.messages import MembershipMessage, MemberUpdate, Ping, State
from sableford.fleet.simulation import ClusterSimulation

encode = msgspec.msgpack.Encoder().encode


class Scene:
    def __init__(self, members: int, seed: int, loss: float = 0.0, listed: int | None = None) -> None:
        self.simulation = ClusterSimulation(seed, 1.0, loss, lambda message: len(encode(message)) + 20)
        self.effects: list[tuple[float, str, object]] = []
        self.simulation.on_effect = lambda reporter, effect: self.effects.append(
            (self.simulation.now, reporter, effect)
        )
        self.names = [f"s{at}" for at in range(members)]
        self.seed, self.listed = seed, self.names[:listed]
        for at, name in enumerate(self.names):
            self.start(name, seed * 1000 + at)
        self.simulation.run(5000.0)
        self.effects.clear()

    def start(self, name: str, process_id: int) -> None:
        peers = {member: f"{member}:1" for member in self.listed}
        self.simulation.add(Membership(name, process_id, f"{name}:1", peers, self.simulation.now, self.seed))

    def changes(self, name: str, state: State) -> dict[str, float]:
        """The members that reported this state, with the time of their last report."""
        reports = [
            (reporter, at)
            for at, reporter, effect in self.effects
            if isinstance(effect, StateChanged) and effect.name == name
        ]
        states = [
            effect.state
            for _, _, effect in self.effects
            if isinstance(effect, StateChanged) and effect.name == name
        ]
        return {reporter: at for (reporter, at), found in zip(reports, states, strict=True) if found is state}


def shows_a_killed_member_is_detected_by_all_within_two_seconds_and_no_other_is_declared_dead() -> None:
    latencies = []
    for seed in range(40):
        scene = Scene(6, seed)
        scene.simulation.kill("s3")
        scene.simulation.run(8000.0)
        dead = scene.changes("s3", State.DEAD)
        assert len(dead) == 5, (seed, dead)
        latencies.append(max(dead.values()) - 5000.0)
        assert not any(scene.changes(name, State.DEAD) for name in scene.names if name != "s3"), seed
    latencies.sort()
    assert latencies[len(latencies) * 9 // 10] < 2000.0 and latencies[-1] < 2200.0, latencies


def shows_a_member_paused_for_a_second_is_not_declared_dead_with_a_quarter_of_messages_lost() -> None:
    for seed in range(60):
        scene = Scene(6, seed, loss=0.25)
        scene.simulation.pause("s3")
        scene.simulation.run(6000.0)
        scene.simulation.resume("s3")
        scene.simulation.run(11_000.0)
        # Nor does it declare others dead whose messages it missed meanwhile.
        assert not any(scene.changes(name, State.DEAD) for name in scene.names), seed


def shows_a_restarted_member_gets_a_new_incarnation_and_two_processes_of_one_name_are_reported() -> None:
    scene = Scene(5, 1)
    scene.simulation.kill("s1")
    scene.simulation.run(8000.0)
    scene.start("s1", 77)
    scene.simulation.run(10_000.0)
    for name in ("s0", "s2", "s3", "s4"):
        member = scene.simulation.nodes[name].others["s1"]
        assert (member.state, member.process_id) == (State.ALIVE, 77) and member.incarnation > 0, (
            name,
            member.incarnation,
        )
    assert not any(isinstance(effect, DuplicateName) for _, _, effect in scene.effects)
    # A second process of the same name sends to the same members, in turn with the first.
    node = scene.simulation.nodes["s0"]
    effects = []
    for at in range(8):
        updates = (MemberUpdate("s1", 99, 50, State.ALIVE, "s1:1"),)
        effects += node.handle_message(scene.simulation.now + at * 700.0, "s1", 99, Ping(at, updates))
        effects += node.handle_message(scene.simulation.now + at * 700.0 + 300.0, "s1", 77, Ping(at))
    assert next(effect for effect in effects if isinstance(effect, DuplicateName)) == DuplicateName(
        "s1", (77, 99)
    )


def shows_a_leaving_member_is_known_at_once_and_both_sides_of_a_healed_partition_merge() -> None:
    scene = Scene(6, 2)
    scene.simulation.apply("s4", scene.simulation.nodes["s4"].leave())
    scene.simulation.kill("s4")
    scene.simulation.run(5300.0)
    assert len(scene.changes("s4", State.LEFT)) == 5
    scene.simulation.is_cut = lambda start, end: (start in ("s0", "s1")) != (end in ("s0", "s1"))
    scene.simulation.run(12_000.0)
    assert set(scene.simulation.nodes["s0"].alive()) == {"s1"}
    assert set(scene.simulation.nodes["s2"].alive()) == {"s3", "s5"}
    scene.simulation.is_cut = lambda start, end: False
    scene.simulation.run(20_000.0)
    for name in ("s0", "s1", "s2", "s3", "s5"):
        assert len(scene.simulation.nodes[name].alive()) == 4, (name, scene.simulation.nodes[name].alive())


def shows_a_member_with_few_seeds_finds_all_and_the_message_rate_does_not_grow_with_the_fleet() -> None:
    rates = []
    for members in (10, 40):
        scene = Scene(members, 3, listed=3)
        scene.simulation.run(9000.0)
        assert all(len(node.alive()) == members - 1 for node in scene.simulation.nodes.values())
        before = sum(scene.simulation.sent_messages.values())
        scene.simulation.run(14_000.0)
        rates.append((sum(scene.simulation.sent_messages.values()) - before) / members / 5.0)
    assert max(rates) < 12.5 and max(rates) / min(rates) < 1.1, rates


def shows_truncated_and_corrupt_datagrams_are_discarded_and_fragments_arrive_in_any_order() -> None:
    codec = DatagramCodec("a", 1, MembershipMessage)
    long = Ping(1, tuple(MemberUpdate(f"name-{at}", at, at, 1, "127.0.0.1:7000") for at in range(200)))
    fragments = codec.encode(long)
    assert len(fragments) > 3
    decoded = [codec.decode(fragment, "x") for fragment in reversed(fragments)]
    assert decoded[:-1] == [None] * (len(fragments) - 1) and decoded[-1] == ("a", 1, long)
    (datagram,) = codec.encode(Ping(5))
    for at in range(len(datagram)):
        assert codec.decode(datagram[:at], "x") is None
        assert codec.decode(datagram[:at] + bytes([datagram[at] ^ 1]) + datagram[at + 1 :], "x") is None
    assert sum(codec.discarded.values()) == 2 * len(datagram), codec.discarded
    # The number of incomplete messages is bounded.
    for number in range(500):
        codec._number = number
        codec.decode(codec.encode(long)[0], f"y{number}")
    assert len(codec._fragments) <= 65
