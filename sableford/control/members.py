"""A process under a lease, as the leader knows it."""

import msgspec

from sableford.control.protocol import MemberStatus
from sableford.control.view import Number


class Member(msgspec.Struct):
    """A process under a lease."""

    incarnation: str
    role: str
    zone: str
    node: str
    control: str
    lease_until: float
    lease_is_unbroken: bool = False  # it held a lease without a break from its last view until it joined
    sent: int = 0  # the last update sent to it
    acknowledged: int = -1  # update 0 is the snapshot of a leader that has sent no other yet
    leaving: bool = False
    complete: bool = True
    registered: bool = False  # it stands in the roster
    empty: bool = False
    audits: dict[str, str] = {}  # stores whose disk it has compared, by their incarnation
    safe: Number = (0, 0)  # the newest view under which all messages of its shards had their replicas
    safe_without_leaving: Number = (0, 0)  # the same, with nothing counted on stores that leave
    full: bool = False  # its disk takes nothing more

    def update_status(self, status: MemberStatus) -> bool:
        """What the member says of itself now; whether that is anything new. What it has said of its leaving
        and of what is safe is not taken back by a message that comes late."""
        before = (self.audits, self.full, self.leaving, self.safe, self.safe_without_leaving)
        self.audits, self.full = status.audits, status.full
        self.leaving = self.leaving or status.leaving
        self.safe = max(self.safe, status.safe)
        self.safe_without_leaving = max(self.safe_without_leaving, status.safe_without_leaving)
        return before != (self.audits, self.full, self.leaving, self.safe, self.safe_without_leaving)
