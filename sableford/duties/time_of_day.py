"""The time of day, with steps of the machine's clock passed over unless they last. No I/O."""

from collections.abc import Callable

STEP_MS = 250.0  # a change of the difference between both clocks that is no drift
FOLLOW_AFTER_MS = 30_000.0  # a step that lasts so long stands


class TimeOfDay:
    """`steady` and `wall` give ms of the steady clock and of the time of day."""

    def __init__(self, steady: Callable[[], float], wall: Callable[[], float]) -> None:
        self._steady, self._wall = steady, wall
        self._offset = wall() - steady()
        self._stepped_at: float | None = None

    def unix_ms(self) -> float:
        """ms since 1970."""
        now = self._steady()
        offset = self._wall() - now
        if abs(offset - self._offset) < STEP_MS or self._step_lasts(now):
            self._offset, self._stepped_at = offset, None
        return now + self._offset

    def _step_lasts(self, now: float) -> bool:
        if self._stepped_at is None:
            self._stepped_at = now
        return now - self._stepped_at >= FOLLOW_AFTER_MS
