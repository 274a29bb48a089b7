"""The wait before something is tried again."""

import asyncio


async def wait_for(changed: asyncio.Event, timeout_ms: float) -> None:
    """Until it is set, or the time is over."""
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            await changed.wait()
    except TimeoutError:
        pass
