"""Plain asserts on the record's disks that refuse, and on messages and folders of the version before."""

from asyncio import Future, new_event_loop

import msgspec

from sableford.consensus import messages
from sableford.consensus.constants import DATAGRAMS, STREAMS
from sableford.consensus.effects import (
    AppendToLog,
    HardState,
    Persist,
    ReplaceLog,
    Send,
    Standing,
    StoredState,
    TruncateLog,
)
from sableford.consensus.log_files import recover
from sableford.consensus.messages import (
    AppendRequest,
    AppendResponse,
    Entry,
    FetchRequest,
    Kind,
    SnapshotChunk,
)
from sableford.consensus.raft_node import RaftNode, put
from sableford.control.record_storage import RecordStorage, RecordWriter
from sableford.simulation.consensus.growth import Group
from tests.record_growth import level, value

# Disks that refuse


def shows_a_write_after_one_that_failed_makes_nothing_good() -> None:
    """Of two writes under way the first failed and the second did not: the voter acknowledged entries that
    its disk lacked."""
    core = RaftNode("b", 1, ["a", "b", "c"], StoredState("folder of b", 1), 0.0, 1)
    core._base_voters = core._voters = dict.fromkeys("abc", "")
    core.standing = Standing.VOTING
    entries = [Entry(1, Kind.PUT, "a#1", at, put("k", b"%d" % at)) for at in (1, 2, 3)]
    told = []
    for at, entry in enumerate(entries):
        told += core.heard(1.0, "a", 1, AppendRequest("id", 1, at, min(at, 1), 0, 1, 0, (entry,)))
    numbers = [effect.number for effect in told if isinstance(effect, Persist)]
    told = core.failed(2.0, "No space left on device")
    for number in numbers[1:]:
        told += core.stored(2.0, number)
    assert core.standing is Standing.NO_DISK and core.durable == 0
    assert not [one for one in told if isinstance(one, Send) and isinstance(one.message, AppendResponse)]
    [whole] = core.rewrite()
    assert core.rewrite() == []  # one at a time
    core.stored(3.0, whole.number)
    assert core.standing is Standing.VOTING and core.durable == 3


def shows_a_full_disk_is_given_a_snapshot_and_not_a_long_log_again_each_second() -> None:
    group = Group("abc")
    leader = group.led()
    for number in range(18):
        assert group.agreed(value(number))
    late = next(name for name in group.names if name != leader.name)
    core, member = group.cores[late], group.members[late]
    assert sum(len(entry.data) for entry in core.entries) > 800_000
    member.full = True
    rewritten = []
    rewrite = core.rewrite
    core.rewrite = lambda: (told := rewrite(), rewritten.extend(told))[0]
    for number in range(100, 130):
        assert group.agreed(put("k", b"%d" % number))
    group.run(5000.0)
    assert core.standing is Standing.NO_DISK and 4 <= len(rewritten) <= 9, len(rewritten)
    size = sum(len(entry.data) for store in rewritten for deed in store.writes for entry in deed.entries)
    assert size < 100_000, size
    member.full = False
    assert group.run(4000.0, lambda: core.commit == leader.commit and core.standing is Standing.VOTING)


class File:
    """A disk that fails where it is told to; each write is whole or not at all."""

    def __init__(self) -> None:
        self.loop = new_event_loop()
        self.keys: dict[bytes, bytes] = {}
        self.writes: list[tuple[list, Future]] = []
        self.ended: list[tuple[int, bool]] = []

    def write(self, puts: list) -> Future:
        self.writes.append((puts, self.loop.create_future()))
        return self.writes[-1][1]

    def end(self, problem: bool = False) -> None:
        puts, future = self.writes.pop(0)
        if problem:
            future.set_exception(OSError("full"))
        else:
            for key, data in puts:
                self.keys.pop(key, None) if data is None else self.keys.update({key: data})
            future.set_result(True)
        self.loop.call_soon(self.loop.stop)
        self.loop.run_forever()

    def opened(self) -> StoredState:
        return RecordStorage(list(self.keys.items())).held


def shows_entries_that_a_failed_write_did_not_remove_are_never_read_back() -> None:
    file = File()
    storage = RecordStorage([])
    file.write(storage.begin(["a"]))
    file.end()
    writer = RecordWriter(
        storage, file.write, lambda number, problem: file.ended.append((number, problem is None))
    )

    def entry(term: int, number: int) -> Entry:
        return Entry(term, Kind.PUT, "a#1", number, b"x")

    writer.keep(Persist(1, (HardState(3, ""), *(AppendToLog(at, entry(3, at)) for at in range(1, 11)))))
    file.end()
    writer.keep(Persist(2, (TruncateLog(7), AppendToLog(8, entry(4, 8)))))
    writer.keep(
        Persist(3, (AppendToLog(9, entry(4, 9)),))
    )  # goes with the next write, and so with what failed
    file.end(problem=True)
    assert file.ended == [(1, True), (2, False)] and not file.writes
    assert file.opened().entries == tuple(entry(3, at) for at in range(1, 11))
    writer.keep(Persist(4, (HardState(5, ""),)))
    assert not file.writes  # nothing but a whole writing is taken
    kept = (*(entry(3, at) for at in range(1, 8)), entry(4, 8))
    writer.keep(Persist(5, (ReplaceLog(storage._meta.id, HardState(5, ""), None, 1, 0, kept),)))
    file.end()
    held = file.opened()
    assert held.entries == kept and held.lost is None and held.term == 5, len(held.entries)
    file.loop.close()


def shows_entries_behind_a_gap_count_as_lost_and_are_removed() -> None:
    file = File()
    storage = RecordStorage([])
    entries = [Entry(2, Kind.PUT, "a#1", at, b"x") for at in range(1, 7)]
    for key, data in [
        *storage.begin(["a"]),
        *storage.puts([AppendToLog(at, one) for at, one in enumerate(entries, 1)]),
    ]:
        file.keys[key] = data
    del file.keys[b"re" + (4).to_bytes(8, "big")]
    again = RecordStorage(list(file.keys.items()))
    assert len(again.held.entries) == 3 and again.held.lost == (2, 6)
    for key, data in again.puts([AppendToLog(4, Entry(5, Kind.NOTHING))], 1):
        file.keys.pop(key, None) if data is None else file.keys.update({key: data})
    held = file.opened()
    assert [one.term for one in held.entries] == [2, 2, 2, 5] and held.lost == (2, 6)
    core = RaftNode("a", 1, ["a", "b", "c"], StoredState("id", 2, first=40, entries=tuple(entries)), 0.0, 1)
    assert core.last == 0 and core._lost_position == (2, 45)  # what they stand on is not there
    assert any(isinstance(one, Persist) and isinstance(one.writes[0], ReplaceLog) for one in core.tick(1.0))
    file.loop.close()


# Two versions


class OldAppend(msgspec.Struct, array_like=True, frozen=True, tag=13):
    id: str
    term: int
    prev: int
    prev_term: int
    commit: int
    round: int
    kept: int
    entries: tuple[Entry, ...] = ()


class OldSnap(msgspec.Struct, array_like=True, frozen=True, tag=17):
    last: int
    at: int
    of: int
    data: bytes


def shows_messages_of_this_version_and_the_one_before_are_read_by_each_other() -> None:
    for codec in (msgspec.msgpack, msgspec.json):
        new = AppendRequest("i", 1, 2, 1, 2, 3, 4, (Entry(1, 0),), 9, "you")
        old = codec.decode(codec.encode(new), type=OldAppend)
        assert old.entries == new.entries and old.kept == 4
        back = codec.decode(codec.encode(old), type=messages.RaftMessage)
        assert (back.first, back.voter) == (0, "")
        snap = codec.decode(codec.encode(SnapshotChunk(9, 0, 5, b"12345", 5)), type=OldSnap)
        assert codec.decode(codec.encode(snap), type=messages.RaftMessage).through == 0


def shows_a_snapshot_comes_whole_from_and_to_the_version_before() -> None:
    """It neither says how far an answer goes nor holds the snapshot that was begun."""

    class Before(RaftNode):
        def _send_snapshot(self, now, sender, message):
            self._transport = DATAGRAMS
            told = super()._send_snapshot(now, sender, message)
            return [one._replace(message=msgspec.structs.replace(one.message, through=0)) for one in told]

    server = Before("a", 1, ["a"], StoredState("folder of a"), 0.0, 1)
    server.entries.append(Entry(1, Kind.PUT, "a#1", 1, put("k", b"x" * 100_000)))
    server._apply_committed(1)
    server._compact(0, 0)
    learner = RaftNode("b", 1, ["a"], StoredState("folder of b"), 0.0, 1, newcomer=True, transport=STREAMS)
    now, asked = 0.0, []
    for _ in range(15):
        now += 100.0
        asked += learner.tick(now)
        while asked:
            fetch = asked.pop(0)
            if isinstance(fetch, Send) and isinstance(fetch.message, FetchRequest):
                for answer in server.heard(now, "b", 1, fetch.message):
                    asked += learner.heard(now, "a", 1, answer.message)
    assert learner.commit == 1 and learner.state_machine.values["k"].data == b"x" * 100_000


def shows_a_follower_of_the_version_before_that_is_behind_a_short_log_is_sent_the_snapshot() -> None:
    """It asks for one only where it is a thousand entries behind, or has been sent a piece."""

    class Before(RaftNode):
        def _handle_append_request(self, now, sender, message):
            return super()._handle_append_request(now, sender, msgspec.structs.replace(message, first=0))

        def _handle_snapshot_chunk(self, now, sender, message):
            self._fetch_source = sender
            return super()._handle_snapshot_chunk(now, sender, msgspec.structs.replace(message, through=0))

    group = Group("abc", DATAGRAMS)
    leader = group.led()
    late = next(name for name in group.names if name != leader.name)
    group.kill(late)
    for number in range(60):
        assert group.agreed(value(number, 30_000))
    group._make = Before
    core = group.start(late)
    assert leader.first > core.last + 1
    assert group.run(5000.0, lambda: level(group, core)), (core.commit, leader.commit)


# Both folders as the version before this one (b314cb7) wrote them, with the same record: a snapshot up to
# entry 3, entries 3 to 5, and a vote for c in term 3.
LANDED_FILE = {
    "72650000000000000003": "950101a361233501c40e93a6636f6e666967c4036f6e65ff",
    "72650000000000000004": "950201a362233601c40e93a6636f6e666967c40374776f03",
    "72650000000000000005": "950201a362233602c40c93a6726f73746572c40172ff",
    "7269": "85a46c61737403a47465726d01a6766f7465727383a161b030303031303230333034303530363037a162a46964"
    "2d62a163a469642d63a676616c75657381a6636f6e66696792c4036f6e6503a574616b656e81a3612335810192"
    "03c3",
    "726d": "87a26964b030303031303230333034303530363037a47465726d03a4766f7465a163a5666972737403a6626566"
    "6f726501a46c6f7374c0a56e616d657393a161a162a163",
}
LANDED_FOLDER = {
    "image-3": "a5725c000000311d526785a46c61737403a47465726d01a6766f7465727383a161b03030303130323033303430"
    "3530363037a162a469642d62a163a469642d63a676616c75657381a6636f6e66696792c4036f6e6503a574616b"
    "656e81a361233581019203c3",
    "log-2": "a5721a000000f9f90d33980001a161b030303031303230333034303530363037030301c0a572050000000fe29a"
    "bd930102a162a5721b00000032571763930203950101a361233501c40e93a6636f6e666967c4036f6e65ffa572"
    "1b00000033f25eeb930204950201a362233601c40e93a6636f6e666967c40374776f03a57219000000257a1fcc"
    "930205950201a362233602c40c93a6726f73746572c40172ffa5720500000072f3b0ea930103a163",
    "mark": "a5720b000000ddd4860e94a56c6f672d32ccaf0305",
}


def shows_folders_of_the_version_before_are_read() -> None:
    file = {bytes.fromhex(key): bytes.fromhex(data) for key, data in LANDED_FILE.items()}
    folder = {name: bytes.fromhex(data) for name, data in LANDED_FOLDER.items()}
    storage = RecordStorage(list(file.items()))
    assert storage.names == ("a", "b", "c") and not storage.fresh
    for held in (storage.held, recover("a", folder, "new").held):
        assert (held.id, held.term, held.vote, held.lost) == ("0001020304050607", 3, "c", None)
        assert (held.first, held.before, [entry.term for entry in held.entries]) == (3, 1, [1, 2, 2])
        core = RaftNode("a", 9, ["a", "b", "c"], held, 0.0, 1)
        assert core.standing is Standing.ASKING and (core.commit, core.last) == (3, 5)
        assert core.state_machine.values["config"].data == b"one" and core.voters()["b"] == "id-b"
        core._apply_committed(5)
        assert core.state_machine.values["config"].data == b"two" and core.state_machine.known("a#5", 1) == (
            3,
            True,
        )
    # What this version writes to it next leaves a file that reads the same.
    for key, data in storage.puts([TruncateLog(4), HardState(4, "")], 1):
        file.pop(key, None) if data is None else file.update({key: data})
    again = RecordStorage(list(file.items())).held
    assert len(again.entries) == 2 and again.lost is None and again.term == 4
