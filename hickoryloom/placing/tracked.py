"""Load, cache content and health of one backend server, as seen by one instance."""

from __future__ import annotations

from collections import OrderedDict, deque

import attrs

from hickoryloom.discovery import BackendServer
from hickoryloom.placing.brittle import REPORT_MAX_AGE_S, Room
from hickoryloom.placing.messages import PlacementOutcome, PlacementRequest, ReportedLoad
from hickoryloom.placing.speed import ServerSpeed

__all__ = ["TrackedServer"]

REPORT_HALF_LIFE_S = 0.3
"""Half-life of the weight of a reported load; reports are several hundred milliseconds old."""

RUNNING_HALF_LIFE_S = 2.0
"""Half-life of reported running requests where instances share reports: streams last 1 to 3 s."""

STARTED_PER_S = 16.0
"""Queued requests that an engine with free slots begins per second, at 60 ms of prefill each. With
a half-life of 0.7 s instead, instances avoided engines whose queues had long been empty: beside
engines that were slow by turns, the busiest one got 3.8 to 4.6 times the mean number of requests in
2 s, instead of 3.1 to 3.3 times."""

MAX_SENDS = 32
"""Latest requests to a server whose times are kept. One instance sends it fewer in the seconds for
which a report counts."""

MAX_KNOWN_PARTS = 4_096
"""Maximum number of known cached segments per backend server; each one takes 100 bytes."""

INITIAL_PAUSE_S = 0.5
"""First pause of a backend server that could not be reached; a crashed one restarts in seconds."""

MAX_PAUSE_S = 4.0
"""Maximum pause, so that a backend server that has recovered is used again within seconds."""

MAX_DOUBLINGS = 10

FAILURES_TO_PAUSE = 3
"""Consecutive failed attempts after which a backend server is paused. A single failure must not
pause it: some services fail one request in seven."""

SIZE_WEIGHT = 0.1
"""Weight of one request in the mean size of requests."""

FAILURE_RATE_DECAY = 0.9
"""Weight of earlier attempts in the failure rate, which reflects about the last 10 attempts."""


@attrs.frozen
class _NewestReport:
    """The newest report of any instance.

    Attributes:
        load: The load.
        at: Monotonic time at which the server sent it, in seconds.
        others: Number of requests of other instances in it.
    """

    load: ReportedLoad
    at: float
    others: int


@attrs.define
class TrackedServer:
    """State of one backend server.

    Attributes:
        server: The backend server.
        in_flight: Number of requests of this instance that it runs.
        unread_tokens: Uncached prompt tokens of this instance's requests still in prefill.
        failure_rate: Moving average of the fraction of attempts that failed.
        paused_until: Monotonic time until which it is paused, in seconds; it is then selected only
            if all usable backend servers are paused.
        named_limit: The limit that its latest response names; empty for none.
        held_tokens: Tokens of this instance's requests in its memory, those of responses included.
        mean_tokens: Moving average of the tokens of the requests that this instance sent.
        speed: Its speed relative to the others of its service.
    """

    server: BackendServer
    in_flight: int = 0
    unread_tokens: int = 0
    failure_rate: float = 0.0
    paused_until: float = 0.0
    named_limit: str = ""
    held_tokens: int = 0
    mean_tokens: float = 0.0
    speed: ServerSpeed = attrs.field(
        default=attrs.Factory(lambda self: ServerSpeed(self.server.id), takes_self=True)
    )
    _consecutive_failures: int = 0
    _pauses: int = 0
    _load: ReportedLoad | None = None
    _load_at: float = 0.0
    _others_at_report: int = 0
    _draw: float = 0.0
    _sent_since: int = 0
    _parts: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _newest: _NewestReport | None = None
    _sent_at: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_SENDS))

    def on_report(self, load: ReportedLoad, now: float, draw: float = 0.0) -> None:
        """Record a load report, with a random number from 0 to 1."""
        self._draw = draw
        self._sent_since = 0
        self._load = load
        self._load_at = now
        self._others_at_report = max(0, load.running + load.waiting - self.in_flight)
        self.speed.on_report(load.slowdown_percent, now)
        if self._newest is not None:
            self._newest = _NewestReport(load, now, self._others_at_report)

    def on_shared_report(self, load: ReportedLoad, sent_at: float) -> bool:
        """Record a load report that another instance has received.

        From the first one on, running and queued requests of the newest report count by half-lives
        of seconds, with the requests that this instance has sent since.

        Args:
            load: The load.
            sent_at: Monotonic time at which the server sent the report, in seconds.

        Returns:
            Whether it is newer than what was known.
        """
        if self._newest is not None and sent_at <= self._newest.at:
            return False
        if self._load is not None and sent_at <= self._load_at:
            return False
        own = max(0, self.in_flight - self._count_sent_since(sent_at))
        others = max(0, load.running + load.waiting - own)
        self._newest = _NewestReport(load, sent_at, others)
        self.speed.on_shared_report(load.slowdown_percent, sent_at)
        return True

    def on_start(self, request: PlacementRequest, prefill_tokens: int, now: float = 0.0) -> None:
        """Record that a request has been sent; its shared segments count as cached from now on."""
        self.in_flight += 1
        self._sent_at.append(now)
        self._sent_since += 1
        self.unread_tokens += prefill_tokens
        tokens = request.memory_tokens
        self.held_tokens += tokens
        self.mean_tokens += (tokens - self.mean_tokens) * (SIZE_WEIGHT if self.mean_tokens else 1.0)
        for part in request.shared:
            self._parts[part.id] = None
            self._parts.move_to_end(part.id)
        while len(self._parts) > MAX_KNOWN_PARTS:
            self._parts.popitem(last=False)

    def on_first_token(self, prefill_tokens: int) -> None:
        """Record the end of a prefill."""
        self.unread_tokens = max(0, self.unread_tokens - prefill_tokens)

    def on_end(self, request: PlacementRequest, outcome: PlacementOutcome, now: float) -> None:
        """Record the end of an attempt.

        Refused and abandoned attempts do not affect the failure rate or the pause.
        """
        self.in_flight = max(0, self.in_flight - 1)
        self.held_tokens = max(0, self.held_tokens - request.memory_tokens)
        if outcome in (PlacementOutcome.ABANDONED, PlacementOutcome.REFUSED):
            return
        failed = outcome is not PlacementOutcome.DONE
        self.failure_rate = (
            FAILURE_RATE_DECAY * self.failure_rate + (1 - FAILURE_RATE_DECAY) * failed
        )
        if not failed:
            self._consecutive_failures = self._pauses = 0
            return
        self._consecutive_failures += 1
        if (
            outcome is PlacementOutcome.UNREACHABLE
            or self._consecutive_failures >= FAILURES_TO_PAUSE
        ):
            self._pause(now)

    @property
    def has_free_slots(self) -> bool:
        """Whether its latest report, of a request that has just ended, shows no queue."""
        load = self._load
        return load is not None and not load.waiting and load.running < self.server.slots

    def on_restart(self) -> None:
        """Discard what a restart makes void: the known cache content and the speed."""
        self._parts.clear()
        self._newest = None
        self.speed = ServerSpeed(self.server.id)

    def uncached_tokens(self, request: PlacementRequest, assume_cached: bool) -> int:
        """Return the number of prompt tokens that are not cached.

        Args:
            request: The request.
            assume_cached: Whether shared segments count as cached even if this instance has not
                sent them here, because other instances prefer the same backend server.
        """
        cached = 0
        for part in request.shared:
            if not assume_cached and part.id not in self._parts:
                break
            cached += part.tokens
        return max(0, request.prompt_tokens - cached)

    def reported_waiting(self, now: float) -> float:
        """Return the reported number of queued requests, decayed by the age of the report.

        Requests that this instance has sent since a shared report count as queued.
        """
        if self._newest is not None:
            load, age_s = self._newest.load, now - self._newest.at
            left = float(load.waiting)
            if load.running < self.server.slots:
                left -= age_s * STARTED_PER_S / self.speed.slowdown(now)
            waiting = max(0.0, left) * 0.5 ** (age_s / RUNNING_HALF_LIFE_S)
            return float(waiting + self._count_sent_since(self._newest.at))
        if self._load is None:
            return 0.0
        return float(self._load.waiting * 0.5 ** ((now - self._load_at) / REPORT_HALF_LIFE_S))

    def reported_running(self, now: float) -> float:
        """Return the reported number of running requests, decayed by the age of the report."""
        if self._newest is not None:
            age_s = now - self._newest.at
            return float(self._newest.load.running * 0.5 ** (age_s / RUNNING_HALF_LIFE_S))
        if self._load is None:
            return 0.0
        return float(self._load.running * 0.5 ** ((now - self._load_at) / REPORT_HALF_LIFE_S))

    def room(self, now: float) -> Room:
        """Return what is known of its room."""
        free = 0
        if self._load is not None and now - self._load_at <= REPORT_MAX_AGE_S:
            busy = self._load.running + self._load.waiting + self._sent_since
            free = max(0, self.server.slots - busy)
        return Room(self.server.slots, self.in_flight, free, self._draw)

    def occupancy(self, now: float) -> float:
        """Return the ratio of running and queued requests to slots."""
        reported = self.reported_running(now) + self.reported_waiting(now)
        return max(float(self.in_flight), reported) / max(1, self.server.slots)

    def requests_of_others(self, now: float, half_life_s: float = REPORT_HALF_LIFE_S) -> float:
        """Return the estimated number of requests that it holds for other instances.

        Args:
            now: Monotonic time in seconds.
            half_life_s: Half-life of the weight of its latest report, in seconds.
        """
        if self._newest is not None:
            half_life_s = max(half_life_s, RUNNING_HALF_LIFE_S)
            return float(self._newest.others * 0.5 ** ((now - self._newest.at) / half_life_s))
        return float(self._others_at_report * 0.5 ** ((now - self._load_at) / half_life_s))

    def relative_speed(self, now: float) -> float:
        """Return its speed relative to the usual one of its service."""
        sent = self._sent_since
        if self._newest is not None:
            sent = self._count_sent_since(self._newest.at)
        return self.speed.speed(now, sent > 0 and self.in_flight > 0)

    @property
    def has_shared_reports(self) -> bool:
        """Whether reports of other instances count since its start."""
        return self._newest is not None

    def _count_sent_since(self, at: float) -> int:
        """Return the number of requests that this instance has sent after `at`."""
        count = 0
        for sent_at in reversed(self._sent_at):
            if sent_at <= at:
                break
            count += 1
        return count

    def _pause(self, now: float) -> None:
        pause_s = min(MAX_PAUSE_S, INITIAL_PAUSE_S * 2**self._pauses)
        self._pauses = min(self._pauses + 1, MAX_DOUBLINGS)
        self.paused_until = now + pause_s
