"""The state that processes of one scheduler publish to each other, and the rules for using it.

These are the file format, the merging of operator overrides, and which process sends to warming-up workers.
Pure functions: no files and no clock.
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

import msgspec

from sableford.learned_state import LearnedState
from sableford.net.messages import OperatorOverride

FORMAT = 1  # a state of another format is ignored
MAX_STATE_BYTES = 4_194_304  # limited by the longest worker list
# An override dated further ahead of the reader's clock is ignored: it would hold for ever.
MAX_CLOCK_AHEAD_MS = 60_000.0
REMEMBER_MS = 3_600_000.0  # a return to service is kept this long; no older state is in use by then

Stage = IntEnum("Stage", "STARTING SERVING LEAVING")


class ProcessState(
    msgspec.Struct,
    rename={
        "started_at": "born",
        "owns_warm_up": "holds",
        "overrides": "rules",
        "learned": "legacy",
    },
):
    """What a process publishes of itself. The encoded names are shared with other versions."""

    format: int
    started_at: float
    stage: int
    owns_warm_up: bool  # whether this process sends to warming-up workers
    overrides: dict[str, tuple[bool, float]] = {}
    listing: msgspec.Raw = msgspec.Raw(b"null")
    learned: LearnedState = msgspec.field(default_factory=LearnedState)


class OtherProcess(NamedTuple):
    """Another live process; `state` is None if it has not published a valid one."""

    token: str
    state: ProcessState | None


_decoder = msgspec.json.Decoder(ProcessState)


def decode_state(text: bytes) -> ProcessState | None:
    """None for a state that is truncated, too large, of another format or invalid.

    >>> decode_state(b'{"format":1,"born":5,"stage":2,"holds":false}').stage, decode_state(b'{"format":1,"bo')
    (2, None)
    >>> decode_state(b'{"format":9,"born":5,"stage":2,"holds":false}')
    """
    try:
        state = _decoder.decode(text) if len(text) <= MAX_STATE_BYTES else None
    except msgspec.MsgspecError:
        return None
    return state if state is not None and state.format == FORMAT and state.stage in list(Stage) else None


def override_change(
    overrides: dict[str, OperatorOverride], override: OperatorOverride
) -> OperatorOverride | None:
    """The override that a call adds, or None if it changes nothing.

    Two calls that take a worker out need one to put it back, and putting back a worker in service changes
    nothing. The time always increases, even if the clock was set back.

    >>> taken_out = OperatorOverride("a", True, 5.0)
    >>> override_change({}, OperatorOverride("a", False, 5.0))
    >>> override_change({"a": taken_out}, OperatorOverride("a", True, 6.0))
    >>> override_change({"a": OperatorOverride("a", True, 7.0)}, OperatorOverride("a", False, 6.0)).at > 7.0
    True
    """
    before = overrides.get(override.worker)
    if override.out == (before is not None and before.out):
        return None
    return override if before is None or override.at > before.at else override._replace(at=before.at + 1.0)


def newer_overrides(
    overrides: dict[str, OperatorOverride], state: ProcessState, now: float
) -> list[OperatorOverride]:
    """The overrides of another process that are newer than the own ones; at equal times the worker is out.

    >>> theirs = ProcessState(1, 0.0, 2, False, {"a": (False, 6.0), "b": (True, 1.0)})
    >>> own = {"a": OperatorOverride("a", True, 5.0)}
    >>> [(override.worker, override.out, override.at) for override in newer_overrides(own, theirs, 9.0)]
    [('a', False, 6.0), ('b', True, 1.0)]
    >>> own = {"a": OperatorOverride("a", False, 7.0), "b": OperatorOverride("b", True, 1.0)}
    >>> newer_overrides(own, theirs, 9.0)
    []
    """
    theirs = [OperatorOverride(worker, out, at) for worker, (out, at) in state.overrides.items()]
    return [
        override
        for override in theirs
        if now - REMEMBER_MS < override.at < now + MAX_CLOCK_AHEAD_MS or (override.out and override.at < now)
        if (own := overrides.get(override.worker)) is None or (override.at, override.out) > (own.at, own.out)
    ]


def overrides_to_write(overrides: dict[str, OperatorOverride], now: float) -> dict[str, tuple[bool, float]]:
    """The overrides to publish: workers out of service, and returns that others may not know yet."""
    return {
        override.worker: (override.out, override.at)
        for override in overrides.values()
        if override.out or override.at > now - REMEMBER_MS
    }


def other_serves(others: Iterable[OtherProcess]) -> bool:
    """Whether another process serves."""
    return any(other.state is not None and other.state.stage == Stage.SERVING for other in others)


def owns_warm_up(stage: int, started_at: float, token: str, held: bool, others: list[OtherProcess]) -> bool:
    """Whether this process sends to warming-up workers from now on; never two processes at once.

    >>> old = OtherProcess("5-1", ProcessState(1, 5.0, 2, True))
    >>> new = OtherProcess("9-1", ProcessState(1, 9.0, 2, False))
    >>> owns_warm_up(2, 5.0, "5-1", True, [new]), owns_warm_up(2, 9.0, "9-1", False, [old])
    (False, False)
    >>> owns_warm_up(2, 9.0, "9-1", False, [])
    True
    """
    states = [(other.state, other.token) for other in others if other.state is not None]
    younger = any(
        state.stage == Stage.SERVING and (state.started_at, other_token) > (started_at, token)
        for state, other_token in states
    )
    if held:
        return not younger
    all_known = len(states) == len(others) and not any(state.owns_warm_up for state, _ in states)
    return stage == Stage.SERVING and not younger and all_known
