"""The whole system on loopback addresses: three stores, one edge, two toy workers and a configuration.

    .venv/bin/python examples/system.py

Each process has a loopback address of its own (from 127.0.0.11), since all machines use the same ports.
Ctrl-C ends all of them; their data stays in the folder that the first line names. No process outlives this
one, however it ends (Linux). Exit codes: 0 after Ctrl-C or SIGTERM, 2 with one line on standard error if an
address is in use or a process did not start.
"""

import asyncio
import ctypes
import errno
import json
import os
import signal
import socket
import sys
import tempfile
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STORES = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]
EDGE, CONTROL_PORT, PUBLIC_PORT, READY_PORT, INTERNAL_PORT = "127.0.0.21", 7401, 8080, 8081, 7300
EXIT_START_FAILED = 2
PR_SET_PDEATHSIG = 1  # prctl(2): signal sent to the process when its parent ends
WORKERS = [("toy-1", "127.0.0.31"), ("toy-2", "127.0.0.32")]
CONFIG = {
    "revision": 1,
    "routes": [
        {"name": "lookups", "hostname": "demo.example", "pathPrefix": "/lookup/", "variant": "deferred"}
        | {"backend": "toys", "deadlineMs": 1500, "targetMs": 80, "startTargetMs": 1200, "rank": 1}
        | {"maxTries": 3, "fifo": False, "retentionS": 90},
        {"name": "commits", "hostname": "demo.example", "pathPrefix": "/commit/", "variant": "deferred"}
        | {"backend": "toys", "deadlineMs": 1500, "targetMs": 80, "startTargetMs": 1200, "rank": 0}
        | {"maxTries": 3, "fifo": True, "retentionS": 90},
    ],
    "backends": [{"name": "toys", "healthPath": "/health", "maxConns": 50}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


class StartError(Exception):
    """The system can't start; the message is one line that names the cause."""


def check_addresses() -> None:
    """Raises StartError for the first address that is in use."""
    addresses = [(host, port) for host in STORES for port in (INTERNAL_PORT, CONTROL_PORT)]
    addresses += [(EDGE, port) for port in (INTERNAL_PORT, PUBLIC_PORT, READY_PORT)]
    addresses += [(host, PUBLIC_PORT) for _, host in WORKERS]
    for host, port in addresses:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError as error:
                raise StartError(f"{host}:{port}: {error.strerror}") from None


def end_with_parent(parent: int) -> None:
    """Called in a child before exec: makes the kernel kill it when its parent ends."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # the parent ended before the call
        os._exit(errno.ESRCH)


async def start_child(command: list[str], log: int | None = None) -> asyncio.subprocess.Process:
    """Starts a process in a session of its own, so that Ctrl-C reaches only this one. `log`: file descriptor
    for its output, which is inherited by default."""
    parent = os.getpid()
    return await asyncio.create_subprocess_exec(
        *command,
        cwd=ROOT,
        stdout=log,
        stderr=log,
        start_new_session=True,
        preexec_fn=lambda: end_with_parent(parent),
    )


def write_settings(folder: Path, name: str, host: str, serves: list[str]) -> Path:
    """Writes the settings file of a process. JSON is valid YAML."""
    edge = "edge" in serves
    bind_addresses = (
        {"publicHttp": f"{host}:{PUBLIC_PORT}", "readyProbe": f"{host}:{READY_PORT}"} if edge else {}
    )
    settings = {
        "nodeName": name,
        "bindIp": host,
        "zone": f"zone-{name[-1]}" if not edge else "zone-1",
        "serves": serves,
        "portRange": [INTERNAL_PORT, INTERNAL_PORT + 15],
        "bindAddrs": bind_addresses or {"controlRpc": f"{host}:{CONTROL_PORT}"},
        "seedNodes": [f"{store}:{CONTROL_PORT}" for store in STORES],
        "bootstrap": True,
        "limits": {"memoryMb": 300, "diskMb": 64},
        "dataDir": None if edge else str(folder / name),
        "tolerates": {"machineLoss": 1},
    }
    file = folder / f"{name}.yaml"
    file.write_text(json.dumps(settings))
    return file


def call(url: str, body: dict | None = None, **headers: str) -> int:
    """Returns the status, 0 if there is no answer; follows 307 redirects, for POST too."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers)
    try:
        with urllib.request.urlopen(request, timeout=2) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        location = error.headers.get("Location")
        return call(location, body, **headers) if error.code == 307 and location else error.code
    except OSError:
        return 0


class ToyWorker(asyncio.Protocol):
    """A worker that prints each attempt it is sent in one line and confirms it with its seal."""

    name = ""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.data = transport, b""

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, separator, rest = self.data.partition(b"\r\n\r\n")
        headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
        if not separator or len(rest) < int(headers.get("Content-Length", 0)):
            return
        self.data = b""
        print(f"{self.name} runs {head.split(b' ')[1].decode()} {rest[:40]!r}", flush=True)
        self.transport.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {headers['Attempt-Id']}\r\nContent-Length: 0\r\n"
            f"Server-Seal: {self.name}.{headers['Attempt-Id']}\r\n\r\n".encode()
        )


async def send_heartbeats(name: str, host: str) -> None:
    count, at = 0, 0
    while True:
        count += 1
        heartbeat = {
            "backend": "toys",
            "address": f"{host}:{PUBLIC_PORT}",
            "zone": "zone-1",
            "revision": "v1",
        }
        heartbeat |= {"capacity": 2, "phase": "ready", "coldLeftMs": 0, "callCount": count}
        url = f"http://{STORES[at]}:{CONTROL_PORT}/v1/instances/{name}/heartbeat"
        if await asyncio.to_thread(call, url, heartbeat) != 200:
            at = (at + 1) % len(STORES)
        await asyncio.sleep(1.0)


async def start_processes(folder: Path, running: dict[str, asyncio.subprocess.Process]) -> None:
    """Adds each process to `running` as it starts, so that it is known even if a later start fails."""
    nodes = [
        ("store", f"store-{at}", host, ["storage", "control_plane"]) for at, host in enumerate(STORES, 1)
    ]
    for role, name, host, serves in [*nodes, ("edge", "edge-1", EDGE, ["edge"])]:
        file = write_settings(folder, name, host, serves)
        with (folder / f"{name}.log").open("wb") as log:
            command = [sys.executable, "-m", "sableford.node", role, "--settings", str(file)]
            running[name] = await start_child(command, log.fileno())


async def start_workers() -> list[asyncio.Task]:
    for name, host in WORKERS:
        worker_class = type("Toy", (ToyWorker,), {"name": name})
        try:
            await asyncio.get_running_loop().create_server(worker_class, host, PUBLIC_PORT)
        except OSError as error:
            raise StartError(f"{host}:{PUBLIC_PORT}: {error.strerror}") from None
    return [asyncio.create_task(send_heartbeats(*worker)) for worker in WORKERS]


async def configure() -> None:
    """Returns once the configuration is acknowledged and the edge is ready."""
    version = {"Base-Version": "0", "Content-Type": "application/json"}
    url = f"http://{STORES[0]}:{CONTROL_PORT}/v1/config/replace"
    while await asyncio.to_thread(lambda: call(url, CONFIG, **version)) != 200:
        await asyncio.sleep(0.3)
    while await asyncio.to_thread(call, f"http://{EDGE}:{READY_PORT}/v1/readiness") != 200:
        await asyncio.sleep(0.1)
    print(
        f"ready: curl -i http://{EDGE}:{PUBLIC_PORT}/lookup/1 "
        "-H 'Host: demo.example' -H 'Attempt-Id: a1' -d hello"
    )
    print(
        f"then:  curl -i http://{EDGE}:{PUBLIC_PORT}/v1/message/MESSAGE-REF -H 'Host: demo.example'",
        flush=True,
    )


async def watch(folder: Path, name: str, process: asyncio.subprocess.Process) -> None:
    code = await process.wait()
    raise StartError(f"{name} ended by itself with {code}: see {folder / name}.log")


async def end_processes(running: list[asyncio.subprocess.Process]) -> None:
    for process in running:
        if process.returncode is None:
            process.terminate()
    await asyncio.gather(*(process.wait() for process in running))


async def run(folder: Path, stop: asyncio.Event) -> None:
    """Runs until `stop` is set. StartError if a process or server can't start, or if a process ends."""
    running: dict[str, asyncio.subprocess.Process] = {}
    tasks: list[asyncio.Task] = []
    try:
        await start_processes(folder, running)
        tasks += await start_workers()
        watches = [asyncio.create_task(watch(folder, *one)) for one in running.items()]
        end = asyncio.create_task(stop.wait())
        tasks += [*watches, end, asyncio.create_task(configure())]
        done, _ = await asyncio.wait([*watches, end], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await end_processes(list(running.values()))


async def main() -> int:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop.set)
    try:
        check_addresses()
        folder = Path(tempfile.mkdtemp(prefix="sableford-"))
        print(f"settings, logs and data: {folder}", flush=True)
        await run(folder, stop)
    except StartError as error:
        print(f"examples/system.py: {error}", file=sys.stderr)
        return EXIT_START_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
