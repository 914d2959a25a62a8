"""Decides whether a request may take capacity of its service while that is short.

This answers two loads: one customer that floods a service, so that everybody's requests queue
behind the flood, and a service of which all together ask for more than its servers can do. Nothing
is refused while servers have free slots. While they have none, more urgent classes come first, and
each class is divided evenly among its customers. A customer within its fair share is admitted as
before. Of one beyond it, the part is admitted that its share is of what it asks for: a bit more
while requests are answered well within their targets, so that no capacity stays unused, and a bit
less while they are not. Requests that would be answered too late are refused at once. This module
performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

import attrs
import logbook

from hickoryloom.contention.allocation import allocate_classes, fair_share
from hickoryloom.contention.deadlines import WorkTimes, is_too_late
from hickoryloom.contention.free_slots import FreeSlots
from hickoryloom.contention.rates import MAX_DELAY_RATIO, CustomerRates, OwnRates, ServiceRates
from hickoryloom.contention.returning import ReturningCallers
from hickoryloom.logs import log_event

__all__ = [
    "BEYOND_SHARE",
    "LESS_URGENT",
    "TOO_LATE",
    "Contention",
    "NewRequest",
    "Refused",
    "build_inactive_contention",
]

BEYOND_SHARE = "beyond-fair-share"
LESS_URGENT = "less-urgent"
TOO_LATE = "expected-too-late"
"""Reasons for which a request is refused."""

SHARE_TOLERANCE = 1.3
"""Multiple of its fair share up to which a customer counts as within it: rates fluctuate."""

FULL_FRACTION = 0.5
"""Part of the latest load reports that must show servers without free slots for capacity to be
short. What is asked for and what is served doesn't tell: callers leave, servers fail requests, and
in the first seconds little has been served yet."""

FREE_FRACTION = 0.3
"""The same below which capacity is no longer short. With one bound for both, the less urgent class
was admitted in full and refused by turns, and the more urgent one missed its target (0.93 in
target at 1.5 times the capacity and 30 instances, simulated; 0.97 with two bounds)."""

FULL_OCCUPANCY = 0.6
"""Occupancy from which a server counts as full. What was reported fades with a half-life of 0.3 s,
so it is that of a server that was full 0.2 s ago."""


LOW_DELAY_RATIO = 0.3
HIGH_DELAY_RATIO = 0.6
"""Mean delays, as multiples of the latency target, at which the most and the least is admitted.
With 0.9 as the higher one, 0.87 of the requests of small customers beside a flood were in target at
30 instances (simulated)."""

MAX_GROWTH = 1.4
MIN_GROWTH = 0.5
"""Part of its share that a customer gets at the low and at the high delay."""

YIELDING_MIN_GROWTH = 0.3
"""The latter in a class below the most urgent one, which is to meet its target: with 0.5, 0.945 of
it were in target at 3 times the capacity and 30 instances (simulated), with 0.3 0.96."""

MIN_WAIT_S = 0.3
MAX_WAIT_S = 4.0
"""Longest time for which a refused caller is sent away. Capacity comes back within seconds."""


log = logbook.Logger("hickoryloom.contention")


@attrs.frozen
class NewRequest:
    """A request that is about to be sent for the first time.

    Attributes:
        service: Its service.
        customer: Its customer.
        urgency: Its class; 0 is the most urgent.
        occupancy: Running and queued requests at the server that it would get, as a fraction of
            the slots.
        expected_s: Seconds until it is expected to begin there.
        left_s: Seconds until its deadline.
        returned: Whether its caller came back after a refusal.
    """

    service: str
    customer: str
    urgency: int = 0
    occupancy: float = 0.0
    expected_s: float = 0.0
    left_s: float = float("inf")
    returned: bool = False


@attrs.frozen
class Refused:
    """A request that must not take the capacity of others now.

    Attributes:
        reason: Why.
        wait_s: Seconds after which the caller should come back.
        times_share: Work that its customer asks for in its class, as a multiple of its share.
        delay_ratio: Mean delay at the service, as a multiple of the latency targets.
        expected_s: Seconds until it was expected to begin; 0 where that didn't decide.
        left_s: Seconds until its deadline; 0 where that didn't decide.
    """

    reason: str
    wait_s: float
    times_share: float = 0.0
    delay_ratio: float = 0.0
    expected_s: float = 0.0
    left_s: float = 0.0


class Contention:
    """Decides which new requests are refused while a service is short of capacity.

    Args:
        rates: Work that customers ask for and get.
        rng: Source of random numbers.
        is_on: Whether rates are kept and requests may be refused.

    Attributes:
        returning: Callers that were refused lately.
        work_times: Work times of plain servers.
        refused: Number of requests refused so far, by reason.
        readmitted: Number of requests admitted since they were refused before.
    """

    def __init__(self, rates: CustomerRates, rng: Random, is_on: bool) -> None:
        self._rates = rates
        self._rng = rng
        self._is_on = is_on
        self._free_slots = FreeSlots()
        self._short: set[str] = set()
        self.returning = ReturningCallers()
        self.work_times = WorkTimes()
        self.refused = dict.fromkeys((BEYOND_SHARE, LESS_URGENT, TOO_LATE), 0)
        self.readmitted = 0

    @property
    def is_on(self) -> bool:
        """Whether rates are kept and requests may be refused."""
        return self._is_on

    def metrics(self, now: float) -> dict[str, float]:
        """Return the counts since the start, and the number of services that are short now."""
        return {
            "requests_refused_beyond_share": self.refused[BEYOND_SHARE],
            "requests_refused_less_urgent": self.refused[LESS_URGENT],
            "requests_refused_too_late": self.refused[TOO_LATE],
            "requests_readmitted": self.readmitted,
            "services_short_of_capacity": sum(
                self.is_short(service, now) for service in tuple(self._short)
            ),
        }

    def to_share(self, now: float) -> dict[str, float]:
        """Return what this instance passes on to others; empty where this is off."""
        return self._rates.to_share(now) if self._is_on else {}

    def set_shared(self, means: Mapping[str, float], now: float) -> None:
        """Set the mean of `to_share` over several instances."""
        if self._is_on:
            self._rates.set_shared(means, now)

    def record_asked(
        self,
        service: str,
        customer: str,
        work: float,
        now: float,
        urgency: int = 0,
        returned: bool = False,
    ) -> None:
        """Record a request that has arrived."""
        if self._is_on:
            self._rates.record_asked(service, customer, work, now, urgency, returned)

    def record_sent(self, service: str, server: str, now: float) -> None:
        """Record that a request is sent to a server."""
        if self._is_on:
            self._free_slots.record_sent(service, server, now)

    def record_report(
        self, service: str, server: str, running: int, waiting: int, slots: int, now: float
    ) -> None:
        """Record the load that a server reports."""
        if self._is_on:
            free = max(0, slots - running - waiting)
            self._free_slots.record_report(service, server, free, now)
            self._rates.record_report(service, not free, now)

    def record_ended(
        self, service: str, served_work: float, delay_ratio: float, now: float
    ) -> None:
        """Record that a server has answered a request, with its delay in latency targets."""
        if self._is_on:
            self._rates.record_ended(service, served_work, delay_ratio, now)

    def record_turned_away(self, service: str, server: str, now: float) -> None:
        """Record that a server has turned a request away for want of capacity."""
        self.record_ended(service, 0.0, MAX_DELAY_RATIO, now)
        self.record_report(service, server, 0, 1, 0, now)

    def is_short(self, service: str, now: float) -> bool:
        """Return whether a service is short of capacity, as far as is known."""
        rates = self._rates.rates(service, now) if self._is_on else None
        return self._update_short(service, rates)

    def _update_short(self, service: str, rates: ServiceRates | None) -> bool:
        """Return whether a service is short of capacity by these rates."""
        was_short = service in self._short
        bound = FREE_FRACTION if was_short else FULL_FRACTION
        is_short = rates is not None and rates.full >= bound
        if is_short != was_short:
            (self._short.add if is_short else self._short.discard)(service)
            event = "capacity-short" if is_short else "capacity-free"
            full = 0.0 if rates is None else round(rates.full, 2)
            log_event(log, event, service=service, full=full)
        return is_short

    def takes_returning(self, digest: Callable[[], str], now: float) -> bool:
        """Return whether a request was refused lately, once for each refusal.

        Args:
            digest: Returns the digest of the request; only called if some were refused lately.
            now: Monotonic time in seconds.
        """
        return len(self.returning) > 0 and self.returning.take(digest(), now)

    def check(self, request: NewRequest, now: float) -> Refused | None:
        """Return the refusal of a request that may not be sent; None if it may."""
        if not self._is_on or self._free_slots.has_free(request.service, now):
            return None
        rates = self._rates.rates(request.service, now)
        is_short = self._update_short(request.service, rates)
        refused = self._check_deadline(request, is_short)
        if refused is None and is_short and rates is not None:
            refused = self._check_share(request, rates, now)
        if refused is not None:
            self.refused[refused.reason] += 1
        return refused

    def _check_deadline(self, request: NewRequest, is_short: bool) -> Refused | None:
        if not is_short and request.occupancy < 1.0:
            return None
        if not is_too_late(request.expected_s, request.left_s, is_short):
            return None
        # As many return in each second as servers begin.
        longest_s = min(MAX_WAIT_S, max(MIN_WAIT_S, request.expected_s))
        return Refused(
            TOO_LATE,
            self._draw_wait_s(longest_s),
            expected_s=request.expected_s,
            left_s=request.left_s,
        )

    def _check_share(self, request: NewRequest, rates: ServiceRates, now: float) -> Refused | None:
        urgency = request.urgency
        allocated, kept = allocate_classes(rates.asked, rates.served).get(urgency, (0.0, 0.0))
        work = [asked for (level, _), asked in rates.asked.items() if level == urgency]
        share = fair_share(work, allocated)
        asked = rates.asked.get((urgency, request.customer), 0.0)
        if asked <= SHARE_TOLERANCE * share:
            return None
        yields = urgency > min(level for level, _ in rates.asked)
        growth = _growth(rates.delay_ratio, YIELDING_MIN_GROWTH if yields else MIN_GROWTH)
        # Places in the queue of a full server are for customers within their shares. A less urgent
        # class gets the part that it keeps in any case there, too.
        admitted = growth * share if request.occupancy < FULL_OCCUPANCY else 0.0
        if yields:
            admitted = max(admitted, min(fair_share(work, kept), share))
        own = self._rates.own(request.service, urgency, request.customer, now)
        if self._rng.random() < _probability(admitted / asked, own, request.returned):
            self.readmitted += request.returned
            return None
        times_share = asked / share if share > 0 else MAX_WAIT_S / MIN_WAIT_S
        # Of less urgent classes, only customers that ask for more than others are told so.
        beyond = not yields or asked > SHARE_TOLERANCE * sum(work) / len(work)
        # Of a customer that asks for n times its share, one request in n finds a place. If refused
        # callers return over n times the shortest wait, they return at the rate of the places.
        longest_s = min(MAX_WAIT_S, MIN_WAIT_S * max(1.0, times_share))
        return Refused(
            BEYOND_SHARE if beyond else LESS_URGENT,
            self._draw_wait_s(longest_s),
            times_share,
            rates.delay_ratio,
        )

    def _draw_wait_s(self, longest_s: float) -> float:
        return MIN_WAIT_S + self._rng.random() * (longest_s - MIN_WAIT_S)


def build_inactive_contention() -> Contention:
    """Return a contention that keeps no rates and refuses nothing."""
    return Contention(CustomerRates(), Random(0), is_on=False)


def _probability(admitted: float, own: OwnRates, returned: bool) -> float:
    """Return the probability with which a request of a customer beyond its share is admitted.

    Callers that come back take the part that is admitted first. Without a bound by that part, all
    that is refused would be served a moment later, and the servers would stay overloaded.

    Args:
        admitted: Part of what the customer asks for that is admitted.
        own: What it asks of this instance.
        returned: Whether the caller of the request came back after a refusal.
    """
    budget = admitted * own.asked
    if returned:
        return budget / own.returned if own.returned > 0 else 1.0
    new = own.asked - own.returned
    return max(0.0, budget - own.returned) / new if new > 0 else admitted


def _growth(delay_ratio: float, least: float) -> float:
    """Return the part of its share that a customer gets at a mean delay, `least` at a high one."""
    position = (delay_ratio - LOW_DELAY_RATIO) / (HIGH_DELAY_RATIO - LOW_DELAY_RATIO)
    return MAX_GROWTH + (least - MAX_GROWTH) * min(1.0, max(0.0, position))
