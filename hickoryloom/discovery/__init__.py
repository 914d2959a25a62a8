"""Service discovery: tracks the backend servers registered in the store."""

from hickoryloom.discovery import messages, state, task
from hickoryloom.discovery.messages import *  # noqa: F403
from hickoryloom.discovery.state import *  # noqa: F403
from hickoryloom.discovery.task import *  # noqa: F403

__all__ = [*messages.__all__, *state.__all__, *task.__all__]
