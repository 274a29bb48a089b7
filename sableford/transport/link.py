"""One held connection between two of the system's own processes, whoever dialled it: typed messages one way,
and calls that are matched to their responses by number.
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

USER_TIMEOUT_MS = 1600.0  # bytes that are not acknowledged for so long end the connection
MAX_BACKLOG_BYTES = 8_388_608  # waiting to leave: the other side does not read
PING, PONG = "ping", "pong"

Request = TypeVar("Request", bound=PeerMessage)
ResponseType = TypeVar("ResponseType", bound=PeerResponse)

_encode = msgspec.json.Encoder().encode
_PING_FRAME = encode_frame(_encode(Ping()))
_PONG_FRAME = encode_frame(_encode(Pong()))


class Response(NamedTuple, Generic[ResponseType]):
    """What a call was answered."""

    message: ResponseType
    body: bytes = b""


class CallResult(NamedTuple, Generic[ResponseType]):
    """What came of a call: DONE with its response; NOT_RUN or UNKNOWN without one."""

    execution: Execution
    message: ResponseType | None = None
    body: bytes = b""


class IncomingMessage(Generic[Request]):
    """A message as it came, and the way to answer it."""

    __slots__ = ("_call_number", "body", "link", "message")

    def __init__(
        self, link: "Link", message: Request, body: bytes = b"", call_number: int | None = None
    ) -> None:
        self.link, self.message, self.body, self._call_number = link, message, body, call_number

    @property
    def sender(self) -> str:
        """The name of the process that sent it."""
        return self.link.peer

    def respond(self, response: PeerResponse, body: bytes = b"") -> None:
        """On the connection that the message came on; nobody waits for it on another."""
        if self._call_number is not None:
            self.link.send_response(self._call_number, response, body)


_decoders: dict[type, msgspec.json.Decoder[Any]] = {}  # made once for each type


def _decoder(message_type: type) -> msgspec.json.Decoder[Any]:
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = _decoders[message_type] = msgspec.json.Decoder(message_type)
    return decoder


def decode_message(message_type: type[Request], frame: Frame) -> Request:
    """The message that a frame carries. Raises msgspec.ValidationError."""
    message: Request = _decoder(message_type).decode(frame.head)
    return message


def response_decoder(response_type: type[PeerResponse]) -> Callable[[Frame], Response[Any]]:
    """What makes a response of that type from a frame, or raises CallError."""

    def decode(frame: Frame) -> Response[Any]:
        if frame.envelope.refusal == UNKNOWN_OPERATION:
            raise UnknownOperationError
        try:
            return Response(_decoder(response_type).decode(frame.head), frame.body)
        except msgspec.MsgspecError as problem:
            raise MalformedResponseError(str(problem)) from None

    return decode


class Link(asyncio.Protocol):
    """One connection. `receive(link, frame)` gets what is no response, `on_lost(link)` its end."""

    def __init__(
        self, receive: Callable[["Link", Frame], None], on_lost: Callable[["Link"], object] | None = None
    ) -> None:
        self._receive, self._on_lost = receive, on_lost
        self._reader, self._loop = FrameReader(), asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self._pending = PendingCalls()
        self.peer = ""  # its name, once it has said it
        self.incarnation = ""  # of the peer's process
        self._heard_at = self._loop.time()
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]  # a stream's, since this is a stream protocol
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(USER_TIMEOUT_MS))
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """A message that can't be taken ends the connection: what depends on it is then asked for anew, and
        nothing after it is applied as if it had been."""
        self._heard_at = self._loop.time()
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
        """Whether this may be the peer: a connection has the same one, in the same incarnation, to its
        end."""
        if self.incarnation and (self.peer, self.incarnation) != (name, incarnation):
            return False
        self.peer, self.incarnation = name, incarnation
        return True

    def send(self, message: PeerMessage, body: bytes = b"") -> bool:
        """Whether it was handed to the connection; it may still be lost."""
        return self._write(encode_frame(_encode(message), body))

    def send_response(self, call_number: int, response: PeerResponse, body: bytes = b"") -> bool:
        """The answer to a call of the peer."""
        return self._write(encode_frame(_encode(response), body, responds_to=call_number))

    def ping(self) -> None:
        """Asks for a sign of life."""
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
        """A future of the response; it fails with a CallError.

        Whoever gives up waiting cancels it; a response that comes later is dropped."""
        future: asyncio.Future[Response[ResponseType]] = self._loop.create_future()
        number = self._pending.next_number()
        if self._write(encode_frame(_encode(request), body, call_number=number)):
            self._pending.add(number, future, response_decoder(request.response_type))
        else:
            future.set_exception(NotSentError(self.peer))
            future.exception()  # taken as seen, whether or not anybody waits
        return future

    async def call(
        self, request: PeerRequest[ResponseType], body: bytes, timeout_ms: float
    ) -> CallResult[ResponseType]:
        """`request` with a time-out: a response, or whether the other side may have executed it."""
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                response = await self.request(request, body)
        except CallError as problem:
            return CallResult(problem.execution)
        except TimeoutError:
            return CallResult(Execution.UNKNOWN)
        return CallResult(Execution.DONE, response.message, response.body)

    def silence_ms(self) -> float:
        """Since anything was heard."""
        return (self._loop.time() - self._heard_at) * 1000.0

    def drop(self) -> None:
        """Ends the connection at once; calls under way fail."""
        if self.transport is not None:
            self.transport.abort()
        self.connection_lost(None)
