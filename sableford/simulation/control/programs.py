"""The programs of the simulated machines: the real runtime, links, member client, replicated log and control
service.

Messages of stores are not simulated here: each store reports to the leader that all its messages are durable.
"""

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, ClassVar

import msgspec

from sableford.common.settings import Settings
from sableford.control.record_storage import RecordStorage
from sableford.control.service import ControlService
from sableford.control.view import View
from sableford.node.runtime import Runtime, StoreStatus
from sableford.simulation.control.disk import SimulatedDisk
from sableford.simulation.control.event_loop import Process
from sableford.simulation.control.platform import Platform, Traffic
from sableford.store.duties import StoreDuties
from sableford.transport.errors import CallError
from sableford.transport.http import HttpRequest, HttpResponse
from sableford.transport.link import IncomingMessage
from sableford.transport.messages import PeerRequest, PeerResponse

COMPLETE_KEY = b"n"  # key that records that the folder holds everything that the store ever reported to hold
AUDIT_MS = 500.0  # between two updates of the status that is reported to the leader
ECHO_MS = 300.0  # between two calls to a peer; they must not be sent twice
MAX_ECHO_DELAY_MS = 120.0  # at most, until a peer responds


class EchoResponse(PeerResponse, frozen=True):
    """Carries the tag of the call that it answers."""

    tag: str = ""


class EchoRequest(PeerRequest[EchoResponse], frozen=True, tag="echo"):
    """A call that must be handled exactly once, and whose response must reach only its caller."""

    response_type: ClassVar[type[PeerResponse]] = EchoResponse
    call_tag: str = msgspec.field(name="tag")


class SimulatedRuntime(Runtime):
    """A runtime that does not watch the settings file."""

    async def _watch_settings(self) -> None:
        return


class Program:
    """Common to all processes: they hold a lease and send each other echo calls.

    `watcher` gets `config_applied(program, config)`, `echo_handled(tag)` and `echo_answered(tag, answer)`."""

    role = "edge"

    def __init__(self, settings: Settings, process: Process, rng: Any, watcher: Any) -> None:
        self.process, self._rng, self._watcher = process, rng, watcher
        self.runtime = SimulatedRuntime(settings, Path("settings.yaml"), self.role)
        self.member, self.loop = self.runtime.member, self.runtime.loop
        self.runtime.peer_server.handle(EchoRequest, self._handle_echo)
        self.member.on_config.append(lambda config: watcher.config_applied(self, config))
        self._echoes = 0

    async def main(self) -> None:
        await self.runtime.listen()
        self.loop.call_later(ECHO_MS / 1000.0, self._send_echo)

    def _send_echo(self) -> None:
        self.loop.call_later(self._rng.uniform(0.5, 1.5) * ECHO_MS / 1000.0, self._send_echo)
        names = [name for name in self.runtime.links.names() if self.runtime.links.link(name)]
        if not names:
            return
        link = self.runtime.links.link(self._rng.choice(names))
        for _ in range(2):  # their responses may arrive in any order
            self._echoes += 1
            tag = f"{self.runtime.incarnation}-{self._echoes}"
            future = link.request(EchoRequest(tag))
            future.add_done_callback(lambda future, tag=tag: self._echo_answered(tag, future))

    def _handle_echo(self, incoming: IncomingMessage[EchoRequest]) -> None:
        tag = incoming.message.call_tag
        self._watcher.echo_handled(tag)
        delay = self._rng.uniform(0.0, MAX_ECHO_DELAY_MS) / 1000.0
        self.loop.call_later(delay, incoming.respond, EchoResponse(tag))

    def _echo_answered(self, tag: str, future: Any) -> None:
        if isinstance(future.exception(), CallError):
            return
        self._watcher.echo_answered(tag, future.result().message.tag)


class EdgeProgram(Program):
    """An edge, which is only a member."""


class StoreProgram(Program):
    """A store that holds the replicated log and may lead, as `sableford.store.server` without the
    messages."""

    role = "store"

    def __init__(
        self,
        settings: Settings,
        process: Process,
        rng: Any,
        watcher: Any,
        disk: SimulatedDisk,
        platform: Platform | None = None,
    ) -> None:
        super().__init__(settings, process, rng, watcher)
        self.disk = disk
        self.control = ControlService(self.runtime, disk)
        control, member = self.control, self.member
        control.register(self.runtime.peer_server)
        member.on_view.append(self._on_view)
        member.on_worker.append(self._on_worker)
        member.on_joined.append(control.joined_leader)
        stored = dict(disk.load(COMPLETE_KEY)).get(COMPLETE_KEY)
        self._complete = stored == b"whole" or (stored is None and settings.bootstrap)
        self._complete_persisted = stored is not None
        self._empty = not disk.load(b"r")
        self.storage = RecordStorage(disk.load(b"r"))
        if self.storage.is_new:
            disk.write(self.storage.initial_write(sorted(settings.seeds) if settings.bootstrap else ()))
        self._update_status()
        if platform is not None:
            self._start_duties(platform)

    def _start_duties(self, platform: Platform) -> None:
        duties = StoreDuties(self.runtime, self.member)
        duties.start()
        traffic_rng = Random(self._rng.random())
        traffic = Traffic(platform, duties.usage, traffic_rng, self.member.holds_lease)
        self.runtime.spawn(traffic.run())

    async def main(self) -> None:
        await super().main()
        self.control.start(self.storage)
        self._audit()

    def _update_status(self) -> None:
        view = self.member.view
        safe = view.number if self._complete and "" not in view.owners else (0, 0)
        audits = {name: one.incarnation for name, one in view.live_stores.items()}
        self.runtime.store_status = StoreStatus(
            complete=self._complete,
            audits=audits,
            empty=self._empty,
            safe=safe,
            safe_without_leaving=safe,
        )

    def _audit(self) -> None:
        self.loop.call_later(AUDIT_MS / 1000.0, self._audit)
        self._update_status()
        if self._complete and not self._complete_persisted:
            self._complete_persisted = True
            self.disk.write([(COMPLETE_KEY, b"whole")]).add_done_callback(self._complete_written)

    def _complete_written(self, future: Any) -> None:
        self._complete_persisted = future.exception() is None

    def _on_view(self, view: View) -> None:
        own = view.live_stores.get(self.runtime.me)
        if own is not None and own.incarnation == self.runtime.incarnation:
            self._complete = self._complete or own.complete
        self.control.coordinator.observe(view, self.member.workers.values(), self.runtime.now())

    def _on_worker(self, id: str | None) -> None:
        workers = self.member.workers.values()
        self.control.coordinator.observe(self.member.view, workers, self.runtime.now())

    def serve(self, request: HttpRequest, reply: Callable[[HttpResponse], None]) -> None:
        """Handles an HTTP call to the control service in this process."""
        answer = self.control.handle(request)
        if isinstance(answer, HttpResponse):
            reply(answer)
            return
        task = self.runtime.spawn(answer)
        task.add_done_callback(lambda done: reply(self._result(done)))

    def _result(self, task: Any) -> HttpResponse:
        """Returns 500 for a call that failed, as the HTTP server does."""
        failed = task.cancelled() or task.exception() is not None
        return HttpResponse(500, b'{"reason":"the call failed"}') if failed else task.result()
