"""Simulation runs with planted mistakes, worker selection, leader discovery, the HTTP server on byte streams,
verdicts, the consensus nodes and what they store, settings. No test sleeps or opens a port."""

import asyncio
import itertools
import os
import tempfile
from math import inf
from pathlib import Path

import lmdb
import orjson
from msgspec.structs import replace

from sableford.common.disk import Disk
from sableford.common.log import Log
from sableford.common.log_writer import LogWriter
from sableford.common.settings import SettingsError, parse
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
from sableford.consensus.messages import Entry
from sableford.consensus.raft_node import RaftNode, put
from sableford.control.coordinator import Coordinator
from sableford.control.effects import SendUpdate
from sableford.control.member_client import MemberClient
from sableford.control.protocol import JoinRequest, JoinResponse, RenewRequest
from sableford.control.record_storage import RecordStorage
from sableford.control.timing import QUORUM_FRESH_MS
from sableford.control.view import SHARDS, StoreInfo, View, balanced_owners
from sableford.node.cli import main
from sableford.simulation.stores import DOC, RuleViolation, Simulation
from sableford.store.delivery import request_of, verdict_of
from sableford.store.delivery_results import DeliveryResults
from sableford.store.in_flight_reports import StoreIncarnation
from sableford.store.message_replication import MessageReplication
from sableford.store.messages import CopyMessage, Deliver, RespondToPut, WriteMessage
from sableford.store.protocol import ISOLATED, PutResponse
from sableford.store.queue import Queue, QueueParts
from sableford.store.queue_state import QueueState
from sableford.store.replica_placement import ReplicaPlacement
from sableford.store.shard_takeover import ShardTakeover
from sableford.store.worker_selection import WorkerEntry, WorkerSelector
from sableford.transport.frames import FrameReader, encode_frame
from sableford.transport.http import ConnectionLimits, HttpResponse
from sableford.transport.http_client import ClientConnection, Response
from sableford.transport.http_server import HttpServer, ServerConnection
from sableford.transport.link import Response as PeerReply
from sableford.transport.routes import RoutingTable
from sableford.transport.verdict import Execution, Verdict
from tests import store_scenes
from tests.control_member import STATUS
from tests.order import SendsOutOfTurn, with_parts

# Simulation runs and planted mistakes


def shows_stores_keep_their_guarantees_under_kills_power_loss_wipes_cuts_freezes_and_restarts() -> None:
    view_changes = accepted = 0
    for seed in range(36):
        walk = Simulation(seed).play()
        view_changes, accepted = view_changes + walk.view_changes, accepted + len(walk.accepted)
    assert view_changes > 500 and accepted > 10_000, (view_changes, accepted)


class OwnDiskSuffices(ReplicaPlacement):
    """Regards a message as safe once it is on the local disk."""

    def is_safe(self, message):
        return message.synced


class CopiesNothing(MessageReplication):
    def copy(self, now, message): ...


class EndlessLease(QueueState):
    """Acts on an expired lease."""

    def holds_lease(self, now):
        return True


class OpensAtOnce(ShardTakeover):
    """Serves a shard before the stores that may know of its messages have responded."""

    def check(self, now, takeover):
        if takeover.shards:
            self.open(now, takeover)


class NeverReports(DeliveryResults):
    def report(self, now):
        for ref in list(self._unreported):
            self.reported(ref)


StoresOnOneDisk = with_parts(placement=OwnDiskSuffices, replication=CopiesNothing)
IgnoresLeaseExpiry = with_parts(state=EndlessLease)
SendsWithoutOrder = with_parts(order=SendsOutOfTurn)
OpensShardsAtOnce = with_parts(takeover=OpensAtOnce)


class OmitsDeliveriesInFlight(Queue):
    """Does not report deliveries in flight to the new owner."""

    def answer_pull(self, request):
        response, messages = super().answer_pull(request)
        return replace(response, in_flight=[]), messages


class DropsUnreportedFinalStates(Queue):
    """Drops final states that only it knows once another store owns the shard."""

    parts = QueueParts(results=NeverReports)

    def final_states_of(self, refs):
        return {}


def found(make: type[Queue], kinds: tuple[str, ...], seeds: int = 60) -> str:
    for seed in range(seeds):
        try:
            Simulation(seed, 6, kinds, queue_factory=make).play()
        except RuleViolation as violation:
            return str(violation).split(" in walk")[0].split()[0]
    return ""


def shows_each_planted_mistake_of_a_store_is_found() -> None:
    for make, kinds, rules in (
        # ORDER: the next message of the key starts although the lost one never ended.
        (StoresOnOneDisk, ("wipe",), {"LOST", "ORDER"}),
        (IgnoresLeaseExpiry, ("freeze", "cut"), {"FENCE", "ORDER", "TWICE"}),
        (SendsWithoutOrder, ("kill",), {"ORDER"}),
        (OpensShardsAtOnce, ("power", "kill"), {"LOST", "ORDER", "TWICE", "NEVER"}),
        (OmitsDeliveriesInFlight, ("term",), {"TWICE", "ORDER"}),
        (DropsUnreportedFinalStates, ("term", "kill"), {"TWICE", "ORDER"}),
    ):
        assert found(make, kinds) in rules, (make.__name__, make.parts)


# Worker selection


def shows_a_worker_reported_as_full_by_others_is_refreshed_and_used() -> None:
    selector = WorkerSelector("z", "seed")
    entries = [WorkerEntry(f"w{at}", "b", "10.0.0.1", 80, "z", 2, True) for at in range(2)]
    selector.put(0.0, entries[0], 0.0)
    selector.apply_view(View(live_stores={"other": StoreInfo("b", "z")}))
    other = StoreIncarnation("other", "b")
    selector.update_reported_counts(0.0, other, {"w0": 2})
    selector.put(0.0, entries[1], 0.0)  # starts with the mean of the other counts, which is full
    assert selector.choose(10.0, "b") is None and "w1" in selector.stale
    selector.update_reported_counts(20.0, other, {"w1": 0})
    assert selector.choose(30.0, "b").entry.id == "w1"


PUT = replace(store_scenes.PUT, target="/a")


def shows_a_store_connected_to_too_few_others_accepts_nothing_new() -> None:
    queue = Queue("s0", "b0", 1, RoutingTable(1, DOC), WorkerSelector("z0", "s0"), 600.0, True)
    queue.state.view = View((1, 1), live_stores={f"s{at}": StoreInfo(f"b{at}", f"z{at}") for at in range(3)})
    queue.state.owned, queue.state.lease = {0: (1, 1)}, 1e9
    queue.state.unresponsive = {"s1", "s2"}
    assert queue.put(0.0, PUT, b"x", "edge") == [RespondToPut("edge", PutResponse(refusal=ISOLATED))]
    assert not queue.state.messages
    queue.state.unresponsive = {"s1"}
    effects = queue.put(0.0, PUT, b"x", "edge")
    assert [type(one) for one in effects] == [WriteMessage, CopyMessage] and effects[1].to == "s2"


def shows_the_first_copy_goes_to_another_zone_and_others_stay_near() -> None:
    def copies(losses: int, zones: int, quiet: tuple[str, ...] = ()) -> list[str]:
        queue = Queue(
            "s0", "b0", losses, RoutingTable(1, DOC), WorkerSelector("z0", "s0"), 600.0, True, zones
        )
        places = {"s0": "z0", "s1": "z0", "s2": "z0", "s3": "z1", "s4": "z2"}
        queue.state.view = View(
            (1, 1), live_stores={name: StoreInfo("b", zone) for name, zone in places.items()}
        )
        queue.state.owned, queue.state.lease, queue.state.unresponsive = {0: (1, 1)}, 1e9, set(quiet)
        effects = queue.put(0.0, PUT, b"x", "edge")
        return [one.to for one in effects if isinstance(one, CopyMessage)]

    assert copies(1, 0) == ["s3"] and copies(2, 0) == ["s3", "s1"]
    assert copies(2, 0, ("s3",)) == ["s4", "s1"] and copies(2, 0, ("s1", "s2")) == ["s3", "s4"]
    assert copies(2, 2) == ["s3", "s4"]


def at_one_address(rate: float) -> Queue:
    """One of three stores, which owns shard 0, with a rate-limited backend at a fixed endpoint."""
    queue = Queue("s0", "b0", 0, RoutingTable(), WorkerSelector("z0", "s0"), 600.0, True)
    queue.state.view = View((1, 1), live_stores={f"s{at}": StoreInfo(f"b{at}", f"z{at}") for at in range(3)})
    queue.state.owned, queue.state.lease = {0: (1, 1)}, 1e9
    service = {"name": "a", "endpoint": "10.0.0.9:80", "maxConns": 50, "ratePerS": rate}
    queue.configure(0.0, RoutingTable(2, DOC | {"backends": [service]}))
    return queue


def shows_all_stores_together_keep_under_a_service_s_rate() -> None:
    queue, sent, names = at_one_address(10.0), [], itertools.count()
    for step in range(2000):
        now = 15.0 * step
        effects = []
        if step % 10 == 0 and len(queue.state.messages) < 300:  # more than may be sent, at all times
            ref = f"00-{next(names)}"
            effects += queue.put(now, replace(PUT, ref=ref, target="/b"), b"x", "edge")
            effects += queue.message_written(now, ref)
        effects += queue.tick(now, now)
        for one in effects:
            if isinstance(one, Deliver):
                assert one.worker == "@a"
                sent.append(now)
                queue.delivered(now, one.ref, one.worker, Verdict(Execution.DONE, "", "seal"))
                queue.final_state_written(now, one.ref)
    most = max(sum(at <= other < at + 5000.0 for other in sent) for at in sent)
    assert 3 * most <= 10.0 * 5.0 * 1.1 + 5.0, most
    assert len(sent) > 0.9 * 10.0 / 3.0 * 30.0, len(sent)


def shows_a_service_at_one_address_is_sent_what_it_takes() -> None:
    queue = at_one_address(0.0)
    out = []
    for at in range(40):
        effects = queue.put(0.0, replace(PUT, ref=f"00-{at}", target="/b"), b"x", "edge")
        effects += queue.message_written(0.0, f"00-{at}")
        out += [one for one in effects if isinstance(one, Deliver)]
    assert len(out) == 4  # its capacity is unknown: the window starts small
    entry = queue.selector.workers["@a"].entry
    text = request_of(queue.state.messages[out[0].ref], b"x", entry, 900.0)
    assert (entry.host, entry.port) == ("10.0.0.9", 80) and b"Target-Instance" not in text
    for now in range(1, 400):
        done, out = out, []
        for one in done:
            rejected = len(done) > 12  # it handles twelve requests at a time
            verdict = Verdict(Execution.NOT_RUN, "full") if rejected else Verdict(Execution.DONE, "", "seal")
            effects = queue.delivered(200.0 * now, one.ref, "@a", verdict)
            effects += queue.final_state_written(200.0 * now, one.ref)
            out += [one for one in effects if isinstance(one, Deliver)]
        ref = f"00-more{now}"
        for at in range(20):
            effects = queue.put(200.0 * now, replace(PUT, ref=f"{ref}-{at}", target="/b"), b"x", "edge")
            effects += queue.message_written(200.0 * now, f"{ref}-{at}")
            out += [one for one in effects if isinstance(one, Deliver)]
    assert 6 <= queue.selector.workers["@a"].window <= 16, queue.selector.workers["@a"].window


def shows_shards_move_no_more_than_they_must() -> None:
    live_stores = [f"s{at}" for at in range(5)]
    owners = balanced_owners([""] * SHARDS, live_stores)
    assert {owners.count(store_info) for store_info in live_stores} == {SHARDS // 5}
    fewer = balanced_owners(owners, live_stores[1:])
    assert all(was == now for was, now in zip(owners, fewer, strict=True) if was != "s0")
    again = balanced_owners(fewer, live_stores)
    assert sum(was != now for was, now in zip(fewer, again, strict=True)) == SHARDS // 5


# Finding the leader


class NullLog:
    """A log that drops all events."""

    def event(self, name, /, **fields): ...


class Links:
    """A pool of links to the wanted peers, each with a prepared response."""

    def __init__(self, answers: dict[str, JoinResponse]) -> None:
        self.answers, self.wanted, self.request_count = answers, set(), 0

    def set_peers(self, names):
        self.wanted = names

    def names(self):
        return sorted(self.wanted)

    def responsive_link(self, name):
        return LinkTo(self, name) if name in self.answers else None


class LinkTo:
    def __init__(self, links: Links, name: str) -> None:
        self.links, self.name = links, name

    async def request(self, message):
        self.links.request_count += 1
        assert self.links.request_count < 20, "the search does not end"
        return PeerReply(self.links.answers[self.name])


def shows_a_leader_that_is_no_seed_is_found_through_redirects() -> None:
    async def find() -> str:
        redirects, accepts = JoinResponse(False, leader="10.0.0.9"), JoinResponse(True, 3)
        links = Links({"10.0.0.1": redirects, "10.0.0.2": redirects, "10.0.0.9": accepts})
        seeds = ["10.0.0.1", "10.0.0.2"]
        member = MemberClient(links, "10.0.0.5", lambda: STATUS, lambda: seeds, NullLog())
        await member.find_leader()
        return member.leader

    assert asyncio.run(find()) == "10.0.0.9"


# HTTP server and frames


class RecordingTransport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.out, self.closed = b"", False

    def write(self, data):
        self.out += data

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def abort(self):
        self.closed = True

    def pause_reading(self): ...

    def resume_reading(self): ...

    def get_write_buffer_size(self):
        return 0


def serve(
    parts: list[bytes], handle=lambda request: HttpResponse(200, request.body, content_type="text/plain")
) -> tuple[bytes, bool]:
    async def run() -> tuple[bytes, bool]:
        bounds = ConnectionLimits()
        bounds.max_head_bytes, bounds.max_body_bytes = 400, 50
        one, transport = ServerConnection(HttpServer(handle, bounds)), RecordingTransport()
        one.connection_made(transport)
        for part in parts:
            one.data_received(part)
        return transport.out, transport.closed

    return asyncio.run(run())


POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
CHUNKS = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n"


def shows_requests_are_read_whole_however_they_are_cut() -> None:
    for text in (POST, CHUNKS):
        for at in range(len(text)):
            out, closed = serve([text[:at], text[at:]])
            assert out.startswith(b"HTTP/1.1 200") and out.endswith(b"xyz") and not closed, at
    out, _ = serve([POST + CHUNKS])
    assert out.count(b"HTTP/1.1 200") == 2


def shows_oversized_or_smuggled_requests_never_reach_the_handler() -> None:
    reached = []

    def handle(request):
        reached.append(request)
        return HttpResponse(200)

    both = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    twice = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nxyz"
    large = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n"
    long = b"POST /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 500 + b"\r\n\r\n"
    for text, status in ((both, 400), (twice, 400), (large, 413), (long, 431), (b"\x00\x01\r\n\r\n", 400)):
        out, closed = serve([text], handle)
        assert out.startswith(b"HTTP/1.1 %d" % status) and closed and not reached, (text, out)


def shows_a_worker_s_answer_counts_by_what_it_proves() -> None:
    def execution(status: int, **head: bytes) -> Execution:
        given = {name.replace("_", "-").encode(): value for name, value in head.items()}
        return verdict_of(Response(status, {b"attempt-id": b"7"} | given), "7").execution

    assert execution(200, server_seal=b"s") is Execution.DONE
    assert execution(200) is Execution.UNKNOWN
    assert execution(200, server_seal=b"s", attempt_id=b"8") is Execution.UNKNOWN
    assert execution(500) is Execution.FAILED and execution(422) is Execution.IMPOSSIBLE
    assert execution(503) is Execution.UNKNOWN and execution(503, not_run=b"full") is Execution.NOT_RUN
    assert execution(421) is Execution.NOT_RUN and execution(504) is Execution.UNKNOWN


def shows_an_extra_response_proves_nothing_and_prevents_reuse_of_its_connection() -> None:
    """A faulty worker sends the success of another message and the failure of this one in one segment."""
    other = b"HTTP/1.1 200 OK\r\nAttempt-Id: 6\r\nServer-Seal: s6\r\nContent-Length: 0\r\n\r\n"
    own = b"HTTP/1.1 500 No\r\nAttempt-Id: 7\r\nContent-Length: 2\r\n\r\nno"

    async def ask(*parts: bytes) -> tuple[Execution, bool]:
        call, transport = ClientConnection(), RecordingTransport()
        call.connection_made(transport)
        future = call.send_request(b"POST")
        for part in parts:
            call.data_received(part)
        return verdict_of(await future, "7").execution, call.is_reusable()

    assert asyncio.run(ask(own)) == (Execution.FAILED, True)
    assert asyncio.run(ask(other + own)) == (Execution.UNKNOWN, False)
    assert asyncio.run(ask(own + other)) == (Execution.FAILED, False)
    assert asyncio.run(ask(own, other)) == (Execution.FAILED, False)


def shows_frames_come_whole_however_they_are_cut() -> None:
    text = encode_frame(b'{"op":"put"}', b"1:x,") + encode_frame(b'{"op":"ping"}')
    for at in range(len(text)):
        reader = FrameReader()
        got = reader.feed(text[:at]) + reader.feed(text[at:])
        assert [frame.envelope.operation for frame in got] == ["put", "ping"], at
        assert got[0].body == b"1:x,", at


# Consensus and stored data


class ConsensusCluster:
    """Consensus nodes in virtual time, whose messages and disk writes each take one step."""

    def __init__(self, names: str) -> None:
        self.now, self.isolated = 0.0, set()
        self.all: dict[str, RaftNode] = {}
        self.messages: list[tuple[str, str, object]] = []
        for name in names:
            self.add(name, list(names), False)

    def add(self, name: str, names: list[str], newcomer: bool) -> None:
        stored = StoredState(f"folder of {name}")
        self.all[name] = RaftNode(name, 1, names, stored, self.now, 7, newcomer=newcomer)

    def run(self, ms: float, until=lambda: False) -> bool:
        end = self.now + ms
        while self.now < end and not until():
            self.now += 5.0
            pending, self.messages = self.messages, []
            for sender, to, message in pending:
                if not {sender, to} & self.isolated:
                    self.apply_effects(to, self.all[to].handle_message(self.now, sender, 1, message))
            for name, record in self.all.items():
                record.known_members = tuple(self.all)
                if self.now >= record.due and name not in self.isolated:
                    self.apply_effects(name, record.tick(self.now))
        return until()

    def apply_effects(self, name: str, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.messages.append((name, effect.to, effect.message))
            elif isinstance(effect, Persist):
                self.apply_effects(name, self.all[name].handle_persisted(self.now, effect.number))

    def leader(self) -> RaftNode | None:
        return next(
            (one for name, one in self.all.items() if one.is_leader and name not in self.isolated), None
        )


def shows_a_voter_that_is_gone_is_replaced_by_a_newcomer_and_never_votes_again_by_itself() -> None:
    cluster = ConsensusCluster("abc")
    assert cluster.run(
        3000.0, lambda: cluster.leader() is not None and cluster.leader().stable_voters() is not None
    )
    leader = cluster.leader()
    replaced = next(name for name in "abc" if name != leader.name)
    cluster.isolated.add(replaced)
    cluster.add("d", [leader.name], True)
    assert not cluster.all["d"].voters().get("d")
    leader.wanted_voters = tuple(sorted({*"abcd"} - {replaced}))
    assert cluster.run(5000.0, lambda: "d" in (leader.stable_voters() or {}))
    assert set(leader.stable_voters()) == set(leader.wanted_voters)
    # Two of the three new voters form a majority; the vote of the replaced one does not count.
    third = next(name for name in "abc" if name not in (replaced, leader.name))
    assert cluster.run(2000.0, lambda: cluster.all["d"].standing is Standing.VOTING)
    cluster.isolated = {third}
    number, effects = leader.propose(cluster.now, put("k", b"v"))
    cluster.apply_effects(leader.name, effects)
    assert cluster.run(2000.0, lambda: leader.state_machine.values.get("k") is not None), number
    cluster.isolated = set()
    old = cluster.all[replaced]
    cluster.apply_effects(replaced, old.handle_voted_out(cluster.now))
    assert old.standing is Standing.REPLACED and old.id != f"folder of {replaced}"
    assert cluster.run(
        3000.0, lambda: old.state_machine.values.get("k") is not None
    )  # it receives the log as a learner
    assert replaced not in leader.stable_voters()


def shows_a_leader_without_a_majority_grants_nothing_and_moves_nothing() -> None:
    cluster = ConsensusCluster("abc")
    assert cluster.run(
        3000.0, lambda: cluster.leader() is not None and bool(cluster.leader().stable_voters())
    )
    leader = cluster.leader()
    assert cluster.run(300.0, lambda: leader.has_recent_quorum(cluster.now, QUORUM_FRESH_MS))
    coordinator = Coordinator(1200.0)
    coordinator.majority_is_recent = lambda now: leader.has_recent_quorum(now, QUORUM_FRESH_MS)
    coordinator.become_leader(cluster.now, leader.term)
    coordinator.roster_changed(cluster.now, ["a", "b"])
    place = {"role": "store", "zone": "z", "node": "n"}
    for name in "ab":
        coordinator.joined(cluster.now, name, JoinRequest(**place, incarnation=name, view=View()))
    renewal = RenewRequest(**place, incarnation="a", update_number=0, term=leader.term)
    assert coordinator.view.number != (0, 0) and coordinator.renewed(cluster.now, "a", renewal)
    number = coordinator.view.number
    cluster.isolated.add(leader.name)
    for _ in range(90):  # it receives nothing, and does not regard anyone as gone
        cluster.run(10.0)
        if leader.is_leader:
            cluster.apply_effects(leader.name, leader.tick(cluster.now))
        effects = coordinator.tick(cluster.now)
        assert coordinator.view.number == number and not [
            one for one in effects if isinstance(one, SendUpdate)
        ]
    assert not coordinator.renewed(cluster.now, "a", renewal)


def shows_voters_back_from_a_loss_of_power_lead_soon_though_one_has_lost_its_disk() -> None:
    cluster = ConsensusCluster("abc")
    assert cluster.run(
        3000.0, lambda: cluster.leader() is not None and bool(cluster.leader().stable_voters())
    )
    cluster.run(300.0)
    wiped, *rest = sorted(cluster.all, key=lambda name: not cluster.all[name].is_leader)
    cluster.messages = []
    for name in rest:
        old = cluster.all[name]
        stored = StoredState(old.id, old.term, old.vote, first=old.first, entries=tuple(old.entries))
        cluster.all[name] = RaftNode(name, 2, list("abc"), stored, cluster.now, 8)
    cluster.add(wiped, list(rest), True)
    began = cluster.now
    assert cluster.run(2000.0, lambda: cluster.leader() is not None)
    assert cluster.leader().name != wiped and cluster.now - began < 450.0, cluster.now - began


def shows_the_replicated_log_is_read_back_as_it_was_written() -> None:
    folder = RecordStorage([])
    found = dict(folder.initial_write(["a", "b"]))

    def keep(*operations):
        for key, value in folder.make_write(operations):
            found.pop(key, None) if value is None else found.update({key: value})

    entries = [Entry(1, 1, "a", at, b"x") for at in range(4)]
    keep(HardState(1, "v"), *(AppendToLog(at, one) for at, one in enumerate(entries, 1)))
    keep(TruncateLog(2), AppendToLog(3, entries[3]))
    stored = RecordStorage(found.items()).stored_state
    assert (stored.term, stored.vote, stored.first) == (1, "v", 1)
    assert RecordStorage(found.items()).initial_voters == ("a", "b")
    assert stored.entries == (entries[0], entries[1], entries[3])
    keep(ReplaceLog("id", HardState(2, ""), None, 3, 1, (entries[2],)))
    stored = RecordStorage(found.items()).stored_state
    assert (stored.id, stored.first, stored.entries) == ("id", 3, (entries[2],))


def shows_a_damaged_folder_counts_as_a_lost_disk() -> None:
    with tempfile.TemporaryDirectory() as folder_name:

        async def keep() -> None:
            disk = Disk(Path(folder_name), 16)
            disk.open()
            assert not disk.lost
            await disk.write([(b"m1", b"one" * 500), (b"e1", b"end")])
            assert await disk.read(b"m1") == b"one" * 500
            disk.close()

        asyncio.run(keep())
        reopened = Disk(Path(folder_name), 16)
        reopened.open()
        assert dict(reopened.load(b"e")) == {b"e1": b"end"} and not reopened.lost
        reopened.close()
        file = Path(folder_name) / "data.mdb"
        file.write_bytes(file.read_bytes().replace(b"oneone", b"onyone"))
        damaged = Disk(Path(folder_name), 16)
        damaged.open()
        assert damaged.lost and not list(damaged.load(b""))
        assert (Path(folder_name) / "data.mdb.damaged").exists()


class RefusingEnvironment:
    """Fails like lmdb after a failed write of its meta page: every transaction, until the file is
    reopened."""

    def begin(self, write=False):
        raise lmdb.PanicError("mdb_txn_begin: MDB_PANIC")

    def close(self): ...


def shows_a_disk_that_was_full_for_a_while_is_written_and_read_again() -> None:
    async def scene(folder_name: str) -> None:
        disk = Disk(Path(folder_name), 16)
        disk.open()
        await disk.write([(b"m1", b"one")])
        disk._env.close()
        disk._env = RefusingEnvironment()
        for _ in range(2):
            try:
                await disk.write([(b"m2", b"two")])
            except lmdb.PanicError:
                disk._retry_at = inf
            else:
                raise AssertionError("a rejected write was reported as stored")
        assert await disk.read(b"m1") == b"one"
        disk._retry_at = 0.0  # the pause has ended
        await disk.write([(b"m3", b"three")])
        assert await disk.read(b"m3") == b"three" and await disk.read(b"m2") is None
        disk.close()

    with tempfile.TemporaryDirectory() as folder_name:
        asyncio.run(scene(folder_name))


# Settings and the command line


def shows_bad_settings_are_named_and_end_with_two() -> None:
    good = "nodeName: a\nbindIp: 10.0.0.1\nzone: z\nportRange: [7300, 7301]\nnewField: 3\n"
    assert parse(good, "s").port_range == (7300, 7301)
    for text, expected in (
        (good + "seedNodes: [x]\n", "'x'"),
        (good.replace("a\n", "[1]\n", 1), "nodeName"),
        ("{", "YAML"),
    ):
        try:
            parse(text, "s.yaml")
        except SettingsError as problem:
            assert str(problem).startswith("s.yaml: ") and expected in str(problem), problem
        else:
            raise AssertionError(text)
    with tempfile.TemporaryDirectory() as folder_name:
        file = Path(folder_name) / "s.yaml"
        file.write_text(good)
        assert main(["edge", "--settings", str(file)]) == 2  # the address for clients is missing
        assert main(["store", "--settings", str(Path(folder_name) / "none")]) == 2
        assert main(["check", str(file)]) == 0


def shows_a_log_without_a_reader_blocks_nothing() -> None:
    reader, writer = os.pipe()
    log = Log("store-1", LogWriter(writer))
    for number in range(300):  # ten times the capacity of the pipe
        log.event("order", number=number, why="x" * 2000)
    text = b""
    while text.count(b"\n") < 300:
        text += os.read(reader, 65_536)
    lines = [orjson.loads(line) for line in text.splitlines()]
    assert [line["number"] for line in lines] == list(range(300))
    assert lines[0]["event"] == "order" and lines[0]["node"] == "store-1"
    log.close()
