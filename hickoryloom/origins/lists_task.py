"""Reads and writes the lists of software versions in the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import gevent
import logbook
from gevent.event import Event
from result import Err, Ok

from hickoryloom.clock import Clock
from hickoryloom.discovery import BackendServer
from hickoryloom.logs import log_event
from hickoryloom.loops import repeat_until
from hickoryloom.origins.listed import (
    ListedVersions,
    ReadList,
    WriteList,
    list_key,
    listed_names,
)
from hickoryloom.origins.periods import Period
from hickoryloom.store import ErrorKind, PlatformClient, PlatformError, confirmed_update

__all__ = ["VersionLists"]

CONFIRM_TIMEOUT_S = 0.3
"""Longest wait for the list when a caller takes up a stream, many times the store's latency."""

MAX_LIST_AGE_S = 1.0
"""Age up to which a list is used for a stream of unknown origin. Streams that many callers take up
at once cost one read a second."""

WRITE_WITHIN_S = 1.0
"""Time after its decision within which a write must be sent, since a suspended process decided by
what it saw before."""

WRITE_ATTEMPTS = 2
IDLE_S = 0.5

CHANGED = (ErrorKind.CONFLICT, ErrorKind.ABSENT)
"""Results of a write if the object has another version, or no longer exists."""

log = logbook.Logger("hickoryloom.origins")


class VersionLists:
    """Keeps the lists in the store in step with the registrations, and waits for them.

    Args:
        client: Client of the store.
        clock: Source of time.
        listed: What is known of the lists.
        view_age_s: Returns the age of this instance's view in seconds, given the time.
        registrations_age_s: The same for the registrations that it read from the store itself.
        sleep: Function that waits for some seconds between two tries of a write.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        listed: ListedVersions,
        view_age_s: Callable[[float], float],
        registrations_age_s: Callable[[float], float],
        sleep: Callable[[float], object] = gevent.sleep,
    ) -> None:
        self._sleep = sleep
        self._client = client
        self._clock = clock
        self._listed = listed
        self._view_age_s = view_age_s
        self._registrations_age_s = registrations_age_s
        self._stopping = Event()
        self._wake = Event()
        self._changed = Event()
        self._on_change: list[Callable[[], None]] = []
        self._greenlet: gevent.Greenlet | None = None

    @property
    def services(self) -> frozenset[str]:
        """Services whose lists are kept."""
        return self._listed.services

    @property
    def held_versions(self) -> int:
        """Number of versions, over all services, whose servers get no resumable stream yet."""
        return sum(len(self.held(service)) for service in self._listed.services)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever a list was read or written."""
        self._on_change.append(listener)

    def start(self) -> None:
        """Start the task."""
        self._greenlet = gevent.spawn(
            repeat_until, self._stopping, self._step, "version-lists", log
        )

    def stop(self) -> None:
        """Stop after the current step and wait for the task to end."""
        self._stopping.set()
        self._wake.set()
        if self._greenlet is not None:
            self._greenlet.join()

    def set_services(self, services: Iterable[str]) -> None:
        """Replace the services whose lists are kept."""
        self._listed.set_services(services, self._clock.monotonic())
        self._wake.set()

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Apply the list of live backend servers."""
        self._listed.observe(servers, self._clock.monotonic())
        self._wake.set()

    def refresh(self) -> None:
        """Record the age of this instance's view."""
        now = self._clock.monotonic()
        self._listed.refresh(now, self._view_age_s(now), self._registrations_age_s(now))

    def held(self, service: str) -> frozenset[str]:
        """Return the versions whose servers must not get a resumable stream yet."""
        now = self._clock.monotonic()
        if self._listed.is_overdue(now):
            self.refresh()
        return self._listed.held(service, now)

    def wait_changed(self, timeout_s: float) -> None:
        """Wait until a list was read or written."""
        self._changed.wait(timeout_s)

    def is_known(self, service: str) -> bool:
        """Return whether the versions that a service had lately are known."""
        return self._listed.is_known(service)

    def period(self, service: str) -> Period | None:
        """Return the period of a service; None while less than two versions are listed."""
        return self._listed.period(service)

    def present(self, service: str) -> frozenset[str]:
        """Return the versions of a service that have servers now."""
        return self._listed.present(service)

    def is_read(self, service: str) -> bool:
        """Return whether the list of a service was read or written."""
        return self._listed.is_read(service)

    def list_version(self, service: str) -> int:
        """Return the known version of the object with the list of a service; 0 for none."""
        return self._listed.list_version(service)

    def confirm(self, service: str) -> bool:
        """Return whether the versions that a service had lately are known.

        Reads the list if it is too old; blocks for `CONFIRM_TIMEOUT_S` at most. While the store
        does not respond, what is known counts as long as this instance has missed nothing.
        """
        self.refresh()
        asked_at = self._clock.monotonic()
        since = asked_at - MAX_LIST_AGE_S
        if self._listed.is_confirmed(service, since):
            return self._listed.is_known(service)
        self._listed.ask(service, asked_at)
        self._wake.set()
        end = asked_at + CONFIRM_TIMEOUT_S
        while not self._listed.is_confirmed(service, since):
            left_s = end - self._clock.monotonic()
            if left_s <= 0 or self._listed.is_failing(service):
                break
            if not self._changed.wait(left_s):
                break
        return self._listed.is_known(service)

    def _step(self) -> float:
        self._wake.clear()
        if not self.perform_next():
            self._wake.wait(self._listed.wait_s(self._clock.monotonic(), IDLE_S))
        return 0.0

    def perform_next(self) -> bool:
        """Make the next call that is due; return False if none is."""
        self.refresh()
        now = self._clock.monotonic()
        for service, software in self._listed.take_expired_holds(now):
            log_event(log, "version-not-listed", service=service, software=software)
        action = self._listed.next_action(now, self._client.era)
        if action is None:
            return False
        if isinstance(action, ReadList):
            self._read(action)
        else:
            self._write(action)
        return True

    def _read(self, action: ReadList) -> None:
        sent_at = self._clock.monotonic()
        response = self._client.get(list_key(action.service))
        now = self._clock.monotonic()
        era = self._client.era
        if isinstance(response, Ok):
            found = response.ok_value
            if listed_names(found.value) is None:
                log_event(log, "version-list-unreadable", service=action.service)
            self._listed.on_read(action.service, found.value, found.version, era, sent_at, now)
        elif response.err_value.kind is ErrorKind.ABSENT:
            self._listed.on_read(action.service, None, 0, era, sent_at, now)
        else:
            self._record_failure(action.service, response.err_value)
        self._notify()

    def _write(self, action: WriteList) -> None:
        sent_at = self._clock.monotonic()
        written = confirmed_update(
            self._client,
            list_key(action.service),
            action.value,
            action.if_version,
            guard=lambda: self._clock.monotonic() - action.decided_at <= WRITE_WITHIN_S,
            max_attempts=WRITE_ATTEMPTS,
            sleep=self._sleep,
        )
        if isinstance(written, Err) and written.err_value.kind in CHANGED:
            self._listed.on_conflict(action.service, self._clock.monotonic())
        elif isinstance(written, Err):
            self._record_failure(action.service, written.err_value)
        else:
            version = written.ok_value.version
            now = self._clock.monotonic()
            self._listed.on_written(action, version, self._client.era, sent_at, now)
            log_event(
                log,
                "versions-listed",
                service=action.service,
                versions=",".join(action.value["versions"])[:300],
            )
        self._notify()

    def _record_failure(self, service: str, error: PlatformError) -> None:
        if not self._listed.is_failing(service):
            log_event(
                log,
                "version-list-failed",
                service=service,
                kind=error.kind.value,
                detail=error.detail,
            )
        self._listed.on_failed(service, self._clock.monotonic())

    def _notify(self) -> None:
        for listener in self._on_change:
            listener()
        self.wake_waiting()

    def wake_waiting(self) -> None:
        """Let streams that wait for a version check whether its servers are still held back."""
        self._changed.set()
        self._changed = Event()
