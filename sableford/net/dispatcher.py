"""The actor that drives the scheduler: the only caller of `Scheduler`, with its clock, timers and indexes.

Messages become events, effects become messages; no decision is made here. If the scheduler raises, every open
txn is reversed, which promises nothing, and a new scheduler starts with empty state.
"""

import asyncio
from collections import Counter
from heapq import heappop, heappush
from typing import NamedTuple
from zlib import crc32

from sableford import learned_state
from sableford.intake.index_table import IndexTable, WorkerList
from sableford.intake.scheduler_settings import SchedulerSettings
from sableford.learned_state import LearnedState
from sableford.model import (
    CallOff,
    ClientLeft,
    ConfigChanged,
    Decline,
    Ended,
    Ending,
    Event,
    FetchRoster,
    NotifyPeers,
    PeerUpdate,
    Post,
    Probe,
    Probed,
    Progressed,
    Reverse,
    Roster,
    RosterFailed,
    Standing,
    Started,
    TurnsChanged,
    TxnArrived,
    Wake,
    Woken,
    WorkerOverride,
)
from sableford.net import wire
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.messages import (
    CancelPosting,
    ClientGone,
    Clock,
    ConfigReloaded,
    ConnectionQuota,
    DiscoveryLost,
    DuplicateId,
    Fail,
    HandoverSnapshot,
    KnownWorkers,
    Mailbox,
    OperatorOverride,
    PeerPayload,
    PostingEnded,
    PostingProgressed,
    PostingStarted,
    ProbeResult,
    Refuse,
    Request,
    SendPosting,
    SendProbe,
    SendToPeers,
    Settle,
    StaleConnection,
    WarmUpOwnership,
    WorkerEndpoint,
    WorkerListUpdate,
)
from sableford.net.workers import Worker
from sableford.policy.scheduler import Scheduler


class Dispatcher:
    def __init__(
        self,
        settings: SchedulerSettings,
        seed: str,
        discovery: Mailbox,
        clock: Clock,
        limits: Limits,
        log: Log,
        peers: Mailbox | None = None,
        console: Mailbox | None = None,
    ) -> None:
        self.mailbox, self.console = Mailbox(), console or Mailbox()
        self._settings, self._seed, self._starts = settings, seed, 0
        self._discovery, self._clock, self._limits, self._log = discovery, clock, limits, log
        self._peers = peers  # none if peer messages are off
        self._workers: dict[str, Worker] = {}
        self._tasks: set[asyncio.Task] = set()
        self._latest_list: dict[str, tuple] = {}  # current worker list, for a restarted scheduler
        self._endpoints: dict[str, WorkerEndpoint] = {}
        self._overrides: dict[str, OperatorOverride] = {}  # the operators' last override per worker
        self._owns_warm_up = True  # this process sends to warming-up workers
        self._handover: Mailbox | None = None  # none without handover
        self._inherited: LearnedState | None = None  # from the previous process, until the first list
        self._exported_at = 0.0  # when the learned state was last exported
        self._message_handlers = {
            Request: self._add_request,
            ClientGone: self._client_gone,
            PostingStarted: self._posting_started,
            PostingProgressed: self._posting_progressed,
            PostingEnded: self._posting_ended,
            ProbeResult: self._probe_result,
            WorkerListUpdate: self._update_workers,
            OperatorOverride: self._apply_override,
            WarmUpOwnership: self._set_warm_up_ownership,
            ConfigReloaded: self._reload,
            StaleConnection: self._report_stale,
            PeerPayload: self._peer_update,
            _ActorFailed: self._actor_failed,
            DiscoveryLost: lambda message: self._handle_event(RosterFailed()),
        }
        self._effect_handlers = {
            Post: self._post,
            CallOff: self._cancel,
            Decline: self._decline,
            Reverse: self._reverse,
            Wake: lambda effect: heappush(self._wakeups, self._now + effect.after),
            FetchRoster: self._fetch_list,
            Probe: self._probe,
            NotifyPeers: self._notify_peers,
        }
        self._now = self._traced_at = clock.now()
        self._start_scheduler()

    def inherit(self, handover: Mailbox, inherited: LearnedState | None) -> None:
        """Sets, before run(), where learned state goes and what the previous process had learned."""
        self._handover, self._inherited = handover, inherited

    def _export_learned(self) -> None:
        """Exports the learned state every second, which bounds what a kill costs the next process."""
        self._exported_at = self._now
        listing = wire.encode_listing(self._latest_list.values(), self._endpoints, self._settings)
        self._handover.put(
            HandoverSnapshot(
                listing, learned_state.export_state(self._scheduler, self._index.worker_ids, self._settings)
            )
        )

    def _start_scheduler(self) -> None:
        """Creates a scheduler with empty state."""
        seed = crc32(b"%s:%d" % (self._seed.encode(), self._starts))
        self._starts += 1
        # Over sockets the worker list always has to be requested, once or repeatedly.
        self._scheduler = Scheduler(self._settings.config._replace(subscribes=True), seed)
        self._index = IndexTable()
        self._postings: dict[Request, list[str]] = {}  # per request, the worker of each posting
        self._ids: set[bytes] = set()
        self._wakeups: list[float] = []

    async def run(self) -> None:
        while True:
            within = self._wakeups[0] - self._clock.now() if self._wakeups else None
            messages = await self.mailbox.take(within)
            self._now = self._clock.now()
            for message in messages:
                self._message_handlers[type(message)](message)
            # One Woken event serves all timers that are due.
            due = False
            if self._wakeups and self._now - self._wakeups[0] > self._limits.late_wakeup:
                self._log.event("late", by=round(self._now - self._wakeups[0], 1))
            while self._wakeups and self._wakeups[0] <= self._now:
                heappop(self._wakeups)
                due = True
            if due:
                self._handle_event(Woken())
            if (
                self._handover is not None
                and self._latest_list
                and self._now >= self._exported_at + self._limits.heartbeat
            ):
                self._export_learned()
            if self._log.each_txn and self._now >= self._traced_at + self._limits.report_interval:
                self._traced_at = self._now
                self._trace()

    def _trace(self) -> None:
        """Logs the scheduler's estimate of each worker and the dispatcher's own count of open postings."""
        out = Counter(name for workers in self._postings.values() for name in workers)
        for index, worker in self._scheduler.workers.items():
            name = self._index.worker_ids[index]
            self._log.event(
                "belief",
                worker=name,
                posted=out[name],
                own=worker.own,
                others=round(worker.others, 1),
                age=round(self._now - worker.as_of) if worker.others >= 0.0 else None,
                slots=worker.kind.slots,
                pace=round(worker.pace, 2),
                kind_pace=round(worker.kind.pace(), 2),
                faults=round(worker.errors, 1),
                sound=round(worker.successes, 1),
                out=[
                    label
                    for label, applies in (
                        ("still", worker.stalled),
                        ("doubted", worker.suspect),
                        ("waits", worker.has_queue),
                        ("unready", not worker.ready),
                        ("undrawn", not worker.in_subset),
                    )
                    if applies
                ],
            )

    def _handle_event(self, event: Event) -> None:
        try:
            for effect in self._scheduler.handle(self._now, event):
                self._effect_handlers[type(effect)](effect)
        except Exception as problem:
            self._log.event("module_failed", problem=repr(problem), happened=repr(event))
            self._reverse_all()
            if isinstance(event, Roster):  # a new scheduler would fail on the same list
                raise
            self._start_scheduler()
            self._now = self._clock.now()
            self._handle_event(TurnsChanged(self._owns_warm_up))
            for override in self._overrides.values():  # before the list, lest an excluded worker seem ready
                self._handle_event(
                    WorkerOverride(self._index.worker_index(override.worker), override.out, override.at)
                )
            self._handle_event(self._index.roster_update(WorkerList(list(self._latest_list.values())), True))

    def _reverse_all(self) -> None:
        """Cancels all postings and answers every open txn as reversed, which promises nothing."""
        for request, workers in self._postings.items():
            for number, worker in enumerate(workers):
                self._workers[worker].mailbox.put(CancelPosting(request, number))
            request.client.put(Fail(request))

    # Incoming messages

    def _add_request(self, request: Request) -> None:
        if request.id in self._ids:
            # A second request with the same id would run twice, whichever connection it came on.
            request.client.put(DuplicateId(request))
            return
        self._ids.add(request.id)
        self._postings[request] = []
        txn = self._index.add_txn(request)
        needs = request.slots, request.work
        self._handle_event(TxnArrived(txn, request.scheme, 0, request.expiry, *needs))

    def _client_gone(self, message: ClientGone) -> None:
        if (txn := self._index.find_txn(message.request)) is not None:
            self._index.close_txn(txn)
            self._handle_event(ClientLeft(txn))
            self._forget(message.request)

    def _posting_started(self, message: PostingStarted) -> None:
        if (txn := self._index.find_txn(message.request)) is not None:
            self._handle_event(Started(txn, message.posting))

    def _posting_progressed(self, message: PostingProgressed) -> None:
        if (txn := self._index.find_txn(message.request)) is not None:
            self._handle_event(Progressed(txn, message.posting, message.progress))

    def _posting_ended(self, message: PostingEnded) -> None:
        request = message.request
        if (txn := self._index.find_txn(request)) is None:
            return
        settled, already_closed = message.ending is Ending.SETTLED, self._index.is_closed(txn)
        if settled and not already_closed:
            request.client.put(Settle(request, message.result))
        if self._log.each_txn:
            worker = self._postings[request][message.posting]
            self._log.event(
                "back", id=request.id, worker=worker, ending=message.ending.name, load=message.load
            )
        closed = settled or already_closed
        self._index.posting_ended(txn, closed)
        self._handle_event(Ended(txn, message.posting, message.ending, closed, message.load))
        self._forget(request)

    def _probe_result(self, message: ProbeResult) -> None:
        if (worker := self._index.find_worker(message.worker)) is not None:
            self._handle_event(Probed(worker, message.answered, message.load))

    def _peer_update(self, message: PeerPayload) -> None:
        # Peer messages that still arrive after they were switched off are ignored.
        if (
            self._settings.config.notify_peers
            and (load := self._index.decode_load(message.payload)) is not None
        ):
            self._handle_event(PeerUpdate(message.peer, *load))

    def _update_workers(self, message: WorkerListUpdate) -> None:
        """Applies a worker list update at once, so that a drain is known before the next posting."""
        worker_list = message.worker_list
        known = dict(self._latest_list)
        if message.complete:
            self._latest_list.clear()
        for worker, (zone, kind, cell, standing, since) in worker_list.facts.items():
            self._latest_list.pop(worker, None)
            if standing:
                self._latest_list[worker] = (
                    worker,
                    zone,
                    kind,
                    cell,
                    standing,
                    worker_list.ratings[worker],
                    since,
                )
            if standing or worker in self._workers:
                self._update_endpoint(worker, WorkerEndpoint(message.addresses[worker], since, True))
        for worker in known.keys() - self._latest_list.keys() - worker_list.facts.keys():
            self._update_endpoint(worker, self._endpoints[worker])
        self.console.put(KnownWorkers(frozenset(self._endpoints.keys() | self._overrides.keys())))
        if known.keys() != self._latest_list.keys():
            self._assign_quotas()
        for worker in known.keys() | self._latest_list.keys():
            before, after = known.get(worker), self._latest_list.get(worker)
            if (before and (before[4], before[6])) != (after and (after[4], after[6])):
                standing, since = (after[4], after[6]) if after else (0, 0.0)
                self._log.event("worker", worker=worker, standing=standing, since=since)
        self._handle_event(self._index.roster_update(worker_list, message.complete))
        if self._inherited is not None:
            learned_state.restore_state(
                self._scheduler, self._inherited, self._index.find_worker, self._settings, self._now
            )
            self._inherited = None

    def _update_endpoint(self, worker: str, endpoint: WorkerEndpoint) -> None:
        """Sends the worker's actor its address, and whether list and operators allow new postings."""
        entry, override = self._latest_list.get(worker), self._overrides.get(worker)
        ready = entry is not None and Standing(entry[4]) is Standing.READY and not (override and override.out)
        # Put back in service, the worker was restarted: idle connections lead to its former process.
        since = (
            max(endpoint.started_at, override.at / 1000.0)
            if override and not override.out
            else endpoint.started_at
        )
        endpoint = endpoint._replace(started_at=since, ready=ready)
        if self._endpoints.get(worker) != endpoint:
            self._endpoints[worker] = endpoint
            self._worker(worker).mailbox.put(endpoint)

    def _apply_override(self, override: OperatorOverride) -> None:
        self._overrides[override.worker] = override
        if (endpoint := self._endpoints.get(override.worker)) is not None:
            self._update_endpoint(override.worker, endpoint)
        self._handle_event(
            WorkerOverride(self._index.worker_index(override.worker), override.out, override.at)
        )

    def _set_warm_up_ownership(self, message: WarmUpOwnership) -> None:
        self._owns_warm_up = message.owned
        self._handle_event(TurnsChanged(message.owned))

    def _assign_quotas(self) -> None:
        connections = max(1, self._limits.worker_connections // max(1, len(self._latest_list)))
        for worker in self._latest_list:
            self._worker(worker).mailbox.put(ConnectionQuota(connections))

    def _reload(self, message: ConfigReloaded) -> None:
        self._limits = message.limits
        if message.settings != self._settings:
            self._settings = message.settings
            self._handle_event(ConfigChanged(message.settings.config._replace(subscribes=True)))
        for worker in self._workers.values():
            worker.mailbox.put(message)
        self._assign_quotas()

    def _report_stale(self, message: StaleConnection) -> None:
        """Tells all workers: a setting or middlebox that drops idle connections usually affects all."""
        self._log.event("stale_line", rested=round(message.idle_ms))
        for worker in self._workers.values():
            worker.mailbox.put(message)

    def _worker(self, name: str) -> Worker:
        if (worker := self._workers.get(name)) is None:
            worker = Worker(name, self.mailbox, self._clock, self._limits, self._settings, self._log)
            self._workers[name] = worker
            task = asyncio.get_running_loop().create_task(worker.run(), name=f"worker {name}")
            self._tasks.add(task)
            task.add_done_callback(self._actor_done)
        return worker

    def _actor_done(self, task: asyncio.Task) -> None:
        """Reports the failure of a worker's actor to the dispatcher."""
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self.mailbox.put(_ActorFailed(task.get_name(), problem))

    def _actor_failed(self, message: "_ActorFailed") -> None:
        self._reverse_all()
        raise RuntimeError(f"{message.name} failed") from message.problem

    # Effects

    def _post(self, effect: Post) -> None:
        request = self._index.txn_ids[effect.txn]
        name = self._index.worker_ids[effect.worker]
        self._index.posting_sent(effect.txn)
        workers = self._postings[request]
        if self._log.each_txn:
            self._log.event("post", id=request.id, worker=name, number=len(workers))
        self._workers[name].mailbox.put(SendPosting(request, len(workers), effect.until))
        workers.append(name)

    def _cancel(self, effect: CallOff) -> None:
        request = self._index.txn_ids[effect.txn]
        worker = self._workers[self._postings[request][effect.posting]]
        worker.mailbox.put(CancelPosting(request, effect.posting))

    def _decline(self, effect: Decline) -> None:
        request = self._index.txn_ids[effect.txn]
        self._answer(effect.txn, request, Refuse(request, effect.pause))

    def _reverse(self, effect: Reverse) -> None:
        request = self._index.txn_ids[effect.txn]
        self._answer(effect.txn, request, Fail(request))

    def _answer(self, txn: int, request: Request, answer: Refuse | Fail) -> None:
        if self._log.each_txn:
            self._log.event("answer", id=request.id, answer=type(answer).__name__)
        request.client.put(answer)
        self._index.close_txn(txn)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        """Frees the id of a txn that is answered and has no open postings."""
        if self._index.find_txn(request) is None and request in self._postings:
            del self._postings[request]
            self._ids.discard(request.id)

    def _fetch_list(self, effect: FetchRoster) -> None:
        self._discovery.put(effect)

    def _notify_peers(self, effect: NotifyPeers) -> None:
        if self._peers is not None:
            self._peers.put(SendToPeers(effect.peers, self._index.encode_load(effect.worker, effect.slots)))

    def _probe(self, effect: Probe) -> None:
        self._workers[self._index.worker_ids[effect.worker]].mailbox.put(SendProbe())


class _ActorFailed(NamedTuple):
    """A worker's actor failed."""

    name: str
    problem: BaseException
