"""The state shared by the parts of a queue: messages, final states, the view, and the effects to carry out.

| table | added to by | removed from by |
| --- | --- | --- |
| `messages` | `acceptance`, `shard_takeover` | `message_finalization` |
| `accepting` | `acceptance` | `acceptance`, `message_finalization`, `shard_takeover` |
| `ending` | `message_finalization` | `message_finalization` |
| `final_states`, `unsynced_final_states` | `final_state_replication` | `final_state_replication` |
| `owned`, `takeovers` | `shard_takeover` | `shard_takeover` |
| `in_flight` | `delivery_order` | `delivery_results` |
"""

from itertools import count
from typing import NamedTuple

from sableford.control.view import View, ViewNumber
from sableford.store.messages import Effect, Message
from sableford.store.protocol import FinalState, MessageState
from sableford.store.takeover import Takeover
from sableford.transport.routes import Route, RoutingTable

PENDING, COMPLETE, DEAD_LETTER = "pending", "complete", "dead_letter"  # phases, as clients read them


class InFlightDelivery(NamedTuple):
    """A delivery that was sent from here; `until` is its deadline."""

    shard: int
    until: float


class QueueState:
    """`complete`: the local disk still holds all that it ever confirmed. Times are ms of the monotonic clock,
    except `unix`."""

    def __init__(self, name: str, incarnation: str, table: RoutingTable, complete: bool) -> None:
        self.me, self.incarnation, self.table, self.complete = name, incarnation, table, complete
        self.lease = 0.0  # until when this store may act on its shards
        self.unix = 0.0  # the time of day, as of the last tick
        self.full = False  # the local disk takes no more messages
        self.view = View()
        self.zone_of: dict[str, str] = {}  # of every store that any view has contained, live or not
        self.unresponsive: set[str] = set()  # stores that have not responded recently
        self.messages: dict[str, Message] = {}
        self.accepting: dict[str, None] = {}  # refs of messages in state ACCEPTING, in order
        self.ending: dict[str, None] = {}  # refs of messages in state ENDING, in order
        self.final_states: dict[str, FinalState] = {}
        self.unsynced_final_states: set[str] = set()  # refs whose final state is not on the local disk
        self.owned: dict[int, ViewNumber] = {}  # shards that are served here, with the epoch since when
        self.takeovers: dict[int, Takeover] = {}  # in progress, by shard
        self.in_flight: dict[str, InFlightDelivery] = {}  # sent from here, until the owner knows the result
        self._rounds, self._positions = count(1), count(1)
        self._effects: list[Effect] = []

    def emit(self, effect: Effect) -> None:
        """Adds an effect for the host to carry out."""
        self._effects.append(effect)

    def effects_so_far(self) -> int:
        """Returns how many effects wait to be taken."""
        return len(self._effects)

    def take_effects(self) -> list[Effect]:
        """Returns the effects since the last call, in order."""
        effects, self._effects = self._effects, []
        return effects

    def next_round(self) -> int:
        """Returns a number that relates requests to other stores to their responses."""
        return next(self._rounds)

    def next_position(self) -> int:
        """Returns an increasing number, for the order of messages."""
        return next(self._positions)

    def holds_lease(self, now: float) -> bool:
        """Whether this store may act on its shards."""
        return now < self.lease

    def owns(self, message: Message) -> bool:
        """Whether the message's shard is served here."""
        return message.shard in self.owned

    def is_being_taken_over(self, shard: int) -> bool:
        """Whether this store is taking the shard over."""
        return shard in self.takeovers

    def other_stores(self) -> set[str]:
        """Returns the live stores except this one."""
        return self.view.live_stores.keys() - {self.me}

    def is_live(self, store: str) -> bool:
        """Whether the view shows the store. What another one confirms is discarded: it is gone, and by the
        time that its successor comes into the view its disk may have been replaced."""
        return store in self.view.live_stores

    def incarnation_of(self, store: str) -> str:
        """Returns the incarnation of a store in the view, or ""."""
        info = self.view.live_stores.get(store)
        return info.incarnation if info is not None else ""

    def route_of(self, message: Message) -> Route | None:
        """Returns the route of a message under the configuration in force."""
        return self.table.find(message.header.host, message.header.target.partition("?")[0])

    def final_state(self, phase: str, why: str, seal: str = "") -> FinalState:
        """Returns a final state that is decided now."""
        return FinalState(phase, seal, why, self.unix)

    def status(self, ref: str) -> MessageState | None:
        """Returns what is known here about a message; None if nothing is."""
        if (final_state := self.final_states.get(ref)) is not None:
            return MessageState(final_state.phase, final_state.seal)
        return MessageState(PENDING) if ref in self.messages else None
