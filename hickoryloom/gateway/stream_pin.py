"""Keeps a stream at the software version that began it."""

from __future__ import annotations

from hickoryloom.discovery import BackendServer
from hickoryloom.origins import StreamOrigins, origin_key

__all__ = ["StreamPin"]


class StreamPin:
    """Connects one stream with what all instances know of its origin.

    Args:
        origins: Origins of streams, shared with other instances.
        customer: Name of the customer; empty if there is none.
        request: Id of the request.
        resumable: Whether callers may take the stream up.
        begun_by: Id of the request that began a stream that is taken up; empty for a new one.
        software: Version of the origin of a stream that is taken up; empty if any one will do.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        customer: str,
        request: str,
        resumable: bool,
        begun_by: str = "",
        software: str = "",
    ) -> None:
        self._origins = origins
        self._key = origin_key(customer, begun_by or request)
        self._customer = customer
        self._request = request
        self._taken_up_key = ""
        self._resumable = resumable
        self._software = software
        self._server: BackendServer | None = None

    @property
    def software(self) -> str:
        """Version of the servers at which the stream may go on; empty if any one will do."""
        return self._software

    @property
    def is_lost(self) -> bool:
        """Whether the stream can't go on since it is not certain which version began it."""
        if self._server is None or self._software:
            return False
        return self._origins.is_mixed(self._server.service)

    def held_servers(self, service: str) -> frozenset[str]:
        """Return the ids of servers whose version must be listed before they get the stream."""
        return self._origins.held_servers(service)

    def wait_listed(self, timeout_s: float) -> None:
        """Wait until a list of versions was read or written."""
        self._origins.wait_listed(timeout_s)

    def record_first_event(self, server: BackendServer) -> None:
        """Record the server of the first event; call before the event is passed on."""
        if self._server is None and not self._software:
            self._software = self._origins.record(self._key, server, self._resumable)
        elif self._server is None:
            # Its caller may name this request instead of the one that began the stream.
            self._taken_up_key = origin_key(self._customer, self._request)
            self._origins.record(self._taken_up_key, server, self._resumable)
        self._server = self._server or server

    def record_completed(self) -> None:
        """Record that the response was delivered completely."""
        self._origins.record_delivered(self._key)
        if self._taken_up_key:
            self._origins.record_delivered(self._taken_up_key)
