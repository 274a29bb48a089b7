"""The messages between stores, and from edges to stores.

Field names on the wire are those of version 0.3, so that versions can be mixed during a rolling upgrade;
`name=` gives them where the code uses another name. Times on the wire are durations in ms, since the clocks
of processes differ.
"""

from typing import Any, ClassVar

import msgspec

from sableford.control.view import ViewNumber
from sableford.transport.messages import PeerMessage, PeerRequest, PeerResponse

Position = tuple[
    ViewNumber, int
]  # of a message within its shard: the owner's epoch, and a counter within that


class FinalState(msgspec.Struct, array_like=True, frozen=True):
    """How a message ended.

    `phase` is complete or dead_letter; `seal` is set for a success; `why` is for humans; `ended_at` is ms of
    the time of day.
    """

    phase: str
    seal: str
    why: str
    ended_at: float

    def dump(self) -> bytes:
        """Encodes it for the disk."""
        return msgspec.json.encode(self)

    @classmethod
    def load(cls, text: bytes) -> "FinalState":
        """Decodes it from the disk. Raises msgspec.MsgspecError."""
        return msgspec.json.decode(text, type=cls)


class MessageHeader(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What is stored of a message besides its body: the request as it came, and its position in the queue."""

    ref: str  # system-wide identifier: the shard and the client's id (`view.make_ref`)
    shard: int
    key: str  # messages with the same key are delivered in order; empty for no order
    id: str  # as given by the client
    host: str
    target: str
    method: str
    revision: int  # of the configuration under which it was accepted
    position: Position = msgspec.field(name="place")
    content_type: str = msgspec.field(name="type", default="")
    attempts: int = msgspec.field(name="tries", default=0)  # failed attempts
    tenant: str = ""  # whose API key the client sent; empty if none was needed
    unordered_key: str = ""  # passed on to the worker if the route keeps no order


class StoredMessage(MessageHeader, frozen=True, kw_only=True):
    """A message's header on disk. Times are ms of the time of day."""

    due_at: float = msgspec.field(name="due_unix")
    sent_at: float = msgspec.field(name="born_unix")


class Confirmation(PeerResponse, frozen=True):
    """Whether the request was carried out: data is on disk, or a result was recorded."""

    accepted: bool = msgspec.field(name="yes", default=False)


class PutResponse(PeerResponse, frozen=True):
    """The response to a put. With neither `kept` nor `refusal` the outcome is unknown."""

    kept: bool = False  # the message is on enough disks
    refusal: str = msgspec.field(name="no", default="")  # one of the reasons below
    maybe_kept: bool = msgspec.field(name="may", default=False)  # refused, but other stores may have it


NOT_OWNER = "owner"  # the message's shard is another store's
OPENING = "opening"  # the store is taking the shard over, and does not know yet what others hold of it
ISOLATED = "alone"  # the store reaches too few others to make a message durable


class PutRequest(PeerRequest[PutResponse], frozen=True, kw_only=True, tag="put"):
    """A message from an edge to the owner of its shard; the frame carries the body."""

    response_type: ClassVar[type[PeerResponse]] = PutResponse
    id: str
    key: str
    host: str
    target: str
    method: str
    content_type: str = msgspec.field(name="type", default="")
    delay_ms: float = msgspec.field(name="delay")
    revision: int
    shard: int
    ref: str
    is_retry: bool = msgspec.field(name="again", default=False)  # an earlier put of it may have been accepted
    age_ms: float = msgspec.field(name="age")  # since its client sent it
    tenant: str = ""  # whose API key the client sent; empty if none was needed
    unordered_key: str = ""  # passed on to the worker if the route keeps no order


class CopyRequest(MessageHeader, PeerRequest[Confirmation], frozen=True, kw_only=True, tag="copy"):
    """Asks a store to keep a replica; sent by the owner of the shard; the frame carries the body."""

    response_type: ClassVar[type[PeerResponse]] = Confirmation
    due_in_ms: float = msgspec.field(name="due_in")
    age_ms: float = msgspec.field(name="age")
    epoch: ViewNumber  # in which the sender became the owner


class PulledMessage(MessageHeader, PeerMessage, frozen=True, kw_only=True, tag="part"):
    """A message that a pull asked for; the frame carries the body. Sent before the response to the pull."""

    due_in_ms: float = msgspec.field(name="due_in")
    age_ms: float = msgspec.field(name="age")


class KeepFinalStateRequest(PeerRequest[Confirmation], frozen=True, tag="end"):
    """Asks a store to keep a final state in place of its message."""

    response_type: ClassVar[type[PeerResponse]] = Confirmation
    ref: str
    final_state: FinalState = msgspec.field(name="end")


class KeepFinalStatesRequest(PeerRequest[Confirmation], frozen=True, tag="ends"):
    """Asks a store to keep many final states."""

    response_type: ClassVar[type[PeerResponse]] = Confirmation
    final_states: dict[str, FinalState] = msgspec.field(name="ends")


class ListFinalStatesResponse(PeerResponse, frozen=True):
    """One page, in order. A store of version 0.4 does not support listing, and counts as having none."""

    refs: list[str] = msgspec.field(default_factory=list)
    is_last: bool = msgspec.field(name="last", default=True)


class ListFinalStatesRequest(PeerRequest[ListFinalStatesResponse], frozen=True, tag="end_refs"):
    """Asks which final states of these shards are on the receiver's disk, at most `limit`, after a ref."""

    response_type: ClassVar[type[PeerResponse]] = ListFinalStatesResponse
    shards: list[int]
    after: str
    limit: int = msgspec.field(name="most")


class DropMessage(PeerMessage, frozen=True, tag="drop"):
    """Tells a store to drop a replica that the owner of its shard since `epoch` does not know."""

    ref: str
    epoch: ViewNumber


class PullResponse(PeerResponse, frozen=True):
    """What a store holds of the shards of a pull."""

    complete: bool = msgspec.field(name="whole")  # the disk still holds all that it ever confirmed
    refs: list[str]  # on its disk
    in_flight: list[str] = msgspec.field(name="out")  # deliveries that it has in flight
    attempts: dict[str, int] = msgspec.field(name="tries")  # failed ones, by ref
    shards: list[int] = msgspec.field(default_factory=list)


class PullRequest(PeerRequest[PullResponse], frozen=True, tag="pull"):
    """Asks what a store holds of these shards, `with_messages`: send those not in `known`."""

    response_type: ClassVar[type[PeerResponse]] = PullResponse
    shards: list[int]
    known: list[str] = msgspec.field(name="have")
    with_messages: bool = msgspec.field(name="parts")


class FinalStatesResponse(PeerResponse, frozen=True):
    """The known final states, by ref."""

    final_states: dict[str, FinalState] = msgspec.field(name="ends")


class FinalStatesRequest(PeerRequest[FinalStatesResponse], frozen=True, tag="settle"):
    """Asks which of these messages have ended."""

    response_type: ClassVar[type[PeerResponse]] = FinalStatesResponse
    refs: list[str]


class LookupResponse(PeerResponse, frozen=True):
    """What a store knows about one message."""

    final_state: FinalState | None = msgspec.field(name="end", default=None)
    is_held: bool = msgspec.field(name="held", default=False)


class LookupRequest(PeerRequest[LookupResponse], frozen=True, tag="seek"):
    """Asks what is known about a message that may have been put before."""

    response_type: ClassVar[type[PeerResponse]] = LookupResponse
    ref: str


class DeliveryResultRequest(PeerRequest[Confirmation], frozen=True, tag="late"):
    """Reports the result of a previous owner's delivery (`verdict.Verdict`) to the owner of the shard.

    A store that does not know yet that it owns the shard does not accept it.
    """

    response_type: ClassVar[type[PeerResponse]] = Confirmation
    ref: str
    shard: int
    execution: str = msgspec.field(name="ran")
    why: str
    seal: str
    reached: bool


class InFlightCounts(PeerMessage, frozen=True, tag="told"):
    """Reports how many deliveries the sender has in flight at each worker, for the worker selection."""

    counts: dict[str, int]


class InFlightCountsQuery(PeerMessage, frozen=True, tag="figures"):
    """Asks for the in-flight counts of these workers."""

    ids: list[str]


class MessageState(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of a message as clients read it."""

    phase: str  # pending, complete or dead_letter
    seal: str = ""  # with complete


class StatusResponse(PeerResponse, frozen=True):
    """What a store knows about a message. Version 0.4 and older send neither `ref` nor `is_owner`."""

    state: MessageState | None = None
    ref: str = ""
    is_owner: bool | None = msgspec.field(name="owner", default=None)  # of the message's shard

    def has_ended(self) -> bool:
        """Whether the message is known to have ended."""
        return self.state is not None and self.state.phase != "pending"


class StatusRequest(PeerRequest[StatusResponse], frozen=True, tag="status"):
    """Asks for the state of a message."""

    response_type: ClassVar[type[PeerResponse]] = StatusResponse
    ref: str


class BodyResponse(PeerResponse, frozen=True):
    """Whether the receiver has the body of the message, which the frame then carries."""

    ref: str = ""
    found: bool = False


class BodyRequest(PeerRequest[BodyResponse], frozen=True, tag="body"):
    """Asks for the body of a message."""

    response_type: ClassVar[type[PeerResponse]] = BodyResponse
    ref: str


def header_fields(header: MessageHeader) -> dict[str, Any]:
    """Returns the header fields of a header or of a message that extends one."""
    return {name: getattr(header, name) for name in MessageHeader.__struct_fields__}
