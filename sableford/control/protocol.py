"""The messages between members and the leader.

Field names on the wire are those of version 0.3, so that versions can be mixed during a rolling upgrade;
`name=` gives the name on the wire where the attribute has another one.
"""

from typing import Any, ClassVar

import msgspec

from sableford.control.view import View, ViewNumber
from sableford.control.workers import Worker
from sableford.duties.messages import DutyNotice, DutyReport
from sableford.transport.messages import PeerMessage, PeerRequest, PeerResponse


class ConfigurationVersion(msgspec.Struct, frozen=True):
    """A version of the operator's configuration: `document` is the JSON object that was sent."""

    revision: int
    document: dict[str, Any] | None = msgspec.field(name="doc")


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The status that a process reports to the leader. The fields after `leaving` concern stores only."""

    incarnation: str = msgspec.field(name="birth")
    role: str  # "edge" or "store"
    zone: str
    node: str
    control: str = ""  # the address of its HTTP API for workers and operators
    leaving: bool = False  # it is shutting down
    complete: bool = msgspec.field(name="whole", default=True)  # its disk holds all it ever acknowledged
    empty: bool = False  # its disk held nothing when it started
    full: bool = False  # its disk accepts no more writes
    audits: dict[str, str] = {}  # stores that it has audited for its shards, with their incarnation
    safe: ViewNumber = (0, 0)  # the newest view under which all messages of its shards were fully replicated
    safe_without_leaving: ViewNumber = msgspec.field(name="spares", default=(0, 0))  # the same, not counting
    # replicas on stores that are leaving; not sent by version 0.4
    usage: dict[int, dict[str, int]] = {}  # deliveries that began here, by window and tenant: `UsageStatus`
    usage_settled: int = 0  # windows up to this one will hardly change
    duties: dict[str, DutyReport] = {}  # the duties that it holds


class JoinResponse(PeerResponse, frozen=True):
    """The answer to a join. `leader`: the process to ask instead, if this one is not the leader."""

    accepted: bool = msgspec.field(name="ok", default=False)
    term: int = 0
    voters: dict[str, str] | None = None  # by name, with the id of each one's disk; None if not known
    leader: str = ""


class JoinRequest(MemberStatus, PeerRequest[JoinResponse], frozen=True, kw_only=True, tag="join"):
    """A process asks to become a member. `view`: the newest that it has applied."""

    response_type: ClassVar[type[PeerResponse]] = JoinResponse
    view: View
    least_term: int = msgspec.field(name="least", default=0)  # the lowest term of a leader that it follows
    departed: dict[str, int] = {}  # workers that it knows to drain or to have left (`workers.Departure`)
    lease_left_ms: float = msgspec.field(name="lease", default=0.0)  # of a lease that has not expired since
    # `view` was applied, else 0. Not sent by versions before 0.4, whose shards are assigned again


class RenewResponse(PeerResponse, frozen=True):
    """The answer to a renewal. `leader`: the process to ask instead, if this one is not the leader."""

    accepted: bool = msgspec.field(name="ok", default=False)
    leader: str = ""


class RenewRequest(MemberStatus, PeerRequest[RenewResponse], frozen=True, kw_only=True, tag="renew"):
    """A member renews its lease, and acknowledges all updates up to `update_number`."""

    response_type: ClassVar[type[PeerResponse]] = RenewResponse
    update_number: int = msgspec.field(name="n")
    term: int


class Update(PeerMessage, frozen=True, kw_only=True, tag="news"):
    """An update from the leader to a member: a change, or with `snapshot` the whole state.

    `previous` is the number of the last update on the same link. If that is not the last one that the member
    has applied, an update was lost in between."""

    term: int
    number: int = msgspec.field(name="n")
    snapshot: bool = msgspec.field(name="whole", default=False)
    previous: int | None = msgspec.field(name="prev", default=None)
    config: ConfigurationVersion | None = None
    view: View | None = None
    workers: list[Worker] | None = None  # all that are listed
    worker: Worker | None = None  # one that was added or has changed
    removed_worker: str | None = msgspec.field(name="gone", default=None)
    worker_left: bool = msgspec.field(name="left", default=False)  # the removed worker will not be back
    duties: list[DutyNotice] | None = None  # for stores only


class UpdateAcknowledgement(PeerMessage, frozen=True, tag="ack"):
    """A member has applied an update."""

    number: int = msgspec.field(name="n")
    term: int


class RecordMessage(PeerMessage, frozen=True, tag="raft"):
    """A message of the replicated record: the frame's body is a `consensus.messages.RaftMessage` as JSON.

    `incarnation` is that of the sender's replica, which differs from that of its link."""

    sender: str = msgspec.field(name="from")
    incarnation: int = msgspec.field(name="birth")


def with_status(request_type: type[Any], status: MemberStatus, **fields: Any) -> Any:
    """Makes a join or a renewal from the process's status and the request's own fields."""
    return request_type(**msgspec.structs.asdict(status), **fields)
