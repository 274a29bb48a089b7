"""A message as a store holds it, and the effects that the queue asks its host to carry out."""

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
    """Where a message stands at a store. Only the owner of its shard goes beyond REPLICA."""

    REPLICA = "kept for the owner of its shard"
    ACCEPTING = "not yet on as many disks as it must be"
    WAITING = "accepted; for its time, its turn or a worker"
    IN_FLIGHT = "at a worker, sent from here"
    IN_FLIGHT_ELSEWHERE = "at a worker, sent by the owner before"
    ENDING = "its final state is being kept"


class Message:
    """`header` goes to disk and to other stores with the body; times are this process's steady clock, ms."""

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
        "pauses",
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
        self.synced = False  # on the own disk
        self.holders: set[str] = set()  # other stores that have it on theirs
        self.written_at = NEVER  # given to the own disk
        self.copied_at: dict[str, float] = {}  # stores that were asked to keep a replica, and when
        self.waiters: list[Any] = []  # puts that are answered once it is accepted
        self.pauses = 0  # attempts that did not run, in a row
        self.not_before = due_at
        self.avoided_worker = ""  # that the last attempt failed at
        self.sender = ""  # the store that has it in flight, where that is not the owner
        self.asked_sender_at = -1.0
        self.final_state: FinalState | None = None
        self.final_state_holders: set[str] = set()
        self.final_state_rounds = 0  # how often stores were asked to keep it

    def copy_request(self, now: float, epoch: ViewNumber) -> CopyRequest:
        """What another store is sent to keep a replica."""
        fields = header_fields(self.header) | {"attempts": self.attempts}
        return CopyRequest(**fields, due_in_ms=self.due_at - now, age_ms=now - self.sent_at, epoch=epoch)

    def pulled_message(self, now: float) -> PulledMessage:
        """What another store is sent that takes the shard over."""
        fields = header_fields(self.header)
        return PulledMessage(**fields, due_in_ms=self.due_at - now, age_ms=now - self.sent_at)


def replica_of(now: float, sent: CopyRequest | PulledMessage, body: bytes | None) -> Message:
    """Another store's message."""
    header = MessageHeader(**header_fields(sent))
    return Message(header, body, now + sent.due_in_ms, now - sent.age_ms)


# Effects


class WriteMessage(NamedTuple):
    """To the own disk. The host tells with `Queue.message_written`."""

    ref: str


class WriteFinalState(NamedTuple):
    """To the own disk, in place of the message. The host tells with `Queue.final_state_written`."""

    ref: str


class WriteFinalStates(NamedTuple):
    """To the own disk: final states that another store had."""

    refs: list[str]


class CopyMessage(NamedTuple):
    """Another store is to keep a replica."""

    to: str
    ref: str
    epoch: ViewNumber


class CopyFinalState(NamedTuple):
    """Another store is to keep the final state and drop the message."""

    to: str
    ref: str
    shard: int
    final_state: FinalState


class CopyFinalStates(NamedTuple):
    """Another store is to keep these final states too."""

    to: str
    refs: list[str]


class DropReplica(NamedTuple):
    """Another store may drop a message that its owner, since `epoch`, knows nothing of."""

    to: str
    ref: str
    epoch: ViewNumber


class ListFinalStates(NamedTuple):
    """Ask another store which final states of these shards are on its disk, `limit` of them, after a ref."""

    to: str
    round: int
    shards: list[int]
    after: str
    limit: int


class RespondToPut(NamedTuple):
    """Answer a put; `waiter` is what came with it."""

    waiter: Any
    response: PutResponse


class Deliver(NamedTuple):
    """Send a message to a worker; `until` is ms of the steady clock."""

    ref: str
    worker: str
    until: float


class Pull(NamedTuple):
    """Ask another store what it holds of these shards; `with_messages`: also those that are not in
    `known`."""

    to: str
    round: int
    shards: list[int]
    known: list[str]
    with_messages: bool


class AskFinalStates(NamedTuple):
    """Ask another store which of these have ended."""

    to: str
    round: int
    refs: list[str]


class Lookup(NamedTuple):
    """Ask another store what it knows of one message."""

    to: str
    ref: str


class SendDeliveryResult(NamedTuple):
    """To the new owner: how a delivery ended that the old one had sent."""

    to: str
    ref: str
    shard: int
    verdict: Verdict


class LogEvent(NamedTuple):
    """For the log."""

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
    | LogEvent
)
