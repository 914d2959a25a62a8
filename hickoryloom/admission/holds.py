"""Customers whose queues are passed over until their own limits allow a start."""

from __future__ import annotations

from hickoryloom.admission.queues import ClassQueue

__all__ = ["Holds"]


class Holds:
    """Remembers which customers of which classes are held, and until when."""

    def __init__(self) -> None:
        self._held: dict[tuple[str, int, str], tuple[ClassQueue, float]] = {}

    @property
    def times(self) -> list[float]:
        """Times at which customers are released; infinite for those that wait for an event."""
        return [until for _, until in self._held.values()]

    def hold(self, found: ClassQueue, customer: str, until: float) -> None:
        """Pass over a customer of a class until a time, or until it is released."""
        found.queue.hold(customer)
        self._held[found.name, found.tier, customer] = (found, until)

    def is_held(self, request_class: str, tier: int, customer: str) -> bool:
        """Return whether a customer of a class is held."""
        return (request_class, tier, customer) in self._held

    def release_due(self, now: float) -> None:
        """Release those whose time has come."""
        for key, (_, until) in list(self._held.items()):
            if until <= now:
                self._release(key)

    def release_customer(self, customer: str) -> None:
        """Release a customer in all classes."""
        for key in [key for key in self._held if key[2] == customer]:
            self._release(key)

    def release_all(self) -> None:
        """Release all customers."""
        for key in list(self._held):
            self._release(key)

    def _release(self, key: tuple[str, int, str]) -> None:
        found, _ = self._held.pop(key)
        found.queue.release(key[2])
