"""A persistent connection between two processes, in either direction: one-way typed messages, and calls whose
responses are matched by number.
"""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec

from sableford.transport.errors import (
    CallError,
    MalformedFrameError,
    MalformedResponseError,
    NotSentError,
    UnansweredError,
    UnknownOperationError,
)
from sableford.transport.frames import Frame, FrameReader, encode_frame
from sableford.transport.messages import (
    UNKNOWN_OPERATION,
    PeerMessage,
    PeerRequest,
    PeerResponse,
    Ping,
    Pong,
)
from sableford.transport.pending_calls import PendingCalls
from sableford.transport.verdict import Execution

USER_TIMEOUT_MS = 1600.0  # TCP_USER_TIMEOUT: unacknowledged data closes the connection
MAX_BACKLOG_BYTES = 8_388_608  # unsent data; a peer that reads so little is disconnected
PING, PONG = "ping", "pong"

Request = TypeVar("Request", bound=PeerMessage)
ResponseType = TypeVar("ResponseType", bound=PeerResponse)

_encode = msgspec.json.Encoder().encode
_PING_FRAME = encode_frame(_encode(Ping()))
_PONG_FRAME = encode_frame(_encode(Pong()))


class Response(NamedTuple, Generic[ResponseType]):
    """The response to a call."""

    message: ResponseType
    body: bytes = b""


class CallResult(NamedTuple, Generic[ResponseType]):
    """The result of a call: DONE with a response, NOT_RUN or UNKNOWN without one."""

    execution: Execution
    message: ResponseType | None = None
    body: bytes = b""


class IncomingMessage(Generic[Request]):
    """A received message, and how to respond to it."""

    __slots__ = ("_call_number", "body", "link", "message")

    def __init__(
        self, link: "Link", message: Request, body: bytes = b"", call_number: int | None = None
    ) -> None:
        self.link, self.message, self.body, self._call_number = link, message, body, call_number

    @property
    def sender(self) -> str:
        """The name of the sending process."""
        return self.link.peer

    def respond(self, response: PeerResponse, body: bytes = b"") -> None:
        """Responds to a call on the connection that it came from. Does nothing for a one-way message."""
        if self._call_number is not None:
            self.link.send_response(self._call_number, response, body)


_decoders: dict[type, msgspec.json.Decoder[Any]] = {}  # by type


def _decoder(message_type: type) -> msgspec.json.Decoder[Any]:
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = _decoders[message_type] = msgspec.json.Decoder(message_type)
    return decoder


def decode_message(message_type: type[Request], frame: Frame) -> Request:
    """Decodes the message of a frame. Raises msgspec.ValidationError."""
    message: Request = _decoder(message_type).decode(frame.head)
    return message


def response_decoder(response_type: type[PeerResponse]) -> Callable[[Frame], Response[Any]]:
    """Returns a function that decodes a frame into a response of that type, or raises CallError."""

    def decode(frame: Frame) -> Response[Any]:
        if frame.envelope.refusal == UNKNOWN_OPERATION:
            raise UnknownOperationError
        try:
            return Response(_decoder(response_type).decode(frame.head), frame.body)
        except msgspec.MsgspecError as problem:
            raise MalformedResponseError(str(problem)) from None

    return decode


class Link(asyncio.Protocol):
    """One connection. `receive(link, frame)` is called for each message that is not a response or a ping, and
    `on_lost(link)` when the connection ends."""

    def __init__(
        self, receive: Callable[["Link", Frame], None], on_lost: Callable[["Link"], object] | None = None
    ) -> None:
        self._receive, self._on_lost = receive, on_lost
        self._reader, self._loop = FrameReader(), asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self._pending = PendingCalls()
        self.peer = ""  # its name, known after the hello
        self.incarnation = ""  # of the peer's process
        self._received_at = self._loop.time()
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]  # a stream transport, since this is a stream protocol
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(USER_TIMEOUT_MS))
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Handles received frames. A message that can't be handled closes the connection, so that no later
        message is applied without it; the peers then synchronize anew."""
        self._received_at = self._loop.time()
        try:
            frames = self._reader.feed(data)
        except MalformedFrameError as problem:
            self._fail("a frame could not be read", problem)
            return
        for frame in frames:
            if self.closed:
                return
            try:
                self._handle_frame(frame)
            except Exception as problem:
                self._fail(f"a message {frame.envelope.operation!r} could not be handled", problem)
                return

    def _handle_frame(self, frame: Frame) -> None:
        envelope = frame.envelope
        if envelope.responds_to is not None:
            self._pending.resolve(envelope.responds_to, frame)
        elif envelope.operation == PING:
            self._write(_PONG_FRAME)
        elif envelope.operation != PONG:
            self._receive(self, frame)

    def _fail(self, what: str, problem: Exception) -> None:
        where = f"{what}, from {self.peer or 'an unknown process'}"
        self._loop.call_exception_handler({"message": where, "exception": problem})
        self.drop()

    def connection_lost(self, problem: Exception | None) -> None:
        if self.closed:
            return
        self.closed = True
        self._pending.fail_all(lambda: UnansweredError(self.peer))
        if self._on_lost is not None:
            self._on_lost(self)

    def identify(self, name: str, incarnation: str) -> bool:
        """Sets the identity of the peer; returns False if it differs from the one set before."""
        if self.incarnation and (self.peer, self.incarnation) != (name, incarnation):
            return False
        self.peer, self.incarnation = name, incarnation
        return True

    def send(self, message: PeerMessage, body: bytes = b"") -> bool:
        """Sends a one-way message; returns whether it was written. It may still be lost."""
        return self._write(encode_frame(_encode(message), body))

    def send_response(self, call_number: int, response: PeerResponse, body: bytes = b"") -> bool:
        """Sends the response to a call of the peer."""
        return self._write(encode_frame(_encode(response), body, responds_to=call_number))

    def ping(self) -> None:
        """Sends a ping, to which the peer replies."""
        self._write(_PING_FRAME)

    def _write(self, data: bytes) -> bool:
        if self.closed or self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            self.drop()
            return False
        self.transport.write(data)
        return True

    def request(
        self, request: PeerRequest[ResponseType], body: bytes = b""
    ) -> "asyncio.Future[Response[ResponseType]]":
        """Sends a request and returns a future of the response, which fails with a CallError.

        Cancel the future to give up; a later response is dropped."""
        future: asyncio.Future[Response[ResponseType]] = self._loop.create_future()
        number = self._pending.next_number()
        if self._write(encode_frame(_encode(request), body, call_number=number)):
            self._pending.add(number, future, response_decoder(request.response_type))
        else:
            future.set_exception(NotSentError(self.peer))
            future.exception()  # marks the exception as retrieved, in case nobody awaits the future
        return future

    async def call(
        self, request: PeerRequest[ResponseType], body: bytes, timeout_ms: float
    ) -> CallResult[ResponseType]:
        """Sends a request and waits for the response. Without one the result tells whether the peer may have
        executed the request."""
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                response = await self.request(request, body)
        except CallError as problem:
            return CallResult(problem.execution)
        except TimeoutError:
            return CallResult(Execution.UNKNOWN)
        return CallResult(Execution.DONE, response.message, response.body)

    def silence_ms(self) -> float:
        """The time since data was last received."""
        return (self._loop.time() - self._received_at) * 1000.0

    def drop(self) -> None:
        """Closes the connection at once; pending calls fail."""
        if self.transport is not None:
            self.transport.abort()
        self.connection_lost(None)
