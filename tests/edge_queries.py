"""Queries at an edge about messages, while stores leave the roster. No sockets."""

import asyncio
from types import SimpleNamespace

from sableford.control.view import SHARDS, StoreInfo, View
from sableford.edge.message_queries import MessageQueries
from sableford.store.protocol import BodyRequest, BodyResponse, MessageState, StatusResponse
from sableford.transport.link import Response
from sableford.transport.messages import PeerRequest

STORES = ("a", "b", "c", "d")
REF = "00-m"
PENDING = MessageState("pending")


def view(*stores: str) -> View:
    live = {name: StoreInfo(name, "z") for name in stores}
    return View((1, len(live)), ["a"] * SHARDS, ["a"] * SHARDS, live_stores=live, roster=list(stores))


class QueryScene:
    """Stores of which one may be lost. `a`, the owner, and `c` hold the message and are silent or away; `b`
    and `d` have never held it. The view changes after `b` has answered and before `d` does."""

    def __init__(self, before: View, after: View) -> None:
        self.member = SimpleNamespace(view=before, changed=asyncio.Event())
        self.after = after
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
                self.member.view = self.after
            is_body = isinstance(request, BodyRequest)
            return Response(BodyResponse(REF, False) if is_body else StatusResponse(None, REF), b"")

        return SimpleNamespace(call=call, incarnation=name)


def statuses(before: View, after: View, scene: type[QueryScene] = QueryScene) -> tuple[int, int]:
    """Returns the statuses of a query for the state and of one for the body."""

    async def query() -> tuple[int, int]:
        state = await scene(before, after).queries._get_state(REF)
        body = await scene(before, after).queries._get_body(REF)
        return state.status, body.status

    return asyncio.run(query())


def shows_an_answer_of_a_store_that_leaves_the_roster_does_not_make_a_message_unknown() -> None:
    # LOST (404): what suffices was counted by the roster after the answers, when fewer stores sufficed.
    assert statuses(before=view(*STORES), after=view("a", "c", "d")) == (503, 503)


def shows_a_store_that_comes_back_while_others_are_asked_is_asked_before_a_message_is_unknown() -> None:
    # LOST (404): what suffices was counted without the store that came back with the message.
    assert statuses(before=view("a", "b", "d"), after=view(*STORES)) == (503, 503)


class RestoredScene(QueryScene):
    """As `d` has answered, it gets the message, and the view shows it as complete again."""

    def link(self, name: str) -> SimpleNamespace | None:
        if name != "d" or self.member.view is not self.after:
            return super().link(name)

        async def call(request: PeerRequest, body: bytes, timeout_ms: float) -> Response:
            is_body = isinstance(request, BodyRequest)
            return Response(BodyResponse(REF, True) if is_body else StatusResponse(PENDING, REF), b"x")

        return SimpleNamespace(call=call, incarnation=name)


def shows_a_store_that_was_incomplete_as_it_was_asked_does_not_make_a_message_unknown() -> None:
    # LOST (404): whether its disk was complete was read as the answer came, when it had got the message.
    before, after = view("a", "b", "d"), view("a", "b", "d")
    before.live_stores["d"].complete = False
    assert statuses(before, after, RestoredScene) == (200, 200)
