"""Request metrics of an entry, and their text exposition format."""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from collections.abc import Iterator

import attrs

from hickoryloom.metrics.histograms import CustomerHistograms, DurationHistogram

__all__ = ["Attainment", "Measure", "MetricsRecorder"]

QUANTILES = (0.5, 0.95, 0.99)


class Measure(enum.Enum):
    """Durations recorded for each request."""

    QUEUE_WAIT = "queue_wait"
    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    ANSWER = "answer"


@attrs.define
class Attainment:
    """Counts of requests of a class that met or missed its latency targets.

    Attributes:
        met: Complete responses within all targets of the class.
        missed: Responses that were late or incomplete.
        refused: Requests that were refused.
    """

    met: int = 0
    missed: int = 0
    refused: int = 0

    @property
    def rate(self) -> float:
        """Fraction of all requests that met the targets; 1 if there were none."""
        total = self.met + self.missed + self.refused
        return self.met / total if total else 1.0


class MetricsRecorder:
    """Histograms and counters of one entry."""

    def __init__(self) -> None:
        self._class_histograms: dict[tuple[str, Measure], DurationHistogram] = defaultdict(
            DurationHistogram
        )
        self._customer_histograms = {measure: CustomerHistograms() for measure in Measure}
        self._attainment: dict[str, Attainment] = defaultdict(Attainment)
        self._refusals: Counter[tuple[str, str, str]] = Counter()
        self._tokens: Counter[tuple[str, str]] = Counter()

    @property
    def attainment(self) -> dict[str, Attainment]:
        """Attainment by request class."""
        return dict(self._attainment)

    def record(self, request_class: str, customer: str, measure: Measure, seconds: float) -> None:
        """Record one duration of a request."""
        self._class_histograms[request_class, measure].record(seconds)
        self._customer_histograms[measure].record(customer, seconds)

    def count_response(self, request_class: str, met: bool) -> None:
        """Count one response that was started."""
        if met:
            self._attainment[request_class].met += 1
        else:
            self._attainment[request_class].missed += 1

    def count_refusal(self, request_class: str, reason: str, verdict: str) -> None:
        """Count one refused request."""
        self._attainment[request_class].refused += 1
        self._refusals[request_class, reason, verdict] += 1

    def count_tokens(self, request_class: str, delivered: int, wasted: int) -> None:
        """Count tokens delivered to callers and generated tokens that no caller received."""
        self._tokens[request_class, "delivered"] += delivered
        self._tokens[request_class, "wasted"] += wasted

    def quantile_s(self, request_class: str, measure: Measure, quantile: float) -> float:
        """Return a quantile of one class in seconds, or 0 if nothing was recorded."""
        histogram = self._class_histograms.get((request_class, measure))
        return histogram.quantile_s(quantile) if histogram else 0.0

    def render(self, gauges: dict[str, float]) -> str:
        """Return all metrics in the text exposition format.

        Args:
            gauges: Additional gauge values by metric name, without the prefix.
        """
        lines = [f"hickoryloom_{name} {value:g}" for name, value in sorted(gauges.items())]
        for measure in Measure:
            lines.extend(self._render_measure(measure))
        lines.extend(self._render_counters())
        return "\n".join(lines) + "\n"

    def _render_measure(self, measure: Measure) -> Iterator[str]:
        name = f"hickoryloom_{measure.value}_seconds"
        yield f"# TYPE {name} summary"
        for (request_class, histogram_measure), histogram in sorted(
            self._class_histograms.items(), key=lambda item: item[0][0]
        ):
            if histogram_measure is measure:
                yield from _render_histogram(name, f'class="{request_class}"', histogram)
        for customer, histogram in self._customer_histograms[measure].items():
            yield from _render_histogram(name, f'customer="{customer}"', histogram)

    def _render_counters(self) -> Iterator[str]:
        for request_class, counts in sorted(self._attainment.items()):
            for result in ("met", "missed", "refused"):
                labels = f'class="{request_class}",result="{result}"'
                yield f"hickoryloom_requests_total{{{labels}}} {getattr(counts, result)}"
        for (request_class, reason, verdict), count in sorted(self._refusals.items()):
            labels = f'class="{request_class}",reason="{reason}",verdict="{verdict}"'
            yield f"hickoryloom_refusals_total{{{labels}}} {count}"
        for (request_class, fate), count in sorted(self._tokens.items()):
            yield f'hickoryloom_tokens_total{{class="{request_class}",fate="{fate}"}} {count}'


def _render_histogram(name: str, labels: str, histogram: DurationHistogram) -> Iterator[str]:
    for quantile in QUANTILES:
        value = histogram.quantile_s(quantile)
        yield f'{name}{{{labels},quantile="{quantile}"}} {value:g}'
    yield f"{name}_count{{{labels}}} {histogram.count}"
    yield f"{name}_sum{{{labels}}} {histogram.sum_s:g}"
