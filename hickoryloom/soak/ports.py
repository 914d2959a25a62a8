"""What a soak needs of the platform that the system under test runs on."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from hickoryloom.soak.link import Link
from hickoryloom.soak.messages import Bounds, Call, DutyReport, Run

__all__ = ["Instance", "SoakSite"]


class Instance(Protocol):
    """One process of the system under test."""

    name: str
    address: str

    @property
    def exit_code(self) -> int | None:
        """Code with which it ended, None while it runs."""

    def ready(self) -> bool:
        """Return whether it says that it may get callers."""

    def signal(self, number: int) -> None:
        """Send it a signal."""

    def log_tail(self) -> str:
        """Return the end of what it has written."""


class SoakSite(Protocol):
    """A stand-in of the platform, with faults, and the spelling of callers' requests."""

    bounds: Bounds
    runs: list[Run]

    @property
    def reports(self) -> list[DutyReport]:
        """Usage reports taken."""

    @property
    def terms(self) -> list[tuple[str, int]]:
        """Holder and term of each duty call taken."""

    @property
    def servers(self) -> Sequence[str]:
        """Ids of the backend servers that work and are not leaving."""

    def start_instance(self, name: str) -> Instance:
        """Start a process; it need not be ready yet."""

    def store_link(self, name: str) -> Link:
        """Return the link between an instance and the store."""

    def duties_link(self, name: str) -> Link:
        """Return the link between an instance and the platform's duties."""

    def server_link(self, id: str) -> Link:
        """Return the link between all instances and a backend server."""

    def request(self, call: Call) -> tuple[str, str, dict[str, str], bytes]:
        """Return method, target, headers and body of a request."""

    def is_right(self, call: Call, status: int, body: bytes, whole: bool) -> bool:
        """Return whether an answer, or its beginning, is what a backend server made."""

    def configure(self, keys: dict[str, list[str]], extra_route: bool) -> None:
        """Put a new configuration in force; returns once it is acknowledged."""

    def add_server(self, like: str) -> str:
        """Start a backend server of the same service as another; return its id."""

    def drain_server(self, id: str) -> None:
        """Say that a backend server is leaving; it goes on serving."""

    def remove_server(self, id: str) -> None:
        """Take a backend server away, with its registration."""

    def misbehave(self, id: str, how: str, part: float) -> None:
        """Let a backend server spoil a part of its answers; empty for none."""

    def set_store_fault(self, how: str) -> None:
        """Make the store fail for all; empty for none."""

    def forget_history(self) -> None:
        """Make the store forget its history."""

    def rewrite_settings(self, name: str, size: float) -> None:
        """Change an instance's settings file."""

    def stop(self) -> None:
        """End everything that was started."""
