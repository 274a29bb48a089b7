"""Clock of a run."""

import asyncio


class RunClock:
    """Milliseconds since the start of the load."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.origin = self._loop.time()

    def now(self) -> float:
        return (self._loop.time() - self.origin) * 1000.0
