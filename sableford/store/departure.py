"""What a store that was told to end waits for before it ends. No I/O.

Its machine may be replaced and its disk gone for good, and nobody can say so beforehand. So it stays until
all that it holds is on enough other disks; the caller bounds the wait by the grace that the platform gives.

    the view                                  may end once
    any, and something begun here is not over never
    does not show this life                   at once: it is a member no more
    shows no store that stays                 at once: there is nobody to copy to
    shows this store as one that is needed    never: it is in use, or something is only here
    shows it as dispensable, or off the roster     at once
"""

from sableford.store.queue import Queue


def may_end(queue: Queue) -> bool:
    """Whether nothing that this store holds is needed any more."""
    if queue.is_busy():
        return False
    view = queue.state.view
    own = view.live_stores.get(queue.state.me)
    if own is None or own.incarnation != queue.state.incarnation:
        return True
    staying = [name for name, one in view.live_stores.items() if not one.leaving and name != queue.state.me]
    if not staying:
        return True
    return own.leaving and (queue.state.me in view.dispensable or queue.state.me not in view.roster)
