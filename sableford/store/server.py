"""The store process: stores and delivers messages, and takes part in the control plane.

It creates and connects the parts, each of which has a module of its own. It loads what the disk holds, then
serves other processes and callers, and hands its shards over when it shuts down.
"""

import asyncio
import time
from pathlib import Path

import orjson

from sableford.common.disk import Disk
from sableford.common.settings import address
from sableford.control.member_client import configuration_until
from sableford.control.protocol import ConfigurationVersion
from sableford.control.record_storage import RecordStorage
from sableford.control.service import ControlService
from sableford.control.view import View, ViewNumber
from sableford.node.runtime import Runtime, StoreStatus
from sableford.store.duties import StoreDuties
from sableford.store.effect_executor import EffectExecutor
from sableford.store.message_storage import BodyReader, Clocks, MessageStorage
from sableford.store.peer_requests import PeerRequests
from sableford.store.protocol import InFlightCounts, InFlightCountsQuery
from sableford.store.queue import Queue
from sableford.store.shutdown import may_exit
from sableford.store.worker_selection import WorkerEntry, WorkerSelector
from sableford.transport.http import ConnectionLimits
from sableford.transport.http_server import HttpServer
from sableford.transport.link import Link
from sableford.transport.messages import PeerMessage
from sableford.transport.routes import RoutingTable

TICK_MS = 15.0  # between two ticks of the queue
REPORT_MS = 40.0  # between two reports of in-flight counts to the other stores
UNSCALED_STORES = 8  # with more stores, each reports less often in proportion, to bound what each receives
REPAIR_MS = 500.0  # between two runs of what need not run often
DEPARTURE_STATUS_MS = 60.0  # between two updates of the status, while a leaving store waits for it
DEPARTURE_CHECK_MS = 20.0  # between two checks whether a store that is shutting down may exit
DEPARTURE_MARGIN_MS = 1500.0  # of the grace period, reserved for closing connections and the disk
CLOSE_MS = 100.0  # for the last responses to be sent
MAX_CONTROL_BODY_BYTES = 1_048_576
COMPLETE_KEY, ZONES_KEY, PROBE_KEY, RECORD_PREFIX = b"n", b"z", b"p", b"r"  # keys on disk
COMPLETE = b"whole"  # value meaning that the disk still holds all that it ever confirmed
FOLDER_BEFORE_0_4 = "margherita"  # the name of the data folder up to version 0.3
NO_VIEW: ViewNumber = (0, 0)


class StoreServer:
    """The store process; `run` serves until it is asked to shut down."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime, self.log, self.links, self.member = runtime, runtime.log, runtime.links, runtime.member
        settings = runtime.settings
        self._loop = runtime.loop
        self.disk = Disk(_data_folder(Path(settings.data_dir or "")), settings.limits.disk_mb)
        self.selector = WorkerSelector(settings.zone, settings.node_name)
        self.control = ControlService(runtime, self.disk)
        self._http_bounds = ConnectionLimits()
        self._http_bounds.max_body_bytes = MAX_CONTROL_BODY_BYTES
        self._http_server = HttpServer(self.control.handle, self._http_bounds)
        self._duties = StoreDuties(runtime, self.member) if settings.reports_usage else None
        self._written_zones: dict[str, str] = {}  # on the local disk
        self._status_at = 0.0  # when the status was last computed

    async def run(self) -> None:
        """Serves until the process is asked to shut down, and its shards are handed over."""
        self._open()
        runtime, settings = self.runtime, self.runtime.settings
        self.peer_requests.register(runtime.peer_server)
        self.control.register(runtime.peer_server)
        self.member.on_view.append(self._view_changed)
        self.member.on_config.append(self._configuration_changed)
        self.member.on_worker.append(self._worker_changed)
        self.member.on_lease.append(self._lease_extended)
        self.member.on_joined.append(self.control.joined_leader)
        self.links.on_up.append(self._link_up)
        if self._duties is not None:
            self._duties.start()
        await runtime.listen()
        self.control.start(self._record_storage)
        if settings.bind_addrs.control_rpc:
            await self._http_server.listen(address(settings.bind_addrs.control_rpc))
        self._tick()
        self._report_in_flight()
        self._repair()
        await runtime.ending.wait()
        await self._leave()

    # Start-up

    def _open(self) -> None:
        """Loads what the disk holds, before anything is served."""
        self.disk.open()
        if self.disk.lost:
            self.log.event("disk_lost", problem=self.disk.lost)
        completeness = dict(self.disk.load(COMPLETE_KEY)).get(COMPLETE_KEY)
        self._completeness_written = completeness is not None
        is_complete = completeness == COMPLETE or (completeness is None and self.runtime.settings.bootstrap)
        self.queue = self._make_queue(is_complete)
        storage = MessageStorage(self.disk)
        self._storage = storage
        bodies = BodyReader(storage, self.log)
        runtime = self.runtime
        self.executor = EffectExecutor(
            self.queue,
            storage,
            bodies,
            self.selector,
            self.links,
            self.log,
            runtime.now,
            runtime.spawn,
            self._duties.usage if self._duties is not None else None,
        )
        self.peer_requests = PeerRequests(
            self.queue, self.executor, storage, bodies, self.selector, runtime.now, runtime.spawn
        )
        self._load_zones()
        self._load_messages(storage)
        self._open_record()
        self._is_empty = not (self.queue.state.messages or self.queue.state.final_states)
        runtime.store_status = StoreStatus(complete=is_complete, empty=self._is_empty)
        self.log.event(
            "folder",
            whole=is_complete,
            messages=len(self.queue.state.messages),
            ends=len(self.queue.state.final_states),
            entries=len(self._record_storage.stored_state.entries),
        )

    def _make_queue(self, is_complete: bool) -> Queue:
        settings = self.runtime.settings
        bounds, tolerates = settings.rule_bounds, settings.tolerates
        return Queue(
            self.runtime.me,
            self.runtime.incarnation,
            tolerates.machine_loss,
            RoutingTable(),
            self.selector,
            bounds.status_ttl_s,
            is_complete,
            tolerates.zones,
            (bounds.ceiling_window_s, bounds.origin_excess),
            tolerates.region_loss,
            settings.zones,
            bounds.sync_s * 1000.0,
        )

    def _load_zones(self) -> None:
        """Loads the zones of the stores on the roster from the last run.

        After all stores lost power, some may still be absent, whose zones no other process can tell.
        """
        written = dict(self.disk.load(ZONES_KEY)).get(ZONES_KEY)
        if written is not None:
            self.queue.state.zone_of = orjson.loads(written)
            self.member.view.zones = dict(self.queue.state.zone_of)

    def _load_messages(self, storage: MessageStorage) -> None:
        clocks = Clocks.at(self.runtime.now())
        self.queue.state.unix = clocks.unix
        self.queue.state.final_states.update(storage.load_final_states())
        for message in storage.load_messages(clocks):
            # A message with a final state is a dead letter, whose body is kept on disk.
            if message.ref not in self.queue.state.final_states:
                self.queue.state.messages[message.ref] = message

    def _open_record(self) -> None:
        settings = self.runtime.settings
        self._record_storage = RecordStorage(self.disk.load(RECORD_PREFIX))
        if self._record_storage.is_new:
            first_voters = sorted(settings.seeds) if settings.bootstrap else ()
            self.disk.write(self._record_storage.initial_write(first_voters))

    # Time

    def _tick(self) -> None:
        self._loop.call_later(TICK_MS / 1000.0, self._tick)
        now = self.runtime.now()
        names = self.links.names()
        self.queue.state.unresponsive = {name for name in names if self.links.responsive_link(name) is None}
        self.executor.carry_out(self.queue.tick(now, time.time() * 1000.0))
        if self._any_store_leaves() and now - self._status_at >= DEPARTURE_STATUS_MS:
            self._status_at = now
            self._update_status()

    def _report_in_flight(self) -> None:
        """Reports changed in-flight counts to the other stores, and requests those that are out of date."""
        scale = max(1.0, len(self.member.view.live_stores) / UNSCALED_STORES)
        self._loop.call_later(REPORT_MS * scale / 1000.0, self._report_in_flight)
        if changed := self.selector.changed:
            self._send_to_stores(InFlightCounts(self.selector.own_counts(changed)))
            self.selector.changed = set()
        if stale := self.selector.stale:
            self._send_to_stores(InFlightCountsQuery(sorted(stale)))
            self.selector.stale = set()

    def _send_to_stores(self, message: PeerMessage) -> None:
        for name in self.member.view.live_stores:
            if name != self.runtime.me and (link := self.links.link(name)) is not None:
                link.send(message)

    def _link_up(self, name: str, link: Link) -> None:
        link.send(InFlightCounts(self.selector.own_counts()))

    def _repair(self) -> None:
        self._loop.call_later(REPAIR_MS / 1000.0, self._repair)
        self.executor.delivery_client.sweep(set(self.selector.workers))
        self.executor.carry_out(self.queue.repair(self.runtime.now()))
        if expired := self.queue.expire_final_states(time.time() * 1000.0):
            self._storage.remove_all(expired)
        self._update_status()
        self.queue.state.full = self.disk.full
        if self.disk.full:  # probe whether it takes writes again; nothing else would try
            self.disk.write([(PROBE_KEY, b"")], adds_data=True).add_done_callback(_ignore_failure)
        if self.queue.state.complete and not self._completeness_written:
            self._completeness_written = True
            self.disk.write([(COMPLETE_KEY, COMPLETE)])

    def _update_status(self) -> None:
        """Updates the status that renewals carry to the leader; renews at once if a leaving store waits."""
        number = self.queue.state.view.number
        is_safe = self.queue.is_safe()
        safe_without_leaving = number if is_safe and not self.queue.counts_on_leaving() else NO_VIEW
        before = self.runtime.store_status.safe_without_leaving
        renews_now = safe_without_leaving not in (NO_VIEW, before) and self._any_store_leaves()
        self.runtime.store_status = StoreStatus(
            complete=self.queue.state.complete,
            audits=self.queue.audits() if is_safe else {},
            safe=number if is_safe else NO_VIEW,
            safe_without_leaving=safe_without_leaving,
            full=self.disk.full,
            empty=self._is_empty,
        )
        if renews_now:
            self.member.renew_now()

    def _any_store_leaves(self) -> bool:
        return any(store.leaving for store in self.queue.state.view.live_stores.values())

    # Updates from the leader

    def _view_changed(self, view: View) -> None:
        now = self.runtime.now()
        self.control.coordinator.observe(view, self.member.workers.values(), now)
        self.executor.carry_out(self.queue.apply_view(now, view))
        self._write_zones(view)

    def _write_zones(self, view: View) -> None:
        zones = {name: zone for name, zone in self.queue.state.zone_of.items() if name in view.roster}
        if zones != self._written_zones:
            self._written_zones = zones
            self.disk.write([(ZONES_KEY, orjson.dumps(zones))]).add_done_callback(_ignore_failure)

    def _configuration_changed(self, config: ConfigurationVersion) -> None:
        table = RoutingTable(config.revision, config.document)
        self.executor.carry_out(self.queue.configure(self.runtime.now(), table))
        self.log.event("config", revision=table.revision)

    def _worker_changed(self, id: str | None) -> None:
        """Handles a change of one worker or, if `id` is None, of any."""
        now, workers = self.runtime.now(), self.member.workers
        if id is None:
            self.selector.retain(set(workers))
        elif id not in workers:
            self.selector.remove(id)
        for worker in workers.values() if id is None else filter(None, [workers.get(id)]):
            host, port = address(worker.address)
            ready = worker.phase == "ready"
            entry = WorkerEntry(worker.id, worker.backend, host, port, worker.zone, worker.capacity, ready)
            self.selector.put(now, entry, worker.slow_start_ms)
        self.control.coordinator.observe(self.member.view, workers.values(), now)
        self.executor.carry_out(self.queue.tick(now, time.time() * 1000.0))

    def _lease_extended(self, until: float) -> None:
        """Extends the lease, but not beyond the time for which the present configuration may be used."""
        bound_ms = self.runtime.settings.rule_bounds.configuration_ms
        known_until = configuration_until(self.member.configuration_lease, bound_ms)
        self.queue.state.lease = min(until, known_until)

    # Shutdown

    async def _leave(self) -> None:
        """Hands the shards over, waits for deliveries in flight and reports their results, then closes."""
        grace_ms = self.runtime.settings.rule_bounds.grace_s * 1000.0
        started_at = self.runtime.now()
        until = started_at + grace_ms - DEPARTURE_MARGIN_MS
        while self.runtime.now() < until and not may_exit(self.queue):
            await asyncio.sleep(DEPARTURE_CHECK_MS / 1000.0)
        self._http_server.stop_accepting()
        await asyncio.sleep(CLOSE_MS / 1000.0)
        waited_ms = round(self.runtime.now() - started_at)
        self.log.event(
            "ended",
            owned=len(self.queue.state.owned),
            out=len(self.queue.state.in_flight),
            waited_ms=waited_ms,
        )


def _ignore_failure(done: "asyncio.Future[bool]") -> None:
    """Marks the failure of a write as retrieved; the write is repeated later."""
    done.exception()


def _data_folder(data_dir: Path) -> Path:
    """Returns the folder of the store's data; renames the folder of a version before 0.4."""
    folder, earlier = data_dir / "store", data_dir / FOLDER_BEFORE_0_4
    if earlier.is_dir() and not folder.exists():
        earlier.rename(folder)
    return folder
