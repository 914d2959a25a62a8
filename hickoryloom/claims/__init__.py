"""Claims: run calls that must not be repeated at most once, across all entries."""

from hickoryloom.claims import messages, task
from hickoryloom.claims.messages import *  # noqa: F403
from hickoryloom.claims.task import *  # noqa: F403

__all__ = [*messages.__all__, *task.__all__]
