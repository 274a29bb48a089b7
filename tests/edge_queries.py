"""Queries at an edge about messages, while stores leave the roster. No sockets."""

import asyncio
from types import SimpleNamespace

from sableford.control.view import SHARDS, StoreInfo, View
from sableford.edge.message_queries import MessageQueries
from sableford.store.protocol import BodyRequest, BodyResponse, StatusResponse
from sableford.transport.link import Response
from sableford.transport.messages import PeerRequest

STORES = ("a", "b", "c", "d")
REF = "00-m"


def view(*stores: str) -> View:
    live = {name: StoreInfo(name, "z") for name in stores}
    return View((1, len(live)), ["a"] * SHARDS, ["a"] * SHARDS, live_stores=live, roster=list(stores))


class QueryScene:
    """Four stores, of which one may be lost. `a`, the owner, and `c` hold the message and are silent. `b`
    answers and is taken off the roster before `d` answers; neither of these two has ever held the message."""

    def __init__(self) -> None:
        self.member = SimpleNamespace(view=view(*STORES), changed=asyncio.Event())
        tolerates = SimpleNamespace(machine_loss=1)
        self.now = 0.0
        runtime = SimpleNamespace(
            links=SimpleNamespace(responsive_link=self.link),
            member=self.member,
            settings=SimpleNamespace(tolerates=tolerates),
            now=self.read_clock,
        )
        self.queries = MessageQueries(runtime, lambda: True)

    def read_clock(self) -> float:
        self.now += 400.0
        return self.now

    def link(self, name: str) -> SimpleNamespace | None:
        if name not in ("b", "d"):
            return None

        async def call(request: PeerRequest, body: bytes, timeout_ms: float) -> Response:
            if name == "d":
                self.member.view = view("a", "c", "d")
            is_body = isinstance(request, BodyRequest)
            return Response(BodyResponse(REF, False) if is_body else StatusResponse(None, REF), b"")

        return SimpleNamespace(call=call, incarnation=name)


def shows_an_answer_of_a_store_that_leaves_the_roster_does_not_make_a_message_unknown() -> None:
    # LOST (404): what suffices was counted by the roster after the answers, when fewer stores sufficed.
    async def status_and_body() -> tuple[int, int]:
        status = await QueryScene().queries._get_state(REF)
        body = await QueryScene().queries._get_body(REF)
        return status.status, body.status

    assert asyncio.run(status_and_body()) == (503, 503)
