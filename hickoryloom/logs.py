"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import os
import sys
import time
from typing import Any

import logbook

__all__ = ["BoundedHandler", "configure_bounded_logging", "configure_logging", "log_event"]

MAX_LINES_PER_S = 500
"""Lines written in a second; a request takes two or three at an instance that serves a hundred."""

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


class BoundedHandler(logbook.Handler):
    """Writes lines to a file descriptor, at a bounded rate and without ever waiting.

    A line that can't be written at once, or goes over the rate, is left out; how many were left out
    is told with the next line that passes.

    Args:
        descriptor: Where lines go; it is made non-blocking.
        lines_per_s: Most lines in a second.
    """

    def __init__(self, descriptor: int, lines_per_s: int = MAX_LINES_PER_S) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines = 0
        self._left_out = 0
        self._rest = b""

    @property
    def left_out(self) -> int:
        """Lines left out since the last one that was written."""
        return self._left_out

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, or count it as left out."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        if self._lines >= self._lines_per_s or not self._write_rest():
            self._left_out += 1
            return
        self._lines += 1
        told = f" left_out={self._left_out}" if self._left_out else ""
        line = (
            f"time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} "
            f"logger={record.channel} {record.message}{told}\n"
        ).encode()
        self._left_out = 0
        self._rest = line
        self._write_rest(first=True)

    def _write_rest(self, first: bool = False) -> bool:
        """Write what is left of the last line; return whether nothing is."""
        if not self._rest:
            return True
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; there is no other place to say so.
            self._rest = b""
            return False
        if first and not written:
            self._left_out += 1
            self._rest = b""
            return False
        self._rest = self._rest[written:]
        return not self._rest


def configure_bounded_logging() -> None:
    """Send all logs to standard output, a line each, without ever waiting for the reader."""
    BoundedHandler(sys.stdout.fileno()).push_application()


def _format(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and BARE_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)
