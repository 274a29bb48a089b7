"""The leader's sessions with members: joins, renewals and acknowledgements, the links that updates go out on,
and waits for an update to be applied.
"""

import asyncio
from collections.abc import Callable, Iterable

from sableford.common.log import EventLog
from sableford.control.coordinator import Coordinator
from sableford.control.effects import AddStore, Effect, LogEvent, RemoveStore, SendUpdate, WaitEnded
from sableford.control.protocol import (
    JoinRequest,
    JoinResponse,
    MemberStatus,
    RenewRequest,
    RenewResponse,
    UpdateAcknowledgement,
)
from sableford.control.roster_manager import RosterManager
from sableford.transport.link import IncomingMessage, Link

RENEW_RETRIES, RENEW_RETRY_MS = 5, 50.0  # a renewal is held while no majority has answered recently


class MemberSessions:
    """`leads`: whether this process is the leader. `leader`: the leader as far as known here. `voters`: the
    current voters."""

    def __init__(
        self,
        coordinator: Coordinator,
        roster_manager: RosterManager,
        leads: Callable[[], bool],
        leader: Callable[[], str],
        voters: Callable[[], dict[str, str] | None],
        now: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._coordinator, self._roster_manager = coordinator, roster_manager
        self._leads, self._leader, self._voters = leads, leader, voters
        self._now, self._log = now, log
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self._links: dict[str, Link] = {}
        self._waits: dict[int, asyncio.Future[bool]] = {}
        self.on_status: list[Callable[[MemberStatus], object]] = []  # called with each status of a member

    def end_all(self) -> None:
        """Ends all sessions: this process is no longer the leader."""
        self._links.clear()

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carries out the coordinator's effects."""
        for effect in effects:
            match effect:
                case SendUpdate(member, update):
                    if (link := self._links.get(member)) is not None:
                        link.send(update)
                case AddStore(name):
                    self._roster_manager.add_store(name)
                case RemoveStore(name):
                    self._roster_manager.remove_store(name)
                case WaitEnded(token, all_applied):
                    future = self._waits.pop(token, None)
                    if future is not None and not future.done():
                        future.set_result(all_applied)
                case LogEvent(event, fields):
                    self._log.event(event, **fields)

    def handle_join(self, incoming: IncomingMessage[JoinRequest]) -> None:
        """Accepts a join if this process is the leader, in a term that the member follows, and a majority has
        answered recently."""
        coordinator, request = self._coordinator, incoming.message
        can_lead = self._leads() and request.least_term <= coordinator.term
        if not can_lead or not coordinator.majority_is_recent(self._now()):
            incoming.respond(JoinResponse(False, leader=self._leader()))
            return
        self._links[incoming.sender] = incoming.link
        incoming.respond(JoinResponse(True, coordinator.term, self._voters()))
        self._notify_status(request)
        self.carry_out(coordinator.joined(self._now(), incoming.sender, request))

    def handle_renewal(self, incoming: IncomingMessage[RenewRequest], retries: int = RENEW_RETRIES) -> None:
        """Accepts a renewal of a member that has joined on the same link."""
        is_member = self._leads() and self._links.get(incoming.sender) is incoming.link
        if is_member and retries and not self._coordinator.majority_is_recent(self._now()):
            # A packet between voters may be lost. The member's lease is still valid, and it awaits an answer.
            self.loop.call_later(RENEW_RETRY_MS / 1000.0, self.handle_renewal, incoming, retries - 1)
            return
        request, sender = incoming.message, incoming.sender
        is_member = is_member and request.term <= self._coordinator.term
        if not is_member or not self._coordinator.renewed(self._now(), sender, request):
            incoming.respond(RenewResponse(False, self._leader()))
            return
        incoming.respond(RenewResponse(True))
        self._notify_status(request)
        self.carry_out(
            self._coordinator.acknowledged(self._now(), sender, request.incarnation, request.update_number)
        )
        self.carry_out(self._coordinator.after_renewals(self._now()))

    def _notify_status(self, status: MemberStatus) -> None:
        for notify in self.on_status:
            notify(status)

    def handle_acknowledgement(self, incoming: IncomingMessage[UpdateAcknowledgement]) -> None:
        """Takes the acknowledgement of an update of this leader's term."""
        is_member = self._leads() and self._links.get(incoming.sender) is incoming.link
        if is_member and incoming.message.term == self._coordinator.term:
            incarnation, number = incoming.link.incarnation, incoming.message.number
            self.carry_out(self._coordinator.acknowledged(self._now(), incoming.sender, incarnation, number))

    async def wait_applied(
        self, update_number: int, roles: tuple[str, ...], after_old_leases: bool = False
    ) -> bool:
        """Waits, with a time-out, until all present members of those roles have applied an update. Returns
        whether they have."""
        future: asyncio.Future[bool] = self.loop.create_future()
        token, effects = self._coordinator.wait(self._now(), update_number, roles, after_old_leases)
        self._waits[token] = future
        self.carry_out(effects)
        return await future
