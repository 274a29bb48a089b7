"""Delivers messages to workers over persistent connections. Each delivery ends in a verdict on whether the
message may have run.

A delivery to a registered worker names the instance that it is for, so that another process which has taken
over the address rejects it without running it.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from sableford.store.messages import Message
from sableford.store.worker_selection import WorkerEntry
from sableford.transport.errors import CallError
from sableford.transport.http_client import ClientConnection, Response
from sableford.transport.verdict import Execution, Verdict

DIAL_TIMEOUT_MS = 250.0  # some round trips and one retransmission; then the worker counts as unreachable
MIN_DEADLINE_MS = 1.0  # smallest deadline that can be sent to a worker; with less time left nothing is sent
RESPONSE_SLACK_MS = 60.0  # allowed beyond the worker's deadline for its response to arrive


def request_of(message: Message, body: bytes, entry: WorkerEntry, left_ms: float) -> bytes:
    """Returns the request as it arrived, with the headers that describe this attempt."""
    header = message.header
    lines = [
        f"{header.method} {header.target} HTTP/1.1",
        f"Host: {header.host}",
        f"Attempt-Id: {header.id}",
        f"Deadline-Ms: {int(left_ms)}",
        f"Content-Length: {len(body)}",
    ]
    if not entry.fixed:
        lines.append(f"Target-Instance: {entry.id}")
    if header.content_type:
        lines.append(f"Content-Type: {header.content_type}")
    if order_key := header.key or header.unordered_key:
        lines.append(f"Order-Key: {order_key}")
    if header.tenant:
        lines.append(f"Tenant: {header.tenant.encode().decode('latin-1')}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def is_response_to(response: Response, id: str) -> bool:
    """Whether the response names the message that was sent."""
    return response.headers.get(b"attempt-id", b"").decode("latin-1") == id


def verdict_of(response: Response, id: str) -> Verdict:
    """Returns the verdict that a complete response implies."""
    head = response.headers
    if not is_response_to(response, id):
        return Verdict(Execution.UNKNOWN, "an answer to another message")
    if b"not-run" in head or response.status == 421:
        return Verdict(Execution.NOT_RUN, f"rejected with {response.status}")
    if 200 <= response.status < 300:
        seal = head.get(b"server-seal", b"").decode("latin-1")
        return (
            Verdict(Execution.DONE, "", seal)
            if seal
            else Verdict(Execution.UNKNOWN, "a success without its seal")
        )
    if response.status == 500:
        return Verdict(Execution.FAILED, "failed")
    if response.status == 422:
        return Verdict(Execution.IMPOSSIBLE, "can never be done")
    return Verdict(Execution.UNKNOWN, f"answered {response.status}")


class Destination(NamedTuple):
    """The key of a connection. It includes the address, since a fixed endpoint keeps its id when it moves."""

    id: str
    host: str
    port: int

    @classmethod
    def of(cls, entry: WorkerEntry) -> "Destination":
        """Returns the destination of a registered worker or a fixed endpoint."""
        return cls(entry.id, entry.host, entry.port)


class DeliveryClient:
    """Delivers messages over a pool of connections, of which the most recently used are reused first."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._idle: dict[Destination, list[ClientConnection]] = {}
        self.dials = self.deliveries = 0

    async def deliver(
        self,
        message: Message,
        body: bytes,
        entry: WorkerEntry,
        until_ms: float,
        may_send: Callable[[], bool] = lambda: True,
        on_write: Callable[[], object] = lambda: None,
    ) -> Verdict:
        """Makes one attempt, which sends at most one request.

        `until_ms` is by the loop's clock. `may_send` is called just before the request is written, since the
        right to send may have ended while the connection was being made; `on_write` is called when it is
        written.
        """
        self.deliveries += 1
        destination = Destination.of(entry)
        connection = self._idle_connection(destination)
        if connection is None:
            try:
                connection = await self._dial(entry)
            except (OSError, TimeoutError) as problem:
                return Verdict(Execution.NOT_RUN, f"no connection: {type(problem).__name__}", reached=False)
        left = until_ms - self._loop.time() * 1000.0
        if left < MIN_DEADLINE_MS:
            self._keep(destination, connection)
            return Verdict(Execution.NOT_RUN, "no time was left to send it in")
        if not may_send():
            self._keep(destination, connection)
            return Verdict(Execution.NOT_RUN, "not this store's to send any more")
        on_write()
        return await self._exchange(connection, message, body, entry, left)

    async def _dial(self, entry: WorkerEntry) -> ClientConnection:
        """Opens a connection. Raises OSError or TimeoutError, and then leaves no connection open."""
        self.dials += 1
        connection = ClientConnection()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_MS / 1000.0):
                await self._loop.create_connection(lambda: connection, entry.host, entry.port)
        except BaseException:
            connection.drop()
            raise
        return connection

    async def _exchange(
        self, connection: ClientConnection, message: Message, body: bytes, entry: WorkerEntry, left: float
    ) -> Verdict:
        """Sends the request and reads the response. Only a complete one leaves the connection in the pool."""
        try:
            async with asyncio.timeout((left + RESPONSE_SLACK_MS) / 1000.0):
                response = await connection.send_request(request_of(message, body, entry, left))
        except TimeoutError:
            connection.drop()
            return Verdict(Execution.UNKNOWN, "no answer by the deadline", reached=False)
        except CallError as problem:
            connection.drop()
            return Verdict(problem.execution, f"the connection {problem}", reached=False)
        except BaseException:
            connection.drop()
            raise
        id = message.header.id
        if connection.closed or not is_response_to(response, id):
            connection.drop()
        else:
            self._keep(Destination.of(entry), connection)
        return verdict_of(response, id)

    def _keep(self, destination: Destination, connection: ClientConnection) -> None:
        self._idle.setdefault(destination, []).append(connection)

    def _idle_connection(self, destination: Destination) -> ClientConnection | None:
        idle = self._idle.get(destination)
        while idle:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            connection.drop()
        return None

    def sweep(self, workers: set[str]) -> None:
        """Closes connections to workers that are gone, and those that were idle for too long."""
        for destination, idle in list(self._idle.items()):
            keep = [one for one in idle if destination.id in workers and one.is_reusable()]
            for one in idle:
                if one not in keep:
                    one.drop()
            if keep:
                self._idle[destination] = keep
            else:
                del self._idle[destination]
