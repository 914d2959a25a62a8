"""Each check reports violations of its promise and accepts runs that keep it."""

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


def run(id="a", at=100.1, server="s", rejected=False, **overrides):
    defaults = {"service": "app", "wanted_service": "app", "customer": "ann", "key_seen": False}
    return Run(
        call_id=id, server=server, received_at=at, rejected=rejected, **{**defaults, **overrides}
    )


def record(calls, runs=(), answers=()):
    observed = Record(BOUNDS, last_fault_ended=150.0)
    observed.calls = {request.id: request for request in calls}
    observed.runs = list(runs)
    observed.answers = {answer.call.id: answer for answer in answers}
    return observed


def answer_to(request, status=200, took_s=0.2, whole=True, correct=True):
    return Answer(request, status, request.sent + took_s, whole, correct)


def broken_promises(observed):
    return list(check_promises(observed))


def test_run_without_violations():
    request = call()
    assert broken_promises(record([request], [run()], [answer_to(request)])) == []


def test_rejected_runs_are_not_counted():
    request = call()
    runs = [run(rejected=True), run(server="t", at=100.2)]
    assert broken_promises(record([request], runs, [answer_to(request)])) == []
    assert broken_promises(record([request], [run(rejected=True)], [answer_to(request, 503)])) == []


@pytest.mark.parametrize(
    ("part", "made"),
    [
        ("runs at most once", record([call()], [run(), run(server="t")])),
        ("not run is true", record([call()], [run()], [answer_to(call(), 503)])),
        ("own", record([call()], [run()], [answer_to(call(), correct=False)])),
        ("only what callers asked", record([], [run()])),
        ("only what callers asked", record([call()], [run(customer="bob")])),
        ("only what callers asked", record([call()], [run(service="llm")])),
        ("only what callers asked", record([call()], [run(key_seen=True)])),
        ("gets an answer", record([call()], [], [answer_to(call(), 0, whole=False)])),
        ("route's time", record([call()], [run()], [answer_to(call(), took_s=5.5)])),
    ],
)
def test_violations_seen_by_callers_and_backend_servers(part, made):
    (name,) = broken_promises(made)
    assert part in name


def test_retryable_request_may_run_again():
    request = call(kind=CallKind.STREAM)
    assert broken_promises(record([request], [run(), run(server="t")], [answer_to(request)])) == []


def test_withdrawn_key():
    observed = record([call(sent=105.2)], [run(at=105.3)])
    observed.withdrawn["key-ann-1"] = 100.0
    assert broken_promises(observed) == []
    observed.calls["a"] = call(sent=105.4)
    assert "withdrawn key" in broken_promises(observed)[0]
    observed.disturbances.append(Disturbance("store", "*", 90.0, 120.0))
    assert "withdrawn key" in broken_promises(observed)[0]


def test_draining_backend_server():
    observed = record([call(sent=102.0)], [run(at=102.5)])
    observed.leaving["s"] = 100.0
    assert "leaving backend server" in broken_promises(observed)[0]
    observed.disturbances.append(Disturbance("pause", "i", 97.5, 98.0))
    assert broken_promises(observed) == []


def test_removed_route():
    observed = record([call(kind=CallKind.EXTRA_ROUTE, sent=103.0)], [run(at=103.1)])
    observed.route_removals.append((100.0, 110.0))
    assert "removed route" in broken_promises(observed)[0]
    observed.route_removals = [(101.0, 110.0)]
    assert broken_promises(observed) == []


def test_lost_response_is_excused_by_a_kill_but_not_by_a_store_fault():
    observed = record([call()], [run()], [answer_to(call(), 0, whole=False)])
    observed.disturbances.append(Disturbance("store", "*", 99.0, 101.0))
    assert broken_promises(observed)
    observed.disturbances.append(Disturbance("kill", "i", 100.05, 101.0))
    assert broken_promises(observed) == []


def test_cut_response_is_excused_by_a_crash_but_not_by_a_planned_stop():
    cut = answer_to(call(kind=CallKind.STREAM), 200, whole=False)
    observed = record([cut.call], [run()], [cut])
    observed.disturbances.append(Disturbance("planned-stop", "i", 99.0, 106.0))
    assert "not cut" in broken_promises(observed)[0]
    observed.disturbances[0].began = 96.0
    assert broken_promises(observed) == []
    observed.disturbances = [Disturbance("server-crash", "s", 99.0, 101.0)]
    assert broken_promises(observed) == []


def test_inconsistent_usage_reused_terms_and_unexpected_exits():
    observed = record([])
    observed.reports = [DutyReport("i", 1, 7, {"ann": 3}), DutyReport("j", 2, 7, {"ann": 3})]
    observed.terms = [("i", 1), ("j", 2), ("i", 3)]
    assert broken_promises(observed) == []
    observed.reports.append(DutyReport("j", 2, 7, {"ann": 4}))
    observed.terms.append(("j", 3))
    observed.unexpected_exits.append(("i", 129))
    assert len(broken_promises(observed)) == 3


def test_retries_beyond_the_budget():
    runs = [run(f"r{number}", 100 + number / 10) for number in range(10)]
    retries = [run(f"r{number}", 102 + number / 10, rejected=True) for number in range(5)]
    calls = [call(f"r{number}", CallKind.READ) for number in range(10)]
    assert broken_promises(record(calls, runs + retries)) == []
    over_budget = [run("r9", 103.0, rejected=True)]
    assert "retries" in broken_promises(record(calls, runs + retries + over_budget))[0]


def test_failures_after_the_last_fault():
    calls = [call(f"r{number}", CallKind.READ, sent=200.0) for number in range(10)]
    answers = [answer_to(request, 200 if number else 503) for number, request in enumerate(calls)]
    assert broken_promises(record(calls, [], answers)) == []
    answers = [
        answer_to(request, 200 if number > 1 else 503) for number, request in enumerate(calls)
    ]
    assert "served again" in broken_promises(record(calls, [], answers))[0]


def unanswered_in_a_stop(log_lines=(), runs=(), took_s=0.2, only_planned_work=True):
    request = call(kind=CallKind.READ)
    observed = record([request], runs, [answer_to(request, 0, took_s, whole=False)])
    observed.disturbances = [Disturbance("planned-stop", "i", 97.0, 103.0)]
    observed.log_lines = {"a": list(log_lines)} if log_lines else {}
    observed.only_planned_work = only_planned_work
    return [name for name in broken_promises(observed) if "planned work" in name]


def test_a_request_that_was_read_around_a_stop_needs_a_complete_answer():
    assert unanswered_in_a_stop(log_lines=["event=request request=a"])
    assert unanswered_in_a_stop(runs=[run()])


@pytest.mark.parametrize(
    "observed",
    [
        {},
        {"runs": [run(rejected=True)]},
        {"runs": [run()], "took_s": 3.7},
        {"runs": [run()], "only_planned_work": False},
    ],
)
def test_requests_that_planned_work_may_leave_unanswered(observed):
    assert not unanswered_in_a_stop(**observed)


def test_a_long_stream_runs_at_most_once():
    request = call(kind=CallKind.LONG_STREAM)
    runs = [run(service="llm", wanted_service="llm", server=server) for server in "st"]
    assert "at most once" in broken_promises(record([request], runs))[0]


def test_number_of_promises():
    # A new promise needs a test above that breaks it.
    assert len(PROMISES) == 16
