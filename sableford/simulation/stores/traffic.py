"""Simulated clients that send messages, and workers that run them."""

from sableford.control.view import shard_of
from sableford.simulation.stores.checker import Checker
from sableford.simulation.stores.model import ACCEPTED_KNOWN_MS, DISK_READ_MS, MAX_ATTEMPTS, SimulatedStore
from sableford.store.protocol import PutRequest, PutResponse
from sableford.transport.verdict import Execution, Verdict


class Traffic(Checker):
    def _deliver(self, store: SimulatedStore, incarnation: str, ref: str, worker: str, until: float) -> None:
        message = store.queue.state.messages.get(ref)
        if message is None or message.body is not None:
            self._send(store, incarnation, ref, worker, until)
            return
        if ("m", ref) not in store.disk:
            raise self._violation("LOST (its bytes)", ref)
        delay_ms = max(0.0, store.stalled_until - self.now) + self.rng.uniform(*DISK_READ_MS)
        self.later(
            delay_ms,
            self._when_resumed,
            store.name,
            incarnation,
            lambda: self._send(store, incarnation, ref, worker, until),
        )

    def _send(self, store: SimulatedStore, incarnation: str, ref: str, worker: str, until: float) -> None:
        """Sends a message, whose body has been read, to its worker."""
        if self.now > until or not store.queue.may_send(self.now, ref, worker):
            self._report_verdict(
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
            self._record(ref, "begun by", store.name, "owned by", owner)
            raise self._violation("FENCE", ref)
        if self.busy[worker] >= 6:
            self.later(
                1.0, self._report_verdict, store, incarnation, ref, worker, Verdict(Execution.NOT_RUN, "full")
            )
            return
        self.busy[worker] += 1
        self.later(
            self._delay() + self.rng.uniform(0.0, 3.0),
            self._start_run,
            store,
            incarnation,
            ref,
            worker,
            until,
        )

    def _start_run(
        self, store: SimulatedStore, incarnation: str, ref: str, worker: str, until: float
    ) -> None:
        self._check_start(ref, store.name)
        after = self.rng.uniform(*self.run_ms)
        always_fails = ref.endswith("7p")
        succeeds = not always_fails and self.rng.random() > 0.05
        self.later(
            after, self._finish_run, store, incarnation, ref, worker, succeeds, self.rng.random() < 0.01
        )

    def _finish_run(
        self, store: SimulatedStore, incarnation: str, ref: str, worker: str, succeeds: bool, lost: bool
    ) -> None:
        self.busy[worker] -= 1
        seal = f"{ref}@{self.now:.3f}"
        self._record(ref, "ran well" if succeeds else "failed", store.name)
        if succeeds:
            self.seals.setdefault(ref, set()).add(seal)
            self.ended.setdefault(ref, self.now)
        else:
            self.failures[ref] = self.failures.get(ref, 0) + 1
            if self.failures[ref] >= MAX_ATTEMPTS:
                self.ended.setdefault(ref, self.now)
        if lost or not self._is_running(store.name, incarnation):
            self.later(
                300.0,
                self._report_verdict,
                store,
                incarnation,
                ref,
                worker,
                Verdict(Execution.UNKNOWN, "lost", reached=False),
            )
            return
        if succeeds:
            self.succeeded_at.setdefault(self.original_refs.get(ref, ref), self.now)
        verdict = Verdict(Execution.DONE, "", seal) if succeeds else Verdict(Execution.FAILED, "failed")
        self.later(self._delay(), self._report_verdict, store, incarnation, ref, worker, verdict)

    def _report_verdict(
        self, store: SimulatedStore, incarnation: str, ref: str, worker: str, verdict: Verdict
    ) -> None:
        self._when_resumed(
            store.name,
            incarnation,
            lambda: self.apply_effects(store, store.queue.delivered(self.now, ref, worker, verdict)),
        )

    def _client(self, number: int) -> None:
        if self.now < self.seconds:
            self.later(self.rng.expovariate(self._messages_per_s) * 1000.0, self._client, number + 1)
        key = f"k{self.rng.randrange(6)}" if self.rng.random() < 0.6 else ""
        id = f"{number}" + ("7p" if self.rng.random() < 0.01 else "")
        shard = shard_of(key) if key else self.rng.randrange(60)
        ref = f"{shard:02d}-{id}"
        self.sent[ref], self.keys[ref] = self.now, key
        delay = self.rng.uniform(0.0, self._delay_ms) if not key and self.rng.random() < 0.2 else 0.0
        self.due_at[ref] = self.now + delay
        self._record(ref, "sent", key)
        self._put(ref, shard, key, id, delay, self.now, False)

    def _put(
        self, ref: str, shard: int, key: str, id: str, delay: float, sent_at: float, is_retry: bool
    ) -> None:
        if self.now > sent_at + 1300.0:
            self._record(ref, "given up on", is_retry)
            if not is_retry:
                self.rejected.add(self.original_refs.get(ref, ref))
                self._check_rejected(ref)
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
            age_ms=self.now - sent_at,
            revision=1,
            is_retry=is_retry,
        )
        finished: list = []

        def answered(response: PutResponse | None) -> None:
            if finished or not self._is_reachable("edge", owner):
                return
            finished.append(True)
            if response is not None and response.kept:
                if ref not in self.accepted:
                    self.later(ACCEPTED_KNOWN_MS, self._poll_status, ref)
                self.accepted.setdefault(ref, self.now)
                self._record(ref, "accepted", owner)
            else:
                unclear = response is None or response.maybe_kept
                self._put_later(ref, shard, key, id, delay, sent_at, is_retry or unclear)

        if store is None or not store.alive or not self._is_reachable("edge", owner):
            self._put_later(ref, shard, key, id, delay, sent_at, is_retry)
            return
        incarnation = store.incarnation
        self.later(
            self._delay(),
            self._when_resumed,
            owner,
            incarnation,
            lambda: self.apply_effects(store, store.queue.put(self.now, request, b"x", answered)),
        )
        self.later(700.0, answered, None)

    def _put_later(
        self, ref: str, shard: int, key: str, id: str, delay: float, sent_at: float, is_retry: bool
    ) -> None:
        """Retries a put. A message without a key that was certainly not stored goes to another shard."""
        if not key and not is_retry:
            shard = self.rng.randrange(60)
            other, first = f"{shard:02d}-{id}", self.original_refs.get(ref, ref)
            if other != ref:
                self._record(ref, "put elsewhere", other)
                self.sent.setdefault(other, self.sent[ref])
                self.keys[other], self.original_refs[other], ref = "", first, other
        self.later(25.0, self._put, ref, shard, key, id, delay, sent_at, is_retry)
