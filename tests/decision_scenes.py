"""Plays the scenarios of `tests/scenarios/` at one scheduler, in simulated time.

`terms KEY=VALUE ...` and `scheme NAME REPEATS KEY=VALUE ...` come first, then steps: `TIME EVENT ...`, in ms.
Claims are on the effects since the previous step; requested wake-ups are delivered in between. A load is
queued txns, then free slots. `tests/notation.py` parses the files.

    0 roster A; B since=-100 zone=1; W1-W9 draining   roster entries
    5 take t1-t9 book expiry=900 account=1 slots=2 key=7    txns arrive; expiry counts from now
    7 ban A | back A                                  operators take it out, return it
    8 amend postings=1; quote once-only; fresh repeatable   new configuration; schemes changed or added
    8 hear 3 A 2                      scheduler 3 uses two slots at A
    8 yield | resume                                  another process uses the turns, or this one again
    9 unanswered A                    a probe failed
    9 start t1.0 t2.0 | move t1.0 | end t1.0 settled LOAD | lapse t1 | sample A,B LOAD | unfollow | wait
    effects: tell 2 A 1 (two peers, one slot) | post t1 A | off t1.0 | decline t1 | reverse t1 | probe A
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
from tests.notation import bounds, expand_range, options

START = 1_000_000.0


class Play:
    """A scenario in progress."""

    def __init__(self) -> None:
        self.terms: dict[str, float] = {}
        self.schemes: dict[str, Scheme] = {}
        self.core: Scheduler | None = None
        self.names: dict[str, list[str]] = {"txn": [], "worker": []}
        self.wakes: list[float] = []
        self.effects: list[str] = []
        self.ratings: dict[int, float] = {}
        self.last_workers: set[str] = set()

    def scheme(self, name: str, repeats: str, *rest: str) -> None:
        facts = options("sla=300 stretch=2 expiry=5000 earnings=1 span=0".split()) | options(rest)
        scope = next((Scope[word.upper()] for word in rest if "=" not in word), Scope.ALL)
        kind = Repeats[repeats.upper().replace("-", "_")]
        if "kind" in facts:
            facts["kind"] = int(facts["kind"])
        self.schemes[name] = Scheme(kind, scope, **facts)

    def open(self) -> Scheduler:
        return Scheduler(self.config(), seed=7 + int(self.terms.get("position", 0)))

    def config(self) -> SchedulerConfig:
        values = options("schedulers=1 allowance=0 probes=0 postings=6 pause=0 factor=2 cold=0.2".split())
        values |= (
            options("warm=10000 span=2000 tells=1 progress=1000 free=1 overage=0.1".split()) | self.terms
        )
        return SchedulerConfig(
            schedulers=int(values["schedulers"]),
            position=int(values.get("position", 0)),
            zone=0,
            schemes=tuple(self.schemes.values()),
            accounts=(Account(values["allowance"]), Account(0.0)) if values["allowance"] else (),
            obligations=Obligations(
                *(values[name] for name in ("cold", "warm", "factor", "span")),
                *(bool(values.get(name, 0)) for name in ("soft", "full")),
                values.get("drift", 0.0),
            ),
            limits=ProtocolLimits(
                int(values["postings"]), True, bool(values["probes"]), values["pause"], values["overage"], 0.0
            ),
            start_known=bool(values["tells"]),
            progress=values["progress"],
            live_ratings=bool(values.get("live", 0)),
            subscribes=bool(values.get("follows", 0)),
            ask_within=values.get("ask", 0.0),
            waiting=int(values.get("line", 0)),
            handled=-1,
            free_slots=int(values["free"]),
            notify_peers=bool(values.get("peers", 0)),
            by_work=bool(values.get("work", 0)),
        )

    def index(self, kind: str, name: str) -> int:
        known = self.names[kind]
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
        """Yields the events of one step."""
        if verb == "roster":
            lines = [line for text in " ".join(rest).split(";") for line in expand_range(text)]
            for words in map(str.split, lines):
                self.ratings[self.index("worker", words[0])] = options(words[1:]).get("rating", 1.0)
            yield Roster(tuple(map(self.listed, lines)), lambda worker: self.ratings.get(worker, 0.0))
        elif verb == "take":
            facts = options(rest)
            scheme = list(self.schemes).index(rest[1])
            expiry = now + facts.get("expiry", self.schemes[rest[1]].expiry)
            for name in expand_range(rest[0]):
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
            for name in rest[0].split(",") if "," in rest[0] else expand_range(rest[0]):
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
            names = rest[0].split(",") if "," in rest[0] else expand_range(rest[0])
            yield from (Probed(self.index("worker", name), True, load) for name in names)
        elif verb == "unanswered":
            yield Probed(self.index("worker", rest[0]), False, ())
        else:
            assert verb == "wait", f"unknown step {verb}"

    def step(self, words: list[str]) -> None:
        self.core = self.core or self.open()
        now, self.effects = START + float(words[0]), []
        while self.wakes and self.wakes[0] <= now:
            due = heappop(self.wakes)
            self.handle(due - 0.0005, Woken())  # the protocol rounds: a wake-up may come slightly early
        for event in self.events(now, words[1], words[2:]):
            self.handle(now, event)

    def handle(self, now: float, event) -> None:
        txns, workers = self.names["txn"], self.names["worker"]
        for effect in self.core.handle(now, event):
            match effect:
                case Wake(after):
                    heappush(self.wakes, now + after)
                case Post(txn, worker, _):
                    self.effects.append(f"post {txns[txn]} {workers[worker]}")
                case CallOff(txn, number):
                    self.effects.append(f"off {txns[txn]}.{number}")
                case Decline(txn, _):
                    self.effects.append(f"decline {txns[txn]}")
                case Reverse(txn):
                    self.effects.append(f"reverse {txns[txn]}")
                case FetchRoster(once):
                    self.effects.append("ask" if once else "follow")
                case Probe(worker):
                    self.effects.append(f"probe {workers[worker]}")
                case NotifyPeers(peers, worker, slots):
                    self.effects.append(f"tell {len(peers)} {workers[worker]} {slots:g}")

    def claim(self, text: str) -> None:
        if text.startswith("workers "):  # that got postings; `same`: only those of the last such claim
            _, bound, *same = text.split()
            before = self.last_workers
            self.last_workers = {effect.split()[-1] for effect in self.effects if effect.startswith("post ")}
            _, least, most = bounds(f"{bound} *")
            assert least <= len(self.last_workers) <= most and (not same or self.last_workers <= before), (
                self.last_workers,
                before,
            )
            return
        pattern, least, most = bounds(text)
        found = sum(fnmatchcase(effect, pattern) for effect in self.effects)
        assert least <= found <= most, f"{found} of {text!r} in {self.effects}"


def play(lines: list[tuple[int, str]]) -> None:
    """Plays a scenario's numbered lines; errors name the line."""
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
        except Exception as error:
            raise AssertionError(f"line {number}: {type(error).__name__}: {error}") from error
