"""Selects the backend server for each attempt."""

from hickoryloom.routing import directory, messages, router, task
from hickoryloom.routing.directory import *  # noqa: F403
from hickoryloom.routing.messages import *  # noqa: F403
from hickoryloom.routing.router import *  # noqa: F403
from hickoryloom.routing.task import *  # noqa: F403

__all__ = [*directory.__all__, *messages.__all__, *router.__all__, *task.__all__]
