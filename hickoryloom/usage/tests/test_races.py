"""Individual races and long delays, each reproduced step by step."""

import attrs

from hickoryloom.clock import ManualClock
from hickoryloom.usage import UsageCounter, UsageKey, UsageObject, UsageReporter, UsageTotals
from hickoryloom.usage.reporter import FULL_LISTING_WINDOWS
from hickoryloom.usage.tests.fakes import FixedLease, UsageStore

WINDOW_S = 60.0
KEY = UsageKey("horak", "assistant", "guest")
ONE = UsageTotals(1, 10, 100)


def make(store, clock):
    counters = [UsageCounter(store, clock, name, WINDOW_S) for name in ("e1", "e2")]
    reporters = [UsageReporter(store, clock, FixedLease(n), f"c{n}", WINDOW_S) for n in (1, 2)]
    return counters, reporters


def run_passes(reporter, count=4):
    for _ in range(count):
        reporter.run_pass()


def sealed_windows(store):
    return sorted(int(key[7:]) for key in store.objects if key.startswith("sealed/"))


def test_concurrent_reporters_with_different_figures_create_one_record():
    store, clock = UsageStore(), ManualClock()
    (first, second), (slow_reporter, fast_reporter) = make(store, clock)
    first.add(KEY, ONE)
    first._flush()
    clock.advance(2 * WINDOW_S)
    slow_reporter.run_pass()

    def seal_concurrently():
        clock.epoch -= 2 * WINDOW_S
        second.add(KEY, ONE)
        second._flush()
        clock.epoch += 2 * WINDOW_S
        run_passes(fast_reporter)

    store.interrupts.append(seal_concurrently)
    run_passes(slow_reporter)
    clock.advance(2 * WINDOW_S)
    run_passes(slow_reporter)
    run_passes(fast_reporter)
    assert store.total_requests() == 2


def test_an_object_that_missed_its_sealed_record_goes_into_the_next_one():
    store, clock = UsageStore(), ManualClock()
    (first, second), (reporter, _) = make(store, clock)
    first.add(KEY, ONE)
    second.add(KEY, ONE)
    first._flush()
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    (window,) = sealed_windows(store)
    late_object = UsageObject(
        window, "e9.0", 0, 1, [["horak", "a", "g", 1, 2, 3]], closed_into=window
    )
    store.create(late_object.key, attrs.asdict(late_object))
    run_passes(reporter)
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    assert store.total_requests() == 2
    assert len(sealed_windows(store)) == 2


def test_figures_written_after_the_rows_were_dropped_count_once():
    store, clock = UsageStore(), ManualClock()
    (entry, _), (reporter, _) = make(store, clock)
    entry.add(KEY, ONE)
    entry._flush()
    entry.add(KEY, ONE)
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    for _ in range(2):
        clock.advance(reporter._times.row_retention_s + 1)
        run_passes(reporter)
    assert any(value.get("dropped") for _, value in store.objects.values())
    entry._flush()
    for _ in range(2):
        clock.advance(FULL_LISTING_WINDOWS * WINDOW_S)
        run_passes(reporter)
    assert store.total_requests() == 2


def test_old_objects_and_records_are_deleted_and_no_window_is_sealed_again():
    store, clock = UsageStore(), ManualClock()
    (entry, _), (reporter, successor) = make(store, clock)
    entry.add(KEY, ONE)
    assert entry.stop()
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    (window,) = sealed_windows(store)
    old = dict(store.objects)
    for _ in range(4):
        clock.advance(reporter._times.object_retention_s + 1)
        run_passes(reporter, 8)
    assert set(store.objects) == {"usage-floor"}
    deleted_key = next(key for key in old if key.startswith("usage/"))
    store.objects[deleted_key] = old[deleted_key]
    run_passes(successor, 8)
    clock.advance(2 * WINDOW_S)
    run_passes(successor, 8)
    assert window not in sealed_windows(store)
    assert store.total_requests() == 1


def test_an_interrupted_removal_is_completed_and_nothing_is_reported_again():
    store, clock = UsageStore(), ManualClock()
    (entry, _), (reporter, successor) = make(store, clock)
    entry.add(KEY, ONE)
    assert entry.stop()
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    (window,) = sealed_windows(store)
    sent = len(store.sent)
    store.create("usage-floor", {"window": window + 1})
    deleted_prefixes = ("usage/", "sealed-parts/", "reported/")
    store.objects = {
        key: item for key, item in store.objects.items() if not key.startswith(deleted_prefixes)
    }
    for _ in range(2):
        run_passes(successor, 3)
        clock.advance(FULL_LISTING_WINDOWS * WINDOW_S)
    assert set(store.objects) == {"usage-floor"}
    assert len(store.sent) == sent


def test_losing_the_lease_between_two_reports_prevents_the_second():
    store, clock = UsageStore(), ManualClock()
    (entry, _), (reporter, successor) = make(store, clock)
    store.lose_reports = 99
    for _ in range(2):
        entry.add(KEY, ONE)
        entry._flush()
        clock.advance(2 * WINDOW_S)
        run_passes(reporter)
    assert len(sealed_windows(store)) == 2
    store.lose_reports, sent = 0, len(store.sent)

    def revoke_lease():
        reporter._lease.held = None

    store.interrupts.append(revoke_lease)
    reporter.run_pass()
    assert len(store.sent) == sent + 1
    run_passes(successor)
    assert store.total_requests() == 2


def test_an_object_of_a_writer_with_a_fast_clock_is_sealed_after_two_windows():
    store, clock = UsageStore(), ManualClock()
    ahead = ManualClock(epoch=clock.epoch + 90_000)
    entry = UsageCounter(store, ahead, "e1", WINDOW_S)
    _, (reporter, _) = make(store, clock)
    entry.add(KEY, ONE)
    entry._flush()
    run_passes(reporter)
    assert store.total_requests() == 0
    clock.advance(3 * WINDOW_S)
    run_passes(reporter)
    clock.advance(3 * WINDOW_S)
    run_passes(reporter)
    assert store.total_requests() == 1
