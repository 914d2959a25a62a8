"""Calls that only the holder of a duty's lease may make."""

from hickoryloom.duties import client, leased, messages
from hickoryloom.duties.client import *  # noqa: F403
from hickoryloom.duties.leased import *  # noqa: F403
from hickoryloom.duties.messages import *  # noqa: F403

__all__ = [*client.__all__, *leased.__all__, *messages.__all__]
