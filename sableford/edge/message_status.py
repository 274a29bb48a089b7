"""Which of several stores' responses on a message's state holds. No I/O.

A final state is final wherever it is known. That a message is pending, or unknown, is for the owner of its
shard to say, or for so many others that one who knew of a final state would be among them. A store that has
lost its disk knows of nothing, and does not count among these before it is complete again.
"""

from collections.abc import Sequence
from typing import NamedTuple

from sableford.store.protocol import StatusResponse


class StoreResponse(NamedTuple):
    """One store's response. `is_complete`: its disk holds all that it ever said to hold."""

    response: StatusResponse
    is_complete: bool = True


def final_response(
    heard: Sequence[StoreResponse], of_owner: StatusResponse | None, sufficient: int
) -> StatusResponse | None:
    """The response that holds, by now. `of_owner`, among those heard, is from whom the view names owner;
    `sufficient` is how many complete stores are sure to include one that knows.

    >>> from sableford.store.protocol import MessageState
    >>> pending = StatusResponse(MessageState("pending"))
    >>> ended = StatusResponse(MessageState("complete", "s"))
    >>> def hear(*responses): return [StoreResponse(response) for response in responses]
    >>> final_response(hear(pending), None, 2), final_response(hear(pending, ended), None, 3) is ended
    (None, True)
    >>> final_response(hear(pending), pending, 2) is pending
    True
    >>> final_response(hear(StatusResponse(), pending), None, 2) is pending
    True
    >>> final_response([*hear(StatusResponse()), StoreResponse(StatusResponse(), False)], None, 2)
    """
    responses = [one.response for one in heard]
    ended = next((response for response in responses if response.has_ended()), None)
    if ended is not None:
        return ended
    if of_owner is not None and of_owner.state is not None and of_owner.is_owner is not False:
        return of_owner
    if sum(one.is_complete for one in heard) < max(1, sufficient):
        return None
    return next((response for response in responses if response.state is not None), responses[0])
