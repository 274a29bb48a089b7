"""Mistakes planted into the control plane, which the simulation must detect, and the program that checks
this.

`python -m tests.control_mistakes --seeds 40 --jobs 4 [NAME ...]` prints how many runs each mistake needed. It
is a separate program so that its worker processes start without the threads of the test runner.
"""

import argparse
import asyncio
import sys
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from multiprocessing import Pool
from typing import Any, NamedTuple
from unittest import mock

from msgspec.structs import replace

from sableford.consensus import replication
from sableford.consensus.effects import OwnVoteDurable
from sableford.consensus.messages import AppendRequest, AppendResponse
from sableford.consensus.raft_node import RaftNode
from sableford.consensus.state_machine import StateMachine
from sableford.control import configuration_keeper, duty_manager, order_process, orders, roster_manager
from sableford.control.duty_manager import DutyManager
from sableford.control.member_client import MemberClient
from sableford.control.protocol import Update
from sableford.control.record_driver import ProposalResult, RecordDriver
from sableford.control.requests import ConfigurationOrder
from sableford.control.service import ControlService
from sableford.control.workers import Worker, WorkerTable
from sableford.duties import state as duty_state
from sableford.duties.assignment import Call, DutyAssignment
from sableford.duties.messages import DutyNotice
from sableford.duties.state import DutyState
from sableford.duties.succession import Candidate
from sableford.duties.usage_ledger import UsageLedger
from sableford.simulation.control import platform as walk_platform
from sableford.simulation.control.checker import Violation
from sableford.simulation.control.simulation import ControlSimulation, SimulationConfig
from sableford.transport.frames import Frame
from sableford.transport.link import Link
from sableford.transport.messages import PeerRequest
from sableford.transport.pending_calls import PendingCalls


def patch_of(owner: Any, name: str, make: Callable[[Callable], Callable]) -> Any:
    """Returns a patch of one function or constant; `make` gets the original."""
    return mock.patch.object(owner, name, make(getattr(owner, name)))


# Reads, orders


def reads_without_majority(original: Callable) -> Callable:
    async def propose(self: RecordDriver, data: bytes | None, *given: Any) -> Any:
        return ProposalResult(True, 0, "") if data is None else await original(self, data, *given)

    return propose


def leads_while_it_believes(original: Callable) -> Callable:
    """Does not check whether a majority has answered recently."""
    return lambda self: self.leads


def never_steps_down(original: float) -> float:
    return 1e9  # ms without a majority


def acknowledged_before_commit(original: Callable) -> Callable:
    async def propose(self: RecordDriver, data: bytes | None, *given: Any) -> Any:
        if data is None:
            return await original(self, data, *given)
        self._loop.create_task(original(self, data, *given))
        return ProposalResult(True, 0, "")

    return propose


def base_not_compared(original: Callable) -> Callable:
    def decide(state: orders.State, order: ConfigurationOrder) -> orders.Decision:
        decision = original(state, order)
        late = isinstance(decision, orders.Refused) and decision.status == 412
        return original(state, order._replace(base=state.revision)) if late else decision

    return decide


def put_without_compare(original: Callable) -> Callable:
    return lambda key, value, after=-1: original(key, value)


def order_id_not_kept(original: Callable) -> Callable:
    """Forgets which order produced a revision."""
    return lambda self, order_id: None


# Leases, workers


def updates_not_waited_for(original: Callable) -> Callable:
    async def applied(self: ControlService, *given: Any, **named: Any) -> bool:
        return True

    return applied


def lease_not_checked(original: Callable) -> Callable:
    return lambda self: self.lease > 0.0


def leader_not_fenced(original: Callable) -> Callable:
    return lambda self, now, within: self.is_leader


def late_heartbeat_accepted(original: Callable) -> Callable:
    """Checks neither the call count of a worker nor whether it has announced its departure."""

    def put(self: WorkerTable, now: float, entry: Worker) -> Worker | None:
        self._departed.pop(entry.id, None)
        self.entries.pop(entry.id, None)
        return original(self, now, entry)

    return put


def update_of_older_term_accepted(original: Callable) -> Callable:
    """Checks neither the term nor the revision of an update."""

    def apply_update(self: MemberClient, link: Link, update: Update) -> None:
        if update.term < self.term:
            self.term, self.update_number, self.config = update.term, update.previous or 0, None
        original(self, link, update)

    return apply_update


# Replicated log


def term_not_compared(original: Callable) -> Callable:
    """Accepts entries of an older term, and responses to them, as if they were of the current one."""

    def handle_message(self: RaftNode, now: float, sender: str, incarnation: int, message: Any) -> Any:
        old = isinstance(message, AppendRequest) and message.term < self.term
        other = isinstance(message, AppendResponse) and self.is_leader
        return original(
            self, now, sender, incarnation, replace(message, term=self.term) if old or other else message
        )

    return handle_message


def answered_before_synced(original: Callable) -> Callable:
    """Sends votes and acknowledges entries before they are on disk."""

    def keep(self: RaftNode, *operations: object, then: list | None = None) -> list:
        own = [effect for effect in then or [] if isinstance(effect, OwnVoteDurable)]
        others = [effect for effect in then or [] if effect not in own]
        return [*original(self, *operations, then=own), *others]

    return keep


def two_changes_of_voters(original: Callable) -> Callable:
    return lambda self: dict(self._voters) if self.knows_voter_ids() else None


def newcomer_counted_at_once(original: Callable) -> Callable:
    """Does not check how far a joining voter has caught up."""

    def change(self: RaftNode, now: float) -> list:
        self._learners = {name: one._replace(caught_up=True) for name, one in self._learners.items()}
        return original(self, now)

    return change


def newcomer_counts_as_holding_all(original: Callable) -> Callable:
    """Counts a new voter for entries that were not sent to it."""

    def set_voters(self: RaftNode) -> None:
        before = set(self._followers)
        original(self)
        for name in self._followers.keys() - before:
            self._followers[name].match_index = self.last

    return set_voters


def old_snapshot(original: Callable) -> Callable:
    """Labels a snapshot with a later entry than the one that its values are from."""
    return lambda self, voters: replace(made := original(self, voters), last=made.last + 5)


def proposals_accepted_twice(original: Callable) -> Callable:
    return lambda self, author, number: None


def entry_of_another_term_kept(original: Callable) -> Callable:
    """A follower does not compare the term of the previous entry."""

    def appended(self: RaftNode, now: float, sender: str, message: AppendRequest) -> Any:
        if message.prev <= self.last and message.prev >= self.first:
            message = replace(message, prev_term=self.term_at(message.prev))
        return original(self, now, sender, message)

    return appended


# Calls


def response_to_wrong_call(original: Callable) -> Callable:
    """Gives a response to the oldest pending call."""

    def resolve(self: PendingCalls, number: int, frame: Frame) -> bool:
        return original(self, next(iter(self._calls), number), frame)

    return resolve


def request_repeated_after_silence(original: Callable) -> Callable:
    def request(self: Link, message: PeerRequest, body: bytes = b"") -> asyncio.Future:
        future = original(self, message, body)
        again = self._loop.call_later(0.1, lambda: None if future.done() else self.send(message, body))
        future.add_done_callback(lambda done: again.cancel())
        return future

    return request


# Duties


def stores_notified_before_commit(original: Callable) -> Callable:
    """Announces holders and windows before a majority has committed them."""

    async def propose(self: DutyManager, wanted: DutyState) -> None:
        before, self.state = self.state, wanted
        self._notify_stores(before)
        self.state = before
        await original(self, wanted)

    return propose


def members_known_without_majority(original: Callable) -> Callable:
    return lambda self, now: self.leads


def epoch_not_raised(original: Callable) -> Callable:
    return lambda state, *given: replace(original(state, *given), epoch=max(state.epoch, 1))


def epoch_from_memory(original: Callable) -> Callable:
    """A leader counts epochs in memory, and starts again when it is elected."""

    def become_leader(self: DutyManager) -> None:
        original(self)
        self.state = replace(self.state, epoch=min(self.state.epoch, 1))

    return become_leader


def duty_handed_back(original: Callable) -> Callable:
    def next_holder(duty: str, state: DutyState, candidates: dict, barred: set) -> Candidate | None:
        before = [one for one in candidates.values() if state.previous[-1:] == (one.node,) and one.eligible]
        return before[0] if before else original(duty, state, candidates, set())

    return next_holder


def lease_looked_at_once(original: Callable) -> Callable:
    """Checks the lease only for the first call under an epoch."""

    def may_send(self: DutyAssignment, call: Call, holds_lease: bool, leaving: bool) -> bool:
        checked_epoch = getattr(self, "checked_epoch", 0)
        if call.epoch > checked_epoch and original(self, call, holds_lease, leaving):
            self.checked_epoch = call.epoch
        return getattr(self, "checked_epoch", 0) == call.epoch and self.is_assigned()

    return may_send


def never_late(original: float) -> float:
    return 1e9


def rejection_ignored(original: Callable) -> Callable:
    return lambda self, call: None


def unsealed_windows_sent(original: Callable) -> Callable:
    """Sends the counts that the leader has by then instead of the sealed ones."""

    def notice(self: DutyManager, sealed: dict) -> DutyNotice:
        counted = {window: self._ledger.totals(window) or counts for window, counts in sealed.items()}
        return original(self, counted)

    return notice


def windows_not_forgotten(original: Callable) -> Callable:
    return lambda self, until: None


class Mistake(NamedTuple):
    """A patch of one function, the rules of which one must detect it, and parameters of runs in which it
    shows."""

    owner: Any
    name: str
    make: Callable
    rules: set[str]
    config: SimulationConfig = SimulationConfig(seconds=5.0, operators=3, pace_ms=200.0)
    also: tuple[tuple[Any, str, Callable], ...] = ()  # patches of other safeguards that would hide it


CUTS = ("cut", "cut_some", "freeze")
LEADERS = SimulationConfig(seconds=30.0, operators=4, pace_ms=100.0, kinds=CUTS)
RACES = SimulationConfig(seconds=60.0, operators=8, pace_ms=50.0, kinds=("freeze", "cut", "kill"))
MANY_OPERATORS = SimulationConfig(seconds=6.0, operators=8, pace_ms=50.0)
POWER = SimulationConfig(seconds=20.0, operators=3, pace_ms=100.0, kinds=("power_all", "stall", "power"))
VOTER_CHANGES = SimulationConfig(
    stores=4, seconds=25.0, operators=2, pace_ms=200.0, kinds=("replace", "retire", "wipe")
)
LONG = SimulationConfig(seconds=30.0, operators=8, pace_ms=50.0, kinds=("kill", "wipe", "power_all"))
FROZEN = SimulationConfig(seconds=15.0, operators=4, pace_ms=200.0, kinds=CUTS)
LEAVING = SimulationConfig(seconds=20.0, workers=8, kinds=CUTS)

DUTIES = SimulationConfig(
    stores=4,
    seconds=25.0,
    operators=1,
    duties=True,
    kinds=("kill_holder", "freeze_holder", "platform", "terminate", "cut", "cut_some", "kill"),
)
HOLDERS = DUTIES._replace(kinds=("kill_holder", "terminate", "freeze_holder"), stores=5, losses=2)

LOST = {"stale read", "two on one base", "old base", "closing read", "not caught up", "unknown configuration"}
STUCK = {"not acknowledged", "drain not acknowledged", "no leader", "closing read", "not caught up"}
REPEATS = {"repeat refused", "refused in force", "refused"}

LEADER_CHECK = ControlService, "leads_with_majority", leads_while_it_believes
LEADER_TIMEOUT = replication, "QUORUM_TIMEOUT", never_steps_down

MISTAKES = {
    "reads are served without asking a majority": Mistake(
        RecordDriver, "propose", reads_without_majority, LOST, LEADERS, also=(LEADER_CHECK, LEADER_TIMEOUT)
    ),
    "orders are acknowledged before they are agreed on": Mistake(
        RecordDriver, "propose", acknowledged_before_commit, LOST, MANY_OPERATORS
    ),
    "an order's base is not compared": Mistake(order_process, "decide", base_not_compared, LOST | REPEATS),
    "an order is put without compare-and-set": Mistake(
        configuration_keeper,
        "put",
        put_without_compare,
        LOST | REPEATS,
        RACES,
        also=((roster_manager, "put", put_without_compare),),
    ),
    "the mark of an order is not kept": Mistake(orders.State, "revision_of", order_id_not_kept, REPEATS),
    "draining is acknowledged without waiting": Mistake(
        ControlService, "applied", updates_not_waited_for, {"drain"}, LEAVING
    ),
    "a member's lease is not checked": Mistake(
        MemberClient, "holds_lease", lease_not_checked, {"stale member", "drain"}, FROZEN
    ),
    "a leader is not fenced": Mistake(
        RaftNode, "has_recent_quorum", leader_not_fenced, {"stale member", "drain"}, LEAVING
    ),
    "late heartbeats are taken": Mistake(WorkerTable, "put", late_heartbeat_accepted, {"drain"}, LEAVING),
    "news of an older term is taken": Mistake(
        MemberClient,
        "apply_update",
        update_of_older_term_accepted,
        {"stale member", "went back", "drain"},
        LEADERS,
    ),
    "entries of an older term are taken": Mistake(
        RaftNode, "handle_message", term_not_compared, LOST | {"unforeseen"}, LEADERS
    ),
    "entries after another term's are kept": Mistake(
        RaftNode, "_handle_append_request", entry_of_another_term_kept, LOST | REPEATS | {"unforeseen"}, RACES
    ),
    "votes and entries are answered before they are synced": Mistake(
        RaftNode, "_persist", answered_before_synced, LOST, POWER
    ),
    "two changes of voters at once": Mistake(
        RaftNode, "stable_voters", two_changes_of_voters, STUCK | LOST, VOTER_CHANGES
    ),
    "a newcomer votes before it has caught up": Mistake(
        RaftNode, "_change_voters", newcomer_counted_at_once, STUCK | LOST, VOTER_CHANGES
    ),
    "a newcomer is counted for what it does not hold": Mistake(
        RaftNode, "_set_voters", newcomer_counts_as_holding_all, STUCK | LOST, VOTER_CHANGES
    ),
    "a snapshot is older than what follows it": Mistake(
        StateMachine, "snapshot", old_snapshot, LOST | REPEATS | {"unforeseen"}, LONG
    ),
    "an offer said again is taken again": Mistake(
        StateMachine, "known", proposals_accepted_twice, REPEATS, RACES
    ),
    "an answer is given to the next call that waits": Mistake(
        PendingCalls, "resolve", response_to_wrong_call, {"wrong answer", "unforeseen"}
    ),
    "a call is sent again after silence": Mistake(
        Link, "request", request_repeated_after_silence, {"sent twice"}
    ),
    "a holder is told before a majority has agreed": Mistake(
        DutyManager,
        "_propose",
        stores_notified_before_commit,
        {"token", "contents", "late", "too many"},
        DUTIES._replace(operators=0, workers=0, kinds=("cut",)),
        also=((ControlService, "_majority_is_recent", members_known_without_majority), LEADER_TIMEOUT),
    ),
    "counts are sent that are not sealed": Mistake(
        DutyManager,
        "_notice",
        unsealed_windows_sent,
        {"contents"},
        DUTIES,
        also=((UsageLedger, "mark_sealed", windows_not_forgotten),),
    ),
    "an epoch is used again": Mistake(duty_state, "with_holder", epoch_not_raised, {"token"}, HOLDERS),
    "epochs begin anew with a leader": Mistake(
        DutyManager, "become_leader", epoch_from_memory, {"token", "late", "missing", "off"}, DUTIES
    ),
    "a duty goes back to the one before": Mistake(
        duty_manager, "next_holder", duty_handed_back, {"A, B, A"}, HOLDERS
    ),
    "the lease is looked at once before several calls": Mistake(
        DutyAssignment, "may_send", lease_looked_at_once, {"late"}, HOLDERS
    ),
    "a refused holder goes on": Mistake(
        DutyAssignment,
        "mark_refused",
        rejection_ignored,
        {"refused"},
        HOLDERS,
        also=((DutyAssignment, "may_send", lease_looked_at_once), (walk_platform, "LATE_MS", never_late)),
    ),
}


def violation_of(seed: int, config: SimulationConfig) -> Violation | None:
    try:
        ControlSimulation(seed, config).play()
    except Violation as violation:
        return violation
    return None


def violation_caused_by(name: str, seed: int) -> str:
    """Returns the violation that a run with the mistake reports, or "" if the same run without it reports one
    too."""
    mistake = MISTAKES[name]
    with ExitStack() as patches:
        for owner, function, make in ((mistake.owner, mistake.name, mistake.make), *mistake.also):
            patches.enter_context(patch_of(owner, function, make))
        violation = violation_of(seed, mistake.config)
    if violation is None or violation.rule not in mistake.rules or violation_of(seed, mistake.config):
        return ""
    return f"{violation.rule}: {violation.text}"


# Found in a few short runs. Of the others, which are for the long command, some need dozens of runs and some
# were not found.
QUICK = (
    "reads are served without asking a majority",
    "orders are acknowledged before they are agreed on",
    "an order's base is not compared",
    "the mark of an order is not kept",
    "a member's lease is not checked",
    "late heartbeats are taken",
    "an answer is given to the next call that waits",
    "a call is sent again after silence",
)


def runs_needed(name: str, seeds: int, pool: Any) -> tuple[int, str]:
    """Returns the number of runs needed, 0 if none found the mistake, and the violation."""
    for seed, what in enumerate(pool.imap(partial(violation_caused_by, name), range(seeds))):
        if what:
            return seed + 1, what
    return 0, ""


def main() -> int:
    parser = argparse.ArgumentParser(prog="tests.control_mistakes")
    parser.add_argument("names", nargs="*")
    parser.add_argument("--quick", action="store_true", help="only the mistakes that a few runs find")
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args()
    missed = []
    for name in arguments.names or (QUICK if arguments.quick else MISTAKES):
        with Pool(arguments.jobs) as pool:
            walks, what = runs_needed(name, arguments.seeds, pool)
        print(f"{walks or 'NOT FOUND in ' + str(arguments.seeds)} walks: {name} ({what[:120]})", flush=True)
        missed += [] if walks else [name]
    print(f"{len(missed)} not found")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
