"""Duties: state, succession, usage counts and windows, without I/O."""

import asyncio
import itertools
from collections.abc import Callable
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from sableford.common.settings import USAGE_REPORT, CloudApi, Settings, SettingsError, parse
from sableford.control.duty_manager import DutyManager
from sableford.control.protocol import RenewRequest, Update
from sableford.duties import state as duty_state
from sableford.duties.assignment import DutyAssignment
from sableford.duties.duty_holder import DutyHolder
from sableford.duties.messages import DutyNotice, DutyReport
from sableford.duties.platform_client import CallOutcome, Verdict
from sableford.duties.state import DutyState
from sableford.duties.succession import (
    Candidate,
    RecentHolders,
    next_holder,
    reason_to_change,
    succession_order,
)
from sableford.duties.time_of_day import ADOPT_STEP_AFTER_MS, TimeOfDay
from sableford.duties.usage_counts import REPORT_INTERVAL_MS, SETTLE_MS, UsageCounts, UsageStatus
from sableford.duties.usage_ledger import UsageLedger
from sableford.transport.link import IncomingMessage
from tests.control_service import Peer, join_member, run_until, start_control

DUTY = "usage_report"
ORDER = succession_order(DUTY, "abcd")
COUNTS = st.dictionaries(st.integers(1, 99), st.dictionaries(st.sampled_from("abc"), st.integers(0, 9)))


def sealed(*windows: int) -> DutyState:
    state = duty_state.initial_state(windows[0])
    for window in windows:
        state = duty_state.with_sealed_window(state, window, {"t": window})
    return state


def candidates(hosts: str) -> dict[str, Candidate]:
    return {host: Candidate(host, f"node-{host}", f"{host}.1") for host in hosts}


# Replicated state


# Guards against a later holder that sends other bytes for a window than an earlier one.
@given(COUNTS)
@settings(max_examples=60, deadline=None)
def shows_sealed_windows_survive_encoding_and_decoding(counts: dict) -> None:
    state = duty_state.initial_state(min(counts, default=1))
    for window in range(state.sealed_until + 1, max(counts, default=0) + 1):
        state = duty_state.with_sealed_window(state, window, counts.get(window, {}))
    state = duty_state.with_holder(state, "h", "n", "i", 5.0)
    read = DutyState.load(state.dump())
    assert read == state and [*read.sealed] == [*state.sealed]
    assert [[*one] for one in read.sealed.values()] == [[*one] for one in state.sealed.values()]


# Guards against a window that is skipped, or sealed twice with different counts.
def shows_windows_are_sealed_in_order_and_once() -> None:
    state = sealed(7, 8)
    for window in (7, 8, 10):
        try:
            duty_state.with_sealed_window(state, window, {})
        except ValueError:
            continue
        raise AssertionError(window)


# Guards against state that grows while the platform is down, and against sealing dropped windows again.
def shows_pending_windows_are_bounded_and_sealed_until_never_decreases() -> None:
    state, dropped = duty_state.bounded(sealed(*range(1, 8)), most=4)
    assert [*state.sealed] == [4, 5, 6, 7] and [*dropped] == [1, 2, 3]
    state = duty_state.without_accepted(state, 7)
    assert not state.sealed and state.sealed_until == 7
    assert duty_state.skipped_to(state, 3).sealed_until == 7
    assert duty_state.skipped_to(state, 9).sealed_until == 9


# Guards against one fencing token for two holders.
def shows_each_change_of_holder_has_an_epoch_of_its_own() -> None:
    state, epochs = DutyState(), []
    for host in "abab":
        state = duty_state.with_holder(state, host, host, f"{host}.1", 0.0)
        epochs.append(state.epoch)
    assert epochs == [1, 2, 3, 4] and state.previous == ("a", "b", "a")


# Succession


def shows_when_the_holder_changes() -> None:
    state = duty_state.with_holder(DutyState(), "a", "node-a", "a.1", 0.0)
    member = Candidate("a", "node-a", "a.1")
    for holder, refused_epoch, reason in (
        (member, 0, ""),
        (None, 0, "no member"),
        (member._replace(incarnation="a.2"), 0, "another incarnation"),
        (member._replace(eligible=False), 0, "leaves"),
        (member, 1, "refused"),
    ):
        assert reason_to_change(state, holder, refused_epoch) == reason, (holder, refused_epoch)
    assert reason_to_change(DutyState(), None, 0)


def shows_the_next_holder_is_the_first_eligible_one_in_order() -> None:
    first, second, third, fourth = ORDER
    state = duty_state.with_holder(DutyState(), second, f"node-{second}", "i", 0.0)
    for stores, barred, wanted in (
        (ORDER, "", third),
        ([first, second, fourth], "", fourth),
        ([first, second], "", first),
        ([second], "", second),  # no other store: under the next epoch
        (ORDER, third, fourth),
        ([second, third], third, second),
        ([third], third, None),  # unassigned for now
        ([], "", None),
    ):
        found = next_holder(DUTY, state, candidates("".join(stores)), {f"node-{one}" for one in barred})
        assert (found.host if found else None) == wanted, (stores, barred)


# Guards against holders A, B, A within `leaseMs`, also if a new leader did not observe when A lost the duty.
def shows_a_previous_holder_is_excluded_for_a_while() -> None:
    states = [DutyState()]
    for host in "ab":
        states.append(duty_state.with_holder(states[-1], host, host, f"{host}.1", 0.0))
    seen_by_all, seen_late = RecentHolders(4000.0), RecentHolders(4000.0)
    for now, state in ((0.0, states[1]), (1000.0, states[2])):
        seen_by_all.observe(now, state)
    seen_late.observe(3000.0, states[2])
    assert seen_by_all.excluded(4999.0) == {"a"} and not seen_by_all.excluded(5001.0)
    assert seen_late.excluded(6999.0) == {"a"} and not seen_late.excluded(7001.0)


# Usage counts of a store, and the ledger of the leader


class Clock:
    def __init__(self) -> None:
        self.unix, self.steady = 1_000_000.0, 0.0


def counting() -> tuple[UsageCounts, Clock]:
    clock = Clock()
    return UsageCounts(5000.0, 10_000.0, lambda: clock.unix), clock


# Guards against counting deliveries that a worker rejected, and against renewals that repeat all counts.
def shows_a_renewal_reports_changed_counts_and_a_join_all() -> None:
    counts, clock = counting()
    window = counts.count_delivery("t")
    counts.count_delivery("u")
    counts.uncount_delivery("t", window)
    assert counts.status(False).counts == {200: {"t": 0, "u": 1}}
    clock.unix += REPORT_INTERVAL_MS / 2
    counts.count_delivery("t")
    assert counts.status(False) == UsageStatus()
    clock.unix += REPORT_INTERVAL_MS
    assert counts.status(False).counts == {200: {"t": 1}}
    clock.unix += REPORT_INTERVAL_MS
    assert counts.status(False).counts == {}
    assert counts.status(True).counts == {200: {"t": 1, "u": 1}}
    clock.unix += 20_000.0
    assert counts.status(True).counts == {}


def shows_a_window_is_settled_some_time_after_its_end() -> None:
    counts, clock = counting()
    for after_ms, settled in ((0.0, 198), (5000.0, 199), (5000.0 + SETTLE_MS, 200)):
        clock.unix = 1_000_000.0 + after_ms
        assert counts.status(True).settled == settled, after_ms


# Guards against a window that is sealed before a store has reported its last counts, blocked forever by a
# silent store, or sealed before its end by a leader whose clock is ahead.
def shows_when_a_window_may_be_sealed() -> None:
    end = 1_005_000.0  # of window 200
    for settled, present, unix_ms, expected in (
        ({"a": 200, "b": 200}, "ab", end + 1100.0, True),
        ({"a": 200, "b": 199}, "ab", end + 3999.0, False),
        ({"a": 200, "b": 199}, "ab", end + 4000.0, False),  # no more than half
        ({"a": 200, "b": 200, "c": 199}, "abc", end + 3999.0, False),
        ({"a": 200, "b": 200, "c": 199}, "abc", end + 4000.0, True),
        ({"a": 200, "b": 200, "c": 199}, "ab", end, True),  # c is away
        ({}, "", end + 1e6, False),
        ({"a": 199, "b": 199}, "ab", end + 3.6e6, False),
    ):
        ledger = UsageLedger(5000.0, 10_000.0)
        for store, until in settled.items():
            ledger.add_report(store, UsageStatus({}, until))
        assert ledger.may_seal(200, unix_ms, set(present)) is expected, (settled, present, unix_ms - end)


def shows_totals_sum_the_latest_report_of_each_incarnation() -> None:
    ledger = UsageLedger(5000.0, 10_000.0)
    ledger.add_report("a.1", UsageStatus({200: {"t": 3, "u": 1}}))
    ledger.add_report("a.1", UsageStatus({200: {"t": 5}}))
    ledger.add_report("a.2", UsageStatus({200: {"t": 1}, 201: {"t": 9}}))
    assert ledger.totals(200) == {"t": 6, "u": 1}
    ledger.mark_sealed(200)
    ledger.add_report("b.1", UsageStatus({200: {"t": 4}}))
    assert ledger.totals(200) == {} and ledger.totals(201) == {"t": 9}


# Guards against counts in the wrong window while a system clock is off for some seconds.
def shows_clock_steps_are_ignored_unless_they_persist() -> None:
    clock = Clock()
    time_of_day = TimeOfDay(lambda: clock.steady, lambda: clock.unix)
    found = []
    for passed, step in ((1000.0, 0.0), (1000.0, 2000.0), (5000.0, 0.0), (1000.0, -2000.0), (1000.0, 5.0)):
        clock.steady += passed
        clock.unix += passed + step
        found.append(time_of_day.unix_ms() - 1_000_000.0)
    assert found == [1000.0, 2000.0, 7000.0, 8000.0, 9005.0], found
    clock.unix += 2000.0
    time_of_day.unix_ms()
    clock.steady += ADOPT_STEP_AFTER_MS
    clock.unix += ADOPT_STEP_AFTER_MS
    assert time_of_day.unix_ms() == clock.unix


# The holder


def assignment(epoch: int = 3, *windows: int) -> DutyAssignment:
    one = DutyAssignment("h", "h.1")
    one.apply_notice(notice(epoch, *windows))
    return one


def notice(
    epoch: int, *windows: int, holder: str = "h", incarnation: str = "h.1", oldest: int = 0
) -> DutyNotice:
    return DutyNotice(DUTY, epoch, holder, incarnation, oldest, {window: {"t": window} for window in windows})


def shows_who_may_send() -> None:
    call = assignment(3, 7).next_call()
    assert call is not None and call.body == b'{"windowNo":7,"serverCounts":{"t":7}}'
    for received, lease, leaving, expected in (
        (notice(3), True, False, True),
        (notice(3), False, False, False),
        (notice(3), True, True, False),
        (notice(4), True, False, False),  # the call belongs to another epoch
        (notice(4, holder="i"), True, False, False),
        (notice(4, incarnation="h.2"), True, False, False),
        (notice(2, holder="i"), True, False, True),  # a delayed notice of an older epoch
    ):
        one = assignment(3, 7)
        one.apply_notice(received)
        assert one.may_send(call, lease, leaving) is expected, (received, lease, leaving)


# Guards against calls under a refused token, and against windows sent out of order or again once accepted.
def shows_windows_are_sent_in_order_and_none_after_a_refusal() -> None:
    one = assignment(3, 9, 7, 8)
    call = one.next_call()
    assert call is not None and call.window == 7
    one.mark_accepted(call)
    one.apply_notice(notice(3, 7, 10, oldest=9))
    call = one.next_call()
    assert call is not None and call.window == 9 and one.report() == DutyReport(3, 7)
    one.mark_refused(call)
    one.apply_notice(notice(3, 11))
    assert one.next_call() is None and one.report() == DutyReport(3, 7, True)
    assert not one.may_send(call, True, False)
    one.apply_notice(notice(4, 9, 10, 11))
    call = one.next_call()
    assert call is not None and (call.epoch, call.window) == (4, 9) and one.report() == DutyReport(4)


class Script:
    """A platform with scripted outcomes; `before_write` runs between the lease check and the call."""

    def __init__(self, *outcomes: CallOutcome) -> None:
        self.outcomes, self.sent, self.timeouts = list(outcomes), [], []
        self.before_write = lambda: None

    async def post(self, call, timeout_ms, may_send) -> CallOutcome:
        self.before_write()
        if not may_send():
            return CallOutcome(Verdict.NOT_SENT)
        self.sent.append(call)
        self.timeouts.append(timeout_ms)
        return self.outcomes.pop(0) if self.outcomes else CallOutcome(Verdict.ACCEPTED, 200)


class Events:
    def __init__(self) -> None:
        self.names: list[str] = []

    def event(self, name: str, /, **fields: object) -> None:
        self.names.append(name)


def steps(script: Script, count: int, lease: list[bool]) -> tuple[list[float], Events]:
    """The holder's waits after each of its steps, and its log."""

    async def scene() -> tuple[list[float], Events]:
        log = Events()
        holder = DutyHolder(
            DUTY, assignment(3, 7, 8), script, 50.0, lambda: lease[0], lambda: False, lambda: None, log
        )
        return [await holder._step() for _ in range(count)], log

    return asyncio.run(scene())


# Guards against a holder that was frozen between the lease check and its call.
def shows_the_lease_is_checked_as_each_call_is_written() -> None:
    lease, script = [True], Script()
    script.before_write = lambda: lease.__setitem__(0, False)
    waits, log = steps(script, 2, lease)
    assert not script.sent and log.names == [] and all(wait > 0 for wait in waits)


def shows_a_failed_call_is_retried_with_the_same_bytes_and_longer_waits() -> None:
    script = Script(*[CallOutcome(Verdict.UNCLEAR, status) for status in (0, 503, 429, 0)])
    waits, log = steps(script, 6, [True])
    assert len({call.body for call in script.sent[:5]}) == 1 and script.sent[5].window == 8
    assert all(later == 2 * before for before, later in itertools.pairwise(waits[:4])), waits
    assert script.timeouts[0] < script.timeouts[1] and script.timeouts[5] == script.timeouts[0]
    assert log.names == ["usage_failed"] * 4 + ["usage_reported"] * 2


def shows_after_a_refusal_nothing_is_sent() -> None:
    script = Script(CallOutcome(Verdict.REFUSED, 409))

    async def scene() -> None:
        sent: list[bool] = []
        one = assignment(3, 7, 8)
        holder = DutyHolder(
            DUTY, one, script, 50.0, lambda: True, lambda: False, lambda: sent.append(True), Events()
        )
        running = asyncio.ensure_future(holder.run())
        while one.next_call() is not None:
            await asyncio.sleep(0)
        for _ in range(20):
            holder.handle_notices([notice(3, 9)])
            await asyncio.sleep(0)
        running.cancel()
        assert sent == [True] and holder.reports()[DUTY].refused

    asyncio.run(scene())
    assert len(script.sent) == 1


# Settings


def shows_bad_settings_of_the_platform_are_refused_with_their_field() -> None:
    base = "nodeName: a\nbindIp: 10.0.0.1\nzone: z\nportRange: [7300, 7315]\n"
    assert not parse(base, "s").reports_usage
    good = parse(base + "cloudApi: {address: '10.0.0.9:80', dutySet: [usage_report]}\n", "s")
    assert good.reports_usage
    for line, field in (
        ("cloudApi: {address: '10.0.0.9'}", "10.0.0.9"),
        ("cloudApi: {address: '10.0.0.9:80', dutyRateS: 0}", "cloudApi.dutyRateS"),
        ("cloudApi: {address: '10.0.0.9:80'}\nruleBounds: {usageWindowS: 0}", "ruleBounds.usageWindowS"),
    ):
        try:
            parse(base + line + "\n", "s")
        except SettingsError as problem:
            assert field in str(problem), problem
        else:
            raise AssertionError(line)


# The leader: a control service with a single voter


class Members:
    """A control service with a platform in its settings, and the messages sent to its members."""

    def __init__(self) -> None:
        made = Settings(
            "s00",
            "s00",
            "z",
            (7300, 7315),
            seed_nodes=["s00:7300"],
            cloud_api=CloudApi("10.0.0.9:80", [USAGE_REPORT]),
        )
        self.control, self.clock = start_control(settings=made)
        self.control.unix_ms = lambda: 1_000_000.0 + self.clock[0]
        self.peers: dict[str, Peer] = {}

    async def run(self, until: Callable[[], bool]) -> None:
        assert await run_until(self.control, self.clock, until)

    def join(self, name: str, **status: object) -> None:
        self.peers[name] = join_member(self.control, name, **status)

    def renew(self, name: str, **status: object) -> None:
        peer = self.peers[name]
        request = RenewRequest(
            incarnation=peer.incarnation, role="store", zone="z", node=name, update_number=0, term=0, **status
        )
        self.control.sessions.handle_renewal(IncomingMessage(peer, request, call_number=1))

    def notices(self, name: str) -> list[DutyNotice]:
        updates = [one for one in self.peers[name].messages if isinstance(one, Update)]
        return [notice for update in updates for notice in update.duties or []]

    @property
    def state(self) -> DutyState:
        return self.control.duty_state


async def with_holder(members: Members) -> str:
    """Lets three stores join, one of which gets the duty; returns its name."""
    await members.run(lambda: members.control.leads)
    for name in ("s00", "s01", "s02"):
        members.join(name)
    await members.run(lambda: members.state.epoch == 1)
    return members.state.holder


# Guards against a store that acts before its assignment is committed, or is not notified of its successor.
def shows_stores_are_notified_of_a_holder_once_it_is_committed() -> None:
    async def scene() -> None:
        members = Members()
        holder = await with_holder(members)
        for name in members.peers:
            assert [(one.epoch, one.holder) for one in members.notices(name)] == [(1, holder)], name
        written = DutyState.load(members.control.record.state_machine.values["duty/usage_report"].data)
        assert written == members.state
        # Proposals are no longer committed: no store is notified, whatever state is wanted.
        members.control.driver.propose = lambda *given: asyncio.sleep(0)
        members.control.carry_out(members.control.coordinator.process_ended(members.clock[0], holder))
        for _ in range(10):
            members.clock[0] += 10.0
            members.control.tick()
            await asyncio.sleep(0)
        assert all(len(members.notices(name)) == 1 for name in members.peers)

    asyncio.run(scene())


def shows_a_holder_that_ends_leaves_or_is_refused_is_replaced_under_the_next_epoch() -> None:
    async def scene(change: Callable[[Members, str], None]) -> None:
        members = Members()
        holder = await with_holder(members)
        change(members, holder)
        await members.run(lambda: members.state.epoch == 2)
        assert members.state.holder != holder and members.state.previous == (holder,)

    def ends(members: Members, holder: str) -> None:
        members.control.carry_out(members.control.coordinator.process_ended(members.clock[0], holder))

    def refused(members: Members, holder: str) -> None:
        members.renew(holder, duties={USAGE_REPORT: DutyReport(1, 0, True)})

    for change in (ends, refused, lambda members, holder: members.renew(holder, leaving=True)):
        asyncio.run(scene(change))


# Guards against counts sent before they are sealed or to other stores, and against a holder that rejoins and
# does not get the pending windows.
def shows_windows_are_sealed_with_all_counts_and_sent_to_the_holder() -> None:
    async def scene() -> None:
        members = Members()
        holder = await with_holder(members)
        window = members.state.sealed_until + 1
        for name in members.peers:
            members.renew(name, usage={window: {"t": 2}}, usage_settled=window - 1)
        assert members.state.sealed_until == window - 1
        for name in members.peers:
            members.renew(name, usage={window: {"t": 3}}, usage_settled=window)
        await members.run(lambda: members.state.sealed_until == window)
        assert members.state.sealed == {window: {"t": 9}}
        for name in members.peers:
            sent = [one.sealed for one in members.notices(name) if one.sealed]
            assert sent == ([{window: {"t": 9}}] if name == holder else []), name
        members.join(holder)
        assert members.notices(holder)[-1].sealed == {window: {"t": 9}}
        members.renew(holder, duties={USAGE_REPORT: DutyReport(1, window)})
        for name in members.peers:
            members.renew(name, usage_settled=window + 1)
        await members.run(lambda: members.state.sealed_until == window + 1)
        assert members.state.sealed == {window + 1: {}}

    asyncio.run(scene())


# Planted mistakes that random simulations rarely reach


def notified_before_commit(original: Callable) -> Callable:
    async def propose(self: DutyManager, wanted: DutyState) -> None:
        before, self.state = self.state, wanted
        self._notify_stores(before)
        await original(self, wanted)

    return propose


def shows_planted_mistakes_are_found_by_the_tests_above() -> None:
    for owner, name, mistake, check in (
        (
            DutyManager,
            "_propose",
            notified_before_commit(DutyManager._propose),
            shows_stores_are_notified_of_a_holder_once_it_is_committed,
        ),
        (
            DutyAssignment,
            "may_send",
            lambda self, call, holds_lease, leaving: self.is_assigned(),
            shows_the_lease_is_checked_as_each_call_is_written,
        ),
        (
            DutyAssignment,
            "mark_refused",
            lambda self, call: None,
            shows_windows_are_sent_in_order_and_none_after_a_refusal,
        ),
        (
            RecentHolders,
            "excluded",
            lambda self, now: set(),
            shows_a_previous_holder_is_excluded_for_a_while,
        ),
    ):
        with mock.patch.object(owner, name, mistake):
            try:
                check()
            except AssertionError:
                continue
        raise AssertionError(f"{owner.__name__}.{name} is not covered by {check.__name__}")
