"""Which stand-in of a platform a soak runs on."""

from __future__ import annotations

import importlib
from pathlib import Path

from hickoryloom.soak.ports import SoakSite

__all__ = ["build_site"]

STAND_IN = "hickoryloom.platform.tests.soaking"
"""Module that builds the stand-in; it lies with the tests of the adapter that it speaks to."""


def build_site(folder: Path, names: list[str]) -> SoakSite:
    """Build the stand-in of the platform.

    Args:
        folder: Where settings and logs of the processes go.
        names: Names of the instances.
    """
    built: SoakSite = importlib.import_module(STAND_IN).build_site(folder, names)
    return built
