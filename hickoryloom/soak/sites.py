"""Selects the platform stand-in that a soak test runs on."""

from __future__ import annotations

import importlib
from pathlib import Path

from hickoryloom.soak.ports import SoakSite

__all__ = ["build_site"]

STAND_IN_MODULE = "hickoryloom.platform.tests.soaking"
"""Module of the platform stand-in; it is kept with the tests of the adapter that talks to it."""


def build_site(folder: Path, names: list[str]) -> SoakSite:
    """Build the platform stand-in.

    Args:
        folder: Directory for the settings and logs of the processes.
        names: Names of the instances.
    """
    site: SoakSite = importlib.import_module(STAND_IN_MODULE).build_site(folder, names)
    return site
