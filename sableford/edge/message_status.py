"""Derives the state of a message from the responses of several stores. No I/O.

A final state is valid whichever store reports it. That a message is pending or unknown is valid if the owner
of its shard reports it, or if so many stores have answered that one of them would know a final state. A store
that has lost its disk knows nothing, and does not count towards that number until it is complete again.
"""

from collections.abc import Sequence
from typing import NamedTuple

from sableford.store.protocol import StatusResponse


class StoreResponse(NamedTuple):
    """One store's response. `is_complete`: its disk holds everything that it ever acknowledged."""

    response: StatusResponse
    is_complete: bool = True


def conclusive_response(
    responses: Sequence[StoreResponse], owner_response: StatusResponse | None, sufficient: int
) -> StatusResponse | None:
    """The conclusive response so far, or None. `owner_response` is the one, also in `responses`, of the store
    that the view names as owner; of `sufficient` complete stores at least one knows any final state.

    >>> from sableford.store.protocol import MessageState
    >>> pending = StatusResponse(MessageState("pending"))
    >>> ended = StatusResponse(MessageState("complete", "s"))
    >>> def given(*responses): return [StoreResponse(response) for response in responses]
    >>> conclusive_response(given(pending), None, 2)
    >>> conclusive_response(given(pending, ended), None, 3) is ended
    True
    >>> conclusive_response(given(pending), pending, 2) is pending
    True
    >>> conclusive_response(given(StatusResponse(), pending), None, 2) is pending
    True
    >>> conclusive_response([*given(StatusResponse()), StoreResponse(StatusResponse(), False)], None, 2)
    """
    received = [one.response for one in responses]
    ended = next((response for response in received if response.has_ended()), None)
    if ended is not None:
        return ended
    if (
        owner_response is not None
        and owner_response.state is not None
        and owner_response.is_owner is not False
    ):
        return owner_response
    if sum(one.is_complete for one in responses) < max(1, sufficient):
        return None
    return next((response for response in received if response.state is not None), received[0])
