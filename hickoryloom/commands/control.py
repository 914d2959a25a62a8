"""The `hickoryloom control` subcommand."""

from __future__ import annotations

import argparse
import os

from hickoryloom.commands.registry import command
from hickoryloom.config import load_settings
from hickoryloom.control import build_control
from hickoryloom.lifecycle import run_until_stopped
from hickoryloom.logs import configure_logging


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--settings", required=True, metavar="FILE", help="settings file in JSON")


@command(
    "control",
    "Run a control process, which orders backend servers and reports usage while it holds leases.",
    "hickoryloom control --settings control.json",
    _add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Run a control process until SIGTERM or SIGINT, then release its leases and return 0."""
    settings = load_settings(options.settings, os.environ)
    configure_logging(settings.log_level)
    return run_until_stopped(build_control(settings), settings.ready_file)
