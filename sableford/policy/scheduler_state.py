"""State of one scheduler, and the life cycle of a txn: held, given up, answered."""

from bisect import insort
from heapq import heappop, heappush
from typing import ClassVar, get_args

from sableford.model import Repeats, SchedulerConfig, Scope, WorkerOverride
from sableford.model.config import RETRY_RULES, RetryScope
from sableford.model.effects import CallOff, Decline, Effect, Reverse
from sableford.model.events import Event, RosterEntry
from sableford.model.rates import DecayingSum, TokenBucket
from sableford.model.ring import Ring
from sableford.model.state import Input, Kind, Rank, Run, State, Txn, TxnQueue, Worker
from sableford.policy.local_bound import hash32

SENDERS = 8  # notified schedulers that send to a cold worker; with more, most turns met no txn
KEY_MEMORY = 20_000.0  # ms: decay of key counts; some hundred txns of a small scheduler
MAX_CHOICES = 8  # worker choices among homes per event: without a limit they took ten times the CPU there is
RUN_PRIOR = 0.125  # of the expiry: assumed running time before any is measured; clients wait for many runs
RUN_WEIGHT = 3.0  # txns that the assumed running time counts for
MOVE_MEMORY = 4000.0  # ms: decay of the count of moves
MAX_WAIT_PART = 0.6  # of the time a txn may be held: with a longer expected wait it is declined on arrival
BURST = 2.0  # burst in txns on top of one second's allowance: whole txns come unevenly
EXPIRY_MARGIN = 150.0  # ms before expiry: nothing is sent or held after it; more than POLL, so none is missed


class SchedulerState:
    transitions: ClassVar[dict] = {}  # (state, input): next state, action

    def __init__(self, config: SchedulerConfig, seed: int) -> None:
        self.config, self.seed, self.draws = config, seed, 0
        self.effects, self.choices_left = list[Effect](), MAX_CHOICES
        self.txns: dict[int, Txn] = {}
        self.listed: dict[int, RosterEntry] = {}  # the roster with overrides applied
        self.roster: dict[int, RosterEntry] = {}  # as received
        self.overrides: dict[int, WorkerOverride] = {}  # the operators' last override of each worker
        self.warm: list[int] = []  # ready and warm
        self.warm_local: list[int] = []  # ready, warm and in the own zone
        self.workers: dict[int, Worker] = {}  # in the subset or sent to
        self.subset: list[Worker] = []
        self.active: dict[int, Worker] = {}  # with own postings in flight
        self.cold: dict[int, float] = {}  # ready and cold: start times
        self.warming: list[tuple[float, int]] = []
        self.turn_workers: list[Worker] = []
        self.in_use, self.unstarted, self.turns_at, self.rotate_at, self.expired_at = 0.0, 0, 0.0, 0.0, 0.0
        self.selected: Worker | None = None
        self.rotation, self.decay_time, self.mean_run = -1, 1.0, 1.0
        self.kinds: dict[int, Kind] = {}
        self.runs = [Run(scheme.expiry * RUN_PRIOR, RUN_WEIGHT) for scheme in config.schemes]
        self.queues = [[TxnQueue(at, rank, run) for at, run in enumerate(self.runs)] for rank in Rank]
        self.ring = Ring()  # consistent hashing of keys
        self.base_rating = 0.0  # the rating that gets the usual ring points
        self.key_counts: dict[int, DecayingSum] = {}
        self.keyed = DecayingSum(KEY_MEMORY)  # txns with keys
        self.held, self.crowding = 0, 1.0  # txns held; schedulers per worker
        self.watchers: dict[tuple[int, int], tuple[int, ...]] = {}
        self.takes_turns, self.turns_from = True, 0.0  # whether this process uses the turns, and since when
        self.started_at, self.fetch_at, self.peer_dispatch_at, self.fetch_failures = -1.0, 0.0, 0.0, 0
        self.deadlines: list[tuple[float, int]] = []
        self.suspects: dict[int, Worker] = {}
        self._set_shares(0.0)
        self.notifies = False
        self._update_peer_mode()
        self.wake_at, self.moves, self.good_moves = 0.0, DecayingSum(MOVE_MEMORY), DecayingSum(MOVE_MEMORY)
        named = {sort: f"_{sort.__name__.lower()}" for sort in get_args(Event)}
        self.handlers = {sort: getattr(self, name) for sort, name in named.items()}

    def _update_peer_mode(self) -> bool:
        """Updates whether schedulers notify each other of their load; returns whether that changed."""
        # All schedulers send to a key's homes: the few notified were seldom the next to send there.
        before, self.notifies = self.notifies, self.config.notify_peers and not self.key_counts
        # Where reports leave out queued postings, own ones in the queue hid others' running ones.
        self.queue_known = self.config.waiting >= 0 or self.config.handled >= 0 or not self.config.start_known
        # How many schedulers may send to one cold worker.
        self.senders = min(SENDERS, self.config.schedulers) if self.notifies else self.config.schedulers
        # Peer loads from before a time without notifications would never be updated.
        for worker in self.workers.values() if self.notifies != before else ():
            worker.clear_peer_loads(self.queue_known)
        return self.notifies != before

    def _randint(self, ends: int) -> int:
        self.draws += 1
        # Checksums of similar seeds are similar: unmixed, most schedulers drew the same half of the workers.
        return hash32(b"%d:%d" % (self.seed, self.draws)) * ends >> 32

    def _step(self, now: float, index: int, happened: Input | None) -> None:
        txn = self.txns[index]
        while happened is not None and (txn.state, happened) in self.transitions:
            txn.state, act = self.transitions[txn.state, happened]
            happened = act(self, now, index, txn)
        if txn.state is State.CLOSED and not txn.in_flight:
            self.txns.pop(index, None)

    def _give_up(self, now: float, index: int, txn: Txn) -> None:
        """Answers a txn that is given up."""
        scheme = txn.scheme
        _, harmless = RETRY_RULES[scheme.repeats, txn.origin is not None]
        if harmless or (scheme.repeats is Repeats.REFERENCED and scheme.scope is Scope.ALL):
            pause = min(self.config.limits.pause, self._queue(txn).wait(now))
            self.effects.append(Decline(index, pause))
        else:
            self.effects.append(Reverse(index))

    def _retry(self, now: float, index: int, txn: Txn) -> Input | None:
        """After a posting without a result: holds the txn for a retry, or gives it up."""
        where, _ = RETRY_RULES[txn.scheme.repeats, txn.origin is not None]
        if where is RetryScope.NOWHERE or now >= txn.limit or txn.posted >= txn.postings:
            return Input.LATE
        self._enqueue(index, txn)
        return None

    def _call_off(self, now: float, index: int, txn: Txn) -> None:
        txn.moved = True
        for number, posting in txn.in_flight.items():
            if self.config.limits.call_off and not posting.called_off:
                posting.called_off = True
                txn.avoid = posting.worker
                self.effects.append(CallOff(index, number))

    def _abandon(self, now: float, index: int, txn: Txn) -> None:
        """Calls off a posting queued too long, so that those behind it are in time, and answers."""
        self._call_off(now, index, txn)
        self._give_up(now, index, txn)

    def _hold_tardy(self, now: float, txn: Txn) -> bool:
        """Goes on holding a txn past its SLA time if a late result earns something and is likely."""
        # Given up at the SLA time, txns still worth a third were declined while workers became free.
        remaining = txn.spec.expiry - EXPIRY_MARGIN - now
        queue = self.queues[Rank.TARDY][txn.spec.scheme]
        if not txn.scheme.tardy or txn.rank is Rank.TARDY or queue.wait(now) > MAX_WAIT_PART * remaining:
            return False
        txn.rank, txn.limit = Rank.TARDY, now + remaining
        return True

    def _set_shares(self, now: float) -> None:
        """Divides each tenant's allowance by the number of schedulers."""
        # The burst starts full: with a rate below 1/s the first txn of each scheduler exceeded the share.
        rates = [account.allowance / self.config.schedulers for account in self.config.accounts]
        self.shares = [TokenBucket(now, rate, BURST + rate, BURST + rate) for rate in rates]

    def _beyond_share(self, now: float, account: int) -> bool:
        """Whether the tenant exceeds this scheduler's share of its allowance."""
        limited = account < len(self.shares) and self.shares[account].rate
        return bool(limited) and not self.shares[account].take(now)

    def _enqueue(self, index: int, txn: Txn) -> None:
        insort(self._queue(txn).entries, (txn.limit, index))
        self.held += 1
        heappush(self.deadlines, (txn.limit, index))

    def _dequeue(self, index: int, txn: Txn) -> None:
        self._queue(txn).entries.remove((txn.limit, index))
        self.held -= 1

    def _expire(self, now: float) -> None:
        """Gives up txns held past their limit, also those queued behind one with a longer expiry."""
        while self.deadlines and self.deadlines[0][0] < now:
            _, index = heappop(self.deadlines)
            txn = self.txns.get(index)
            if txn is not None and txn.state is State.HELD and txn.limit < now:
                self._dequeue(index, txn)
                if self._hold_tardy(now, txn):
                    self._enqueue(index, txn)
                else:
                    self._step(now, index, Input.LATE)

    def _queue(self, txn: Txn) -> TxnQueue:
        return self.queues[txn.rank][txn.spec.scheme]

    def _need(self, txn: Txn) -> float:
        return max(1.0, txn.spec.slots)
