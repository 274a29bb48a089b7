"""One connection of a caller, and what its end says: whether the other side had read the request."""

import asyncio
import socket
import struct
from dataclasses import dataclass

from tests.soaking.record import now

TCP_INFO_UNACKED = slice(24, 28)  # bytes of Linux's struct tcp_info
TCP_INFO_BYTES = 104
SETTLE_S = 20.0  # for the kernel to say what became of the bytes; on loopback it says so at once
PAUSE_S = 0.005


@dataclass
class Response:
    status: int
    fields: dict[str, str]
    body: bytes
    answered_at: float

    @property
    def closes(self) -> bool:
        return self.fields.get("connection", "").lower() == "close"


class EndedError(Exception):
    """The connection ended before a whole answer. `was_read`: the other side had read the whole request;
    `part`: what came of an answer."""

    def __init__(self, was_read: bool, part: bytes) -> None:
        super().__init__(f"ended, request {'read' if was_read else 'not read'}, {part[:80]!r}")
        self.was_read, self.part = was_read, part


class Connection:
    """OSError from `open` where nobody listens."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, host: str, port: int) -> "Connection":
        return cls(*await asyncio.open_connection(host, port))

    async def ask(self, request: bytes, pause_s: float = 0.0) -> Response:
        """`pause_s`: between the two halves in which it is sent; 0 sends it at once. Raises EndedError."""
        part = b""
        try:
            if pause_s:
                half = len(request) // 2
                self._writer.write(request[:half])
                await asyncio.sleep(pause_s)
                request = request[half:]
            self._writer.write(request)
            part = await self._reader.readuntil(b"\r\n\r\n")
            return await self._response(part)
        except asyncio.IncompleteReadError as problem:
            raise EndedError(await self._was_read(), part + problem.partial) from None
        except OSError:  # a reset: it closed with bytes unread, or before they came
            raise EndedError(False, part) from None

    async def _response(self, head: bytes) -> Response:
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        status = int(first.split(" ")[1])
        body = await self._reader.readexactly(int(fields.get("content-length", 0)))
        return Response(status, fields, body, now())

    async def _was_read(self) -> bool:
        """After the other side's FIN. A socket that is closed with bytes unread, or that gets bytes once it
        is closed, answers with a reset. Bytes that were acknowledged and followed by none were read."""
        try:
            return await self._acknowledged_without_reset(self._writer.get_extra_info("socket"))
        except OSError:  # the transport itself has closed it, after a reset
            return False

    async def _acknowledged_without_reset(self, line: socket.socket) -> bool:
        until = now() + SETTLE_S
        while now() < until:
            if line.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return False
            info = line.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            if struct.unpack("I", info[TCP_INFO_UNACKED])[0] == 0:
                await asyncio.sleep(PAUSE_S)
                return not line.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            await asyncio.sleep(PAUSE_S)
        return False

    async def rest(self) -> bytes:
        """What still comes until the other side ends it."""
        try:
            return await self._reader.read()
        except OSError:
            return b""

    def close(self) -> None:
        self._writer.close()


def request_bytes(method: str, target: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(place: tuple[str, int], request: bytes, seconds: float) -> Response | None:
    """On a connection of its own; None where no whole answer came in time."""
    connection = None
    try:
        async with asyncio.timeout(seconds):
            connection = await Connection.open(*place)
            return await connection.ask(request)
    except (OSError, TimeoutError, EndedError):
        return None
    finally:
        if connection is not None:
            connection.close()
