"""Two stores are emptied and taken away, one after the other, and one is added between: planned work only."""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stands import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    CannotRunError,
    Client,
    Record,
    System,
    Worker,
    backend,
    configuration,
    main,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1")  # 1: all of it, one: the first store alone, 0: none
RUN_S = 1.4  # a worker's work on a message, inside the route's 1.5 s
FIRST_S, SECOND_S = 0.4, 0.1  # before the order: each worker gets one message, and then one more
POLL_S = 1.15  # between two looks of the operator at how far it is
WORKERS, SLOTS, PORT = 2, 2, 9200
CONFIGURATION = configuration(
    1,
    [route("lookups", "/lohu930/", "matchhall"), route("commits", "/pufi791/", "termbase", fifo=True)],
    [backend("matchhall"), backend("termbase", idempotent=True)],
)


async def play(record: Record) -> int:
    system = System(record, stores=5, edges=4, zones=4)
    added = system.stores.pop()
    added.zone, added.is_first = (
        system.stores[3].zone,
        False,
    )  # it is started in the middle, with an empty disk
    try:
        return await play_in(system, record, added)
    finally:
        await system.end()


async def play_in(system: System, record: Record, added) -> int:
    await system.start()
    await system.configure(CONFIGURATION, 0)
    lookers = [
        Worker(system, f"i-m{at}", "matchhall", f"{system.net}.{61 + at}", PORT, RUN_S, SLOTS)
        for at in range(WORKERS)
    ]
    terms = [Worker(system, f"i-t{at}", "termbase", f"{system.net}.{71 + at}", PORT) for at in range(2)]
    for worker in [*lookers, *terms]:
        await worker.start()
    await asyncio.sleep(5.0)

    early = await with_messages(system, record, 1, TROUBLE != "0")
    await asyncio.sleep(6.0)
    if TROUBLE == "1":
        system.stores.append(added)
        await added.start()
        await asyncio.sleep(8.0)
    early += await with_messages(system, record, 2, TROUBLE == "1")
    await asyncio.sleep(BOUNDS["quietMs"] / 1000.0 + 4.0)

    record.say("calm: all planned work is over")
    client = Client(system, "ficu95.example", system.stores[0].zone)
    commits = [await client.send(f"c{number}", "/pufi791/1", Order_Key="k1") for number in range(5)]
    lookups = [await client.send(f"l{number}", "/lohu930/1") for number in range(10)]
    await asyncio.sleep(BOUNDS["doneS"] + 5.0)  # ten messages take four slots four seconds
    return await judge(client, record, early, commits, lookups, lookers)


async def with_messages(system: System, record: Record, number: int, is_emptied: bool) -> list:
    """Messages of clients in the last store's zone, and while they are at workers the order to empty it."""
    client, sends = Client(system, "ficu95.example", system.stores[-1].zone), []
    for part, pause_s in (("a", FIRST_S - SECOND_S), ("b", SECOND_S)):
        for worker in range(WORKERS):
            sends.append(asyncio.create_task(client.send(f"m{number}{part}{worker}", "/lohu930/1")))
        await asyncio.sleep(pause_s)
    if is_emptied:
        await empty(system, record)
    return await asyncio.gather(*sends)


async def empty(system: System, record: Record) -> None:
    """The operator's order, as PROTOCOL.md gives it; at `complete` the machine is taken away at once."""
    store = system.stores[-1]
    answer = await system.control("POST", f"/v1/retire/{store.name}/start", {}, b'{"withinS":10}')
    if answer is None or answer.status != 200:
        raise CannotRunError(f"the order to empty a store is answered {answer and answer.status}")
    record.say(f"operator: {store.name} is to be emptied: 200 {answer.body.decode()}")
    for _ in range(12):
        await asyncio.sleep(POLL_S)
        answer = await system.control("GET", f"/v1/retire/{store.name}/read", {}, b"")
        if answer is not None and answer.status == 200:
            record.say(f"operator reads: {answer.body.decode()}")
            if b"complete" in answer.body:
                store.send(signal.SIGKILL)
                await store.gone()
                system.stores.remove(store)
                return
    raise CannotRunError("the store is not emptied")


async def judge(
    client: Client, record: Record, early: list, commits: list, lookups: list, lookers: list[Worker]
) -> int:
    """LOST: pending, though its time has come and no worker has had it."""
    for sent in commits:
        if (await client.state(sent)).get("phase") != "complete":
            raise CannotRunError("the other service does not work either")
    for worker in lookers:
        if record.now() - worker.acknowledged_at > 2.5:
            raise CannotRunError(f"beats of {worker.instance} are not acknowledged")
        record.say(f"worker {worker.instance}: its last beat was acknowledged, {worker.running} at work")
    reached = {run.id for worker in lookers for run in worker.runs}
    lost = []
    for sent in [*early, *lookups]:
        state = await client.state(sent)
        if sent.status == 202 and state.get("phase") == "pending" and sent.id not in reached:
            lost.append(sent)
    accepted = sum(sent.status == 202 for sent in lookups)
    record.say(f"LOST: {len(lost)} of {accepted} accepted messages are pending, and no worker has had them")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(main(play, HERE))
