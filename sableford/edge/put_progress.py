"""What an edge knows of a message that it puts to its shard's owner, and what its client may be told. No I/O.

| response to a put | then |
| --- | --- |
| kept | 202 |
| not sent, or plainly refused | as if it had not been: put to any shard; 503 when given up |
| none, one that can't be read, "may" | unclear from now on, whatever comes after: put to the same |
| | shard only, marked as a retry; 504 when given up |
"""

from enum import Enum

from sableford.store.protocol import PutResponse
from sableford.transport.link import CallResult
from sableford.transport.verdict import Execution


class PutOutcome(Enum):
    """What one put has come to."""

    KEPT = "on enough disks"
    NOT_TAKEN = "not kept, and never will be by this put"
    UNCLEAR = "may be kept"


def outcome_of(result: CallResult[PutResponse]) -> tuple[PutOutcome, str]:
    """What a response, or none, proves; and the reason of a refusal."""
    if result.execution is Execution.NOT_RUN:
        return PutOutcome.NOT_TAKEN, ""
    response = result.message
    if result.execution is not Execution.DONE or response is None:
        return PutOutcome.UNCLEAR, ""
    if response.kept:
        return PutOutcome.KEPT, ""
    if response.refusal and not response.maybe_kept:
        return PutOutcome.NOT_TAKEN, response.refusal
    return PutOutcome.UNCLEAR, response.refusal


class PutProgress:
    """`unclear` is never taken back: a later refusal speaks for the later put only."""

    def __init__(self) -> None:
        self.kept = self.unclear = False

    def add(self, outcome: PutOutcome) -> None:
        """One more put has ended."""
        self.kept = self.kept or outcome is PutOutcome.KEPT
        self.unclear = self.unclear or outcome is PutOutcome.UNCLEAR

    def status(self) -> int:
        """What the client may be told when no more is tried."""
        if self.kept:
            return 202
        return 504 if self.unclear else 503
