"""The `hickoryloom version` subcommand."""

from __future__ import annotations

import argparse

from hickoryloom import __version__
from hickoryloom.commands.registry import command


@command("version", "Print the version of hickoryloom.", "hickoryloom version")
def run(options: argparse.Namespace) -> None:
    """Print the version of hickoryloom."""
    print(__version__)
