"""What one instance knows of one backend server's load, cache and health; pure."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from hickoryloom.discovery import BackendServer
from hickoryloom.placing.messages import Ending, ReportedLoad, Work

__all__ = ["TrackedServer"]

REPORT_HALF_LIFE_S = 0.3
"""A reported queue is half gone after this: engines' reports are some hundred ms old."""

KNOWN_PARTS = 4_096
"""Cached parts remembered for each backend server; a session's part takes 100 bytes."""

FIRST_PAUSE_S = 0.5
"""Pause after a backend server could not be reached; a crashed one is back after seconds."""

LONGEST_PAUSE_S = 4.0
"""Bound of the pause, so that one that came back is found within seconds."""

FAILURES_TO_PAUSE = 3
"""Failed answers in a row that pause a backend server: some services fail one in seven."""

FAILURE_MEMORY = 0.9
"""Weight of the past in the share of failed attempts: about the last ten count."""


@attrs.define
class TrackedServer:
    """Own requests in flight, the last report, known cached parts and failures."""

    server: BackendServer
    in_flight: int = 0
    unread_tokens: int = 0
    failed_part: float = 0.0
    paused_until: float = 0.0
    _failures: int = 0
    _pauses: int = 0
    _load: ReportedLoad | None = None
    _load_at: float = 0.0
    _parts: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def on_report(self, load: ReportedLoad, now: float) -> None:
        """Take in a report."""
        self._load = load
        self._load_at = now

    def on_start(self, work: Work, prefill_tokens: int) -> None:
        """Take in that a request is sent."""
        self.in_flight += 1
        self.unread_tokens += prefill_tokens
        for part in work.shared:
            self._parts[part.id] = None
            self._parts.move_to_end(part.id)
        while len(self._parts) > KNOWN_PARTS:
            self._parts.popitem(last=False)

    def on_first_token(self, prefill_tokens: int) -> None:
        """Take in that a prompt has been read."""
        self.unread_tokens = max(0, self.unread_tokens - prefill_tokens)

    def on_end(self, ending: Ending, now: float) -> None:
        """Take in the end of an attempt."""
        self.in_flight = max(0, self.in_flight - 1)
        if ending in (Ending.ABANDONED, Ending.REFUSED):
            return
        failed = ending is not Ending.DONE
        self.failed_part = FAILURE_MEMORY * self.failed_part + (1 - FAILURE_MEMORY) * failed
        if not failed:
            self._failures = self._pauses = 0
            return
        self._failures += 1
        if ending is Ending.UNREACHABLE or self._failures >= FAILURES_TO_PAUSE:
            self._pause(now)

    def forget_cache(self) -> None:
        """Take in that it started anew."""
        self._parts.clear()

    def uncached_tokens(self, work: Work, assume_cached: bool) -> int:
        """Return the tokens of a prompt that would be read anew.

        Args:
            work: The request.
            assume_cached: Whether shared parts count as cached though this instance has not
                sent them here, since other instances prefer the same backend server.
        """
        cached = 0
        for part in work.shared:
            if not assume_cached and part.id not in self._parts:
                break
            cached += part.tokens
        return max(0, work.prompt_tokens - cached)

    def reported_waiting(self, now: float) -> float:
        """Return the requests in its queue, as reported, fading with the report's age."""
        if self._load is None:
            return 0.0
        return float(self._load.waiting * 0.5 ** ((now - self._load_at) / REPORT_HALF_LIFE_S))

    def reported_running(self, now: float) -> float:
        """Return the requests that it runs, as reported, fading with the report's age."""
        if self._load is None:
            return 0.0
        return float(self._load.running * 0.5 ** ((now - self._load_at) / REPORT_HALF_LIFE_S))

    def occupancy(self, now: float) -> float:
        """Return the part of its slots that is taken or waited for."""
        reported = self.reported_running(now) + self.reported_waiting(now)
        return max(float(self.in_flight), reported) / max(1, self.server.slots)

    def _pause(self, now: float) -> None:
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self._pauses)
        self._pauses += 1
        self.paused_until = now + pause_s
