"""Summary table of the demo, one row per request class."""

from __future__ import annotations

from hickoryloom.demo.deployment import Deployment
from hickoryloom.entry import ClassSummary
from hickoryloom.tables import render_table

__all__ = ["render_summary"]

HEADINGS = ("class", "tier", "met", "missed", "refused", "first token p95", "answer p95")


def render_summary(deployment: Deployment) -> str:
    """Render a table of the results and latencies of the requests of each class."""
    rows = []
    for request_class in sorted(
        deployment.documents.classes.values(),
        key=lambda request_class: (request_class.tier, request_class.name),
    ):
        summaries = [entry.summarize_class(request_class.name) for entry in deployment.entries]
        rows.append(_row(request_class.name, request_class.tier, summaries))
    return render_table(HEADINGS, rows, indent="  ")


def _row(name: str, tier: int, summaries: list[ClassSummary]) -> tuple[str, ...]:
    return (
        name,
        str(tier),
        str(sum(summary.attainment.met for summary in summaries)),
        str(sum(summary.attainment.missed for summary in summaries)),
        str(sum(summary.attainment.refused for summary in summaries)),
        _format_seconds(max(summary.first_token_p95_s for summary in summaries)),
        _format_seconds(max(summary.answer_p95_s for summary in summaries)),
    )


def _format_seconds(value: float) -> str:
    return f"{value:.3f} s" if value else "-"
