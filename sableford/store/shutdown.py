"""Decides when a store that is shutting down may exit. No I/O.

Its machine may be about to be replaced and its disk lost, which the store cannot know in advance. So it stays
until everything it holds is on enough other disks. The caller limits the wait to the platform's grace period.

    condition                                              may exit
    work that was begun here is not finished               no
    the view does not contain this incarnation             yes: it is no longer a member
    the view contains no store that stays                  yes: there is no store to copy to
    the view does not mark it dispensable, on the roster   no: it is in use, or has the only copy of something
    the view marks it dispensable, or it is off the roster yes
"""

from sableford.store.queue import Queue


def may_exit(queue: Queue) -> bool:
    """Whether nothing that this store holds is still needed."""
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
