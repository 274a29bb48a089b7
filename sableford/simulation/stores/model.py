"""What the simulation is made of: a machine with its disk, what was seen, the configuration."""

from typing import Any, NamedTuple

from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerSelector

MACHINE_LOSS = 1  # stores that may be lost at once

SYNC = (2.0, 6.0)  # ms of one commit
READ = (1.0, 4.0)  # ms until a message's bytes are read
WAY = (0.2, 1.2)  # ms of one word
MAX_TRIES = 3  # failures after which a message is a dead letter
MOST_FAILURES = 3 * MAX_TRIES  # runs that fail, whatever owners knew of the ones before (BUDGET)
EARLY_MS = 300.0  # before the end of its delay that a message may begin (`notBeforeMs` and 200 ms)
ACCEPTED_KNOWN_MS = 2000.0  # after its acceptance that no edge may answer 404 for a message
ASK_EVERY_MS = (400.0, 4000.0)  # between two questions after the state of one message
ASK_UNTIL_MS = 10_000.0  # after the last fault
CALM = 4000.0  # ms without trouble before a run again after a success counts as wrong
SYNC_MS = 4600.0  # ms after its return that a machine still counts as lost (`syncS`)
GRACE_MS = 6000.0  # ms from the order to end to the kill (`graceS`)
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
            "maxTries": MAX_TRIES,
        }
        | {"fifo": True, "retentionS": 300, "startTargetMs": 1200},
        {
            "name": "b",
            "hostname": "h",
            "pathPrefix": "/b",
            "backend": "a",
            "deadlineMs": 1000,
            "maxTries": MAX_TRIES,
        }
        | {"retentionS": 300, "startTargetMs": 1200},
    ],
    "backends": [{"name": "a"}],
}


class Wrong(Exception):
    """A rule is broken; the text tells what clients and workers saw."""


class Seen(NamedTuple):
    at: float
    what: str
    facts: tuple


class SimulatedStore:
    """One machine: its disk outlives its lives."""

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.kept: dict[tuple[str, str], Any] = {}  # synced: ("m", ref) or ("e", ref)
        self.kept_zones: dict[str, str] = {}
        self.mark = ""  # "whole" once it is
        self.alive, self.frozen, self.stalled = False, 0.0, 0.0
        self.full = 0.0  # until then its disk takes nothing
        self.incarnation = ""
        self.queue: Queue | None = None
        self.choice: WorkerSelector | None = None
        self.view_number, self.term, self.joined, self.leaving = 0, 0, False, False
        self.granted = 0.0  # until when the leader counts it as a member
        self.has_lapsed = True  # its lease ran out before the last join
        self.has_current_view = False  # a view came since the last join
        self.up_at = 0.0
        self.replaced = False  # once it has ended it is gone for good, with its disk
