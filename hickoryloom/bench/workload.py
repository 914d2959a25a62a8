"""Random arrivals of an experiment, identical for each policy."""

from __future__ import annotations

import math
import random

import attrs

from hickoryloom.bench.experiment import Burst, ClassLoad, CustomerLoad, Experiment, PoolLoad

__all__ = ["Arrival", "build_arrivals", "service_s"]


@attrs.frozen
class Arrival:
    """One caller's request and the length of its answer.

    Attributes:
        number: Unique number.
        at: Seconds since the start of the run.
        entry: Number of the entry that the load balancer picks.
        request_class: Request class.
        customer: Customer that sends the request.
        tokens: Answer length in tokens, unknown to the policies.
        prefix: Hash of the prompt prefix.
    """

    number: int
    at: float
    entry: int
    request_class: ClassLoad
    customer: CustomerLoad
    tokens: int
    prefix: str


def build_arrivals(experiment: Experiment) -> list[Arrival]:
    """Draw all arrivals of an experiment, ordered by time."""
    rng = random.Random(experiment.seed)
    arrivals = []
    for request_class in experiment.classes:
        arrivals += _draw_arrivals(experiment, request_class, rng)
    arrivals.sort(key=lambda arrival: arrival.at)
    return [attrs.evolve(arrival, number=number) for number, arrival in enumerate(arrivals)]


def service_s(pool: PoolLoad, request_class: ClassLoad) -> float:
    """Return the mean seconds for which a request of a class occupies a slot."""
    mean_tokens = request_class.tokens * math.exp(request_class.spread**2 / 2)
    prompt_s = request_class.prompt_tokens / pool.prompt_tokens_per_s
    return prompt_s + mean_tokens / pool.tokens_per_s


def _draw_arrivals(
    experiment: Experiment, request_class: ClassLoad, rng: random.Random
) -> list[Arrival]:
    pool = next(pool for pool in experiment.pools if pool.name == request_class.pool)
    slots = pool.slots * sum(group.count for group in pool.groups)
    rate = request_class.load * slots / service_s(pool, request_class)
    arrivals = []
    for customer in experiment.customers:
        share = customer.part / sum(other.part for other in experiment.customers)
        bursts = [b for b in experiment.bursts if _applies_to(b, request_class, customer)]
        peak = rate * share * max([1.0, *(b.times for b in bursts)])
        at = 0.0
        while peak and (at := at + rng.expovariate(peak)) < experiment.duration_s:
            if rng.random() * peak < rate * share * _burst_factor(bursts, at):
                arrivals.append(_draw_arrival(experiment, request_class, customer, at, rng))
    return arrivals


def _applies_to(burst: Burst, request_class: ClassLoad, customer: CustomerLoad) -> bool:
    return burst.request_class in ("", request_class.name) and burst.customer in (
        "",
        customer.name,
    )


def _burst_factor(bursts: list[Burst], at: float) -> float:
    return max([1.0, *(b.times for b in bursts if b.start_s <= at < b.end_s)])


def _draw_arrival(
    experiment: Experiment,
    request_class: ClassLoad,
    customer: CustomerLoad,
    at: float,
    rng: random.Random,
) -> Arrival:
    tokens = rng.lognormvariate(math.log(request_class.tokens), request_class.spread)
    return Arrival(
        number=0,
        at=at,
        entry=rng.randrange(experiment.entries),
        request_class=request_class,
        customer=customer,
        tokens=max(1, min(int(tokens), 20 * request_class.tokens)),
        prefix=f"{customer.name}-{rng.randrange(4)}",
    )
