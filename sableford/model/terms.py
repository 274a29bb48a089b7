"""What is read once at start, in trade terms."""

from enum import IntEnum
from typing import NamedTuple


class Repeats(IntEnum):
    """What a scheme allows once a posting may have run."""

    REPEATABLE = 0
    REFERENCED = 1
    ONCE_ONLY = 2


class Again(IntEnum):
    """Where a txn may go once more."""

    ANYWHERE = 0
    IN_GROUP = 1
    NOWHERE = 2


# (scheme's repeats, may an earlier posting have run) -> where it may go again, may it be declined
PERMITS = {
    (Repeats.REPEATABLE, False): (Again.ANYWHERE, True),
    (Repeats.REPEATABLE, True): (Again.ANYWHERE, True),
    (Repeats.REFERENCED, False): (Again.ANYWHERE, True),
    (Repeats.REFERENCED, True): (Again.IN_GROUP, False),
    (Repeats.ONCE_ONLY, False): (Again.ANYWHERE, True),
    (Repeats.ONCE_ONLY, True): (Again.NOWHERE, False),
}


class Scope(IntEnum):
    """Which workers drop a referenced txn's repeats."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Scheme(NamedTuple):
    """One scheme: `sla` plus `stretch` times the own running time is the SLA time."""

    repeats: Repeats
    scope: Scope
    span: float
    sla: float
    stretch: float
    expiry: float
    earnings: float
    tardy: float = 0.0  # the part of the earnings that an answer past the SLA time gets
    kind: int = -1  # of worker, the only one that can run it; -1 for any


class Account(NamedTuple):
    """A tenant and the txns a second it may send, over all schedulers."""

    allowance: float


class Duties(NamedTuple):
    """The figures of the four rules."""

    cold_share: float
    warm_within: float
    push_factor: float
    push_span: float
    soft: bool = False  # only draining binds: 'gone' is hearsay
    full_may_have_run: bool = False  # workers shed work that they had begun: 'full' is no proof
    start_drift: float = 0.0  # ms that a listed start may be off either way: the true one counts

    def is_cold(self, age: float) -> bool:
        """Whether a worker listed as started so long ago may be cold, or was within a span."""
        return age < self.start_drift + self.warm_within + self.push_span

    def bears(self, age: float) -> float:
        """The part of its capacity that a worker has at least."""
        part = max(0.0, age - self.start_drift) / self.warm_within
        return min(1.0, self.cold_share + (1.0 - self.cold_share) * part)

    def borne(self, age: float) -> float:
        """The sum of that part over its life, ms at full capacity; it may have started at any time that the
        list allows, and counts as cold till the latest."""
        late = max(0.0, age - self.start_drift)
        ramp = min(late, self.warm_within)
        flat = max(0.0, min(age + self.start_drift, 2.0 * self.start_drift))
        grown = (1.0 - self.cold_share) * ramp / self.warm_within / 2.0
        return flat * self.cold_share + ramp * (self.cold_share + grown) + late - ramp


class Tariff(NamedTuple):
    """What is allowed and what it costs."""

    postings: int
    call_off: bool
    probes: bool
    pause: float
    overage: float
    crossing: float


class Terms(NamedTuple):
    """Everything the core knows at start. The last four say which report figure stands where, -1 for none;
    `live` that a worker's rating falls with what it holds, `follows` that the roster must be asked for;
    `ask_within`: that it is a service all schedulers share, to be asked that often, 0 where it is not."""

    schedulers: int
    position: int
    zone: int
    schemes: tuple[Scheme, ...]
    accounts: tuple[Account, ...]
    duties: Duties
    tariff: Tariff
    tells_start: bool
    progress: float
    live: bool
    follows: bool
    ask_within: float
    waiting: int
    handled: int
    free_slots: int
    tells: bool = False  # schedulers may send each other messages
    punctual: bool = False  # misses of the SLA time cost the others' earnings; declines before it do not
    by_work: bool = False  # earnings count for each unit of work, not for each txn
