"""Failure domains whose evacuation an operator has requested: their servers get no requests."""

from hickoryloom.evacuations import condition, state, task
from hickoryloom.evacuations.condition import *  # noqa: F403
from hickoryloom.evacuations.state import *  # noqa: F403
from hickoryloom.evacuations.task import *  # noqa: F403

__all__ = [*condition.__all__, *state.__all__, *task.__all__]
