"""Discovery: one actor that watches the list of workers when the module asks it to.

It owns the watch, the version it has, and the move to another address. It must never ask again by itself once
a watch has failed, but for an address that is new, nor judge what the list says beyond its form.
"""

import asyncio

import h11
import msgspec

from sableford.intake.scheduler_settings import SchedulerSettings
from sableford.model import FetchRoster
from sableford.net import wire
from sableford.net.http import Peer, dial
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.mail import Mailbox, Renew, Told, Unheard


class Lost(Exception):
    """Discovery refused, fell silent or made no sense."""


class Roster:
    def __init__(
        self,
        address: tuple[str, int],
        revision: int | None,
        limits: Limits,
        charter: SchedulerSettings,
        log: Log,
    ) -> None:
        self.mail = Mailbox()
        self._address, self._limits, self._charter, self._log = address, limits, charter, log
        self._revision = revision  # none: the whole list is asked for first
        self._line: Peer | None = None
        self._heard = False  # since it was lost, or at all
        self._moved_at = -1e12  # by the loop's time

    async def run(self, desk: Mailbox) -> None:
        watch: asyncio.Task[None] | None = None
        while True:
            for message in await self.mail.take():
                match message:
                    case FetchRoster() if watch is None or watch.done():
                        watch = asyncio.create_task(self._follow(desk))
                    case Renew(limits, address, charter):
                        self._limits, self._charter = limits, charter
                        if address != self._address:
                            if watch is not None:
                                watch.cancel()
                                await asyncio.wait([watch])
                            self._move(address)
                            watch = asyncio.create_task(self._follow(desk))

    def _move(self, address: tuple[str, int]) -> None:
        """Versions of one agent say nothing of another's: its first list is taken whatever its version."""
        self._hang_up()
        self._address, self._revision = address, None
        self._moved_at = asyncio.get_running_loop().time()

    def _hang_up(self) -> None:
        if self._line is not None:
            self._line.drop()
        self._line = None

    async def _follow(self, desk: Mailbox) -> None:
        """One watch to its end, which is told; just moved, it is tried anew until the address is up."""
        while True:
            try:
                await self._watch(desk, self._charter.config.ask_within > 0.0)
                return
            except Exception as problem:
                self._hang_up()
                since = (asyncio.get_running_loop().time() - self._moved_at) * 1000.0
                if self._revision is None and since < self._limits.moving:
                    await asyncio.sleep(self._limits.again / 1000.0)
                    continue
                self._log.say("discovery_lost", problem=repr(problem))
                self._heard = False
                desk.put(Unheard())
                return

    async def _watch(self, desk: Mailbox, once: bool) -> None:
        """Call again at once after each answer, till that fails; or but once, for what has changed so far."""
        while True:
            target, wait = wire.LIST, 0.0
            if self._revision is not None:
                wait = 0.0 if once else self._limits.watch
                target += f"?after={self._revision}&wait_ms={int(wait)}"
            listing = wire.listing(await self._get(target.encode(), wait), self._charter)
            if not self._heard:
                self._log.say("discovery_heard", revision=listing.revision, complete=listing.complete)
            self._heard = True
            for why in listing.senseless:
                self._log.say("senseless_line", why=why)
            # Older news than what is known would bring back workers that left: the whole list tells.
            if self._revision is not None and listing.revision < self._revision:
                self._log.say("older_list", revision=listing.revision, known=self._revision)
                self._revision = None
                continue
            self._revision = listing.revision
            if listing.complete or listing.addresses or once:
                desk.put(Told(listing.sheet, listing.complete, listing.addresses))
            if once:
                return

    async def _get(self, target: bytes, wait: float) -> bytes:
        limits, body = self._limits, bytearray()
        if self._log.each_txn:
            self._log.say("listing_asked", target=target)
        async with asyncio.timeout((wait + limits.silence) / 1000.0):
            if self._line is None or not self._line.usable():
                async with asyncio.timeout(limits.call / 1000.0):
                    self._line = await dial(self._address, limits)
            host = b"%s:%d" % (self._address[0].encode(), self._address[1])
            self._line.write(
                h11.Request(method=b"GET", target=target, headers=[(b"host", host)]), h11.EndOfMessage()
            )
            answer = await self._line.event()
            while isinstance(event := await self._line.event(), h11.Data):
                body += event.data
                if len(body) > limits.listing:
                    raise Lost("the list is too long")
            if not isinstance(answer, h11.Response) or answer.status_code != 200:
                raise Lost(f"answered {getattr(answer, 'status_code', 'nothing')}")
            if not self._line.next_cycle():
                self._line.close()
                self._line = None
        if self._log.each_txn:
            self._log.say("listing_told", size=len(body))
        return bytes(body)


def inherited(text: bytes, charter: SchedulerSettings, log: Log) -> Told | None:
    """The list that the process before left; none where it makes no sense or is empty."""
    try:
        listing = wire.listing(text, charter)
    except msgspec.MsgspecError as problem:
        log.say("senseless_line", why=f"the list left by another process: {problem}")
        return None
    return Told(listing.sheet, True, listing.addresses) if listing.addresses else None


def first_list(text: bytes, charter: SchedulerSettings, log: Log) -> tuple[Told, int | None]:
    """The list as this scheduler last had it; it may be old, so its version is kept only where each answer
    costs a service that all share, and the whole list three times what has changed."""
    try:
        listing = wire.listing(text, charter)
    except msgspec.MsgspecError as problem:
        raise ValueError(f"known: {problem}") from problem
    for why in listing.senseless:
        log.say("senseless_line", why=why)
    kept = charter.config.ask_within > 0.0 and listing.complete and len(listing.addresses) > 0
    return Told(listing.sheet, True, listing.addresses), listing.revision if kept else None
