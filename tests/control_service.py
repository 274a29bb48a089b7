"""The control service of one process that is the only voter, on a simulated clock, without ports or disk."""

import asyncio
import json
from collections.abc import Callable
from types import SimpleNamespace

from sableford.common.settings import FaultTolerance, Settings
from sableford.control.protocol import JoinRequest, Update, UpdateAcknowledgement
from sableford.control.record_storage import RecordStorage
from sableford.control.service import ControlService
from sableford.control.view import View
from sableford.transport.http import HttpRequest, HttpResponse
from sableford.transport.link import IncomingMessage
from sableford.transport.messages import PeerMessage, PeerResponse


class Peer:
    """A link that records the messages sent on it. With `control`, its member applies updates at once."""

    closed = False

    def __init__(self, name: str, control: ControlService | None = None) -> None:
        self.peer, self.incarnation, self.messages, self._control = name, f"{name}.1", [], control

    def send(self, message: PeerMessage, body: bytes = b"") -> bool:
        self.messages.append(message)
        if self._control is not None and isinstance(message, Update):
            applied = IncomingMessage(self, UpdateAcknowledgement(message.number, message.term))
            loop = asyncio.get_running_loop()
            loop.call_soon(self._control.sessions.handle_acknowledgement, applied)
        return True

    def send_response(self, call_number: int, response: PeerResponse, body: bytes = b"") -> bool:
        self.messages.append(response)
        return True


class ImmediateDisk:
    """A disk whose writes succeed at once."""

    def write(self, puts: list, more: bool = False) -> asyncio.Future:
        future = asyncio.get_running_loop().create_future()
        future.set_result(True)
        return future


class NoTimers:
    """The event loop without timers: the test calls `tick` itself."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)

    def call_later(self, delay_s: float, *what: object) -> None: ...


def start_control(losses: int = 0, settings: Settings | None = None) -> tuple[ControlService, list[float]]:
    """The control service of one process that is the only voter, and its simulated clock."""
    runtime = SimpleNamespace(
        me="s00",
        links=SimpleNamespace(
            on_refused=[], on_up=[], link=lambda name: None, responsive_link=lambda name: None
        ),
        log=SimpleNamespace(event=lambda name, /, **fields: None),
        member=SimpleNamespace(view=View(), leader="", peers_on_disk=None),
        settings=settings
        or Settings(
            "s00", "s00", "z", (7300, 7315), seed_nodes=["s00:7300"], tolerates=FaultTolerance(losses)
        ),
    )
    clock = [0.0]
    control = ControlService(runtime, ImmediateDisk())
    control.loop = control.sessions.loop = NoTimers(control.loop)
    control.now = lambda: clock[0]
    storage = RecordStorage([])
    storage.initial_write(["s00"])
    control.start(storage)
    return control, clock


async def run_until(
    control: ControlService, clock: list[float], until: Callable[[], bool], ms: float = 20_000.0
) -> bool:
    end = clock[0] + ms
    while not until() and clock[0] < end:
        clock[0] += 10.0
        control.tick()
        for _ in range(20):
            await asyncio.sleep(0)
    return until()


async def call(
    control: ControlService, clock: list[float], method: str, path: str, body: object = b"", **headers: str
) -> HttpResponse:
    """The answer to one call; header names are given with underscores."""
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    given = [(name.replace("_", "-").encode(), text.encode("latin-1")) for name, text in headers.items()]
    answer = control.handle(HttpRequest(method, path.encode(), given, raw, True))
    if isinstance(answer, HttpResponse):
        return answer
    task = asyncio.ensure_future(answer)
    assert await run_until(control, clock, task.done)
    return task.result()


def join_member(control: ControlService, name: str, prompt: bool = False, **status: object) -> Peer:
    """A process joins; with `prompt` it applies updates at once."""
    peer = Peer(name, control if prompt else None)
    defaults = {"role": "store", "zone": "z", "node": name, "view": View()}
    request = JoinRequest(incarnation=peer.incarnation, **(defaults | status))
    control.sessions.handle_join(IncomingMessage(peer, request, call_number=1))
    return peer


async def reelect(control: ControlService, clock: list[float]) -> bool:
    """It is elected again: members have to join again, and may hold leases granted until now."""
    control.record.earlier_leader_until = clock[0]
    control.end_leadership()
    return await run_until(control, clock, lambda: control.leads)


def shows_stores_that_join_together_enter_the_roster_with_few_entries() -> None:
    async def scene() -> int:
        control, clock = start_control()
        assert await run_until(control, clock, lambda: control.leads)
        names = [f"s{at:02d}" for at in range(19)]
        for name in names:
            join_member(control, name)
        assert await run_until(control, clock, lambda: list(control.roster.stores) == names)
        return control.record.state_machine.last

    entries = asyncio.run(scene())
    assert entries < 12, entries  # the voter's own, and one or two for all; one change per store took 522
