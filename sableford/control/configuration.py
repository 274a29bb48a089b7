"""What an operator's configuration must be, and what an amendment makes of one. No I/O.

The page PROTOCOL.md ("The operator") gives the form; fields that it does not name are kept as they came.
"""

from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError, model_validator

# A version above it could not be written exactly by every JSON reader (RFC 8259, section 6), and the largest
# 64-bit number, once taken, would leave no room for any later version.
MAX_REVISION = 2**53 - 1
MAX_DEPTH = 64  # levels of nesting: far more than any configuration has, and fewer than JSON writers bear
MAX_PORT = 65_535
OPTIONAL_PARTS = ("tenants",)  # that a configuration may be without, and an amendment may bring


def _without_fraction(value: Any) -> Any:
    """JSON has one kind of number: 2.0 is 2."""
    return int(value) if isinstance(value, float) and value.is_integer() else value


Whole = Annotated[int, BeforeValidator(_without_fraction)]
Text = Annotated[str, Field(min_length=1)]
Figure = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
# A tenant's name goes to workers in a header, a key comes in one: neither may end the line or lose its ends.
HEADER_VALUE = r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?$"
VISIBLE = r"^[^\x00-\x20\x7f]+$"
Revision = Annotated[int, Field(ge=1, le=MAX_REVISION, strict=True)]


class InvalidRequestError(Exception):
    """One line that names the field."""


class _Part(BaseModel):
    """Strict: members read the document as it came, so nothing may be taken for another type here."""

    model_config = ConfigDict(extra="allow", strict=True)


class Route(_Part):
    name: Text
    hostname: Text
    pathPrefix: Annotated[str, Field(pattern=r"^/")]
    backend: Text
    deadlineMs: Positive
    variant: str = "deferred"
    targetMs: Figure = 0
    rank: Whole = 0
    maxTries: Annotated[Whole, Field(ge=1)] = 1
    fifo: bool = False
    retentionS: Figure = 0
    notify: bool = False
    public: bool = False
    startTargetMs: Figure | None = None


class Backend(_Part):
    name: Text
    healthPath: str = "/"
    maxConns: Annotated[Whole, Field(ge=1)] = 1
    ratePerS: Figure = 0
    idempotent: bool = False
    pulled: bool = False
    endpoint: Annotated[str, Field(pattern=r"^[^:\s]+:[0-9]{1,5}$")] | None = None

    @model_validator(mode="after")
    def _has_a_port(self) -> "Backend":
        if self.endpoint is not None and not 0 < int(self.endpoint.rpartition(":")[2]) <= MAX_PORT:
            raise ValueError(f"endpoint: {self.endpoint!r} has no port between 1 and {MAX_PORT}")
        return self


class Tenant(_Part):
    """A party whose requests are known by any of its keys. One without keys sends nothing."""

    name: Annotated[str, Field(pattern=HEADER_VALUE)]
    apiKeys: list[Annotated[str, Field(pattern=VISIBLE)]]
    rank: Whole = 0


class Limits(_Part):
    maxHeaderBytes: Annotated[Whole, Field(gt=0)] = 16_384
    maxBodyBytes: Annotated[Whole, Field(gt=0)] = 262_144
    headerTimeoutMs: Positive = 3000
    idleTimeoutMs: Positive = 15_000


class Configuration(_Part):
    revision: Revision
    routes: list[Route]
    backends: list[Backend]
    limits: Limits = Limits()
    tenants: list[Tenant] | None = None  # none: nobody is asked for a key

    @model_validator(mode="after")
    def _fits(self) -> "Configuration":
        known = {one.name for one in self.backends}
        if len(known) < len(self.backends):
            raise ValueError("backends: two of one name")
        if len({one.name for one in self.routes}) < len(self.routes):
            raise ValueError("routes: two of one name")
        places = set()
        for at, one in enumerate(self.routes):
            if one.backend not in known:
                raise ValueError(f"routes.{at}.backend: {one.backend!r} is not among the backends")
            place = one.hostname.lower(), one.pathPrefix
            if place in places:
                raise ValueError(f"routes.{at}: another route has {one.hostname}{one.pathPrefix}")
            places.add(place)
        self._check_tenants()
        return self

    def _check_tenants(self) -> None:
        """Raises ValueError, which names tenants and no key."""
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
    """Raises InvalidRequestError.

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
    """Raises InvalidRequestError where JSON is nested deeper than its writers, here and at others, can
    follow."""
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
    """The configuration that an amendment makes; `doc` stays as it is. Raises InvalidRequestError.

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


def _named(items: Any) -> bool:
    return isinstance(items, list) and all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in items
    )


def _without(present: Any, names: Any, part: str) -> list[dict[str, Any]]:
    if not _named(present):
        raise InvalidRequestError(f"remove.{part}: the configuration has no named items of that kind")
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise InvalidRequestError(f"remove.{part}: a list of names is wanted")
    unwanted = set(names)
    return [item for item in present if item["name"] not in unwanted]


def _with(present: Any, items: Any, part: str) -> list[dict[str, Any]]:
    if not _named(present):
        raise InvalidRequestError(f"upsert.{part}: the configuration has no named items of that kind")
    if not _named(items):
        raise InvalidRequestError(f"upsert.{part}: a list of items with names is wanted")
    if len({item["name"] for item in items}) < len(items):
        raise InvalidRequestError(f"upsert.{part}: two items of one name")
    by_name = {item["name"]: item for item in present}
    by_name.update((item["name"], item) for item in items)
    return list(by_name.values())
