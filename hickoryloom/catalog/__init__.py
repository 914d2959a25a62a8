"""Configuration of the routed services: routes, services, customers and limits."""

from hickoryloom.catalog import (
    checks,
    differences,
    follower,
    freshness,
    lookup,
    messages,
    priority_scale,
)
from hickoryloom.catalog.checks import *  # noqa: F403
from hickoryloom.catalog.differences import *  # noqa: F403
from hickoryloom.catalog.follower import *  # noqa: F403
from hickoryloom.catalog.freshness import *  # noqa: F403
from hickoryloom.catalog.lookup import *  # noqa: F403
from hickoryloom.catalog.messages import *  # noqa: F403
from hickoryloom.catalog.priority_scale import *  # noqa: F403

__all__ = [
    *checks.__all__,
    *differences.__all__,
    *follower.__all__,
    *freshness.__all__,
    *lookup.__all__,
    *messages.__all__,
    *priority_scale.__all__,
]
