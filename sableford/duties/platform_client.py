"""Calls to the platform over HTTP/1.1, each with a verdict on whether the platform accepted it."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from sableford.duties.assignment import Call
from sableford.transport.errors import CallError
from sableford.transport.http_client import ClientConnection

DIAL_TIMEOUT_MS = 1000.0  # allows for some round trips and a lost packet
USAGE_PATH = "/usage"


class Verdict(Enum):
    """Result of a call."""

    ACCEPTED = "accepted"  # 200
    REFUSED = "refused"  # 409: a higher fencing token was seen
    NOT_SENT = "not sent"  # this store was no longer entitled to send it
    UNCLEAR = "unclear"  # anything else: it may or may not have been accepted


class CallOutcome(NamedTuple):
    """`status`: of the response, 0 if there was none; `why`: for the log."""

    verdict: Verdict
    status: int = 0
    why: str = ""


class PlatformClient:
    """`host` and `port`: of the platform; `node`: the node name that the store sends."""

    def __init__(self, host: str, port: int, node: str) -> None:
        self._host, self._port, self._node = host, port, node
        self._loop = asyncio.get_running_loop()

    async def post(self, call: Call, timeout_ms: float, may_send: Callable[[], bool]) -> CallOutcome:
        """Makes one call on a new connection. `may_send` is checked immediately before it is written."""
        connection = ClientConnection()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_MS / 1000.0):
                await self._loop.create_connection(lambda: connection, self._host, self._port)
            if not may_send():
                return CallOutcome(Verdict.NOT_SENT, why="no longer entitled to send")
            async with asyncio.timeout(timeout_ms / 1000.0):
                response = await connection.send_request(self._request(call))
            return _outcome_of(response.status)
        except (TimeoutError, CallError, OSError) as problem:
            return CallOutcome(Verdict.UNCLEAR, why=f"{type(problem).__name__}: {problem}")
        finally:
            connection.drop()

    def _request(self, call: Call) -> bytes:
        lines = [
            f"POST {USAGE_PATH} HTTP/1.1",
            f"Host: {self._host}:{self._port}",
            f"Duty-Holder: {self._node}",
            f"Fence-Token: {call.epoch}",
            "Content-Type: application/json",
            f"Content-Length: {len(call.body)}",
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + call.body


def _outcome_of(status: int) -> CallOutcome:
    if status == 200:
        return CallOutcome(Verdict.ACCEPTED, status)
    if status == 409:
        return CallOutcome(Verdict.REFUSED, status)
    return CallOutcome(Verdict.UNCLEAR, status, f"answered {status}")
