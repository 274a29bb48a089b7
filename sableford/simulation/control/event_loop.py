"""A deterministic asyncio event loop in virtual time, without sockets or threads.

Each callback belongs to the process in whose context it was scheduled. Callbacks of a frozen process are
deferred until it is thawed; those of a dead process never run.
"""

import asyncio
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from enum import Enum
from typing import Any

START_S = 1000.0  # initial value of the monotonic clock: any number far from zero


class ProcessState(Enum):
    """Whether the callbacks of a process run, are deferred or are dropped."""

    RUNNING = "running"
    FROZEN = "frozen"
    DEAD = "dead"


class Process:
    """One incarnation of a program: the context and the state that its callbacks run in."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.state = ProcessState.RUNNING
        self.deferred: deque[asyncio.Handle] = deque()
        self.context = copy_context()
        self.context.run(PROCESS.set, self)


PROCESS: ContextVar[Process | None] = ContextVar("process", default=None)


class SimulatedLoop(asyncio.AbstractEventLoop):
    """`run_until(time_s)` runs all callbacks that are due until then. `on_error(process, error)` gets the
    exceptions that they raise. `connect` and `listen` are set by the simulated network."""

    def __init__(self, on_error: Callable[[Process | None, BaseException], None]) -> None:
        self._now = START_S
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._order = itertools.count()
        self._on_error = on_error
        self._tasks: set[asyncio.Task] = set()
        self._stopped = False
        self.connect: Callable[..., Coroutine] | None = None
        self.listen: Callable[..., None] | None = None

    # Time and callbacks

    def time(self) -> float:
        return self._now

    def call_soon(self, callback: Callable, *args: Any, context: Context | None = None) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    call_soon_threadsafe = call_soon

    def call_later(
        self, delay: float, callback: Callable, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self._now + delay, callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._timers, (when, next(self._order), handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Cancelled timers are skipped when they are due."""

    def run_until(self, until_s: float) -> None:
        """Runs all callbacks that are due until then, in order of time."""
        asyncio._set_running_loop(self)
        try:
            while not self._stopped:
                while self._ready and not self._stopped:
                    self._run(self._ready.popleft())
                if not self._timers or self._timers[0][0] > until_s:
                    break
                when, _, handle = heapq.heappop(self._timers)
                self._now = max(self._now, when)
                self._run(handle)
            self._now = max(self._now, until_s) if not self._stopped else self._now
        finally:
            asyncio._set_running_loop(None)

    def _run(self, handle: asyncio.Handle) -> None:
        if handle._cancelled:
            return
        process = handle._context.get(PROCESS)
        if process is not None and process.state is not ProcessState.RUNNING:
            if process.state is ProcessState.FROZEN:
                process.deferred.append(handle)
            return
        try:
            handle._context.run(handle._callback, *handle._args)
        except Exception as error:
            self._on_error(process, error)

    def thaw(self, process: Process) -> None:
        """Resumes a process: callbacks that came due while it was frozen run now."""
        process.state = ProcessState.RUNNING
        self._ready.extend(process.deferred)
        process.deferred.clear()

    # Interface of asyncio event loops

    def create_future(self) -> asyncio.Future:
        return asyncio.Future(loop=self)

    def create_task(self, coroutine: Coroutine, *, name: str | None = None, context: Context | None = None):
        task = asyncio.Task(coroutine, loop=self, name=name, context=context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def create_connection(self, factory: Callable, host: str, port: int, **options: Any) -> tuple:
        return await self.connect(PROCESS.get(), factory, host, port)

    async def create_server(self, factory: Callable, host: str, port: int, **options: Any) -> None:
        self.listen(PROCESS.get(), factory, host, port)

    def add_signal_handler(self, sign: int, callback: Callable, *args: Any) -> None:
        """The simulation calls the handler's method instead of sending a signal."""

    def set_exception_handler(self, handler: Callable | None) -> None:
        """Exceptions go to `on_error`."""

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None and not self._stopped:
            self._on_error(PROCESS.get(), error)

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return not self._stopped

    def stop(self) -> None:
        self._stopped = True

    def is_closed(self) -> bool:
        return self._stopped

    def close(self) -> None:
        """Drops pending tasks without a warning: their processes have ended."""
        self._stopped = True
        self._ready.clear()
        self._timers.clear()
        for task in self._tasks:
            task._log_destroy_pending = False
        self._tasks.clear()
