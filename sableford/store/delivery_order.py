"""Which message may be delivered next: due, first of its key, by rank and latency target. No I/O.

delayed   for its time, or for word of a delivery by the owner before
ready     of one service, by rank and due time
overdue   past its start target: one in LATE_SHARE deliveries, while others still keep theirs
"""

from bisect import insort
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from sableford.store.choice import Choice
from sableford.store.messages import Deliver, Lookup, Message, State
from sableford.store.protocol import FinalState, Position
from sableford.store.queue_state import DEAD_LETTER, QueueState
from sableford.store.rate_limits import RateLimits
from sableford.transport.routes import Route

LATE_SHARE = 8  # one in so many deliveries is of an overdue message, while others still keep their target
NEW_VERSION_MS = 30.0  # before a message of a configuration that is not known yet is looked at again
VERSION_ARRIVAL_MS = 5000.0  # a version that edges act on is by then at all stores that hold a lease
LOOKUP_MS = 250.0  # for other stores to say whether they know a message
SENDER_SLACK_MS = 400.0  # past its deadline that word of a delivery by the owner before may take
DEFAULT_DEADLINE_MS = 1000.0  # of a message whose route has gone meanwhile
CLOCK_SLACK_MS = 0.5  # a message that is due within so long is due
NO_TARGET_MS = 1e12

Finish = Callable[[float, Message, FinalState], None]


class DeliveryOrder:
    """`finish` ends a message that is never to be delivered."""

    def __init__(self, state: QueueState, choice: Choice, rate_limits: RateLimits) -> None:
        self._state, self._choice, self._rate_limits = state, choice, rate_limits
        self.finish: Finish = lambda now, message, final_state: None
        self._by_key: dict[str, list[tuple[Position, str]]] = {}
        self._delayed: list[tuple[float, int, str]] = []
        self._ready: dict[str, list[tuple[int, float, int, str]]] = {}
        self._overdue: dict[str, list[tuple[float, int, str]]] = {}
        self._turn = 0
        self._next_is_overdue = False  # where the message stands that `_next` has named

    # Messages of one key, in order

    def join_key(self, message: Message) -> None:
        """The message takes its place among those of its key."""
        if not message.key:
            return
        queue, place = self._by_key.setdefault(message.key, []), (message.position, message.ref)
        if place not in queue:
            insort(queue, place)

    def leave_key(self, now: float, message: Message) -> None:
        """The message is gone; the next of its key may be delivered."""
        queue = self._by_key.get(message.key) if message.key else None
        if queue is None:
            return
        place = (message.position, message.ref)
        was_first = bool(queue) and queue[0] == place
        if place in queue:
            queue.remove(place)
        if not queue:
            del self._by_key[message.key]
        elif was_first and (following := self._state.messages.get(queue[0][1])) is not None:
            self.enqueue(now, following)

    def forget_key(self, message: Message) -> None:
        """The message's shard is another store's."""
        self._by_key.pop(message.key, None)

    def is_first_of_key(self, message: Message) -> bool:
        """Whether no message of its key is to be delivered before it."""
        queue = self._by_key.get(message.key) if message.key else None
        return not queue or queue[0][1] == message.ref

    # Waiting

    def enqueue(self, now: float, message: Message) -> None:
        """Into the queue of its service once it is due and first of its key."""
        if message.state is not State.WAITING or not self.is_first_of_key(message):
            return
        if message.not_before > now + CLOCK_SLACK_MS:
            self._delay(message)
            return
        state, route = self._state, self._state.route_of(message)
        if route is not None and self._is_past_retention(now, message, route):
            self.finish(now, message, state.final_state(DEAD_LETTER, "its retention is over"))
        elif self._is_of_newer_version(message):
            message.not_before = now + NEW_VERSION_MS
            self._delay(message)
        elif route is None:
            self.finish(now, message, state.final_state(DEAD_LETTER, "no route leads there any more"))
        else:
            ready = self._ready.setdefault(route.backend, [])
            heappush(ready, (route.rank, message.due_at, state.next_position(), message.ref))

    def _is_of_newer_version(self, message: Message) -> bool:
        """Whether it was accepted under a version of the configuration that has yet to come here."""
        return message.revision > self._state.table.revision

    def _is_past_retention(self, now: float, message: Message, route: Route) -> bool:
        """By the version here, which ends no message that may just be waiting for its own version."""
        if not route.retention_s:
            return False
        retention_ms = route.retention_s * 1000.0
        if self._is_of_newer_version(message):
            retention_ms = max(retention_ms, VERSION_ARRIVAL_MS)
        return now - message.sent_at > retention_ms

    def _delay(self, message: Message) -> None:
        heappush(self._delayed, (message.not_before, self._state.next_position(), message.ref))

    def requeue(self, now: float, message: Message, backoff_ms: float) -> None:
        """It is to be delivered again, after a while."""
        message.state, message.sender = State.WAITING, ""
        message.not_before = max(message.due_at, now + backoff_ms)
        self.enqueue(now, message)

    def await_sender(self, now: float, message: Message) -> None:
        """It is still in flight, sent by the owner before; its worker stops work at the deadline."""
        message.state, message.asked_sender_at = State.IN_FLIGHT_ELSEWHERE, -1.0
        message.not_before = now + self._deadline_ms(message) + SENDER_SLACK_MS
        self._delay(message)

    def _deadline_ms(self, message: Message) -> float:
        route = self._state.route_of(message)
        return route.deadline_ms if route is not None else DEFAULT_DEADLINE_MS

    def take_due(self, now: float) -> None:
        """Delayed messages whose time has come."""
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
        """No word of how it ended: the sender is asked once more before it goes again."""
        state = self._state
        if message.sender == state.me and message.ref in state.in_flight:
            message.not_before = now + LOOKUP_MS  # its verdict comes by itself
            self._delay(message)
        elif message.asked_sender_at < 0.0 and message.sender in state.view.live_stores:
            message.asked_sender_at, message.not_before = now, now + LOOKUP_MS
            state.emit(Lookup(message.sender, message.ref))
            self._delay(message)
        else:
            self.requeue(now, message, 0.0)

    def enqueue_without_routes(self, now: float) -> None:
        """Another configuration is in force: messages whose route has gone are looked at anew."""
        for message in list(self._state.messages.values()):
            is_waiting = self._state.owns(message) and message.state is State.WAITING
            if is_waiting and self._state.route_of(message) is None:
                message.not_before = max(message.due_at, now)
                self.enqueue(now, message)

    # Delivering

    def dispatch(self, now: float) -> None:
        """Whatever may go, to whichever worker the design names."""
        state = self._state
        if not state.holds_lease(now):
            return
        for backend in list(self._ready):
            while (message := self._next(now, backend)) is not None:
                worker = self._choice.choose(now, backend, message.avoided_worker)
                if worker is None or not self._rate_limits.allows(now, backend):
                    break
                self._pop(backend)
                message.state = State.IN_FLIGHT
                state.in_flight[message.ref] = message.shard
                self._choice.sent(worker)
                until = now + self._deadline_ms(message)
                state.emit(Deliver(message.ref, worker.entry.id, until))

    def may_send(self, now: float, ref: str, worker: str) -> bool:
        """Whether a delivery is still this store's to begin, once its bytes are read and its worker dialled:
        another owner may have begun it after this one's lease, and another configuration may have come."""
        message = self._state.messages.get(ref)
        if message is None or message.state is not State.IN_FLIGHT or not self._state.owns(message):
            return False
        return self._state.holds_lease(now) and self._leads_to(message, worker)

    def _leads_to(self, message: Message, worker: str) -> bool:
        """Whether the configuration in force sends the message to the worker's service."""
        known, route = self._choice.workers.get(worker), self._state.route_of(message)
        return known is not None and route is not None and known.entry.backend == route.backend

    def _next(self, now: float, backend: str) -> Message | None:
        """The next one of a service: earliest due among those that can keep their target, then overdue ones.
        Entries of messages that have gone, or have been put back since, are dropped on the way."""
        ready, overdue = self._ready[backend], self._overdue.setdefault(backend, [])
        while (route := self._first_startable(now, backend, ready)) is not None:
            _, due_at, number, ref = ready[0]
            if now <= due_at + (route.start_target_ms or NO_TARGET_MS):
                break
            heappop(ready)
            heappush(overdue, (due_at, number, ref))
        self._first_startable(now, backend, overdue)
        is_turn_of_overdue = self._turn % LATE_SHARE == LATE_SHARE - 1
        self._next_is_overdue = bool(overdue) and (not ready or is_turn_of_overdue)
        if self._next_is_overdue:
            return self._state.messages[overdue[0][2]]
        return self._state.messages[ready[0][3]] if ready else None

    def _first_startable(self, now: float, backend: str, heap: list[Any]) -> Route | None:
        """The route of the first message of a heap that may start; those before it are dropped. One that
        another configuration sends to another service goes to that one's queue."""
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
        self._turn += 1
        if self._next_is_overdue:
            heappop(self._overdue[backend])
        else:
            heappop(self._ready[backend])
