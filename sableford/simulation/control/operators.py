"""Callers of the control side: they choose among the stores, follow 307 twice, go on after silence, and send
the same call again until its answer is clear."""

import asyncio
from random import Random

import orjson

from sableford.simulation.control.cluster import Cluster
from sableford.simulation.control.judges import OPEN, Judges, Order
from sableford.transport.http import HttpResponse

REDIRECTS = 2
PAUSE_MS, MOST_PAUSE_MS = 100.0, 800.0  # between two tries, doubling
GIVE_UP_MS = 60_000.0  # an order that got no clear answer for so long stays open
KEPT_ROUTES = 4  # of those in force: amendments remove older ones
FINAL = {400, 404, 409, 412, 413, 422}


class Caller:
    def __init__(self, cluster: Cluster, chance: Random) -> None:
        self.cluster, self.chance = cluster, chance
        self._turn = chance.randrange(8)
        self.harmed = False  # a call of late was lost on its way

    def _harm(self) -> None:
        self.harmed = True

    def addresses(self) -> list[str]:
        return [one.control for one in self.cluster.stores()]

    async def call(
        self, method: str, target: str, body: bytes = b"", headers: tuple = (), first: str = ""
    ) -> HttpResponse | None:
        """One try: at some store, and where that one sends it on to. After a failure it is another's turn."""
        addresses = self.addresses()
        address = first or addresses[self._turn % len(addresses)]
        answer = None
        for _ in range(REDIRECTS + 1):
            answer = await self.cluster.call(address, method, target, body, headers, self._harm)
            if answer is None or answer.status != 307:
                break
            location = dict(answer.headers)["Location"].removeprefix("http://")
            address, _, rest = location.partition("/")
            target = f"/{rest}"
        if answer is None or answer.status == 307 or answer.status >= 500:
            self._turn += 1
        return answer

    async def read(self, first: str = "") -> tuple[int, bytes] | None:
        """The configuration in force: its revision and its canonical bytes; none where it did not come."""
        answer = await self.call("GET", "/v1/config/read", first=first)
        if answer is None or answer.status not in (200, 404):
            return None
        if answer.status == 404:
            return 0, b""
        doc = orjson.loads(answer.body)
        return doc["revision"], canonical(doc)


def canonical(doc: dict) -> bytes:
    return orjson.dumps(doc, option=orjson.OPT_SORT_KEYS)


def document(revision: int, tag: str, chance: Random) -> dict:
    """A proper configuration that nobody else sends."""
    service = f"service-{chance.randrange(3)}"
    route = {
        "name": tag,
        "hostname": "h.example",
        "pathPrefix": f"/{tag}/",
        "backend": service,
        "deadlineMs": 1000,
    }
    return {"revision": revision, "routes": [route], "backends": [{"name": service}]}


class Operator(Caller):
    """Reads what is in force and sends an order on top of it, over and over. Operators that act at the same
    moment meet on the same base, and often on the same number."""

    def __init__(self, name: str, cluster: Cluster, chance: Random, judges: Judges, pace_ms: float) -> None:
        super().__init__(cluster, chance)
        self.name, self._judges, self._pace_ms = name, judges, pace_ms
        self.stopping = False
        self._sent = 0
        self._past: list[Order] = []

    async def run(self) -> None:
        while not self.stopping:
            await asyncio.sleep(self.chance.uniform(0.2, 1.8) * self._pace_ms / 1000.0)
            began = self.cluster.now()
            found = await self.read()
            if found is None:
                continue
            self._judges.read(self.name, began, *found)
            if self.stopping:
                return
            await self._order(*found)
            await self._repeat_old()

    async def _order(self, base: int, doc: bytes) -> None:
        self._sent += 1
        revision = base + self.chance.choice((1, 1, 2, 5))
        tag = f"{self.name}-{self._sent}"
        kind = "amend" if doc and self.chance.random() < 0.4 else "replace"
        given, result = self._contents(kind, revision, tag, doc)
        order = Order(self.name, tag, kind, base, revision, result, orjson.dumps(given), self.cluster.now())
        self._judges.ordered(order)
        await self._send(order)
        self._past = [*self._past[-3:], order]

    def _contents(self, kind: str, revision: int, tag: str, doc: bytes) -> tuple[dict, bytes]:
        """What is sent, and what is then in force."""
        new = document(revision, tag, self.chance)
        if kind == "replace":
            return new, canonical(new)
        before = orjson.loads(doc)
        remove = [one["name"] for one in before["routes"]][:-KEPT_ROUTES]
        kept = [one for one in before["routes"] if one["name"] not in remove]
        upsert = {"routes": new["routes"], "backends": new["backends"]}
        change = {"revision": revision, "upsert": upsert, "remove": {"routes": remove}}
        known = {one["name"] for one in before["backends"]}
        after = before | {
            "revision": revision,
            "routes": kept + new["routes"],
            "backends": before["backends"] + [one for one in new["backends"] if one["name"] not in known],
        }
        return change, canonical(after)

    async def _send(self, order: Order) -> None:
        """Until its answer is clear."""
        pause = PAUSE_MS
        while order.outcome is OPEN and self.cluster.now() - order.began < GIVE_UP_MS:
            answer = await self._try(order)
            if answer is not None and (answer.status == 200 or answer.status in FINAL):
                self._judges.answered(order, answer.status, answer.body)
                return
            await asyncio.sleep(pause / 1000.0)
            pause = min(pause * 2.0, MOST_PAUSE_MS)

    async def _try(self, order: Order) -> HttpResponse | None:
        headers = ((b"base-version", str(order.base).encode()),)
        self.harmed = False
        answer = await self.call("POST", f"/v1/config/{order.kind}", order.body, headers)
        if self.harmed:
            order.waited = 0.0
        return answer

    async def _repeat_old(self) -> None:
        """As one whose answer was lost on its last leg: an order that was taken is sent once more."""
        if not self._past or self.chance.random() > 0.2:
            return
        order = self.chance.choice(self._past)
        answer = await self._try(order)
        if answer is not None:
            self._judges.repeated(order, answer.status, answer.body)


class Retirer(Caller):
    """Asks for one store to be emptied and waits until it is."""

    async def retire(self, node: str, within_ms: float = 40_000.0) -> str:
        """`complete`, or what else came of it."""
        until, begun = self.cluster.now() + within_ms, False
        while self.cluster.now() < until:
            if not begun:
                answer = await self.call("POST", f"/v1/retire/{node}/start", b'{"withinS":10}')
                if answer is not None and answer.status in (404, 409):
                    return str(answer.status)
                begun = answer is not None and answer.status == 200
            else:
                answer = await self.call("GET", f"/v1/retire/{node}/read")
                if answer is not None and b'"complete"' in answer.body:
                    return "complete"
            await asyncio.sleep(0.3)
        return "not in time"
