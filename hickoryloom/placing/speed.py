"""The speed of a backend server relative to the others of its service.

This answers the load of servers that share their machines: work takes several times as long on some
of them, for a second or two by turns, and they say so in their responses. Some are slower or faster
than others at all times, or state a wrong slow-down, which the durations of their responses show. A
server that never reports a slow-down counts with a speed of 1. This module performs no I/O.
"""

from __future__ import annotations

import math

import attrs
import logbook

from hickoryloom.logs import log_event
from hickoryloom.placing.stated_number import parse_stated_number

__all__ = ["FIRST_TOKEN_NOISE", "ServerSpeed", "UsualTimes", "parse_slowdown"]

USUAL_PERCENT = 100.0

MIN_PERCENT = 10.0
MAX_PERCENT = 10_000.0
"""A figure outside of these bounds is a fault: a server that is 100 times slower answers nothing
within any timeout."""

MAX_SLOWDOWN = 16.0
"""Largest slow-down that is told apart from others, so that a server still gets the requests whose
responses tell that it has recovered."""

REPORT_MAX_AGE_S = 0.3
"""Age up to which a reported slow-down is used in full; servers slow down and recover within
1.5 s."""

HALF_LIFE_S = 0.3
"""Half-life of a reported slow-down beyond that age. A server of which it is unknown whether it has
recovered gets fewer requests than one that is known to be fast."""

UNANSWERED_MAX_AGE_S = 1.0
"""Age up to which it is used in full while a later request awaits its response: one request tells
whether the server has recovered, and the others need not share its risk."""

SMOOTHING = 0.05
"""Weight of one response in the intrinsic speed of its server. About 20 responses outweigh one that
was slowed down without a report."""

USUAL_SMOOTHING = 0.02
"""Weight of one response in the usual time of a service."""

IGNORED_RESPONSES = 2
"""Number of responses of a server that are not timed: the first ones open connections, and take
several times as long if work takes milliseconds."""

MAX_INTRINSIC = 8.0
"""Bound of the intrinsic speed, and of its reciprocal."""

FIRST_TOKEN_NOISE = 0.25
"""Part of the mean logarithm of times to the first token that is put down to queueing. Without it,
instances with few responses preferred some engines of the same speed to others."""

TRUST_MARGIN = 0.1
"""Reports are no longer used once the logarithms of response times deviate by this much more with
them than without them, and are used again when they deviate no more."""

LOGGED_CHANGE = math.log(1.25)
"""Change of the logarithm of the intrinsic speed after which it is logged again."""

STEADY_SMOOTHING = 0.02
"""Weight of one response in the steady speed, which averages over slow-downs of seconds."""

MIN_SECONDS = 1e-4
MAX_LOGGED_CHARS = 60

log = logbook.Logger("hickoryloom.placing")


def parse_slowdown(percent: str) -> tuple[float, bool]:
    """Return the slow-down that a figure states, and whether the figure was sound.

    An unsound figure counts as no slow-down, and so does one below 100 per cent: a server that is
    always faster than others shows that by its responses, and a wrong figure attracts no requests.
    """
    number, sound = parse_stated_number(percent, MAX_PERCENT)
    if number is None or not sound or number < MIN_PERCENT:
        return 1.0, False
    return min(max(number / USUAL_PERCENT, 1.0), MAX_SLOWDOWN), True


@attrs.define
class _Series:
    """Moving mean of the logarithm of a time ratio, and of its deviation from that mean."""

    mean: float = 0.0
    error: float = 0.0

    def add(self, value: float) -> None:
        self.error += SMOOTHING * (abs(value - self.mean) - self.error)
        self.mean += SMOOTHING * (value - self.mean)


@attrs.define
class ServerSpeed:
    """Speed of one backend server.

    Attributes:
        server: Id of the server.
        reports: Whether it has reported a slow-down, as servers of some services do.
    """

    server: str
    reports: bool = False
    _is_sound: bool = True
    _slowdown: float = 1.0
    _response_slowdown: float = 1.0
    _reported_at: float = float("-inf")
    _is_trusted: bool = True
    _as_reported: _Series = attrs.field(factory=_Series)
    _as_timed: _Series = attrs.field(factory=_Series)
    _logged: float = 0.0
    _ignored: int = 0
    _intrinsic: float = 1.0
    _responses: int = 0
    _shared_intrinsic: float = 1.0
    _shared_responses: int = 0
    _steady_slowdown: float = 1.0

    @property
    def intrinsic(self) -> float:
        """Speed without a slow-down, relative to the usual one of its service.

        The mean over several instances counts while it rests on more responses.
        """
        if self._shared_responses > self._responses:
            return self._shared_intrinsic
        return self._intrinsic

    @property
    def learned(self) -> tuple[float, int]:
        """The speed by this instance's own responses, and their number."""
        return self._intrinsic, self._responses

    def set_shared(self, intrinsic: float, responses: int) -> None:
        """Set the mean of `learned` over several instances, and the number of responses."""
        before = self.intrinsic
        self._shared_intrinsic, self._shared_responses = intrinsic, responses
        if abs(math.log(self.intrinsic / before)) >= LOGGED_CHANGE:
            speed = round(self.intrinsic, 2)
            log_event(log, "speed-shared", backend_server=self.server, speed=speed)

    @property
    def steady(self) -> float:
        """Mean speed over the slow-downs of the latest responses; 1 without any report."""
        return self.intrinsic * self.steady_report

    @property
    def steady_report(self) -> float:
        """The same without the intrinsic speed, whose mean over a service is the usual one."""
        return 1.0 / self._steady_slowdown if self.reports else 1.0

    def on_report(self, percent: str | None, now: float) -> None:
        """Record a reported slow-down.

        Args:
            percent: How long work takes, in per cent, as stated; None if not reported.
            now: Monotonic time in seconds.
        """
        if percent is None:
            return
        slowdown, sound = parse_slowdown(percent)
        self._note_soundness(sound, percent)
        if not sound:
            self._reported_at = float("-inf")
            return
        self.reports = True
        self._slowdown = self._response_slowdown = slowdown
        self._reported_at = now
        trusted = slowdown if self._is_trusted else 1.0
        self._steady_slowdown += STEADY_SMOOTHING * (trusted - self._steady_slowdown)

    def on_shared_report(self, percent: str | None, sent_at: float) -> None:
        """Record a slow-down that was reported to another instance.

        Args:
            percent: How long work takes, in per cent; None if not reported.
            sent_at: Monotonic time at which the server sent it, in seconds.
        """
        if percent is None or sent_at <= self._reported_at:
            return
        slowdown, sound = parse_slowdown(percent)
        if sound:
            self.reports = True
            self._slowdown = slowdown
            self._reported_at = sent_at

    def on_response(self, log_ratio: float, noise: float = 0.0) -> None:
        """Record how long a response took that came with the latest report.

        Args:
            log_ratio: Logarithm of the time, divided by the usual time of the service.
            noise: Part of the mean of these that says nothing of the speed.
        """
        self._responses += 1
        log_limit = math.log(MAX_INTRINSIC)
        log_ratio = min(max(log_ratio, -log_limit), log_limit)
        self._as_timed.add(log_ratio)
        self._as_reported.add(log_ratio - math.log(self._response_slowdown))
        margin = TRUST_MARGIN if self._is_trusted else 0.0
        is_trusted = self._as_reported.error <= self._as_timed.error + margin
        if is_trusted != self._is_trusted:
            self._is_trusted = is_trusted
            event = "slowdown-trusted" if is_trusted else "slowdown-distrusted"
            log_event(log, event, backend_server=self.server)
        mean = (self._as_reported if self._is_trusted else self._as_timed).mean
        certain = math.copysign(max(0.0, abs(mean) - noise), mean)
        self._intrinsic = math.exp(-min(max(certain, -log_limit), log_limit))
        if abs(mean - self._logged) >= LOGGED_CHANGE:
            self._logged = mean
            speed = round(self._intrinsic, 2)
            log_event(log, "speed-learned", backend_server=self.server, speed=speed)

    def ignores_response(self) -> bool:
        """Return whether the time of a response says nothing, as that of the very first ones."""
        if self._ignored >= IGNORED_RESPONSES:
            return False
        self._ignored += 1
        return True

    def on_unreadable(self, value: str) -> None:
        """Record a load report of which no figure can be used."""
        self._note_soundness(False, value)

    def slowdown(self, now: float, unanswered: bool = False) -> float:
        """Return how many times as long as usual work takes; 1 without a recent report.

        Args:
            now: Monotonic time in seconds.
            unanswered: Whether requests are in flight that were sent after the latest report.
        """
        if not self._is_trusted:
            return 1.0
        age_s = now - self._reported_at
        if unanswered and age_s <= UNANSWERED_MAX_AGE_S:
            return self._slowdown
        fade = 0.5 ** (max(0.0, age_s - REPORT_MAX_AGE_S) / HALF_LIFE_S)
        return 1.0 + fade * (self._slowdown - 1.0)

    def usual_time_s(self, took_s: float) -> float:
        """Return the time that work would have taken without the slow-down in the latest report."""
        if not self.reports or not self._is_trusted:
            return took_s
        return took_s / self._response_slowdown

    def speed(self, now: float, unanswered: bool = False) -> float:
        """Return the speed relative to the usual one of its service; 1 without any report."""
        return self.intrinsic / self.slowdown(now, unanswered) if self.reports else 1.0

    def _note_soundness(self, sound: bool, value: str) -> None:
        """Log the first of several unsound reports in a row."""
        if self._is_sound and not sound:
            value = value[:MAX_LOGGED_CHARS]
            log_event(log, "load-unsound", backend_server=self.server, value=value)
        self._is_sound = sound


class UsualTimes:
    """The usual time of a response of each service, from servers that report their slow-down."""

    def __init__(self) -> None:
        self._log_means: dict[str, float] = {}

    def log_ratio(self, service: str, seconds: float) -> float:
        """Return the logarithm of the ratio of a time to the usual one."""
        log_seconds = math.log(max(seconds, MIN_SECONDS))
        return log_seconds - self._log_means.setdefault(service, log_seconds)

    def observe(self, service: str, seconds: float) -> None:
        """Record the time of a response without the slow-down of its server."""
        self._log_means[service] += USUAL_SMOOTHING * self.log_ratio(service, seconds)
