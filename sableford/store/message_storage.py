"""Stores messages and their final states on disk: the format of keys and values, on top of `disk.Disk`.

| key | value |
| --- | --- |
| `m` and a ref | a frame: the header (`protocol.StoredMessage`) and the body |
| `e` and a ref | the message's final state; it replaces the message, except that of a dead letter |

The bytes of a dead letter stay, since clients may ask for them.
"""

import asyncio
import time
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from sableford.common.disk import DamagedError, Disk, Puts
from sableford.common.log import EventLog
from sableford.store.messages import Message
from sableford.store.protocol import FinalState, MessageHeader, StoredMessage, header_fields
from sableford.store.queue_state import DEAD_LETTER
from sableford.transport.frames import FrameReader, encode_frame

MESSAGE, FINAL_STATE = b"m", b"e"  # first bytes of keys


class Clocks(NamedTuple):
    """One moment by this process's monotonic clock and by the time of day, both in ms."""

    monotonic: float
    unix: float

    @classmethod
    def at(cls, now: float) -> "Clocks":
        """Returns the present moment, which is `now` by the monotonic clock."""
        return cls(now, time.time() * 1000.0)


_encode = msgspec.json.Encoder().encode
_decode_header = msgspec.json.Decoder(StoredMessage).decode


def encode_message(message: Message, clocks: Clocks) -> bytes:
    """Encodes a message for the disk, with an empty body if the body is not in memory."""
    offset = clocks.unix - clocks.monotonic
    stored = StoredMessage(
        **header_fields(message.header), due_at=message.due_at + offset, sent_at=message.sent_at + offset
    )
    return encode_frame(_encode(stored), message.body or b"")


def decode_message(value: bytes, clocks: Clocks) -> Message:
    """Decodes a message from the disk, without its body. Raises msgspec.MsgspecError or
    MalformedFrameError."""
    frame = FrameReader().feed(value)[0]
    stored = _decode_header(frame.head)
    offset = clocks.monotonic - clocks.unix
    sent_at = min(stored.sent_at + offset, clocks.monotonic)  # the time of day may have been set back
    message = Message(MessageHeader(**header_fields(stored)), None, stored.due_at + offset, sent_at)
    message.synced = True
    return message


def final_state_puts(ref: str, final_state: FinalState) -> Puts:
    """Returns the writes that replace a message by its final state; a dead letter keeps its bytes."""
    key = ref.encode()
    puts: Puts = [(FINAL_STATE + key, final_state.dump())]
    if final_state.phase != DEAD_LETTER:
        puts.append((MESSAGE + key, None))
    return puts


class MessageStorage:
    """Reads and writes the messages of a store. Each write is a future that fails if the disk refuses it."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def load_messages(self, clocks: Clocks) -> Iterator[Message]:
        """Yields all messages on disk. For use before anything is served."""
        for _, value in self._disk.load(MESSAGE):
            yield decode_message(value, clocks)

    def load_final_states(self) -> Iterator[tuple[str, FinalState]]:
        """Yields all final states on disk, by ref. For use before anything is served."""
        for key, value in self._disk.load(FINAL_STATE):
            yield key[1:].decode(), FinalState.load(value)

    def write_message(self, message: Message, clocks: Clocks) -> "asyncio.Future[bool]":
        """Writes a message and its body."""
        key = MESSAGE + message.ref.encode()
        return self._disk.write([(key, encode_message(message, clocks))], adds_data=True)

    def write_final_states(self, final_states: dict[str, FinalState]) -> "asyncio.Future[bool]":
        """Writes final states, by ref, all of them or none."""
        puts = [put for ref, one in final_states.items() for put in final_state_puts(ref, one)]
        return self._disk.write(puts)

    def remove_message(self, ref: str) -> None:
        """Removes a message that has no final state."""
        self._disk.write([(MESSAGE + ref.encode(), None)])

    def remove_all(self, refs: Iterable[str]) -> None:
        """Removes final states and what is left of their messages."""
        keys = [kind + ref.encode() for ref in refs for kind in (FINAL_STATE, MESSAGE)]
        self._disk.write([(key, None) for key in keys])

    async def read_body(self, ref: str) -> bytes | None:
        """Reads the body of a message; None if it is not on disk. Raises DamagedError."""
        value = await self._disk.read(MESSAGE + ref.encode())
        return None if value is None else FrameReader().feed(value)[0].body


class BodyReader:
    """Reads message bodies from memory or disk. One that cannot be read counts as missing, and is logged."""

    def __init__(self, storage: MessageStorage, log: EventLog) -> None:
        self._storage, self._log = storage, log

    async def body_of(self, message: Message) -> bytes | None:
        """Returns the body of a message that is held."""
        return message.body if message.body is not None else await self.read(message.ref)

    async def read(self, ref: str) -> bytes | None:
        """Reads the body of any message that may be on disk."""
        try:
            return await self._storage.read_body(ref)
        except DamagedError as problem:
            self._log.event("message_damaged", ref=ref, problem=str(problem))
            return None
