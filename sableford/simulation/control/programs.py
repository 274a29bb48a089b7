"""The programs of the simulated machines: the real runtime, links, member client, record and control service.

A store's messages are not played here: what its queue tells the leader of them is told as if all were safe.
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

COMPLETE = b"n"  # the key under which a store notes that its folder holds all that it ever said to hold
AUDIT_MS = 500.0  # between two looks at what the leader is to be told of the own folder
ECHO_MS = 300.0  # between two calls to a peer that must not be repeated
ECHO_MOST_MS = 120.0  # the longest that a peer takes to answer one


class EchoResponse(PeerResponse, frozen=True):
    """The tag of the call that it answers."""

    tag: str = ""


class EchoRequest(PeerRequest[EchoResponse], frozen=True, tag="echo"):
    """A call that must be handled once and answered to its caller alone."""

    response_type: ClassVar[type[PeerResponse]] = EchoResponse
    call_tag: str = msgspec.field(name="tag")


class SimulatedRuntime(Runtime):
    """Without a settings file to watch."""

    async def _watch_settings(self) -> None:
        return


class Program:
    """What all processes do: they hold a lease, and ask each other what must be answered to them alone.

    `watcher` gets `applied(program, config)`, `echo_handled(tag)` and `echo_answered(tag, answer)`."""

    role = "edge"

    def __init__(self, settings: Settings, process: Process, chance: Any, watcher: Any) -> None:
        self.process, self._chance, self._watcher = process, chance, watcher
        self.runtime = SimulatedRuntime(settings, Path("settings.yaml"), self.role)
        self.member, self.loop = self.runtime.member, self.runtime.loop
        self.runtime.peer_server.handle(EchoRequest, self._echo)
        self.member.on_config.append(lambda config: watcher.applied(self, config))
        self._echoes = 0

    async def main(self) -> None:
        await self.runtime.listen()
        self.loop.call_later(ECHO_MS / 1000.0, self._ask_echo)

    def _ask_echo(self) -> None:
        self.loop.call_later(self._chance.uniform(0.5, 1.5) * ECHO_MS / 1000.0, self._ask_echo)
        names = [name for name in self.runtime.links.names() if self.runtime.links.link(name)]
        if not names:
            return
        link = self.runtime.links.link(self._chance.choice(names))
        for _ in range(2):  # answered in any order
            self._echoes += 1
            tag = f"{self.runtime.incarnation}-{self._echoes}"
            asked = link.request(EchoRequest(tag))
            asked.add_done_callback(lambda future, tag=tag: self._echo_answered(tag, future))

    def _echo(self, incoming: IncomingMessage[EchoRequest]) -> None:
        tag = incoming.message.call_tag
        self._watcher.echo_handled(tag)
        delay = self._chance.uniform(0.0, ECHO_MOST_MS) / 1000.0
        self.loop.call_later(delay, incoming.respond, EchoResponse(tag))

    def _echo_answered(self, tag: str, future: Any) -> None:
        if isinstance(future.exception(), CallError):
            return
        self._watcher.echo_answered(tag, future.result().message.tag)


class EdgeProgram(Program):
    """A member only."""


class StoreProgram(Program):
    """Holds the record and may lead; as `sableford.store.server`, but for the messages."""

    role = "store"

    def __init__(
        self,
        settings: Settings,
        process: Process,
        chance: Any,
        watcher: Any,
        disk: SimulatedDisk,
        platform: Platform | None = None,
    ) -> None:
        super().__init__(settings, process, chance, watcher)
        self.disk = disk
        self.control = ControlService(self.runtime, disk)
        control, member = self.control, self.member
        control.register(self.runtime.peer_server)
        member.on_view.append(self._view)
        member.on_worker.append(self._worker)
        member.on_joined.append(control.joined_leader)
        known = dict(disk.load(COMPLETE)).get(COMPLETE)
        self._complete = known == b"whole" or (known is None and settings.bootstrap)
        self._noted = known is not None
        self._empty = not disk.load(b"r")
        self.storage = RecordStorage(disk.load(b"r"))
        if self.storage.is_new:
            disk.write(self.storage.initial_write(sorted(settings.seeds) if settings.bootstrap else ()))
        self._update_status()
        if platform is not None:
            self._take_part_in_duties(platform)

    def _take_part_in_duties(self, platform: Platform) -> None:
        duties = StoreDuties(self.runtime, self.member)
        duties.start()
        traffic_chance = Random(self._chance.random())
        traffic = Traffic(platform, duties.usage, traffic_chance, self.member.holds_lease)
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
        if self._complete and not self._noted:
            self._noted = True
            self.disk.write([(COMPLETE, b"whole")]).add_done_callback(self._audit_noted)

    def _audit_noted(self, future: Any) -> None:
        self._noted = future.exception() is None

    def _view(self, view: View) -> None:
        own = view.live_stores.get(self.runtime.me)
        if own is not None and own.incarnation == self.runtime.incarnation:
            self._complete = self._complete or own.complete
        self.control.coordinator.observe(view, self.member.workers.values(), self.runtime.now())

    def _worker(self, id: str | None) -> None:
        workers = self.member.workers.values()
        self.control.coordinator.observe(self.member.view, workers, self.runtime.now())

    def serve(self, request: HttpRequest, reply: Callable[[HttpResponse], None]) -> None:
        """A control call, in this process."""
        answer = self.control.handle(request)
        if isinstance(answer, HttpResponse):
            reply(answer)
            return
        task = self.runtime.spawn(answer)
        task.add_done_callback(lambda done: reply(self._result(done)))

    def _result(self, task: Any) -> HttpResponse:
        """A call that fails is answered 500, as by the door."""
        failed = task.cancelled() or task.exception() is not None
        return HttpResponse(500, b'{"reason":"the call failed"}') if failed else task.result()
