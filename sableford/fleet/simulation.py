"""Nodes in simulated time over a network that loses and delays messages; a thousand fit on one machine.

Owns the simulated clock and the faults between nodes. It uses only the interface that nodes have in service.
"""

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Protocol


class Node(Protocol):
    """A simulated node: when it wants to be called, and its effects then and on a message."""

    name: str
    process_id: int
    due: float

    def tick(self, now: float) -> list: ...

    def handle_message(self, now: float, sender: str, process_id: int, message: object) -> list: ...


class ClusterSimulation:
    """Times are ms. An effect with `to` and `message` is sent; all others are passed to `on_effect`."""

    def __init__(
        self,
        seed: int,
        mean_delay: float = 1.0,
        loss: float = 0.0,
        size: Callable[[object], int] | None = None,
    ) -> None:
        """`loss`: probability that a message is lost; `size`: bytes of a message."""
        self.now, self.mean_delay, self.loss = 0.0, mean_delay, loss
        self.nodes: dict[str, Node] = {}
        self.paused: dict[str, list] = {}  # actions that became due meanwhile, by node
        self.killed: set[str] = set()
        self.is_cut: Callable[[str, str], bool] = lambda start, end: False
        self.on_effect: Callable[[str, object], None] = lambda name, effect: None
        self.sent_messages: Counter[str] = Counter()  # by sender
        self.sent_bytes: Counter[str] = Counter()
        self._size = size or (lambda message: 0)
        self._random = Random(seed)
        self._events: list[tuple[float, int, str, Callable[[], None]]] = []
        self._number = 0

    def add(self, node: Node) -> None:
        self.nodes[node.name] = node
        self.killed.discard(node.name)
        self._schedule_tick(node)

    def schedule(self, when: float, name: str, action: Callable[[], None]) -> None:
        """Runs `action` on behalf of that node: when it resumes if it is paused, never if it was killed."""
        self._number += 1
        heappush(self._events, (when, self._number, name, action))

    def pause(self, name: str) -> None:
        self.paused[name] = []

    def resume(self, name: str) -> None:
        """Timers run before messages, as an event loop runs its timers before it reads its sockets."""
        waiting, node = self.paused.pop(name), self.nodes[name]
        self._apply(node, node.tick(self.now))
        for action in waiting:
            action()

    def kill(self, name: str) -> None:
        self.killed.add(name)
        self.paused.pop(name, None)

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, name, action = heappop(self._events)
            if name in self.paused:
                self.paused[name].append(action)
            elif name not in self.killed:
                action()
        self.now = until

    def apply(self, name: str, effects: list) -> None:
        """Carries out effects of a call that was made from outside the simulation."""
        self._apply(self.nodes[name], effects)

    def _schedule_tick(self, node: Node) -> None:
        due = node.due

        def tick() -> None:
            # Nothing is due if a later tick of the same node has replaced this one.
            if self.nodes[node.name] is node and node.due <= self.now:
                self._apply(node, node.tick(self.now))

        if due < float("inf"):
            self.schedule(max(self.now, due), node.name, tick)

    def _apply(self, node: Node, effects: list) -> None:
        for effect in effects:
            message = getattr(effect, "message", None)
            if message is None:
                self.on_effect(node.name, effect)
            else:
                self._send(node, effect.to, message)
        self._schedule_tick(node)

    def _send(self, node: Node, to: str, message: object) -> None:
        self.sent_messages[node.name] += 1
        self.sent_bytes[node.name] += self._size(message)
        if to not in self.nodes or self.is_cut(node.name, to) or self._random.random() < self.loss:
            return

        def arrive(process_id: int = node.process_id) -> None:
            other = self.nodes[to]
            self._apply(other, other.handle_message(self.now, node.name, process_id, message))

        self.schedule(self.now + self.mean_delay * self._random.uniform(0.5, 1.5), to, arrive)
