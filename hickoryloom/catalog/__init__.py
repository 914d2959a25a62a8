"""Configuration of the routed services: routes, services, customers and limits."""

from hickoryloom.catalog import follower, freshness, lookup, messages, priority_scale
from hickoryloom.catalog.follower import *  # noqa: F403
from hickoryloom.catalog.freshness import *  # noqa: F403
from hickoryloom.catalog.lookup import *  # noqa: F403
from hickoryloom.catalog.messages import *  # noqa: F403
from hickoryloom.catalog.priority_scale import *  # noqa: F403

__all__ = [
    *follower.__all__,
    *freshness.__all__,
    *lookup.__all__,
    *messages.__all__,
    *priority_scale.__all__,
]
