"""Takes shards over and hands them over. No I/O.

The new owner of a shard asks all other live stores what they hold of it. It waits until enough complete
disks have answered that no accepted message can be only on the missing ones, and then asks all of them which
of the messages have ended. A store that comes into the view before the shards open is asked as well, and for
messages that it brings all are asked again: a store that was away may bring some that have ended meanwhile.
The previous owner has acknowledged the view by then, starts nothing more, and reports the results of its
deliveries in flight.
"""

from collections import Counter
from collections.abc import Collection
from math import inf

from sableford.control.view import View, ViewNumber
from sableford.store.acceptance import REFUSED_MAYBE_KEPT, Acceptance
from sableford.store.delivery_order import DeliveryOrder
from sableford.store.final_state_replication import FinalStateReplication
from sableford.store.message_finalization import MessageFinalization
from sableford.store.message_replication import MessageReplication
from sableford.store.messages import (
    AskFinalStates,
    ExchangeInFlightCounts,
    LogEvent,
    Message,
    Pull,
    State,
    WriteMessage,
    replica_of,
)
from sableford.store.protocol import FinalState, PulledMessage, PullResponse
from sableford.store.queue_state import QueueState
from sableford.store.replica_comparison import ReplicaComparison
from sableford.store.replica_placement import ReplicaPlacement
from sableford.store.takeover import FinalStateQuestion, PullQuestion, Takeover
from sableford.store.worker_selection import WorkerSelector

# For the final states of messages pulled late, if the other stores suffice; a dead store's lease ends before.
LATE_ANSWER_MS = 1500.0


class ShardTakeover:
    """Takes over and releases shards as the view changes."""

    def __init__(
        self,
        state: QueueState,
        placement: ReplicaPlacement,
        selector: WorkerSelector,
        order: DeliveryOrder,
        replication: MessageReplication,
        final_states: FinalStateReplication,
        finalization: MessageFinalization,
        acceptance: Acceptance,
        comparison: ReplicaComparison,
    ) -> None:
        self._state, self._placement, self._selector, self._order = state, placement, selector, order
        self._replication, self._final_states = replication, final_states
        self._finalization, self._acceptance = finalization, acceptance
        self._comparison = comparison
        self._seen: dict[str, str] = {}  # incarnation of each store in the last view

    def apply_view(self, now: float, view: View) -> None:
        """Applies a newer view."""
        state = self._state
        state.view = view
        assigned = {shard: view.epochs[shard] for shard in view.shards_owned_by(state.me, state.incarnation)}
        own = view.live_stores.get(state.me)
        if own is not None and own.incarnation == state.incarnation:
            state.complete = state.complete or own.complete
        gone, new = self._changed_stores(view)
        self._selector.apply_view(view)
        self._release_lost(assigned)
        self._begin_takeovers(now, assigned)
        self._acceptance.ask_new_stores()
        self._forget_holders(now, gone)
        for takeover in self.in_progress():
            for name in gone:
                takeover.forget(name)
            self.ask(now, takeover)
        for name in sorted(new & state.other_stores()):
            state.emit(ExchangeInFlightCounts(name))
            self._comparison.compare(name)
        self._final_states.observe_absent(now, view)
        for message in list(state.messages.values()):
            is_here = state.owns(message) and message.state is not State.ENDING
            if is_here and not self._placement.is_safe(message):
                self._replication.copy_later(message)
        self._replication.copy_waiting(now)
        self._finalization.copy_all(now)

    def _changed_stores(self, view: View) -> tuple[set[str], set[str]]:
        """Returns the stores whose previous incarnation is gone, and those with a new one."""
        before, me = self._seen, self._state.me
        self._seen = {name: store.incarnation for name, store in view.live_stores.items()}
        gone = {name for name, one in before.items() if self._seen.get(name) != one}
        new = {name for name, one in self._seen.items() if before.get(name) != one}
        return gone - {me}, new - {me}

    def _release_lost(self, assigned: dict[int, ViewNumber]) -> None:
        released = [shard for shard, epoch in self._state.owned.items() if assigned.get(shard) != epoch]
        for shard in released:
            self._release(shard)
        if released:
            self._final_states.release(released)

    def _release(self, shard: int) -> None:
        """Releases a shard: from now on nothing of it is started here."""
        del self._state.owned[shard]
        self._acceptance.release(shard)
        for message in self._state.messages.values():
            if message.shard != shard:
                continue
            # Other stores may have replicas, so the next owner accepts the message or knows how it ended.
            self._acceptance.respond_to_waiters(message, REFUSED_MAYBE_KEPT)
            message.sender = ""
            self._state.accepting.pop(message.ref, None)
            if message.state is not State.ENDING:  # else its final state is still copied until it is durable
                message.state = State.REPLICA
            self._order.forget_key(message)

    def _begin_takeovers(self, now: float, assigned: dict[int, ViewNumber]) -> None:
        state = self._state
        for takeover in self.in_progress():
            takeover.shards &= assigned.keys()
        for shard in [shard for shard, one in state.takeovers.items() if shard not in one.shards]:
            del state.takeovers[shard]
            self._acceptance.refuse_parked(shard)
        new_shards = {
            shard for shard in assigned if shard not in state.owned and shard not in state.takeovers
        }
        if not new_shards:
            return
        takeover = Takeover(new_shards, now)
        for shard in new_shards:
            state.takeovers[shard] = takeover
        for message in state.messages.values():
            if message.shard in new_shards:
                message.holders = set()  # known from an earlier ownership; the other stores are asked

    def _forget_holders(self, now: float, gone: set[str]) -> None:
        requeued: Counter[str] = Counter()
        for message in self._state.messages.values():
            message.final_state_holders -= gone
            message.holders -= gone
            if not self._state.owns(message):
                continue
            sender = message.sender
            if message.state is State.IN_FLIGHT_ELSEWHERE and sender not in self._state.view.live_stores:
                requeued[sender] += 1
                self._order.requeue(now, message, 0.0)
        for sender, messages in requeued.items():
            self._state.emit(LogEvent("sender_gone", {"store": sender, "requeued": messages}))

    # Asking what other stores hold

    def in_progress(self) -> list[Takeover]:
        """Returns the takeovers in progress, each once."""
        return list({id(one): one for one in self._state.takeovers.values()}.values())

    def ask_all(self, now: float) -> None:
        """Asks the stores that have not been asked, or did not answer."""
        for takeover in self.in_progress():
            self.ask(now, takeover)

    def ask(self, now: float, takeover: Takeover) -> None:
        """Asks the stores that have not been asked in their present incarnation."""
        state = self._state
        for name in sorted(state.other_stores()):
            incarnation, asked = state.incarnation_of(name), takeover.asked.get(name)
            if asked is not None and asked.incarnation == incarnation:
                continue
            question = takeover.asked[name] = PullQuestion(state.next_round(), incarnation)
            known = [one.ref for one in state.messages.values() if one.shard in takeover.shards]
            state.emit(Pull(name, question.number, sorted(takeover.shards), known, True))
        self.check(now, takeover)

    def _takeover_that_asked(self, store: str, number: int) -> Takeover | None:
        return next((one for one in self.in_progress() if one.was_asked(store, number)), None)

    def pull_answered(self, now: float, store: str, number: int, response: PullResponse | None) -> None:
        """Handles the response to a pull, which follows its messages; None if the store did not answer."""
        if self._comparison.is_comparing(store, number):
            self._comparison.answered(now, store, response)
            return
        takeover = self._takeover_that_asked(store, number)
        if takeover is None:
            return
        if response is None:
            del takeover.asked[store]  # asked again with the next tick
            return
        takeover.pull_answered(store, response.complete)
        self._record_answer(store, takeover, response)
        self.check(now, takeover)

    def message_pulled(self, now: float, pulled: PulledMessage, body: bytes | None) -> None:
        """Adds a message that another store holds and this one did not."""
        ref = pulled.ref
        if ref not in self._state.messages and ref not in self._state.final_states:
            self._state.messages[ref] = replica_of(now, pulled, body)
            self._state.emit(WriteMessage(ref))

    def _record_answer(self, store: str, takeover: Takeover, response: PullResponse) -> None:
        messages = self._state.messages
        for ref in response.refs:
            if (message := messages.get(ref)) is not None:
                message.holders.add(store)
        for ref in response.in_flight:
            is_over = (store, ref) in takeover.finished_deliveries
            if (message := messages.get(ref)) is not None and not is_over:
                message.sender = store
        for ref, attempts in response.attempts.items():
            if (message := messages.get(ref)) is not None:
                message.attempts = max(message.attempts, attempts)

    def check(self, now: float, takeover: Takeover) -> None:
        """Asks for final states once enough stores have answered; opens the shards once all are known."""
        if not takeover.shards or not self._all_answered(takeover):
            return
        self._end_overdue_questions(now, takeover)
        if takeover.questions and not takeover.has_new_answers:
            return
        takeover.has_new_answers = False
        self._ask_final_states(now, takeover)
        if not takeover.questions:
            self.open(now, takeover)

    def _end_overdue_questions(self, now: float, takeover: Takeover) -> None:
        """Stops waiting for late answers if no final state can be only on the stores that do not answer."""
        overdue = {store for store, question in takeover.questions.items() if now > question.until}
        if not overdue or not self._placement.can_open(self._complete_stores(takeover) - overdue):
            return
        for store in overdue:
            takeover.question_ended(store)
        self._log_questions("final_states_unanswered", now, takeover, overdue)

    def _log_questions(self, event: str, now: float, takeover: Takeover, stores: Collection[str]) -> None:
        waited_ms = round(now - takeover.started_at)
        fields = {"shards": sorted(takeover.shards), "stores": sorted(stores), "waited_ms": waited_ms}
        self._state.emit(LogEvent(event, fields))

    def _all_answered(self, takeover: Takeover) -> bool:
        unanswered = self._state.other_stores() - takeover.answered.keys()
        return not unanswered and self._placement.can_open(self._complete_stores(takeover))

    def _complete_stores(self, takeover: Takeover) -> set[str]:
        """Returns the stores that have answered, this one included, whose disks are complete."""
        complete = {name for name, is_complete in takeover.answered.items() if is_complete}
        return complete | ({self._state.me} if self._state.complete else set())

    def _ask_final_states(self, now: float, takeover: Takeover) -> None:
        """Asks each store that has answered a pull which messages have ended, unless it was asked before."""
        refs = {ref for ref in self._refs_of(takeover) if ref not in self._state.final_states}
        until = now + LATE_ANSWER_MS if takeover.has_asked else inf
        asked = set()
        for store in sorted(takeover.answered.keys() - takeover.questions.keys()):
            if unasked := takeover.unasked(store, refs):
                self._ask(takeover, store, unasked, until)
                asked.add(store)
        if asked and takeover.has_asked:
            self._log_questions("final_states_asked_again", now, takeover, asked)
        takeover.has_asked = True

    def _ask(self, takeover: Takeover, store: str, refs: frozenset[str], until: float) -> None:
        question = FinalStateQuestion(self._state.next_round(), refs, until)
        takeover.questions[store] = question
        self._state.emit(AskFinalStates(store, question.number, sorted(refs)))

    def _refs_of(self, takeover: Takeover) -> list[str]:
        messages = self._state.messages.values()
        return [message.ref for message in messages if message.shard in takeover.shards]

    def final_states_answered(
        self, now: float, store: str, number: int, known: dict[str, FinalState] | None
    ) -> None:
        """Handles the final states that were asked for; `known` is None if the store did not answer."""
        takeover = next((one for one in self.in_progress() if one.is_asking(store, number)), None)
        if takeover is None:
            return
        if known is None:
            _, refs, until = takeover.questions[store]
            self._ask(takeover, store, refs, until)
            return
        takeover.question_ended(store)
        for ref, final_state in known.items():
            self._final_states.learn(ref, final_state)
        self.check(now, takeover)

    def open(self, now: float, takeover: Takeover) -> None:
        """Starts to serve the shards, now that all their messages are known."""
        state, shards = self._state, takeover.shards
        for shard in shards:
            state.owned[shard] = state.view.epochs[shard]
            state.takeovers.pop(shard, None)
        self._final_states.adopt(shards)
        for name in takeover.answered:
            self._comparison.record(name, takeover.asked[name].incarnation, shards)
        messages = [message for message in state.messages.values() if message.shard in shards]
        for message in messages:
            self._order.join_key(message)
        waiting = sum(self._resume(now, message) for message in messages)
        self._replication.copy_waiting(now)
        waited_ms = round(now - takeover.started_at)
        fields = {
            "shards": sorted(shards),
            "messages": len(messages),
            "waiting": waiting,
            "waited_ms": waited_ms,
        }
        state.emit(LogEvent("shards_open", fields))
        for shard in sorted(shards):
            self._acceptance.take_parked(now, shard)
        self._order.dispatch(now)

    def _resume(self, now: float, message: Message) -> bool:
        """Continues with a message where the previous owner left it. Returns False if it has ended."""
        state = self._state
        if (final_state := state.final_states.get(message.ref)) is not None:
            self._finalization.finish(now, message, final_state)
            return False
        if not self._placement.is_safe(message):
            message.copied_at = {}
            self._replication.copy_later(message)
        if message.ref in state.in_flight:  # sent from here under an earlier ownership of the shard
            message.sender = state.me
        if message.sender and message.sender in state.view.live_stores:
            self._order.await_sender(now, message)
        else:
            message.sender, message.state = "", State.WAITING
            self._order.enqueue(now, message)
        return True
