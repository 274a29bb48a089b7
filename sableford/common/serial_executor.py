"""Runs blocking calls (disk, pipe) one at a time on a thread, so that they do not block the event loop.

A queued call is replaced by a later one of the same kind. The thread does not touch state of the event loop;
results are returned with `call_soon_threadsafe`.
"""

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from queue import SimpleQueue
from typing import Any


class SerialExecutor:
    """Runs the calls of one event loop in sequence. The thread starts with the first call and is a daemon: a
    call that a faulty disk never completes must not keep the process from exiting."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._kinds: SimpleQueue[str] = SimpleQueue()
        self._lock = threading.Lock()
        self._queued: dict[str, tuple[Callable[[], object], list[asyncio.Future[Any]]]] = {}
        self._thread_started = False

    def submit(self, kind: str, work: Callable[[], object]) -> asyncio.Future[Any]:
        """A future of the result of `work`. If a call of the same kind is queued, `work` replaces it, runs
        once, and both futures get its result."""
        future = asyncio.get_running_loop().create_future()
        with self._lock:
            _, futures = self._queued.pop(kind, (work, []))
            is_queued = bool(futures)
            self._queued[kind] = work, [*futures, future]
        if not is_queued:
            self._kinds.put(kind)
        if not self._thread_started:
            self._thread_started = True
            threading.Thread(target=self._run, name=self._name, daemon=True).start()
        return future

    def _run(self) -> None:
        while True:
            kind = self._kinds.get()
            with self._lock:
                work, futures = self._queued.pop(kind)
            result, problem = None, None
            try:
                result = work()
            except Exception as error:
                problem = error
            with suppress(RuntimeError):  # the loop is closed
                futures[0].get_loop().call_soon_threadsafe(_set_results, futures, result, problem)


def _set_results(futures: list[asyncio.Future[Any]], result: object, problem: Exception | None) -> None:
    for future in futures:
        if future.done():  # cancelled by its waiter
            continue
        if problem is None:
            future.set_result(result)
        else:
            future.set_exception(problem)
