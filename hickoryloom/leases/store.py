"""Interface of the object store that lease holders use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from result import Result

from hickoryloom.store import Listing, PlatformError, Versioned

__all__ = ["Guard", "ObjectStore"]

Guard = Callable[[], bool]


class ObjectStore(Protocol):
    """Versioned objects with conditional updates, as implemented by `PlatformClient`."""

    def get(self, key: str) -> Result[Versioned[Any], PlatformError]:
        """Return one object."""

    def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Return all objects under a prefix."""

    def create(
        self, key: str, value: Any, guard: Guard | None = None
    ) -> Result[Versioned[Any], PlatformError]:
        """Create an object, provided that it does not exist."""

    def update(
        self, key: str, value: Any, if_version: int, guard: Guard | None = None
    ) -> Result[Versioned[Any], PlatformError]:
        """Replace an object, provided that it still has version `if_version`."""

    def delete(self, key: str, if_version: int) -> Result[None, PlatformError]:
        """Delete an object, provided that it still has version `if_version`."""
