"""An edge between a client and stores with scripted responses, under a simulated clock."""

import asyncio
import itertools
from types import SimpleNamespace

import orjson

from sableford.common.settings import RuleBounds
from sableford.control.protocol import ConfigurationVersion
from sableford.control.view import SHARDS, StoreInfo, View, shard_of
from sableford.edge import gateway
from sableford.edge.gateway import Gateway
from sableford.edge.put_progress import PutOutcome, PutProgress
from sableford.edge.shard_availability import SKIP_MS
from sableford.simulation.stores import DOC
from sableford.transport.errors import CallError
from sableford.transport.frames import Frame, read_envelope
from sableford.transport.http import HttpRequest, HttpResponse
from sableford.transport.link import CallResult, response_decoder
from sableford.transport.messages import PeerRequest
from sableford.transport.verdict import Execution
from tests.memory_network import simulated

BROKEN, UNSENT = CallResult(Execution.UNKNOWN), CallResult(Execution.NOT_RUN)


class ScriptedStore:
    """A store as an edge sees it: a link with scripted responses, in the form that they have on the wire."""

    incarnation = "b"  # the one in the view

    def __init__(self, *answers: dict | CallResult) -> None:
        self.answers, self.puts = list(answers), []

    async def call(self, request: PeerRequest, body: bytes, timeout_ms: float) -> CallResult:
        self.puts.append(request)
        answer = self.answers.pop(0)
        return answer if isinstance(answer, CallResult) else received(request, answer)


def received(request: PeerRequest, answer: dict) -> CallResult:
    """The result of a call with this response; its key `raw` is the body."""
    fields = {name: value for name, value in answer.items() if name != "raw"}
    head = orjson.dumps(fields)
    frame = Frame(read_envelope(head), head, answer.get("raw", b""))
    try:
        response = response_decoder(request.response_type)(frame)
    except CallError as problem:
        return CallResult(problem.execution)
    return CallResult(Execution.DONE, response.message, response.body)


def make_edge(stores: dict[str, ScriptedStore], silent: tuple[str, ...] = ()) -> Gateway:
    """An edge that has not heard from the `silent` stores recently."""
    view = View(
        (1, 1), [sorted(stores)[at % len(stores)] for at in range(SHARDS)], [""] * SHARDS,
        live_stores={name: StoreInfo("b", "z") for name in stores}, roster=sorted(stores),
    )  # fmt: skip
    loop = asyncio.get_running_loop()
    runtime = SimpleNamespace(
        log=SimpleNamespace(event=lambda name, /, **fields: None),
        settings=SimpleNamespace(
            zone="z",
            rule_bounds=RuleBounds(apply_ms=3000.0),
            tolerates=SimpleNamespace(machine_loss=1),
        ),
        now=lambda: loop.time() * 1000.0,
        links=SimpleNamespace(
            responsive_link=lambda name: None if name in silent else stores.get(name), link=stores.get
        ),
        member=SimpleNamespace(view=view, configuration_lease=1e9, changed=asyncio.Event()),
    )
    edge = Gateway(runtime)
    edge.configuration_changed(ConfigurationVersion(1, DOC))
    edge.view_changed(view)
    return edge


def send(edge: Gateway, path: str, *fields: tuple[bytes, bytes], method: str = "POST"):
    """The response to a request, or an awaitable of it."""
    return edge.handle(HttpRequest(method, path.encode("latin-1"), [(b"host", b"h"), *fields], b"x", True))


def status_and_headers(
    stores: dict[str, ScriptedStore], silent: tuple[str, ...] = (), key: str = ""
) -> tuple[int, dict]:
    """The status and headers of the response to a message."""

    async def scene() -> tuple[int, dict]:
        fields = [(b"attempt-id", b"id"), (b"deadline-ms", b"4000")]
        if key:
            fields.append((b"order-key", key.encode()))
        answer = await send(make_edge(stores, silent), "/a/1" if key else "/b/1", *fields)
        return answer.status, dict(answer.headers)

    return simulated(lambda loop: scene())


def shows_an_edge_answers_by_the_possible_outcomes_of_a_put() -> None:
    # A store that reaches too few others: the message goes to a shard of another store.
    alone, other = ScriptedStore(*[{"no": "alone"}] * 9), ScriptedStore({"kept": True})
    assert status_and_headers({"s0": alone, "s1": other})[0] == 202
    # The owner lost the shard during the put: retried at the same shard, with the same reference.
    moved = ScriptedStore({"no": "owner", "may": True}, {"no": "owner"}, {"kept": True})
    status, headers = status_and_headers({"s0": moved})
    assert (status, headers["Message-Ref"]) == (202, moved.puts[0].ref)
    assert [put.is_retry for put in moved.puts] == [False, True, True]
    assert len({put.ref for put in moved.puts}) == 1
    # The outcome can't be determined: neither accepted nor refused.
    assert status_and_headers({"s0": ScriptedStore({"may": True}, *[{"no": "owner"}] * 40)})[0] == 504
    # Unresponsive: nothing is sent there, and the client is told when to retry.
    quiet = ScriptedStore()
    status, headers = status_and_headers({"s0": quiet}, ("s0",), "k")
    assert (status, quiet.puts) == (503, []) and "Retry-After" in headers


def shows_a_put_with_an_unclear_outcome_goes_to_no_other_shard_and_is_never_refused() -> None:
    """All sequences of up to three results: a store that stalls, a link that breaks before or after the
    request, an owner that loses its shard, an unreadable response."""
    unclear = (BROKEN, {"no": "owner", "may": True}, {"may": True}, {}, {"kept": 1})
    plain = (UNSENT, {"no": "owner"}, {"no": "alone"}, {"no": "unknown"})
    for count in range(1, 4):
        for answers in itertools.product((BROKEN, unclear[1], unclear[3], UNSENT, plain[1]), repeat=count):
            rest = [{"no": "owner"}] * 40
            kept = [one for one in answers if one in unclear]
            store = ScriptedStore(*answers, *rest)
            assert status_and_headers({"s0": store})[0] == (504 if kept else 503), answers
            store = ScriptedStore(*answers, {"kept": True})
            assert status_and_headers({"s0": store})[0] == 202, answers
            marked = [any(one in unclear for one in answers[:at]) for at in range(count + 1)]
            assert [put.is_retry for put in store.puts] == marked, answers
            named = [put.ref for put, again in zip(store.puts, marked, strict=True) if again]
            assert len(set(named)) <= 1, answers  # retries have the same reference, so the same shard
    for answer in unclear:
        assert status_and_headers({"s0": ScriptedStore(answer, *[{"no": "owner"}] * 40)})[0] == 504, answer
    for answer in plain:
        assert status_and_headers({"s0": ScriptedStore(*[answer] * 40)})[0] == 503, answer
    # Without an order key: may be sent to another shard with another reference while nothing is unclear.
    one, other = ScriptedStore(*[UNSENT] * 40), ScriptedStore(*[UNSENT] * 40)
    assert status_and_headers({"s0": one, "s1": other})[0] == 503 and one.puts and other.puts
    one, other = ScriptedStore(*[BROKEN] * 40), ScriptedStore(*[BROKEN] * 40)
    assert status_and_headers({"s0": one, "s1": other})[0] == 504 and not (one.puts and other.puts)


def shows_faulty_put_progress_is_detected() -> None:
    class UsesLastOutcome(PutProgress):
        """Uses the last outcome only."""

        def add(self, outcome: PutOutcome) -> None:
            super().add(outcome)
            self.unclear = outcome is PutOutcome.UNCLEAR

    class UnclearIsRefused(PutProgress):
        """Takes a missing response for a refusal."""

        def add(self, outcome: PutOutcome) -> None:
            super().add(PutOutcome.NOT_STORED if outcome is PutOutcome.UNCLEAR else outcome)

    class UnsentIsUnclear(PutProgress):
        """Takes a put that was not sent for one that may be stored."""

        def add(self, outcome: PutOutcome) -> None:
            super().add(outcome if outcome is PutOutcome.STORED else PutOutcome.UNCLEAR)

    for faulty in (UsesLastOutcome, UnclearIsRefused, UnsentIsUnclear):
        gateway.PutProgress = faulty
        try:
            shows_a_put_with_an_unclear_outcome_goes_to_no_other_shard_and_is_never_refused()
        except AssertionError:
            continue
        finally:
            gateway.PutProgress = PutProgress
        raise AssertionError(f"{faulty.__name__} was not detected")


class MovingStore(ScriptedStore):
    """Refuses a put since it reaches too few others, after its shards have moved to another store."""

    async def call(self, request: PeerRequest, body: bytes, timeout_ms: float) -> CallResult:
        view = View((1, 2), ["s1"] * SHARDS, ["b"] * SHARDS, [(1, 2)] * SHARDS)
        view.live_stores, view.roster = self.edge.member.view.live_stores, ["s0", "s1"]
        self.edge.member.view = view
        self.edge.view_changed(view)
        return await super().call(request, body, timeout_ms)


def shows_a_refusal_of_the_previous_owner_keeps_nothing_from_the_present_one() -> None:
    # 503, or a needless wait: the refusal was recorded for the owner in the view as it came.
    async def scene(loop) -> tuple[tuple[int, int], float]:
        moving, other = MovingStore({"no": "alone"}), ScriptedStore({"kept": True}, {"kept": True})
        moving.edge = edge = make_edge({"s0": moving, "s1": other})
        shard = next(at for at in range(SHARDS) if edge.member.view.owners[at] == "s0")
        key = next(str(one) for one in range(999) if shard_of(str(one)) == shard).encode()
        fields = [(b"attempt-id", b"id"), (b"deadline-ms", b"4000"), (b"order-key", key)]
        ordered = await send(edge, "/a/1", *fields)
        unordered = await send(edge, "/b/1", (b"attempt-id", b"id2"), (b"deadline-ms", b"4000"))
        return (ordered.status, unordered.status), loop.time() * 1000.0

    statuses, waited_ms = simulated(scene)
    assert statuses == (202, 202) and waited_ms < SKIP_MS, (statuses, waited_ms)


PENDING = {"state": {"phase": "pending"}}
COMPLETE = {"state": {"phase": "complete", "seal": "s"}}
NOTHING = {"state": None}
REF = "00-9c41"  # of a shard of the first store


def state(answers: list, silent: tuple[str, ...] = ()) -> HttpResponse:
    """The response to a status query for a message of s0, given the responses of three stores."""

    async def scene() -> HttpResponse:
        stores = {f"s{at}": ScriptedStore(*[answer] * 60) for at, answer in enumerate(answers)}
        return await send(make_edge(stores, silent), f"/v1/message/{REF}", method="GET")

    return simulated(lambda loop: scene())


def shows_a_message_state_needs_its_owner_or_enough_other_stores() -> None:
    complete, pending = (200, b'{"phase":"complete","seal":"s"}'), (200, b'{"phase":"pending"}')
    ours = {"ref": REF, "owner": True}
    for answers, silent, expected in (
        ([COMPLETE | ours, PENDING, PENDING], (), complete),
        ([PENDING | ours, NOTHING, NOTHING], (), pending),
        ([PENDING, NOTHING, NOTHING], (), pending),  # a version that sends neither field
        # The owner is silent; one store has a copy, the other the final state.
        ([BROKEN, PENDING, COMPLETE], (), complete),
        ([COMPLETE, PENDING, COMPLETE], ("s0",), complete),
        # It is no longer, or not yet, the owner.
        ([PENDING | {"ref": REF, "owner": False}, COMPLETE, NOTHING], (), complete),
        ([NOTHING, COMPLETE, NOTHING], (), complete),
        # Of three stores one may be lost: two responses are enough.
        ([BROKEN, PENDING, NOTHING], (), pending),
        ([NOTHING, NOTHING, NOTHING], (), (404, None)),
        # Too few responses: the state might be outdated.
        ([BROKEN, PENDING, BROKEN], (), (503, None)),
        ([BROKEN, BROKEN, NOTHING], (), (503, None)),
        # A response for another message, or an unreadable one, is ignored.
        ([COMPLETE | {"ref": "00-other"}, PENDING, NOTHING], (), pending),
        ([{"state": {"phase": 7}}, NOTHING, {"state": "complete"}], (), (503, None)),
    ):
        answer = state(answers, silent)
        assert answer.status == expected[0] and expected[1] in (None, answer.body), (answers, answer)
        assert (answer.status == 503) == ("Retry-After" in dict(answer.headers))

    async def bytes_of(answers: list) -> HttpResponse:
        stores = {f"s{at}": ScriptedStore(*[answer] * 60) for at, answer in enumerate(answers)}
        return await send(make_edge(stores), f"/v1/message-body/{REF}", method="GET")

    found, none = {"found": True, "raw": b"xyz"}, {"found": False}
    for answers, expected in (
        ([none, BROKEN, found], (200, b"xyz")),
        ([found | {"ref": "00-other"}, none, none], (404, None)),
        ([none, BROKEN, BROKEN], (503, None)),
    ):
        answer = simulated(lambda loop, answers=answers: bytes_of(answers))
        assert answer.status == expected[0] and expected[1] in (None, answer.body), answers


def shows_a_store_without_its_disk_does_not_prove_a_message_unknown_or_pending() -> None:
    """s0 and s1 had the message, s1 its final state. s0 came back with an empty disk; s1 is cut off."""

    def answered(path: str, answers: list, complete: bool, incarnation: str) -> int:
        async def scene() -> HttpResponse:
            stores = {f"s{at}": ScriptedStore(*[answer] * 60) for at, answer in enumerate(answers)}
            edge = make_edge(stores)
            edge.member.view.live_stores["s0"].complete = complete
            stores["s0"].incarnation = incarnation
            return await send(edge, path + REF, method="GET")

        return simulated(lambda loop: scene()).status

    nothing, pending = [NOTHING, BROKEN, NOTHING], [NOTHING, BROKEN, PENDING]
    for complete, incarnation, statuses in (
        (True, "b", (404, 200, 404)),
        (False, "b", (503, 503, 503)),
        (True, "later", (503, 503, 503)),  # not in the view yet
    ):
        found = (
            answered("/v1/message/", nothing, complete, incarnation),
            answered("/v1/message/", pending, complete, incarnation),
            answered(
                "/v1/message-body/", [{"found": False}, BROKEN, {"found": False}], complete, incarnation
            ),
        )
        assert found == statuses, (complete, incarnation, found)


def shows_an_invalid_or_repeated_field_is_refused_by_name() -> None:
    def answer_to(*fields: tuple[bytes, bytes], path: str = "/b/1", method: str = "POST"):
        async def scene(loop) -> tuple[HttpResponse, list[dict]]:
            stores = {"s0": ScriptedStore({"kept": True})}
            got = send(make_edge(stores), path, *fields, method=method)
            return (got if isinstance(got, HttpResponse) else await got), stores["s0"].puts

        return simulated(scene)

    id = (b"attempt-id", b"id")
    invalid = (*b"nan inf -1 1e400 1e9 \xb2 1_0 0x1 +1 .5".split(), b"1 2", b"1" * 400)
    for name in (b"delay-ms", b"deadline-ms"):
        for text in invalid:
            got, puts = answer_to(id, (name, text))
            assert got.status == 400 and name.decode().title() in got.body.decode() and not puts, text
        for text in (b"0", b"1500", b"1.5", b"1e-05", b"33.333333333333336", b""):
            got, puts = answer_to(id, (name, text))
            assert got.status == 202 and len(puts) == 1, text
    for name, value in (
        id,
        (b"order-key", b"k"),
        (b"delay-ms", b"1"),
        (b"host", b"h"),
        (b"content-type", b"a/b"),
    ):
        twice = ((name, value), (name, value)) if name != b"host" else ((name, value),)
        fields = twice if name == b"attempt-id" else (id, *twice)
        got, puts = answer_to(*fields)
        assert got.status == 400 and name.decode().title() in got.body.decode() and not puts, name
    assert answer_to()[0].status == 400
    # Any id that HTTP can carry is accepted, and gets an ASCII reference.
    for value in (b"a b", b"\xff\xb2", b"a/../b", b"x" * 300):
        got, puts = answer_to((b"attempt-id", value))
        ref = dict(got.headers)["Message-Ref"]
        assert got.status == 202 and ref.isascii() and len(ref) <= 64 and "/" not in ref and " " not in ref
        assert puts[0].id.encode("latin-1") == value
    for ref in ("\xb2\xb2-x", "99-x", "7-x", "-x", "", "0a-x", "+1-x"):
        got, _ = answer_to(path=f"/v1/message/{ref}", method="GET")
        assert got.status == 404, ref
