"""Whether this instance can open connections to the servers of a service."""

from hickoryloom.reach.state import REACH_TOPICS, Reach
from hickoryloom.reach.task import ReachProbe

__all__ = ["REACH_TOPICS", "Reach", "ReachProbe"]
