"""Interfaces between the soak test and the platform on which the system under test runs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from hickoryloom.soak.link import Link
from hickoryloom.soak.messages import Bounds, Call, DutyReport, Limits, Run

__all__ = ["InstanceProcess", "SoakSite"]


class InstanceProcess(Protocol):
    """The process under test on one instance."""

    name: str
    address: str

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while the process runs."""

    def ready(self) -> bool:
        """Return whether the process reports that it is ready for callers."""

    def signal(self, number: int) -> None:
        """Send the process a signal."""

    def log_tail(self) -> str:
        """Return the last part of the process's log."""


class SoakSite(Protocol):
    """A platform stand-in with fault injection; it also knows the format of callers' requests."""

    bounds: Bounds
    runs: list[Run]

    @property
    def reports(self) -> list[DutyReport]:
        """Usage reports that the platform accepted."""

    @property
    def terms(self) -> list[tuple[str, int]]:
        """Holder and term of each duty call that the platform accepted."""

    @property
    def holder(self) -> str:
        """Name of the instance that last made a duty call; empty before the first."""

    @property
    def servers(self) -> Sequence[str]:
        """Ids of the backend servers that may get faults; draining ones are left out."""

    def start_instance(self, name: str) -> InstanceProcess:
        """Start the process of an instance without waiting until it is ready."""

    def store_link(self, name: str) -> Link:
        """Return the link between an instance and the store."""

    def duties_link(self, name: str) -> Link:
        """Return the link between an instance and the platform's duty API."""

    def server_link(self, id: str) -> Link:
        """Return the link between all instances and a backend server."""

    def request(self, call: Call) -> tuple[str, str, dict[str, str], bytes]:
        """Return method, target, headers and body of a caller's request."""

    def is_correct(self, call: Call, status: int, body: bytes, whole: bool) -> bool:
        """Return whether a response body, or a prefix of it, is the backend server's."""

    def configure(self, keys: dict[str, list[str]], extra_route: bool, limits: Limits) -> None:
        """Publish a new configuration and return once it is acknowledged."""

    def add_server(self, like: str) -> str:
        """Start a backend server of the same service as another; return its id."""

    def drain_server(self, id: str) -> None:
        """Register a backend server as draining; it continues to serve requests."""

    def remove_server(self, id: str) -> None:
        """Stop a backend server and remove its registration."""

    def set_server_fault(self, id: str, mode: str, fraction: float) -> None:
        """Make a backend server fail in a fraction of its responses; an empty mode ends this."""

    def set_store_fault(self, mode: str) -> None:
        """Make the store fail for all instances; an empty mode ends this."""

    def discard_history(self) -> None:
        """Make the store discard its change history."""

    def rewrite_settings(self, name: str, intensity: float) -> None:
        """Change an instance's settings file."""

    def log_lines(self, ids: Iterable[str]) -> dict[str, list[str]]:
        """Return the log lines of the instances about requests, by the ids that they mention.

        Lines on the steps of a stop of the same process are included.
        """

    def stop(self) -> None:
        """Stop all processes and servers that were started."""
