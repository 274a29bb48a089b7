"""The member's side of membership: it finds the leader, keeps a lease by renewing it, and applies the updates
that the leader sends.

A member that joins gets a snapshot, then changes; on a gap between two updates it joins again. Within one
incarnation neither the view nor the configuration goes back.

A member whose lease expired may have lost its shards meanwhile. When it joins again, its new lease comes into
force only once it has applied a view that this leader sent after that join (a fence).
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TypeVar

import msgspec

from sableford.common.log import EventLog
from sableford.control.protocol import (
    ConfigurationVersion,
    JoinRequest,
    JoinResponse,
    MemberStatus,
    RenewRequest,
    Update,
    UpdateAcknowledgement,
    with_status,
)
from sableford.control.timing import LEASE_MS, QUORUM_FRESH_MS, RENEW_MS
from sableford.control.view import View
from sableford.control.workers import Worker, WorkerTable
from sableford.duties.messages import DutyNotice
from sableford.duties.usage_counts import UsageStatus
from sableford.transport.errors import CallError
from sableford.transport.link import Link
from sableford.transport.link_pool import LinkPool
from sableford.transport.messages import PeerRequest, PeerResponse

FIND_INTERVAL_MS = 40.0  # between two attempts to find the leader
MAX_HINTS = 4  # leaders named by other processes that are remembered
MAX_HOPS = 2  # hints followed without a pause: two members may each name the other, by outdated knowledge
ANSWER_TIMEOUT_MS = 400.0  # for the leader's answer; then the member looks for a leader again

ResponseType = TypeVar("ResponseType", bound=PeerResponse)


def configuration_until(configuration_lease: float, apply_ms: float) -> float:
    """Until when a member may act on its configuration, so that no member acts on an old one later than
    `apply_ms` after the acknowledgement of a newer one. `configuration_lease`: that of its `MemberClient`.

    That lease was granted in answer to a join or renewal sent LEASE_MS before its end, and the member has
    applied the snapshot that follows a join. The link keeps messages in order: had a newer configuration been
    sent before a renewal's answer, the member would have applied it first. The answer to a join alone proves
    nothing, because its snapshot, with anything newer, comes after it. An earlier leader, which does not know
    a newer configuration, grants leases for at most QUORUM_FRESH_MS after the next leader was elected. So the
    newer one was acknowledged no sooner than QUORUM_FRESH_MS before the renewal was sent. With an `apply_ms`
    under LEASE_MS + QUORUM_FRESH_MS the result is before the lease's end.

    >>> configuration_until(1000.0, 3000.0), configuration_until(1000.0, 900.0)
    (2700.0, 600.0)
    """
    return configuration_lease - LEASE_MS - QUORUM_FRESH_MS + apply_ms


class MemberClient:
    """Calls `on_view(view)`, `on_config(configuration)`, `on_worker(id)` (None for all workers),
    `on_lease(until)`, `on_duties(notices)` and `on_joined(response)` as updates arrive. The processes to
    connect to come from views and from the seeds.

    `status` returns the status of this process that is reported to the leader."""

    def __init__(
        self,
        links: LinkPool,
        me: str,
        status: Callable[[], MemberStatus],
        seeds: Callable[[], list[str]],
        log: EventLog,
    ) -> None:
        self.links, self.me, self._status, self._seeds, self._log = links, me, status, seeds, log
        self.view = View()
        self.config: ConfigurationVersion | None = None
        self.worker_table = WorkerTable()
        self.lease = 0.0  # ms of the loop's clock: until when this process may act
        self.configuration_lease = 0.0  # the end of the last lease under which the configuration was current
        self._granted_until = 0.0  # the end of the lease that the leader granted: `lease`, once in force
        self._lapsed = True  # the lease expired before the last join
        self._join_sent_at, self._join_term = 0.0, 0
        self._view_received_at, self._view_term = -1.0, 0  # when the last view came, of which term
        self._snapshot_received_at, self._snapshot_term = -1.0, 0  # the same for the last snapshot
        self.leader, self.term, self.update_number = "", 0, 0
        self.changed = asyncio.Event()  # set and replaced at each view
        self.on_view: list[Callable[[View], object]] = []
        self.on_config: list[Callable[[ConfigurationVersion], object]] = []
        self.on_worker: list[Callable[[str | None], object]] = []
        self.on_lease: list[Callable[[float], object]] = []
        self.on_joined: list[Callable[[JoinResponse], object]] = []
        self.on_duties: list[Callable[[list[DutyNotice]], object]] = []
        # Usage counted here: all of it for a join (the flag is True), else what has changed.
        self.usage: Callable[[bool], UsageStatus] = lambda is_join: UsageStatus()
        self.peers_on_disk: Callable[[], set[str]] = set  # other processes that are named on this disk
        self._hint = ""  # the leader that was named last, until it is asked
        self._hints: deque[str] = deque(maxlen=MAX_HINTS)  # leaders that were named; they need not be seeds
        self._leader_link: Link | None = None
        self._loop = asyncio.get_running_loop()
        self._next_index = 0

    def now(self) -> float:
        """ms of the loop's clock."""
        return self._loop.time() * 1000.0

    @property
    def workers(self) -> dict[str, Worker]:
        """The workers that are listed, by id."""
        return self.worker_table.entries

    def holds_lease(self) -> bool:
        """Whether this process may act as a member."""
        return self.now() < self.lease

    async def run(self) -> None:
        """Runs as long as the process does."""
        self._update_peers()
        while True:
            await self.find_leader()
            await self._renew_lease()

    # Finding the leader

    def _update_peers(self) -> None:
        known = {*self.view.roster, *self.view.live_stores, self.leader, *self._hints}
        self.links.set_peers({*self._seeds(), *known, *self.peers_on_disk()} - {""})

    async def find_leader(self) -> None:
        """Asks one process after another until a leader accepts this one as a member."""
        hops = 0
        while True:
            self._update_peers()
            name = self._next_candidate()
            if not name:
                await asyncio.sleep(FIND_INTERVAL_MS / 1000.0)
                continue
            response = await self._join(name)
            if response is not None and response.accepted:
                return
            self._note_hint(response)
            hops += 1
            if self._hint == name or not self._hint or hops > MAX_HOPS:
                hops = 0
                await asyncio.sleep(FIND_INTERVAL_MS / 1000.0)

    def _next_candidate(self) -> str:
        """The leader that was named last, else each responsive process in turn; empty if there is none."""
        names = [name for name in self.links.names() if self.links.responsive_link(name)]
        if self._hint in names:
            hint, self._hint = self._hint, ""
            return hint
        if not names:
            return ""
        self._next_index += 1
        return sorted(names)[self._next_index % len(names)]

    async def _join(self, name: str) -> JoinResponse | None:
        """Asks one process to join it; None if it did not answer."""
        link, sent_at = self.links.responsive_link(name), self.now()
        self._join_sent_at, self._join_term = sent_at, 0
        self._lapsed = self._lapsed or sent_at >= self.lease
        request: JoinRequest = with_status(
            JoinRequest,
            self._status_with_usage(is_join=True),
            view=self.view,
            least_term=self.term,
            departed=self.worker_table.departures(sent_at),
            lease_left_ms=0.0 if self._lapsed else self.lease - sent_at,
        )
        response = await self._call(link, request)
        if response is None or not response.accepted:
            return response
        self._leader_link, self.leader = link, name
        self._join_term = response.term
        self._extend_lease(sent_at)
        for notify in self.on_joined:
            notify(response)
        self._log.event("joined", leader=name, term=response.term)
        return response

    def _note_hint(self, response: JoinResponse | None) -> None:
        self._hint = response.leader if response is not None else ""
        if self._hint and self._hint not in self._hints:
            self._hints.append(self._hint)

    # The lease

    async def _renew_lease(self) -> None:
        """Renews the lease until the leader does not answer, or is no longer the leader."""
        while True:
            await asyncio.sleep(RENEW_MS / 1000.0)
            sent_at = self.now()
            status = self._status_with_usage(is_join=False)
            response = await self._call(self._leader_link, self._renewal(status))
            if response is None or not response.accepted:
                self._hint = (response.leader if response is not None else "") or self._hint
                self._log.event("left_leader", leader=self.leader, answered=response is not None)
                self.leader, self._leader_link = "", None
                return
            self._extend_lease(sent_at)

    def _status_with_usage(self, is_join: bool) -> MemberStatus:
        """The status with usage counts. Only for requests whose answer is awaited: counts of a request that
        failed are sent again with the next join."""
        usage = self.usage(is_join)
        return msgspec.structs.replace(self._status(), usage=usage.counts, usage_settled=usage.settled)

    def _renewal(self, status: MemberStatus) -> RenewRequest:
        renewal: RenewRequest = with_status(
            RenewRequest, status, update_number=self.update_number, term=self.term
        )
        return renewal

    def renew_now(self) -> None:
        """Reports a changed status to the leader at once."""
        if self._leader_link is not None and not self._leader_link.closed:
            future = self._leader_link.request(self._renewal(self._status()))
            future.add_done_callback(lambda done: done.exception())

    def _extend_lease(self, sent_at: float) -> None:
        self._granted_until = max(self._granted_until, sent_at + LEASE_MS)
        self._put_lease_in_force()

    def _put_lease_in_force(self) -> None:
        """Puts the granted lease in force, unless it had expired before and this process's shards may have
        another owner by now."""
        if self._lapsed and not self._is_of_joined_leader(self._view_received_at, self._view_term):
            return
        self._lapsed = False
        configuration_lease = self.configuration_lease
        if self._is_of_joined_leader(self._snapshot_received_at, self._snapshot_term):
            configuration_lease = self._granted_until
        if self._granted_until <= self.lease and configuration_lease <= self.configuration_lease:
            return
        self.lease, self.configuration_lease = self._granted_until, configuration_lease
        for notify in self.on_lease:
            notify(self.lease)

    def _is_of_joined_leader(self, received_at: float, term: int) -> bool:
        """Whether something that was received then, in that term, came from the leader that was joined last
        and after that join."""
        return 0 < self._join_term <= term and received_at >= self._join_sent_at

    async def _call(self, link: Link | None, request: PeerRequest[ResponseType]) -> ResponseType | None:
        if link is None:
            return None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000.0):
                return (await link.request(request)).message
        except (CallError, TimeoutError):
            return None

    # Updates

    def apply_update(self, link: Link, update: Update) -> None:
        """Applies an update received on the link to the leader that this process has joined or is joining."""
        if not self._is_newer(update):
            return
        if not update.snapshot and (update.term, update.previous) != (self.term, self.update_number):
            self._log.event("news_gap", had=self.update_number, n=update.number, prev=update.previous)
            self.leader = ""
            link.drop()  # joining again brings a snapshot
            return
        self.term, self.update_number = update.term, update.number
        if update.config is not None:
            self._apply_configuration(update.config)
        if update.duties is not None:  # before a view, which may put the lease in force
            for notify in self.on_duties:
                notify(update.duties)
        if update.snapshot:
            self._snapshot_received_at, self._snapshot_term = self.now(), update.term
            self._put_lease_in_force()
        if update.view is not None:
            self._apply_view(update.view, update.term)
        self._apply_workers(update)
        link.send(UpdateAcknowledgement(update.number, update.term))

    def _is_newer(self, update: Update) -> bool:
        if update.term != self.term:
            return update.term > self.term
        return update.snapshot or update.number > self.update_number

    def _apply_configuration(self, config: ConfigurationVersion) -> None:
        if self.config is not None and config.revision <= self.config.revision:
            return
        for notify in self.on_config:
            notify(config)
        self.config = config  # only now: if a callback failed, it is applied again when it is sent again

    def _apply_view(self, view: View, term: int) -> None:
        if view.number > self.view.number:
            self.view = view
            self._update_peers()
            for notify in self.on_view:
                notify(view)
            self.changed.set()
            self.changed = asyncio.Event()
        self._view_received_at, self._view_term = self.now(), term
        self._put_lease_in_force()

    def _apply_workers(self, update: Update) -> None:
        now = self.now()
        if update.workers is not None:
            self.worker_table.replace(now, update.workers)
            self._notify_worker(None)
        if update.worker is not None:
            self.worker_table.put(now, update.worker)
            self._notify_worker(update.worker.id)
        if update.removed_worker is not None:
            self.worker_table.remove(now, update.removed_worker, update.worker_left)
            self._notify_worker(update.removed_worker)

    def _notify_worker(self, id: str | None) -> None:
        for notify in self.on_worker:
            notify(id)
