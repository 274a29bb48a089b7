"""The calls of one connection that wait for their responses. No I/O.

The number of a call is unique in the process, across all connections. A response is matched by that number
only. One that matches no pending call of its connection (duplicate, late, of another connection, unsolicited)
is dropped.

    >>> from concurrent.futures import Future as PlainFuture
    >>> calls, future = PendingCalls(), PlainFuture()
    >>> number = calls.next_number()
    >>> calls.add(number, future, lambda frame: frame.head.decode())
    >>> frame = Frame(Envelope(), b"yes")
    >>> calls.resolve(number, frame), calls.resolve(number, frame), calls.resolve(number + 1, frame)
    (True, False, False)
    >>> future.result(), len(calls)
    ('yes', 0)
"""

import itertools
from asyncio import Future
from collections.abc import Callable
from typing import Any, ClassVar, NamedTuple

from sableford.transport.errors import CallError
from sableford.transport.frames import Envelope, Frame

__all__ = ["Envelope", "PendingCalls"]


class PendingCall(NamedTuple):
    """`decode` converts the frame into the result of the future, or raises CallError."""

    future: "Future[Any]"
    decode: Callable[[Frame], Any]


class PendingCalls:
    """The pending calls by number. A call is removed when its future is done in any way."""

    _numbers: ClassVar["itertools.count[int]"] = itertools.count(1)  # shared by the whole process

    def __init__(self) -> None:
        self._calls: dict[int, PendingCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def next_number(self) -> int:
        """Returns a number for a new call."""
        return next(self._numbers)

    def add(self, number: int, future: "Future[Any]", decode: Callable[[Frame], Any]) -> None:
        """Registers the call `number`; `future` gets its response, decoded by `decode`."""
        self._calls[number] = PendingCall(future, decode)
        future.add_done_callback(lambda done: self._calls.pop(number, None))

    def resolve(self, number: int, frame: Frame) -> bool:
        """Completes the call with a response; returns False if no such call is pending."""
        call = self._calls.pop(number, None)
        if call is None or call.future.done():
            return False
        try:
            call.future.set_result(call.decode(frame))
        except CallError as problem:
            call.future.set_exception(problem)
        return True

    def fail_all(self, make_error: Callable[[], CallError]) -> None:
        """Fails all pending calls, because the connection has ended."""
        calls, self._calls = list(self._calls.values()), {}
        for call in calls:
            if not call.future.done():
                call.future.set_exception(make_error())
