"""Messages of the membership protocol. Each can carry updates on a few members."""

from enum import IntEnum

import msgspec

State = IntEnum(
    "State", "ALIVE SUSPECT DEAD LEFT"
)  # at the same incarnation a later one overrides an earlier


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """State of a member: `address` is where it listens, `suspected_by` a member that suspects it."""

    name: str
    process_id: int
    incarnation: int
    state: int
    address: str = ""
    suspected_by: str = ""


class _Message(msgspec.Struct, array_like=True, frozen=True):
    number: int  # of the probe, assigned by the sender of the request
    updates: tuple[MemberUpdate, ...] = ()


class Ping(_Message, tag=1, frozen=True):
    """Probes the recipient. `commit` is the sender's commit index, by which others learn of it."""

    commit: int = 0


class Ack(_Message, tag=2, frozen=True):
    """Acknowledges a Ping or, by way of a helper, a PingRequest."""

    commit: int = 0


class PingRequest(_Message, tag=3, frozen=True):
    """Asks the recipient to probe `target` on the sender's behalf."""

    target: str = ""


class Nack(_Message, tag=4, frozen=True):
    """Answers a PingRequest whose target has not acknowledged so far; shows that the helper itself is up."""


class Sync(_Message, tag=5, frozen=True):
    """The sender's view as one digest per bucket of names; the answer has some updates of the buckets that
    differ. A joining member sends no digests and receives the whole view."""

    digests: tuple[int, ...] = ()
    is_answer: bool = False


MembershipMessage = Ping | Ack | PingRequest | Nack | Sync
