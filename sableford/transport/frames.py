"""Frames between the system's own processes: a netstring of JSON, and behind it a second netstring where the
frame carries a body, bytes that are no text, which JSON would make a third larger.

    >>> reader = FrameReader()
    >>> [(one.head, one.body) for one in reader.feed(encode_frame(b'{"op":"put"}', b"xyz"))]
    [(b'{"op":"put","raw":3}', b'xyz')]
    >>> reader.feed(b"5:{}x")
    []
    >>> reader.feed(b"xx,")
    Traceback (most recent call last):
    ...
    sableford.transport.errors.MalformedFrameError: JSON is malformed: trailing characters (byte 3)
"""

from typing import Annotated, NamedTuple

import msgspec

from sableford.transport.errors import MalformedFrameError

MAX_NETSTRING_BYTES = 16_777_216  # far over the largest body or snapshot, far under the memory
MAX_LENGTH_DIGITS = 9  # of a netstring's length; more is no frame
MAX_CALL_NUMBER = 2**53 - 1  # what JSON carries exactly between all versions
COMMA = ord(",")

CallNumber = Annotated[int, msgspec.Meta(ge=1, le=MAX_CALL_NUMBER)]
BodySize = Annotated[int, msgspec.Meta(ge=0, le=MAX_NETSTRING_BYTES)]


class Envelope(msgspec.Struct, frozen=True):
    """What each frame's head says of itself; the other fields belong to its message."""

    operation: str = msgspec.field(name="op", default="")  # none in a response
    call_number: CallNumber | None = msgspec.field(name="q", default=None)  # where a response is wanted
    responds_to: CallNumber | None = msgspec.field(name="a", default=None)  # the call that this answers
    body_size: BodySize = msgspec.field(name="raw", default=0)  # bytes that follow the head
    refusal: str | None = msgspec.field(name="no", default=None)  # why a call was not carried out


class Frame(NamedTuple):
    """One frame as it came. `head` is the JSON object that holds the envelope and the message's fields."""

    envelope: Envelope
    head: bytes
    body: bytes = b""


_decode_envelope = msgspec.json.Decoder(Envelope).decode


def read_envelope(head: bytes) -> Envelope:
    """What a head says of itself. Raises MalformedFrameError.

    >>> read_envelope(b'{"op":"put","q":7,"shard":3}').call_number
    7
    >>> read_envelope(b'{"a":true}')
    Traceback (most recent call last):
    ...
    sableford.transport.errors.MalformedFrameError: Expected `int | null`, got `bool` - at `$.a`
    """
    try:
        return _decode_envelope(head)
    except msgspec.MsgspecError as problem:
        raise MalformedFrameError(str(problem)) from None


def with_field(head: bytes, name: bytes, number: int) -> bytes:
    """A JSON object with one more field.

    >>> with_field(b"{}", b"a", 1), with_field(b'{"x":0}', b"q", 2)
    (b'{"a":1}', b'{"x":0,"q":2}')
    """
    separator = b"" if head == b"{}" else b","
    return b'%b%b"%b":%d}' % (head[:-1], separator, name, number)


def encode_frame(
    head: bytes, body: bytes = b"", call_number: int | None = None, responds_to: int | None = None
) -> bytes:
    """The bytes of one frame. `head`: a JSON object without the envelope's numbers."""
    if call_number is not None:
        head = with_field(head, b"q", call_number)
    if responds_to is not None:
        head = with_field(head, b"a", responds_to)
    if not body:
        return b"%d:%b," % (len(head), head)
    head = with_field(head, b"raw", len(body))
    return b"%d:%b,%d:%b," % (len(head), head, len(body), body)


class FrameReader:
    """Reads frames from bytes as they come."""

    __slots__ = ("_buffer", "_pending")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._pending: Frame | None = None  # its head has come, its body has not

    def feed(self, data: bytes) -> list[Frame]:
        """All frames that are complete by now. Raises MalformedFrameError."""
        self._buffer += data
        frames: list[Frame] = []
        position = 0
        while (end := self._netstring_end(position)) is not None:
            start = self._buffer.index(b":", position) + 1
            frame = self._take(bytes(self._buffer[start:end]))
            if frame is not None:
                frames.append(frame)
            position = end + 1
        if position:
            del self._buffer[:position]
        return frames

    def _netstring_end(self, position: int) -> int | None:
        """Where the netstring that begins there has its comma; None where it is not complete."""
        buffer = self._buffer
        colon = buffer.find(b":", position, position + MAX_LENGTH_DIGITS + 1)
        if colon < 0:
            if len(buffer) - position > MAX_LENGTH_DIGITS:
                raise MalformedFrameError("no length")
            return None
        digits = buffer[position:colon]
        if not digits.isdigit():
            raise MalformedFrameError("no length")
        size = int(digits)
        if size > MAX_NETSTRING_BYTES:
            raise MalformedFrameError("a length beyond measure")
        end = colon + 1 + size
        if len(buffer) <= end:
            return None
        if buffer[end] != COMMA:
            raise MalformedFrameError("no comma")
        return end

    def _take(self, part: bytes) -> Frame | None:
        """The frame that this netstring completes."""
        if self._pending is not None:
            pending, self._pending = self._pending, None
            if pending.envelope.body_size != len(part):
                raise MalformedFrameError("as many bytes as its head says don't follow")
            return pending._replace(body=part)
        frame = Frame(read_envelope(part), part)
        if frame.envelope.body_size:
            self._pending = frame
            return None
        return frame
