"""What an operator's order comes to, given the configuration in force and the orders that were taken. No I/O.

order                                       decision
one that was taken                          Confirmed, with its version
on the current version, valid, above it     Proposal: in force once a majority has it
on the current version, else                Refused 400
on another version whose successor is known Refused 412
on a version older than what is remembered  Refused 400 if invalid in itself, else Undecided

An order is known again by its mark, a digest of its kind, base and content. Two operators who send the very
same order can't be told from one who sends it again: both are confirmed, and both got what they asked for.
One with another base, or of another kind, is another order, even where it would come to the same content.
"""

from hashlib import sha256
from typing import Any, NamedTuple

import orjson

from sableford.control.configuration import InvalidRequestError, amended, check
from sableford.control.order_history import FIRST, RECENT_MAX, Archive, Version, unarchived
from sableford.control.requests import ConfigurationOrder, OrderKind


class State(NamedTuple):
    """What the record holds: the configuration as it was sent, and the versions that led to it. `entry`: the
    index of the record's entry that set it."""

    revision: int = 0
    doc: dict[str, Any] | None = None
    recent: tuple[Version, ...] = (FIRST,)
    archive: Archive = Archive()
    entry: int = 0

    def dump(self) -> bytes:
        """`taken` is read by version 0.3 too, which keeps the last 32 of them."""
        taken = [list(version) for version in self.recent]
        return orjson.dumps({"revision": self.revision, "doc": self.doc, "taken": taken})

    @classmethod
    def load(cls, text: bytes, archive: Archive | None = None, entry: int = 0) -> "State":
        given = orjson.loads(text)
        recent = tuple(Version(mark, revision) for mark, revision in given["taken"])
        return cls(given["revision"], given["doc"], recent, archive or Archive(), entry)

    def revision_of(self, mark: str) -> int | None:
        """The version that an order made, if it was taken."""
        for version in self.recent:
            if version.mark == mark:
                return version.revision
        return self.archive.revision_of(mark)

    def reach(self) -> int:
        """The oldest version from which on it is known which orders were taken."""
        return self.archive.reach(self.recent[0].revision if self.recent else self.revision)


class Confirmed(NamedTuple):
    """It was taken, as this version."""

    revision: int


class Refused(NamedTuple):
    """It was not taken and, as it stands, never will be."""

    status: int
    reason: str
    revision: int


class Undecided(NamedTuple):
    """Whether it was taken is remembered no longer."""

    base: int


class Proposal(NamedTuple):
    """To be agreed on, in place of the state it was decided on, whose entry it still names."""

    state: State


Decision = Confirmed | Refused | Undecided | Proposal


def mark_of(order: ConfigurationOrder) -> str:
    head = b"%b %d " % (order.kind.value.encode(), order.base)
    return sha256(head + orjson.dumps(order.body, option=orjson.OPT_SORT_KEYS)).hexdigest()[:32]


def decide(state: State, order: ConfigurationOrder) -> Decision:
    mark = mark_of(order)
    if (known := state.revision_of(mark)) is not None:
        return Confirmed(known)
    try:
        if order.base < state.reach():
            if order.kind is OrderKind.REPLACE:
                check(order.body)
            return Undecided(order.base)
        if order.base != state.revision:
            return Refused(412, f"revision {state.revision} is in force", state.revision)
        return Proposal(_next_state(state, order, mark))
    except InvalidRequestError as problem:
        return Refused(400, str(problem), state.revision)


def _next_state(state: State, order: ConfigurationOrder, mark: str) -> State:
    """Raises InvalidRequestError."""
    doc = order.body
    if order.kind is OrderKind.AMEND:
        if state.doc is None:
            raise InvalidRequestError("there is nothing to amend")
        doc = amended(state.doc, order.body)
    new = check(doc)
    if new.revision <= state.revision:
        raise InvalidRequestError(f"revision: {new.revision} is not above {state.revision}")
    recent = (*unarchived(state.recent, state.archive), Version(mark, new.revision))
    return State(new.revision, doc, recent[-RECENT_MAX:], state.archive, state.entry)
