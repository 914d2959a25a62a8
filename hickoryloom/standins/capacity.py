"""Backend servers, orders, usage reports and weights of the platform stand-in."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

__all__ = ["Capacity", "Fenced", "NoCapacity", "Row", "UsageLedger", "WeightStore"]

LIVE_HISTORY_S = 120.0
WEIGHT_BYTES = 16_000_000_000


@attrs.frozen
class Row:
    """One row of the list of backend servers."""

    id: str
    address: str
    failure_domain: str
    pool: str
    cheap: bool = False
    state: str = "live"


class Fenced(Exception):  # noqa: N818
    """The fencing number is older than one seen before."""


class NoCapacity(Exception):  # noqa: N818
    """No backend server can be had."""


class Capacity:
    """Backend servers that run, and spare ones that an order may take.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._rows: dict[str, Row] = {}
        self._spares: dict[str, Row] = {}
        self._orders: dict[str, str] = {}
        self._releases: set[str] = set()
        self._highest_fencing = 0
        self._history: deque[tuple[float, tuple[Row, ...]]] = deque([(now(), ())])

    def rows(self, lag_s: float = 0.0) -> tuple[Row, ...]:
        """Return the list as it stood `lag_s` seconds ago."""
        limit = self._now() - lag_s
        for time, rows in reversed(self._history):
            if time <= limit:
                return rows
        return ()

    def register(self, row: Row, spare: bool) -> None:
        """Enter a backend server that runs, or one that waits for an order."""
        if spare:
            self._spares[row.id] = row
            return
        self._set(row)

    def order(self, order: dict[str, Any], fencing: bool) -> str:
        """Start a spare backend server and return its id; idempotent by order id.

        Raises:
            Fenced: The order's fencing number is old, and `fencing` asks to check it.
            NoCapacity: There is no fitting spare one.
        """
        if order["order_id"] in self._orders:
            return self._orders[order["order_id"]]
        self._check_fencing(order["fencing"], fencing)
        for row in self._spares.values():
            if _fits(row, order):
                del self._spares[row.id]
                self._orders[order["order_id"]] = row.id
                self._set(attrs.evolve(row, state="live"))
                return row.id
        raise NoCapacity

    def release(self, release: dict[str, Any], fencing: bool) -> None:
        """Stop a backend server, which becomes spare; idempotent by order id.

        Raises:
            Fenced: The fencing number is old, and `fencing` asks to check it.
        """
        if release["order_id"] in self._releases:
            return
        self._check_fencing(release["fencing"], fencing)
        self._releases.add(release["order_id"])
        self.remove(release["backend_id"])

    def set_state(self, backend_id: str, state: str) -> None:
        """Change what the list says of a backend server."""
        if backend_id in self._rows:
            self._set(attrs.evolve(self._rows[backend_id], state=state))

    def remove(self, backend_id: str) -> None:
        """Take a backend server off the list; it becomes spare."""
        row = self._rows.pop(backend_id, None)
        if row is not None:
            self._spares[row.id] = row
            self._note()

    def _check_fencing(self, fencing: int, check: bool) -> None:
        if check and fencing < self._highest_fencing:
            raise Fenced
        self._highest_fencing = max(self._highest_fencing, fencing)

    def _set(self, row: Row) -> None:
        self._rows[row.id] = row
        self._note()

    def _note(self) -> None:
        now = self._now()
        self._history.append((now, tuple(self._rows.values())))
        while len(self._history) > 1 and self._history[1][0] < now - LIVE_HISTORY_S:
            self._history.popleft()


class UsageLedger:
    """Takes one set of figures for each window."""

    def __init__(self) -> None:
        self._digests: dict[str, str] = {}
        self._highest_fencing = 0

    def report(self, report: dict[str, Any], fencing: bool) -> bool:
        """Take a report; return whether it is new or equal to the one taken before.

        Raises:
            Fenced: The fencing number is old, and `fencing` asks to check it.
        """
        if fencing and report["fencing"] < self._highest_fencing:
            raise Fenced
        self._highest_fencing = max(self._highest_fencing, report["fencing"])
        return self._digests.setdefault(report["window"], report["digest"]) == report["digest"]


class WeightStore:
    """Grants loads of models at a limited rate.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._next = now()

    def grant(self, per_minute: float) -> float:
        """Return 0 for leave to load now, else the seconds to wait."""
        now = self._now()
        if now < self._next:
            return self._next - now
        self._next = now + 60.0 / per_minute
        return 0.0


def _fits(row: Row, order: dict[str, Any]) -> bool:
    return (
        row.pool == order["pool"]
        and row.failure_domain == order["failure_domain"]
        and row.cheap == order["cheap"]
    )
