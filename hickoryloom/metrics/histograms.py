"""Histograms of durations: precise for request classes, coarse for customers."""

from __future__ import annotations

from collections import OrderedDict

from hdrh.histogram import HdrHistogram

__all__ = ["CustomerHistograms", "DurationHistogram"]

TICKS_PER_S = 10_000
MAX_DURATION_S = 3600
CLASS_SIGNIFICANT_DIGITS = 2
CUSTOMER_SIGNIFICANT_DIGITS = 1
MAX_TRACKED_CUSTOMERS = 256
OTHER_CUSTOMERS_LABEL = "(others)"


class DurationHistogram:
    """A histogram of seconds with a resolution of 0.1 ms, up to one hour.

    Args:
        digits: Number of significant digits.
    """

    def __init__(self, digits: int = CLASS_SIGNIFICANT_DIGITS) -> None:
        self._histogram = HdrHistogram(1, MAX_DURATION_S * TICKS_PER_S, digits)
        self._sum_s = 0.0

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._histogram.get_total_count())

    @property
    def sum_s(self) -> float:
        """Sum of all durations in seconds."""
        return self._sum_s

    def record(self, seconds: float) -> None:
        """Record one duration, clamped to one hour in the histogram but not in the sum."""
        ticks = min(max(int(seconds * TICKS_PER_S), 1), MAX_DURATION_S * TICKS_PER_S)
        self._histogram.record_value(ticks)
        self._sum_s += seconds

    def quantile_s(self, quantile: float) -> float:
        """Return the given quantile (0 to 1) in seconds, or 0 if nothing was recorded."""
        if not self.count:
            return 0.0
        return float(self._histogram.get_value_at_percentile(quantile * 100)) / TICKS_PER_S

    def add(self, other: DurationHistogram) -> None:
        """Add all durations of `other`, which must have the same number of digits."""
        self._histogram.add(other._histogram)
        self._sum_s += other._sum_s


class CustomerHistograms:
    """Coarse histograms of the most recently seen customers; all others are merged into one.

    Args:
        max_tracked: Maximum number of customers with their own histogram.
    """

    def __init__(self, max_tracked: int = MAX_TRACKED_CUSTOMERS) -> None:
        self._max_tracked = max_tracked
        self._by_customer: OrderedDict[str, DurationHistogram] = OrderedDict()
        self._others = DurationHistogram(CUSTOMER_SIGNIFICANT_DIGITS)

    def record(self, customer: str, seconds: float) -> None:
        """Record one duration of `customer`."""
        histogram = self._by_customer.get(customer)
        if histogram is None:
            histogram = self._create(customer)
        self._by_customer.move_to_end(customer)
        histogram.record(seconds)

    def items(self) -> list[tuple[str, DurationHistogram]]:
        """Return the customers and their histograms; the merged one, if not empty, is last."""
        histograms = sorted(self._by_customer.items())
        if self._others.count:
            histograms.append((OTHER_CUSTOMERS_LABEL, self._others))
        return histograms

    def _create(self, customer: str) -> DurationHistogram:
        if len(self._by_customer) >= self._max_tracked:
            _, least_recent = self._by_customer.popitem(last=False)
            self._others.add(least_recent)
        histogram = DurationHistogram(CUSTOMER_SIGNIFICANT_DIGITS)
        self._by_customer[customer] = histogram
        return histogram
