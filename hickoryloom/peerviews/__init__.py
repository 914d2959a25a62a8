"""What other instances have in force, for an instance that the store doesn't answer.

This answers the load of a store outage in which instances restart: a process that has just started
knows neither the configuration nor the backend servers until the store responds. It hears of other
instances by their datagrams and asks one of them at a time. What it takes keeps its age and the
store's era, so that it serves as long as the instance that it asked may, and no longer.
"""

from hickoryloom.peerviews import choice, messages, server, task
from hickoryloom.peerviews.choice import *  # noqa: F403
from hickoryloom.peerviews.messages import *  # noqa: F403
from hickoryloom.peerviews.server import *  # noqa: F403
from hickoryloom.peerviews.task import *  # noqa: F403

__all__ = [
    *choice.__all__,
    *messages.__all__,
    *server.__all__,
    *task.__all__,
]
