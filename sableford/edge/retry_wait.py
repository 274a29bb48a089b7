"""Waiting before a retry."""

import asyncio


async def wait_for_event(event: asyncio.Event, timeout_ms: float) -> None:
    """Waits until the event is set or the time-out expires."""
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            await event.wait()
    except TimeoutError:
        pass
