"""Decodes the registrations of backend servers."""

from __future__ import annotations

import re
from typing import Any

from hickoryloom.discovery import BackendServer
from hickoryloom.platform.fields import FieldError, get_bool, get_float, get_int, get_str

__all__ = ["PlatformRegistrations"]

MS_PER_S = 1000.0
ID = re.compile(r"[!-~\xa1-\xff]([ -~\xa0-\xff]*[!-~\xa1-\xff])?")
ADDRESS = re.compile(r"[0-9A-Za-z._:\[\]-]+:(?P<port>[0-9]{1,5})")
MAX_PORT = 65_535
STATES = {"ready": False, "draining": True}
"""Whether a backend server in this state is leaving."""


class PlatformRegistrations:
    """Registrations are objects of one kind, named after the id of the backend server."""

    @property
    def prefix(self) -> str:
        """Prefix of the keys of all registrations."""
        return "servers/"

    def read(self, id: str, value: Any) -> BackendServer | None:
        """Decode a registration; None for invalid objects, which other writers may store here."""
        try:
            state = get_str(value, "state")
            if state not in STATES:
                return None
            get_int(value, "sequence", 0)
            address = ADDRESS.fullmatch(get_str(value, "address"))
            # Requests name the id in a header.
            if address is None or not 0 < int(address["port"]) <= MAX_PORT or not ID.fullmatch(id):
                return None
            return BackendServer(
                id=id,
                service=get_str(value, "service"),
                address=address.group(),
                failure_domain=get_str(value, "zone"),
                slots=get_int(value, "capacity"),
                leaving=STATES[state],
                reclaimable=get_bool(value, "spot_instances", False),
                # Unix time of the start; an id may be reused after a restart.
                started_ms=get_int(value, "born", 0),
                warm_up_s=max(0.0, get_float(value, "warmup_left_ms", 0.0)) / MS_PER_S,
                software=get_str(value, "version", ""),
            )
        except FieldError:
            return None
