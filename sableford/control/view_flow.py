"""How often the leader sends a view to all members. No I/O.

A view goes to every member and grows with the stores, so that one for each store that comes would fill the
leader's link in a large fleet: renewals wait behind it, members give the leader up, and each that joins anew
brings more views. So the next view is made only once half of those that were sent the last one have applied
it, or some time later. In a small fleet that is a few ms; where it takes longer, what has changed meanwhile
goes out in one.
"""

MAX_WAIT_MS = 250.0  # for half of the members to apply a view; more than half may be away


class ViewFlow:
    """Times are ms of the leader's clock. `is_due`: a view was held back."""

    def __init__(self) -> None:
        self.is_due = False
        self._update_number, self._sent_at = 0, 0.0
        self._awaited = 0  # members that are to apply it before the next one is made

    def sent(self, now: float, update_number: int, members: int) -> None:
        """A view has gone to so many members."""
        self.is_due = False
        self._update_number, self._sent_at = update_number, now
        self._awaited = (members + 1) // 2

    def acknowledged(self, before: int, after: int) -> None:
        """A member that had applied updates up to `before` has applied those up to `after`."""
        if before < self._update_number <= after:
            self._awaited -= 1

    def may_send(self, now: float) -> bool:
        """Whether another view may go out now."""
        return self._awaited <= 0 or now - self._sent_at >= MAX_WAIT_MS
