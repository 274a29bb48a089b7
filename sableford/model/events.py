"""What the core is told. Times are milliseconds; txns and workers are small indices given at the door."""

from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

from sableford.model.terms import Terms


class Ending(IntEnum):
    """How a posting finished."""

    SETTLED = 0
    ERROR = 1
    FULL = 2
    TIMED_OUT = 3
    NO_CONNECTION = 4
    BROKEN = 5
    CALLED_OFF = 6
    NOT_SENT = 7
    UNFIT = 8  # the worker says that the request itself is at fault


UNTOLD = (Ending.CALLED_OFF, Ending.TIMED_OUT)  # the worker has said nothing
NEVER_RAN = frozenset({Ending.FULL, Ending.NO_CONNECTION, Ending.NOT_SENT})


class Standing(IntEnum):
    """What the roster says of a worker."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Taken(NamedTuple):
    """A txn has come in; one final answer is owed from here on."""

    txn: int
    scheme: int
    account: int
    expiry: float
    slots: float
    work: float = 0.0  # its running time on a standard core as hinted, 0 where it is not told
    key: int = 0  # txns of one key need the same things at their worker, 0 where none is told


class Started(NamedTuple):
    """A posting has begun to run."""

    txn: int
    posting: int


class Progressed(NamedTuple):
    """A running posting moves; `share` of it is done."""

    txn: int
    posting: int
    share: float


class Ended(NamedTuple):
    """A posting is over; `closed` when the txn has its final answer. `load` holds report figures or none."""

    txn: int
    posting: int
    ending: Ending
    closed: bool
    load: tuple[float, ...]


class Lapsed(NamedTuple):
    """The client has left; nothing more is owed."""

    txn: int


class Woken(NamedTuple):
    """A wake-up asked for has come."""


class Sampled(NamedTuple):
    """A probe is back."""

    worker: int
    answered: bool
    load: tuple[float, ...]


class Listed(NamedTuple):
    """One worker's line in the roster; `since` is its last start, 0 for long ago."""

    worker: int
    zone: int
    kind: int
    cell: int
    standing: Standing
    since: float
    mark: int = 0  # a number that all schedulers have for this worker


class Roster(NamedTuple):
    """Lines that are new or changed; a worker left out of a complete list comes as GONE. `rating` tells what
    the list now says of one worker's weight, 0 where nothing."""

    lines: tuple[Listed, ...]
    rating: Callable[[int], float]


class Heard(NamedTuple):
    """Another scheduler says what it has out at a worker now, in slots."""

    peer: int
    worker: int
    slots: float


class Banned(NamedTuple):
    """Operators took a worker out by hand at that time, or (`out` false) called it back, cold."""

    worker: int
    out: bool
    at: float

    def over(self, told: "Listed") -> "Listed":
        """What holds of a line of the roster under this."""
        if not self.out:  # operators restarted it, whatever start the list knows of
            return told._replace(since=max(told.since, self.at))
        return told._replace(standing=Standing.DRAINING) if told.standing is Standing.READY else told


class Amended(NamedTuple):
    """Other terms from now on; each scheme that there was has its place still. What is open keeps its own."""

    terms: Terms


class Turns(NamedTuple):
    """Whether this process takes its scheduler's turns at cold workers from now on, or another one does."""

    ours: bool


class Unfollowed(NamedTuple):
    """The roster's changes were asked for in vain, or stopped coming."""


Event = (
    Taken
    | Started
    | Progressed
    | Ended
    | Lapsed
    | Woken
    | Sampled
    | Heard
    | Roster
    | Banned
    | Turns
    | Amended
    | Unfollowed
)
