"""What a soak tells at its end."""

from __future__ import annotations

from collections import Counter

import attrs

from hickoryloom.soak.promises import PROMISES
from hickoryloom.soak.record import Record

__all__ = ["SoakReport", "render_report"]

SHOWN = 5
"""Cases shown of each broken promise."""

NOT_EXERCISED = (
    "the time of day (it can't be set without rights over the machine)",
    "lost packets (the proxy works on connections)",
    "storage of the instances (they have none)",
)


@attrs.frozen
class SoakReport:
    """One run.

    Attributes:
        seed: Its seed.
        seconds: Length of its traffic.
        instances: Number of processes.
        record: All that was seen.
        broken: What breaks each broken promise.
        unused: Kinds of faults that the seed did not draw.
    """

    seed: int
    seconds: float
    instances: int
    record: Record
    broken: dict[str, list[str]]
    unused: tuple[str, ...]


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
    for name, cases in report.broken.items():
        lines.append(f"BROKEN: {name} ({len(cases)})")
        lines += [f"  {case}" for case in cases[:SHOWN]]
    missing = [*NOT_EXERCISED, *(f"fault {kind} (not drawn)" for kind in report.unused)]
    lines.append("not exercised: " + "; ".join(missing))
    return "\n".join(lines)
