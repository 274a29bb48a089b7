"""The progress of a takeover of shards."""


class Takeover:
    """Shards that are being taken over together, and the answers of the other stores so far.

    `number` is the round of its requests to other stores; `started_at` is ms of the monotonic clock.
    """

    def __init__(self, number: int, shards: set[int], started_at: float) -> None:
        self.number, self.shards, self.started_at = number, shards, started_at
        self.asked: dict[str, str] = {}  # incarnation of each store that was asked
        self.answered: dict[str, bool] = {}  # by store, whether its disk is complete
        self.finished_deliveries: set[tuple[str, str]] = set()  # by store and ref
        self.awaiting_final_states: set[str] | None = None  # from these stores; None before they are asked

    def forget(self, store: str) -> None:
        """Discards the answers of a store that is gone or has restarted; it is asked again."""
        self.asked.pop(store, None)
        self.answered.pop(store, None)
        if self.awaiting_final_states is not None:
            self.awaiting_final_states.discard(store)
