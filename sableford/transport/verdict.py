"""The outcome of an attempt: whether the request may have been executed. Any decision to retry, to refuse or
to report to a client is based on it.
"""

from enum import Enum
from typing import NamedTuple


class Execution(Enum):
    """Whether the request was, may have been, or was certainly not executed. The values are sent to peers."""

    DONE = "done"  # succeeded, with a seal
    FAILED = "failed"  # executed, and the attempt failed
    IMPOSSIBLE = "never"  # can never succeed; not worth a retry
    NOT_RUN = "not_run"  # provably not started
    UNKNOWN = "maybe"  # neither can be proved


class Verdict(NamedTuple):
    """The outcome of one attempt. `seal` is set on success; `reason` is text for operators; `reached` tells
    whether the worker itself has answered."""

    execution: Execution
    reason: str = ""
    seal: str = ""
    reached: bool = True
