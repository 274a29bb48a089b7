"""Clients that reuse each connection until it closes, whatever happens to the process behind it."""

import asyncio
import json
from random import Random

from tests.soaking.configurations import FINAL_KEY, HOSTNAME, is_fifo, is_public, path_prefix
from tests.soaking.connection import Connection, EndedError, Response, request_bytes
from tests.soaking.fleet import PUBLIC_PORT, Fleet, Node
from tests.soaking.history import History, Incarnation, SentMessage, StateQuery, now
from tests.soaking.plan import ROUTES, TENANTS
from tests.soaking.workers import POISON

RESPONSE_TIMEOUT_S = 30.0  # for a response; far beyond any time limit of the system
PAUSE_S = (0.01, 0.25)
RETRY_PAUSE_S = 0.05
ORDER_KEYS = 5
MAX_BODY_BYTES = 5000
STATE_QUERY_SHARE, RECENT_MESSAGES = 0.15, 8
SPLIT_REQUEST_SHARE, SPLIT_PAUSE_S = 0.1, (0.01, 1.5)
POISON_SHARE, UNKNOWN_KEY_SHARE, DELAYED_SHARE = 0.05, 0.05, 0.2
KEEP_CONNECTION_SHARE = 0.97  # otherwise the client closes it after a response


class Client:
    def __init__(self, client_pool: "ClientPool", number: int) -> None:
        self.client_pool, self.number, self.message_count = client_pool, number, 0
        self.random = Random(f"client {client_pool.seed} {number}")
        self._connection: Connection | None = None
        self._node: Node | None = None
        self._incarnation: Incarnation | None = None
        self._accepted_messages: list[SentMessage] = []

    async def run(self) -> None:
        while self.client_pool.is_running:
            if self._connection is None:
                await self.connect(self.random.choice(self.client_pool.fleet.edges))
                continue
            if self._accepted_messages and self.random.random() < STATE_QUERY_SHARE:
                await self._query_state(self.random.choice(self._accepted_messages[-RECENT_MESSAGES:]))
            else:
                await self.send(self.next_message())
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
        self.disconnect()

    def is_connected(self) -> bool:
        return self._connection is not None

    async def connect(self, node: Node) -> None:
        """Connects unless already connected; does nothing but wait if the connection is refused."""
        if self._connection is not None:
            return
        incarnation = node.incarnation
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                self._connection = await Connection.open(node.host, PUBLIC_PORT)
        except (OSError, TimeoutError):
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        if node.incarnation is not incarnation:  # restarted meanwhile: either process may have accepted
            self.disconnect()
            return
        self._node, self._incarnation = node, incarnation

    def next_message(self) -> SentMessage:
        """Generates the next message."""
        random, node = self.random, self._node
        assert node is not None
        self.message_count += 1
        number = random.randrange(ROUTES)
        kind = random.choice(POISON) if random.random() < POISON_SHARE else "plain"
        order_key = f"k{random.randrange(ORDER_KEYS)}" if is_fifo(number) else ""
        delayed = not order_key and random.random() < DELAYED_SHARE
        return SentMessage(
            id=f"m{self.number}.{kind}.{self.message_count}",
            edge=node.name,
            method="POST",
            path=f"{path_prefix(number)}{random.randrange(100)}?q={self.message_count}",
            body=random.randbytes(random.randrange(MAX_BODY_BYTES) if random.random() < 0.3 else 40),
            key=self._key(number),
            order_key=order_key,
            delay_ms=random.randrange(100, 1500) if delayed else 0.0,
            sent_at=0.0,
        )

    def always_valid_message(self) -> SentMessage:
        """Generates a message that every configuration allows and every worker handles successfully."""
        assert self._node is not None
        self.message_count += 1
        id, key = f"m{self.number}.plain.{self.message_count}", f"tenant-0.{FINAL_KEY}"
        return SentMessage(id, self._node.name, "POST", f"{path_prefix(0)}sure", b"", key, "", 0.0, 0.0)

    def _key(self, route: int) -> str:
        """A key of a recent configuration, in force or not; sometimes a key that never existed, or none."""
        random = self.random
        if random.random() < UNKNOWN_KEY_SHARE:
            return random.choice(("", f"tenant-{random.randrange(TENANTS)}.never"))
        if is_public(route) and random.random() < 0.5:
            return ""
        version = random.choice(self.client_pool.history.versions[-4:])
        keys = [key for tenant in version.document["tenants"] for key in tenant["apiKeys"]]
        return random.choice(keys) if keys else ""

    async def send(self, message: SentMessage) -> None:
        headers = {"Host": HOSTNAME, "Attempt-Id": message.id}
        if message.key:
            headers["Authorization"] = f"Token {message.key}"
        if message.order_key:
            headers["Order-Key"] = message.order_key
        if message.delay_ms:
            headers["Delay-Ms"] = str(int(message.delay_ms))
        message.sent_at = now()
        self.client_pool.history.messages[message.id] = message
        response = await self._request(message.id, request_bytes("POST", message.path, headers, message.body))
        message.responded_at = now()
        if response is None:
            return
        message.responded_at, message.status = response.responded_at, response.status
        message.ref = response.headers.get("message-ref", message.id)
        if message.accepted:
            self._accepted_messages.append(message)
        if response.closes or self.random.random() > KEEP_CONNECTION_SHARE:
            await self._read_until_closed(message.id, response.closes)

    async def _query_state(self, message: SentMessage) -> None:
        """Queries an earlier message's state on the same connection, with the key that it was sent with."""
        headers = {"Host": HOSTNAME}
        if message.key:
            headers["Authorization"] = f"Token {message.key}"
        query = StateQuery(message.id, now())
        response = await self._request(
            message.id, request_bytes("GET", f"/v1/message/{message.ref}", headers)
        )
        if response is None:
            return
        query.status, query.responded_at = response.status, response.responded_at
        if response.status == 200:
            state = json.loads(response.body)
            query.phase, query.seal = state["phase"], state.get("seal", "")
        self.client_pool.history.state_queries.append(query)
        if response.closes:
            await self._read_until_closed(message.id, True)

    async def _request(self, id: str, request: bytes) -> Response | None:
        """Returns None, and disconnects, if there was no complete response."""
        assert self._connection is not None and self._node is not None
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                return await self._connection.send_request(request, self._split_pause())
        except EndedError as error:
            self._check_end(f"{id} at {self._node.name}", error)
        except TimeoutError:
            text = f"{id} at {self._node.name}: neither response nor close within {RESPONSE_TIMEOUT_S:.0f} s"
            self.client_pool.history.add_violation(text)
        self.disconnect()
        return None

    def _split_pause(self) -> float:
        """The pause between the two halves of a request that is sent in two parts; 0 for most requests."""
        return self.random.uniform(*SPLIT_PAUSE_S) if self.random.random() < SPLIT_REQUEST_SHARE else 0.0

    def _check_end(self, context: str, error: EndedError) -> None:
        """Checks that a request that was read got a complete response, unless its process was killed."""
        incarnation, history = self._incarnation, self.client_pool.history
        history.add_event(f"{context}: {error}")
        was_killed = incarnation is None or incarnation.received("KILL", "STOP")
        if error.partial_response and not was_killed:
            history.add_violation(f"MIXED {context}: incomplete response: {error.partial_response[:80]!r}")
        if error.request_read and not was_killed:
            history.add_violation(f"LOST {context}: its request was read, then the connection closed")

    async def _read_until_closed(self, context: str, closes: bool) -> None:
        """Checks that nothing follows a response with `Connection: close` except the end of the stream."""
        if closes and self._connection is not None:
            try:
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    rest = await self._connection.read_to_end()
            except TimeoutError:
                self.client_pool.history.add_violation(f"{context}: still open after Connection: close")
                rest = b""
            if rest:
                self.client_pool.history.add_violation(
                    f"MIXED {context}: unexpected bytes after its response: {rest[:80]!r}"
                )
        self.disconnect()

    def disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


class ClientPool:
    def __init__(self, fleet: Fleet, history: History, seed: int, clients: int) -> None:
        self.fleet, self.history, self.seed = fleet, history, seed
        self.is_running = True
        self.clients = [Client(self, number) for number in range(clients)]

    async def run(self) -> None:
        await asyncio.gather(*(client.run() for client in self.clients))

    async def wait_until_all_edges_accept(self) -> None:
        """Waits until every edge accepts a message again after the last fault."""
        await asyncio.gather(*(self._wait_until_accepted(node) for node in self.fleet.edges))

    async def _wait_until_accepted(self, node: Node) -> None:
        client = Client(self, len(self.clients))
        self.clients.append(client)
        message = None
        while message is None or not message.accepted:
            await client.connect(node)
            if client.is_connected():
                message = client.always_valid_message()
                await client.send(message)
            await asyncio.sleep(RETRY_PAUSE_S)
        client.disconnect()
