"""Membership's decisions: whom to probe, whom to suspect, when to call one dead, what to believe of others.

It owns what one process holds of the members. It has no clock, socket or thread: times come in, effects go
out. After "SWIM" (Das, Gupta, Motivala 2002) and "Lifeguard" (Dadgar, Phillips, Currey 2017), with one
addition: who hears of a suspicion probes that one next, so that it is confirmed or refuted within a period.
"""

from collections.abc import Iterable
from heapq import nsmallest
from math import ceil, log, log2, log10
from random import Random
from typing import NamedTuple
from zlib import crc32

from sableford.fleet.membership.words import Ack, Ask, Nack, News, Ping, State, Sync, Words

PERIOD = 200.0  # ms between two probes: three periods and a suspicion are under 2 s with six members
DIRECT = 70.0  # ms for a probe's answer before others are asked: some ten ways there and back
HELPERS = 3  # asked to probe for one; Lifeguard's and SWIM's own figure
SUSPECTED = 1000.0  # ms at the least: one that stood still for a second has time to say so
DOUBT = 3.0  # a suspicion that nobody confirms lasts so many times as long
CONFIRMED = 3  # so many others make a suspicion as short as it gets
MOST_LATE = 8  # of the local health's score; Lifeguard's figure
MOST_LOSSY = 3  # suspicions last up to four times as long where ways lose; longer would hide the dead
SOUND = 4  # answers in a row without help for one step back
CARRIED = 6  # news beside one word: 300 bytes
SAID = 3  # times log2 of the members: how often one piece of news is passed on; SWIM's lambda
SYNC = 10  # periods between two exchanges with somebody at random
SYNCED = 16  # members spoken of in one word, so that its size does not grow with the fleet
BUCKETS = 16  # of names, each with a digest: 80 bytes say which part of two views differs
TWINS = 1000.0  # ms after another birth was heard that the earlier one speaks again: no straggler is so late
FORGET = 60_000.0  # ms a dead or left one is remembered, lest old news bring it back
MOST_MEMBERS = 4096  # names: what a spoilt or ill-meant sender can make this process hold


class Member:
    """One other as this process holds it."""

    __slots__ = ("before", "birth", "by", "heard", "incarnation", "name", "newest", "place", "since", "state")

    def __init__(self, name: str, place: str) -> None:
        self.name, self.place = name, place
        self.birth, self.incarnation, self.state = 0, -1, State.DEAD  # nothing heard yet
        self.since = 0.0  # of the state
        self.by: set[str] = set()  # who suspects it
        self.heard: dict[int, float] = {}  # by birth: when it spoke itself first
        self.before = 0  # the birth before this one
        self.newest = 0  # how far its record is, by its own word


class Send(NamedTuple):
    """An effect: say it to that one."""

    to: str
    place: str
    message: Words


class Changed(NamedTuple):
    """An effect: a member's state is another; `why` in a few words."""

    name: str
    state: State
    birth: int
    why: str


class Twin(NamedTuple):
    """An effect: two processes of one name speak."""

    name: str
    births: tuple[int, int]


Effect = Send | Changed | Twin


class _Probe:
    __slots__ = ("asked", "incarnation", "nacks", "name", "number")

    def __init__(self, name: str, number: int, incarnation: int) -> None:
        self.name, self.number, self.incarnation = name, number, incarnation
        self.asked: set[str] = set()
        self.nacks: set[str] = set()


class Members:
    """One process's view. `tick` at `due` or soon after, `heard` for each word, `leave` once at the end."""

    def __init__(
        self, name: str, birth: int, place: str, peers: dict[str, str], now: float, seed: int
    ) -> None:
        """`peers`: where each listed one listens, by name; any of them takes a newcomer in."""
        self.name, self.birth, self.place, self.incarnation = name, birth, place, 0
        self._draw = Random(f"{name} {birth} {seed}")
        self.others = {peer: Member(peer, at) for peer, at in peers.items() if peer != name}
        self._listed = dict(peers)
        self.newest = 0  # how far the own record is
        self.late = 0  # Lifeguard's local health: 0 is well
        self._lossy = self._direct = 0  # how the ways are, and answers in a row that needed no help
        self._number = 0
        self._turns: list[str] = []
        self._probe: _Probe | None = None
        self._direct_at = 0.0  # when others are asked
        self._next_at = now + self._draw.random() * PERIOD
        self._periods = 0
        self._relayed: dict[int, tuple[str, int, float]] = {}  # own number: asker, its number, until
        self._suspects: dict[str, Member] = {}
        self._said: dict[str, int] = {}  # news to pass on, by name: how often it was
        self._urgent: list[str] = []
        self._left = False
        self.due = now
        self._joined = False

    # What it holds

    def alive(self) -> list[str]:
        """All that may be spoken to: also who is suspected."""
        return [one.name for one in self.others.values() if one.state in (State.ALIVE, State.SUSPECT)]

    def health(self) -> float:
        """How many times as long everything is given while this process is itself late."""
        return 1.0 + self.late

    def _news(self, one: Member) -> News:
        by = self.name if self.name in one.by else min(one.by, default="")
        return News(one.name, one.birth, one.incarnation, one.state, one.place, by)

    def _self(self) -> News:
        state = State.LEFT if self._left else State.ALIVE
        return News(self.name, self.birth, self.incarnation, state, self.place)

    # What comes in

    def tick(self, now: float) -> list[Effect]:
        """Whatever is due. A tick that comes late is this process's own fault, never another's."""
        out: list[Effect] = []
        late = now - self.due
        if late > DIRECT:
            self._shift(late)
            self._fail(1)
        if not self._joined:
            self._joined = True
            out += self._sync(self.others, True)
        probe = self._probe
        if probe is not None and not probe.asked and now >= self._direct_at:
            out += self._ask_others(probe)
        if now >= self._next_at:
            out += self._close(now)
            self._next_at = now + PERIOD * self.health()
            self._periods += 1
            out += self._open(now)
            if self._periods % SYNC == 0:
                out += self._sync(self._some(self.alive(), 1), False)
                self._forget(now)
        out += self._expire(now)
        for number, (asker, theirs, until) in list(self._relayed.items()):
            if now >= until:
                del self._relayed[number]
                if (one := self.others.get(asker)) is not None:
                    out.append(Send(asker, one.place, Nack(theirs, self._carried(asker))))
        self.due = self._due()
        return out

    def heard(self, now: float, sender: str, birth: int, word: Words) -> list[Effect]:
        """A word from another; nothing in it is taken for more than a claim."""
        out: list[Effect] = []
        if sender == self.name:
            if birth != self.birth:
                out.append(Twin(self.name, (min(birth, self.birth), max(birth, self.birth))))
            return out
        one = self._known(sender)
        if one is None:
            return out
        out += self._spoke(now, one, birth)
        for news in word.news[: CARRIED + SYNCED + 1]:
            out += self._believe(now, news, sender)
        match word:
            case Ping(number):
                out.append(Send(sender, one.place, Ack(number, self._carried(sender), self.newest)))
                one.newest = word.newest
            case Ack(number):
                one.newest = word.newest
                out += self._acked(sender, number)
            case Ask(number, target=target):
                if (other := self.others.get(target)) is not None:
                    self._number += 1
                    self._relayed[self._number] = sender, number, now + DIRECT
                    out.append(Send(target, other.place, self._ping(target)))
            case Nack(number):
                if self._probe is not None and self._probe.number == number:
                    self._probe.nacks.add(sender)
            case Sync() if not word.answer:
                out += self._answer(sender, one, word)
        self.due = min(self.due, self._due())
        return out

    def leave(self) -> list[Effect]:
        """Told to everyone that is there, once, and passed on by them."""
        self._left = True
        self.incarnation += 1
        self._number += 1
        return [
            Send(name, self.others[name].place, Ping(self._number, (self._self(),))) for name in self.alive()
        ]

    # Probes

    def _due(self) -> float:
        times = [self._next_at, *(until for _, _, until in self._relayed.values())]
        if self._probe is not None and not self._probe.asked:
            times.append(self._direct_at)
        times += [self._end(one) for one in self._suspects.values()]
        return min(times)

    def _shift(self, late: float) -> None:
        """It stood still: what others could not answer to it in that time is not held against them."""
        self._next_at += late
        self._direct_at += late
        self._relayed.clear()
        if self._probe is not None:
            self._probe = None
        for one in self._suspects.values():
            one.since += late

    def _fail(self, by: int) -> None:
        self.late = max(0, min(MOST_LATE, self.late + by))

    def _ping(self, to: str) -> Ping:
        return Ping(self._number, self._carried(to), self.newest)

    def _open(self, now: float) -> list[Effect]:
        """The next probe: who is newly suspected first, else the next of a shuffled round."""
        name = ""
        while self._urgent and not name:
            urgent = self._urgent.pop(0)
            if urgent in self.others and self.others[urgent].state is State.SUSPECT:
                name = urgent
        while not name:
            if not self._turns:
                # Listed ones that are thought dead are asked now and then: a cut may be over.
                self._turns = self.alive()
                gone = [one for one in self._listed if one in self.others and one not in self._turns]
                self._turns += self._some(gone, 1)
                self._draw.shuffle(self._turns)
                if not self._turns:
                    return []
            name = self._turns.pop()
            if name not in self.others:
                name = ""
        self._number += 1
        one = self.others[name]
        self._probe = _Probe(name, self._number, self.others[name].incarnation)
        self._direct_at = now + DIRECT * self.health()
        return [Send(name, one.place, self._ping(name))]

    def _ask_others(self, probe: _Probe) -> list[Effect]:
        helpers = self._some([name for name in self.alive() if name != probe.name], HELPERS)
        probe.asked = set(helpers) or {probe.name}
        ask = [
            Send(name, self.others[name].place, Ask(probe.number, self._carried(name), probe.name))
            for name in helpers
        ]
        # Once more itself: one datagram lost is the likeliest cause.
        return [*ask, Send(probe.name, self.others[probe.name].place, self._ping(probe.name))]

    def _acked(self, sender: str, number: int) -> list[Effect]:
        probe = self._probe
        if probe is not None and probe.number == number and sender in (probe.name, *probe.asked):
            self._probe = None
            self._fail(-1)
            # An answer that needed help is a way that loses, and a refutation may be lost there too.
            self._direct = 0 if probe.asked else self._direct + 1
            if probe.asked:
                self._lossy = min(MOST_LOSSY, self._lossy + 1)
            elif self._direct % SOUND == 0:
                self._lossy = max(0, self._lossy - 1)
        if (asked := self._relayed.pop(number, None)) is not None:
            asker, theirs, _ = asked
            if (one := self.others.get(asker)) is not None:
                return [Send(asker, one.place, Ack(theirs, self._carried(asker), self.newest))]
        return []

    def _close(self, now: float) -> list[Effect]:
        """The period is over: whoever was probed and not heard is suspected."""
        probe, self._probe = self._probe, None
        if probe is None:
            return []
        one = self.others.get(probe.name)
        if one is None or one.state not in (State.ALIVE, State.SUSPECT):
            return []
        if one.incarnation != probe.incarnation:  # it has come back meanwhile
            return []
        # Helpers that said nothing at all: the fault is likelier here.
        self._fail(len(probe.asked - {probe.name}) > 0 and not probe.nacks)
        return self._suspect(now, one, self.name)

    # Suspicion

    def _suspect(self, now: float, one: Member, by: str) -> list[Effect]:
        first = one.state is State.ALIVE
        if first:
            one.state, one.since, one.by = State.SUSPECT, now, set()
            self._suspects[one.name] = one
        if by in one.by:
            return []
        one.by.add(by)
        self._said[one.name] = 0
        if first and by != self.name:
            self._urgent.append(one.name)
        return [Changed(one.name, State.SUSPECT, one.birth, f"suspected by {by}")] if first else []

    def _end(self, one: Member) -> float:
        """When the suspicion becomes death: the sooner, the more others confirm it."""
        least = SUSPECTED * max(1.0, log10(len(self.others) + 1)) * (self.health() + self._lossy)
        need = max(1, min(CONFIRMED, len(self.others) - 2))
        confirmed = min(need, len(one.by) - 1)
        part = log(confirmed + 1) / log(need + 1)
        return one.since + least * (DOUBT - (DOUBT - 1.0) * part)

    def _expire(self, now: float) -> list[Effect]:
        out: list[Effect] = []
        for one in list(self._suspects.values()):
            if now >= self._end(one):
                out += self._bury(now, one, State.DEAD, f"suspected by {', '.join(sorted(one.by))}")
        return out

    def _forget(self, now: float) -> None:
        """Listed ones are kept: they may come back where they were."""
        for one in list(self.others.values()):
            gone = one.state in (State.DEAD, State.LEFT) and now - one.since > FORGET
            if gone and one.name not in self._listed:
                del self.others[one.name]

    def _bury(self, now: float, one: Member, state: State, why: str) -> list[Effect]:
        one.state, one.since, one.by = state, now, set()
        self._suspects.pop(one.name, None)
        self._said[one.name] = 0
        return [Changed(one.name, state, one.birth, why)]

    # What is believed

    def _known(self, name: str) -> Member | None:
        one = self.others.get(name)
        if one is None and len(self.others) < MOST_MEMBERS:
            one = self.others[name] = Member(name, self._listed.get(name, ""))
        return one

    def _spoke(self, now: float, one: Member, birth: int) -> list[Effect]:
        """It said something itself: which process of the name that was."""
        known = birth in one.heard
        one.heard.setdefault(birth, now)
        if len(one.heard) > 1 and known:
            later, other = max((at, other) for other, at in one.heard.items() if other != birth)
            if later > one.heard[birth] and now - later > TWINS:
                one.heard = {birth: now}
                return [Twin(one.name, (min(birth, other), max(birth, other)))]
        if len(one.heard) > 4:
            one.heard = {birth: now}
        return []

    def _believe(self, now: float, news: News, sender: str) -> list[Effect]:
        if news.state not in list(State):
            return []
        if news.name == self.name:
            return self._refute(news, sender)
        one = self._known(news.name)
        if one is None or (news.incarnation, news.state) < (one.incarnation, one.state):
            return []
        if (news.incarnation, news.state) == (one.incarnation, one.state):
            if news.state == State.SUSPECT and news.by:
                return self._suspect(now, one, news.by)
            return []
        born, later = news.birth != one.birth, news.incarnation > one.incarnation
        before, one.incarnation = one.state, news.incarnation
        if born:
            one.before, one.birth = one.birth, news.birth
        if news.place and news.name not in self._listed:
            one.place = news.place
        self._said[one.name] = 0
        match State(news.state):
            case State.ALIVE:
                one.state, one.by = State.ALIVE, set()
                self._suspects.pop(one.name, None)
                if before is State.ALIVE and not born:
                    return []
                one.since = now
                said = "a new process" if born else "heard again"
                return [Changed(one.name, State.ALIVE, one.birth, said)]
            case State.SUSPECT:
                if before is not State.SUSPECT or later:
                    one.state = State.ALIVE
                return self._suspect(now, one, news.by or sender)
            case state:
                return self._bury(now, one, state, f"told by {sender}")

    def _refute(self, news: News, sender: str) -> list[Effect]:
        """What others hold of this process: anything but alive is answered with a later incarnation."""
        if news.birth == self.birth and news.state == State.ALIVE:
            self.incarnation = max(self.incarnation, news.incarnation)
            return []
        if news.incarnation < self.incarnation or self._left:
            return []
        self.incarnation = news.incarnation + 1
        if news.birth == self.birth:
            self._fail(1)  # it was slow enough to be missed
        told = {sender, news.by, *self._some(self.alive(), HELPERS)} & self.others.keys()
        self._number += 1
        return [
            Send(name, self.others[name].place, Ping(self._number, (self._self(),), self.newest))
            for name in sorted(told)
        ]

    # What is passed on

    def _carried(self, to: str) -> tuple[News, ...]:
        """News beside a word: of itself, of the other where it is suspected, then what was said least."""
        most = SAID * ceil(log2(len(self.others) + 2))
        news = [self._self()]
        one = self.others.get(to)
        if one is not None and one.state is not State.ALIVE and one.incarnation >= 0:
            news.append(self._news(one))  # so that it can refute it
        for name in nsmallest(CARRIED, self._said, key=self._said.get):
            self._said[name] += 1
            if name != to and name in self.others:
                news.append(self._news(self.others[name]))
            if self._said[name] >= most:
                del self._said[name]
        return tuple(news)

    def _some(self, names: Iterable, most: int) -> list:
        names = list(names)
        return names if len(names) <= most else self._draw.sample(names, most)

    def _sync(self, names: Iterable[str], join: bool) -> list[Effect]:
        """Some of what is known to somebody, so that news that got lost comes round all the same."""
        self._number += 1
        word = Sync(self._number, (self._self(),), () if join else tuple(self._digests()))
        chosen = self._some(names, HELPERS) if join else names
        return [Send(name, self.others[name].place, word) for name in chosen]

    def _digests(self) -> list[int]:
        """Of each bucket of names; the same where two hold the same of all in it."""
        digests = [0] * BUCKETS
        held = [(one.name, one.incarnation, one.state) for one in self.others.values()]
        for name, incarnation, state in (*held, (self.name, self.incarnation, self._self().state)):
            if incarnation >= 0 and state != State.LEFT:
                digests[_bucket(name)] ^= crc32(f"{name} {incarnation} {int(state)}".encode())
        return digests

    def _answer(self, sender: str, one: Member, word: Sync) -> list[Effect]:
        """A newcomer hears of everyone, some in a word; another hears of some in the buckets that differ."""
        known = [other for other in self.others.values() if other.incarnation >= 0]
        if len(word.digests) == BUCKETS:
            own = self._digests()
            differs = {at for at in range(BUCKETS) if own[at] != word.digests[at]}
            known = self._some((other for other in known if _bucket(other.name) in differs), SYNCED)
        news = [self._self(), *map(self._news, known)]
        cut = [tuple(news[at : at + SYNCED]) for at in range(0, len(news), SYNCED)]
        return [Send(sender, one.place, Sync(word.number, part, answer=True)) for part in cut]


def _bucket(name: str) -> int:
    return crc32(name.encode()) % BUCKETS
