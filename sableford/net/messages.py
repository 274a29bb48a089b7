"""Mailboxes, the clock, and every message that actors send one another.

It owns how actors meet; they share nothing else. It must never know a word of any wire.
"""

import asyncio
import time
from collections import deque
from typing import Any, NamedTuple

from sableford.intake.index_table import WorkerList
from sableford.intake.scheduler_settings import SchedulerSettings
from sableford.learned_state import LearnedState
from sableford.model import Ending
from sableford.net.limits import Limits


class Clock:
    """Unix time in milliseconds that only moves forward, and the loop's time for it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self._base = loop, time.time() * 1000.0 - loop.time() * 1000.0

    def now(self) -> float:
        return self._base + self._loop.time() * 1000.0

    def on_loop(self, when: float) -> float:
        return (when - self._base) / 1000.0


class Mailbox:
    """Messages to one actor, which takes all that wait at once: a burst costs one switch."""

    def __init__(self) -> None:
        self._waiting: deque[Any] = deque()
        self._bell: asyncio.Future[None] | None = None

    def put(self, message: object) -> None:
        self._waiting.append(message)
        self._ring()

    def put_first(self, message: object) -> None:
        """Before all that waits: for what can't wait for its turn behind txns."""
        self._waiting.appendleft(message)
        self._ring()

    def empty(self) -> bool:
        return not self._waiting

    def _ring(self) -> None:
        if self._bell is not None and not self._bell.done():
            self._bell.set_result(None)

    async def take(self, within: float | None = None) -> list[Any]:
        """All that waits; empty where nothing came within so many ms."""
        if not self._waiting:
            loop = asyncio.get_running_loop()
            self._bell = loop.create_future()
            timer = None if within is None else loop.call_later(max(0.0, within) / 1000.0, self._ring)
            try:
                await self._bell
            finally:
                self._bell = None
                if timer is not None:
                    timer.cancel()
        taken = list(self._waiting)
        self._waiting.clear()
        return taken


class Request:
    """One txn as it came. What goes on unchanged is bytes; the rest is what decisions need."""

    __slots__ = (
        "body",
        "client",
        "expiry",
        "headers",
        "id",
        "method",
        "scheme",
        "slots",
        "target",
        "work",
    )

    def __init__(
        self, client: Mailbox, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.client, self.method, self.target = client, method, target
        self.headers, self.body = headers, body
        self.id, self.scheme, self.expiry = b"", 0, 0.0
        self.slots, self.work = 1.0, 0.0


# To the desk: a Request, and


class ClientGone(NamedTuple):
    """The client has closed its connection."""

    request: Request


class PostingStarted(NamedTuple):
    request: Request
    posting: int


class PostingProgressed(NamedTuple):
    request: Request
    posting: int
    progress: float


class PostingEnded(NamedTuple):
    """A posting is over; `result` is the body for the client where it was settled."""

    request: Request
    posting: int
    ending: Ending
    load: tuple[float, ...] = ()
    result: bytes = b""


class StaleConnection(NamedTuple):
    """A line that had rested so many ms was dead as it was taken up. To the workers too, from the desk."""

    idle_ms: float


class ProbeResult(NamedTuple):
    """A probe is back."""

    worker: str
    answered: bool
    load: tuple[float, ...]


class WorkerListUpdate(NamedTuple):
    """Lines of the list, all of them where `complete`, and where each worker listens."""

    worker_list: WorkerList
    complete: bool
    addresses: dict[str, tuple[str, int]]


class OperatorOverride(NamedTuple):
    """An operator took a worker out at that time, or called it back. From the console."""

    worker: str
    out: bool
    at: float


class WarmUpOwnership(NamedTuple):
    """Whether the turns at cold workers are this process's. From the handover."""

    owned: bool


class DiscoveryLost(NamedTuple):
    """The watch failed, or discovery fell silent."""


# From a reload, to the desk, the gate, the roster and the workers


class ConfigReloaded(NamedTuple):
    """The file was read again: the limits from now on, where discovery is, and the settings."""

    limits: Limits
    discovery: tuple[str, int]
    settings: SchedulerSettings
    peers: tuple[tuple[str, int], ...] = ()  # the schedulers by position, where they may be spoken to


class SendToPeers(NamedTuple):
    """To the peers: some words for some schedulers."""

    peers: tuple[int, ...]
    payload: bytes


class PeerPayload(NamedTuple):
    """To the desk: what another scheduler said."""

    peer: int
    payload: bytes


# To the handover


class OverrideRequest(NamedTuple):
    """A call by hand; `reply` hears whether it was written, as soon as that is known."""

    override: OperatorOverride
    reply: Mailbox


class HandoverSnapshot(NamedTuple):
    """What the desk knows, for the next process: the list in its words, and what the module learned."""

    listing: bytes
    learned: LearnedState


# To the keeper


class ProcessCount(NamedTuple):
    """So many processes of this scheduler live, and divide what is granted."""

    processes: int


# To the fleet


class RecordRequest(NamedTuple):
    """A key of the record to be set to `value`, or read where there is none; `reply` gets (held, entry,
    value or why not)."""

    key: str
    value: bytes | None
    reply: Mailbox


# To the console


class FleetStatus(NamedTuple):
    """How the fleet looks from here, as JSON."""

    json: bytes


class KnownWorkers(NamedTuple):
    """Every worker that has been listed or is out by hand."""

    workers: frozenset[str]


# To a client


class Settle(NamedTuple):
    request: Request
    result: bytes


class Refuse(NamedTuple):
    """Declined: trying again is harmless, best after so many ms where above 0."""

    request: Request
    pause: float


class Fail(NamedTuple):
    """Reversed."""

    request: Request


class DuplicateId(NamedTuple):
    """A txn with this id is under way."""

    request: Request


class Shutdown(NamedTuple):
    """The scheduler was asked to end at that time, with another process of it serving `beside` or not. To the
    gate: end."""

    requested_at: float = 0.0
    other_serving: bool = False


class OtherProcessServing(NamedTuple):
    """To the gate: whether another process of this scheduler serves."""

    serves: bool


class SettingsChanged(NamedTuple):
    """Other settings: for the next request."""

    settings: SchedulerSettings


class CloseIfIdle(NamedTuple):
    """Close if idle."""


class CloseIfIncomplete(NamedTuple):
    """Others wait: close if a request has begun to come and is not whole, or the last answer was given."""


class BodyGrant(NamedTuple):
    """Whether a body may come as large as was asked for."""

    granted: bool


# To a worker


class SendPosting(NamedTuple):
    request: Request
    posting: int
    deadline: float


class CancelPosting(NamedTuple):
    request: Request
    posting: int


class SendProbe(NamedTuple):
    """Probe."""


class WorkerEndpoint(NamedTuple):
    """Where the worker listens, its last start (with another one its old connections are void), whether it
    wants anything new."""

    address: tuple[str, int]
    started_at: float
    ready: bool

    def same_process(self, other: "WorkerEndpoint") -> bool:
        return (self.address, self.started_at) == (other.address, other.started_at)


class ConnectionQuota(NamedTuple):
    """How many connections it may have."""

    connections: int
