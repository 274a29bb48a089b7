"""What stores and the leader tell each other of a duty, as parts of their joins, renewals and updates."""

import msgspec


class DutyReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the holder of a duty says of it to the leader."""

    epoch: int
    accepted_until: int = msgspec.field(name="accepted", default=0)  # subjects up to this one are done
    refused: bool = False  # the platform has seen a higher fencing token


class DutyNotice(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the leader tells a store of a duty, once a majority holds it.

    `sealed` goes to the holder alone: with the first notice of an epoch on a link all windows that are owed,
    later those that are new."""

    duty: str
    epoch: int
    holder: str = ""  # inner host
    incarnation: str = msgspec.field(name="birth", default="")
    oldest: int = 0  # windows before this one are not owed any more
    sealed: dict[int, dict[str, int]] = {}
