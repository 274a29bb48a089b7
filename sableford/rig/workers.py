"""Stub workers and their behaviour under faults; record every message.

They speak the public protocol between scheduler and worker. Their times and sizes come from the plan.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random

from msgspec import json

from sableford.rig.clock import RunClock
from sableford.rig.history import History, Run
from sableford.rig.http_parser import HttpParser
from sableford.rig.links import Links, StubConnection
from sableford.rig.plan import Plan


class Job:
    """A txn that a worker was sent."""

    def __init__(self, connection: "WorkerConnection", txn: str, scheme: int) -> None:
        self.connection, self.txn, self.scheme = connection, txn, scheme
        self.timer: asyncio.TimerHandle | None = None
        self.finished = self.head_sent = False


class Worker:
    """A worker with slots, a queue, reduced capacity after a start, and injected faults."""

    def __init__(self, name: str, plan: Plan, links: Links, history: History, clock: RunClock) -> None:
        self.name, self.plan, self.links, self.history, self.clock = name, plan, links, history, clock
        self.slots = plan.workers.slots
        self.connections: set[WorkerConnection] = set()
        self.queue: deque[Job] = deque()
        self.running: set[Job] = set()
        self.deferred: list[Callable[[], None]] = []
        self.hung = self.dead = self.leaving = self.overloaded = False
        self.slow_factor, self.fail_ratio = 1.0, 0.0
        self.started_at: float | None = None
        self.up_since = 0.0  # Unix ms, as in the worker list
        self.recent_work: deque[tuple[float, float]] = deque()
        self.peak_overload = 0.0
        self.probes = 0
        self._random = Random(f"{name} {plan.seed}")

    def capacity_at(self, at: float) -> float:
        """The fraction of its full capacity at that time; it rises linearly while the worker warms up."""
        if self.started_at is None:
            return 1.0
        start, warm_ms = self.plan.workers.start_capacity, self.plan.workers.warm_ms
        return min(1.0, start + (1.0 - start) * (at - self.started_at) / warm_ms)

    def load(self) -> dict[str, float]:
        used = sum(self.plan.scheme[job.scheme].slots for job in self.running)
        return {"queue": len(self.queue), "x0": max(0, int(self.slots - used))}

    def enqueue(self, job: Job) -> None:
        now = self.clock.now()
        self._check_overload(now, job)
        if self.dead:
            return
        if self._random.random() < self.fail_ratio:
            self.run_unless_hung(lambda: job.connection.finish_job(job, "failed"))
            return
        self.queue.append(job)
        self._start_jobs()

    def _check_overload(self, now: float, job: Job) -> None:
        """Rule 4: compares the work that all schedulers together sent within `fall_ms` to a worker that is
        warming up with its capacity; beyond `overload_factor` the worker dies."""
        limits, scheme = self.plan.workers, self.plan.scheme[job.scheme]
        if self.started_at is None or self.capacity_at(now) >= 1.0:
            return
        self.recent_work.append((now, scheme.run_ms * scheme.slots))
        while self.recent_work[0][0] < now - limits.fall_ms:
            self.recent_work.popleft()
        factor = sum(work for _, work in self.recent_work) / (
            self.slots * self.capacity_at(now) * limits.fall_ms
        )
        self.peak_overload = max(self.peak_overload, factor)
        if factor > limits.overload_factor:
            self.overloaded = True
            self.history.overloads.append((now, self.name, factor))
            self.history.record_event(now, self.name, f"overloaded to {factor:.1f} times its capacity")
            self.die()

    def run_unless_hung(self, action: Callable[[], None]) -> None:
        if self.hung:
            self.deferred.append(action)
        else:
            action()

    def _start_jobs(self) -> None:
        while not self.hung and self.queue:
            job, used = self.queue[0], sum(self.plan.scheme[other.scheme].slots for other in self.running)
            if used + self.plan.scheme[job.scheme].slots > self.slots and self.running:
                return
            self.queue.popleft()
            self.running.add(job)
            now = self.clock.now()
            self.history.record_start(Run(job.txn, self.name, job.connection.other_name, now))
            job.connection.send_line(job, {"state": "started"})
            duration_ms = self.plan.scheme[job.scheme].run_ms * self.slow_factor / self.capacity_at(now)
            duration_ms *= self._random.uniform(0.8, 1.2)
            loop = asyncio.get_running_loop()
            job.timer = loop.call_later(
                duration_ms / 1000.0, self.run_unless_hung, lambda job=job: self._finish(job)
            )

    def _finish(self, job: Job) -> None:
        if job in self.running:
            self.running.discard(job)
            job.connection.finish_job(job, "done")
            self._start_jobs()

    def cancel_job(self, job: Job) -> None:
        """Cancels a job, queued or running, whose scheduler closed the connection."""
        if job in self.queue:
            self.queue.remove(job)
        if job in self.running:
            self.running.discard(job)
            if job.timer is not None:
                job.timer.cancel()
            self._start_jobs()

    def set_hung(self, hung: bool) -> None:
        self.hung = hung
        if not hung:
            for action in self.deferred:
                action()
            self.deferred.clear()
            self._start_jobs()

    def die(self) -> None:
        self.dead = True
        for job in self.running:
            if job.timer is not None:
                job.timer.cancel()
        self.running.clear()
        self.queue.clear()
        self.deferred.clear()
        for connection in tuple(self.connections):
            connection.abort()

    def restart(self, unix_ms: float) -> None:
        self.dead = self.hung = self.overloaded = False
        self.started_at, self.up_since = self.clock.now(), unix_ms
        self.recent_work.clear()


class WorkerConnection(StubConnection):
    """A connection from a scheduler."""

    def __init__(self, worker: Worker, scheduler: str) -> None:
        super().__init__(worker.links, worker.name, scheduler)
        self._worker, self._parser, self._job = worker, HttpParser(), None
        # When the scheduler sent the last data: the rules count from then, since a link fault may delay it.
        self._sent_at = 0.0

    def data_received(self, data: bytes) -> None:
        self._sent_at = self._worker.clock.now()
        super().data_received(data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._worker.connections.add(self)
        if self._worker.dead:
            self.abort()

    def connection_lost(self, problem: Exception | None) -> None:
        super().connection_lost(problem)
        self._worker.connections.discard(self)
        self._cancel_job()

    def _cancel_job(self) -> None:
        if self._job is not None and not self._job.finished:
            self._job.finished = True
            self._worker.cancel_job(self._job)

    def on_data(self, data: bytes | None) -> None:
        if data is None:
            self._cancel_job()
            self.close()
            return
        self._parser.feed(data)
        try:
            while (message := self._parser.next_message()) is not None:
                self._handle_request(*message)
        except (ValueError, IndexError):  # corrupted by an injected fault
            self.abort()

    def _handle_request(self, start_line: bytes, headers: dict[bytes, bytes], body: bytes) -> None:
        worker = self._worker
        if start_line.startswith(b"GET"):
            worker.probes += 1
            load = ",".join(f"{name}={value:g}" for name, value in worker.load().items()).encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(load), load)
            worker.run_unless_hung(lambda: self.send(answer))
            return
        txn = headers.get(b"x-correlation-id", b"").decode("latin-1")
        worker.history.record_post(Run(txn, worker.name, self.other_name, self._sent_at))
        names = [scheme.name.encode() for scheme in worker.plan.scheme]
        class_name = headers.get(b"x-service-class", b"")
        self._job = Job(self, txn, names.index(class_name) if class_name in names else 0)
        worker.enqueue(self._job)

    def send_line(self, job: Job, fields: dict, last: bool = False) -> None:
        line = json.encode({"id": job.txn, "from": self.own_name, **fields}) + b"\n"
        head = b"" if job.head_sent else b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        job.head_sent = True
        self.send(b"%b%x\r\n%b\r\n%b" % (head, len(line), line, b"0\r\n\r\n" if last else b""))

    def finish_job(self, job: Job, state: str) -> None:
        if job.finished:
            return
        job.finished = True
        fields = {"state": state, "load": self._worker.load()}
        if state == "done":
            fields["result"] = f"{job.txn} by {self.own_name}"
            self._worker.history.record_result(job.txn, fields["result"].encode())
        self.send_line(job, fields, last=True)
