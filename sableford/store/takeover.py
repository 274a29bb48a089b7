"""The progress of taking shards over."""


class Takeover:
    """Shards that are being taken over together: whom to ask, who has answered, what is known.

    `number` is that of its questions to other stores. `begun_at`: ms of the steady clock."""

    def __init__(self, number: int, shards: set[int], begun_at: float) -> None:
        self.number, self.shards, self.begun_at = number, shards, begun_at
        self.asked: dict[str, str] = {}  # stores with their incarnation
        self.answered: dict[str, bool] = {}  # stores, and whether their disk is complete
        self.finished_deliveries: set[tuple[str, str]] = set()  # by store and ref: known to be over
        self.awaiting_final_states: set[str] | None = None  # stores; None before they are asked

    def forget(self, store: str) -> None:
        """The store has gone, or has another incarnation: it is asked anew."""
        self.asked.pop(store, None)
        self.answered.pop(store, None)
        if self.awaiting_final_states is not None:
            self.awaiting_final_states.discard(store)
