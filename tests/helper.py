"""The scenario notation and its player.

A file holds scenarios, each begun by `== what is shown`. `terms KEY=VALUE ...` and `scheme NAME REPEATS
KEY=VALUE ...` come first, then steps: `TIME EVENT ...`, in ms. Below a step, indented, stand claims on the
effects since the step before (wake-ups asked for are played in between): `[COUNT|<=COUNT|>=COUNT] PATTERN`,
one match where no count stands. A load is txns waiting, then free slots.

    0 roster A; B since=-100 zone=1; W1-W9 draining   lines of the list
    5 take t1-t9 book expiry=900 account=1 slots=2    txns coming in; expiry counts from now
    9 start t1.0 t2.0 | move t1.0 | end t1.0 settled LOAD | lapse t1 | sample A,B LOAD | unfollow | wait
    effects: post t1 A | off t1.0 | decline t1 | reverse t1 | probe A
"""

import re
from collections.abc import Iterable
from fnmatch import fnmatchcase
from heapq import heappop, heappush

from sableford.logic import Scheduler
from sableford.model import (
    Account,
    CallOff,
    Decline,
    Duties,
    Ended,
    Ending,
    Follow,
    Lapsed,
    Listed,
    Post,
    Probe,
    Progressed,
    Repeats,
    Reverse,
    Roster,
    Sampled,
    Scheme,
    Scope,
    Standing,
    Started,
    Taken,
    Tariff,
    Terms,
    Unfollowed,
    Wake,
    Woken,
)

START = 1_000_000.0


def options(words: Iterable[str]) -> dict[str, float]:
    return {key: float(value) for key, _, value in (word.partition("=") for word in words) if value}


def spread(text: str) -> list[str]:
    """A range of names written out.

    >>> spread("W8-W10 zone=1")
    ['W8 zone=1', 'W9 zone=1', 'W10 zone=1']
    """
    found = re.fullmatch(r"\s*(\D+)(\d+)-\1(\d+)(.*)", text)
    if not found:
        return [text]
    name, first, last, rest = found.groups()
    return [f"{name}{number}{rest}" for number in range(int(first), int(last) + 1)]


class Play:
    """One scenario under way."""

    def __init__(self) -> None:
        self.terms: dict[str, float] = {}
        self.schemes: dict[str, Scheme] = {}
        self.core: Scheduler | None = None
        self.names: dict[str, list[str]] = {"txn": [], "worker": []}
        self.wakes: list[float] = []
        self.told: list[str] = []
        self.ratings: dict[int, float] = {}

    def scheme(self, name: str, repeats: str, *rest: str) -> None:
        facts = options("sla=300 stretch=2 expiry=5000 earnings=1 span=0 kind=-1".split()) | options(rest)
        scope = next((Scope[word.upper()] for word in rest if "=" not in word), Scope.ALL)
        sort = Repeats[repeats.upper().replace("-", "_")]
        self.schemes[name] = Scheme(sort, scope, **facts)

    def open(self) -> Scheduler:
        told = options("schedulers=1 allowance=0 probes=0 postings=6 pause=0 factor=2 cold=0.2".split())
        told |= options("warm=10000 span=2000 tells=1 progress=1000 free=1 overage=0.1".split()) | self.terms
        return Scheduler(
            Terms(
                schedulers=int(told["schedulers"]),
                position=int(told.get("position", 0)),
                zone=0,
                schemes=tuple(self.schemes.values()),
                accounts=(Account(told["allowance"]), Account(0.0)) if told["allowance"] else (),
                duties=Duties(told["cold"], told["warm"], told["factor"], told["span"]),
                tariff=Tariff(
                    int(told["postings"]), True, bool(told["probes"]), told["pause"], told["overage"], 0.0
                ),
                tells_start=bool(told["tells"]),
                progress=told["progress"],
                live=bool(told.get("live", 0)),
                follows=bool(told.get("follows", 0)),
                waiting=int(told.get("line", 0)),
                handled=-1,
                free_slots=int(told["free"]),
                free_memory=-1,
            ),
            seed=7 + int(told.get("position", 0)),
        )

    def index(self, sort: str, name: str) -> int:
        known = self.names[sort]
        if name not in known:
            known.append(name)
        return known.index(name)

    def posting(self, name: str) -> tuple[int, int]:
        txn, _, number = name.partition(".")
        return self.index("txn", txn), int(number)

    def listed(self, text: str) -> Listed:
        name, *rest = text.split()
        facts = options(rest)
        standing = next((Standing[word.upper()] for word in rest if "=" not in word), Standing.READY)
        since = START + facts["since"] if "since" in facts else 0.0
        return Listed(
            self.index("worker", name),
            int(facts.get("zone", 0)),
            int(facts.get("kind", 0)),
            int(facts.get("cell", 0)),
            standing,
            since,
        )

    def events(self, now: float, verb: str, rest: list[str]):
        """The events of one step."""
        if verb == "roster":
            lines = [line for text in " ".join(rest).split(";") for line in spread(text)]
            for words in map(str.split, lines):
                self.ratings[self.index("worker", words[0])] = options(words[1:]).get("rating", 1.0)
            yield Roster(tuple(map(self.listed, lines)), lambda worker: self.ratings.get(worker, 0.0))
        elif verb == "take":
            facts = options(rest)
            scheme = list(self.schemes).index(rest[1])
            expiry = now + facts.get("expiry", self.schemes[rest[1]].expiry)
            for name in spread(rest[0]):
                txn = self.index("txn", name)
                account, slots = int(facts.get("account", 0)), facts.get("slots", 1.0)
                yield Taken(txn, scheme, account, expiry, slots, 0.0)
        elif verb == "start":
            yield from (Started(*self.posting(name)) for name in rest)
        elif verb == "move":
            yield Progressed(*self.posting(rest[0]), 0.5)
        elif verb == "end":
            ending = Ending[rest[1].upper()]
            load = tuple(map(float, rest[2:]))
            for name in rest[0].split(","):
                yield Ended(*self.posting(name), ending, ending is Ending.SETTLED, load)
        elif verb == "unfollow":
            yield Unfollowed()
        elif verb == "lapse":
            yield Lapsed(self.index("txn", rest[0]))
        elif verb == "sample":
            load = tuple(map(float, rest[1:]))
            yield from (Sampled(self.index("worker", name), True, load) for name in rest[0].split(","))
        else:
            assert verb == "wait", f"unknown step {verb}"

    def step(self, words: list[str]) -> None:
        self.core = self.core or self.open()
        now, self.told = START + float(words[0]), []
        while self.wakes and self.wakes[0] <= now:
            due = heappop(self.wakes)
            self.hear(due - 0.0005, Woken())  # the wire rounds: a wake-up may come a little early
        for event in self.events(now, words[1], words[2:]):
            self.hear(now, event)

    def hear(self, now: float, event) -> None:
        txns, workers = self.names["txn"], self.names["worker"]
        for effect in self.core.handle(now, event):
            match effect:
                case Wake(after):
                    heappush(self.wakes, now + after)
                case Post(txn, worker, _):
                    self.told.append(f"post {txns[txn]} {workers[worker]}")
                case CallOff(txn, number):
                    self.told.append(f"off {txns[txn]}.{number}")
                case Decline(txn, _):
                    self.told.append(f"decline {txns[txn]}")
                case Reverse(txn):
                    self.told.append(f"reverse {txns[txn]}")
                case Follow():
                    self.told.append("follow")
                case Probe(worker):
                    self.told.append(f"probe {workers[worker]}")

    def claim(self, text: str) -> None:
        bound, _, pattern = text.partition(" ")
        least = most = 1
        if re.fullmatch(r"[<>]?=?\d+", bound):
            count = int(bound.lstrip("<>="))
            least, most = (0 if bound[0] == "<" else count), (10**9 if bound[0] == ">" else count)
        else:
            pattern = text
        found = sum(fnmatchcase(told, pattern) for told in self.told)
        assert least <= found <= most, f"{found} of {text!r} in {self.told}"


def play(lines: list[tuple[int, str]]) -> None:
    """Play one scenario's numbered lines; a claim that fails names its line."""
    scene = Play()
    for number, line in lines:
        words = line.split()
        try:
            if line[0].isspace():
                scene.claim(line.strip())
            elif words[0] == "terms":
                scene.terms |= options(words[1:])
            elif words[0] == "scheme":
                scene.scheme(*words[1:])
            else:
                scene.step(words)
        except Exception as problem:
            raise AssertionError(f"line {number}: {type(problem).__name__}: {problem}") from problem


def scenarios(text: str) -> dict[str, list[tuple[int, str]]]:
    """The scenarios of one file by title.

    >>> scenarios("== one\\n0 wait\\n  0 *\\n")
    {'one': [(2, '0 wait'), (3, '  0 *')]}
    """
    found: dict[str, list[tuple[int, str]]] = {}
    here: list[tuple[int, str]] = []
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith("== "):
            here = found[line[3:]] = []
        elif line.strip() and not line.startswith("#"):
            here.append((number, line))
    return found
