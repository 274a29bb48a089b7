"""The program that clients reach. It keeps nothing: a message is answered with 202 once its shard's owner
has it on enough disks; what it can't hand on is answered by what is known of whether it may ever run.
"""

import asyncio
import re
from collections.abc import Awaitable
from hashlib import sha1

import msgspec
import orjson
from msgspec.structs import replace

from sableford.common.settings import address
from sableford.control.member_client import configuration_until
from sableford.control.protocol import ConfigurationVersion
from sableford.control.view import SHARDS, View, ref_of, shard_in, shard_of
from sableford.edge.message_fields import FieldError, MessageFields, fields_of, host_of
from sableford.edge.message_status import StoreResponse, final_response
from sableford.edge.put_progress import PutProgress, outcome_of
from sableford.edge.shard_availability import ShardAvailability
from sableford.node.runtime import Runtime
from sableford.store.protocol import ISOLATED, BodyRequest, PutRequest, StatusRequest, StatusResponse
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
STORE_TIMEOUT_MS = 500.0  # for one store to say what it knows of a message
STATUS_TIMEOUT_MS = 1700.0  # those who ask for a state wait two seconds
ISOLATED_MS = 150.0  # a store that said that it reaches too few others is passed over for so long
LEAVE_MS = 2300.0  # after SIGTERM: two missed looks at whether it is ready
LEAVE_MARGIN_MS = 800.0  # of the grace period that are left for closing
MAX_ELSEWHERE = 4  # shards that are tried one right after the other for what may go to any
CLIENT_ID = re.compile(r"[A-Za-z0-9._-]{1,58}")
STATUS_PATH, BODY_PATH, READINESS_PATH = "/v1/message/", "/v1/message-body/", "/v1/readiness"
NO_MESSAGE = b'{"reason":"no such message"}'


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
        self.table = Table(config.revision, config.document)
        limits = self.table.limits
        self.bounds.head = int(limits.get("maxHeaderBytes", self.bounds.head))
        self.bounds.body = int(limits.get("maxBodyBytes", self.bounds.body))
        self.bounds.head_ms = float(limits.get("headerTimeoutMs", self.bounds.head_ms))
        self.bounds.idle_ms = float(limits.get("idleTimeoutMs", self.bounds.idle_ms))
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
        apply_ms = self.runtime.settings.rule_bounds.apply_ms
        until = configuration_until(self.member.lease, apply_ms)
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
        path = request.path
        if request.method == "GET" and path.startswith(STATUS_PATH):
            return self._state(path[len(STATUS_PATH) :])
        if request.method == "GET" and path.startswith(BODY_PATH):
            return self._bytes(path[len(BODY_PATH) :])
        if not self._knows_configuration():
            return _refusal("no configuration is known for certain")
        try:
            host = host_of(request)
            route = self.table.find(host, path)
            if route is None:
                return Answer(404, b'{"reason":"no route"}')
            fields = fields_of(request, route)
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
                return _refusal("its shard is not served now")
            if not fields.key and not progress.unclear:
                put = _put_to(put, self._next_shard())
                if put.shard >= 0 and elsewhere < MAX_ELSEWHERE:
                    elsewhere += 1
                    continue
            await _wait(changed, RETRY_MS)
        if progress.status() == 504:
            return Answer(504, b'{"reason":"not known whether it was taken"}')
        return _refusal("no store could take it", 0)

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
        shard = shard_of(fields.key) if fields.key else self._next_shard()
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
            ref=_ref(shard, fields.id),
            age_ms=0.0,
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

    # What became of a message

    async def _state(self, ref: str) -> Answer:
        shard, until = shard_in(ref), self.runtime.now() + STATUS_TIMEOUT_MS
        if shard is None:
            return Answer(404, NO_MESSAGE)
        while self.runtime.now() < until:
            changed = self.member.changed
            found = await self._ask_for_state(shard, ref)
            if found is not None and found.state is not None:
                return Answer(200, msgspec.json.encode(found.state))
            if found is not None:
                return Answer(404, NO_MESSAGE)
            await _wait(changed, RETRY_MS * 2.0)
        return _refusal("its store can't be asked now")

    async def _ask_for_state(self, shard: int, ref: str) -> StatusResponse | None:
        """The owner's response; where it has none, what the others' responses come to."""
        owner, *others = self._sources(shard)
        of_owner = await self._status_of(owner, ref)
        heard = [] if of_owner is None else [of_owner]
        owner_response = of_owner.response if of_owner is not None else None
        if (found := final_response(heard, owner_response, self._sufficient())) is not None:
            return found
        further = await asyncio.gather(*(self._status_of(name, ref) for name in others))
        heard += [one for one in further if one is not None]
        return final_response(heard, owner_response, self._sufficient())

    async def _status_of(self, name: str, ref: str) -> StoreResponse | None:
        """None where the store did not answer, or spoke of another message."""
        link = self.links.responsive_link(name)
        if link is None:
            return None
        response = (await link.call(StatusRequest(ref), b"", STORE_TIMEOUT_MS)).message
        if response is None or response.ref not in ("", ref):
            return None
        return StoreResponse(response, self._is_complete(name, link))

    def _is_complete(self, name: str, link: Link) -> bool:
        """Whether the store at the other end holds all that it ever said to hold: what it does not know of
        says nothing otherwise. A process that the view does not show yet may have lost its disk."""
        store = self.member.view.live_stores.get(name)
        return store is not None and store.complete and store.incarnation == link.incarnation

    async def _bytes(self, ref: str) -> Answer:
        """From the owner or any other store: a message's bytes are the same wherever they are."""
        shard, until = shard_in(ref), self.runtime.now() + STATUS_TIMEOUT_MS
        if shard is None:
            return Answer(404, NO_MESSAGE)
        while self.runtime.now() < until:
            changed, without_it = self.member.changed, 0
            for name in self._sources(shard):
                link = self.links.responsive_link(name)
                if link is None:
                    continue
                result = await link.call(BodyRequest(ref), b"", STORE_TIMEOUT_MS)
                if result.message is None or result.message.ref not in ("", ref):
                    continue
                if result.message.found:
                    return Answer(200, result.body, kind="application/octet-stream")
                without_it += self._is_complete(name, link)
            if without_it >= max(1, self._sufficient()):
                return Answer(404, NO_MESSAGE)
            await _wait(changed, RETRY_MS * 2.0)
        return _refusal("its store can't be asked now")

    def _sources(self, shard: int) -> list[str]:
        """Who may know of a message: first its shard's owner, "" while it has none."""
        view = self.member.view
        owner = view.owners[shard]
        return [owner, *(name for name in view.live_stores if name != owner)]

    def _sufficient(self) -> int:
        """So many stores that what is kept for good is known to one of them."""
        return len(self.member.view.roster) - self.runtime.settings.tolerates.machine_loss


async def _wait(changed: asyncio.Event, timeout_ms: float) -> None:
    """Until it is set, or the time is over."""
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            await changed.wait()
    except TimeoutError:
        pass


def _put_to(put: PutRequest, shard: int) -> PutRequest:
    return replace(put, shard=shard, ref=_ref(shard, put.id))


def _ref(shard: int, id: str) -> str:
    return ref_of(shard, id if CLIENT_ID.fullmatch(id) else sha1(id.encode()).hexdigest())


def _refusal(why: str, after_s: int = 1) -> Answer:
    """Not taken, and never run: when to come back."""
    return Answer(503, orjson.dumps({"reason": why}), (("Retry-After", str(after_s)),))
