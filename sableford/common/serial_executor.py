"""A thread for calls that a disk or a pipe may hold up, so that the event loop never waits for one.

It owns the order of calls: one under way, the rest behind it, a later one of a kind in place of an earlier
one that waits. It must never touch what the loop owns; a result goes back by `call_soon_threadsafe`.
"""

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from queue import SimpleQueue
from typing import Any


class SerialExecutor:
    """Calls of one loop, run one after the other. The thread starts with the first call and ends with the
    process: one that a disk never gives back must not keep a process from its end."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._kinds: SimpleQueue[str] = SimpleQueue()
        self._lock = threading.Lock()
        self._waiting: dict[str, tuple[Callable[[], object], list[asyncio.Future[Any]]]] = {}
        self._begun = False

    def submit(self, kind: str, work: Callable[[], object]) -> asyncio.Future[Any]:
        """What `work` gives, begun after this call. Where one of this kind waits already, the later work runs
        in its place, once, and both futures get what it gave."""
        future = asyncio.get_running_loop().create_future()
        with self._lock:
            _, futures = self._waiting.pop(kind, (work, []))
            known = bool(futures)
            self._waiting[kind] = work, [*futures, future]
        if not known:
            self._kinds.put(kind)
        if not self._begun:
            self._begun = True
            threading.Thread(target=self._run, name=self._name, daemon=True).start()
        return future

    def _run(self) -> None:
        while True:
            kind = self._kinds.get()
            with self._lock:
                work, futures = self._waiting.pop(kind)
            result, problem = None, None
            try:
                result = work()
            except Exception as raised:
                problem = raised
            with suppress(RuntimeError):  # the loop has ended
                futures[0].get_loop().call_soon_threadsafe(_settle, futures, result, problem)


def _settle(futures: list[asyncio.Future[Any]], result: object, problem: Exception | None) -> None:
    for future in futures:
        if future.done():  # nobody waits for it any more
            continue
        if problem is None:
            future.set_result(result)
        else:
            future.set_exception(problem)
