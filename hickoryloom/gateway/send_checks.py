"""Checks whether a request may be sent to a backend server now."""

from __future__ import annotations

from typing import Protocol

import attrs

from hickoryloom.catalog import Customer
from hickoryloom.gateway.context import GatewayContext
from hickoryloom.gateway.crash_guard import CrashGuard, Hold
from hickoryloom.gateway.messages import CallerRequest, Refusal
from hickoryloom.gateway.progress import RequestProgress
from hickoryloom.gateway.refusals import refuse
from hickoryloom.gateway.stream_pin import StreamPin

__all__ = ["Refuse", "SendChecks"]


class Refuse(Protocol):
    """Builds the final refusal of one request, with the verdict over all of its attempts."""

    def __call__(self, reason: str, wait_s: float = 0.0) -> Refusal:
        """Return the refusal.

        Args:
            reason: Short name of the cause.
            wait_s: Seconds before which a further request is pointless.
        """


class SendChecks:
    """Checks that precede each send of one request, whichever server it is sent to.

    Args:
        context: Dependencies shared by all requests.
        request: The request.
        customer: The customer that is billed; None on a route that requires no key.
        pin: Keeps a stream at its software version; None for a request of another kind.
        guard: Holds back requests under which backend servers crash.
        progress: Execution state of the request.
        refuse: Builds the refusal.
    """

    def __init__(
        self,
        context: GatewayContext,
        request: CallerRequest,
        customer: Customer | None,
        pin: StreamPin | None,
        guard: CrashGuard,
        progress: RequestProgress,
        refuse: Refuse,
    ) -> None:
        self._catalog = context.catalog
        self._request = request
        self._customer = customer
        self._pin = pin
        self._guard = guard
        self._progress = progress
        self._refuse = refuse

    def check(self, now: float) -> Refusal | None:
        """Return the refusal if the request must not be sent now, otherwise None."""
        reason = self._progress.blocking_reason(now)
        if reason:
            return self._refuse(reason)
        if self._pin is not None and self._pin.is_lost:
            return self._refuse("origin-unknown")
        hold = self._guard.check(now)
        if hold is not None:
            return self._refuse_held(hold)
        if self._customer is None:
            return None
        if not self._catalog.view.allows_keys(now):
            return self._refuse("stale-view")
        if self._request.key_hash not in self._catalog.catalog.customers:
            return refuse(401, "key-withdrawn", self._progress.verdict)
        return None

    def _refuse_held(self, hold: Hold) -> Refusal:
        """Return the refusal of a request under which backend servers crash."""
        refusal = self._refuse(hold.reason)
        if refusal.retry_after_s is None:
            return refusal
        # Callers must not return sooner, even if that is beyond the time that they have left.
        return attrs.evolve(refusal, retry_after_s=hold.wait_s)
