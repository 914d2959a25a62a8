"""Work that customers ask for and get at one service, as one instance or a sample of them sees it.

This answers the load of one customer that sends many times its usual share through many instances,
none of which sees much of it. This module performs no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

__all__ = ["CustomerRates", "OwnRates", "ServiceRates"]

AVERAGING_S = 2.0
"""Time constant of the rates: a flood is recognized within about a second."""

FILL_AVERAGING_S = 0.5
"""Time constant of the fill of servers, so that nothing is refused a second after a burst."""

MIN_REPORTED = 0.05
"""Load reports within that time below which they say nothing: the latest one is over a second
old."""

SHARED_MAX_AGE_S = 4.0
"""Age up to which the mean over several instances replaces this instance's own rates."""

MIN_REQUESTS = 12.0
"""Requests within the averaging time below which an instance's own rates say nothing of shares."""

MAX_SHARED_SUMS = 200
"""Sums that are passed on, the largest first, so that a message stays small."""

FORGOTTEN_WORK = 1e-3
"""Work within the averaging time below which a customer is forgotten."""

MAX_DELAY_RATIO = 2.0
"""Largest delay that is told apart from longer ones, as a multiple of the latency target."""

SEPARATOR = "|"
ASKED, SERVED, ENDED, DELAYED = "asked", "served", "ended", "delayed"
REPORTED, FULL = "reported", "full"
"""Kinds of sums that instances pass on to each other."""

CLASS = "class"
"""Kind, followed by the urgency, of the part of what a customer asks for that is less urgent than
the most urgent class. Instances of the version before pass on and use the whole only."""


@attrs.define
class _Rate:
    """An exponentially decayed sum of work."""

    averaging_s: float = AVERAGING_S
    value: float = 0.0
    at: float = 0.0

    def add(self, work: float, now: float) -> None:
        """Add work done or asked for at `now`."""
        self.value = self.sum(now) + work
        self.at = now

    def sum(self, now: float) -> float:
        """Return the work within about the averaging time before `now`."""
        return self.value * math.exp((self.at - now) / self.averaging_s)


def _build_fill_rate() -> _Rate:
    return _Rate(FILL_AVERAGING_S)


@attrs.frozen
class ServiceRates:
    """Work at one service within the averaging time.

    Attributes:
        asked: Work asked for by urgency and customer.
        served: Work of all customers that was served.
        delay_ratio: Mean delay of the requests that ended, as a multiple of their latency targets.
        full: Part of the load reports that show a server without free slots; 0 without recent ones.
    """

    asked: dict[tuple[int, str], float]
    served: float
    delay_ratio: float = 0.0
    full: float = 0.0


@attrs.frozen
class OwnRates:
    """What one customer asks of this instance in one class within the averaging time.

    Attributes:
        asked: Work asked for, that of returning callers included.
        returned: Work of callers that came back after a refusal.
    """

    asked: float
    returned: float


@attrs.define
class _Asked:
    all: _Rate = attrs.field(factory=_Rate)
    returned: _Rate = attrs.field(factory=_Rate)


@attrs.define
class _Service:
    asked: dict[tuple[int, str], _Asked] = attrs.field(factory=dict)
    requests: _Rate = attrs.field(factory=_Rate)
    served: _Rate = attrs.field(factory=_Rate)
    ended: _Rate = attrs.field(factory=_Rate)
    delayed: _Rate = attrs.field(factory=_Rate)
    reported: _Rate = attrs.field(factory=_build_fill_rate)
    full: _Rate = attrs.field(factory=_build_fill_rate)
    shared: ServiceRates | None = None
    shared_at: float = 0.0


class CustomerRates:
    """Rates of work by service and customer, at this instance and in the mean of several."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def record_asked(
        self,
        service: str,
        customer: str,
        work: float,
        now: float,
        urgency: int = 0,
        returned: bool = False,
    ) -> None:
        """Record that a customer asks for work, whether or not it gets it."""
        known = self._service(service)
        known.requests.add(1.0, now)
        asked = known.asked.setdefault((urgency, customer), _Asked())
        asked.all.add(work, now)
        if returned:
            asked.returned.add(work, now)

    def record_ended(
        self, service: str, served_work: float, delay_ratio: float, now: float
    ) -> None:
        """Record that a server has answered a request or turned it away.

        Args:
            service: The service.
            served_work: Work of the request; 0 if it was turned away.
            delay_ratio: Time to the answer, or to the first event of a stream, as a multiple of the
                latency target.
            now: Monotonic time in seconds.
        """
        known = self._service(service)
        known.served.add(served_work, now)
        known.ended.add(1.0, now)
        known.delayed.add(min(delay_ratio, MAX_DELAY_RATIO), now)

    def record_report(self, service: str, is_full: bool, now: float) -> None:
        """Record whether a load report shows a server without free slots."""
        known = self._service(service)
        known.reported.add(1.0, now)
        known.full.add(float(is_full), now)

    def own(self, service: str, urgency: int, customer: str, now: float) -> OwnRates:
        """Return what a customer asks of this instance in one class."""
        known = self._services.get(service)
        asked = None if known is None else known.asked.get((urgency, customer))
        if asked is None:
            return OwnRates(0.0, 0.0)
        return OwnRates(asked.all.sum(now), asked.returned.sum(now))

    def rates(self, service: str, now: float) -> ServiceRates | None:
        """Return the rates of a service; None if too little is known to compare customers."""
        known = self._services.get(service)
        if known is None:
            return None
        if known.shared is not None and now - known.shared_at <= SHARED_MAX_AGE_S:
            return known.shared
        if known.requests.sum(now) < MIN_REQUESTS:
            return None
        sums = self._sums(known, now)
        return _read_rates(sums)

    def to_share(self, now: float) -> dict[str, float]:
        """Return this instance's sums in the form in which they are passed on."""
        shared = {
            f"{kind}{SEPARATOR}{service}{SEPARATOR}{customer}": round(value, 3)
            for service, known in self._services.items()
            for (kind, customer), value in self._sums(known, now).items()
        }
        # Sums without a customer are few, and the others mean nothing without them.
        largest = sorted(
            shared, key=lambda key: (key.endswith(SEPARATOR), shared[key]), reverse=True
        )
        return {key: shared[key] for key in largest[:MAX_SHARED_SUMS] if shared[key] > 0}

    def set_shared(self, means: Mapping[str, float], now: float) -> None:
        """Set the mean of `to_share` over several instances; nothing changes if there is none.

        Values that no sum can have, such as negative ones, are ignored.
        """
        services: dict[str, dict[tuple[str, str], float]] = {}
        for key, value in means.items():
            kind, _, rest = key.partition(SEPARATOR)
            service, _, customer = rest.partition(SEPARATOR)
            if 0.0 <= value < math.inf:
                services.setdefault(service, {})[kind, customer] = value
        for service, sums in services.items():
            known = self._service(service)
            known.shared = _read_rates(sums)
            known.shared_at = now

    def _service(self, service: str) -> _Service:
        return self._services.setdefault(service, _Service())

    def _sums(self, known: _Service, now: float) -> dict[tuple[str, str], float]:
        sums = {
            (SERVED, ""): known.served.sum(now),
            (ENDED, ""): known.ended.sum(now),
            (DELAYED, ""): known.delayed.sum(now),
            (REPORTED, ""): known.reported.sum(now),
            (FULL, ""): known.full.sum(now),
        }
        for (urgency, customer), asked in list(known.asked.items()):
            work = asked.all.sum(now)
            if work < FORGOTTEN_WORK:
                del known.asked[urgency, customer]
                continue
            sums[ASKED, customer] = sums.get((ASKED, customer), 0.0) + work
            if urgency:
                sums[f"{CLASS}{urgency}", customer] = work
        return sums


def _read_rates(sums: Mapping[tuple[str, str], float]) -> ServiceRates:
    asked = {(0, customer): value for (kind, customer), value in sums.items() if kind == ASKED}
    for (kind, customer), value in sums.items():
        urgency = kind.removeprefix(CLASS)
        if kind.startswith(CLASS) and urgency.isdecimal():
            asked[int(urgency), customer] = value
            asked[0, customer] = asked.get((0, customer), value) - value
    # A difference of two sums that were rounded is not exactly 0.
    asked = {key: value for key, value in asked.items() if value > 2 * FORGOTTEN_WORK}
    return ServiceRates(
        asked,
        sums.get((SERVED, ""), 0.0),
        _ratio(sums, DELAYED, ENDED),
        _ratio(sums, FULL, REPORTED, MIN_REPORTED),
    )


def _ratio(sums: Mapping[tuple[str, str], float], kind: str, of: str, least: float = 0.0) -> float:
    number = sums.get((of, ""), 0.0)
    return sums.get((kind, ""), 0.0) / number if number > least else 0.0
