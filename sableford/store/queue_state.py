"""What the parts of one store's queue share: the messages, how they ended, the view, and the effects so far.

| table | who adds to it | who removes from it |
| --- | --- | --- |
| `messages` | `acceptance`, `shard_takeover` | `endings` |
| `accepting` | `acceptance` | `acceptance`, `endings`, `shard_takeover` |
| `ending` | `endings` | `endings` |
| `final_states`, `unsynced_final_states` | `final_state_replication` | `final_state_replication` |
| `owned`, `takeovers` | `shard_takeover` | `shard_takeover` |
| `in_flight` | `delivery_order` | `delivery_results` |
"""

from itertools import count

from sableford.control.view import View, ViewNumber
from sableford.store.messages import Effect, Message
from sableford.store.protocol import FinalState, MessageState
from sableford.store.takeover import Takeover
from sableford.transport.routes import Route, RoutingTable

PENDING, COMPLETE, DEAD_LETTER = "pending", "complete", "dead_letter"  # phases, as clients read them


class QueueState:
    """`complete`: the own disk holds all that it ever said to hold. Times are ms of the steady clock, but for
    `unix`."""

    def __init__(self, name: str, incarnation: str, table: RoutingTable, complete: bool) -> None:
        self.me, self.incarnation, self.table, self.complete = name, incarnation, table, complete
        self.lease = 0.0  # until when this process may act
        self.unix = 0.0  # the time of day, as of the last tick
        self.full = False  # the own disk takes nothing more
        self.view = View()
        self.zone_of: dict[str, str] = {}  # of every store that a view has shown, live or not
        self.unresponsive: set[str] = set()  # stores that have not been heard of lately
        self.messages: dict[str, Message] = {}
        self.accepting: dict[str, None] = {}  # refs of messages in that state, in order
        self.ending: dict[str, None] = {}  # the same
        self.final_states: dict[str, FinalState] = {}
        self.unsynced_final_states: set[str] = set()  # known here, and not on the own disk
        self.owned: dict[int, ViewNumber] = {}  # shards that are served here, and since which epoch
        self.takeovers: dict[int, Takeover] = {}  # under way, by shard
        self.in_flight: dict[str, int] = {}  # sent from here and not over, with their shards
        self._rounds, self._positions = count(1), count(1)
        self._effects: list[Effect] = []

    def emit(self, effect: Effect) -> None:
        """The host is to carry it out."""
        self._effects.append(effect)

    def effects_so_far(self) -> int:
        """How many wait to be taken."""
        return len(self._effects)

    def take_effects(self) -> list[Effect]:
        """All since they were taken last, in order."""
        effects, self._effects = self._effects, []
        return effects

    def next_round(self) -> int:
        """A number for questions to other stores, by which their answers are known."""
        return next(self._rounds)

    def next_position(self) -> int:
        """A number that rises, for the order of messages."""
        return next(self._positions)

    def holds_lease(self, now: float) -> bool:
        """Whether this store may act on its shards."""
        return now < self.lease

    def owns(self, message: Message) -> bool:
        """Whether the message's shard is served here."""
        return message.shard in self.owned

    def is_being_taken_over(self, shard: int) -> bool:
        """Whether the shard is to be served here soon."""
        return shard in self.takeovers

    def other_stores(self) -> set[str]:
        """The live stores but for this one."""
        return self.view.live_stores.keys() - {self.me}

    def incarnation_of(self, store: str) -> str:
        """Which incarnation of another store the view shows. What an earlier one has answered is not true of
        this one: its disk may have gone in between."""
        info = self.view.live_stores.get(store)
        return info.incarnation if info is not None else ""

    def route_of(self, message: Message) -> Route | None:
        """By the configuration in force."""
        return self.table.find(message.header.host, message.header.target.partition("?")[0])

    def final_state(self, phase: str, why: str, seal: str = "") -> FinalState:
        """One that is decided now."""
        return FinalState(phase, seal, why, self.unix)

    def status(self, ref: str) -> MessageState | None:
        """What is known here of a message; None where nothing is."""
        if (final_state := self.final_states.get(ref)) is not None:
            return MessageState(final_state.phase, final_state.seal)
        return MessageState(PENDING) if ref in self.messages else None
