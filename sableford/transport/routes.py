"""The routing table of one version of the configuration: routes by host and longest path prefix, backends by
name, and tenants by API key.
"""

from hashlib import sha256
from typing import Any, NamedTuple


class Route(NamedTuple):
    """One route of the configuration. Times are ms, except `retention_s`."""

    name: str
    backend: str
    deadline_ms: float
    target_ms: float
    start_target_ms: float
    rank: int
    max_attempts: int
    fifo: bool
    retention_s: float
    variant: str
    public: bool = False  # requests need no API key


class Backend(NamedTuple):
    """One backend service. `endpoint`: fixed address, if its workers are not discovered; `rate`: the limit
    of calls per second, 0 for none."""

    name: str
    idempotent: bool
    max_connections: int
    health: str
    endpoint: str | None
    rate: float


class RoutingTable:
    """Routes, backends and tenants of one version. `revision` 0: no configuration yet."""

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
        # By digest, so that the time of a look-up reveals nothing about similar keys.
        self._tenants = {
            sha256(key.encode()).digest(): given["name"]
            for given in tenants or []
            for key in given["apiKeys"]
        }

    def tenant_of(self, key: bytes) -> str | None:
        """Returns the tenant that a key belongs to, or None.

        >>> table = RoutingTable(1, {"tenants": [{"name": "a", "apiKeys": ["k1", "k2"]}]})
        >>> table.tenant_of(b"k2"), table.tenant_of(b"k")
        ('a', None)
        """
        return self._tenants.get(sha256(key).digest())

    def find(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest matching prefix. `host` may include a port.

        >>> rest = {"hostname": "H", "backend": "b", "deadlineMs": 1}
        >>> table = RoutingTable(1, {"routes": [rest | {"name": "a", "pathPrefix": "/"},
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
