"""All that a run of the soak has seen, for the promises to be checked against."""

from __future__ import annotations

import attrs

from hickoryloom.soak.messages import (
    EVERYTHING,
    Answer,
    Bounds,
    Call,
    Disturbance,
    DutyReport,
    Run,
)

__all__ = ["Record"]


@attrs.define
class Record:
    """What callers, backend servers and the platform have seen; times are monotonic seconds.

    Attributes:
        bounds: Bounds that the promises speak of.
        calls: Requests by id.
        answers: Final answers by the request's id.
        runs: Requests that backend servers began or rejected, in order.
        reports: Usage reports taken.
        terms: Holder and term of each duty call taken, in order.
        disturbances: Times in which something was wrong.
        withdrawn: Time at which a key's withdrawal was acknowledged, by key.
        leaving: Time at which a backend server's leaving was acknowledged, by its id.
        route_gone: Times between which the route that comes and goes was surely away.
        exits: Processes that ended though nobody asked them to: name and code.
        late_stops: Processes that were not gone in time after the request to stop.
        faults: Number of faults injected by kind.
        last_fault_ended: Time at which the last fault had ended.
    """

    bounds: Bounds
    calls: dict[str, Call] = attrs.field(factory=dict)
    answers: dict[str, Answer] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    reports: list[DutyReport] = attrs.field(factory=list)
    terms: list[tuple[str, int]] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    leaving: dict[str, float] = attrs.field(factory=dict)
    route_gone: list[tuple[float, float]] = attrs.field(factory=list)
    exits: list[tuple[str, int]] = attrs.field(factory=list)
    late_stops: list[str] = attrs.field(factory=list)
    faults: dict[str, int] = attrs.field(factory=dict)
    last_fault_ended: float = 0.0

    def runs_of(self) -> dict[str, list[Run]]:
        """Return the runs that were not rejected, by the request's id."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            if not run.rejected:
                found.setdefault(run.call_id, []).append(run)
        return found

    def calm(self, instance: str, since: float, until: float, but: tuple[str, ...] = ()) -> bool:
        """Return whether nothing disturbed an instance between two times.

        Args:
            instance: Its name.
            since: Monotonic time.
            until: Monotonic time.
            but: Faults that are looked over.
        """
        return not any(
            one.subject in (instance, EVERYTHING)
            and one.what not in but
            and one.began <= until
            and one.ended >= since
            for one in self.disturbances
        )
