"""Plain asserts on membership in simulated time, and on the words of the fleet."""

import msgspec

from sableford.fleet.membership.core import Changed, Members, Twin
from sableford.fleet.membership.words import News, Ping, State, Words
from sableford.fleet.trial import Trial
from sableford.fleet.words import Post

encode = msgspec.msgpack.Encoder().encode


class Scene:
    def __init__(self, members: int, seed: int, loss: float = 0.0, listed: int | None = None) -> None:
        self.trial = Trial(seed, 1.0, loss, lambda word: len(encode(word)) + 20)
        self.told: list[tuple[float, str, object]] = []
        self.trial.seen = lambda who, effect: self.told.append((self.trial.now, who, effect))
        self.names = [f"s{at}" for at in range(members)]
        self.seed, self.listed = seed, self.names[:listed]
        for at, name in enumerate(self.names):
            self.start(name, seed * 1000 + at)
        self.trial.run(5000.0)
        self.told.clear()

    def start(self, name: str, birth: int) -> None:
        peers = {one: f"{one}:1" for one in self.listed}
        self.trial.add(Members(name, birth, f"{name}:1", peers, self.trial.now, self.seed))

    def changes(self, name: str, state: State) -> dict[str, float]:
        """Who called it so, and when at last."""
        told = [(who, at) for at, who, e in self.told if isinstance(e, Changed) and e.name == name]
        states = [e.state for _, _, e in self.told if isinstance(e, Changed) and e.name == name]
        return {who: at for (who, at), found in zip(told, states, strict=True) if found is state}


def shows_a_kill_is_known_to_all_six_within_two_seconds_and_nobody_else_is_called_dead() -> None:
    late = []
    for seed in range(40):
        scene = Scene(6, seed)
        scene.trial.kill("s3")
        scene.trial.run(8000.0)
        dead = scene.changes("s3", State.DEAD)
        assert len(dead) == 5, (seed, dead)
        late.append(max(dead.values()) - 5000.0)
        assert not any(scene.changes(name, State.DEAD) for name in scene.names if name != "s3"), seed
    late.sort()
    assert late[len(late) * 9 // 10] < 2000.0 and late[-1] < 2200.0, late


def shows_one_that_stood_still_for_a_second_with_a_quarter_of_the_words_lost_is_never_called_dead() -> None:
    for seed in range(60):
        scene = Scene(6, seed, loss=0.25)
        scene.trial.stop("s3")
        scene.trial.run(6000.0)
        scene.trial.go_on("s3")
        scene.trial.run(11_000.0)
        # Nor does it call others dead that it did not hear meanwhile.
        assert not any(scene.changes(name, State.DEAD) for name in scene.names), seed


def shows_a_name_that_comes_back_is_a_new_incarnation_and_two_processes_of_one_name_are_named() -> None:
    scene = Scene(5, 1)
    scene.trial.kill("s1")
    scene.trial.run(8000.0)
    scene.start("s1", 77)
    scene.trial.run(10_000.0)
    for name in ("s0", "s2", "s3", "s4"):
        one = scene.trial.cores[name].others["s1"]
        assert (one.state, one.birth) == (State.ALIVE, 77) and one.incarnation > 0, (name, one.incarnation)
    assert not any(isinstance(effect, Twin) for _, _, effect in scene.told)
    # A second process of the name, at the same others: words of both keep coming.
    core = scene.trial.cores["s0"]
    out = []
    for at in range(8):
        news = (News("s1", 99, 50, State.ALIVE, "s1:1"),)
        out += core.heard(scene.trial.now + at * 700.0, "s1", 99, Ping(at, news))
        out += core.heard(scene.trial.now + at * 700.0 + 300.0, "s1", 77, Ping(at))
    assert next(effect for effect in out if isinstance(effect, Twin)) == Twin("s1", (77, 99))


def shows_who_leaves_is_told_at_once_and_a_cut_that_heals_brings_both_sides_together() -> None:
    scene = Scene(6, 2)
    scene.trial.do("s4", scene.trial.cores["s4"].leave())
    scene.trial.kill("s4")
    scene.trial.run(5300.0)
    assert len(scene.changes("s4", State.LEFT)) == 5
    scene.trial.cut = lambda start, end: (start in ("s0", "s1")) != (end in ("s0", "s1"))
    scene.trial.run(12_000.0)
    assert set(scene.trial.cores["s0"].alive()) == {"s1"}
    assert set(scene.trial.cores["s2"].alive()) == {"s3", "s5"}
    scene.trial.cut = lambda start, end: False
    scene.trial.run(20_000.0)
    for name in ("s0", "s1", "s2", "s3", "s5"):
        assert len(scene.trial.cores[name].alive()) == 4, (name, scene.trial.cores[name].alive())


def shows_a_newcomer_that_lists_few_finds_all_and_words_a_second_do_not_grow_with_the_members() -> None:
    rates = []
    for members in (10, 40):
        scene = Scene(members, 3, listed=3)
        scene.trial.run(9000.0)
        assert all(len(core.alive()) == members - 1 for core in scene.trial.cores.values())
        before = sum(scene.trial.words.values())
        scene.trial.run(14_000.0)
        rates.append((sum(scene.trial.words.values()) - before) / members / 5.0)
    assert max(rates) < 12.5 and max(rates) / min(rates) < 1.1, rates


def shows_every_cut_and_changed_datagram_is_passed_over_and_a_long_word_comes_whole_in_any_order() -> None:
    post = Post("a", 1, Words)
    long = Ping(1, tuple(News(f"name-{at}", at, at, 1, "127.0.0.1:7000") for at in range(200)))
    parts = post.seal(long)
    assert len(parts) > 3
    heard = [post.open(part, "x") for part in reversed(parts)]
    assert heard[:-1] == [None] * (len(parts) - 1) and heard[-1] == ("a", 1, long)
    (sealed,) = post.seal(Ping(5))
    for at in range(len(sealed)):
        assert post.open(sealed[:at], "x") is None
        assert post.open(sealed[:at] + bytes([sealed[at] ^ 1]) + sealed[at + 1 :], "x") is None
    assert sum(post.passed_over.values()) == 2 * len(sealed), post.passed_over
    # Parts that never become whole are bounded.
    for number in range(500):
        post._number = number
        post.open(post.seal(long)[0], f"y{number}")
    assert len(post._parts) <= 65
