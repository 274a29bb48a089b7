"""The steps of one configuration order at the leader, from the call to its answer. No I/O.

step         input                                     next step, effect
begin        -                                         asking a majority: AskMajority
asking       no majority in time                       Respond 503, or 504 once something was proposed
asking       a majority; decision Proposal             proposing: Propose
asking       a majority; decision Confirmed            awaiting members: AwaitMembers
asking       a majority; decision Refused, Undecided   Respond 400, 412; 504
proposing    in force                                  awaiting members: AwaitMembers
proposing    superseded by another change              asking a majority, then decided again
proposing    unknown                                   Respond 504
awaiting     all have applied it, or time-out          Respond 200

Of concurrent orders on one version the record accepts one; the others are decided again on its result. An
order and its concurrent repetition get the same answer: one of them comes into force, and the other then
finds its digest.
"""

from enum import Enum
from typing import Any, NamedTuple

from sableford.control.orders import Confirmed, Proposal, Refused, State, Undecided, decide
from sableford.control.requests import ConfigurationOrder


class ProposalOutcome(Enum):
    """The result of a proposal. Some values are sent as the reason of an HTTP answer."""

    IN_FORCE = "a majority has it"
    SUPERSEDED = "another change came first"
    TOO_LARGE = "more bytes than a value of the record may have"
    REFUSED = "not proposed"
    UNKNOWN = "no answer in time"


# Effects


class AskMajority(NamedTuple):
    """Ask a majority whether this process is still the leader, and read the newest committed state."""


class Propose(NamedTuple):
    """Propose a state; it is accepted only if it replaces the one that was read last."""

    state: State


class AwaitMembers(NamedTuple):
    """Wait, with a time-out, until the present members have applied the configuration."""

    revision: int


class Respond(NamedTuple):
    """Answer the call."""

    status: int
    body: dict[str, Any]


Effect = AskMajority | Propose | AwaitMembers | Respond

NO_MAJORITY = "no majority answers now"
UNKNOWN = "not known whether it is in force"


class OrderProcess:
    """One order. Each method takes the result of the previous effect, and returns the next effect."""

    def __init__(self, order: ConfigurationOrder) -> None:
        self._order = order
        self._proposed = False

    def begin(self) -> Effect:
        return AskMajority()

    def majority_answered(self, state: State | None) -> Effect:
        """`state`: the newest committed one; None if no majority answered in time."""
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
