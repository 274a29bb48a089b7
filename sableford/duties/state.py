"""The agreed state of one duty: who holds it under which epoch, and what is sealed and owed. No I/O.

It stands in the record as one value, changed with compare-and-set. Each function gives the state after a
change.

    change              epoch   holder   sealed_until   sealed
    begins              0       nobody   the window before the one under way
    with_holder         + 1     the next
    with_sealed_window                   + 1            the window's counts are added
    without_accepted                                    windows up to that one go
    bounded                                             the oldest go
    skipped_to                           that window
"""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec
from msgspec.structs import replace

MAX_OWED_WINDOWS = 120  # ten minutes of a platform that is down, some 40 kB in the record
MAX_PREVIOUS = 8  # holders remembered: more than can follow each other within `leaseMs`


class DutyState(msgspec.Struct, frozen=True):
    """`sealed_until`: windows up to this number are sealed. `sealed`: those of them that are not known to be
    accepted by the platform; their counts never change."""

    epoch: int = 0  # of the present holder: its fencing token
    holder: str = ""  # inner host
    node: str = ""  # the name that it gives to the platform
    incarnation: str = ""
    previous: tuple[str, ...] = ()  # nodes that held it before, the last one at the end
    since: float = 0.0  # ms of the time of day of the last change of holder, for people
    sealed_until: int = 0
    sealed: dict[int, dict[str, int]] = {}

    def dump(self) -> bytes:
        """The value in the record."""
        tenants = sorted({tenant for counts in self.sealed.values() for tenant in counts})
        rows = {
            window: [counts.get(tenant, 0) for tenant in tenants] for window, counts in self.sealed.items()
        }
        fields = msgspec.structs.asdict(self) | {"sealed": rows}
        return msgspec.json.encode(_StoredState(**fields, tenants=tenants))

    @classmethod
    def load(cls, text: bytes) -> "DutyState":
        """Raises msgspec.ValidationError."""
        fields = msgspec.structs.asdict(msgspec.json.decode(text, type=_StoredState))
        tenants = fields.pop("tenants")
        sealed = {
            window: _without_zeros(dict(zip(tenants, row, strict=True)))
            for window, row in fields["sealed"].items()
        }
        return cls(**(fields | {"sealed": sealed}))


class _StoredState(msgspec.Struct):
    """As it stands in the record: tenants are named once for all windows."""

    epoch: int
    holder: str
    node: str
    incarnation: str = msgspec.field(name="birth")
    previous: tuple[str, ...]
    since: float
    sealed_until: int
    sealed: dict[int, list[int]]
    tenants: list[str]


class Bounded(NamedTuple):
    """A state within its bound, and the windows that went for that."""

    state: DutyState
    dropped: dict[int, dict[str, int]]


def begins(window: int) -> DutyState:
    """The first state: that window is under way."""
    return DutyState(sealed_until=window - 1)


def with_holder(state: DutyState, holder: str, node: str, incarnation: str, unix_ms: float) -> DutyState:
    """Another store or incarnation has the duty, under the next epoch.

    >>> after = with_holder(with_holder(DutyState(), "h1", "a", "i", 1.0), "h2", "b", "j", 2.0)
    >>> after.epoch, after.holder, after.previous
    (2, 'h2', ('a',))
    """
    previous = (*state.previous, state.node)[-MAX_PREVIOUS:] if state.node else ()
    return replace(
        state,
        epoch=state.epoch + 1,
        holder=holder,
        node=node,
        incarnation=incarnation,
        previous=previous,
        since=unix_ms,
    )


def with_sealed_window(state: DutyState, window: int, counts: Mapping[str, int]) -> DutyState:
    """The next window's counts are what is reported of it from now on. Raises ValueError for any other.

    >>> with_sealed_window(begins(7), 7, {"b": 2, "a": 1, "c": 0}).sealed
    {7: {'a': 1, 'b': 2}}
    """
    if window != state.sealed_until + 1:
        raise ValueError(f"window {window} does not follow {state.sealed_until}")
    return replace(state, sealed_until=window, sealed=state.sealed | {window: _without_zeros(counts)})


def skipped_to(state: DutyState, window: int) -> DutyState:
    """Windows up to that one are reported by nobody: more than are kept went by while no leader was there."""
    return replace(state, sealed_until=max(state.sealed_until, window))


def without_accepted(state: DutyState, until: int) -> DutyState:
    """The platform has accepted all windows up to that one."""
    owed = {window: counts for window, counts in state.sealed.items() if window > until}
    return replace(state, sealed=owed)


def bounded(state: DutyState, most: int = MAX_OWED_WINDOWS) -> Bounded:
    """No more than so many windows are kept, the newest."""
    windows = sorted(state.sealed)
    dropped = {window: state.sealed[window] for window in windows[: max(0, len(windows) - most)]}
    owed = {window: counts for window, counts in state.sealed.items() if window not in dropped}
    return Bounded(replace(state, sealed=owed), dropped)


def _without_zeros(counts: Mapping[str, int]) -> dict[str, int]:
    """In one order, so that whoever sends them sends the same bytes."""
    return {tenant: counts[tenant] for tenant in sorted(counts) if counts[tenant] > 0}
