"""Stub workers, discovery, clients, operators and peers around a scheduler on loopback.

Everything that reaches a stub is recorded in order in `observed`, which the scenes make their assertions on.
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
    """The stubs of one scene, all on one event loop, and the scheduler's log, which is recorded too."""

    def __init__(self) -> None:
        self.observed: list[str] = []
        self.options = options(
            "sockets=200 idle=60 free=4 tells=0 probes=0 postings=4 progress=0 pause=2 ask=0"
            " console=0".split()
        )
        self.options["peers"] = 1.0
        self.schemes: list[dict] = []
        self.limits: dict[str, float] = {}
        self.members: dict[str, dict] = {}
        self.revision, self.silent = 1, False
        self.watchers: list[asyncio.StreamWriter] = []
        self.posting_writers: dict[str, asyncio.StreamWriter] = {}  # by txn: connection of its last posting
        self.reused_writers: set[asyncio.StreamWriter] = set()
        self.dead_workers: set[str] = set()  # workers that reset a connection when it is reused
        self.finished: set[str] = set()  # txns whose last posting was answered
        self.started_streams: set[str] = set()  # txns whose response stream has begun
        self.clients: dict[str, asyncio.StreamWriter] = {}
        self.waiting_txns: dict[str, list[str]] = {}  # by client connection: txns without an answer
        self.byte_by_byte = False
        self.dripping: dict[asyncio.StreamWriter, asyncio.Task] = {}  # by connection: the write in progress
        self.fillers: list[socket.socket] = []
        self.running: asyncio.Task | None = None
        self.address, self.console, self.config, self.agents = "", "", {}, []
        self.callers: dict[str, asyncio.StreamWriter] = {}
        self.peers: list[socket.socket] = []  # of the other schedulers, from position 1 on
        self.folder = tempfile.TemporaryDirectory()
        self.file = Path(self.folder.name, "berth.json")
        self.held_descriptors: list[int] = []
        self.descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)

    @staticmethod
    def host(number: int) -> str:
        """A loopback address used by this process alone, so that a free port stays free in parallel runs."""
        return f"{network()}.{250 + number}"

    def write(self, line: bytes) -> None:
        entry = json.loads(line)
        self.observed.append(f"log {entry['event']}")
        if entry["event"] == "reloaded":
            self.observed.append(f"in force {','.join(entry['schemes'])}")

    def flush(self) -> None:
        pass

    def peer(self, number: int) -> str:
        """Starts a stub of another scheduler, which records the messages it receives."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((self.host(3), 0))
        sock.setblocking(False)
        self.peers.append(sock)
        names_by_hash = {crc32(name.encode()) & HASH_MASK: name for name in self.members}

        def receive() -> None:
            name_hash, slots = struct.unpack("<HB", sock.recv(300))
            self.observed.append(f"load p{number} {names_by_hash.get(name_hash, '?')} {slots}")

        asyncio.get_running_loop().add_reader(sock, receive)
        return "{}:{}".format(*sock.getsockname())

    async def agent(self) -> str:
        """Starts another discovery stub with the same list; returns its address."""
        self.agents.append(await asyncio.start_server(self.discovery, self.host(1), 0))
        return "{}:{}".format(*self.agents[-1].sockets[0].getsockname())

    def listing(self, names: Iterable[str], whole: bool) -> dict:
        members = [self.members[name] for name in names]
        return {"revision": self.revision, "complete": whole, "members": members}

    def put(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes all at once, or byte by byte, one message after the other."""
        if not self.byte_by_byte:
            writer.write(data)
            return

        async def write_bytes(previous: asyncio.Task | None) -> None:
            if previous is not None:
                await previous
            for index in range(len(data)):
                writer.write(data[index : index + 1])
                await asyncio.sleep(0.0003)

        self.dripping[writer] = asyncio.create_task(write_bytes(self.dripping.get(writer)))

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await read_head(reader):
            after = re.search(rb"after=(\d+)", head)
            self.observed.append(f"watch {after[1].decode()}" if after else "whole")
            self.watchers.append(writer)
            if not after or int(after[1]) != self.revision:  # the list changed between two calls
                self.send_listing(self.members, True)
            elif match := re.search(rb"wait_ms=(\d+)", head):
                asyncio.get_running_loop().call_later(int(match[1]) / 1000.0, self.send_listing, (), False)

    def send_listing(self, names: Iterable[str], whole: bool) -> None:
        if self.silent:
            return
        body = json.dumps(self.listing(names, whole)).encode()
        for writer in self.watchers:
            self.put(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.watchers.clear()

    async def worker(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        txn = ""
        while head := await read_head(reader):
            if head.startswith(b"GET"):
                self.observed.append(f"probe {name}")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nqueue=0,x0=4")
                continue
            if name in self.dead_workers and writer in self.reused_writers:  # a reused connection is dead
                self.observed.append(f"dead {name}")
                writer.transport.abort()
                return
            self.reused_writers.add(writer)
            txn = header_value(head, b"x-correlation-id")
            body = await reader.readexactly(int(header_value(head, b"content-length")))
            if (
                txn in self.posting_writers
                and not self.posting_writers[txn].is_closing()
                and txn not in self.finished
            ):
                self.observed.append(f"copy {txn}")
            self.posting_writers[txn] = writer
            self.finished.discard(txn)
            self.started_streams.discard(txn)
            request_line = head.partition(b"\r\n")[0].decode("latin-1")
            self.observed.append(f"at {name} {txn} {request_line} {body.decode('unicode_escape')}")
        self.observed.append(f"closed {name} {txn}".rstrip())
        writer.close()

    async def client(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await read_head(reader):
            body = await reader.readexactly(int(header_value(head, b"content-length") or 0))
            status, pause = head.split()[1].decode(), header_value(head, b"retry-after")
            txn = self.waiting_txns[name].pop(0) if self.waiting_txns[name] else name
            self.observed.append(
                f"answer {txn} {status} {body.decode('latin-1')}{pause and f'after {pause}'}"
            )
        self.observed.append(f"closed {name}")
        writer.close()

    async def caller(self, name: str, reader: asyncio.StreamReader) -> None:
        try:
            response = await reader.read()
        except ConnectionError:
            response = b""
        head, _, body = response.partition(b"\r\n\r\n")
        status = head.split()[1].decode() if head else ""
        self.observed.append(f"called {name} {status} {body.decode()}" if head else f"unanswered {name}")
        self.callers.pop(name).close()


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """The next message head; empty if the peer disconnected."""
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""


def header_value(head: bytes, name: bytes) -> str:
    match = re.search(rb"(?i)\r\n%b: *([^\r]*)" % name, head)
    return match[1].decode("latin-1") if match else ""
