"""Retry budget that limits retries to a small fraction of all attempts."""

from __future__ import annotations

import attrs

__all__ = ["RetryBudget"]

RETRY_RATIO = 0.1
MAX_BALANCE = 20.0


@attrs.define
class RetryBudget:
    """Deposits a fraction of a retry per first attempt and withdraws one per retry."""

    _balance: float = MAX_BALANCE

    def deposit(self) -> None:
        """Deposit the share of one first attempt."""
        self._balance = min(MAX_BALANCE, self._balance + RETRY_RATIO)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False if the budget is exhausted."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
