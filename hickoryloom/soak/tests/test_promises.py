"""Each promise is seen broken when it is, and kept when it is."""

import pytest

from hickoryloom.soak import (
    PROMISES,
    Answer,
    Bounds,
    Call,
    CallKind,
    Disturbance,
    DutyReport,
    Record,
    Run,
    check_promises,
)

BOUNDS = Bounds(
    apply_s=2.0,
    revoke_s=5.0,
    drain_s=2.0,
    catch_up_s=3.0,
    stop_s=8.0,
    timeout_s=4.0,
    retry_ratio=0.2,
    retry_slack=3.0,
    retry_window_s=10.0,
)


def call(id="a", kind=CallKind.ONCE, sent=100.0, key="key-ann-1", customer="ann"):
    return Call(id, kind, customer, key, "i", sent, False)


def run(id="a", at=100.1, server="s", rejected=False, **changed):
    values = {"service": "app", "wanted_service": "app", "customer": "ann", "key_seen": False}
    return Run(call_id=id, server=server, at=at, rejected=rejected, **{**values, **changed})


def record(calls, runs=(), answers=()):
    made = Record(BOUNDS, last_fault_ended=150.0)
    made.calls = {one.id: one for one in calls}
    made.runs = list(runs)
    made.answers = {one.call.id: one for one in answers}
    return made


def answered(one, status=200, took_s=0.2, whole=True, right=True):
    return Answer(one, status, one.sent + took_s, whole, right)


def broken(made):
    return list(check_promises(made))


def test_a_sound_run_breaks_nothing():
    one = call()
    assert broken(record([one], [run()], [answered(one)])) == []


def test_a_rejected_run_counts_for_nothing():
    one = call()
    runs = [run(rejected=True), run(server="t", at=100.2)]
    assert broken(record([one], runs, [answered(one)])) == []
    assert broken(record([one], [run(rejected=True)], [answered(one, 503)])) == []


@pytest.mark.parametrize(
    ("part", "made"),
    [
        ("runs at most once", record([call()], [run(), run(server="t")])),
        ("not run is true", record([call()], [run()], [answered(call(), 503)])),
        ("own", record([call()], [run()], [answered(call(), right=False)])),
        ("only what callers asked", record([], [run()])),
        ("only what callers asked", record([call()], [run(customer="bob")])),
        ("only what callers asked", record([call()], [run(service="llm")])),
        ("only what callers asked", record([call()], [run(key_seen=True)])),
        ("gets an answer", record([call()], [], [answered(call(), 0, whole=False)])),
        ("route's time", record([call()], [run()], [answered(call(), took_s=5.5)])),
    ],
)
def test_what_callers_and_backend_servers_see(part, made):
    (name,) = broken(made)
    assert part in name


def test_a_request_that_may_be_repeated_may_run_again():
    one = call(kind=CallKind.STREAM)
    assert broken(record([one], [run(), run(server="t")], [answered(one)])) == []


def test_a_withdrawn_key():
    made = record([call(sent=105.2)], [run(at=105.3)])
    made.withdrawn["key-ann-1"] = 100.0
    assert broken(made) == []
    made.calls["a"] = call(sent=105.4)
    assert "withdrawn key" in broken(made)[0]
    made.disturbances.append(Disturbance("store", "*", 90.0, 120.0))
    assert "withdrawn key" in broken(made)[0]


def test_a_leaving_backend_server():
    made = record([call(sent=102.0)], [run(at=102.5)])
    made.leaving["s"] = 100.0
    assert "leaving backend server" in broken(made)[0]
    made.disturbances.append(Disturbance("pause", "i", 97.5, 98.0))
    assert broken(made) == []


def test_a_removed_route():
    made = record([call(kind=CallKind.ROUTE_COMES_AND_GOES, sent=103.0)], [run(at=103.1)])
    made.route_gone.append((100.0, 110.0))
    assert "removed route" in broken(made)[0]
    made.route_gone = [(101.0, 110.0)]
    assert broken(made) == []


def test_a_store_that_is_away_excuses_no_lost_answer_and_a_kill_does():
    made = record([call()], [run()], [answered(call(), 0, whole=False)])
    made.disturbances.append(Disturbance("store", "*", 99.0, 101.0))
    assert broken(made)
    made.disturbances.append(Disturbance("kill", "i", 100.05, 101.0))
    assert broken(made) == []


def test_a_cut_answer_needs_a_fault_and_a_planned_stop_is_none():
    cut = answered(call(kind=CallKind.STREAM), 200, whole=False)
    made = record([cut.call], [run()], [cut])
    made.disturbances.append(Disturbance("planned-stop", "i", 99.0, 106.0))
    assert "not cut" in broken(made)[0]
    made.disturbances[0].began = 96.0
    assert broken(made) == []
    made.disturbances = [Disturbance("server-crash", "s", 99.0, 101.0)]
    assert broken(made) == []


def test_usage_terms_and_exits():
    made = record([])
    made.reports = [DutyReport("i", 1, 7, {"ann": 3}), DutyReport("j", 2, 7, {"ann": 3})]
    made.terms = [("i", 1), ("j", 2), ("i", 3)]
    assert broken(made) == []
    made.reports.append(DutyReport("j", 2, 7, {"ann": 4}))
    made.terms.append(("j", 3))
    made.exits.append(("i", 129))
    assert len(broken(made)) == 3


def test_retries_over_the_budget():
    runs = [run(f"r{number}", 100 + number / 10) for number in range(10)]
    again = [run(f"r{number}", 102 + number / 10, rejected=True) for number in range(5)]
    calls = [call(f"r{number}", CallKind.READ) for number in range(10)]
    assert broken(record(calls, runs + again)) == []
    more = [run("r9", 103.0, rejected=True)]
    assert "retries" in broken(record(calls, runs + again + more))[0]


def test_nothing_served_after_the_last_fault():
    calls = [call(f"r{number}", CallKind.READ, sent=200.0) for number in range(10)]
    answers = [answered(one, 200 if number else 503) for number, one in enumerate(calls)]
    assert broken(record(calls, [], answers)) == []
    answers = [answered(one, 200 if number > 1 else 503) for number, one in enumerate(calls)]
    assert "served again" in broken(record(calls, [], answers))[0]


def test_every_promise_was_seen_broken_above():
    assert len(PROMISES) == 15
