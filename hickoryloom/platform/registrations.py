"""Decodes what backend servers register of themselves."""

from __future__ import annotations

from typing import Any

from hickoryloom.discovery import BackendServer
from hickoryloom.platform.fields import FieldError, flag, integer, number, text

__all__ = ["PlatformRegistrations"]

MS_PER_S = 1000.0
STATES = {"ready": False, "draining": True}
"""Whether a backend server in a state is leaving."""


class PlatformRegistrations:
    """Registrations are objects of one kind, each named by its backend server's id."""

    @property
    def prefix(self) -> str:
        """Keys of registrations begin so."""
        return "servers/"

    def read(self, id: str, value: Any) -> BackendServer | None:
        """Decode a registration; other writers leave entries that name no backend server."""
        try:
            state = text(value, "state")
            if state not in STATES:
                return None
            host, _, port = text(value, "address").rpartition(":")
            if not host or not port.isdecimal():
                return None
            return BackendServer(
                id=id,
                service=text(value, "service"),
                address=f"{host}:{port}",
                failure_domain=text(value, "zone"),
                slots=integer(value, "capacity"),
                leaving=STATES[state],
                reclaimable=flag(value, "spot_instances", False),
                # The Unix time of its start; an id may be used again after a restart.
                started_ms=integer(value, "born", 0),
                slow_s=number(value, "warmup_left_ms", 0.0) / MS_PER_S,
            )
        except FieldError:
            return None
