"""HTTP/1.1 connections with h11 over asyncio streams, for clients and servers.

Handles the framing and tells whether written bytes reached the kernel. Nothing is ever sent twice, and no
connection is opened implicitly.
"""

import asyncio
import select
import socket
from typing import Any

import h11

from sableford.net.limits import Limits


class Reader(asyncio.StreamReader):
    """A stream reader that counts its buffered bytes, which left the kernel but were not read yet."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit, loop=asyncio.get_running_loop())
        self.buffered = 0

    def feed_data(self, data: bytes) -> None:
        self.buffered += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        data = await super().read(n)
        self.buffered -= len(data)
        return data


class HttpConnection:
    """One HTTP/1.1 connection."""

    def __init__(self, reader: Reader, writer: asyncio.StreamWriter, role: type, limits: Limits) -> None:
        self.reader, self.writer = reader, writer
        self.state = h11.Connection(role, max_incomplete_event_size=limits.max_head)
        self._chunk = limits.read_size
        self.uses, self._idle_since = 0, 0.0
        # With zero, drain() waits until the kernel has the last byte.
        writer.transport.set_write_buffer_limits(high=0)

    def mark_idle(self) -> None:
        """Records that an exchange on this connection has ended."""
        self.uses += 1
        self._idle_since = asyncio.get_running_loop().time()

    def idle_ms(self) -> float:
        """Time since the last exchange in ms; 0 for a new connection."""
        return (asyncio.get_running_loop().time() - self._idle_since) * 1000.0 if self.uses else 0.0

    async def read_chunk(self) -> bytes:
        """The next bytes; empty at the end of the stream or if the connection broke."""
        try:
            return await self.reader.read(self._chunk)
        except OSError:
            return b""

    async def next_event(self) -> object:
        """The next event; RemoteProtocolError if the peer disconnects or violates the protocol."""
        while (event := self.state.next_event()) is h11.NEED_DATA:
            self.state.receive_data(await self.read_chunk())
        return event

    def write(self, *events: object) -> None:
        self.writer.write(b"".join(self.state.send(event) or b"" for event in events))

    async def flushed(self) -> bool:
        """Whether the last byte reached the kernel; False only if it provably did not.

        Must be called right after write() without an await in between: a failed send has then closed the
        transport, and a partial one has left the rest in the buffer.
        """
        transport = self.writer.transport
        if not transport.get_write_buffer_size():
            return not transport.is_closing()
        try:
            await self.writer.drain()
        except OSError:
            return False
        return True

    def usable(self) -> bool:
        """Whether an idle connection is open and has no unread bytes or end of stream, also in the kernel.

        Unsolicited bytes after the last response would be read as the next response.
        """
        transport = self.writer.transport
        if self.reader.buffered or self.state.trailing_data[0]:
            return False
        if transport.is_closing() or self.reader.at_eof() or self.reader.exception() is not None:
            return False
        return not self.has_unread()

    def has_unread(self) -> bool:
        """Whether bytes or the end of the stream are unread in the kernel."""
        sock = self.writer.transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))

    def next_cycle(self) -> bool:
        """Prepares for another request; False if the connection has to be closed."""
        if self.state.our_state is not h11.DONE or self.state.their_state is not h11.DONE:
            return False
        self.state.start_next_cycle()
        return True

    def close(self) -> None:
        """Closes the connection after sending what is written."""
        self.writer.close()

    def abort(self) -> None:
        self.writer.transport.abort()


async def dial(address: tuple[str, int], limits: Limits) -> HttpConnection:
    """Opens a connection to a worker or to discovery."""
    reader, writer = await open_streams(limits, host=address[0], port=address[1])
    sock = writer.transport.get_extra_info("socket")
    # Large enough for a whole request, so that the kernel takes it in one call.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * (limits.max_body + limits.max_head))
    return HttpConnection(reader, writer, h11.CLIENT, limits)


async def admit(sock: socket.socket, limits: Limits) -> HttpConnection:
    """Wraps an accepted connection."""
    reader, writer = await open_streams(limits, sock=sock)
    return HttpConnection(reader, writer, h11.SERVER, limits)


async def open_streams(limits: Limits, **to: Any) -> tuple[Reader, asyncio.StreamWriter]:
    """Like asyncio.open_connection, but with a Reader."""
    loop = asyncio.get_running_loop()
    reader = Reader(limits.read_size)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, **to)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
