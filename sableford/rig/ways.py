"""The ways between processes and stand-ins: bytes and datagrams pass here, and here they are lost or held.

It owns what each direction does to what passes. It must never know what the bytes say.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from random import Random

Place = tuple[str, int]
NO_LINGER = struct.pack("ii", 1, 0)  # a close is a reset, not an end
Deliver = Callable[[bytes | None], None]  # none: the sender has ended


class Way:
    """One direction from one to another. As it stands it lets everything through."""

    def __init__(self, name: str, seed: int) -> None:
        self._draw = Random(f"{name} {seed}")
        self.held = self.reset = False
        self.delay = self.drop = self.twice = self.reorder = self.flip = self.thin = 0.0
        self.pipes: set[Pipe] = set()

    def plain(self) -> bool:
        return not (self.held or self.delay or self.flip or self.thin)

    def change(self, **faults: float) -> None:
        """From now on; what was held goes on where it no longer is."""
        for name, value in faults.items():
            setattr(self, name, value)
        for pipe in tuple(self.pipes):
            if self.reset:
                pipe.cut()
            else:
                pipe.move()

    def spoil(self, data: bytes) -> bytes:
        if not self.flip or self._draw.random() >= self.flip or not data:
            return data
        at = self._draw.randrange(len(data))
        return data[:at] + bytes([data[at] ^ (1 << self._draw.randrange(8))]) + data[at + 1 :]

    def packet(self, data: bytes, deliver: Callable[[bytes], None]) -> None:
        """A datagram: lost, late, changed, out of turn or twice."""
        if self.held or self._draw.random() < self.drop:
            return
        for _ in range(1 + (self._draw.random() < self.twice)):
            late = self.delay + self._draw.random() * self.reorder
            if late:
                asyncio.get_running_loop().call_later(late / 1000.0, deliver, self.spoil(data))
            else:
                deliver(self.spoil(data))


class Pipe:
    """One connection's bytes in one direction, in their order."""

    def __init__(self, way: Way, deliver: Deliver, cut: Callable[[], None]) -> None:
        self._way, self._deliver, self.cut = way, deliver, cut
        self._waiting: deque[tuple[float, bytes | None]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0
        way.pipes.add(self)
        if way.reset:
            asyncio.get_running_loop().call_soon(cut)

    def push(self, data: bytes | None) -> None:
        if not self._waiting and self._way.plain():
            self._deliver(data)
            return
        now = asyncio.get_running_loop().time()
        self._due = max(self._due, now + self._way.delay / 1000.0)
        if self._way.thin and data:
            self._due += len(data) / self._way.thin
        self._waiting.append((self._due, data if data is None else self._way.spoil(data)))
        self.move()

    def move(self) -> None:
        """What is due goes out, unless the way is held."""
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._waiting and not self._way.held:
            due, data = self._waiting[0]
            if due > loop.time():
                self._timer = loop.call_at(due, self.move)
                return
            self._waiting.popleft()
            self._deliver(data)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._waiting.clear()
        self._way.pipes.discard(self)


class Ways:
    """Every direction by its two ends' names, made when first asked for."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._ways: dict[tuple[str, str], Way] = {}

    def way(self, start: str, end: str) -> Way:
        if (start, end) not in self._ways:
            self._ways[start, end] = Way(f"{start} {end}", self._seed)
        return self._ways[start, end]


class Wire(asyncio.Protocol):
    """One end of a stand-in's connection; what comes and goes passes the two ways to the other side.

    What stands behind it gives `hear(data | None)`, none for the end, and may call `say`, `finish`, `abort`.
    """

    def __init__(self, ways: Ways, own: str, other: str) -> None:
        self.own, self.other, self._ways = own, other, ways
        self.transport: asyncio.Transport | None = None
        self._in: Pipe | None = None
        self._out: Pipe | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._in = Pipe(self._ways.way(self.other, self.own), self._arrived, self.abort)
        self._out = Pipe(self._ways.way(self.own, self.other), self._leave, self.abort)

    def data_received(self, data: bytes) -> None:
        self._in.push(data)

    def eof_received(self) -> bool:
        self._in.push(None)
        return True

    def connection_lost(self, problem: Exception | None) -> None:
        self._in.close()
        self._out.close()
        if problem is not None:
            self.hear(None)

    def _arrived(self, data: bytes | None) -> None:
        self.hear(data)

    def _leave(self, data: bytes | None) -> None:
        with suppress(OSError, RuntimeError):
            if data is None:
                self.transport.close()
            else:
                self.transport.write(data)

    def say(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self._out.push(data)

    def finish(self) -> None:
        """What was said goes out first."""
        self._out.push(None)

    def abort(self) -> None:
        """A reset."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError, AttributeError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            self.transport.abort()

    def hear(self, data: bytes | None) -> None:
        raise NotImplementedError


class _Ear(asyncio.DatagramProtocol):
    """What one says to the other's address here leaves from the address at which the other knows the one."""

    def __init__(self, way: Way, real: tuple[str, int]) -> None:
        self._way, self._real, self.back, self.transport = way, real, None, None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._way.packet(data, self._go)

    def _go(self, data: bytes) -> None:
        if self.back is not None and not self.back.transport.is_closing():
            self.back.transport.sendto(data, self._real)


async def relay_packets(
    ways: Ways,
    one: str,
    other: str,
    real: dict[str, tuple[str, int]],
    at: dict[tuple[str, str], tuple[str, int]],
) -> list[asyncio.BaseTransport]:
    """Datagrams between two: `real` is where each listens, `at[a, b]` where a finds b."""
    loop, ears = asyncio.get_running_loop(), []
    for start, end in ((one, other), (other, one)):
        ear = _Ear(ways.way(start, end), real[end])
        await loop.create_datagram_endpoint(lambda ear=ear: ear, local_addr=at[start, end])
        ears.append(ear)
    ears[0].back, ears[1].back = ears[1], ears[0]
    return [ear.transport for ear in ears]
