"""Events that the scheduler handles. Times are in ms; txns and workers are small indices."""

from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

from sableford.model.config import SchedulerConfig


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
    UNFIT = 8  # the worker rejects the request itself as invalid


SILENT = (Ending.CALLED_OFF, Ending.TIMED_OUT)  # the worker sent no result
NEVER_RAN = frozenset({Ending.FULL, Ending.NO_CONNECTION, Ending.NOT_SENT})


class Standing(IntEnum):
    """State of a worker in the roster."""

    GONE = 0
    READY = 1
    DRAINING = 2


class TxnArrived(NamedTuple):
    """A txn has arrived; it must get exactly one final answer."""

    txn: int
    scheme: int
    account: int
    expiry: float
    slots: float
    work: float = 0.0  # hinted running time on a standard core, 0 if not given
    key: int = 0  # txns of one key share state at their worker, 0 if not given


class Started(NamedTuple):
    """A posting has started to run."""

    txn: int
    posting: int


class Progressed(NamedTuple):
    """Progress of a running posting; `share` of it is done."""

    txn: int
    posting: int
    share: float


class Ended(NamedTuple):
    """A posting has ended; `closed` if its txn has its final answer. `load`: the load report, if any."""

    txn: int
    posting: int
    ending: Ending
    closed: bool
    load: tuple[float, ...]


class ClientLeft(NamedTuple):
    """The client has disconnected; no answer is needed."""

    txn: int


class Woken(NamedTuple):
    """A requested wake-up is due."""


class Probed(NamedTuple):
    """The result of a probe."""

    worker: int
    answered: bool
    load: tuple[float, ...]


class RosterEntry(NamedTuple):
    """A roster entry; `since` is the worker's last start, 0 for long ago."""

    worker: int
    zone: int
    kind: int
    cell: int
    standing: Standing
    since: float
    id_hash: int = 0  # hash of the worker's id, the same at all schedulers


class Roster(NamedTuple):
    """New or changed entries; a worker missing from a complete list is GONE. `rating` returns a worker's
    current weight in the list, 0 if there is none."""

    entries: tuple[RosterEntry, ...]
    rating: Callable[[int], float]


class PeerUpdate(NamedTuple):
    """Another scheduler's current load at a worker, in slots."""

    peer: int
    worker: int
    slots: float


class WorkerOverride(NamedTuple):
    """Operators took a worker out of service at that time, or (`out` false) returned it, cold."""

    worker: int
    out: bool
    at: float

    def apply(self, entry: "RosterEntry") -> "RosterEntry":
        """Returns the roster entry with this override applied."""
        if not self.out:  # operators restarted it, whatever start is listed
            return entry._replace(since=max(entry.since, self.at))
        return entry._replace(standing=Standing.DRAINING) if entry.standing is Standing.READY else entry


class ConfigChanged(NamedTuple):
    """A new configuration; known schemes keep their indices, and open txns their old configuration."""

    config: SchedulerConfig


class TurnsChanged(NamedTuple):
    """Whether this process, or another one of this scheduler, uses its turns at cold workers from now on."""

    ours: bool


class RosterFailed(NamedTuple):
    """A roster request failed, or the subscription ended."""


Event = (
    TxnArrived
    | Started
    | Progressed
    | Ended
    | ClientLeft
    | Woken
    | Probed
    | PeerUpdate
    | Roster
    | WorkerOverride
    | TurnsChanged
    | ConfigChanged
    | RosterFailed
)
