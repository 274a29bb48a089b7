"""What a client's actor tells the gate. None is a kind of another: a closed one taken for a resting one was
never let go.
"""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sableford.net.client import Client


class Idle(NamedTuple):
    """Between two requests; `proved` where a txn was answered on it."""

    client: "Client"
    served: bool


class RequestStarted(NamedTuple):
    """A request has begun to come."""

    client: "Client"


class RequestComplete(NamedTuple):
    """A request has come whole."""

    client: "Client"


class Lingering(NamedTuple):
    """It has its last answer."""

    client: "Client"


class Closed(NamedTuple):
    """The connection is gone."""

    client: "Client"


class BodyReservation(NamedTuple):
    """A body of so many bytes is to come."""

    client: "Client"
    size: int


class RequestRejected(NamedTuple):
    """A request got a plain 4xx or 5xx."""

    status: int
    reason: str
