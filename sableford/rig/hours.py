"""Clock of a run."""

import asyncio


class Hours:
    """Milliseconds since the start of the load."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.zero = self._loop.time()

    def now(self) -> float:
        return (self._loop.time() - self.zero) * 1000.0
