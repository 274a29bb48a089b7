"""Configuration of the scheduler, independent of the settings format."""

from enum import IntEnum
from typing import NamedTuple


class Repeats(IntEnum):
    """Whether a scheme's txn may be repeated once a posting may have run."""

    REPEATABLE = 0
    REFERENCED = 1
    ONCE_ONLY = 2


class RetryScope(IntEnum):
    """Where a txn may be retried."""

    ANYWHERE = 0
    IN_GROUP = 1
    NOWHERE = 2


# (scheme's repeats, whether an earlier posting may have run) -> (where to retry, whether to decline)
RETRY_RULES = {
    (Repeats.REPEATABLE, False): (RetryScope.ANYWHERE, True),
    (Repeats.REPEATABLE, True): (RetryScope.ANYWHERE, True),
    (Repeats.REFERENCED, False): (RetryScope.ANYWHERE, True),
    (Repeats.REFERENCED, True): (RetryScope.IN_GROUP, False),
    (Repeats.ONCE_ONLY, False): (RetryScope.ANYWHERE, True),
    (Repeats.ONCE_ONLY, True): (RetryScope.NOWHERE, False),
}


class Scope(IntEnum):
    """Workers among which repeats of a referenced txn are deduplicated."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Scheme(NamedTuple):
    """A scheme; the SLA time is `sla` plus `stretch` times the txn's own running time."""

    repeats: Repeats
    scope: Scope
    span: float
    sla: float
    stretch: float
    expiry: float
    earnings: float
    tardy: float = 0.0  # fraction of the earnings for a result past the SLA time
    kind: int = -1  # the only worker kind that can run it; -1 for any


class Account(NamedTuple):
    """A tenant's rate limit, in txns per second over all schedulers."""

    allowance: float


class Obligations(NamedTuple):
    """Parameters of the obligations towards workers: slow start, removal and full replies."""

    cold_share: float
    warm_within: float
    push_factor: float
    push_span: float
    soft_removal: bool = False  # only DRAINING is binding; a missing entry is unconfirmed
    full_may_have_run: bool = False  # workers shed begun work: 'full' does not prove that it never ran
    start_drift: float = 0.0  # ms by which a listed start may be off either way; the true one is binding

    def is_cold(self, age: float) -> bool:
        """Whether a worker of this listed age may be cold, or was within the last span."""
        return age < self.start_drift + self.warm_within + self.push_span

    def share(self, age: float) -> float:
        """Least fraction of its capacity that a worker has at this age."""
        part = max(0.0, age - self.start_drift) / self.warm_within
        return min(1.0, self.cold_share + (1.0 - self.cold_share) * part)

    def share_sum(self, age: float) -> float:
        """Integral of that fraction up to this age, in ms at full capacity. The worker may have started at
        any time within the drift, and counts as cold from the latest."""
        late = max(0.0, age - self.start_drift)
        ramp = min(late, self.warm_within)
        flat = max(0.0, min(age + self.start_drift, 2.0 * self.start_drift))
        grown = (1.0 - self.cold_share) * ramp / self.warm_within / 2.0
        return flat * self.cold_share + ramp * (self.cold_share + grown) + late - ramp


class ProtocolLimits(NamedTuple):
    """Protocol limits and prices."""

    postings: int
    call_off: bool
    probes: bool
    pause: float
    overage: float
    crossing: float


class SchedulerConfig(NamedTuple):
    """Scheduler configuration. `waiting`, `handled`, `free_slots`: columns of the load report, -1 for none;
    `live_ratings`: a worker's rating falls with its load; `subscribes`: roster changes must be requested;
    `ask_within`: interval of requests to a roster service that all schedulers share, 0 where it is none."""

    schedulers: int
    position: int
    zone: int
    schemes: tuple[Scheme, ...]
    accounts: tuple[Account, ...]
    obligations: Obligations
    limits: ProtocolLimits
    start_known: bool
    progress: float
    live_ratings: bool
    subscribes: bool
    ask_within: float
    waiting: int
    handled: int
    free_slots: int
    notify_peers: bool = False  # schedulers may send each other messages
    punctual: bool = False  # SLA misses reduce the earnings of the others; earlier declines do not
    by_work: bool = False  # earnings are per unit of work, not per txn
