"""Mailboxes, the clock, and the messages that actors send to each other.

Actors share no other state. Nothing here depends on a wire format.
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
    """Monotonic Unix time in milliseconds, and its conversion to event loop time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self._base = loop, time.time() * 1000.0 - loop.time() * 1000.0

    def now(self) -> float:
        return self._base + self._loop.time() * 1000.0

    def on_loop(self, when: float) -> float:
        return (when - self._base) / 1000.0


class Mailbox:
    """Queue of messages to one actor, which takes all that wait at once: a burst costs one task switch."""

    def __init__(self) -> None:
        self._waiting: deque[Any] = deque()
        self._wakeup: asyncio.Future[None] | None = None

    def put(self, message: object) -> None:
        self._waiting.append(message)
        self._wake()

    def put_first(self, message: object) -> None:
        """Puts a message ahead of all waiting ones, for messages that must not queue behind transactions."""
        self._waiting.appendleft(message)
        self._wake()

    def empty(self) -> bool:
        return not self._waiting

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    async def take(self, within: float | None = None) -> list[Any]:
        """Returns all waiting messages, or an empty list if none arrives within `within` ms."""
        if not self._waiting:
            loop = asyncio.get_running_loop()
            self._wakeup = loop.create_future()
            timer = None if within is None else loop.call_later(max(0.0, within) / 1000.0, self._wake)
            try:
                await self._wakeup
            finally:
                self._wakeup = None
                if timer is not None:
                    timer.cancel()
        taken = list(self._waiting)
        self._waiting.clear()
        return taken


class Request:
    """A txn as received: bytes for what is forwarded unchanged, parsed values for what decisions need."""

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


# To the dispatcher (which also receives Request)


class ClientGone(NamedTuple):
    """The client closed its connection."""

    request: Request


class PostingStarted(NamedTuple):
    request: Request
    posting: int


class PostingProgressed(NamedTuple):
    request: Request
    posting: int
    progress: float


class PostingEnded(NamedTuple):
    """A posting has ended; `result` is the response body if it was settled."""

    request: Request
    posting: int
    ending: Ending
    load: tuple[float, ...] = ()
    result: bytes = b""


class StaleConnection(NamedTuple):
    """A connection idle for `idle_ms` proved dead when reused. The dispatcher tells all workers."""

    idle_ms: float


class ProbeResult(NamedTuple):
    """Result of a probe."""

    worker: str
    answered: bool
    load: tuple[float, ...]


class WorkerListUpdate(NamedTuple):
    """Entries of the worker list (all of them if `complete`) and the workers' addresses."""

    worker_list: WorkerList
    complete: bool
    addresses: dict[str, tuple[str, int]]


class OperatorOverride(NamedTuple):
    """An operator took a worker out of service at time `at`, or put it back. From the console."""

    worker: str
    out: bool
    at: float


class WarmUpOwnership(NamedTuple):
    """Whether this process is the one that sends to warming-up workers. From the handover."""

    owned: bool


class DiscoveryLost(NamedTuple):
    """The watch failed, or discovery stopped answering."""


# From a reload, to the dispatcher, the acceptor, the discovery client and the workers


class ConfigReloaded(NamedTuple):
    """The configuration file was read again; these values apply from now on."""

    limits: Limits
    discovery: tuple[str, int]
    settings: SchedulerSettings
    peers: tuple[tuple[str, int], ...] = ()  # all schedulers by position; empty if peer messages are off


class SendToPeers(NamedTuple):
    """To the peer transport: a payload for the schedulers at these positions."""

    peers: tuple[int, ...]
    payload: bytes


class PeerPayload(NamedTuple):
    """To the dispatcher: a payload received from another scheduler."""

    peer: int
    payload: bytes


# To the handover


class OverrideRequest(NamedTuple):
    """An operator's override; `reply` receives whether it was written to disk."""

    override: OperatorOverride
    reply: Mailbox


class HandoverSnapshot(NamedTuple):
    """State for the next process: the worker list in discovery's format, and the learned statistics."""

    listing: bytes
    learned: LearnedState


# To the configuration reloader


class ProcessCount(NamedTuple):
    """Number of live processes of this scheduler, which divide its resources."""

    processes: int


# To the fleet


class RecordRequest(NamedTuple):
    """Sets a key of the replicated record to `value`, or reads it if `value` is None.

    `reply` receives (accepted, entry, value or reason).
    """

    key: str
    value: bytes | None
    reply: Mailbox


# To the console


class FleetStatus(NamedTuple):
    """This scheduler's view of the fleet, as JSON."""

    json: bytes


class KnownWorkers(NamedTuple):
    """Every worker that was ever listed or has an operator override."""

    workers: frozenset[str]


# To a client


class Settle(NamedTuple):
    request: Request
    result: bytes


class Refuse(NamedTuple):
    """Declined: a retry is harmless, preferably after `pause` ms if that is above 0."""

    request: Request
    pause: float


class Fail(NamedTuple):
    """The transaction is reversed."""

    request: Request


class DuplicateId(NamedTuple):
    """A transaction with this id is already in flight."""

    request: Request


class Shutdown(NamedTuple):
    """The scheduler was asked to stop at `requested_at`; `other_serving` if another process of it serves."""

    requested_at: float = 0.0
    other_serving: bool = False


class OtherProcessServing(NamedTuple):
    """To the acceptor: whether another process of this scheduler serves."""

    serves: bool


class SettingsChanged(NamedTuple):
    """New settings, used from the next request on."""

    settings: SchedulerSettings


class CloseIfIdle(NamedTuple):
    """Close the connection if it is idle."""


class CloseIfIncomplete(NamedTuple):
    """The client limit is reached: close if a request is incomplete or the last response was sent."""


class BodyGrant(NamedTuple):
    """Reply to BodyReservation."""

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
    """Probe the worker."""


class WorkerEndpoint(NamedTuple):
    """A worker's address, its last start, and whether it accepts new postings.

    Connections made before another start are void.
    """

    address: tuple[str, int]
    started_at: float
    ready: bool

    def same_process(self, other: "WorkerEndpoint") -> bool:
        return (self.address, self.started_at) == (other.address, other.started_at)


class ConnectionQuota(NamedTuple):
    """Number of connections that a worker's actor may open."""

    connections: int
