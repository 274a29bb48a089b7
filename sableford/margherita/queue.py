"""The durable queue of one store, without I/O: what is accepted, when it may go, what has ended, and how a shard is
taken over. Events come in by method, effects go out in order.

    state     input                                   next state   effects
    -         put, of an own shard                    TAKING       Keep, Copy to as many stores as may be lost
    TAKING    on enough disks, lease valid            WAITING      Reply: kept
    WAITING   due, first of its key, worker free      OUT          Deliver
    OUT       done / never / failed too often         ENDING       Keep the end, TellEnd
    OUT       failed, not run, may have run           WAITING      after a pause
    ENDING    the end is on enough disks              gone         the next of its key
    any       the shard is another's by a new view    COPY         Late once a delivery that is out has ended
    COPY      the shard is ours by a new view         WAITING      after Pull and Settle of all who may know
"""

from bisect import insort
from collections.abc import Iterable
from heapq import heappop, heappush
from itertools import count
from typing import Any

from sableford.altavia.routes import Route, Table
from sableford.altavia.verdict import Ran, Verdict
from sableford.leconte.view import Number, View, shard_in
from sableford.margherita.choice import Choice
from sableford.margherita.words import (
    Copy,
    Deliver,
    Drop,
    Effect,
    End,
    Fill,
    Keep,
    Late,
    Message,
    Pull,
    Reply,
    Said,
    Seek,
    Settle,
    State,
    TellEnd,
)

COPY_AGAIN = 60.0  # ms for a store to say that it keeps a copy; then another is asked too
PAUSE = 15.0  # ms before a delivery that did not run is tried again, doubling
PAUSE_MOST = 400.0
RETRY = 20.0  # ms before one that failed is tried again, doubling
LATE_TURN = 8  # one in so many deliveries is of a message past its aim, while others still keep theirs
NEWER = 30.0  # ms before a message for a route not known yet is looked at again
AWAY_SLACK = 400.0  # ms past its deadline that the word on a delivery of the owner before may take
PARKED = 2000  # puts that wait for a shard to be taken over; more are sent back
SEEK = 250.0  # ms for all to say whether they know one
GRACE_S = 30.0  # ends are kept longer than they are asked for by this


class _Collect:
    """One taking over: whom to ask, who has answered, what has come together."""

    def __init__(self, number: int, shards: set[int]) -> None:
        self.number, self.shards = number, shards
        self.asked: dict[str, str] = {}  # store: birth
        self.answered: dict[str, bool] = {}  # store: whether its folder is whole
        self.over: set[tuple[str, str]] = set()  # deliveries of another store of which the end is known
        self.settling: set[str] | None = None


class Queue:
    """`me` is this store's name, `birth` this life's; `losses` how many disks may go at once."""

    def __init__(
        self, me: str, birth: str, losses: int, table: Table, choice: Choice, status_s: float, whole: bool
    ) -> None:
        self.me, self.birth, self.losses, self.table, self.choice = me, birth, losses, table, choice
        self.status_s, self.whole = status_s, whole
        self.lease = 0.0  # until when this process may act
        self.view = View()
        self.held: dict[str, Message] = {}
        self.ends: dict[str, End] = {}
        self.owned: dict[int, Number] = {}  # active shards, and since when they are ours
        self.collects: dict[int, _Collect] = {}
        self.parked: dict[int, list[tuple[dict, bytes, Any]]] = {}
        self.quiet: set[str] = set()  # stores that have not spoken lately
        self.out: dict[str, int] = {}  # sent from here and not over, by shard
        self._late: dict[str, Verdict] = {}  # for an owner not known yet
        self._keys: dict[str, list[tuple[tuple, str]]] = {}
        self._ready: dict[str, list] = {}
        self._tardy: dict[str, list] = {}
        self._delayed: list = []
        self._taking: dict[str, None] = {}  # in order: sets of names have none
        self._ending: dict[str, None] = {}
        self._seeks: dict[str, tuple[set[str], float, list]] = {}
        self._seen_huts: dict[str, str] = {}
        self._comparing: dict[str, dict[int, Number]] = {}
        self._compared: dict[str, tuple[str, set[int]]] = {}
        self._expiries: list = []
        self._rounds, self._order, self._turn = count(1), count(1), 0
        self._effects: list[Effect] = []

    def _done(self) -> list[Effect]:
        out, self._effects = self._effects, []
        return out

    def holds(self, now: float) -> bool:
        return now < self.lease

    # Taking in

    def put(self, now: float, head: dict, body: bytes, waiter: Any) -> list[Effect]:
        """A message from whoever took it from its client. `head`: ref, shard, key, id, host, target, method, delay,
        age, revision and `again` where it may have come before."""
        shard, ref = head["shard"], head["ref"]
        if shard in self.collects and len(self.parked.setdefault(shard, [])) < PARKED:
            self.parked[shard].append((head, body, waiter))
            return self._done()
        if shard not in self.owned or not self.holds(now):
            self._say(Reply(waiter, {"no": "owner"}))
            return self._done()
        if ref in self.ends:
            self._say(Reply(waiter, {"kept": True}))
        elif (known := self.held.get(ref)) is not None:
            if known.state is State.TAKING:
                known.waiters.append(waiter)
            else:
                self._say(Reply(waiter, {"kept": True}))
        elif head.get("again") and self._others():
            asked, until, puts = self._seeks.setdefault(ref, (set(self._others()), now + SEEK, []))
            puts.append((head, body, waiter))
            for name in sorted(asked):
                self._say(Seek(name, ref))
        else:
            self._take(now, head, body, waiter)
        return self._done()

    def _take(self, now: float, head: dict, body: bytes, waiter: Any) -> None:
        kept = {name: head[name] for name in ("ref", "shard", "key", "id", "host", "target", "method", "revision")}
        kept["place"] = [list(self.owned[head["shard"]]), next(self._order)]
        kept["type"] = head.get("type", "")
        born = now - head["age"]
        message = Message(kept, body, born + head["delay"], born)
        message.state = State.TAKING
        message.waiters.append(waiter)
        self.held[message.ref] = message
        self._taking[message.ref] = None
        self._join_key(message)
        self._say(Keep("m", message.ref))
        self._copy(now, message)

    def _copy(self, now: float, message: Message) -> None:
        """To as many further stores as it takes."""
        want = self.losses - len(message.held)
        under_way = [
            name
            for name, at in message.copied_at.items()
            if name not in message.held and now - at < COPY_AGAIN and name in self.view.huts
        ]
        want -= len(under_way)
        if want <= 0:
            return
        for name in self._backups(message.shard):
            if want <= 0:
                return
            if name in message.held or name in under_way:
                continue
            if now - message.copied_at.get(name, -1e12) < COPY_AGAIN * 5.0:
                continue
            message.copied_at[name] = now
            self._say(Copy(name, message.ref, self.owned[message.shard]))
            want -= 1

    def _backups(self, shard: int) -> list[str]:
        """Other stores in the order in which copies go to them: speaking before quiet, other zones first."""
        names = sorted(self._others())
        if not names:
            return []
        start = shard % len(names)
        turned = names[start:] + names[:start]
        huts, zone = self.view.huts, self.view.huts[self.me].zone if self.me in self.view.huts else ""
        return sorted(
            turned,
            key=lambda name: (name in self.quiet, huts[name].leaving, not huts[name].whole, huts[name].zone == zone),
        )

    def _others(self) -> set[str]:
        return self.view.huts.keys() - {self.me}

    def kept(self, now: float, what: str, ref: str, problem: str = "") -> list[Effect]:
        """The own disk has it, or refuses."""
        message = self.held.get(ref)
        if message is None:
            return self._done()
        if problem:
            if what == "m" and message.state is State.TAKING and not message.held:
                self._untake(now, message, {"full": problem})
            return self._done()
        if what == "m":
            message.synced = True
            self._check(now, message)
        elif what == "e" and message.state is State.ENDING:
            message.end_held.add(self.me)
            self._check_end(now, message)
        return self._done()

    def _untake(self, now: float, message: Message, word: dict) -> None:
        """It never was accepted and never runs: nobody else has been found to hold it."""
        for waiter in message.waiters:
            self._say(Reply(waiter, word | {"may": bool(message.copied_at)}))
        self._forget(now, message)
        self._say(Keep("d", message.ref))

    def copied(self, now: float, ref: str, store: str, yes: bool) -> list[Effect]:
        """Another store has a copy on its disk, or has not."""
        message = self.held.get(ref)
        if message is None or message.shard not in self.owned:
            return self._done()
        if yes:
            message.held.add(store)
            self._check(now, message)
        elif message.state is not State.ENDING:
            message.copied_at[store] = now - COPY_AGAIN
            self._copy(now, message)
        return self._done()

    def _check(self, now: float, message: Message) -> None:
        if message.state is State.TAKING and self._safe(message) and self.holds(now):
            message.state = State.WAITING
            self._taking.pop(message.ref, None)
            for waiter in message.waiters:
                self._say(Reply(waiter, {"kept": True}))
            message.waiters = []
            self._line_up(now, message)
            self._pump(now)

    def _safe(self, message: Message) -> bool:
        return message.synced and len(message.held) >= self.losses

    # Copies for other stores

    def copy(self, now: float, sender: str, head: dict, body: bytes) -> bool:
        """Whether it is to be kept: not from an owner of the past."""
        shard, ref = head["shard"], head["ref"]
        if tuple(head["epoch"]) < self.view.epochs[shard]:
            return False
        if ref not in self.ends and ref not in self.held:
            self.held[ref] = self._copy_of(now, head, body)
        return True

    def _copy_of(self, now: float, head: dict, body: bytes | None) -> Message:
        drop = ("due_in", "age", "epoch", "op", "q", "raw")
        kept = {name: value for name, value in head.items() if name not in drop}
        return Message(kept, body, now + head["due_in"], now - head["age"])

    def copy_kept(self, ref: str) -> None:
        """The own disk has another's message; its bytes need not stay in memory."""
        message = self.held.get(ref)
        if message is not None:
            message.synced = True
            if message.state is State.COPY:
                message.body = None

    def end_told(self, now: float, ref: str, end: End) -> list[Effect]:
        """Another store says how one has ended: its owner, or the owner before who had it out."""
        self.ends.setdefault(ref, end)
        message = self.held.get(ref)
        if message is None or message.state is State.ENDING:
            return self._done()
        if message.shard in self.owned:
            self._end(now, message, end)
        elif message.shard not in self.collects:
            self._forget(now, message)
        return self._done()

    def dropped(self, now: float, ref: str, epoch: Number) -> bool:
        """Whether it is to go from the disk: its shard's owner knows nothing of it."""
        message = self.held.get(ref)
        if message is None or message.shard in self.owned or message.shard in self.collects:
            return False
        if tuple(epoch) != self.view.epochs[message.shard] or message.state is State.ENDING:
            return False
        self._forget(now, message)
        return True

    def pulled_by(self, now: float, shards: Iterable[int], have: Iterable[str], parts: bool) -> tuple[dict, list[Message]]:
        """What this store holds of these shards: the answer, and the messages that go with it."""
        wanted, known = set(shards), set(have)
        mine = [one for one in self.held.values() if one.shard in wanted and one.ref not in self.ends]
        word = {
            "whole": self.whole,
            "refs": [one.ref for one in mine if one.synced],
            "out": [one.ref for one in mine if one.ref in self.out],
            "tries": {one.ref: one.tries for one in mine if one.tries},
        }
        return word, [one for one in mine if parts and one.ref not in known]

    def settled_by(self, refs: Iterable[str]) -> dict:
        return {ref: list(self.ends[ref]) for ref in refs if ref in self.ends}

    # Views: shards come and go

    def see(self, now: float, view: View) -> list[Effect]:
        """The newest view, at once in force here."""
        self.view = view
        mine = {at: view.epochs[at] for at in view.owned(self.me, self.birth)}
        if self.me in view.huts and view.huts[self.me].birth == self.birth:
            self.whole = self.whole or view.huts[self.me].whole
        gone = {
            name
            for name, birth in self._seen_huts.items()
            if name != self.me and (name not in view.huts or view.huts[name].birth != birth)
        }
        new = {name for name, hut in view.huts.items() if self._seen_huts.get(name) != hut.birth} - {self.me}
        self._seen_huts = {name: hut.birth for name, hut in view.huts.items()}
        for name in sorted(gone):
            self.choice.forget(name)
        for at in [at for at, epoch in self.owned.items() if mine.get(at) != epoch]:
            self._release(now, at)
        for collect in list(self.collects.values()):
            collect.shards &= {at for at in mine if mine[at] == view.epochs[at]}
        for at in [at for at, one in self.collects.items() if at not in one.shards]:
            del self.collects[at]
            for _, _, waiter in self.parked.pop(at, []):
                self._say(Reply(waiter, {"no": "owner"}))
        fresh = {at for at in mine if at not in self.owned and at not in self.collects}
        if fresh:
            collect = _Collect(next(self._rounds), fresh)
            for at in fresh:
                self.collects[at] = collect
        for message in self.held.values():
            message.end_held -= gone
            if message.shard in self.owned:
                message.held -= gone
                if message.state is State.AWAY and message.away not in view.huts:
                    self._back(now, message, 0.0)
        for collect in self._rounds_open():
            self._ask(now, collect, gone)
        for name in sorted(new & self._others()):
            self._compare(name)
            if not view.huts[name].whole and self.ends:
                self._say(Fill(name, sorted(self.ends)))
        for message in list(self.held.values()):
            if message.shard in self.owned and message.state is not State.ENDING and not self._safe(message):
                self._copy(now, message)
        for ref in list(self._ending):
            self._spread_end(now, self.held[ref])
        self._send_late(now)
        self._pump(now)
        return self._done()

    def _rounds_open(self) -> list[_Collect]:
        return list({id(one): one for one in self.collects.values()}.values())

    def _ask(self, now: float, collect: _Collect, gone: set[str]) -> None:
        for name in gone:
            collect.asked.pop(name, None)
            collect.answered.pop(name, None)
            if collect.settling is not None:
                collect.settling.discard(name)
        for name in sorted(self._others()):
            birth = self.view.huts[name].birth
            if collect.asked.get(name) != birth:
                collect.asked[name] = birth
                have = [one.ref for one in self.held.values() if one.shard in collect.shards]
                self._say(Pull(name, collect.number, sorted(collect.shards), have, True))
        self._gather(now, collect)

    def _release(self, now: float, shard: int) -> None:
        """Ours no more: nothing of it begins here from now on."""
        del self.owned[shard]
        for ref in [ref for ref, (_, _, puts) in self._seeks.items() if puts[0][0]["shard"] == shard]:
            for _, _, waiter in self._seeks.pop(ref)[2]:
                self._say(Reply(waiter, {"no": "owner"}))
        for message in self.held.values():
            if message.shard != shard:
                continue
            for waiter in message.waiters:
                self._say(Reply(waiter, {"no": "owner"}))
            message.waiters = []
            message.away = ""
            self._taking.pop(message.ref, None)
            if message.state is not State.ENDING:  # its end is told on until enough have it
                message.state = State.COPY
            self._keys.pop(message.key, None)

    def pulled(self, now: float, store: str, number: int, word: dict | None) -> list[Effect]:
        """Another store's answer, its messages having come before it; none where it did not answer."""
        collect = next((one for one in self._rounds_open() if one.number == number), None)
        if collect is None:
            return self._compared_by(now, store, number, word)
        if store not in collect.asked:
            return self._done()
        if word is None:
            del collect.asked[store]  # asked again with the next tick
            return self._done()
        collect.answered[store] = word["whole"]
        for ref in word["refs"]:
            if (message := self.held.get(ref)) is not None:
                message.held.add(store)
        for ref in word["out"]:
            if (message := self.held.get(ref)) is not None and (store, ref) not in collect.over:
                message.away = store
        for ref, tries in word["tries"].items():
            if (message := self.held.get(ref)) is not None:
                message.tries = max(message.tries, tries)
        self._gather(now, collect)
        return self._done()

    def part(self, now: float, head: dict, body: bytes) -> list[Effect]:
        """A message that another store holds and this one did not."""
        ref = head["ref"]
        if ref not in self.held and ref not in self.ends:
            self.held[ref] = self._copy_of(now, head, body)
            self._say(Keep("m", ref))
        return self._done()

    def _gather(self, now: float, collect: _Collect) -> None:
        """Whether all that may know have told; then which of it has ended."""
        waits = self._others() - collect.answered.keys()
        whole = sum(collect.answered.values()) + self.whole
        if waits or whole < len(self.view.roster) - self.losses or not collect.shards:
            return
        if collect.settling is None:
            collect.settling = set(collect.answered)
            refs = sorted(ref for ref, one in self.held.items() if one.shard in collect.shards and ref not in self.ends)
            if refs:
                for name in sorted(collect.settling):
                    self._say(Settle(name, collect.number, refs))
            else:
                collect.settling = set()
        if not collect.settling:
            self._open(now, collect)

    def settled(self, now: float, store: str, number: int, ends: dict | None) -> list[Effect]:
        collect = next((one for one in self._rounds_open() if one.number == number), None)
        if collect is None or collect.settling is None or store not in collect.settling:
            return self._done()
        if ends is None:
            self._say(Settle(store, number, sorted(ref for ref, one in self.held.items() if one.shard in collect.shards)))
            return self._done()
        for ref, end in ends.items():
            self.ends[ref] = End.load(end)
        collect.settling.discard(store)
        self._gather(now, collect)
        return self._done()

    def _open(self, now: float, collect: _Collect) -> None:
        """All is known: these shards are served from here."""
        shards = collect.shards
        for at in shards:
            self.owned[at] = self.view.epochs[at]
            self.collects.pop(at, None)
        for name in collect.answered:
            self._note_compared(name, shards)
        mine = [one for one in self.held.values() if one.shard in shards]
        waiting = 0
        for message in mine:
            self._join_key(message)
        for message in mine:
            if (end := self.ends.get(message.ref)) is not None:
                self._end(now, message, end)
                continue
            waiting += 1
            if not self._safe(message):
                message.copied_at = {}
                self._copy(now, message)
            if message.away and message.away in self.view.huts:
                self._go_away(now, message)
            else:
                message.away, message.state = "", State.WAITING
                self._line_up(now, message)
        self._say(Said("shards_open", {"shards": sorted(shards), "messages": len(mine), "waiting": waiting}))
        for at in sorted(shards):
            for head, body, waiter in self.parked.pop(at, []):
                self._effects = self.put(now, head, body, waiter)  # it gives all so far
        self._pump(now)

    def _go_away(self, now: float, message: Message) -> None:
        """Out there still, sent by the owner before; its worker stops work at the deadline."""
        message.state = State.AWAY
        route = self._route(message)
        message.at = now + (route.deadline_ms if route else 1000.0) + AWAY_SLACK
        heappush(self._delayed, (message.at, next(self._order), message.ref))

    # Comparing a store that has come back

    def _compare(self, name: str) -> None:
        shards = sorted(self.owned)
        if shards:
            self._comparing[name] = {at: self.owned[at] for at in shards}
            self._say(Pull(name, 0, shards, [], False))

    def _compared_by(self, now: float, store: str, number: int, word: dict | None) -> list[Effect]:
        if number != 0 or word is None or store not in self.view.huts:
            return self._done()
        # Of a shard that has changed hands since it was asked about, what is unknown here is the new owner's.
        still = {at for at, epoch in self._comparing.pop(store, {}).items() if self.owned.get(at) == epoch}
        for ref in sorted(word["refs"]):
            if shard_in(ref) not in still:
                continue
            if ref in self.ends:
                self._say(TellEnd(store, ref, shard_in(ref), self.ends[ref]))
            elif (message := self.held.get(ref)) is not None:
                if message.shard in self.owned:
                    message.held.add(store)
                    self._check(now, message)
            else:
                self._say(Drop(store, ref, self.owned[shard_in(ref)]))
        self._note_compared(store, still)
        return self._done()

    def _note_compared(self, store: str, shards: set[int]) -> None:
        if (hut := self.view.huts.get(store)) is None:
            return
        birth, done = self._compared.get(store, ("", set()))
        self._compared[store] = (hut.birth, (done if birth == hut.birth else set()) | shards)

    def audits(self) -> dict[str, str]:
        """Stores whose folders agree with what is owned here, by their births; none while a message lacks copies."""
        if self.collects or any(
            one.shard in self.owned and one.state is not State.TAKING and not self._safe(one)
            for one in self.held.values()
        ):
            return {}
        return {
            name: birth
            for name, (birth, done) in self._compared.items()
            if name in self.view.huts and self.view.huts[name].birth == birth and self.owned.keys() <= done
        }

    # Turns, times, workers

    def _join_key(self, message: Message) -> None:
        if message.key:
            line = self._keys.setdefault(message.key, [])
            if (message.place, message.ref) not in line:
                insort(line, (message.place, message.ref))

    def _first(self, message: Message) -> bool:
        line = self._keys.get(message.key) if message.key else None
        return not line or line[0][1] == message.ref

    def _line_up(self, now: float, message: Message) -> None:
        """Into the line of its service once it is due and first of its key."""
        if message.state is not State.WAITING or not self._first(message):
            return
        if message.at > now + 0.5:
            heappush(self._delayed, (message.at, next(self._order), message.ref))
            return
        route = self._route(message)
        if route is None:
            if message.revision > self.table.revision:  # a route that is not known here yet
                message.at = now + NEWER
                heappush(self._delayed, (message.at, next(self._order), message.ref))
            else:
                self._end(now, message, self._ended_as("dead_letter", "no route leads there any more"))
            return
        if route.retention_s and now - message.born > route.retention_s * 1000.0:
            self._end(now, message, self._ended_as("dead_letter", "its retention is over"))
            return
        line = self._ready.setdefault(route.backend, [])
        heappush(line, (route.rank, message.due, next(self._order), message.ref))

    def _route(self, message: Message) -> Route | None:
        return self.table.find(message.head["host"], message.head["target"].partition("?")[0])

    def _ended_as(self, phase: str, why: str, seal: str = "") -> End:
        return End(phase, seal, why, self.unix)

    unix = 0.0  # ms; set with each tick

    def _pump(self, now: float) -> None:
        """Whatever may go, to whichever worker the design names."""
        if not self.holds(now):
            return
        for backend in list(self._ready):
            while (message := self._next(now, backend)) is not None:
                worker = self.choice.choose(now, backend, message.avoid)
                if worker is None:
                    break
                self._take_off(backend, message)
                route = self._route(message)
                message.state = State.OUT
                self.out[message.ref] = message.shard
                self.choice.sent(worker)
                self._say(Deliver(message.ref, worker.line.id, now + (route.deadline_ms if route else 1000.0)))

    def _next(self, now: float, backend: str) -> Message | None:
        """The next one of a service: earliest due among those that can keep their aim, then the late ones."""
        line, tardy = self._ready[backend], self._tardy.setdefault(backend, [])
        while line:
            _, due, number, ref = line[0]
            message = self.held.get(ref)
            if message is None or not self._may_go(now, message):
                heappop(line)
                continue
            route = self._route(message)
            if route is None or route.backend != backend:  # another configuration has come
                heappop(line)
                self._line_up(now, message)
                continue
            if now > due + (route.start_ms or 1e12):
                heappop(line)
                heappush(tardy, (due, number, ref))
                continue
            break
        while tardy:
            message = self.held.get(tardy[0][2])
            if message is None or not self._may_go(now, message):
                heappop(tardy)
                continue
            route = self._route(message)
            if route is None or route.backend != backend:
                heappop(tardy)
                self._line_up(now, message)
                continue
            break
        self._from_tardy = bool(tardy) and (not line or self._turn % LATE_TURN == LATE_TURN - 1)
        if self._from_tardy:
            return self.held[tardy[0][2]]
        return self.held[line[0][3]] if line else None

    def _may_go(self, now: float, message: Message) -> bool:
        """A line may hold one that has gone, or that has been put back since for a later time."""
        own = message.state is State.WAITING and message.shard in self.owned
        return own and message.at <= now + 0.5 and self._first(message)

    def _take_off(self, backend: str, message: Message) -> None:
        self._turn += 1
        heappop(self._tardy[backend] if self._from_tardy else self._ready[backend])

    _from_tardy = False

    def delivered(self, now: float, ref: str, worker: str, verdict: Verdict) -> list[Effect]:
        """A delivery from here is over."""
        known = self.choice.workers.get(worker)
        if known is not None:
            gone = verdict.ran is Ran.NOT_RUN and not verdict.reached
            self.choice.finished(now, known, verdict.reached, gone)
        shard = self.out.pop(ref, None)
        message = self.held.get(ref)
        if message is not None and message.state is State.OUT and message.shard in self.owned:
            message.avoid = "" if verdict.ran is Ran.DONE else worker
            self._judge(now, message, verdict)
        elif shard is not None:
            self._late[ref] = verdict
            self.out[ref] = shard  # until the owner has been told
            if verdict.ran in (Ran.DONE, Ran.NEVER) and message is not None and ref not in self.ends:
                self._end(now, message, self._end_of(verdict))  # known here for good, whoever asks
            self._send_late(now)
        self._pump(now)
        return self._done()

    def _send_late(self, now: float) -> None:
        for ref, verdict in list(self._late.items()):
            shard = self.out.get(ref, 0)
            owner = self.view.owners[shard]
            if owner and owner != self.me:
                self._say(Late(owner, ref, shard, verdict))
            elif owner == self.me and shard in self.owned:
                self.told_late(ref)
                self._effects = self.late(now, self.me, ref, shard, verdict)

    def told_late(self, ref: str) -> None:
        """The owner knows."""
        if self._late.pop(ref, None) is not None:
            self.out.pop(ref, None)

    def busy(self) -> bool:
        """Whether anything begun here has not ended, or its end is not known to the owner."""
        return bool(self.owned or self.collects or self.out or self._ending)

    def late(self, now: float, sender: str, ref: str, shard: int, verdict: Verdict) -> list[Effect]:
        """How a delivery of the owner before has ended."""
        message = self.held.get(ref)
        if ref in self.ends:
            return self.end_told(now, ref, self.ends[ref])
        if (collect := self.collects.get(shard)) is not None:
            collect.over.add((sender, ref))
            if verdict.ran in (Ran.DONE, Ran.NEVER):
                self.ends[ref] = self._end_of(verdict)
            elif message is not None:
                message.away = ""
        elif message is None or shard not in self.owned:
            pass
        elif message.state is State.AWAY and message.away == sender:
            message.away = ""
            self._judge(now, message, verdict)
            self._pump(now)
        elif message.state is State.WAITING and verdict.ran is Ran.DONE:
            self._judge(now, message, verdict)
        return self._done()

    def _end_of(self, verdict: Verdict) -> End:
        phase = "complete" if verdict.ran is Ran.DONE else "dead_letter"
        return self._ended_as(phase, verdict.why, verdict.seal)

    def _judge(self, now: float, message: Message, verdict: Verdict) -> None:
        """What a verdict means for its message."""
        if verdict.ran in (Ran.DONE, Ran.NEVER):
            self._end(now, message, self._end_of(verdict))
        elif verdict.ran is Ran.FAILED:
            message.tries += 1
            route = self._route(message)
            if route is not None and message.tries >= route.tries:
                self._end(now, message, self._ended_as("dead_letter", f"failed {message.tries} times"))
            else:
                self._back(now, message, RETRY * 2.0 ** (message.tries - 1))
        else:
            message.pauses += 1
            self._back(now, message, min(PAUSE_MOST, PAUSE * 2.0 ** (message.pauses - 1)))

    def _back(self, now: float, message: Message, pause: float) -> None:
        message.state, message.away = State.WAITING, ""
        message.at = max(message.due, now + pause)
        self._line_up(now, message)

    # Ends

    def _end(self, now: float, message: Message, end: End) -> None:
        message.state, message.end = State.ENDING, end
        self.ends[message.ref] = end
        self._taking.pop(message.ref, None)
        self._ending[message.ref] = None
        message.end_held = set()
        self._say(Keep("e", message.ref))
        self._spread_end(now, message)

    def _spread_end(self, now: float, message: Message) -> None:
        """To all who hold the message, and to as many as may be lost."""
        to = {name for name in message.held if name in self.view.huts} - message.end_held
        if len(to) + len(message.end_held - {self.me}) < self.losses:
            to |= set([name for name in self._backups(message.shard) if name not in message.end_held][: self.losses])
        message.asked += 1
        for name in sorted(to):
            self._say(TellEnd(name, message.ref, message.shard, message.end))
        message.copied_at = {"end": now}

    def end_copied(self, now: float, ref: str, store: str, yes: bool) -> list[Effect]:
        message = self.held.get(ref)
        if message is not None and message.state is State.ENDING and yes:
            message.end_held.add(store)
            self._check_end(now, message)
        return self._done()

    def _check_end(self, now: float, message: Message) -> None:
        if message.state is not State.ENDING or self.me not in message.end_held:
            return
        if len(message.end_held) <= self.losses:
            return
        self._forget(now, message)
        self._pump(now)

    def _forget(self, now: float, message: Message) -> None:
        self.held.pop(message.ref, None)
        self._taking.pop(message.ref, None)
        self._ending.pop(message.ref, None)
        if message.key and (line := self._keys.get(message.key)) is not None:
            pair = (message.place, message.ref)
            first = bool(line) and line[0] == pair
            if pair in line:
                line.remove(pair)
            if not line:
                del self._keys[message.key]
            elif first and (after := self.held.get(line[0][1])) is not None:
                self._line_up(now, after)

    # Status

    def status(self, ref: str) -> dict | None:
        """What is known here; none where nothing is."""
        if (end := self.ends.get(ref)) is not None:
            return {"phase": end.phase, "seal": end.seal}
        message = self.held.get(ref)
        return {"phase": "pending"} if message is not None else None

    def sought(self, now: float, store: str, ref: str, word: dict | None) -> list[Effect]:
        """What another store knows of one that may have come before."""
        if ref not in self._seeks:
            return self._done()
        asked, _, puts = self._seeks[ref]
        asked.discard(store)
        if word is not None and word.get("end"):
            self.ends[ref] = End.load(word["end"])
        if ref in self.ends or ref in self.held or not asked:
            self._found(now, ref)
        return self._done()

    def _found(self, now: float, ref: str) -> None:
        for head, body, waiter in self._seeks.pop(ref)[2]:
            self._effects = self.put(now, head | {"again": False}, body, waiter)

    # Time

    def tick(self, now: float, unix: float) -> list[Effect]:
        self.unix = unix
        while self._delayed and self._delayed[0][0] <= now:
            _, _, ref = heappop(self._delayed)
            message = self.held.get(ref)
            if message is None or message.shard not in self.owned:
                continue
            if message.state is State.AWAY and message.at <= now:
                self._back(now, message, 0.0)
            else:
                self._line_up(now, message)
        for ref in list(self._taking):
            message = self.held[ref]
            self._check(now, message)
            if message.state is State.TAKING:
                self._copy(now, message)
        for ref in list(self._ending):
            message = self.held[ref]
            if now - message.copied_at.get("end", 0.0) > COPY_AGAIN * min(8, message.asked):
                self._spread_end(now, message)
        for ref in [ref for ref, (_, until, _) in self._seeks.items() if now > until]:
            self._found(now, ref)
        for collect in self._rounds_open():
            self._ask(now, collect, set())
        self._pump(now)
        return self._done()

    def configure(self, now: float, table: Table) -> list[Effect]:
        """Another version: what waits is looked at anew, by it."""
        self.table = table
        for message in list(self.held.values()):
            if message.shard in self.owned and message.state is State.WAITING and self._route(message) is None:
                message.at = max(message.due, now) if message.due > now else now
                self._line_up(now, message)
        self._pump(now)
        return self._done()

    def age(self, unix: float) -> list[str]:
        """Ends that nobody asks for any more: off the disk too."""
        least = unix - (self.status_s + GRACE_S) * 1000.0
        old = [ref for ref, end in self.ends.items() if end.at < least and ref not in self.held]
        for ref in old:
            del self.ends[ref]
        return old

    def repair(self, now: float) -> list[Effect]:
        """What is still short or untold, now and then."""
        self._send_late(now)
        for message in self.held.values():
            if message.shard in self.owned and message.state not in (State.TAKING, State.ENDING):
                if not self._safe(message):
                    self._copy(now, message)
        return self._done()

    def _say(self, effect: Effect) -> None:
        self._effects.append(effect)
