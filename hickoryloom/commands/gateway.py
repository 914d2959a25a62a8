"""The `hickoryloom gateway` subcommand."""

from __future__ import annotations

import argparse
import os
from functools import partial

from hickoryloom.commands.registry import command
from hickoryloom.gateway import load_dialect
from hickoryloom.gateway.process import build_gateway
from hickoryloom.gateway.reloading import SettingsReloader, file_fingerprint
from hickoryloom.lifecycle import run_until_stopped
from hickoryloom.logs import configure_rate_limited_logging


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--dialect",
        default="platform",
        metavar="NAME",
        help="protocols for the store, callers and backend servers (default: %(default)s)",
    )


@command(
    "gateway",
    "Run a gateway process, which routes requests of any service; on SIGTERM it completes all "
    "requests and exits.",
    "hickoryloom gateway --dialect platform",
    _add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Run a gateway process until SIGTERM or SIGINT."""
    configure_rate_limited_logging()
    dialect = load_dialect(options.dialect)
    fingerprint = partial(file_fingerprint, dialect.settings_file(os.environ))
    # Taken before the file is read, so that a change during the start is noticed.
    read_fingerprint = fingerprint()
    settings = dialect.settings(os.environ)
    gateway = build_gateway(settings, dialect)
    reload = SettingsReloader(
        settings,
        read=lambda: dialect.settings(os.environ),
        file_fingerprint=fingerprint,
        apply=gateway.apply_settings,
        read_fingerprint=read_fingerprint,
    )
    reload.start()
    return run_until_stopped(gateway, reload=reload.reload)
