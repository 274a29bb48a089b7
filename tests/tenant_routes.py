"""Authentication at an edge by API keys of tenants, on public and other routes (docs/tenants.md)."""

import base64
from hashlib import sha256

import msgspec

from sableford.control.protocol import ConfigurationVersion
from sableford.edge.gateway import Gateway
from sableford.simulation.stores import DOC
from sableford.transport.http import HttpResponse
from sableford.transport.routes import RoutingTable
from tests.edge_gateway import ScriptedStore, make_edge, send
from tests.memory_network import simulated

KEY, OTHER_KEY, UNKNOWN_KEY = b"k-7f3aQ91c2", b"z-55d0W2e8b", b"k-0000nobody"
TENANTS = [
    {"name": "nowu640", "apiKeys": [KEY.decode(), "k-second"]},
    {"name": "goka901", "apiKeys": [OTHER_KEY.decode()]},
    {"name": "keyless", "apiKeys": []},
]
PUBLIC = DOC["routes"][1] | {"name": "p", "pathPrefix": "/p", "public": True}
WITHOUT_TENANTS = DOC | {"routes": [*DOC["routes"], PUBLIC]}
WITH_TENANTS = WITHOUT_TENANTS | {"tenants": TENANTS}
CLOSED_PATHS, PUBLIC_PATH, UNKNOWN_PATH = ("/a/1", "/b/1"), "/p/1", "/nowhere"
ID = (b"attempt-id", b"id")
UNACCEPTED = (
    None,  # no such field
    b"",
    b"Token",
    b"Token ",
    KEY,
    b"Bearer " + KEY,
    b"Basic " + base64.b64encode(b"nowu640:" + KEY),
    b"Tokens " + KEY,
    b"Token" + KEY,
    b"Token=" + KEY,
    b"Token " + UNKNOWN_KEY,
    b"Token " + KEY[:5] + b" " + KEY[5:],
    b"Token " + KEY + b" " + KEY,
    b"Token " + KEY + b", Token " + OTHER_KEY,
    b"Token " + KEY + b"," + OTHER_KEY,
    b'Token "' + KEY + b'"',
    b"Token " + KEY.upper(),
    b"Token " + KEY.lower(),
    b"Token " + KEY[:-1],
    b"Token " + KEY[:1],
    b"Token " + KEY[1:],
    b"Token " + KEY + b"0",
    b"Token " + KEY + b"\x00",
    b"Token nowu640",
    b"Token keyless",
    b"Token " + sha256(KEY).hexdigest().encode(),
    b"Token " + sha256(KEY).digest(),
    b"Token \xff\xfe",
)


class Result:
    """The result of one request: the response, the puts to the store, and the lines of the log."""

    def __init__(
        self, path: str, *fields: tuple[bytes, bytes], document: dict = WITH_TENANTS, lease: float = 1e9
    ) -> None:
        self.lines: list[str] = []

        async def scene() -> tuple[HttpResponse, ScriptedStore]:
            store = ScriptedStore(*[{"kept": True}] * 4)
            edge = make_edge({"s0": store})
            self._configure(edge, document)
            edge.member.configuration_lease = lease
            result = send(edge, path, *fields)
            return (result if isinstance(result, HttpResponse) else await result), store

        self.answer, store = simulated(lambda loop: scene())
        self.status, self.puts = self.answer.status, store.puts

    def _configure(self, edge: Gateway, document: dict) -> None:
        edge.log.event = lambda name, /, **fields: self.lines.append(f"{name} {fields}")
        edge.configuration_changed(ConfigurationVersion(2, document))


def with_key(value: bytes | None) -> tuple[tuple[bytes, bytes], ...]:
    """The fields of a message that is valid except, perhaps, for its Authorization."""
    return (ID,) if value is None else (ID, (b"authorization", value))


# Guards against ROUTE: a request with an unknown key, or without one, is run.
def shows_a_route_that_is_not_public_takes_nothing_without_a_known_key() -> None:
    for path in CLOSED_PATHS:
        for value in UNACCEPTED:
            result = Result(path, *with_key(value))
            assert (result.status, result.puts) == (401, []), (path, value, result.status, len(result.puts))


# Guards against ROUTE: a route is public because the field is present, not because it is `true`.
def shows_a_route_is_public_only_where_its_configuration_says_true() -> None:
    for given in ({}, {"public": False}, {"public": None}):
        route = {name: value for name, value in PUBLIC.items() if name != "public"} | given
        result = Result(PUBLIC_PATH, ID, document=WITH_TENANTS | {"routes": [route]})
        assert (result.status, result.puts) == (401, []), (given, result.status)


# Guards against ROUTE: a request is run for no tenant, or for a tenant other than the owner of the key.
def shows_a_known_key_names_its_tenant_on_each_route() -> None:
    for path in (*CLOSED_PATHS, PUBLIC_PATH):
        for key, tenant in ((KEY, "nowu640"), (b"k-second", "nowu640"), (OTHER_KEY, "goka901")):
            result = Result(path, *with_key(b"Token " + key))
            assert result.status == 202 and len(result.puts) == 1, (path, key, result.status)
            assert getattr(result.puts[0], "tenant", None) == tenant, (path, key)


# Guards against CONFIG and UNASKED: a public route requires a key, or attributes an unknown one to a tenant.
def shows_a_public_route_asks_for_no_key_and_an_unknown_one_names_no_tenant() -> None:
    for value in UNACCEPTED:
        result = Result(PUBLIC_PATH, *with_key(value))
        assert result.status == 202 and len(result.puts) == 1, (value, result.status)
        assert getattr(result.puts[0], "tenant", None) == "", value


# Guards against ROUTE: of two Authorization fields the one with a known key is used.
def shows_two_authorizations_are_refused_on_each_route() -> None:
    for document in (WITH_TENANTS, WITHOUT_TENANTS):
        for path in (*CLOSED_PATHS, PUBLIC_PATH, UNKNOWN_PATH):
            for first, second in ((KEY, KEY), (KEY, OTHER_KEY), (UNKNOWN_KEY, KEY), (KEY, UNKNOWN_KEY)):
                fields = (b"authorization", b"Token " + first), (b"authorization", b"Token " + second)
                result = Result(path, ID, *fields, document=document)
                assert (result.status, result.puts) == (400, []), (path, first, second, result.status)
                assert b"Authorization" in result.answer.body, result.answer


# Guards against ROUTE and CONFIG: a request without a route is run, or refused for another reason.
def shows_an_unknown_route_is_answered_404_whatever_the_key() -> None:
    for value in (*UNACCEPTED, b"Token " + KEY):
        result = Result(UNKNOWN_PATH, *with_key(value))
        assert (result.status, result.puts) == (404, []), (value, result.status)


# Guards against ROUTE: a key is checked against a configuration that may be outdated.
def shows_no_key_is_checked_while_the_configuration_may_be_outdated() -> None:
    for value in (None, b"Token " + UNKNOWN_KEY, b"Token " + KEY):
        for path in (*CLOSED_PATHS, PUBLIC_PATH, UNKNOWN_PATH):
            result = Result(path, *with_key(value), lease=-1e9)
            assert (result.status, result.puts) == (503, []), (path, value, result.status)


# Guards against an unauthorized request getting details about its other fields.
def shows_a_key_is_checked_before_the_other_fields() -> None:
    for fields in ((), (ID, (b"delay-ms", b"nan")), (ID, (b"deadline-ms", b"-1"))):
        refused = Result(CLOSED_PATHS[0], *fields, (b"authorization", b"Token " + UNKNOWN_KEY))
        assert (refused.status, refused.puts) == (401, []), (fields, refused.status)
        known = Result(CLOSED_PATHS[0], *fields, (b"authorization", b"Token " + KEY))
        assert (known.status, known.puts) == (400, []), (fields, known.status)


# Guards against CONFIG: a deployment without tenants, as all earlier ones are, responds with 401.
def shows_a_configuration_without_tenants_asks_for_no_key() -> None:
    for value in (*UNACCEPTED, b"Token " + KEY):
        for path in (*CLOSED_PATHS, PUBLIC_PATH):
            result = Result(path, *with_key(value), document=WITHOUT_TENANTS)
            assert result.status == 202 and len(result.puts) == 1, (path, value, result.status)
            assert getattr(result.puts[0], "tenant", "") == "", (path, value)


# Guards against ROUTE: when all tenants are removed, all requests are allowed instead of none.
def shows_an_empty_list_of_tenants_is_no_configuration_without_tenants() -> None:
    for value in (None, b"Token " + KEY):
        result = Result(CLOSED_PATHS[0], *with_key(value), document=WITHOUT_TENANTS | {"tenants": []})
        assert (result.status, result.puts) == (401, []), (value, result.status)


def renderings(key: bytes) -> set[str]:
    """The key and its digests in the forms in which they might appear in a text."""
    digest = sha256(key)
    return {
        key.decode(),
        digest.hexdigest(),
        digest.hexdigest()[:16],
        base64.b64encode(digest.digest()).decode(),
    }


# Guards against UNASKED: a key is disclosed to a worker, a client or the log.
def shows_no_answer_put_or_log_line_has_a_key_or_its_digest() -> None:
    for path in (*CLOSED_PATHS, PUBLIC_PATH, UNKNOWN_PATH):
        for keys in ((KEY,), (UNKNOWN_KEY,), (KEY, OTHER_KEY)):
            result = Result(path, ID, *((b"authorization", b"Token " + key) for key in keys))
            texts = [
                str(result.answer),
                *(msgspec.json.encode(put).decode() for put in result.puts),
                *result.lines,
            ]
            for text in texts:
                for secret in set().union(*map(renderings, (KEY, OTHER_KEY, UNKNOWN_KEY))):
                    assert secret not in text, (path, keys, text)
            assert any(line.startswith("config ") for line in result.lines), "nothing was logged"


# Guards against a 401 without the scheme to use (RFC 9110, 11.6.1).
def shows_a_401_response_names_the_required_scheme() -> None:
    for value in UNACCEPTED:
        result = Result(CLOSED_PATHS[0], *with_key(value))
        assert result.status == 401, (value, result.status)
        schemes = [text for name, text in result.answer.headers if name.lower() == "www-authenticate"]
        assert schemes == ["Token"], (value, result.answer)


# Guards against ROUTE: the routing table of a version knows other keys than the version.
def shows_a_table_knows_just_the_keys_of_its_version() -> None:
    table = RoutingTable(2, WITH_TENANTS)
    known = {KEY: "nowu640", b"k-second": "nowu640", OTHER_KEY: "goka901"}
    for key, tenant in known.items():
        assert table.tenant_of(key) == tenant, key
    for key in (b"", b" ", UNKNOWN_KEY, KEY[:-1], KEY + b" ", KEY.upper(), sha256(KEY).digest(), b"\xff"):
        assert table.tenant_of(key) is None, key
    for document in ({}, WITHOUT_TENANTS, WITH_TENANTS | {"tenants": TENANTS[1:]}):
        assert RoutingTable(3, document).tenant_of(KEY) is None, document
    routes = {path: table.find("h", path) for path in (*CLOSED_PATHS, PUBLIC_PATH)}
    assert [route is not None and route.public for route in routes.values()] == [False, False, True]
