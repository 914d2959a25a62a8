"""Writes this process's presence object to the platform and lists those of all processes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import attrs
import logbook
from result import Result

from hickoryloom.logs import log_event
from hickoryloom.membership.messages import Presence
from hickoryloom.store.messages import ErrorKind, Listing, PlatformError, Versioned

__all__ = ["PRESENCE_PREFIX", "ObjectStore", "PresenceManager"]

PRESENCE_PREFIX = "presence/"

log = logbook.Logger("hickoryloom.membership")


class ObjectStore(Protocol):
    """Platform client operations used for presence objects."""

    def get(self, key: str) -> Result[Versioned[Any], PlatformError]:
        """Return one object."""

    def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Return all objects under `prefix`."""

    def create(self, key: str, value: Any) -> Result[Versioned[Any], PlatformError]:
        """Create an object if it does not exist."""

    def update(
        self, key: str, value: Any, if_version: int
    ) -> Result[Versioned[Any], PlatformError]:
        """Update an object if it has version `if_version`."""

    def delete(self, key: str, if_version: int) -> Result[None, PlatformError]:
        """Delete an object if it has version `if_version`."""


class PresenceManager:
    """Writes and removes this process's presence object, and lists those of others.

    Args:
        client: Client of the platform's object API.
        presence: Presence of this process.
    """

    def __init__(self, client: ObjectStore, presence: Presence) -> None:
        self._client = client
        self._presence = presence
        self._key = PRESENCE_PREFIX + presence.incarnation
        self._version = 0
        self._renewals = 0

    def renew(self) -> bool:
        """Write the presence object; return whether the write is known to have succeeded."""
        self._renewals += 1
        value = {**attrs.asdict(self._presence), "renewals": self._renewals}
        if self._version:
            result = self._client.update(self._key, value, self._version)
        else:
            result = self._client.create(self._key, value)
        if result.is_ok():
            self._version = result.unwrap().version
            return True
        self._refresh_version(result.unwrap_err())
        return False

    def remove(self) -> None:
        """Delete the presence object, so that peers need not wait for it to become stale."""
        if self._version:
            self._client.delete(self._key, self._version)
            self._version = 0

    def list(self, receive: Callable[[Listing], None]) -> None:
        """List all presence objects and pass the listing to `receive`."""
        result = self._client.list(PRESENCE_PREFIX)
        if result.is_ok():
            receive(result.unwrap())

    def remove_stale(self, versions: dict[str, int]) -> None:
        """Delete presence objects that are no longer renewed, unless their version has changed."""
        for incarnation, version in versions.items():
            self._client.delete(PRESENCE_PREFIX + incarnation, version)
            log_event(log, "presence-removed", incarnation=incarnation)

    def _refresh_version(self, error: PlatformError) -> None:
        """Read the current version after a write with an unknown outcome or a conflict."""
        if error.kind is ErrorKind.OVER_BUDGET:
            return
        result = self._client.get(self._key)
        if result.is_ok():
            self._version = result.unwrap().version
        elif result.unwrap_err().kind is ErrorKind.ABSENT:
            self._version = 0
