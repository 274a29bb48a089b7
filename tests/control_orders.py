"""Configuration orders, and validation of what workers and operators send, without a network."""

import asyncio
import json

import orjson
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from sableford.control import order_history, requests
from sableford.control.configuration import MAX_REVISION, InvalidRequestError, amended, check
from sableford.control.order_history import Archive, closed_segment
from sableford.control.orders import Confirmed, Proposal, Refused, State, Undecided, decide
from sableford.control.record_driver import MAX_VALUE_BYTES
from sableford.control.requests import ConfigurationOrder, OrderKind
from sableford.control.timing import APPLY_WAIT_MS
from tests.control_service import call, join_member, reelect, run_until, start_control

STEPS = settings(
    max_examples=20,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def config(revision: int, backend: str = "b") -> dict:
    route = {"name": "r", "hostname": "h", "pathPrefix": "/", "backend": backend, "deadlineMs": 100}
    return {"revision": revision, "routes": [route], "backends": [{"name": "b"}]}


def order(base: int, body: dict, kind: OrderKind = OrderKind.REPLACE) -> ConfigurationOrder:
    return ConfigurationOrder(kind, base, body)


class Orders(RuleBasedStateMachine):
    """Two operators send concurrent, repeated and invalid orders: each version has one successor."""

    def __init__(self) -> None:
        super().__init__()
        self.state, self.acked = State(), []
        self.past: list[ConfigurationOrder] = []

    def _order(self, base: int, body: dict) -> int:
        given = order(base, body)
        match decide(self.state, given):
            case Proposal(state):
                self.state = State.load(state.dump(), self.state.archive)
                self.acked.append((base, self.state.revision))
                self.past.append(given)
                self._archive()
                return 200
            case Confirmed():
                return 200
            case Refused(status):
                return status

    def _archive(self) -> None:
        segment = closed_segment(self.state.recent, self.state.archive, 0.0)
        if segment is not None:
            archive = Archive([*self.state.archive.segments, segment])
            self.state = self.state._replace(archive=archive)

    @rule(step=st.integers(1, 5), back=st.integers(0, 2))
    def sends(self, step, back):
        base = max(0, self.state.revision - back)
        current = base == self.state.revision
        answer = self._order(base, config(self.state.revision + step))
        assert answer == (200 if current else 412), answer

    @rule(turns=st.integers(1, 90))
    def sends_many(self, turns):
        for _ in range(turns):
            assert self._order(self.state.revision, config(self.state.revision + 1)) == 200

    @rule(data=st.data())
    def repeats(self, data):
        if self.past:
            again, before = data.draw(st.sampled_from(self.past)), self.state
            assert isinstance(decide(self.state, again), Confirmed) and self.state == before

    @rule(body=st.sampled_from([config(10**6, "none"), config(0), {}, config(2**64 - 1)]))
    def errs(self, body):
        before = self.state
        assert self._order(self.state.revision, body) == 400 and self.state == before

    @invariant()
    def rises(self):
        bases = [base for base, _ in self.acked]
        assert len(set(bases)) == len(bases), "two changes on one version"
        revisions = [revision for _, revision in self.acked]
        assert revisions == sorted(set(revisions))


def shows_orders_of_two_operators_make_one_sequence_of_versions() -> None:
    run_state_machine_as_test(Orders, settings=settings(STEPS, stateful_step_count=20))


def shows_each_bad_configuration_is_named_by_its_field() -> None:
    good = config(1)
    cases = {
        "routes.0.backend": {**good, "backends": [{"name": "c"}]},
        "routes.0.deadlineMs": {**good, "routes": [{**good["routes"][0], "deadlineMs": 0}]},
        "routes.1": {**good, "routes": [good["routes"][0], {**good["routes"][0], "name": "s"}]},
        "revision": {**good, "revision": "1"},
        "revision: Input should be less": {**good, "revision": MAX_REVISION + 1},
        "backends: two": {**good, "backends": [{"name": "b"}, {"name": "b"}]},
        "backends.0: endpoint": {**good, "backends": [{"name": "b", "endpoint": "10.0.0.1:99999"}]},
    }
    for place, doc in cases.items():
        try:
            check(doc)
        except InvalidRequestError as problem:
            assert str(problem).startswith(place), problem
        else:
            raise AssertionError(place)
    assert check(good).revision == 1 and check(config(MAX_REVISION)).revision == MAX_REVISION


def shows_an_amendment_of_odd_shape_is_refused_by_its_field() -> None:
    doc = config(1) | {"notes": [1, {"name": 2}]}
    cases = {
        "remove.notes": {"remove": {"notes": ["a"]}},
        "remove.routes": {"remove": {"routes": [["r"]]}},
        "upsert.routes": {"upsert": {"routes": [{"name": 1}]}},
        "upsert.notes": {"upsert": {"notes": [{"name": "a"}]}},
        "upsert:": {"upsert": []},
    }
    for place, change in cases.items():
        try:
            amended(doc, change)
        except InvalidRequestError as problem:
            assert str(problem).startswith(place), problem
        else:
            raise AssertionError(place)
    assert doc == config(1) | {"notes": [1, {"name": 2}]}


def shows_an_order_is_known_again_by_itself_not_by_what_it_comes_to() -> None:
    state = decide(State(), order(0, config(1))).state
    state = decide(state, order(1, config(3))).state
    assert decide(state, order(1, config(3))) == Confirmed(3)
    other = order(1, {"revision": 3}, OrderKind.AMEND)  # another order, which would give the same content
    assert decide(state, other).status == 412
    assert decide(state, order(0, config(3))).status == 412
    assert decide(state, order(3, config(3))).status == 400


def shows_an_order_older_than_all_that_is_remembered_is_not_refused() -> None:
    """A record written by version 0.3, whose leader kept only the last 32 digests."""
    text = orjson.dumps({"revision": 90, "doc": config(90), "taken": [["m1", 80], ["m2", 90]]})
    state = State.load(text)
    assert decide(state, order(7, config(8))) == Undecided(7)
    assert decide(state, order(7, config(8, "none"))).status == 400
    assert decide(state, order(80, config(85))).status == 412
    assert isinstance(decide(state, order(90, config(95))), Proposal)


# Through the HTTP API of the leader


async def _replace(control, clock, base: int, doc: dict) -> int:
    answer = await call(control, clock, "POST", "/v1/config/replace", doc, base_version=str(base))
    return answer.status


def shows_an_order_sent_again_after_three_hundred_others_is_acknowledged_again() -> None:
    async def scene() -> None:
        control, clock = start_control()
        assert await run_until(control, clock, lambda: control.leads)
        control.unix_ms = lambda: 0.0
        for revision in range(1, 301):
            assert await _replace(control, clock, revision - 1, config(revision)) == 200
        for revision in (1, 2, 60, 299, 300):
            assert await _replace(control, clock, revision - 1, config(revision)) == 200, revision
            assert await _replace(control, clock, revision - 1, config(revision, "b") | {"x": 1}) != 200
        assert control.state.revision == 300
        value = control.record.state_machine.values["config"].data
        assert len(value) < 50 * order_history.RECENT * 2, len(value)  # no change writes all digests again
        # A day later no order is repeated any more, and the history stays bounded.
        control.unix_ms = lambda: 2 * order_history.SEGMENT_RETENTION_MS
        for revision in range(301, 450):
            assert await _replace(control, clock, revision - 1, config(revision)) == 200
        assert await _replace(control, clock, 0, config(1)) == 504
        assert await _replace(control, clock, 300, config(301)) == 200

    asyncio.run(scene())


def shows_an_order_sent_again_waits_for_members_like_the_first_one() -> None:
    async def scene() -> None:
        control, clock = start_control()
        assert await run_until(control, clock, lambda: control.leads)
        assert await _replace(control, clock, 0, config(1)) == 200
        assert await reelect(control, clock)
        join_member(control, "e01", role="edge")
        started = clock[0]
        assert await _replace(control, clock, 0, config(1)) == 200
        assert clock[0] - started >= APPLY_WAIT_MS, "the edge has not applied its snapshot"
        join_member(control, "e01", prompt=True, role="edge")
        started = clock[0]
        assert await _replace(control, clock, 0, config(1)) == 200
        assert clock[0] - started < APPLY_WAIT_MS

    asyncio.run(scene())


def shows_a_configuration_that_no_value_may_hold_is_refused_for_its_size() -> None:
    async def scene() -> None:
        control, clock = start_control()
        assert await run_until(control, clock, lambda: control.leads)
        assert await _replace(control, clock, 0, config(1) | {"notes": "x" * (MAX_VALUE_BYTES + 1000)}) == 413
        assert await _replace(control, clock, 0, config(1)) == 200 and control.state.revision == 1

    asyncio.run(scene())


ODD_BASES = ["\u00b2", "9" * 5000, "-1", "+1", "1_0", "", " ", "1.0", "0x1", "\xb9"]


def shows_odd_headers_and_fields_get_one_400_that_names_them() -> None:
    heartbeat = {"backend": "b", "address": "10.0.0.1:80", "zone": "z", "capacity": 2, "phase": "ready"}
    heartbeat |= {"callCount": 1, "coldLeftMs": 0, "revision": "v1"}
    odd = {
        "address": ["10.0.0.1:\u00b2", "10.0.0.1:0", "10.0.0.1:65536", ":80", "a b:80", "a\r\nb:80", 7, None],
        "capacity": [-1, 1.5, "many", None, 10**30],
        "callCount": [-1, 2**63, None, "x"],
        "coldLeftMs": ["nan", "inf", -1, 1e300, None],
        "phase": ["gone", 1, None],
        "backend": ["", 5, None],
        "zone": [5, None],
        "revision": [5, ["v"]],
    }

    async def scene() -> None:
        control, clock = start_control()
        assert await run_until(control, clock, lambda: control.leads)
        for base in ODD_BASES:
            got = await call(control, clock, "POST", "/v1/config/replace", config(1), base_version=base)
            assert (got.status, b"Base-Version" in got.body) == (400, True), (base, got)
        for revision in (0, MAX_REVISION + 1, 2**64 - 1, 2**64, "1", 1.5, None, True):
            got = await call(
                control,
                clock,
                "POST",
                "/v1/config/replace",
                config(1) | {"revision": revision},
                base_version="0",
            )
            assert (got.status, b"revision" in got.body) == (400, True), (revision, got)
        deep = b'{"x":' + b"[" * 300 + b"]" * 300 + b"}"
        for body in (deep, b"[" * 5000, b"\xff\xfe", b"{", b"", b"[]", b'{"revision":1e999}', b"nul"):
            got = await call(control, clock, "POST", "/v1/config/amend", body, base_version="0")
            assert got.status == 400 and b"body" in got.body, (body[:20], got)
            got = await call(control, clock, "POST", "/v1/instances/i-1/heartbeat", body)
            assert got.status == 400, (body[:20], got)
        for field, values in odd.items():
            for value in values:
                got = await call(
                    control, clock, "POST", "/v1/instances/i-1/heartbeat", heartbeat | {field: value}
                )
                assert (got.status, field.encode() in got.body) == (400, True), (field, value, got)
        for id in ("", "a%0d%0aHost:x", "%c3%a9", "a%20b", "x" * 129):
            got = await call(control, clock, "POST", f"/v1/instances/{id}/heartbeat", heartbeat)
            assert (got.status, b"id" in got.body) == (400, True), (id, got)
        for within in (-1, "nan", "soon", [1]):
            got = await call(control, clock, "POST", "/v1/retire/s1/start", {"withinS": within})
            assert (got.status, b"withinS" in got.body) == (400, True), (within, got)
        assert not control.coordinator.workers and control.state.revision == 0
        assert (await call(control, clock, "POST", "/v1/instances/i-1/heartbeat", heartbeat)).status == 200

    asyncio.run(scene())


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)
FIELDS = ["revision", "routes", "backends", "limits", "upsert", "remove", "name", "address", "capacity"]
BODIES = st.dictionaries(st.sampled_from(FIELDS), ANY_JSON).map(lambda body: json.dumps(body).encode())


def shows_whatever_is_sent_is_read_or_refused_with_a_reason() -> None:
    state = decide(State(), order(0, config(1) | {"notes": [1]})).state

    @settings(parent=STEPS, max_examples=100)
    @given(kind=st.sampled_from(list(OrderKind)), base=st.text(max_size=4), body=BODIES | st.binary())
    def sent(kind, base, body):
        for bases in ([base], ["1"]):
            try:
                decision = decide(state, requests.configuration_order(kind, bases, body))
            except InvalidRequestError as problem:
                assert str(problem)
            else:
                assert isinstance(decision, Refused | Proposal)
        for read in (requests.heartbeat, requests.retirement):
            try:
                read(body)
            except InvalidRequestError as problem:
                assert str(problem)

    sent()
