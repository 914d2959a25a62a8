"""All observations of a soak run, which the promises are checked against."""

from __future__ import annotations

import attrs

from hickoryloom.soak.messages import (
    ALL_SUBJECTS,
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
    """Observations of callers, backend servers and the platform; times are monotonic seconds.

    Attributes:
        bounds: Bounds that the promises refer to.
        calls: Requests by id.
        answers: Final responses by request id.
        runs: Requests that backend servers began or rejected, in order.
        reports: Usage reports that the platform accepted.
        terms: Holder and term of each duty call that the platform accepted, in order.
        disturbances: Periods during which a fault was active.
        withdrawn: Time at which a key's withdrawal was acknowledged, by key.
        leaving: Time at which a backend server's draining was acknowledged, by its id.
        route_removals: Periods during which the extra route was certainly removed.
        unexpected_exits: Name and exit code of processes that exited unasked or with an error.
        late_stops: Names of processes that did not exit in time after the request to stop.
        log_lines: Log lines of instances about requests without a complete response, by id.
        only_planned_work: Whether the run has no other faults than planned work.
        faults: Number of injected faults by kind.
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
    route_removals: list[tuple[float, float]] = attrs.field(factory=list)
    unexpected_exits: list[tuple[str, int]] = attrs.field(factory=list)
    late_stops: list[str] = attrs.field(factory=list)
    log_lines: dict[str, list[str]] = attrs.field(factory=dict)
    only_planned_work: bool = False
    faults: dict[str, int] = attrs.field(factory=dict)
    last_fault_ended: float = 0.0

    def accepted_runs(self) -> dict[str, list[Run]]:
        """Return the runs that were not rejected, by request id."""
        accepted: dict[str, list[Run]] = {}
        for run in self.runs:
            if not run.rejected:
                accepted.setdefault(run.call_id, []).append(run)
        return accepted

    def unanswered(self) -> list[Answer]:
        """Return the requests whose connection ended without a complete response."""
        return [answer for answer in self.answers.values() if not answer.whole]

    def is_undisturbed(
        self, subject: str, since: float, until: float, ignored_faults: tuple[str, ...] = ()
    ) -> bool:
        """Return whether no fault affected an instance or backend server between two times.

        Args:
            subject: Name of the instance or id of the backend server.
            since: Monotonic time.
            until: Monotonic time.
            ignored_faults: Names of faults that are disregarded.
        """
        return not any(
            disturbance.subject in (subject, ALL_SUBJECTS)
            and disturbance.fault not in ignored_faults
            and disturbance.began <= until
            and disturbance.ended >= since
            for disturbance in self.disturbances
        )
