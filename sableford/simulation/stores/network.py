"""Simulated time, and messages between machines that arrive in order, late, or never."""

from collections.abc import Callable
from heapq import heappush
from typing import Any
from zlib import crc32

from sableford.simulation.stores.model import WAY, SimulatedStore


class Network:
    def later(self, after: float, do: Callable, *given: Any) -> None:
        heappush(self._events, (self.now + after, next(self._count), do, given))

    def _way(self) -> float:
        return self.draw.uniform(*WAY)

    def _reach(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut

    def _up(self, name: str, incarnation: str) -> bool:
        store = self.stores[name]
        return store.alive and store.incarnation == incarnation

    def _to(self, sender: str, to: str, do: Callable, *given: Any) -> bool:
        """A word to another store: in order, or lost with the line."""
        if not self._reach(sender, to) or not self.stores[to].alive:
            return False
        if self.now < self.stores[to].up_at + crc32(f"{sender}{to}{self.seed}".encode()) % 600:
            return False  # its line is not dialled yet
        self.later(self._way(), self._arrive, sender, to, self.stores[to].incarnation, do, given)
        return True

    def _arrive(self, sender: str, to: str, incarnation: str, do: Callable, given: tuple) -> None:
        store = self.stores[to]
        if not self._up(to, incarnation) or not self._reach(sender, to):
            return
        if store.frozen > self.now:
            self.later(store.frozen - self.now + 0.1, self._arrive, sender, to, incarnation, do, given)
            return
        do(store, *given)

    def _ask(self, sender: str, to: str, ask: Callable, then: Callable) -> None:
        """`then(answer)` at the sender; None after a while where none came."""
        incarnation, over = self.stores[sender].incarnation, []
        life = self.stores[sender].queue.state.incarnation_of(to)

        def arrived(answer: Any) -> None:
            then(answer if self.stores[sender].queue.state.incarnation_of(to) == life else None)

        def back(answer: Any) -> None:
            if not over and self._up(sender, incarnation):
                over.append(True)
                self._when_awake(sender, incarnation, lambda: arrived(answer))

        def there(store: SimulatedStore) -> None:
            ask(store, lambda answer: self.later(self._way(), answered, answer))

        def answered(answer: Any) -> None:
            if self._reach(sender, to):
                back(answer)

        self.later(1200.0 if self._to(sender, to, there) else 15.0, back, None)

    def _when_awake(self, name: str, incarnation: str, do: Callable) -> None:
        store = self.stores[name]
        if not self._up(name, incarnation):
            return
        if store.frozen > self.now:
            self.later(store.frozen - self.now + 0.1, self._when_awake, name, incarnation, do)
        else:
            do()
