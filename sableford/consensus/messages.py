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
    """Requests a vote, or a pre-vote, which changes no state: a candidate that was cut off does not disturb
    the others."""

    id: str
    term: int
    last: int
    last_term: int
    is_pre_vote: bool


class VoteResponse(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """`unsupported_ms`: for how long this voter has responded to no leader; 0 from versions that lack it."""

    id: str
    term: int
    granted: bool
    is_pre_vote: bool
    unsupported_ms: float = 0.0


class AppendRequest(msgspec.Struct, array_like=True, frozen=True, tag=13):
    id: str
    term: int
    prev: int
    prev_term: int
    commit: int
    round: int  # the heartbeat round: a read needs responses to a round that began after it
    durable: int  # the leader's last durable entry: less after a restart means that its folder was replaced
    entries: tuple[Entry, ...] = ()
    first: int = 0  # first entry in the leader's log: who needs an earlier one fetches the snapshot
    voter: str = ""  # the receiver's id among the leader's voters; empty: not a voter, it is to fetch


class AppendResponse(msgspec.Struct, array_like=True, frozen=True, tag=14):
    id: str
    term: int
    success: bool
    last: int  # the last entry that is durable, or where to retry from
    round: int


class FetchRequest(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Requests the entries after `after`, or bytes from `offset` of the snapshot up to entry `snapshot`."""

    id: str
    after: int
    snapshot: int = 0
    offset: int = 0


class FetchResponse(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """Committed entries from `first` on, and the commit index."""

    term: int
    first: int
    commit: int
    entries: tuple[Entry, ...] = ()
    leader: str = ""
    through: int = 0  # the last entry of this response; the receiver requests what follows


class SnapshotChunk(msgspec.Struct, array_like=True, frozen=True, tag=17):
    """Bytes from `offset` of the snapshot up to entry `last`, which has `size` bytes in all."""

    last: int
    offset: int
    size: int
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
    accepted: bool
    index: int = 0
    reason: str = ""


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
    commit: int = -1  # the sender's commit index, at which `voters` are the voters


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
