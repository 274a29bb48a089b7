"""A store is emptied and taken away by the operator's order while its deliveries are at workers."""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stands import (  # noqa: E402
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

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEADLINE_S, READ_S = 1.5, 0.05  # the route's timeout; by so much before it the answer must be complete
RUN_S = float(os.environ.get("RUN_S", "1.3"))  # a worker's work on a message, well inside the timeout
WORKERS, SLOTS = 10, 2
RATE = 0.95 * WORKERS * SLOTS / RUN_S  # messages a second: a little less than the workers can do
BEFORE_S, AFTER_S, REST_S = 4.0, 2.0, 9.0
POLL_S = 2.0  # between two looks of the operator at how far it is
PORT = 9200
CONFIGURATION = configuration(1, [route("lookups", "/lohu930/", "matchhall")], [backend("matchhall")])


async def play(record: Record) -> int:
    system = System(record, stores=4, edges=4, zones=4)
    try:
        return await play_in(system, record)
    finally:
        await system.end()


async def play_in(system: System, record: Record) -> int:
    await system.start()
    await system.configure(CONFIGURATION, 0)
    workers = [
        Worker(system, f"i-m{at}", "matchhall", f"{system.net}.{61 + at}", PORT, RUN_S, SLOTS)
        for at in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
    await asyncio.sleep(5.0)  # calm for longer than quietMs

    client, sends = Client(system, "ficu95.example", system.stores[-1].zone), []
    load = asyncio.create_task(send_on(client, sends, BEFORE_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    taken_away_at = await empty(system, record) if TROUBLE else float("inf")
    await load
    await asyncio.sleep(REST_S)
    accepted = {sent.id for sent in await asyncio.gather(*sends) if sent.status == 202}
    if not accepted:
        raise CannotRunError("nothing was accepted")
    return judge(record, workers, accepted, taken_away_at)


async def send_on(client: Client, sends: list, seconds: float) -> None:
    for number in range(int(seconds * RATE)):
        sends.append(asyncio.create_task(client.send(f"m{number}", "/lohu930/1")))
        await asyncio.sleep(1.0 / RATE)


async def empty(system: System, record: Record) -> float:
    """The operator's order, as PROTOCOL.md gives it; at `complete` the machine is taken away at once."""
    store = system.stores[-1]
    answer = await system.control("POST", f"/v1/retire/{store.name}/start", {}, b'{"withinS":10}')
    if answer is None or answer.status != 200:
        raise CannotRunError("the order to empty a store is not taken")
    record.say(f"operator: {store.name} is to be emptied: 200 {answer.body.decode()}")
    for _ in range(12):
        await asyncio.sleep(POLL_S)
        answer = await system.control("GET", f"/v1/retire/{store.name}/read", {}, b"")
        if answer is not None and answer.status == 200:
            record.say(f"operator reads: {answer.body.decode()}")
            if b"complete" in answer.body:
                store.send(signal.SIGKILL)
                return record.now()
    raise CannotRunError("the store is not emptied")


def judge(record: Record, workers: list[Worker], accepted: set[str], taken_away_at: float) -> int:
    """TWICE: it runs again after a success whose answer was complete in time and was read by the sender. No
    process ended before the store was taken away: whoever sent it was there."""
    runs: dict[str, list] = {}
    for worker in workers:
        for run in worker.runs:
            runs.setdefault(run.id, []).append(run)
    twice = 0
    for id, all_runs in sorted(runs.items()):
        all_runs.sort(key=lambda run: run.began_at)
        for run in all_runs:
            in_time = run.status == 200 and run.answered_at <= run.arrived_at + DEADLINE_S - READ_S
            is_read = run.answered_at + READ_S < taken_away_at
            again = [other for other in all_runs if other.began_at > run.answered_at]
            if id in accepted and in_time and is_read and again:
                twice += 1
                record.say(f"TWICE {run}")
                for other in again:
                    record.say(f"      {other}")
                break
    repeats = sum(len(all_runs) - 1 for all_runs in runs.values())
    record.say(f"TWICE: {twice} of {len(accepted)} accepted messages; {repeats} repeats in all")
    return BROKEN if twice else HELD


if __name__ == "__main__":
    sys.exit(main(play, HERE))
