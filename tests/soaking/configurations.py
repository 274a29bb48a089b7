"""Configurations that the operator sends, and the response that each one allows for a request."""

import importlib.util
from copy import deepcopy
from dataclasses import dataclass
from random import Random

from tests.soaking.plan import ROUTES, SERVICES, TENANTS

HOSTNAME = "soak.example"
DEADLINES_MS, MAX_ATTEMPTS = (1200, 1500, 2500), 3
UNUSED_SERVICE = "gamma"
KEYS_PER_TENANT = 2
FINAL_KEY = "final"  # suffix of the key that every tenant has in the last configuration
PERMANENT_ROUTES = {"route-0", "route-1", "route-2", "route-3"}  # never dropped: all they accept is run
HAS_TENANTS = importlib.util.find_spec("sableford.edge.authentication") is not None


def path_prefix(number: int) -> str:
    return f"/r{number}/"


def is_fifo(number: int) -> bool:
    return number % 2 == 1


def is_public(number: int) -> bool:
    return number == 0


def route(number: int, service: str) -> dict:
    return {
        "name": f"route-{number}",
        "hostname": HOSTNAME,
        "pathPrefix": path_prefix(number),
        "variant": "deferred",
        "backend": service,
        "deadlineMs": DEADLINES_MS[1],
        "targetMs": 100,
        "startTargetMs": 1200,
        "rank": number % 3,
        "maxTries": MAX_ATTEMPTS,
        "fifo": is_fifo(number),
        "retentionS": 600,
        "notify": False,
        "public": is_public(number),
    }


def tenant(number: int, keys: list[str]) -> dict:
    return {"name": f"tenant-{number}", "apiKeys": keys}


def tenant_of_key(key: str) -> str:
    """The tenant of a key, which is its prefix; a key never moves to another tenant."""
    return key.partition(".")[0]


def initial_document(random: Random) -> dict:
    return {
        "revision": 1,
        "routes": [route(number, random.choice(SERVICES)) for number in range(ROUTES)],
        "backends": [
            {"name": name, "healthPath": "/health", "maxConns": 200, "protocol": "h1", "tlsMode": False}
            | {"ratePerS": 0.0, "idempotent": False, "pulled": False, "endpoint": None}
            for name in SERVICES
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            tenant(number, [f"tenant-{number}.key-{at}" for at in range(KEYS_PER_TENANT)])
            for number in range(TENANTS)
        ],
    }


@dataclass
class Change:
    """A new configuration, and the body of the call that requests it."""

    kind: str
    document: dict
    amendment: dict | None  # None: the whole document is sent as a replacement


class ChangeGenerator:
    """Generates random changes from a seed."""

    def __init__(self, random: Random) -> None:
        self.random, self._keys = random, 0

    def change(self, base: dict) -> Change:
        kinds = (
            "add route",
            "drop route",
            "move route",
            "add key",
            "revoke key",
            "drop tenant",
            "new tenant",
        )
        kind = self.random.choice(kinds)
        new = deepcopy(base)
        new["revision"] = base["revision"] + self.random.randint(1, 5)
        part, names = self._apply(kind, new)
        if self.random.random() < 0.5:
            return Change(kind, new, None)
        left = {item["name"] for item in new[part]}
        gone = [item["name"] for item in base[part] if item["name"] not in left]
        items = [item for item in new[part] if item["name"] in names]
        amendment = {"revision": new["revision"], "upsert": {part: items}, "remove": {part: gone}}
        return Change(kind, new, amendment)

    def _apply(self, kind: str, new: dict) -> tuple[str, set[str]]:
        """Returns the section that changed, and the names of the items that were added or changed."""
        random, routes, tenants = self.random, new["routes"], new["tenants"]
        missing = [n for n in range(ROUTES) if f"route-{n}" not in {item["name"] for item in routes}]
        if kind == "add route" and missing:
            routes.append(route(random.choice(missing), random.choice(SERVICES)))
            return "routes", {routes[-1]["name"]}
        droppable = [item for item in routes if item["name"] not in PERMANENT_ROUTES]
        if kind == "drop route" and droppable:
            routes.remove(random.choice(droppable))
            return "routes", set()
        if kind == "drop tenant" and len(tenants) > 1:
            tenants.pop(random.randrange(len(tenants)))
            return "tenants", set()
        if kind == "new tenant" and len(tenants) < TENANTS:
            names = {item["name"] for item in tenants}
            number = random.choice([n for n in range(TENANTS) if f"tenant-{n}" not in names])
            tenants.append(tenant(number, [self._new_key(number)]))
            return "tenants", {tenants[-1]["name"]}
        if kind in ("add key", "revoke key") and tenants:
            item = random.choice(tenants)
            number = int(item["name"].rpartition("-")[2])
            if kind == "add key" or not item["apiKeys"]:
                item["apiKeys"].append(self._new_key(number))
            else:
                item["apiKeys"].pop(random.randrange(len(item["apiKeys"])))
            return "tenants", {item["name"]}
        if kind in ("add service", "change service"):
            return "backends", self._change_service(kind, new["backends"])
        if kind == "time route":
            timed = random.choice(routes)
            timed["deadlineMs"] = random.choice(DEADLINES_MS)
            return "routes", {timed["name"]}
        moved = random.choice(routes)
        moved["backend"] = random.choice(SERVICES)
        return "routes", {moved["name"]}

    def _change_service(self, kind: str, services: list[dict]) -> set[str]:
        """Adds or removes a service that no route uses, or changes a service's number of connections."""
        if kind == "change service":
            changed = self.random.choice(services)
            changed["maxConns"] = self.random.randint(50, 300)
            return {changed["name"]}
        if services[-1]["name"] == UNUSED_SERVICE:
            services.pop()
            return set()
        services.append(services[0] | {"name": UNUSED_SERVICE})
        return {UNUSED_SERVICE}

    def _new_key(self, number: int) -> str:
        self._keys += 1
        return f"tenant-{number}.later-{self._keys}"

    def invalid_document(self, base: dict) -> dict:
        """Generates an invalid document, which must be rejected."""
        new = deepcopy(base)
        new["revision"] = base["revision"] + 1
        kinds = ["unknown service", "duplicate path prefix", "no deadline", "old revision"]
        if HAS_TENANTS and len(new["tenants"]) > 1 and new["tenants"][0]["apiKeys"]:
            kinds.append("shared key")
        kind = self.random.choice(kinds)
        if kind == "unknown service":
            new["routes"][0]["backend"] = "nobody"
        elif kind == "duplicate path prefix":
            new["routes"].append(new["routes"][0] | {"name": "other"})
        elif kind == "no deadline":
            new["routes"][0]["deadlineMs"] = 0
        elif kind == "old revision":
            new["revision"] = base["revision"]
            new["limits"] = new["limits"] | {"idleTimeoutMs": 14_000}
        else:
            new["tenants"][1]["apiKeys"].append(new["tenants"][0]["apiKeys"][0])
        return new


def final_document(base: dict) -> dict:
    """The last configuration: every tenant has a known key, so that all message states can be queried."""
    new = deepcopy(base)
    new["revision"] = base["revision"] + 1
    names = {item["name"] for item in new["tenants"]}
    for number in range(TENANTS):
        if f"tenant-{number}" not in names:
            new["tenants"].append(tenant(number, []))
    for item in new["tenants"]:
        item["apiKeys"].append(f"{item['name']}.{FINAL_KEY}")
    return new


# Expected responses under a configuration


def matching_route(document: dict, path: str) -> dict | None:
    return next((item for item in document["routes"] if path.startswith(item["pathPrefix"])), None)


def has_key(document: dict, key: str) -> bool:
    return bool(key) and any(key in item["apiKeys"] for item in document["tenants"])


def expected_response(document: dict, path: str, key: str) -> tuple[int, str]:
    """The status that the configuration alone implies (202: may be accepted), and the message's tenant."""
    found = matching_route(document, path)
    if found is None:
        return 404, ""
    if not HAS_TENANTS:
        return 202, ""
    if has_key(document, key):
        return 202, tenant_of_key(key)
    return (202, "") if found["public"] else (401, "")


def normalized(document: dict) -> dict:
    """A form for comparison: named items are sorted, since their order has no meaning."""
    parts = ("routes", "backends", "tenants")
    return document | {part: sorted(document[part], key=lambda item: item["name"]) for part in parts}
