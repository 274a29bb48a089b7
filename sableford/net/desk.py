"""The desk: the module's actor. It alone calls the module, and owns its clock, its timers and who is who.

Messages become events, effects become messages. It must never decide anything: where the module fails, all
that is open is answered in the one way that promises nothing, and a new module starts from nothing.
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
from sableford.net.mail import (
    Allot,
    Back,
    Began,
    Carry,
    Clash,
    Clock,
    Fail,
    Gone,
    Kept,
    Known,
    Look,
    Looked,
    Mailbox,
    Moved,
    Place,
    Refuse,
    Renew,
    Request,
    Rule,
    Say,
    Settle,
    Stale,
    Told,
    Turn,
    Unheard,
    Withdraw,
    Word,
)
from sableford.net.workers import Worker
from sableford.policy.scheduler import Scheduler


class Desk:
    def __init__(
        self,
        charter: SchedulerSettings,
        seed: str,
        roster: Mailbox,
        clock: Clock,
        limits: Limits,
        log: Log,
        peers: Mailbox | None = None,
        console: Mailbox | None = None,
    ) -> None:
        self.mail, self.console = Mailbox(), console or Mailbox()
        self._charter, self._seed, self._starts = charter, seed, 0
        self._roster, self._clock, self._limits, self._log = roster, clock, limits, log
        self._peers = peers  # none: nobody to speak to
        self._workers: dict[str, Worker] = {}
        self._tasks: set[asyncio.Task] = set()
        self._latest: dict[str, tuple] = {}  # the list as it stands, for a module that starts anew
        self._places: dict[str, Place] = {}
        self._rules: dict[str, Rule] = {}  # the last word by hand on each worker
        self._ours = True  # the turns at cold workers
        self._heir: Mailbox | None = None  # the handover, where there is one
        self._legacy: LearnedState | None = None  # of the process before, until the first list
        self._left_at = 0.0  # when the own was told last
        self._heard = {
            Request: self._took,
            Gone: self._gone,
            Began: self._began,
            Moved: self._moved,
            Back: self._back,
            Looked: self._looked,
            Told: self._told,
            Rule: self._rule,
            Turn: self._turn,
            Renew: self._renew,
            Stale: self._pass_on,
            Word: self._overheard,
            _Died: self._mourn,
            Unheard: lambda message: self._tell(RosterFailed()),
        }
        self._acts = {
            Post: self._post,
            CallOff: self._call_off,
            Decline: self._decline,
            Reverse: self._reverse,
            Wake: lambda effect: heappush(self._wakes, self._now + effect.after),
            FetchRoster: self._roster_mail,
            Probe: self._probe,
            NotifyPeers: self._say,
        }
        self._now = self._traced = clock.now()
        self._begin()

    def inherit(self, heir: Mailbox, legacy: LearnedState | None) -> None:
        """Before it runs: whom to tell what was learned, and what the process before had."""
        self._heir, self._legacy = heir, legacy

    def _leave(self) -> None:
        """Told now and then, so that a kill costs the next process a second of it at most."""
        self._left_at = self._now
        listing = wire.listed(self._latest.values(), self._places, self._charter)
        self._heir.put(
            Kept(listing, learned_state.export_state(self._core, self._door.worker_ids, self._charter))
        )

    def _begin(self) -> None:
        """A module that knows nothing yet."""
        seed = crc32(b"%s:%d" % (self._seed.encode(), self._starts))
        self._starts += 1
        # On sockets the list always has to be asked for, once or over and over.
        self._core = Scheduler(self._charter.config._replace(subscribes=True), seed)
        self._door = IndexTable()
        self._posted: dict[Request, list[str]] = {}  # the workers of its postings, by number
        self._ids: set[bytes] = set()
        self._wakes: list[float] = []

    async def run(self) -> None:
        while True:
            within = self._wakes[0] - self._clock.now() if self._wakes else None
            messages = await self.mail.take(within)
            self._now = self._clock.now()
            for message in messages:
                self._heard[type(message)](message)
            # One look serves all that are due.
            due = False
            if self._wakes and self._now - self._wakes[0] > self._limits.late:
                self._log.say("late", by=round(self._now - self._wakes[0], 1))
            while self._wakes and self._wakes[0] <= self._now:
                heappop(self._wakes)
                due = True
            if due:
                self._tell(Woken())
            if self._heir is not None and self._latest and self._now >= self._left_at + self._limits.beat:
                self._leave()
            if self._log.each_txn and self._now >= self._traced + self._limits.count:
                self._traced = self._now
                self._trace()

    def _trace(self) -> None:
        """What the module holds of each worker, beside what is out there by the desk's own count."""
        out = Counter(name for names in self._posted.values() for name in names)
        for index, worker in self._core.workers.items():
            name = self._door.worker_ids[index]
            self._log.say(
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
                    word
                    for word, so in (
                        ("still", worker.stalled),
                        ("doubted", worker.suspect),
                        ("waits", worker.has_queue),
                        ("unready", not worker.ready),
                        ("undrawn", not worker.in_subset),
                    )
                    if so
                ],
            )

    def _tell(self, event: Event) -> None:
        try:
            for effect in self._core.handle(self._now, event):
                self._acts[type(effect)](effect)
        except Exception as problem:
            self._log.say("module_failed", problem=repr(problem), happened=repr(event))
            self._reverse_all()
            if isinstance(event, Roster):  # a new one would fail on the same list
                raise
            self._begin()
            self._now = self._clock.now()
            self._tell(TurnsChanged(self._ours))
            for rule in self._rules.values():  # before the list, lest a worker that is out seem ready
                self._tell(WorkerOverride(self._door.worker_index(rule.worker), rule.out, rule.at))
            self._tell(self._door.roster_update(WorkerList(list(self._latest.values())), True))

    def _reverse_all(self) -> None:
        """As after a kill, but that what was taken is answered: reversed, which promises nothing."""
        for request, workers in self._posted.items():
            for number, worker in enumerate(workers):
                self._workers[worker].mail.put(Withdraw(request, number))
            request.client.put(Fail(request))

    # What comes in

    def _took(self, request: Request) -> None:
        if request.id in self._ids:
            # Two postings of one id are a second copy to a worker, whatever connection each came on.
            request.client.put(Clash(request))
            return
        self._ids.add(request.id)
        self._posted[request] = []
        txn = self._door.add_txn(request)
        needs = request.slots, request.work
        self._tell(TxnArrived(txn, request.scheme, 0, request.expiry, *needs))

    def _gone(self, message: Gone) -> None:
        if (txn := self._door.find_txn(message.request)) is not None:
            self._door.close_txn(txn)
            self._tell(ClientLeft(txn))
            self._forget(message.request)

    def _began(self, message: Began) -> None:
        if (txn := self._door.find_txn(message.request)) is not None:
            self._tell(Started(txn, message.posting))

    def _moved(self, message: Moved) -> None:
        if (txn := self._door.find_txn(message.request)) is not None:
            self._tell(Progressed(txn, message.posting, message.share))

    def _back(self, message: Back) -> None:
        request = message.request
        if (txn := self._door.find_txn(request)) is None:
            return
        settled, over = message.ending is Ending.SETTLED, self._door.is_closed(txn)
        if settled and not over:
            request.client.put(Settle(request, message.result))
        if self._log.each_txn:
            worker = self._posted[request][message.posting]
            self._log.say("back", id=request.id, worker=worker, ending=message.ending.name, load=message.load)
        closed = settled or over
        self._door.posting_ended(txn, closed)
        self._tell(Ended(txn, message.posting, message.ending, closed, message.load))
        self._forget(request)

    def _looked(self, message: Looked) -> None:
        if (worker := self._door.find_worker(message.worker)) is not None:
            self._tell(Probed(worker, message.answered, message.load))

    def _overheard(self, message: Word) -> None:
        # Switched off, what others still say is passed over.
        if self._charter.config.notify_peers and (word := self._door.decode_load(message.word)) is not None:
            self._tell(PeerUpdate(message.peer, *word))

    def _told(self, message: Told) -> None:
        """The list goes to the module first, so that a drain is known before the next posting."""
        sheet = message.sheet
        known = dict(self._latest)
        if message.complete:
            self._latest.clear()
        for worker, (zone, kind, cell, standing, since) in sheet.facts.items():
            self._latest.pop(worker, None)
            if standing:
                self._latest[worker] = (worker, zone, kind, cell, standing, sheet.ratings[worker], since)
            if standing or worker in self._workers:
                self._settle(worker, Place(message.addresses[worker], since, True))
        for worker in known.keys() - self._latest.keys() - sheet.facts.keys():
            self._settle(worker, self._places[worker])
        self.console.put(Known(frozenset(self._places.keys() | self._rules.keys())))
        if known.keys() != self._latest.keys():
            self._allot()
        for worker in known.keys() | self._latest.keys():
            before, after = known.get(worker), self._latest.get(worker)
            if (before and (before[4], before[6])) != (after and (after[4], after[6])):
                standing, since = (after[4], after[6]) if after else (0, 0.0)
                self._log.say("worker", worker=worker, standing=standing, since=since)
        self._tell(self._door.roster_update(sheet, message.complete))
        if self._legacy is not None:
            learned_state.restore_state(
                self._core, self._legacy, self._door.find_worker, self._charter, self._now
            )
            self._legacy = None

    def _settle(self, worker: str, place: Place) -> None:
        """Where the worker listens, by the list, and whether it may be sent anything, by list and by hand."""
        line, rule = self._latest.get(worker), self._rules.get(worker)
        ready = line is not None and Standing(line[4]) is Standing.READY and not (rule and rule.out)
        # Its process was started anew: a kept line leads to one that is no more.
        since = max(place.since, rule.at / 1000.0) if rule and not rule.out else place.since
        place = place._replace(since=since, ready=ready)
        if self._places.get(worker) != place:
            self._places[worker] = place
            self._worker(worker).mail.put(place)

    def _rule(self, rule: Rule) -> None:
        self._rules[rule.worker] = rule
        if (place := self._places.get(rule.worker)) is not None:
            self._settle(rule.worker, place)
        self._tell(WorkerOverride(self._door.worker_index(rule.worker), rule.out, rule.at))

    def _turn(self, message: Turn) -> None:
        self._ours = message.ours
        self._tell(TurnsChanged(message.ours))

    def _allot(self) -> None:
        lines = max(1, self._limits.lines // max(1, len(self._latest)))
        for worker in self._latest:
            self._worker(worker).mail.put(Allot(lines))

    def _renew(self, message: Renew) -> None:
        self._limits = message.limits
        if message.charter != self._charter:
            self._charter = message.charter
            self._tell(ConfigChanged(message.charter.config._replace(subscribes=True)))
        for worker in self._workers.values():
            worker.mail.put(message)
        self._allot()

    def _pass_on(self, message: Stale) -> None:
        """What drops resting lines at one worker mostly does so at all: a setting, a machine between."""
        self._log.say("stale_line", rested=round(message.rested))
        for worker in self._workers.values():
            worker.mail.put(message)

    def _worker(self, name: str) -> Worker:
        if (worker := self._workers.get(name)) is None:
            worker = Worker(name, self.mail, self._clock, self._limits, self._charter, self._log)
            self._workers[name] = worker
            task = asyncio.get_running_loop().create_task(worker.run(), name=f"worker {name}")
            self._tasks.add(task)
            task.add_done_callback(self._died)
        return worker

    def _died(self, task: asyncio.Task) -> None:
        """No actor dies unseen."""
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self.mail.put(_Died(task.get_name(), problem))

    def _mourn(self, message: "_Died") -> None:
        self._reverse_all()
        raise RuntimeError(f"{message.name} failed") from message.problem

    # What goes out

    def _post(self, effect: Post) -> None:
        request = self._door.txn_ids[effect.txn]
        name = self._door.worker_ids[effect.worker]
        self._door.posting_sent(effect.txn)
        workers = self._posted[request]
        if self._log.each_txn:
            self._log.say("post", id=request.id, worker=name, number=len(workers))
        self._workers[name].mail.put(Carry(request, len(workers), effect.until))
        workers.append(name)

    def _call_off(self, effect: CallOff) -> None:
        request = self._door.txn_ids[effect.txn]
        worker = self._workers[self._posted[request][effect.posting]]
        worker.mail.put(Withdraw(request, effect.posting))

    def _decline(self, effect: Decline) -> None:
        request = self._door.txn_ids[effect.txn]
        self._answer(effect.txn, request, Refuse(request, effect.pause))

    def _reverse(self, effect: Reverse) -> None:
        request = self._door.txn_ids[effect.txn]
        self._answer(effect.txn, request, Fail(request))

    def _answer(self, txn: int, request: Request, answer: Refuse | Fail) -> None:
        if self._log.each_txn:
            self._log.say("answer", id=request.id, answer=type(answer).__name__)
        request.client.put(answer)
        self._door.close_txn(txn)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        """Over and nothing out: its id may come again."""
        if self._door.find_txn(request) is None and request in self._posted:
            del self._posted[request]
            self._ids.discard(request.id)

    def _roster_mail(self, effect: FetchRoster) -> None:
        self._roster.put(effect)

    def _say(self, effect: NotifyPeers) -> None:
        if self._peers is not None:
            self._peers.put(Say(effect.peers, self._door.encode_load(effect.worker, effect.slots)))

    def _probe(self, effect: Probe) -> None:
        self._workers[self._door.worker_ids[effect.worker]].mail.put(Look())


class _Died(NamedTuple):
    """An actor that the desk started has failed."""

    name: str
    problem: BaseException
