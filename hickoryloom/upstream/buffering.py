"""Bounds the memory that responses of all requests of a process take together."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

__all__ = ["BufferBudget", "BufferReservation", "BufferedBody"]

MAX_BUFFERED_BYTES = 24 * 1024 * 1024
"""A small instance has 128 MB, of which an idle process takes a quarter."""

UNCOUNTED_BYTES = 64 * 1024
"""Part of each response that is not counted, so that large ones never displace ordinary ones."""


class BufferBudget:
    """Memory for the parts of responses that are buffered.

    Args:
        limit_bytes: Bytes that all responses may take together beyond their uncounted parts.
    """

    def __init__(self, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes that are reserved."""
        return self._used_bytes

    def reserve(self) -> BufferReservation:
        """Return an empty reservation."""
        return BufferReservation(self)

    def try_change(self, difference: int) -> bool:
        """Change the reserved bytes by `difference` unless that exceeds the limit."""
        if difference > 0 and self._used_bytes + difference > self._limit_bytes:
            return False
        self._used_bytes += difference
        return True


class BufferReservation:
    """Memory reserved for one response."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._counted_bytes = 0

    def resize(self, size_bytes: int) -> bool:
        """Reserve memory for a response of this size; return False if there is none left."""
        counted = max(0, size_bytes - UNCOUNTED_BYTES)
        if not self._budget.try_change(counted - self._counted_bytes):
            return False
        self._counted_bytes = counted
        return True

    def release(self) -> None:
        """Release the memory; idempotent."""
        self._budget.try_change(-self._counted_bytes)
        self._counted_bytes = 0


class BufferedBody:
    """Chunks of a buffered response, whose memory is released once they are sent.

    Args:
        chunks: The chunks.
        reservation: Memory reserved for them.
    """

    def __init__(self, chunks: Iterable[bytes], reservation: BufferReservation) -> None:
        self._chunks = iter(chunks)
        self._reservation = reservation

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._chunks)
        except StopIteration:
            self._reservation.release()
            raise

    def close(self) -> None:
        """Release the memory of chunks that won't be sent."""
        self._chunks = iter(())
        self._reservation.release()
