"""Reloads settings while the process runs."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import attrs
import logbook

from hickoryloom.exceptions import ConfigurationError
from hickoryloom.gateway.settings import GatewaySettings
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop

__all__ = ["LIVE_SETTINGS", "POSITIVE_SETTINGS", "SettingsReloader", "file_fingerprint"]

log = logbook.Logger("hickoryloom.gateway")

CHECK_INTERVAL_S = 1.0
"""Interval for checking the settings file. A change without a signal takes effect as quickly as a
configuration change must."""

MAX_ERROR_CHARS = 300
"""Maximum length of a logged error, which may quote parts of the file."""

LIVE_SETTINGS = frozenset(
    (
        "apply_s",
        "evacuation_s",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "revoke_s",
        "stop_s",
        "store_reads_per_s",
        "store_writes_per_s",
    )
)
"""Settings that a running process applies; the others take effect at the next start."""

POSITIVE_SETTINGS = frozenset(
    (
        "apply_s",
        "retry_window_s",
        "revoke_s",
        "stop_s",
        "store_reads_per_s",
        "store_writes_per_s",
    )
)
"""Live settings with which a process can't serve callers unless they are above 0."""


def file_fingerprint(path: str) -> tuple[int, int, int] | None:
    """Return the inode, size and modification time of a file; None if the file is missing.

    At least one of them changes whenever the file is written or replaced.
    """
    try:
        status = Path(path).stat()
    except OSError:
        return None
    return status.st_ino, status.st_size, status.st_mtime_ns


class SettingsReloader:
    """Reloads the settings on request and when their file has changed.

    Invalid settings are ignored, and the process keeps its current settings.

    Args:
        settings: The current settings.
        read: Reads the settings.
        file_fingerprint: Returns a value that changes whenever the file does.
        apply: Applies settings.
        read_fingerprint: The file's value from before `settings` were read.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        read: Callable[[], GatewaySettings],
        file_fingerprint: Callable[[], object],
        apply: Callable[[GatewaySettings], None],
        read_fingerprint: object,
    ) -> None:
        self._settings = settings
        self._read = read
        self._file_fingerprint = file_fingerprint
        self._apply = apply
        self._last_fingerprint = read_fingerprint
        self._loop = TaskLoop(self.check, "settings", log)

    def start(self) -> None:
        """Start checking the file for changes."""
        self._loop.start()

    def stop(self) -> None:
        """Stop checking the file."""
        self._loop.stop()

    def check(self) -> float:
        """Reload the settings if their file has changed; return the seconds to wait."""
        if self._file_fingerprint() != self._last_fingerprint:
            self.reload()
        return CHECK_INTERVAL_S

    def reload(self) -> None:
        """Read the settings and apply those that can change at run time.

        Whatever fails is logged, and the process keeps its current settings.
        """
        self._last_fingerprint = self._file_fingerprint()
        try:
            loaded = self._read()
        # Parsers raise more than they declare, such as for a date that doesn't exist.
        except Exception as error:
            log_event(log, "settings-unsound", error=_describe(error))
            return
        changed = [
            field.name
            for field in attrs.fields(GatewaySettings)
            if getattr(loaded, field.name) != getattr(self._settings, field.name)
        ]
        live = {name: getattr(loaded, name) for name in changed if name in LIVE_SETTINGS}
        unusable = [name for name in live if name in POSITIVE_SETTINGS and live[name] <= 0]
        if unusable:
            values = ", ".join(f"{name}={live[name]:g}" for name in unusable)
            log_event(log, "settings-unsound", error=f"not above 0: {values}")
            return
        if live and not self._apply_live(attrs.evolve(self._settings, **live)):
            return
        restart_only = [name for name in changed if name not in LIVE_SETTINGS]
        log_event(
            log,
            "settings-reloaded",
            in_force=",".join(live) or None,
            from_next_start=",".join(restart_only) or None,
        )

    def _apply_live(self, settings: GatewaySettings) -> bool:
        """Apply settings; restore the current ones and return False if that fails."""
        try:
            self._apply(settings)
        except Exception as error:
            log_event(log, "settings-not-applied", error=_describe(error))
            self._apply(self._settings)
            return False
        self._settings = settings
        return True


def _describe(error: Exception) -> str:
    name = "" if isinstance(error, ConfigurationError) else f"{type(error).__name__}: "
    return f"{name}{error}"[:MAX_ERROR_CHARS]
