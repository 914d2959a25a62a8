"""Messages of usage accounting."""

from __future__ import annotations

import attrs

__all__ = ["UsageKey", "UsageTotals"]


@attrs.frozen
class UsageKey:
    """What usage is added up by."""

    customer: str
    service: str
    request_class: str


@attrs.frozen
class UsageTotals:
    """Cumulative figures of one window."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def plus(self, other: UsageTotals) -> UsageTotals:
        """Return the sum of both."""
        return UsageTotals(
            requests=self.requests + other.requests,
            prompt_tokens=self.prompt_tokens + other.prompt_tokens,
            output_tokens=self.output_tokens + other.output_tokens,
        )
