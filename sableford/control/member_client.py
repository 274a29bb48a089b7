"""A member's side: it finds the leader, holds a lease there by renewing it, and applies the updates that come
on its link.

Who is behind gets a snapshot, then changes; a gap between two updates means joining anew. Within one
incarnation neither a view nor a configuration goes back.

A member whose lease ran out may have lost its shards meanwhile. The lease that it is granted when it joins
again is in force only once it has applied a view that this leader sent after that join (a fence).
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
MAX_HINTS = 4  # leaders remembered that others have named
MAX_HOPS = 2  # hints followed at once: two members may each name the other as the leader of long ago
ANSWER_TIMEOUT_MS = 400.0  # for the leader's answer; then it is looked for anew

ResponseType = TypeVar("ResponseType", bound=PeerResponse)


def configuration_until(configuration_lease: float, apply_ms: float) -> float:
    """Until when a member may act on the configuration that it has, so that none acts on an old one later
    than `apply_ms` after the acknowledgement of a newer one. `configuration_lease`: of its `MemberClient`.

    That lease was granted in answer to a join or renewal sent LEASE_MS before its end, and the snapshot that
    the leader sends after a join has been applied. No newer configuration had been sent on that link before
    a renewal's answer, or this member would have applied it first, since the link keeps the order. The answer
    to a join alone says nothing: its snapshot, with what is newer, comes after it. An earlier leader, which
    does not know of a newer one, grants for QUORUM_FRESH_MS at most after the next one has won. So the newer
    one was acknowledged no sooner than QUORUM_FRESH_MS before the renewal was sent. With an `apply_ms` under
    LEASE_MS + QUORUM_FRESH_MS that is before the lease runs out.

    >>> configuration_until(1000.0, 3000.0), configuration_until(1000.0, 900.0)
    (2700.0, 600.0)
    """
    return configuration_lease - LEASE_MS - QUORUM_FRESH_MS + apply_ms


class MemberClient:
    """`on_view(view)`, `on_config(configuration)`, `on_worker(id)`, with None for all workers,
    `on_lease(until)` and `on_joined(response)` are called as updates come. Which processes to reach comes
    from views and from the seeds.

    `status` gives what this process says of itself."""

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
        self.configuration_lease = 0.0  # the end of the last lease that the configuration here goes with
        self._granted_until = 0.0  # until when the leader counts it as a member: `lease`, once in force
        self._lapsed = True  # the lease ran out before the last join
        self._join_sent_at, self._join_term = 0.0, 0
        self._view_heard_at, self._view_term = -1.0, 0  # when a leader's view came last, and of which term
        self._snapshot_heard_at, self._snapshot_term = -1.0, 0  # the same of its snapshot
        self.leader, self.term, self.update_number = "", 0, 0
        self.changed = asyncio.Event()  # set and replaced at each view
        self.on_view: list[Callable[[View], object]] = []
        self.on_config: list[Callable[[ConfigurationVersion], object]] = []
        self.on_worker: list[Callable[[str | None], object]] = []
        self.on_lease: list[Callable[[float], object]] = []
        self.on_joined: list[Callable[[JoinResponse], object]] = []
        self.on_duties: list[Callable[[list[DutyNotice]], object]] = []
        # What was counted here: all of it for a join, which is what the flag says, else what has changed.
        self.usage: Callable[[bool], UsageStatus] = lambda is_join: UsageStatus()
        self.peers_on_disk: Callable[[], set[str]] = set  # others that the own disk knows of
        self._hint = ""
        self._hints: deque[str] = deque(maxlen=MAX_HINTS)  # leaders that were named; no seed may be one
        self._leader_link: Link | None = None
        self._loop = asyncio.get_running_loop()
        self._turn = 0

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
        """For the life of the process."""
        self._update_peers()
        while True:
            await self.find_leader()
            await self._renew_lease()

    # Finding the leader

    def _update_peers(self) -> None:
        known = {*self.view.roster, *self.view.live_stores, self.leader, *self._hints}
        self.links.set_peers({*self._seeds(), *known, *self.peers_on_disk()} - {""})

    async def find_leader(self) -> None:
        """Until a leader has accepted this process as a member."""
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
        """The leader that was named last, else one after the other; none where nobody answers."""
        names = [name for name in self.links.names() if self.links.responsive_link(name)]
        if self._hint in names:
            hint, self._hint = self._hint, ""
            return hint
        if not names:
            return ""
        self._turn += 1
        return sorted(names)[self._turn % len(names)]

    async def _join(self, name: str) -> JoinResponse | None:
        """Asks one process; None where it did not answer."""
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
        """Until the leader does not answer, or does not lead any more."""
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
        """Only in requests whose answer is looked at: what one did not take, the next join tells."""
        usage = self.usage(is_join)
        return msgspec.structs.replace(self._status(), usage=usage.counts, usage_settled=usage.settled)

    def _renewal(self, status: MemberStatus) -> RenewRequest:
        renewal: RenewRequest = with_status(
            RenewRequest, status, update_number=self.update_number, term=self.term
        )
        return renewal

    def renew_now(self) -> None:
        """Something of what this process says of itself has changed."""
        if self._leader_link is not None and not self._leader_link.closed:
            future = self._leader_link.request(self._renewal(self._status()))
            future.add_done_callback(lambda done: done.exception())

    def _extend_lease(self, sent_at: float) -> None:
        self._granted_until = max(self._granted_until, sent_at + LEASE_MS)
        self._put_lease_in_force()

    def _put_lease_in_force(self) -> None:
        """Unless what this process owned before its lease ran out may be another's by now."""
        if self._lapsed and not self._is_of_joined_leader(self._view_heard_at, self._view_term):
            return
        self._lapsed = False
        configuration_lease = self.configuration_lease
        if self._is_of_joined_leader(self._snapshot_heard_at, self._snapshot_term):
            configuration_lease = self._granted_until
        if self._granted_until <= self.lease and configuration_lease <= self.configuration_lease:
            return
        self.lease, self.configuration_lease = self._granted_until, configuration_lease
        for notify in self.on_lease:
            notify(self.lease)

    def _is_of_joined_leader(self, heard_at: float, term: int) -> bool:
        """Whether what came then, of that term, is of the leader that was joined last, since that join."""
        return 0 < self._join_term <= term and heard_at >= self._join_sent_at

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
        """On the link of the leader that this process has joined, or is joining."""
        if not self._is_newer(update):
            return
        if not update.snapshot and (update.term, update.previous) != (self.term, self.update_number):
            self._log.event("news_gap", had=self.update_number, n=update.number, prev=update.previous)
            self.leader = ""
            link.drop()  # joined anew, it gets a snapshot
            return
        self.term, self.update_number = update.term, update.number
        if update.config is not None:
            self._apply_configuration(update.config)
        if update.duties is not None:  # before a view, which may put the lease in force
            for notify in self.on_duties:
                notify(update.duties)
        if update.snapshot:
            self._snapshot_heard_at, self._snapshot_term = self.now(), update.term
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
        self.config = config  # only now: one that failed is applied again when its leader sends it anew

    def _apply_view(self, view: View, term: int) -> None:
        if view.number > self.view.number:
            self.view = view
            self._update_peers()
            for notify in self.on_view:
                notify(view)
            self.changed.set()
            self.changed = asyncio.Event()
        self._view_heard_at, self._view_term = self.now(), term
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
