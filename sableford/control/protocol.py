"""What members and the leader send each other.

Field names on the wire are those of version 0.3, so that versions mix while they are rolled out; `name=`
gives them where the code uses another word.
"""

from typing import Any, ClassVar

import msgspec

from sableford.control.view import Number, View
from sableford.control.workers import Worker
from sableford.duties.messages import DutyNotice, DutyReport
from sableford.transport.messages import PeerMessage, PeerRequest, PeerResponse


class ConfigurationVersion(msgspec.Struct, frozen=True):
    """The operator's configuration as it is in force: `document` is the JSON object that was sent."""

    revision: int
    document: dict[str, Any] | None = msgspec.field(name="doc")


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a process says of itself to the leader. All after `leaving` concern stores only."""

    incarnation: str = msgspec.field(name="birth")
    role: str  # "edge" or "store"
    zone: str
    node: str
    control: str = ""  # where callers reach its control calls
    leaving: bool = False  # it has been told to end
    complete: bool = msgspec.field(name="whole", default=True)  # its disk holds all that it ever said to hold
    empty: bool = False  # its disk held nothing when it started
    full: bool = False  # its disk takes nothing more
    audits: dict[str, str] = {}  # stores whose disk it has compared with its shards, by their incarnation
    safe: Number = (0, 0)  # the newest view under which all messages of its shards had their replicas
    safe_without_leaving: Number = msgspec.field(name="spares", default=(0, 0))  # the same, with nothing
    # counted that is on stores which leave; not sent by version 0.4
    usage: dict[int, dict[str, int]] = {}  # deliveries that began here, by window and tenant: `UsageStatus`
    usage_settled: int = 0  # windows up to this one will hardly change
    duties: dict[str, DutyReport] = {}  # that it holds


class JoinResponse(PeerResponse, frozen=True):
    """The leader's answer to a join. `leader`: where else to ask, if this process does not lead."""

    accepted: bool = msgspec.field(name="ok", default=False)
    term: int = 0
    voters: dict[str, str] | None = None  # by name, with the id of each one's disk
    leader: str = ""


class JoinRequest(MemberStatus, PeerRequest[JoinResponse], frozen=True, kw_only=True, tag="join"):
    """A process wants to be a member. `view`: the newest that it has applied."""

    response_type: ClassVar[type[PeerResponse]] = JoinResponse
    view: View
    least_term: int = msgspec.field(name="least", default=0)  # of the leader that it will follow
    departed: dict[str, int] = {}  # workers that it knows to drain or to have left (`workers.Departure`)
    lease_left_ms: float = msgspec.field(name="lease", default=0.0)  # of a lease that has not run out since
    # `view` was applied; 0 where it has. Not sent by versions before 0.4, whose shards are given out anew


class RenewResponse(PeerResponse, frozen=True):
    """The leader's answer to a renewal."""

    accepted: bool = msgspec.field(name="ok", default=False)
    leader: str = ""


class RenewRequest(MemberStatus, PeerRequest[RenewResponse], frozen=True, kw_only=True, tag="renew"):
    """A member prolongs its lease. It acknowledges all updates up to `update_number`."""

    response_type: ClassVar[type[PeerResponse]] = RenewResponse
    update_number: int = msgspec.field(name="n")
    term: int


class Update(PeerMessage, frozen=True, kw_only=True, tag="news"):
    """What the leader tells a member: a change, or with `snapshot` everything.

    `previous` is the number of the last update on the same link: where the member has applied another one
    last, something was lost in between."""

    term: int
    number: int = msgspec.field(name="n")
    snapshot: bool = msgspec.field(name="whole", default=False)
    previous: int | None = msgspec.field(name="prev", default=None)
    config: ConfigurationVersion | None = None
    view: View | None = None
    workers: list[Worker] | None = None  # all that are listed
    worker: Worker | None = None  # one that is new or has changed
    removed_worker: str | None = msgspec.field(name="gone", default=None)
    worker_left: bool = msgspec.field(name="left", default=False)  # of the removed one: it will not be back
    duties: list[DutyNotice] | None = None  # for stores only


class UpdateAcknowledgement(PeerMessage, frozen=True, tag="ack"):
    """A member has applied an update."""

    number: int = msgspec.field(name="n")
    term: int


class RecordMessage(PeerMessage, frozen=True, tag="raft"):
    """A message of the replicated record; it stands in the frame's body, as JSON of `fleet.record.words`.

    `incarnation` is that of the sender's record, another one than its link's."""

    sender: str = msgspec.field(name="from")
    incarnation: int = msgspec.field(name="birth")


def with_status(request_type: type[Any], status: MemberStatus, **fields: Any) -> Any:
    """A join or a renewal: what the process says of itself, and the request's own fields."""
    return request_type(**msgspec.structs.asdict(status), **fields)
