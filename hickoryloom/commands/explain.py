"""`hickoryloom explain`."""

from __future__ import annotations

import argparse

from hickoryloom.commands.registry import command
from hickoryloom.exceptions import UnavailableError


@command("explain", "Not built yet.", "hickoryloom explain")
def run(options: argparse.Namespace) -> None:
    """Fail until the verb is built."""
    raise UnavailableError("not built yet")
