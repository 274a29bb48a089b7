"""The steps of one configuration order at the leader, from its call to its answer. No I/O.

step         input                                     next step, effect
begun        -                                         asking a majority: AskMajority
asking       no majority in time                       Respond 503, or 504 once something was proposed
asking       a majority; Proposal decided              proposing: Propose
asking       a majority; Confirmed decided             awaiting members: AwaitMembers
asking       a majority; Refused, Undecided            Respond 400, 412; 504
proposing    in force                                  awaiting members: AwaitMembers
proposing    another came first                        asking a majority, and decided anew
proposing    not known                                 Respond 504
awaiting     all have applied it, or time has gone     Respond 200

Of orders under way at once the record takes one that was proposed on a version, and the others are decided
anew on what it made. An order that comes first and its repeat get the same verdict, since one of them is in
force and the other then finds its mark.
"""

from enum import Enum
from typing import Any, NamedTuple

from sableford.control.orders import Confirmed, Proposal, Refused, State, Undecided, decide
from sableford.control.requests import ConfigurationOrder


class ProposalOutcome(Enum):
    """What came of a proposal."""

    IN_FORCE = "a majority has it"
    SUPERSEDED = "another change came first"
    TOO_LARGE = "more bytes than a value of the record may have"
    REFUSED = "not proposed"
    UNKNOWN = "no answer in time"


# Effects


class AskMajority(NamedTuple):
    """Whether this process leads still, and what is agreed on by now."""


class Propose(NamedTuple):
    """In place of the configuration that was read last, or not at all."""

    state: State


class AwaitMembers(NamedTuple):
    """Until present members have applied the configuration, for a bounded time."""

    revision: int


class Respond(NamedTuple):
    status: int
    body: dict[str, Any]


Effect = AskMajority | Propose | AwaitMembers | Respond

NO_MAJORITY = "no majority answers now"
UNKNOWN = "not known whether it is in force"


class OrderProcess:
    """One order. Each method takes what the effect before came to, and gives the next effect."""

    def __init__(self, order: ConfigurationOrder) -> None:
        self._order = order
        self._proposed = False

    def begin(self) -> Effect:
        return AskMajority()

    def majority_answered(self, state: State | None) -> Effect:
        """`state`: what is agreed on now; none where no majority answered in time."""
        if state is None:
            return (
                Respond(504, {"reason": UNKNOWN}) if self._proposed else Respond(503, {"reason": NO_MAJORITY})
            )
        match decide(state, self._order):
            case Confirmed(revision):
                return AwaitMembers(revision)
            case Refused(status, reason, revision):
                return Respond(status, {"reason": reason, "revision": revision})
            case Undecided(base):
                reason = f"whether a change of revision {base} was taken is remembered no longer"
                return Respond(504, {"reason": reason, "revision": state.revision})
            case Proposal(new):
                self._proposed = True
                return Propose(new)

    def proposal_ended(self, outcome: ProposalOutcome, revision: int) -> Effect:
        match outcome:
            case ProposalOutcome.IN_FORCE:
                return AwaitMembers(revision)
            case ProposalOutcome.SUPERSEDED:
                return AskMajority()
            case ProposalOutcome.TOO_LARGE:
                return Respond(413, {"reason": outcome.value})
            case ProposalOutcome.REFUSED:
                return Respond(503, {"reason": outcome.value})
            case ProposalOutcome.UNKNOWN:
                return Respond(504, {"reason": UNKNOWN})

    def members_awaited(self, revision: int) -> Effect:
        return Respond(200, {"revision": revision})
