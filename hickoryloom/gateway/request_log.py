"""Log events, metrics and usage records of one request."""

from __future__ import annotations

from collections.abc import Sequence

import logbook

from hickoryloom.catalog import CatalogFollower, Customer, Route
from hickoryloom.clock import Clock
from hickoryloom.contention import Refused
from hickoryloom.discovery import BackendServer
from hickoryloom.logs import log_event
from hickoryloom.metering import UsageMeter
from hickoryloom.metrics import Measure, MetricsRecorder
from hickoryloom.placing import Placement, PromptSegment
from hickoryloom.upstream import AttemptFailure, BodyFraming
from hickoryloom.verdict import Verdict

__all__ = ["HANDED_OVER", "RequestLog"]

MAX_LOGGED_VALUE_CHARS = 60
MAX_LOGGED_SEGMENTS = 12

HANDED_OVER = "handed-over"
"""Outcome of a request that another instance has answered, which counts it in its metrics."""

log = logbook.Logger("hickoryloom.gateway")


class RequestLog:
    """Logs the events of one request and counts it once for usage.

    Args:
        clock: Source of time.
        catalog: Provides the configuration version in force and the age of the view.
        metrics: Histograms of the process.
        meter: Usage counts of the process.
        request_id: Request id sent by the caller.
        route: Route of the request.
        customer: The customer that is billed; None on a route that requires no key.
        arrived: Monotonic time of the request's arrival, in seconds.
        resumes: Id of the request that began the stream that the caller takes up.
        handed_over_by: Name of the instance that handed the request over; empty if none did.
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
        resumes: str = "",
        handed_over_by: str = "",
    ) -> None:
        self._handed_over_by = handed_over_by
        self._clock = clock
        self._catalog = catalog
        self._metrics = metrics
        self._meter = meter
        self._request_id = request_id
        self._route = route
        self._customer = customer
        self._arrived = arrived
        self._resumes = resumes
        self._counted = False
        self._worst_gap_s = 0.0
        self._framing: BodyFraming | None = None

    def record_start(self, at: float) -> None:
        """Count the request once, as started by a backend server at monotonic time `at`."""
        if self._counted:
            return
        self._counted = True
        if self._customer is not None:
            self._meter.count(self._customer.name, at)

    def record_first_event(self, at: float) -> None:
        """Record that the first event of the stream arrived at monotonic time `at`."""
        if not self._counted:
            took_s = at - self._arrived
            self._metrics.record(
                self._route.name, self._customer_name(), Measure.FIRST_TOKEN, took_s
            )
        self.record_start(at)

    def record_gap(self, seconds: float) -> None:
        """Record the time between two events of the stream."""
        self._worst_gap_s = max(self._worst_gap_s, seconds)

    def record_framing(self, framing: BodyFraming | None) -> None:
        """Record what marks the end of the latest response body; None if there is none."""
        self._framing = framing

    def log_attempt(
        self, placement: Placement, number: int, outcome: str, detail: str, **fields: object
    ) -> None:
        """Log an attempt or its failure, with further fields of the failure."""
        log_event(
            log,
            "attempt",
            request=self._request_id,
            backend_server=placement.server.id,
            address=placement.server.address,
            software=placement.server.software[:MAX_LOGGED_VALUE_CHARS] or None,
            expected_ms=round(placement.expected_s * 1000),
            attempt=number,
            outcome=outcome,
            detail=detail,
            **fields,
        )

    def log_failed_attempt(
        self,
        placement: Placement,
        number: int,
        failure: AttemptFailure,
        shared: Sequence[PromptSegment],
        progress: str,
        in_flight: int,
        digest: str,
    ) -> None:
        """Log the failure of an attempt that was sent.

        Args:
            placement: The placement of the attempt.
            number: Number of the attempt.
            failure: The failure.
            shared: Segments of the prompt that other prompts may share.
            progress: How much of the response had arrived: `nothing`, `head` or `events`.
            in_flight: Requests that this instance had at the backend server.
            digest: Digest of the request, the same whenever its caller sends it again.
        """
        self.log_attempt(
            placement,
            number,
            failure.cause.value,
            failure.detail,
            received=progress,
            server_started=placement.server.started_ms or None,
            in_flight=in_flight,
            digest=digest,
            prompt=",".join(part.id for part in shared[:MAX_LOGGED_SEGMENTS]) or None,
        )

    def log_pause(self, server: BackendServer, seconds: float, unsound: str) -> None:
        """Log the pause that a backend server asked for, and its value if that is unsound."""
        log_event(
            log,
            "pause-requested",
            request=self._request_id,
            backend_server=server.id,
            seconds=seconds,
            unsound=unsound[:MAX_LOGGED_VALUE_CHARS] or None,
        )

    def log_short_of_room(
        self, service: str, urgency: int, returned: bool, refused: Refused
    ) -> None:
        """Log that the request is refused while its service is short of capacity."""
        log_event(
            log,
            refused.reason,
            request=self._request_id,
            service=service,
            customer=self._customer_name(),
            urgency=urgency,
            returned=returned or None,
            times_share=round(refused.times_share, 2) or None,
            delay_ratio=round(refused.delay_ratio, 2) or None,
            expected_ms=round(refused.expected_s * 1000) or None,
            left_ms=round(refused.left_s * 1000) or None,
        )

    def log_limit(self, server: BackendServer, limit: str) -> None:
        """Log the limit that a backend server has begun to name, or that it names none any more."""
        log_event(
            log,
            "limit-named",
            request=self._request_id,
            backend_server=server.id,
            limit=limit[:MAX_LOGGED_VALUE_CHARS] or None,
        )

    def log_turn(self, waited_s: float) -> None:
        """Log that the request has waited for a turn at a cold backend server."""
        log_event(log, "turn-awaited", request=self._request_id, waited_ms=round(waited_s * 1000))

    def log_end(
        self, outcome: str, status: int, verdict: Verdict, attempts: int, detail: str = ""
    ) -> None:
        """Log the end of the request and record its duration."""
        now = self._clock.monotonic()
        took_s = now - self._arrived
        if outcome != HANDED_OVER:
            self._metrics.record(self._route.name, self._customer_name(), Measure.ANSWER, took_s)
        log_event(
            log,
            "request",
            request=self._request_id,
            route=self._route.name,
            customer=self._customer_name() or None,
            resumes=self._resumes[:MAX_LOGGED_VALUE_CHARS] or None,
            handed_over_by=self._handed_over_by or None,
            version=self._catalog.catalog.version,
            view_age_ms=round(self._catalog.view.age(now) * 1000),
            outcome=outcome,
            status=status,
            verdict=verdict.value,
            attempts=attempts,
            took_ms=round(took_s * 1000),
            worst_gap_ms=round(self._worst_gap_s * 1000),
            framing=self._framing.value if self._framing is not None else None,
            detail=detail or None,
        )

    def _customer_name(self) -> str:
        return self._customer.name if self._customer is not None else ""
