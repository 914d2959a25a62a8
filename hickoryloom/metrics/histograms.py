"""Histograms of durations, full for classes and coarse for customers."""

from __future__ import annotations

from collections import OrderedDict

from hdrh.histogram import HdrHistogram

__all__ = ["CustomerHistograms", "DurationHistogram"]

TICKS_PER_S = 10_000
LONGEST_S = 3600
CLASS_DIGITS = 2
CUSTOMER_DIGITS = 1
CUSTOMERS_TRACKED = 256
OTHER_CUSTOMERS = "(others)"


class DurationHistogram:
    """A histogram of seconds with a resolution of 0.1 ms, up to one hour.

    Args:
        digits: Significant digits kept.
    """

    def __init__(self, digits: int = CLASS_DIGITS) -> None:
        self._histogram = HdrHistogram(1, LONGEST_S * TICKS_PER_S, digits)
        self._sum_s = 0.0

    @property
    def count(self) -> int:
        """Durations recorded."""
        return int(self._histogram.get_total_count())

    @property
    def sum_s(self) -> float:
        """Sum of all durations in seconds."""
        return self._sum_s

    def record(self, seconds: float) -> None:
        """Add one duration; one longer than an hour counts as an hour."""
        ticks = min(max(int(seconds * TICKS_PER_S), 1), LONGEST_S * TICKS_PER_S)
        self._histogram.record_value(ticks)
        self._sum_s += seconds

    def quantile_s(self, quantile: float) -> float:
        """Return the duration in seconds below which the part `quantile` (0 to 1) lies."""
        if not self.count:
            return 0.0
        return float(self._histogram.get_value_at_percentile(quantile * 100)) / TICKS_PER_S

    def add(self, other: DurationHistogram) -> None:
        """Add all durations of `other`, which keeps as many digits."""
        self._histogram.add(other._histogram)
        self._sum_s += other._sum_s


class CustomerHistograms:
    """Coarse histograms of the customers seen last; the rest are merged into one.

    Args:
        tracked: Most customers with a histogram of their own.
    """

    def __init__(self, tracked: int = CUSTOMERS_TRACKED) -> None:
        self._tracked = tracked
        self._by_customer: OrderedDict[str, DurationHistogram] = OrderedDict()
        self._others = DurationHistogram(CUSTOMER_DIGITS)

    def record(self, customer: str, seconds: float) -> None:
        """Add one duration of `customer`."""
        histogram = self._by_customer.get(customer)
        if histogram is None:
            histogram = self._create(customer)
        self._by_customer.move_to_end(customer)
        histogram.record(seconds)

    def items(self) -> list[tuple[str, DurationHistogram]]:
        """Return the customers and their histograms, the merged rest last when there is any."""
        found = sorted(self._by_customer.items())
        if self._others.count:
            found.append((OTHER_CUSTOMERS, self._others))
        return found

    def _create(self, customer: str) -> DurationHistogram:
        if len(self._by_customer) >= self._tracked:
            _, idle = self._by_customer.popitem(last=False)
            self._others.add(idle)
        histogram = DurationHistogram(CUSTOMER_DIGITS)
        self._by_customer[customer] = histogram
        return histogram
