"""Unix time that ignores steps of the system clock unless they persist. No I/O."""

from collections.abc import Callable

STEP_MS = 250.0  # a larger change of the difference between both clocks is a step, not drift
ADOPT_STEP_AFTER_MS = 30_000.0  # a step that persists for so long is adopted


class TimeOfDay:
    """`steady` and `wall` return ms of the monotonic and of the system clock."""

    def __init__(self, steady: Callable[[], float], wall: Callable[[], float]) -> None:
        self._steady, self._wall = steady, wall
        self._offset = wall() - steady()
        self._stepped_at: float | None = None

    def unix_ms(self) -> float:
        """Unix time in ms."""
        now = self._steady()
        offset = self._wall() - now
        if abs(offset - self._offset) < STEP_MS or self._step_persists(now):
            self._offset, self._stepped_at = offset, None
        return now + self._offset

    def _step_persists(self, now: float) -> bool:
        if self._stepped_at is None:
            self._stepped_at = now
        return now - self._stepped_at >= ADOPT_STEP_AFTER_MS
