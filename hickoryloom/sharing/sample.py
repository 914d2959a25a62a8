"""Samples of what single instances know, which readers and followers combine.

One instance of a large fleet sends too few requests to estimate the load of all from its own. Each
component registers a named sample: what an instance passes on, how a reader combines what several
instances pass on, and what becomes of the result. The name is that of the field in `Poll` and
`ViewUpdate`. This module performs no I/O.
"""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import logbook
from result import Err, Ok, Result

from hickoryloom.contention import Contention
from hickoryloom.logs import log_event
from hickoryloom.placing import (
    SPEED_INTERVAL_S,
    LearnedSpeed,
    Placer,
    SpeedSamples,
    read_reports,
    read_speeds,
)
from hickoryloom.placing.stated_number import is_finite_number

__all__ = ["LoadSample", "Sample", "SampleSet", "build_samples", "register_sample"]

MAX_AGE_S = 3.0
"""Age up to which an instance's figures count: a few polls."""

MAX_SESSIONS = 48
"""Number of session rates that a follower gets; the most frequent ones need several engines."""

MAX_LOG_KEYS = 64
"""Senders of malformed samples that are remembered, each of which is logged once."""

log = logbook.Logger("hickoryloom.sharing")


@attrs.define
class LoadSample:
    """The latest loads of each instance, by service."""

    _loads: dict[str, tuple[float, Mapping[str, float]]] = attrs.field(factory=dict)

    def record(self, key: str, loads: Mapping[str, float], now: float) -> None:
        """Record the figures of one instance."""
        self._loads[key] = (now, loads)

    def mean(self, now: float) -> dict[str, float]:
        """Return the mean load of an instance, by service."""
        for key in [key for key, (at, _) in self._loads.items() if now - at > MAX_AGE_S]:
            del self._loads[key]
        total: dict[str, float] = {}
        for _, loads in self._loads.values():
            for service, load in loads.items():
                total[service] = total.get(service, 0.0) + load
        return {service: round(sum_ / len(self._loads), 4) for service, sum_ in total.items()}

    def highest(self, now: float, number: int) -> dict[str, float]:
        """Return the highest of the mean loads."""
        means = self.mean(now)
        return {key: means[key] for key in heapq.nlargest(number, means, key=means.__getitem__)}


class Sample(ABC):
    """One named sample of an instance, as a follower and as a reader.

    Attributes:
        missing: What stands for the field in a message without it.
    """

    missing: Any = None

    @abstractmethod
    def to_send(self, peer: str, now: float) -> Any:
        """Return the JSON value for a reader; None for no field."""

    @abstractmethod
    def read(self, value: Any) -> Result[Any, str]:
        """Return what a JSON value means; an error message if it is malformed."""

    @abstractmethod
    def combine(self, peer: str, value: Any, now: float) -> Any:
        """Record the value of a follower and apply the combined one to this instance.

        Args:
            peer: Key of the follower.
            value: What `read` has returned; None for a malformed one.
            now: Monotonic time in seconds.

        Returns:
            The JSON value of the combination for the follower; None for no field.
        """

    @abstractmethod
    def apply(self, peer: str, value: Any, sent_at: float, now: float) -> None:
        """Apply the combined value of a reader to this instance.

        Args:
            peer: Key of the reader.
            value: What `read` has returned; None for a malformed one.
            sent_at: Monotonic time at which the poll was sent, in seconds.
            now: Monotonic time in seconds.
        """


class MeanSample(Sample):
    """Figures by name, of which all instances get the mean.

    Args:
        figures: Returns the figures of this instance.
        set_mean: Takes the mean over several instances.
        is_on: Whether the figures are exchanged; otherwise the field is empty.
        number: Number of figures in the mean, the highest first; None for all.
    """

    def __init__(
        self,
        figures: Callable[[float], dict[str, float]],
        set_mean: Callable[[Mapping[str, float], float], None],
        is_on: bool = True,
        number: int | None = None,
    ) -> None:
        self.missing = {}
        self._figures = figures
        self._set_mean = set_mean
        self._is_on = is_on
        self._number = number
        self._sample = LoadSample()

    def to_send(self, peer: str, now: float) -> dict[str, float]:
        """Return the figures of this instance."""
        return self._figures(now)

    def read(self, value: Any) -> Result[dict[str, float], str]:
        """Return the figures; an error message unless all of them are finite numbers."""
        if not isinstance(value, dict):
            return Err("no object")
        if not all(is_finite_number(figure) for figure in value.values()):
            return Err("a figure is no finite number")
        return Ok({name: float(figure) for name, figure in value.items()})

    def combine(self, peer: str, value: Any, now: float) -> dict[str, float]:
        """Record the figures of a follower and return the mean."""
        if not self._is_on:
            return {}
        if value is not None:
            self._sample.record(peer, value, now)
        self._sample.record("", self._figures(now), now)
        if self._number is None:
            means = self._sample.mean(now)
        else:
            means = self._sample.highest(now, self._number)
        self._set_mean(means, now)
        return means

    def apply(self, peer: str, value: Any, sent_at: float, now: float) -> None:
        """Set the mean of a reader."""
        if value is not None:
            self._set_mean(value, now)


class ReportSample(Sample):
    """The newest load report of each engine, which each instance is sent once.

    The field is missing where nothing is shared, and in the update for a follower that has sent
    none, since a follower of the previous version does not read it.

    Args:
        placer: Provides and takes load reports.
    """

    def __init__(self, placer: Placer) -> None:
        self._placer = placer
        self._source = ""

    def to_send(self, peer: str, now: float) -> list[Any] | None:
        """Return the reports that a reader lacks."""
        if not self._placer.shares_reports():
            return None
        return [report.encode() for report in self._placer.reports.pending(peer, now)]

    def read(self, value: Any) -> Result[Any, str]:
        """Return the reports; an error message if any of them is malformed."""
        return read_reports(value)

    def combine(self, peer: str, value: Any, now: float) -> list[Any] | None:
        """Record the reports of a follower and return those that it lacks."""
        if value is None:
            return None
        self._placer.apply_shared_reports(peer, value, now)
        reports = self.to_send(peer, now)
        self._placer.reports.confirm(peer)
        return reports

    def apply(self, peer: str, value: Any, sent_at: float, now: float) -> None:
        """Apply the reports of a reader, whose ages count from before the poll was sent."""
        self._placer.reports.confirm(peer)
        if value is None:
            return
        if value and peer != self._source:
            self._source = peer
            log_event(log, "load-reports-shared", reader=peer, reports=len(value))
        self._placer.apply_shared_reports(peer, value, sent_at)


class SpeedSample(Sample):
    """Learned speeds of servers, which a follower exchanges from time to time.

    The field is missing in other polls, and in the update for a poll without it.

    Args:
        placer: Provides and takes learned speeds.
    """

    def __init__(self, placer: Placer) -> None:
        self._placer = placer
        self._samples = SpeedSamples()
        self._peer = ""
        self._due_at = float("-inf")

    def to_send(self, peer: str, now: float) -> list[Any] | None:
        """Return the learned speeds if they are due, or if the reader is another one."""
        if not self._placer.shares_reports() or (peer == self._peer and now < self._due_at):
            return None
        self._peer, self._due_at = peer, now + SPEED_INTERVAL_S
        return [learned.encode() for learned in self._placer.learned_speeds()]

    def read(self, value: Any) -> Result[tuple[LearnedSpeed, ...], str]:
        """Return the speeds; an error message if any of them is malformed."""
        return read_speeds(value)

    def combine(self, peer: str, value: Any, now: float) -> list[Any] | None:
        """Record the speeds of a follower and return the means."""
        if value is None or not self._placer.shares_reports():
            return None
        self._samples.record(peer, value, now)
        self._samples.record("", self._placer.learned_speeds(), now)
        means = self._samples.mean(now)
        self._placer.set_mean_speeds(means)
        return [learned.encode() for learned in means]

    def apply(self, peer: str, value: Any, sent_at: float, now: float) -> None:
        """Set the means of a reader."""
        if value is not None:
            self._placer.set_mean_speeds(value)


Factory = Callable[[Placer, Contention], Sample]

_factories: dict[str, Factory] = {}


def register_sample(name: str) -> Callable[[Factory], Factory]:
    """Return a decorator that registers the factory of a sample under its name on the wire."""

    def register(factory: Factory) -> Factory:
        _factories[name] = factory
        return factory

    return register


class SampleSet:
    """All samples of one instance, in one of its roles.

    Args:
        samples: Samples by their names on the wire.
    """

    def __init__(self, samples: Mapping[str, Sample]) -> None:
        self._samples = samples
        self._malformed: dict[tuple[str, str], None] = {}

    def to_send(self, peer: str, now: float) -> dict[str, Any]:
        """Return the fields of a poll."""
        values = {name: sample.to_send(peer, now) for name, sample in self._samples.items()}
        return {name: value for name, value in values.items() if value is not None}

    def combine(self, peer: str, fields: Mapping[str, Any], now: float) -> dict[str, Any]:
        """Record the fields of a poll and return those of the update."""
        values = {
            name: sample.combine(peer, self._read(name, peer, fields), now)
            for name, sample in self._samples.items()
        }
        return {name: value for name, value in values.items() if value is not None}

    def apply(self, peer: str, fields: Mapping[str, Any], sent_at: float, now: float) -> None:
        """Apply the fields of an update."""
        for name, sample in self._samples.items():
            sample.apply(peer, self._read(name, peer, fields), sent_at, now)

    def _read(self, name: str, peer: str, fields: Mapping[str, Any]) -> Any:
        """Return the value of a field; None if it is malformed."""
        if name not in fields:
            return self._samples[name].missing
        value = self._samples[name].read(fields[name])
        sender = (name, peer)
        if isinstance(value, Ok):
            self._malformed.pop(sender, None)
            return value.ok_value
        if sender not in self._malformed and len(self._malformed) < MAX_LOG_KEYS:
            self._malformed[sender] = None
            log_event(log, "sample-malformed", sample=name, peer=peer, detail=value.err_value)
        return None


def build_samples(placer: Placer, contention: Contention) -> SampleSet:
    """Return a set of all registered samples."""
    return SampleSet({name: factory(placer, contention) for name, factory in _factories.items()})


@register_sample("loads")
def _build_loads(placer: Placer, contention: Contention) -> Sample:
    """Return the numbers of engines that short requests fill, by service."""
    return MeanSample(placer.short_prompt_load, placer.set_mean_short_prompt_load)


@register_sample("customer_work")
def _build_customer_work(placer: Placer, contention: Contention) -> Sample:
    """Return the work that customers ask for and get."""
    return MeanSample(contention.to_share, contention.set_shared, contention.is_on)


@register_sample("sessions")
def _build_sessions(placer: Placer, contention: Contention) -> Sample:
    """Return the rates of the most frequent sessions, per second, by service and session."""
    return MeanSample(placer.session_rates, placer.set_mean_session_rates, number=MAX_SESSIONS)


@register_sample("reports")
def _build_reports(placer: Placer, contention: Contention) -> Sample:
    """Return the load reports of engines."""
    return ReportSample(placer)


@register_sample("speeds")
def _build_speeds(placer: Placer, contention: Contention) -> Sample:
    """Return the learned speeds of servers."""
    return SpeedSample(placer)
