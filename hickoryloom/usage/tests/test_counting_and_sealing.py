import json

import falcon
import falcon.testing

from hickoryloom.clock import ManualClock
from hickoryloom.usage import UsageCounter, UsageKey, UsageReporter, UsageTotals
from hickoryloom.usage.ledger import MAX_ROWS_PER_PART
from hickoryloom.usage.tests.fakes import FixedLease, UsageStore

WINDOW_S = 60.0
KEY = UsageKey("horak", "assistant", "guest")
ONE = UsageTotals(1, 10, 100)


def make_counter(store, clock, name="e1"):
    return UsageCounter(store, clock, name, WINDOW_S)


def make_reporter(store, clock, name="c1", term=1):
    return UsageReporter(store, clock, FixedLease(term), name, WINDOW_S)


def run_passes(reporter):
    for _ in range(4):
        reporter.run_pass()


def test_a_window_is_reported_once_with_the_sum_of_all_entries():
    store, clock = UsageStore(), ManualClock()
    counters = [make_counter(store, clock, name) for name in ("e1", "e2")]
    for counter in counters:
        counter.add(KEY, ONE, "r1")
        counter.add(KEY, ONE, "r2")
        assert counter.stop()
    clock.advance(2 * WINDOW_S)
    reporter = make_reporter(store, clock)
    run_passes(reporter)
    run_passes(make_reporter(store, clock, "c2", 2))
    assert len(store.sent) == 1
    assert store.sent[0].figures["rows"] == [["horak", "assistant", "guest", 4, 40, 400]]


def test_the_same_request_id_counts_once():
    store, clock = UsageStore(), ManualClock()
    counter = make_counter(store, clock)
    counter.add(KEY, ONE, "r1")
    counter.add(KEY, ONE, "r1")
    counter.stop()
    clock.advance(2 * WINDOW_S)
    run_passes(make_reporter(store, clock))
    assert store.total_requests() == 1


def test_figures_written_after_sealing_go_to_the_next_unsealed_window():
    store, clock = UsageStore(), ManualClock()
    counter = make_counter(store, clock)
    counter.add(KEY, ONE)
    counter._write_due()
    clock.advance(WINDOW_S / 3)
    counter._write_due()
    store.down = True
    counter.add(KEY, ONE)
    clock.advance(1.6 * WINDOW_S)
    store.down = False
    reporter = make_reporter(store, clock)
    run_passes(reporter)
    assert store.total_requests() == 1
    assert counter.stop()
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    assert store.total_requests() == 2
    assert len(store.reports) == 2


def test_a_report_with_a_lost_response_is_resent_unchanged_by_the_next_holder():
    store, clock = UsageStore(), ManualClock()
    counter = make_counter(store, clock)
    counter.add(KEY, ONE)
    counter.stop()
    clock.advance(2 * WINDOW_S)
    first = make_reporter(store, clock)
    store.lose_reports = 1
    first.run_pass()
    first.run_pass()
    assert len(store.sent) == 1
    second = make_reporter(store, clock, "c2", 2)
    run_passes(second)
    assert len({report.digest for report in store.sent}) == 1
    assert [report.fencing for report in store.sent] == [1, 2]


def test_a_peer_writes_its_copy_and_the_figures_count_once():
    store, clock = UsageStore(), ManualClock()
    entry, peer = make_counter(store, clock, "e1"), make_counter(store, clock, "e2")
    app = falcon.App()
    peer.add_routes(app)
    client = falcon.testing.TestClient(app)
    entry.add(KEY, ONE)
    entry._write_due()
    entry.add(KEY, ONE)
    copy = entry._ledger.parts[0].build_copy("e2")
    body = {"window": copy.window, "source": copy.source, "sequence": copy.sequence}
    response = client.simulate_post("/peer/usage", json={**body, "base": 0, "rows": copy.rows})
    assert response.json == {"sequence": copy.sequence}
    clock.advance(2 * WINDOW_S)
    peer._write_due()
    assert peer.held_copies == 0
    assert entry.stop()
    run_passes(make_reporter(store, clock))
    assert store.total_requests() == 2


def test_copies_without_the_secret_or_malformed_are_rejected():
    counter = UsageCounter(UsageStore(), ManualClock(), "e1", WINDOW_S, peer_secret="s")
    app = falcon.App()
    counter.add_routes(app)
    client = falcon.testing.TestClient(app)
    headers = {"Authorization": "Bearer s"}
    body = {"window": 0, "source": "e2.0", "sequence": 1, "base": 0, "rows": [["too short"]]}
    assert client.simulate_post("/peer/usage", json=body).status_code == 403
    assert client.simulate_post("/peer/usage", json=body, headers=headers).status_code == 400
    assert client.simulate_post("/peer/usage", json=[], headers=headers).status_code == 400


def test_figures_of_many_customers_are_split_into_objects_below_one_megabyte():
    store, clock = UsageStore(), ManualClock()
    counter = make_counter(store, clock)
    for number in range(11_000):
        counter.add(UsageKey(f"customer-{number:05}", "assistant-large", "interactive"), ONE)
    assert counter.stop()
    assert len(store.objects) == -(-11_000 // MAX_ROWS_PER_PART)
    clock.advance(2 * WINDOW_S)
    run_passes(make_reporter(store, clock))
    assert store.total_requests() == 11_000
    assert max(len(json.dumps(value)) for _, value in store.objects.values()) < 1_000_000
