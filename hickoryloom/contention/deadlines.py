"""Decides whether a request can still be answered in time at the server that it would get.

This answers the load of requests that wait at a full server until their callers have left, and so
take capacity from those that could still be served. This module performs no I/O.
"""

from __future__ import annotations

__all__ = ["WorkTimes", "is_too_late"]

SMOOTHING = 0.05
"""Weight of one response in the work time of its service, about as many as come in a second."""

SHORT_LEFT_FRACTION = 0.5
"""Part of the time left that a request may be expected to wait while capacity is short. A caller
that comes back after the wait has a better chance than one in a longer queue."""


class WorkTimes:
    """Mean time for which a plain server works on a request, by service."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, service: str, took_s: float, waiting: int, slots: int) -> None:
        """Record a response.

        Args:
            service: The service.
            took_s: Seconds since the request was sent.
            waiting: Requests queued at the server when it responded, about as many as were queued
                before this one.
            slots: Requests that the server runs concurrently.
        """
        work_s = took_s / (1.0 + waiting / max(1, slots))
        mean_s = self._means.setdefault(service, work_s)
        self._means[service] = mean_s + SMOOTHING * (work_s - mean_s)

    def wait_s(self, service: str, occupancy: float, slots: int) -> float:
        """Return the expected seconds until a request begins; 0 while nothing is known.

        Args:
            service: The service.
            occupancy: Running and queued requests at the server as a fraction of its slots.
            slots: Requests that the server runs concurrently.
        """
        slots = max(1, slots)
        queued = max(0.0, occupancy * slots + 1 - slots)
        return queued / slots * self._means.get(service, 0.0)


def is_too_late(expected_s: float, left_s: float, is_short: bool) -> bool:
    """Return whether a request should be refused since it would be answered too late.

    Args:
        expected_s: Expected seconds until the request begins.
        left_s: Seconds until its deadline.
        is_short: Whether its service is short of capacity.
    """
    return expected_s > left_s * (SHORT_LEFT_FRACTION if is_short else 1.0)
