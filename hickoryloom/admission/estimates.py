"""Estimated response lengths and service times of one pool by class, from finished requests."""

from __future__ import annotations

import math

import attrs

__all__ = ["Estimates"]

DEFAULT_TOKENS = 200.0
CHARGED_QUANTILE = 0.6
BUCKET_GROWTH = 1.25
HALVE_COUNTS_AT = 400
SMOOTHING = 0.05


@attrs.define
class _LengthHistogram:
    """Histogram of response lengths with exponential buckets.

    All counts are halved when their total reaches `HALVE_COUNTS_AT`, so that old responses
    lose weight.
    """

    counts: dict[int, float] = attrs.field(factory=dict)
    total: float = 0.0

    def add(self, tokens: int) -> None:
        bucket = math.ceil(math.log(max(tokens, 1), BUCKET_GROWTH))
        self.counts[bucket] = self.counts.get(bucket, 0.0) + 1.0
        self.total += 1.0
        if self.total >= HALVE_COUNTS_AT:
            self.counts = {b: n / 2 for b, n in self.counts.items() if n > 0.05}
            self.total = sum(self.counts.values())

    def quantile(self, fraction: float) -> float | None:
        if not self.total:
            return None
        cumulative = 0.0
        for bucket in sorted(self.counts):
            cumulative += self.counts[bucket]
            if cumulative >= fraction * self.total:
                break
        return BUCKET_GROWTH**bucket


@attrs.define
class _ClassEstimate:
    lengths: _LengthHistogram = attrs.field(factory=_LengthHistogram)
    charge: float = DEFAULT_TOKENS
    service_s: float | None = None


class Estimates:
    """Estimates for one pool, updated with each finished request.

    Args:
        tokens_per_s: Output tokens per second of one slot, used until a request has finished.
    """

    def __init__(self, tokens_per_s: float) -> None:
        self._tokens_per_s = tokens_per_s
        self._classes: dict[str, _ClassEstimate] = {}
        self._service_s: float | None = None

    @property
    def service_s(self) -> float:
        """Mean time in seconds for which a request holds its slot."""
        if self._service_s is None:
            return DEFAULT_TOKENS / self._tokens_per_s
        return self._service_s

    def tokens(self, request_class: str, max_tokens: int) -> int:
        """Return the response length, in tokens, to charge for a request of a class.

        Args:
            request_class: Name of the class.
            max_tokens: The caller's limit on the response length in tokens; 0 for none.
        """
        known = self._classes.get(request_class)
        estimate = DEFAULT_TOKENS if known is None else known.charge
        return math.ceil(min(estimate, max_tokens) if max_tokens else estimate)

    def class_service_s(self, request_class: str) -> float:
        """Return the mean time in seconds for which a request of a class holds its slot."""
        known = self._classes.get(request_class)
        if known is None or known.service_s is None:
            return self.service_s
        return known.service_s

    def observe(self, request_class: str, tokens: int, service_s: float) -> None:
        """Update the estimates with one finished response.

        Args:
            request_class: Name of the class.
            tokens: Output tokens; 0 where the backend server does not count them.
            service_s: Time in seconds for which the request held its slot.
        """
        known = self._classes.setdefault(request_class, _ClassEstimate())
        if tokens:
            known.lengths.add(tokens)
            known.charge = known.lengths.quantile(CHARGED_QUANTILE) or DEFAULT_TOKENS
        known.service_s = _moving_average(known.service_s, service_s)
        self._service_s = _moving_average(self._service_s, service_s)


def _moving_average(old: float | None, new: float) -> float:
    if old is None:
        return new
    return old + SMOOTHING * (new - old)
