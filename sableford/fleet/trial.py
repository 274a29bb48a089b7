"""Cores in simulated time: a network that loses, delays and stops, so that a thousand members fit on one
machine.

It owns the simulated clock and the faults between cores. It must never look into a core to help it.
"""

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Protocol


class Core(Protocol):
    """What is tried: a time at which it wants to be called, and what it does then and on a word."""

    name: str
    birth: int
    due: float

    def tick(self, now: float) -> list: ...

    def heard(self, now: float, sender: str, birth: int, word: object) -> list: ...


class Trial:
    """Times are ms. Every effect with `to` and `word` is sent; all others go to `seen`."""

    def __init__(
        self, seed: int, way: float = 1.0, loss: float = 0.0, size: Callable[[object], int] | None = None
    ) -> None:
        self.now, self.way, self.loss = 0.0, way, loss
        self.cores: dict[str, Core] = {}
        self.stopped: dict[str, list] = {}  # what came meanwhile
        self.dead: set[str] = set()
        self.cut: Callable[[str, str], bool] = lambda start, end: False
        self.seen: Callable[[str, object], None] = lambda name, effect: None
        self.words: Counter[str] = Counter()  # sent, by sender
        self.bytes: Counter[str] = Counter()
        self._size = size or (lambda word: 0)
        self._random = Random(seed)
        self._events: list[tuple[float, int, str, Callable[[], None]]] = []
        self._number = 0

    def add(self, core: Core) -> None:
        self.cores[core.name] = core
        self.dead.discard(core.name)
        self._follow(core)

    def at(self, when: float, name: str, deed: Callable[[], None]) -> None:
        """`deed` then, in the name of that core: a stopped one does it when it goes on, a dead one never."""
        self._number += 1
        heappush(self._events, (when, self._number, name, deed))

    def stop(self, name: str) -> None:
        self.stopped[name] = []

    def go_on(self, name: str) -> None:
        """Its clock first, as a loop finds its timers due before it reads its sockets."""
        waiting, core = self.stopped.pop(name), self.cores[name]
        self._do(core, core.tick(self.now))
        for deed in waiting:
            deed()

    def kill(self, name: str) -> None:
        self.dead.add(name)
        self.stopped.pop(name, None)

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, name, deed = heappop(self._events)
            if name in self.stopped:
                self.stopped[name].append(deed)
            elif name not in self.dead:
                deed()
        self.now = until

    def do(self, name: str, effects: list) -> None:
        """What a core was told to do from outside."""
        self._do(self.cores[name], effects)

    def _follow(self, core: Core) -> None:
        due = core.due

        def tick() -> None:
            # A later one for the same core has taken this one's place.
            if self.cores[core.name] is core and core.due <= self.now:
                self._do(core, core.tick(self.now))

        if due < float("inf"):
            self.at(max(self.now, due), core.name, tick)

    def _do(self, core: Core, effects: list) -> None:
        for effect in effects:
            message = getattr(effect, "message", None)
            if message is None:
                self.seen(core.name, effect)
            else:
                self._send(core, effect.to, message)
        self._follow(core)

    def _send(self, core: Core, to: str, word: object) -> None:
        self.words[core.name] += 1
        self.bytes[core.name] += self._size(word)
        if to not in self.cores or self.cut(core.name, to) or self._random.random() < self.loss:
            return

        def arrive(birth: int = core.birth) -> None:
            other = self.cores[to]
            self._do(other, other.heard(self.now, core.name, birth, word))

        self.at(self.now + self.way * self._random.uniform(0.5, 1.5), to, arrive)
