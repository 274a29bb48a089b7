"""Scenarios played at the decision module alone (`tests/scenarios/`), in simulated time.

`terms KEY=VALUE ...` and `scheme NAME REPEATS KEY=VALUE ...` come first, then steps: `TIME EVENT ...`, in ms.
Claims are on the effects since the step before; wake-ups asked for are played in between. A load is txns
waiting, then free slots. The notation itself stands in `tests/notation.py`.

    0 roster A; B since=-100 zone=1; W1-W9 draining   lines of the list
    5 take t1-t9 book expiry=900 account=1 slots=2 key=7    txns coming in; expiry counts from now
    7 ban A | back A                                  operators take it out by hand, call it back
    8 amend postings=1; quote once-only; fresh repeatable   other terms; schemes changed or added
    8 hear 3 A 2                      scheduler 3 has two slots out at A
    8 yield | resume                                  another process takes the cold turns, or this one again
    9 unanswered A                    a probe came to nothing
    9 start t1.0 t2.0 | move t1.0 | end t1.0 settled LOAD | lapse t1 | sample A,B LOAD | unfollow | wait
    effects: tell 2 A 1 (two told of one slot) | post t1 A | off t1.0 | decline t1 | reverse t1 | probe A
    follow | ask (once)
"""

from fnmatch import fnmatchcase
from heapq import heappop, heappush

from sableford.model import (
    Account,
    CallOff,
    ClientLeft,
    ConfigChanged,
    Decline,
    Ended,
    Ending,
    FetchRoster,
    NotifyPeers,
    Obligations,
    PeerUpdate,
    Post,
    Probe,
    Probed,
    Progressed,
    ProtocolLimits,
    Repeats,
    Reverse,
    Roster,
    RosterEntry,
    RosterFailed,
    SchedulerConfig,
    Scheme,
    Scope,
    Standing,
    Started,
    TurnsChanged,
    TxnArrived,
    Wake,
    Woken,
    WorkerOverride,
)
from sableford.policy.scheduler import Scheduler
from tests.notation import bounds, options, spread

START = 1_000_000.0


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
        self.took: set[str] = set()

    def scheme(self, name: str, repeats: str, *rest: str) -> None:
        facts = options("sla=300 stretch=2 expiry=5000 earnings=1 span=0".split()) | options(rest)
        scope = next((Scope[word.upper()] for word in rest if "=" not in word), Scope.ALL)
        sort = Repeats[repeats.upper().replace("-", "_")]
        if "kind" in facts:
            facts["kind"] = int(facts["kind"])
        self.schemes[name] = Scheme(sort, scope, **facts)

    def open(self) -> Scheduler:
        return Scheduler(self.config(), seed=7 + int(self.terms.get("position", 0)))

    def config(self) -> SchedulerConfig:
        told = options("schedulers=1 allowance=0 probes=0 postings=6 pause=0 factor=2 cold=0.2".split())
        told |= options("warm=10000 span=2000 tells=1 progress=1000 free=1 overage=0.1".split()) | self.terms
        return SchedulerConfig(
            schedulers=int(told["schedulers"]),
            position=int(told.get("position", 0)),
            zone=0,
            schemes=tuple(self.schemes.values()),
            accounts=(Account(told["allowance"]), Account(0.0)) if told["allowance"] else (),
            obligations=Obligations(
                *(told[name] for name in ("cold", "warm", "factor", "span")),
                *(bool(told.get(name, 0)) for name in ("soft", "full")),
                told.get("drift", 0.0),
            ),
            limits=ProtocolLimits(
                int(told["postings"]), True, bool(told["probes"]), told["pause"], told["overage"], 0.0
            ),
            start_known=bool(told["tells"]),
            progress=told["progress"],
            live_ratings=bool(told.get("live", 0)),
            subscribes=bool(told.get("follows", 0)),
            ask_within=told.get("ask", 0.0),
            waiting=int(told.get("line", 0)),
            handled=-1,
            free_slots=int(told["free"]),
            notify_peers=bool(told.get("peers", 0)),
            by_work=bool(told.get("work", 0)),
        )

    def index(self, sort: str, name: str) -> int:
        known = self.names[sort]
        if name not in known:
            known.append(name)
        return known.index(name)

    def posting(self, name: str) -> tuple[int, int]:
        txn, _, number = name.partition(".")
        return self.index("txn", txn), int(number)

    def listed(self, text: str) -> RosterEntry:
        name, *rest = text.split()
        facts = options(rest)
        standing = next((Standing[word.upper()] for word in rest if "=" not in word), Standing.READY)
        since = START + facts["since"] if "since" in facts else 0.0
        return RosterEntry(
            self.index("worker", name),
            int(facts.get("zone", 0)),
            int(facts.get("kind", 0)),
            int(facts.get("cell", 0)),
            standing,
            since,
            self.index("worker", name) + 1,
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
                key = int(facts.get("key", 0))
                yield TxnArrived(txn, scheme, account, expiry, slots, facts.get("work", 0.0), key)
        elif verb == "hear":
            yield PeerUpdate(int(rest[0]), self.index("worker", rest[1]), float(rest[2]))
        elif verb == "start":
            yield from (Started(*self.posting(name)) for name in rest)
        elif verb == "move":
            yield Progressed(*self.posting(rest[0]), 0.5)
        elif verb == "end":
            ending = Ending[rest[1].upper()]
            load = tuple(map(float, rest[2:]))
            for name in rest[0].split(",") if "," in rest[0] else spread(rest[0]):
                yield Ended(*self.posting(name), ending, ending is Ending.SETTLED, load)
        elif verb in ("ban", "back"):
            yield WorkerOverride(self.index("worker", rest[0]), verb == "ban", now)
        elif verb == "amend":
            for words in map(str.split, " ".join(rest).split(";")):
                if "=" in words[0]:
                    self.terms |= options(words)
                else:
                    self.scheme(*words)
            yield ConfigChanged(self.config())
        elif verb in ("yield", "resume"):
            yield TurnsChanged(verb == "resume")
        elif verb == "unfollow":
            yield RosterFailed()
        elif verb == "lapse":
            yield ClientLeft(self.index("txn", rest[0]))
        elif verb == "sample":
            load = tuple(map(float, rest[1:]))
            names = rest[0].split(",") if "," in rest[0] else spread(rest[0])
            yield from (Probed(self.index("worker", name), True, load) for name in names)
        elif verb == "unanswered":
            yield Probed(self.index("worker", rest[0]), False, ())
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
                case FetchRoster(once):
                    self.told.append("ask" if once else "follow")
                case Probe(worker):
                    self.told.append(f"probe {workers[worker]}")
                case NotifyPeers(peers, worker, slots):
                    self.told.append(f"tell {len(peers)} {workers[worker]} {slots:g}")

    def claim(self, text: str) -> None:
        if text.startswith("workers "):  # that took postings; `same`: no others than at the last such claim
            _, bound, *same = text.split()
            before = self.took
            self.took = {told.split()[-1] for told in self.told if told.startswith("post ")}
            _, least, most = bounds(f"{bound} *")
            assert least <= len(self.took) <= most and (not same or self.took <= before), (self.took, before)
            return
        pattern, least, most = bounds(text)
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
