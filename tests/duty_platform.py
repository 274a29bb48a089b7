"""Calls to the platform over loopback sockets, to a stub written from the platform's specification."""

import asyncio
from collections.abc import Awaitable, Callable

from sableford.duties.assignment import Call, DutyAssignment
from sableford.duties.duty_holder import DutyHolder
from sableford.duties.messages import DutyNotice
from sableford.duties.platform_client import CallOutcome, PlatformClient, Verdict

CALL = Call(12, 353445120, b'{"windowNo":353445120,"serverCounts":{"nowu640":412,"goka901":412}}')
OK, BUSY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
HIGHER_FENCE = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"


class PlatformStub:
    """Records complete calls. `answers` are sent in turn, the last one repeatedly; an empty one closes the
    connection, None sends nothing."""

    def __init__(self, *answers: bytes | None) -> None:
        self.answers = list(answers)
        self.heads: list[list[str]] = []
        self.bodies: list[bytes] = []
        self.tasks: list[asyncio.Task] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks.append(asyncio.current_task())
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[:-2]
            length = next(int(line.partition(":")[2]) for line in head if line.startswith("Content-Length"))
            self.bodies.append(await reader.readexactly(length))
            self.heads.append(head)
            answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()
            writer.close()
        except asyncio.IncompleteReadError:
            writer.close()


def run_with_stub(stub: PlatformStub, scene: Callable[[PlatformClient], Awaitable[None]]) -> None:
    async def play() -> None:
        server = await asyncio.start_server(stub.serve, "127.0.0.1", 0)
        async with server:
            await scene(PlatformClient("127.0.0.1", server.sockets[0].getsockname()[1], "edge-nebrodi-1"))
            while not stub.tasks:
                await asyncio.sleep(0)
            await asyncio.gather(*stub.tasks, return_exceptions=True)

    asyncio.run(play())


def outcome_of(answer: bytes | None, may_send: bool = True, timeout_ms: float = 60_000.0) -> CallOutcome:
    found: list[CallOutcome] = []

    async def scene(client: PlatformClient) -> None:
        found.append(await client.post(CALL, timeout_ms, lambda: may_send))

    run_with_stub(PlatformStub(answer), scene)
    return found[0]


def shows_a_report_is_sent_as_specified() -> None:
    stub = PlatformStub(OK)

    async def scene(client: PlatformClient) -> None:
        await client.post(CALL, 60_000.0, lambda: True)

    run_with_stub(stub, scene)
    ((line, *fields),) = stub.heads
    assert line == "POST /usage HTTP/1.1" and stub.bodies == [CALL.body]
    for field in ("Duty-Holder: edge-nebrodi-1", "Fence-Token: 12", "Content-Type: application/json"):
        assert field in fields, fields


# Guards against a report taken as accepted or refused on a response that says neither.
def shows_the_verdict_of_each_response() -> None:
    for answer, verdict, status in (
        (OK, Verdict.ACCEPTED, 200),
        (HIGHER_FENCE, Verdict.REFUSED, 409),
        (BUSY, Verdict.UNCLEAR, 503),
        (OK.replace(b"200", b"201"), Verdict.UNCLEAR, 201),
        (b"HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n", Verdict.UNCLEAR, 429),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", Verdict.UNCLEAR, 0),
        (b"no such protocol\r\n\r\n", Verdict.UNCLEAR, 0),
        (b"", Verdict.UNCLEAR, 0),
    ):
        found = outcome_of(answer)
        assert (found.verdict, found.status) == (verdict, status), (answer, found)


def shows_a_call_without_a_response_times_out() -> None:
    assert outcome_of(None, timeout_ms=20.0).verdict is Verdict.UNCLEAR


def shows_a_call_to_an_unreachable_platform_fails() -> None:
    async def scene() -> CallOutcome:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        return await PlatformClient("127.0.0.1", port, "n").post(CALL, 60_000.0, lambda: True)

    assert asyncio.run(scene()).verdict is Verdict.UNCLEAR


# Guards against a call after the lease expired while the connection was being established.
def shows_nothing_is_written_once_the_lease_has_expired() -> None:
    stub = PlatformStub(OK)
    found: list[CallOutcome] = []

    async def scene(client: PlatformClient) -> None:
        found.append(await client.post(CALL, 60_000.0, lambda: False))

    run_with_stub(stub, scene)
    assert found[0].verdict is Verdict.NOT_SENT and stub.bodies == []


class Events:
    def __init__(self) -> None:
        self.names: list[str] = []

    def event(self, name: str, /, **fields: object) -> None:
        self.names.append(name)


# Guards against a window that is resent with other bytes, or skipped, after its response was lost.
def shows_windows_arrive_in_order_with_the_same_bytes_though_responses_are_lost() -> None:
    stub, log = PlatformStub(b"", BUSY, OK), Events()

    async def scene(client: PlatformClient) -> None:
        assignment = DutyAssignment("h", "h.1")
        sealed = {window: {"t": window} for window in (7, 8, 9)}
        assignment.apply_notice(DutyNotice("usage_report", 3, "h", "h.1", 7, sealed))
        holder = DutyHolder(
            "usage_report", assignment, client, 1e6, lambda: True, lambda: False, lambda: None, log
        )
        running = asyncio.ensure_future(holder.run())
        async with asyncio.timeout(60.0):
            while log.names.count("usage_reported") < 3:
                await asyncio.sleep(0)
        running.cancel()

    run_with_stub(stub, scene)
    assert len({*stub.bodies[:3]}) == 1 and len(stub.bodies) == 5
    assert [body[:13] for body in stub.bodies[2:]] == [
        b'{"windowNo":7',
        b'{"windowNo":8',
        b'{"windowNo":9',
    ]
    assert log.names == ["usage_failed"] * 2 + ["usage_reported"] * 3
