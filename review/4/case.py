"""Stores are restarted in turn, as planned work. Now and then a message that has ended runs again. See
`claim.txt`."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import LIMITS, CannotRunError, System, backend, play, route

HERE = Path(__file__).resolve().parent
HOST = "ficu95.example"
STORES, MACHINE_LOSS = 6, 2
# Where magnolia-tm-grown has other bounds than the small sites.
BOUNDS = {"syncS": 6, "quietMs": 5000, "orderAckMs": 6000, "drainMs": 4000, "applyMs": 4000}
BOUNDS |= {"stretchMaxMs": 15000, "recoveryS": 15}
MESSAGES = 150  # in each round, each with an order key of its own
DELAY_MS = 1000
WAITING, WAITING_MS = 150, 115_000
UNTIL_S = 99.0  # since the start of the case: no round begins later
# The next store is stopped so long after the one before takes calls again.
PAUSE_S = (0.018, 0.036)


async def send_all(system: System, turn: int, count: int, delay_ms: int) -> dict[str, str]:
    """Messages that are due after that time: their names by id."""
    names: dict[str, str] = {}

    async def one(at: int) -> None:
        id, key = f"m{turn:03d}x{at:05d}", f"thing-{turn}-{at}"
        headers = {"Order_Key": key, "Delay_Ms": str(delay_ms)}
        status, name = await system.send(HOST, "/pufi791/c", id, b"x" * 300, **headers)
        if status == 202:
            names[id] = name

    for first in range(0, count, 25):
        await asyncio.gather(*(one(at) for at in range(first, first + 25)))
    return names


async def accepts(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


async def stop(system: System, name: str) -> None:
    """SIGTERM, as the platform does it; the process ends by itself within `graceS`."""
    process = system.processes[name]
    system.record.write(event="SIGTERM", node=name)
    process.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(process.wait(), 7.0)
    except TimeoutError:
        raise CannotRunError(f"{name} did not end within its grace") from None
    system.record.write(event="ended", node=name, code=process.returncode)


async def start(system: System, name: str) -> None:
    """Starts it again, and waits until it takes calls."""
    system.record.write(event="started", node=name)
    await system.start(name, bootstrap=False)
    address = f"{system.stores[name]}:{system.control}"
    until = time.monotonic() + 10.0
    while not await accepts(address):
        if time.monotonic() > until:
            raise CannotRunError(f"{name} does not listen")
        await asyncio.sleep(0.002)
    system.record.write(event="takes calls", node=name)


def runs_after_success(system: System) -> list[str]:
    """Messages that a worker began after one had answered them with success."""
    done: dict[str, dict] = {}
    broken = []
    for event in system.events:
        id = event.get("id", "")
        if event["event"] == "run" and id in done:
            broken.append(f"{id}: runs at {event['worker']} again after the success {done[id]['seal']}")
        elif event["event"] == "done":
            done.setdefault(id, event)
    return broken


async def case(system: System, trouble: str) -> list[str]:
    routes = [route("r-hwrr6x7", "/pufi791/", "termbase", fifo=True, maxTries=4, rank=1)]
    document = {"revision": 2, "routes": routes, "backends": [backend("termbase")], "limits": LIMITS}
    await system.start_all(document)
    for at in (1, 2):
        given = {"id": f"i-{at}", "backend": "termbase", "address": f"{system.net}.{50 + at}:8080"}
        given |= {"zone": "charlotte-a", "capacity": 16, "work_s": 0.01, "control": system.control_addresses}
        await system.start_worker(given)
    await asyncio.sleep(1.5)
    # Some wait all the time, so that there are always some to take over.
    await send_all(system, 0, WAITING, WAITING_MS)
    shown: dict[str, int] = {}
    names = list(system.stores)
    turn, back_at = 0, {name: 0.0 for name in names}  # when each store was back

    async def until_counted(lost: int) -> None:
        """Waits until no more than so many machines count as lost: `syncS` after their return they do not."""
        while sum(time.monotonic() - at < BOUNDS["syncS"] for at in back_at.values()) > lost:
            await asyncio.sleep(0.02)

    while time.monotonic() - system.record.started < UNTIL_S and not runs_after_success(system):
        turn += 1
        first, second = names[2 * turn % STORES], names[(2 * turn + 1) % STORES]
        await until_counted(MACHINE_LOSS - 1)
        sent = await send_all(system, turn, MESSAGES, DELAY_MS)
        due = time.monotonic() + DELAY_MS / 1000.0
        if trouble != "0":
            await stop(system, first)
        await asyncio.sleep(max(0.0, due - time.monotonic()) + 0.15)
        # What the client is told now proves that the sender has read the successes.
        phases = await asyncio.gather(*(system.phase(HOST, name) for name in sent.values()))
        shown |= {id: turn for id, phase in zip(sent, phases, strict=True) if phase == "complete"}
        if trouble != "0":
            await start(system, first)
            back_at[first] = time.monotonic()
            await asyncio.sleep(random.uniform(*PAUSE_S))
            await until_counted(MACHINE_LOSS - 1)
            await stop(system, second)
            await start(system, second)
            back_at[second] = time.monotonic()
        else:
            await asyncio.sleep(BOUNDS["syncS"])
    await asyncio.sleep(0.5)
    print(f"{turn} rounds, {len(shown)} messages shown as complete")
    return [line for line in runs_after_success(system) if line.partition(":")[0] in shown]


sys.exit(play(HERE, case, STORES, MACHINE_LOSS, BOUNDS))
