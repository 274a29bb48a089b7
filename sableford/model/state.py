"""State of workers, postings, txns and queues of held txns."""

from collections import deque
from enum import IntEnum
from math import exp

from sableford.model.config import SchedulerConfig
from sableford.model.events import RosterEntry, Standing, TxnArrived
from sableford.model.rates import DecayingSum

EXCESS_MEMORY = 2500.0  # ms: several reports, so that correct reports count again soon
FLOW_MEMORY = 4000.0  # ms: decay of the count of sent postings, from which the expected wait is computed
MIN_FLOW = 1.0  # postings assumed at least: an idle queue expects one memory of wait per held txn
DEFAULT_SLOTS = 2.0  # slots of a kind without reports: the fewest that a worker is built with
PACE_MEMORY = 8000.0  # ms: decay of one worker's pace; long enough for about ten finishes
PACE_WEIGHT = 4.0  # txns that the kind's pace counts for in a worker's
RUN_MEMORY = 30_000.0  # ms: decay of the fleet's mean running times
KIND_MEMORY = 3000.0  # ms: decay of reports in a kind's mean load; a few reports of each worker
START_WAIT = 80.0  # ms: a start is reported within a round trip; an older unstarted posting is queued
MAX_HISTORY = 2000  # load changes kept per worker: without reports they are never read
State = IntEnum("State", "HELD SENT CLOSED")
Rank = IntEnum("Rank", "SHARE BEYOND TARDY", start=0)  # within a tenant's share, beyond it, past the SLA time
Input = IntEnum("Input", "ROOM LATE STALLED NEVER_RAN MAY_HAVE_RUN SETTLED CLIENT_LEFT")


class Run:
    """Mean running time of one scheme's txns over the fleet: time spent per finish."""

    def __init__(self, prior: float, weight: float) -> None:
        self.prior, self.weight = prior, weight
        self.spent, self.done, self.updated_at = 0.0, 0.0, 0.0

    def mean(self) -> float:
        return (self.spent + self.weight * self.prior) / (self.done + self.weight)


class Kind:
    """Workers of one hardware kind: their slots, and their pace relative to the fleet."""

    def __init__(self, index: int, runs: list[Run], weight: float) -> None:
        self.index, self.runs, self.weight = index, runs, weight
        self.slots, self.max_rating, self.capacity = 0.0, 0.0, DEFAULT_SLOTS
        self.taken_sum, self.reports, self.reported_at, self.typical = 0.0, 0.0, 0.0, 0.0
        self.done, self.expected, self.updated_at = 0.0, 0.0, 0.0

    def pace(self) -> float:
        return (self.done + self.weight) / (self.expected + self.weight)

    def slot_count(self) -> float:
        return max(self.slots, DEFAULT_SLOTS)

    def add_report(self, now: float, others: float) -> None:
        """Adds a report of a worker of this kind."""
        decay = exp((self.reported_at - now) / KIND_MEMORY)
        # Only slots in use count: with queues in the mean, all workers looked full at once, then all free.
        taken = min(others, self.slots)
        self.taken_sum, self.reports, self.reported_at = (
            self.taken_sum * decay + taken,
            self.reports * decay + 1.0,
            now,
        )

    def mean_load(self, now: float, age_limit: float, decay: float) -> float:
        """Mean slots in use by others at a worker of this kind; needs at least one report."""
        # It decays without reports: a kind once seen full was avoided by all schedulers and stood idle.
        silence = max(0.0, now - self.reported_at - age_limit)
        return self.taken_sum / self.reports * exp(-silence / decay)


class Worker:
    """A listed worker: its load estimate, own postings and measurements."""

    def __init__(self, index: int, entry: RosterEntry, kind: Kind) -> None:
        self.index, self.zone, self.cell, self.kind = index, entry.zone, entry.cell, kind
        self.ready, self.since, self.in_subset = entry.standing is Standing.READY, entry.since, False
        self.hash, self.listeners = entry.id_hash, ()
        self.postings: dict[tuple[int, int], Posting] = {}
        self.own = self.known = 0.0
        self.sent_at = 0.0  # time of the last posting
        self.history: deque[tuple[float, float]] = deque(maxlen=MAX_HISTORY)
        self.running = [0] * len(kind.runs)
        self.reset()

    def reset(self) -> None:
        """Resets measurements when the worker's process has restarted."""
        self.last_report: tuple[float, ...] = ()
        self.others, self.as_of = -1.0, 0.0
        self.done, self.expected, self.pace, self.updated_at = 0.0, 0.0, 1.0, 0.0
        self.excess = DecayingSum(EXCESS_MEMORY)  # jobs beyond the estimate, by own queued postings
        self.errors, self.successes, self.health_at, self.last_seen = 0.0, 0.0, 0.0, 0.0
        self.has_queue = self.stalled = False
        self.suspect, self.probe_ok, self.probed_at = False, False, -1e12
        self.turn, self.debt = -1, 0.0
        self.sends: deque[tuple[float, float]] = deque()  # while cold: time, and cost in mean txns
        self.peer_slots: dict[
            int, tuple[float, float]
        ] = {}  # by scheduler: its slots here, and when it sent that
        self.peer_total = 0.0  # their sum

    def change_known(self, slots: float, now: float) -> None:
        """Changes the slots of known postings that a report includes."""
        self.known = max(0.0, self.known + slots)
        self.history.append((now, self.known))

    def update_load(self, now: float, jobs: float, lag: float) -> None:
        """Updates the estimate by a report: the jobs here a lag ago, less the known ones then."""
        while len(self.history) > 1 and self.history[1][0] <= now - lag:
            self.history.popleft()
        self.as_of = now - lag
        self.others = max(0.0, jobs - self.known_at(self.as_of))
        if not (self.stalled or self.suspect):  # jobs piling up on a dead worker do not reflect its kind
            self.kind.add_report(now, self.others)

    def set_peer_load(self, now: float, peer: int, slots: float) -> float:
        """Sets another scheduler's load here; returns the change from its previous one."""
        change = slots - self.peer_slots.get(peer, (0.0, 0.0))[0]
        self.peer_slots[peer] = slots, now
        self.peer_total += change
        self.known += change
        self.history.append((now, self.known))
        return change

    def clear_peer_loads(self, queue_known: bool) -> None:
        """Drops all loads of other schedulers."""
        self.peer_slots.clear()
        self.peer_total, self.known = 0.0, self.own if queue_known else 0.0
        self.history.clear()

    def expire_peer_loads(self, now: float, life: float) -> None:
        """Drops loads of other schedulers that are older than `life`: the sender may have been killed."""
        for peer, (slots, at) in list(self.peer_slots.items()):
            if now - at > life:
                del self.peer_slots[peer]
                self.peer_total -= slots
                self.change_known(-slots, now)

    def measure(self, now: float) -> None:
        """Updates the running-time sums of the worker, its kind and the schemes."""
        elapsed = now - self.updated_at
        fade = exp(-elapsed / PACE_MEMORY)
        kind = self.kind
        decay = exp((kind.updated_at - now) / RUN_MEMORY)
        kind.done, kind.expected, kind.updated_at = kind.done * decay, kind.expected * decay, now
        expected = 0.0
        for scheme, count in enumerate(self.running):
            run = kind.runs[scheme]
            decay = exp((run.updated_at - now) / RUN_MEMORY)
            run.spent, run.done, run.updated_at = run.spent * decay, run.done * decay, now
            if count:
                run.spent += elapsed * count
                expected += elapsed * count / run.mean()
        kind.expected += expected
        self.done, self.expected, self.updated_at = self.done * fade, self.expected * fade + expected, now
        self.pace = (self.done + PACE_WEIGHT * kind.pace()) / (self.expected + PACE_WEIGHT)

    def known_at(self, when: float) -> float:
        """Slots of known postings that a report as of that time includes."""
        for at, known in reversed(self.history):
            if at <= when:
                return known
        return 0.0


class TxnQueue:
    """Held txns of one scheme and rank, earliest limit first, and how many were sent recently."""

    def __init__(self, scheme: int, rank: int, run: Run) -> None:
        self.scheme, self.rank, self.run = scheme, rank, run
        self.entries: list[tuple[float, int]] = []
        self.flow = DecayingSum(FLOW_MEMORY)

    def wait(self, now: float) -> float:
        """Expected time until all held txns are sent, by the recent flow."""
        # The head goes as soon as there is room; counting it made small schedulers decline all the rest.
        return max(0, len(self.entries) - 1) * self.flow.memory / max(self.flow.read(now), MIN_FLOW)


class Posting:
    __slots__ = ("called_off", "need", "queued", "scheme", "seen_at", "sent", "silent", "started", "worker")

    def __init__(self, worker: Worker, scheme: int, need: float, now: float) -> None:
        self.worker, self.scheme, self.need = worker, scheme, need
        self.sent, self.seen_at = now, now
        self.started = self.called_off = self.silent = self.queued = False

    def overdue(self, now: float) -> bool:
        """Whether it has not started within a round trip."""
        return not self.started and now - self.sent > START_WAIT

    def unanswered(self, now: float, within: float) -> bool:
        """Whether its worker has sent nothing since, for at least `within` (a mean run: it may hang)."""
        return not self.started and self.worker.last_seen < self.sent < now - within


class Txn:
    def __init__(self, spec: TxnArrived, config: SchedulerConfig, limit: float, rank: int) -> None:
        self.spec, self.limit, self.rank = spec, limit, rank
        # Those at arrival: looked up by index later, a changed file gave it another scheme's settings.
        self.scheme, self.postings = config.schemes[spec.scheme], config.limits.postings
        self.start_by, self.moved = spec.expiry, False
        self.state, self.posted = State.HELD, 0
        self.in_flight: dict[int, Posting] = {}
        self.origin: Posting | None = None  # the first posting that may have run
        self.avoid: Worker | None = None
