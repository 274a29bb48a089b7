"""Which of several stores' responses on a message's state holds. No I/O.

A final state is final wherever it is known. That a message is pending, or unknown, is for the owner of its
shard to say, or for so many others that one who knew of a final state would be among them.
"""

from collections.abc import Sequence

from sableford.store.protocol import StatusResponse


def final_response(
    responses: Sequence[StatusResponse], of_owner: StatusResponse | None, sufficient: int
) -> StatusResponse | None:
    """The response that holds, by now. `of_owner`, among `responses`, is from whom the view names owner;
    `sufficient` is how many stores are sure to include one that knows.

    >>> from sableford.store.protocol import MessageState
    >>> pending = StatusResponse(MessageState("pending"))
    >>> ended = StatusResponse(MessageState("complete", "s"))
    >>> final_response([pending], None, 2), final_response([pending, ended], None, 3) is ended
    (None, True)
    >>> final_response([pending], pending, 2) is pending
    True
    >>> final_response([StatusResponse(), pending], None, 2) is pending
    True
    """
    ended = next((response for response in responses if response.has_ended()), None)
    if ended is not None:
        return ended
    if of_owner is not None and of_owner.state is not None and of_owner.is_owner is not False:
        return of_owner
    if len(responses) < max(1, sufficient):
        return None
    return next((response for response in responses if response.state is not None), responses[0])
