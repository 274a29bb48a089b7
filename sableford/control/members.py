"""The leader's state of one member."""

import msgspec

from sableford.control.protocol import MemberStatus
from sableford.control.view import ViewNumber


class Member(msgspec.Struct):
    """A process under a lease."""

    incarnation: str
    role: str
    zone: str
    node: str
    control: str
    lease_until: float
    lease_is_unbroken: bool = False  # it held a lease without a break from its newest view until it joined
    sent: int = 0  # the last update sent to it
    acknowledged: int = -1  # the last update that it has applied; 0 is a new leader's first snapshot
    leaving: bool = False
    complete: bool = True
    registered: bool = False  # it is in the roster
    empty: bool = False
    audits: dict[str, str] = {}  # stores that it has audited for its shards, with their incarnation
    safe: ViewNumber = (0, 0)  # the newest view under which all messages of its shards were fully replicated
    safe_without_leaving: ViewNumber = (0, 0)  # the same, not counting replicas on stores that are leaving
    full: bool = False  # its disk accepts no more writes

    def update_status(self, status: MemberStatus) -> bool:
        """Takes the member's reported status and returns whether it changed. A delayed message can't revert
        `leaving` or move the safe views back."""
        before = (self.audits, self.full, self.leaving, self.safe, self.safe_without_leaving)
        self.audits, self.full = status.audits, status.full
        self.leaving = self.leaving or status.leaving
        self.safe = max(self.safe, status.safe)
        self.safe_without_leaving = max(self.safe_without_leaving, status.safe_without_leaving)
        return before != (self.audits, self.full, self.leaving, self.safe, self.safe_without_leaving)
