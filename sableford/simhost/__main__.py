"""`python -m sableford.simhost`: runs one scheduler per instance over stdin and stdout."""

import sys

from sableford.intake.index_table import IndexTable, WorkerList
from sableford.intake.scheduler_settings import parse_settings
from sableford.model import (
    CallOff,
    ClientLeft,
    Decline,
    Effect,
    Ended,
    Event,
    FetchRoster,
    NotifyPeers,
    PeerUpdate,
    Post,
    Probe,
    Probed,
    Progressed,
    Reverse,
    RosterFailed,
    Started,
    TxnArrived,
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
        self.table = IndexTable()
        # In this protocol one request subscribes for good.
        self.core = Scheduler(parse_settings(text).config._replace(ask_within=0.0), seed)

    def handle(self, now: float, event: Event, reply: wire.Reply) -> None:
        for effect in self.core.handle(now, event):
            self._write(effect, reply)

    def _write(self, effect: Effect, reply: wire.Reply) -> None:
        table, number = self.table, self.number
        match effect:
            case Post(txn, worker, until):
                table.posting_sent(txn)
                reply.route(number, table.txn_ids[txn], table.worker_ids[worker], until / 1000.0)
            case CallOff(txn, posting):
                reply.retract(number, table.txn_ids[txn], posting)
            case Decline(txn, pause):
                reply.say_no(number, table.txn_ids[txn], pause / 1000.0)
                table.close_txn(txn)
            case Reverse(txn):
                reply.end_failed(number, table.txn_ids[txn])
                table.close_txn(txn)
            case Wake(after):
                reply.schedule(number, after / 1000.0)
            case FetchRoster():
                reply.subscribe(number)
            case Probe(worker):
                reply.check(number, table.worker_ids[worker])
            case NotifyPeers(peers, worker, slots):
                reply.write_peers(number, peers, table.encode_load(worker, slots))


class Host:
    """All instances of this process; they share only the numbered worker lists."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, WorkerList] = {}

    def answer(self, frame: wire.Frame) -> bytes:
        reply = wire.Reply()
        now = frame.clock * 1000.0
        for at in range(0, frame.count * wire.EVENT_SIZE, wire.EVENT_SIZE):
            number = self._handle_record(frame, at, now, reply)
            if number is not None:
                break
        return reply.packed()

    def _handle_record(self, frame: wire.Frame, at: int, now: float, reply: wire.Reply) -> int | None:
        """Handles one record; returns the instance's number if its scheduler failed."""
        body, code = frame.body, frame.body[at]
        if code == wire.INVENTORY:
            list_number, offset, count = wire.inventory(body, at + 1)
            self._lists[list_number] = WorkerList(frame.entries(offset, count))
            return None
        (number,) = wire.instance(body, at + 1)
        try:
            if code == wire.MESSAGE:
                _, peer, offset, length = wire.message(body, at + 1)
                instance = self._instances.get(number)
                load = instance and instance.table.decode_load(frame.tail(offset, length))
                if load is not None:
                    instance.handle(now, PeerUpdate(peer, *load), reply)
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
                self._handle_list(instance, now, wire.fleet(body, at + 1), reply)
                return None
            event = _READERS[code](instance.table, body, at + 1)
            if event is not None:
                instance.handle(now, event, reply)
        except wire.Malformed:
            raise
        except Exception as problem:
            reply.fault(number, f"{type(problem).__name__}: {problem}")
            return number
        return None

    def _handle_list(self, instance: Instance, now: float, record: tuple, reply: wire.Reply) -> None:
        _, form, _, list_number = record
        if form == _LIST_FAILED:
            instance.handle(now, RosterFailed(), reply)
            return
        if form not in (_LIST_DELTA, _LIST_FULL, _LIST_CACHED):
            raise wire.Malformed(f"unknown list form {form}")
        if list_number not in self._lists:
            raise wire.Malformed(f"list number {list_number} was never sent")
        instance.handle(
            now, instance.table.roster_update(self._lists[list_number], form != _LIST_DELTA), reply
        )


def _call(table: IndexTable, body: bytes, at: int) -> Event:
    _, rid, scheme, account, key, give_up, work, slots, _, facts = wire.call(body, at)
    work = work * 1000.0 if facts & _HINTED else 0.0
    return TxnArrived(table.add_txn(rid), scheme, account, give_up * 1000.0, slots or 1.0, work, key)


def _report_back(table: IndexTable, body: bytes, at: int) -> Event | None:
    _, rid, _, _, done, outcome, _, posting, figures, *load = wire.report_back(body, at)
    if outcome not in wire.ENDINGS:
        raise wire.Malformed(f"unknown outcome {outcome}")
    if figures > len(load):
        raise wire.Malformed(f"load report of {figures} values")
    txn = table.find_txn(rid)
    if txn is None:
        return None
    table.posting_ended(txn, bool(done))
    return Ended(txn, posting, wire.ENDINGS[outcome], bool(done), tuple(load[:figures]))


def _update_of(table: IndexTable, body: bytes, at: int) -> Event | None:
    _, rid, posting, _, kind, share = wire.update_of(body, at)
    txn = table.find_txn(rid)
    if txn is None:
        return None
    return Started(txn, posting) if kind == _NOTE_STARTED else Progressed(txn, posting, share)


def _lapsed(table: IndexTable, body: bytes, at: int) -> Event | None:
    _, rid = wire.lapsed(body, at)
    txn = table.find_txn(rid)
    if txn is None:
        return None
    table.close_txn(txn)
    return ClientLeft(txn)


def _sampled(table: IndexTable, body: bytes, at: int) -> Event | None:
    _, _, wid, outcome, figures, *load = wire.sampled(body, at)
    if outcome not in wire.ENDINGS:
        raise wire.Malformed(f"unknown outcome {outcome}")
    if figures > len(load):
        raise wire.Malformed(f"load report of {figures} values")
    worker = table.find_worker(wid)
    return None if worker is None else Probed(worker, outcome == 100, tuple(load[:figures]))


def _unused(table: IndexTable, body: bytes, at: int) -> Event | None:
    return None


_READERS = {
    wire.CALL: _call,
    wire.REPORT_BACK: _report_back,
    wire.UPDATE_OF: _update_of,
    wire.LAPSED: _lapsed,
    wire.SAMPLED: _sampled,
    wire.ELAPSED: lambda table, body, at: Woken(),
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
