"""What is wrong, by what clients and workers saw."""

from typing import Any

from sableford.simulation.stores.model import CALM, EARLY_MS, MOST_FAILURES, Seen, Wrong
from sableford.simulation.stores.network import Network
from sableford.store.messages import State
from sableford.store.queue_state import COMPLETE


class Judge(Network):
    def _never(self, ref: str) -> None:
        first = self.first.get(ref, ref)
        if first in self.refused and first in self.started:
            raise self._wrong("REFUSED", first, ref)

    def _note(self, ref: str, what: str, *facts: Any) -> None:
        self.seen.setdefault(ref, []).append(Seen(round(self.now, 1), what, facts))

    def _calm(self) -> bool:
        return not any(start - 1.0 <= self.now <= end + CALM for start, end in self.trouble)

    def _starts(self, ref: str, owner: str) -> None:
        self._note(ref, "starts", owner)
        first = self.first.get(ref, ref)
        self.started.add(first)
        self._never(ref)
        self._budget_and_delay(ref, first)
        done = self.done_at.get(first)
        if done is not None and self.now > done + 50.0 and self._calm():
            raise self._wrong("TWICE", first, ref)
        if key := self.keys[ref]:
            for other, at in self.accepted.items():
                if (
                    other != ref
                    and self.keys[other] == key
                    and at < self.sent[ref]
                    and other not in self.ended
                ):
                    raise self._wrong("ORDER", ref, other)

    def _budget_and_delay(self, ref: str, first: str) -> None:
        """A message that fails at each run is given up on, however many owners it had; none runs early."""
        if self.fails.get(ref, 0) >= MOST_FAILURES:
            raise self._wrong("BUDGET", first, ref)
        if self.now < self.due[first] - EARLY_MS:
            raise self._wrong("EARLY", first, ref)

    def _wrong(self, rule: str, *refs: str) -> Wrong:
        lines = [f"{rule} in walk {self.seed} at {self.now:.1f}"]
        for ref in dict.fromkeys(refs):
            lines += [f"  {ref}: {seen.at} {seen.what} {seen.facts}" for seen in self.seen[ref]]
        lines += [f"  trouble {start:.0f} to {end:.0f}" for start, end in self.trouble]
        return Wrong("\n".join(lines))

    def shards_served(self) -> int:
        """How many shards are open at an owner that may act."""
        alive = [store for store in self.stores.values() if store.alive and store.frozen <= self.now]
        return sum(len(store.queue.state.owned) for store in alive if store.queue.state.holds_lease(self.now))

    def judge(self) -> None:
        """At the end, all being well again."""
        for ref in self.accepted:
            if ref not in self.ended:
                raise self._wrong("LOST", ref)
            states = [
                state
                for store in self.stores.values()
                if store.alive and (state := store.queue.status(ref)) is not None
            ]
            if not states:
                raise self._wrong("LOST (no state)", ref)
            for state in states:
                if state.phase == COMPLETE and state.seal not in self.seals.get(ref, ()):
                    raise self._wrong("MIXED", ref)
        live = [store for store in self.stores.values() if store.alive]
        held = [
            m.ref for s in live for m in s.queue.state.messages.values() if m.state.name != State.REPLICA.name
        ]
        if held:
            raise self._wrong("NEVER ENDS", held[0])
