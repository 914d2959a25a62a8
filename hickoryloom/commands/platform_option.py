"""The `--platform` option and the platform client built from it."""

from __future__ import annotations

import argparse
import os

from hickoryloom.clock import SystemClock
from hickoryloom.config import Address, InvalidValueError
from hickoryloom.exceptions import UsageError
from hickoryloom.store import CallBudget, PlatformClient

__all__ = ["add_platform_option", "connect_platform"]

PLATFORM_VARIABLE = "HICKORYLOOM_PLATFORM"
ASSUMED_PROCESSES = 4
"""Number of processes assumed to share the call limits of the platform."""


def add_platform_option(parser: argparse.ArgumentParser) -> None:
    """Add the `--platform` option to a parser."""
    parser.add_argument(
        "--platform",
        default=os.environ.get(PLATFORM_VARIABLE, ""),
        metavar="HOST:PORT",
        help=f"address of the platform API (default: ${PLATFORM_VARIABLE})",
    )


def connect_platform(options: argparse.Namespace) -> PlatformClient:
    """Build a client for the platform given by `--platform`.

    Raises:
        UsageError: No platform is given, or it is not a valid address.
    """
    if not options.platform:
        raise UsageError(f"specify the platform with --platform HOST:PORT or ${PLATFORM_VARIABLE}")
    try:
        Address().read(options.platform)
    except InvalidValueError as error:
        [reason] = error.reasons
        raise UsageError(f"--platform: found {reason.found}; allowed: {reason.allowed}")
    clock = SystemClock()
    budget = CallBudget(clock.monotonic(), ASSUMED_PROCESSES)
    return PlatformClient(options.platform, clock, budget)
