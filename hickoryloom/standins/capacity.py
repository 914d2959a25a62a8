"""Backend servers, orders, usage reports and model weights of the platform stand-in."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

__all__ = [
    "Capacity",
    "FencedError",
    "NoCapacityError",
    "Row",
    "UsageLedger",
    "WeightStore",
]

LIVE_HISTORY_S = 120.0
WEIGHT_BYTES = 16_000_000_000


@attrs.frozen
class Row:
    """A backend server as the list of live backend servers shows it."""

    id: str
    address: str
    failure_domain: str
    pool: str
    cheap: bool = False
    state: str = "live"


class FencedError(Exception):
    """The fencing token is older than the highest one seen."""


class NoCapacityError(Exception):
    """No backend server is available for the order."""


class Capacity:
    """Running backend servers, and spare ones that an order can start.

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
        """Return the list of backend servers as of `lag_s` seconds ago."""
        as_of = self._now() - lag_s
        for recorded_at, rows in reversed(self._history):
            if recorded_at <= as_of:
                return rows
        return ()

    def register(self, row: Row, spare: bool) -> None:
        """Add a backend server, either running or as a spare that an order can start."""
        if spare:
            self._spares[row.id] = row
            return
        self._put(row)

    def order(self, order: dict[str, Any], fencing: bool) -> str:
        """Start a spare backend server that matches an order, and return the id of the server.

        A repeated order id returns the same server again.

        Raises:
            FencedError: `fencing` is set and the order's fencing token is stale.
            NoCapacityError: No spare server matches the order.
        """
        if order["order_id"] in self._orders:
            return self._orders[order["order_id"]]
        self._check_fencing(order["fencing"], fencing)
        for row in self._spares.values():
            if _matches_order(row, order):
                del self._spares[row.id]
                self._orders[order["order_id"]] = row.id
                self._put(attrs.evolve(row, state="live"))
                return row.id
        raise NoCapacityError

    def release(self, release: dict[str, Any], fencing: bool) -> None:
        """Stop a backend server and make it spare; a repeated order id has no effect.

        Raises:
            FencedError: `fencing` is set and the fencing token is stale.
        """
        if release["order_id"] in self._releases:
            return
        self._check_fencing(release["fencing"], fencing)
        self._releases.add(release["order_id"])
        self.remove(release["backend_id"])

    def set_state(self, backend_id: str, state: str) -> None:
        """Set the listed state of a backend server, if it is running."""
        if backend_id in self._rows:
            self._put(attrs.evolve(self._rows[backend_id], state=state))

    def remove(self, backend_id: str) -> None:
        """Remove a backend server from the list and make it spare."""
        row = self._rows.pop(backend_id, None)
        if row is not None:
            self._spares[row.id] = row
            self._record_snapshot()

    def _check_fencing(self, fencing: int, check: bool) -> None:
        if check and fencing < self._highest_fencing:
            raise FencedError
        self._highest_fencing = max(self._highest_fencing, fencing)

    def _put(self, row: Row) -> None:
        self._rows[row.id] = row
        self._record_snapshot()

    def _record_snapshot(self) -> None:
        now = self._now()
        self._history.append((now, tuple(self._rows.values())))
        while len(self._history) > 1 and self._history[1][0] < now - LIVE_HISTORY_S:
            self._history.popleft()


class UsageLedger:
    """Accepts one set of figures per usage window."""

    def __init__(self) -> None:
        self._digests_by_window: dict[str, str] = {}
        self._highest_fencing = 0

    def report(self, report: dict[str, Any], fencing: bool) -> bool:
        """Record a report; return False if the window was reported before with other figures.

        Raises:
            FencedError: `fencing` is set and the fencing token is stale.
        """
        if fencing and report["fencing"] < self._highest_fencing:
            raise FencedError
        self._highest_fencing = max(self._highest_fencing, report["fencing"])
        return (
            self._digests_by_window.setdefault(report["window"], report["digest"])
            == report["digest"]
        )


class WeightStore:
    """Limits the rate at which model weights may be loaded.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._next_grant_at = now()

    def grant(self, per_minute: float) -> float:
        """Return 0 if a load is granted now, else the seconds until the next grant."""
        now = self._now()
        if now < self._next_grant_at:
            return self._next_grant_at - now
        self._next_grant_at = now + 60.0 / per_minute
        return 0.0


def _matches_order(row: Row, order: dict[str, Any]) -> bool:
    return (
        row.pool == order["pool"]
        and row.failure_domain == order["failure_domain"]
        and row.cheap == order["cheap"]
    )
