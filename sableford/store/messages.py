"""A message as held by a store, and the effects that the queue asks its host to carry out."""

from enum import Enum
from typing import Any, NamedTuple

from sableford.control.view import ViewNumber, order_key
from sableford.store.protocol import (
    CopyRequest,
    FinalState,
    MessageHeader,
    PulledMessage,
    PutResponse,
    header_fields,
)
from sableford.transport.verdict import Verdict

NEVER = -1e12  # ms: a moment before all others


class State(Enum):
    """The state of a message at a store. Only the owner of its shard takes it beyond REPLICA."""

    REPLICA = "kept for the owner of its shard"
    ACCEPTING = "not yet on as many disks as it must be"
    WAITING = "accepted; for its time, its turn or a worker"
    IN_FLIGHT = "at a worker, sent from here"
    IN_FLIGHT_ELSEWHERE = "at a worker, sent by the owner before"
    ENDING = "its final state is being kept"


class Message:
    """A message. `header` and body go to disk and to other stores; times are ms of the monotonic clock."""

    __slots__ = (
        "asked_sender_at",
        "attempts",
        "avoided_worker",
        "body",
        "copied_at",
        "due_at",
        "final_state",
        "final_state_holders",
        "final_state_rounds",
        "header",
        "holders",
        "key",
        "not_before",
        "not_run_attempts",
        "position",
        "ref",
        "revision",
        "sender",
        "sent_at",
        "shard",
        "state",
        "synced",
        "waiters",
        "written_at",
    )

    def __init__(self, header: MessageHeader, body: bytes | None, due_at: float, sent_at: float) -> None:
        self.header, self.body, self.due_at, self.sent_at = header, body, due_at, sent_at
        self.ref, self.shard, self.key = header.ref, header.shard, order_key(header.tenant, header.key)
        self.position, self.revision, self.attempts = header.position, header.revision, header.attempts
        self.state = State.REPLICA
        self.synced = False  # whether it is on the local disk
        self.holders: set[str] = set()  # other stores that have it on disk
        self.written_at = NEVER  # when it was handed to the local disk
        self.copied_at: dict[str, float] = {}  # when each store was last asked to keep a replica
        self.waiters: list[Any] = []  # puts to respond to once it is accepted
        self.not_run_attempts = 0  # consecutive attempts that did not run
        self.not_before = due_at
        self.avoided_worker = ""  # at which the last attempt did not succeed
        self.sender = ""  # the store that has it in flight, if that is not the owner
        self.asked_sender_at = -1.0
        self.final_state: FinalState | None = None
        self.final_state_holders: set[str] = set()
        self.final_state_rounds = 0  # how often it was copied

    def copy_request(self, now: float, epoch: ViewNumber) -> CopyRequest:
        """Returns the request to another store to keep a replica."""
        fields = header_fields(self.header) | {"attempts": self.attempts}
        return CopyRequest(**fields, due_in_ms=self.due_at - now, age_ms=now - self.sent_at, epoch=epoch)

    def pulled_message(self, now: float) -> PulledMessage:
        """Returns the form that is sent to a store taking the shard over."""
        fields = header_fields(self.header)
        return PulledMessage(**fields, due_in_ms=self.due_at - now, age_ms=now - self.sent_at)


def replica_of(now: float, sent: CopyRequest | PulledMessage, body: bytes | None) -> Message:
    """Returns a message received from another store."""
    header = MessageHeader(**header_fields(sent))
    return Message(header, body, now + sent.due_in_ms, now - sent.age_ms)


# Effects


class WriteMessage(NamedTuple):
    """Write a message to the local disk. The host reports by `Queue.message_written`."""

    ref: str


class WriteFinalState(NamedTuple):
    """Replace a message on disk by its final state. The host reports by `Queue.final_state_written`."""

    ref: str


class WriteFinalStates(NamedTuple):
    """Write final states to the local disk."""

    refs: list[str]


class CopyMessage(NamedTuple):
    """Ask another store to keep a replica."""

    to: str
    ref: str
    epoch: ViewNumber


class CopyFinalState(NamedTuple):
    """Ask another store to replace the message by its final state."""

    to: str
    ref: str
    shard: int
    final_state: FinalState


class CopyFinalStates(NamedTuple):
    """Ask another store to keep these final states."""

    to: str
    refs: list[str]


class DropReplica(NamedTuple):
    """Tell another store to drop a message that the owner of its shard since `epoch` does not know."""

    to: str
    ref: str
    epoch: ViewNumber


class ListFinalStates(NamedTuple):
    """Ask another store which final states of these shards are on its disk, at most `limit`, after a ref."""

    to: str
    round: int
    shards: list[int]
    after: str
    limit: int


class RespondToPut(NamedTuple):
    """Respond to a put; `waiter` is what came with it."""

    waiter: Any
    response: PutResponse


class Deliver(NamedTuple):
    """Deliver a message to a worker; `until` is ms of the monotonic clock."""

    ref: str
    worker: str
    until: float


class Pull(NamedTuple):
    """Ask another store what it holds of these shards; `with_messages`: send the messages not in `known`."""

    to: str
    round: int
    shards: list[int]
    known: list[str]
    with_messages: bool


class AskFinalStates(NamedTuple):
    """Ask another store for the final states of these messages."""

    to: str
    round: int
    refs: list[str]


class Lookup(NamedTuple):
    """Ask another store what it knows about one message."""

    to: str
    ref: str


class SendDeliveryResult(NamedTuple):
    """Report the result of a delivery, sent by a previous owner, to the present one."""

    to: str
    ref: str
    shard: int
    verdict: Verdict


class ExchangeInFlightCounts(NamedTuple):
    """Report all in-flight counts to another store that has come into the view, and request its own.

    While it was absent the two did not report changes to each other.
    """

    to: str


class LogEvent(NamedTuple):
    """Write an event to the log."""

    event: str
    fields: dict[str, Any]


Effect = (
    WriteMessage
    | WriteFinalState
    | WriteFinalStates
    | CopyMessage
    | CopyFinalState
    | CopyFinalStates
    | DropReplica
    | ListFinalStates
    | RespondToPut
    | Deliver
    | Pull
    | AskFinalStates
    | Lookup
    | SendDeliveryResult
    | ExchangeInFlightCounts
    | LogEvent
)
