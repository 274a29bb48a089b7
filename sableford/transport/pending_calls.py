"""The calls of one connection that wait for their responses. No I/O.

Each call has a number that no other call of this process has ever had, on whatever connection. A response
is matched by that number and by nothing else: one that names no waiting call of its own connection (sent
twice, too late, of another connection, never asked for) is dropped.

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
    """`decode` makes the result of the future from the frame, or raises CallError."""

    future: "Future[Any]"
    decode: Callable[[Frame], Any]


class PendingCalls:
    """A call whose future is done in any way (answered, given up, cancelled) leaves nothing behind here."""

    _numbers: ClassVar["itertools.count[int]"] = itertools.count(1)  # of the whole process

    def __init__(self) -> None:
        self._calls: dict[int, PendingCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def next_number(self) -> int:
        """A number for a new call."""
        return next(self._numbers)

    def add(self, number: int, future: "Future[Any]", decode: Callable[[Frame], Any]) -> None:
        """`future` gets what `decode` makes of the response to call `number`."""
        self._calls[number] = PendingCall(future, decode)
        future.add_done_callback(lambda done: self._calls.pop(number, None))

    def resolve(self, number: int, frame: Frame) -> bool:
        """Whether a response to that call was waited for."""
        call = self._calls.pop(number, None)
        if call is None or call.future.done():
            return False
        try:
            call.future.set_result(call.decode(frame))
        except CallError as problem:
            call.future.set_exception(problem)
        return True

    def fail_all(self, make_error: Callable[[], CallError]) -> None:
        """The connection has ended: none will be answered."""
        calls, self._calls = list(self._calls.values()), {}
        for call in calls:
            if not call.future.done():
                call.future.set_exception(make_error())
