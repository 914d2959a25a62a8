"""`hickoryloom check`."""

from __future__ import annotations

import argparse

from hickoryloom.commands.registry import command
from hickoryloom.exceptions import UnavailableError


@command("check", "Not built yet.", "hickoryloom check")
def run(options: argparse.Namespace) -> None:
    """Fail until the verb is built."""
    raise UnavailableError("not built yet")
