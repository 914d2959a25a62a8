"""Selects the platform simulator that a soak test runs on."""

from __future__ import annotations

import importlib
from pathlib import Path

from hickoryloom.soak.ports import SoakSite

__all__ = ["build_site"]

SIMULATOR_MODULE = "hickoryloom.platform.tests.soaking"
"""Module of the platform simulator; it is kept with the tests of the platform adapter."""


def build_site(folder: Path, names: list[str]) -> SoakSite:
    """Build the platform simulator.

    Args:
        folder: Directory for the settings and logs of the processes.
        names: Names of the instances.
    """
    site: SoakSite = importlib.import_module(SIMULATOR_MODULE).build_site(folder, names)
    return site
