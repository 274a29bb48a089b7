"""The listener for other processes: accepts links, which start with a hello, and dispatches messages to the
handler of their type.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from sableford.common.log import EventLog
from sableford.transport.frames import Frame
from sableford.transport.link import IncomingMessage, Link, decode_message
from sableford.transport.messages import (
    PROTOCOL_VERSION,
    UNKNOWN_OPERATION,
    HelloRequest,
    HelloResponse,
    PeerMessage,
    Refusal,
)

ACCEPT_BACKLOG = 512  # connections that wait to be accepted: all members of a large cluster at once

Message = TypeVar("Message", bound=PeerMessage)
Handler = Callable[[IncomingMessage[Any]], object]


class Registration(NamedTuple):
    """The handler of one operation."""

    message_type: type[PeerMessage]
    handler: Handler


def operation_of(message_type: type[PeerMessage]) -> str:
    """Returns the tag of a message type.

    >>> operation_of(HelloRequest)
    'hello'
    """
    return str(message_type.__struct_config__.tag)


class PeerServer:
    """`name` and `incarnation` identify this process; `handle` registers the handlers of messages."""

    def __init__(self, name: str, incarnation: str, log: EventLog) -> None:
        self._name, self._incarnation, self._log = name, incarnation, log
        self._registrations: dict[str, Registration] = {}
        self._accepted: set[Link] = set()
        self._server: asyncio.Server | None = None
        self.handle(HelloRequest, self._handle_hello)

    def handle(
        self, message_type: type[Message], handler: Callable[[IncomingMessage[Message]], object]
    ) -> None:
        """Registers the handler of a message type."""
        self._registrations[operation_of(message_type)] = Registration(message_type, handler)

    async def listen(self, port: int) -> None:
        """Starts to listen. From here on a refused connection proves that this process has ended."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self.accept, self._name, port, backlog=ACCEPT_BACKLOG)

    def accept(self) -> Link:
        """Creates the link of an accepted connection."""
        link = Link(self.receive, self._accepted.discard)
        self._accepted.add(link)
        return link

    def receive(self, link: Link, frame: Frame) -> None:
        """Handles a message, on an accepted or a dialled link."""
        operation = frame.envelope.operation
        if link in self._accepted and not link.incarnation and operation != operation_of(HelloRequest):
            self._log.event("hello_missing", op=operation)
            link.drop()  # its sender is unknown
            return
        registration = self._registrations.get(operation)
        if registration is None:
            self._log.event("operation_unknown", op=operation, sender=link.peer)
            if frame.envelope.call_number is not None:
                link.send_response(frame.envelope.call_number, Refusal(UNKNOWN_OPERATION))
            return
        message = decode_message(registration.message_type, frame)
        registration.handler(IncomingMessage(link, message, frame.body, frame.envelope.call_number))

    def _handle_hello(self, incoming: IncomingMessage[HelloRequest]) -> None:
        hello = incoming.message
        if not (hello.name and hello.incarnation) or not incoming.link.identify(
            hello.name, hello.incarnation
        ):
            self._log.event("hello_refused", sender=incoming.sender, name=hello.name)
            incoming.link.drop()
            return
        incoming.respond(HelloResponse(self._incarnation, self._name, PROTOCOL_VERSION))
