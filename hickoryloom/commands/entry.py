"""The `hickoryloom entry` subcommand."""

from __future__ import annotations

import argparse
import os

from hickoryloom.commands.registry import command
from hickoryloom.config import load_settings
from hickoryloom.entry import build_entry
from hickoryloom.lifecycle import run_until_stopped
from hickoryloom.logs import configure_logging


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--settings", required=True, metavar="FILE", help="settings file in JSON")


@command(
    "entry",
    "Run an entry process, which serves callers; on SIGTERM it completes all requests and exits.",
    "hickoryloom entry --settings entry.json",
    _add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Run an entry process until SIGTERM or SIGINT."""
    settings = load_settings(options.settings, os.environ)
    configure_logging(settings.log_level)
    return run_until_stopped(build_entry(settings), settings.ready_file)
