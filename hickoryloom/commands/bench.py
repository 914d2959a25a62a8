"""`hickoryloom bench`."""

from __future__ import annotations

import argparse

from hickoryloom.commands.registry import command
from hickoryloom.exceptions import UnavailableError


@command("bench", "Not built yet.", "hickoryloom bench")
def run(options: argparse.Namespace) -> None:
    """Fail until the verb is built."""
    raise UnavailableError("not built yet")
