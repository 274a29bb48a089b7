"""Calls to the platform over real sockets on loopback, to a stand-in written from the users' page."""

import asyncio
from collections.abc import Awaitable, Callable

from sableford.duties.duty_holder import DutyHolder
from sableford.duties.holding import Call, Holding
from sableford.duties.messages import DutyNotice
from sableford.duties.platform_client import CallOutcome, PlatformClient, Verdict

CALL = Call(12, 353445120, b'{"windowNo":353445120,"serverCounts":{"nowu640":412,"goka901":412}}')
OK, BUSY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
HIGHER_FENCE = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"


class StandIn:
    """It keeps the whole calls that come; `answers` are given in turn, the last one for ever. An empty one
    ends the connection, None says nothing."""

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


def played(stand_in: StandIn, scene: Callable[[PlatformClient], Awaitable[None]]) -> None:
    async def play() -> None:
        server = await asyncio.start_server(stand_in.serve, "127.0.0.1", 0)
        async with server:
            await scene(PlatformClient("127.0.0.1", server.sockets[0].getsockname()[1], "edge-nebrodi-1"))
            while not stand_in.tasks:
                await asyncio.sleep(0)
            await asyncio.gather(*stand_in.tasks, return_exceptions=True)

    asyncio.run(play())


def outcome_of(answer: bytes | None, may_send: bool = True, timeout_ms: float = 60_000.0) -> CallOutcome:
    found: list[CallOutcome] = []

    async def scene(client: PlatformClient) -> None:
        found.append(await client.post(CALL, timeout_ms, lambda: may_send))

    played(StandIn(answer), scene)
    return found[0]


def shows_a_report_is_sent_as_the_page_has_it() -> None:
    stand_in = StandIn(OK)

    async def scene(client: PlatformClient) -> None:
        await client.post(CALL, 60_000.0, lambda: True)

    played(stand_in, scene)
    ((line, *fields),) = stand_in.heads
    assert line == "POST /usage HTTP/1.1" and stand_in.bodies == [CALL.body]
    for field in ("Duty-Holder: edge-nebrodi-1", "Fence-Token: 12", "Content-Type: application/json"):
        assert field in fields, fields


# A report taken for accepted or refused on an answer that says neither.
def shows_what_each_answer_means() -> None:
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


def shows_a_call_that_gets_no_answer_ends_by_its_own_time_out() -> None:
    assert outcome_of(None, timeout_ms=20.0).verdict is Verdict.UNCLEAR


def shows_a_platform_that_is_not_there_is_a_call_that_failed() -> None:
    async def scene() -> CallOutcome:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        return await PlatformClient("127.0.0.1", port, "n").post(CALL, 60_000.0, lambda: True)

    assert asyncio.run(scene()).verdict is Verdict.UNCLEAR


# A lease that ran out while the platform was dialled.
def shows_nothing_is_written_once_the_right_to_is_over() -> None:
    stand_in = StandIn(OK)
    found: list[CallOutcome] = []

    async def scene(client: PlatformClient) -> None:
        found.append(await client.post(CALL, 60_000.0, lambda: False))

    played(stand_in, scene)
    assert found[0].verdict is Verdict.NOT_SENT and stand_in.bodies == []


class Events:
    def __init__(self) -> None:
        self.names: list[str] = []

    def event(self, name: str, /, **fields: object) -> None:
        self.names.append(name)


# An answer lost after the platform took the call: the window is sent again with other bytes, or left out.
def shows_windows_arrive_in_order_with_the_same_bytes_whatever_becomes_of_answers() -> None:
    stand_in, log = StandIn(b"", BUSY, OK), Events()

    async def scene(client: PlatformClient) -> None:
        holding = Holding("h", "h.1")
        sealed = {window: {"t": window} for window in (7, 8, 9)}
        holding.heard(DutyNotice("usage_report", 3, "h", "h.1", 7, sealed))
        holder = DutyHolder(
            "usage_report", holding, client, 1e6, lambda: True, lambda: False, lambda: None, log
        )
        running = asyncio.ensure_future(holder.run())
        async with asyncio.timeout(60.0):
            while log.names.count("usage_reported") < 3:
                await asyncio.sleep(0)
        running.cancel()

    played(stand_in, scene)
    assert len({*stand_in.bodies[:3]}) == 1 and len(stand_in.bodies) == 5
    assert [body[:13] for body in stand_in.bodies[2:]] == [
        b'{"windowNo":7',
        b'{"windowNo":8',
        b'{"windowNo":9',
    ]
    assert log.names == ["usage_failed"] * 2 + ["usage_reported"] * 3
