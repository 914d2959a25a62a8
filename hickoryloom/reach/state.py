"""Which services this instance can't reach, and which ones the other instances can't.

This answers the load of an instance that is cut off from backend servers while callers still come.
A single server that refuses connections is down; several of a service at once, with no response
from any of them in between, show that the instance itself is cut off, or that all are down. Which
of the two only other instances can tell.

A connection that opens shows little: what is between this instance and the servers may accept
connections and reset them. So a service is in doubt once a connection to it was lost, until health
checks tell whether its servers answer. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook

from hickoryloom.evidence import SharedRecords, Topic
from hickoryloom.logs import log_event

__all__ = ["REACH_TOPICS", "Reach"]

MIN_SERVERS = 2
"""Servers that can't be reached, one after the other, before the whole service counts as
unreachable."""

REFRESH_S = 2.0
"""Interval at which the other instances are told again that a service is unreachable."""

TRIAL_S = 2.0
"""Interval at which a request that may be repeated is sent to a service whose servers accept
connections but don't answer health checks: the health checks themselves may be what fails."""

UNREACHABLE = Topic("service-unreachable", 3 * REFRESH_S)
REACH_TOPICS = (UNREACHABLE,)

CUT_OFF = "cut-off"
REACHED = ""

log = logbook.Logger("hickoryloom.reach")


@attrs.define
class _Service:
    """What this instance saw of one service.

    Attributes:
        failed: Ids of the servers that could not be reached since the last contact.
        first_failed_at: Monotonic time of the first of these failures, in seconds.
        contact_at: Monotonic time of the last contact with any of its servers, in seconds.
        cut_off_at: Monotonic time since which the service is unreachable; None if it is not.
        told_at: Monotonic time at which the others were told so last, in seconds.
        in_doubt: Whether a connection was lost and its servers are being examined.
        trial_at: Monotonic time from which one request may try the service, in seconds; None if
            health checks show that it would be lost.
    """

    failed: set[str] = attrs.field(factory=set)
    first_failed_at: float = 0.0
    contact_at: float = float("-inf")
    cut_off_at: float | None = None
    told_at: float = float("-inf")
    in_doubt: bool = False
    trial_at: float | None = None


class Reach:
    """Tracks the connections of this instance to the servers of each service.

    Args:
        address: `host:port` at which the other instances know this one; empty to tell them nothing.
        records: Records shared with the other instances.
    """

    def __init__(self, address: str, records: SharedRecords) -> None:
        self._address = address
        self._records = records
        self._services: dict[str, _Service] = {}
        self._examine: Callable[[str], bool] | None = None

    def subscribe_doubt(self, examine: Callable[[str], bool]) -> None:
        """Have a service examined once it is in doubt.

        Args:
            examine: Begins to examine a service and returns whether it can be examined; it has
                `end_doubt` called at the end.
        """
        self._examine = examine

    @property
    def unreachable(self) -> list[str]:
        """Names of the services that this instance can't reach."""
        return [name for name, known in self._services.items() if known.cut_off_at is not None]

    def is_cut_off(self, service: str) -> bool:
        """Return whether this instance can't reach any server of a service."""
        known = self._services.get(service)
        return known is not None and known.cut_off_at is not None

    def is_in_doubt(self, service: str) -> bool:
        """Return whether it is being examined if a service can be reached."""
        known = self._services.get(service)
        return known is not None and known.in_doubt

    def record_lost(self, service: str) -> None:
        """Record that a connection to a server of a service was lost."""
        known = self._services.setdefault(service, _Service())
        if known.in_doubt or known.cut_off_at is not None or self._examine is None:
            return
        known.in_doubt = self._examine(service)

    def end_doubt(self, service: str) -> None:
        """Record that the examination of a service has ended."""
        self._services.setdefault(service, _Service()).in_doubt = False

    def record_silent(self, service: str, now: float) -> None:
        """Record that a server accepted a connection but didn't answer a health check in time."""
        known = self._services.setdefault(service, _Service())
        if known.trial_at is None:
            known.trial_at = now

    def take_trial(self, service: str, now: float) -> bool:
        """Return whether a request that may be repeated is to try an unreachable service now."""
        known = self._services.get(service)
        if known is None or known.trial_at is None or now < known.trial_at:
            return False
        known.trial_at = now + TRIAL_S
        return True

    def record_contact(self, service: str, sent_at: float, now: float) -> None:
        """Record a response from a server of a service, or what shows as much.

        Args:
            service: The service.
            sent_at: Monotonic time at which the request was sent, in seconds. What was under way
                before the first failure says nothing about it.
            now: Monotonic time in seconds.
        """
        known = self._services.setdefault(service, _Service())
        known.contact_at = now
        if known.failed and sent_at < known.first_failed_at:
            return
        known.failed.clear()
        known.in_doubt = False
        known.trial_at = None
        if known.cut_off_at is not None:
            log_event(
                log,
                "service-reachable",
                service=service,
                unreachable_ms=round((now - known.cut_off_at) * 1000),
            )
            known.cut_off_at = None
            self._tell(service, known, REACHED, now)

    def record_unreachable(self, service: str, server: str, servers: int, now: float) -> None:
        """Record that no connection to a server could be opened, or that it was lost at once.

        Args:
            service: The service.
            server: Id of the server.
            servers: Number of the service's servers that may be used.
            now: Monotonic time in seconds.
        """
        known = self._services.setdefault(service, _Service())
        if not known.failed:
            known.first_failed_at = now
        known.failed.add(server)
        known.trial_at = None
        if known.cut_off_at is not None or len(known.failed) < min(MIN_SERVERS, max(1, servers)):
            return
        known.cut_off_at = now
        log_event(
            log,
            "service-unreachable",
            service=service,
            failed=len(known.failed),
            servers=servers,
            first_failed_ms=round((now - known.first_failed_at) * 1000),
            contact_ms=round(min(now - known.contact_at, 1e6) * 1000),
        )
        self._tell(service, known, CUT_OFF, now)

    def refresh(self, now: float) -> None:
        """Tell the other instances again of the services that are still unreachable."""
        for service, known in self._services.items():
            if known.cut_off_at is not None and now - known.told_at >= REFRESH_S:
                self._tell(service, known, CUT_OFF, now)

    def is_cut_off_at(self, address: str, service: str, now: float) -> bool:
        """Return whether another instance has told that it can't reach a service."""
        record = self._records.get(UNREACHABLE, _key(address, service), now)
        return record is not None and record.value == CUT_OFF

    def _tell(self, service: str, known: _Service, value: str, now: float) -> None:
        known.told_at = now
        if self._address:
            self._records.put(UNREACHABLE, _key(self._address, service), value, now)


def _key(address: str, service: str) -> str:
    return f"{address}|{service}"
