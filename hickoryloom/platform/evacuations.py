"""Decodes the evacuations of failure domains."""

from __future__ import annotations

from typing import Any

__all__ = ["PlatformEvacuations"]


class PlatformEvacuations:
    """Evacuations are objects of one kind, named after the failure domain; their value is empty."""

    @property
    def prefix(self) -> str:
        """Prefix of the keys of all evacuations."""
        return "evacuations/"

    def read(self, name: str, value: Any) -> str | None:
        """Return the failure domain; the object's existence counts, whatever its value is."""
        return name or None
