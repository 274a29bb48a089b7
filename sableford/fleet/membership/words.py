"""The words of membership. Each may carry news of a few members beside what it asks or answers."""

from enum import IntEnum

import msgspec

State = IntEnum("State", "ALIVE SUSPECT DEAD LEFT")  # at one incarnation a later one goes before an earlier


class News(msgspec.Struct, array_like=True, frozen=True):
    """What is said of a member: `by` names who suspects it, and `place` where it listens."""

    name: str
    birth: int
    incarnation: int
    state: int
    place: str = ""
    by: str = ""


class _Word(msgspec.Struct, array_like=True, frozen=True):
    number: int  # of the probe, the asker's
    news: tuple[News, ...] = ()


class Ping(_Word, tag=1, frozen=True):
    """Are you there? `newest` is how far the record is, so that others learn of it."""

    newest: int = 0


class Ack(_Word, tag=2, frozen=True):
    newest: int = 0


class Ask(_Word, tag=3, frozen=True):
    """Ping that one for me."""

    target: str = ""


class Nack(_Word, tag=4, frozen=True):
    """I did, and have heard nothing yet; I myself am there."""


class Sync(_Word, tag=5, frozen=True):
    """Where I stand, as a digest for each bucket of names; answer with some of what differs. A newcomer has
    none and is answered with all."""

    digests: tuple[int, ...] = ()
    answer: bool = False


Words = Ping | Ack | Ask | Nack | Sync
