"""Virtual time, and messages between machines that arrive late or never."""

from collections.abc import Callable
from heapq import heappush
from typing import Any
from zlib import crc32

from sableford.simulation.stores.model import LINK_DELAY_MS, SimulatedStore


class Network:
    def later(self, delay_ms: float, callback: Callable, *args: Any) -> None:
        heappush(self._events, (self.now + delay_ms, next(self._sequence), callback, args))

    def _delay(self) -> float:
        return self.rng.uniform(*LINK_DELAY_MS)

    def _is_reachable(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut

    def _is_running(self, name: str, incarnation: str) -> bool:
        store = self.stores[name]
        return store.alive and store.incarnation == incarnation

    def _may_connect(self, sender: str, to: str) -> bool:
        """Whether a link to another store can be up by now."""
        if not self._is_reachable(sender, to) or not self.stores[to].alive:
            return False
        connect_ms = crc32(f"{sender}{to}{self.seed}".encode()) % 600
        return self.now >= self.stores[to].started_at + connect_ms

    def _transmit(self, sender: str, to: str, callback: Callable, *args: Any) -> bool:
        """Sends a message to another store. It is lost if the link is cut."""
        if not self._may_connect(sender, to):
            return False
        self.later(self._delay(), self._arrive, sender, to, self.stores[to].incarnation, callback, args)
        return True

    def _arrive(self, sender: str, to: str, incarnation: str, callback: Callable, args: tuple) -> None:
        store = self.stores[to]
        if not self._is_running(to, incarnation) or not self._is_reachable(sender, to):
            return
        if store.frozen_until > self.now:
            self.later(
                store.frozen_until - self.now + 0.1, self._arrive, sender, to, incarnation, callback, args
            )
            return
        callback(store, *args)

    def _request(self, sender: str, to: str, handle: Callable, on_answer: Callable) -> None:
        """Sends a request. `on_answer` gets the answer at the sender, or None after a time-out."""
        incarnation, finished = self.stores[sender].incarnation, []
        peer_incarnation = self.stores[to].incarnation

        def arrived(answer: Any) -> None:
            is_present = self.stores[sender].queue.state.incarnation_of(to) == peer_incarnation
            on_answer(answer if is_present else None)

        def finish(answer: Any) -> None:
            if not finished and self._is_running(sender, incarnation):
                finished.append(True)
                self._when_resumed(sender, incarnation, lambda: arrived(answer))

        def received(store: SimulatedStore) -> None:
            handle(store, lambda answer: self.later(self._delay(), answered, answer))

        def answered(answer: Any) -> None:
            if self._is_reachable(sender, to):
                finish(answer)

        self.later(1200.0 if self._transmit(sender, to, received) else 15.0, finish, None)

    def _when_resumed(self, name: str, incarnation: str, callback: Callable) -> None:
        store = self.stores[name]
        if not self._is_running(name, incarnation):
            return
        if store.frozen_until > self.now:
            self.later(store.frozen_until - self.now + 0.1, self._when_resumed, name, incarnation, callback)
        else:
            callback()
