"""Bounds the memory that a process holds on behalf of others. Performs no I/O.

Addresses callers and backend servers that read slowly: request bodies, buffered responses and
events that are not yet delivered pile up in an instance with 160 MB. While the budget is bounded,
whoever needs memory that is not there takes it from the largest request that can be repeated.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator

__all__ = ["BufferBudget", "BufferReservation", "BufferedBody", "Holder", "buffer_limit_bytes"]

BYTES_PER_MB = 1024 * 1024

MAX_BUFFERED_BYTES = 24 * BYTES_PER_MB
"""A small instance has 128 MB, of which an idle process takes a quarter."""

UNCOUNTED_BYTES = 64 * 1024
"""Part of each response that is not counted, so that large ones never displace ordinary ones."""

PROCESS_BYTES = 64 * BYTES_PER_MB
"""Memory of a process that holds nothing: an idle process takes 32 MB, and as much again is left
for its views of servers and connections."""

COPIES = 2
"""Bytes may be in memory twice while chunks are joined and while a body is sent with its head."""

PRESSURE_FRACTION = 0.75
"""Part of the limit from which on nothing is read that can be left to its sender."""

BODY_FRACTION = 0.9
"""Part of the limit that request bodies may fill. The rest is for responses of requests that have
run already."""

MIN_GIVEN_UP_BYTES = 16 * 1024
"""Requests that hold less are not given up: it would free hardly anything. It also bounds the
number of requests that are compared when memory is short."""


def buffer_limit_bytes(memory_bytes: int) -> int:
    """Return the size of the budget of an instance.

    Args:
        memory_bytes: Memory of the instance; 0 if not known.
    """
    if not memory_bytes:
        return MAX_BUFFERED_BYTES
    return max(MAX_BUFFERED_BYTES // 2, (memory_bytes - PROCESS_BYTES) // COPIES)


class Holder:
    """Everything that is held on behalf of one request.

    Attributes:
        is_repeatable: Whether the request may run again, or has not run yet.
        is_complete: Whether everything that it holds is ready to be delivered.
        give_up: Ends the request, so that the memory is released; None if nothing can.
        given_up: Whether it was given up.
        is_released: Whether its request has ended.
        size_bytes: Bytes that it holds.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.is_repeatable: Callable[[], bool] = _yes
        self.is_complete = False
        self.give_up: Callable[[], None] | None = None
        self.given_up = False
        self.is_released = False
        self.size_bytes = 0
        self._budget = budget

    def reserve(self) -> BufferReservation:
        """Return an empty reservation for a part of what it holds."""
        return BufferReservation(self._budget, self)

    def release(self) -> None:
        """Release everything at the end of the request; idempotent."""
        self._budget.release(self)


class BufferBudget:
    """Memory for everything that is held on behalf of others.

    Attributes:
        given_up: Number of requests that were given up for others.
        refused: Number of requests that ended because they found no memory.
        read_ahead: Number of streams that were read on while their callers did not read.

    Args:
        limit_bytes: Bytes that may be held.
        is_bounded: Whether every byte counts and large holders are given up. Otherwise only the
            parts of responses beyond `UNCOUNTED_BYTES` count, and whoever asks last is refused.
    """

    def __init__(self, limit_bytes: int = MAX_BUFFERED_BYTES, is_bounded: bool = False) -> None:
        self.given_up = 0
        self.refused = 0
        self.read_ahead = 0
        self._limit_bytes = limit_bytes
        self._is_bounded = is_bounded
        self._used_bytes = 0
        self._body_bytes = 0
        self._large: set[Holder] = set()

    @property
    def used_bytes(self) -> int:
        """Bytes that count toward the limit."""
        return self._used_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that are held, with request bodies that don't count toward the limit."""
        return self._used_bytes + self._body_bytes

    @property
    def limit_bytes(self) -> int:
        """Bytes that may be held."""
        return self._limit_bytes

    @property
    def is_bounded(self) -> bool:
        """Whether every byte counts and large holders are given up."""
        return self._is_bounded

    @property
    def uncounted_bytes(self) -> int:
        """Part of each response that is not counted."""
        return 0 if self._is_bounded else UNCOUNTED_BYTES

    @property
    def is_under_pressure(self) -> bool:
        """Whether nothing is to be read that can be left to its sender."""
        return self._used_bytes > PRESSURE_FRACTION * self._limit_bytes

    def hold(self) -> Holder:
        """Return a holder for a new request."""
        return Holder(self)

    def reserve(self) -> BufferReservation:
        """Return an empty reservation of a holder of its own."""
        return BufferReservation(self, Holder(self))

    def try_change(
        self, difference: int, holder: Holder, fraction: float = 1.0, last: bool = False
    ) -> bool:
        """Change the reserved bytes by `difference` unless that exceeds the limit.

        Args:
            difference: Bytes to add.
            holder: Whom they belong to.
            fraction: Part of the limit that may be filled.
            last: Whether requests that can't be repeated are given up as well.
        """
        if holder.given_up or holder.is_released:
            return difference <= 0
        if difference > 0:
            excess = self._used_bytes + difference - int(fraction * self._limit_bytes)
            if excess > 0 and not self._make_room(excess, difference, holder, last):
                return False
        self._used_bytes += difference
        self._resize(holder, difference)
        return True

    def count_body(self, difference: int) -> None:
        """Count bytes of request bodies that don't count toward the limit."""
        self._body_bytes += difference

    def release(self, holder: Holder) -> None:
        """Release everything that a request holds."""
        if not holder.given_up:
            self._used_bytes -= holder.size_bytes
        holder.size_bytes = 0
        holder.is_released = True
        self._large.discard(holder)

    def _resize(self, holder: Holder, difference: int) -> None:
        holder.size_bytes += difference
        if self._is_bounded and holder.size_bytes >= MIN_GIVEN_UP_BYTES:
            self._large.add(holder)
        else:
            self._large.discard(holder)

    def _make_room(self, excess: int, difference: int, asker: Holder, last: bool) -> bool:
        """Give up requests larger than the asker, the largest first, until `excess` is free."""
        if not self._is_bounded:
            return False
        asked_bytes = asker.size_bytes + difference
        chosen = []
        for holder in self._candidates(asker, asked_bytes, last):
            chosen.append(holder)
            excess -= holder.size_bytes
            if excess <= 0:
                break
        else:
            # What could be freed is not enough, so nobody is given up in vain.
            return False
        for holder in chosen:
            self._give_up(holder)
        return True

    def _candidates(self, asker: Holder, asked_bytes: int, last: bool) -> Iterator[Holder]:
        others = [h for h in self._large if h is not asker and h.give_up is not None]
        repeatable = [h for h in others if h.is_repeatable()]
        smaller_stay = asker.is_repeatable()
        for holder in sorted(repeatable, key=_size, reverse=True):
            if not smaller_stay or holder.size_bytes > asked_bytes:
                yield holder
        if last and not smaller_stay:
            incomplete = (h for h in others if not h.is_complete and not h.is_repeatable())
            for holder in sorted(incomplete, key=_size, reverse=True):
                if holder.size_bytes > asked_bytes:
                    yield holder

    def _give_up(self, holder: Holder) -> None:
        """Free the memory of a request at once: its task ends when it runs next."""
        self.given_up += 1
        self._used_bytes -= holder.size_bytes
        self._large.discard(holder)
        holder.given_up = True
        assert holder.give_up is not None
        holder.give_up()


class BufferReservation:
    """Memory reserved for one body, response or queue of events of a request.

    Args:
        budget: The budget.
        holder: The request that it is held for.
    """

    def __init__(self, budget: BufferBudget, holder: Holder) -> None:
        self._budget = budget
        self._holder = holder
        self._counted_bytes = 0

    def resize(self, size_bytes: int, last: bool = False) -> bool:
        """Reserve memory for this size; return False if there is none left.

        Args:
            size_bytes: Bytes that are held.
            last: Whether requests that can't be repeated are given up as well.
        """
        counted = max(0, size_bytes - self._budget.uncounted_bytes)
        difference = counted - self._counted_bytes
        if not self._budget.try_change(difference, self._holder, last=last):
            return False
        self._counted_bytes = counted
        return True

    def resize_body(self, size_bytes: int) -> bool:
        """Reserve memory for a request body; return False if there is none left."""
        difference = size_bytes - self._counted_bytes
        if not self._budget.is_bounded:
            self._budget.count_body(difference)
        elif not self._budget.try_change(difference, self._holder, BODY_FRACTION):
            return False
        self._counted_bytes = size_bytes
        return True

    def release_body(self) -> None:
        """Release the memory of a request body; idempotent."""
        self.resize_body(0)

    def release(self) -> None:
        """Release the memory; idempotent."""
        self._budget.try_change(-self._counted_bytes, self._holder)
        self._counted_bytes = 0


class BufferedBody:
    """Chunks of a buffered response, whose memory is released as they are sent.

    Args:
        chunks: The chunks.
        reservation: Memory reserved for them.
    """

    def __init__(self, chunks: Iterable[bytes], reservation: BufferReservation) -> None:
        self._chunks = deque(chunks)
        self._size_bytes = sum(map(len, self._chunks))
        self._reservation = reservation

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        # The chunk returned before has been sent by now.
        self._reservation.resize(self._size_bytes)
        if not self._chunks:
            self._reservation.release()
            raise StopIteration
        chunk = self._chunks.popleft()
        self._size_bytes -= len(chunk)
        return chunk

    def close(self) -> None:
        """Release the memory of chunks that won't be sent."""
        self._chunks.clear()
        self._size_bytes = 0
        self._reservation.release()


def _size(holder: Holder) -> int:
    return holder.size_bytes


def _yes() -> bool:
    return True
