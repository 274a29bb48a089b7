"""Limits how often the leader sends a view to all members. No I/O.

A view goes to every member and grows with the number of stores. One view for each store that joins would
saturate the leader's link in a large fleet: renewals queue behind it, members give up on the leader, and each
that joins again causes more views. So the next view is made only once half of the members that were sent the
last one have applied it, or after a time limit. In a small fleet that takes a few ms; where it takes longer,
the changes made meanwhile go out in one view.
"""

MAX_WAIT_MS = 250.0  # for half of the members to apply a view; more than half may be away


class ViewFlow:
    """Times are ms of the leader's clock. `is_due`: a view was deferred."""

    def __init__(self) -> None:
        self.is_due = False
        self._update_number, self._sent_at = 0, 0.0
        self._awaited = 0  # members that are to apply it before the next one is made

    def sent(self, now: float, update_number: int, members: int) -> None:
        """A view has been sent to that many members."""
        self.is_due = False
        self._update_number, self._sent_at = update_number, now
        self._awaited = (members + 1) // 2

    def acknowledged(self, before: int, after: int) -> None:
        """A member that had applied updates up to `before` has applied those up to `after`."""
        if before < self._update_number <= after:
            self._awaited -= 1

    def may_send(self, now: float) -> bool:
        """Whether another view may be sent now."""
        return self._awaited <= 0 or now - self._sent_at >= MAX_WAIT_MS
