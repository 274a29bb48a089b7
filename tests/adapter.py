"""Plain asserts on the simulator's adapter: framing, names, indices, instances."""

import json
import subprocess
import sys
from struct import pack, unpack_from

from sableford.intake.charter import read_charter
from sableford.intake.door import Door, Sheet

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
    code, out, told = host(opening(1) + frame(9.5, record(99, "I", 1)))
    assert code and told.count("\n") == 1 and "99" in told


def shows_a_short_frame_and_a_stray_tail_stop() -> None:
    for sent in (frame(1.0, record(21, "IQ", 1, 0))[:-5], b"\1\0", frame(1.0, record(24, "BII", 0, 900, 1))):
        code, _, told = host(sent)
        assert code and told.count("\n") == 1 and "Traceback" not in told


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
    code, out, told = host(first + frame(9.5, call(1, 8)) + again)
    assert code == 0 and not told and out.endswith(pack("<II", 0, 0))


def shows_a_full_list_removes_whom_it_omits() -> None:
    door = Door()
    door.roster(Sheet([(9, 0, 0, 0, 1, 1.0, 0.0), (4, 0, 0, 0, 1, 1.0, 0.0)]), complete=True)
    gone = door.roster(Sheet([(4, 0, 0, 0, 1, 0.5, 0.0)]), complete=True)
    assert [(line.worker, int(line.standing)) for line in gone.lines] == [(0, 0)] and gone.rating(1) == 0.5


def shows_a_txn_keeps_its_index_until_nothing_is_out() -> None:
    door = Door()
    txn = door.take(500)
    door.posted(txn)
    door.over(txn)
    assert door.txn(500) == txn and door.take(501) != txn
    door.back(txn, closed=True)
    assert door.txn(500) is None and door.take(502) == txn


def shows_the_start_up_text_is_read_by_meaning() -> None:
    terms = read_charter(json.dumps(PROFILE).encode()).terms
    assert (terms.waiting, terms.free_slots) == (0, 1)
    assert (terms.schemes[0].sla, terms.schemes[0].stretch, terms.duties.push_span) == (300.0, 2.5, 2000.0)


def shows_the_settings_on_misses_and_removals_are_read_and_bad_ones_named() -> None:
    def read(**more):
        return read_charter(json.dumps(PROFILE | more).encode()).terms

    assert not read().punctual and not read().duties.soft
    assert not read().duties.full_may_have_run and read().duties.start_drift == 0.0
    owed = PROFILE["obligations"] | {"soft_removal": True, "busy_is_no_proof": True, "start_drift_s": 13}
    told = read(
        scoring_mix={"punctual": 0.4, "miss_allowed": 0.02}, obligations=owed, specifics={"class_kind": [2]}
    )
    assert told.punctual and told.duties.soft
    assert told.duties.full_may_have_run and told.duties.start_drift == 13_000.0 and told.schemes[0].kind == 2
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
