"""Deliveries to a service at one address after a configuration has moved it."""

import asyncio
from types import SimpleNamespace

from sableford.store.delivery import DeliveryClient
from sableford.store.worker_selection import WorkerSelector
from sableford.transport.http import ConnectionLimits, HttpRequest, HttpResponse
from sableford.transport.http_server import HttpServer, ServerConnection
from sableford.transport.routes import RoutingTable
from sableford.transport.verdict import Execution
from tests.memory_network import simulated

OLD, NEW = ("10.9.0.1", 80), ("10.9.0.2", 80)
HEADER = SimpleNamespace(
    method="POST", target="/a", host="h", id="m", content_type="", key="", tenant="", unordered_key=""
)
DELIVERY_MS = 1000.0


# Guards against CONFIG and ROUTE: a message was sent on a kept connection to the address of an older version.
def shows_a_moved_service_gets_nothing_on_connections_to_its_old_address() -> None:
    async def scene(loop) -> None:
        ran: list[tuple[str, int]] = []

        def served_at(endpoint: tuple[str, int]) -> None:
            def handle(request: HttpRequest) -> HttpResponse:
                ran.append(endpoint)
                return HttpResponse(200, b"", (("Attempt-Id", "m"), ("Server-Seal", "s")))

            loop.listeners[endpoint] = lambda: ServerConnection(HttpServer(handle, ConnectionLimits()))

        async def deliver(endpoint: tuple[str, int]) -> None:
            backend = {"name": "x", "maxConns": 2, "endpoint": f"{endpoint[0]}:{endpoint[1]}"}
            choice.set_fixed_endpoints(loop.time() * 1000.0, RoutingTable(1, {"backends": [backend]}))
            client.sweep(set(choice.workers))
            worker = choice.choose(loop.time() * 1000.0, "x")
            until = loop.time() * 1000.0 + DELIVERY_MS
            verdict = await client.deliver(SimpleNamespace(header=HEADER), b"", worker.entry, until)
            assert verdict.execution is Execution.DONE, verdict
            await asyncio.sleep(0)

        served_at(OLD)
        served_at(NEW)
        choice, client = WorkerSelector("z", "s"), DeliveryClient()
        for endpoint in (OLD, OLD, NEW):
            await deliver(endpoint)
        assert ran == [OLD, OLD, NEW], ran

    simulated(scene)
