"""Planned stop of a process: its steps and their times."""

from hickoryloom.shutdown import steps
from hickoryloom.shutdown.steps import *  # noqa: F403

__all__ = [*steps.__all__]
