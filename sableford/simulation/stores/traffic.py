"""Workers that run what they are sent, and clients that send it."""

from sableford.control.view import shard_of
from sableford.simulation.stores.judge import Judge
from sableford.simulation.stores.model import ACCEPTED_KNOWN_MS, MAX_TRIES, READ, SimulatedStore
from sableford.store.protocol import PutRequest, PutResponse
from sableford.transport.verdict import Execution, Verdict


class Traffic(Judge):
    def _tell_figures(self) -> None:
        self.later(40.0, self._tell_figures)
        for store in self.stores.values():
            if store.alive and store.frozen <= self.now:
                for other in self.stores.values():
                    if other is not store:
                        counts = store.choice.own_counts()
                        self._to(
                            store.name,
                            other.name,
                            lambda to, c=counts, s=store.name: to.choice.update_reported_counts(
                                self.now, s, c
                            ),
                        )

    def _deliver(self, store: SimulatedStore, incarnation: str, ref: str, worker: str, until: float) -> None:
        message = store.queue.state.messages.get(ref)
        if message is None or message.body is not None:
            self._send(store, incarnation, ref, worker, until)
            return
        if ("m", ref) not in store.kept:
            raise self._wrong("LOST (its bytes)", ref)
        read = max(0.0, store.stalled - self.now) + self.draw.uniform(*READ)
        self.later(
            read,
            self._when_awake,
            store.name,
            incarnation,
            lambda: self._send(store, incarnation, ref, worker, until),
        )

    def _send(self, store: SimulatedStore, incarnation: str, ref: str, worker: str, until: float) -> None:
        """Its bytes are there, and its worker is dialled."""
        if self.now > until or not store.queue.may_send(self.now, ref, worker):
            self._over(
                store,
                incarnation,
                ref,
                worker,
                Verdict(Execution.NOT_RUN, "not this store's to send any more"),
            )
            return
        shard = int(ref[:2])
        if (owner := self.coordinator.view.owners[shard]) and (
            owner,
            self.coordinator.view.incarnations[shard],
        ) != (
            store.name,
            incarnation,
        ):
            self._note(ref, "begun by", store.name, "owned by", owner)
            raise self._wrong("FENCE", ref)
        if self.busy[worker] >= 6:
            self.later(1.0, self._over, store, incarnation, ref, worker, Verdict(Execution.NOT_RUN, "full"))
            return
        self.busy[worker] += 1
        self.later(
            self._way() + self.draw.uniform(0.0, 3.0), self._run, store, incarnation, ref, worker, until
        )

    def _run(self, store: SimulatedStore, incarnation: str, ref: str, worker: str, until: float) -> None:
        self._starts(ref, store.name)
        after = self.draw.uniform(10.0, 120.0)
        poison = ref.endswith("7p")
        good = not poison and self.draw.random() > 0.05
        self.later(after, self._ran, store, incarnation, ref, worker, good, self.draw.random() < 0.01)

    def _ran(
        self, store: SimulatedStore, incarnation: str, ref: str, worker: str, good: bool, lost: bool
    ) -> None:
        self.busy[worker] -= 1
        seal = f"{ref}@{self.now:.3f}"
        self._note(ref, "ran well" if good else "failed", store.name)
        if good:
            self.seals.setdefault(ref, set()).add(seal)
            self.ended.setdefault(ref, self.now)
        else:
            self.fails[ref] = self.fails.get(ref, 0) + 1
            if self.fails[ref] >= MAX_TRIES:
                self.ended.setdefault(ref, self.now)
        if lost or not self._up(store.name, incarnation):
            self.later(
                300.0,
                self._over,
                store,
                incarnation,
                ref,
                worker,
                Verdict(Execution.UNKNOWN, "lost", reached=False),
            )
            return
        if good:
            self.done_at.setdefault(self.first.get(ref, ref), self.now)
        verdict = Verdict(Execution.DONE, "", seal) if good else Verdict(Execution.FAILED, "failed")
        self.later(self._way(), self._over, store, incarnation, ref, worker, verdict)

    def _over(self, store: SimulatedStore, incarnation: str, ref: str, worker: str, verdict: Verdict) -> None:
        self._when_awake(
            store.name,
            incarnation,
            lambda: self.act(store, store.queue.delivered(self.now, ref, worker, verdict)),
        )

    def _client(self, number: int) -> None:
        if self.now < self.seconds:
            self.later(self.draw.expovariate(self._per_s) * 1000.0, self._client, number + 1)
        key = f"k{self.draw.randrange(6)}" if self.draw.random() < 0.6 else ""
        id = f"{number}" + ("7p" if self.draw.random() < 0.01 else "")
        shard = shard_of(key) if key else self.draw.randrange(60)
        ref = f"{shard:02d}-{id}"
        self.sent[ref], self.keys[ref] = self.now, key
        delay = self.draw.uniform(0.0, self._delay_ms) if not key and self.draw.random() < 0.2 else 0.0
        self.due[ref] = self.now + delay
        self._note(ref, "sent", key)
        self._put(ref, shard, key, id, delay, self.now, False)

    def _put(self, ref: str, shard: int, key: str, id: str, delay: float, since: float, again: bool) -> None:
        if self.now > since + 1300.0:
            self._note(ref, "given up on", again)
            if not again:
                self.refused.add(self.first.get(ref, ref))
                self._never(ref)
            return
        owner = self.edge_view.owners[shard]
        store = self.stores.get(owner)
        request = PutRequest(
            ref=ref,
            shard=shard,
            key=key,
            id=id,
            host="h",
            target="/a" if key else "/b",
            method="POST",
            delay_ms=delay,
            age_ms=self.now - since,
            revision=1,
            is_retry=again,
        )
        over: list = []

        def answered(response: PutResponse | None) -> None:
            if over or not self._reach("edge", owner):
                return
            over.append(True)
            if response is not None and response.kept:
                if ref not in self.accepted:
                    self.later(ACCEPTED_KNOWN_MS, self._ask_for_state, ref)
                self.accepted.setdefault(ref, self.now)
                self._note(ref, "accepted", owner)
            else:
                unclear = response is None or response.maybe_kept
                self._put_later(ref, shard, key, id, delay, since, again or unclear)

        if store is None or not store.alive or not self._reach("edge", owner):
            self._put_later(ref, shard, key, id, delay, since, again)
            return
        incarnation = store.incarnation
        self.later(
            self._way(),
            self._when_awake,
            owner,
            incarnation,
            lambda: self.act(store, store.queue.put(self.now, request, b"x", answered)),
        )
        self.later(700.0, answered, None)

    def _put_later(
        self, ref: str, shard: int, key: str, id: str, delay: float, since: float, again: bool
    ) -> None:
        """What surely was not taken, and has no key, is put elsewhere."""
        if not key and not again:
            shard = self.draw.randrange(60)
            other, first = f"{shard:02d}-{id}", self.first.get(ref, ref)
            if other != ref:
                self._note(ref, "put elsewhere", other)
                self.sent.setdefault(other, self.sent[ref])
                self.keys[other], self.first[other], ref = "", first, other
        self.later(25.0, self._put, ref, shard, key, id, delay, since, again)
