"""Frames of the simulator protocol."""

from struct import Struct
from typing import BinaryIO

from sableford.model import Ending

HEAD = Struct("<IId")
REPLY_HEAD = Struct("<II")
EVENT_SIZE, ACTION_SIZE = 56, 32
BORN, REPORT_BACK, MESSAGE, CALL, TEARDOWN, ELAPSED = 16, 17, 18, 19, 20, 21
LAPSED, STREAMING, INVENTORY, SAMPLED, FLEET, UPDATE_OF = 22, 23, 24, 25, 26, 27

born = Struct("<IQII").unpack_from
report_back = Struct("<IQIBBHdBB4f").unpack_from
call = Struct("<IQHIQddffH").unpack_from
message = Struct("<IHII").unpack_from
instance = Struct("<I").unpack_from
lapsed = Struct("<IQ").unpack_from
inventory = Struct("<BII").unpack_from
sampled = Struct("<IdIHB4f").unpack_from
fleet = Struct("<IBQB").unpack_from
update_of = Struct("<IQBIBf").unpack_from
entry = Struct("<IBHHBfd")

_route = Struct("<BIQId7x").pack
_schedule = Struct("<BIdQ11x").pack
_retract = Struct("<BIQB18x").pack
_say_no = Struct("<BIQd11x").pack
_end_failed = Struct("<BIQ19x").pack
_subscribe = Struct("<BIB26x").pack
_check = Struct("<BII23x").pack
_fault = Struct("<BIII19x").pack
_write_peer = Struct("<BIIII15x").pack

ENDINGS = {
    100: Ending.SETTLED,
    301: Ending.ERROR,
    302: Ending.FULL,
    303: Ending.TIMED_OUT,
    304: Ending.NO_CONNECTION,
    305: Ending.BROKEN,
    306: Ending.CALLED_OFF,
    307: Ending.NOT_SENT,
}


class Malformed(Exception):
    """The simulator violated the protocol."""


class Frame:
    """A batch of events: clock, fixed-size records, and a tail with variable-size data."""

    def __init__(self, count: int, clock: float, body: bytes) -> None:
        self.count, self.clock, self.body = count, clock, body
        self._tail = count * EVENT_SIZE

    def tail(self, offset: int, length: int) -> bytes:
        start = self._tail + offset
        if start + length > len(self.body):
            raise Malformed(f"tail of {length} bytes at {offset} lies outside the frame")
        return self.body[start : start + length]

    def entries(self, offset: int, count: int) -> list[tuple]:
        return list(entry.iter_unpack(self.tail(offset, count * entry.size)))


def read_frame(source: BinaryIO) -> Frame | None:
    """Returns the next batch, or None at the end of the input."""
    head = source.read(HEAD.size)
    if not head:
        return None
    if len(head) < HEAD.size:
        raise Malformed(f"short header of {len(head)} bytes")
    count, length, clock = HEAD.unpack(head)
    if length < count * EVENT_SIZE:
        raise Malformed(f"{count} records do not fit {length} bytes")
    body = source.read(length)
    if len(body) < length:
        raise Malformed(f"short frame: {len(body)} of {length} bytes")
    return Frame(count, clock, body)


class Reply:
    """Encodes the actions of one reply."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = b""

    def route(self, inst: int, rid: int, worker: int, until: float) -> None:
        self._records.append(_route(17, inst, rid, worker, until))

    def schedule(self, inst: int, after: float) -> None:
        self._records.append(_schedule(24, inst, after, 0))

    def retract(self, inst: int, rid: int, posting: int) -> None:
        self._records.append(_retract(16, inst, rid, posting))

    def say_no(self, inst: int, rid: int, pause: float) -> None:
        self._records.append(_say_no(25, inst, rid, pause))

    def end_failed(self, inst: int, rid: int) -> None:
        self._records.append(_end_failed(18, inst, rid))

    def subscribe(self, inst: int) -> None:
        self._records.append(_subscribe(26, inst, 1))

    def check(self, inst: int, worker: int) -> None:
        self._records.append(_check(22, inst, worker))

    def write_peers(self, inst: int, peers: tuple[int, ...], message: bytes) -> None:
        offset = len(self._tail)
        self._records += [_write_peer(27, inst, peer, offset, len(message)) for peer in peers]
        self._tail += message

    def fault(self, inst: int, text: str) -> None:
        encoded = text.encode()
        self._records.append(_fault(21, inst, len(self._tail), len(encoded)))
        self._tail += encoded

    def packed(self) -> bytes:
        body = b"".join(self._records) + self._tail
        return REPLY_HEAD.pack(len(self._records), len(body)) + body
