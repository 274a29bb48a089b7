"""The record's decisions: who leads, what is agreed, who may vote. Raft as published (Ongaro, Ousterhout
2014) with pre-vote, leaders that step down without a majority, voters changed one at a time, learners that
fetch.

It owns what one process holds of the record. It has no clock, disk or socket: times, words and the disk's
answers come in, effects go out. What a disk has not said to be stored is never spoken of to others.

Who may vote stands in `STANDING`; a process that is unsure of its own past does not.
"""

from collections import deque
from collections.abc import Iterable
from enum import Enum
from random import Random
from typing import NamedTuple

import msgspec

from sableford.fleet.record.machine import MOST_VALUE, WINDOW, Image, Machine
from sableford.fleet.record.words import (
    Append,
    Appended,
    Entry,
    Fetch,
    Fetched,
    Hail,
    Hailed,
    Kind,
    Offer,
    Offered,
    Put,
    Snap,
    Vote,
    Voted,
    Words,
)

BEAT = 100.0  # ms between two words of a leader: five in the shortest election time
ELECTION = 500.0  # ms without a leader before one stands, up to twice as long by chance
ROUNDS = 40  # of which it is remembered when they went out
STRAY = 1000.0  # ms a leader goes on without a majority; then it leads no more
LATE = 200.0  # ms: a tick so late is this process's own fault, and no reason to stand
HAIL = 200.0  # ms between two hails
HAIL_WAIT = 1000.0  # ms for every voter's answer to a hail; then a majority's is enough
PULL = 500.0  # ms between two fetches of a learner that hears of nothing new
AGAIN = 100.0  # ms for an answer to a fetch under way
OFFER = 300.0  # ms for a leader's answer to an offer before it is said again
MOST_OFFERS = WINDOW // 2  # under way at once at one process
BATCH = 900  # bytes of entries in one word: one datagram
AHEAD = 8  # words of entries at once to a follower
AHEAD_ENTRIES = 512  # entries under way to it at most
SNAP_AFTER = 10_000  # entries: a restart reads no more than twice as many
SNAP_KEEP = 1_000  # entries kept before a snapshot, for one that is a little behind
PIECE = 900  # bytes of a snapshot in one word
PIECES = 16  # pieces sent for one fetch


UNKNOWN = "?"  # the id of a voter, to one that has lost what it knew
MOVED = "the key has moved on"


class Standing(Enum):
    """Whether this process may vote, and if not, why. What it says to others is true in each of them."""

    LEARNER = "not a voter"
    NEW = "waits for all voters to be new too"
    HAILING = "asks the others how far it was"
    SOUND = "votes"
    MAIMED = "fetches what its disk lost"
    STRANGER = "its folder was lost or set back; it comes back as a newcomer"
    NO_DISK = "its disk does not take what it must keep"


VOTES = {Standing.SOUND}
ACKS = {Standing.SOUND, Standing.MAIMED, Standing.NEW, Standing.HAILING}  # what it holds it does hold


class Held(NamedTuple):
    """What a folder held at the start. `lost` is what it must once have held beyond that: a term and an
    entry."""

    id: str
    term: int = 0
    vote: str = ""
    image: Image | None = None
    first: int = 1  # the index of the first entry, and the term of the one before it
    before: int = 0
    entries: tuple[Entry, ...] = ()
    lost: tuple[int, int] | None = None


# Effects


class Send(NamedTuple):
    to: str
    word: Words


class Store(NamedTuple):
    """To be on disk, in this order, before `stored(number)` is called."""

    number: int
    deeds: tuple


class Meta(NamedTuple):
    term: int
    vote: str


class Add(NamedTuple):
    index: int
    entry: Entry


class Cut(NamedTuple):
    """Entries after `index` go."""

    index: int


class Whole(NamedTuple):
    """Everything anew: another id, or a snapshot in place of what was there."""

    id: str
    meta: Meta
    image: Image | None
    first: int
    before: int
    entries: tuple[Entry, ...]
    lost: tuple[int, int] | None = None  # still, of an earlier start


class Answer(NamedTuple):
    """An offer made here has its end: where it stands, or why not."""

    number: int
    yes: bool
    index: int
    why: str


class Settled(NamedTuple):
    """One more entry is in force here."""

    index: int
    entry: Entry
    held: bool


class Said(NamedTuple):
    """For people."""

    event: str
    facts: dict


Effect = Send | Store | Answer | Settled | Said


class _Follower:
    __slots__ = ("back_at", "heard", "match", "next", "round", "said_to")

    def __init__(self, last: int, now: float) -> None:
        self.back_at = -1e12  # when it was last fed anew from where it said
        self.next, self.match, self.round, self.heard = last + 1, 0, 0, now
        self.said_to = -1e12  # when the newest word went out that it has answered


class _Offer:
    __slots__ = ("data", "kind", "need", "said_at")

    def __init__(self, kind: int, data: bytes | None) -> None:
        self.kind, self.data, self.said_at = kind, data, -1e12
        self.need = 0  # of a read: the entry that has to be in force here


class Record:
    """One process's side. `tick` at `due`, `heard` for each word, `stored` and `failed` from the disk."""

    def __init__(
        self,
        name: str,
        birth: int,
        voters: Iterable[str],
        held: Held,
        now: float,
        seed: int,
        most: int = MOST_VALUE,
        newcomer: bool = False,
    ) -> None:
        """`voters`: the names that the file gives; their ids are agreed on when all meet for the first
        time. `most` bytes of one value: what the way between the processes carries. `newcomer`: its folder
        is empty, others began long ago; it votes once they have voted it in."""
        self.name, self.birth, self.id, self._most = name, birth, held.id, most
        self._draw = Random(f"record {name} {birth} {seed}")
        self._names = tuple(voters)
        self.machine = Machine()
        self.term, self.vote = held.term, held.vote
        self.first = held.first  # the index of the first entry kept
        self._before = held.before  # the term of the entry before it
        self.entries: list[Entry] = list(held.entries)
        self.image: Image | None = held.image
        self._based: dict[str, str] = dict.fromkeys(self._names, "")  # voters by the snapshot or the file
        if held.image is not None:
            self._take(held.image)
        self.wanted = tuple(voters)  # who should vote, as its host sees it; a leader works towards that
        self.around: tuple[str, ...] = ()  # others who hold the record, as its host sees it
        if newcomer and held.image is None and not self.entries:
            self._based = dict.fromkeys(self._names, UNKNOWN)
        self.commit = self.machine.last
        self.durable = self.last
        self._lost = held.lost
        if self._lost is not None and self._lost[0] >= self.term:
            # It may have voted in that term: for whom is lost, so it does so no more.
            self.term, self.vote = self._lost[0], "?"
        self.standing = self._was = Standing.LEARNER  # and the one before its disk failed
        bound = any(self._latest_voters().values())
        if newcomer and UNKNOWN in self._based.values():
            self.standing = Standing.STRANGER
        elif name in (self._latest_voters() if bound else self._names):
            self.standing = Standing.HAILING if bound else Standing.NEW
        self.leader = ""
        self.leads = False
        self._voters = self._latest_voters()
        self._stamps: dict[str, tuple[str, int, int]] = {}  # the furthest that was heard of each voter
        self._hails: dict[str, Hailed] = {}
        self._hail_from, self._hail_at = now, now
        self._stood: dict[str, bool] = {}  # who said what in the election under way
        self._pre = False
        self._followers: dict[str, _Follower] = {}
        self._round = self._beat_at = 0
        self._round_at: dict[int, float] = {}  # when the last rounds went out
        self._reads: list[tuple[int, int, str, int]] = []  # round, offer, asker, its birth
        self._learners: dict[str, tuple[str, int, float]] = {}  # by name: id, how far, when
        self._waiting: deque[tuple[int, list[Effect]]] = deque()  # until the disk has said so
        self._stores = 0
        self._offers: dict[int, _Offer] = {}
        self._next_offer = 0
        self._taken: dict[tuple[str, int], int] = {}  # of a leader: offers under way, their index
        self._pull_at = now
        self._source, self._served = "", False  # whom it asked last, and whether that one answered
        self._snap: tuple[int, int, bytearray] | None = None  # under way: last, size, bytes
        self._blob: tuple[int, bytes] | None = None
        self._due_at = self._election(now)
        self._last_tick = now
        self._led_at = now  # when the leader was heard last
        self.due = now

    # What it holds

    @property
    def last(self) -> int:
        return self.first + len(self.entries) - 1

    def at(self, index: int) -> Entry | None:
        return self.entries[index - self.first] if self.first <= index <= self.last else None

    def term_at(self, index: int) -> int:
        """Of an entry that is kept or just before the first; -1 of any other."""
        if index == self.first - 1:
            return self._before
        entry = self.at(index)
        return entry.term if entry else -1

    def voters(self) -> dict[str, str]:
        return self._voters

    def settled_voters(self) -> dict[str, str] | None:
        """Who votes, agreed on; none while that is changing."""
        if not self.bound() or any(
            entry.kind == Kind.VOTERS for entry in self.entries[max(0, self.commit + 1 - self.first) :]
        ):
            return None
        return dict(self._voters)

    def _peers(self) -> list[str]:
        """Others who may hold the record."""
        known = dict.fromkeys([*self._names, *self._voters, *self.around])
        return [name for name in known if name != self.name]

    def bound(self) -> bool:
        return any(self._voters.values())

    def _latest_voters(self) -> dict[str, str]:
        """By the last entry that says so, agreed on or not."""
        for entry in reversed(self.entries):
            if entry.kind == Kind.VOTERS:
                return msgspec.msgpack.decode(entry.data, type=dict[str, str])
        return dict(self._based)

    def _is_voter(self, name: str, id: str) -> bool:
        return name in self._voters and self._voters[name] in ("", id)

    def _majority(self, yes: Iterable[str]) -> bool:
        return len(self._voters.keys() & set(yes)) * 2 > len(self._voters)

    def _election(self, now: float) -> float:
        return now + ELECTION * (1.0 + self._draw.random())

    # Time

    def tick(self, now: float) -> list[Effect]:
        out: list[Effect] = []
        if now - self._last_tick > LATE + BEAT and not self.leads:
            self._due_at = max(self._due_at, self._election(now))  # it stood still itself
        self._last_tick = now
        if self.standing in (Standing.NEW, Standing.HAILING) and now >= self._hail_at:
            out += self._hail(now)
        if self.standing in (Standing.STRANGER, Standing.LEARNER) and self._is_voter(self.name, self.id):
            out += self._voter_again()
        if self.leads:
            out += self._lead(now)
        elif self.standing in VOTES and now >= self._due_at and self._is_voter(self.name, self.id):
            out += self._stand(now)
        elif not self._is_voter(self.name, self.id) or self._snap is not None:
            out += self._pull(now)
        out += self._repeat(now)
        waits = not self.leads and self._is_voter(self.name, self.id)
        self.due = min(now + BEAT, max(now + 1.0, self._due_at)) if waits else now + BEAT
        return out

    def over(self, now: float, name: str) -> None:
        """Proof that the process of that name has ended: nothing is gained by waiting for it as a leader."""
        if name == self.leader and not self.leads:
            self.leader, self._led_at = "", -1e12
            self._due_at = min(self._due_at, now + BEAT * self._draw.random())
            self.due = min(self.due, self._due_at)

    def met(self, now: float) -> None:
        """A way to another process is open: what waits for its answer asks now."""
        if self.standing in (Standing.NEW, Standing.HAILING):
            self._hail_at = self.due = now

    def _hail(self, now: float) -> list[Effect]:
        self._hail_at = now + HAIL
        out: list[Effect] = []
        word = Hail(self.id, self.term, self.durable, self.bound())
        out += [Send(name, word) for name in self._peers()]
        return out + self._weigh(now)

    def _weigh(self, now: float) -> list[Effect]:
        """What the answers to a hail come to."""
        voters = self._voters if self.bound() else self._names
        others = [name for name in voters if name != self.name]
        named = any(hail.bound for hail in self._hails.values())  # with this folder, or it were a stranger
        if self.standing is Standing.NEW and not named:
            # A record that all are new to begins with all of them, or another one's past would be lost.
            if all(name in self._hails for name in others):
                return self._stands(Standing.SOUND, "all voters are new")
            return []
        answers = {name for name in others if name in self._hails}
        if self._majority(answers | {self.name}) and (
            len(answers) == len(others) or now >= self._hail_from + HAIL_WAIT
        ):
            if self._lost is not None and not self._regained():
                return self._stands(Standing.MAIMED, f"its disk lost entries up to {self._lost[1]}")
            if self.standing is Standing.HAILING:
                # Where all began anew no leader will be heard; where one leads, its next beat comes sooner.
                self._due_at = min(self._due_at, now + BEAT * (1.0 + 2.0 * self._draw.random()))
                self.due = min(self.due, self._due_at)
            return self._stands(Standing.SOUND, "nobody heard more of it")
        return []

    def _regained(self) -> bool:
        """Leaders of that term or later alone have filled it up again: earlier ones are not heeded."""
        return self.durable >= self._lost[1]

    def _stands(self, standing: Standing, why: str) -> list[Effect]:
        if standing is self.standing:
            return []
        self.standing = standing
        return [Said("record_standing", {"standing": standing.name, "means": standing.value, "why": why})]

    # Words

    def heard(self, now: float, sender: str, birth: int, word: Words) -> list[Effect]:
        """A word from another process of the fleet."""
        match word:
            case Hail():
                return self._hailed(now, sender, word)
            case Hailed():
                return self._weighed(now, sender, word)
            case Vote():
                return self._asked(now, sender, word)
            case Voted():
                return self._counted(now, sender, word)
            case Append():
                return self._appended(now, sender, word)
            case Appended():
                return self._followed(now, sender, word)
            case Fetch():
                return self._fetched(now, sender, word)
            case Fetched():
                return self._learned(now, sender, word)
            case Snap():
                return self._piece(now, sender, word)
            case Offer():
                return self._offered(now, sender, birth, word)
            case Offered():
                return self._ended(now, word)
        return []

    def _hailed(self, now: float, sender: str, word: Hail) -> list[Effect]:
        if UNKNOWN in self._voters.values():
            # A newcomer that has not read yet who votes. Others need not wait for what it has lost.
            return [Send(sender, Hailed(self.id, "", 0, 0, False, {}))] if word.bound else []
        answer = self._knows(sender)
        self._note(sender, word.id, word.term, word.last)
        if self.leads and self._voters.get(sender) not in (word.id, "", None):
            self._learners[sender] = word.id, word.last, now
        return [Send(sender, answer)]

    def _knows(self, name: str) -> Hailed:
        known = self._stamps.get(name, ("", 0, 0))
        return Hailed(self.id, *known, self.bound(), dict(self._voters) if self.bound() else {})

    def _note(self, name: str, id: str, term: int, last: int) -> None:
        """The furthest that a voter said its folder was: what it may not fall behind when it starts again."""
        known = self._stamps.get(name, ("", 0, 0))
        if known[0] != id or (term, last) > known[1:]:
            self._stamps[name] = id, term, last

    def _weighed(self, now: float, sender: str, word: Hailed) -> list[Effect]:
        if self.standing in (Standing.LEARNER, Standing.STRANGER, Standing.NO_DISK):
            return []
        self._hails[sender] = word
        past = word.your_id == self.id and (word.your_term, word.your_last) > (self.term, self.durable)
        # Others have agreed on voters without this folder, or had more from it than it holds.
        other = word.bound and word.voters.get(self.name) != self.id
        if past or (other and self.standing in (Standing.NEW, Standing.HAILING)):
            why = f"{sender} knows another folder of this name"
            if past:
                why = f"{sender} heard of entry {word.your_last} of term {word.your_term}, it ends before"
            out = self._stands(Standing.STRANGER, why)
            return out + self._renew()
        return self._weigh(now) if self.standing in (Standing.NEW, Standing.HAILING) else []

    def _renew(self) -> list[Effect]:
        """As a newcomer of another id, without a past: what it has voted on binds nobody any more."""
        self.id, self._lost = f"{self._draw.getrandbits(64):016x}", None
        self.term, self.vote, self.entries, self.first, self._before = 0, "", [], 1, 0
        self.machine, self.image, self.commit, self._snap = Machine(), None, 0, None
        self._based = dict.fromkeys(self._names, UNKNOWN)
        self._voters = dict(self._based)
        self.leads, self.leader = False, ""
        return self._keep(Whole(self.id, Meta(0, ""), None, 1, 0, ()))

    # Elections

    def _stand(self, now: float) -> list[Effect]:
        """Asked first, so that nobody's term grows by one that could not win."""
        self._due_at = self._election(now)
        if not self.bound() and len(self._hails) + 1 < len(self._names):
            return []  # who leads first names all voters' folders
        self._pre, self._stood, self.leader = True, {self.name: True}, ""
        word = Vote(self.id, self.term + 1, self.last, self.term_at(self.last), True)
        return self._ask(word) or self._count(now)

    def _ask(self, word: Vote) -> list[Effect]:
        return [Send(name, word) for name in self._voters if name != self.name]

    def _asked(self, now: float, sender: str, word: Vote) -> list[Effect]:
        if self.standing not in VOTES or not self._is_voter(sender, word.id):
            return []
        if not self._is_voter(self.name, self.id):
            return []
        # Who hears a leader leaves it one: a candidate behind a one-way cut would unseat it for ever.
        led = self.leads or (self.leader and now - self._led_at < ELECTION - BEAT)
        new = (word.last_term, word.last) >= (self.term_at(self.last), self.last)
        if word.pre:
            yes = word.term > self.term and new and not led
            return [Send(sender, Voted(self.id, word.term if yes else self.term, yes, True))]
        out: list[Effect] = []
        if led and word.term > self.term:
            return [Send(sender, Voted(self.id, self.term, False, False))]
        if word.term > self.term:
            out += self._follow(now, word.term, "")
        self._note(sender, word.id, word.term, 0)  # it keeps a term before it asks for votes in it
        yes = word.term == self.term and new and self.vote in ("", sender)
        if yes:
            self.vote = sender
            self._due_at = self._election(now)
        answer = Send(sender, Voted(self.id, self.term, yes, False))
        return out + self._keep(Meta(self.term, self.vote), then=[answer]) if yes else [*out, answer]

    def _counted(self, now: float, sender: str, word: Voted) -> list[Effect]:
        if not self._is_voter(sender, word.id):
            return []
        if word.yes and not word.pre:
            self._note(sender, word.id, word.term, 0)
        if word.term > self.term + (word.pre and word.yes):
            return self._follow(now, word.term, "")
        if self.leads or not self._stood or word.pre != self._pre:
            return []
        if word.term != self.term + word.pre and word.yes:
            return []
        self._stood[sender] = word.yes
        return self._count(now)

    def _count(self, now: float) -> list[Effect]:
        if not self._majority(name for name, yes in self._stood.items() if yes):
            return []
        if self._pre:
            self._pre = False
            self.term, self.vote = self.term + 1, self.name
            self._stood = {}
            self._due_at = self._election(now)
            word = Vote(self.id, self.term, self.last, self.term_at(self.last), False)
            # Its own vote counts once it is kept, and is asked for others' no sooner.
            return self._keep(Meta(self.term, self.name), then=[*self._ask(word), _Own(self.term)])
        return self._win(now)

    def _win(self, now: float) -> list[Effect]:
        self.leads, self.leader, self._stood = True, self.name, {}
        self._followers = {name: _Follower(self.last, now) for name in self._voters if name != self.name}
        self._taken.clear()
        self._reads.clear()
        out: list[Effect] = [Said("record_leader", {"leader": self.name, "term": self.term})]
        out += self._enter(Entry(self.term, Kind.NOTHING))
        if not self.bound():
            ids = {name: hail.id for name, hail in self._hails.items()} | {self.name: self.id}
            out += self._enter(self._named({name: ids[name] for name in self._voters}))
        self._beat_at = now
        return out + self._beat(now)

    def _follow(self, now: float, term: int, leader: str) -> list[Effect]:
        """Another term, or a leader of this one."""
        out: list[Effect] = []
        if self.leads:
            out.append(Said("record_leads_no_more", {"term": self.term, "newer": term}))
            out += self._refuse_all("another leads")
        if leader and leader != self.leader:
            out.append(Said("record_leader", {"leader": leader, "term": term}))
        self.leads, self.leader, self._stood = False, leader, {}
        if term > self.term:
            self.term, self.vote = term, ""
            out += self._keep(Meta(term, ""))
        self._due_at = self._election(now)
        return out

    # A leader's part

    def _named(self, voters: dict[str, str]) -> Entry:
        return Entry(self.term, Kind.VOTERS, data=msgspec.msgpack.encode(voters))

    def _enter(self, entry: Entry) -> list[Effect]:
        self.entries.append(entry)
        if entry.kind == Kind.VOTERS:
            self._set_voters()
        return self._keep(Add(self.last, entry))

    def _set_voters(self) -> None:
        self._voters = self._latest_voters()
        if self.leads:
            for name in self._voters.keys() - self._followers.keys() - {self.name}:
                self._followers[name] = _Follower(self.last, self._last_tick)
            for name in self._followers.keys() - self._voters.keys():
                del self._followers[name]

    def fresh(self, now: float, within: float) -> bool:
        """Whether it leads, and a majority has answered what went out at most so many ms ago. Whoever wins an
        election does so after the last answer that a leader of before could count."""
        lately = [name for name, one in self._followers.items() if now - one.said_to <= within]
        return self.leads and self._majority([*lately, self.name])

    def _lead(self, now: float) -> list[Effect]:
        near = [name for name, one in self._followers.items() if now - one.heard < STRAY]
        if not self._majority([*near, self.name]):
            # Cut off, it must not go on as if what it is offered could be agreed on.
            out: list[Effect] = [Said("record_leads_no_more", {"term": self.term, "why": "no majority"})]
            self.leads, self.leader = False, ""
            self._due_at = self._election(now)
            return out + self._refuse_all("no majority is heard")
        if now < self._beat_at:
            return []
        self._beat_at = now + BEAT
        return self._readmit(now) + self._beat(now)

    def _beat(self, now: float) -> list[Effect]:
        self._round += 1
        self._round_at[self._round] = now
        self._round_at.pop(self._round - ROUNDS, None)
        out: list[Effect] = []
        for name, one in self._followers.items():
            if one.next <= self.last and now - one.heard >= BEAT * 2:
                one.next = one.match + 1  # what was sent ahead is lost
            out += self._feed(name, one) or [Send(name, self._word(one.next - 1, ()))]
        return out + self._agree()

    def _word(self, prev: int, entries: tuple[Entry, ...]) -> Append:
        prev = max(prev, self.first - 1)
        before = prev, self.term_at(prev)
        return Append(self.id, self.term, *before, self.commit, self._round, self.durable, entries)

    def _feed(self, name: str, one: _Follower, most: int = AHEAD) -> list[Effect]:
        """Entries it does not have, a few words ahead of its answers."""
        out: list[Effect] = []
        if one.next < self.first:  # it has to fetch the snapshot
            return []
        while one.next <= min(self.last, one.match + AHEAD_ENTRIES) and len(out) < most:
            size, end = 0, one.next
            while end <= self.last and (size == 0 or size + len(self.at(end).data) + 40 <= BATCH):
                size += len(self.at(end).data) + 40
                end += 1
            entries = tuple(self.entries[one.next - self.first : end - self.first])
            out.append(Send(name, self._word(one.next - 1, entries)))
            one.next = end
        return out

    def _followed(self, now: float, sender: str, word: Appended) -> list[Effect]:
        if word.term > self.term and self._is_voter(sender, word.id):
            return self._follow(now, word.term, "")
        if not self.leads or word.term != self.term or sender not in self._followers:
            return []
        if not self._is_voter(sender, word.id):  # another folder than the one that votes
            self._learners[sender] = word.id, word.last, now
            return []
        one = self._followers[sender]
        one.heard, one.round = now, max(one.round, word.round)
        one.said_to = max(one.said_to, self._round_at.get(word.round, -1e12))
        self._note(sender, word.id, word.term, word.last if word.yes else 0)
        if word.yes:
            one.match = max(one.match, min(word.last, self.last))
            one.next = max(one.next, one.match + 1)
            return self._agree() + self._feed(sender, one)
        one.next = max(one.match + 1, min(word.last + 1, one.next))
        if now - one.back_at < BEAT / 2.0:  # each word in vain has its answer, and one more is enough
            return []
        one.back_at = now
        if word.last < one.match:  # it held more: let it see for itself that its folder was set back
            return [Send(sender, self._knows(sender))]
        return self._feed(sender, one, 1)

    def _agree(self) -> list[Effect]:
        """What a majority keeps is agreed on, where the last of it is of this term."""
        out: list[Effect] = []
        kept = {name: one.match for name, one in self._followers.items()}
        kept[self.name] = self.durable if self.standing in ACKS else 0
        ranked = sorted((kept.get(name, 0) for name in self._voters), reverse=True)
        agreed = ranked[len(ranked) // 2] if ranked else 0
        if agreed > self.commit and self.term_at(agreed) == self.term:
            out += self._settle(agreed)
        if self._reads:
            rounds = {name: one.round for name, one in self._followers.items()} | {self.name: self._round}
            for read in list(self._reads):
                turn, number, asker, birth = read
                # Before an entry of its own term is agreed on, a leader may not know how far it went before.
                own = self.term_at(self.commit) == self.term
                if own and self._majority(name for name, heard in rounds.items() if heard >= turn):
                    self._reads.remove(read)
                    out += self._tell(asker, Offered(birth, number, True, self.commit))
        return out

    def _readmit(self, now: float) -> list[Effect]:
        """A voter whose folder was lost: out with the old id, then in with the new, each agreed on by
        itself."""
        if self.term_at(self.commit) != self.term or self.settled_voters() is None:
            return []
        ready = {
            name: id
            for name, (id, have, at) in sorted(self._learners.items())
            if name in self.wanted
            and self._voters.get(name) != id
            and now - at <= PULL * 4
            and have >= self.commit - SNAP_KEEP // 10
        }
        past = [name for name in sorted(self._voters) if name not in self.wanted and name != self.name]
        if past and ready.keys() - self._voters.keys() and len(self._voters) > 2:
            rest = {name: id for name, id in self._voters.items() if name != past[0]}
            said = Said("record_voter", {"voter": past[0], "id": self._voters[past[0]], "in": False})
            return [said, *self._enter(self._named(rest))]
        for name, (id, have, at) in sorted(self._learners.items()):
            if name not in self.wanted or self._voters.get(name) == id or now - at > PULL * 4:
                continue
            if name in self._voters:
                rest = {other: own for other, own in self._voters.items() if other != name}
                if len(rest) > 1 or len(self._voters) == 1:
                    said = Said("record_voter", {"voter": name, "id": id, "in": False})
                    return [said, *self._enter(self._named(rest))]
            elif have >= self.commit - SNAP_KEEP // 10:
                said = Said("record_voter", {"voter": name, "id": id, "in": True})
                return [said, *self._enter(self._named({**self._voters, name: id}))]
        return []

    # A follower's part

    def _appended(self, now: float, sender: str, word: Append) -> list[Effect]:
        if word.term < self.term:
            return [Send(sender, Appended(self.id, self.term, False, self.last, word.round))]
        if self.standing in (Standing.STRANGER, Standing.LEARNER) and not self._is_voter(self.name, self.id):
            return []  # it fetches; a leader counts nobody who is not a voter
        out = self._follow(now, word.term, sender) if (word.term, sender) != (self.term, self.leader) else []
        self._due_at, self._led_at = self._election(now), now
        self._note(sender, word.id, word.term, word.kept)
        if self.standing not in ACKS:
            return out  # what it held and no disk will keep would pass for kept once the disk is back
        if word.prev > self.last or (word.prev >= self.first and self.term_at(word.prev) != word.prev_term):
            hint = min(word.prev - 1, self.last)
            if word.commit >= self.last + SNAP_KEEP:  # the leader may not have what comes next
                out += self._pull(now, sender)
            return [
                *out,
                Send(sender, Appended(self.id, self.term, False, max(hint, self.commit), word.round)),
            ]
        deeds: list = []
        for index, entry in enumerate(word.entries, word.prev + 1):
            if index < self.first or self.term_at(index) == entry.term:
                continue
            if index <= self.last:
                if index <= self.commit:
                    raise AssertionError(f"entry {index} was agreed on and is to be replaced")
                del self.entries[index - self.first :]
                deeds.append(Cut(index - 1))
                self.durable = min(self.durable, index - 1)
            self.entries.append(entry)
            deeds.append(Add(index, entry))
        if deeds:
            self._set_voters()
        held = word.prev + len(word.entries)
        commit = min(word.commit, held)
        answer = [Send(sender, Appended(self.id, self.term, True, held, word.round))]
        out += self._keep(*deeds, then=answer) if deeds or self._waiting else answer
        if commit > self.commit:
            out += self._settle(commit)
        return out

    # The disk

    def _keep(self, *deeds: object, then: list[Effect] | None = None) -> list[Effect]:
        """To the disk; `then` once it is there, and after all that was to be kept before."""
        self._stores += 1
        self._waiting.append((self._stores, [_Kept(self.last, self.term_at(self.last)), *(then or [])]))
        return [Store(self._stores, deeds)]

    def stored(self, now: float, number: int) -> list[Effect]:
        """All up to that one is on disk."""
        out: list[Effect] = []
        while self._waiting and self._waiting[0][0] <= number:
            for effect in self._waiting.popleft()[1]:
                match effect:
                    case _Kept(last, term):
                        if self.term_at(last) == term:  # else it was cut meanwhile
                            self.durable = last
                    case _Own(term):
                        if term == self.term and not self.leads and not self._pre:
                            self._stood[self.name] = True
                            out += self._count(now)
                    case Send(_, Voted(term=term) | Appended(term=term)) if term != self.term:
                        pass  # to the old leader it would count for entries that may be cut by now
                    case _:
                        out.append(effect)
        if self.standing is Standing.NO_DISK:
            # What it holds in memory was never in doubt; only a new process has to ask how far it was.
            out += self._stands(self._was, "its disk takes it again")
            if self.standing in (Standing.NEW, Standing.HAILING):
                self._hails.clear()
                self._hail_from = self._hail_at = now
        if self.standing is Standing.MAIMED and self._regained():
            self._lost = None
            out += self._keep(self._whole()) + self._stands(Standing.SOUND, "it has fetched what it lost")
        if self.leads:
            out += self._agree()
        return out

    def failed(self, now: float, why: str) -> list[Effect]:
        """The disk refused: nothing that was under way may be spoken of. Reading goes on."""
        if self.standing is not Standing.NO_DISK:
            self._was = self.standing
        out = self._stands(Standing.NO_DISK, why)
        self._waiting.clear()
        if self.leads:
            self.leads, self.leader = False, ""
            out += self._refuse_all("the leader's disk failed")
        return out

    def rewrite(self) -> list[Effect]:
        """Everything that is held, for a disk that failed: nothing of what it took before is trusted."""
        return self._keep(self._whole())

    def _whole(self) -> Whole:
        meta = Meta(self.term, self.vote)
        return Whole(self.id, meta, self.image, self.first, self._before, tuple(self.entries), self._lost)

    # What is agreed on

    def _settle(self, commit: int) -> list[Effect]:
        out: list[Effect] = []
        self.commit = commit
        while self.machine.last < commit and (entry := self.at(self.machine.last + 1)) is not None:
            stopped = self.machine.stopped
            index = self.machine.last + 1
            held = self.machine.apply(index, entry)
            if self.machine.stopped:
                if not stopped:
                    out.append(Said("record_stopped", {"why": self.machine.stopped}))
                break
            out.append(Settled(index, entry, held))
            if self.leads and self._taken.pop((entry.author, entry.number), None) is not None:
                name, _, birth = entry.author.rpartition("#")
                out += self._tell(name, Offered(int(birth), entry.number, held, index, "" if held else MOVED))
        if self.machine.last - (self.image.last if self.image else 0) >= SNAP_AFTER:
            out += self._fold()
        return out + self._serve_reads()

    def _fold(self) -> list[Effect]:
        """A snapshot in place of all but the last entries before it."""
        voters = dict(self._based)
        for entry in self.entries[: self.machine.last + 1 - self.first]:
            if entry.kind == Kind.VOTERS:
                voters = msgspec.msgpack.decode(entry.data, type=dict[str, str])
        image = self.machine.image(voters)
        self.image, self._blob = image, None
        keep = max(self.first, image.last + 1 - SNAP_KEEP)
        self._before = self.term_at(keep - 1)
        del self.entries[: keep - self.first]
        self.first = keep
        # The voters before the first kept entry are the snapshot's: those kept say so again.
        self._based = voters
        return self._keep(self._whole())

    def _take(self, image: Image) -> None:
        """A snapshot read or fetched; entries after it stay where it is of the same past."""
        self.image, self._blob = image, None
        self.machine.restore(image)
        if self.term_at(image.last) != image.term:
            self.entries, self.first, self._before = [], image.last + 1, image.term
        self._based = dict(image.voters)

    # Learning

    def _pull(self, now: float, source: str = "") -> list[Effect]:
        if now < self._pull_at and not source:
            return []
        self._pull_at = now + (AGAIN if self._snap is not None else PULL * self._draw.uniform(0.5, 1.5))
        names = self._peers()
        if not source and not names:
            return []
        # By chance, so that the leader too hears of it; a snapshot under way is one process's.
        if self._snap is None or not self._served or self._source not in names:
            self._source = self._draw.choice([name for name in names if name != self._source] or names)
        self._served = False
        to = source or self._source
        last, at = (self._snap[0], len(self._snap[2])) if self._snap else (0, 0)
        return [Send(to, Fetch(self.id, self.commit, last, at))]

    def outvoted(self, now: float) -> list[Effect]:
        """Others have agreed on voters without this one: it comes back as a newcomer, if at all."""
        if self.standing in (Standing.STRANGER, Standing.LEARNER) or self.leads:
            return []
        return self._stands(Standing.STRANGER, "it was voted out") + self._renew()

    def resign(self, now: float) -> list[Effect]:
        """Leads no more, and leaves it to others to stand first."""
        if not self.leads:
            return []
        self.leads, self.leader = False, ""
        self._due_at = now + ELECTION * 4.0
        said = Said("record_leads_no_more", {"term": self.term, "why": "it resigns"})
        return [said, *self._refuse_all("the leader resigned")]

    def newest(self, now: float, index: int) -> None:
        """Somebody has come further: a learner fetches at once."""
        if index > self.commit and not self._is_voter(self.name, self.id):
            self._pull_at = min(self._pull_at, now + AGAIN * self._draw.random())

    def _fetched(self, now: float, sender: str, word: Fetch) -> list[Effect]:
        if self.leads:
            self._learners[sender] = word.id, word.have, now
        if word.have < self.first - 1 and self.image is not None:
            if self._blob is None or self._blob[0] != self.image.last:
                self._blob = self.image.last, msgspec.msgpack.encode(self.image)
            last, blob = self._blob
            start = word.at if word.snap == last else 0
            pieces = range(start, min(len(blob), start + PIECE * PIECES), PIECE)
            return [Send(sender, Snap(last, at, len(blob), blob[at : at + PIECE])) for at in pieces]
        first, size, entries = max(word.have + 1, self.first), 0, []
        out: list[Effect] = []
        for index in range(first, self.commit + 1):
            entry = self.at(index)
            size += len(entry.data) + 40
            if entries and size > BATCH:
                start = index - len(entries)
                told = Fetched(self.term, start, self.commit, tuple(entries), self.leader)
                out.append(Send(sender, told))
                entries, size = [], len(entry.data) + 40
                if len(out) >= PIECES:
                    break
            entries.append(entry)
        else:
            start = self.commit + 1 - len(entries)
            told = Fetched(self.term, start, self.commit, tuple(entries), self.leader)
            out.append(Send(sender, told))
        return out

    def _learned(self, now: float, sender: str, word: Fetched) -> list[Effect]:
        """Agreed on, so it is taken as it stands; a voter's own log is the leader's business alone."""
        if self._is_voter(self.name, self.id):
            return []
        out: list[Effect] = []
        deeds: list = []
        self.leader, self._served = word.leader, True
        if self.last > self.commit:
            del self.entries[self.commit + 1 - self.first :]
            deeds.append(Cut(self.commit))
        for index, entry in enumerate(word.entries, word.first):
            if index == self.last + 1:
                self.entries.append(entry)
                deeds.append(Add(index, entry))
        if deeds:
            self._set_voters()
            out += self._keep(*deeds)
            out += self._settle(min(self.last, word.commit))
        if word.commit > self.commit:
            self._pull_at = now
        return out

    def _voter_again(self) -> list[Effect]:
        """Readmitted: under this id it has never voted, and what it holds is what was agreed on."""
        return self._stands(Standing.SOUND, "readmitted under its new id")

    def _piece(self, now: float, sender: str, word: Snap) -> list[Effect]:
        self._served = True
        if word.last <= self.commit or not 0 <= word.at < word.of:
            return []
        if self._snap is None or self._snap[0] != word.last:
            self._snap = word.last, word.of, bytearray()
        _, size, text = self._snap
        if word.at == len(text):
            text += word.data
        if len(text) < size:
            if len(text) % (PIECE * PIECES) == 0:
                self._pull_at = now
            return []
        self._snap = None
        try:
            image = msgspec.msgpack.decode(bytes(text), type=Image)
        except msgspec.MsgspecError:
            return [Said("record_snapshot_spoilt", {"from": sender})]
        self._take(image)
        self.commit, self.durable = self.machine.last, min(self.durable, self.last)
        self._voters = self._latest_voters()
        out = self._keep(self._whole())
        return [*out, Said("record_snapshot", {"from": sender, "last": image.last})]

    # Offers

    def offer(self, now: float, data: bytes | None, kind: int = Kind.PUT) -> tuple[int, list[Effect]]:
        """Something for the record, or a read where there is no data; it goes on until it is answered or
        `drop`ped. The number is the answer's."""
        self._next_offer += 1
        number = self._next_offer
        if data is not None and len(data) > self._most + 512:
            return number, [Answer(number, False, 0, f"{len(data)} bytes are too many")]
        if len(self._offers) >= MOST_OFFERS:
            return number, [Answer(number, False, 0, "too many offers under way")]
        self._offers[number] = _Offer(kind, data)
        return number, self._repeat(now)

    def drop(self, number: int) -> None:
        """Nobody waits for it any more; it may stand in the record all the same."""
        self._offers.pop(number, None)

    def _repeat(self, now: float) -> list[Effect]:
        out: list[Effect] = []
        for number, one in list(self._offers.items()):
            if one.need or now - one.said_at < OFFER or not self.leader:
                continue
            one.said_at = now
            word = Offer(number, one.kind, one.data)
            out += (
                self._offered(now, self.name, self.birth, word) if self.leads else [Send(self.leader, word)]
            )
        return out

    def _offered(self, now: float, sender: str, birth: int, word: Offer) -> list[Effect]:
        if not self.leads:
            return []  # said again to whoever leads by then
        if word.data is None:
            self._reads.append((self._round + 1, word.number, sender, birth))
            return self._beat(now)
        author = f"{sender}#{birth}"
        if (known := self.machine.known(author, word.number)) is not None:
            index, held = known
            return self._tell(sender, Offered(birth, word.number, held, index, "" if held else MOVED))
        if (author, word.number) in self._taken:
            return []
        self._taken[author, word.number] = self.last + 1
        out = self._enter(Entry(self.term, word.kind, author, word.number, word.data))
        for name, one in self._followers.items():
            if one.next == self.last:  # else it is behind and fed by its answers
                out += self._feed(name, one)
        return out

    def _tell(self, to: str, word: Offered) -> list[Effect]:
        return self._ended(self._last_tick, word) if to == self.name else [Send(to, word)]

    def _ended(self, now: float, word: Offered) -> list[Effect]:
        one = self._offers.get(word.number)
        if one is None or word.birth != self.birth:
            return []
        if one.data is None and word.yes:
            one.need = max(word.index, 1)
            return self._serve_reads()
        del self._offers[word.number]
        return [Answer(word.number, word.yes, word.index, word.why)]

    def _serve_reads(self) -> list[Effect]:
        out: list[Effect] = []
        for number, one in list(self._offers.items()):
            if one.need and self.machine.last >= one.need:
                del self._offers[number]
                out.append(Answer(number, True, self.machine.last, ""))
        return out

    def _refuse_all(self, why: str) -> list[Effect]:
        """Led no more: askers say it again elsewhere."""
        self._reads.clear()
        self._taken.clear()
        return []


class _Kept(NamedTuple):
    last: int
    term: int


class _Own(NamedTuple):
    """The own vote counts from here on."""

    term: int


def put(key: str, value: bytes | None, after: int = -1) -> bytes:
    """The data of an entry that sets a key."""
    return msgspec.msgpack.encode(Put(key, value, after))
