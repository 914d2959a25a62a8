"""Waits until the version of a stream's servers is listed in the store."""

from __future__ import annotations

from hickoryloom.gateway.stream_pin import StreamPin

__all__ = ["LISTING_CHECK_S", "ListingWait"]

LISTING_CHECK_S = 0.1
"""Interval for checking whether servers are still held back, besides each change of a list."""

LISTING_WAIT_FRACTION = 0.5
"""Part of the time left that a stream waits for its servers' version to be listed. The rest is for
another instance, to which the caller may turn."""


class ListingWait:
    """The wait of one request for a version to be listed.

    Args:
        pin: Keeps a resumable stream at its software version; None for a request of another kind.
        service: Service of the request.
        deadline: Monotonic time at which it times out, in seconds.
    """

    def __init__(self, pin: StreamPin | None, service: str, deadline: float) -> None:
        self._pin = pin
        self._service = service
        self._deadline = deadline
        self._ends_at: float | None = None

    def held_servers(self) -> frozenset[str]:
        """Return the ids of servers that must not get a resumable stream yet."""
        return frozenset() if self._pin is None else self._pin.held_servers(self._service)

    def wait(self, now: float) -> bool:
        """Wait for a version to be listed; return False once half of the time left has passed."""
        if self._ends_at is None:
            self._ends_at = now + LISTING_WAIT_FRACTION * (self._deadline - now)
        if now >= self._ends_at:
            return False
        assert self._pin is not None
        self._pin.wait_listed(min(LISTING_CHECK_S, self._ends_at - now))
        return True
