"""The configuration in the record, and proposals for the next version."""

import asyncio
from collections.abc import Callable
from typing import Any

from sableford.consensus.constants import KEY_CHANGED, OUTCOME_FORGOTTEN
from sableford.consensus.raft_node import put
from sableford.control import order_history, orders
from sableford.control.order_process import ProposalOutcome
from sableford.control.protocol import ConfigurationVersion
from sableford.control.record_driver import MAX_VALUE_BYTES, RecordDriver

CONFIGURATION_KEY = "config"  # of the record's values


class ConfigurationKeeper:
    """`on_changed` is called with each version that comes into force."""

    def __init__(
        self,
        driver: RecordDriver,
        unix_ms: Callable[[], float],
        on_changed: Callable[[ConfigurationVersion], None],
    ) -> None:
        self._driver, self._unix_ms, self._on_changed = driver, unix_ms, on_changed
        self._loop = asyncio.get_running_loop()
        self.state = orders.State()
        self._index = 0  # of the record's entry that set it
        self._archive = order_history.Archive()
        self._segments: dict[str, int] = {}  # keys of the archive, with the index of the entry that set them
        self._archiving: set[asyncio.Task[Any]] = set()
        self._proposals: dict[int, asyncio.Future[None]] = {}  # in flight, by the entry they would replace

    def apply(self, values: dict[str, Any]) -> None:
        """Takes the record's current values."""
        self._apply_archive(values)
        value = values.get(CONFIGURATION_KEY)
        if value is None or value.index == self._index:
            return
        self._index = value.index
        self.state = orders.State.load(value.data, self._archive, value.index)
        self._on_changed(ConfigurationVersion(self.state.revision, self.state.doc))

    def _apply_archive(self, values: dict[str, Any]) -> None:
        """Reads the segments of the order history again if one was written or deleted."""
        keys = {key: value.index for key, value in values.items() if key.startswith(order_history.PREFIX)}
        if keys == self._segments:
            return
        segments = [order_history.load_segment(values[key].data) for key in keys]
        self._segments, self._archive = keys, order_history.Archive(segments)
        self.state = self.state._replace(archive=self._archive)

    async def propose(self, state: orders.State, timeout_ms: float) -> ProposalOutcome:
        """Proposes a configuration, to replace the one that it was derived from."""
        earlier = self._proposals.get(state.entry)
        if earlier is not None:
            # Only one of the two can succeed. This one is not written; its caller decides again afterwards.
            await asyncio.wait([earlier], timeout=timeout_ms / 1000.0)
            return ProposalOutcome.SUPERSEDED if earlier.done() else ProposalOutcome.REFUSED
        ended = self._proposals[state.entry] = self._loop.create_future()
        try:
            return await self._propose(state, timeout_ms)
        finally:
            del self._proposals[state.entry]
            ended.set_result(None)

    async def _propose(self, state: orders.State, timeout_ms: float) -> ProposalOutcome:
        data = put(CONFIGURATION_KEY, state.dump(), state.entry)
        result = await self._driver.propose(data, timeout_ms)
        if result is None:
            return ProposalOutcome.UNKNOWN
        if result.accepted:
            self._archive_old_orders()
            return ProposalOutcome.IN_FORCE
        if result.why in (KEY_CHANGED, OUTCOME_FORGOTTEN):
            return ProposalOutcome.SUPERSEDED
        return ProposalOutcome.TOO_LARGE if len(data) > MAX_VALUE_BYTES else ProposalOutcome.REFUSED

    def _archive_old_orders(self) -> None:
        """Moves old orders into a value of their own, in the background; if that fails, the next order tries
        again."""
        unix_ms = self._unix_ms()
        segment = order_history.closed_segment(self.state.recent, self._archive, unix_ms)
        if segment is None:
            return
        changes = [put(segment.key, segment.dump(), 0)]
        changes += [put(key, None) for key in self._archive.expired(unix_ms)]
        for data in changes:
            task = self._loop.create_task(self._driver.propose(data))
            self._archiving.add(task)
            task.add_done_callback(self._archiving.discard)
