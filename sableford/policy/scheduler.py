"""Every decision of one scheduler: `handle(now, event)` returns the effects in order."""

from sableford.model import Banned, events
from sableford.model.effects import Effect, Follow, Wake
from sableford.model.events import Event, Listed, Roster, Standing
from sableford.model.state import Input, Kind, Lane, Run, State, Worker
from sableford.policy.bound import AGE_LIMIT
from sableford.policy.choice import LAG
from sableford.policy.ledger import LOOKS, RUN_PRIOR, RUN_WEIGHT
from sableford.policy.news import News

FOLLOW_AGAIN = 500.0  # ms before the roster is asked for again, at first; well under its own lateness
ASK_EARLY = 0.1  # of the time to ask within: who comes up asks by then, all that came up with it not at once
ASK_LEAST = 0.8  # of the time to ask within: sooner, all together asked more than one service could answer
ASK_MOST = 0.9  # of the time to ask within, which counts to the asking itself
ASK_AGAIN = 0.5  # of the time to ask within, at first, for one turned away
PATROL = 100.0  # ms between looks while txns are held or postings wait to start
REST = 400.0  # ms between looks at what only runs: still a part of the least progress gap


class Scheduler(News):
    def handle(self, now: float, event: Event) -> list[Effect]:
        self.effects, self.looks = [], LOOKS
        if self.born < 0.0:
            self.born = self.turns_from = now
            if self.terms.follows and not self.terms.ask_within:
                self.effects.append(Follow(once=False))
        self.handlers[type(event)](now, event)
        # By far the most events, and most of them change no wake-up.
        if type(event) is events.Heard and not self.effects:
            return []
        if self.held or self.follow_at or self.active or self.doubted:
            after = PATROL if self.held or self.unstarted else REST
            if self.follow_at:
                due = max(PATROL, self.follow_at - now)
                after = min(after, due) if self.active or self.held else due
            # Sooner where something was held since; a wake-up may come a rounding early and count as none.
            if self.wake_at <= now + 1.0 or now + after < self.wake_at - PATROL / 2.0:
                self.wake_at = now + after
                self.effects.append(Wake(after))
        return self.effects

    def _amended(self, now: float, event: events.Amended) -> None:
        """Other terms: what was learned stays where it is, what is new starts from nothing."""
        before, self.terms = self.terms, event.terms
        for at, scheme in enumerate(event.terms.schemes):
            if at == len(self.runs):
                self.runs.append(Run(scheme.expiry * RUN_PRIOR, RUN_WEIGHT))  # each kind reads the same list
                for rank, lanes in enumerate(self.lanes):
                    lanes.append(Lane(at, rank, self.runs[at]))
            self.runs[at].prior = scheme.expiry * RUN_PRIOR
        for worker in self.workers.values():
            worker.running += [0] * (len(self.runs) - len(worker.running))
        if self._speaks():
            self.exchange_at, self.turns_from = now, now
        if (event.terms.schedulers, event.terms.position) != (before.schedulers, before.position):
            self.turns_from = now  # turns by the old order may have been taken
            self.parties = {}
        if event.terms.accounts != before.accounts:
            self._allot(now)
        self._sort(now)
        self._pump(now)

    def _unfollowed(self, now: float, event: events.Unfollowed) -> None:
        """Ask again after a pause that doubles, drawn by chance so that schedulers don't all call at once."""
        pause = FOLLOW_AGAIN * self.crowd * 2.0 ** min(self.refused, 3)
        if self.terms.ask_within:  # forty asking again within seconds kept one service too full to answer any
            pause = self.terms.ask_within * ASK_AGAIN * 2.0 ** min(self.refused, 2)
        self.refused += 1
        self.follow_at = now + pause * (1.0 + self._chance(1000) / 1000.0)

    def _roster(self, now: float, event: Roster) -> None:
        self.refused = self.refused // 2 if self.terms.ask_within else 0
        if self.terms.ask_within:
            part = self._chance(1000) / 1000.0
            # Asked only by 0.6 of it, restarted schedulers were held to know of drains, and broke the grace.
            part = ASK_LEAST + (ASK_MOST - ASK_LEAST) * part if self.listed else ASK_EARLY * part
            self.follow_at = now + self.terms.ask_within * part * bool(self.listed or event.lines) + 1.0
        for line in event.lines:
            before = self.listed.get(line.worker)
            hearsay = self.terms.duties.soft and line.standing is Standing.GONE
            if hearsay and before and before.standing is Standing.READY:
                self._doubt(self.workers.get(line.worker) or self._meet(before), now)
                self.roster[line.worker] = line  # it goes on serving once it shows that it lives
                continue
            self._place(line, event.rating(line.worker))
            self._list(line, now)
        if event.lines:
            self._sort(now)
        for worker in self.drawn if self.terms.live else ():
            if (rating := event.rating(worker.index)) > 0.0:
                self._weigh(worker, rating, now)
        self._pump(now)

    def _banned(self, now: float, event: Banned) -> None:
        self.bans[event.worker] = event
        if (line := self.roster.get(event.worker)) is not None:
            self._list(line, now)
            self._sort(now)
        if event.worker in self.active and self.terms.tariff.call_off:
            self._move(self.active[event.worker], now)
        self._pump(now)

    def _turns(self, now: float, event: events.Turns) -> None:
        """Two processes of one scheduler share one place in the order: one takes its turns, never both."""
        self.ours, self.turns_from = event.ours, now
        self._pump(now)

    def _list(self, told: Listed, now: float) -> None:
        """One line of the roster, and what of it holds under what was said by hand."""
        if told.kind not in self.kinds:
            self.kinds[told.kind] = Kind(told.kind, self.runs, RUN_WEIGHT)
        ban = self.bans.get(told.worker)
        line = ban.over(told) if ban is not None else told
        self.roster[told.worker], self.listed[told.worker] = told, line
        if told.standing is Standing.GONE:
            del self.roster[told.worker], self.listed[told.worker]
        if (worker := self.workers.get(told.worker)) is not None:
            if line.since != worker.since:
                worker.forget()
                worker.touched = now
            worker.ready, worker.since = line.standing is Standing.READY, line.since

    def _sort(self, now: float) -> None:
        """Who is cold and who is open, after the list has changed."""
        ready = [line for line in self.listed.values() if line.standing is Standing.READY]
        self.cold = {new.worker: new.since for new in ready if self._is_cold(new.since, now)}
        self.warming = sorted((since, index) for index, since in self.cold.items())
        self.open, self.near = [], []
        for line in ready:
            if line.worker not in self.cold:
                self._warm(line)
        self.crowd = max(1.0, self.terms.schedulers / max(1, len(ready)))
        self._redraw(now)

    def _weigh(self, worker: Worker, rating: float, now: float) -> None:
        """A live rating is a report too: its kind's size over one more than the jobs held per slot."""
        kind = worker.kind
        kind.size = max(kind.size, rating)
        # All are told the same rating at once: used while the own copy is fresh, it herds them.
        if kind.slots and now - worker.true_at > AGE_LIMIT + LAG:
            worker.renew(now, kind.slots * (kind.size / rating - 1.0), LAG)


Scheduler.life = {
    (State.HELD, Input.ROOM): (State.OUT, Scheduler._post),
    (State.HELD, Input.LATE): (State.OVER, Scheduler._answer),
    (State.HELD, Input.LAPSED): (State.OVER, lambda *_: None),
    (State.OUT, Input.LATE): (State.OVER, Scheduler._abandon),
    (State.OUT, Input.STALLED): (State.OUT, Scheduler._call_off),
    (State.OUT, Input.NEVER_RAN): (State.HELD, Scheduler._again),
    (State.OUT, Input.MAY_HAVE_RUN): (State.HELD, Scheduler._again),
    (State.OUT, Input.SETTLED): (State.OVER, lambda *_: None),
    (State.OUT, Input.LAPSED): (State.OVER, Scheduler._call_off),
}
