"""Requests that a process must not answer: at an edge whose configuration may be out of date, and at a store
that is not the leader.
"""

import asyncio

from sableford.control.member_client import FIND_INTERVAL_MS, MemberClient
from sableford.control.protocol import JoinResponse
from sableford.control.timing import LEASE_MS, QUORUM_FRESH_MS
from sableford.control.view import StoreInfo
from sableford.transport.http import HttpRequest
from sableford.transport.link import Response
from sableford.transport.messages import PeerRequest
from tests.control_member import STATUS, NullLog
from tests.control_service import call, start_control
from tests.edge_gateway import ScriptedStore, make_edge, send
from tests.memory_network import simulated


def shows_an_edge_without_a_leader_ends_serving_while_no_newer_version_binds_it() -> None:
    async def scene(apply_ms: float) -> None:
        gate = make_edge({"s0": ScriptedStore()})
        gate.runtime.settings.rule_bounds.apply_ms = apply_ms
        gate.runtime.ending = asyncio.Event()
        gate.member.configuration_lease = LEASE_MS  # granted in answer to a renewal sent at 0
        # The next leader may have been elected QUORUM_FRESH_MS before that, and a newer version acknowledged
        # at once.
        end = apply_ms - QUORUM_FRESH_MS
        gate.runtime.now = lambda: end - 1.0
        assert gate.is_ready() and send(gate, "/none/").status == 404
        gate.runtime.now = lambda: end + 1.0
        answer = send(gate, "/none/")
        assert not gate.is_ready() and answer.status == 503 and dict(answer.headers)["Retry-After"]

    for apply_ms in (3000.0, 1500.0, 900.0):
        simulated(lambda loop, apply_ms=apply_ms: scene(apply_ms))


def shows_a_store_redirects_to_no_leader_that_has_not_responded_recently() -> None:
    async def scene() -> None:
        control, clock = start_control()
        control._host.member.leader = "s01"
        control._host.member.view.live_stores["s01"] = StoreInfo("b", "z", control="10.0.0.1:80")
        answer = await call(control, clock, "GET", "/v1/config/read")
        assert answer.status == 503 and dict(answer.headers)["Retry-After"]
        control.links.responsive_link = lambda name: object()
        answer = await call(control, clock, "GET", "/v1/config/read")
        assert (answer.status, dict(answer.headers)["Location"]) == (307, "http://10.0.0.1:80/v1/config/read")
        assert control.handle(HttpRequest("GET", b"/v1/none", [], b"", True)).status == 404

    asyncio.run(scene())


class ReferringLink:
    """A link to a member that names another one as the leader."""

    def __init__(self, leader: str) -> None:
        self.leader, self.request_count = leader, 0

    def request(self, message: PeerRequest) -> asyncio.Future:
        self.request_count += 1
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        loop.call_later(0.001, future.set_result, Response(JoinResponse(False, leader=self.leader)))
        return future


class ReferringPool:
    """Two members, each of which names the other as the leader."""

    def __init__(self) -> None:
        self.links = {"a": ReferringLink("b"), "b": ReferringLink("a")}

    def set_peers(self, names: set[str]) -> None: ...

    def names(self) -> list[str]:
        return list(self.links)

    def responsive_link(self, name: str) -> ReferringLink:
        return self.links[name]


def shows_two_members_that_name_each_other_as_leader_are_not_asked_endlessly() -> None:
    async def scene() -> int:
        pool = ReferringPool()
        member = MemberClient(pool, "me", lambda: STATUS, lambda: ["a"], NullLog())
        finding = asyncio.create_task(member.find_leader())
        await asyncio.sleep(1.0)
        finding.cancel()
        return sum(link.request_count for link in pool.links.values())

    assert simulated(lambda loop: scene()) <= 4 * 1000.0 / FIND_INTERVAL_MS
