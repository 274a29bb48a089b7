"""What clients ask of messages that were accepted: their states and their bytes.

A message of a tenant is shown to a key of that tenant only. Whose it is stands in its reference, so that this
is decided before any store is asked.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import orjson

from sableford.control.view import shard_in, tag_in, tenant_tag
from sableford.edge.authentication import UnauthorizedError, authenticate_reader
from sableford.edge.message_fields import FieldError, check_single_fields
from sableford.edge.message_status import StoreResponse, final_response
from sableford.edge.responses import refused, unauthorized
from sableford.edge.retry_wait import wait_for
from sableford.node.runtime import Runtime
from sableford.store.protocol import BodyRequest, StatusRequest, StatusResponse
from sableford.transport.http import Answer, Request
from sableford.transport.link import Link
from sableford.transport.routes import Table

RETRY_MS = 50.0  # between two attempts to ask for a message
STORE_TIMEOUT_MS = 500.0  # for one store to say what it knows of a message
STATUS_TIMEOUT_MS = 1700.0  # those who ask for a state wait two seconds
STATUS_PATH, BODY_PATH = "/v1/message/", "/v1/message-body/"
NO_MESSAGE = Answer(404, b'{"reason":"no such message"}')


class MessageQueries:
    """`table` is that of the configuration in force, which may be acted on while `knows_configuration`."""

    def __init__(self, runtime: Runtime, knows_configuration: Callable[[], bool]) -> None:
        self._runtime, self._links, self._member = runtime, runtime.links, runtime.member
        self._knows_configuration = knows_configuration
        self.table = Table()

    def handle(self, request: Request) -> Answer | Awaitable[Answer] | None:
        """The answer to a question; None where the request is none."""
        if request.method != "GET":
            return None
        for path, answer in ((STATUS_PATH, self._state), (BODY_PATH, self._bytes)):
            if request.path.startswith(path):
                ref = request.path.removeprefix(path)
                return self._refusal_of(request, ref) or answer(ref)
        return None

    def _refusal_of(self, request: Request, ref: str) -> Answer | None:
        """Why the message may not be shown; None where it may."""
        tag = tag_in(ref)
        if not tag:
            return None
        if not self._knows_configuration():
            return refused("no configuration is known for certain")
        try:
            check_single_fields(request)
            tenant = authenticate_reader(request, self.table)
        except FieldError as problem:
            return Answer(400, orjson.dumps({"reason": str(problem)}))
        except UnauthorizedError:
            return unauthorized()
        return None if tenant_tag(tenant) == tag else NO_MESSAGE

    async def _state(self, ref: str) -> Answer:
        shard, until = shard_in(ref), self._runtime.now() + STATUS_TIMEOUT_MS
        if shard is None:
            return NO_MESSAGE
        while self._runtime.now() < until:
            changed = self._member.changed
            found = await self._ask_for_state(shard, ref)
            if found is not None and found.state is not None:
                return Answer(200, msgspec.json.encode(found.state))
            if found is not None:
                return NO_MESSAGE
            await wait_for(changed, RETRY_MS)
        return refused("its store can't be asked now")

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
        link = self._links.responsive_link(name)
        if link is None:
            return None
        response = (await link.call(StatusRequest(ref), b"", STORE_TIMEOUT_MS)).message
        if response is None or response.ref not in ("", ref):
            return None
        return StoreResponse(response, self._is_complete(name, link))

    def _is_complete(self, name: str, link: Link) -> bool:
        """Whether the store at the other end holds all that it ever said to hold: what it does not know of
        says nothing otherwise. A process that the view does not show yet may have lost its disk."""
        store = self._member.view.live_stores.get(name)
        return store is not None and store.complete and store.incarnation == link.incarnation

    async def _bytes(self, ref: str) -> Answer:
        """From the owner or any other store: a message's bytes are the same wherever they are."""
        shard, until = shard_in(ref), self._runtime.now() + STATUS_TIMEOUT_MS
        if shard is None:
            return NO_MESSAGE
        while self._runtime.now() < until:
            changed, without_it = self._member.changed, 0
            for name in self._sources(shard):
                link = self._links.responsive_link(name)
                if link is None:
                    continue
                result = await link.call(BodyRequest(ref), b"", STORE_TIMEOUT_MS)
                if result.message is None or result.message.ref not in ("", ref):
                    continue
                if result.message.found:
                    return Answer(200, result.body, kind="application/octet-stream")
                without_it += self._is_complete(name, link)
            if without_it >= max(1, self._sufficient()):
                return NO_MESSAGE
            await wait_for(changed, RETRY_MS)
        return refused("its store can't be asked now")

    def _sources(self, shard: int) -> list[str]:
        """Who may know of a message: first its shard's owner, "" while it has none."""
        view = self._member.view
        owner = view.owners[shard]
        return [owner, *(name for name in view.live_stores if name != owner)]

    def _sufficient(self) -> int:
        """So many stores that what is kept for good is known to one of them."""
        return len(self._member.view.roster) - self._runtime.settings.tolerates.machine_loss
