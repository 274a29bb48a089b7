"""Stub of the discovery service; records what each scheduler was told about the workers, and when."""

import asyncio
from collections.abc import Callable

from msgspec import json

from sableford.rig.clock import RunClock
from sableford.rig.history import History
from sableford.rig.http_parser import HttpParser
from sableford.rig.links import Links, StubConnection
from sableford.rig.plan import Plan


class DiscoveryStub:
    """The worker list, served on one address per scheduler, so that each answer is recorded by recipient."""

    def __init__(
        self, plan: Plan, links: Links, history: History, clock: RunClock, members: Callable
    ) -> None:
        self.plan, self.links, self.history, self.clock = plan, links, history, clock
        self._members = members  # scheduler -> the current list
        self.revision = 1
        self.silent: set[str] = set()
        self.waiting: set[DiscoveryConnection] = set()

    def bump_revision(self) -> None:
        self.revision += 1
        for connection in tuple(self.waiting):
            connection.answer()

    def full_list(self, scheduler: str) -> dict:
        return {"revision": self.revision, "complete": True, "members": self._members(scheduler)}


class DiscoveryConnection(StubConnection):
    """Connection of a scheduler that polls the list; a request waits for a newer revision or its time-out."""

    def __init__(self, discovery: DiscoveryStub, scheduler: str) -> None:
        super().__init__(discovery.links, "list", scheduler)
        self._discovery, self._parser = discovery, HttpParser()
        self._timer: asyncio.TimerHandle | None = None
        self._known_revision = -1

    def connection_lost(self, problem: Exception | None) -> None:
        super().connection_lost(problem)
        self._discovery.waiting.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def on_data(self, data: bytes | None) -> None:
        if data is None:
            self.close()
            return
        self._parser.feed(data)
        try:
            while (message := self._parser.next_message()) is not None:
                target = message[0].split()[1].decode()
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if "=" in part)
                self._known_revision, wait = int(query.get("after", -1)), float(query.get("wait_ms", 0.0))
                self._discovery.waiting.add(self)
                if self._known_revision < self._discovery.revision:
                    self.answer()
                else:
                    loop = asyncio.get_running_loop()
                    self._timer = loop.call_later(wait / 1000.0, self.answer)
        except (ValueError, IndexError):
            self.abort()

    def answer(self) -> None:
        discovery = self._discovery
        if self not in discovery.waiting or self.other_name in discovery.silent:
            return
        discovery.waiting.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        outdated = self._known_revision < discovery.revision
        reply = (
            discovery.full_list(self.other_name)
            if outdated
            else {"revision": discovery.revision, "complete": False, "members": []}
        )
        now = discovery.clock.now()
        for member in reply["members"]:
            discovery.history.record_sendable(self.other_name, member["id"], now, member["phase"] == "active")
        body = json.encode(reply)
        self.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
