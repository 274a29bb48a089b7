"""TCP between simulated machines, with delays, cuts in either direction, resets and machines without power.

Data sent across a cut is queued and delivered once the cut is healed, unless the sender's user timeout
expires first: then the connection ends and the queued data is lost. A machine without power does not respond;
a running machine without the process refuses connections.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextvars import copy_context
from random import Random
from typing import NamedTuple

from sableford.simulation.control.event_loop import Process, ProcessState, SimulatedLoop

USER_TIMEOUT_S = 1.6  # TCP user timeout for unacknowledged data, as set by the links
SYN_RETRY_S = 1.0  # until a SYN is sent again
DELAY_S = 0.0005, 0.003  # in one direction, within a zone or between zones
RETRANSMIT_S = 0.2  # at most, from the end of a cut to the retransmission


class Endpoint(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: "Network", process: Process, remote: str) -> None:
        super().__init__()
        self._network, self.process, self.remote = network, process, remote
        self.local = process.host
        self.protocol: asyncio.Protocol | None = None
        self.peer: Endpoint | None = None
        self.closed = False
        self.undelivered: deque[bytes] = deque()  # sent, but held up by a cut
        self.unacknowledged = False
        self.arrival = 0.0  # of the last data sent
        self.timer: asyncio.TimerHandle | None = None

    def write(self, data: bytes) -> None:
        if not self.closed:
            self._network.transmit(self, bytes(data))

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return sum(len(data) for data in self.undelivered)

    def get_extra_info(self, name: str, default: object = None) -> object:
        return default

    def abort(self) -> None:
        if not self.closed:
            self.end(None)
            self._network.send_reset(self)

    close = abort

    def end(self, error: Exception | None) -> None:
        """Closes this end and notifies its protocol."""
        if self.closed:
            return
        self.closed = True
        self.undelivered.clear()
        self._network.forget(self)
        if self.protocol is not None:
            loop = self._network.loop
            loop.call_soon(self.protocol.connection_lost, error, context=self.process.context)

    def receive(self, data: bytes) -> None:
        if not self.closed and self.protocol is not None:
            self.protocol.data_received(data)


class Listener(NamedTuple):
    process: Process
    factory: Callable[[], asyncio.Protocol]


class Network:
    def __init__(self, loop: SimulatedLoop, rng: Random) -> None:
        self.loop, self._rng = loop, rng
        self.powered: set[str] = set()  # hosts that have power
        self._listeners: dict[str, Listener] = {}
        self._cuts: dict[tuple[str, str], int] = {}
        self._endpoints: dict[Endpoint, None] = {}  # in order of opening
        self._context = copy_context()
        loop.connect, loop.listen = self._connect, self._listen

    def delay(self) -> float:
        return self._rng.uniform(*DELAY_S)

    def later(self, delay_s: float, callback: Callable, *args: object) -> asyncio.TimerHandle:
        """Schedules a callback of the network itself, which runs whatever the state of any process."""
        return self.loop.call_later(delay_s, callback, *args, context=self._context)

    # Faults

    def open(self, source: str, target: str) -> bool:
        return not self._cuts.get((source, target)) and source in self.powered and target in self.powered

    def cut(self, source: str, target: str) -> None:
        self._cuts[source, target] = self._cuts.get((source, target), 0) + 1

    def heal(self, source: str, target: str) -> None:
        left = self._cuts.get((source, target), 0) - 1
        if left > 0:
            self._cuts[source, target] = left
            return
        self._cuts.pop((source, target), None)
        for end in self._between(source, target):
            self.later(self._rng.uniform(0.0, RETRANSMIT_S), self._flush, end)
        for end in self._between(target, source):
            end.unacknowledged = False

    def heal_all(self) -> None:
        for pair, count in list(self._cuts.items()):
            for _ in range(count):
                self.heal(*pair)

    def reset(self, host: str, other: str) -> None:
        """Resets all connections between two hosts at both ends; data in flight is lost."""
        for end in [*self._between(host, other), *self._between(other, host)]:
            end.end(ConnectionResetError())

    def end_process(self, process: Process) -> None:
        """Closes the sockets of a process, as the kernel does when it ends."""
        if (one := self._listeners.get(process.host)) is not None and one.process is process:
            del self._listeners[process.host]
        for end in [end for end in self._endpoints if end.process is process]:
            end.closed = True
            end.undelivered.clear()
            self.forget(end)
            self.send_reset(end)

    def power_off(self, host: str) -> None:
        self.powered.discard(host)
        self._listeners.pop(host, None)
        for end in [end for end in self._endpoints if end.local == host]:
            end.closed = True
            end.undelivered.clear()
            self.forget(end)

    def power_on(self, host: str) -> None:
        """The kernel does not know the earlier connections and resets them at the next retransmission."""
        self.powered.add(host)
        for end in [
            end for end in self._endpoints if end.remote == host and (end.undelivered or end.unacknowledged)
        ]:
            self.later(self._rng.uniform(0.0, RETRANSMIT_S), self._flush, end)

    def _between(self, source: str, target: str) -> list[Endpoint]:
        return [end for end in self._endpoints if end.local == source and end.remote == target]

    def endpoints(self) -> Iterator[Endpoint]:
        return iter(list(self._endpoints))

    def forget(self, end: Endpoint) -> None:
        self._endpoints.pop(end, None)

    # Data

    def transmit(self, end: Endpoint, data: bytes) -> None:
        end.arrival = max(end.arrival, self.loop.time() + self.delay())
        self.loop.call_at(end.arrival, self._arrive, end, data, context=self._context)

    def _arrive(self, end: Endpoint, data: bytes) -> None:
        # Data sent before a process ended is delivered; data on a connection that was reset is not.
        peer = end.peer
        if end.closed and (peer is None or peer.closed):
            return
        if end.undelivered or not self.open(end.local, end.remote):
            if not end.closed:
                end.undelivered.append(data)
                self._start_user_timer(end)
            return
        self._deliver(end, data)

    def _deliver(self, end: Endpoint, data: bytes) -> None:
        peer = end.peer
        if peer is None or peer.closed:
            if self.open(end.remote, end.local):
                self.later(self.delay(), end.end, ConnectionResetError())
            return
        self.loop.call_soon(peer.receive, data, context=peer.process.context)
        if not self.open(end.remote, end.local):  # delivered, but the acknowledgement is lost
            end.unacknowledged = True
            self._start_user_timer(end)

    def _flush(self, end: Endpoint) -> None:
        if end.closed or not self.open(end.local, end.remote):
            return
        end.unacknowledged = False
        undelivered, end.undelivered = end.undelivered, deque()
        if not undelivered:
            self._deliver(end, b"")
        for data in undelivered:
            self._deliver(end, data)

    def _start_user_timer(self, end: Endpoint) -> None:
        if end.timer is None and not end.closed:
            end.timer = self.later(USER_TIMEOUT_S, self._user_timeout, end)

    def _user_timeout(self, end: Endpoint) -> None:
        end.timer = None
        if not end.closed and (end.undelivered or end.unacknowledged):
            end.end(TimeoutError())
            self.send_reset(end)

    def send_reset(self, end: Endpoint) -> None:
        """Sends a reset to the peer, behind all data sent before. It is lost if the link is cut."""
        at = max(end.arrival, self.loop.time() + self.delay())
        self.loop.call_at(at, self._reset_arrives, end, context=self._context)

    def _reset_arrives(self, end: Endpoint) -> None:
        if end.peer is not None and self.open(end.local, end.remote):
            end.peer.end(ConnectionResetError())

    # Connections

    def _listen(self, process: Process, factory: Callable, host: str, port: int) -> None:
        self._listeners[host] = Listener(process, factory)

    async def _connect(self, process: Process, factory: Callable, host: str, port: int) -> tuple:
        future = self.loop.create_future()
        self.later(self.delay(), self._syn_arrives, process, factory, host, future)
        end = await future
        return end, end.protocol

    def _syn_arrives(self, process: Process, factory: Callable, host: str, future: asyncio.Future) -> None:
        if future.done() or process.state is ProcessState.DEAD:
            return
        if not self.open(process.host, host) or not self.open(host, process.host):
            self.later(SYN_RETRY_S, self._syn_arrives, process, factory, host, future)
            return
        listener = self._listeners.get(host)
        if listener is None:
            self.later(self.delay(), self._refuse, future)
            return
        client, server = Endpoint(self, process, host), Endpoint(self, listener.process, process.host)
        client.peer, server.peer = server, client
        self._endpoints[server] = None
        self.loop.call_soon(self._open, server, listener.factory, context=listener.process.context)
        self.later(self.delay(), self._connected, client, factory, future)

    def _refuse(self, future: asyncio.Future) -> None:
        if not future.done():
            future.set_exception(ConnectionRefusedError())

    def _connected(self, client: Endpoint, factory: Callable, future: asyncio.Future) -> None:
        if future.done() or client.process.state is ProcessState.DEAD or client.closed:
            client.closed = True
            self.send_reset(client)
            return
        self._endpoints[client] = None
        self.loop.call_soon(self._open, client, factory, context=client.process.context)
        self.loop.call_soon(_resolve, future, client, context=client.process.context)

    @staticmethod
    def _open(end: Endpoint, factory: Callable) -> None:
        if not end.closed:
            end.protocol = factory()
            end.protocol.connection_made(end)


def _resolve(future: asyncio.Future, end: Endpoint) -> None:
    if future.done():
        end.abort()
    elif end.protocol is None:
        future.set_exception(ConnectionResetError())
    else:
        future.set_result(end)
