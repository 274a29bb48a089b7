"""Messages from a client's actor to the acceptor.

No message class may derive from another: a Closed that matched as Idle was never removed.
"""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sableford.net.client import Client


class Idle(NamedTuple):
    """The connection is between requests; `served` if a transaction was answered on it."""

    client: "Client"
    served: bool


class RequestStarted(NamedTuple):
    """The first bytes of a request have arrived."""

    client: "Client"


class RequestComplete(NamedTuple):
    """A request has been received completely."""

    client: "Client"


class Lingering(NamedTuple):
    """The last response was sent; the connection is read until the peer closes it."""

    client: "Client"


class Closed(NamedTuple):
    """The connection is closed."""

    client: "Client"


class BodyReservation(NamedTuple):
    """Asks for memory for a body of `size` bytes."""

    client: "Client"
    size: int


class RequestRejected(NamedTuple):
    """A request was answered with a plain 4xx or 5xx."""

    status: int
    reason: str
