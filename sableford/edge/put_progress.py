"""What an edge knows about a message that it sends to the owner of its shard, and which status its client may
get. No I/O.

| response to a put | consequence |
| --- | --- |
| kept | 202 |
| not sent, or definitely refused | may be sent to any shard; 503 if no attempt succeeds |
| none, an unreadable one, or "may" | unclear from now on, whatever comes after: sent to the same shard |
| | only, marked as a retry; 504 if no attempt succeeds |
"""

from enum import Enum

from sableford.store.protocol import PutResponse
from sableford.transport.link import CallResult
from sableford.transport.verdict import Execution


class PutOutcome(Enum):
    """The outcome of one put."""

    STORED = "on enough disks"
    NOT_STORED = "not kept, and never will be by this put"
    UNCLEAR = "may be kept"


def outcome_of(result: CallResult[PutResponse]) -> tuple[PutOutcome, str]:
    """The outcome that a call result proves, and the reason if the put was refused."""
    if result.execution is Execution.NOT_RUN:
        return PutOutcome.NOT_STORED, ""
    response = result.message
    if result.execution is not Execution.DONE or response is None:
        return PutOutcome.UNCLEAR, ""
    if response.kept:
        return PutOutcome.STORED, ""
    if response.refusal and not response.maybe_kept:
        return PutOutcome.NOT_STORED, response.refusal
    return PutOutcome.UNCLEAR, response.refusal


class PutProgress:
    """The outcomes of all puts of one message.

    `unclear` is never reset: a later refusal says nothing about an earlier put."""

    def __init__(self) -> None:
        self.stored = self.unclear = False

    def add(self, outcome: PutOutcome) -> None:
        """Records the outcome of one more put."""
        self.stored = self.stored or outcome is PutOutcome.STORED
        self.unclear = self.unclear or outcome is PutOutcome.UNCLEAR

    def status(self) -> int:
        """The HTTP status for the client once no further put is tried."""
        if self.stored:
            return 202
        return 504 if self.unclear else 503
