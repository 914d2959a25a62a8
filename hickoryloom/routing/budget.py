"""A budget that keeps retries a small part of all attempts."""

from __future__ import annotations

import attrs

__all__ = ["RetryBudget"]

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 20.0


@attrs.define
class RetryBudget:
    """Earns a part of a retry with each first attempt and spends one with each retry."""

    _saved: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count a first attempt."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take leave for one retry; return False when the budget is used up."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
