"""Clients of the control plane: they choose a store, follow up to two 307 redirects, go on to another store
after a time-out, and repeat a call until it gets a conclusive answer."""

import asyncio
from random import Random

import orjson

from sableford.simulation.control.checker import UNRESOLVED, InvariantChecker, Order
from sableford.simulation.control.cluster import Cluster
from sableford.transport.http import HttpResponse

MAX_REDIRECTS = 2
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 100.0, 800.0  # between two attempts; doubles each time
ORDER_TIMEOUT_MS = 60_000.0  # after this time without a conclusive answer an order stays unresolved
MAX_EARLIER_ROUTES = 4  # routes in force that an amendment keeps: it removes older ones
FINAL_STATUSES = {400, 404, 409, 412, 413, 422}


class ControlClient:
    def __init__(self, cluster: Cluster, rng: Random) -> None:
        self.cluster, self.rng = cluster, rng
        self._next_address = rng.randrange(8)
        self.request_lost = False  # a request or response of the last attempt was lost in the network

    def _record_loss(self) -> None:
        self.request_lost = True

    def addresses(self) -> list[str]:
        return [one.control for one in self.cluster.stores()]

    async def call(
        self, method: str, target: str, body: bytes = b"", headers: tuple = (), first: str = ""
    ) -> HttpResponse | None:
        """One attempt: at some store, and at those that it redirects to. After a failure, the next attempt
        goes to another store."""
        addresses = self.addresses()
        address = first or addresses[self._next_address % len(addresses)]
        answer = None
        for _ in range(MAX_REDIRECTS + 1):
            answer = await self.cluster.call(address, method, target, body, headers, self._record_loss)
            if answer is None or answer.status != 307:
                break
            location = dict(answer.headers)["Location"].removeprefix("http://")
            address, _, rest = location.partition("/")
            target = f"/{rest}"
        if answer is None or answer.status == 307 or answer.status >= 500:
            self._next_address += 1
        return answer

    async def read(self, first: str = "") -> tuple[int, bytes] | None:
        """Reads the configuration in force. Returns its revision and canonical encoding, or None without an
        answer."""
        answer = await self.call("GET", "/v1/config/read", first=first)
        if answer is None or answer.status not in (200, 404):
            return None
        if answer.status == 404:
            return 0, b""
        doc = orjson.loads(answer.body)
        return doc["revision"], canonical(doc)


def canonical(doc: dict) -> bytes:
    return orjson.dumps(doc, option=orjson.OPT_SORT_KEYS)


def document(revision: int, tag: str, rng: Random) -> dict:
    """A valid configuration that no other operator sends."""
    service = f"service-{rng.randrange(3)}"
    route = {
        "name": tag,
        "hostname": "h.example",
        "pathPrefix": f"/{tag}/",
        "backend": service,
        "deadlineMs": 1000,
    }
    return {"revision": revision, "routes": [route], "backends": [{"name": service}]}


class Operator(ControlClient):
    """Repeatedly reads the configuration in force and sends an order that is based on it. Operators that act
    at the same time use the same base, and often the same revision."""

    def __init__(
        self, name: str, cluster: Cluster, rng: Random, checker: InvariantChecker, pace_ms: float
    ) -> None:
        super().__init__(cluster, rng)
        self.name, self._checker, self._pace_ms = name, checker, pace_ms
        self.stopping = False
        self._sent = 0
        self._recent_orders: list[Order] = []

    async def run(self) -> None:
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0.2, 1.8) * self._pace_ms / 1000.0)
            started_at = self.cluster.now()
            current = await self.read()
            if current is None:
                continue
            self._checker.config_read(self.name, started_at, *current)
            if self.stopping:
                return
            await self._order(*current)
            await self._repeat_earlier_order()

    async def _order(self, base: int, doc: bytes) -> None:
        self._sent += 1
        revision = base + self.rng.choice((1, 1, 2, 5))
        tag = f"{self.name}-{self._sent}"
        kind = "amend" if doc and self.rng.random() < 0.4 else "replace"
        request, result = self._request_and_result(kind, revision, tag, doc)
        order = Order(self.name, tag, kind, base, revision, result, orjson.dumps(request), self.cluster.now())
        self._checker.order_sent(order)
        await self._send(order)
        self._recent_orders = [*self._recent_orders[-3:], order]

    def _request_and_result(self, kind: str, revision: int, tag: str, doc: bytes) -> tuple[dict, bytes]:
        """Returns the body of the request and the configuration that it results in."""
        new = document(revision, tag, self.rng)
        if kind == "replace":
            return new, canonical(new)
        before = orjson.loads(doc)
        remove = [one["name"] for one in before["routes"]][:-MAX_EARLIER_ROUTES]
        remaining = [one for one in before["routes"] if one["name"] not in remove]
        upsert = {"routes": new["routes"], "backends": new["backends"]}
        change = {"revision": revision, "upsert": upsert, "remove": {"routes": remove}}
        known = {one["name"] for one in before["backends"]}
        after = before | {
            "revision": revision,
            "routes": remaining + new["routes"],
            "backends": before["backends"] + [one for one in new["backends"] if one["name"] not in known],
        }
        return change, canonical(after)

    async def _send(self, order: Order) -> None:
        """Repeats the order until it gets a conclusive answer."""
        backoff_ms = INITIAL_BACKOFF_MS
        while order.outcome is UNRESOLVED and self.cluster.now() - order.started_at < ORDER_TIMEOUT_MS:
            answer = await self._attempt(order)
            if answer is not None and (answer.status == 200 or answer.status in FINAL_STATUSES):
                self._checker.order_answered(order, answer.status, answer.body)
                return
            await asyncio.sleep(backoff_ms / 1000.0)
            backoff_ms = min(backoff_ms * 2.0, MAX_BACKOFF_MS)

    async def _attempt(self, order: Order) -> HttpResponse | None:
        headers = ((b"base-version", str(order.base).encode()),)
        self.request_lost = False
        answer = await self.call("POST", f"/v1/config/{order.kind}", order.body, headers)
        if self.request_lost:
            order.waiting_ms = 0.0
        return answer

    async def _repeat_earlier_order(self) -> None:
        """Sends an answered order once more, as a client does whose answer was lost on the way back."""
        if not self._recent_orders or self.rng.random() > 0.2:
            return
        order = self.rng.choice(self._recent_orders)
        answer = await self._attempt(order)
        if answer is not None:
            self._checker.order_repeated(order, answer.status, answer.body)


class RetirementClient(ControlClient):
    """Requests that a store be emptied and waits until it is."""

    async def retire(self, node: str, timeout_ms: float = 40_000.0) -> str:
        """Returns `complete`, the status of a rejection, or `not in time`."""
        deadline, started = self.cluster.now() + timeout_ms, False
        while self.cluster.now() < deadline:
            if not started:
                answer = await self.call("POST", f"/v1/retire/{node}/start", b'{"withinS":10}')
                if answer is not None and answer.status in (404, 409):
                    return str(answer.status)
                started = answer is not None and answer.status == 200
            else:
                answer = await self.call("GET", f"/v1/retire/{node}/read")
                if answer is not None and b'"complete"' in answer.body:
                    return "complete"
            await asyncio.sleep(0.3)
        return "not in time"
