"""What the core holds of a worker, a posting, a txn and a lane of held ones: types, no decisions."""

from collections import deque
from enum import IntEnum
from math import exp

from sableford.model.events import Listed, Standing, Taken
from sableford.model.tally import Tally
from sableford.model.terms import Terms

EXCESS_MEMORY = 2500.0  # ms: some reports, so that one come true is believed again
FLOW_MEMORY = 4000.0  # ms: decay of the count of postings, by which the wait ahead is told
FLOW_LEAST = 1.0  # postings in the sum at least: a lane that got none lately waits one memory for each held
UNHEARD_SLOTS = 2.0  # slots of a kind not yet heard of: the least a worker is built with
PACE_MEMORY = 8000.0  # ms: decay of one worker's pace; long enough for some ten finishes
PACE_WEIGHT = 4.0  # txns that the kind's pace counts for in a worker's
RUN_MEMORY = 30_000.0  # ms: decay of the fleet's mean runs
KIND_MEMORY = 3000.0  # ms: decay of a kind's reports in its mean of others; a few reports of each worker
START_WAIT = 80.0  # ms: a start is told within a round trip; an older unstarted posting waits in line there
PAST_MOST = 2000  # changes kept of one worker: where nothing is reported they are never read
State = IntEnum("State", "HELD OUT OVER")
Rank = IntEnum("Rank", "SHARE BEYOND TARDY", start=0)  # of a tenant's share, beyond it, past the SLA time
Input = IntEnum("Input", "ROOM LATE STALLED NEVER_RAN MAY_HAVE_RUN SETTLED LAPSED")


class Run:
    """The mean run of one scheme's txns over the fleet: running time spent for each finish."""

    def __init__(self, prior: float, weight: float) -> None:
        self.prior, self.weight = prior, weight
        self.spent, self.done, self.touched = 0.0, 0.0, 0.0

    def mean(self) -> float:
        return (self.spent + self.weight * self.prior) / (self.done + self.weight)


class Kind:
    """Workers built alike: their slots, and their pace against the fleet."""

    def __init__(self, index: int, runs: list[Run], weight: float) -> None:
        self.index, self.runs, self.weight = index, runs, weight
        self.slots, self.size, self.wide = 0.0, 0.0, UNHEARD_SLOTS
        self.held, self.heard, self.heard_at, self.usual = 0.0, 0.0, 0.0, 0.0
        self.done, self.due, self.touched = 0.0, 0.0, 0.0

    def pace(self) -> float:
        return (self.done + self.weight) / (self.due + self.weight)

    def room(self) -> float:
        return max(self.slots, UNHEARD_SLOTS)

    def hear(self, now: float, others: float) -> None:
        """One report of a worker of this kind."""
        fade = exp((self.heard_at - now) / KIND_MEMORY)
        # Lines in the mean closed all workers at once, then opened them all: only slots taken count.
        taken = min(others, self.slots)
        self.held, self.heard, self.heard_at = self.held * fade + taken, self.heard * fade + 1.0, now

    def held_at(self, now: float, age_limit: float, fade: float) -> float:
        """Mean slots taken by others at a worker of this kind, by reports; it must have been heard of."""
        # It fades with silence: a kind once seen full was left alone by all schedulers and stood idle.
        silence = max(0.0, now - self.heard_at - age_limit)
        return self.held / self.heard * exp(-silence / fade)


class Worker:
    """One listed worker: its copy, its own postings, what was measured of it."""

    def __init__(self, index: int, line: Listed, kind: Kind) -> None:
        self.index, self.zone, self.cell, self.kind = index, line.zone, line.cell, kind
        self.ready, self.since, self.drawn = line.standing is Standing.READY, line.since, False
        self.mark, self.listeners = line.mark, ()
        self.postings: dict[tuple[int, int], Posting] = {}
        self.own = self.shown = 0.0
        self.sent_at = 0.0  # the last posting
        self.past: deque[tuple[float, float]] = deque(maxlen=PAST_MOST)
        self.running = [0] * len(kind.runs)
        self.forget()

    def forget(self) -> None:
        """A fresh process: nothing measured of the old one holds."""
        self.figures: tuple[float, ...] = ()
        self.others, self.true_at = -1.0, 0.0
        self.done, self.due, self.pace, self.touched = 0.0, 0.0, 1.0, 0.0
        self.excess = Tally(EXCESS_MEMORY)  # jobs there beyond the copy, by own postings in line
        self.faults, self.sound, self.judged, self.heard = 0.0, 0.0, 0.0, 0.0
        self.waits = self.still = False
        self.doubted, self.vouched, self.probed = False, False, -1e12
        self.turn, self.debt = -1, 0.0
        self.sends: deque[tuple[float, float]] = deque()  # while cold: when, and the cost in mean txns
        self.told: dict[int, tuple[float, float]] = {}  # by scheduler: its slots here, and since when
        self.theirs = 0.0  # their sum

    def show(self, slots: float, now: float) -> None:
        """So many slots more of known postings that a report counts."""
        self.shown = max(0.0, self.shown + slots)
        self.past.append((now, self.shown))

    def renew(self, now: float, jobs: float, lag: float) -> None:
        """A fresh copy: the jobs here a lag ago, less the own ones then."""
        while len(self.past) > 1 and self.past[1][0] <= now - lag:
            self.past.popleft()
        self.true_at = now - lag
        self.others = max(0.0, jobs - self.shown_at(self.true_at))
        if not (self.still or self.doubted):  # what piles up on a dead worker says nothing of its kind
            self.kind.hear(now, self.others)

    def hear(self, now: float, peer: int, slots: float) -> float:
        """Another scheduler's part of what is here; how much more that is than it said before."""
        more = slots - self.told.get(peer, (0.0, 0.0))[0]
        self.told[peer] = slots, now
        self.theirs += more
        self.shown += more
        self.past.append((now, self.shown))
        return more

    def hush(self, line_shown: bool) -> None:
        """Nothing told counts any longer."""
        self.told.clear()
        self.theirs, self.shown = 0.0, self.own if line_shown else 0.0
        self.past.clear()

    def outdate(self, now: float, life: float) -> None:
        """Forget what was said so long ago that it must be over: who said so may have been killed."""
        for peer, (slots, at) in list(self.told.items()):
            if now - at > life:
                del self.told[peer]
                self.theirs -= slots
                self.show(-slots, now)

    def measure(self, now: float) -> None:
        """Bring the worker's, its kind's and the schemes' sums up to date."""
        spell = now - self.touched
        fade = exp(-spell / PACE_MEMORY)
        kind = self.kind
        drop = exp((kind.touched - now) / RUN_MEMORY)
        kind.done, kind.due, kind.touched = kind.done * drop, kind.due * drop, now
        due = 0.0
        for scheme, count in enumerate(self.running):
            run = kind.runs[scheme]
            drop = exp((run.touched - now) / RUN_MEMORY)
            run.spent, run.done, run.touched = run.spent * drop, run.done * drop, now
            if count:
                run.spent += spell * count
                due += spell * count / run.mean()
        kind.due += due
        self.done, self.due, self.touched = self.done * fade, self.due * fade + due, now
        self.pace = (self.done + PACE_WEIGHT * kind.pace()) / (self.due + PACE_WEIGHT)

    def shown_at(self, when: float) -> float:
        """Slots of own postings that a report true at that time counts."""
        for at, shown in reversed(self.past):
            if at <= when:
                return shown
        return 0.0


class Lane:
    """Held txns of one scheme and rank, the next one's limit first, and how many went out lately."""

    def __init__(self, scheme: int, rank: int, run: Run) -> None:
        self.scheme, self.rank, self.run = scheme, rank, run
        self.queue: list[tuple[float, int]] = []
        self.flow = Tally(FLOW_MEMORY)

    def wait(self, now: float) -> float:
        """How long what it holds takes to go out, by its recent flow."""
        # The first in line goes once there is room; one held txn made small schedulers decline the rest.
        return max(0, len(self.queue) - 1) * self.flow.memory / max(self.flow.read(now), FLOW_LEAST)


class Posting:
    __slots__ = ("called_off", "lined", "mute", "need", "news", "scheme", "sent", "started", "worker")

    def __init__(self, worker: Worker, scheme: int, need: float, now: float) -> None:
        self.worker, self.scheme, self.need = worker, scheme, need
        self.sent, self.news = now, now
        self.started = self.called_off = self.mute = self.lined = False

    def waited(self, now: float) -> bool:
        """Whether it has not begun within a round trip."""
        return not self.started and now - self.sent > START_WAIT

    def silent(self, now: float, within: float) -> bool:
        """Whether nothing at all was heard of its worker for so long (a mean run: it may hang) since then."""
        return not self.started and self.worker.heard < self.sent < now - within


class Txn:
    def __init__(self, taken: Taken, terms: Terms, limit: float, rank: int) -> None:
        self.taken, self.limit, self.rank = taken, limit, rank
        # The terms it came under: read by its index later, a changed file made it another scheme's.
        self.scheme, self.postings = terms.schemes[taken.scheme], terms.tariff.postings
        self.hopeless, self.moved = taken.expiry, False
        self.state, self.posted = State.HELD, 0
        self.out: dict[int, Posting] = {}
        self.origin: Posting | None = None  # the first posting that may have run
        self.avoid: Worker | None = None
