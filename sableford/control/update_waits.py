"""Waits for members to apply an update, with a time-out. No I/O."""

from typing import NamedTuple

from sableford.control.effects import Effect, WaitEnded
from sableford.control.members import Member
from sableford.control.timing import APPLY_WAIT_MS


class _Wait(NamedTuple):
    """A wait until these members have applied an update."""

    token: int
    update_number: int
    names: set[str]
    until: float
    after_old_leases: bool  # and until no store can hold a lease of an earlier leader


class UpdateWaits:
    """Each wait ends with WaitEnded, applied or timed out. Times are ms of the leader's clock."""

    def __init__(self) -> None:
        self._waits: list[_Wait] = []
        self._last_token = 0

    def add(self, now: float, update_number: int, names: set[str], after_old_leases: bool) -> int:
        """Starts a wait and returns its token."""
        self._last_token += 1
        until = now + APPLY_WAIT_MS
        self._waits.append(_Wait(self._last_token, update_number, names, until, after_old_leases))
        return self._last_token

    def end(self, now: float, members: dict[str, Member], old_leases_ended: bool) -> list[Effect]:
        """Ends the waits that are done or timed out. Members that are gone are not waited for."""
        effects: list[Effect] = []
        remaining = []
        for wait in self._waits:
            is_done = _is_applied(wait, members) and (old_leases_ended or not wait.after_old_leases)
            if is_done or now >= wait.until:
                effects.append(WaitEnded(wait.token, is_done))
            else:
                remaining.append(wait)
        self._waits = remaining
        return effects

    def end_all(self) -> list[Effect]:
        """Ends all waits as not applied: this process is no longer the leader."""
        waits, self._waits = self._waits, []
        return [WaitEnded(wait.token, False) for wait in waits]


def _is_applied(wait: _Wait, members: dict[str, Member]) -> bool:
    """Whether all members of the wait have applied its update. A member gets only the updates for its role,
    so that the last one sent to it may be an earlier one."""
    present = [members[name] for name in wait.names if name in members]
    return all(member.acknowledged >= min(wait.update_number, member.sent) for member in present)
