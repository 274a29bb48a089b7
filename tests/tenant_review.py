"""Faults found in a review of tenants and duties: counts of stores that rejoin, a platform that does not
answer, and malformed amendments."""

import asyncio

from sableford.control.configuration import InvalidRequestError, amended
from sableford.control.timing import LEASE_MS
from sableford.duties.assignment import Call, DutyAssignment
from sableford.duties.duty_holder import DutyHolder
from sableford.duties.messages import DutyNotice
from sableford.duties.platform_client import CallOutcome, Verdict
from sableford.duties.usage_ledger import LATE_FRACTION
from tests.control_service import reelect
from tests.duties import Members, with_holder
from tests.duty_platform import CALL, OK, PlatformStub, run_with_stub
from tests.tenant_configuration import KEY, OpenConnection, document, on_a_connection, tenant

USAGE_LATE_MS = 10_000.0  # `usageLateS` of the deployments with duties


# Guards against a window that is sealed without the counts of a store that lost its lease for a moment and
# rejoined long before the window was late.
def shows_a_window_waits_for_a_store_that_lost_its_lease_in_it() -> None:
    async def scene() -> None:
        members = Members()
        holder = await with_holder(members)
        window = members.state.sealed_until + 1
        away, *others = sorted(members.peers, key=lambda name: name == holder)
        for name in members.peers:
            members.renew(name, usage={window: {"t": 2}}, usage_settled=window - 1)
        for _ in range(3):
            members.clock[0] += LEASE_MS / 2.0
            for name in others:
                members.renew(name)
            members.control.tick()
            await asyncio.sleep(0)
        assert away not in members.control.coordinator.members
        for name in others:
            members.renew(name, usage={window: {"t": 3}}, usage_settled=window)
        for _ in range(10):
            members.control.tick()
            await asyncio.sleep(0)
        members.join(away, usage={window: {"t": 4}}, usage_settled=window)
        await members.run(lambda: members.state.sealed_until == window)
        assert members.state.sealed == {window: {"t": 10}}, members.state.sealed

    asyncio.run(scene())


# Guards against a new leader that seals a window without a store that joins it a little later.
def shows_a_new_leader_seals_no_window_without_a_store_that_joins_a_moment_later() -> None:
    async def scene() -> None:
        members = Members()
        await with_holder(members)
        window = members.state.sealed_until + 1
        assert await reelect(members.control, members.clock)
        for name in ("s00", "s01"):
            members.join(name, usage={window: {"t": 3}}, usage_settled=window)
        for _ in range(15):  # 1.5 s: no store can hold an earlier leader's lease any more
            members.clock[0] += 100.0
            for name in ("s00", "s01"):
                members.renew(name)
            members.control.tick()
            await asyncio.sleep(0)
        members.join("s02", usage={window: {"t": 4}}, usage_settled=window)
        await members.run(lambda: members.state.sealed_until == window)
        assert members.state.sealed == {window: {"t": 10}}, members.state.sealed

    asyncio.run(scene())


class SilentPlatform:
    """Never answers; `timeouts` records the time-outs of the calls in ms."""

    def __init__(self) -> None:
        self.timeouts: list[float] = []

    async def post(self, call: Call, timeout_ms: float, may_send: object) -> CallOutcome:
        self.timeouts.append(timeout_ms)
        return CallOutcome(Verdict.UNCLEAR)


class NoLog:
    def event(self, name: str, **fields: object) -> None:
        """Discards the event."""


# Guards against a window that is late although the platform is back in time, as an earlier call still waits.
def shows_a_platform_that_was_silent_is_called_again_before_the_next_window_is_late() -> None:
    async def scene() -> None:
        assignment, platform = DutyAssignment("h", "h.1"), SilentPlatform()
        assignment.apply_notice(DutyNotice("usage_report", 1, "h", "h.1", 200, {200: {"t": 1}}))
        holder = DutyHolder(
            "usage_report", assignment, platform, 50.0, lambda: True, lambda: False, lambda: None, NoLog()
        )
        for _ in range(12):
            wait_ms = await holder._step()
            left_ms = USAGE_LATE_MS * (1.0 - LATE_FRACTION)  # of a window that is sealed at the latest time
            assert platform.timeouts[-1] + wait_ms <= left_ms, (platform.timeouts, wait_ms)

    asyncio.run(scene())


# Guards against a holder whose task ends with an encoding error because of a non-ASCII node name.
def shows_a_non_ascii_node_name_is_sent() -> None:
    stub = PlatformStub(OK)

    async def scene(client) -> None:
        client._node = "Ploče-1-щ"
        assert (await client.post(CALL, 60_000.0, lambda: True)).verdict is Verdict.ACCEPTED

    run_with_stub(stub, scene)
    assert "Duty-Holder: Ploče-1-щ" in stub.heads[0]


# Guards against accepting a malformed amendment if the configuration has no tenants.
def shows_names_to_remove_must_be_a_list_without_tenants_too() -> None:
    doc = {"revision": 1, "routes": [], "backends": []}
    for names in ("a", 5, [5], {"a": 1}):
        try:
            amended(doc, {"revision": 2, "remove": {"tenants": names}})
        except InvalidRequestError as problem:
            assert "remove.tenants" in str(problem)
        else:
            raise AssertionError(names)


# Guards against a message that starts before an earlier one of the same Order-Key has ended, on a route that
# became fifo in between: the earlier message is in another shard and not recorded under the key.
def shows_order_is_kept_after_those_that_were_taken_before_their_route_kept_it() -> None:
    async def scene(client: OpenConnection) -> None:
        fields = f"Host: h\r\nOrder-Key: k\r\nAuthorization: Token {KEY}\r\nContent-Length: 0"
        for revision, fifo in ((1, False), (2, True)):
            doc = document(revision, tenant("a", KEY))
            doc["routes"][0]["fifo"] = fifo
            client.configure(doc)
            transport = client._transport
            before = len(transport.written)
            transport.protocol.data_received(
                f"POST /b/1 HTTP/1.1\r\n{fields}\r\nAttempt-Id: id-{revision}\r\n\r\n".encode()
            )
            while len(transport.written) == before:
                await asyncio.sleep(0.01)
        earlier, later = client.store.puts
        assert (earlier.shard, earlier.key) == (later.shard, later.key), (earlier, later)

    on_a_connection(document(1, tenant("a", KEY)), scene)
