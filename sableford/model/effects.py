"""What the core asks for."""

from typing import NamedTuple


class Post(NamedTuple):
    """Send the txn to the worker; the posting is given up at `until`."""

    txn: int
    worker: int
    until: float


class CallOff(NamedTuple):
    """Stop waiting for one posting."""

    txn: int
    posting: int


class Decline(NamedTuple):
    """Final: trying again is harmless, best after `pause` (0: no advice)."""

    txn: int
    pause: float


class Reverse(NamedTuple):
    """Final: failed, with no word on whether it took effect."""

    txn: int


class Wake(NamedTuple):
    """Send Woken after this long."""

    after: float


class Probe(NamedTuple):
    """Ask one worker for its figures."""

    worker: int


class Tell(NamedTuple):
    """Tell some other schedulers what this one has out at a worker now, in slots."""

    peers: tuple[int, ...]
    worker: int
    slots: float


class Follow(NamedTuple):
    """Ask for the roster's changes from now on, or `once` those until now; what was missed first."""

    once: bool


Effect = Post | CallOff | Decline | Reverse | Wake | Probe | Tell | Follow
