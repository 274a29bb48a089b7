"""The HTTP gateway for clients. It stores nothing itself.

A message is answered with 202 once the owner of its shard has it on enough disks. A message that could not be
handed over is answered with 503 if it provably never runs, and with 504 if it may run.
"""

import asyncio
from collections.abc import Awaitable

import orjson
from msgspec.structs import replace

from sableford.common.settings import address
from sableford.control.member_client import configuration_until
from sableford.control.protocol import ConfigurationVersion
from sableford.control.view import SHARDS, View, message_ref, order_key, shard_of
from sableford.edge.authentication import UnauthorizedError, authenticate
from sableford.edge.message_fields import FieldError, MessageFields, fields_of, host_of
from sableford.edge.message_queries import MessageQueries
from sableford.edge.put_progress import PutProgress, outcome_of
from sableford.edge.responses import refused, unauthorized
from sableford.edge.retry_wait import wait_for_event
from sableford.edge.shard_availability import ShardAvailability, ShardGroup
from sableford.node.runtime import Runtime
from sableford.store.protocol import ISOLATED, PutRequest
from sableford.transport.http import ConnectionLimits, HttpRequest, HttpResponse
from sableford.transport.http_server import HttpServer
from sableford.transport.link import Link
from sableford.transport.routes import Route, RoutingTable

PUT_TIMEOUT_MS = 700.0  # for an owner to answer a put; after that the outcome is unknown
RETRY_MS = 25.0  # between two attempts while a shard has no usable owner
RESPONSE_MARGIN_MS = 120.0  # reserved for the response to reach the client before its deadline
# For a shard's new owner to find out whether a put was stored: a lease and a takeover.
UNCLEAR_TIMEOUT_MS = 1300.0
MAX_HOLD_MS = 600.0  # wait for a store that accepts the message; after that the client may as well retry
MAX_HOLD_FRACTION = 0.4  # of the client's deadline
MIN_WAIT_MS = 200.0  # a message is tried for at least this long, even if its client's deadline is shorter
MIN_PUT_TIMEOUT_MS = 10.0
ISOLATED_BACKOFF_MS = 150.0  # no new messages for a store that reported that it reaches too few others
DRAIN_DELAY_MS = 2300.0  # after SIGTERM until the listener closes: two failed readiness checks
CLOSE_MARGIN_MS = 800.0  # of the grace period, reserved for closing
MAX_IMMEDIATE_RETRIES = 4  # on other shards, for a message without an order key
READINESS_PATH = "/v1/readiness"


class Gateway:
    """Serves clients until the process is asked to stop (see `run`)."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime, self.log, self.links, self.member = runtime, runtime.log, runtime.links, runtime.member
        self.table = RoutingTable()
        self.bounds, self.probe_bounds = ConnectionLimits(), ConnectionLimits()
        self._server = HttpServer(self.handle, self.bounds)
        self._probe_server = HttpServer(self._handle_probe, self.probe_bounds)
        self._shards_in_zone: list[int] = []  # owned by stores in this zone
        self._owned_shards: list[int] = []
        self._shard_cursor = 0
        self._isolated_until: dict[str, float] = {}  # by store, for stores that accept no puts now
        self._availability = ShardAvailability()
        self._queries = MessageQueries(runtime, self._knows_configuration)

    async def run(self) -> None:
        """Serves until the process is asked to stop and all requests in flight are answered."""
        runtime, settings = self.runtime, self.runtime.settings
        self.member.on_config.append(self.configuration_changed)
        self.member.on_view.append(self.view_changed)
        await runtime.listen()
        if settings.bind_addrs.ready_probe:
            await self._probe_server.listen(address(settings.bind_addrs.ready_probe))
        if settings.bind_addrs.public_http:
            await self._server.listen(address(settings.bind_addrs.public_http))
        await runtime.ending.wait()
        await self._drain()

    async def _drain(self) -> None:
        """Reports not ready; requests that still arrive are answered, and their connections closed."""
        self.bounds.closing = True
        started_at = self.runtime.now()
        grace = self.runtime.settings.rule_bounds.grace_s * 1000.0
        await asyncio.sleep(min(DRAIN_DELAY_MS, grace / 2.0) / 1000.0)
        self._server.stop_accepting()
        while self._server.busy() and self.runtime.now() - started_at < grace - CLOSE_MARGIN_MS:
            await asyncio.sleep(0.02)
        self.log.event("ended", busy=self._server.busy())

    # Updates from the leader

    def configuration_changed(self, config: ConfigurationVersion) -> None:
        """Applies a new version of the configuration."""
        bounds, table = self.bounds, RoutingTable(config.revision, config.document)
        limits = table.limits
        head = int(limits.get("maxHeaderBytes", bounds.max_head_bytes))
        body = int(limits.get("maxBodyBytes", bounds.max_body_bytes))
        head_ms = float(limits.get("headerTimeoutMs", bounds.head_timeout_ms))
        idle_ms = float(limits.get("idleTimeoutMs", bounds.idle_timeout_ms))
        # Assigned only after all values were parsed, so that an invalid version is not partly applied.
        self.table = self._queries.table = table
        bounds.max_head_bytes, bounds.max_body_bytes = head, body
        bounds.head_timeout_ms, bounds.idle_timeout_ms = head_ms, idle_ms
        self.log.event("config", revision=self.table.revision)

    def view_changed(self, view: View) -> None:
        """Applies a new view of the cluster."""
        zone = self.runtime.settings.zone
        self._owned_shards = [at for at in range(SHARDS) if view.owners[at]]
        self._shards_in_zone = [
            at for at in self._owned_shards if view.live_stores[view.owners[at]].zone == zone
        ]
        self._availability.view_changed(view)
        self.log.event("view", number=view.number, owned=len(self._owned_shards))

    def _knows_configuration(self) -> bool:
        """Whether the configuration is certain to be current: without a recent lease it may be outdated."""
        bound_ms = self.runtime.settings.rule_bounds.configuration_ms
        until = configuration_until(self.member.configuration_lease, bound_ms)
        return bool(self.table.revision) and self.runtime.now() < until

    # Readiness

    def is_ready(self) -> bool:
        """Whether clients may be routed to this process."""
        if self.runtime.ending.is_set() or not self.table.revision or not self._owned_shards:
            return False
        return self._knows_configuration()

    def _handle_probe(self, request: HttpRequest) -> HttpResponse:
        if request.path != READINESS_PATH:
            return HttpResponse(404)
        return HttpResponse(200 if self.is_ready() else 503)

    # Requests

    def handle(self, request: HttpRequest) -> HttpResponse | Awaitable[HttpResponse]:
        """Handles a client's request."""
        if (answer := self._queries.handle(request)) is not None:
            return answer
        if not self._knows_configuration():
            return refused("no configuration is known for certain")
        try:
            host = host_of(request)
            route = self.table.find(host, request.path)
            if route is None:
                return HttpResponse(404, b'{"reason":"no route"}')
            fields = fields_of(request, route, authenticate(request, route, self.table))
        except UnauthorizedError:
            return unauthorized()
        except FieldError as problem:
            return HttpResponse(400, orjson.dumps({"reason": str(problem)}))
        return self._accept_message(request, route, fields)

    async def _accept_message(
        self, request: HttpRequest, route: Route, fields: MessageFields
    ) -> HttpResponse:
        """Sends a message to the owner of its shard until it is stored or the client's deadline is near."""
        now, client_deadline_ms = self.runtime.now(), fields.client_deadline_ms
        wait_ms = min(client_deadline_ms, route.deadline_ms, UNCLEAR_TIMEOUT_MS) - RESPONSE_MARGIN_MS
        until = now + max(MIN_WAIT_MS, wait_ms)
        hold_until = min(until, now + min(MAX_HOLD_MS, client_deadline_ms * MAX_HOLD_FRACTION))
        put = self._put_request(request, fields)
        progress, immediate_retries = PutProgress(), 0
        while True:
            changed = self.member.changed
            link = self._link_for(put, progress)
            if link is not None:
                put = replace(put, is_retry=progress.unclear, age_ms=self.runtime.now() - now)
                asked = self._availability.group_of(put.shard)
                timeout_ms = min(PUT_TIMEOUT_MS, max(MIN_PUT_TIMEOUT_MS, until - self.runtime.now()))
                outcome, reason = outcome_of(await link.call(put, request.body, timeout_ms))
                progress.add(outcome)
                if progress.stored:
                    self._availability.accepted(put.shard)
                    return HttpResponse(202, b"", (("Message-Ref", put.ref),))
                self._record_refusal(put.shard, asked, reason)
            may_become_clear = progress.unclear and self._any_store_responds()
            if self.runtime.now() >= (until if may_become_clear else hold_until):
                break
            if not progress.unclear and not self._may_open_soon(put):
                return refused("its shard is not served now")
            if not fields.key and not progress.unclear:
                put = _with_shard(put, self._next_shard())
                if put.shard >= 0 and immediate_retries < MAX_IMMEDIATE_RETRIES:
                    immediate_retries += 1
                    continue
            await wait_for_event(changed, RETRY_MS)
        if progress.status() == 504:
            return HttpResponse(504, b'{"reason":"not known whether it was taken"}')
        return refused("no store could take it", 0)

    def _link_for(self, put: PutRequest, progress: PutProgress) -> Link | None:
        """The link to the owner of the shard, if it may accept the message now."""
        if put.shard < 0:
            return None
        owner, now = self.member.view.owners[put.shard], self.runtime.now()
        if progress.unclear:
            return self.links.responsive_link(owner) or self.links.link(owner)
        # A put sent to an unresponsive store could only be answered with 504.
        link = self.links.responsive_link(owner)
        if link is None:
            self._availability.unreachable(now, put.shard)
        return None if self._availability.is_skipped(now, put.shard) else link

    def _record_refusal(self, shard: int, asked: ShardGroup, reason: str) -> None:
        """Records that the owner that was asked has refused. It says nothing about an owner since."""
        now = self.runtime.now()
        if reason == ISOLATED:
            self._isolated_until[asked.owner] = now + ISOLATED_BACKOFF_MS
        if self._availability.group_of(shard) == asked:
            self._availability.refused(now, shard)

    def _may_open_soon(self, put: PutRequest) -> bool:
        """False if the message is bound to one shard and too few stores are left to open it."""
        return not put.key or not self._availability.is_closed_for_long(self.runtime.now(), put.shard)

    def _put_request(self, request: HttpRequest, fields: MessageFields) -> PutRequest:
        shard = shard_of(order_key(fields.tenant, fields.key)) if fields.key else self._next_shard()
        return PutRequest(
            id=fields.id,
            key=fields.key,
            host=fields.host,
            target=request.target.decode("latin-1"),
            method=request.method,
            content_type=fields.content_type,
            delay_ms=fields.delay_ms,
            revision=self.table.revision,
            shard=shard,
            ref=message_ref(shard, fields.tenant, fields.id),
            age_ms=0.0,
            tenant=fields.tenant,
            unordered_key=fields.unordered_key,
        )

    def _any_store_responds(self) -> bool:
        """Whether any store responds: if none does, none will be back before the client's deadline."""
        view = self.member.view
        return any(self.links.responsive_link(name) is not None for name in view.live_stores)

    def _next_shard(self) -> int:
        """A shard for a message without an order key, or -1 if no owner accepts puts.

        Shards in this zone are used in turn, then those of other zones; shards whose owners refused lately
        come last."""
        now = self.runtime.now()
        for skips_refused in (True, False):
            for candidates in (self._shards_in_zone, self._owned_shards):
                for _ in range(len(candidates)):
                    self._shard_cursor += 1
                    shard = candidates[self._shard_cursor % len(candidates)]
                    if skips_refused and self._availability.is_skipped(now, shard):
                        continue
                    if self._owner_accepts_puts(now, shard):
                        return shard
        return -1

    def _owner_accepts_puts(self, now: float, shard: int) -> bool:
        owner = self.member.view.owners[shard]
        is_isolated = self._isolated_until.get(owner, 0.0) > now
        return self.links.responsive_link(owner) is not None and not is_isolated


def _with_shard(put: PutRequest, shard: int) -> PutRequest:
    return replace(put, shard=shard, ref=message_ref(shard, put.tenant, put.id))
