"""Experiments and the JSON files that define them."""

from __future__ import annotations

import json
from pathlib import Path

import attrs
import cattrs

from hickoryloom.configuration import Customer, Pool, PoolKind, RequestClass, Snapshot
from hickoryloom.exceptions import UsageError

__all__ = [
    "Burst",
    "ClassLoad",
    "CustomerLoad",
    "Experiment",
    "Loss",
    "PoolLoad",
    "ServerGroup",
    "read_experiment",
]


@attrs.frozen
class ServerGroup:
    """Identical backend servers in one failure domain."""

    domain: str
    count: int
    cheap: bool = False
    price: float = 1.0


@attrs.frozen
class PoolLoad:
    """A pool with its backend servers and the speed of one slot."""

    name: str
    groups: tuple[ServerGroup, ...]
    slots: int = 8
    tokens_per_s: float = 40.0
    prompt_tokens_per_s: float = 4000.0


@attrs.frozen
class ClassLoad:
    """A request class and its offered load.

    Attributes:
        name: Name of the class.
        pool: Pool that serves it.
        tier: Tier; 1 is the highest.
        load: Offered load as a fraction of the pool's capacity.
        first_token_ms: Target time from arrival to the first token.
        answer_ms: Target time from arrival to the complete answer; 0 for none.
        reserve: Fraction of the pool that is reserved for the class.
        tokens: Median answer length.
        spread: Standard deviation of the logarithm of the answer length.
        prompt_tokens: Length of the prompt.
        resumable: Whether an answer may be continued by another backend server.
    """

    name: str
    pool: str
    tier: int
    load: float
    first_token_ms: int
    answer_ms: int = 0
    reserve: float = 0.0
    tokens: int = 200
    spread: float = 0.8
    prompt_tokens: int = 1000
    resumable: bool = True


@attrs.frozen
class CustomerLoad:
    """A customer and its share of the arrivals."""

    name: str
    part: float
    weight: float = 1.0
    tokens_per_minute: int = 0
    max_in_flight: int = 0


@attrs.frozen
class Burst:
    """A temporary increase of the arrival rate, optionally of one class or customer only."""

    start_s: float
    end_s: float
    times: float
    request_class: str = ""
    customer: str = ""


@attrs.frozen
class Loss:
    """A simultaneous loss of all backend servers that match."""

    at_s: float
    domain: str = ""
    cheap_only: bool = False
    back_s: float = 0.0


@attrs.frozen
class Experiment:
    """One experiment.

    Attributes:
        name: Unique name.
        seed: Random seed of arrivals, answer lengths, message delays and message losses.
        duration_s: Seconds during which requests arrive.
        entries: Number of entries.
        pools: Pools.
        classes: Request classes.
        customers: Customers.
        delay_s: One-way delay between entries.
        loss: Fraction of messages between entries that are lost.
        report_lag_s: Age of load reports on arrival.
        retries: Number of times that a caller retries.
        patience: Multiple of the first-token target after which a caller leaves.
        policies: Names of the policies to compare; the first is the one that entries use.
        bursts: Bursts of arrivals.
        losses: Losses of backend servers.
        slow: Factors by which the first backend servers are slower than their nominal speed.
    """

    name: str
    seed: int
    duration_s: float
    entries: int
    pools: tuple[PoolLoad, ...]
    classes: tuple[ClassLoad, ...]
    customers: tuple[CustomerLoad, ...]
    delay_s: float = 0.001
    loss: float = 0.0
    report_lag_s: float = 0.5
    retries: int = 2
    patience: float = 4.0
    policies: tuple[str, ...] = ("chosen",)
    bursts: tuple[Burst, ...] = ()
    losses: tuple[Loss, ...] = ()
    slow: tuple[float, ...] = ()

    def snapshot(self) -> Snapshot:
        """Return the configuration snapshot for the policies."""
        return Snapshot(
            generation=1,
            pools={
                pool.name: Pool(
                    pool.name, PoolKind.ENGINE, slots=pool.slots, tokens_per_s=pool.tokens_per_s
                )
                for pool in self.pools
            },
            classes={
                c.name: RequestClass(
                    c.name, c.tier, c.first_token_ms, 0, c.answer_ms, c.reserve, c.resumable
                )
                for c in self.classes
            },
            customers={
                c.name: Customer(
                    c.name,
                    tuple(request_class.name for request_class in self.classes),
                    c.weight,
                    c.tokens_per_minute,
                    c.max_in_flight,
                )
                for c in self.customers
            },
        )


def read_experiment(path: Path) -> Experiment:
    """Read an experiment from a JSON file.

    Raises:
        UsageError: The file is not a valid experiment; the message states why.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return converter.structure(json.loads(path.read_text()), Experiment)
    except (OSError, ValueError) as error:
        raise UsageError(f"{path}: {error}") from error
    except Exception as error:
        faults = "; ".join(cattrs.transform_error(error))
        raise UsageError(f"{path}: {faults}") from error
