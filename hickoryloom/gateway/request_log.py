"""What is told of one request: log lines, metrics and usage."""

from __future__ import annotations

import logbook

from hickoryloom.catalog import CatalogFollower, Customer, Route
from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.metering import UsageMeter
from hickoryloom.metrics import Measure, MetricsRecorder
from hickoryloom.placing import Placement
from hickoryloom.verdict import Verdict

__all__ = ["RequestLog"]

log = logbook.Logger("hickoryloom.gateway")


class RequestLog:
    """Writes a request's lines and counts it once.

    Args:
        clock: Source of time.
        catalog: Tells the version in force and the view's age.
        metrics: Histograms of the process.
        meter: Usage of the process.
        request_id: The caller's id for the request.
        route: Its route.
        customer: Who pays; None on a route open to all.
        arrived: Monotonic time of its arrival, in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        catalog: CatalogFollower,
        metrics: MetricsRecorder,
        meter: UsageMeter,
        request_id: str,
        route: Route,
        customer: Customer | None,
        arrived: float,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._metrics = metrics
        self._meter = meter
        self._request_id = request_id
        self._route = route
        self._customer = customer
        self._arrived = arrived
        self._counted = False
        self._worst_gap_s = 0.0

    def began(self, at: float) -> None:
        """Count the request as begun at a backend server at monotonic time `at`, once."""
        if self._counted:
            return
        self._counted = True
        if self._customer is not None:
            self._meter.count(self._customer.name, at)

    def first_event(self, at: float) -> None:
        """Record the first event of its stream, which came at monotonic time `at`."""
        if not self._counted:
            took_s = at - self._arrived
            self._metrics.record(
                self._route.name, self._customer_name(), Measure.FIRST_TOKEN, took_s
            )
        self.began(at)

    def gap(self, seconds: float) -> None:
        """Record a pause between events."""
        self._worst_gap_s = max(self._worst_gap_s, seconds)

    def attempt(self, placement: Placement, number: int, outcome: str, detail: str) -> None:
        """Write that an attempt was made, or how it failed."""
        log_event(
            log,
            "attempt",
            request=self._request_id,
            backend_server=placement.server.id,
            address=placement.server.address,
            expected_ms=round(placement.expected_s * 1000),
            attempt=number,
            outcome=outcome,
            detail=detail,
        )

    def end(
        self, outcome: str, status: int, verdict: Verdict, attempts: int, detail: str = ""
    ) -> None:
        """Write the request's end."""
        now = self._clock.monotonic()
        took_s = now - self._arrived
        self._metrics.record(self._route.name, self._customer_name(), Measure.ANSWER, took_s)
        log_event(
            log,
            "request",
            request=self._request_id,
            route=self._route.name,
            customer=self._customer_name() or None,
            version=self._catalog.catalog.version,
            view_age_ms=round(self._catalog.view.age(now) * 1000),
            outcome=outcome,
            status=status,
            verdict=verdict.value,
            attempts=attempts,
            took_ms=round(took_s * 1000),
            worst_gap_ms=round(self._worst_gap_s * 1000),
            detail=detail or None,
        )

    def _customer_name(self) -> str:
        return self._customer.name if self._customer is not None else ""
