"""Keeps a stream at the software version that began it."""

from __future__ import annotations

import math

from hickoryloom.discovery import BackendServer
from hickoryloom.origins import Origin, StreamOrigins, origin_key

__all__ = ["StreamPin"]

FIND_INTERVAL_S = 1.0
"""Shortest interval between two searches for the origin of one stream, each of which asks other
instances."""


class StreamPin:
    """Connects one stream with what all instances know of its origin.

    Args:
        origins: Origins of streams, shared with other instances.
        customer: Name of the customer; empty if there is none.
        request: Id of the request.
        service: Service to which the request is sent.
        resumable: Whether callers may take the stream up.
        begun_by: Id of the request that began a stream that is taken up; empty for a new one.
        origin: Origin of a stream that is taken up, without a version if any one will do; None
            for a new one.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        customer: str,
        request: str,
        service: str,
        resumable: bool,
        begun_by: str = "",
        origin: Origin | None = None,
    ) -> None:
        self._origins = origins
        self._key = origin_key(customer, begun_by or request)
        self._customer = customer
        self._request = request
        self._taken_up_key = ""
        self._service = service
        self._resumable = resumable
        self._origin = origin
        self._has_begun = origin is not None
        self._has_event = False
        self._is_unknown = False
        self._searched_at = -math.inf

    @property
    def origin(self) -> Origin | None:
        """What is known of the first event; None if there is none yet or nothing is known."""
        return self._origin

    @property
    def software(self) -> str:
        """Version of the servers at which the stream may go on; empty if any one will do."""
        return "" if self._origin is None else self._origin.software

    @property
    def is_lost(self) -> bool:
        """Whether the stream can't go on since it is not certain which version began it."""
        if not self._has_begun:
            return False
        if self._origin is not None and self._origin.service != self._service:
            return True
        if self.software:
            return False
        return self._is_unknown or self._origins.is_mixed(self._service)

    def find_origin(self, now: float) -> None:
        """Look for the origin if the stream has begun at an instance that did not tell it.

        Blocks like `StreamOrigins.find`.

        Args:
            now: Monotonic time in seconds.
        """
        if not self._has_begun or self._origin is not None:
            return
        if now - self._searched_at < FIND_INTERVAL_S:
            return
        self._searched_at = now
        self._origin = self._origins.find(self._key, self._service, self._resumable)
        self._is_unknown = self._origin is None

    def held_servers(self, service: str) -> frozenset[str]:
        """Return the ids of servers whose version must be listed before they get the stream."""
        return self._origins.held_servers(service)

    def wait_listed(self, timeout_s: float) -> None:
        """Wait until a list of versions was read or written."""
        self._origins.wait_listed(timeout_s)

    def record_first_event(self, server: BackendServer) -> None:
        """Record the server of the first event; call before the event is passed on."""
        if self._has_event:
            return
        self._has_event = self._has_begun = True
        if not self.software:
            software = self._origins.record(self._key, server, self._resumable)
            self._origin = Origin(server.service, server.id, software)
        else:
            # Its caller may name this request instead of the one that began the stream.
            self._taken_up_key = origin_key(self._customer, self._request)
            self._origins.record(self._taken_up_key, server, self._resumable)

    def record_first_event_elsewhere(self, origin: Origin | None) -> None:
        """Record the first event that another instance passes on; call before it is passed on.

        The stream may outlive that instance, here or, after this one, at the next one.

        Args:
            origin: Origin of the stream as that instance knows it; None if it didn't tell.
        """
        if self._has_event:
            return
        self._has_event = self._has_begun = True
        if not self.software:
            self._origin = origin
        else:
            self._taken_up_key = origin_key(self._customer, self._request)
        if self._origin is not None:
            self._origins.learn(self._taken_up_key or self._key, self._origin, self._resumable)

    def record_completed(self) -> None:
        """Record that the response was delivered completely."""
        self._origins.record_delivered(self._key)
        if self._taken_up_key:
            self._origins.record_delivered(self._taken_up_key)
