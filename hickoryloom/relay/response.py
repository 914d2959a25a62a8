"""An answer as the entry gets it from the relay."""

from __future__ import annotations

from collections.abc import Generator, Mapping
from typing import Any

from hickoryloom.admission.messages import RefusalReason, Refused
from hickoryloom.relay.attempts import Attempts
from hickoryloom.relay.messages import Outcome

__all__ = ["Answer"]


class Answer:
    """Iterates over the bytes of one answer; `close` must be called in the end.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller, names in lower case.
        outcome: How the request ended; None while it goes on.
        failure: Why the answer is not whole; None while it goes on and when it is whole.
    """

    def __init__(
        self, attempts: Attempts, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        self.status = status
        self.headers = headers
        self.outcome: Outcome | None = None
        self.failure: Refused | None = None
        self._attempts = attempts
        self._bytes = self._produce()

    def __iter__(self) -> Generator[bytes, None, None]:
        return self._bytes

    def cancel(self, reason: RefusalReason) -> None:
        """End the answer at once and cancel it at the engine; safe from any greenlet."""
        if self.outcome is None:
            self._attempts.cancel(reason)

    def close(self) -> None:
        """Give back all that the answer holds; without a whole answer, cancel it."""
        if self.outcome is not None:
            return
        self.cancel(RefusalReason.CALLER_LEFT)
        self._bytes.close()
        if self.outcome is None:
            self._end()

    def _produce(self) -> Generator[bytes, None, None]:
        raise NotImplementedError

    def _end(self) -> None:
        raise NotImplementedError


def read_count(usage: Mapping[str, Any], name: str, default: int = 0) -> int:
    """Return a count that an engine told, or `default` when it is no count."""
    value = usage.get(name)
    return value if type(value) is int and value >= 0 else default
