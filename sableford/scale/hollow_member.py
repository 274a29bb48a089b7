"""Many hollow members in one process: real links, real leases, real news; no messages and no clients.

Each has the real `LinkPool` and `MemberClient`. One that joins as a store also listens, answers what stores
ask each other with "nothing is held here", and says that all it owns is safe. Light mode: where there are
hollow stores, hollow members hold links to the real stores only.
"""

import asyncio
import os
import random
import time
from collections.abc import Callable
from typing import Any

from sableford.control.member_client import MemberClient
from sableford.control.protocol import MemberStatus, Update
from sableford.control.view import View
from sableford.scale import child, counting
from sableford.scale.cluster import INNER, ZONES
from sableford.store.protocol import (
    Confirmation,
    FinalStatesRequest,
    FinalStatesResponse,
    LookupRequest,
    LookupResponse,
    PullRequest,
    PullResponse,
)
from sableford.transport.frames import Frame
from sableford.transport.link import IncomingMessage, Link, decode_message
from sableford.transport.link_pool import LinkPool
from sableford.transport.messages import PROTOCOL_VERSION, HelloRequest, HelloResponse, PeerMessage
from sableford.transport.peer_server import operation_of

JOINS_MS = 300.0  # all of a group begin within so long, as machines of one start do


class _Silent:
    """What a member says of itself goes nowhere."""

    def event(self, name: str, /, **fields: Any) -> None:
        pass


class _SeedPool(LinkPool):
    """Light mode: links to the real stores only."""

    seeds: frozenset[str] = frozenset()

    def set_peers(self, names: set[str]) -> None:
        super().set_peers(names & self.seeds)


class HollowMember:
    def __init__(self, group: "Group", name: str, role: str, zone: str) -> None:
        self._group, self.name, self.role, self.zone = group, name, role, zone
        self._server: asyncio.Server | None = None
        self.client: MemberClient | None = None

    async def begin(self) -> None:
        """A new life."""
        self.incarnation = os.urandom(6).hex()
        hello = HelloRequest(self.name, self.incarnation, self.role, PROTOCOL_VERSION)
        self._pool = _SeedPool(hello, INNER, self._heard)
        self._pool.seeds = self._group.seeds
        if self.role == "store":
            loop = asyncio.get_running_loop()
            self._server = await loop.create_server(
                lambda: counting.CountedLink(self._heard), self.name, INNER, backlog=512
            )
        self.client = MemberClient(
            self._pool, self.name, self._status, lambda: sorted(self._group.seeds), _Silent()
        )
        self.client.on_config.append(lambda config: self._group.applied(config.revision))
        self.client.on_worker.append(lambda id: self._group.worker_applied(id))
        self._task = asyncio.get_running_loop().create_task(self.client.run())

    def _status(self) -> MemberStatus:
        is_store = self.role == "store"
        number = self.client.view.number if is_store else (0, 0)
        return MemberStatus(
            incarnation=self.incarnation,
            role=self.role,
            zone=self.zone,
            node=self.name,
            empty=is_store,
            safe=number,
            safe_without_leaving=number,
        )

    def _heard(self, link: Link, frame: Frame) -> None:
        handle = self._handlers().get(frame.envelope.operation)
        if handle is not None:
            message_type, handler = handle
            message = decode_message(message_type, frame)
            handler(IncomingMessage(link, message, frame.body, frame.envelope.call_number))
        elif frame.envelope.call_number is not None:
            link.send_response(frame.envelope.call_number, Confirmation(False))

    def _handlers(self) -> dict[str, tuple[type[PeerMessage], Callable[[IncomingMessage[Any]], object]]]:
        handlers = {
            HelloRequest: self._hello,
            Update: lambda incoming: self.client.apply_update(incoming.link, incoming.message),
            PullRequest: lambda incoming: incoming.respond(
                PullResponse(True, [], [], {}, incoming.message.shards)
            ),
            FinalStatesRequest: lambda incoming: incoming.respond(FinalStatesResponse({})),
            LookupRequest: lambda incoming: incoming.respond(LookupResponse()),
        }
        return {operation_of(one): (one, handler) for one, handler in handlers.items()}

    def _hello(self, incoming: IncomingMessage[HelloRequest]) -> None:
        incoming.link.identify(incoming.message.name, incoming.message.incarnation)
        incoming.respond(HelloResponse(self.incarnation, version=PROTOCOL_VERSION))

    async def end(self) -> None:
        self._task.cancel()
        self._pool.set_peers(set())
        if self._server is not None:
            self._server.close()
        self.client.view = View()

    def joined(self) -> bool:
        return bool(self.client.leader) and self.client.holds_lease() and self.client.config is not None


class Group:
    """The members of this process, and the commands of its parent."""

    def __init__(self) -> None:
        self.members: list[HollowMember] = []
        self.seeds: frozenset[str] = frozenset()
        self._applied: dict[int, list[float]] = {}
        self._worker_at: list[float] = []
        self._random = random.Random(0)

    def applied(self, revision: int) -> None:
        self._applied.setdefault(revision, []).append(time.monotonic())

    def worker_applied(self, id: str | None) -> None:
        if id is not None:
            self._worker_at.append(time.monotonic())

    async def act(self, command: dict) -> dict:
        match command["do"]:
            case "join":
                return await self._join(command)
            case "state":
                return self._state()
            case "tally":
                return counting.TALLY.dump()
            case "applied":
                return {"at": self._applied.pop(command["revision"], [])}
            case "workers_applied":
                at, self._worker_at = self._worker_at, []
                return {"at": at}
            case "restart":
                return await self._restart(command["count"], command["limit_s"])
        return {"problem": f"unknown: {command['do']}"}

    async def _join(self, command: dict) -> dict:
        self._random = random.Random(command["seed"])
        self.seeds = frozenset(command["seeds"])
        begun = time.monotonic()
        for at, name in enumerate(command["names"]):
            role = "store" if at < command["stores"] else "edge"
            member = HollowMember(self, name, role, f"zone-{at % ZONES + 1}")
            self.members.append(member)
            await member.begin()
            if self._random.random() < 0.05:
                await asyncio.sleep(JOINS_MS / 1000.0 / max(1, len(command["names"])) * 20.0)
        return {"begun": begun, "count": len(self.members)}

    def _state(self) -> dict:
        leaders: dict[str, int] = {}
        for member in self.members:
            leaders[member.client.leader] = leaders.get(member.client.leader, 0) + 1
        return {
            "joined": sum(member.joined() for member in self.members),
            "leaders": leaders,
            "revisions": sorted({m.client.config.revision if m.client.config else 0 for m in self.members}),
            "workers": max((len(m.client.workers) for m in self.members), default=0),
        }

    async def _restart(self, count: int, limit_s: float) -> dict:
        """So many end and join anew at once; seconds until each has its configuration again."""
        chosen = self._random.sample(self.members, min(count, len(self.members)))
        before = sum(counting.TALLY.news_bytes.values())
        for member in chosen:
            await member.end()
        begun = time.monotonic()
        for member in chosen:
            await member.begin()
        took: dict[str, float] = {}
        while len(took) < len(chosen) and time.monotonic() - begun < limit_s:
            for member in chosen:
                if member.name not in took and member.joined():
                    took[member.name] = time.monotonic() - begun
            await asyncio.sleep(0.005)
        after = sum(counting.TALLY.news_bytes.values())
        return {"count": len(chosen), "took_s": sorted(took.values()), "news_bytes": after - before}


def _prepare() -> Any:
    counting.install()
    return Group().act


if __name__ == "__main__":
    child.run(_prepare)
