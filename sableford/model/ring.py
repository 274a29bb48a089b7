"""Consistent hashing and member selection: all that know the same list agree without messages."""

from bisect import bisect, insort
from collections.abc import Iterable, Iterator
from math import gcd


class Ring:
    """Consistent-hash ring. Adding or removing a worker moves no other worker's keys."""

    def __init__(self) -> None:
        self._points: list[tuple[int, int]] = []

    def place(self, worker: int, points: Iterable[int]) -> None:
        for point in points:
            insort(self._points, (point, worker))

    def drop(self, worker: int) -> None:
        self._points = [point for point in self._points if point[1] != worker]

    def after(self, point: int) -> Iterator[int]:
        """Yields each worker once, from this point on.

        >>> ring = Ring(); ring.place(1, [10, 30]); ring.place(2, [20])
        >>> list(ring.after(15)), list(ring.after(31))
        ([2, 1], [1, 2])
        """
        start, seen = bisect(self._points, (point, 0)), set()
        for at in range(len(self._points)):
            worker = self._points[(start + at) % len(self._points)][1]
            if worker not in seen:
                seen.add(worker)
                yield worker


def select_members(number: int, members: int, size: int) -> tuple[int, ...]:
    """Selects `size` of the members by a number.

    >>> select_members(7, 4, 3), select_members(7, 4, 9)
    ((3, 2, 1), (3, 2, 1, 0))
    """
    step = 1 + number // members % max(1, members - 1)
    while gcd(step, members) > 1:
        step += 1
    return tuple((number + at * step) % members for at in range(min(members, size)))
