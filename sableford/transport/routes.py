"""Which route a request is for, by host and longest prefix, and which tenant a key belongs to, under one
version of the configuration.
"""

from hashlib import sha256
from typing import Any, NamedTuple


class Route(NamedTuple):
    """One route of the configuration; times are ms, but for `retention_s`."""

    name: str
    backend: str
    deadline_ms: float
    target_ms: float
    start_ms: float
    rank: int
    tries: int
    fifo: bool
    retention_s: float
    variant: str
    public: bool = False  # whoever sends needs no key


class Backend(NamedTuple):
    """One service. `endpoint`: its one address, where it is on no list; `rate`: calls a second that it
    bears, 0 for no limit."""

    name: str
    idempotent: bool
    conns: int
    health: str
    endpoint: str | None
    rate: float


class Table:
    """Routes and services of one version; `revision` 0 is none."""

    def __init__(self, revision: int = 0, doc: dict[str, Any] | None = None) -> None:
        self.revision, self.doc = revision, doc or {}
        self.limits: dict[str, Any] = self.doc.get("limits") or {}
        self._hosts: dict[str, list[tuple[str, Route]]] = {}
        for given in self.doc.get("routes", []):
            route = Route(
                given["name"],
                given["backend"],
                float(given["deadlineMs"]),
                float(given.get("targetMs") or 0),
                float(given.get("startTargetMs") or 0),
                int(given.get("rank", 0)),
                int(given.get("maxTries", 1)),
                bool(given.get("fifo")),
                float(given.get("retentionS") or 0),
                given.get("variant", "deferred"),
                bool(given.get("public")),
            )
            self._hosts.setdefault(given["hostname"].lower(), []).append((given["pathPrefix"], route))
        for routes in self._hosts.values():
            routes.sort(key=lambda pair: -len(pair[0]))
        self.backends = {
            given["name"]: Backend(
                given["name"],
                bool(given.get("idempotent")),
                int(given.get("maxConns") or 1),
                given.get("healthPath") or "/",
                given.get("endpoint"),
                float(given.get("ratePerS") or 0),
            )
            for given in self.doc.get("backends", [])
        }

        tenants = self.doc.get("tenants")
        self.has_tenants = tenants is not None
        # By digest, so that how long a look-up takes says nothing of a key that is nearly right.
        self._tenants = {
            sha256(key.encode()).digest(): given["name"]
            for given in tenants or []
            for key in given["apiKeys"]
        }

    def tenant_of(self, key: bytes) -> str | None:
        """The tenant that holds a key.

        >>> table = Table(1, {"tenants": [{"name": "a", "apiKeys": ["k1", "k2"]}]})
        >>> table.tenant_of(b"k2"), table.tenant_of(b"k")
        ('a', None)
        """
        return self._tenants.get(sha256(key).digest())

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix, on the host with its port or without.

        >>> rest = {"hostname": "H", "backend": "b", "deadlineMs": 1}
        >>> table = Table(1, {"routes": [rest | {"name": "a", "pathPrefix": "/"},
        ...     rest | {"name": "b", "pathPrefix": "/x/"}]})
        >>> table.find("h:80", "/x/1").name, table.find("h", "/x").name, table.find("i", "/x")
        ('b', 'a', None)
        """
        name = host.lower()
        routes = self._hosts.get(name) or self._hosts.get(name.rpartition(":")[0] or name) or []
        for prefix, route in routes:
            if path.startswith(prefix):
                return route
        return None
