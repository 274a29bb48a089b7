"""Client queries about accepted messages: their states and their bodies.

A tenant's message is shown only to a key of that tenant. The message reference contains a tag of the tenant,
so access is checked before any store is asked.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import orjson

from sableford.control.view import shard_of_ref, tenant_tag, tenant_tag_of_ref
from sableford.edge.authentication import UnauthorizedError, authenticate_reader
from sableford.edge.message_fields import FieldError, check_single_fields
from sableford.edge.message_status import StoreResponse, conclusive_response
from sableford.edge.responses import refused, unauthorized
from sableford.edge.retry_wait import wait_for_event
from sableford.node.runtime import Runtime
from sableford.store.protocol import BodyRequest, StatusRequest, StatusResponse
from sableford.transport.http import HttpRequest, HttpResponse
from sableford.transport.link import Link
from sableford.transport.routes import RoutingTable

RETRY_MS = 50.0  # between two rounds of requests to the stores
STORE_TIMEOUT_MS = 500.0  # for the response of one store
STATUS_TIMEOUT_MS = 1700.0  # clients wait two seconds for a state
STATUS_PATH, BODY_PATH = "/v1/message/", "/v1/message-body/"
NO_MESSAGE = HttpResponse(404, b'{"reason":"no such message"}')


class MessageQueries:
    """Answers queries. `table` belongs to the current configuration, and is used only while
    `knows_configuration()` holds."""

    def __init__(self, runtime: Runtime, knows_configuration: Callable[[], bool]) -> None:
        self._runtime, self._links, self._member = runtime, runtime.links, runtime.member
        self._knows_configuration = knows_configuration
        self.table = RoutingTable()

    def handle(self, request: HttpRequest) -> HttpResponse | Awaitable[HttpResponse] | None:
        """The response to a query, or None if the request is not a query."""
        if request.method != "GET":
            return None
        for path, handler in ((STATUS_PATH, self._get_state), (BODY_PATH, self._get_body)):
            if request.path.startswith(path):
                ref = request.path.removeprefix(path)
                return self._access_denied(request, ref) or handler(ref)
        return None

    def _access_denied(self, request: HttpRequest, ref: str) -> HttpResponse | None:
        """The response that denies access to the message, or None if access is allowed."""
        tag = tenant_tag_of_ref(ref)
        if not tag:
            return None
        if not self._knows_configuration():
            return refused("no configuration is known for certain")
        try:
            check_single_fields(request)
            tenant = authenticate_reader(request, self.table)
        except FieldError as error:
            return HttpResponse(400, orjson.dumps({"reason": str(error)}))
        except UnauthorizedError:
            return unauthorized()
        return None if tenant_tag(tenant) == tag else NO_MESSAGE

    async def _get_state(self, ref: str) -> HttpResponse:
        shard, until = shard_of_ref(ref), self._runtime.now() + STATUS_TIMEOUT_MS
        if shard is None:
            return NO_MESSAGE
        while self._runtime.now() < until:
            changed = self._member.changed
            found = await self._query_state(shard, ref)
            if found is not None and found.state is not None:
                return HttpResponse(200, msgspec.json.encode(found.state))
            if found is not None:
                return NO_MESSAGE
            await wait_for_event(changed, RETRY_MS)
        return refused("its store can't be asked now")

    async def _query_state(self, shard: int, ref: str) -> StatusResponse | None:
        """The response of the owner or, if that is not conclusive, the result of all stores' responses."""
        owner, *others = self._stores_to_ask(shard)
        sufficient = self._sufficient_count()  # the roster may change while the stores are asked
        from_owner = await self._query_store(owner, ref)
        responses = [] if from_owner is None else [from_owner]
        owner_response = from_owner.response if from_owner is not None else None
        if (found := conclusive_response(responses, owner_response, sufficient)) is not None:
            return found
        other_responses = await asyncio.gather(*(self._query_store(name, ref) for name in others))
        responses += [one for one in other_responses if one is not None]
        sufficient = max(sufficient, self._sufficient_count())
        return conclusive_response(responses, owner_response, sufficient)

    async def _query_store(self, name: str, ref: str) -> StoreResponse | None:
        """None if the store did not answer, or answered for another message."""
        link = self._links.responsive_link(name)
        if link is None:
            return None
        was_complete = self._is_complete(name, link)
        response = (await link.call(StatusRequest(ref), b"", STORE_TIMEOUT_MS)).message
        if response is None or response.ref not in ("", ref):
            return None
        return StoreResponse(response, was_complete and self._is_complete(name, link))

    def _is_complete(self, name: str, link: Link) -> bool:
        """Whether the peer still has everything that it ever acknowledged. Otherwise a message that it does
        not know may still exist. A process that is not in the view yet may have lost its disk.

        Must hold both as the peer is asked and as it answers: one that becomes complete in between may have
        got the message after it answered, and one that was complete may have been replaced."""
        store = self._member.view.live_stores.get(name)
        return store is not None and store.complete and store.incarnation == link.incarnation

    async def _get_body(self, ref: str) -> HttpResponse:
        """Reads the body from the owner or any other store: all copies are identical."""
        shard, until = shard_of_ref(ref), self._runtime.now() + STATUS_TIMEOUT_MS
        if shard is None:
            return NO_MESSAGE
        while self._runtime.now() < until:
            changed, missing_count = self._member.changed, 0
            sufficient = self._sufficient_count()
            for name in self._stores_to_ask(shard):
                link = self._links.responsive_link(name)
                if link is None:
                    continue
                was_complete = self._is_complete(name, link)
                result = await link.call(BodyRequest(ref), b"", STORE_TIMEOUT_MS)
                if result.message is None or result.message.ref not in ("", ref):
                    continue
                if result.message.found:
                    return HttpResponse(200, result.body, content_type="application/octet-stream")
                missing_count += was_complete and self._is_complete(name, link)
            if missing_count >= max(1, sufficient, self._sufficient_count()):
                return NO_MESSAGE
            await wait_for_event(changed, RETRY_MS)
        return refused("its store can't be asked now")

    def _stores_to_ask(self, shard: int) -> list[str]:
        """The stores that may know a message, the owner of its shard ("" if it has none) first."""
        view = self._member.view
        owner = view.owners[shard]
        return [owner, *(name for name in view.live_stores if name != owner)]

    def _sufficient_count(self) -> int:
        """How many stores must answer so that at least one of them knows any replicated message."""
        return len(self._member.view.roster) - self._runtime.settings.tolerates.machine_loss
