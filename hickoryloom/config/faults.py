"""Faults of settings and documents, as reported to the operator."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hickoryloom.exceptions import ConfigurationError

__all__ = ["Fault", "faults_error"]


@attrs.frozen
class Fault:
    """A validation error in a file.

    Attributes:
        file: Path of the file.
        key: Path of the key within the file, such as `pools.assistant.slots`; empty for the file.
        found: The value found; never a secret.
        allowed: The allowed values.
        remedy: How to fix it, in the imperative.
    """

    file: str
    key: str
    found: str
    allowed: str
    remedy: str

    def __str__(self) -> str:
        location = f"{self.file}: {self.key}" if self.key else self.file
        return f"{location}: found {self.found}; allowed: {self.allowed}; {self.remedy}"


def faults_error(faults: Iterable[Fault]) -> ConfigurationError:
    """Build the error that lists all faults, one per line."""
    lines = [str(fault) for fault in faults]
    count = "1 fault" if len(lines) == 1 else f"{len(lines)} faults"
    return ConfigurationError("\n  ".join([f"{count} found:", *lines]))
