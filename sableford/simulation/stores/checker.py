"""Checks the guarantees of the queue by what clients and workers observe."""

from typing import Any

from sableford.edge.message_status import StoreResponse, conclusive_response
from sableford.simulation.stores.model import (
    EARLY_MS,
    MACHINE_LOSS,
    MAX_FAILURES,
    QUIET_MS,
    STATUS_POLL_MS,
    STATUS_POLL_UNTIL_MS,
    HistoryEvent,
    RuleViolation,
)
from sableford.simulation.stores.network import Network
from sableford.store.messages import State
from sableford.store.protocol import StatusResponse
from sableford.store.queue_state import COMPLETE


class Checker(Network):
    def _check_rejected(self, ref: str) -> None:
        first = self.original_refs.get(ref, ref)
        if first in self.rejected and first in self.started:
            raise self._violation("REFUSED", first, ref)

    def _record(self, ref: str, what: str, *facts: Any) -> None:
        self.history.setdefault(ref, []).append(HistoryEvent(round(self.now, 1), what, facts))

    def _is_quiet(self) -> bool:
        return not any(start - 1.0 <= self.now <= end + QUIET_MS for start, end in self.disruptions)

    def _check_start(self, ref: str, owner: str) -> None:
        self._record(ref, "starts", owner)
        first = self.original_refs.get(ref, ref)
        self.started.add(first)
        self._check_rejected(ref)
        self._check_attempts_and_delay(ref, first)
        succeeded_at = self.succeeded_at.get(first)
        if succeeded_at is not None and self.now > succeeded_at + 50.0 and self._is_quiet():
            raise self._violation("TWICE", first, ref)
        if key := self.keys[ref]:
            for other, at in self.accepted.items():
                if (
                    other != ref
                    and self.keys[other] == key
                    and at < self.sent[ref]
                    and other not in self.ended
                ):
                    raise self._violation("ORDER", ref, other)

    # Status of accepted messages

    def _poll_status(self, ref: str) -> None:
        """Polls the status as an edge does. An answer may be missing, but must not be older than a previous
        one, and must not be 404."""
        if self.now > self.seconds + STATUS_POLL_UNTIL_MS:
            return
        self.later(self.status_rng.uniform(*STATUS_POLL_MS), self._poll_status, ref)
        response = self._status_from_edge(ref)
        if response is None:
            return
        if response.state is None:
            raise self._violation("LOST (answered 404)", ref)
        if response.has_ended():
            self.reported_final.add(ref)
            if response.state.phase == COMPLETE and response.state.seal not in self.seals.get(ref, ()):
                raise self._violation("MIXED", ref)
        elif ref in self.reported_final:
            raise self._violation("OLDER", ref)

    def _status_from_edge(self, ref: str) -> StatusResponse | None:
        view, shard = self.edge_view, int(ref[:2])
        responses, of_owner = [], None
        for name, info in view.live_stores.items():
            store = self.stores[name]
            if not store.alive or store.frozen_until > self.now or not self._is_reachable("edge", name):
                continue
            state = store.queue.state
            is_owner = shard in state.owned and state.holds_lease(self.now)
            response = StatusResponse(store.queue.status(ref), ref, is_owner)
            responses.append(StoreResponse(response, info.complete and info.incarnation == store.incarnation))
            of_owner = response if name == view.owners[shard] else of_owner
        return conclusive_response(responses, of_owner, len(view.roster) - MACHINE_LOSS)

    def _check_attempts_and_delay(self, ref: str, first: str) -> None:
        """A message that always fails must be given up on, however many owners it had, and none may start
        early."""
        if self.failures.get(ref, 0) >= MAX_FAILURES:
            raise self._violation("BUDGET", first, ref)
        if self.now < self.due_at[first] - EARLY_MS:
            raise self._violation("EARLY", first, ref)

    def _violation(self, rule: str, *refs: str) -> RuleViolation:
        lines = [f"{rule} in walk {self.seed} at {self.now:.1f}"]
        for ref in dict.fromkeys(refs):
            lines += [f"  {ref}: {event.at} {event.what} {event.facts}" for event in self.history[ref]]
        lines += [f"  trouble {start:.0f} to {end:.0f}" for start, end in self.disruptions]
        return RuleViolation("\n".join(lines))

    def shards_served(self) -> int:
        """Returns how many shards are open at an owner that holds a lease."""
        alive = [store for store in self.stores.values() if store.alive and store.frozen_until <= self.now]
        return sum(len(store.queue.state.owned) for store in alive if store.queue.state.holds_lease(self.now))

    def check_final_state(self) -> None:
        """Checks that every accepted message has ended, once all faults are over."""
        for ref in self.accepted:
            if ref not in self.ended:
                raise self._violation("LOST", ref)
            states = [
                state
                for store in self.stores.values()
                if store.alive and (state := store.queue.status(ref)) is not None
            ]
            if not states:
                raise self._violation("LOST (no state)", ref)
            for state in states:
                if state.phase == COMPLETE and state.seal not in self.seals.get(ref, ()):
                    raise self._violation("MIXED", ref)
        live = [store for store in self.stores.values() if store.alive]
        unfinished = [
            m.ref for s in live for m in s.queue.state.messages.values() if m.state.name != State.REPLICA.name
        ]
        if unfinished:
            raise self._violation("NEVER ENDS", unfinished[0])

    def check_in_flight_counts(self) -> None:
        """Checks that no store of the view counts deliveries of others, once all messages have ended."""
        members = self.coordinator.view.live_stores
        for store in self.stores.values():
            member = members.get(store.name)
            if not store.alive or member is None or member.incarnation != store.incarnation:
                continue
            for worker in store.selector.workers.values():
                if worker.others_in_flight:
                    raise self._violation(f"COUNTS ({store.name}: {worker.others_in_flight} elsewhere)")
