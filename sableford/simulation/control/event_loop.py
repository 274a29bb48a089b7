"""An asyncio event loop in virtual time: no sockets, no threads, the same run for the same inputs.

Each callback belongs to the process whose context it was scheduled in. Those of a frozen process wait until
it is thawed, those of a dead one never run.
"""

import asyncio
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from enum import Enum
from typing import Any

START_S = 1000.0  # where the steady clock begins: any number far from zero


class Run(Enum):
    """What the scheduler of a machine does with a process."""

    RUNNING = "running"
    FROZEN = "frozen"
    DEAD = "dead"


class Process:
    """One life of a program: the context that its callbacks run in, and whether they run."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.state = Run.RUNNING
        self.held: deque[asyncio.Handle] = deque()
        self.context = copy_context()
        self.context.run(PROCESS.set, self)


PROCESS: ContextVar[Process | None] = ContextVar("process", default=None)


class SimulatedLoop(asyncio.AbstractEventLoop):
    """`run_until(time_s)` plays all callbacks due until then. `on_error(process, problem)` gets what they
    raise; `connect` and `listen` are the network's."""

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
        """Cancelled timers are passed over when they come up."""

    def run_until(self, until_s: float) -> None:
        """All that is due until then, in order of time."""
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
        if process is not None and process.state is not Run.RUNNING:
            if process.state is Run.FROZEN:
                process.held.append(handle)
            return
        try:
            handle._context.run(handle._callback, *handle._args)
        except Exception as problem:
            self._on_error(process, problem)

    def thaw(self, process: Process) -> None:
        """What became due while it stood still is due now."""
        process.state = Run.RUNNING
        self._ready.extend(process.held)
        process.held.clear()

    # What asyncio asks of a loop

    def create_future(self) -> asyncio.Future:
        return asyncio.Future(loop=self)

    def create_task(self, work: Coroutine, *, name: str | None = None, context: Context | None = None):
        task = asyncio.Task(work, loop=self, name=name, context=context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def create_connection(self, factory: Callable, host: str, port: int, **given: Any) -> tuple:
        return await self.connect(PROCESS.get(), factory, host, port)

    async def create_server(self, factory: Callable, host: str, port: int, **given: Any) -> None:
        self.listen(PROCESS.get(), factory, host, port)

    def add_signal_handler(self, sign: int, callback: Callable, *args: Any) -> None:
        """Signals are calls of the process's own methods here."""

    def set_exception_handler(self, handler: Callable | None) -> None:
        """Exceptions go to `on_error`."""

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        problem = context.get("exception")
        if problem is not None and not self._stopped:
            self._on_error(PROCESS.get(), problem)

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return not self._stopped

    def stop(self) -> None:
        self._stopped = True

    def is_closed(self) -> bool:
        return self._stopped

    def close(self) -> None:
        """Tasks that are under way end without a word: their processes are over."""
        self._stopped = True
        self._ready.clear()
        self._timers.clear()
        for task in self._tasks:
            task._log_destroy_pending = False
        self._tasks.clear()
