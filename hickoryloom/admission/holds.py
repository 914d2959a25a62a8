"""Customers that are skipped in their queues until their own limits allow a start."""

from __future__ import annotations

from hickoryloom.admission.queues import ClassQueue

__all__ = ["Holds"]


class Holds:
    """Tracks which customers are held in which classes, and until when."""

    def __init__(self) -> None:
        self._held: dict[tuple[str, int, str], tuple[ClassQueue, float]] = {}

    @property
    def times(self) -> list[float]:
        """Release times of the held customers; infinite where only an event releases them."""
        return [until for _, until in self._held.values()]

    def hold(self, class_queue: ClassQueue, customer: str, until: float) -> None:
        """Skip a customer of a class until the time `until` or an earlier release."""
        class_queue.queue.hold(customer)
        self._held[class_queue.name, class_queue.tier, customer] = (class_queue, until)

    def is_held(self, request_class: str, tier: int, customer: str) -> bool:
        """Return whether a customer of a class is held."""
        return (request_class, tier, customer) in self._held

    def release_due(self, now: float) -> None:
        """Release the customers whose hold has expired."""
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
        class_queue, _ = self._held.pop(key)
        class_queue.queue.release(key[2])
