"""Duties: tasks that only one process at a time performs, such as ordering backend servers.

A process makes the calls of a duty only while it holds the lease of the duty.
"""

from hickoryloom.duties import client, leased, messages
from hickoryloom.duties.client import *  # noqa: F403
from hickoryloom.duties.leased import *  # noqa: F403
from hickoryloom.duties.messages import *  # noqa: F403

__all__ = [*client.__all__, *leased.__all__, *messages.__all__]
