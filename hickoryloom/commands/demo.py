"""`hickoryloom demo`."""

from __future__ import annotations

import argparse

from hickoryloom.commands.registry import command
from hickoryloom.exceptions import UnavailableError


@command("demo", "Not built yet.", "hickoryloom demo")
def run(options: argparse.Namespace) -> None:
    """Fail until the verb is built."""
    raise UnavailableError("not built yet")
