"""Usage totals per customer, service and request class, and their JSON form."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from typing import Any

from hickoryloom.usage.messages import UsageKey, UsageTotals

__all__ = ["Figures", "add_figures", "digest_rows", "from_rows", "subtract_figures", "to_rows"]

Figures = dict[UsageKey, UsageTotals]

ZERO = UsageTotals()


def add_figures(left: Figures, right: Figures) -> Figures:
    """Return the sums of both, key by key."""
    total = dict(left)
    for key, totals in right.items():
        total[key] = total.get(key, ZERO).plus(totals)
    return total


def subtract_figures(left: Figures, right: Figures) -> Figures:
    """Return `left` minus `right`, omitting keys whose difference is zero."""
    difference = {key: totals.minus(right.get(key, ZERO)) for key, totals in left.items()}
    return {key: totals for key, totals in difference.items() if totals != ZERO}


def to_rows(figures: Figures) -> list[list[Any]]:
    """Return sorted rows `[customer, service, class, requests, prompt tokens, output tokens]`."""
    rows = [
        [
            key.customer,
            key.service,
            key.request_class,
            totals.requests,
            totals.prompt_tokens,
            totals.output_tokens,
        ]
        for key, totals in figures.items()
    ]
    return sorted(rows)


def from_rows(rows: Iterable[list[Any]]) -> Figures:
    """Return the figures in `rows`, adding up rows with the same key.

    Raises:
        ValueError: A row is malformed.
    """
    figures: Figures = {}
    for row in rows:
        customer, service, request_class, requests, prompt_tokens, output_tokens = row
        key = UsageKey(str(customer), str(service), str(request_class))
        totals = UsageTotals(int(requests), int(prompt_tokens), int(output_tokens))
        figures[key] = figures.get(key, ZERO).plus(totals)
    return figures


def digest_rows(rows: list[list[Any]]) -> str:
    """Return the SHA-256 digest of `rows` in hexadecimal."""
    text = json.dumps(rows, separators=(",", ":"), ensure_ascii=True)
    return hashlib.sha256(text.encode()).hexdigest()
