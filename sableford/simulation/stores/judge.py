"""What is wrong, by what clients and workers saw."""

from typing import Any

from sableford.edge.message_status import StoreResponse, conclusive_response
from sableford.simulation.stores.model import (
    ASK_EVERY_MS,
    ASK_UNTIL_MS,
    CALM,
    EARLY_MS,
    MACHINE_LOSS,
    MOST_FAILURES,
    Seen,
    Wrong,
)
from sableford.simulation.stores.network import Network
from sableford.store.messages import State
from sableford.store.protocol import StatusResponse
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

    # What clients are told of a message that was accepted

    def _ask_for_state(self, ref: str) -> None:
        """As an edge asks, again and again: it may be told nothing, but nothing older, and no 404."""
        if self.now > self.seconds + ASK_UNTIL_MS:
            return
        self.later(self.questions.uniform(*ASK_EVERY_MS), self._ask_for_state, ref)
        found = self._state_by_an_edge(ref)
        if found is None:
            return
        if found.state is None:
            raise self._wrong("LOST (answered 404)", ref)
        if found.has_ended():
            self.told_ended.add(ref)
            if found.state.phase == COMPLETE and found.state.seal not in self.seals.get(ref, ()):
                raise self._wrong("MIXED", ref)
        elif ref in self.told_ended:
            raise self._wrong("OLDER", ref)

    def _state_by_an_edge(self, ref: str) -> StatusResponse | None:
        view, shard = self.edge_view, int(ref[:2])
        heard, of_owner = [], None
        for name, info in view.live_stores.items():
            store = self.stores[name]
            if not store.alive or store.frozen > self.now or not self._reach("edge", name):
                continue
            state = store.queue.state
            is_owner = shard in state.owned and state.holds_lease(self.now)
            response = StatusResponse(store.queue.status(ref), ref, is_owner)
            heard.append(StoreResponse(response, info.complete and info.incarnation == store.incarnation))
            of_owner = response if name == view.owners[shard] else of_owner
        return conclusive_response(heard, of_owner, len(view.roster) - MACHINE_LOSS)

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
