"""What the leader's tables cost by what they hold: bytes of views, snapshots and news; processor time of the
steps that go over all members or all workers."""

import time
from collections.abc import Callable

import msgspec

from sableford.control.coordinator import Coordinator
from sableford.control.protocol import JoinRequest, Update
from sableford.control.view import View
from sableford.control.workers import Worker
from sableford.scale.settings import Snapshot
from sableford.store.choice import Choice, WorkerEntry
from sableford.transport.frames import FrameReader, encode_frame
from sableford.transport.messages import PeerMessage

BEAT_MS = 1200.0
REPEATS = 20  # calls of a step that is measured; fewer where one is long
LONG_S = 2.0
TERM = 1


def jobs(plan: Snapshot) -> list:
    return [
        *(("workers", count, of_workers, (count,)) for count in plan.workers),
        *(("stores", count, of_stores, (count,)) for count in plan.stores),
        *(("members", count, of_members, (count,)) for count in plan.members),
    ]


def _name(at: int) -> str:
    return f"10.{at >> 16 & 255}.{at >> 8 & 255}.{at & 255}"


def _join_request(at: int, role: str) -> JoinRequest:
    zone = f"zone-{at % 6 + 1}"
    return JoinRequest(
        incarnation=f"{at:012x}",
        role=role,
        zone=zone,
        node=f"{role}-{zone}-{at}",
        control=f"{_name(at)}:7401" if role == "store" else "",
        view=View(),
    )


def _frame(message: PeerMessage) -> bytes:
    return encode_frame(msgspec.json.encode(message))


def _beat(at: int, count: int) -> Worker:
    address, zone = f"{_name(at)}:8080", f"zone-{at % 6 + 1}"
    return Worker(f"i-{at:08x}", f"service-{at % 20}", address, zone, 4, "ready", 0.0, "v1", count)


def coordinator(stores: int, edges: int, workers: int) -> Coordinator:
    """A leader that is warm, by its own methods; the workers are put in place at once."""
    one = Coordinator(BEAT_MS)
    one.roster_changed(0.0, [_name(at) for at in range(stores)])
    one.become_leader(0.0, TERM)
    for at in range(stores + edges):
        one.joined(1.0, _name(at), _join_request(at, "store" if at < stores else "edge"))
    for at in range(workers):
        line = _beat(at, 1)
        one.workers[line.id] = line
        one.registry._expires_at[line.id] = 1e9
    for member in one.members.values():
        member.lease_until, member.acknowledged = 1e9, one.update_number
    one.tick(2.0)
    for member in one.members.values():
        member.acknowledged = one.update_number
    return one


def cpu(act: Callable[[], object]) -> float:
    """Processor time of one call: the mean of some."""
    begun, calls = time.process_time(), 0
    while calls < REPEATS and (not calls or time.process_time() - begun < LONG_S):
        act()
        calls += 1
    return (time.process_time() - begun) / calls


def of_workers(count: int) -> dict:
    one = coordinator(3, 7, count)
    store = one.members[_name(0)]
    written = _frame(one._snapshot(store))
    head = FrameReader().feed(written)[0].head
    out = {
        "snapshot_bytes": float(len(written)),
        "snapshot_build_s": cpu(lambda: _frame(one._snapshot(store))),
        "snapshot_read_s": cpu(lambda: FrameReader().feed(written)),
        "snapshot_convert_s": cpu(lambda: msgspec.json.decode(head, type=Update)),
        "tick_s": cpu(lambda: one.tick(3.0)),
        "mirror_s": cpu(lambda: Coordinator(BEAT_MS).observe(one.view, one.workers.values(), 3.0)),
    }
    turn = iter(range(2, 1_000_000))
    out["beat_unchanged_s"] = cpu(lambda: one.registry.heartbeat(4.0, _beat(1, next(turn))))
    new = iter(range(count, 2 * count + 1_000_000))
    out["beat_new_s"] = cpu(lambda: one.registry.heartbeat(4.0, _beat(next(new), 1)))
    news = _frame(Update(term=1, number=5, previous=4, worker=one.workers["i-00000000"]))
    out["news_of_one_bytes"] = float(len(news))
    choice = Choice("zone-1", "s")
    lines = [_line(at) for at in range(count)]
    for line in lines:
        choice.workers[line.id] = _worker(line)
    choice._sort()
    out["choice_put_s"] = cpu(lambda: choice.put(5.0, lines[0], 0.0))
    return out


def _line(at: int) -> WorkerEntry:
    known = _beat(at, 1)
    return WorkerEntry(known.id, known.backend, _name(at), 8080, known.zone, 4, True)


def _worker(line: WorkerEntry):
    from sableford.store.choice import Worker as Known

    return Known(line, 0.0)


def of_stores(count: int) -> dict:
    one = coordinator(count, 0, 0)
    update = _frame(Update(term=1, number=5, previous=4, view=one.view))
    join = JoinRequest(incarnation="", role="", zone="", node="", view=one.view)
    return {
        "view_bytes": float(len(update)),
        "join_view_bytes": float(len(_frame(join))),
        "steer_s": cpu(lambda: one._assign_shards(3.0)),
        "tick_s": cpu(lambda: one.tick(3.0)),
        "view_read_s": cpu(lambda: msgspec.json.decode(FrameReader().feed(update)[0].head, type=Update)),
    }


def of_members(count: int) -> dict:
    """Three stores, the others edges."""
    one = coordinator(3, max(0, count - 3), 0)
    number = iter(range(one.update_number + 1, 10_000_000))
    edge = _name(count - 1)
    incarnation = one.members[edge].incarnation
    return {
        "tick_s": cpu(lambda: one.tick(3.0)),
        "acked_s": cpu(lambda: one.acknowledged(3.0, edge, incarnation, next(number))),
        "tell_s": cpu(lambda: one._broadcast(view=one.view)),
        "tell_and_encode_s": cpu(lambda: [_frame(sent.update) for sent in one._broadcast(view=one.view)]),
    }
