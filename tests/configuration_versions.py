"""The distribution of configuration versions from their acknowledgement to the members that apply them."""

import asyncio
from contextlib import suppress
from typing import Any

from msgspec.structs import replace

from sableford.common.settings import RuleBounds
from sableford.control.configuration import Configuration, InvalidRequestError, check
from sableford.control.protocol import ConfigurationVersion, Update
from sableford.control.timing import LEASE_MS, QUORUM_FRESH_MS
from sableford.edge.gateway import Gateway
from sableford.simulation.stores import DOC
from sableford.store.messages import Deliver, Effect
from sableford.store.queue import Queue
from sableford.store.worker_selection import WorkerEntry, WorkerSelector
from sableford.transport.http import HttpResponse
from sableford.transport.routes import RoutingTable
from tests.control_member import MemberScene, view
from tests.edge_gateway import ScriptedStore, make_edge, send
from tests.memory_network import simulated
from tests.store_fences import PUT, take_over

APPLY_MS = 4000.0  # the value of the deployments

UNUSUAL_VALUES = ("2.0", "2", " 2 ", "1e3", 2.0, True, False, "true", "false", "no", "0", "1_0", None, [], {})
FIELDS = {
    "routes": (
        "deadlineMs",
        "targetMs",
        "startTargetMs",
        "rank",
        "maxTries",
        "fifo",
        "retentionS",
        "variant",
    ),
    "backends": ("idempotent", "maxConns", "healthPath", "endpoint", "ratePerS"),
    "limits": ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"),
}


def document_with(part: str, field: str, value: Any) -> dict[str, Any]:
    """A configuration that is valid except, perhaps, for this value."""
    route = {"name": "r", "hostname": "h", "pathPrefix": "/", "backend": "b", "deadlineMs": 100}
    doc: dict[str, Any] = {"revision": 2, "routes": [route], "backends": [{"name": "b"}], "limits": {}}
    place = doc[part] if part == "limits" else doc[part][0]
    place[field] = value
    return doc


def applied_values(edge: Gateway) -> list[Any]:
    """The values that members derive from the configuration."""
    table, bounds = edge.table, edge.bounds
    route, backend = table.find("h", "/"), table.backends["b"]
    return [
        *(
            route.deadline_ms,
            route.target_ms,
            route.start_target_ms,
            route.rank,
            route.max_attempts,
            route.fifo,
        ),
        *(route.retention_s, backend.idempotent, backend.max_connections, backend.rate),
        *(bounds.max_head_bytes, bounds.max_body_bytes, bounds.head_timeout_ms, bounds.idle_timeout_ms),
    ]


def acknowledged_values(configuration: Configuration) -> list[Any]:
    """The same values, as validated before the acknowledgement."""
    route, backend, limits = configuration.routes[0], configuration.backends[0], configuration.limits
    return [
        *(
            route.deadlineMs,
            route.targetMs,
            route.startTargetMs or 0.0,
            route.rank,
            route.maxTries,
            route.fifo,
        ),
        *(route.retentionS, backend.idempotent, backend.maxConns, backend.ratePerS),
        *(limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeoutMs, limits.idleTimeoutMs),
    ]


def shows_an_acknowledged_configuration_is_applied_unchanged_by_members() -> None:
    # CONFIG: a configuration was acknowledged that members could not apply, or interpreted differently.
    async def scene(loop: asyncio.AbstractEventLoop) -> list[str]:
        faults = []
        for part, fields in FIELDS.items():
            for field in fields:
                for value in UNUSUAL_VALUES:
                    doc = document_with(part, field, value)
                    try:
                        configuration = check(doc)
                    except InvalidRequestError:
                        continue
                    edge = make_edge({"s0": ScriptedStore()})
                    try:
                        edge.configuration_changed(ConfigurationVersion(2, doc))
                    except Exception as problem:
                        faults.append(f"{part}.{field} {value!r}: {problem}")
                        continue
                    if applied_values(edge) != acknowledged_values(configuration):
                        faults.append(f"{part}.{field} {value!r}: means something else at members")
        return faults

    faults = simulated(scene)
    assert not faults, faults


def is_refused(doc: dict[str, Any]) -> bool:
    try:
        check(doc)
    except InvalidRequestError:
        return True
    return False


def shows_values_of_wrong_types_are_refused_and_whole_floats_are_accepted() -> None:
    # CONFIG: "public": "false" was acknowledged, and some JSON encoders write whole numbers as 2.0.
    for field, value in (("public", "false"), ("public", 1), ("rank", "2.0"), ("fifo", "no")):
        assert is_refused(document_with("routes", field, value)), (field, value)
    for tenants in ("a", {"name": "a"}, [{"name": "a", "apiKeys": "k"}], [{"name": "a", "apiKeys": [1]}]):
        assert is_refused(document_with("routes", "rank", 1) | {"tenants": tenants}), tenants
    for rank in ("1", True, 1.5):
        tenant = {"name": "a", "apiKeys": ["k"], "rank": rank}
        assert is_refused(document_with("routes", "rank", 1) | {"tenants": [tenant]}), rank
    for part, field, value in (
        *(("routes", "retentionS", 90.0), ("routes", "deadlineMs", 1200.0), ("routes", "deadlineMs", 1200)),
        *(("routes", "rank", 2.0), ("backends", "ratePerS", 0.0), ("backends", "maxConns", 470.0)),
        *(("backends", "endpoint", None), ("limits", "idleTimeoutMs", 15000), ("routes", "public", False)),
    ):
        assert not is_refused(document_with(part, field, value)), (field, value)


def with_workers_of_both_services() -> Queue:
    """A store that owns all shards under version 1, in which all of /b goes to service b."""
    queue = Queue("s0", "b0", 1, RoutingTable(1, DOC), WorkerSelector("z0", "s0"), 600.0, True)
    for service in ("a", "b"):
        queue.selector.put(0.0, WorkerEntry(f"of-{service}", service, "10.0.0.9", 80, "z0", 2, True), 0.0)
    queue.state.lease = 1e9
    take_over(queue, 0.0, 1)
    return queue


def delivered_to(effects: list[Effect]) -> list[str]:
    return [effect.worker for effect in effects if isinstance(effect, Deliver)]


def shows_a_message_taken_under_a_newer_version_is_not_run_by_an_older_one() -> None:
    # CONFIG: an edge accepted a message under a version its store had not received; the old service ran it.
    route_of_b = next(route for route in DOC["routes"] if route["name"] == "b")
    old = route_of_b["backend"]
    new = "b" if old == "a" else "a"
    services = [{"name": "a"}, {"name": "b"}]
    moved = {"routes": [route_of_b | {"backend": new}], "backends": services}
    narrower = route_of_b | {"name": "c", "pathPrefix": "/b/", "backend": new}
    added = {"routes": [route_of_b, narrower], "backends": services}
    for doc in (moved, added):
        queue = with_workers_of_both_services()
        request = replace(PUT, revision=2, target="/b/1")
        effects = [*queue.put(0.0, request, b"x", "edge"), *queue.message_written(0.0, PUT.ref)]
        effects += queue.message_copied(0.0, PUT.ref, "s1", True)
        for now in range(10, 300, 10):
            effects += queue.tick(float(now), 0.0)
        assert delivered_to(effects) == [], "it was run by version 1"
        effects = queue.configure(300.0, RoutingTable(2, doc))
        for now in range(310, 500, 10):
            effects += queue.tick(float(now), 0.0)
        assert delivered_to(effects) == [f"of-{new}"], effects


def shows_a_delivery_that_an_older_version_chose_is_not_begun_under_a_newer_one() -> None:
    # CONFIG: a version that moves or drops the route arrived while the body was read and the worker dialled.
    route_of_b = next(route for route in DOC["routes"] if route["name"] == "b")
    services = [{"name": "a"}, {"name": "b"}]
    moved = {"routes": [route_of_b | {"backend": "b"}], "backends": services}
    dropped = {"routes": [], "backends": services}
    for doc, is_begun in ((DOC, True), (moved, False), (dropped, False)):
        queue = with_workers_of_both_services()
        effects = [*queue.put(0.0, PUT, b"x", "edge"), *queue.message_written(0.0, PUT.ref)]
        effects += queue.message_copied(0.0, PUT.ref, "s1", True)
        assert delivered_to(effects) == ["of-a"], effects
        queue.configure(1.0, RoutingTable(2, doc))
        assert queue.may_send(2.0, PUT.ref, "of-a") == is_begun, doc


def shows_a_message_whose_version_never_comes_ends_with_its_retention() -> None:
    # RETENTION: a message waited forever at a store that never received the version it was accepted under.
    retention_ms = 300_000.0  # as the configuration here has it
    queue = with_workers_of_both_services()
    queue.put(0.0, replace(PUT, revision=2), b"x", "edge")
    queue.message_written(0.0, PUT.ref)
    queue.message_copied(0.0, PUT.ref, "s1", True)
    queue.tick(retention_ms, 0.0)
    assert queue.status(PUT.ref).phase == "pending"
    queue.tick(retention_ms + 100.0, 0.0)
    assert queue.status(PUT.ref).phase == "dead_letter"


def shows_an_old_version_with_a_short_retention_ends_no_message_of_a_newer_one() -> None:
    # CONFIG: a message was ended by the retention of a version older than the one it was accepted under.
    short = {"routes": [route | {"retentionS": 1} for route in DOC["routes"]], "backends": DOC["backends"]}
    queue = with_workers_of_both_services()
    queue.configure(0.0, RoutingTable(1, short))
    queue.put(0.0, replace(PUT, revision=2, delay_ms=1500.0), b"x", "edge")
    queue.message_written(0.0, PUT.ref)
    queue.message_copied(0.0, PUT.ref, "s1", True)
    for now in range(1500, 2000, 10):
        queue.tick(float(now), 0.0)
    assert queue.status(PUT.ref).phase == "pending"
    queue.configure(2000.0, RoutingTable(2, DOC))
    assert delivered_to([effect for now in (2010.0, 2040.0) for effect in queue.tick(now, 0.0)]) == ["of-a"]


def shows_a_join_alone_does_not_extend_the_validity_of_the_configuration() -> None:
    # CONFIG: a new leader's response arrived, its snapshot did not; the member used an old version too long.
    async def play() -> None:
        scene = MemberScene()
        await scene.join()
        first = ConfigurationVersion(1, DOC)
        update = Update(term=3, number=1, snapshot=True, view=view(1, "s"), config=first)
        scene.member.apply_update(scene.link, update)
        edge = make_edge({"s0": ScriptedStore()})
        edge.member, edge.runtime.now = scene.member, lambda: scene.clock
        edge.runtime.settings.rule_bounds = RuleBounds(apply_ms=APPLY_MS, revoke_ms=APPLY_MS)
        acknowledged_at = scene.clock - QUORUM_FRESH_MS  # of version 2, at the earliest, by another leader
        scene.clock += LEASE_MS - 1.0
        await scene.join(term=4)
        assert scene.member.config == first, "the snapshot, with version 2, is on its way"
        scene.clock = acknowledged_at + APPLY_MS
        answer = send(edge, "/none", (b"attempt-id", b"id"))
        assert isinstance(answer, HttpResponse) and answer.status == 503, answer

    asyncio.run(play())


def shows_a_version_that_a_member_could_not_apply_is_applied_when_it_joins_again() -> None:
    # CONFIG: a member failed to apply a version, and was then counted as having applied it.
    async def play() -> None:
        scene, applied = MemberScene(), []

        def apply(config: ConfigurationVersion) -> None:
            if not applied:
                applied.append("failed")
                raise RuntimeError
            applied.append(config.revision)

        scene.member.on_config.append(apply)
        update = Update(
            term=3, number=1, snapshot=True, view=view(1, "s"), config=ConfigurationVersion(2, DOC)
        )
        for _ in range(2):
            await scene.join()
            with suppress(RuntimeError):  # the link ends (`Link.data_received`), and it joins anew
                scene.member.apply_update(scene.link, update)
        assert applied == ["failed", 2], applied

    asyncio.run(play())


def shows_an_edge_keeps_its_whole_version_if_the_next_is_unreadable() -> None:
    # CONFIG: an edge used the routes of one version and the limits of another.
    async def scene(loop: asyncio.AbstractEventLoop) -> None:
        edge = make_edge({"s0": ScriptedStore()})
        edge.configuration_changed(ConfigurationVersion(1, document_with("limits", "maxBodyBytes", 10)))
        before = applied_values(edge)
        unreadable = document_with("limits", "maxBodyBytes", 20)
        unreadable["limits"]["idleTimeoutMs"] = "soon"
        with suppress(ValueError):
            edge.configuration_changed(ConfigurationVersion(2, unreadable))
        assert (edge.table.revision, applied_values(edge)) == (1, before)

    simulated(scene)
