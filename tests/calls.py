"""An answer reaches the caller that asked, or nobody; what was sent and not answered counts as perhaps done.

Links between the system's own processes, on connections in memory and a simulated clock."""

import asyncio
from types import SimpleNamespace

import msgspec
import orjson

from sableford.control.view import StoreInfo, View
from sableford.simulation.stores import DOC
from sableford.store.choice import Choice, WorkerEntry
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
from sableford.transport.routes import Table
from sableford.transport.verdict import Execution
from tests.memory_network import MemoryTransport, attached, simulated


class Answer(PeerResponse, frozen=True):
    """Any response: `text` says which."""

    text: str = msgspec.field(name="is", default="")


class Question(PeerRequest[Answer], frozen=True, tag="ask"):
    """Any request."""

    response_type = Answer


class Numbered(PeerMessage, frozen=True, tag="news"):
    """Any message that is not answered."""

    number: int = msgspec.field(name="n")


ASK = Question()


def frame(head: dict, body: bytes = b"") -> bytes:
    """A frame whose head is given as it stands on the wire."""
    return encode_frame(orjson.dumps(head), body)


def sent_by(transport: MemoryTransport) -> list[dict]:
    return [orjson.loads(one.head) for one in FrameReader().feed(transport.written)]


def link_of(receive=lambda link, frame: None) -> tuple[Link, MemoryTransport]:
    link = Link(receive)
    return link, attached(link)


def shows_an_answer_meets_only_the_call_that_it_names() -> None:
    async def scene(loop) -> None:
        link, transport = link_of()
        other, _ = link_of()
        first, second, elsewhere = link.request(ASK), link.request(ASK), other.request(ASK)
        numbers = [head["q"] for head in sent_by(transport)]
        # The later one is answered first; then one that was never asked; then one of another connection.
        link.data_received(frame({"a": numbers[1], "is": "second"}))
        assert not first.done() and (await second).message.text == "second"
        link.data_received(frame({"a": 10**9, "is": "nobody's"}) + frame({"a": numbers[1], "is": "again"}))
        link.data_received(frame({"a": numbers[1] + 1, "is": "of the other connection"}))
        assert not first.done() and not elsewhere.done() and not link.closed
        link.data_received(frame({"a": numbers[0], "is": "first"}) + frame({"a": numbers[0], "is": "twice"}))
        assert (await first).message.text == "first"

    simulated(scene)


def shows_an_answer_that_comes_too_late_meets_no_later_call() -> None:
    """A store stalls past its caller's patience; its answer comes while the next call waits."""

    async def scene(loop) -> None:
        link, transport = link_of()
        assert await link.call(ASK, b"", 700.0) == CallResult(Execution.UNKNOWN)
        assert loop.time() == 0.7 and not len(link._pending)  # nothing is kept of a call given up
        given_up = link.request(ASK)
        given_up.cancel()
        link.data_received(frame({"a": sent_by(transport)[1]["q"], "is": "late"}))  # in the same turn
        assert not link.closed
        later = link.request(ASK)
        link.data_received(frame({"a": sent_by(transport)[0]["q"], "is": "late"}))
        assert not later.done()
        link.data_received(frame({"a": sent_by(transport)[2]["q"], "is": "own"}))
        assert (await later).message.text == "own"

    simulated(scene)


def shows_a_call_says_whether_it_was_ever_handed_to_its_connection() -> None:
    async def scene(loop) -> None:
        link, transport = link_of()
        waits = link.request(ASK)
        transport.waiting = 10**8  # the other side reads nothing: no more is handed on, and the link ends
        assert await link.call(ASK, b"x", 700.0) == CallResult(Execution.NOT_RUN)
        assert len(sent_by(transport)) == 1
        assert isinstance(waits.exception(), UnansweredError)
        assert waits.exception().execution is Execution.UNKNOWN
        after = link.request(ASK)
        assert isinstance(after.exception(), NotSentError)
        assert after.exception().execution is Execution.NOT_RUN

    simulated(scene)


def shows_a_message_that_cannot_be_read_ends_its_link_and_no_other() -> None:
    """A number that is a list, a truth value, a fraction; an operation that is no text; a wrong length."""
    bad = [
        frame({"a": [1]}), frame({"a": True}), frame({"a": 1.0}), frame({"q": {}, "op": "x"}),
        frame({"a": 2**60}), frame({"q": -1}), frame({"op": ["put"]}), frame({"op": None, "q": 1}),
        b"2:[],", b"+2:{},", b"1_0:", b"9:" + b"x" * 9 + b";", b"17:" + b'{"a":1,"raw":"3"}' + b",",
        b'15:{"a":1,"raw":3},2:xy,', b"99999999:",
    ]  # fmt: skip

    async def scene(loop) -> None:
        for text in bad:
            link, transport = link_of()
            waits = link.request(ASK)
            untouched, _ = link_of()
            link.data_received(text)
            assert link.closed and transport.closing and not untouched.closed, text
            assert isinstance(waits.exception(), UnansweredError), text  # not a success, whatever it named
            assert loop.problems.pop()["exception"], text  # and it is said

    simulated(scene)


def shows_a_message_whose_handling_fails_is_said_and_nothing_after_it_is_applied() -> None:
    """News that can't be applied must not be followed by news that builds on it."""
    heard = []

    def take(link: Link, frame: Frame) -> None:
        heard.append(msgspec.json.decode(frame.head, type=Numbered).number)
        if heard[-1] == 2:
            raise KeyError("view")

    async def scene(loop) -> None:
        link, _ = link_of(take)
        link.data_received(b"".join(frame({"op": "news", "n": n}) for n in (1, 2, 3)))
        assert heard == [1, 2] and link.closed
        assert isinstance(loop.problems.pop()["exception"], KeyError)
        heard.clear()
        link, _ = link_of(lambda link, frame: take(link, frame) or link.drop())
        link.data_received(frame({"op": "news", "n": 1}) + frame({"op": "news", "n": 3}))
        assert heard == [1]  # it has found a gap itself

    simulated(scene)


def shows_a_call_that_the_other_does_not_know_counts_as_unanswered() -> None:
    """A store of another version, or one that only starts, has done nothing: "late" was taken as told."""

    async def scene(loop) -> None:
        link, transport = link_of()
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
    """The accepting side of a dial: a process with a name and a life."""

    def __init__(self, name: str, incarnation: str) -> None:
        super().__init__(self._answer)
        self._says = HelloResponse(incarnation, name)

    def _answer(self, link: Link, frame: Frame) -> None:
        self.send_response(frame.envelope.call_number, self._says)


def shows_a_link_is_held_only_to_the_process_that_was_dialled() -> None:
    """An address that answers as another store, or with no life, is nobody's link; a refusal is told."""

    async def scene(loop) -> None:
        told: list[tuple] = []
        pool = LinkPool(HelloRequest("me", "m"), 7, lambda link, frame: None)
        pool.on_up.append(lambda name, link: told.append((name, link.incarnation)))
        pool.on_refused.append(lambda name: told.append((name, "refused")))
        loop.listeners[("a", 7)] = lambda: Store("a", "a1")
        loop.listeners[("b", 7)] = lambda: Store("elsewhere", "b1")
        loop.listeners[("c", 7)] = lambda: Store("c", "")
        pool.set_peers({"a", "b", "c", "d"})
        await asyncio.sleep(0.05)
        assert sorted(told) == [("a", "a1"), ("d", "refused")]
        assert [name for name in "abcd" if pool.link(name)] == ["a"]
        # Another life at the same address is another link: nothing asked of the first is answered by it.
        waits = pool.link("a").request(ASK)
        loop.listeners[("a", 7)] = lambda: Store("a", "a2")
        pool.link("a").drop()
        await asyncio.sleep(0.01)
        assert isinstance(waits.exception(), UnansweredError) and pool.link("a").incarnation == "a2"
        one, _ = link_of()
        assert one.identify("a", "a1") and one.identify("a", "a1") and not one.identify("a", "a2")
        pool._timer.cancel()

    simulated(scene)


def shows_a_pending_call_matched_to_the_next_answer_is_found_out() -> None:
    """The planted mistake: the oldest call of the connection takes whatever answer comes."""

    class InTurn(PendingCalls):
        def resolve(self, number, frame):
            return super().resolve(next(iter(self._calls), 0), frame)

    class Forgetful(PendingCalls):
        """A late answer goes to the call that took its place."""

        def resolve(self, number, frame):
            return super().resolve(number if number in self._calls else max(self._calls, default=0), frame)

    for mistake, shows in (
        (InTurn, shows_an_answer_meets_only_the_call_that_it_names),
        (Forgetful, shows_an_answer_that_comes_too_late_meets_no_later_call),
    ):
        planted(mistake, shows)


def planted(mistake: type, shows) -> None:
    import sableford.transport.link as module

    whole = module.PendingCalls
    module.PendingCalls = mistake
    try:
        shows()
    except AssertionError:
        return
    finally:
        module.PendingCalls = whole
    raise AssertionError(f"{mistake.__name__} was not found out")


def shows_what_comes_before_a_hello_is_nobody_s() -> None:
    """A connection that does not say whose it is gets no answer; nor does one that changes its name."""

    async def scene(loop) -> None:
        said, asked = [], []
        log = SimpleNamespace(event=lambda name, /, **fields: said.append(name))
        server = PeerServer("me", "m1", log)
        server.handle(Question, lambda incoming: asked.append(incoming.sender))

        def accepted() -> tuple[Link, MemoryTransport]:
            link = server.accept()
            return link, attached(link)

        hello, join = (
            frame({"op": "hello", "name": "a", "birth": "a1", "q": 1}),
            frame({"op": "ask", "q": 2}),
        )
        link, transport = accepted()
        link.data_received(join + hello + join)
        assert link.closed and not transport.written and not asked and said == ["hello_missing"]
        link, transport = accepted()
        link.data_received(hello + join)
        assert sent_by(transport) == [{"a": 1, "birth": "m1", "name": "me", "v": 1}]
        assert asked == ["a"]
        link.data_received(frame({"op": "hello", "name": "b", "birth": "a1", "q": 3}) + join)
        assert link.closed and len(sent_by(transport)) == 1 and asked == ["a"]
        link, transport = accepted()
        link.data_received(frame({"op": "hello", "name": "a", "birth": 7, "q": 1}))
        assert link.closed and not transport.written and loop.problems.pop()

    simulated(scene)


def shows_a_delivery_begins_only_while_its_store_may_begin_it() -> None:
    """Between the decision and the first byte its bytes are read and its worker is dialled."""
    queue = Queue("me", "m", 0, Table(1, DOC), Choice("z", "me"), 600.0, True)
    state = queue.state
    message = Message(HEADER, b"x", 0.0, 0.0)
    message.state = State.IN_FLIGHT
    queue.choice.put(0.0, WorkerEntry("w", "a", "10.0.0.9", 80, "z", 2, True), 0.0)
    state.messages, state.owned, state.lease = {message.ref: message}, {0: (1, 1)}, 1000.0
    clock = SimpleNamespace(now=lambda: 999.0)
    executor = SimpleNamespace(_queue=queue, _now=lambda: clock.now())

    def may(worker: str = "w") -> bool:
        return EffectExecutor.may_send(executor, Deliver(message.ref, worker, 2000.0))

    assert may() and not may("gone")
    clock.now = lambda: 1000.0  # its lease is over
    assert not may()
    clock.now, state.owned = lambda: 999.0, {}  # another's by now
    assert not may()
    state.owned, message.state = {0: (1, 1)}, State.ENDING
    assert not may()
    message.state, state.messages = State.IN_FLIGHT, {}  # it has ended meanwhile
    assert not may()


# A put that may have come before


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
    """What a store does on it, by what its others `a` and `b` answer; who is not named says nothing.
    `incomplete`: those that have lost their disks."""
    queue = Queue("me", "m", 1, Table(1, DOC), Choice("z", "me"), 600.0, True)
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


def shows_a_put_that_may_have_come_before_is_not_taken_anew_on_a_silence() -> None:
    """Its first try was taken, run and ended by an owner that is gone; who else knows the end says nothing.
    Of three stores one may be lost: two that answer are enough, this one among them."""
    no, ended = LookupResponse(), LookupResponse(FinalState("complete", "s", "", 0.0))
    unclear, kept = PutResponse(refusal="owner", maybe_kept=True), PutResponse(kept=True)
    assert put_again({"a": no, "b": no}) == ["taken"]
    assert put_again({"a": no}) == put_again({"a": no, "b": None}) == ["taken"]
    assert put_again({"b": ended}) == put_again({"a": None, "b": ended}) == [kept]
    assert put_again({}) == put_again({"a": None, "b": None}) == [unclear]  # silence, or a broken link
    assert put_again({"a": no}, live="a") == ["taken"]
    assert put_again({}, live="a") == put_again({"a": None}, live="a") == [unclear]


def shows_the_word_of_a_store_without_its_disk_does_not_let_a_put_be_taken_anew() -> None:
    """a lost its disk, so that it knows of nothing; b, which knows the end, is silent."""
    no = LookupResponse()
    unclear = PutResponse(refusal="owner", maybe_kept=True)
    assert put_again({"a": no}, incomplete="a") == [unclear]
    assert put_again({"a": no, "b": no}, incomplete="a") == ["taken"]
