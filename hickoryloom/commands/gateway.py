"""`hickoryloom gateway`."""

from __future__ import annotations

import argparse
import os

from hickoryloom.commands.registry import command
from hickoryloom.gateway import load_dialect
from hickoryloom.gateway.process import build_gateway
from hickoryloom.lifecycle import run_until_stopped
from hickoryloom.logs import configure_bounded_logging


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--dialect",
        default="platform",
        metavar="NAME",
        help="how store, callers and backend servers are spoken to (default: %(default)s)",
    )


@command(
    "gateway",
    "Route requests of any service; ends after SIGTERM once every request has ended.",
    "hickoryloom gateway --dialect platform",
    _add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Run a gateway process until it is asked to stop."""
    configure_bounded_logging()
    dialect = load_dialect(options.dialect)
    settings = dialect.settings(os.environ)
    return run_until_stopped(build_gateway(settings, dialect))
