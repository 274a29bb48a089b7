"""Orders deliveries: messages that are due and first of their key go by rank and due time. No I/O.

delayed   waits until it is due, or for the result of a delivery that the previous owner sent
ready     the messages for one backend that may be delivered, by rank and due time
overdue   past their start target: one in OVERDUE_INTERVAL deliveries, while others can still meet theirs
"""

from bisect import insort
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from sableford.store.messages import Deliver, Lookup, Message, State
from sableford.store.protocol import FinalState, Position
from sableford.store.queue_state import DEAD_LETTER, InFlightDelivery, QueueState
from sableford.store.rate_limits import RateLimits
from sableford.store.worker_selection import WorkerSelector
from sableford.transport.routes import Route

# One in this many deliveries is of an overdue message, while other messages can still meet their targets.
OVERDUE_INTERVAL = 8
NEW_VERSION_RETRY_MS = 30.0  # until a message of a version that has not arrived yet is checked again
VERSION_ARRIVAL_MS = 5000.0  # by then a version that edges use is at all stores that hold a lease
LOOKUP_MS = 250.0  # time-out for other stores to answer whether they know a message
SENDER_SLACK_MS = 400.0  # allowed beyond its deadline for the result of a delivery by the previous owner
DEFAULT_DEADLINE_MS = 1000.0  # for a message whose route no longer exists
CLOCK_SLACK_MS = 0.5  # a message that is due within this time counts as due
NO_TARGET_MS = 1e12

Finish = Callable[[float, Message, FinalState], None]


class DeliveryOrder:
    """The queues of messages that wait for delivery. `finish` ends a message that can never be delivered."""

    def __init__(self, state: QueueState, selector: WorkerSelector, rate_limits: RateLimits) -> None:
        self._state, self._selector, self._rate_limits = state, selector, rate_limits
        self.finish: Finish = lambda now, message, final_state: None
        self._by_key: dict[str, list[tuple[Position, str]]] = {}
        self._delayed: list[tuple[float, int, str]] = []
        self._ready: dict[str, list[tuple[int, float, int, str]]] = {}
        self._overdue: dict[str, list[tuple[float, int, str]]] = {}
        self._dispatch_count = 0
        self._next_is_overdue = False  # which queue the message that `_next` returned is in

    # Messages of one key, in order

    def join_key(self, message: Message) -> None:
        """Enters the message into the order of its key, by position."""
        if not message.key:
            return
        queue, entry = self._by_key.setdefault(message.key, []), (message.position, message.ref)
        if entry not in queue:
            insort(queue, entry)

    def leave_key(self, now: float, message: Message) -> None:
        """Removes a message from the order of its key; the next one may then be delivered."""
        queue = self._by_key.get(message.key) if message.key else None
        if queue is None:
            return
        entry = (message.position, message.ref)
        was_first = bool(queue) and queue[0] == entry
        if entry in queue:
            queue.remove(entry)
        if not queue:
            del self._by_key[message.key]
        elif was_first and (following := self._state.messages.get(queue[0][1])) is not None:
            self.enqueue(now, following)

    def forget_key(self, message: Message) -> None:
        """Discards the order of the message's key: another store owns its shard now."""
        self._by_key.pop(message.key, None)

    def is_first_of_key(self, message: Message) -> bool:
        """Whether no message of the same key must be delivered before this one."""
        queue = self._by_key.get(message.key) if message.key else None
        return not queue or queue[0][1] == message.ref

    # Waiting

    def enqueue(self, now: float, message: Message) -> None:
        """Puts a message that is first of its key into the queue of its backend, or delays it until due."""
        if message.state is not State.WAITING or not self.is_first_of_key(message):
            return
        if message.not_before > now + CLOCK_SLACK_MS:
            self._delay(message)
            return
        state, route = self._state, self._state.route_of(message)
        if route is not None and self._is_past_retention(now, message, route):
            self.finish(now, message, state.final_state(DEAD_LETTER, "its retention is over"))
        elif self._is_of_newer_version(message):
            message.not_before = now + NEW_VERSION_RETRY_MS
            self._delay(message)
        elif route is None:
            self.finish(now, message, state.final_state(DEAD_LETTER, "no route leads there any more"))
        else:
            ready = self._ready.setdefault(route.backend, [])
            heappush(ready, (route.rank, message.due_at, state.next_position(), message.ref))

    def _is_of_newer_version(self, message: Message) -> bool:
        """Whether it was accepted under a configuration version that has not arrived here yet."""
        return message.revision > self._state.table.revision

    def _is_past_retention(self, now: float, message: Message, route: Route) -> bool:
        """Whether the retention of the configuration in force has passed.

        A message of a newer version is given the time that its version may take to arrive.
        """
        if not route.retention_s:
            return False
        retention_ms = route.retention_s * 1000.0
        if self._is_of_newer_version(message):
            retention_ms = max(retention_ms, VERSION_ARRIVAL_MS)
        return now - message.sent_at > retention_ms

    def _delay(self, message: Message) -> None:
        heappush(self._delayed, (message.not_before, self._state.next_position(), message.ref))

    def requeue(self, now: float, message: Message, backoff_ms: float) -> None:
        """Schedules another delivery after a backoff."""
        message.state, message.sender = State.WAITING, ""
        message.not_before = max(message.due_at, now + backoff_ms)
        self.enqueue(now, message)

    def await_sender(self, now: float, message: Message) -> None:
        """Waits for a delivery that the previous owner sent; its worker stops at the deadline."""
        message.state, message.asked_sender_at = State.IN_FLIGHT_ELSEWHERE, -1.0
        message.not_before = now + self._deadline_ms(message) + SENDER_SLACK_MS
        self._delay(message)

    def _deadline_ms(self, message: Message) -> float:
        route = self._state.route_of(message)
        return route.deadline_ms if route is not None else DEFAULT_DEADLINE_MS

    def take_due(self, now: float) -> None:
        """Enqueues delayed messages that have become due."""
        while self._delayed and self._delayed[0][0] <= now:
            _, _, ref = heappop(self._delayed)
            message = self._state.messages.get(ref)
            if message is None or not self._state.owns(message):
                continue
            if message.state is State.IN_FLIGHT_ELSEWHERE and message.not_before <= now:
                self._sender_overdue(now, message)
            else:
                self.enqueue(now, message)

    def _sender_overdue(self, now: float, message: Message) -> None:
        """Handles a missing result: the sender is asked once more before the message is delivered again."""
        state = self._state
        if message.sender == state.me and message.ref in state.in_flight:
            message.not_before = now + LOOKUP_MS  # the verdict of the delivery from here is yet to come
            self._delay(message)
        elif message.asked_sender_at < 0.0 and message.sender in state.view.live_stores:
            message.asked_sender_at, message.not_before = now, now + LOOKUP_MS
            state.emit(Lookup(message.sender, message.ref))
            self._delay(message)
        else:
            self.requeue(now, message, 0.0)

    def enqueue_without_routes(self, now: float) -> None:
        """Checks messages without a route again, after a change of the configuration."""
        for message in list(self._state.messages.values()):
            is_waiting = self._state.owns(message) and message.state is State.WAITING
            if is_waiting and self._state.route_of(message) is None:
                message.not_before = max(message.due_at, now)
                self.enqueue(now, message)

    # Delivering

    def dispatch(self, now: float) -> None:
        """Starts all deliveries that are allowed now."""
        state = self._state
        if not state.holds_lease(now):
            return
        for backend in list(self._ready):
            while (message := self._next(now, backend)) is not None:
                worker = self._selector.choose(now, backend, message.avoided_worker)
                if worker is None or not self._rate_limits.allows(now, backend):
                    break
                self._pop(backend)
                message.state = State.IN_FLIGHT
                until = now + self._deadline_ms(message)
                state.in_flight[message.ref] = InFlightDelivery(message.shard, until)
                self._selector.delivery_started(worker)
                state.emit(Deliver(message.ref, worker.entry.id, until))

    def waiting_by_backend(self, now: float) -> dict[str, int]:
        """Returns how many messages wait for a worker, by backend, for those where one may start now."""
        return {
            backend: len(self._ready[backend]) + len(self._overdue[backend])
            for backend in list(self._ready)
            if self._next(now, backend) is not None
        }

    def may_send(self, now: float, ref: str, worker: str) -> bool:
        """Whether a delivery may still be sent, now that the body is read and the connection is open.

        The lease may have ended meanwhile, so that a new owner may have sent it, or the configuration may
        have changed.
        """
        message = self._state.messages.get(ref)
        if message is None or message.state is not State.IN_FLIGHT or not self._state.owns(message):
            return False
        return self._state.holds_lease(now) and self._leads_to(message, worker)

    def _leads_to(self, message: Message, worker: str) -> bool:
        """Whether the configuration in force routes the message to the worker's backend."""
        known, route = self._selector.workers.get(worker), self._state.route_of(message)
        return known is not None and route is not None and known.entry.backend == route.backend

    def _next(self, now: float, backend: str) -> Message | None:
        """Returns the next message for a backend: first those that can meet their target, then overdue ones.

        Entries of messages that are gone or were requeued since are discarded.
        """
        ready, overdue = self._ready[backend], self._overdue.setdefault(backend, [])
        while (route := self._first_startable(now, backend, ready)) is not None:
            _, due_at, number, ref = ready[0]
            if now <= due_at + (route.start_target_ms or NO_TARGET_MS):
                break
            heappop(ready)
            heappush(overdue, (due_at, number, ref))
        self._first_startable(now, backend, overdue)
        is_overdue_next = self._dispatch_count % OVERDUE_INTERVAL == OVERDUE_INTERVAL - 1
        self._next_is_overdue = bool(overdue) and (not ready or is_overdue_next)
        if self._next_is_overdue:
            return self._state.messages[overdue[0][2]]
        return self._state.messages[ready[0][3]] if ready else None

    def _first_startable(self, now: float, backend: str, heap: list[Any]) -> Route | None:
        """Returns the route of the first message of a heap that may start; discards the entries before it.

        A message that is now routed to another backend moves to that one's queue.
        """
        while heap:
            message = self._state.messages.get(heap[0][-1])
            may_start = message is not None and self._may_start(now, message)
            route = self._state.route_of(message) if message is not None and may_start else None
            if route is not None and route.backend == backend:
                return route
            heappop(heap)
            if message is not None and may_start:
                self.enqueue(now, message)
        return None

    def _may_start(self, now: float, message: Message) -> bool:
        is_waiting = message.state is State.WAITING and self._state.owns(message)
        is_due = message.not_before <= now + CLOCK_SLACK_MS
        return is_waiting and is_due and self.is_first_of_key(message)

    def _pop(self, backend: str) -> None:
        self._dispatch_count += 1
        if self._next_is_overdue:
            heappop(self._overdue[backend])
        else:
            heappop(self._ready[backend])
