"""The plan of a run: its file format, the load, and the schedule of faults.

Nothing here reads a clock or a socket, so that the same file and seed always give the same schedule.
"""

import tomllib
from itertools import pairwise
from random import Random
from typing import NamedTuple

import msgspec

MAX_SCHEDULERS, MAX_WORKERS = 48, 64  # limited by the cores and sockets of one machine
MAX_SECONDS = 600.0  # every run ends by itself
MAX_RATE = 2000.0  # requests per second; above this the rig itself runs late
MAX_REQUESTS = 200_000  # of a whole run

# Each kind of fault: what it affects, and the meaning of `size`, empty if it has none
WORKER, SCHEDULER, LINK, DISCOVERY, LOAD = "worker", "scheduler", "link", "list", "load"
KINDS: dict[str, tuple[str, str]] = {
    "hang": (WORKER, ""),  # accepts everything, answers nothing
    "slow": (WORKER, "factor on the run time"),
    "fail": (WORKER, "fraction of its txns that fail at once"),
    "die": (WORKER, ""),  # resets its connections and refuses new ones; comes back with its start capacity
    "drain": (WORKER, ""),  # the worker list shows it as leaving
    "kill": (SCHEDULER, ""),  # SIGKILL; restarted when the fault ends
    "stop": (SCHEDULER, ""),  # SIGSTOP, then SIGCONT
    "term": (SCHEDULER, ""),  # SIGTERM; restarted when the fault ends
    "clock": (SCHEDULER, "clock offset in ms"),  # SIGKILL; restarted with it when the fault ends
    "disk": (SCHEDULER, ""),  # SIGKILL; restarted with the disk fault `how` when it ends
    "cut": (LINK, ""),  # blocks both directions; connections stay open
    "oneway": (LINK, ""),  # blocks the direction from `who` to `to`
    "reset": (LINK, ""),  # resets all connections, also new ones while the fault lasts
    "delay": (LINK, "added ms"),
    "drop": (LINK, "fraction of datagrams lost"),
    "twice": (LINK, "fraction of datagrams duplicated"),
    "reorder": (LINK, "ms by which datagrams may be reordered"),
    "flip": (LINK, "fraction of chunks with one bit flipped"),
    "thin": (LINK, "bytes per second"),
    "mute": (DISCOVERY, ""),  # discovery doesn't answer
    "jump": (LOAD, "factor on the request rate"),
}
FOLDERS = ("same", "emptied", "older", "other")
DISK_FAULTS = ("lost", "torn", "flipped", "eio", "full", "once", "slow", "")
# Disk fault that lasts until its file is removed; for scripted scenes, never generated at random.
HUNG = "hung"
MIN_RANDOM_START_MS = 1000.0  # no random fault begins before this, so that the run is under way


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One `[[fault]]`. Times are ms since the start of the load."""

    what: str
    at_ms: float
    for_ms: float
    who: list[str] = []  # names; empty: all of the kind that the fault affects
    to: list[str] = []  # other end of the links; empty: all others
    size: float = 0.0
    folder: str = "same"  # the data folder after a restart, of FOLDERS
    how: str = ""  # the disk fault, of DISK_FAULTS or HUNG


class Scheme(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One `[[scheme]]`: a service class of requests."""

    name: str
    effect: str  # safe, keyed or unsafe
    run_ms: float
    part: float = 1.0  # weight among the schemes
    sla_ms: float = 500.0  # a request served within this counts as in time
    expiry_ms: float = 2000.0
    earnings: float = 1.0
    slots: float = 1.0


class Workers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[workers]`: their number, their size, and how they behave after a start."""

    count: int = 6
    slots: int = 2
    zones: int = 1
    start_capacity: float = 0.2  # fraction of the full capacity right after a start
    warm_ms: float = 4000.0  # time to warm up from start_capacity to full capacity
    overload_factor: float = 2.5  # a worker that warms up dies if sent more than this times its capacity
    fall_ms: float = 2000.0  # window over which that work is summed
    told_ms: float = 300.0  # delay until the worker list shows a change


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[load]`: the traffic of the clients."""

    rate: float = 100.0  # requests per second of all schemes
    retries: int = 3  # attempts of a request after the first
    time_left_ms: float = 2000.0  # deadline of an attempt, limited by the scheme's expiry_ms


class RandomFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[chance]`: random faults, generated from the seed in addition to those in the file."""

    faults: int = 0
    kinds: list[str] = []
    least_ms: float = 500.0
    most_ms: float = 3000.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of a plan file."""

    seconds: float
    seed: int = 1
    schedulers: int = 2
    talk: bool = False
    fleet: dict = {}  # the `fleet` settings of the schedulers, passed on unchanged; empty: no fleet
    settings: dict = {}  # override settings of the schedulers
    workers: Workers = Workers()
    load: Load = Load()
    scheme: list[Scheme] = msgspec.field(default_factory=lambda: [Scheme("lookup", "safe", 50.0)])
    fault: list[Fault] = []
    chance: RandomFaults = RandomFaults()


class Request(NamedTuple):
    """One request of the load; `due` in ms since its start."""

    number: int
    due: float
    scheme: int


def read_plan(text: bytes, seed: int | None = None) -> Plan:
    """Parses and checks a plan file. ValueError names the field.

    >>> read_plan(b"seconds = 5").schedulers
    2
    >>> read_plan(b"seconds = 5\\nschedulrs = 3")
    Traceback (most recent call last):
    ValueError: Object contains unknown field `schedulrs`
    >>> read_plan(b'seconds = 5\\n[[fault]]\\nwhat = "hangs"\\nat_ms = 1\\nfor_ms = 2')
    Traceback (most recent call last):
    ValueError: fault[0].what: no such fault: 'hangs'
    """
    try:
        plan = msgspec.convert(tomllib.loads(text.decode()), Plan, strict=False)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise ValueError(str(error)) from error
    if seed is not None:
        plan = msgspec.structs.replace(plan, seed=seed)
    for field, value, limit in (
        ("schedulers", plan.schedulers, MAX_SCHEDULERS),
        ("workers.count", plan.workers.count, MAX_WORKERS),
        ("seconds", plan.seconds, MAX_SECONDS),
        ("load.rate", plan.load.rate, MAX_RATE),
        ("load.rate", plan.load.rate * plan.seconds, MAX_REQUESTS),
    ):
        if not 0 < value <= limit:
            raise ValueError(f"{field}: {value:g} is not within 0 and {limit:g}")
    if not plan.scheme:
        raise ValueError("scheme: empty")
    names = {WORKER: set(workers(plan)), SCHEDULER: set(schedulers(plan)), DISCOVERY: set(schedulers(plan))}
    names[LINK] = names[WORKER] | names[SCHEDULER] | {"clients", "list"}
    for at, fault in enumerate(plan.fault):
        _check_fault(f"fault[{at}]", fault, names)
    for kind in plan.chance.kinds:
        if kind not in KINDS:
            raise ValueError(f"chance.kinds: no such fault: {kind!r}")
    if plan.chance.faults and not plan.chance.kinds:
        raise ValueError("chance.kinds: empty, but chance.faults is not 0")
    return plan


def _check_fault(field: str, fault: Fault, names: dict[str, set[str]]) -> None:
    if fault.what not in KINDS:
        raise ValueError(f"{field}.what: no such fault: {fault.what!r}")
    target, size = KINDS[fault.what]
    if unknown := [name for name in (*fault.who, *fault.to) if name not in names.get(target, ())]:
        raise ValueError(f"{field}.who: no {target} is called {unknown[0]!r}")
    if bool(size) != bool(fault.size):
        raise ValueError(f"{field}.size: {'missing: ' + size if size else 'has no meaning here'}")
    if fault.at_ms < 0.0 or fault.for_ms <= 0.0:
        raise ValueError(f"{field}.for_ms: at_ms must not be negative, for_ms must be positive")
    if fault.folder not in FOLDERS:
        raise ValueError(f"{field}.folder: not one of {', '.join(FOLDERS)}")
    if fault.how not in (*DISK_FAULTS, HUNG) or bool(fault.how) != (fault.what == "disk"):
        raise ValueError(f"{field}.how: required for a disk fault only, one of {', '.join(DISK_FAULTS[:-1])}")


def schedulers(plan: Plan) -> list[str]:
    return [f"s{at}" for at in range(plan.schedulers)]


def workers(plan: Plan) -> list[str]:
    return [f"w{at}" for at in range(plan.workers.count)]


def schedule(plan: Plan) -> list[Fault]:
    """All faults ordered by their start; random ones depend on the seed and the file alone.

    >>> plan = read_plan(b'seconds = 9\\n[chance]\\nfaults = 3\\nkinds = ["hang", "cut", "kill"]')
    >>> schedule(plan) == schedule(plan), schedule(plan) == schedule(read_plan(b"seconds = 9", 2))
    (True, False)
    """
    random, chance, faults = Random(plan.seed), plan.chance, list(plan.fault)
    for _ in range(chance.faults):
        what = random.choice(chance.kinds)
        target, size = KINDS[what]
        duration_ms = random.uniform(chance.least_ms, chance.most_ms)
        at = random.uniform(
            MIN_RANDOM_START_MS, max(MIN_RANDOM_START_MS, plan.seconds * 1000.0 - duration_ms)
        )
        candidates = {WORKER: workers(plan), LINK: schedulers(plan)}.get(target, schedulers(plan))
        # At most a third of them, so that some remain to serve.
        who = sorted(random.sample(candidates, random.randint(1, max(1, len(candidates) // 3))))
        sizes = {"slow": 4.0, "fail": 0.8, "delay": 200.0, "drop": 0.3, "twice": 0.3, "reorder": 100.0}
        sizes |= {"flip": 0.05, "thin": 20_000.0, "clock": 30_000.0, "jump": 1.7}
        to = [] if target != LINK else random.choice([schedulers(plan), workers(plan)])
        to = [name for name in to if name not in who]
        who = [] if target == LOAD else who
        how = random.choice(DISK_FAULTS[:-1]) if what == "disk" else ""
        faults.append(
            Fault(
                what, round(at), round(duration_ms), who, to, sizes.get(what, 1.0) if size else 0.0, how=how
            )
        )
    return sorted(faults, key=lambda fault: (fault.at_ms, fault.what, fault.who))


def load(plan: Plan) -> list[Request]:
    """Generates all requests with their due times. Open loop: a slow answer delays none of them."""
    random, at, requests = Random(f"load {plan.seed}"), 0.0, []
    weights = [scheme.part for scheme in plan.scheme]
    jumps = [fault for fault in schedule(plan) if fault.what == "jump"]
    while True:
        rate_factors = [fault.size for fault in jumps if fault.at_ms <= at < fault.at_ms + fault.for_ms]
        at += random.expovariate(plan.load.rate * max(rate_factors, default=1.0)) * 1000.0
        if at >= plan.seconds * 1000.0:
            return requests
        requests.append(Request(len(requests), at, random.choices(range(len(weights)), weights)[0]))


def spans(plan: Plan, faults: list[Fault]) -> list[tuple[float, float]]:
    """Splits the run where a fault begins, where it ends and 2 s after its end; ms.

    >>> plan = read_plan(b"seconds = 9")
    >>> spans(plan, [Fault("hang", 3000.0, 1000.0)])
    [(0.0, 3000.0), (3000.0, 4000.0), (4000.0, 6000.0), (6000.0, 9000.0)]
    """
    end = plan.seconds * 1000.0
    cuts = {0.0, end}
    for fault in faults:
        ended = fault.at_ms + fault.for_ms
        cuts |= {min(end, cut) for cut in (fault.at_ms, ended, ended + 2000.0)}
    return list(pairwise(sorted(cuts)))
