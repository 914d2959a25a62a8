"""Base class of the responses that the relay hands to the entry."""

from __future__ import annotations

from collections.abc import Generator, Mapping
from typing import Any

from hickoryloom.admission.messages import RefusalReason, Refused
from hickoryloom.relay.attempts import Attempts
from hickoryloom.relay.messages import Outcome

__all__ = ["RelayedResponse"]


class RelayedResponse:
    """Iterates over the body of one response; `close` must be called in the end.

    Attributes:
        delivers_whole_events: Whether an error event may follow the bytes delivered so far.
        status: HTTP status.
        headers: Headers for the caller, names in lower case.
        outcome: How the request ended; None while it is running.
        failure: Why the response is incomplete; None while it is running and when it is complete.
    """

    delivers_whole_events = False

    def __init__(
        self, attempts: Attempts, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        self.status = status
        self.headers = headers
        self.outcome: Outcome | None = None
        self.failure: Refused | None = None
        self._attempts = attempts
        self._chunks = self._produce()

    def __iter__(self) -> Generator[bytes, None, None]:
        return self._chunks

    def cancel(self, reason: RefusalReason) -> None:
        """End the response immediately and cancel it on the engine; callable from any greenlet."""
        if self.outcome is None:
            self._attempts.cancel(reason)

    def close(self) -> None:
        """Release all resources of the response; cancel the request if it is incomplete."""
        if self.outcome is not None:
            return
        self.cancel(RefusalReason.CALLER_DISCONNECTED)
        self._chunks.close()
        if self.outcome is None:
            self._finalize()

    def _produce(self) -> Generator[bytes, None, None]:
        raise NotImplementedError

    def _finalize(self) -> None:
        raise NotImplementedError


def read_count(usage: Mapping[str, Any], name: str, default: int = 0) -> int:
    """Return a count from an engine's usage object, or `default` if it is not a valid count."""
    value = usage.get(name)
    return value if type(value) is int and value >= 0 else default
