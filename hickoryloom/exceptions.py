"""Errors that end a command with a message and without a traceback."""

from __future__ import annotations

from typing import ClassVar

__all__ = ["ConfigurationError", "HickoryloomError", "UnavailableError", "UsageError"]


class HickoryloomError(Exception):
    """Base class of all errors that are shown to the user.

    Attributes:
        exit_code: Exit code of the process for this error.
    """

    exit_code: ClassVar[int] = 1


class UsageError(HickoryloomError):
    """The command line is invalid."""

    exit_code = 2


class ConfigurationError(HickoryloomError):
    """Settings or documents are invalid; the message lists all errors."""

    exit_code = 2


class UnavailableError(HickoryloomError):
    """An external service could not be reached or did not accept a change."""
