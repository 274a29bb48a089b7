"""Clients that go on using their connections until those are gone, whatever becomes of the process."""

import asyncio
import json
from random import Random

from tests.soaking.configurations import FINAL_KEY, HOSTNAME, is_fifo, is_public, path_prefix
from tests.soaking.connection import Connection, EndedError, Response, request_bytes
from tests.soaking.fleet import PUBLIC, Fleet, Node
from tests.soaking.plan import ROUTES, TENANTS
from tests.soaking.record import Asked, Life, Record, Sent, now
from tests.soaking.workers import POISON

HUNG_S = 30.0  # for an answer; far beyond any bound of the system
PAUSE_S = (0.01, 0.25)
REFUSED_PAUSE_S = 0.05
ORDER_KEYS = 5
LARGEST_BODY = 5000
SHARE_OF_ASKED, LATELY = 0.15, 8
SHARE_OF_HALVES, HALVES_S = 0.1, (0.01, 1.5)
SHARE_OF_POISON, SHARE_OF_STRANGERS, SHARE_OF_DELAYED = 0.05, 0.05, 0.2
CONNECTIONS_KEPT_SHARE = 0.97  # a client leaves its connection by itself now and then


class Client:
    def __init__(self, crowd: "Crowd", number: int) -> None:
        self.crowd, self.number, self.count = crowd, number, 0
        self.random = Random(f"client {crowd.seed} {number}")
        self._connection: Connection | None = None
        self._node: Node | None = None
        self._life: Life | None = None
        self._taken: list[Sent] = []  # its accepted messages

    async def run(self) -> None:
        while self.crowd.is_going:
            if self._connection is None:
                await self.connect(self.random.choice(self.crowd.fleet.edges))
                continue
            if self._taken and self.random.random() < SHARE_OF_ASKED:
                await self._ask_for_state(self.random.choice(self._taken[-LATELY:]))
            else:
                await self.exchange(self.draw())
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
        self.leave()

    def is_connected(self) -> bool:
        return self._connection is not None

    async def connect(self, node: Node) -> None:
        """Unless it is already there, or nobody listens."""
        if self._connection is not None:
            return
        life = node.life
        try:
            async with asyncio.timeout(HUNG_S):
                self._connection = await Connection.open(node.host, PUBLIC)
        except (OSError, TimeoutError):
            await asyncio.sleep(REFUSED_PAUSE_S)
            return
        if node.life is not life:  # either life may have taken it
            self.leave()
            return
        self._node, self._life = node, life

    def draw(self) -> Sent:
        """The next message."""
        random, node = self.random, self._node
        assert node is not None
        self.count += 1
        number = random.randrange(ROUTES)
        kind = random.choice(POISON) if random.random() < SHARE_OF_POISON else "plain"
        order_key = f"k{random.randrange(ORDER_KEYS)}" if is_fifo(number) else ""
        delayed = not order_key and random.random() < SHARE_OF_DELAYED
        return Sent(
            id=f"m{self.number}.{kind}.{self.count}",
            edge=node.name,
            method="POST",
            path=f"{path_prefix(number)}{random.randrange(100)}?q={self.count}",
            body=random.randbytes(random.randrange(LARGEST_BODY) if random.random() < 0.3 else 40),
            key=self._key(number),
            order_key=order_key,
            delay_ms=random.randrange(100, 1500) if delayed else 0.0,
            sent_at=0.0,
        )

    def draw_sure(self) -> Sent:
        """One that each configuration in force allows and any worker can do."""
        assert self._node is not None
        self.count += 1
        id, key = f"m{self.number}.plain.{self.count}", f"tenant-0.{FINAL_KEY}"
        return Sent(id, self._node.name, "POST", f"{path_prefix(0)}sure", b"", key, "", 0.0, 0.0)

    def _key(self, route: int) -> str:
        """Of any configuration so far, in force or not; at times one that nobody ever held, or none."""
        random = self.random
        if random.random() < SHARE_OF_STRANGERS:
            return random.choice(("", f"tenant-{random.randrange(TENANTS)}.never"))
        if is_public(route) and random.random() < 0.5:
            return ""
        version = random.choice(self.crowd.record.versions[-4:])
        keys = [key for one in version.document["tenants"] for key in one["apiKeys"]]
        return random.choice(keys) if keys else ""

    async def exchange(self, sent: Sent) -> None:
        fields = {"Host": HOSTNAME, "Attempt-Id": sent.id}
        if sent.key:
            fields["Authorization"] = f"Token {sent.key}"
        if sent.order_key:
            fields["Order-Key"] = sent.order_key
        if sent.delay_ms:
            fields["Delay-Ms"] = str(int(sent.delay_ms))
        sent.sent_at = now()
        self.crowd.record.sent[sent.id] = sent
        answer = await self._answer_to(sent.id, request_bytes("POST", sent.path, fields, sent.body))
        sent.answered_at = now()
        if answer is None:
            return
        sent.answered_at, sent.status = answer.answered_at, answer.status
        sent.ref = answer.fields.get("message-ref", sent.id)
        if sent.accepted:
            self._taken.append(sent)
        if answer.closes or self.random.random() > CONNECTIONS_KEPT_SHARE:
            await self._read_to_the_end(sent.id, answer.closes)

    async def _ask_for_state(self, sent: Sent) -> None:
        """What became of an earlier message, on the same connection, with the key that it was sent with."""
        fields = {"Host": HOSTNAME}
        if sent.key:
            fields["Authorization"] = f"Token {sent.key}"
        asked = Asked(sent.id, now())
        answer = await self._answer_to(sent.id, request_bytes("GET", f"/v1/message/{sent.ref}", fields))
        if answer is None:
            return
        asked.status, asked.answered_at = answer.status, answer.answered_at
        if answer.status == 200:
            state = json.loads(answer.body)
            asked.phase, asked.seal = state["phase"], state.get("seal", "")
        self.crowd.record.asked.append(asked)
        if answer.closes:
            await self._read_to_the_end(sent.id, True)

    async def _answer_to(self, id: str, request: bytes) -> Response | None:
        """None where there was none; the connection is left then."""
        assert self._connection is not None and self._node is not None
        try:
            async with asyncio.timeout(HUNG_S):
                return await self._connection.ask(request, self._pause())
        except EndedError as problem:
            self._ended(f"{id} at {self._node.name}", problem)
        except TimeoutError:
            text = f"{id} at {self._node.name}: no answer and no end in {HUNG_S:.0f} s"
            self.crowd.record.problem(text)
        self.leave()
        return None

    def _pause(self) -> float:
        """Some requests come in two halves."""
        return self.random.uniform(*HALVES_S) if self.random.random() < SHARE_OF_HALVES else 0.0

    def _ended(self, what: str, problem: EndedError) -> None:
        """A request that was read is answered whole, unless its process was killed."""
        life, record = self._life, self.crowd.record
        record.event(f"{what}: {problem}")
        was_killed = life is None or life.got("KILL", "STOP")
        if problem.part and not was_killed:
            record.problem(f"MIXED {what}: a part of an answer: {problem.part[:80]!r}")
        if problem.was_read and not was_killed:
            record.problem(f"LOST {what}: its request was read, and then the connection ended")

    async def _read_to_the_end(self, what: str, closes: bool) -> None:
        """Behind an answer that ends the connection comes nothing but its end."""
        if closes and self._connection is not None:
            try:
                async with asyncio.timeout(HUNG_S):
                    rest = await self._connection.rest()
            except TimeoutError:
                self.crowd.record.problem(f"{what}: no end behind Connection: close")
                rest = b""
            if rest:
                self.crowd.record.problem(f"MIXED {what}: behind its answer: {rest[:80]!r}")
        self.leave()

    def leave(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


class Crowd:
    def __init__(self, fleet: Fleet, record: Record, seed: int, clients: int) -> None:
        self.fleet, self.record, self.seed = fleet, record, seed
        self.is_going = True
        self.clients = [Client(self, number) for number in range(clients)]

    async def run(self) -> None:
        await asyncio.gather(*(client.run() for client in self.clients))

    async def accepted_everywhere(self) -> None:
        """Once all trouble is over each edge accepts a message again."""
        await asyncio.gather(*(self._accepted_at(node) for node in self.fleet.edges))

    async def _accepted_at(self, node: Node) -> None:
        client = Client(self, len(self.clients))
        self.clients.append(client)
        sent = None
        while sent is None or not sent.accepted:
            await client.connect(node)
            if client.is_connected():
                sent = client.draw_sure()
                await client.exchange(sent)
            await asyncio.sleep(REFUSED_PAUSE_S)
        client.leave()
