"""Base types of the messages between processes.

Each message is a msgspec struct with a tag, encoded as the JSON field `op`. A request declares the type of
its response. Unknown fields are ignored and default values are not sent, so that versions with different
fields are compatible.
"""

from typing import ClassVar, Generic, TypeVar

import msgspec


class PeerMessage(msgspec.Struct, tag_field="op", frozen=True, omit_defaults=True):
    """A one-way message. Subclasses set `tag`, the name of their operation on the wire."""


class PeerResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The response to a request. It has no tag, because it is matched by the number of its call."""


ResponseType = TypeVar("ResponseType", bound=PeerResponse)


class PeerRequest(PeerMessage, Generic[ResponseType], frozen=True):
    """A message that expects a response of type `response_type`."""

    response_type: ClassVar[type[PeerResponse]] = PeerResponse


class Ping(PeerMessage, frozen=True, tag="ping"):
    """Checks that the connection still works."""


class Pong(PeerMessage, frozen=True, tag="pong"):
    """The response to a ping. Any other data serves the same purpose."""


class HelloResponse(PeerResponse, frozen=True):
    """The identity of the accepting process."""

    incarnation: str = msgspec.field(name="birth")
    name: str = ""  # not sent by versions up to 0.4
    version: int = msgspec.field(name="v", default=0)


class HelloRequest(PeerRequest[HelloResponse], frozen=True, tag="hello"):
    """The identity of the dialling process; the first message on a connection. `incarnation` changes with
    each start of the process."""

    response_type: ClassVar[type[PeerResponse]] = HelloResponse
    name: str
    incarnation: str = msgspec.field(name="birth")
    role: str = ""
    version: int = msgspec.field(name="v", default=0)


class Refusal(PeerResponse, frozen=True):
    """The response to an operation that was not carried out."""

    reason: str = msgspec.field(name="no", default="")


PROTOCOL_VERSION = 1
UNKNOWN_OPERATION = "unknown"  # the reason of a refusal by a process that does not know the operation
