"""What one store's queue costs by the messages that it holds: memory, disk, looks at all of it, a restart."""

import asyncio
import gc
import os
import random
import tempfile
import time
from pathlib import Path

import msgspec

from sableford.common.disk import Disk
from sableford.control.view import SHARDS, StoreInfo, View, ref_of, shard_of
from sableford.scale.meters import reading
from sableford.scale.operator import LIMITS, route, service
from sableford.scale.settings import QueueState
from sableford.store.choice import Choice
from sableford.store.message_storage import Clocks, decode_message, encode_message
from sableford.store.messages import Message
from sableford.store.protocol import FinalState, MessageHeader, PullRequest, PutRequest
from sableford.store.queue import Queue
from sableford.transport.frames import encode_frame
from sableford.transport.routes import Table

ME, OTHER = "10.0.0.1", "10.0.0.2"
DISK_MOST = 20_000  # messages written to disk for a slope: more only fills the machine's disk
BATCH = 400  # writes given to the disk at once
ROUTES = 20
CLOCKS = Clocks(1e6, 1e6)  # of the messages on disk: nothing depends on them


def jobs(plan: QueueState) -> list:
    memory = [
        (
            "messages in memory",
            count,
            memory_of,
            (count, plan.body_bytes, plan.with_body, plan.ends, plan.seed),
        )
        for count in plan.messages
    ]
    disk = [
        ("messages on disk", count, disk_of, (count, plan.body_bytes, plan.seed))
        for count in sorted({min(count, DISK_MOST) for count in plan.messages})
        if count
    ]
    return memory + disk


def _queue() -> Queue:
    document = {
        "routes": [route(place, 1500) for place in range(ROUTES)],
        "backends": [service(place) for place in range(ROUTES)],
        "limits": LIMITS,
    }
    queue = Queue(ME, "b1", 1, Table(1, document), Choice("zone-1", "s"), 120.0, True)
    stores = {ME: StoreInfo("b1", "zone-1"), OTHER: StoreInfo("b2", "zone-2")}
    queue.state.view = View((1, 1), [ME] * SHARDS, ["b1"] * SHARDS, [(1, 1)] * SHARDS, stores, [ME, OTHER])
    queue.state.owned = {at: (1, 1) for at in range(SHARDS)}
    queue.state.lease = float("inf")
    return queue


def _put(place: int, chance: random.Random) -> PutRequest:
    """As an edge puts one; a third have an order key."""
    id = f"{chance.getrandbits(64):016x}"
    key = f"key-{place}" if place % 3 == 0 else ""
    shard = shard_of(key) if key else place % SHARDS
    given = route(place % ROUTES, 1500)
    return PutRequest(
        id=id,
        key=key,
        host=given["hostname"],
        target=given["pathPrefix"] + f"{place}",
        method="POST",
        content_type="application/octet-stream",
        delay_ms=0.0,
        age_ms=1.0,
        revision=1,
        shard=shard,
        ref=ref_of(shard, id),
    )


def _message(place: int, chance: random.Random, body: bytes) -> Message:
    """As a store keeps one."""
    put = _put(place, chance)
    header = MessageHeader(
        ref=put.ref,
        shard=put.shard,
        key=put.key,
        id=put.id,
        host=put.host,
        target=put.target,
        method=put.method,
        revision=put.revision,
        position=((1, 1), place),
        content_type=put.content_type,
    )
    return Message(header, body, 1.0, 1.0)


def _fill(queue: Queue, count: int, body_bytes: int, with_body: bool, chance: random.Random) -> None:
    """Accepted by this store, kept here and at another; no worker is known, so all of it waits."""
    for place in range(count):
        put = _put(place, chance)
        queue.put(1.0, put, chance.randbytes(body_bytes), None)
        queue.message_written(1.0, put.ref)
        queue.message_copied(1.0, put.ref, OTHER, True)
        if not with_body:
            queue.state.messages[put.ref].body = None


def memory_of(count: int, body_bytes: int, with_body: bool, ends: bool, seed: int) -> dict:
    """Resident memory beyond an empty queue's, and processor time of one look at everything."""
    queue, chance = _queue(), random.Random(seed)
    gc.collect()
    before = reading(os.getpid()).rss
    if ends:
        for place in range(count):
            shard = place % SHARDS
            ref = ref_of(shard, f"{chance.getrandbits(64):016x}")
            queue.state.final_states[ref] = FinalState(
                "complete", f"3e1b.07.5a2.600.0.{chance.getrandbits(32):08x}", "", 1e12 + place
            )
    else:
        _fill(queue, count, body_bytes, with_body, chance)
    gc.collect()
    out = {
        "rss_bytes": reading(os.getpid()).rss - before,
        "held": len(queue.state.messages) + len(queue.state.final_states),
    }
    out["collection_s"] = _cpu(gc.collect)
    if not ends:
        out["look_s"] = _cpu(lambda: _look(queue))
        out["tick_s"] = _cpu(lambda: queue.tick(2.0, 2.0))
        out["see_s"] = _cpu(lambda: queue.apply_view(2.0, queue.state.view))
        refs = list(queue.state.messages)
        out["pull_have_bytes"] = len(
            encode_frame(msgspec.json.encode(PullRequest(list(range(SHARDS)), refs, True)))
        )
        out["pulled_by_s"] = _cpu(lambda: queue.answer_pull(PullRequest(list(range(SHARDS)), [], True)))
    return out


def _look(queue: Queue) -> None:
    """What a store asks of its queue twice a second (`StoreServer._repair`)."""
    queue.repair(2.0)
    if queue.is_safe():
        queue.counts_on_leaving()
        queue.audits()


def _cpu(act) -> float:
    """Processor time of one call: the least of three."""
    took = []
    for _ in range(3):
        begun = time.process_time()
        act()
        took.append(time.process_time() - begun)
    return min(took)


def disk_of(count: int, body_bytes: int, seed: int) -> dict:
    """The file's growth and the time to read it back as a store does at its start."""
    with tempfile.TemporaryDirectory(prefix="sableford-scale-") as folder:
        return asyncio.run(_disk(Path(folder), count, body_bytes, seed))


async def _disk(folder: Path, count: int, body_bytes: int, seed: int) -> dict:
    chance = random.Random(seed)
    size_mb = max(64.0, count * (body_bytes + 9000) / 1e6 / 0.5)
    disk = Disk(folder, size_mb)
    disk.open()
    cpu, begun = time.process_time(), time.monotonic()
    for first in range(0, count, BATCH):
        writes = []
        for place in range(first, min(count, first + BATCH)):
            message = _message(place, chance, chance.randbytes(body_bytes))
            value = encode_message(message, CLOCKS)
            writes.append(disk.write([(b"m" + message.ref.encode(), value)], more=True))
        await asyncio.gather(*writes)
    write_cpu, write_s = time.process_time() - cpu, time.monotonic() - begun
    used = (disk._env.info()["last_pgno"] + 1) * disk._env.stat()["psize"]
    disk.close()
    cpu, begun = time.process_time(), time.monotonic()
    before = reading(os.getpid()).rss
    again = Disk(folder, size_mb)
    again.open()
    held = {}
    for _, value in again.load(b"m"):
        message = decode_message(value, CLOCKS)
        held[message.ref] = message
    out = {
        "file_bytes": used,
        "write_cpu_s": write_cpu,
        "write_s": write_s,
        "read_back_cpu_s": time.process_time() - cpu,
        "read_back_s": time.monotonic() - begun,
        "read_back_rss_bytes": reading(os.getpid()).rss - before,
        "held": len(held),
        "head_bytes": len(msgspec.json.encode(message.header)) if held else 0,
    }
    again.close()
    return out
