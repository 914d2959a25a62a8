"""Turns the outcome of a change of the configuration into a value or an exit code."""

from __future__ import annotations

from typing import TypeVar

from result import Result

from hickoryloom.config import faults_error
from hickoryloom.configuration import ChangeError, ChangeErrorKind
from hickoryloom.exceptions import ConfigurationError, UnavailableError

__all__ = ["unwrap_change"]

T = TypeVar("T")


def unwrap_change(outcome: Result[T, ChangeError]) -> T:
    """Return the value of a change that was made.

    Raises:
        ConfigurationError: The change itself is faulty.
        UnavailableError: It could not be made, or it is unknown whether it is in force.
    """
    if outcome.is_ok():
        return outcome.unwrap()
    error = outcome.unwrap_err()
    if error.faults:
        raise ConfigurationError(f"{error.detail}; {faults_error(error.faults)}")
    if error.kind is ChangeErrorKind.FAULTY:
        raise ConfigurationError(error.detail)
    raise UnavailableError(error.detail)
