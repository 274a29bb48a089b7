"""The data of the simulation: machines with their disks, observed events, and the configuration."""

from typing import Any, NamedTuple

from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerSelector

MACHINE_LOSS = 1  # stores that may be lost at once

DISK_SYNC_MS = (2.0, 6.0)  # ms of one commit
DISK_READ_MS = (1.0, 4.0)  # ms to read the body of a message
LINK_DELAY_MS = (0.2, 1.2)  # ms, in one direction
RESTART_MS = (800.0, 800.0)  # ms from the end of a process to the start of the next one on its machine
ROSTER_CHANGE_MS = (8.0, 8.0)  # ms until a change of the roster is agreed on
RUN_MS = (10.0, 120.0)  # ms that a worker takes for a message
RETIRED_ENDS_MS = (0.0, 2000.0)  # ms from the end of a retirement until its process is ended
REPORTS_ARRIVE_MS = 200.0  # until all other stores know how many deliveries a store has in flight
MAX_ATTEMPTS = 3  # failures after which a message is a dead letter
# Rule BUDGET: failed runs of a message, even if owners did not know of earlier ones.
MAX_FAILURES = 3 * MAX_ATTEMPTS
EARLY_MS = 300.0  # how long before the end of its delay a message may start (`notBeforeMs` and 200 ms)
ACCEPTED_KNOWN_MS = 2000.0  # after acceptance; from then on no edge may answer 404
STATUS_POLL_MS = (400.0, 4000.0)  # between two status polls of one message
STATUS_POLL_UNTIL_MS = 10_000.0  # after the last fault
QUIET_MS = 4000.0  # ms without faults, after which running a message again after a success is a violation
LOST_AFTER_RETURN_MS = 4600.0  # ms for which a machine still counts as lost after its return (`syncS`)
GRACE_MS = 6000.0  # ms from SIGTERM to SIGKILL (`graceS`)
FAULTS = (
    "kill",
    "power",
    "wipe",
    "cut",
    "freeze",
    "term",
    "core",
    "stall",
    "full",
    "replace",
    "retire",
    "planned",
)
DOC = {
    "routes": [
        {
            "name": "a",
            "hostname": "h",
            "pathPrefix": "/a",
            "backend": "a",
            "deadlineMs": 1000,
            "maxTries": MAX_ATTEMPTS,
        }
        | {"fifo": True, "retentionS": 300, "startTargetMs": 1200},
        {
            "name": "b",
            "hostname": "h",
            "pathPrefix": "/b",
            "backend": "a",
            "deadlineMs": 1000,
            "maxTries": MAX_ATTEMPTS,
        }
        | {"retentionS": 300, "startTargetMs": 1200},
    ],
    "backends": [{"name": "a"}],
}


class RuleViolation(Exception):
    """A rule was broken. The message lists what clients and workers observed."""


class HistoryEvent(NamedTuple):
    at: float
    what: str
    facts: tuple


class SimulatedStore:
    """One machine. Its disk outlives the incarnations of its store."""

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.disk: dict[tuple[str, str], Any] = {}  # synced: ("m", ref) or ("e", ref)
        self.stored_zones: dict[str, str] = {}
        self.completeness = ""  # "" before the first start, then "whole" or "lost"
        self.alive, self.frozen_until, self.stalled_until = False, 0.0, 0.0
        self.full_until = 0.0  # until then its disk rejects writes
        self.incarnation = ""
        self.queue: Queue | None = None
        self.selector: WorkerSelector | None = None
        self.view_number, self.term, self.joined, self.leaving = 0, 0, False, False
        self.granted_until = 0.0  # until when the leader counts it as a member
        self.has_lapsed = True  # its lease ran out before the last join
        self.has_current_view = False  # a view was received since the last join
        self.started_at = 0.0
        self.replaced = False  # it is removed permanently, with its disk, once it has exited
