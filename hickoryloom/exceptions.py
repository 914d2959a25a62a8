"""Errors that end a command with a message and without a traceback."""

from __future__ import annotations

from typing import ClassVar

__all__ = ["ConfigurationError", "HickoryloomError", "UnavailableError", "UsageError"]


class HickoryloomError(Exception):
    """Base of all errors meant for a user.

    Attributes:
        exit_code: The process exit code that goes with the error.
    """

    exit_code: ClassVar[int] = 1


class UsageError(HickoryloomError):
    """The command line was wrong."""

    exit_code = 2


class ConfigurationError(HickoryloomError):
    """Settings or documents fail their check; the message lists every fault."""

    exit_code = 2


class UnavailableError(HickoryloomError):
    """Something outside the process could not be reached or did not accept a change."""
