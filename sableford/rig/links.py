"""Links between processes and stubs, on which bytes and datagrams can be blocked, delayed, lost or corrupted.

Faults apply to bytes, whatever the protocol.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from random import Random

Address = tuple[str, int]
NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER with time 0: close() sends a reset
Deliver = Callable[[bytes | None], None]  # None: the sender closed its side


class LinkDirection:
    """One direction of a link and its faults; none at first."""

    def __init__(self, name: str, seed: int) -> None:
        self._random = Random(f"{name} {seed}")
        self.blocked = self.reset = False
        self.delay = self.drop = self.twice = self.reorder = self.flip = self.thin = 0.0
        self.pipes: set[Pipe] = set()

    def is_transparent(self) -> bool:
        return not (self.blocked or self.delay or self.flip or self.thin)

    def set_faults(self, **faults: float) -> None:
        """Sets faults from now on. Bytes that were blocked are delivered once they no longer are."""
        for name, value in faults.items():
            setattr(self, name, value)
        for pipe in tuple(self.pipes):
            if self.reset:
                pipe.reset_connection()
            else:
                pipe.deliver_due()

    def corrupt(self, data: bytes) -> bytes:
        if not self.flip or self._random.random() >= self.flip or not data:
            return data
        at = self._random.randrange(len(data))
        return data[:at] + bytes([data[at] ^ (1 << self._random.randrange(8))]) + data[at + 1 :]

    def pass_packet(self, data: bytes, deliver: Callable[[bytes], None]) -> None:
        """Passes a datagram, which may be lost, delayed, corrupted, reordered or duplicated."""
        if self.blocked or self._random.random() < self.drop:
            return
        for _ in range(1 + (self._random.random() < self.twice)):
            delay_ms = self.delay + self._random.random() * self.reorder
            if delay_ms:
                asyncio.get_running_loop().call_later(delay_ms / 1000.0, deliver, self.corrupt(data))
            else:
                deliver(self.corrupt(data))


class Pipe:
    """The bytes of one connection in one direction, kept in order."""

    def __init__(
        self, direction: LinkDirection, deliver: Deliver, reset_connection: Callable[[], None]
    ) -> None:
        self._direction, self._deliver, self.reset_connection = direction, deliver, reset_connection
        self._queue: deque[tuple[float, bytes | None]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0
        direction.pipes.add(self)
        if direction.reset:
            asyncio.get_running_loop().call_soon(reset_connection)

    def send(self, data: bytes | None) -> None:
        if not self._queue and self._direction.is_transparent():
            self._deliver(data)
            return
        now = asyncio.get_running_loop().time()
        self._due = max(self._due, now + self._direction.delay / 1000.0)
        if self._direction.thin and data:
            self._due += len(data) / self._direction.thin
        self._queue.append((self._due, data if data is None else self._direction.corrupt(data)))
        self.deliver_due()

    def deliver_due(self) -> None:
        """Delivers what is due, unless the link is blocked."""
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._queue and not self._direction.blocked:
            due, data = self._queue[0]
            if due > loop.time():
                self._timer = loop.call_at(due, self.deliver_due)
                return
            self._queue.popleft()
            self._deliver(data)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._queue.clear()
        self._direction.pipes.discard(self)


class Links:
    """All link directions by (start, end) name, created on first use."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._directions: dict[tuple[str, str], LinkDirection] = {}

    def direction(self, start: str, end: str) -> LinkDirection:
        if (start, end) not in self._directions:
            self._directions[start, end] = LinkDirection(f"{start} {end}", self._seed)
        return self._directions[start, end]


class StubConnection(asyncio.Protocol):
    """One end of a stub's connection; both directions pass through the link to the other end.

    A subclass implements `on_data(data | None)`, None for the end of the stream, and may call `send`, `close`
    and `abort`.
    """

    def __init__(self, links: Links, own_name: str, other_name: str) -> None:
        self.own_name, self.other_name, self._links = own_name, other_name, links
        self.transport: asyncio.Transport | None = None
        self._in: Pipe | None = None
        self._out: Pipe | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._in = Pipe(self._links.direction(self.other_name, self.own_name), self._deliver_in, self.abort)
        self._out = Pipe(self._links.direction(self.own_name, self.other_name), self._deliver_out, self.abort)

    def data_received(self, data: bytes) -> None:
        self._in.send(data)

    def eof_received(self) -> bool:
        self._in.send(None)
        return True

    def connection_lost(self, problem: Exception | None) -> None:
        self._in.close()
        self._out.close()
        if problem is not None:
            self.on_data(None)

    def _deliver_in(self, data: bytes | None) -> None:
        self.on_data(data)

    def _deliver_out(self, data: bytes | None) -> None:
        with suppress(OSError, RuntimeError):
            if data is None:
                self.transport.close()
            else:
                self.transport.write(data)

    def send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self._out.send(data)

    def close(self) -> None:
        """Closes once all that was sent has been delivered."""
        self._out.send(None)

    def abort(self) -> None:
        """Resets the connection."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError, AttributeError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            self.transport.abort()

    def on_data(self, data: bytes | None) -> None:
        raise NotImplementedError


class _PacketRelay(asyncio.DatagramProtocol):
    """Relays datagrams to `target`, from the address at which the target knows the sender."""

    def __init__(self, direction: LinkDirection, target: tuple[str, int]) -> None:
        self._direction, self._target, self.reverse, self.transport = direction, target, None, None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._direction.pass_packet(data, self._forward)

    def _forward(self, data: bytes) -> None:
        if self.reverse is not None and not self.reverse.transport.is_closing():
            self.reverse.transport.sendto(data, self._target)


async def relay_packets(
    links: Links,
    first: str,
    second: str,
    real: dict[str, tuple[str, int]],
    at: dict[tuple[str, str], tuple[str, int]],
) -> list[asyncio.BaseTransport]:
    """Relays datagrams between two nodes. `real`: where each listens; `at[a, b]`: the address at which a
    reaches b."""
    loop, relays = asyncio.get_running_loop(), []
    for start, end in ((first, second), (second, first)):
        relay = _PacketRelay(links.direction(start, end), real[end])
        await loop.create_datagram_endpoint(lambda relay=relay: relay, local_addr=at[start, end])
        relays.append(relay)
    relays[0].reverse, relays[1].reverse = relays[1], relays[0]
    return [relay.transport for relay in relays]
