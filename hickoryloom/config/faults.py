"""Faults of settings and documents, as told to whoever wrote them."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hickoryloom.exceptions import ConfigurationError

__all__ = ["Fault", "faults_error"]


@attrs.frozen
class Fault:
    """One thing that is wrong in a file.

    Attributes:
        file: Path of the file.
        key: Path of the key within the file, such as `pools.assistant.slots`; empty for the file.
        found: What stands there; never a secret.
        allowed: What may stand there.
        remedy: What to do, in the imperative.
    """

    file: str
    key: str
    found: str
    allowed: str
    remedy: str

    def __str__(self) -> str:
        place = f"{self.file}: {self.key}" if self.key else self.file
        return f"{place}: found {self.found}; allowed: {self.allowed}; {self.remedy}"


def faults_error(faults: Iterable[Fault]) -> ConfigurationError:
    """Build the error that lists every fault, one a line."""
    lines = [str(fault) for fault in faults]
    count = "1 fault" if len(lines) == 1 else f"{len(lines)} faults"
    return ConfigurationError("\n  ".join([f"{count} found:", *lines]))
