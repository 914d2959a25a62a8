"""Converts the result of a configuration change to a value or an exception with an exit code."""

from __future__ import annotations

from typing import TypeVar

from result import Result

from hickoryloom.config import faults_error
from hickoryloom.configuration import ChangeError, ChangeErrorKind
from hickoryloom.exceptions import ConfigurationError, UnavailableError

__all__ = ["unwrap_change"]

T = TypeVar("T")


def unwrap_change(result: Result[T, ChangeError]) -> T:
    """Return the value of a successful configuration change.

    Raises:
        ConfigurationError: The change is invalid.
        UnavailableError: The change could not be applied, or it is unknown whether it was.
    """
    if result.is_ok():
        return result.unwrap()
    error = result.unwrap_err()
    if error.faults:
        raise ConfigurationError(f"{error.detail}; {faults_error(error.faults)}")
    if error.kind is ChangeErrorKind.INVALID:
        raise ConfigurationError(error.detail)
    raise UnavailableError(error.detail)
