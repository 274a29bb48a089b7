"""`python -m sableford.simhost`: runs one scheduler per instance over stdin and stdout."""

import sys

from sableford.intake.charter import read_charter
from sableford.intake.door import Door, Sheet
from sableford.model import (
    CallOff,
    Decline,
    Effect,
    Ended,
    Event,
    Follow,
    Heard,
    Lapsed,
    Post,
    Probe,
    Progressed,
    Reverse,
    Sampled,
    Started,
    Taken,
    Tell,
    Unfollowed,
    Wake,
    Woken,
)
from sableford.policy.scheduler import Scheduler
from sableford.simhost import wire

_LIST_DELTA, _LIST_FULL, _LIST_CACHED, _LIST_FAILED = range(4)
_NOTE_STARTED = 1
_HINTED = 1


class Instance:
    """One scheduler and its index table."""

    def __init__(self, number: int, seed: int, text: bytes) -> None:
        self.number = number
        self.door = Door()
        # In this protocol one request subscribes for good.
        self.core = Scheduler(read_charter(text).terms._replace(ask_within=0.0), seed)

    def tell(self, now: float, event: Event, reply: wire.Reply) -> None:
        for effect in self.core.handle(now, event):
            self._write(effect, reply)

    def _write(self, effect: Effect, reply: wire.Reply) -> None:
        door, number = self.door, self.number
        match effect:
            case Post(txn, worker, until):
                door.posted(txn)
                reply.route(number, door.txn_ids[txn], door.worker_ids[worker], until / 1000.0)
            case CallOff(txn, posting):
                reply.retract(number, door.txn_ids[txn], posting)
            case Decline(txn, pause):
                reply.say_no(number, door.txn_ids[txn], pause / 1000.0)
                door.over(txn)
            case Reverse(txn):
                reply.end_failed(number, door.txn_ids[txn])
                door.over(txn)
            case Wake(after):
                reply.schedule(number, after / 1000.0)
            case Follow():
                reply.subscribe(number)
            case Probe(worker):
                reply.check(number, door.worker_ids[worker])
            case Tell(peers, worker, slots):
                reply.write_peers(number, peers, door.word(worker, slots))


class Host:
    """All instances of this process; they share only the numbered worker lists."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._sheets: dict[int, Sheet] = {}

    def answer(self, frame: wire.Frame) -> bytes:
        reply = wire.Reply()
        now = frame.clock * 1000.0
        for at in range(0, frame.count * wire.EVENT_SIZE, wire.EVENT_SIZE):
            number = self._one(frame, at, now, reply)
            if number is not None:
                break
        return reply.packed()

    def _one(self, frame: wire.Frame, at: int, now: float, reply: wire.Reply) -> int | None:
        """Handles one record; returns the instance's number if its scheduler failed."""
        body, code = frame.body, frame.body[at]
        if code == wire.INVENTORY:
            sheet, offset, count = wire.inventory(body, at + 1)
            self._sheets[sheet] = Sheet(frame.entries(offset, count))
            return None
        (number,) = wire.instance(body, at + 1)
        try:
            if code == wire.MESSAGE:
                _, peer, offset, length = wire.message(body, at + 1)
                instance = self._instances.get(number)
                word = instance and instance.door.heard(frame.tail(offset, length))
                if word is not None:
                    instance.tell(now, Heard(peer, *word), reply)
                return None
            if code == wire.BORN:
                _, seed, offset, length = wire.born(body, at + 1)
                self._instances[number] = Instance(number, seed, frame.tail(offset, length))
                return None
            if code == wire.TEARDOWN:
                self._instances.pop(number, None)
                return None
            if code not in _READERS:
                raise wire.Malformed(f"unknown event code {code}")
            instance = self._instances.get(number)
            if instance is None:
                return None
            if code == wire.FLEET:
                self._fleet(instance, now, wire.fleet(body, at + 1), reply)
                return None
            event = _READERS[code](instance.door, body, at + 1)
            if event is not None:
                instance.tell(now, event, reply)
        except wire.Malformed:
            raise
        except Exception as problem:
            reply.fault(number, f"{type(problem).__name__}: {problem}")
            return number
        return None

    def _fleet(self, instance: Instance, now: float, record: tuple, reply: wire.Reply) -> None:
        _, form, _, sheet = record
        if form == _LIST_FAILED:
            instance.tell(now, Unfollowed(), reply)
            return
        if form not in (_LIST_DELTA, _LIST_FULL, _LIST_CACHED):
            raise wire.Malformed(f"unknown list form {form}")
        if sheet not in self._sheets:
            raise wire.Malformed(f"list number {sheet} was never sent")
        instance.tell(now, instance.door.roster(self._sheets[sheet], form != _LIST_DELTA), reply)


def _call(door: Door, body: bytes, at: int) -> Event:
    _, rid, scheme, account, key, give_up, work, slots, _, facts = wire.call(body, at)
    work = work * 1000.0 if facts & _HINTED else 0.0
    return Taken(door.take(rid), scheme, account, give_up * 1000.0, slots or 1.0, work, key)


def _report_back(door: Door, body: bytes, at: int) -> Event | None:
    _, rid, _, _, done, outcome, _, posting, figures, *load = wire.report_back(body, at)
    if outcome not in wire.ENDINGS:
        raise wire.Malformed(f"unknown outcome {outcome}")
    if figures > len(load):
        raise wire.Malformed(f"load report of {figures} values")
    txn = door.txn(rid)
    if txn is None:
        return None
    door.back(txn, bool(done))
    return Ended(txn, posting, wire.ENDINGS[outcome], bool(done), tuple(load[:figures]))


def _update_of(door: Door, body: bytes, at: int) -> Event | None:
    _, rid, posting, _, kind, share = wire.update_of(body, at)
    txn = door.txn(rid)
    if txn is None:
        return None
    return Started(txn, posting) if kind == _NOTE_STARTED else Progressed(txn, posting, share)


def _lapsed(door: Door, body: bytes, at: int) -> Event | None:
    _, rid = wire.lapsed(body, at)
    txn = door.txn(rid)
    if txn is None:
        return None
    door.over(txn)
    return Lapsed(txn)


def _sampled(door: Door, body: bytes, at: int) -> Event | None:
    _, _, wid, outcome, figures, *load = wire.sampled(body, at)
    if outcome not in wire.ENDINGS:
        raise wire.Malformed(f"unknown outcome {outcome}")
    if figures > len(load):
        raise wire.Malformed(f"load report of {figures} values")
    worker = door.worker(wid)
    return None if worker is None else Sampled(worker, outcome == 100, tuple(load[:figures]))


def _unused(door: Door, body: bytes, at: int) -> Event | None:
    return None


_READERS = {
    wire.CALL: _call,
    wire.REPORT_BACK: _report_back,
    wire.UPDATE_OF: _update_of,
    wire.LAPSED: _lapsed,
    wire.SAMPLED: _sampled,
    wire.ELAPSED: lambda door, body, at: Woken(),
    wire.STREAMING: _unused,
    wire.MESSAGE: _unused,
    wire.FLEET: _unused,
}


def main() -> int:
    host = Host()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := wire.read_frame(source)) is not None:
            sink.write(host.answer(frame))
            sink.flush()
    except wire.Malformed as problem:
        print(f"simhost: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
