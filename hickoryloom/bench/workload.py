"""Arrivals of an experiment, the same for each policy."""

from __future__ import annotations

import math
import random

import attrs

from hickoryloom.bench.experiment import Burst, ClassLoad, CustomerLoad, Experiment, PoolLoad

__all__ = ["Arrival", "build_arrivals", "service_s"]


@attrs.frozen
class Arrival:
    """One caller's request, and what its answer will be.

    Attributes:
        number: Unique number.
        at: Seconds from the start.
        entry: Entry that the balancer picks.
        request_class: Its class.
        customer: Its customer.
        tokens: Length of its answer, unknown to the policies.
        prefix: Hash of the prompt's head.
    """

    number: int
    at: float
    entry: int
    request_class: ClassLoad
    customer: CustomerLoad
    tokens: int
    prefix: str


def build_arrivals(experiment: Experiment) -> list[Arrival]:
    """Draw all arrivals of an experiment, in order of time."""
    rng = random.Random(experiment.seed)
    drawn = []
    for request_class in experiment.classes:
        drawn += _draw(experiment, request_class, rng)
    drawn.sort(key=lambda found: found.at)
    return [attrs.evolve(found, number=number) for number, found in enumerate(drawn)]


def service_s(pool: PoolLoad, request_class: ClassLoad) -> float:
    """Return the mean seconds for which a request of a class holds a slot."""
    mean_tokens = request_class.tokens * math.exp(request_class.spread**2 / 2)
    prompt_s = request_class.prompt_tokens / pool.prompt_tokens_per_s
    return prompt_s + mean_tokens / pool.tokens_per_s


def _draw(experiment: Experiment, request_class: ClassLoad, rng: random.Random) -> list[Arrival]:
    pool = next(found for found in experiment.pools if found.name == request_class.pool)
    slots = pool.slots * sum(group.count for group in pool.groups)
    rate = request_class.load * slots / service_s(pool, request_class)
    drawn = []
    for customer in experiment.customers:
        part = customer.part / sum(found.part for found in experiment.customers)
        bursts = [b for b in experiment.bursts if _concerns(b, request_class, customer)]
        peak = rate * part * max([1.0, *(b.times for b in bursts)])
        at = 0.0
        while peak and (at := at + rng.expovariate(peak)) < experiment.duration_s:
            if rng.random() * peak < rate * part * _times(bursts, at):
                drawn.append(_arrival(experiment, request_class, customer, at, rng))
    return drawn


def _concerns(burst: Burst, request_class: ClassLoad, customer: CustomerLoad) -> bool:
    return burst.request_class in ("", request_class.name) and burst.customer in (
        "",
        customer.name,
    )


def _times(bursts: list[Burst], at: float) -> float:
    return max([1.0, *(b.times for b in bursts if b.start_s <= at < b.end_s)])


def _arrival(
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
