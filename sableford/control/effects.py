"""Effects that the coordinator and its parts return, for the control service to carry out."""

from typing import Any, NamedTuple

from sableford.control.protocol import Update


class SendUpdate(NamedTuple):
    """Send an update to one member, on its link."""

    member: str
    update: Update


class AddStore(NamedTuple):
    """Add the store to the roster, before it holds any replica."""

    name: str


class RemoveStore(NamedTuple):
    """Remove the store from the roster: no replica on it is needed."""

    name: str


class WaitEnded(NamedTuple):
    """The wait `token` is over: all members have applied the update, or the wait timed out."""

    token: int
    all_applied: bool


class LogEvent(NamedTuple):
    """Write an event to the log."""

    event: str
    fields: dict[str, Any]


Effect = SendUpdate | AddStore | RemoveStore | WaitEnded | LogEvent
