"""Decides an operator's order, given the configuration in force and the orders accepted so far. No I/O.

order                                          decision
one that was accepted before                   Confirmed, with its version
based on the current version, valid, above it  Proposal: in force once a majority has it
based on the current version, else             Refused 400
based on another version with a known next one Refused 412
based on a version older than the history      Refused 400 if invalid in itself, else Undecided

A repeated order is recognised by its digest, of its kind, base and content. Two operators who send the very
same order can't be told from one who sends it twice: both are confirmed, and both got what they asked for.
An order with another base or of another kind is a different order, even if it would give the same content.
"""

from hashlib import sha256
from typing import Any, NamedTuple

import orjson

from sableford.control.configuration import InvalidRequestError, amended, check
from sableford.control.order_history import FIRST, RECENT_MAX, Archive, Version, unarchived
from sableford.control.requests import ConfigurationOrder, OrderKind


class State(NamedTuple):
    """The record's state: the configuration as it was sent, and the versions that led to it. `entry`: the
    index of the record's entry that set it."""

    revision: int = 0
    doc: dict[str, Any] | None = None
    recent: tuple[Version, ...] = (FIRST,)
    archive: Archive = Archive()
    entry: int = 0

    def dump(self) -> bytes:
        """The value in the record. Version 0.3 reads `taken` too, and keeps the last 32 of them."""
        taken = [list(version) for version in self.recent]
        return orjson.dumps({"revision": self.revision, "doc": self.doc, "taken": taken})

    @classmethod
    def load(cls, text: bytes, archive: Archive | None = None, entry: int = 0) -> "State":
        given = orjson.loads(text)
        recent = tuple(Version(digest, revision) for digest, revision in given["taken"])
        return cls(given["revision"], given["doc"], recent, archive or Archive(), entry)

    def revision_of(self, digest: str) -> int | None:
        """The version that an order made, if it was accepted."""
        for version in self.recent:
            if version.digest == digest:
                return version.revision
        return self.archive.revision_of(digest)

    def oldest_known(self) -> int:
        """The oldest version from which on all accepted orders are known."""
        return self.archive.oldest_known(self.recent[0].revision if self.recent else self.revision)


class Confirmed(NamedTuple):
    """The order was accepted before, as this version."""

    revision: int


class Refused(NamedTuple):
    """The order was not accepted and, unchanged, never will be."""

    status: int
    reason: str
    revision: int


class Undecided(NamedTuple):
    """The history no longer shows whether the order was accepted."""

    base: int


class Proposal(NamedTuple):
    """A new state to propose. Its `entry` is still that of the state that it replaces."""

    state: State


Decision = Confirmed | Refused | Undecided | Proposal


def order_digest(order: ConfigurationOrder) -> str:
    """Identifies an order by its kind, base and content."""
    prefix = b"%b %d " % (order.kind.value.encode(), order.base)
    return sha256(prefix + orjson.dumps(order.body, option=orjson.OPT_SORT_KEYS)).hexdigest()[:32]


def decide(state: State, order: ConfigurationOrder) -> Decision:
    """What becomes of an order; see the table above."""
    digest = order_digest(order)
    if (known := state.revision_of(digest)) is not None:
        return Confirmed(known)
    try:
        if order.base < state.oldest_known():
            if order.kind is OrderKind.REPLACE:
                check(order.body)
            return Undecided(order.base)
        if order.base != state.revision:
            return Refused(412, f"revision {state.revision} is in force", state.revision)
        return Proposal(_next_state(state, order, digest))
    except InvalidRequestError as problem:
        return Refused(400, str(problem), state.revision)


def _next_state(state: State, order: ConfigurationOrder, digest: str) -> State:
    """Raises InvalidRequestError."""
    doc = order.body
    if order.kind is OrderKind.AMEND:
        if state.doc is None:
            raise InvalidRequestError("there is nothing to amend")
        doc = amended(state.doc, order.body)
    new = check(doc)
    if new.revision <= state.revision:
        raise InvalidRequestError(f"revision: {new.revision} is not above {state.revision}")
    recent = (*unarchived(state.recent, state.archive), Version(digest, new.revision))
    return State(new.revision, doc, recent[-RECENT_MAX:], state.archive, state.entry)
