"""Adapter for the platform of the users: maps its protocols to the types of this package."""

from hickoryloom.gateway.ports import Dialect, dialect
from hickoryloom.platform.backends import PlatformBackends
from hickoryloom.platform.callers import PlatformCallers
from hickoryloom.platform.catalog import PlatformCatalog
from hickoryloom.platform.duties import PlatformScaling, PlatformUsage
from hickoryloom.platform.evacuations import PlatformEvacuations
from hickoryloom.platform.objects import PlatformObjects
from hickoryloom.platform.registrations import PlatformRegistrations
from hickoryloom.platform.settings import read_settings, settings_file

__all__ = ["build_dialect"]


@dialect("platform")
def build_dialect() -> Dialect:
    """Build the dialect of this platform."""
    return Dialect(
        settings=read_settings,
        settings_file=settings_file,
        objects=PlatformObjects(),
        callers=PlatformCallers(),
        backends=PlatformBackends(),
        catalog=PlatformCatalog(),
        registrations=PlatformRegistrations(),
        usage=PlatformUsage(),
        scaling=PlatformScaling(),
        evacuations=PlatformEvacuations(),
    )
