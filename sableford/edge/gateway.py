"""The program that clients reach. It keeps nothing: a message is answered with 202 once its shard's owner
has it on enough disks; what it can't hand on is answered by what is known of whether it may ever run.
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
from sableford.edge.retry_wait import wait_for
from sableford.edge.shard_availability import ShardAvailability
from sableford.node.runtime import Runtime
from sableford.store.protocol import ISOLATED, PutRequest
from sableford.transport.http import Answer, Bounds, Request
from sableford.transport.http_server import HttpServer
from sableford.transport.link import Link
from sableford.transport.routes import Route, Table

PUT_TIMEOUT_MS = 700.0  # for an owner to answer a put; it may have it then, or not
RETRY_MS = 25.0  # between two looks for an owner while there is none
RESPONSE_MARGIN_MS = 120.0  # before the client gives up, for the answer to reach it
UNCLEAR_TIMEOUT_MS = 1300.0  # for a shard's new owner to say whether it was taken: a lease and a takeover
HOLD_MS = 600.0  # for a store that takes it, before it was sent to any; then its client may as well ask anew
HOLD_PART = 0.4  # of the time its client waits, at most
MIN_WAIT_MS = 200.0  # a message is worked on for so long, whatever its client says
MIN_PUT_TIMEOUT_MS = 10.0
ISOLATED_MS = 150.0  # a store that said that it reaches too few others is passed over for so long
LEAVE_MS = 2300.0  # after SIGTERM: two missed looks at whether it is ready
LEAVE_MARGIN_MS = 800.0  # of the grace period that are left for closing
MAX_ELSEWHERE = 4  # shards that are tried one right after the other for what may go to any
READINESS_PATH = "/v1/readiness"


class Gateway:
    """`run` serves until the process is told to end."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime, self.log, self.links, self.member = runtime, runtime.log, runtime.links, runtime.member
        self.table = Table()
        self.bounds, self.probe_bounds = Bounds(), Bounds()
        self._server = HttpServer(self.handle, self.bounds)
        self._probe_server = HttpServer(self._handle_probe, self.probe_bounds)
        self._shards_in_zone: list[int] = []  # owned by stores of the own zone
        self._owned_shards: list[int] = []
        self._turn = 0
        self._isolated_until: dict[str, float] = {}  # stores that take nothing now
        self._availability = ShardAvailability()
        self._queries = MessageQueries(runtime, self._knows_configuration)

    async def run(self) -> None:
        """Until it is told to end, and its clients are answered."""
        runtime, settings = self.runtime, self.runtime.settings
        self.member.on_config.append(self.configuration_changed)
        self.member.on_view.append(self.view_changed)
        await runtime.listen()
        if settings.bind_addrs.ready_probe:
            await self._probe_server.listen(address(settings.bind_addrs.ready_probe))
        if settings.bind_addrs.public_http:
            await self._server.listen(address(settings.bind_addrs.public_http))
        await runtime.ending.wait()
        await self._leave()

    async def _leave(self) -> None:
        """Not ready any more; who is still sent here is served, each answer ending its connection."""
        self.bounds.closing = True
        begun = self.runtime.now()
        grace = self.runtime.settings.rule_bounds.grace_s * 1000.0
        await asyncio.sleep(min(LEAVE_MS, grace / 2.0) / 1000.0)
        self._server.shut()
        while self._server.busy() and self.runtime.now() - begun < grace - LEAVE_MARGIN_MS:
            await asyncio.sleep(0.02)
        self.log.event("ended", busy=self._server.busy())

    # Updates from the leader

    def configuration_changed(self, config: ConfigurationVersion) -> None:
        """Another version is in force."""
        bounds, table = self.bounds, Table(config.revision, config.document)
        limits = table.limits
        head = int(limits.get("maxHeaderBytes", bounds.head))
        body = int(limits.get("maxBodyBytes", bounds.body))
        head_ms = float(limits.get("headerTimeoutMs", bounds.head_ms))
        idle_ms = float(limits.get("idleTimeoutMs", bounds.idle_ms))
        self.table = self._queries.table = table  # nothing of a version that can't be read is in force
        bounds.head, bounds.body, bounds.head_ms, bounds.idle_ms = head, body, head_ms, idle_ms
        self.log.event("config", revision=self.table.revision)

    def view_changed(self, view: View) -> None:
        """Another view is in force."""
        zone = self.runtime.settings.zone
        self._owned_shards = [at for at in range(SHARDS) if view.owners[at]]
        self._shards_in_zone = [
            at for at in self._owned_shards if view.live_stores[view.owners[at]].zone == zone
        ]
        self._availability.view_changed(view)
        self.log.event("view", number=view.number, owned=len(self._owned_shards))

    def _knows_configuration(self) -> bool:
        """Whether the configuration here may be acted on; without a lease for long it may be an old one."""
        bound_ms = self.runtime.settings.rule_bounds.configuration_ms
        until = configuration_until(self.member.configuration_lease, bound_ms)
        return bool(self.table.revision) and self.runtime.now() < until

    # Whether it may be sent clients

    def is_ready(self) -> bool:
        """Whether clients may be sent here."""
        if self.runtime.ending.is_set() or not self.table.revision or not self._owned_shards:
            return False
        return self._knows_configuration()

    def _handle_probe(self, request: Request) -> Answer:
        if request.path != READINESS_PATH:
            return Answer(404)
        return Answer(200 if self.is_ready() else 503)

    # Requests

    def handle(self, request: Request) -> Answer | Awaitable[Answer]:
        """A client's request."""
        if (answer := self._queries.handle(request)) is not None:
            return answer
        if not self._knows_configuration():
            return refused("no configuration is known for certain")
        try:
            host = host_of(request)
            route = self.table.find(host, request.path)
            if route is None:
                return Answer(404, b'{"reason":"no route"}')
            fields = fields_of(request, route, authenticate(request, route, self.table))
        except UnauthorizedError:
            return unauthorized()
        except FieldError as problem:
            return Answer(400, orjson.dumps({"reason": str(problem)}))
        return self._take(request, route, fields)

    async def _take(self, request: Request, route: Route, fields: MessageFields) -> Answer:
        """Puts a message to its shard's owner until it is kept or its client has waited long enough."""
        now, patience_ms = self.runtime.now(), fields.patience_ms
        wait_ms = min(patience_ms, route.deadline_ms, UNCLEAR_TIMEOUT_MS) - RESPONSE_MARGIN_MS
        until = now + max(MIN_WAIT_MS, wait_ms)
        hold_until = min(until, now + min(HOLD_MS, patience_ms * HOLD_PART))
        put = self._put_request(request, fields)
        progress, elsewhere = PutProgress(), 0
        while True:
            changed = self.member.changed
            link = self._link_for(put, progress)
            if link is not None:
                put = replace(put, is_retry=progress.unclear, age_ms=self.runtime.now() - now)
                timeout_ms = min(PUT_TIMEOUT_MS, max(MIN_PUT_TIMEOUT_MS, until - self.runtime.now()))
                outcome, why = outcome_of(await link.call(put, request.body, timeout_ms))
                progress.add(outcome)
                if progress.kept:
                    self._availability.accepted(put.shard)
                    return Answer(202, b"", (("Message-Ref", put.ref),))
                self._note_refusal(put, why)
            may_settle = progress.unclear and self._any_store_responds()
            if self.runtime.now() >= (until if may_settle else hold_until):
                break
            if not progress.unclear and not self._may_open_soon(put):
                return refused("its shard is not served now")
            if not fields.key and not progress.unclear:
                put = _put_to(put, self._next_shard())
                if put.shard >= 0 and elsewhere < MAX_ELSEWHERE:
                    elsewhere += 1
                    continue
            await wait_for(changed, RETRY_MS)
        if progress.status() == 504:
            return Answer(504, b'{"reason":"not known whether it was taken"}')
        return refused("no store could take it", 0)

    def _link_for(self, put: PutRequest, progress: PutProgress) -> Link | None:
        """To the owner of its shard, where that may take it now."""
        if put.shard < 0:
            return None
        owner, now = self.member.view.owners[put.shard], self.runtime.now()
        if progress.unclear:
            return self.links.responsive_link(owner) or self.links.link(owner)
        # Put to a store that has fallen silent it could only be answered with 504.
        link = self.links.responsive_link(owner)
        if link is None:
            self._availability.unreachable(now, put.shard)
        return None if self._availability.is_passed_over(now, put.shard) else link

    def _note_refusal(self, put: PutRequest, why: str) -> None:
        now = self.runtime.now()
        if why == ISOLATED:
            self._isolated_until[self.member.view.owners[put.shard]] = now + ISOLATED_MS
        self._availability.refused(now, put.shard)

    def _may_open_soon(self, put: PutRequest) -> bool:
        """False for what can go to one shard only, which too few stores are left to open."""
        return not put.key or not self._availability.is_closed_for_long(self.runtime.now(), put.shard)

    def _put_request(self, request: Request, fields: MessageFields) -> PutRequest:
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
        """Whether any store speaks: with all of them gone none is back before this client gives up."""
        view = self.member.view
        return any(self.links.responsive_link(name) is not None for name in view.live_stores)

    def _next_shard(self) -> int:
        """A shard for what has no key: of a store in the own zone, one after the other; where all have lately
        refused, any. -1 where no owner takes anything."""
        now = self.runtime.now()
        for passes_over in (True, False):
            for pool in (self._shards_in_zone, self._owned_shards):
                for _ in range(len(pool)):
                    self._turn += 1
                    shard = pool[self._turn % len(pool)]
                    if passes_over and self._availability.is_passed_over(now, shard):
                        continue
                    if self._owner_takes_puts(now, shard):
                        return shard
        return -1

    def _owner_takes_puts(self, now: float, shard: int) -> bool:
        owner = self.member.view.owners[shard]
        is_isolated = self._isolated_until.get(owner, 0.0) > now
        return self.links.responsive_link(owner) is not None and not is_isolated


def _put_to(put: PutRequest, shard: int) -> PutRequest:
    return replace(put, shard=shard, ref=message_ref(shard, put.tenant, put.id))
