"""What the coordinator and its parts decide; the control service carries it out."""

from typing import Any, NamedTuple

from sableford.control.protocol import Update


class SendUpdate(NamedTuple):
    """To one member, on its link."""

    member: str
    update: Update


class AddStore(NamedTuple):
    """The store is to be added to the roster before it holds anything."""

    name: str


class RemoveStore(NamedTuple):
    """The store is to be removed from the roster: whatever it holds is safe without it."""

    name: str


class WaitEnded(NamedTuple):
    """What `token` waited for has been applied by all who must, or can be waited for no longer."""

    token: int
    all_applied: bool


class LogEvent(NamedTuple):
    """For the log."""

    event: str
    fields: dict[str, Any]


Effect = SendUpdate | AddStore | RemoveStore | WaitEnded | LogEvent
