"""A held link that counts its frames and bytes by kind; hollow processes use it for `link.Link`."""

import asyncio
from collections import Counter
from typing import Any

import msgspec
import orjson

from sableford.transport import link_pool
from sableford.transport.frames import Frame, FrameReader
from sableford.transport.link import Link
from sableford.transport.messages import PeerMessage, PeerResponse

PARTS = ("config", "view", "workers", "worker", "gone")  # what a piece of news carries


def kind_of(head: dict) -> str:
    """
    >>> kind_of({"op": "news", "whole": True}), kind_of({"a": 3, "ok": True}), kind_of({"op": "x"})
    ('snapshot', 'answer', 'x')
    >>> kind_of({"op": "news", "view": {}})
    'news view'
    """
    if "a" in head:
        return "answer"
    op = head.get("op", "")
    if op != "news":
        return op
    if head.get("whole"):
        return "snapshot"
    return " ".join(["news", *(part for part in PARTS if part in head)])


class Tally:
    """Of all links of this process. Bytes are those of the payload; news and snapshots also by kind."""

    def __init__(self) -> None:
        self.sent, self.received = Counter(), Counter()
        self.bytes_sent = self.bytes_received = 0
        self.news_bytes = Counter()

    def dump(self) -> dict:
        return {
            "sent": dict(self.sent),
            "received": dict(self.received),
            "bytes_sent": self.bytes_sent,
            "bytes_received": self.bytes_received,
            "news_bytes": dict(self.news_bytes),
        }


TALLY = Tally()  # one a process: links are made deep inside the pool


class _CountedFrames(FrameReader):
    __slots__ = ()

    def feed(self, data: bytes) -> list[Frame]:
        TALLY.bytes_received += len(data)
        found = super().feed(data)
        for frame in found:
            kind = kind_of(orjson.loads(frame.head))
            TALLY.received[kind] += 1
            if frame.envelope.operation == "news":
                TALLY.news_bytes[kind] += len(frame.head)
        return found


class _CountedTransport:
    """Hands everything on; `write` is counted."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def write(self, data: bytes) -> None:
        TALLY.bytes_sent += len(data)
        self._transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class CountedLink(Link):
    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self._reader = _CountedFrames()

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(_CountedTransport(transport))

    def send(self, message: PeerMessage, body: bytes = b"") -> bool:
        TALLY.sent[kind_of(msgspec.to_builtins(message))] += 1
        return super().send(message, body)

    def send_response(self, call_number: int, response: PeerResponse, body: bytes = b"") -> bool:
        TALLY.sent["answer"] += 1
        return super().send_response(call_number, response, body)


def install() -> None:
    """From now on the pools of this process make counted links."""
    link_pool.Link = CountedLink
