"""The record's entries, and the words that voters and learners exchange over them."""

from enum import IntEnum

import msgspec

Kind = IntEnum("Kind", "NOTHING PUT VOTERS", start=0)


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """`author` and `number` tell a repeat of the same proposal; `data` is the kind's own."""

    term: int
    kind: int
    author: str = ""
    number: int = 0
    data: bytes = b""


class Put(msgspec.Struct, array_like=True, frozen=True):
    """A key's new value, none to remove it; only where the key was last changed by entry `after`, unless
    that is below 0."""

    key: str
    value: bytes | None
    after: int = -1


class VoteRequest(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """May I lead? With `pre` only asked, so that one that was cut off disturbs nobody."""

    id: str
    term: int
    last: int
    last_term: int
    pre: bool


class VoteResponse(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """`quiet_ms`: for how long this voter has answered no leader; 0 from versions that do not say it."""

    id: str
    term: int
    yes: bool
    pre: bool
    quiet_ms: float = 0.0


class AppendRequest(msgspec.Struct, array_like=True, frozen=True, tag=13):
    id: str
    term: int
    prev: int
    prev_term: int
    commit: int
    round: int  # counts the leader's rounds, so that a read knows an answer is from after it was asked
    kept: int  # how far the leader's own disk is: it may not come back with less
    entries: tuple[Entry, ...] = ()
    first: int = 0  # the leader's first entry kept: who needs one before it fetches a snapshot
    voter: str = ""  # the addressee's id by the leader's voters; none: it is no voter, and is to fetch


class AppendResponse(msgspec.Struct, array_like=True, frozen=True, tag=14):
    id: str
    term: int
    yes: bool
    last: int  # what is surely held, or where to try again from
    round: int


class FetchRequest(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """What comes after entry `have`? Of a snapshot under way, from byte `at`."""

    id: str
    have: int
    snap: int = 0
    at: int = 0


class FetchResponse(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """Settled entries from `first` on, and how far they are settled."""

    term: int
    first: int
    commit: int
    entries: tuple[Entry, ...] = ()
    leader: str = ""
    through: int = 0  # the last entry of this answer; what comes next is to be asked for


class SnapshotChunk(msgspec.Struct, array_like=True, frozen=True, tag=17):
    """A piece of the snapshot up to entry `last`."""

    last: int
    at: int
    of: int
    data: bytes
    through: int = 0  # the bytes up to which this answer goes; the next are to be asked for


class ProposeRequest(msgspec.Struct, array_like=True, frozen=True, tag=18):
    """To the leader: put it into the record; or where `data` is none, say how far a read has to see."""

    number: int
    kind: int = int(Kind.PUT)
    data: bytes | None = None


class ProposeResponse(msgspec.Struct, array_like=True, frozen=True, tag=19):
    """It stands at `index` or not, and why; a read may be served from there on. `birth` is the asker's: an
    answer to the process before it is not one to this."""

    incarnation: int
    number: int
    yes: bool
    index: int = 0
    why: str = ""


class StartupQuestion(msgspec.Struct, array_like=True, frozen=True, tag=20):
    """From a voter that has just started: who it is, and how far its folder goes."""

    id: str
    term: int
    last: int
    knows_voter_ids: bool


class StartupAnswer(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """What I have heard of you: id, term and last entry; and whether my record names the voters' ids."""

    id: str
    your_id: str
    your_term: int
    your_last: int
    knows_voter_ids: bool
    voters: dict[str, str] = {}
    agreed: int = -1  # the last entry that the sender knows to be agreed on, and whose voters these are


RaftMessage = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | FetchRequest
    | FetchResponse
    | SnapshotChunk
    | ProposeRequest
    | ProposeResponse
    | StartupQuestion
    | StartupAnswer
)
