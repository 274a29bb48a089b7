"""Discovery client: an actor that watches the list of workers when the scheduler asks for it.

It keeps the list's revision and handles a change of address. After a failed watch it does not retry by
itself, except at a new address. Only the form of the list is checked.
"""

import asyncio

import h11
import msgspec

from sableford.intake.scheduler_settings import SchedulerSettings
from sableford.model import FetchRoster
from sableford.net import wire
from sableford.net.http import HttpConnection, dial
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.messages import ConfigReloaded, DiscoveryLost, Mailbox, WorkerListUpdate


class DiscoveryError(Exception):
    """Discovery refused, did not answer or sent an invalid response."""


class DiscoveryClient:
    def __init__(
        self,
        address: tuple[str, int],
        revision: int | None,
        limits: Limits,
        settings: SchedulerSettings,
        log: Log,
    ) -> None:
        self.mailbox = Mailbox()
        self._address, self._limits, self._settings, self._log = address, limits, settings, log
        self._revision = revision  # None: the whole list is requested first
        self._connection: HttpConnection | None = None
        self._reachable = False  # answered since the start or the last failure
        self._address_changed_at = -1e12  # in event loop time

    async def run(self, dispatcher: Mailbox) -> None:
        watch: asyncio.Task[None] | None = None
        while True:
            for message in await self.mailbox.take():
                match message:
                    case FetchRoster() if watch is None or watch.done():
                        watch = asyncio.create_task(self._watch_until_failed(dispatcher))
                    case ConfigReloaded(limits, address, settings):
                        self._limits, self._settings = limits, settings
                        if address != self._address:
                            if watch is not None:
                                watch.cancel()
                                await asyncio.wait([watch])
                            self._change_address(address)
                            watch = asyncio.create_task(self._watch_until_failed(dispatcher))

    def _change_address(self, address: tuple[str, int]) -> None:
        """Connects to another agent; revisions are not comparable, so its first list is always accepted."""
        self._disconnect()
        self._address, self._revision = address, None
        self._address_changed_at = asyncio.get_running_loop().time()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
        self._connection = None

    async def _watch_until_failed(self, dispatcher: Mailbox) -> None:
        """Runs one watch and reports its failure; at a new address it retries until that is up."""
        while True:
            try:
                await self._watch(dispatcher, self._settings.config.ask_within > 0.0)
                return
            except Exception as problem:
                self._disconnect()
                elapsed = (asyncio.get_running_loop().time() - self._address_changed_at) * 1000.0
                if self._revision is None and elapsed < self._limits.discovery_move:
                    await asyncio.sleep(self._limits.retry / 1000.0)
                    continue
                self._log.event("discovery_lost", problem=repr(problem))
                self._reachable = False
                dispatcher.put(DiscoveryLost())
                return

    async def _watch(self, dispatcher: Mailbox, once: bool) -> None:
        """Long-polls the list until that fails, or with `once` requests the changes so far a single time."""
        while True:
            target, wait = wire.LIST, 0.0
            if self._revision is not None:
                wait = 0.0 if once else self._limits.watch
                target += f"?after={self._revision}&wait_ms={int(wait)}"
            listing = wire.decode_listing(await self._get(target.encode(), wait), self._settings)
            if not self._reachable:
                self._log.event("discovery_heard", revision=listing.revision, complete=listing.complete)
            self._reachable = True
            for reason in listing.invalid:
                self._log.event("senseless_line", why=reason)
            # An older revision would bring back workers that left: the whole list is requested.
            if self._revision is not None and listing.revision < self._revision:
                self._log.event("older_list", revision=listing.revision, known=self._revision)
                self._revision = None
                continue
            self._revision = listing.revision
            if listing.complete or listing.addresses or once:
                dispatcher.put(WorkerListUpdate(listing.worker_list, listing.complete, listing.addresses))
            if once:
                return

    async def _get(self, target: bytes, wait: float) -> bytes:
        limits, body = self._limits, bytearray()
        if self._log.each_txn:
            self._log.event("listing_asked", target=target)
        async with asyncio.timeout((wait + limits.discovery_silence) / 1000.0):
            if self._connection is None or not self._connection.usable():
                async with asyncio.timeout(limits.discovery_connect / 1000.0):
                    self._connection = await dial(self._address, limits)
            host = b"%s:%d" % (self._address[0].encode(), self._address[1])
            self._connection.write(
                h11.Request(method=b"GET", target=target, headers=[(b"host", host)]), h11.EndOfMessage()
            )
            answer = await self._connection.next_event()
            while isinstance(event := await self._connection.next_event(), h11.Data):
                body += event.data
                if len(body) > limits.max_listing:
                    raise DiscoveryError("the list is too long")
            if not isinstance(answer, h11.Response) or answer.status_code != 200:
                raise DiscoveryError(f"answered {getattr(answer, 'status_code', 'nothing')}")
            if not self._connection.next_cycle():
                self._connection.close()
                self._connection = None
        if self._log.each_txn:
            self._log.event("listing_told", size=len(body))
        return bytes(body)


def inherited_list(text: bytes, settings: SchedulerSettings, log: Log) -> WorkerListUpdate | None:
    """The list left by the previous process; None if it is invalid or empty."""
    try:
        listing = wire.decode_listing(text, settings)
    except msgspec.MsgspecError as problem:
        log.event("senseless_line", why=f"the list left by another process: {problem}")
        return None
    return WorkerListUpdate(listing.worker_list, True, listing.addresses) if listing.addresses else None


def first_list(text: bytes, settings: SchedulerSettings, log: Log) -> tuple[WorkerListUpdate, int | None]:
    """The list from the configuration file, and its revision if that is to be used.

    The list may be old. Its revision is used only where all schedulers share one discovery service, for which
    the whole list costs three times as much as the changes.
    """
    try:
        listing = wire.decode_listing(text, settings)
    except msgspec.MsgspecError as problem:
        raise ValueError(f"known: {problem}") from problem
    for reason in listing.invalid:
        log.event("senseless_line", why=reason)
    keeps_revision = settings.config.ask_within > 0.0 and listing.complete and len(listing.addresses) > 0
    return WorkerListUpdate(
        listing.worker_list, True, listing.addresses
    ), listing.revision if keeps_revision else None
