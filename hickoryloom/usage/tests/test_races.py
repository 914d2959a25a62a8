"""Single races and long gaps, each laid out step by step."""

import attrs

from hickoryloom.clock import ManualClock
from hickoryloom.usage import UsageCounter, UsageKey, UsageObject, UsageReporter, UsageTotals
from hickoryloom.usage.reporter import LIST_ALL_WINDOWS
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


def test_two_reporters_that_seal_one_window_with_other_figures_leave_one_record():
    store, clock = UsageStore(), ManualClock()
    (first, second), (slow, quick) = make(store, clock)
    first.add(KEY, ONE)
    first._flush()
    clock.advance(2 * WINDOW_S)
    slow.run_pass()

    def seal_more():
        clock.epoch -= 2 * WINDOW_S
        second.add(KEY, ONE)
        second._flush()
        clock.epoch += 2 * WINDOW_S
        run_passes(quick)

    store.interrupts.append(seal_more)
    run_passes(slow)
    clock.advance(2 * WINDOW_S)
    run_passes(slow)
    run_passes(quick)
    assert store.total_requests() == 2


def test_an_object_closed_for_a_record_that_was_frozen_without_it_goes_into_the_next():
    store, clock = UsageStore(), ManualClock()
    (first, second), (reporter, _) = make(store, clock)
    first.add(KEY, ONE)
    second.add(KEY, ONE)
    first._flush()
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    (window,) = sealed_windows(store)
    missed = UsageObject(window, "e9.0", 0, 1, [["horak", "a", "g", 1, 2, 3]], closed_into=window)
    store.create(missed.key, attrs.asdict(missed))
    run_passes(reporter)
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    assert store.total_requests() == 2
    assert len(sealed_windows(store)) == 2


def test_figures_that_come_after_the_rows_were_dropped_count_once():
    store, clock = UsageStore(), ManualClock()
    (entry, _), (reporter, _) = make(store, clock)
    entry.add(KEY, ONE)
    entry._flush()
    entry.add(KEY, ONE)
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    for _ in range(2):
        clock.advance(reporter._times.rows_kept_s + 1)
        run_passes(reporter)
    assert any(value.get("dropped") for _, value in store.objects.values())
    entry._flush()
    for _ in range(2):
        clock.advance(LIST_ALL_WINDOWS * WINDOW_S)
        run_passes(reporter)
    assert store.total_requests() == 2


def test_settled_objects_and_old_records_go_and_no_window_is_ever_sealed_again():
    store, clock = UsageStore(), ManualClock()
    (entry, _), (reporter, successor) = make(store, clock)
    entry.add(KEY, ONE)
    assert entry.stop()
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    (window,) = sealed_windows(store)
    old = dict(store.objects)
    for _ in range(4):
        clock.advance(reporter._times.objects_kept_s + 1)
        run_passes(reporter, 8)
    assert set(store.objects) == {"usage-floor"}
    ghost = next(key for key in old if key.startswith("usage/"))
    store.objects[ghost] = old[ghost]
    run_passes(successor, 8)
    clock.advance(2 * WINDOW_S)
    run_passes(successor, 8)
    assert window not in sealed_windows(store)
    assert store.total_requests() == 1


def test_a_removal_that_was_cut_short_is_finished_and_nothing_is_reported_again():
    store, clock = UsageStore(), ManualClock()
    (entry, _), (reporter, successor) = make(store, clock)
    entry.add(KEY, ONE)
    assert entry.stop()
    clock.advance(2 * WINDOW_S)
    run_passes(reporter)
    (window,) = sealed_windows(store)
    sent = len(store.sent)
    store.create("usage-floor", {"window": window + 1})
    gone = ("usage/", "sealed-parts/", "reported/")
    store.objects = {key: item for key, item in store.objects.items() if not key.startswith(gone)}
    for _ in range(2):
        run_passes(successor, 3)
        clock.advance(LIST_ALL_WINDOWS * WINDOW_S)
    assert set(store.objects) == {"usage-floor"}
    assert len(store.sent) == sent


def test_a_right_that_ends_between_two_reports_stops_the_second():
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

    def end_right():
        reporter._lease.held = None

    store.interrupts.append(end_right)
    reporter.run_pass()
    assert len(store.sent) == sent + 1
    run_passes(successor)
    assert store.total_requests() == 2


def test_an_object_from_a_clock_far_ahead_is_sealed_after_two_windows():
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
