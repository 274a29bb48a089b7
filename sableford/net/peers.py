"""The other schedulers: short messages to and from them, over UDP.

It owns the socket and who may be heard: the addresses of the configuration, by position. A message may be
lost, come late or twice; it must never be waited for, and nothing that is owed may hang on one.
"""

import asyncio

from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.mail import Mailbox, Renew, Say, Word

Place = tuple[str, int]


class _Ear(asyncio.DatagramProtocol):
    """What comes from a listed address goes to the desk; all else is passed over."""

    def __init__(self, places: tuple[Place, ...], longest: int, desk: Mailbox) -> None:
        self._peers = {place: at for at, place in enumerate(places)}
        self._longest, self._desk = longest, desk

    def datagram_received(self, data: bytes, addr: Place) -> None:
        peer = self._peers.get(addr[:2])
        if peer is not None and len(data) <= self._longest:
            self._desk.put(Word(peer, data))


class Peers:
    def __init__(self, places: tuple[Place, ...], position: int, limits: Limits, log: Log) -> None:
        self.mail = Mailbox()
        self._places, self._position, self._limits, self._log = places, position, limits, log
        self._line: asyncio.DatagramTransport | None = None
        self._deaf = False

    async def run(self, desk: Mailbox) -> None:
        while True:
            if self._places and self._line is None:
                await self._open(desk)
            # Another process of this scheduler may hold the address until it ends: tried again and again.
            within = self._limits.again if self._places and self._line is None else None
            for message in await self.mail.take(within):
                if isinstance(message, Say):
                    self._say(message)
                elif isinstance(message, Renew):
                    self._renew(message)

    def _renew(self, told: Renew) -> None:
        now = told.peers, told.charter.config.position
        if now != (self._places, self._position):
            if self._line is not None:
                self._line.close()
                self._line = None
            self._places, self._position = now
            self._deaf = False
            self._log.say("peers", schedulers=len(self._places))

    async def _open(self, desk: Mailbox) -> None:
        loop, place = asyncio.get_running_loop(), self._places[self._position]
        ear = _Ear(self._places, self._limits.saying, desk)
        try:
            self._line, _ = await loop.create_datagram_endpoint(lambda: ear, local_addr=place)
        except OSError as problem:
            if not self._deaf:
                self._log.say("peers_deaf", problem=repr(problem))
            self._deaf = True
        else:
            self._deaf = False
            self._log.say("peers_heard", listen=place, schedulers=len(self._places))

    def _say(self, message: Say) -> None:
        if self._line is not None and not self._line.is_closing():
            for peer in message.peers:
                if peer < len(self._places):
                    self._line.sendto(message.word, self._places[peer])
