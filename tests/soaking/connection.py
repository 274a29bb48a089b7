"""A client connection that can tell, once it has closed, whether the peer had read the request."""

import asyncio
import socket
import struct
from dataclasses import dataclass

from tests.soaking.history import now

TCP_INFO_UNACKED = slice(24, 28)  # bytes of Linux's struct tcp_info
TCP_INFO_BYTES = 104
TCP_STATE_TIMEOUT_S = 20.0  # for the bytes to be acknowledged; immediate on loopback
POLL_INTERVAL_S = 0.005


@dataclass
class Response:
    status: int
    headers: dict[str, str]
    body: bytes
    responded_at: float

    @property
    def closes(self) -> bool:
        return self.headers.get("connection", "").lower() == "close"


class EndedError(Exception):
    """The connection closed before a complete response. `request_read`: the peer had read the whole request;
    `partial_response`: the bytes received."""

    def __init__(self, request_read: bool, partial_response: bytes) -> None:
        super().__init__(
            f"ended, request {'read' if request_read else 'not read'}, {partial_response[:80]!r}"
        )
        self.request_read, self.partial_response = request_read, partial_response


class Connection:
    """An HTTP/1.1 client connection. `open` raises OSError if the connection is refused."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, host: str, port: int) -> "Connection":
        return cls(*await asyncio.open_connection(host, port))

    async def send_request(self, request: bytes, pause_s: float = 0.0) -> Response:
        """Sends a request and reads the response. `pause_s`: pause between the two halves of the request; 0:
        it is sent whole. Raises EndedError."""
        partial_response = b""
        try:
            if pause_s:
                half = len(request) // 2
                self._writer.write(request[:half])
                await asyncio.sleep(pause_s)
                request = request[half:]
            self._writer.write(request)
            partial_response = await self._reader.readuntil(b"\r\n\r\n")
            return await self._response(partial_response)
        except asyncio.IncompleteReadError as error:
            raise EndedError(await self._request_read(), partial_response + error.partial) from None
        except OSError:  # reset: the peer closed with bytes unread, or before they arrived
            raise EndedError(False, partial_response) from None

    async def _response(self, head: bytes) -> Response:
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        status = int(first.split(" ")[1])
        body = await self._reader.readexactly(int(headers.get("content-length", 0)))
        return Response(status, headers, body, now())

    async def _request_read(self) -> bool:
        """Whether the peer had read the request before its FIN. A socket closed with bytes unread, or one
        that receives bytes after it was closed, sends a reset. Bytes that were acknowledged without a
        reset were therefore read."""
        try:
            return await self._acknowledged_without_reset(self._writer.get_extra_info("socket"))
        except OSError:  # the transport has already closed the socket, after a reset
            return False

    async def _acknowledged_without_reset(self, sock: socket.socket) -> bool:
        deadline = now() + TCP_STATE_TIMEOUT_S
        while now() < deadline:
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return False
            tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            if struct.unpack("I", tcp_info[TCP_INFO_UNACKED])[0] == 0:
                await asyncio.sleep(POLL_INTERVAL_S)
                return not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def read_to_end(self) -> bytes:
        """Reads what still arrives until the peer closes the connection."""
        try:
            return await self._reader.read()
        except OSError:
            return b""

    def close(self) -> None:
        self._writer.close()


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def request_once(address: tuple[str, int], request: bytes, timeout_s: float) -> Response | None:
    """Sends one request on a new connection; None if no complete response arrived in time."""
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await Connection.open(*address)
            return await connection.send_request(request)
    except (OSError, TimeoutError, EndedError):
        return None
    finally:
        if connection is not None:
            connection.close()
