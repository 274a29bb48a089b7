"""Frames between processes: a netstring of JSON, followed by a second netstring if the frame carries a body.
A body is binary; encoded in JSON it would be a third larger.

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

MAX_NETSTRING_BYTES = 16_777_216  # far above the largest body or snapshot, far below the memory limit
MAX_LENGTH_DIGITS = 9  # of a netstring's length
MAX_CALL_NUMBER = 2**53 - 1  # the largest integer that JSON numbers represent exactly
COMMA = ord(",")

CallNumber = Annotated[int, msgspec.Meta(ge=1, le=MAX_CALL_NUMBER)]
BodySize = Annotated[int, msgspec.Meta(ge=0, le=MAX_NETSTRING_BYTES)]


class Envelope(msgspec.Struct, frozen=True):
    """The fields of a frame's head that belong to the protocol; the others belong to the message."""

    operation: str = msgspec.field(name="op", default="")  # empty in a response
    call_number: CallNumber | None = msgspec.field(name="q", default=None)  # set if a response is expected
    responds_to: CallNumber | None = msgspec.field(name="a", default=None)  # the call's number, in a response
    body_size: BodySize = msgspec.field(name="raw", default=0)  # bytes that follow the head
    refusal: str | None = msgspec.field(name="no", default=None)  # why a call was not carried out


class Frame(NamedTuple):
    """One received frame. `head` is the JSON object with the fields of the envelope and the message."""

    envelope: Envelope
    head: bytes
    body: bytes = b""


_decode_envelope = msgspec.json.Decoder(Envelope).decode


def read_envelope(head: bytes) -> Envelope:
    """Decodes the envelope of a head. Raises MalformedFrameError.

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
    """Appends an integer field to an encoded JSON object.

    >>> with_field(b"{}", b"a", 1), with_field(b'{"x":0}', b"q", 2)
    (b'{"a":1}', b'{"x":0,"q":2}')
    """
    separator = b"" if head == b"{}" else b","
    return b'%b%b"%b":%d}' % (head[:-1], separator, name, number)


def encode_frame(
    head: bytes, body: bytes = b"", call_number: int | None = None, responds_to: int | None = None
) -> bytes:
    """Encodes one frame. `head`: a JSON object without the numbers of the envelope."""
    if call_number is not None:
        head = with_field(head, b"q", call_number)
    if responds_to is not None:
        head = with_field(head, b"a", responds_to)
    if not body:
        return b"%d:%b," % (len(head), head)
    head = with_field(head, b"raw", len(body))
    return b"%d:%b,%d:%b," % (len(head), head, len(body), body)


class FrameReader:
    """Incremental parser of frames."""

    __slots__ = ("_buffer", "_pending")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._pending: Frame | None = None  # head received, body outstanding

    def feed(self, data: bytes) -> list[Frame]:
        """Adds received data and returns the frames that it completes. Raises MalformedFrameError."""
        self._buffer += data
        frames: list[Frame] = []
        position = 0
        while (end := self._netstring_end(position)) is not None:
            start = self._buffer.index(b":", position) + 1
            frame = self._add_netstring(bytes(self._buffer[start:end]))
            if frame is not None:
                frames.append(frame)
            position = end + 1
        if position:
            del self._buffer[:position]
        return frames

    def _netstring_end(self, position: int) -> int | None:
        """The position of the comma of the netstring at `position`, or None if it is incomplete."""
        buffer = self._buffer
        colon = buffer.find(b":", position, position + MAX_LENGTH_DIGITS + 1)
        if colon < 0:
            if len(buffer) - position > MAX_LENGTH_DIGITS:
                raise MalformedFrameError("the length of a netstring is missing or invalid")
            return None
        digits = buffer[position:colon]
        if not digits.isdigit():
            raise MalformedFrameError("the length of a netstring is missing or invalid")
        size = int(digits)
        if size > MAX_NETSTRING_BYTES:
            raise MalformedFrameError(
                f"a netstring of {size} bytes exceeds the limit of {MAX_NETSTRING_BYTES}"
            )
        end = colon + 1 + size
        if len(buffer) <= end:
            return None
        if buffer[end] != COMMA:
            raise MalformedFrameError("a netstring does not end with a comma")
        return end

    def _add_netstring(self, payload: bytes) -> Frame | None:
        """Handles one netstring; returns the frame that it completes, if any."""
        if self._pending is not None:
            pending, self._pending = self._pending, None
            if pending.envelope.body_size != len(payload):
                raise MalformedFrameError("the size of the body differs from the one in the head")
            return pending._replace(body=payload)
        frame = Frame(read_envelope(payload), payload)
        if frame.envelope.body_size:
            self._pending = frame
            return None
        return frame
