"""Plain asserts on many schedulers at once, which share nothing but what all are told."""

from heapq import heappop, heappush

from sableford.model import Roster, TxnArrived, Woken
from sableford.policy.scheduler_state import MAX_CHOICES
from tests.decision_scenes import START, Play

MANY = 300


def crowd(*steps: str, **terms: float) -> list[tuple[float, str]]:
    """Plays the same steps at each of many schedulers; when and to which worker they posted."""
    posts = []
    for position in range(MANY):
        scene = Play()
        scene.terms = {"schedulers": MANY, "position": position, **terms}
        scene.scheme("quote", "repeatable", "sla=900", "expiry=2000")
        for step in steps:
            scene.step(step.split())
            at = float(step.split()[0])
            posts += [(at, told.split()[2]) for told in scene.told if told.startswith("post")]
    return posts


def shows_many_schedulers_together_keep_to_a_cold_workers_budget() -> None:
    span, factor, cold, warm = 2000, 4.0, 0.2, 20_000
    takes = [f"{at} take t{at}1-t{at}3 quote" for at in range(2000, 12_000, 500)]
    posts = crowd("0 roster A since=-10", *takes, span=span, factor=factor, cold=cold, warm=warm)
    for at, _ in posts:  # an eighth of the expiry is what a run is taken for before one was seen
        sent = 2000 / 8 * sum(at <= when < at + span for when, _ in posts)
        bears = cold + (1.0 - cold) * (at + 10) / warm
        assert sent <= factor * bears * 2.0 * span, (at, sent)
    # And it is not left idle: rounded down in each span, less than a third of what it bears was sent.
    borne = (cold + (1.0 - cold) * 6000 / warm) * 2.0 * 10_000
    assert 2000 / 8 * len(posts) > 0.4 * factor * borne, len(posts)


def shows_restarts_together_send_a_cold_worker_only_what_it_earns_from_then_on() -> None:
    posts = crowd("0 roster A since=-3000", "100 take t1-t3 quote", "900 wait", factor=9, cold=0.9)
    assert 2000 / 8 * len(posts) < 0.5 * 9 * 2.0 * 1000, len(posts)


def shows_each_draws_its_own_few_and_all_workers_are_used() -> None:
    posts = crowd("0 roster W1-W40", "10 take t1-t2 quote")
    counts = {name: sum(worker == name for _, worker in posts) for _, name in posts}
    assert len(counts) == 40 and max(counts.values()) < 3 * len(posts) / 40, counts


def shows_a_restarted_crowd_hears_from_a_list_service_that_answers_five_a_second() -> None:
    # It turns away what would wait over 4 s and gives up what has waited 2 s, its work on that lost.
    scenes, told, due, free_at = [], {}, [], 0.0
    for position in range(40):
        scene = Play()
        scene.terms = {"schedulers": 40, "position": position, "follows": 1, "ask": 10_000}
        scene.scheme("quote", "repeatable")
        scenes.append(scene)
        due.append((float(position), position, "roster A"))
    due.sort()
    for at in range(100, 40_000, 100):
        due += [(float(at), position, "wait") for position in range(40)]
        due.sort()
        while due and due[0][0] <= at:
            now, position, step = heappop(due)
            scenes[position].step(f"{now} {step}".split())
            if step == "roster B":
                told.setdefault(position, []).append(now)
            for _ in range(sum(word in ("ask", "follow") for word in scenes[position].told)):
                begins = max(now, free_at)
                if begins > now + 4000.0:
                    heappush(due, (now + 20.0, position, "unfollow"))
                    continue
                free_at = begins + 200.0
                late = free_at > now + 2000.0
                heappush(
                    due, (now + 2000.0 if late else free_at, position, "unfollow" if late else "roster B")
                )
    firsts = sorted(times[0] for times in told.values())
    assert len(firsts) == 40 and firsts[27] < 20_000.0, firsts
    for start in (0.0, 10_000.0, 20_000.0, 30_000.0):
        heard = sum(start <= at < start + 10_000.0 for times in told.values() for at in times)
        assert heard >= 20, (start, heard)


def shows_a_part_of_an_allowance_below_one_txn_is_not_none() -> None:
    scene = Play()
    scene.terms = {"schedulers": MANY, "allowance": 30.0}
    scene.scheme("quote", "repeatable")
    core = scene.open()
    assert [core._beyond_share(START, 0) for _ in range(3)] == [False, False, True]
    assert not core._beyond_share(START + 11_000.0, 0)


def shows_two_schedulers_in_need_use_most_of_a_cold_workers_budget_and_no_more_in_any_span() -> None:
    span, factor, cold, warm = 2000, 2.0, 0.2, 20_000
    scenes, sent = [], []
    for position in range(2):
        scene = Play()
        scene.terms = {"schedulers": 2, "position": position, "span": span, "factor": factor}
        scene.terms |= {"cold": cold, "warm": warm}
        scene.scheme("quote", "repeatable", "sla=900", "expiry=2000")
        scene.step("0 roster B; A since=-10".split())
        scene.step("1 take s quote".split())
        scene.step("2 end s.0 settled 0 8".split())  # the kind has eight slots
        scene.step("3 roster B draining".split())
        scenes.append((scene, []))
    for at in range(100, 12_000, 100):
        for scene, out in scenes:
            ends = [f"{at} end {txn}.0 settled 0 8" for txn in out]
            out.clear()
            for step in (*ends, f"{at} take t{at}x1-t{at}x4 quote"):
                scene.step(step.split())
                out += [told.split()[1] for told in scene.told if told.startswith("post")]
            sent += [float(at)] * len(out)
    used = []
    for at in range(3000, 12_000, 500):
        bears = cold + (1.0 - cold) * (at + 10) / warm
        work = 2000 / 8 * sum(at - span < when <= at for when in sent)
        used.append(work / (factor * bears * 8.0 * span))
    assert max(used) < 0.8 and sum(used) > 0.55 * len(used), used


def shows_one_event_asks_for_homes_a_few_times_only_however_many_txns_are_held() -> None:
    play = Play()
    play.scheme("quote", "repeatable", "sla=9000000", "expiry=90000000")
    core, asked = play.open(), []
    lines = tuple(play.listed(f"W{at}") for at in range(20))
    core.handle(START, Roster(lines, lambda worker: 1.0))
    for at in range(400):
        core.handle(START, TxnArrived(at, 0, 0, START + 9e7, 1.0, 0.0, at + 1))
    assert core.held > 100
    homes = core._homes
    core._homes = lambda now, txn: asked.append(txn) or homes(now, txn)
    core.handle(START + 100.0, Woken())
    assert 0 < len(asked) <= MAX_CHOICES, len(asked)
