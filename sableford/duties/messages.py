"""Messages about duties between stores and the leader, carried in joins, renewals and updates."""

import msgspec


class DutyReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report of a duty's holder to the leader."""

    epoch: int
    accepted_until: int = msgspec.field(name="accepted", default=0)  # windows up to this one are done
    refused: bool = False  # the platform has seen a higher fencing token


class DutyNotice(msgspec.Struct, frozen=True, omit_defaults=True):
    """Notice from the leader to a store about a duty, sent once the state is committed.

    `sealed` is sent to the holder only: with the first notice of an epoch on a link all pending windows,
    later only new ones."""

    duty: str
    epoch: int
    holder: str = ""  # internal host address
    incarnation: str = msgspec.field(name="birth", default="")
    oldest: int = 0  # windows before this one are no longer pending
    sealed: dict[int, dict[str, int]] = {}
