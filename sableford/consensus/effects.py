"""What a folder held, what the record asks of its host, and whether it may vote."""

from enum import Enum
from typing import NamedTuple

from sableford.fleet.record.machine import Image
from sableford.fleet.record.words import Entry, Words


class Standing(Enum):
    """Whether this process may vote, and if not, why. What it says to others is true in each of them."""

    LEARNER = "not a voter"
    NEW = "waits for all voters to be new too"
    HAILING = "asks the others how far it was"
    SOUND = "votes"
    MAIMED = "fetches what its disk lost"
    STRANGER = "its folder was lost or set back; it comes back as a newcomer"
    NO_DISK = "its disk does not take what it must keep"


VOTES = {Standing.SOUND}


ACKS = {Standing.SOUND, Standing.MAIMED, Standing.NEW, Standing.HAILING}  # what it holds it does hold


class Held(NamedTuple):
    """What a folder held at the start. `lost` is what it must once have held beyond that: a term and an
    entry."""

    id: str
    term: int = 0
    vote: str = ""
    image: Image | None = None
    first: int = 1  # the index of the first entry, and the term of the one before it
    before: int = 0
    entries: tuple[Entry, ...] = ()
    lost: tuple[int, int] | None = None


class Send(NamedTuple):
    to: str
    word: Words


class Store(NamedTuple):
    """To be on disk, in this order, before `stored(number)` is called."""

    number: int
    deeds: tuple


class Meta(NamedTuple):
    term: int
    vote: str


class Add(NamedTuple):
    index: int
    entry: Entry


class Cut(NamedTuple):
    """Entries after `index` go."""

    index: int


class Whole(NamedTuple):
    """Everything anew: another id, or a snapshot in place of what was there."""

    id: str
    meta: Meta
    image: Image | None
    first: int
    before: int
    entries: tuple[Entry, ...]
    lost: tuple[int, int] | None = None  # still, of an earlier start


class Answer(NamedTuple):
    """An offer made here has its end: where it stands, or why not."""

    number: int
    yes: bool
    index: int
    why: str


class Settled(NamedTuple):
    """One more entry is in force here."""

    index: int
    entry: Entry
    held: bool


class Restored(NamedTuple):
    """A snapshot was fetched: all that entries up to `index` add up to is in force here."""

    index: int


class Said(NamedTuple):
    """For people."""

    event: str
    facts: dict


Effect = Send | Store | Answer | Settled | Restored | Said


class Kept(NamedTuple):
    last: int
    term: int


class OwnVote(NamedTuple):
    """The own vote counts from here on."""

    term: int
