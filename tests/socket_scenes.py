"""Runs the scenes of `tests/sockets/` against a whole scheduler on loopback among stubs.

Steps run at once. An assertion waits for the event it names; with a count of 0 it waits a moment for the
event not to occur, and after `now` it does not wait.

    worker A [shut|deaf]              listed; listening, not listening, or not accepting
    send t1 quote left=900m on=c      a client sends t1, on a connection of its own or on c
    reply t1 started|running|done TEXT|failed|returned|lost|STATUS HEADER|text LINE|end|cut
    dead A                            resets each connection that is reused
    list A phase=leaving | list whole A | list old A | agent silent|answer|reset
    file settings.schemes.0.expiry_s -5 | file seed drop | file settings.schemes + JSON     before a reload
    call c POST /workers/A/maint | console c BYTES     to the console, which `options console=1` opens
    raw c BYTES [~ BYTES ...]         in pieces, with a delay between them
    hangup c | sigterm | reload [torn] KEY=VALUE | fail | descriptors 1 | wait 20
    bytewise                          from now on stubs and clients send byte by byte
    peer p1 A 3                       another scheduler reports its load at A (`options peers=2` has p1)
    recorded: load p1 A 1 | at A t1 LINE BODY | closed A t1
    answer t1 200 BODY | closed c | watch 3 | whole | log EVENT | in force x,y (schemes after a reload)
    called c 200 TEXT | unanswered c (no answer) | ends 0 | probe A | copy t1 (two at once at workers)
"""

import asyncio
import json
import os
import resource
import signal
import socket
import struct
from contextlib import suppress
from fnmatch import fnmatchcase
from functools import partial
from zlib import crc32

from sableford.intake.index_table import HASH_MASK
from sableford.net.cli import run
from sableford.net.limits import Limits
from sableford.net.log import Log
from sableford.net.startup_config import read_config
from sableford.policy.scheduler import Scheduler
from tests.notation import bounds, expand_range, options
from tests.socket_stubs import Stubs

REPEATED_REQUEST = (
    "POST /api HTTP/1.1\\r\\nHost: x\\r\\nX-Correlation-Id: t\\r\\nContent-Length: 0\\r\\n\\r\\n"
)

PIECE_DELAY_S = 0.12  # between two pieces of a raw message


class Sockets(Stubs):
    """One scheduler on loopback among stubs, with the steps and assertions of a scene."""

    async def open(self) -> None:
        address = await self.agent()
        with socket.socket() as free, socket.socket() as other:
            free.bind((self.host(2), 0))
            other.bind((self.host(4), 0))
            self.address, self.console = ("{}:{}".format(*one.getsockname()) for one in (free, other))
        given = self.options
        settings = {
            "instances": int(given["peers"]),
            "schemes": self.schemes,
            "limits": {
                "peers": False,
                "most_postings": int(given["postings"]),
                "may_cancel": True,
                "probes": bool(given["probes"]),
                "retry_after": True,
                "max_retry_after_s": given["pause"],
                "conn_idle_s": given["idle"],
            },
            "obligations": {
                "overload_factor": 2.5,
                "fall_s": 2,
                "start_capacity": 0.2,
                "warm_within_s": 9,
                "ask_within_s": given["ask"],
            },
            "registry_mode": "subscribe" if given["ask"] else "automatic",
            "load_info": {"columns": ["depth", "x0"], "via": "inline"},
            "specifics": {
                "report_x0": "free slots",
                "tells_start": bool(given["tells"]),
                "progress_s": given["progress"],
            },
            "zones": ["here", "there"],
            "skus": ["box"],
        }
        settings = json.loads(json.dumps(settings))
        self.config = {
            "name": "n0",
            "listen": self.address,
            "discovery": address,
            "seed": "5eed",
            "limits": {"sockets": int(given["sockets"]), "memory_mb": 64},
            "known": self.listing(self.members, True),
            "settings": settings,
        }
        if given["console"]:
            self.config["console"] = self.console
        if given["peers"] > 1:
            self.config["peers"] = [self.address, *map(self.peer, range(1, int(given["peers"])))]
        self.file.write_text(json.dumps(self.config))
        loaded = read_config(str(self.file), talk=True)
        loaded = loaded._replace(limits=loaded.limits._replace(**self.limits))
        self.running = asyncio.create_task(run(loaded, str(self.file), Log("n0", sink=self), talk=True))
        self.running.add_done_callback(lambda task: self.observed.append(f"ends {task.result()}"))
        await self.until("watch *")

    async def do_peer(self, peer: str, *rest: str) -> None:
        line = self.peers[int(peer[1:]) - 1]
        payload = (
            struct.pack("<HB", crc32(rest[0].encode()) & HASH_MASK, int(rest[1]))
            if rest[1:]
            else rest[0].encode()
        )
        host, _, port = self.address.rpartition(":")
        line.sendto(payload, (host, int(port)))

    async def step(self, words: list[str]) -> None:
        verb, *rest = words
        if verb not in ("options", "limits", "scheme", "worker"):
            if self.running is None:
                await self.open()
            self.observed.clear()
        await getattr(self, f"do_{verb}")(*rest)

    async def do_options(self, *rest: str) -> None:
        self.options |= options(rest)

    async def do_limits(self, *rest: str) -> None:
        self.limits |= {
            key: type(getattr(Limits(0, 0, 0, 0), key))(index) for key, index in options(rest).items()
        }

    async def do_scheme(self, name: str, repeats: str, *rest: str) -> None:
        effect = {"repeatable": "safe", "referenced": "keyed", "once-only": "unsafe"}[repeats]
        given = {"name": name, "effect": effect, "sla_time_s": 1.0, "expiry_s": 5.0, "dedup_scope": "all"}
        self.schemes.append(given | {"memory_span_s": 9.0} | options(rest))

    async def do_worker(self, name: str, *rest: str) -> None:
        """Adds a listed worker; `shut` does not listen, `deaf` never accepts a connection."""
        if "shut" in rest or "deaf" in rest:
            address = socket.socket()
            address.bind((self.host(3), 0))
            self.fillers.append(address)
            if "deaf" in rest:
                address.listen(0)
                for _ in range(3):  # with a full backlog, further connections get no reply
                    self.fillers.append(filler := socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(address.getsockname())
        else:
            serve = partial(self.worker, name)
            address = (await asyncio.start_server(serve, self.host(3), 0)).sockets[0]
        self.members[name] = {
            "id": name,
            "host_port": "{}:{}".format(*address.getsockname()),
            "locality": "here",
            "flavor": "box",
            "phase": "active",
            "cell": 0,
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def do_list(self, *rest: str) -> None:
        """Changes one entry; `whole NAME ...`: all others have left; `old NAME`: sends an older revision."""
        if rest[0] in ("whole", "old"):
            self.revision += -2 if rest[0] == "old" else 1
            if rest[0] == "whole":
                self.members = {name: self.members[name] for name in rest[1:]}
            self.send_listing(rest[1:], rest[0] == "whole")
            return
        for key, _, value in (word.partition("=") for word in rest[1:]):
            self.members[rest[0]][key] = float(value) if value.isdigit() else value
        self.revision += 1
        self.send_listing(rest[:1], False)

    async def do_agent(self, action: str) -> None:
        """`silent`: discovery stops answering; `reset`: resets its connections; `answer`: answers again."""
        self.silent = action == "silent"
        for writer in self.watchers if action == "reset" else ():
            writer.transport.abort()

    async def do_send(self, txns: str, scheme: str, *rest: str) -> None:
        """Sends each txn on a connection of its own, or on the one named by `on=`."""
        arguments = dict(word.split("=") for word in rest)
        for txn in expand_range(txns):
            body = arguments.get("body", "").encode()
            head = f"POST /api?user=7 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {txn}\r\n"
            head += f"X-Service-Class: {scheme}\r\nX-Time-Left: {arguments.get('left', '5000m')}\r\n"
            head += f"X-Facts: slots=1\r\nContent-Length: {len(body)}\r\n\r\n"
            await self.send(arguments.get("on", txn), txn, head.encode() + body)

    async def do_raw(self, name: str, *rest: str) -> None:
        text = (
            " ".join(rest)
            .replace("*9000", "9" * 9000)
            .replace("*70000", "9" * 70_000)
            .replace("*many", "9" * 2_000_000)
        )
        text = text.replace("*again", REPEATED_REQUEST * 100)
        for one in expand_range(name):
            first, *more = text.encode().decode("unicode_escape").encode("latin-1").split(b" ~ ")
            await self.send(one, None, first)
            for piece in more:
                await asyncio.sleep(PIECE_DELAY_S)
                self.put(self.clients[one], piece)

    async def send(self, name: str, txn: str | None, data: bytes) -> None:
        if name not in self.clients:
            host, _, port = self.address.rpartition(":")
            reader, self.clients[name] = await asyncio.open_connection(host, int(port))
            self.waiting_txns[name] = []
            self.keep = asyncio.create_task(self.client(name, reader, self.clients[name]))
        self.waiting_txns[name] += [txn] if txn else []
        self.put(self.clients[name], data)

    async def do_call(self, name: str, method: str, path: str) -> None:
        await self.do_console(name, f"{method} {path} HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n")

    async def do_console(self, names: str, *rest: str) -> None:
        """Sends bytes to the console, on a connection per caller."""
        for name in expand_range(names):
            if name not in self.callers:
                host, _, port = self.console.rpartition(":")
                reader, self.callers[name] = await asyncio.open_connection(host, int(port))
                self.keep = asyncio.create_task(self.caller(name, reader))
            text = " ".join(rest).replace("*70000", "9" * 70_000).encode().decode("unicode_escape")
            self.put(self.callers[name], text.encode("latin-1"))

    async def do_bytewise(self) -> None:
        self.byte_by_byte = True

    async def do_dead(self, name: str) -> None:
        self.dead_workers.add(name)

    async def do_hangup(self, name: str) -> None:
        self.clients[name].transport.abort()

    async def do_reply(self, txn: str, state: str, *rest: str) -> None:
        """A worker's event on a txn; `text`: a raw line, `end`: end of stream, `cut`: connection reset."""
        writer, text = self.posting_writers[txn], " ".join(rest)
        if state == "cut":
            writer.transport.abort()
        elif state == "end":
            writer.write(b"0\r\n\r\n")
        elif state.isdigit():
            self.finished.add(txn)
            self.put(writer, f"HTTP/1.1 {state} Said\r\n{text}\r\nContent-Length: 0\r\n\r\n".encode())
        else:
            given = {"id": txn, "from": "w", "state": state}
            if state == "done":
                given |= {
                    "result": text.encode().decode("unicode_escape"),
                    "load": {"queue": 0, "x0": self.options["free"]},
                }
            given |= {"share": 0.5} if state == "running" else {}
            line = (text if state == "text" else json.dumps(given)).encode() + b"\n"
            head = (
                b""
                if txn in self.started_streams
                else b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            self.started_streams.add(txn)
            last = b"" if state in ("started", "running", "text") else b"0\r\n\r\n"
            self.finished |= {txn} if last else set()
            self.put(writer, head + b"%x\r\n%b\r\n" % (len(line), line) + last)

    async def do_sigterm(self) -> None:
        os.kill(os.getpid(), signal.SIGTERM)

    async def do_reload(self, *rest: str) -> None:
        """SIGHUP after a change of the file; `discovery=anew`: another agent, `torn`: truncated file."""
        for key, _, value in (word.partition("=") for word in rest):
            if value == "anew":
                self.agents[-1].close()
                self.watchers.clear()
                value = await self.agent()
            self.config[key] = {"sockets": int(value), "memory_mb": 64} if key == "limits" else value
        text = json.dumps(self.config)
        self.file.write_text(text[:100] if "torn" in rest else text)
        os.kill(os.getpid(), signal.SIGHUP)

    async def do_file(self, path: str, *rest: str) -> None:
        """Changes one value of the file for the next reload: JSON, `+ JSON` to append, or `drop`."""
        *steps, last = (int(step) if step.isdigit() else step for step in path.split("."))
        holder = self.config
        for step in steps:
            holder = holder[step]
        if rest[0] == "+":
            holder[last].append(json.loads(" ".join(rest[1:])))
        elif rest[0] == "drop":
            del holder[last]
        else:
            holder[last] = json.loads(" ".join(rest))

    async def do_fail(self) -> None:
        """Makes the scheduler raise at its next event."""
        original = Scheduler.handle

        def fail(core: Scheduler, now: float, event) -> None:
            Scheduler.handle = original
            raise RuntimeError("injected failure")

        Scheduler.handle = fail

    async def do_descriptors(self, left: str) -> None:
        """Leaves so many descriptors to the whole process including stubs; `all` frees them again."""
        for number in self.held_descriptors:
            os.close(number)
        self.held_descriptors.clear()
        if left == "all":
            resource.setrlimit(resource.RLIMIT_NOFILE, self.descriptor_limit)
            return
        resource.setrlimit(resource.RLIMIT_NOFILE, (256, self.descriptor_limit[1]))
        with suppress(OSError):
            while True:
                self.held_descriptors.append(os.dup(0))
        for number in self.held_descriptors[-int(left) :]:
            os.close(number)
        del self.held_descriptors[-int(left) :]

    async def do_wait(self, span: str) -> None:
        await asyncio.sleep(float(span) / 1000.0)

    async def until(self, pattern: str, least: int = 1, most: int = 10**9) -> None:
        immediately = pattern.startswith("now ")
        pattern = pattern.removeprefix("now ")
        end = asyncio.get_running_loop().time() + (0.0 if immediately else 4.0 if least else 0.15)
        while asyncio.get_running_loop().time() < end:
            found = sum(fnmatchcase(observed, pattern) for observed in self.observed)
            if least and found >= least:
                break
            await asyncio.sleep(0.005)
        found = sum(fnmatchcase(observed, pattern) for observed in self.observed)
        assert least <= found <= most, f"{found} of {pattern!r} in {self.observed}"


async def play_sockets(lines: list[tuple[int, str]]) -> None:
    scene = Sockets()
    try:
        for number, line in lines:
            try:
                if line[0].isspace():
                    await scene.until(*bounds(line.strip()))
                else:
                    await scene.step(line.split())
            except Exception as problem:
                raise AssertionError(f"line {number}: {type(problem).__name__}: {problem}") from problem
    finally:
        await scene.do_descriptors("all")
        for line in scene.peers:
            asyncio.get_running_loop().remove_reader(line)
            line.close()
        scene.folder.cleanup()
