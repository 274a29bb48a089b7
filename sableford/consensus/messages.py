"""Log entries, and the messages that voters and learners exchange."""

from enum import IntEnum

import msgspec

Kind = IntEnum("Kind", "NOTHING PUT VOTERS", start=0)


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A log entry. `author` and `number` identify a proposal, so that a repeat is recognized; the form of
    `data` depends on `kind`."""

    term: int
    kind: int
    author: str = ""
    number: int = 0
    data: bytes = b""


class Put(msgspec.Struct, array_like=True, frozen=True):
    """Sets a key, or removes it if `value` is None. With `after` >= 0 it takes effect only if entry
    `after` was the last to change the key."""

    key: str
    value: bytes | None
    after: int = -1


class VoteRequest(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Requests a vote, or a pre-vote if `pre`, which changes no state: a candidate that was cut off does not
    disturb the others."""

    id: str
    term: int
    last: int
    last_term: int
    pre: bool


class VoteResponse(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """`quiet_ms`: for how long this voter has responded to no leader; 0 from versions that do not send it."""

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
    round: int  # the heartbeat round: a read needs responses to a round that began after it
    kept: int  # the last entry durable at the leader: less after a restart means that its folder was replaced
    entries: tuple[Entry, ...] = ()
    first: int = 0  # first entry in the leader's log: who needs an earlier one fetches the snapshot
    voter: str = ""  # the receiver's id among the leader's voters; empty: not a voter, it is to fetch


class AppendResponse(msgspec.Struct, array_like=True, frozen=True, tag=14):
    id: str
    term: int
    yes: bool
    last: int  # the last entry that is durable, or where to retry from
    round: int


class FetchRequest(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Requests the entries after `have`, or the rest of the snapshot up to entry `snap` from byte `at`."""

    id: str
    have: int
    snap: int = 0
    at: int = 0


class FetchResponse(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """Committed entries from `first` on, and the commit index."""

    term: int
    first: int
    commit: int
    entries: tuple[Entry, ...] = ()
    leader: str = ""
    through: int = 0  # the last entry of this response; the receiver requests what follows


class SnapshotChunk(msgspec.Struct, array_like=True, frozen=True, tag=17):
    """A part of the snapshot that includes all entries up to `last`: bytes from `at`, `of` bytes in all."""

    last: int
    at: int
    of: int
    data: bytes
    through: int = 0  # the byte at which this response ends; the receiver requests what follows


class ProposeRequest(msgspec.Struct, array_like=True, frozen=True, tag=18):
    """Asks the leader to append an entry; or, if `data` is None, for the index that a read waits for."""

    number: int
    kind: int = int(Kind.PUT)
    data: bytes | None = None


class ProposeResponse(msgspec.Struct, array_like=True, frozen=True, tag=19):
    """The outcome of a proposal, and its index; for a read, the index from which it may be served.
    `incarnation` is the requester's: a response to an earlier process of that name is ignored."""

    incarnation: int
    number: int
    yes: bool
    index: int = 0
    why: str = ""


class StartupQuestion(msgspec.Struct, array_like=True, frozen=True, tag=20):
    """From a voter that has just started: its id, and how far its log goes."""

    id: str
    term: int
    last: int
    knows_voter_ids: bool


class StartupAnswer(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """What the sender knows of the receiver: id, term and last entry; and whether it knows voter ids."""

    id: str
    your_id: str
    your_term: int
    your_last: int
    knows_voter_ids: bool
    voters: dict[str, str] = {}
    agreed: int = -1  # the sender's commit index, at which `voters` are the voters


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
