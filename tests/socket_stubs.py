"""The other side of a scheduler on loopback: stub workers, a stub discovery, clients, operators, and peers.

What reaches any of them is written down in `told`, in its order, for claims to be held against.
"""

import asyncio
import json
import re
import resource
import socket
import struct
import tempfile
from collections.abc import Iterable
from pathlib import Path
from zlib import crc32

from sableford.intake.index_table import HASH_MASK
from tests.loopback import network
from tests.notation import options


class Stubs:
    """The stubs of one scene, all on one loop, and the scheduler's log, which is told too."""

    def __init__(self) -> None:
        self.told: list[str] = []
        self.terms = options(
            "sockets=200 idle=60 free=4 tells=0 probes=0 postings=4 progress=0 pause=2 ask=0 door=0".split()
        )
        self.terms["peers"] = 1.0
        self.schemes: list[dict] = []
        self.limits: dict[str, float] = {}
        self.listed: dict[str, dict] = {}
        self.revision, self.mute = 1, False
        self.watchers: list[asyncio.StreamWriter] = []
        self.held: dict[str, asyncio.StreamWriter] = {}  # by txn: where its last posting came
        self.used: set[asyncio.StreamWriter] = set()
        self.dead: set[str] = set()  # workers that reset a kept line as it is used again
        self.finished: set[str] = set()  # txns whose last posting has a last line
        self.begun: set[str] = set()  # txns whose stream has begun
        self.clients: dict[str, asyncio.StreamWriter] = {}
        self.waiting: dict[str, list[str]] = {}  # by client: the txns sent on it
        self.drips = False
        self.dripping: dict[asyncio.StreamWriter, asyncio.Task] = {}  # by line: its last message
        self.fillers: list[socket.socket] = []
        self.running: asyncio.Task | None = None
        self.place, self.door, self.berth, self.agents = "", "", {}, []
        self.callers: dict[str, asyncio.StreamWriter] = {}
        self.peers: list[socket.socket] = []  # of the other schedulers, from position 1 on
        self.folder = tempfile.TemporaryDirectory()
        self.file = Path(self.folder.name, "berth.json")
        self.taken: list[int] = []
        self.granted = resource.getrlimit(resource.RLIMIT_NOFILE)

    @staticmethod
    def host(number: int) -> str:
        """A loopback address of this process's own: a port that was free there stays free, however many runs
        go on beside this one."""
        return f"{network()}.{250 + number}"

    def write(self, line: bytes) -> None:
        said = json.loads(line)
        self.told.append(f"log {said['event']}")
        if said["event"] == "reloaded":
            self.told.append(f"in force {','.join(said['schemes'])}")

    def flush(self) -> None:
        pass

    def peer(self, number: int) -> str:
        """The stand-in of another scheduler: it writes down what it is told."""
        line = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        line.bind((self.host(3), 0))
        line.setblocking(False)
        self.peers.append(line)
        marks = {crc32(name.encode()) & HASH_MASK: name for name in self.listed}

        def hear() -> None:
            mark, slots = struct.unpack("<HB", line.recv(300))
            self.told.append(f"word p{number} {marks.get(mark, '?')} {slots}")

        asyncio.get_running_loop().add_reader(line, hear)
        return "{}:{}".format(*line.getsockname())

    async def agent(self) -> str:
        """Another discovery with the same list; where it listens."""
        self.agents.append(await asyncio.start_server(self.discovery, self.host(1), 0))
        return "{}:{}".format(*self.agents[-1].sockets[0].getsockname())

    def listing(self, names: Iterable[str], whole: bool) -> dict:
        members = [self.listed[name] for name in names]
        return {"revision": self.revision, "complete": whole, "members": members}

    def put(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """All at once, or each byte by itself, one message after the other."""
        if not self.drips:
            writer.write(data)
            return

        async def drip(before: asyncio.Task | None) -> None:
            if before is not None:
                await before
            for at in range(len(data)):
                writer.write(data[at : at + 1])
                await asyncio.sleep(0.0003)

        self.dripping[writer] = asyncio.create_task(drip(self.dripping.get(writer)))

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await heard(reader):
            after = re.search(rb"after=(\d+)", head)
            self.told.append(f"watch {after[1].decode()}" if after else "whole")
            self.watchers.append(writer)
            if not after or int(after[1]) != self.revision:  # something changed between two calls
                self.tell(self.listed, True)
            elif found := re.search(rb"wait_ms=(\d+)", head):
                asyncio.get_running_loop().call_later(int(found[1]) / 1000.0, self.tell, (), False)

    def tell(self, names: Iterable[str], whole: bool) -> None:
        if self.mute:
            return
        body = json.dumps(self.listing(names, whole)).encode()
        for writer in self.watchers:
            self.put(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.watchers.clear()

    async def worker(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        txn = ""
        while head := await heard(reader):
            if head.startswith(b"GET"):
                self.told.append(f"probe {name}")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nqueue=0,x0=4")
                continue
            if name in self.dead and writer in self.used:  # taken up again, it proves dead
                self.told.append(f"dead {name}")
                writer.transport.abort()
                return
            self.used.add(writer)
            txn = field(head, b"x-correlation-id")
            body = await reader.readexactly(int(field(head, b"content-length")))
            if txn in self.held and not self.held[txn].is_closing() and txn not in self.finished:
                self.told.append(f"copy {txn}")
            self.held[txn] = writer
            self.finished.discard(txn)
            self.begun.discard(txn)
            line = head.partition(b"\r\n")[0].decode("latin-1")
            self.told.append(f"at {name} {txn} {line} {body.decode('unicode_escape')}")
        self.told.append(f"closed {name} {txn}".rstrip())
        writer.close()

    async def client(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await heard(reader):
            body = await reader.readexactly(int(field(head, b"content-length") or 0))
            status, pause = head.split()[1].decode(), field(head, b"retry-after")
            txn = self.waiting[name].pop(0) if self.waiting[name] else name
            self.told.append(f"answer {txn} {status} {body.decode('latin-1')}{pause and f'after {pause}'}")
        self.told.append(f"closed {name}")
        writer.close()

    async def caller(self, name: str, reader: asyncio.StreamReader) -> None:
        try:
            said = await reader.read()
        except ConnectionError:
            said = b""
        head, _, body = said.partition(b"\r\n\r\n")
        status = head.split()[1].decode() if head else ""
        self.told.append(f"called {name} {status} {body.decode()}" if head else f"hushed {name}")
        self.callers.pop(name).close()


async def heard(reader: asyncio.StreamReader) -> bytes:
    """The next head; none where the other side has ended."""
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""


def field(head: bytes, name: bytes) -> str:
    found = re.search(rb"(?i)\r\n%b: *([^\r]*)" % name, head)
    return found[1].decode("latin-1") if found else ""
