"""Periods in which several software versions of a service are listed in the store.

A period begins when a second version is listed. Every stream that begins at another version than
the one that was listed alone before, its base, is preceded by a journal of its process. A stream
that no process can have begun at another version therefore began at the base.

This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

__all__ = ["Period", "next_period", "read_period", "write_period"]

FIELD = "period"


@attrs.frozen
class Period:
    """A time in which several versions of a service are listed.

    Attributes:
        id: Unique id; empty if it is not certain.
        base: Version that was listed alone before; empty if it is not certain.
    """

    id: str
    base: str


UNCERTAIN = Period("", "")


def read_period(value: Mapping[str, Any], names: frozenset[str], era: int) -> Period | None:
    """Return the period that a list of versions tells; None if it has less than two versions.

    A period is not certain if the versions have changed without it, as processes of earlier
    versions of the gateway change them, or if the store has returned from an older copy since.

    Args:
        value: Value of the object.
        names: The listed versions.
        era: Known era of the store.
    """
    if len(names) < 2:
        return None
    told = value.get(FIELD)
    if not isinstance(told, dict) or told.get("of") != sorted(names) or told.get("era") != era:
        return UNCERTAIN
    id, base = told.get("id"), told.get("base")
    return Period(id, base) if isinstance(id, str) and isinstance(base, str) else UNCERTAIN


def next_period(known: Period | None, before: frozenset[str], id: str, is_certain: bool) -> Period:
    """Return the period of a list that is about to get several versions.

    Args:
        known: Period of the list as it is; None if it has less than two versions.
        before: Versions of the list as it is.
        id: Id of a new period.
        is_certain: Whether all streams of late began at the listed versions.
    """
    if known is not None and known.id and is_certain:
        return known
    base = next(iter(before)) if len(before) == 1 and is_certain else ""
    return Period(id, base)


def write_period(
    value: Mapping[str, Any], names: frozenset[str], period: Period | None, era: int
) -> dict[str, Any]:
    """Return the value of a list with its period, or without one."""
    others = {name: field for name, field in value.items() if name != FIELD}
    if period is None:
        return others
    return {**others, FIELD: {**attrs.asdict(period), "of": sorted(names), "era": era}}
