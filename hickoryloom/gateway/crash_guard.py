"""Holds back a request that may crash backend servers, and reports what servers do with it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import cache

import attrs

from hickoryloom.gateway.context import Attempt
from hickoryloom.placing import PromptSegment
from hickoryloom.quarantine import Quarantine, part_keys, request_key
from hickoryloom.reach import EndWitness

__all__ = ["CrashGuard", "Hold"]

PROMPT_ANSWERED_S = 0.1
"""Time after the first event of a stream from which a further one shows that no part of the prompt
crashes the engine: it would have ended while it wrote the first one."""

REQUEST_ANSWERED_S = 1.0
"""The same for the request as a whole, which may crash the engine at any later event."""

WAIT_JITTER = 0.5
"""Largest random fraction added to the wait, so that refused callers don't return together."""


@attrs.frozen
class Hold:
    """Why a request must not be sent, and the seconds after which its caller may return."""

    reason: str
    wait_s: float


class CrashGuard:
    """Connects the attempts of one request with the quarantine.

    Args:
        quarantine: The quarantine, shared with other instances.
        witness: Finds out whether a server has ended.
        rng: Source of jitter.
        service: Service to which the request is sent.
        shared: Segments of its prompt that other prompts may share.
        digest: Returns the digest of the request; only called if it is needed.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        witness: EndWitness,
        rng: random.Random,
        service: str,
        shared: Iterable[PromptSegment],
        digest: Callable[[], str],
    ) -> None:
        self._quarantine = quarantine
        self._witness = witness
        self._rng = rng
        self._service = service
        self._parts = part_keys(service, (segment.id for segment in shared))
        self._digest = cache(digest)

    @property
    def digest(self) -> str:
        """Digest of the request, the same whenever its caller sends it again."""
        return self._digest()

    def check(self, now: float) -> Hold | None:
        """Return why the request must not be sent now; None if it may be."""
        keys = self._keys
        wait_s = self._quarantine.wait_s(keys, now)
        if not wait_s:
            return None
        self._quarantine.record_refused(keys, now)
        by_parts = self._quarantine.wait_s(self._parts, now) > 0
        reason = "prompt-in-quarantine" if by_parts else "request-in-quarantine"
        return Hold(reason, wait_s * (1.0 + WAIT_JITTER * self._rng.random()))

    def is_held(self, now: float) -> bool:
        """Return whether the request must not be sent now, without counting it as refused."""
        return self._quarantine.wait_s(self._keys, now) > 0

    def record_sent(self, now: float) -> None:
        """Record that the request is sent to a backend server."""
        self._quarantine.record_sent(self._keys, now)

    def record_event(self, attempt: Attempt, now: float) -> None:
        """Record a further event of a stream."""
        responding_s = now - attempt.first_event_at
        if responding_s >= PROMPT_ANSWERED_S and not attempt.prompt_answered:
            attempt.prompt_answered = True
            self._quarantine.record_answer(self._parts, now)
        if responding_s >= REQUEST_ANSWERED_S:
            self.record_answer(attempt, now)

    def record_answer(self, attempt: Attempt, now: float) -> None:
        """Record that the response shows that the request does not crash the backend server."""
        if not attempt.answered:
            attempt.prompt_answered = attempt.answered = True
            self._quarantine.record_answer(self._keys, now)

    def record_end(self, attempt: Attempt, now: float) -> None:
        """Record a lost connection: the backend server may have crashed under the request."""
        request_was_sent = attempt.exchange.last_wait_started_at is not None
        if attempt.answered or not request_was_sent:
            return
        server = attempt.placement.server
        self._witness.examine(
            server.service,
            server.id,
            server.started_ms,
            server.address,
            lambda: self._report_end(attempt, now),
        )

    def _report_end(self, attempt: Attempt, now: float) -> None:
        server = f"{attempt.placement.server.id}|{attempt.placement.server.started_ms}"
        self._quarantine.record_cut_off(server, self._request_key(), attempt.sent, now)
        if not attempt.prompt_answered:
            self._quarantine.record_end(server, self._parts, attempt.accepted, attempt.sent, now)

    @property
    def _keys(self) -> tuple[str, ...]:
        """Keys under which the request may be held back now."""
        if not self._quarantine.watches_requests:
            return self._parts
        return (self._request_key(), *self._parts)

    def _request_key(self) -> str:
        return request_key(self._service, self._digest())
