"""The decision of a store (`sableford.store.choice`) in simulated time: processor time of one choice, and how
far its estimate is from what is truly in flight, by workers known and by who else decides.

Deciders send to workers at a steady rate; a run takes an exponential time. Each tells what it has in flight
to the others that share workers with it, as the store's program does. `subset`: each decider knows so many
workers, dealt out evenly in turn from a seeded order; 0: all.
"""

import random
import time
from heapq import heappop, heappush

from sableford.scale.fit import percentile
from sableford.scale.settings import ChoiceCost
from sableford.store.choice import Choice, WorkerEntry

BACKEND = "service"
ZONE = "zone-1"
WARM = 0.3  # of the choices are made before anything is counted


def jobs(plan: ChoiceCost) -> list:
    return [
        (f"workers, {subset or 'all'} known to each", workers, of_workers, (workers, subset, plan))
        for subset in plan.subset
        for workers in plan.workers
    ]


def _deal(workers: int, deciders: int, subset: int, chance: random.Random) -> list[list[int]]:
    """Which workers each decider knows: windows of a shuffled ring, so that all have as many deciders."""
    if not subset or subset >= workers:
        return [list(range(workers))] * deciders
    order = list(range(workers))
    chance.shuffle(order)
    step = workers / deciders
    out = []
    for at in range(deciders):
        first = int(at * step)
        out.append([order[(first + place) % workers] for place in range(subset)])
    return out


class _World:
    def __init__(self, workers: int, subset: int, plan: ChoiceCost) -> None:
        self.plan, self.chance = plan, random.Random(plan.seed)
        self.in_flight = [0] * workers
        down = {at for at in range(workers) if self.chance.random() < plan.down}
        self.ready = workers - len(down)
        self.known = _deal(workers, plan.deciders, subset, self.chance)
        self.deciders: list[Choice] = []
        for at, known in enumerate(self.known):
            choice = Choice(ZONE, f"decider-{at}")
            for worker in known:
                line = WorkerEntry(
                    f"{worker}", BACKEND, "10.0.0.1", 8080, ZONE, plan.capacity, worker not in down
                )
                choice.workers[line.id] = _known(line)
            choice._sort()
            self.deciders.append(choice)
        holders: dict[int, list[int]] = {}
        for at, known in enumerate(self.known):
            for worker in known:
                holders.setdefault(worker, []).append(at)
        self.holders = holders
        self.told_words = self.told_counts = 0

    def tell(self, now: float) -> None:
        """Each decider's changed counts, to those who know these workers too."""
        for at, choice in enumerate(self.deciders):
            words: dict[int, dict[str, int]] = {}
            for id in sorted(choice.changed):
                for other in self.holders[int(id)]:
                    if other != at:
                        words.setdefault(other, {})[id] = choice.workers[id].own
            choice.changed = set()
            for other, counts in words.items():
                self.deciders[other].told(now, f"decider-{at}", counts)
                self.told_words += 1
                self.told_counts += len(counts)


def _known(line: WorkerEntry):
    from sableford.store.choice import Worker

    return Worker(line, 0.0)


def of_workers(workers: int, subset: int, plan: ChoiceCost) -> dict:
    """Of the choices after the warm part: µs each, share on a worker that is full, errors of estimates."""
    world = _World(workers, subset, plan)
    in_flight, chance = world.in_flight, world.chance
    rate = plan.load * world.ready * plan.capacity / plan.run_ms  # a ms
    ends: list[tuple[float, int, int]] = []
    now, next_tell, cpu, counted = 0.0, plan.tell_ms, 0.0, 0
    collisions = none = 0
    errors: list[float] = []
    jobs_met: list[float] = []
    for turn in range(plan.choices):
        now += chance.expovariate(rate)
        while next_tell <= now:
            _finish(world, ends, next_tell)
            world.tell(next_tell)
            next_tell += plan.tell_ms
        _finish(world, ends, now)
        at = turn % plan.deciders
        choice = world.deciders[at]
        begun = time.process_time()
        worker = choice.choose(now, BACKEND)
        took = time.process_time() - begun
        warm = turn >= plan.choices * WARM
        if warm:
            cpu += took
            counted += 1
        if worker is None:
            none += warm
            continue
        place = int(worker.entry.id)
        if warm:
            collisions += in_flight[place] >= plan.capacity
            errors.append(abs(worker.jobs() - in_flight[place]))
            jobs_met.append(float(in_flight[place]))
        choice.sent(worker)
        in_flight[place] += 1
        heappush(ends, (now + chance.expovariate(1.0 / plan.run_ms), at, place))
    counted = max(1, counted)
    return {
        "choose_cpu_us": cpu / counted * 1e6,
        "on_a_full_worker": collisions / counted,
        "none_chosen": none / counted,
        "estimate_error_mean": sum(errors) / max(1, len(errors)),
        "estimate_error_p99": percentile(errors, 0.99),
        "met_in_flight_mean": sum(jobs_met) / max(1, len(jobs_met)),
        "met_in_flight_p99": percentile(jobs_met, 0.99),
        "simulated_ms": now,
        "words_a_decider_s": world.told_words / plan.deciders / max(1e-9, now / 1000.0),
        "counts_a_decider_s": world.told_counts / plan.deciders / max(1e-9, now / 1000.0),
    }


def _finish(world: _World, ends: list[tuple[float, int, int]], now: float) -> None:
    while ends and ends[0][0] <= now:
        at_ms, at, place = heappop(ends)
        world.in_flight[place] -= 1
        choice = world.deciders[at]
        choice.finished(at_ms, choice.workers[str(place)], True, False)
