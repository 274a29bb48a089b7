"""What is known of a request once it was attempted: whether it may have been executed. Nothing is retried,
refused or reported to a client except on one of these.
"""

from enum import Enum
from typing import NamedTuple


class Execution(Enum):
    """What the other side has certainly done, may have done, or has certainly not. Values are on the wire."""

    DONE = "done"  # a success, complete, with its seal
    FAILED = "failed"  # it ran and this attempt failed
    IMPOSSIBLE = "never"  # it can never succeed: no other attempt is worth making
    NOT_RUN = "not_run"  # provably not begun
    UNKNOWN = "maybe"  # nothing proves either


class Verdict(NamedTuple):
    """How one attempt ended. `seal` with a success; `why` for people; `reached` whether the worker itself has
    answered."""

    execution: Execution
    why: str = ""
    seal: str = ""
    reached: bool = True
