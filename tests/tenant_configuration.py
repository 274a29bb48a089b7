"""Tenants and their API keys in the configuration: validation, and when a change comes into force.

The tests drive a single edge over a connection that stays open; configurations are validated without a
network. Design: docs/tenants.md.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import orjson

from sableford.common.settings import RuleBounds
from sableford.control.configuration import InvalidRequestError, amended, check
from sableford.control.member_client import configuration_until
from sableford.control.orders import Confirmed, Proposal, Refused, State, decide
from sableford.control.protocol import ConfigurationVersion
from sableford.control.requests import ConfigurationOrder, OrderKind
from sableford.control.view import message_ref
from sableford.edge.gateway import Gateway
from sableford.transport.http_server import ServerConnection
from tests.edge_gateway import NOTHING, ScriptedStore, make_edge
from tests.memory_network import MemoryTransport, attached, simulated

KEY, LATER_KEY, OTHER_KEY = "key-of-a", "later-key-of-a", "key-of-b"
APPLY_MS, REVOKE_MS = 4000.0, 5000.0  # as the sites with tenants have them
CONTROLS = tuple(chr(code) for code in (*range(0x20), 0x7F))

Document = dict[str, Any]


def tenant(name: Any, *keys: Any) -> Document:
    """One entry of `tenants`."""
    return {"name": name, "apiKeys": list(keys)}


def document(revision: int, *tenants: Document, public: bool | None = None) -> Document:
    """One route and one backend; `tenants` is present if any is given."""
    route = {"name": "r", "hostname": "h", "pathPrefix": "/b", "backend": "b", "deadlineMs": 1000}
    if public is not None:
        route["public"] = public
    doc = {"revision": revision, "routes": [route], "backends": [{"name": "b"}]}
    return doc | ({"tenants": list(tenants)} if tenants else {})


# At an edge


class OpenConnection:
    """A client's connection to an edge that stays open, and the store behind the edge."""

    def __init__(self, first: Document) -> None:
        self.store = ScriptedStore(*[{"kept": True}] * 9)
        self.gate: Gateway = make_edge({"s0": self.store})
        self.gate.runtime.settings.rule_bounds = RuleBounds(apply_ms=APPLY_MS, revoke_ms=REVOKE_MS)
        self.configure(first)
        self._transport: MemoryTransport = attached(ServerConnection(self.gate._server))
        self._sent = 0

    def configure(self, doc: Document) -> None:
        """Applies another version at the edge."""
        self.gate.configuration_changed(ConfigurationVersion(doc["revision"], doc))

    def let_configuration_lapse(self, apply_ms: float) -> None:
        """Ends the configuration lease so long ago that, by that bound, the configuration may be out of
        date."""
        elapsed_ms = configuration_until(0.0, apply_ms)
        self.gate.member.configuration_lease = self.gate.runtime.now() - elapsed_ms

    async def send(self, key: str | None = None, target: str = "/b/1", method: str = "POST") -> bytes:
        """The head of the answer to one request."""
        fields = ["Host: h", f"Attempt-Id: id-{self._sent}", "Deadline-Ms: 4000", "Content-Length: 0"]
        if key is not None:
            fields.append(f"Authorization: Token {key}")
        self._sent += 1
        before = len(self._transport.written)
        lines = [f"{method} {target} HTTP/1.1", *fields, "", ""]
        self._transport.protocol.data_received("\r\n".join(lines).encode())
        while len(self._transport.written) == before:
            await asyncio.sleep(0.01)
        assert not self._transport.closing
        return self._transport.written[before:]

    async def status(self, key: str | None = None, target: str = "/b/1", method: str = "POST") -> int:
        """The status of the answer to one request."""
        return int((await self.send(key, target, method)).split()[1])


def on_a_connection(first: Document, scene: Callable[[OpenConnection], Coroutine]) -> None:
    """Runs a scene on a simulated clock."""

    async def play(loop: asyncio.AbstractEventLoop) -> None:
        await scene(OpenConnection(first))

    simulated(play)


def shows_a_key_that_was_taken_away_is_refused_on_a_connection_that_is_open() -> None:
    # CONFIG: a revoked key went on running requests.
    async def scene(client: OpenConnection) -> None:
        assert await client.status(KEY) == 202
        client.configure(document(2, tenant("a", LATER_KEY), tenant("b", OTHER_KEY)))
        answer = await client.send(KEY)
        assert answer.startswith(b"HTTP/1.1 401 ") and b"WWW-Authenticate: Token\r\n" in answer, answer
        assert KEY.encode() not in answer
        assert len(client.store.puts) == 1
        assert await client.status(OTHER_KEY) == 202

    on_a_connection(document(1, tenant("a", KEY, LATER_KEY), tenant("b", OTHER_KEY)), scene)


def shows_a_key_that_was_added_is_served() -> None:
    # CONFIG: a request was refused with 401 while its key existed.
    async def scene(client: OpenConnection) -> None:
        assert await client.status(LATER_KEY) == 401 and not client.store.puts
        client.configure(document(2, tenant("a", KEY, LATER_KEY)))
        assert await client.status(LATER_KEY) == 202
        client.configure(document(5, tenant("a", KEY, LATER_KEY), tenant("b", OTHER_KEY)))
        assert await client.status(OTHER_KEY) == 202
        assert [put.tenant for put in client.store.puts] == ["a", "b"]

    on_a_connection(document(1, tenant("a", KEY)), scene)


def shows_a_key_that_went_to_another_tenant_is_that_one_s() -> None:
    # CONFIG: a request ran for the tenant that held its key in an older version.
    async def scene(client: OpenConnection) -> None:
        assert await client.status(KEY) == 202
        client.configure(document(2, tenant("a"), tenant("b", KEY)))
        assert await client.status(KEY) == 202
        assert [put.tenant for put in client.store.puts] == ["a", "b"]

    on_a_connection(document(1, tenant("a", KEY), tenant("b")), scene)


def shows_a_tenant_that_lost_all_its_keys_is_refused() -> None:
    # CONFIG: a key was run though its tenant had lost them all, or though the last tenant had gone.
    async def scene(client: OpenConnection) -> None:
        for revision, tenants in ((2, [tenant("a")]), (3, [])):
            client.configure(document(revision) | {"tenants": tenants})
            assert await client.status(KEY) == 401, tenants
            assert await client.status() == 401, tenants
        assert not client.store.puts

    on_a_connection(document(1, tenant("a", KEY)), scene)


def shows_a_route_asks_for_a_key_from_the_version_on_that_makes_it_so() -> None:
    # CONFIG: a route that a version had made public, or no longer public, was handled as before.
    async def scene(client: OpenConnection) -> None:
        for revision, public, without_key in (
            (2, True, 202),
            (3, False, 401),
            (4, True, 202),
            (5, None, 401),
        ):
            client.configure(document(revision, tenant("a", KEY), public=public))
            assert await client.status() == without_key, (revision, public)
            assert await client.status("unknown") == without_key, (revision, public)
            assert await client.status(KEY) == 202, (revision, public)
        tenants = [put.tenant for put in client.store.puts]
        assert tenants == ["", "", "a", "a", "", "", "a", "a"], tenants

    on_a_connection(document(1, tenant("a", KEY)), scene)


def shows_an_edge_checks_no_key_against_a_configuration_that_may_be_outdated() -> None:
    # CONFIG: an edge without a lease for long ran a revoked key, or refused one that had been added.
    async def scene(client: OpenConnection) -> None:
        client.let_configuration_lapse(min(APPLY_MS, REVOKE_MS))
        for key in (KEY, "unknown", None):
            assert await client.status(key) == 503, key
            # The state of a message needs a key too.
            for path in ("/v1/message/", "/v1/message-body/"):
                assert await client.status(key, path + message_ref(7, "a", "id"), "GET") == 503, (key, path)
        assert not client.store.puts

    on_a_connection(document(1, tenant("a", KEY)), scene)


def shows_a_key_is_checked_by_the_shorter_of_both_bounds() -> None:
    # CONFIG: where keys must be gone sooner than routes, an edge acted on them until the routes' bound.
    async def scene(client: OpenConnection) -> None:
        bounds = client.gate.runtime.settings.rule_bounds
        for bounds.apply_ms, bounds.revoke_ms in ((4000.0, 2000.0), (2000.0, 5000.0)):
            client.let_configuration_lapse(2000.0)
            assert await client.status(KEY) == 503, bounds
            client.gate.member.configuration_lease += 1.0
            assert await client.status(KEY) == 202, bounds

    on_a_connection(document(1, tenant("a", KEY)), scene)


def shows_a_message_s_state_is_readable_with_a_key_of_the_version_in_force() -> None:
    # CONFIG: a state was told to a key that had been taken away, or refused to one that had been added.
    async def scene(client: OpenConnection) -> None:
        client.store.answers = [{"kept": True}]
        answer = await client.send(KEY)
        ref = answer.partition(b"Message-Ref: ")[2].partition(b"\r\n")[0].decode()
        client.configure(document(2, tenant("a", LATER_KEY)))
        client.store.answers = [NOTHING] * 9
        for path in ("/v1/message/", "/v1/message-body/"):
            assert await client.status(KEY, path + ref, "GET") == 401, path
        assert len(client.store.puts) == 1, "a store was asked on behalf of a key that is gone"
        assert await client.status(LATER_KEY, "/v1/message/" + ref, "GET") != 401

    on_a_connection(document(1, tenant("a", KEY)), scene)


# Validation


def answer_to(state: State, kind: OrderKind, base: int, body: Document) -> tuple[int, str]:
    """Status and text of the answer to an order."""
    match decide(state, ConfigurationOrder(kind, base, body)):
        case Proposal() | Confirmed():
            return 200, ""
        case Refused(status, reason):
            return status, reason
    raise AssertionError("undecided")


def state_of(doc: Document) -> State:
    return State(doc["revision"], doc)


def shows_tenants_that_are_invalid_are_refused_by_their_field_wherever_they_come() -> None:
    # CONFIG: a configuration in which two tenants share a key was acknowledged.
    valid = tenant("a", KEY)
    cases: list[tuple[str, list[Any]]] = [
        ("two tenants, one key", [valid, tenant("b", OTHER_KEY, KEY)]),
        ("two tenants of one name", [valid, tenant("a", OTHER_KEY)]),
        ("an empty name", [valid, tenant("", OTHER_KEY)]),
        ("no name", [valid, {"apiKeys": [OTHER_KEY]}]),
        ("a name of another kind", [valid, tenant(7, OTHER_KEY)]),
        ("an empty key", [valid, tenant("b", "")]),
        ("no keys", [valid, {"name": "b"}]),
        ("keys of another kind", [valid, tenant("b", 7)]),
        ("a key that is null", [valid, tenant("b", None)]),
        ("keys that are no list", [valid, {"name": "b", "apiKeys": OTHER_KEY}]),
        ("a tenant that is a text", [valid, "b"]),
        *((f"a name with {control!r}", [valid, tenant(f"b{control}c")]) for control in CONTROLS),
        *((f"a key with {control!r}", [valid, tenant("b", f"x{control}y")]) for control in CONTROLS),
    ]
    with_tenants, without = state_of(document(1, tenant("c", "key-of-c"))), state_of(document(1))
    for why, tenants in cases:
        replacement = document(2) | {"tenants": tenants}
        amendment = {"revision": 2, "upsert": {"tenants": tenants}}
        for state, kind, body in (
            (with_tenants, OrderKind.REPLACE, replacement),
            (without, OrderKind.REPLACE, replacement),
            (with_tenants, OrderKind.AMEND, amendment),
            (without, OrderKind.AMEND, amendment),
        ):
            status, text = answer_to(state, kind, 1, body)
            assert status == 400, (why, kind, status)
            assert "tenants" in text, (why, kind, text)
            assert KEY not in text and OTHER_KEY not in text, (why, kind, "the text names a key")
    assert answer_to(with_tenants, OrderKind.REPLACE, 1, document(2, valid)) == (200, "")


def shows_a_key_that_another_tenant_holds_already_is_refused_in_an_amendment() -> None:
    # CONFIG: an amendment that was valid by itself made a configuration that is not.
    state = state_of(document(1, tenant("a", KEY), tenant("b", OTHER_KEY)))
    for shared in (tenant("b", OTHER_KEY, KEY), tenant("c", KEY)):
        status, text = answer_to(state, OrderKind.AMEND, 1, {"revision": 2, "upsert": {"tenants": [shared]}})
        assert status == 400 and "tenants" in text and KEY not in text, (status, text)
    moved = {"revision": 2, "upsert": {"tenants": [tenant("a"), tenant("b", OTHER_KEY, KEY)]}}
    assert answer_to(state, OrderKind.AMEND, 1, moved) == (200, "")
    dropped = {"revision": 2, "remove": {"tenants": ["a"]}, "upsert": {"tenants": [tenant("c", KEY)]}}
    assert answer_to(state, OrderKind.AMEND, 1, dropped) == (200, "")


def shows_no_text_of_a_refusal_names_a_key() -> None:
    # A refusal for another reason must not reveal a tenant's keys to the sender or in the log.
    for tenants in (
        [tenant("a", KEY), tenant("a", KEY)],
        [tenant("a", KEY), tenant("b", KEY)],
        [tenant("a", KEY, f"{KEY}\n")],
        [tenant("a", KEY, [KEY])],
        [{"name": "a", "apiKeys": {KEY: 1}}],
        [{"name": [KEY], "apiKeys": [KEY]}],
    ):
        try:
            check(document(1) | {"tenants": tenants})
        except InvalidRequestError as problem:
            assert KEY not in str(problem), problem
        else:
            raise AssertionError(tenants)


def shows_tenants_are_added_changed_and_removed_by_amendments() -> None:
    # A valid change of tenants was refused where the configuration had named none.
    for first in (document(1), document(1) | {"tenants": []}, document(1, tenant("z", "key-of-z"))):
        doc = first
        present = first.get("tenants", [])
        for change, wanted in (
            ({"upsert": {"tenants": [tenant("a", KEY)]}}, [*present, tenant("a", KEY)]),
            ({"upsert": {"tenants": [tenant("a", LATER_KEY)]}}, [*present, tenant("a", LATER_KEY)]),
            ({"upsert": {"tenants": [tenant("a")]}}, [*present, tenant("a")]),
            ({"remove": {"tenants": ["a"]}}, present),
        ):
            doc = amended(doc, {"revision": doc["revision"] + 1, **change})
            check(doc)
            assert doc["tenants"] == wanted, (change, doc["tenants"])
            assert orjson.loads(orjson.dumps(doc)) == doc
    # Without tenants there is none to remove, and the rest of the change applies.
    doc = amended(document(1), {"revision": 2, "remove": {"tenants": ["a"]}})
    assert not doc.get("tenants") and check(doc).revision == 2


def shows_a_tenant_without_keys_is_valid() -> None:
    # A valid configuration was refused: a tenant may lose its last key.
    state = state_of(document(1, tenant("a", KEY)))
    for doc in (document(2, tenant("a")), document(2, tenant("a"), tenant("b"))):
        assert answer_to(state, OrderKind.REPLACE, 1, doc) == (200, "")
    last = {"revision": 2, "upsert": {"tenants": [tenant("a")]}}
    assert answer_to(state, OrderKind.AMEND, 1, last) == (200, "")
