"""Replicated log: disks that fail, and messages and folders of the previous version."""

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
from tests.record_growth import is_caught_up, value

# Failing disks


def shows_a_write_after_one_that_failed_makes_nothing_good() -> None:
    """Guards against a voter acknowledging entries that its disk lacks, when of two writes in flight the
    first fails and the second succeeds."""
    node = RaftNode("b", 1, ["a", "b", "c"], StoredState("folder of b", 1), 0.0, 1)
    node._base_voters = node._voters = dict.fromkeys("abc", "")
    node.standing = Standing.VOTING
    entries = [Entry(1, Kind.PUT, "a#1", at, put("k", b"%d" % at)) for at in (1, 2, 3)]
    effects = []
    for at, entry in enumerate(entries):
        effects += node.handle_message(1.0, "a", 1, AppendRequest("id", 1, at, min(at, 1), 0, 1, 0, (entry,)))
    numbers = [effect.number for effect in effects if isinstance(effect, Persist)]
    effects = node.handle_disk_failure(2.0, "No space left on device")
    for number in numbers[1:]:
        effects += node.handle_persisted(2.0, number)
    assert node.standing is Standing.NO_DISK and node.durable == 0
    assert not [one for one in effects if isinstance(one, Send) and isinstance(one.message, AppendResponse)]
    [whole] = node.rewrite()
    assert node.rewrite() == []  # one at a time
    node.handle_persisted(3.0, whole.number)
    assert node.standing is Standing.VOTING and node.durable == 3


def shows_a_full_disk_is_given_a_snapshot_and_not_a_long_log_again_each_second() -> None:
    group = Group("abc")
    leader = group.wait_for_leader()
    for number in range(18):
        assert group.commit(value(number))
    late = next(name for name in group.names if name != leader.name)
    node, member = group.nodes[late], group.members[late]
    assert sum(len(entry.data) for entry in node.entries) > 800_000
    member.disk_full = True
    rewritten = []
    rewrite = node.rewrite
    node.rewrite = lambda: (effects := rewrite(), rewritten.extend(effects))[0]
    for number in range(100, 130):
        assert group.commit(put("k", b"%d" % number))
    group.run(5000.0)
    assert node.standing is Standing.NO_DISK and 4 <= len(rewritten) <= 9, len(rewritten)
    size = sum(len(entry.data) for store in rewritten for write in store.writes for entry in write.entries)
    assert size < 100_000, size
    member.disk_full = False
    assert group.run(4000.0, lambda: node.commit == leader.commit and node.standing is Standing.VOTING)


class ControlledDisk:
    """A key-value disk whose writes complete or fail on demand; each write is atomic."""

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
        return RecordStorage(list(self.keys.items())).stored_state


def shows_entries_that_a_failed_write_did_not_remove_are_never_read_back() -> None:
    file = ControlledDisk()
    storage = RecordStorage([])
    file.write(storage.initial_write(["a"]))
    file.end()
    writer = RecordWriter(
        storage, file.write, lambda number, problem: file.ended.append((number, problem is None))
    )

    def entry(term: int, number: int) -> Entry:
        return Entry(term, Kind.PUT, "a#1", number, b"x")

    writer.persist(Persist(1, (HardState(3, ""), *(AppendToLog(at, entry(3, at)) for at in range(1, 11)))))
    file.end()
    writer.persist(Persist(2, (TruncateLog(7), AppendToLog(8, entry(4, 8)))))
    writer.persist(Persist(3, (AppendToLog(9, entry(4, 9)),)))  # batched with the next write, so it fails too
    file.end(problem=True)
    assert file.ended == [(1, True), (2, False)] and not file.writes
    assert file.opened().entries == tuple(entry(3, at) for at in range(1, 11))
    writer.persist(Persist(4, (HardState(5, ""),)))
    assert not file.writes  # only a full rewrite is accepted
    kept = (*(entry(3, at) for at in range(1, 8)), entry(4, 8))
    writer.persist(Persist(5, (ReplaceLog(storage._meta.id, HardState(5, ""), None, 1, 0, kept),)))
    file.end()
    held = file.opened()
    assert held.entries == kept and held.lost is None and held.term == 5, len(held.entries)
    file.loop.close()


def shows_entries_behind_a_gap_count_as_lost_and_are_removed() -> None:
    file = ControlledDisk()
    storage = RecordStorage([])
    entries = [Entry(2, Kind.PUT, "a#1", at, b"x") for at in range(1, 7)]
    for key, data in [
        *storage.initial_write(["a"]),
        *storage.make_write([AppendToLog(at, one) for at, one in enumerate(entries, 1)]),
    ]:
        file.keys[key] = data
    del file.keys[b"re" + (4).to_bytes(8, "big")]
    again = RecordStorage(list(file.keys.items()))
    assert len(again.stored_state.entries) == 3 and again.stored_state.lost == (2, 6)
    for key, data in again.make_write([AppendToLog(4, Entry(5, Kind.NOTHING))], 1):
        file.keys.pop(key, None) if data is None else file.keys.update({key: data})
    held = file.opened()
    assert [one.term for one in held.entries] == [2, 2, 2, 5] and held.lost == (2, 6)
    node = RaftNode("a", 1, ["a", "b", "c"], StoredState("id", 2, first=40, entries=tuple(entries)), 0.0, 1)
    assert node.last == 0 and node._lost_position == (2, 45)  # the entries before them are missing
    assert any(isinstance(one, Persist) and isinstance(one.writes[0], ReplaceLog) for one in node.tick(1.0))
    file.loop.close()


# Compatibility with the previous version


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
    """The previous version neither sends `through` nor caches a snapshot whose transfer has begun."""

    class PreviousVersion(RaftNode):
        def _send_snapshot(self, now, sender, message):
            self._transport = DATAGRAMS
            effects = super()._send_snapshot(now, sender, message)
            return [one._replace(message=msgspec.structs.replace(one.message, through=0)) for one in effects]

    server = PreviousVersion("a", 1, ["a"], StoredState("folder of a"), 0.0, 1)
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
                for answer in server.handle_message(now, "b", 1, fetch.message):
                    asked += learner.handle_message(now, "a", 1, answer.message)
    assert learner.commit == 1 and learner.state_machine.values["k"].data == b"x" * 100_000


def shows_a_follower_of_the_version_before_that_is_behind_a_short_log_is_sent_the_snapshot() -> None:
    """The previous version requests a snapshot only if a thousand entries behind, or after a first chunk."""

    class PreviousVersion(RaftNode):
        def _handle_append_request(self, now, sender, message):
            return super()._handle_append_request(now, sender, msgspec.structs.replace(message, first=0))

        def _handle_snapshot_chunk(self, now, sender, message):
            self._fetch_source = sender
            return super()._handle_snapshot_chunk(now, sender, msgspec.structs.replace(message, through=0))

    group = Group("abc", DATAGRAMS)
    leader = group.wait_for_leader()
    late = next(name for name in group.names if name != leader.name)
    group.kill(late)
    for number in range(60):
        assert group.commit(value(number, 30_000))
    group._make_node = PreviousVersion
    node = group.start(late)
    assert leader.first > node.last + 1
    assert group.run(5000.0, lambda: is_caught_up(group, node)), (node.commit, leader.commit)


# Both forms of storage as the previous version (b314cb7) wrote them, with the same state: a snapshot up to
# entry 3, entries 3 to 5, and a vote for c in term 3.
PREVIOUS_FILE = {
    "72650000000000000003": "950101a361233501c40e93a6636f6e666967c4036f6e65ff",
    "72650000000000000004": "950201a362233601c40e93a6636f6e666967c40374776f03",
    "72650000000000000005": "950201a362233602c40c93a6726f73746572c40172ff",
    "7269": "85a46c61737403a47465726d01a6766f7465727383a161b030303031303230333034303530363037a162a46964"
    "2d62a163a469642d63a676616c75657381a6636f6e66696792c4036f6e6503a574616b656e81a3612335810192"
    "03c3",
    "726d": "87a26964b030303031303230333034303530363037a47465726d03a4766f7465a163a5666972737403a6626566"
    "6f726501a46c6f7374c0a56e616d657393a161a162a163",
}
PREVIOUS_FOLDER = {
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
    file = {bytes.fromhex(key): bytes.fromhex(data) for key, data in PREVIOUS_FILE.items()}
    folder = {name: bytes.fromhex(data) for name, data in PREVIOUS_FOLDER.items()}
    storage = RecordStorage(list(file.items()))
    assert storage.initial_voters == ("a", "b", "c") and not storage.is_new
    for held in (storage.stored_state, recover("a", folder, "new").held):
        assert (held.id, held.term, held.vote, held.lost) == ("0001020304050607", 3, "c", None)
        assert (held.first, held.before, [entry.term for entry in held.entries]) == (3, 1, [1, 2, 2])
        node = RaftNode("a", 9, ["a", "b", "c"], held, 0.0, 1)
        assert node.standing is Standing.ASKING and (node.commit, node.last) == (3, 5)
        assert node.state_machine.values["config"].data == b"one" and node.voters()["b"] == "id-b"
        node._apply_committed(5)
        assert node.state_machine.values["config"].data == b"two" and node.state_machine.known("a#5", 1) == (
            3,
            True,
        )
    # Writes of this version leave a file that can be read in the same way.
    for key, data in storage.make_write([TruncateLog(4), HardState(4, "")], 1):
        file.pop(key, None) if data is None else file.update({key: data})
    again = RecordStorage(list(file.items())).stored_state
    assert len(again.entries) == 2 and again.lost is None and again.term == 4
