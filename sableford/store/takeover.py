"""The progress of a takeover of shards."""

from collections.abc import Collection
from typing import NamedTuple


class FinalStateQuestion(NamedTuple):
    """A question to a store which of these messages have ended.

    `number` relates the answer to it. After `until` (ms of the monotonic clock) the answer is not waited for
    any more if the other stores suffice.
    """

    number: int
    refs: frozenset[str]
    until: float


class PullQuestion(NamedTuple):
    """A question to one incarnation of a store what it holds. `number` relates the answer to it."""

    number: int
    incarnation: str


class Takeover:
    """Shards that are being taken over together, and the answers of the other stores so far.

    `started_at` is ms of the monotonic clock.

    Stores may come into the view until the shards open. Every store that has answered a pull is asked for the
    final states of all messages, also of those that were pulled later.
    """

    def __init__(self, shards: set[int], started_at: float) -> None:
        self.shards, self.started_at = shards, started_at
        self.asked: dict[str, PullQuestion] = {}  # answered or not, by store
        self.answered: dict[str, bool] = {}  # by store, whether its disk is complete
        self.finished_deliveries: set[tuple[str, str]] = set()  # by store and ref
        self.questions: dict[str, FinalStateQuestion] = {}  # unanswered ones, by store
        self.has_new_answers = False  # pulls were answered since the last questions
        self.has_asked = False  # the first questions were asked
        self._final_states_known: dict[str, set[str]] = {}  # by store: the refs of its ended questions

    def was_asked(self, store: str, number: int) -> bool:
        """Whether this is the number of the last question to a store what it holds."""
        question = self.asked.get(store)
        return question is not None and question.number == number

    def pull_answered(self, store: str, is_complete: bool) -> None:
        """Records the answer of a store to a pull."""
        self.answered[store] = is_complete
        self.has_new_answers = True

    def unasked(self, store: str, refs: Collection[str]) -> frozenset[str]:
        """Returns those of the refs for which a store has not answered a question."""
        return frozenset(refs) - self._final_states_known.get(store, set())

    def is_asking(self, store: str, number: int) -> bool:
        """Whether this is the number of the unanswered question to a store."""
        question = self.questions.get(store)
        return question is not None and question.number == number

    def question_ended(self, store: str) -> None:
        """Records that the question to a store was answered, or is no longer waited for."""
        question = self.questions.pop(store)
        self._final_states_known.setdefault(store, set()).update(question.refs)

    def forget(self, store: str) -> None:
        """Discards the answers of a store that is gone or has restarted; it is asked again."""
        self.asked.pop(store, None)
        self.answered.pop(store, None)
        self.questions.pop(store, None)
        self._final_states_known.pop(store, None)
