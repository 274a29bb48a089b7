"""Effects that the scheduler returns, carried out by its host."""

from typing import NamedTuple


class Post(NamedTuple):
    """Send the txn to the worker; the posting expires at `until`."""

    txn: int
    worker: int
    until: float


class CallOff(NamedTuple):
    """Cancel one posting."""

    txn: int
    posting: int


class Decline(NamedTuple):
    """Final answer: rejected, safe to retry, preferably after `pause` (0: no advice)."""

    txn: int
    pause: float


class Reverse(NamedTuple):
    """Final answer: failed; it may or may not have taken effect."""

    txn: int


class Wake(NamedTuple):
    """Deliver a Woken event after this many ms."""

    after: float


class Probe(NamedTuple):
    """Request a load report from one worker."""

    worker: int


class NotifyPeers(NamedTuple):
    """Send other schedulers this one's load at a worker, in slots."""

    peers: tuple[int, ...]
    worker: int
    slots: float


class FetchRoster(NamedTuple):
    """Subscribe to roster changes, or if `once` fetch those so far; missed changes come first."""

    once: bool


Effect = Post | CallOff | Decline | Reverse | Wake | Probe | NotifyPeers | FetchRoster
