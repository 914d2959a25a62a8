"""Structured logging: one line of key=value pairs per event."""

from __future__ import annotations

import json
import os
import sys
import time
from typing import Any

import logbook

__all__ = ["RateLimitedHandler", "configure_rate_limited_logging", "configure_logging", "log_event"]

MAX_LINES_PER_S = 500
"""Maximum lines per second; a request logs two or three, an instance serves a hundred a second."""

BARE_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,"
)


def log_event(log: logbook.Logger, event: str, **fields: Any) -> None:
    """Log one event at level info as `event=... key=value ...`.

    Args:
        log: The module's logger.
        event: Name of the event, with hyphens between words.
        **fields: Values; None is omitted. They must never contain a caller's key.
    """
    pairs = [f"event={event}"]
    pairs += [f"{name}={_format(value)}" for name, value in fields.items() if value is not None]
    log.info("{}", " ".join(pairs))


def configure_logging(level: str = "INFO") -> None:
    """Write all log records to standard error, one line each.

    Args:
        level: Lowest level to write, by its logbook name.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.format_string = (
        "time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} "
        "logger={record.channel} {record.message}"
    )
    handler.push_application()


class RateLimitedHandler(logbook.Handler):
    """Writes lines to a file descriptor, at a limited rate and without blocking.

    A line that can't be written at once or exceeds the rate limit is dropped. The next written line
    contains the number of dropped lines.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking mode.
        lines_per_s: Maximum number of lines per second.
    """

    def __init__(self, descriptor: int, lines_per_s: int = MAX_LINES_PER_S) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._current_second = 0
        self._line_count = 0
        self._left_out = 0
        self._remainder = b""

    @property
    def left_out(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._left_out

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._line_count = second, 0
        if self._line_count >= self._lines_per_s or not self._write_remainder():
            self._left_out += 1
            return
        self._line_count += 1
        suffix = f" left_out={self._left_out}" if self._left_out else ""
        line = (
            f"time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} "
            f"logger={record.channel} {record.message}{suffix}\n"
        ).encode()
        self._left_out = 0
        self._remainder = line
        self._write_remainder(new_line=True)

    def _write_remainder(self, new_line: bool = False) -> bool:
        """Write the rest of the last line; return whether it is complete."""
        if not self._remainder:
            return True
        try:
            written = os.write(self._descriptor, self._remainder)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, and there is no other place to report this.
            self._remainder = b""
            return False
        if new_line and not written:
            self._left_out += 1
            self._remainder = b""
            return False
        self._remainder = self._remainder[written:]
        return not self._remainder


def configure_rate_limited_logging() -> None:
    """Write all log records to standard output, one line each, without blocking on the reader."""
    RateLimitedHandler(sys.stdout.fileno()).push_application()


def _format(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and BARE_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)
