"""Effects that the Raft state machine asks its host to carry out, state read from disk, and voting status."""

from enum import Enum
from typing import NamedTuple

from sableford.consensus.messages import Entry, RaftMessage
from sableford.consensus.state_machine import Snapshot


class Standing(Enum):
    """Whether this process may vote, and if not, why. Its startup answers hold in every state."""

    LEARNER = "not a voter"
    NEW = "waits for all voters to be new too"
    ASKING = "asks the others how far it was"
    VOTING = "votes"
    INCOMPLETE = "fetches what its disk lost"
    REPLACED = "its folder was lost or set back; it comes back as a newcomer"
    NO_DISK = "its disk does not take what it must keep"


VOTING_STANDINGS = {Standing.VOTING}
# Entries on the disk of such a process count towards a majority.
ACKNOWLEDGING_STANDINGS = {Standing.VOTING, Standing.INCOMPLETE, Standing.NEW, Standing.ASKING}


class StoredState(NamedTuple):
    """State read from a data folder at startup. `lost`: the term and index up to which the folder must once
    have held entries that it no longer has."""

    id: str
    term: int = 0
    vote: str = ""
    snapshot: Snapshot | None = None
    first: int = 1  # the index of the first entry, and the term of the one before it
    before: int = 0
    entries: tuple[Entry, ...] = ()
    lost: tuple[int, int] | None = None


class Send(NamedTuple):
    """Sends `message` to the process `to`."""

    to: str
    message: RaftMessage


class Persist(NamedTuple):
    """Writes to make durable, in this order, before `handle_persisted(number)` is called."""

    number: int
    writes: tuple


class HardState(NamedTuple):
    term: int
    vote: str


class AppendToLog(NamedTuple):
    index: int
    entry: Entry


class TruncateLog(NamedTuple):
    """Removes the entries after `index`."""

    index: int


class ReplaceLog(NamedTuple):
    """Replaces the whole log: after a change of id, a snapshot, or a disk failure."""

    id: str
    hard_state: HardState
    snapshot: Snapshot | None
    first: int
    before: int
    entries: tuple[Entry, ...]
    lost: tuple[int, int] | None = None  # carried over from an earlier start until the entries are recovered


class ProposalResult(NamedTuple):
    """The outcome of a proposal or read of this process: its index, or why it was rejected."""

    number: int
    accepted: bool
    index: int
    reason: str


class Committed(NamedTuple):
    """An entry was committed and applied here. `effective`: whether it had an effect."""

    index: int
    entry: Entry
    effective: bool


class SnapshotInstalled(NamedTuple):
    """A fetched snapshot replaced the state: it includes all entries up to `index`."""

    index: int


class LogEvent(NamedTuple):
    """An event for the operator's log."""

    event: str
    fields: dict


Effect = Send | Persist | ProposalResult | Committed | SnapshotInstalled | LogEvent


class LogDurable(NamedTuple):
    """The log is durable up to entry `last`, which is of `term`."""

    last: int
    term: int


class OwnVoteDurable(NamedTuple):
    """This process's own vote is durable and may be counted in the election of `term`."""

    term: int
