"""Whether a store holds a duty, and which reports it has to send. No I/O.

input                      next state
notice of a later epoch    its holder and pending windows replace the former ones
notice of this epoch       its windows are added; those no longer pending are removed
200                        the window is done
409                        refused: nothing is sent under this epoch any more
anything else              the same window is sent again, with the same bytes
"""

import msgspec

from sableford.duties.messages import DutyNotice, DutyReport


class Call(msgspec.Struct, frozen=True):
    """A report to send; its bytes do not depend on the sender."""

    epoch: int
    window: int
    body: bytes


class DutyAssignment:
    """A duty as one store knows it; `host` and `incarnation` are the store's own."""

    def __init__(self, host: str, incarnation: str) -> None:
        self._self = (host, incarnation)
        self._notice = DutyNotice("", 0)
        self._pending: dict[int, dict[str, int]] = {}
        self._accepted_until = 0
        self._refused_epoch = 0

    def apply_notice(self, notice: DutyNotice) -> None:
        """Applies a notice from the leader."""
        if notice.epoch < self._notice.epoch:
            return
        if notice.epoch > self._notice.epoch:
            self._pending, self._accepted_until = {}, 0
        self._notice = notice
        pending = self._pending | notice.sealed
        least = max(notice.oldest, self._accepted_until + 1)
        self._pending = {window: pending[window] for window in sorted(pending) if window >= least}

    def is_assigned(self) -> bool:
        """Whether this incarnation of the store holds the duty and has not been refused."""
        notice = self._notice
        return (notice.holder, notice.incarnation) == self._self and notice.epoch > self._refused_epoch

    def may_send(self, call: Call, holds_lease: bool, leaving: bool) -> bool:
        """Whether the call may be sent; checked immediately before it is written."""
        return holds_lease and not leaving and self.is_assigned() and call.epoch == self._notice.epoch

    def next_call(self) -> Call | None:
        """The report of the oldest pending window, if this store holds the duty."""
        if not self.is_assigned() or not self._pending:
            return None
        window = next(iter(self._pending))
        return Call(self._notice.epoch, window, usage_report(window, self._pending[window]))

    def mark_accepted(self, call: Call) -> None:
        """Records that the platform accepted the report."""
        if call.epoch == self._notice.epoch:
            self._pending.pop(call.window, None)
            self._accepted_until = max(self._accepted_until, call.window)

    def mark_refused(self, call: Call) -> None:
        """Records that the platform has seen a higher fencing token."""
        self._refused_epoch = max(self._refused_epoch, call.epoch)

    def report(self) -> DutyReport | None:
        """The report to the leader; None if this store does not hold the duty."""
        notice = self._notice
        if (notice.holder, notice.incarnation) != self._self:
            return None
        return DutyReport(notice.epoch, self._accepted_until, notice.epoch <= self._refused_epoch)


def usage_report(window: int, counts: dict[str, int]) -> bytes:
    """The body of a usage report.

    >>> usage_report(7, {"a": 2})
    b'{"windowNo":7,"serverCounts":{"a":2}}'
    """
    return msgspec.json.encode({"windowNo": window, "serverCounts": counts})
