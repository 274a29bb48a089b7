"""Short UDP messages to and from the other schedulers.

Only messages from the addresses in the configuration are accepted. Messages may be lost, late or duplicated:
nothing waits for one, and correctness does not depend on them.
"""

import asyncio

from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.messages import ConfigReloaded, Mailbox, PeerPayload, SendToPeers

Address = tuple[str, int]


class _Receiver(asyncio.DatagramProtocol):
    """Passes datagrams from listed addresses to the dispatcher and drops all others."""

    def __init__(self, addresses: tuple[Address, ...], max_size: int, dispatcher: Mailbox) -> None:
        self._peers = {address: position for position, address in enumerate(addresses)}
        self._max_size, self._dispatcher = max_size, dispatcher

    def datagram_received(self, data: bytes, addr: Address) -> None:
        peer = self._peers.get(addr[:2])
        if peer is not None and len(data) <= self._max_size:
            self._dispatcher.put(PeerPayload(peer, data))


class PeerTransport:
    def __init__(self, addresses: tuple[Address, ...], position: int, limits: Limits, log: Log) -> None:
        self.mailbox = Mailbox()
        self._addresses, self._position, self._limits, self._log = addresses, position, limits, log
        self._transport: asyncio.DatagramTransport | None = None
        self._open_failed = False

    async def run(self, dispatcher: Mailbox) -> None:
        while True:
            if self._addresses and self._transport is None:
                await self._open(dispatcher)
            # Another process of this scheduler may hold the address until it ends: retried until then.
            within = self._limits.retry if self._addresses and self._transport is None else None
            for message in await self.mailbox.take(within):
                if isinstance(message, SendToPeers):
                    self._send(message)
                elif isinstance(message, ConfigReloaded):
                    self._reload(message)

    def _reload(self, update: ConfigReloaded) -> None:
        current = update.peers, update.settings.config.position
        if current != (self._addresses, self._position):
            if self._transport is not None:
                self._transport.close()
                self._transport = None
            self._addresses, self._position = current
            self._open_failed = False
            self._log.event("peers", schedulers=len(self._addresses))

    async def _open(self, dispatcher: Mailbox) -> None:
        loop, address = asyncio.get_running_loop(), self._addresses[self._position]
        receiver = _Receiver(self._addresses, self._limits.max_peer_message, dispatcher)
        try:
            self._transport, _ = await loop.create_datagram_endpoint(lambda: receiver, local_addr=address)
        except OSError as problem:
            if not self._open_failed:
                self._log.event("peers_deaf", problem=repr(problem))
            self._open_failed = True
        else:
            self._open_failed = False
            self._log.event("peers_heard", listen=address, schedulers=len(self._addresses))

    def _send(self, message: SendToPeers) -> None:
        if self._transport is not None and not self._transport.is_closing():
            for peer in message.peers:
                if peer < len(self._addresses):
                    self._transport.sendto(message.payload, self._addresses[peer])
