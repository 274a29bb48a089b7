"""An event loop with simulated time, and in-memory connections: no sockets, no sleeping."""

import asyncio
import gc
import selectors
from collections.abc import Callable, Coroutine
from typing import Any


class Clock(selectors.SelectSelector):
    """A selector with simulated time: waiting for events advances the clock at once by the time-out."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        assert timeout is not None, "deadlock: all tasks wait and no timer is pending"
        self.now += max(0.0, timeout)
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """`listeners` maps an address to the protocol factory of its server."""

    def __init__(self) -> None:
        self._clock = Clock()
        super().__init__(self._clock)
        self.listeners: dict[tuple[str, int], Callable[[], asyncio.Protocol]] = {}
        self.dial_ms = 0.0
        self.problems: list[dict] = []
        self.set_exception_handler(lambda loop, context: self.problems.append(context))

    def time(self) -> float:
        return self._clock.now

    async def create_connection(self, factory: Callable, host: str, port: int, **more: Any) -> tuple:
        make = self.listeners.get((host, port))
        if make is None:
            raise ConnectionRefusedError
        client = factory()
        near, far = connect_pair(client, make())
        del far
        await asyncio.sleep(self.dial_ms / 1000.0)
        return near, client


class MemoryTransport(asyncio.Transport):
    """One end of a connection: the other end's protocol receives data in the next iteration of the loop.

    `written` is all data written so far. With `unread` set the other end doesn't read, and data is buffered.
    """

    HIGH_WATER = 65_536

    def __init__(self) -> None:
        super().__init__()
        self.written, self.waiting = b"", 0
        self.protocol: asyncio.BaseProtocol | None = None
        self.other: MemoryTransport | None = None
        self.closing = self.unread = self.paused = False

    def write(self, data: bytes) -> None:
        assert not self.closing, "written after the connection was closed"
        self.written += data
        if self.unread:
            self.waiting += len(data)
            if self.waiting > self.HIGH_WATER:
                self.protocol.pause_writing()
        elif self.other is not None:
            asyncio.get_running_loop().call_soon(self._arrive, bytes(data))

    def _arrive(self, data: bytes) -> None:
        if not self.other.closing:
            self.other.protocol.data_received(data)

    def get_write_buffer_size(self) -> int:
        return self.waiting

    def is_closing(self) -> bool:
        return self.closing

    def is_reading(self) -> bool:
        return not self.paused

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def close(self) -> None:
        self._end(None)

    def abort(self) -> None:
        self._end(ConnectionResetError())

    def _end(self, problem: Exception | None) -> None:
        if self.closing:
            return
        self.closing = True
        loop = asyncio.get_running_loop()
        loop.call_soon(self.protocol.connection_lost, None)
        if self.other is not None and not self.other.closing:
            loop.call_soon(self.other.ended_by_other, problem)

    def ended_by_other(self, problem: Exception | None) -> None:
        if self.closing:
            return
        if problem is None and self.protocol.eof_received():
            return
        self.closing = True
        self.protocol.connection_lost(problem)


def attached(protocol: asyncio.Protocol) -> MemoryTransport:
    """Connects the protocol to a transport without another end, which the test drives directly."""
    transport = MemoryTransport()
    transport.protocol = protocol
    protocol.connection_made(transport)
    return transport


def connect_pair(one: asyncio.Protocol, two: asyncio.Protocol) -> tuple[MemoryTransport, MemoryTransport]:
    near, far = MemoryTransport(), MemoryTransport()
    near.protocol, far.protocol, near.other, far.other = one, two, far, near
    one.connection_made(near)
    two.connection_made(far)
    return near, far


def simulated(scene: Callable[[SimulatedLoop], Coroutine]) -> Any:
    """Returns the result of `scene(loop)`; fails on exceptions that nothing handled."""
    loop = SimulatedLoop()
    try:
        result = loop.run_until_complete(scene(loop))
        gc.collect(1)  # a task reports an exception that was never retrieved when it is collected
        assert not loop.problems, loop.problems
        return result
    finally:
        loop.close()
