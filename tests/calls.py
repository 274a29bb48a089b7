"""Links between processes, on in-memory connections and a simulated clock.

A response reaches the call that it belongs to or is dropped; a call that was sent and not answered may have
been executed."""

import asyncio
from types import SimpleNamespace

import msgspec
import orjson

from sableford.control.view import SHARDS, StoreInfo, View
from sableford.simulation.stores import DOC
from sableford.store.delivery_order import LOOKUP_MS
from sableford.store.effect_executor import CALL_TIMEOUT_MS, EffectExecutor
from sableford.store.messages import Deliver, Lookup, Message, RespondToPut, State, WriteMessage
from sableford.store.protocol import (
    Confirmation,
    DeliveryResultRequest,
    FinalState,
    LookupResponse,
    MessageHeader,
    PutRequest,
    PutResponse,
)
from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerEntry, WorkerSelector
from sableford.transport.errors import NotSentError, UnansweredError
from sableford.transport.frames import Frame, FrameReader, encode_frame
from sableford.transport.link import CallResult, Link
from sableford.transport.link_pool import LinkPool
from sableford.transport.messages import (
    UNKNOWN_OPERATION,
    HelloRequest,
    HelloResponse,
    PeerMessage,
    PeerRequest,
    PeerResponse,
)
from sableford.transport.peer_server import PeerServer
from sableford.transport.pending_calls import PendingCalls
from sableford.transport.routes import RoutingTable
from sableford.transport.verdict import Execution
from tests.memory_network import MemoryTransport, attached, simulated


class Answer(PeerResponse, frozen=True):
    """A response that is identified by its text."""

    text: str = msgspec.field(name="is", default="")


class Question(PeerRequest[Answer], frozen=True, tag="ask"):
    """A request."""

    response_type = Answer


class Numbered(PeerMessage, frozen=True, tag="news"):
    """A one-way message."""

    number: int = msgspec.field(name="n")


ASK = Question()


def frame(head: dict, body: bytes = b"") -> bytes:
    """A frame with this head, as on the wire."""
    return encode_frame(orjson.dumps(head), body)


def sent_by(transport: MemoryTransport) -> list[dict]:
    return [orjson.loads(one.head) for one in FrameReader().feed(transport.written)]


def link_of(receive=lambda link, frame: None) -> tuple[Link, MemoryTransport]:
    link = Link(receive)
    return link, attached(link)


def shows_a_response_completes_only_the_call_that_it_names() -> None:
    async def scene(loop) -> None:
        link, transport = link_of()
        other, _ = link_of()
        first, second, elsewhere = link.request(ASK), link.request(ASK), other.request(ASK)
        numbers = [head["q"] for head in sent_by(transport)]
        # The later call is answered first; then an unknown number; then a call of another connection.
        link.data_received(frame({"a": numbers[1], "is": "second"}))
        assert not first.done() and (await second).message.text == "second"
        link.data_received(frame({"a": 10**9, "is": "nobody's"}) + frame({"a": numbers[1], "is": "again"}))
        link.data_received(frame({"a": numbers[1] + 1, "is": "of the other connection"}))
        assert not first.done() and not elsewhere.done() and not link.closed
        link.data_received(frame({"a": numbers[0], "is": "first"}) + frame({"a": numbers[0], "is": "twice"}))
        assert (await first).message.text == "first"

    simulated(scene)


def shows_a_late_response_does_not_complete_a_later_call() -> None:
    """A store stalls beyond the time-out of a call; its response arrives while the next call is pending."""

    async def scene(loop) -> None:
        link, transport = link_of()
        assert await link.call(ASK, b"", 700.0) == CallResult(Execution.UNKNOWN)
        assert loop.time() == 0.7 and not len(link._pending)  # a cancelled call is removed
        given_up = link.request(ASK)
        given_up.cancel()
        # In the same iteration of the loop.
        link.data_received(frame({"a": sent_by(transport)[1]["q"], "is": "late"}))
        assert not link.closed
        later = link.request(ASK)
        link.data_received(frame({"a": sent_by(transport)[0]["q"], "is": "late"}))
        assert not later.done()
        link.data_received(frame({"a": sent_by(transport)[2]["q"], "is": "own"}))
        assert (await later).message.text == "own"

    simulated(scene)


def shows_a_call_result_tells_whether_the_call_was_written_to_its_connection() -> None:
    async def scene(loop) -> None:
        link, transport = link_of()
        pending = link.request(ASK)
        transport.waiting = 10**8  # the peer does not read: nothing more is written, and the link is closed
        assert await link.call(ASK, b"x", 700.0) == CallResult(Execution.NOT_RUN)
        assert len(sent_by(transport)) == 1
        assert isinstance(pending.exception(), UnansweredError)
        assert pending.exception().execution is Execution.UNKNOWN
        after = link.request(ASK)
        assert isinstance(after.exception(), NotSentError)
        assert after.exception().execution is Execution.NOT_RUN

    simulated(scene)


def shows_an_unreadable_message_closes_its_link_and_no_other() -> None:
    """Numbers of the wrong type or out of range; an operation that is not a string; wrong lengths."""
    bad = [
        frame({"a": [1]}), frame({"a": True}), frame({"a": 1.0}), frame({"q": {}, "op": "x"}),
        frame({"a": 2**60}), frame({"q": -1}), frame({"op": ["put"]}), frame({"op": None, "q": 1}),
        b"2:[],", b"+2:{},", b"1_0:", b"9:" + b"x" * 9 + b";", b"17:" + b'{"a":1,"raw":"3"}' + b",",
        b'15:{"a":1,"raw":3},2:xy,', b"99999999:",
    ]  # fmt: skip

    async def scene(loop) -> None:
        for text in bad:
            link, transport = link_of()
            pending = link.request(ASK)
            untouched, _ = link_of()
            link.data_received(text)
            assert link.closed and transport.closing and not untouched.closed, text
            assert isinstance(pending.exception(), UnansweredError), text  # never a success
            assert loop.problems.pop()["exception"], text  # and it is reported

    simulated(scene)


def shows_a_message_whose_handler_fails_is_reported_and_no_later_one_is_applied() -> None:
    """An update that can't be applied must not be followed by updates that depend on it."""
    received = []

    def handle(link: Link, frame: Frame) -> None:
        received.append(msgspec.json.decode(frame.head, type=Numbered).number)
        if received[-1] == 2:
            raise KeyError("view")

    async def scene(loop) -> None:
        link, _ = link_of(handle)
        link.data_received(b"".join(frame({"op": "news", "n": n}) for n in (1, 2, 3)))
        assert received == [1, 2] and link.closed
        assert isinstance(loop.problems.pop()["exception"], KeyError)
        received.clear()
        link, _ = link_of(lambda link, frame: handle(link, frame) or link.drop())
        link.data_received(frame({"op": "news", "n": 1}) + frame({"op": "news", "n": 3}))
        assert received == [1]  # the handler has closed the link because of a gap

    simulated(scene)


def shows_a_call_of_an_operation_unknown_to_the_peer_counts_as_unanswered() -> None:
    """A store of another version, or one that is starting, has done nothing. The caller once took its refusal
    of a "late" message for a confirmation."""

    async def scene(loop) -> None:
        link, transport = link_of()
        link.identify("a", "b1")
        queue = SimpleNamespace(state=SimpleNamespace(incarnation_of=lambda name: "b1"))
        links = SimpleNamespace(link=lambda name: link)
        executor = EffectExecutor(queue, None, None, None, links, None, None, None)
        result = DeliveryResultRequest("00-a", 0, "done", "", "seal", True)
        got: list[Confirmation | None] = []
        for answer in ({"no": UNKNOWN_OPERATION}, {"yes": True}, None):
            executor._call("a", result, got.append)
            if answer is not None:
                link.data_received(frame(answer | {"a": sent_by(transport)[-1]["q"]}))
        await asyncio.sleep(CALL_TIMEOUT_MS / 1000.0 + 0.001)
        assert got[0] is None and got[1].accepted and got[2] is None

    simulated(scene)


class Store(Link):
    """The accepting side of a connection: a process with a name and an incarnation."""

    def __init__(self, name: str, incarnation: str) -> None:
        super().__init__(self._answer)
        self._hello = HelloResponse(incarnation, name)

    def _answer(self, link: Link, frame: Frame) -> None:
        self.send_response(frame.envelope.call_number, self._hello)


def shows_a_link_is_kept_only_to_the_process_that_was_dialled() -> None:
    """A process with another name or without an incarnation gets no link; a refusal is reported."""

    async def scene(loop) -> None:
        changes: list[tuple] = []
        pool = LinkPool(HelloRequest("me", "m"), 7, lambda link, frame: None)
        pool.on_up.append(lambda name, link: changes.append((name, link.incarnation)))
        pool.on_refused.append(lambda name: changes.append((name, "refused")))
        loop.listeners[("a", 7)] = lambda: Store("a", "a1")
        loop.listeners[("b", 7)] = lambda: Store("elsewhere", "b1")
        loop.listeners[("c", 7)] = lambda: Store("c", "")
        pool.set_peers({"a", "b", "c", "d"})
        await asyncio.sleep(0.05)
        assert sorted(changes) == [("a", "a1"), ("d", "refused")]
        assert [name for name in "abcd" if pool.link(name)] == ["a"]
        # A new incarnation at the same address gets a new link, and answers no calls to the previous one.
        pending = pool.link("a").request(ASK)
        loop.listeners[("a", 7)] = lambda: Store("a", "a2")
        pool.link("a").drop()
        await asyncio.sleep(0.01)
        assert isinstance(pending.exception(), UnansweredError) and pool.link("a").incarnation == "a2"
        one, _ = link_of()
        assert one.identify("a", "a1") and one.identify("a", "a1") and not one.identify("a", "a2")
        pool._timer.cancel()

    simulated(scene)


def shows_responses_matched_to_the_wrong_call_are_detected() -> None:
    """Checks the tests above against faulty implementations that match responses by order."""

    class MatchesOldest(PendingCalls):
        """Any response goes to the oldest call."""

        def resolve(self, number, frame):
            return super().resolve(next(iter(self._calls), 0), frame)

    class MatchesNewest(PendingCalls):
        """A late response goes to the newest call."""

        def resolve(self, number, frame):
            return super().resolve(number if number in self._calls else max(self._calls, default=0), frame)

    for faulty, test in (
        (MatchesOldest, shows_a_response_completes_only_the_call_that_it_names),
        (MatchesNewest, shows_a_late_response_does_not_complete_a_later_call),
    ):
        assert_detected(faulty, test)


def assert_detected(faulty: type, test) -> None:
    import sableford.transport.link as module

    original = module.PendingCalls
    module.PendingCalls = faulty
    try:
        test()
    except AssertionError:
        return
    finally:
        module.PendingCalls = original
    raise AssertionError(f"{faulty.__name__} was not detected")


def shows_messages_before_a_hello_are_not_handled() -> None:
    """A connection without a hello gets no response; nor does one that changes its name."""

    async def scene(loop) -> None:
        events, senders = [], []
        log = SimpleNamespace(event=lambda name, /, **fields: events.append(name))
        server = PeerServer("me", "m1", log)
        server.handle(Question, lambda incoming: senders.append(incoming.sender))

        def accepted() -> tuple[Link, MemoryTransport]:
            link = server.accept()
            return link, attached(link)

        hello, join = (
            frame({"op": "hello", "name": "a", "birth": "a1", "q": 1}),
            frame({"op": "ask", "q": 2}),
        )
        link, transport = accepted()
        link.data_received(join + hello + join)
        assert link.closed and not transport.written and not senders and events == ["hello_missing"]
        link, transport = accepted()
        link.data_received(hello + join)
        assert sent_by(transport) == [{"a": 1, "birth": "m1", "name": "me", "v": 1}]
        assert senders == ["a"]
        link.data_received(frame({"op": "hello", "name": "b", "birth": "a1", "q": 3}) + join)
        assert link.closed and len(sent_by(transport)) == 1 and senders == ["a"]
        link, transport = accepted()
        link.data_received(frame({"op": "hello", "name": "a", "birth": 7, "q": 1}))
        assert link.closed and not transport.written and loop.problems.pop()

    simulated(scene)


def shows_a_delivery_starts_only_while_its_store_owns_the_message() -> None:
    """Ownership may be lost after the decision, while the body is read and the worker is dialled."""
    queue = Queue("me", "m", 0, RoutingTable(1, DOC), WorkerSelector("z", "me"), 600.0, True)
    state = queue.state
    message = Message(HEADER, b"x", 0.0, 0.0)
    message.state = State.IN_FLIGHT
    queue.selector.put(0.0, WorkerEntry("w", "a", "10.0.0.9", 80, "z", 2, True), 0.0)
    state.messages, state.owned, state.lease = {message.ref: message}, {0: (1, 1)}, 1000.0
    clock = SimpleNamespace(now=lambda: 999.0)
    executor = SimpleNamespace(_queue=queue, _now=lambda: clock.now())

    def may_send(worker: str = "w") -> bool:
        return EffectExecutor.may_send(executor, Deliver(message.ref, worker, 2000.0))

    assert may_send() and not may_send("gone")
    clock.now = lambda: 1000.0  # its lease has expired
    assert not may_send()
    clock.now, state.owned = lambda: 999.0, {}  # another store owns it
    assert not may_send()
    state.owned, message.state = {0: (1, 1)}, State.ENDING
    assert not may_send()
    message.state, state.messages = State.IN_FLIGHT, {}  # it has ended in the meantime
    assert not may_send()


# Retries of a put whose first attempt may have been stored


PUT = PutRequest(
    ref="00-9c41",
    shard=0,
    key="",
    id="9c41",
    host="h",
    target="/b/1",
    method="POST",
    delay_ms=0.0,
    age_ms=0.0,
    revision=1,
    is_retry=True,
)


HEADER = MessageHeader(
    ref="00-9c41",
    shard=0,
    key="",
    id="9c41",
    host="h",
    target="/b/1",
    method="POST",
    revision=1,
    position=((1, 1), 1),
)


def put_again(
    answers: dict[str, LookupResponse | None], live: str = "ab", incomplete: str = ""
) -> list[PutResponse | str]:
    """How a store responds to a retried put, given the responses of the other stores `a` and `b`; a store
    that is not named does not respond. `incomplete`: the stores that have lost their disks."""
    queue = Queue("me", "m", 1, RoutingTable(1, DOC), WorkerSelector("z", "me"), 600.0, True)
    stores = ["me", *live]
    queue.state.view = View(
        (1, 1),
        live_stores={name: StoreInfo(name, "z", complete=name not in incomplete) for name in stores},
        roster=["a", "b", "me"],
    )
    queue.state.owned, queue.state.lease = {0: (1, 1)}, 1e9
    effects = [*queue.put(0.0, PUT, b"x", "edge")]
    assert sorted(one.to for one in effects if isinstance(one, Lookup)) == sorted(live)
    for name, response in answers.items():
        effects += queue.lookup_answered(1.0, name, PUT.ref, response)
    effects += queue.tick(LOOKUP_MS + 1.0, 0.0)
    replies = [one.response for one in effects if isinstance(one, RespondToPut)]
    return [*replies, *("taken" for one in effects if isinstance(one, WriteMessage))]


def shows_a_retried_put_is_not_stored_again_while_responses_are_missing() -> None:
    """The first attempt was stored, run and ended by an owner that is gone, and the other store that knows
    the final state is silent. Of three stores one may be lost: two responses are enough, its own included."""
    no, ended = LookupResponse(), LookupResponse(FinalState("complete", "s", "", 0.0))
    unclear, kept = PutResponse(refusal="owner", maybe_kept=True), PutResponse(kept=True)
    assert put_again({"a": no, "b": no}) == ["taken"]
    assert put_again({"a": no}) == put_again({"a": no, "b": None}) == ["taken"]
    assert put_again({"b": ended}) == put_again({"a": None, "b": ended}) == [kept]
    assert put_again({}) == put_again({"a": None, "b": None}) == [unclear]  # silence, or a broken link
    assert put_again({"a": no}, live="a") == ["taken"]
    assert put_again({}, live="a") == put_again({"a": None}, live="a") == [unclear]


def shows_a_response_of_a_store_without_its_disk_does_not_allow_a_retried_put() -> None:
    """Store a has lost its disk and knows nothing; b, which knows the final state, is silent."""
    no = LookupResponse()
    unclear = PutResponse(refusal="owner", maybe_kept=True)
    assert put_again({"a": no}, incomplete="a") == [unclear]
    assert put_again({"a": no, "b": no}, incomplete="a") == ["taken"]


def shows_a_store_that_comes_into_the_view_during_a_lookup_counts_only_once_it_has_answered() -> None:
    # TWICE: b, which alone knows how the message ended, returned during the lookup and counted as asked.
    queue = Queue("me", "m", 1, RoutingTable(1, DOC), WorkerSelector("z", "me"), 600.0, True)
    names = ["a", "b", "c", "me"]
    stores = {name: StoreInfo(name, "z") for name in names}
    queue.state.owned, queue.state.lease = {0: (1, 1)}, 1e9
    queue.state.complete = False  # after its own disk was lost, two of the other three must answer
    queue.state.view = View((1, 1), ["me"] * SHARDS, ["m"] * SHARDS, [(1, 1)] * SHARDS, roster=names)
    queue.state.view.live_stores = {name: stores[name] for name in ("a", "me")}
    effects = queue.put(0.0, PUT, b"x", "edge")
    effects += queue.lookup_answered(1.0, "a", PUT.ref, None)
    later = View((1, 2), ["me"] * SHARDS, ["m"] * SHARDS, [(1, 1)] * SHARDS, roster=names)
    later.live_stores = {name: stores[name] for name in ("a", "b", "c", "me")}
    effects += queue.apply_view(2.0, later)
    assert [one.to for one in effects if isinstance(one, Lookup)] == ["a", "b", "c"]
    effects = queue.lookup_answered(3.0, "a", PUT.ref, LookupResponse())
    assert not [
        one for one in effects if isinstance(one, WriteMessage | RespondToPut)
    ], "b was not waited for"
    ended = LookupResponse(FinalState("complete", "s", "", 0.0))
    effects = queue.lookup_answered(4.0, "b", PUT.ref, ended)
    assert [one.response for one in effects if isinstance(one, RespondToPut)] == [PutResponse(kept=True)]
