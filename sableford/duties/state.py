"""Replicated state of one duty: its holder and epoch, and the sealed windows that are pending. No I/O.

Stored as one value of the replicated log and changed by compare-and-set. Each function returns the state
after a change.

    change              epoch   holder   sealed_until   sealed
    initial_state       0       none     the window before the current one
    with_holder         + 1     the next
    with_sealed_window                   + 1            the window's counts are added
    without_accepted                                    windows up to that one are removed
    bounded                                             the oldest are removed
    skipped_to                           that window
"""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec
from msgspec.structs import replace

MAX_PENDING_WINDOWS = 120  # ten minutes of platform downtime, about 40 kB in the replicated log
MAX_PREVIOUS = 8  # previous holders kept: more than there can be within `leaseMs`


class DutyState(msgspec.Struct, frozen=True):
    """`sealed_until`: the last sealed window. `sealed`: the sealed windows not known to be accepted by the
    platform; their counts never change."""

    epoch: int = 0  # of the current holder: its fencing token
    holder: str = ""  # internal host address
    node: str = ""  # the node name that it sends to the platform
    incarnation: str = ""
    previous: tuple[str, ...] = ()  # nodes of previous holders, the latest last
    since: float = 0.0  # Unix time in ms of the last change of holder, for operators
    sealed_until: int = 0
    sealed: dict[int, dict[str, int]] = {}

    def dump(self) -> bytes:
        """Encodes the value to store."""
        tenants = sorted({tenant for counts in self.sealed.values() for tenant in counts})
        rows = {
            window: [counts.get(tenant, 0) for tenant in tenants] for window, counts in self.sealed.items()
        }
        fields = msgspec.structs.asdict(self) | {"sealed": rows}
        return msgspec.json.encode(_StoredState(**fields, tenants=tenants))

    @classmethod
    def load(cls, text: bytes) -> "DutyState":
        """Decodes a stored value. Raises msgspec.ValidationError."""
        fields = msgspec.structs.asdict(msgspec.json.decode(text, type=_StoredState))
        tenants = fields.pop("tenants")
        sealed = {
            window: _without_zeros(dict(zip(tenants, row, strict=True)))
            for window, row in fields["sealed"].items()
        }
        return cls(**(fields | {"sealed": sealed}))


class _StoredState(msgspec.Struct):
    """Stored form, in which tenants are named once for all windows."""

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
    """A state within the bound, and the windows that were dropped for it."""

    state: DutyState
    dropped: dict[int, dict[str, int]]


def initial_state(window: int) -> DutyState:
    """The state when the duty begins during `window`."""
    return DutyState(sealed_until=window - 1)


def with_holder(state: DutyState, holder: str, node: str, incarnation: str, unix_ms: float) -> DutyState:
    """Assigns the duty to another store or incarnation, under the next epoch.

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
    """Fixes the counts to report for the next window. Raises ValueError for any other window.

    >>> with_sealed_window(initial_state(7), 7, {"b": 2, "a": 1, "c": 0}).sealed
    {7: {'a': 1, 'b': 2}}
    """
    if window != state.sealed_until + 1:
        raise ValueError(f"cannot seal window {window}: the last sealed window is {state.sealed_until}")
    return replace(state, sealed_until=window, sealed=state.sealed | {window: _without_zeros(counts)})


def skipped_to(state: DutyState, window: int) -> DutyState:
    """Skips windows up to `window`: more passed without a leader than are kept, so they are not reported."""
    return replace(state, sealed_until=max(state.sealed_until, window))


def without_accepted(state: DutyState, until: int) -> DutyState:
    """Removes the windows up to `until`, which the platform has accepted."""
    pending = {window: counts for window, counts in state.sealed.items() if window > until}
    return replace(state, sealed=pending)


def bounded(state: DutyState, most: int = MAX_PENDING_WINDOWS) -> Bounded:
    """Keeps the newest `most` windows."""
    windows = sorted(state.sealed)
    dropped = {window: state.sealed[window] for window in windows[: max(0, len(windows) - most)]}
    pending = {window: counts for window, counts in state.sealed.items() if window not in dropped}
    return Bounded(replace(state, sealed=pending), dropped)


def _without_zeros(counts: Mapping[str, int]) -> dict[str, int]:
    """Sorted, so that every sender encodes the same bytes."""
    return {tenant: counts[tenant] for tenant in sorted(counts) if counts[tenant] > 0}
