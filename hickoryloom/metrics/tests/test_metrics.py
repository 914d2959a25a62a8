"""Histograms count every duration and use bounded memory."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.metrics import CustomerHistograms, DurationHistogram, Measure, MetricsRecorder


@given(st.lists(st.floats(0.0002, 3000), min_size=1, max_size=200))
def test_quantile_is_accurate_to_the_resolution(durations):
    histogram = DurationHistogram()
    for seconds in durations:
        histogram.record(seconds)
    assert histogram.count == len(durations)
    longest = max(durations)
    assert abs(histogram.quantile_s(1.0) - longest) <= longest * 0.02 + 0.0002


@given(st.lists(st.integers(0, 30), min_size=1, max_size=300))
def test_customer_histograms_are_bounded_and_no_duration_is_lost(customers):
    histograms = CustomerHistograms(max_tracked=5)
    for number in customers:
        histograms.record(f"c{number}", 0.1)
    items = histograms.items()
    assert len(items) <= 6
    assert sum(histogram.count for _, histogram in items) == len(customers)


def test_text_format_contains_classes_customers_and_refusals():
    recorder = MetricsRecorder()
    recorder.record("guest", "rossi", Measure.FIRST_TOKEN, 0.2)
    recorder.count_response("guest", met=True)
    recorder.count_refusal("guest", "overload", "not-run")
    text = recorder.render({"in_flight": 3})
    assert "hickoryloom_in_flight 3\n" in text
    assert 'hickoryloom_first_token_seconds{class="guest",quantile="0.95"} 0.2' in text
    assert 'hickoryloom_first_token_seconds_count{customer="rossi"} 1' in text
    assert 'hickoryloom_requests_total{class="guest",result="met"} 1' in text
    assert 'refusals_total{class="guest",reason="overload",verdict="not-run"} 1' in text
