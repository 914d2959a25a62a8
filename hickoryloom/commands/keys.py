"""`hickoryloom keys`."""

from __future__ import annotations

import argparse

from hickoryloom.commands.registry import command
from hickoryloom.exceptions import UnavailableError


@command("keys", "Not built yet.", "hickoryloom keys")
def run(options: argparse.Namespace) -> None:
    """Fail until the verb is built."""
    raise UnavailableError("not built yet")
