"""Holds back a prompt that may crash backend servers, and reports what servers do with it."""

from __future__ import annotations

import random
from collections.abc import Iterable

from hickoryloom.gateway.context import Attempt
from hickoryloom.placing import PromptSegment
from hickoryloom.quarantine import Quarantine, part_keys

__all__ = ["PromptGuard"]

ANSWERED_S = 0.1
"""Time after the first event of a stream from which a further one shows that the prompt does not
crash the engine: it would have ended while it wrote the first one."""

WAIT_JITTER = 0.5
"""Largest random fraction added to the wait, so that refused callers don't return together."""


class PromptGuard:
    """Connects the attempts of one request with the quarantine of prompt parts.

    Args:
        quarantine: The quarantine, shared with other instances.
        rng: Source of jitter.
        service: Service to which the request is sent.
        shared: Segments of its prompt that other prompts may share.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        rng: random.Random,
        service: str,
        shared: Iterable[PromptSegment],
    ) -> None:
        self._quarantine = quarantine
        self._rng = rng
        self._parts = part_keys(service, (segment.id for segment in shared))

    def check(self, now: float) -> float:
        """Return the seconds after which the caller may return; 0 if the request may be sent."""
        wait_s = self._quarantine.wait_s(self._parts, now)
        if not wait_s:
            return 0.0
        self._quarantine.record_refused(self._parts, now)
        return wait_s * (1.0 + WAIT_JITTER * self._rng.random())

    def record_sent(self, now: float) -> None:
        """Record that the request is sent to a backend server."""
        self._quarantine.record_sent(self._parts, now)

    def record_event(self, attempt: Attempt, now: float) -> None:
        """Record a further event of a stream."""
        if now - attempt.first_event_at >= ANSWERED_S:
            self.record_answer(attempt, now)

    def record_answer(self, attempt: Attempt, now: float) -> None:
        """Record that the response shows that the prompt does not crash the backend server."""
        if not attempt.answered:
            attempt.answered = True
            self._quarantine.record_answer(self._parts, now)

    def record_end(self, attempt: Attempt, now: float) -> None:
        """Record a lost connection: the backend server may have crashed under the prompt."""
        request_was_sent = attempt.exchange.last_wait_started_at is not None
        if attempt.answered or not request_was_sent:
            return
        server = attempt.placement.server
        self._quarantine.record_end(
            f"{server.id}|{server.started_ms}", self._parts, attempt.accepted, attempt.sent, now
        )
