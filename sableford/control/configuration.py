"""Validates an operator's configuration, and applies amendments to one. No I/O.

PROTOCOL.md ("The operator") defines the format; fields that it does not name are kept unchanged.
"""

from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError, model_validator

# Not every JSON implementation represents a larger number exactly (RFC 8259, section 6), and the largest
# 64-bit number, once used, would leave no room for any later version.
MAX_REVISION = 2**53 - 1
MAX_DEPTH = 64  # levels of nesting: far more than any configuration has, and fewer than JSON writers support
MAX_PORT = 65_535
OPTIONAL_PARTS = ("tenants",)  # may be absent from a configuration, and added by an amendment


def _without_fraction(value: Any) -> Any:
    """Converts 2.0 to 2: JSON has only one kind of number."""
    return int(value) if isinstance(value, float) and value.is_integer() else value


Integer = Annotated[int, BeforeValidator(_without_fraction)]
Text = Annotated[str, Field(min_length=1)]
NonNegative = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
# A tenant's name is sent to workers in a header, and a key is received in one: neither may contain anything
# that ends the header line, or begin or end with blanks, which would be stripped.
HEADER_VALUE = r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?$"
VISIBLE = r"^[^\x00-\x20\x7f]+$"
Revision = Annotated[int, Field(ge=1, le=MAX_REVISION, strict=True)]


class InvalidRequestError(Exception):
    """An invalid request; the text is one line that names the field."""


class _Part(BaseModel):
    """Strict, without type conversion: members read the document as it was sent."""

    model_config = ConfigDict(extra="allow", strict=True)


class Route(_Part):
    name: Text
    hostname: Text
    pathPrefix: Annotated[str, Field(pattern=r"^/")]
    backend: Text
    deadlineMs: Positive
    variant: str = "deferred"
    targetMs: NonNegative = 0
    rank: Integer = 0
    maxTries: Annotated[Integer, Field(ge=1)] = 1
    fifo: bool = False
    retentionS: NonNegative = 0
    notify: bool = False
    public: bool = False
    startTargetMs: NonNegative | None = None


class Backend(_Part):
    name: Text
    healthPath: str = "/"
    maxConns: Annotated[Integer, Field(ge=1)] = 1
    ratePerS: NonNegative = 0
    idempotent: bool = False
    pulled: bool = False
    endpoint: Annotated[str, Field(pattern=r"^[^:\s]+:[0-9]{1,5}$")] | None = None

    @model_validator(mode="after")
    def _has_a_port(self) -> "Backend":
        if self.endpoint is not None and not 0 < int(self.endpoint.rpartition(":")[2]) <= MAX_PORT:
            raise ValueError(f"endpoint: {self.endpoint!r} has no port between 1 and {MAX_PORT}")
        return self


class Tenant(_Part):
    """A tenant, whose requests carry one of its keys. A tenant without keys can't send any."""

    name: Annotated[str, Field(pattern=HEADER_VALUE)]
    apiKeys: list[Annotated[str, Field(pattern=VISIBLE)]]
    rank: Integer = 0


class Limits(_Part):
    maxHeaderBytes: Annotated[Integer, Field(gt=0)] = 16_384
    maxBodyBytes: Annotated[Integer, Field(gt=0)] = 262_144
    headerTimeoutMs: Positive = 3000
    idleTimeoutMs: Positive = 15_000


class Configuration(_Part):
    revision: Revision
    routes: list[Route]
    backends: list[Backend]
    limits: Limits = Limits()
    tenants: list[Tenant] | None = None  # None: no request needs a key

    @model_validator(mode="after")
    def _check_references(self) -> "Configuration":
        known = {backend.name for backend in self.backends}
        if len(known) < len(self.backends):
            raise ValueError("backends: two of one name")
        if len({route.name for route in self.routes}) < len(self.routes):
            raise ValueError("routes: two of one name")
        targets = set()
        for at, route in enumerate(self.routes):
            if route.backend not in known:
                raise ValueError(f"routes.{at}.backend: {route.backend!r} is not among the backends")
            target = route.hostname.lower(), route.pathPrefix
            if target in targets:
                raise ValueError(f"routes.{at}: another route has {route.hostname}{route.pathPrefix}")
            targets.add(target)
        self._check_tenants()
        return self

    def _check_tenants(self) -> None:
        """Raises ValueError, whose text names tenants but never a key."""
        holders: dict[str, str] = {}
        names = set()
        for at, tenant in enumerate(self.tenants or []):
            if tenant.name in names:
                raise ValueError(f"tenants.{at}.name: another tenant is called {tenant.name!r}")
            names.add(tenant.name)
            for key in tenant.apiKeys:
                if (holder := holders.setdefault(key, tenant.name)) != tenant.name:
                    raise ValueError(f"tenants.{at}.apiKeys: {tenant.name!r} shares a key with {holder!r}")


def check(doc: Any) -> Configuration:
    """Validates a configuration. Raises InvalidRequestError.

    >>> try:
    ...     check({"revision": 1, "routes": [], "backends": [{"name": ""}]})
    ... except InvalidRequestError as problem:
    ...     print(problem)
    backends.0.name: String should have at least 1 character
    """
    try:
        return Configuration.model_validate(doc)
    except ValidationError as problem:
        first = problem.errors(include_url=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        text = first["msg"].removeprefix("Value error, ")
        raise InvalidRequestError(f"{place}: {text}" if place else text) from None


def check_depth(given: Any) -> None:
    """Raises InvalidRequestError if the JSON is nested deeper than the JSON writers, here and elsewhere,
    support."""
    level = [given]
    for _ in range(MAX_DEPTH):
        below: list[Any] = []
        for value in level:
            if isinstance(value, dict):
                below += value.values()
            elif isinstance(value, list):
                below += value
        if not below:
            return
        level = below
    raise InvalidRequestError(f"the body: nested more than {MAX_DEPTH} levels deep")


def amended(doc: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """The configuration after an amendment; `doc` is not modified. Raises InvalidRequestError.

    >>> amended({"revision": 1, "routes": [{"name": "a"}, {"name": "b"}]}, {"revision": 2,
    ...     "upsert": {"routes": [{"name": "b", "x": 1}, {"name": "c"}]}, "remove": {"routes": ["a"]}})
    {'revision': 2, 'routes': [{'name': 'b', 'x': 1}, {'name': 'c'}]}
    """
    new = dict(doc)
    for part, names in _parts(change, "remove"):
        is_absent = part in OPTIONAL_PARTS and new.get(part) is None
        remaining = _without([] if is_absent else new.get(part), names, part)
        if not is_absent:
            new[part] = remaining
    for part, items in _parts(change, "upsert"):
        if part == "limits" and isinstance(items, dict):
            new[part] = {**new.get(part, {}), **items}
        elif part in OPTIONAL_PARTS and new.get(part) is None:
            new[part] = _with([], items, part)
        else:
            new[part] = _with(new.get(part), items, part)
    new["revision"] = change.get("revision")
    return new


def _parts(change: dict[str, Any], field: str) -> list[tuple[str, Any]]:
    given = change.get(field)
    if given is None:
        return []
    if not isinstance(given, dict):
        raise InvalidRequestError(f"{field}: an object is wanted")
    return list(given.items())


def _are_named(items: Any) -> bool:
    return isinstance(items, list) and all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in items
    )


def _without(present: Any, names: Any, part: str) -> list[dict[str, Any]]:
    if not _are_named(present):
        raise InvalidRequestError(f"remove.{part}: the configuration has no named items of that kind")
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise InvalidRequestError(f"remove.{part}: a list of names is wanted")
    unwanted = set(names)
    return [item for item in present if item["name"] not in unwanted]


def _with(present: Any, items: Any, part: str) -> list[dict[str, Any]]:
    if not _are_named(present):
        raise InvalidRequestError(f"upsert.{part}: the configuration has no named items of that kind")
    if not _are_named(items):
        raise InvalidRequestError(f"upsert.{part}: a list of items with names is wanted")
    if len({item["name"] for item in items}) < len(items):
        raise InvalidRequestError(f"upsert.{part}: two items of one name")
    by_name = {item["name"]: item for item in present}
    by_name.update((item["name"], item) for item in items)
    return list(by_name.values())
