"""What a store knows of a duty, and whether it may act on it now. No I/O.

input                      next state
a notice of a later epoch  its holder and what is owed, in place of all before
a notice of this epoch     windows are added; those that are not owed any more go
200                        the window is done
409                        refused: nothing is sent under this epoch again
anything else              the same window again, with the same bytes
"""

import msgspec

from sableford.duties.messages import DutyNotice, DutyReport


class Call(msgspec.Struct, frozen=True):
    """What is to be sent: the same bytes whoever sends it."""

    epoch: int
    window: int
    body: bytes


class Holding:
    """One store's side; `host` and `incarnation` are its own."""

    def __init__(self, host: str, incarnation: str) -> None:
        self._me = (host, incarnation)
        self._notice = DutyNotice("", 0)
        self._owed: dict[int, dict[str, int]] = {}
        self._accepted_until = 0
        self._refused_epoch = 0

    def heard(self, notice: DutyNotice) -> None:
        """What the leader tells."""
        if notice.epoch < self._notice.epoch:
            return
        if notice.epoch > self._notice.epoch:
            self._owed, self._accepted_until = {}, 0
        self._notice = notice
        owed = self._owed | notice.sealed
        least = max(notice.oldest, self._accepted_until + 1)
        self._owed = {window: owed[window] for window in sorted(owed) if window >= least}

    def is_named(self) -> bool:
        """Whether this incarnation of the store has the duty, and has not been refused."""
        notice = self._notice
        return (notice.holder, notice.incarnation) == self._me and notice.epoch > self._refused_epoch

    def may_send(self, call: Call, holds_lease: bool, leaving: bool) -> bool:
        """Looked at just before each call."""
        return holds_lease and not leaving and self.is_named() and call.epoch == self._notice.epoch

    def next_call(self) -> Call | None:
        """The oldest window that is owed, where this store has the duty."""
        if not self.is_named() or not self._owed:
            return None
        window = next(iter(self._owed))
        return Call(self._notice.epoch, window, usage_report(window, self._owed[window]))

    def accepted(self, call: Call) -> None:
        """The platform has taken it."""
        if call.epoch == self._notice.epoch:
            self._owed.pop(call.window, None)
            self._accepted_until = max(self._accepted_until, call.window)

    def refused(self, call: Call) -> None:
        """The platform has seen a higher fencing token."""
        self._refused_epoch = max(self._refused_epoch, call.epoch)

    def report(self) -> DutyReport | None:
        """For the leader; None where this store does not have the duty."""
        notice = self._notice
        if (notice.holder, notice.incarnation) != self._me:
            return None
        return DutyReport(notice.epoch, self._accepted_until, notice.epoch <= self._refused_epoch)


def usage_report(window: int, counts: dict[str, int]) -> bytes:
    """The body of a usage report.

    >>> usage_report(7, {"a": 2})
    b'{"windowNo":7,"serverCounts":{"a":2}}'
    """
    return msgspec.json.encode({"windowNo": window, "serverCounts": counts})
