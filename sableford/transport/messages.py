"""The base types of the messages that the system's own processes send each other.

Each message is a msgspec struct with a tag, which stands in the JSON field `op`. A request names the type of
its response. Unknown fields are ignored and defaults are not sent, so that versions with more or fewer fields
understand each other.
"""

from typing import ClassVar, Generic, TypeVar

import msgspec


class PeerMessage(msgspec.Struct, tag_field="op", frozen=True, omit_defaults=True):
    """A message that is not answered. Subclasses set `tag`, their operation on the wire."""


class PeerResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to a request. It has no tag: it is matched by the number of its call."""


ResponseType = TypeVar("ResponseType", bound=PeerResponse)


class PeerRequest(PeerMessage, Generic[ResponseType], frozen=True):
    """A message that is answered with a `response_type`."""

    response_type: ClassVar[type[PeerResponse]] = PeerResponse


class Ping(PeerMessage, frozen=True, tag="ping"):
    """Asks whether the connection still carries anything."""


class Pong(PeerMessage, frozen=True, tag="pong"):
    """The answer to a ping; anything else that is heard serves as well."""


class HelloResponse(PeerResponse, frozen=True):
    """Who was reached."""

    incarnation: str = msgspec.field(name="birth")
    name: str = ""  # not sent by version 0.4 and before
    version: int = msgspec.field(name="v", default=0)


class HelloRequest(PeerRequest[HelloResponse], frozen=True, tag="hello"):
    """Who has dialled: the first message on a connection. `incarnation` changes with each start of the
    process."""

    response_type: ClassVar[type[PeerResponse]] = HelloResponse
    name: str
    incarnation: str = msgspec.field(name="birth")
    role: str = ""
    version: int = msgspec.field(name="v", default=0)


class Refusal(PeerResponse, frozen=True):
    """Why an operation was not carried out."""

    reason: str = msgspec.field(name="no", default="")


PROTOCOL_VERSION = 1
UNKNOWN_OPERATION = "unknown"  # the reason of a refusal by a process that has no such operation
