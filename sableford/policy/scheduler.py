"""Scheduler state machine: `handle(now, event)` applies an event and returns the effects in order."""

from sableford.model import WorkerOverride, events
from sableford.model.effects import Effect, FetchRoster, Wake
from sableford.model.events import Event, Roster, RosterEntry, Standing
from sableford.model.state import Input, Kind, Run, State, TxnQueue, Worker
from sableford.policy.local_bound import AGE_LIMIT
from sableford.policy.scheduler_state import MAX_CHOICES, RUN_PRIOR, RUN_WEIGHT
from sableford.policy.worker_reports import WorkerReports
from sableford.policy.worker_selection import REPORT_LAG

FETCH_RETRY = 500.0  # ms before the first retry of a roster request; well below the roster's own delay
FIRST_FETCH = 0.1  # of ask_within: a starting scheduler asks by then, spread over those that start with it
FETCH_MIN = 0.8  # of ask_within: any sooner, all together overloaded a single list service
FETCH_MAX = 0.9  # of ask_within, which is measured to the request itself
FETCH_BACKOFF = 0.5  # of ask_within: first retry delay after a rejection
POLL = 100.0  # ms between checks while txns are held or postings wait to start
POLL_RUNNING = 400.0  # ms between checks of running postings; a fraction of the shortest progress interval


class Scheduler(WorkerReports):
    def handle(self, now: float, event: Event) -> list[Effect]:
        self.effects, self.choices_left = [], MAX_CHOICES
        if self.started_at < 0.0:
            self.started_at = self.turns_from = now
            if self.config.subscribes and not self.config.ask_within:
                self.effects.append(FetchRoster(once=False))
        self.handlers[type(event)](now, event)
        # By far the most events are of this kind, and few change the wake-up.
        if type(event) is events.PeerUpdate and not self.effects:
            return []
        if self.held or self.fetch_at or self.active or self.suspects:
            after = POLL if self.held or self.unstarted else POLL_RUNNING
            if self.fetch_at:
                due = max(POLL, self.fetch_at - now)
                after = min(after, due) if self.active or self.held else due
            # Earlier if something was held since; a wake-up that came early by rounding does not count.
            if self.wake_at <= now + 1.0 or now + after < self.wake_at - POLL / 2.0:
                self.wake_at = now + after
                self.effects.append(Wake(after))
        return self.effects

    def _configchanged(self, now: float, event: events.ConfigChanged) -> None:
        """Applies a new configuration; what was learned is kept, new schemes start from defaults."""
        before, self.config = self.config, event.config
        for at, scheme in enumerate(event.config.schemes):
            if at == len(self.runs):
                self.runs.append(Run(scheme.expiry * RUN_PRIOR, RUN_WEIGHT))  # shared by all kinds
                for rank, queues in enumerate(self.queues):
                    queues.append(TxnQueue(at, rank, self.runs[at]))
            self.runs[at].prior = scheme.expiry * RUN_PRIOR
        for worker in self.workers.values():
            worker.running += [0] * (len(self.runs) - len(worker.running))
        if self._update_peer_mode():
            self.rotate_at, self.turns_from = now, now
        if (event.config.schedulers, event.config.position) != (before.schedulers, before.position):
            self.turns_from = now  # turns in the old order may have been used
            self.watchers = {}
        if event.config.accounts != before.accounts:
            self._set_shares(now)
        self._classify(now)
        self._dispatch(now)

    def _rosterfailed(self, now: float, event: events.RosterFailed) -> None:
        """Asks again after an exponential backoff with jitter, so that schedulers do not all ask at once."""
        pause = FETCH_RETRY * self.crowding * 2.0 ** min(self.fetch_failures, 3)
        if self.config.ask_within:  # 40 retrying within seconds kept a list service overloaded
            pause = self.config.ask_within * FETCH_BACKOFF * 2.0 ** min(self.fetch_failures, 2)
        self.fetch_failures += 1
        self.fetch_at = now + pause * (1.0 + self._randint(1000) / 1000.0)

    def _roster(self, now: float, event: Roster) -> None:
        self.fetch_failures = self.fetch_failures // 2 if self.config.ask_within else 0
        if self.config.ask_within:
            part = self._randint(1000) / 1000.0
            # At 0.6, restarted schedulers counted as knowing drains before they asked, and broke the grace.
            part = FETCH_MIN + (FETCH_MAX - FETCH_MIN) * part if self.listed else FIRST_FETCH * part
            self.fetch_at = now + self.config.ask_within * part * bool(self.listed or event.entries) + 1.0
        for entry in event.entries:
            before = self.listed.get(entry.worker)
            unconfirmed = self.config.obligations.soft_removal and entry.standing is Standing.GONE
            if unconfirmed and before and before.standing is Standing.READY:
                self._mark_suspect(self.workers.get(entry.worker) or self._add_worker(before), now)
                self.roster[entry.worker] = entry  # it is used again once it responds
                continue
            self._place_on_ring(entry, event.rating(entry.worker))
            self._apply_entry(entry, now)
        if event.entries:
            self._classify(now)
        for worker in self.subset if self.config.live_ratings else ():
            if (rating := event.rating(worker.index)) > 0.0:
                self._apply_rating(worker, rating, now)
        self._dispatch(now)

    def _workeroverride(self, now: float, event: WorkerOverride) -> None:
        self.overrides[event.worker] = event
        if (entry := self.roster.get(event.worker)) is not None:
            self._apply_entry(entry, now)
            self._classify(now)
        if event.worker in self.active and self.config.limits.call_off:
            self._move_postings(self.active[event.worker], now)
        self._dispatch(now)

    def _turnschanged(self, now: float, event: events.TurnsChanged) -> None:
        """Starts or stops using turns: of two processes of one scheduler, at one position, only one does."""
        self.takes_turns, self.turns_from = event.ours, now
        self._dispatch(now)

    def _apply_entry(self, entry: RosterEntry, now: float) -> None:
        """Stores a roster entry, and the entry with the operators' override applied."""
        if entry.kind not in self.kinds:
            self.kinds[entry.kind] = Kind(entry.kind, self.runs, RUN_WEIGHT)
        rule = self.overrides.get(entry.worker)
        effective = rule.apply(entry) if rule is not None else entry
        self.roster[entry.worker], self.listed[entry.worker] = entry, effective
        if entry.standing is Standing.GONE:
            del self.roster[entry.worker], self.listed[entry.worker]
        if (worker := self.workers.get(entry.worker)) is not None:
            if effective.since != worker.since:
                worker.reset()
                worker.updated_at = now
            worker.ready, worker.since = effective.standing is Standing.READY, effective.since

    def _classify(self, now: float) -> None:
        """Recomputes which workers are cold and which warm, after the roster or the configuration changed."""
        ready = [entry for entry in self.listed.values() if entry.standing is Standing.READY]
        self.cold = {new.worker: new.since for new in ready if self._is_cold(new.since, now)}
        self.warming = sorted((since, index) for index, since in self.cold.items())
        self.warm, self.warm_local = [], []
        for entry in ready:
            if entry.worker not in self.cold:
                self._add_warm(entry)
        self.crowding = max(1.0, self.config.schedulers / max(1, len(ready)))
        self._fill_subset(now)

    def _apply_rating(self, worker: Worker, rating: float, now: float) -> None:
        """Derives a worker's load from its live rating: the kind's highest rating / (1 + jobs per slot)."""
        kind = worker.kind
        kind.max_rating = max(kind.max_rating, rating)
        # All get the same rating at once: used while the own estimate is fresh, it causes herding.
        if kind.slots and now - worker.as_of > AGE_LIMIT + REPORT_LAG:
            worker.update_load(now, kind.slots * (kind.max_rating / rating - 1.0), REPORT_LAG)


Scheduler.transitions = {
    (State.HELD, Input.ROOM): (State.SENT, Scheduler._post),
    (State.HELD, Input.LATE): (State.CLOSED, Scheduler._give_up),
    (State.HELD, Input.CLIENT_LEFT): (State.CLOSED, lambda *_: None),
    (State.SENT, Input.LATE): (State.CLOSED, Scheduler._abandon),
    (State.SENT, Input.STALLED): (State.SENT, Scheduler._call_off),
    (State.SENT, Input.NEVER_RAN): (State.HELD, Scheduler._retry),
    (State.SENT, Input.MAY_HAVE_RUN): (State.HELD, Scheduler._retry),
    (State.SENT, Input.SETTLED): (State.CLOSED, lambda *_: None),
    (State.SENT, Input.CLIENT_LEFT): (State.CLOSED, Scheduler._call_off),
}
