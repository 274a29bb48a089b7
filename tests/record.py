"""Replicated log: exhaustive exploration of a small model, simulated fault walks, and damaged folders."""

import tempfile
from pathlib import Path

import msgspec

from sableford.consensus import effects as raft_effects
from sableford.consensus.effects import AppendToLog, HardState, ReplaceLog, Send
from sableford.consensus.file_disk import RealDisk
from sableford.consensus.log_files import LogFiles, recover
from sableford.consensus.messages import AppendResponse, Entry, Kind
from sableford.consensus.raft_node import RaftNode, put
from sableford.consensus.state_machine import StateMachine
from sableford.simulation.consensus.explorer import Bounds, InvariantError, explore
from sableford.simulation.consensus.walk import MemoryDisk, Walk


class VotesWithoutLogCheck(RaftNode):
    """Votes for the first candidate without comparing logs."""

    def _handle_vote_request(self, now, sender, message):
        return super()._handle_vote_request(
            now, sender, msgspec.structs.replace(message, last=10**6, last_term=10**6)
        )


class VotesBeforeSync(RaftNode):
    """Sends its vote before it is on disk."""

    def _persist(self, *writes, then=None):
        votes = [e for e in then or () if not (isinstance(e, Send) and isinstance(e.message, AppendResponse))]
        if votes and all(isinstance(write, HardState) for write in writes):
            rest = [effect for effect in votes if isinstance(effect, raft_effects.OwnVoteDurable)]
            said = [effect for effect in votes if effect not in rest]
            return super()._persist(*writes, then=rest) + said
        return super()._persist(*writes, then=then)


class AcknowledgesBeforeSync(RaftNode):
    """Acknowledges entries before they are on disk."""

    def _persist(self, *writes, then=None):
        if then and any(isinstance(e, Send) and isinstance(e.message, AppendResponse) for e in then):
            return super()._persist(*writes) + list(then)
        return super()._persist(*writes, then=then)


class AcceptsOldTerms(RaftNode):
    """Accepts entries from a leader of an earlier term, even over committed ones."""

    def _handle_append_request(self, now, sender, message):
        later = msgspec.structs.replace(message, term=max(message.term, self.term))
        return super()._handle_append_request(now, sender, later)


def shows_all_orders_of_one_election_and_of_a_crash_with_a_slow_disk_keep_one_order_of_entries() -> None:
    for bounds, least in ((Bounds("a", 1), 2000), (Bounds("ac", 0, "a", "a"), 4000)):
        states, all_of_them = explore(bounds)
        assert all_of_them and states > least, states
    for bounds in (Bounds("ac", 1, max_states=6000), Bounds("ac", 1, max_states=6000, fetches=True)):
        assert explore(bounds)[0] == 6000


def shows_each_planted_mistake_is_found_with_the_way_to_it() -> None:
    for mistake, bounds in (
        (VotesWithoutLogCheck, Bounds("acc", 0)),
        (VotesBeforeSync, Bounds("ac", 0, "b", "b")),
        (AcknowledgesBeforeSync, Bounds("acc", 0, "b", "b")),
        (AcceptsOldTerms, Bounds("acc", 0)),
    ):
        try:
            found = explore(bounds, mistake)
        except InvariantError as error:
            assert str(error).count("\n") > 4, error
        else:
            raise AssertionError(f"{mistake.__name__} was not found in {found[0]} states")


def shows_a_leader_counts_an_earlier_terms_entry_only_with_one_of_its_own() -> None:
    walk = Walk(1, learners=0, loss=0.0, disk_faults=())
    walk.simulation.run(3000.0)
    leader = next(node for node in walk.simulation.nodes.values() if node.is_leader)
    leader.entries.append(Entry(leader.term, Kind.NOTHING))
    leader.term += 1  # as if elected again, with an uncommitted entry of its earlier term
    for one in leader._followers.values():
        one.match_index = leader.last
    leader.durable = leader.last
    before = leader.commit
    leader._advance_commit()
    assert leader.commit == before
    leader.entries.append(Entry(leader.term, Kind.NOTHING))
    leader.durable = leader.last
    for one in leader._followers.values():
        one.match_index = leader.last
    leader._advance_commit()
    assert leader.commit == leader.last


def shows_walks_with_crashes_cuts_and_full_disks_lose_nothing_and_end_in_agreement() -> None:
    proposals = reads = leaders = 0
    for seed in range(60):
        walk = Walk(seed, voters=3 if seed % 3 else 5, disk_faults=())
        walk.run(30)
        proposals, reads, leaders = (
            proposals + walk.proposals,
            reads + walk.reads,
            leaders + walk.leader_changes,
        )
    assert proposals > 4000 and reads > 1500 and leaders > 90, (proposals, reads, leaders)


def shows_walks_with_folders_torn_flipped_lost_set_back_and_emptied_lose_nothing_either() -> None:
    events = []
    for seed in range(100, 240):
        walk = Walk(seed, voters=3 if seed % 3 else 5)
        walk.run(30)
        events += walk.events
    text = "\n".join(events)
    counts = [
        text.count(phrase) for phrase in ("'REPLACED'", "'INCOMPLETE'", "readmitted", "fetched what it lost")
    ]
    assert counts[0] > 20 and counts[1] > 1 and counts[2] > 20 and counts[3] > 1, counts


def shows_an_entry_of_an_unknown_kind_stops_its_reader_there_and_says_so() -> None:
    machine = StateMachine()
    assert machine.apply(1, Entry(1, Kind.PUT, data=put("a", b"1")))
    assert not machine.apply(2, Entry(1, 77)) and "kind 77" in machine.stopped
    assert not machine.apply(3, Entry(1, Kind.PUT, data=put("a", b"2"))) and machine.last == 1


def folder_with_entries() -> tuple[MemoryDisk, bytes]:
    """A folder with a vote and ten entries, each flushed separately, and its log file."""
    disk = MemoryDisk()
    store = LogFiles(disk, "a")
    store.open()
    store.persist([HardState(3, "b")])
    for index in range(1, 11):
        store.persist([AppendToLog(index, Entry(3, Kind.PUT, "x#1", index, put("k", b"%d" % index)))])
    return disk, disk.files["log-1"]


def shows_a_torn_last_record_is_cut_off_and_a_changed_byte_anywhere_is_damage_never_another_entry() -> None:
    disk, log = folder_with_entries()
    whole = recover("a", disk.files, "new").held
    assert len(whole.entries) == 10 and whole.lost is None and whole.vote == "b"
    # Partly written and never flushed, so it was never acknowledged.
    torn = recover("a", disk.files | {"log-1": log + log[-40:-9]}, "new").held
    assert torn.entries == whole.entries and torn.lost is None
    for size in range(len(log)):
        held = recover("a", disk.files | {"log-1": log[:size]}, "new").held
        short = held.entries != whole.entries or held.vote != "b"
        assert held.entries == whole.entries[: len(held.entries)]
        assert not short or held.id == "new" or held.lost == (3, 10), (size, held)
    for at in range(len(log)):
        corrupt = log[:at] + bytes([log[at] ^ 8]) + log[at + 1 :]
        held = recover("a", disk.files | {"log-1": corrupt}, "new").held
        assert held.entries == whole.entries[: len(held.entries)] and len(held.entries) < 10
        assert held.id == "new" or held.lost == (3, 10), (at, held)


def shows_damage_is_remembered_over_a_restart_and_anothers_folder_is_set_aside() -> None:
    disk, log = folder_with_entries()
    disk.files["log-1"] = disk.durable["log-1"] = log[:200] + b"?" + log[201:]
    assert LogFiles(disk, "a").open().held.lost == (3, 10)
    again = LogFiles(disk, "a").open()
    assert again.held.lost == (3, 10) and again.held.id != "new"
    other = LogFiles(disk, "c").open()
    assert other.held.entries == () and "the folder is a's" in other.said
    assert [name for name in disk.files if name.startswith("aside-log")], disk.files.keys()


def shows_a_snapshot_carries_ten_thousand_entries_over_a_restart_and_a_bad_one_is_fetched() -> None:
    disk = MemoryDisk()
    store = LogFiles(disk, "a")
    held = store.open().held
    node = RaftNode("a", 1, ["a"], held, 0.0, 1)
    entries = [Entry(1, Kind.PUT, "x#1", at, put(f"k{at % 50}", b"%d" % at)) for at in range(1, 10_501)]
    node.term = 1
    node.entries.extend(entries)
    effects = node._apply_committed(10_500)
    stores = [effect for effect in effects if isinstance(effect, raft_effects.Persist)]
    for effect in stores:
        store.persist(effect.writes)
    found = LogFiles(disk, "a").open()
    back = RaftNode("a", 2, ["a"], found.held, 0.0, 1)
    assert (
        back.state_machine.last == 10_500
        and back.state_machine.values == node.state_machine.values
        and not found.said
    )
    log = next(text for name, text in disk.files.items() if name.startswith("log-"))
    assert back.first == 9501 and len(log) < 120_000
    disk.files["image-10500"] = disk.files["image-10500"][:-1]
    bad = LogFiles(disk, "a").open()
    assert bad.held.snapshot is None and bad.held.lost == (1, 10_500), bad.said


def shows_a_real_folder_is_one_processes_own_and_keeps_what_was_flushed() -> None:
    with tempfile.TemporaryDirectory() as place:
        disk = RealDisk(Path(place, "fleet"))
        store = LogFiles(disk, "a")
        found = store.open()
        store.persist([HardState(1, "a"), AppendToLog(1, Entry(1, Kind.NOTHING))])
        try:
            RealDisk(Path(place, "fleet"))
        except BlockingIOError:
            pass
        else:
            raise AssertionError("two processes opened one folder")
        disk.release()
        again = LogFiles(RealDisk(Path(place, "fleet")), "a").open()
        assert (again.held.id, again.held.vote, len(again.held.entries)) == (found.held.id, "a", 1)
        whole = ReplaceLog("x", HardState(2, ""), None, 1, 0, ())
        store._has_failed = True
        try:
            store.persist([HardState(2, "")])
        except OSError as problem:
            assert "earlier" in str(problem)
        else:
            raise AssertionError("a write after a failure was accepted")
        store.persist([whole])  # only a full rewrite ends the failed state
        assert not store._has_failed
