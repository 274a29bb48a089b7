"""The core's actor at one machine with a disk: its side of the record, and, while it leads, the council.

It owns the record, the council, the lines of members, and the calls of workers and the operator. What it
can't settle it passes on to the leader.
"""

import asyncio
import os
from collections.abc import Callable
from typing import Any
from zlib import crc32

import msgspec
import orjson

from sableford.altavia.calls import ANY, Tree
from sableford.altavia.http import Answer, Request
from sableford.altavia.links import Link, Ways
from sableford.fleet.record import core as record_core
from sableford.fleet.record import words as record_words
from sableford.fleet.record.core import Record, put
from sableford.leconte import book
from sableford.leconte.council import Council, Done, News, Register
from sableford.leconte.folder import Folder
from sableford.leconte.member import Member
from sableford.margherita.disk import Disk

TICK = 40.0  # ms between two looks at leases
OFFER = 3000.0  # ms for the core to agree on an order; its caller asks again
MOST = 1_048_576  # bytes of one value: some of the largest configurations that a call may carry
CONFIG, ROSTER = "config", "roster"


class Lodge:
    """`start` once the disk is open."""

    def __init__(
        self,
        me: str,
        voters: list[str],
        ways: Ways,
        disk: Disk,
        heartbeat_ms: float,
        log: Any,
        member: Member,
    ) -> None:
        self.me, self.ways, self._disk, self._log, self._member = me, ways, disk, log, member
        self._loop = asyncio.get_running_loop()
        self.council = Council(heartbeat_ms)
        self._lines: dict[str, Link] = {}
        self._answers: dict[int, asyncio.Future] = {}
        self._done: dict[int, asyncio.Future] = {}
        self._config_index = 0
        self.state = book.State()
        self._led = False
        self._ordering = asyncio.Lock()
        self._birth = int.from_bytes(os.urandom(6), "little")
        self._record: Record | None = None
        self._folder: Folder | None = None
        self._voters = voters
        self._words = msgspec.json.Decoder(record_words.Words)
        self._store_line: list[tuple[int, asyncio.Future]] = []
        self.tree = Tree(
            {
                "v1": {
                    "instances": {ANY: {"heartbeat": {"POST": self._beat}, "leave": {"POST": self._leave}}},
                    "config": {
                        "replace": {"POST": self._replace},
                        "amend": {"POST": self._amend},
                        "read": {"GET": self._read},
                    },
                    "retire": {ANY: {"start": {"POST": self._retire}, "read": {"GET": self._retired}}},
                }
            }
        )
        ways.refused.append(self._refused)
        ways.down.append(lambda name: None)

    def now(self) -> float:
        return self._loop.time() * 1000.0

    def start(self, folder: Folder) -> None:
        if self.me in self._voters:
            self._folder = folder
            seed = crc32(self.me.encode())
            self._record = Record(
                self.me, self._birth, self._voters, folder.held, self.now(), seed, most=MOST
            )
            if folder.fresh:
                self._disk.write(folder.begin())
            self._take_state()
        self._loop.call_soon(self._tick)

    # Time

    def _tick(self) -> None:
        now = self.now()
        if self._record is not None:
            if now >= self._record.due:
                self._do(self._record.tick(now))
            self._watch(now)
        self._council(self.council.tick(now))
        within = TICK if self._record is None else min(TICK, max(5.0, self._record.due - now))
        self._loop.call_later(within / 1000.0, self._tick)

    def _watch(self, now: float) -> None:
        """Whether this process leads, with all that was agreed before in force here."""
        record = self._record
        leads = (
            record.leads
            and record.term_at(record.commit) == record.term
            and record.machine.last >= record.commit
        )
        if leads and (not self._led or self.council.term != record.term):
            self._led = True
            self._take_state()
            self._council(self.council.lead(now, record.term))
            self._council(self.council.enrol(now, self.roster()))
        elif self._led and not record.leads:
            self._led = False
            self._council(self.council.step_down())
            self._lines.clear()

    @property
    def leads(self) -> bool:
        return self._led and self._record is not None and self._record.leads

    # The record

    def raft(self, link: Link, head: dict, raw: bytes) -> None:
        if self._record is None:
            return
        try:
            word = self._words.decode(raw)
        except msgspec.MsgspecError:
            self._log.say("word_passed_over", sender=link.peer)
            return
        self._do(self._record.heard(self.now(), head["from"], head["birth"], word))
        self._watch(self.now())

    def _do(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case record_core.Send(to, word):
                    link = self.ways.link(to)
                    if link is not None:
                        link.send(
                            {"op": "raft", "from": self.me, "birth": self._birth}, msgspec.json.encode(word)
                        )
                case record_core.Store(number, deeds):
                    self._disk.write(self._folder.puts(deeds)).add_done_callback(
                        lambda future, number=number: self._stored(number, future)
                    )
                case record_core.Answer(number, yes, index, why):
                    future = self._answers.pop(number, None)
                    if future is not None and not future.done():
                        future.set_result((yes, index, why))
                case record_core.Settled():
                    self._take_state()
                case record_core.Said(event, facts):
                    self._log.say(event, **facts)

    def _stored(self, number: int, future: asyncio.Future) -> None:
        problem = future.exception()
        if problem is None:
            self._do(self._record.stored(self.now(), number))
        else:
            self._do(self._record.failed(self.now(), repr(problem)))
            self._loop.call_later(1.0, lambda: self._do(self._record.rewrite()))
        self._watch(self.now())

    async def _offer(self, data: bytes | None) -> tuple[bool, int, str] | None:
        """None where it is not known what came of it."""
        number, effects = self._record.offer(self.now(), data)
        future = self._answers[number] = self._loop.create_future()
        self._do(effects)
        try:
            async with asyncio.timeout(OFFER / 1000.0):
                return await future
        except TimeoutError:
            self._record.drop(number)
            return None
        finally:
            self._answers.pop(number, None)

    def roster(self) -> list[str]:
        value = self._record.machine.values.get(ROSTER) if self._record else None
        return orjson.loads(value.data) if value else []

    def _take_state(self) -> None:
        """What the record adds up to now."""
        machine, now = self._record.machine, self.now()
        value = machine.values.get(CONFIG)
        if value is not None and value.index != self._config_index:
            self._config_index, self.state = value.index, book.State.load(value.data)
            self._council(
                self.council.configured(now, {"revision": self.state.revision, "doc": self.state.doc})
            )
        if self.roster() != self.council.roster:
            self._council(self.council.enrol(now, self.roster()))

    def _refused(self, name: str) -> None:
        if self._record is not None:
            self._record.over(self.now(), name)
            self._council(self.council.over(self.now(), name))

    # The council

    def _council(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case News(to, word):
                    line = self._lines.get(to)
                    if line is not None:
                        line.send(word)
                case Register(name):
                    self._loop.create_task(self._register(name))
                case Done(token, all):
                    future = self._done.pop(token, None)
                    if future is not None and not future.done():
                        future.set_result(all)
                case _:
                    self._log.say(effect.event, **effect.facts)

    async def _register(self, name: str) -> None:
        """Into the roster of stores, after what stands there."""
        while self.leads and name not in self.roster():
            value = self._record.machine.values.get(ROSTER)
            after = value.index if value else 0
            await self._offer(put(ROSTER, orjson.dumps(sorted([*self.roster(), name])), after))

    def join(self, link: Link, head: dict) -> None:
        if not self.leads or head["least"] > self.council.term:
            hint = self._record.leader if self._record is not None else self._member.leader
            link.answer(head, {"ok": False, "leader": hint if hint != self.me else ""})
            return
        name = link.peer
        self._lines[name] = link
        link.answer(head, {"ok": True, "term": self.council.term})
        self._council(self.council.joined(self.now(), name, head))

    def renew(self, link: Link, head: dict) -> None:
        ok = self.leads and self._lines.get(link.peer) is link and head["term"] <= self.council.term
        ok = ok and self.council.renewed(self.now(), link.peer, head)
        if ok:
            link.answer(head, {"ok": True})
            self._council(self.council.acked(self.now(), link.peer, head["birth"], head["n"]))
            self._council(self.council.tick(self.now()))
        else:
            hint = self._record.leader if self._record is not None else ""
            link.answer(head, {"ok": False, "leader": hint if hint != self.me else ""})

    def ack(self, link: Link, head: dict) -> None:
        if self.leads and self._lines.get(link.peer) is link and head["term"] == self.council.term:
            self._council(self.council.acked(self.now(), link.peer, link.birth, head["n"]))

    async def _applied(self, number: int, roles: tuple[str, ...]) -> bool:
        """Whether all present members have applied news `number`; it waits a bounded time."""
        future = self._loop.create_future()
        token, effects = self.council.wait(self.now(), number, roles)
        self._done[token] = future
        self._council(effects)
        return await future

    # Calls from outside

    def handle(self, request: Request) -> Answer | Any:
        leaf, given = self.tree.find(request.method, request.path)
        if isinstance(leaf, int):
            return Answer(leaf, b'{"reason":"no such call"}')
        if not self.leads:
            return self._pass_on(request)
        return leaf(request, *given)

    def _pass_on(self, request: Request) -> Answer:
        """To the leader, where one is known."""
        leader = self._member.leader or (self._record.leader if self._record is not None else "")
        hut = self._member.view.huts.get(leader)
        if hut is None or not hut.control or leader == self.me:
            return Answer(503, b'{"reason":"no leader is known here"}', (("Retry-After", "1"),))
        target = request.target.decode("latin-1")
        return Answer(307, b"", (("Location", f"http://{hut.control}{target}"),))

    async def _beat(self, request: Request, id: str) -> Answer:
        try:
            given = orjson.loads(request.body)
            said = {
                "id": id,
                "backend": given["backend"],
                "address": given["address"],
                "zone": given["zone"],
                "revision": given.get("revision", ""),
                "capacity": int(given["capacity"]),
                "phase": given["phase"],
                "cold_ms": float(given.get("coldLeftMs", 0)),
                "count": int(given["callCount"]),
            }
            if said["phase"] not in ("ready", "draining"):
                raise ValueError(f"phase: {said['phase']!r}")
            host, _, port = said["address"].rpartition(":")
            if not host or not 0 < int(port) < 65536:
                raise ValueError(f"address: {said['address']!r}")
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as problem:
            return Answer(400, orjson.dumps({"reason": f"heartbeat: {problem!r}"}))
        number, effects = self.council.beat(self.now(), said)
        self._council(effects)
        if number and said["phase"] == "draining" and not await self._applied(number, ("store",)):
            return Answer(503, b'{"reason":"not known to all yet"}')
        if not self.leads:
            return Answer(503, b'{"reason":"leads no more"}')
        hut = self._member.view.huts.get(self.me)
        return Answer(200, orjson.dumps({"beatTarget": hut.control} if hut and hut.control else {}))

    async def _leave(self, request: Request, id: str) -> Answer:
        number, effects = self.council.left(self.now(), id)
        self._council(effects)
        if number and not await self._applied(number, ("store",)):
            return Answer(503, b'{"reason":"not known to all yet"}')
        return Answer(200, b"{}")

    async def _replace(self, request: Request) -> Answer:
        return await self._order("replace", request)

    async def _amend(self, request: Request) -> Answer:
        return await self._order("amend", request)

    async def _order(self, kind: str, request: Request) -> Answer:
        async with self._ordering:
            barrier = await self._offer(None)
            if barrier is None or not barrier[0] or not self.leads:
                return Answer(503, b'{"reason":"the core does not agree now"}', (("Retry-After", "1"),))
            index = self._config_index
            decided = book.order(self.state, kind, request.get(b"base-version"), request.body)
            if isinstance(decided, book.Reply):
                self._log.say("order", kind=kind, status=decided.status, **decided.body)
                return Answer(decided.status, orjson.dumps(decided.body))
            answer = await self._offer(put(CONFIG, decided.state.dump(), index))
        if answer is None:
            return Answer(504, b'{"reason":"not known whether it is in force"}')
        if not answer[0]:
            self._log.say("order", kind=kind, status=412, why=answer[2])
            return Answer(
                412, orjson.dumps({"reason": "another version came first", "revision": self.state.revision})
            )
        self._log.say("order", kind=kind, status=200, revision=decided.state.revision, entry=answer[1])
        if self.leads:
            await self._applied(self.council.number, ("edge", "store"))
        return Answer(200, orjson.dumps({"revision": decided.state.revision}))

    async def _read(self, request: Request) -> Answer:
        barrier = await self._offer(None)
        if barrier is None or not barrier[0]:
            return Answer(503, b'{"reason":"the core does not agree now"}', (("Retry-After", "1"),))
        if self.state.doc is None:
            return Answer(404, b'{"reason":"there is no configuration yet"}')
        return Answer(200, orjson.dumps(self.state.doc))

    def _retire(self, request: Request, node: str) -> Answer:
        return Answer(404, b'{"reason":"no such machine"}')

    def _retired(self, request: Request, node: str) -> Answer:
        return Answer(404, b'{"reason":"no such machine"}')


Handler = Callable[[Link, dict, bytes], None]
