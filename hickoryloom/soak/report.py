"""The report of a soak run."""

from __future__ import annotations

from collections import Counter

import attrs

from hickoryloom.soak.promises import PROMISES
from hickoryloom.soak.record import Record

__all__ = ["SoakReport", "render_report"]

MAX_VIOLATIONS_SHOWN = 5
"""Maximum number of violations shown for each broken promise."""

NOT_EXERCISED = (
    "the time of day (it can't be set without rights over the machine)",
    "lost packets (the proxy works on connections)",
    "storage of the instances (they have none)",
)


@attrs.frozen
class SoakReport:
    """The result of one run.

    Attributes:
        seed: Seed of the run.
        seconds: Duration of the traffic.
        instances: Number of instances, each with one process under test.
        record: Observations of the run.
        broken: Violations of each broken promise, by its name.
        undrawn_faults: Names of the faults that the seed did not draw.
    """

    seed: int
    seconds: float
    instances: int
    record: Record
    broken: dict[str, list[str]]
    undrawn_faults: tuple[str, ...]


def render_report(report: SoakReport) -> str:
    """Return the report as text."""
    record = report.record
    statuses = Counter(answer.status for answer in record.answers.values())
    cut = sum(1 for answer in record.answers.values() if answer.status and not answer.whole)
    faults = ", ".join(f"{kind} {number}" for kind, number in sorted(record.faults.items()))
    lines = [
        f"seed {report.seed}: {report.seconds:g} s, {report.instances} instances",
        f"faults injected: {sum(record.faults.values())} ({faults})",
        f"requests: {len(record.calls)}; answers by status: "
        + ", ".join(f"{status or 'none'} {number}" for status, number in sorted(statuses.items()))
        + f"; cut short {cut}",
        f"runs at backend servers: {sum(1 for run in record.runs if not run.rejected)}; "
        f"rejected there: {sum(1 for run in record.runs if run.rejected)}; "
        f"usage reports: {len(record.reports)}; duty calls: {len(record.terms)}",
        f"promises checked: {len(PROMISES)}; broken: {len(report.broken)}",
    ]
    lines.append(_count_unanswered(record))
    for name, violations in report.broken.items():
        lines.append(f"BROKEN: {name} ({len(violations)})")
        lines += [f"  {violation}" for violation in violations[:MAX_VIOLATIONS_SHOWN]]
    missing = [*NOT_EXERCISED, *(f"fault {kind} (not drawn)" for kind in report.undrawn_faults)]
    lines.append("not exercised: " + "; ".join(missing))
    return "\n".join(lines)


def _count_unanswered(record: Record) -> str:
    """Return how many requests got no complete response, by what the instances did with them."""
    runs = record.accepted_runs()
    kinds: Counter[str] = Counter()
    for answer in record.unanswered():
        id = answer.call.id
        if answer.refused:
            kinds["no listener"] += 1
        elif id in runs or id in record.log_lines:
            kinds["read"] += 1
        else:
            kinds[f"closed unread ({answer.detail.partition(':')[0]})"] += 1
    counts = ", ".join(f"{kind} {number}" for kind, number in sorted(kinds.items()))
    return f"without a complete answer: {counts or 'none'}"
