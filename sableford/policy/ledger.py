"""What one scheduler holds, and the life of a txn: waiting, given up, answered."""

from bisect import insort
from heapq import heappop, heappush
from typing import ClassVar, get_args

from sableford.model import Banned, Repeats, Scope, Terms
from sableford.model.effects import CallOff, Decline, Effect, Reverse
from sableford.model.events import Event, Listed
from sableford.model.ring import Ring
from sableford.model.state import Input, Kind, Lane, Rank, Run, State, Txn, Worker
from sableford.model.tally import Allowance, Tally
from sableford.model.terms import PERMITS, Again
from sableford.policy.bound import point

TAKERS = 8  # schedulers that send to a cold worker, told of it; with more most turns came where no txn was
KEY_MEMORY = 20_000.0  # ms: decay of the counts of keys; some hundred txns of a small scheduler
LOOKS = 8  # looks at homes for one event: each held or stuck txn asked anew took ten times the CPU there is
RUN_PRIOR = 0.125  # of the expiry: a txn's run before any was seen; clients wait many runs long
RUN_WEIGHT = 3.0  # txns that the prior counts for
MOVE_MEMORY = 4000.0  # ms: decay of the count of moves
ADMITTED = 0.6  # of its patience a txn may have to wait by the flow, else it is turned away on arrival
TOKENS = 2.0  # txns a tenant may save up beside one second of its allowance: whole txns come unevenly
LAST_CALL = 150.0  # ms before expiry: nothing is posted or held past this; over one patrol, so none slips by


class Ledger:
    life: ClassVar[dict] = {}  # (state, input): next state, act

    def __init__(self, terms: Terms, seed: int) -> None:
        self.terms, self.seed, self.draws = terms, seed, 0
        self.effects, self.looks = list[Effect](), LOOKS
        self.txns: dict[int, Txn] = {}
        self.listed: dict[int, Listed] = {}  # what holds: the roster under the bans
        self.roster: dict[int, Listed] = {}  # its own lines
        self.bans: dict[int, Banned] = {}  # the last word by hand on each worker
        self.open: list[int] = []  # ready by the roster, and warm
        self.near: list[int] = []  # and of the own zone
        self.workers: dict[int, Worker] = {}  # drawn or sent to
        self.drawn: list[Worker] = []
        self.active: dict[int, Worker] = {}  # with own postings out
        self.cold: dict[int, float] = {}  # ready, by their start
        self.warming: list[tuple[float, int]] = []
        self.turns: list[Worker] = []
        self.out, self.unstarted, self.turns_at, self.exchange_at, self.outdated = 0.0, 0, 0.0, 0.0, 0.0
        self.chosen: Worker | None = None
        self.turn, self.drift, self.mean_run = -1, 1.0, 1.0
        self.kinds: dict[int, Kind] = {}
        self.runs = [Run(scheme.expiry * RUN_PRIOR, RUN_WEIGHT) for scheme in terms.schemes]
        self.lanes = [[Lane(at, rank, run) for at, run in enumerate(self.runs)] for rank in Rank]
        self.ring = Ring()  # listed workers by key
        self.size = 0.0  # a usual rating
        self.keys: dict[int, Tally] = {}
        self.asked = Tally(KEY_MEMORY)  # txns with keys
        self.held, self.crowd = 0, 1.0  # txns held; schedulers to a worker
        self.parties: dict[tuple[int, int], tuple[int, ...]] = {}
        self.ours, self.turns_from = True, 0.0  # the turns at cold workers, and since when
        self.born, self.follow_at, self.looked_at, self.refused = -1.0, 0.0, 0.0, 0
        self.limits: list[tuple[float, int]] = []
        self.doubted: dict[int, Worker] = {}
        self._allot(0.0)
        self.tells = False
        self._speaks()
        self.wake_at, self.moves, self.landed = 0.0, Tally(MOVE_MEMORY), Tally(MOVE_MEMORY)
        named = {sort: f"_{sort.__name__.lower()}" for sort in get_args(Event)}
        self.handlers = {sort: getattr(self, name) for sort, name in named.items()}

    def _speaks(self) -> bool:
        """Whether schedulers tell each other what they have out; true where that has changed."""
        # A key's homes are sent to by all alike: the few told of each were seldom the next to send there.
        before, self.tells = self.tells, self.terms.tells and not self.keys
        # Where no figure counts the waiting line, own postings in it hid the others' running ones.
        self.line_shown = self.terms.waiting >= 0 or self.terms.handled >= 0 or not self.terms.tells_start
        # Of the schedulers that may send to one cold worker.
        self.takers = min(TAKERS, self.terms.schedulers) if self.tells else self.terms.schedulers
        # Kept, what was told before a time without words was counted on for ever.
        for worker in self.workers.values() if self.tells != before else ():
            worker.hush(self.line_shown)
        return self.tells != before

    def _chance(self, ends: int) -> int:
        self.draws += 1
        # Checksums of like seeds are alike: unmixed, most schedulers drew the same half of the workers.
        return point(b"%d:%d" % (self.seed, self.draws)) * ends >> 32

    def _step(self, now: float, index: int, happened: Input | None) -> None:
        txn = self.txns[index]
        while happened is not None and (txn.state, happened) in self.life:
            txn.state, act = self.life[txn.state, happened]
            happened = act(self, now, index, txn)
        if txn.state is State.OVER and not txn.out:
            self.txns.pop(index, None)

    def _answer(self, now: float, index: int, txn: Txn) -> None:
        """Given up: the answer goes out at once."""
        scheme = txn.scheme
        _, harmless = PERMITS[scheme.repeats, txn.origin is not None]
        if harmless or (scheme.repeats is Repeats.REFERENCED and scheme.scope is Scope.ALL):
            pause = min(self.terms.tariff.pause, self._lane(txn).wait(now))
            self.effects.append(Decline(index, pause))
        else:
            self.effects.append(Reverse(index))

    def _again(self, now: float, index: int, txn: Txn) -> Input | None:
        """A posting came back without an answer: hold it for another, or give it up."""
        where, _ = PERMITS[txn.scheme.repeats, txn.origin is not None]
        if where is Again.NOWHERE or now >= txn.limit or txn.posted >= txn.postings:
            return Input.LATE
        self._hold(index, txn)
        return None

    def _call_off(self, now: float, index: int, txn: Txn) -> None:
        txn.moved = True
        for number, posting in txn.out.items():
            if self.terms.tariff.call_off and not posting.called_off:
                posting.called_off = True
                txn.avoid = posting.worker
                self.effects.append(CallOff(index, number))

    def _abandon(self, now: float, index: int, txn: Txn) -> None:
        """What waits in some line past all hope: called off, so that what comes behind it is in time."""
        self._call_off(now, index, txn)
        self._answer(now, index, txn)

    def _tardy(self, now: float, txn: Txn) -> bool:
        """Whether it is worth an answer past its SLA time, and may come to one: then it goes on waiting."""
        # Given up at the SLA time, txns worth a third still were declined while workers came free.
        left = txn.taken.expiry - LAST_CALL - now
        lane = self.lanes[Rank.TARDY][txn.taken.scheme]
        if not txn.scheme.tardy or txn.rank is Rank.TARDY or lane.wait(now) > ADMITTED * left:
            return False
        txn.rank, txn.limit = Rank.TARDY, now + left
        return True

    def _allot(self, now: float) -> None:
        """Each tenant's part here of what it may send."""
        # A part below one txn a second found the first txn of each scheduler beyond the share.
        rates = [account.allowance / self.terms.schedulers for account in self.terms.accounts]
        self.shares = [Allowance(now, rate, TOKENS + rate, TOKENS + rate) for rate in rates]

    def _beyond_share(self, now: float, account: int) -> bool:
        """Whether the tenant sends more than this scheduler's part of its allowance."""
        limited = account < len(self.shares) and self.shares[account].rate
        return bool(limited) and not self.shares[account].takes(now)

    def _hold(self, index: int, txn: Txn) -> None:
        insort(self._lane(txn).queue, (txn.limit, index))
        self.held += 1
        heappush(self.limits, (txn.limit, index))

    def _let_go(self, index: int, txn: Txn) -> None:
        self._lane(txn).queue.remove((txn.limit, index))
        self.held -= 1

    def _expire(self, now: float) -> None:
        """Give up what is held past its limit; a short expiry was forgotten behind a head with a long one."""
        while self.limits and self.limits[0][0] < now:
            _, index = heappop(self.limits)
            txn = self.txns.get(index)
            if txn is not None and txn.state is State.HELD and txn.limit < now:
                self._let_go(index, txn)
                if self._tardy(now, txn):
                    self._hold(index, txn)
                else:
                    self._step(now, index, Input.LATE)

    def _lane(self, txn: Txn) -> Lane:
        return self.lanes[txn.rank][txn.taken.scheme]

    def _need(self, txn: Txn) -> float:
        return max(1.0, txn.taken.slots)
