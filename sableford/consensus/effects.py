"""What a folder held, what the record asks of its host, and whether it may vote."""

from enum import Enum
from typing import NamedTuple

from sableford.consensus.messages import Entry, RaftMessage
from sableford.consensus.state_machine import Snapshot


class Standing(Enum):
    """Whether this process may vote, and if not, why. What it says to others is true in each of them."""

    LEARNER = "not a voter"
    NEW = "waits for all voters to be new too"
    ASKING = "asks the others how far it was"
    VOTING = "votes"
    INCOMPLETE = "fetches what its disk lost"
    REPLACED = "its folder was lost or set back; it comes back as a newcomer"
    NO_DISK = "its disk does not take what it must keep"


VOTES = {Standing.VOTING}


ACKS = {Standing.VOTING, Standing.INCOMPLETE, Standing.NEW, Standing.ASKING}  # what it holds it does hold


class StoredState(NamedTuple):
    """What a folder held at the start. `lost` is what it must once have held beyond that: a term and an
    entry."""

    id: str
    term: int = 0
    vote: str = ""
    snapshot: Snapshot | None = None
    first: int = 1  # the index of the first entry, and the term of the one before it
    before: int = 0
    entries: tuple[Entry, ...] = ()
    lost: tuple[int, int] | None = None


class Send(NamedTuple):
    to: str
    message: RaftMessage


class Persist(NamedTuple):
    """To be on disk, in this order, before `stored(number)` is called."""

    number: int
    writes: tuple


class HardState(NamedTuple):
    term: int
    vote: str


class AppendToLog(NamedTuple):
    index: int
    entry: Entry


class TruncateLog(NamedTuple):
    """Entries after `index` go."""

    index: int


class ReplaceLog(NamedTuple):
    """Everything anew: another id, or a snapshot in place of what was there."""

    id: str
    meta: HardState
    snapshot: Snapshot | None
    first: int
    before: int
    entries: tuple[Entry, ...]
    lost: tuple[int, int] | None = None  # still, of an earlier start


class ProposalResult(NamedTuple):
    """A proposal made here has its end: where it stands, or why not."""

    number: int
    yes: bool
    index: int
    why: str


class Committed(NamedTuple):
    """One more entry is in force here."""

    index: int
    entry: Entry
    held: bool


class SnapshotInstalled(NamedTuple):
    """A snapshot was fetched: all that entries up to `index` add up to is in force here."""

    index: int


class LogEvent(NamedTuple):
    """For people."""

    event: str
    facts: dict


Effect = Send | Persist | ProposalResult | Committed | SnapshotInstalled | LogEvent


class Persisted(NamedTuple):
    last: int
    term: int


class OwnVoteCounts(NamedTuple):
    """The own vote counts from here on."""

    term: int
