"""Datagram format of the fleet: format number, checksum, bounded size, long messages in fragments.

A datagram consists of the format number (1 byte), the CRC32C of the rest (4 bytes), and a MessagePack array
[sender, process ID, message], which is split into fragments where it is long. Decoding never raises: unknown
or corrupt datagrams are counted and discarded.
"""

from collections import Counter, OrderedDict
from struct import Struct

import google_crc32c
import msgspec

FORMAT = 1
MAX_DATAGRAM_BYTES = 1200  # maximum size, so that no path fragments it
FRAGMENT_BYTES = 1100  # bytes of a long message per datagram, headers excluded
MAX_FRAGMENTS = 64  # 70 kB: the longest log entry, escaped
MAX_INCOMPLETE = 64  # incomplete messages kept; the oldest is discarded for the next
_HEADER, _FRAGMENT_HEADER = Struct("<BI"), Struct("<IHH")
WHOLE_FORMAT, FRAGMENT_FORMAT = FORMAT, 128 + FORMAT  # the high bit marks a fragment


class Envelope(msgspec.Struct, array_like=True):
    """A message and its sender: its name, and a number that no other process of that name has."""

    sender: str
    process_id: int
    message: msgspec.Raw


class DatagramCodec:
    """Encodes and decodes the datagrams of one process, and counts discarded ones by reason."""

    def __init__(self, name: str, process_id: int, message_types: object) -> None:
        """`message_types`: the union of the message structs."""
        self._name, self._process_id, self._number = name, process_id, 0
        self._encode = msgspec.msgpack.Encoder().encode
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._message_decoder = msgspec.msgpack.Decoder(message_types)
        self._fragments: OrderedDict[tuple[object, int], dict[int, bytes]] = OrderedDict()
        self.discarded: Counter[str] = Counter()

    def encode(self, message: object) -> list[bytes]:
        """Returns the datagrams of a message. Raises ValueError for a message that is too long."""
        body = self._encode(Envelope(self._name, self._process_id, msgspec.Raw(self._encode(message))))
        if len(body) + _HEADER.size <= MAX_DATAGRAM_BYTES:
            return [_HEADER.pack(WHOLE_FORMAT, google_crc32c.value(body)) + body]
        pieces = [body[index : index + FRAGMENT_BYTES] for index in range(0, len(body), FRAGMENT_BYTES)]
        if len(pieces) > MAX_FRAGMENTS:
            raise ValueError(f"message of {len(body)} bytes is too long")
        self._number += 1
        fragments = [
            _FRAGMENT_HEADER.pack(self._number, index, len(pieces)) + piece
            for index, piece in enumerate(pieces)
        ]
        return [_HEADER.pack(FRAGMENT_FORMAT, google_crc32c.value(body)) + body for body in fragments]

    def decode(self, data: bytes, source: object) -> tuple[str, int, object] | None:
        """Returns sender, process ID and message; None for a datagram that is corrupt or unknown, or does not
        complete its message.

        >>> class Count(msgspec.Struct, tag=1, array_like=True): value: int
        >>> codec = DatagramCodec("a", 7, Count)
        >>> [data] = codec.encode(Count(3))
        >>> codec.decode(data, "x"), codec.decode(data[:-1], "x"), codec.decode(bytes([9]) + data[1:], "x")
        (('a', 7, Count(value=3)), None, None)
        >>> dict(codec.discarded)
        {'checksum': 1, 'form': 1}
        """
        if len(data) < _HEADER.size or len(data) > MAX_DATAGRAM_BYTES:
            return self._discard("size")
        format_number, checksum = _HEADER.unpack_from(data)
        body = data[_HEADER.size :]
        if format_number not in (WHOLE_FORMAT, FRAGMENT_FORMAT):
            return self._discard("form")
        if google_crc32c.value(body) != checksum:
            return self._discard("checksum")
        if format_number == FRAGMENT_FORMAT and (body := self._reassemble(body, source)) is None:
            return None
        try:
            envelope = self._envelope_decoder.decode(body)
            return envelope.sender, envelope.process_id, self._message_decoder.decode(envelope.message)
        except msgspec.MsgspecError:
            return self._discard("word")

    def _reassemble(self, body: bytes, source: object) -> bytes | None:
        if len(body) < _FRAGMENT_HEADER.size:
            return self._discard("size")
        number, index, count = _FRAGMENT_HEADER.unpack_from(body)
        if not 0 <= index < count <= MAX_FRAGMENTS:
            return self._discard("part")
        fragments = self._fragments.setdefault((source, number), {})
        fragments[index] = body[_FRAGMENT_HEADER.size :]
        if len(fragments) == count:
            del self._fragments[source, number]
            return (
                b"".join(fragments[index] for index in range(count))
                if set(fragments) == set(range(count))
                else self._discard("part")
            )
        if len(self._fragments) > MAX_INCOMPLETE:
            self._fragments.popitem(last=False)
            self.discarded["partial"] += 1
        return None

    def _discard(self, reason: str) -> None:
        self.discarded[reason] += 1
