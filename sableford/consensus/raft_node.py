"""The record's decisions: who leads, what is agreed, who may vote. Raft as published (Ongaro, Ousterhout
2014) with pre-vote, leaders that step down without a majority, voters changed one at a time, learners that
fetch.

It owns what one process holds of the record. It has no clock, disk or socket: times, words and the disk's
answers come in, effects go out. What a disk has not said to be stored is never spoken of to others.

Who may vote stands in `STANDING`; a process that is unsure of its own past does not.
"""

import msgspec

from sableford.fleet.record.catch_up import CatchUp
from sableford.fleet.record.constants import HEARTBEAT, LATE_TICK
from sableford.fleet.record.effects import (
    ACKS,
    VOTES,
    Add,
    Answer,
    Cut,
    Effect,
    Held,
    Kept,
    Meta,
    OwnVote,
    Restored,
    Said,
    Send,
    Settled,
    Standing,
    Store,
    Whole,
)
from sableford.fleet.record.elections import Elections
from sableford.fleet.record.membership import Membership
from sableford.fleet.record.offers import Offers
from sableford.fleet.record.replication import Replication
from sableford.fleet.record.startup import Startup
from sableford.fleet.record.words import (
    Append,
    Appended,
    Fetch,
    Fetched,
    Hail,
    Hailed,
    Offer,
    Offered,
    Put,
    Snap,
    Vote,
    Voted,
    Words,
)


class Record(Startup, Elections, Replication, Membership, CatchUp, Offers):
    """One process's side. `tick` at `due`, `heard` for each word, `stored` and `failed` from the disk."""

    # Time

    def tick(self, now: float) -> list[Effect]:
        out: list[Effect] = []
        if self._whole_due:
            self._whole_due = False
            out += self._keep(self._whole())
        if now - self._last_tick > LATE_TICK + HEARTBEAT and not self.leads:
            self._due_at = max(self._due_at, self._election(now))  # it stood still itself
        self._last_tick = now
        if self.standing in (Standing.NEW, Standing.HAILING) and now >= self._hail_at:
            out += self._hail(now)
        if self.standing in (Standing.STRANGER, Standing.LEARNER) and self._is_voter(self.name, self.id):
            out += self._voter_again()
        if self.leads:
            out += self._lead(now)
        elif self.standing in VOTES and now >= self._due_at and self._is_voter(self.name, self.id):
            out += self._stand(now)
        elif not self._is_voter(self.name, self.id) or self._fetching is not None or self._leaderless(now):
            out += self._pull(now)
        self._forget_served(now)
        out += self._repeat(now)
        waits = not self.leads and self._is_voter(self.name, self.id)
        self.due = min(now + HEARTBEAT, max(now + 1.0, self._due_at)) if waits else now + HEARTBEAT
        return out

    def met(self, now: float) -> None:
        """A way to another process is open: what waits for its answer asks now."""
        if self.standing in (Standing.NEW, Standing.HAILING):
            self._hail_at = self.due = now

    # Messages

    def heard(self, now: float, sender: str, birth: int, word: Words) -> list[Effect]:
        """A word from another process of the fleet."""
        match word:
            case Hail():
                return self._hailed(now, sender, word)
            case Hailed():
                return self._weighed(now, sender, word)
            case Vote():
                return self._asked(now, sender, word)
            case Voted():
                return self._counted(now, sender, word)
            case Append():
                return self._appended(now, sender, word)
            case Appended():
                return self._followed(now, sender, word)
            case Fetch():
                return self._fetched(now, sender, word)
            case Fetched():
                return self._learned(now, sender, word)
            case Snap():
                return self._piece(now, sender, word)
            case Offer():
                return self._offered(now, sender, birth, word)
            case Offered():
                return self._ended(now, word)
        return []


def put(key: str, value: bytes | None, after: int = -1) -> bytes:
    """The data of an entry that sets a key."""
    return msgspec.msgpack.encode(Put(key, value, after))


__all__ = [
    "ACKS",
    "VOTES",
    "Add",
    "Answer",
    "Cut",
    "Effect",
    "Held",
    "Kept",
    "Meta",
    "OwnVote",
    "Record",
    "Restored",
    "Said",
    "Send",
    "Settled",
    "Standing",
    "Store",
    "Whole",
    "put",
]
