"""This entry's presence object in the platform, and the list of all."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import attrs
import logbook
from result import Result

from hickoryloom.logs import log_event
from hickoryloom.membership.messages import Presence
from hickoryloom.store.messages import ErrorKind, Listing, PlatformError, Versioned

__all__ = ["PRESENCE_PREFIX", "ObjectStore", "PresenceKeeper"]

PRESENCE_PREFIX = "presence/"

log = logbook.Logger("hickoryloom.membership")


class ObjectStore(Protocol):
    """The calls of the platform client that presence needs."""

    def get(self, key: str) -> Result[Versioned[Any], PlatformError]:
        """Return one object."""

    def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Return all objects under `prefix`."""

    def create(self, key: str, value: Any) -> Result[Versioned[Any], PlatformError]:
        """Create an object if absent."""

    def update(
        self, key: str, value: Any, if_version: int
    ) -> Result[Versioned[Any], PlatformError]:
        """Change an object that has a version."""

    def delete(self, key: str, if_version: int) -> Result[None, PlatformError]:
        """Delete an object that has a version."""


class PresenceKeeper:
    """Writes and removes this entry's presence, and lists that of others.

    Args:
        client: The platform's object API.
        presence: This entry.
    """

    def __init__(self, client: ObjectStore, presence: Presence) -> None:
        self._client = client
        self._presence = presence
        self._key = PRESENCE_PREFIX + presence.incarnation
        self._version = 0
        self._renewals = 0

    def renew(self) -> bool:
        """Write the presence object; return whether that is known to have worked."""
        self._renewals += 1
        value = {**attrs.asdict(self._presence), "renewals": self._renewals}
        if self._version:
            written = self._client.update(self._key, value, self._version)
        else:
            written = self._client.create(self._key, value)
        if written.is_ok():
            self._version = written.unwrap().version
            return True
        self._settle(written.unwrap_err())
        return False

    def remove(self) -> None:
        """Delete the presence object, so that peers need not wait for it to grow stale."""
        if self._version:
            self._client.delete(self._key, self._version)
            self._version = 0

    def list(self, receive: Callable[[Listing], None]) -> None:
        """List all presence objects and hand them on."""
        listed = self._client.list(PRESENCE_PREFIX)
        if listed.is_ok():
            receive(listed.unwrap())

    def remove_stale(self, versions: dict[str, int]) -> None:
        """Delete presence objects that nobody renews, unless they change first."""
        for incarnation, version in versions.items():
            self._client.delete(PRESENCE_PREFIX + incarnation, version)
            log_event(log, "presence-removed", incarnation=incarnation)

    def _settle(self, error: PlatformError) -> None:
        """Read back the version after a write whose answer was lost or that met a conflict."""
        if error.kind is ErrorKind.OVER_BUDGET:
            return
        found = self._client.get(self._key)
        if found.is_ok():
            self._version = found.unwrap().version
        elif found.unwrap_err().kind is ErrorKind.ABSENT:
            self._version = 0
