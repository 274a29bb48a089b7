"""An edge between a client and stores that answer what the test says, under a simulated clock."""

import asyncio
import itertools
from types import SimpleNamespace

import orjson

from sableford.common.settings import Bounds
from sableford.control.protocol import ConfigurationVersion
from sableford.control.view import SHARDS, StoreInfo, View
from sableford.edge import gateway
from sableford.edge.gateway import Gateway
from sableford.edge.put_progress import PutOutcome, PutProgress
from sableford.simulation.stores import DOC
from sableford.transport.errors import CallError
from sableford.transport.frames import Frame, read_envelope
from sableford.transport.http import Answer, Request
from sableford.transport.link import CallResult, response_decoder
from sableford.transport.messages import PeerRequest
from sableford.transport.verdict import Execution
from tests.memory_network import simulated

BROKEN, UNSENT = CallResult(Execution.UNKNOWN), CallResult(Execution.NOT_RUN)


class Owner:
    """What an edge sees of a store: a link, and responses to what is asked there, one after the other, as
    they come over the wire."""

    incarnation = "b"  # as the view shows it

    def __init__(self, *answers: dict | CallResult) -> None:
        self.answers, self.puts = list(answers), []

    async def call(self, request: PeerRequest, body: bytes, timeout_ms: float) -> CallResult:
        self.puts.append(request)
        answer = self.answers.pop(0)
        return answer if isinstance(answer, CallResult) else received(request, answer)


def received(request: PeerRequest, answer: dict) -> CallResult:
    """What a link makes of an answer; its key `raw` is the body."""
    fields = {name: value for name, value in answer.items() if name != "raw"}
    head = orjson.dumps(fields)
    frame = Frame(read_envelope(head), head, answer.get("raw", b""))
    try:
        response = response_decoder(request.response_type)(frame)
    except CallError as problem:
        return CallResult(problem.execution)
    return CallResult(Execution.DONE, response.message, response.body)


def edge(stores: dict[str, Owner], silent: tuple[str, ...] = ()) -> Gateway:
    """It has heard nothing of the silent of late."""
    view = View(
        (1, 1), [sorted(stores)[at % len(stores)] for at in range(SHARDS)], [""] * SHARDS,
        live_stores={name: StoreInfo("b", "z") for name in stores}, roster=sorted(stores),
    )  # fmt: skip
    loop = asyncio.get_running_loop()
    runtime = SimpleNamespace(
        log=SimpleNamespace(event=lambda name, /, **fields: None),
        settings=SimpleNamespace(
            zone="z",
            rule_bounds=Bounds(apply_ms=3000.0),
            tolerates=SimpleNamespace(machine_loss=1),
        ),
        now=lambda: loop.time() * 1000.0,
        links=SimpleNamespace(
            responsive_link=lambda name: None if name in silent else stores.get(name), link=stores.get
        ),
        member=SimpleNamespace(view=view, configuration_lease=1e9, changed=asyncio.Event()),
    )
    gate = Gateway(runtime)
    gate.configuration_changed(ConfigurationVersion(1, DOC))
    gate.view_changed(view)
    return gate


def asked(gate: Gateway, path: str, *fields: tuple[bytes, bytes], method: str = "POST"):
    """What a request is answered: now or once awaited."""
    return gate.handle(Request(method, path.encode("latin-1"), [(b"host", b"h"), *fields], b"x", True))


def taken(stores: dict[str, Owner], silent: tuple[str, ...] = (), key: str = "") -> tuple[int, dict]:
    """The answer to a message."""

    async def scene() -> tuple[int, dict]:
        fields = [(b"attempt-id", b"id"), (b"deadline-ms", b"4000")]
        if key:
            fields.append((b"order-key", key.encode()))
        answer = await asked(edge(stores, silent), "/a/1" if key else "/b/1", *fields)
        return answer.status, dict(answer.headers)

    return simulated(lambda loop: scene())


def shows_an_edge_holds_to_what_a_put_may_have_come_to() -> None:
    # A store that speaks to too few others: another one's shard.
    alone, other = Owner(*[{"no": "alone"}] * 9), Owner({"kept": True})
    assert taken({"s0": alone, "s1": other})[0] == 202
    # Being taken as its owner let it go: the same shard, under the same name, marked.
    moved = Owner({"no": "owner", "may": True}, {"no": "owner"}, {"kept": True})
    status, headers = taken({"s0": moved})
    assert (status, headers["Message-Ref"]) == (202, moved.puts[0].ref)
    assert [put.is_retry for put in moved.puts] == [False, True, True]
    assert len({put.ref for put in moved.puts}) == 1
    # Never known to be taken, and never to be found out: nothing is promised.
    assert taken({"s0": Owner({"may": True}, *[{"no": "owner"}] * 40)})[0] == 504
    # Silent: nothing is put there, and its client hears when to come back.
    quiet = Owner()
    status, headers = taken({"s0": quiet}, ("s0",), "k")
    assert (status, quiet.puts) == (503, []) and "Retry-After" in headers


def shows_a_put_that_was_ever_unclear_is_put_nowhere_else_and_never_refused() -> None:
    """Every run of up to three answers: a store that stalls, a link that ends before or behind the bytes, an
    owner that lets its shard go, an answer nobody can read."""
    unclear = (BROKEN, {"no": "owner", "may": True}, {"may": True}, {}, {"kept": 1})
    plain = (UNSENT, {"no": "owner"}, {"no": "alone"}, {"no": "unknown"})
    for count in range(1, 4):
        for answers in itertools.product((BROKEN, unclear[1], unclear[3], UNSENT, plain[1]), repeat=count):
            rest = [{"no": "owner"}] * 40
            kept = [one for one in answers if one in unclear]
            store = Owner(*answers, *rest)
            assert taken({"s0": store})[0] == (504 if kept else 503), answers
            store = Owner(*answers, {"kept": True})
            assert taken({"s0": store})[0] == 202, answers
            marked = [any(one in unclear for one in answers[:at]) for at in range(count + 1)]
            assert [put.is_retry for put in store.puts] == marked, answers
            named = [put.ref for put, again in zip(store.puts, marked, strict=True) if again]
            assert len(set(named)) <= 1, answers  # each later put is of the same name, so of the same shard
    for answer in unclear:
        assert taken({"s0": Owner(answer, *[{"no": "owner"}] * 40)})[0] == 504, answer
    for answer in plain:
        assert taken({"s0": Owner(*[answer] * 40)})[0] == 503, answer
    # No key: with nothing unclear it may be another shard's, under another name.
    one, other = Owner(*[UNSENT] * 40), Owner(*[UNSENT] * 40)
    assert taken({"s0": one, "s1": other})[0] == 503 and one.puts and other.puts
    one, other = Owner(*[BROKEN] * 40), Owner(*[BROKEN] * 40)
    assert taken({"s0": one, "s1": other})[0] == 504 and not (one.puts and other.puts)


def shows_planted_mistakes_of_an_edge_are_found() -> None:
    class Forgetful(PutProgress):
        """The last answer counts."""

        def add(self, outcome: PutOutcome) -> None:
            super().add(outcome)
            self.unclear = outcome is PutOutcome.UNCLEAR

    class Hopeful(PutProgress):
        """A silence is a no: it goes elsewhere."""

        def add(self, outcome: PutOutcome) -> None:
            super().add(PutOutcome.NOT_TAKEN if outcome is PutOutcome.UNCLEAR else outcome)

    class Fearful(PutProgress):
        """What was never sent may have been taken."""

        def add(self, outcome: PutOutcome) -> None:
            super().add(outcome if outcome is PutOutcome.KEPT else PutOutcome.UNCLEAR)

    for mistake in (Forgetful, Hopeful, Fearful):
        gateway.PutProgress = mistake
        try:
            shows_a_put_that_was_ever_unclear_is_put_nowhere_else_and_never_refused()
        except AssertionError:
            continue
        finally:
            gateway.PutProgress = PutProgress
        raise AssertionError(f"{mistake.__name__} was not found out")


PENDING = {"state": {"phase": "pending"}}
COMPLETE = {"state": {"phase": "complete", "seal": "s"}}
NOTHING = {"state": None}
REF = "00-9c41"  # of the first store's shard


def state(answers: list, silent: tuple[str, ...] = ()) -> Answer:
    """What is answered to who asks after a message of s0's, by what each of three stores says each time."""

    async def scene() -> Answer:
        stores = {f"s{at}": Owner(*[answer] * 60) for at, answer in enumerate(answers)}
        return await asked(edge(stores, silent), f"/v1/message/{REF}", method="GET")

    return simulated(lambda loop: scene())


def shows_a_message_s_state_is_its_owner_s_word_or_that_of_enough_others() -> None:
    complete, pending = (200, b'{"phase":"complete","seal":"s"}'), (200, b'{"phase":"pending"}')
    ours = {"ref": REF, "owner": True}
    for answers, silent, wanted in (
        ([COMPLETE | ours, PENDING, PENDING], (), complete),
        ([PENDING | ours, NOTHING, NOTHING], (), pending),
        ([PENDING, NOTHING, NOTHING], (), pending),  # a version that says neither
        # The owner is silent: one has a copy, the other knows the end.
        ([BROKEN, PENDING, COMPLETE], (), complete),
        ([COMPLETE, PENDING, COMPLETE], ("s0",), complete),
        # It is the owner no more, or not yet.
        ([PENDING | {"ref": REF, "owner": False}, COMPLETE, NOTHING], (), complete),
        ([NOTHING, COMPLETE, NOTHING], (), complete),
        ([BROKEN, PENDING, NOTHING], (), pending),  # of three, one of which may be lost, two would know
        ([NOTHING, NOTHING, NOTHING], (), (404, None)),
        # Too few for that: an older state might be told.
        ([BROKEN, PENDING, BROKEN], (), (503, None)),
        ([BROKEN, BROKEN, NOTHING], (), (503, None)),
        # An answer on another message, or one that can't be read, is none.
        ([COMPLETE | {"ref": "00-other"}, PENDING, NOTHING], (), pending),
        ([{"state": {"phase": 7}}, NOTHING, {"state": "complete"}], (), (503, None)),
    ):
        answer = state(answers, silent)
        assert answer.status == wanted[0] and wanted[1] in (None, answer.body), (answers, answer)
        assert (answer.status == 503) == ("Retry-After" in dict(answer.headers))

    async def bytes_of(answers: list) -> Answer:
        stores = {f"s{at}": Owner(*[answer] * 60) for at, answer in enumerate(answers)}
        return await asked(edge(stores), f"/v1/message-body/{REF}", method="GET")

    found, none = {"found": True, "raw": b"xyz"}, {"found": False}
    for answers, wanted in (
        ([none, BROKEN, found], (200, b"xyz")),
        ([found | {"ref": "00-other"}, none, none], (404, None)),
        ([none, BROKEN, BROKEN], (503, None)),
    ):
        answer = simulated(lambda loop, answers=answers: bytes_of(answers))
        assert answer.status == wanted[0] and wanted[1] in (None, answer.body), answers


def shows_a_store_without_its_disk_does_not_say_that_a_message_is_unknown_or_pending() -> None:
    """s0 and s1 had it, s1 its end. s0 came back with an empty disk; s1 is cut off."""

    def answered(path: str, answers: list, complete: bool, incarnation: str) -> int:
        async def scene() -> Answer:
            stores = {f"s{at}": Owner(*[answer] * 60) for at, answer in enumerate(answers)}
            gate = edge(stores)
            gate.member.view.live_stores["s0"].complete = complete
            stores["s0"].incarnation = incarnation
            return await asked(gate, path + REF, method="GET")

        return simulated(lambda loop: scene()).status

    nothing, pending = [NOTHING, BROKEN, NOTHING], [NOTHING, BROKEN, PENDING]
    for complete, incarnation, statuses in (
        (True, "b", (404, 200, 404)),
        (False, "b", (503, 503, 503)),
        (True, "later", (503, 503, 503)),  # no view shows it yet
    ):
        found = (
            answered("/v1/message/", nothing, complete, incarnation),
            answered("/v1/message/", pending, complete, incarnation),
            answered(
                "/v1/message-body/", [{"found": False}, BROKEN, {"found": False}], complete, incarnation
            ),
        )
        assert found == statuses, (complete, incarnation, found)


def shows_a_field_with_no_sense_or_two_is_refused_by_its_name() -> None:
    def answer_to(*fields: tuple[bytes, bytes], path: str = "/b/1", method: str = "POST"):
        async def scene(loop) -> tuple[Answer, list[dict]]:
            stores = {"s0": Owner({"kept": True})}
            got = asked(edge(stores), path, *fields, method=method)
            return (got if isinstance(got, Answer) else await got), stores["s0"].puts

        return simulated(scene)

    id = (b"attempt-id", b"id")
    senseless = (*b"nan inf -1 1e400 1e9 \xb2 1_0 0x1 +1 .5".split(), b"1 2", b"1" * 400)
    for name in (b"delay-ms", b"deadline-ms"):
        for text in senseless:
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
    # Any id that HTTP carries is taken, and gets a name of plain letters.
    for value in (b"a b", b"\xff\xb2", b"a/../b", b"x" * 300):
        got, puts = answer_to((b"attempt-id", value))
        ref = dict(got.headers)["Message-Ref"]
        assert got.status == 202 and ref.isascii() and len(ref) <= 64 and "/" not in ref and " " not in ref
        assert puts[0].id.encode("latin-1") == value
    for ref in ("\xb2\xb2-x", "99-x", "7-x", "-x", "", "0a-x", "+1-x"):
        got, _ = answer_to(path=f"/v1/message/{ref}", method="GET")
        assert got.status == 404, ref
