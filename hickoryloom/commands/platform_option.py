"""The option that names the platform, and the client that it leads to."""

from __future__ import annotations

import argparse
import os

from hickoryloom.clock import SystemClock
from hickoryloom.config import Address, InvalidValueError
from hickoryloom.exceptions import UsageError
from hickoryloom.store import CallBudget, PlatformClient

__all__ = ["add_platform_option", "connect_platform"]

VARIABLE = "HICKORYLOOM_PLATFORM"
PROCESSES_SHARING = 4


def add_platform_option(parser: argparse.ArgumentParser) -> None:
    """Add `--platform` to a verb."""
    parser.add_argument(
        "--platform",
        default=os.environ.get(VARIABLE, ""),
        metavar="HOST:PORT",
        help=f"the platform's API (default: ${VARIABLE})",
    )


def connect_platform(options: argparse.Namespace) -> PlatformClient:
    """Return a client of the platform that the options name.

    Raises:
        UsageError: No platform is named, or it is no address.
    """
    if not options.platform:
        raise UsageError(f"name the platform by --platform HOST:PORT or ${VARIABLE}")
    try:
        Address().read(options.platform)
    except InvalidValueError as error:
        [reason] = error.reasons
        raise UsageError(f"--platform: found {reason.found}; allowed: {reason.allowed}")
    clock = SystemClock()
    budget = CallBudget(clock.monotonic(), PROCESSES_SHARING)
    return PlatformClient(options.platform, clock, budget)
