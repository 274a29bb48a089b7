"""Plain asserts on the simulator's adapter: framing, names, indices, instances."""

import json
import subprocess
import sys
from struct import pack, unpack_from

from sableford.intake.index_table import IndexTable, WorkerList
from sableford.intake.scheduler_settings import parse_settings

PROFILE = {
    "instances": 1,
    "schemes": [{"effect": "unsafe", "sla_time_s": 0.3, "expiry_s": 5.0, "unheard_of": 1}],
    "limits": {"most_postings": 3},
    "obligations": {"overload_factor": 2.0, "fall_s": 2.0, "start_capacity": 0.2, "warm_within_s": 9.0},
    "load_info": {"columns": ["depth", "x0"], "via": "inline"},
    "specifics": {"report_x0": "free slots", "class_stretch": [2.5]},
}


def record(code: int, layout: str, *values) -> bytes:
    return pack("<B" + layout, code, *values).ljust(56, b"\0")


def frame(clock: float, *records: bytes, tail: bytes = b"") -> bytes:
    body = b"".join(records) + tail
    return pack("<IId", len(records), len(body), clock) + body


def host(sent: bytes) -> tuple[int, bytes, str]:
    command = [sys.executable, "-B", "-m", "sableford.simhost"]
    ran = subprocess.run(command, input=sent, capture_output=True, timeout=30)
    return ran.returncode, ran.stdout, ran.stderr.decode()


def opening(number: int, profile: dict = PROFILE) -> bytes:
    text = json.dumps(profile).encode()
    entry = pack("<IBHHBfd", 77, 0, 0, 0, 1, 1.0, 0.0)
    return frame(
        9.0,
        record(16, "IQII", number, 5, 0, len(text)),
        record(24, "BII", 0, len(text), 1),
        record(26, "IBQB", number, 2, 1, 0),
        tail=text + entry,
    )


def call(number: int, rid: int) -> bytes:
    return record(19, "IQHIQddffH", number, rid, 0, 0, 0, 14.0, 0.0, 1.0, 0.0, 0)


def shows_a_call_is_routed_under_its_own_ids() -> None:
    code, out, _ = host(opening(3) + frame(9.5, call(3, 12345)))
    assert code == 0
    route = out[16:48]
    assert unpack_from("<BIQId", route) == (17, 3, 12345, 77, 14.0)


def shows_an_unknown_code_stops_with_one_line() -> None:
    code, out, errors = host(opening(1) + frame(9.5, record(99, "I", 1)))
    assert code and errors.count("\n") == 1 and "99" in errors


def shows_a_short_frame_and_a_stray_tail_stop() -> None:
    for sent in (frame(1.0, record(21, "IQ", 1, 0))[:-5], b"\1\0", frame(1.0, record(24, "BII", 0, 900, 1))):
        code, _, errors = host(sent)
        assert code and errors.count("\n") == 1 and "Traceback" not in errors


def shows_a_failure_in_the_decisions_goes_out_as_a_fault() -> None:
    code, out, _ = host(opening(1, {**PROFILE, "limits": {}}))
    kind, number = unpack_from("<BI", out, 8)
    assert (code, kind, number) == (0, 21, 1) and b"most_postings" in out


def shows_a_missing_count_of_schedulers_is_named() -> None:
    for profile in (
        {**PROFILE, "instances": 0},
        {key: PROFILE[key] for key in PROFILE if key != "instances"},
    ):
        _, out, _ = host(opening(1, profile))
        assert out[8] == 21 and b"instances" in out


def shows_teardown_then_born_in_one_batch_forgets_the_old() -> None:
    first = opening(1)
    again = frame(
        9.6, record(20, "I", 1), record(17, "IQIBBHdBB4f", 1, 8, 77, 0, 0, 301, 0.1, 0, 0, 0, 0, 0, 0)
    )
    code, out, errors = host(first + frame(9.5, call(1, 8)) + again)
    assert code == 0 and not errors and out.endswith(pack("<II", 0, 0))


def shows_a_full_list_removes_whom_it_omits() -> None:
    table = IndexTable()
    table.roster_update(WorkerList([(9, 0, 0, 0, 1, 1.0, 0.0), (4, 0, 0, 0, 1, 1.0, 0.0)]), complete=True)
    gone = table.roster_update(WorkerList([(4, 0, 0, 0, 1, 0.5, 0.0)]), complete=True)
    assert [(entry.worker, int(entry.standing)) for entry in gone.entries] == [(0, 0)] and gone.rating(
        1
    ) == 0.5


def shows_a_txn_keeps_its_index_until_nothing_is_out() -> None:
    table = IndexTable()
    txn = table.add_txn(500)
    table.posting_sent(txn)
    table.close_txn(txn)
    assert table.find_txn(500) == txn and table.add_txn(501) != txn
    table.posting_ended(txn, closed=True)
    assert table.find_txn(500) is None and table.add_txn(502) == txn


def shows_the_start_up_text_is_read_by_meaning() -> None:
    config = parse_settings(json.dumps(PROFILE).encode()).config
    assert (config.waiting, config.free_slots) == (0, 1)
    assert (config.schemes[0].sla, config.schemes[0].stretch, config.obligations.push_span) == (
        300.0,
        2.5,
        2000.0,
    )


def shows_the_settings_on_misses_and_removals_are_read_and_bad_ones_named() -> None:
    def read(**more):
        return parse_settings(json.dumps(PROFILE | more).encode()).config

    assert not read().punctual and not read().obligations.soft_removal
    assert not read().obligations.full_may_have_run and read().obligations.start_drift == 0.0
    obligations = PROFILE["obligations"] | {
        "soft_removal": True,
        "busy_is_no_proof": True,
        "start_drift_s": 13,
    }
    config = read(
        scoring_mix={"punctual": 0.4, "miss_allowed": 0.02},
        obligations=obligations,
        specifics={"class_kind": [2]},
    )
    assert config.punctual and config.obligations.soft_removal
    assert (
        config.obligations.full_may_have_run
        and config.obligations.start_drift == 13_000.0
        and config.schemes[0].kind == 2
    )
    for bad, field in (
        ({"scoring_mix": {"punctual": -0.1}}, "scoring_mix.punctual"),
        ({"scoring_mix": {"miss_allowed": 2.0}}, "scoring_mix.miss_allowed"),
        ({"scoring_mix": {"punctual": float("nan")}}, "settings"),
        ({"obligations": PROFILE["obligations"] | {"soft_removal": 1}}, "obligations.soft_removal"),
        ({"obligations": PROFILE["obligations"] | {"start_drift_s": -1}}, "obligations.start_drift_s"),
    ):
        try:
            read(**bad)
        except ValueError as error:
            assert field in str(error), error
        else:
            raise AssertionError(f"taken: {bad}")
