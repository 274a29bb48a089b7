"""Maintains a link to each peer, and redials lost ones.

The silence of each peer is measured by the monotonic clock. A refused connection proves that the process that
listened there has ended, since a process listens on its port until it exits. Silence proves nothing.
"""

import asyncio
from collections.abc import Callable

from sableford.transport.errors import CallError
from sableford.transport.frames import Frame
from sableford.transport.link import USER_TIMEOUT_MS, Link
from sableford.transport.messages import HelloRequest

UNSCALED_LINKS = 8  # with more links all intervals grow in proportion, which bounds the rate of pings
CHECK_INTERVAL_MS = 100.0  # between two checks; a link that was silent for so long is pinged
UNRESPONSIVE_MS = 220.0  # without a message; then other links are preferred
DIAL_TIMEOUT_MS = USER_TIMEOUT_MS
REDIAL_MS = 60.0  # between two dials, doubling up to ten times as much
MAX_REDIAL_MS = REDIAL_MS * 10.0


class PooledLink:
    """The link to one address, or the attempts to establish it."""

    __slots__ = ("address", "dialling", "link", "next_dial_at", "redial_ms")

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.link: Link | None = None
        self.dialling: asyncio.Task[None] | None = None
        self.next_dial_at, self.redial_ms = 0.0, REDIAL_MS


class LinkPool:
    """The links of this process, which introduces itself with `hello`. Changes are reported to the callbacks
    `on_up(name, link)`, `on_down(name)` and `on_refused(name)`; names are the hosts of the peers."""

    def __init__(self, hello: HelloRequest, port: int, receive: Callable[[Link, Frame], None]) -> None:
        self.hello, self.port, self._receive = hello, port, receive
        self._pooled: dict[str, PooledLink] = {}
        self.on_up: list[Callable[[str, Link], object]] = []
        self.on_down: list[Callable[[str], object]] = []
        self.on_refused: list[Callable[[str], object]] = []
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(0.0, self._check_links)

    def set_peers(self, names: set[str]) -> None:
        """Replaces the set of peers to connect to."""
        for name in sorted(
            names - self._pooled.keys()
        ):  # sorted: the iteration order of a set is not deterministic
            self._pooled[name] = PooledLink((name, self.port))
        for name in sorted(self._pooled.keys() - names):
            pooled = self._pooled.pop(name)
            if pooled.dialling is not None:
                pooled.dialling.cancel()
            if pooled.link is not None:
                pooled.link.drop()
        self._dial_due()

    def names(self) -> list[str]:
        """The peers to connect to."""
        return list(self._pooled)

    def link(self, name: str) -> Link | None:
        """The link to a peer, if it is up."""
        pooled = self._pooled.get(name)
        if pooled is None or pooled.link is None or pooled.link.closed or not pooled.link.incarnation:
            return None
        return pooled.link

    def responsive_link(self, name: str) -> Link | None:
        """The link to a peer, if the peer has been heard from recently."""
        link = self.link(name)
        if link is None or link.silence_ms() >= UNRESPONSIVE_MS * self._interval_scale():
            return None
        return link

    def _interval_scale(self) -> float:
        return max(1.0, len(self._pooled) / UNSCALED_LINKS)

    def _check_links(self) -> None:
        scale = self._interval_scale()
        interval_ms = CHECK_INTERVAL_MS * scale
        self._timer = self._loop.call_later(interval_ms / 1000.0, self._check_links)
        dead_ms = max(USER_TIMEOUT_MS, UNRESPONSIVE_MS * scale * 2.0)
        for pooled in list(self._pooled.values()):
            if pooled.link is None:
                continue
            silence_ms = pooled.link.silence_ms()
            if silence_ms >= dead_ms:
                pooled.link.drop()
            elif silence_ms >= interval_ms * 0.9:
                pooled.link.ping()
        self._dial_due()

    def _dial_due(self) -> None:
        now = self._loop.time() * 1000.0
        for name, pooled in self._pooled.items():
            if pooled.link is None and pooled.dialling is None and now >= pooled.next_dial_at:
                pooled.dialling = self._loop.create_task(self._dial(name, pooled))
                pooled.dialling.add_done_callback(self._dial_ended)

    def _dial_ended(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and (problem := task.exception()) is not None:
            self._loop.call_exception_handler({"message": "a dial failed", "exception": problem})

    async def _dial(self, name: str, pooled: PooledLink) -> None:
        now = self._loop.time() * 1000.0
        pooled.next_dial_at = now + pooled.redial_ms
        pooled.redial_ms = min(pooled.redial_ms * 2.0, MAX_REDIAL_MS)
        link: Link | None = None
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_MS / 1000.0):
                _, link = await self._loop.create_connection(
                    lambda: Link(self._receive, self._link_lost), *pooled.address
                )
                if await self._introduce(name, link):
                    pooled.link, pooled.redial_ms = link, REDIAL_MS
        except ConnectionRefusedError:
            for notify_refused in self.on_refused:
                notify_refused(name)
        except (OSError, TimeoutError, CallError):
            pass
        finally:
            pooled.dialling = None
            if link is not None and pooled.link is not link:
                link.drop()
        if link is None or pooled.link is not link:
            return
        if link.closed:
            pooled.link = None
            return
        for notify_up in self.on_up:
            notify_up(name, link)

    async def _introduce(self, name: str, link: Link) -> bool:
        """Exchanges hellos; returns whether the process that answered is the one that was dialled."""
        link.peer = name
        response = (await link.request(self.hello)).message
        is_expected = response.name in ("", name) and bool(response.incarnation)
        return is_expected and link.identify(name, response.incarnation)

    def _link_lost(self, link: Link) -> None:
        pooled = self._pooled.get(link.peer)
        if pooled is None or pooled.link is not link:
            return
        pooled.link, pooled.next_dial_at = None, 0.0
        for notify_down in self.on_down:
            notify_down(link.peer)
        self._loop.call_soon(self._dial_due)
