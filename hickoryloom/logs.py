"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import sys
from typing import Any

import logbook

__all__ = ["configure_logging", "log_event"]

BARE_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,"
)


def log_event(log: logbook.Logger, event: str, **fields: Any) -> None:
    """Write one event at level info as `event=... key=value ...`.

    Args:
        log: The module's logger.
        event: Name of the event, with hyphens.
        **fields: Values; None is left out. Never a caller's key.
    """
    pairs = [f"event={event}"]
    pairs += [f"{name}={_format(value)}" for name, value in fields.items() if value is not None]
    log.info("{}", " ".join(pairs))


def configure_logging(level: str = "INFO") -> None:
    """Send all logs to standard error, a line each.

    Args:
        level: Lowest level written, as logbook names it.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.format_string = (
        "time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} "
        "logger={record.channel} {record.message}"
    )
    handler.push_application()


def _format(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and BARE_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)
