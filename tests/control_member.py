"""A member's lease on a simulated clock: processes that are partitioned from the leader and come back."""

import asyncio

from sableford.control.member_client import MemberClient
from sableford.control.protocol import JoinResponse, MemberStatus, Update
from sableford.control.timing import LEASE_MS
from sableford.control.view import SHARDS, View
from sableford.transport.errors import UnansweredError
from sableford.transport.link import Response
from sableford.transport.messages import PeerMessage, PeerRequest

ME, LEADER = "10.0.0.1", "10.0.0.2"


class NullLog:
    """A log that drops all events."""

    def event(self, name, /, **fields): ...


class LeaderLink:
    """A link to the leader of a term, which accepts joins and renewals."""

    closed = False

    def __init__(self, term: int) -> None:
        self.term, self.is_cut = term, False
        self.sent: list[PeerMessage] = []
        self.requests: list[PeerRequest] = []

    def request(self, message: PeerRequest) -> asyncio.Future:
        self.requests.append(message)
        future = asyncio.get_running_loop().create_future()
        if self.is_cut:
            future.set_exception(UnansweredError(LEADER))
        else:
            future.set_result(Response(JoinResponse(True, self.term)))
        return future

    def send(self, message: PeerMessage) -> bool:
        self.sent.append(message)
        return True


class LeaderPool:
    """A pool whose only link is the leader's."""

    def __init__(self, link: LeaderLink) -> None:
        self.link = link

    def set_peers(self, names: set[str]) -> None: ...

    def names(self) -> list[str]:
        return [LEADER]

    def responsive_link(self, name: str) -> LeaderLink:
        return self.link


STATUS = MemberStatus(incarnation="b", role="edge", zone="z", node="n")


def view(count: int, owner: str, term: int = 3) -> View:
    return View((term, count), [owner] * SHARDS, [f"{owner}.1"] * SHARDS)


class MemberScene:
    """One member on a clock that the test advances."""

    def __init__(self) -> None:
        self.clock = 1000.0
        self.link = LeaderLink(term=3)
        self.pool = LeaderPool(self.link)
        self.member = MemberClient(self.pool, ME, lambda: STATUS, lambda: [LEADER], NullLog())
        self.member.now = lambda: self.clock

    async def join(self, term: int = 3) -> None:
        self.pool.link = self.link = LeaderLink(term)
        await self.member.find_leader()

    def receive_view(self, term: int, number: int, shown: View | None) -> None:
        update = Update(term=term, number=number, snapshot=True, view=shown)
        self.member.apply_update(self.link, update)


def shows_a_member_that_was_cut_off_acts_on_no_old_view_when_it_joins_again() -> None:
    async def play() -> None:
        scene = MemberScene()
        await scene.join()
        scene.receive_view(3, 1, view(1, ME))
        assert scene.member.holds_lease()
        scene.clock += 20_000.0  # partitioned; its shards have another owner by now
        await scene.join()
        assert not scene.member.holds_lease(), "its lease is in force under its old view"
        scene.receive_view(3, 9, view(2, LEADER))
        assert scene.member.holds_lease() and scene.member.view.number == (3, 2)

    asyncio.run(play())


def shows_a_leader_that_has_no_view_yet_puts_no_lapsed_lease_in_force() -> None:
    async def play() -> None:
        scene = MemberScene()
        await scene.join()
        scene.receive_view(3, 1, view(1, ME))
        scene.clock += 20_000.0
        await scene.join(term=5)  # newly elected: it collects the members' views before it sends one
        scene.receive_view(5, 0, None)
        assert not scene.member.holds_lease()
        scene.receive_view(5, 1, view(1, LEADER, term=5))
        assert scene.member.holds_lease()

    asyncio.run(play())


def shows_a_view_of_the_leader_before_puts_no_lease_of_the_next_one_in_force() -> None:
    async def play() -> None:
        scene = MemberScene()
        await scene.join()
        scene.receive_view(3, 1, view(1, ME))
        scene.clock += 20_000.0
        await scene.join(term=5)
        scene.receive_view(3, 2, view(2, ME))  # delayed
        assert not scene.member.holds_lease()

    asyncio.run(play())


def shows_a_lease_that_never_ran_out_goes_on_through_a_change_of_leader() -> None:
    async def play() -> None:
        scene = MemberScene()
        await scene.join()
        scene.receive_view(3, 1, view(1, ME))
        scene.clock += LEASE_MS / 2
        await scene.join(term=4)  # its shards can't have been assigned to others, so it need not stop
        scene.clock += LEASE_MS * 0.75
        assert scene.member.holds_lease()

    asyncio.run(play())
