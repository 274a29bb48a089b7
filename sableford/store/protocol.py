"""What stores ask of each other, and edges of stores.

Field names on the wire are those of version 0.3, so that versions mix while they are rolled out; `name=`
gives them where the code uses another word. Times on the wire are spans in ms, since each process has a clock
of its own.
"""

from typing import Any, ClassVar

import msgspec

from sableford.control.view import ViewNumber
from sableford.transport.messages import PeerMessage, PeerRequest, PeerResponse

Position = tuple[ViewNumber, int]  # of a message in its shard: the owner's epoch, and a count within it


class FinalState(msgspec.Struct, array_like=True, frozen=True):
    """How a message ended. `phase` is complete or dead_letter; a success has its seal; `why` is for people;
    `ended_at` is ms of the time of day."""

    phase: str
    seal: str
    why: str
    ended_at: float

    def dump(self) -> bytes:
        """As it stands on disk."""
        return msgspec.json.encode(self)

    @classmethod
    def load(cls, text: bytes) -> "FinalState":
        """Raises msgspec.MsgspecError."""
        return msgspec.json.decode(text, type=cls)


class MessageHeader(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What is kept of a message beside its body: the request as it came, and its place in the queue."""

    ref: str  # its name in the system: the shard and the client's id (`view.make_ref`)
    shard: int
    key: str  # messages of one key are delivered in order; empty where that is not wanted
    id: str  # as the client gave it
    host: str
    target: str
    method: str
    revision: int  # of the configuration that it was accepted under
    position: Position = msgspec.field(name="place")
    content_type: str = msgspec.field(name="type", default="")
    attempts: int = msgspec.field(name="tries", default=0)  # that have failed
    tenant: str = ""  # whose key the client sent; empty where none was wanted
    unordered_key: str = ""  # passed on to the worker where the route keeps no order


class StoredMessage(MessageHeader, frozen=True, kw_only=True):
    """A message's header as it stands on disk. Times are ms of the time of day."""

    due_at: float = msgspec.field(name="due_unix")
    sent_at: float = msgspec.field(name="born_unix")


class Confirmation(PeerResponse, frozen=True):
    """Whether it was done: kept on disk, or taken note of."""

    accepted: bool = msgspec.field(name="yes", default=False)


class PutResponse(PeerResponse, frozen=True):
    """What a store says to a put. Without `kept` or `refusal` it is unclear what came of it."""

    kept: bool = False  # on enough disks
    refusal: str = msgspec.field(name="no", default="")  # one of the reasons below
    maybe_kept: bool = msgspec.field(name="may", default=False)  # though refused, other stores may have it


NOT_OWNER = "owner"  # the message's shard is another store's
OPENING = "opening"  # the store is to serve the shard, and does not know yet what others hold of it
ISOLATED = "alone"  # the store reaches too few others for a message to be safe


class PutRequest(PeerRequest[PutResponse], frozen=True, kw_only=True, tag="put"):
    """An edge hands a message to the owner of its shard; the body is the frame's."""

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
    is_retry: bool = msgspec.field(name="again", default=False)  # an earlier put of it may have been taken
    age_ms: float = msgspec.field(name="age")  # since its client sent it
    tenant: str = ""  # whose key the client sent; empty where none was wanted
    unordered_key: str = ""  # passed on to the worker where the route keeps no order


class CopyRequest(MessageHeader, PeerRequest[Confirmation], frozen=True, kw_only=True, tag="copy"):
    """The owner of a shard wants a replica kept; the body is the frame's."""

    response_type: ClassVar[type[PeerResponse]] = Confirmation
    due_in_ms: float = msgspec.field(name="due_in")
    age_ms: float = msgspec.field(name="age")
    epoch: ViewNumber  # since when the sender owns the shard


class PulledMessage(MessageHeader, PeerMessage, frozen=True, kw_only=True, tag="part"):
    """A message that a pull asked for; the body is the frame's. It comes before the pull's response."""

    due_in_ms: float = msgspec.field(name="due_in")
    age_ms: float = msgspec.field(name="age")


class KeepFinalStateRequest(PeerRequest[Confirmation], frozen=True, tag="end"):
    """How a message ended, to be kept in its place."""

    response_type: ClassVar[type[PeerResponse]] = Confirmation
    ref: str
    final_state: FinalState = msgspec.field(name="end")


class KeepFinalStatesRequest(PeerRequest[Confirmation], frozen=True, tag="ends"):
    """The same for many."""

    response_type: ClassVar[type[PeerResponse]] = Confirmation
    final_states: dict[str, FinalState] = msgspec.field(name="ends")


class ListFinalStatesResponse(PeerResponse, frozen=True):
    """One page, in order. A store of version 0.4 does not list and counts as having none."""

    refs: list[str] = msgspec.field(default_factory=list)
    is_last: bool = msgspec.field(name="last", default=True)


class ListFinalStatesRequest(PeerRequest[ListFinalStatesResponse], frozen=True, tag="end_refs"):
    """Which final states of these shards are on the other's disk, `limit` of them, after a ref."""

    response_type: ClassVar[type[PeerResponse]] = ListFinalStatesResponse
    shards: list[int]
    after: str
    limit: int = msgspec.field(name="most")


class DropMessage(PeerMessage, frozen=True, tag="drop"):
    """The owner of a shard, since `epoch`, knows nothing of a message: its replica may go."""

    ref: str
    epoch: ViewNumber


class PullResponse(PeerResponse, frozen=True):
    """What a store holds of the shards that were asked about."""

    complete: bool = msgspec.field(name="whole")  # its disk holds all that it ever said to hold
    refs: list[str]  # on its disk
    in_flight: list[str] = msgspec.field(name="out")  # that it has sent to a worker
    attempts: dict[str, int] = msgspec.field(name="tries")  # that have failed
    shards: list[int] = msgspec.field(default_factory=list)


class PullRequest(PeerRequest[PullResponse], frozen=True, tag="pull"):
    """What does the other store hold of these shards? `with_messages`: also those that are not in `known`."""

    response_type: ClassVar[type[PeerResponse]] = PullResponse
    shards: list[int]
    known: list[str] = msgspec.field(name="have")
    with_messages: bool = msgspec.field(name="parts")


class FinalStatesResponse(PeerResponse, frozen=True):
    """Those that are known, by ref."""

    final_states: dict[str, FinalState] = msgspec.field(name="ends")


class FinalStatesRequest(PeerRequest[FinalStatesResponse], frozen=True, tag="settle"):
    """Which of these messages have ended?"""

    response_type: ClassVar[type[PeerResponse]] = FinalStatesResponse
    refs: list[str]


class LookupResponse(PeerResponse, frozen=True):
    """What a store knows of one message."""

    final_state: FinalState | None = msgspec.field(name="end", default=None)
    is_held: bool = msgspec.field(name="held", default=False)


class LookupRequest(PeerRequest[LookupResponse], frozen=True, tag="seek"):
    """What is known of a message that may have come before?"""

    response_type: ClassVar[type[PeerResponse]] = LookupResponse
    ref: str


class DeliveryResultRequest(PeerRequest[Confirmation], frozen=True, tag="late"):
    """An earlier owner tells the present one how a delivery that it had sent has ended (`verdict.Verdict`).
    It is not accepted by a store that does not know yet that it owns the shard."""

    response_type: ClassVar[type[PeerResponse]] = Confirmation
    ref: str
    shard: int
    execution: str = msgspec.field(name="ran")
    why: str
    seal: str
    reached: bool


class InFlightCounts(PeerMessage, frozen=True, tag="told"):
    """How many deliveries the sender has in flight at each worker: the reports of the design's estimate."""

    counts: dict[str, int]


class InFlightCountsWanted(PeerMessage, frozen=True, tag="figures"):
    """Asks for those of these workers."""

    ids: list[str]


class MessageState(msgspec.Struct, frozen=True, omit_defaults=True):
    """As clients read it."""

    phase: str  # pending, complete or dead_letter
    seal: str = ""  # with complete


class StatusResponse(PeerResponse, frozen=True):
    """What a store knows of a message. Version 0.4 and before send neither `ref` nor `is_owner`."""

    state: MessageState | None = None
    ref: str = ""
    is_owner: bool | None = msgspec.field(name="owner", default=None)  # of the message's shard

    def has_ended(self) -> bool:
        """Whether the message is known to have its final state."""
        return self.state is not None and self.state.phase != "pending"


class StatusRequest(PeerRequest[StatusResponse], frozen=True, tag="status"):
    """What became of a message?"""

    response_type: ClassVar[type[PeerResponse]] = StatusResponse
    ref: str


class BodyResponse(PeerResponse, frozen=True):
    """Whether the message's bytes are here; they are the frame's body."""

    ref: str = ""
    found: bool = False


class BodyRequest(PeerRequest[BodyResponse], frozen=True, tag="body"):
    """A message's bytes."""

    response_type: ClassVar[type[PeerResponse]] = BodyResponse
    ref: str


def header_fields(header: MessageHeader) -> dict[str, Any]:
    """The fields of a header, also of a message that carries more."""
    return {name: getattr(header, name) for name in MessageHeader.__struct_fields__}
