"""Planned stop of a process: its steps with their times, and the end of its servers."""

from hickoryloom.shutdown import servers, steps
from hickoryloom.shutdown.servers import *  # noqa: F403
from hickoryloom.shutdown.steps import *  # noqa: F403

__all__ = [*servers.__all__, *steps.__all__]
